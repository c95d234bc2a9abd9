//! Tests of exchanges at a router or service that is loaded.

#![allow(clippy::unwrap_used)]

mod support;

use http::Method;
use std::sync::Arc;
use std::time::Duration;
use support::exchange_site::{Site, answer_with, good};
use support::fake_upstream::{Step, header_of};
use support::{send, wait_for};

/// Guards against callers who learn only after the full wait that nothing ran,
/// although those before them waited in vain just now.
#[tokio::test]
async fn exchange_in_vain_is_refused_at_once() {
    let site = Arc::new(Site::start(vec![vec![]]).await);
    site.controller.script().slots = 0;
    let answer = site.call(Method::GET, "/read/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (503, "deadline_before_dispatch"));
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..10 {
        let site = Arc::clone(&site);
        calls.spawn(async move {
            let begun = tokio::time::Instant::now();
            let answer = site.call(Method::GET, "/read/x", &[]).await;
            assert_eq!(answer.status.as_u16(), 503);
            assert_ne!(answer.header("x-retry-ms"), "");
            begun.elapsed()
        });
    }
    let times = calls.join_all().await;
    // The route's objective of 2 s lets a request wait for 800 ms.
    let at_once = times.iter().filter(|time| **time < Duration::from_millis(400)).count();
    assert_eq!(at_once, 6, "four may wait, the others learn it at once: {times:?}");
}

/// Guards against plain services that wait for a loaded dispatcher while their
/// upstreams are free.
#[tokio::test]
async fn exchange_plain_needs_no_grant() {
    let site = Site::start(vec![vec![good("a")]]).await;
    site.controller.script().slots = 0;
    wait_for("the dispatcher", || !site.handle.state().dispatch.is_lost()).await;
    let answer = site.call(Method::POST, "/plain-once/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "a"));
    let log = site.upstreams[0].log();
    assert_eq!(header_of(&log.requests[0].0, "x-upstream"), "u0-plain");
}

/// Guards against unequal shares of a plain service that is full: after an
/// upstream refused work, requests wait for the dispatcher again.
#[tokio::test]
async fn exchange_plain_refused_waits_for_grant() {
    let refuse = || answer_with(503, "x-not-run: 1\r\n", "full");
    let site = Site::start(vec![vec![refuse(), good("a")]]).await;
    site.controller.script().slots = 0;
    wait_for("the dispatcher", || !site.handle.state().dispatch.is_lost()).await;
    for _ in 0..2 {
        let answer = site.call(Method::POST, "/plain-once/x", &[]).await;
        assert_eq!(answer.status.as_u16(), 503);
        assert_ne!(answer.header("x-retry-ms"), "", "the caller is told when to come back");
    }
    assert_eq!(site.work(0), 1, "the second request must not reach the full upstream");
}

/// Guards against work for an upstream that is about to stop.
#[tokio::test]
async fn exchange_plain_avoids_leaving_upstream() {
    let site = Site::start(vec![vec![good("a")]]).await;
    {
        let mut script = site.controller.script();
        script.slots = 0;
        script.upstreams.iter_mut().for_each(|upstream| upstream.leaving = true);
        script.registry_version += 1;
    }
    wait_for("the notice", || {
        site.handle.state().fleet.registry().upstreams.iter().all(|upstream| upstream.leaving)
    })
    .await;
    let answer = site.call(Method::POST, "/plain-once/x", &[]).await;
    assert_eq!((answer.status.as_u16(), site.work(0)), (503, 0));
}

/// Guards against idle callers who keep new ones out: beyond half of the room
/// connections close after their answer, and those that wait are accepted.
#[tokio::test]
async fn crowded_router_closes_connections() {
    let site = Site::start_with(vec![vec![]], "connections = 4").await;
    let mut idle = Vec::new();
    for _ in 0..2 {
        idle.push(tokio::net::TcpStream::connect(site.handle.caller_address()).await.unwrap());
    }
    // One permit waits for the next connection.
    let room = || site.handle.state().connection_permits.available_permits();
    wait_for("two connections", || room() == 1).await;
    for _ in 0..10 {
        let answer = site.call(Method::GET, "/none/", &[]).await;
        assert_eq!(answer.status.as_u16(), 404);
        assert_eq!(answer.header("connection"), "close");
    }
    drop(idle);
    wait_for("room", || room() == 3).await;
    let answer = site.call(Method::GET, "/none/", &[]).await;
    assert_eq!(answer.header("connection"), "");
}

/// Guards against a router that takes more requests than its memory holds:
/// beyond half of its connections they are refused at once.
#[tokio::test]
async fn overloaded_router_refuses_requests() {
    let site = Site::start_with(vec![vec![vec![Step::Hang]; 8]], "connections = 8").await;
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..4 {
        let request = site.request(Method::GET, "/read/x", &[], "");
        calls.spawn(send(site.handle.caller_address(), request));
    }
    wait_for("four requests", || site.work(0) == 4).await;
    let answer = site.call(Method::GET, "/read/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (429, "limit_reached"));
    assert_ne!(answer.header("x-retry-ms"), "");
    assert_eq!(site.work(0), 4);
}
