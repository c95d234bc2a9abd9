//! Tests of exchanges with event streams.

#![allow(clippy::unwrap_used)]

mod support;

use http::Method;
use http_body_util::BodyExt;
use support::exchange_site::{Site, event, events, stream_head};
use support::fake_upstream::{Step, chunk, header_of};
use support::{send, wait_for};

/// Guards against events that are missing, doubled or joined with those of
/// another run when a stream goes on elsewhere.
#[tokio::test]
async fn exchange_stream_goes_on_after_last_event() {
    let half = format!("{}{}{}", stream_head(), events(1, 3), chunk("id: 3\nda"));
    let broken = || vec![Step::Write(half.clone()), Step::Close];
    let rest = || vec![Step::Write(format!("{}{}0\r\n\r\n", stream_head(), events(2, 5)))];
    let site = Site::start(vec![vec![broken(), rest()], vec![rest(), broken()]]).await;
    // The first grant goes to the first upstream.
    let answer = site.call(Method::POST, "/resume/x", &[]).await;
    assert!(answer.complete);
    assert_eq!(answer.body, (1..5).map(event).collect::<String>());
    let log = site.upstreams[1].log();
    assert_eq!(header_of(&log.requests[0].0, "x-last-event"), "2");
}

/// Guards against a stream that looks complete although its upstream broke it
/// off, and against one that may not be resumed and is.
#[tokio::test]
async fn exchange_broken_stream_looks_broken() {
    let broken = || vec![Step::Write(format!("{}{}", stream_head(), events(1, 3))), Step::Close];
    let cut = vec![Step::Write(format!("{}{}0\r\n\r\n", stream_head(), chunk("id: 1\nda")))];
    for script in [broken(), cut] {
        let site = Site::start(vec![vec![script.clone()], vec![script]]).await;
        let answer = site.call(Method::POST, "/stream/x", &[]).await;
        assert!(!answer.complete);
        assert_eq!(site.work(0) + site.work(1), 1);
    }
}

/// Guards against work that goes on for a caller who has left.
#[tokio::test]
async fn exchange_caller_gone_closes_upstream() {
    let hang = || vec![Step::Hang];
    let streaming = vec![Step::Write(format!("{}{}", stream_head(), events(1, 2))), Step::Hang];
    for (path, script) in [("/once/x", hang()), ("/stream/x", streaming)] {
        let site = Site::start(vec![vec![script]]).await;
        let request = site.request(Method::POST, path, &[], "");
        let address = site.handle.caller_address();
        let call = tokio::spawn(async move {
            let mut response = send(address, request).await;
            while response.body_mut().frame().await.is_some() {}
        });
        wait_for("the request", || site.work(0) == 1).await;
        call.abort();
        wait_for("the close", || site.upstreams[0].log().closed == 1).await;
        wait_for("the end", || site.handle.state().in_progress() == 0).await;
    }
}
