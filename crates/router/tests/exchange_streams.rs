//! Tests of exchanges that relay event streams.

#![allow(clippy::unwrap_used)]

mod support;

use http::Method;
use http_body_util::BodyExt;
use support::exchange_site::{ExchangeSite, event, event_chunks, stream_head};
use support::fake_upstream::{Step, chunk, header_of};
use support::{send, wait_for};

/// Guards against events that are missing, duplicated or merged with a partial event when a
/// stream breaks and is resumed at another upstream.
#[tokio::test]
async fn exchange_resumed_stream_continues_after_last_event() {
    let first_half = format!("{}{}{}", stream_head(), event_chunks(1, 3), chunk("id: 3\nda"));
    let broken = || vec![Step::Write(first_half.clone()), Step::Close];
    let second_half =
        || vec![Step::Write(format!("{}{}0\r\n\r\n", stream_head(), event_chunks(2, 5)))];
    let site =
        ExchangeSite::start(vec![vec![broken(), second_half()], vec![second_half(), broken()]])
            .await;
    // The first grant goes to the first upstream.
    let answer = site.call(Method::POST, "/resume/x", &[]).await;
    assert!(answer.complete);
    assert_eq!(answer.body, (1..5).map(event).collect::<String>());
    let log = site.upstreams[1].log();
    assert_eq!(header_of(&log.requests[0].0, "x-last-event"), "2");
}

/// Guards against a stream that looks complete to the caller although the upstream broke it off,
/// and against an attempt to resume a stream whose route does not allow it.
#[tokio::test]
async fn exchange_broken_stream_breaks_the_response() {
    let broken =
        || vec![Step::Write(format!("{}{}", stream_head(), event_chunks(1, 3))), Step::Close];
    let cut_event = vec![Step::Write(format!("{}{}0\r\n\r\n", stream_head(), chunk("id: 1\nda")))];
    for script in [broken(), cut_event] {
        let site = ExchangeSite::start(vec![vec![script.clone()], vec![script]]).await;
        let answer = site.call(Method::POST, "/stream/x", &[]).await;
        assert!(!answer.complete);
        assert_eq!(site.request_count(0) + site.request_count(1), 1);
    }
}

/// Guards against an upstream that goes on working on a request after the caller disconnected.
#[tokio::test]
async fn exchange_disconnected_caller_closes_upstream() {
    let hanging = || vec![Step::Hang];
    let streaming =
        vec![Step::Write(format!("{}{}", stream_head(), event_chunks(1, 2))), Step::Hang];
    for (path, script) in [("/once/x", hanging()), ("/stream/x", streaming)] {
        let site = ExchangeSite::start(vec![vec![script]]).await;
        let request = site.request(Method::POST, path, &[], "");
        let address = site.handle.caller_address();
        let call = tokio::spawn(async move {
            let mut response = send(address, request).await;
            while response.body_mut().frame().await.is_some() {}
        });
        wait_for("the upstream to receive the request", || site.request_count(0) == 1).await;
        call.abort();
        wait_for("the upstream connection to close", || site.upstreams[0].log().closed == 1).await;
        wait_for("the request to end", || site.handle.state().in_progress() == 0).await;
    }
}

/// Guards against an error of the next upstream in the middle of a stream, and against a broken
/// stream that looks complete.
#[tokio::test]
async fn exchange_error_of_next_upstream_is_not_part_of_the_stream() {
    let broken =
        || vec![Step::Write(format!("{}{}", stream_head(), event_chunks(1, 3))), Step::Close];
    let with_marks = "x-request: r1\r\nx-mark: m\r\n";
    let chunked = |status: u16, headers: &str, body: &str| {
        let end = if body.is_empty() { "0\r\n\r\n" } else { "\r\n0\r\n\r\n" };
        let length = if body.is_empty() { String::new() } else { format!("{:x}\r\n", body.len()) };
        format!(
            "HTTP/1.1 {status} X\r\ntransfer-encoding: chunked\r\n{headers}\r\n{length}{body}{end}"
        )
    };
    let error_events = "data: error\n\nid: 3\ndata: oops\n\n";
    let json = format!("{with_marks}content-type: application/json\r\n");
    let unframed =
        format!("HTTP/1.1 200 X\r\n{with_marks}content-type: text/plain\r\n\r\noops\n\n");
    for next in [
        chunked(500, with_marks, error_events),
        chunked(503, "x-request: r1\r\nx-not-run: 1\r\n", error_events),
        chunked(200, &json, "{\"error\":\"oops\"}"),
        chunked(200, &json, "{\"error\":\n\n\"oops\"}\n\n"),
        chunked(200, &json, ""),
        chunked(200, with_marks, ""),
        format!("HTTP/1.1 200 X\r\ncontent-length: 0\r\n{with_marks}\r\n"),
        format!("HTTP/1.1 103 Early Hints\r\n\r\n{}", chunked(500, with_marks, error_events)),
        unframed,
        "HTTP/1.1 500 ".to_owned(),
    ] {
        let site = ExchangeSite::start(vec![
            vec![broken(), vec![Step::Write(next.clone()), Step::Close]],
            vec![vec![Step::Write(next.clone()), Step::Close], broken()],
        ])
        .await;
        let answer = site.call(Method::POST, "/resume/x", &[]).await;
        assert!(!answer.complete, "{next}");
        assert_eq!(answer.body, format!("{}{}", event(1), event(2)), "{next}");
    }
}

/// Guards against a caller that stops reading and occupies an upstream beyond its deadline.
#[tokio::test]
async fn exchange_stalled_caller_frees_upstream_at_deadline() {
    let body = "a".repeat(1 << 10);
    let large_event = chunk(&format!("id: 1\ndata: {body}\n\n"));
    let endless_stream = vec![Step::Write(stream_head()), Step::Endless(large_event)];
    let endless_body = vec![
        Step::Write(
            "HTTP/1.1 200 X\r\ncontent-length: 999999999\r\nx-request: r1\r\nx-mark: m\r\n\r\n"
                .to_owned(),
        ),
        Step::Endless(body),
    ];
    for (path, script) in [("/stream/x", endless_stream), ("/once/x", endless_body)] {
        let site = ExchangeSite::start(vec![vec![script]]).await;
        let request = site.request(Method::POST, path, &[("x-wait-ms", "2000")], "");
        let _unread = send(site.handle.caller_address(), request).await;
        wait_for(path, || site.upstreams[0].log().closed == 1).await;
    }
}

/// Guards against an upstream that goes on working on a stream whose caller disconnected while it was
/// being resumed: the caller takes the stream up elsewhere, and it runs twice.
#[tokio::test]
async fn exchange_caller_disconnected_during_resumption_closes_upstream() {
    let broken = vec![Step::Write(format!("{}{}", stream_head(), event_chunks(1, 3))), Step::Close];
    let site = ExchangeSite::start(vec![vec![broken], vec![vec![Step::Hang]]]).await;
    let request = site.request(Method::POST, "/resume/x", &[], "");
    let address = site.handle.caller_address();
    let call = tokio::spawn(async move {
        let mut response = send(address, request).await;
        while response.body_mut().frame().await.is_some() {}
    });
    wait_for("the stream to be resumed", || site.request_count(1) == 1).await;
    call.abort();
    let left = tokio::time::Instant::now();
    wait_for("the upstream to be closed", || site.upstreams[1].log().closed > 0).await;
    assert!(left.elapsed() < std::time::Duration::from_secs(1), "after {:?}", left.elapsed());
}
