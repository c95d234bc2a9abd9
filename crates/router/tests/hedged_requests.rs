//! Tests of requests that are sent to a second upstream because the first one is slow.

#![allow(clippy::unwrap_used)]

mod support;

use baobabfall_core::hedge_policy::HedgeLimit;
use baobabfall_core::route_table::{RouteKind, RouteRow};
use baobabfall_router::exchange_state::ExchangeOptions;
use http::Method;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::exchange_site::{
    ExchangeSite, answer_with, event, event_chunks, exchange_options, marked_answer, plain_route,
    route, route_table, start_peers, stream_head,
};
use support::fake_upstream::Step;
use support::wait_for;

/// Answers of a route that teach the router its usual answer time.
const TAUGHT: usize = 60;
/// Far longer than the usual answers of the fakes, and far below the deadline of the routes.
const SOON: Duration = Duration::from_millis(2_500);

/// A router that may send half of its requests twice, and two upstreams.
async fn start_site(first: Vec<Vec<Step>>, second: Vec<Vec<Step>>) -> ExchangeSite {
    let usual = vec![marked_answer("usual"); 3 * TAUGHT];
    let (controller, upstreams) = start_peers(vec![usual.clone(), usual]).await;
    let mut table = route_table(5);
    let twice = |prefix: &str, kind| RouteRow { attempts: 2, ..plain_route(prefix, kind) };
    table.routes.extend([
        twice("/lookup/", RouteKind::Idempotent),
        twice("/payment/", RouteKind::Once),
        RouteRow { attempts: 2, ..route("/tell/", RouteKind::ResumableStream, 2) },
    ]);
    controller.script().routes = Some(Arc::new(table));
    let hedges = HedgeLimit { share: 0.5, ..HedgeLimit::NONE };
    let options = ExchangeOptions { hedges, ..exchange_options() };
    let site = ExchangeSite::start_options(controller, upstreams, "", None, options).await;
    for path in ["/lookup/x", "/payment/x", "/read/x"] {
        for _ in 0..TAUGHT {
            let answer = site.call(Method::GET, path, &[]).await;
            assert_eq!(answer.status.as_u16(), 200, "{path}: {}", answer.body);
        }
    }
    site.upstreams[0].replace_scripts(first);
    site.upstreams[1].replace_scripts(second);
    site
}

fn hanging(count: usize) -> Vec<Vec<Step>> {
    vec![vec![Step::Hang]; count]
}

/// Guards against a slow upstream that keeps a repeatable request waiting while another one is
/// free, and against a second attempt that goes on after the first answer.
#[tokio::test]
async fn slow_lookup_is_answered_by_second_upstream() {
    let site = start_site(hanging(12), vec![marked_answer("second"); 24]).await;
    for _ in 0..12 {
        let begun = Instant::now();
        let answer = site.call(Method::GET, "/lookup/x", &[]).await;
        assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "second"));
        assert!(begun.elapsed() < SOON, "{:?}", begun.elapsed());
    }
    wait_for("the slow attempts to be cancelled", || {
        let log = site.upstreams[0].log();
        log.closed > 0 && log.closed >= log.connections - 1
    })
    .await;
}

/// Guards against a second attempt of a request that must not run twice.
#[tokio::test]
async fn slow_payment_is_not_sent_again() {
    let site = start_site(hanging(4), hanging(4)).await;
    let before = site.request_count(0) + site.request_count(1);
    let answer = site.call(Method::POST, "/payment/x", &[("x-wait-ms", "1500")]).await;
    assert_eq!(answer.status.as_u16(), 504, "{}", answer.body);
    assert_eq!(site.request_count(0) + site.request_count(1), before + 1);
}

/// Guards against a failed second attempt that replaces the first upstream's answer.
#[tokio::test]
async fn failed_second_attempt_leaves_the_first_answer() {
    let slow = vec![Step::Gate, marked_answer("first").remove(0)];
    let site = start_site(vec![slow; 4], vec![vec![Step::Reset]; 4]).await;
    let call = site.call(Method::GET, "/lookup/x", &[]);
    let open_later = async {
        tokio::time::sleep(Duration::from_millis(900)).await;
        for _ in 0..4 {
            site.upstreams[0].open_gate();
        }
    };
    let (answer, ()) = tokio::join!(call, open_later);
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "first"));
}

