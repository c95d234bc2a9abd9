//! Tests of exchanges during a graceful shutdown of the router.

#![allow(clippy::unwrap_used)]

mod support;

use http::Method;
use support::exchange_site::{ExchangeSite, event, event_chunks, marked_answer, stream_head};
use support::fake_upstream::Step;
use support::{Answer, send, wait_for};

/// Guards against a shutdown that cuts running answers, or that never ends because callers keep
/// their connections open.
#[tokio::test]
async fn stop_closes_connections_after_answers() {
    let gated_stream = vec![
        Step::Write(format!("{}{}", stream_head(), event_chunks(1, 2))),
        Step::Gate,
        Step::Write(format!("{}0\r\n\r\n", event_chunks(2, 3))),
    ];
    let site = ExchangeSite::start(vec![vec![gated_stream]]).await;
    let request = site.request(Method::POST, "/stream/x", &[], "");
    let response = send(site.handle.caller_address(), request).await;
    site.handle.begin_stop();
    wait_for("the router to stop being ready", || !site.state.is_ready()).await;
    site.upstreams[0].open_gate();
    let answer = Answer::read(response).await;
    assert!(answer.complete);
    assert_eq!(answer.body, format!("{}{}", event(1), event(2)));
    tokio::time::timeout(support::WAIT_LIMIT, site.handle.join())
        .await
        .expect("the router must exit");
}

/// Guards against streams that are accepted during a shutdown and cut when it ends. If the timeout
/// of the route is far longer than the time allowed for running requests, the stream is refused
/// with a short retry delay, so that the caller goes to another router.
#[tokio::test]
async fn stop_refuses_streams_that_outlast_it() {
    let site =
        ExchangeSite::start_with(vec![vec![marked_answer("a")]], "stop_running = \"1s\"").await;
    site.handle.begin_stop();
    wait_for("the router to stop being ready", || !site.state.is_ready()).await;
    for path in ["/long/x", "/long-resume/x"] {
        let answer = site.call(Method::POST, path, &[]).await;
        assert_eq!((answer.status.as_u16(), answer.body.as_str()), (503, "stopping"), "{path}");
        assert!(answer.header("x-retry-ms").parse::<u64>().unwrap() <= 50);
        assert_eq!(site.request_count(0), 0, "{path}");
    }
    let answer = site.call(Method::GET, "/read/x", &[]).await;
    assert_eq!(answer.status.as_u16(), 200, "requests on other routes must still be accepted");
}
