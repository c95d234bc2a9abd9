//! Tests of exchanges during a graceful shutdown of the router.

#![allow(clippy::unwrap_used)]

mod support;

use http::Method;
use support::exchange_site::{
    ExchangeSite, answer_with, event, event_chunks, marked_answer, stream_head,
};
use support::fake_upstream::{Step, header_of};
use support::{Answer, WAIT_LIMIT, send, wait_for};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time limits of a shutdown that ends running requests after 2 s. Requests on most routes may
/// take 4 s.
const SHORT_STOP: &str = "stop_notice = \"300ms\"\nstop_queue = \"0ms\"\nstop_running = \"1700ms\"";

/// Text of a request with a body of three bytes.
fn request_text(path: &str, wait_ms: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: site\r\nx-request: r1\r\nx-key: key-a\r\n\
         x-wait-ms: {wait_ms}\r\ncontent-length: 3\r\n\r\nabc"
    )
}

/// A caller connection on which requests are sent in parts.
struct CallerConnection {
    stream: TcpStream,
}

impl CallerConnection {
    async fn open(site: &ExchangeSite) -> Self {
        let stream = TcpStream::connect(site.handle.caller_address()).await.unwrap();
        stream.set_nodelay(true).unwrap();
        Self { stream }
    }

    async fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads until the router closes the connection.
    async fn read_to_end(mut self) -> String {
        let mut bytes = Vec::new();
        let _ =
            tokio::time::timeout(WAIT_LIMIT, self.stream.read_to_end(&mut bytes)).await.unwrap();
        String::from_utf8(bytes).unwrap()
    }

    /// Reads an answer with a body of `length` bytes that keeps the connection open.
    async fn read_answer(&mut self, length: usize) -> String {
        let mut text = String::new();
        while text.split_once("\r\n\r\n").is_none_or(|(_, body)| body.len() != length) {
            let mut buffer = [0; 1024];
            let count =
                tokio::time::timeout(WAIT_LIMIT, self.stream.read(&mut buffer)).await.unwrap();
            let count = count.unwrap();
            assert!(count > 0, "the connection was closed after {text:?}");
            text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
        }
        text
    }
}

/// Checks that an answer refuses a request for a shutdown, and that it closes its connection.
fn assert_stop_refusal(answer: &str, context: &str) {
    assert!(answer.starts_with("HTTP/1.1 503 "), "{context}: {answer:?}");
    assert!(answer.ends_with("\r\n\r\nstopping"), "{context}: {answer:?}");
    assert_eq!(header_of(answer, "connection"), "close", "{context}");
    assert!(header_of(answer, "x-retry-ms").parse::<u64>().unwrap() <= 50, "{context}");
}

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

/// Guards against a request that is cut without an answer because it arrives completely late in a
/// shutdown and is passed on although it may outlast it.
#[tokio::test]
async fn stop_refuses_requests_that_arrive_late() {
    let site = ExchangeSite::start_with(vec![vec![vec![Step::Hang]; 6]], SHORT_STOP).await;
    let mut late = Vec::new();
    for path in ["/once/x", "/read/x", "/stream/x", "/resume/x", "/plain-once/x"] {
        // The head is incomplete, or the body.
        for cut in [20, request_text(path, "4000").len() - 1] {
            let mut connection = CallerConnection::open(&site).await;
            connection.write(&request_text(path, "4000")[..cut]).await;
            late.push((path, cut, connection));
        }
    }
    // The router holds one more permit for the next connection.
    wait_for("the connections to be served", || site.handle.state().open_connections() > 10).await;
    site.handle.begin_stop();
    wait_for("the listener to close", || !site.handle.state().drain.accepts_work()).await;
    for (path, cut, connection) in &mut late {
        connection.write(&request_text(path, "4000")[*cut..]).await;
    }
    for (path, cut, connection) in late {
        assert_stop_refusal(&connection.read_to_end().await, &format!("{path} {cut}"));
    }
    assert_eq!(site.request_count(0), 0);
}

