//! Tests of exchanges at a router that stops.

#![allow(clippy::unwrap_used)]

mod support;

use http::Method;
use support::exchange_site::{Site, event, events, good, stream_head};
use support::fake_upstream::Step;
use support::{Answer, send, wait_for};

/// Guards against a stop that cuts answers or leaves callers on a router that
/// goes away: answers end with their connection, and new work is refused.
#[tokio::test]
async fn stop_closes_connections_after_answers() {
    let gated = vec![
        Step::Write(format!("{}{}", stream_head(), events(1, 2))),
        Step::Gate,
        Step::Write(format!("{}0\r\n\r\n", events(2, 3))),
    ];
    let site = Site::start(vec![vec![gated]]).await;
    let request = site.request(Method::POST, "/stream/x", &[], "");
    let open = send(site.handle.caller_address(), request).await;
    site.handle.begin_stop();
    wait_for("the notice", || !site.state.is_ready()).await;
    site.upstreams[0].open_gate();
    let answer = Answer::read(open).await;
    assert!(answer.complete);
    assert_eq!(answer.body, format!("{}{}", event(1), event(2)));
    tokio::time::timeout(support::PATIENCE, site.handle.join()).await.expect("the router ends");
}

/// Guards against streams that a stop cuts because they were taken while it was
/// under way: those that may outlast it are sent to another router at once.
#[tokio::test]
async fn stop_refuses_streams_that_outlast_it() {
    let site = Site::start_with(vec![vec![good("a")]], "stop_running = \"1s\"").await;
    site.handle.begin_stop();
    wait_for("the notice", || !site.state.is_ready()).await;
    let answer = site.call(Method::POST, "/long/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (503, "stopping"));
    assert!(answer.header("x-retry-ms").parse::<u64>().unwrap() <= 50);
    assert_eq!(site.work(0), 0);
    let answer = site.call(Method::GET, "/read/x", &[]).await;
    assert_eq!(answer.status.as_u16(), 200, "other work is still taken");
}
