//! Tests of streams that go on while upstreams of several software versions serve.

#![allow(clippy::unwrap_used)]

mod support;

use baobabfall_core::dispatch_messages::{OriginCopy, StreamOrigin};
use baobabfall_core::local_dispatcher::LocalSettings;
use baobabfall_core::route_table::RouteShare;
use baobabfall_core::software_version::SoftwareVersion;
use baobabfall_core::stream_origins::stream_key;
use http::Method;
use std::sync::Arc;
use std::time::Duration;
use support::exchange_site::{
    ExchangeSite, event, event_chunks, route_table, start_peers, stream_head,
};
use support::fake_controller::FakeController;
use support::fake_upstream::{Step, header_of};
use support::{Answer, wait_for};

const END: &str = "0\r\n\r\n";
/// Headers of an attempt that goes on after event 2 of the stream that request `r1` began.
const TAKES_UP_R1: [(&str, &str); 3] =
    [("x-request", "r2"), ("x-resumes", "r1"), ("x-last-event", "2")];

fn broken_after_two() -> Vec<Step> {
    vec![Step::Write(format!("{}{}", stream_head(), event_chunks(1, 3))), Step::Close]
}

/// The rest of a stream of four events, in the answer to request `id`.
fn rest_for(id: &str) -> Vec<Step> {
    let head = stream_head().replace("r1", id);
    vec![Step::Write(format!("{head}{}{END}", event_chunks(3, 5)))]
}

/// A router with one upstream per entry, each with its software version and its script.
async fn site_of(versions: Vec<(&str, Vec<Vec<Step>>)>) -> ExchangeSite {
    let (names, scripts): (Vec<&str>, Vec<_>) = versions.into_iter().unzip();
    let (controller, upstreams) = start_peers(scripts).await;
    for upstream in &mut controller.script().upstreams {
        let index: usize = upstream.name[1..2].parse().unwrap();
        upstream.software = SoftwareVersion::parse(names[index]);
    }
    ExchangeSite::start_between(controller, upstreams, "", None).await
}

/// The answer to `r1`, whose stream breaks after two events and is not continued.
async fn begin_stream(site: &ExchangeSite) -> Answer {
    let answer = site.call(Method::POST, "/long-resume/x", &[]).await;
    assert!(!answer.complete);
    assert_eq!(answer.body, format!("{}{}", event(1), event(2)));
    answer
}

/// Guards against an answer with events of two software versions.
#[tokio::test]
async fn broken_stream_stays_at_its_version() {
    let site = site_of(vec![("v1", vec![broken_after_two()]), ("v2", vec![rest_for("r1")])]).await;
    let answer = site.call(Method::POST, "/resume/x", &[]).await;
    assert!(!answer.complete, "no upstream of the version is left");
    assert_eq!(answer.body, format!("{}{}", event(1), event(2)));
    assert_eq!(site.request_count(1), 0);
}

/// Guards against a caller who resumes a stream and gets events of another software version.
#[tokio::test]
async fn taken_up_stream_stays_at_its_version() {
    let site = site_of(vec![
        ("v1", vec![broken_after_two()]),
        ("v2", vec![rest_for("r2")]),
        ("v1", vec![rest_for("r2")]),
    ])
    .await;
    begin_stream(&site).await;
    let answer = site.call(Method::POST, "/long-resume/x", &TAKES_UP_R1).await;
    assert_eq!((site.request_count(1), site.request_count(2)), (0, 1));
    assert!(answer.complete);
    assert_eq!(answer.body, format!("{}{}", event(3), event(4)));
}

/// Guards against a stream that goes on at any version when the version that began it is gone or
/// nobody knows it, and against callers who wait in vain then.
#[tokio::test]
async fn taken_up_stream_without_its_version_is_refused() {
    let site = site_of(vec![("v1", vec![rest_for("r2")])]).await;
    for headers in [&TAKES_UP_R1[..], &[("x-request", "r2"), ("x-last-event", "2")]] {
        let answer = site.call(Method::POST, "/long-resume/x", headers).await;
        assert_eq!(answer.status.as_u16(), 503, "{}", answer.body);
        assert_eq!(answer.header("x-retry-ms"), "", "no later attempt can succeed");
    }
    assert_eq!(site.request_count(0), 0);
}

