//! Tests of evacuated zones at a router: none of its ways to an upstream leads there.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use baobabfall_core::local_dispatcher::route_of;
use baobabfall_core::send_barrier::SendBarrier;
use baobabfall_core::upstream_registry::{UpstreamAnnouncement, UpstreamKind, WorkTarget};
use baobabfall_core::zone_evacuations::EvacuationList;
use baobabfall_node::messages::RegistryView;
use baobabfall_router::upstream_directory::UpstreamDirectory;
use http::Method;
use std::sync::Arc;
use support::exchange_site::*;
use support::fake_controller::FakeController;
use support::fake_upstream::Step;
use support::{TestRouter, service_announcement, wait_for};

fn list(version: u64, zones: &[&str]) -> EvacuationList {
    EvacuationList { version, zones: zones.iter().map(|zone| (*zone).to_owned()).collect() }
}

fn announcement(name: &str, zone: &str) -> UpstreamAnnouncement {
    let address = "127.0.0.1:9".parse().unwrap();
    UpstreamAnnouncement { zone: zone.to_owned(), ..service_announcement(name, address) }
}

/// Guards against a list from a controller that lags behind, which must not replace a newer one.
#[tokio::test]
async fn set_evacuations_older_list_changes_nothing() {
    let directory = UpstreamDirectory::new();
    assert!(directory.set_evacuations(list(3, &["z1"])));
    assert!(!directory.set_evacuations(list(2, &[])) && !directory.set_evacuations(list(3, &[])));
    assert!(directory.is_zone_evacuated("z1"));
    assert!(directory.set_evacuations(list(4, &[])));
    assert!(!directory.is_zone_evacuated("z1"));
}

/// Guards against a request to an upstream that may be in an evacuated zone because no registry
/// lists it any more.
#[tokio::test]
async fn is_evacuated_unknown_upstream_counts_as_evacuated() {
    let directory = UpstreamDirectory::new();
    let upstreams = vec![announcement("a", "z1"), announcement("b", "z2")];
    directory.set_registry(RegistryView { version: (1, 1), upstreams });
    directory.announce(announcement("c", "z1")).unwrap();
    assert!(["a", "b", "c", "gone"].iter().all(|name| !directory.is_evacuated(name)));
    directory.set_evacuations(list(1, &["z1"]));
    let evacuated = ["a", "b", "c", "gone"].map(|name| directory.is_evacuated(name));
    assert_eq!(evacuated, [true, false, true, true]);
    let target = WorkTarget::new(UpstreamKind::Service, "cases".to_owned());
    assert_eq!(directory.serving_count(&target), 1);
    directory.set_evacuations(list(2, &["z1", "z2"]));
    assert!(directory.is_served_evacuated_only(&target));
}

/// Zone that the tests evacuate.
const ZONE: &str = "z9";

/// Starts a site whose upstream with this index is in [`ZONE`]; the others are elsewhere.
async fn start_site(scripts: Vec<Vec<Vec<Step>>>, index: usize) -> ExchangeSite {
    let (controller, upstreams) = start_peers(scripts).await;
    for upstream in &mut controller.script().upstreams[2 * index..2 * index + 2] {
        upstream.zone = ZONE.to_owned();
    }
    ExchangeSite::start_between(controller, upstreams, "", None).await
}

async fn evacuate(site: &ExchangeSite) {
    site.controller.script().evacuations = list(1, &[ZONE]);
    let directory = site.handle.state().fleet.directory();
    wait_for("the evacuation", || directory.evacuations().version == 1).await;
}

/// Guards against requests that reach an evacuated zone with a granted slot, by direct placement or
/// as a retry of a request that failed elsewhere, and against requests that are lost meanwhile.
#[tokio::test]
async fn may_send_evacuated_zone_gets_no_request() {
    let failing = answer_with(503, "x-not-run: 1\r\nx-request: r1\r\n", "");
    let mut answers = vec![marked_answer("a"); 4];
    answers.insert(2, failing);
    answers.insert(3, marked_answer("b"));
    let site = start_site(vec![vec![], answers], 0).await;
    evacuate(&site).await;
    for path in ["/read/x", "/plain/x", "/read/y", "/once/x", "/plain/x"] {
        let answer = site.call(Method::GET, path, &[]).await;
        assert_eq!(answer.status.as_u16(), 200, "{path}: {}", answer.body);
    }
    assert_eq!((site.request_count(0), site.request_count(1)), (0, 6));
    let metrics = String::from_utf8(site.handle.state().metrics.scrape()).unwrap();
    assert!(metrics.contains("reason=\"zone_evacuated\""), "withheld requests are counted");
    let gauge = metrics.lines().find(|line| line.starts_with("baobabfall_evacuated_zones"));
    assert!(gauge.is_some_and(|line| line.ends_with(" 1")), "{gauge:?}");
}

