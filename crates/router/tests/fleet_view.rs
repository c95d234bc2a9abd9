//! Tests of the router's view of the upstreams.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use baobabfall_core::upstream_registry::{UpstreamAnnouncement, UpstreamKind};
use baobabfall_node::messages::RegistryView;
use baobabfall_router::table_view::FleetView;

fn upstream(name: &str, port: u16) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        name: name.to_owned(),
        incarnation: 1,
        sequence: 1,
        address: ([127, 0, 0, 1], port).into(),
        kind: UpstreamKind::Service,
        serves: vec!["cases".to_owned()],
        zone: "a".to_owned(),
        concurrency: 1,
        pool: None,
        honours_fencing: false,
        resume: false,
        cancel: false,
        leaving: false,
        running: None,
        software: None,
        cold_ms: None,
    }
}

/// Guards against requests to an upstream that a new leader listed first and then removed.
#[tokio::test]
async fn set_registry_later_removal_overrides_previous_registry() {
    let fleet = FleetView::new();
    let (first, second) = (upstream("u-1", 9001), upstream("u-2", 9002));
    for (version, upstreams) in [
        ((7, 1), vec![first.clone(), second.clone()]),
        ((8, 1), vec![first, second.clone()]),
        ((8, 2), vec![second]),
    ] {
        assert!(fleet.directory().set_registry(RegistryView { version, upstreams }));
    }
    let names: Vec<String> =
        fleet.directory().upstreams().into_iter().map(|held| held.name).collect();
    assert_eq!(names, ["u-2"]);
}