/// Guards against a caller who cannot resume a stream at another router than the one that began
/// it, and against one who waits for a stream that the dispatcher does not know.
#[tokio::test]
async fn stream_of_another_router_goes_on() {
    let site = site_of(vec![("v1", vec![rest_for("r2")]), ("v2", vec![rest_for("r2")])]).await;
    let software = SoftwareVersion::parse("v2").unwrap();
    let origin = StreamOrigin { service: "cases".to_owned(), software };
    let key = stream_key("team-a", "r1");
    site.controller.script().origins.insert(key, origin);
    let answer = site.call(Method::POST, "/long-resume/x", &TAKES_UP_R1).await;
    assert!(answer.complete, "{}", answer.body);
    assert_eq!((site.request_count(0), site.request_count(1)), (0, 1));
    site.controller.script().origins.clear();
    let unknown = [("x-request", "r2"), ("x-resumes", "r9"), ("x-last-event", "2")];
    let started = tokio::time::Instant::now();
    let answer = site.call(Method::POST, "/long-resume/x", &unknown).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (503, "stream_unknown"));
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
}

/// Guards against a caller who is told that a stream is lost while only the dispatcher is silent,
/// and against one who is held until the deadline.
#[tokio::test]
async fn taken_up_stream_may_be_retried_while_dispatcher_is_silent() {
    let site = site_of(vec![("v1", vec![])]).await;
    site.controller.script().silent = true;
    let answer = site.call(Method::POST, "/long-resume/x", &TAKES_UP_R1).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (503, "peer_unreachable"));
    assert_ne!(answer.header("x-retry-ms"), "");
    assert_eq!(site.request_count(0), 0);
}

/// Stops the controller's answers and waits until the router places requests itself, also beyond
/// the slots that it held.
async fn cut_off(site: &ExchangeSite) {
    site.controller.script().silent = true;
    let state = site.handle.state();
    wait_for("local mode", || {
        site.handle.is_local() && state.dispatch.silence() > LocalSettings::default().isolation_wait
    })
    .await;
}

/// Guards against a router that was cut off while an upstream came back under its name with other
/// software, and that goes on there with a stream of the earlier version.
#[tokio::test]
async fn taken_up_stream_is_not_placed_without_dispatcher() {
    let site = site_of(vec![("v1", vec![broken_after_two(), rest_for("r2")])]).await;
    begin_stream(&site).await;
    cut_off(&site).await;
    let answer = site.call(Method::POST, "/long-resume/x", &TAKES_UP_R1).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (503, "peer_unreachable"));
    assert_ne!(answer.header("x-retry-ms"), "");
    assert_eq!(site.request_count(0), 1);
    site.controller.script().silent = false;
    let answer = site.call(Method::POST, "/long-resume/x", &TAKES_UP_R1).await;
    assert!(answer.complete, "{}", answer.body);
    assert_eq!(answer.body, format!("{}{}", event(3), event(4)));
}

/// The same for a stream that breaks while the router is cut off and that it would continue itself.
#[tokio::test]
async fn broken_stream_is_not_continued_without_dispatcher() {
    let mut broken = broken_after_two();
    broken.insert(1, Step::Gate);
    let site = site_of(vec![("v1", vec![broken, rest_for("r1")])]).await;
    let call = site.call(Method::POST, "/resume/x", &[]);
    let break_off = async {
        wait_for("the request", || site.request_count(0) == 1).await;
        site.controller.script().silent = true;
        wait_for("local mode", || site.handle.is_local()).await;
        site.upstreams[0].open_gate();
    };
    let (answer, ()) = tokio::join!(call, break_off);
    assert!(!answer.complete);
    assert_eq!(answer.body, format!("{}{}", event(1), event(2)));
    assert_eq!(site.request_count(0), 1);
}

/// Guards against a stream that a router which was cut off began at an upstream of unconfirmed
/// version, and that goes on at the version that the router took for granted.
#[tokio::test]
async fn stream_begun_without_dispatcher_has_no_origin() {
    let site = site_of(vec![("v1", vec![broken_after_two(), rest_for("r2")])]).await;
    cut_off(&site).await;
    begin_stream(&site).await;
    site.controller.script().silent = false;
    wait_for("the dispatcher", || !site.handle.is_local()).await;
    let answer = site.call(Method::POST, "/long-resume/x", &TAKES_UP_R1).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (503, "stream_unknown"));
    assert_eq!(site.request_count(0), 1);
}

/// Guards against a stream that goes on at an upstream whose version is not known.
#[tokio::test]
async fn stream_of_unknown_version_is_not_continued() {
    let site = site_of(vec![("", vec![broken_after_two()]), ("", vec![rest_for("r1")])]).await;
    let answer = site.call(Method::POST, "/resume/x", &[]).await;
    assert!(!answer.complete);
    assert_eq!(site.request_count(0) + site.request_count(1), 1);
    let answer = site.call(Method::POST, "/long-resume/x", &TAKES_UP_R1).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (503, "stream_unknown"));
}