/// Guards against a stream that is resumed in a zone that was evacuated while it ran, and against a
/// stream in the zone that is cut by the evacuation.
#[tokio::test]
async fn resume_stream_avoids_evacuated_zone() {
    let first = stream_head() + &event_chunks(1, 3);
    let broken = vec![Step::Write(first), Step::Gate, Step::Close];
    let rest = |from| format!("{}0\r\n\r\n", event_chunks(from, 5));
    let running =
        vec![Step::Write(stream_head() + &event_chunks(1, 3)), Step::Gate, Step::Write(rest(3))];
    let resumed = vec![Step::Write(stream_head() + &rest(3))];
    let site = start_site(vec![vec![broken], vec![running], vec![resumed]], 1).await;
    let call = || site.call(Method::GET, "/resume/x", &[]);
    let evacuation = async {
        wait_for("both runs", || site.request_count(0) + site.request_count(1) == 2).await;
        evacuate(&site).await;
        site.upstreams[0].open_gate();
        wait_for("the resumption", || site.request_count(2) == 1).await;
        site.upstreams[1].open_gate();
    };
    let (broken, running, ()) = tokio::join!(call(), call(), evacuation);
    let whole = (1..5).map(event).collect::<String>();
    assert_eq!((broken.body, running.body), (whole.clone(), whole));
    assert_eq!(site.request_count(1), 1);
}

/// Guards against a router without a controller that forgets an evacuation, or uses a slot there
/// that it holds.
#[tokio::test]
async fn evacuation_without_controller_stays_in_force() {
    let gated = vec![vec![Step::Gate, marked_answer("a").remove(0)], marked_answer("b")];
    let site = start_site(vec![gated], 0).await;
    let first = site.call(Method::GET, "/read/x", &[]);
    let second = async {
        wait_for("the first run", || site.request_count(0) == 1).await;
        evacuate(&site).await;
        site.controller.script().silent = true;
        wait_for("local mode", || site.handle.is_local()).await;
        site.upstreams[0].open_gate();
        site.call(Method::GET, "/read/x", &[]).await
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!((first.status.as_u16(), second.status.as_u16()), (200, 503));
    assert_eq!(site.request_count(0), 1);
    let router = site.handle.state();
    let evacuated = router.fleet.directory().registry().upstreams[0].clone();
    let barrier = router.send_barrier(&route_of(&evacuated));
    assert_eq!(barrier, Some(SendBarrier::Evacuated));
}

/// Guards against a request that waits for its deadline although only evacuated upstreams serve
/// it.
#[tokio::test]
async fn request_for_evacuated_only_is_refused_at_once() {
    let site = start_site(vec![vec![]], 0).await;
    evacuate(&site).await;
    for path in ["/read/x", "/plain/x"] {
        let answer = site.call(Method::GET, path, &[]).await;
        assert_eq!((answer.status.as_u16(), answer.body.as_str()), (503, "no_upstream"));
    }
    assert_eq!(site.request_count(0), 0);
}

/// Guards against a restarted router that serves with an older list than the group acknowledged:
/// the leader cannot confirm, and a controller holds an order that it has not applied.
#[tokio::test]
async fn initial_table_with_pending_order_is_not_used() {
    let start = || FakeController::start(vec![]);
    let controllers = [start().await, start().await, start().await];
    let members: Vec<_> = controllers.iter().map(|controller| controller.address).collect();
    for controller in &controllers {
        let mut script = controller.script();
        (script.confirmed, script.leads, script.leader) = (false, false, None);
        script.members = members.clone();
        script.routes = Some(Arc::new(route_table(5)));
        script.evacuation_pending = true;
    }
    controllers[2].script().evacuation_pending = false;
    controllers[2].script().evacuations = list(4, &["z9"]);
    let router = TestRouter::start(&members, "").await;
    wait_for("the first answers", || controllers[0].script().sync_count > 3).await;
    assert!(router.handle.state().fleet.table().is_none(), "an order may be missing");
    controllers[0].script().evacuation_pending = false;
    controllers[1].script().silent = true;
    let fleet = &router.handle.state().fleet;
    wait_for("the tables", || fleet.table().is_some()).await;
    assert_eq!(*fleet.directory().evacuations(), list(4, &["z9"]));
}

/// Guards against a router that never becomes ready after a restart of the whole group: its
/// settings name three of eight controllers, which are no majority, and another one leads.
#[tokio::test]
async fn initial_table_comes_from_leader_that_settings_do_not_name() {
    let start = || FakeController::start(vec![]);
    let controllers = [start().await, start().await, start().await, start().await];
    let leader = controllers[3].address;
    let mut members: Vec<_> = controllers.iter().map(|controller| controller.address).collect();
    let silent = start().await;
    silent.script().silent = true;
    members.extend([silent.address; 4]);
    for controller in &controllers {
        let mut script = controller.script();
        let leads = controller.address == leader;
        (script.confirmed, script.leads, script.leader) = (leads, leads, Some(leader));
        script.members = members.clone();
        script.routes = Some(Arc::new(route_table(5)));
        script.evacuations = list(4, &["z9"]);
    }
    let router = TestRouter::start(&members[..3], "").await;
    let fleet = &router.handle.state().fleet;
    wait_for("the tables", || fleet.table().is_some()).await;
    assert_eq!(*fleet.directory().evacuations(), list(4, &["z9"]));
}