/// Guards against refusing what a stopping router can still serve, and against passing on a
/// request from a kept connection that may outlast the shutdown.
#[tokio::test]
async fn stop_serves_kept_connections_what_ends_in_time() {
    let scripts = vec![marked_answer("first"), marked_answer("brief"), vec![Step::Hang]];
    let limits = SHORT_STOP.replace("300ms", "1s");
    let site = ExchangeSite::start_with(vec![scripts], &limits).await;
    let mut connections = Vec::new();
    for _ in 0..2 {
        connections.push(CallerConnection::open(&site).await);
    }
    connections[0].write(&request_text("/once/x", "4000")).await;
    assert!(connections[0].read_answer(5).await.ends_with("first"));
    site.handle.begin_stop();
    wait_for("the router to stop being ready", || !site.state.is_ready()).await;
    let [mut kept, mut fresh] = <[CallerConnection; 2]>::try_from(connections).ok().unwrap();
    fresh.write(&request_text("/once/x", "1000")).await;
    let answer = fresh.read_to_end().await;
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("brief"), "{answer:?}");
    kept.write(&request_text("/once/x", "4000")).await;
    assert_stop_refusal(&kept.read_to_end().await, "kept connection");
    assert_eq!(site.request_count(0), 2);
}

/// Guards against a retry during a shutdown that is passed on and cut.
#[tokio::test]
async fn stop_refuses_retries_that_outlast_it() {
    let refusal = answer_with(503, "x-request: r1\r\nx-not-run: 1\r\n", "");
    let scripts = vec![[vec![Step::Gate], refusal].concat(), vec![Step::Hang]];
    let site = ExchangeSite::start_with(vec![scripts], SHORT_STOP).await;
    let mut connection = CallerConnection::open(&site).await;
    connection.write(&request_text("/once/x", "4000")).await;
    wait_for("the request to be passed on", || site.request_count(0) == 1).await;
    site.handle.begin_stop();
    wait_for("the router to stop being ready", || !site.state.is_ready()).await;
    site.upstreams[0].open_gate();
    assert_stop_refusal(&connection.read_to_end().await, "retry");
    assert_eq!(site.request_count(0), 1);
}

/// Guards against requests that are cut because they arrive at the moment of the stop.
#[tokio::test]
async fn stop_answers_burst() {
    const CALLERS: usize = 40;
    let scripts = vec![marked_answer("a"); CALLERS];
    let site = ExchangeSite::start_with(vec![scripts], SHORT_STOP).await;
    let mut connections = Vec::new();
    for _ in 0..CALLERS {
        connections.push(CallerConnection::open(&site).await);
    }
    let mut served = 0;
    for (index, connection) in connections.iter_mut().enumerate() {
        if index == CALLERS / 2 {
            site.handle.begin_stop();
        }
        let path = ["/once/x", "/plain-once/x"][index % 2];
        connection.write(&request_text(path, "4000")).await;
    }
    for (index, connection) in connections.iter_mut().enumerate() {
        let mut start = [0; 13];
        tokio::time::timeout(WAIT_LIMIT, connection.stream.read_exact(&mut start))
            .await
            .unwrap()
            .unwrap_or_else(|error| panic!("request {index} got no answer: {error}"));
        match &start {
            b"HTTP/1.1 200 " => served += 1,
            b"HTTP/1.1 503 " => {}
            other => panic!("request {index}: {:?}", String::from_utf8_lossy(other)),
        }
    }
    assert_eq!(site.request_count(0), served, "a refused request was passed on");
}

/// Guards against closing the connection of a request without an answer when its upstream does
/// not answer before the shutdown ends.
#[tokio::test]
async fn stop_answers_requests_that_outlast_it() {
    let site = ExchangeSite::start_with(vec![vec![vec![Step::Hang]; 3]], SHORT_STOP).await;
    let mut connections = Vec::new();
    for path in ["/once/x", "/read/x", "/stream/x"] {
        let mut connection = CallerConnection::open(&site).await;
        connection.write(&request_text(path, "4000")).await;
        connections.push((path, connection));
    }
    wait_for("the requests to be passed on", || site.request_count(0) == 3).await;
    site.handle.begin_stop();
    for (path, connection) in connections {
        let answer = connection.read_to_end().await;
        assert!(answer.starts_with("HTTP/1.1 504 "), "{path}: {answer:?}");
        assert_eq!(header_of(&answer, "connection"), "close", "{path}");
    }
    tokio::time::timeout(WAIT_LIMIT, site.handle.join()).await.expect("the router must exit");
}