/// Guards against a retry that is held to the version of an upstream which sent no event.
#[tokio::test]
async fn stream_without_event_begins_anew_at_any_version() {
    let crash = vec![Step::Write(stream_head()), Step::Close];
    let whole = vec![Step::Write(format!("{}{}{END}", stream_head(), event_chunks(1, 5)))];
    let site = site_of(vec![("v1", vec![crash]), ("v2", vec![whole])]).await;
    let answer = site.call(Method::POST, "/resume/x", &[]).await;
    assert!(answer.complete);
    assert_eq!(answer.body, (1..5).map(event).collect::<String>());
}

/// Guards against a stream that goes on in another service of its route, and against one that
/// goes on in a service that its route has left.
#[tokio::test]
async fn taken_up_stream_stays_in_its_service() {
    let site = site_of(vec![("v1", vec![rest_for("r2"), rest_for("r2")])]).await;
    let software = SoftwareVersion::parse("v1").unwrap();
    let origin = StreamOrigin { service: "lookups".to_owned(), software };
    site.controller.script().origins.insert(stream_key("team-a", "r1"), origin);
    let answer = site.call(Method::POST, "/long-resume/x", &TAKES_UP_R1).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (503, "stream_version_gone"));
    let mut routes = route_table(6);
    let split = |service: &str, weight| RouteShare { service: service.to_owned(), weight };
    let row = routes.routes.iter_mut().find(|row| row.prefix == "/long-resume/").unwrap();
    row.shares = vec![split("cases", 1_000_000), split("lookups", 1)];
    site.controller.script().routes = Some(Arc::new(routes));
    wait_for("the routes", || site.handle.state().fleet.routes_version() == 6).await;
    let answer = site.call(Method::POST, "/long-resume/x", &TAKES_UP_R1).await;
    assert!(answer.complete, "{}", answer.body);
    let log = site.upstreams[0].log();
    assert_eq!(header_of(&log.requests[0].0, "x-upstream"), "u0-plain");
}

/// Guards against callers whose streams never go on because they do not name the request that
/// began them; its content tells.
#[tokio::test]
async fn stream_without_named_request_goes_on_by_content() {
    let site =
        site_of(vec![("v1", vec![broken_after_two(), rest_for("r2")]), ("v2", vec![])]).await;
    site.controller.script().free_slots = 1;
    let answer = site.call_body(Method::POST, "/long-resume/x", &[], "a").await;
    assert!(!answer.complete);
    wait_for("the report of the stream", || {
        site.controller.script().copy_reported_origins();
        !site.controller.script().origins.is_empty()
    })
    .await;
    site.controller.script().free_slots = usize::MAX;
    let takes_up = [("x-request", "r2"), ("x-last-event", "2")];
    let other = site.call_body(Method::POST, "/long-resume/x", &takes_up, "b").await;
    assert_eq!((other.status.as_u16(), other.body.as_str()), (503, "stream_unknown"));
    let answer = site.call_body(Method::POST, "/long-resume/x", &takes_up, "a").await;
    assert_eq!((answer.status.as_u16(), answer.complete), (200, true), "{}", answer.body);
    assert_eq!((site.request_count(0), site.request_count(1)), (2, 0));
}

/// Guards against a stream of unknown version that goes on at the version of an earlier stream of
/// the same content.
#[tokio::test]
async fn stream_of_unknown_version_makes_its_content_ambiguous() {
    let site = site_of(vec![
        ("v1", vec![broken_after_two(), rest_for("r2")]),
        ("", vec![broken_after_two()]),
    ])
    .await;
    for _ in 0..2 {
        begin_stream(&site).await;
    }
    assert_eq!((site.request_count(0), site.request_count(1)), (1, 1));
    // The router reports a stream within a few milliseconds.
    tokio::time::sleep(Duration::from_millis(200)).await;
    site.controller.script().copy_reported_origins();
    let takes_up = [("x-request", "r2"), ("x-last-event", "2")];
    let answer = site.call(Method::POST, "/long-resume/x", &takes_up).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (503, "stream_unknown"));
    assert_eq!(site.request_count(0) + site.request_count(1), 2);
}

/// Guards against callers who resume a stream of another workspace by its id.
#[tokio::test]
async fn stream_of_another_workspace_is_unknown() {
    let site = site_of(vec![("v1", vec![broken_after_two(), rest_for("r2")])]).await;
    begin_stream(&site).await;
    let book = site.handle.state().queue.book().known_origin(stream_key("team-a", "r1"));
    assert_eq!(book.unwrap().software, SoftwareVersion::parse("v1").unwrap());
    let others = site.handle.state().queue.book().known_origin(stream_key("team-b", "r1"));
    assert_eq!(others, None);
}

