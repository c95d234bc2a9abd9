//! Tests of the registry of upstreams: incarnations, addresses, departures.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod dispatch_fleet;

use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::upstream_registry::*;
use dispatch_fleet::{engine, ms};
use std::time::Duration;

const LIFE: Duration = ms(1_000);

fn upstream(name: &str, incarnation: u64, sequence: u64) -> UpstreamAnnouncement {
    UpstreamAnnouncement { incarnation, sequence, ..engine(name, &["m"], 4) }
}

fn live(registry: &UpstreamRegistry) -> Vec<(&str, u64)> {
    let entries = registry.live().map(|entry| &entry.announcement);
    entries.map(|held| (held.name.as_str(), held.incarnation)).collect()
}

/// Guards against work for an upstream whose address another one holds: the
/// later start gets the address, and a delayed announcement of the former
/// owner does not take it back.
#[test]
fn announce_address_passes_to_later_start() {
    let mut registry = UpstreamRegistry::default();
    registry.announce(ms(0), LIFE, upstream("a", 10, 1)).unwrap();
    registry.announce(ms(10), LIFE, upstream("b", 20, 1)).unwrap();
    assert_eq!(live(&registry), [("b", 20)]);
    let late = registry.announce(ms(20), LIFE, upstream("a", 10, 2)).unwrap_err();
    assert_eq!(late.kind, ErrorKind::InvalidAnnouncement);
    assert_eq!(live(&registry), [("b", 20)]);
}

/// Guards against an incarnation that left and returns through a delayed
/// announcement, also at a controller that never heard of it.
#[test]
fn set_left_keeps_incarnation_out() {
    let mut registry = UpstreamRegistry::default();
    registry.announce(ms(0), LIFE, upstream("a", 10, 1)).unwrap();
    let left: SortedMap<String, u64> =
        [("a".to_owned(), 10), ("b".to_owned(), 7)].into_iter().collect();
    registry.set_deregistered(ms(5), left);
    assert_eq!(live(&registry), []);
    registry.announce(ms(6), LIFE, upstream("a", 10, 2)).unwrap();
    assert_eq!(live(&registry), []);
    registry.announce(ms(6), LIFE, upstream("b", 7, 9)).unwrap();
    assert_eq!(live(&registry), []);
    registry.announce(ms(7), LIFE, upstream("a", 11, 1)).unwrap();
    assert_eq!(live(&registry), [("a", 11)]);
}

/// Guards against late and doubled announcements that change what is known.
#[test]
fn announce_out_of_order_is_refused() {
    let mut registry = UpstreamRegistry::default();
    registry.announce(ms(0), LIFE, upstream("a", 10, 5)).unwrap();
    for (incarnation, sequence) in [(10, 5), (10, 4), (9, 99)] {
        let refusal = registry.announce(ms(1), LIFE, upstream("a", incarnation, sequence));
        assert_eq!(refusal.unwrap_err().kind, ErrorKind::StaleIncarnation);
    }
    registry.announce(ms(1), LIFE, upstream("a", 11, 1)).unwrap();
    assert_eq!(live(&registry), [("a", 11)]);
}
