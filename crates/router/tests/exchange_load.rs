//! Tests of exchanges while the router or a service is overloaded.

#![allow(clippy::unwrap_used)]

mod support;

use baobabfall_node::control_runtime::ControlRuntime;
use http::Method;
use std::sync::Arc;
use std::time::Duration;
use support::exchange_site::{ExchangeSite, answer_with, marked_answer, start_peers};
use support::fake_upstream::{Step, header_of};
use support::{send, wait_for};

/// Guards against callers who wait for their full queue time although requests before them have
/// just timed out in the same queue. Such requests must be refused at once.
#[tokio::test]
async fn exchange_in_vain_is_refused_at_once() {
    let site = Arc::new(ExchangeSite::start(vec![vec![]]).await);
    site.controller.script().free_slots = 0;
    let answer = site.call(Method::GET, "/read/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (503, "deadline_before_dispatch"));
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..10 {
        let site = Arc::clone(&site);
        calls.spawn(async move {
            let started = tokio::time::Instant::now();
            let answer = site.call(Method::GET, "/read/x", &[]).await;
            assert_eq!(answer.status.as_u16(), 503);
            assert_ne!(answer.header("x-retry-ms"), "");
            started.elapsed()
        });
    }
    let elapsed_times = calls.join_all().await;
    // With the route's objective of 2 s a request waits at most 800 ms in the queue.
    let immediate = elapsed_times.iter().filter(|time| **time < Duration::from_millis(400)).count();
    assert_eq!(
        immediate, 6,
        "four may wait, the others must be refused at once: {elapsed_times:?}"
    );
}

/// Guards against requests to a plain service that wait for an overloaded dispatcher although an
/// upstream of the service is free. The router places them without a grant.
#[tokio::test]
async fn exchange_plain_needs_no_grant() {
    let site = ExchangeSite::start(vec![vec![marked_answer("a")]]).await;
    site.controller.script().free_slots = 0;
    wait_for("an answer of the dispatcher", || !site.handle.state().dispatch.is_lost()).await;
    let answer = site.call(Method::POST, "/plain-once/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "a"));
    let log = site.upstreams[0].log();
    assert_eq!(header_of(&log.requests[0].0, "x-upstream"), "u0-plain");
}

/// Guards against unfair shares of a plain service that is at capacity: after an upstream refused
/// a request, further requests must wait for a grant of the dispatcher, which shares the slots
/// fairly.
#[tokio::test]
async fn exchange_plain_refused_waits_for_grant() {
    let refusal = || answer_with(503, "x-not-run: 1\r\n", "full");
    let site = ExchangeSite::start(vec![vec![refusal(), marked_answer("a")]]).await;
    site.controller.script().free_slots = 0;
    wait_for("an answer of the dispatcher", || !site.handle.state().dispatch.is_lost()).await;
    for _ in 0..2 {
        let answer = site.call(Method::POST, "/plain-once/x", &[]).await;
        assert_eq!(answer.status.as_u16(), 503);
        assert_ne!(answer.header("x-retry-ms"), "", "the answer must say when to retry");
    }
    assert_eq!(site.request_count(0), 1, "the second request must not reach the full upstream");
}

/// Guards against a router that places requests at an upstream which is shutting down.
#[tokio::test]
async fn exchange_plain_avoids_leaving_upstream() {
    let site = ExchangeSite::start(vec![vec![marked_answer("a")]]).await;
    {
        let mut script = site.controller.script();
        script.free_slots = 0;
        script.upstreams.iter_mut().for_each(|upstream| upstream.leaving = true);
        script.registry_version += 1;
    }
    wait_for("the registry update", || {
        site.handle
            .state()
            .fleet
            .directory()
            .registry()
            .upstreams
            .iter()
            .all(|upstream| upstream.leaving)
    })
    .await;
    let answer = site.call(Method::POST, "/plain-once/x", &[]).await;
    assert_eq!((answer.status.as_u16(), site.request_count(0)), (503, 0));
}

/// Guards against idle connections that block new callers. While more than half of the allowed
/// connections are open, each is closed after its answer, so waiting ones can be accepted.
#[tokio::test]
async fn crowded_router_closes_connections() {
    let site = ExchangeSite::start_with(vec![vec![]], "connections = 4").await;
    let mut idle = Vec::new();
    for _ in 0..2 {
        idle.push(tokio::net::TcpStream::connect(site.handle.caller_address()).await.unwrap());
    }
    // The listener holds one permit for the connection that it accepts next.
    let free_connections = || site.handle.state().connection_permits.available_permits();
    wait_for("both idle connections to be accepted", || free_connections() == 1).await;
    for _ in 0..10 {
        let answer = site.call(Method::GET, "/none/", &[]).await;
        assert_eq!(answer.status.as_u16(), 404);
        assert_eq!(answer.header("connection"), "close");
    }
    drop(idle);
    wait_for("the idle connections to close", || free_connections() == 3).await;
    let answer = site.call(Method::GET, "/none/", &[]).await;
    assert_eq!(answer.header("connection"), "");
}

/// Guards against a router that runs out of memory because it accepts too many requests. While
/// requests in progress reach half of the allowed connections, further ones are refused at once.
#[tokio::test]
async fn overloaded_router_refuses_requests() {
    let site = ExchangeSite::start_with(vec![vec![vec![Step::Hang]; 8]], "connections = 8").await;
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..4 {
        let request = site.request(Method::GET, "/read/x", &[], "");
        calls.spawn(send(site.handle.caller_address(), request));
    }
    wait_for("the upstream to receive four requests", || site.request_count(0) == 4).await;
    let answer = site.call(Method::GET, "/read/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (429, "limit_reached"));
    assert_ne!(answer.header("x-retry-ms"), "");
    assert_eq!(site.request_count(0), 4);
}

/// Time for which the event loop is busy with other requests in each of its turns.
const BUSY_TURN: Duration = Duration::from_millis(120);
const BUSY_TASKS: u32 = 40;

/// Guards against grants that arrive after the queue time of their requests, because reports
/// and grants wait behind the requests of callers on a busy event loop.
#[tokio::test]
async fn grants_arrive_in_time_on_busy_event_loop() {
    // The peers run on other hosts and are not busy.
    let peers = ControlRuntime::start().unwrap();
    let scripts = vec![(0..6).map(|_| marked_answer("a")).collect()];
    let (controller, upstreams) = peers.handle().spawn(start_peers(scripts)).await.unwrap();
    let control = ControlRuntime::start().unwrap();
    let handle = Some(control.handle().clone());
    let site = ExchangeSite::start_between(controller, upstreams, "", handle).await;
    for _ in 0..BUSY_TASKS {
        tokio::spawn(async {
            loop {
                std::thread::sleep(BUSY_TURN / BUSY_TASKS);
                tokio::task::yield_now().await;
            }
        });
    }
    for _ in 0..6 {
        let answer = site.call(Method::GET, "/model/x", &[]).await;
        assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "a"));
    }
    assert_eq!(site.handle.state().queue.tally().read().expired, 0);
}
