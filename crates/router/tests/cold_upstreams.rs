//! Tests of cold upstreams at a router, which asks last whether a request may be sent.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use baobabfall_core::dispatch_messages::UpstreamRoute;
use baobabfall_core::local_dispatcher::route_of;
use baobabfall_core::route_table::{ColdRow, ServiceRow};
use baobabfall_core::send_barrier::SendBarrier;
use baobabfall_core::upstream_limits::read_rate;
use baobabfall_core::upstream_registry::UpstreamAnnouncement;
use baobabfall_core::zone_evacuations::EvacuationList;
use baobabfall_node::messages::RegistryView;
use baobabfall_router::upstream_directory::UpstreamDirectory;
use http::Method;
use std::time::Duration;
use support::exchange_site::*;
use support::service_announcement;

fn cold_service(name: &str) -> ServiceRow {
    let cold = ColdRow { start_ms: 3_000, rate: read_rate("8.9").unwrap() };
    let row = route_table(1).services.remove(0);
    ServiceRow { name: name.to_owned(), cold: Some(cold), ..row }
}

fn cold(known: &UpstreamAnnouncement, sequence: u64, cold_ms: Option<u64>) -> UpstreamAnnouncement {
    UpstreamAnnouncement { sequence, cold_ms, ..known.clone() }
}

/// Guards against a slot granted while an upstream was warm that is used once it is known to be
/// cold: the dispatcher has not counted it.
#[tokio::test]
async fn may_send_cold_upstream_gets_paced_grants_only() {
    let scripts = vec![vec![marked_answer("a")], vec![marked_answer("b"), marked_answer("c")]];
    let site = ExchangeSite::start(scripts).await;
    let router = site.handle.state();
    let directory = router.fleet.directory();
    let known = directory.registry().upstreams[0].clone();
    let service = known.serves[0].clone();
    directory.set_cold_services(&[cold_service(&service)]);
    directory.announce(cold(&known, known.sequence + 1, Some(60_000))).unwrap();
    let unpaced = route_of(&known);
    assert_eq!(router.send_barrier(&unpaced), Some(SendBarrier::Cold));
    assert!(router.may_send(&UpstreamRoute { paced: true, ..unpaced.clone() }));
    for _ in 0..2 {
        let answer = site.call(Method::GET, "/read/x", &[]).await;
        assert_eq!(answer.status.as_u16(), 200, "{}", answer.body);
    }
    assert_eq!((site.request_count(0), site.request_count(1)), (0, 2));
    directory.announce(cold(&known, known.sequence + 2, Some(0))).unwrap();
    assert!(router.may_send(&unpaced), "the upstream is warm");
}

/// Guards against requests that a router sends to a cold plain upstream without the dispatcher,
/// which would not count towards the rate of the fleet.
#[tokio::test]
async fn take_direct_slot_skips_cold_upstream() {
    let site = ExchangeSite::start(vec![vec![marked_answer("a"), marked_answer("b")]]).await;
    let router = site.handle.state();
    let directory = router.fleet.directory();
    let registry = directory.registry();
    let plain = registry.upstreams.iter().find(|upstream| upstream.serves[0] == "lookups");
    let plain = plain.unwrap().clone();
    directory.set_cold_services(&[cold_service("lookups")]);
    directory.announce(cold(&plain, plain.sequence + 1, Some(60_000))).unwrap();
    site.controller.script().free_slots = 0;
    assert_eq!(site.call(Method::GET, "/plain/x", &[]).await.status.as_u16(), 503);
    assert_eq!(site.request_count(0), 0, "the request needs a grant");
    directory.announce(cold(&plain, plain.sequence + 2, Some(0))).unwrap();
    assert_eq!(site.call(Method::GET, "/plain/x", &[]).await.status.as_u16(), 200);
}

/// Guards against a router that takes a warm upstream for cold because a registry repeats an
/// announcement, and against one that never learns that it is cold again.
#[tokio::test(start_paused = true)]
async fn set_registry_cold_time_passes() {
    let directory = UpstreamDirectory::new();
    directory.set_cold_services(&[cold_service("cases")]);
    let known = service_announcement("u-1", "127.0.0.1:9".parse().unwrap());
    let known = UpstreamAnnouncement { serves: vec!["cases".to_owned()], ..known };
    let incarnation = known.incarnation;
    let view = |version: u64, sequence: u64, cold_ms: Option<u64>| RegistryView {
        version: (1, version),
        upstreams: vec![cold(&known, sequence, cold_ms)],
    };
    assert!(directory.set_registry(view(1, 1, None)));
    assert!(directory.is_cold("u-1", incarnation), "the state is not known");
    assert!(!directory.has_stated_cold("u-1", incarnation), "the dispatcher decides");
    directory.set_registry(view(2, 2, Some(1_000)));
    tokio::time::advance(Duration::from_millis(900)).await;
    directory.set_registry(view(3, 2, Some(1_000)));
    assert_eq!(directory.cold_rates().len(), 1);
    tokio::time::advance(Duration::from_millis(2_200)).await;
    assert!(!directory.is_cold("u-1", incarnation), "the same announcement was repeated");
    directory.set_registry(view(4, 3, Some(2_000)));
    assert!(directory.has_stated_cold("u-1", incarnation));
    tokio::time::advance(Duration::from_millis(2_000)).await;
    assert!(!directory.is_cold("u-1", incarnation));
    let evacuate = |version: u64, zones: &[&str]| {
        let zones = zones.iter().map(|zone| (*zone).to_owned()).collect();
        directory.set_evacuations(EvacuationList { version, zones })
    };
    evacuate(1, &["other"]);
    evacuate(2, &[known.zone.as_str()]);
    assert!(!directory.is_cold("u-1", incarnation), "another zone was readmitted");
    evacuate(3, &[]);
    assert!(directory.is_cold("u-1", incarnation), "the zone got no requests");
    assert!(!directory.is_cold("u-1", incarnation + 1));
    assert!(directory.is_replaced("u-1", incarnation - 1));
    assert!(!directory.is_replaced("u-1", incarnation));
}