fn origin_at(version: &str) -> StreamOrigin {
    let software = SoftwareVersion::parse(version).unwrap();
    StreamOrigin { service: "cases".to_owned(), software }
}

/// A router with upstreams of two versions, whose dispatcher runs at the controller of the site,
/// and two followers, of which it polls one.
async fn site_with_followers() -> (ExchangeSite, [FakeController; 2]) {
    let site = site_of(vec![
        ("v1", vec![broken_after_two(), rest_for("r2")]),
        ("v2", vec![rest_for("r2"), rest_for("r2")]),
    ])
    .await;
    let followers = [FakeController::start(vec![]).await, FakeController::start(vec![]).await];
    let leader = site.controller.address;
    let members = vec![leader, followers[0].address, followers[1].address];
    for follower in &followers {
        let mut script = follower.script();
        (script.leads, script.not_leader, script.in_contact) = (false, true, true);
        (script.leader, script.members) = (Some(leader), members.clone());
        script.registry_version = 0;
    }
    {
        let mut script = site.controller.script();
        // Brings the next answer forward, which names the members.
        (script.members, script.stops_version) = (members, 1);
    }
    wait_for("polls of a follower", || {
        followers.iter().any(|follower| follower.script().sync_count > 0)
    })
    .await;
    (site, followers)
}

/// Guards against streams that nobody can take up again once the router that began them is lost
/// together with the leader, as on one host: the next dispatcher has not heard of them.
#[tokio::test]
async fn stream_of_lost_router_and_leader_goes_on() {
    let (site, followers) = site_with_followers().await;
    let key = stream_key("team-a", "r1");
    followers[1].script().origins.insert(key, origin_at("v2"));
    let answer = site.call(Method::POST, "/long-resume/x", &TAKES_UP_R1).await;
    assert!(answer.complete, "{}", answer.body);
    assert_eq!((site.request_count(0), site.request_count(1)), (0, 1));
}

/// Guards against events of two versions in one stream: copies that differ, or a dispatcher that
/// knows of several streams, leave the origin open.
#[tokio::test]
async fn stream_of_two_origins_is_refused() {
    let (site, followers) = site_with_followers().await;
    let key = stream_key("team-a", "r1");
    followers[0].script().origins.insert(key, origin_at("v2"));
    site.controller.script().ambiguous.push(key);
    let answer = site.call(Method::POST, "/long-resume/x", &TAKES_UP_R1).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (503, "stream_unknown"));
    site.controller.script().ambiguous.clear();
    // A caller that names no request is known by the content of its request.
    let unnamed = [("x-request", "r2"), ("x-last-event", "2")];
    begin_stream(&site).await;
    wait_for("the report of the stream", || {
        let mut script = site.controller.script();
        script.copy_reported_origins();
        script.origins.len() == 2
    })
    .await;
    let content = *site.controller.script().origins.keys().find(|known| **known != key).unwrap();
    site.controller.script().origins.clear();
    followers[0].script().origins.insert(content, origin_at("v1"));
    followers[1].script().origins.insert(content, origin_at("v2"));
    let answer = site.call(Method::POST, "/long-resume/x", &unnamed).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (503, "stream_unknown"));
    followers[1].script().origins.clear();
    let answer = site.call(Method::POST, "/long-resume/x", &unnamed).await;
    assert!(answer.complete, "{}", answer.body);
    assert_eq!((site.request_count(0), site.request_count(1)), (2, 0));
}

/// Guards against a second copy that is missing, that is sent to the leader, or that a follower has
/// lost by a restart.
#[tokio::test]
async fn begun_stream_is_copied_to_follower() {
    let (site, followers) = site_with_followers().await;
    let key = stream_key("team-a", "r1");
    begin_stream(&site).await;
    let lists = |copies: &[OriginCopy]| {
        let mut streams = copies.iter().flat_map(|copy| &copy.begun).flat_map(|g| &g.streams);
        streams.any(|(listed, _)| *listed == key)
    };
    let holder = |followers: &[FakeController; 2]| {
        followers.iter().position(|follower| lists(&follower.script().copies))
    };
    wait_for("the copy", || holder(&followers).is_some()).await;
    assert!(!lists(&site.controller.script().copies), "the leader has it from the report");
    let held = &followers[holder(&followers).unwrap()];
    let count = held.script().sync_count;
    wait_for("a confirmed copy", || held.script().sync_count > count + 1).await;
    held.script().copies.clear();
    let count = held.script().sync_count;
    wait_for("later polls", || held.script().sync_count > count + 2).await;
    assert!(!lists(&held.script().copies), "a confirmed stream is sent once");
    held.script().holder = 2;
    wait_for("a full copy", || lists(&held.script().copies)).await;
}