/// Guards against a server error of one upstream that is returned although the other upstream
/// answers the request well.
#[tokio::test]
async fn server_error_waits_for_the_other_upstream() {
    let failing =
        vec![Step::Gate, answer_with(500, "x-request: r1\r\nx-mark: m\r\n", "no").remove(0)];
    let slow = vec![Step::Gate, marked_answer("well").remove(0)];
    let site = start_site(vec![failing; 2], vec![slow; 2]).await;
    let call = site.call(Method::GET, "/lookup/x", &[]);
    let open_later = async {
        tokio::time::sleep(Duration::from_millis(900)).await;
        site.upstreams[0].open_gate();
        tokio::time::sleep(Duration::from_millis(100)).await;
        site.upstreams[1].open_gate();
    };
    let (answer, ()) = tokio::join!(call, open_later);
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "well"));
}

/// Guards against a stream that mixes the events of two attempts.
#[tokio::test]
async fn hedged_stream_is_that_of_one_upstream() {
    let whole = |from: u64| {
        vec![Step::Write(format!("{}{}0\r\n\r\n", stream_head(), event_chunks(from, from + 3)))]
    };
    let site = start_site(vec![whole(1); 2 * TAUGHT], vec![whole(1); 2 * TAUGHT]).await;
    for _ in 0..TAUGHT {
        let answer = site.call(Method::POST, "/tell/x", &[]).await;
        assert!(answer.complete, "{}", answer.body);
    }
    site.upstreams[0].replace_scripts(hanging(8));
    site.upstreams[1].replace_scripts(vec![whole(1); 16]);
    let mut soon = 0;
    for _ in 0..8 {
        let begun = Instant::now();
        let answer = site.call(Method::POST, "/tell/x", &[]).await;
        let events: String = (1..4).map(event).collect();
        if answer.complete {
            assert_eq!(answer.body, events);
            soon += usize::from(begun.elapsed() < SOON);
        }
    }
    assert!(soon >= 6, "{soon} of 8 streams began soon");
}

/// Guards against a caller who gets the late answer of an attempt that another one overtook: its
/// connection must not carry further requests. All requests have the same id, so that the id does
/// not show it.
#[tokio::test]
async fn late_answer_of_the_other_attempt_reaches_nobody() {
    let late = vec![Step::Gate, marked_answer("late").remove(0)];
    let sound = vec![marked_answer("sound"); 64];
    let first = [vec![late; 4], sound.clone()].concat();
    let site = start_site(first, sound).await;
    let mut overtaken = 0;
    while overtaken < 4 {
        let before = site.request_count(0);
        let answer = site.call(Method::GET, "/lookup/x", &[]).await;
        assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "sound"));
        overtaken += site.request_count(0) - before;
    }
    for _ in 0..4 {
        site.upstreams[0].open_gate();
    }
    for _ in 0..20 {
        let answer = site.call(Method::GET, "/lookup/x", &[]).await;
        assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "sound"));
    }
}

/// Guards against an answer that breaks off after its head has ended the wait for the other attempt,
/// and reaches the caller as a complete success.
#[tokio::test]
async fn broken_answer_of_second_attempt_is_no_success() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 400000\r\nx-request: r1\r\nx-mark: m\r\n\r\n";
    let broken = vec![Step::Write(format!("{head}{}", "x".repeat(300_000))), Step::Reset];
    let site = start_site(hanging(8), vec![broken; 8]).await;
    for _ in 0..4 {
        let answer = site.call(Method::GET, "/lookup/x", &[("x-wait-ms", "2500")]).await;
        let is_success = answer.complete && !answer.status.is_server_error();
        assert!(!is_success, "{} with {} bytes", answer.status, answer.body.len());
    }
}
