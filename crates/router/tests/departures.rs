//! Tests of upstreams that have left: whatever names them later, they get no request.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use baobabfall_core::control_state::DeregisteredUpstream;
use baobabfall_core::departure_set::DepartureList;
use baobabfall_node::messages::RegistryView;
use baobabfall_router::upstream_directory::UpstreamDirectory;
use http::Method;
use support::exchange_site::*;
use support::{service_announcement, wait_for};

fn departure(name: &str, incarnation: u64) -> DepartureList {
    let left = DeregisteredUpstream { incarnation, number: 1 };
    DepartureList { version: 1, departures: vec![(name.to_owned(), left)] }
}

fn view(version: (u64, u64), names: &[&str]) -> RegistryView {
    let address = "127.0.0.1:9".parse().unwrap();
    RegistryView {
        version,
        upstreams: names.iter().map(|name| service_announcement(name, address)).collect(),
    }
}

fn names(directory: &UpstreamDirectory) -> Vec<String> {
    directory.upstreams().into_iter().map(|upstream| upstream.name).collect()
}

/// Guards against a departed upstream that is used after a change of the leader, because the
/// registry of the previous leader is kept for a while.
#[tokio::test]
async fn add_departures_previous_registry_is_not_used() {
    let directory = UpstreamDirectory::new();
    directory.set_registry(view((1, 1), &["a", "b"]));
    let incarnation = directory.registry().upstreams[0].incarnation;
    assert_eq!(directory.add_departures(&departure("a", incarnation)), ["a"]);
    directory.set_registry(view((2, 1), &["b"]));
    assert_eq!(names(&directory), ["b"]);
    // A late leader that has not applied the departure yet.
    directory.set_registry(view((3, 1), &["a", "b"]));
    assert_eq!(names(&directory), ["b"]);
    assert!(directory.has_left("a", incarnation) && !directory.has_left("a", incarnation + 1));
}

/// Guards against a list from a controller that lags behind, which must not take departures back.
#[tokio::test]
async fn add_departures_older_list_changes_nothing() {
    let directory = UpstreamDirectory::new();
    let left = |incarnation, number| DeregisteredUpstream { incarnation, number };
    let latest = vec![("a".to_owned(), left(5, 7))];
    directory.add_departures(&DepartureList { version: 7, departures: latest });
    let older = vec![("a".to_owned(), left(3, 2))];
    assert!(directory.add_departures(&DepartureList { version: 2, departures: older }).is_empty());
    assert_eq!(directory.departures_version(), 7);
    assert!(directory.has_left("a", 5));
}

/// Guards against a request that reaches a departed upstream because an old registry, a granted
/// slot or a direct placement still names it.
#[tokio::test]
async fn may_send_departed_upstream_gets_no_request() {
    let scripts = vec![vec![], vec![marked_answer("a"), marked_answer("b"), marked_answer("c")]];
    let site = ExchangeSite::start(scripts).await;
    let router = site.handle.state();
    let departed = router.fleet.directory().registry().upstreams[0].clone();
    site.controller.script().departures = Some(departure(&departed.name, departed.incarnation));
    wait_for("the departure", || {
        router.fleet.directory().has_left(&departed.name, departed.incarnation)
    })
    .await;
    for path in ["/read/x", "/once/x", "/read/x"] {
        let answer = site.call(Method::GET, path, &[]).await;
        assert_eq!(answer.status.as_u16(), 200, "{path}: {}", answer.body);
    }
    assert_eq!((site.request_count(0), site.request_count(1)), (0, 3));
}
