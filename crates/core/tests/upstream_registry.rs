//! Tests of the upstream registry: incarnations, address conflicts and
//! deregistration.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod dispatch_fleet;

use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::upstream_registry::*;
use dispatch_fleet::{engine, ms};
use std::time::Duration;

const LIFETIME: Duration = ms(1_000);

fn upstream(name: &str, incarnation: u64, sequence: u64) -> UpstreamAnnouncement {
    UpstreamAnnouncement { incarnation, sequence, ..engine(name, &["m"], 4) }
}

fn live(registry: &UpstreamRegistry) -> Vec<(&str, u64)> {
    let entries = registry.live().map(|entry| &entry.announcement);
    entries.map(|announcement| (announcement.name.as_str(), announcement.incarnation)).collect()
}

/// Guards against work for an upstream whose address another upstream now uses. The
/// one that started later owns the address, and a delayed announcement of the
/// previous owner must not take it back.
#[test]
fn announce_address_passes_to_later_start() {
    let mut registry = UpstreamRegistry::default();
    registry.announce(ms(0), LIFETIME, upstream("a", 10, 1)).unwrap();
    registry.announce(ms(10), LIFETIME, upstream("b", 20, 1)).unwrap();
    assert_eq!(live(&registry), [("b", 20)]);
    let late = registry.announce(ms(20), LIFETIME, upstream("a", 10, 2)).unwrap_err();
    assert_eq!(late.kind, ErrorKind::InvalidAnnouncement);
    assert_eq!(live(&registry), [("b", 20)]);
}

/// Guards against a deregistered incarnation that gets work again after a delayed
/// announcement, also at a controller that had no entry for it.
#[test]
fn set_deregistered_keeps_incarnation_out() {
    let mut registry = UpstreamRegistry::default();
    registry.announce(ms(0), LIFETIME, upstream("a", 10, 1)).unwrap();
    let deregistered: SortedMap<String, u64> =
        [("a".to_owned(), 10), ("b".to_owned(), 7)].into_iter().collect();
    registry.set_deregistered(ms(5), deregistered);
    assert_eq!(live(&registry), []);
    registry.announce(ms(6), LIFETIME, upstream("a", 10, 2)).unwrap();
    assert_eq!(live(&registry), []);
    registry.announce(ms(6), LIFETIME, upstream("b", 7, 9)).unwrap();
    assert_eq!(live(&registry), []);
    registry.announce(ms(7), LIFETIME, upstream("a", 11, 1)).unwrap();
    assert_eq!(live(&registry), [("a", 11)]);
}

/// Guards against delayed and duplicate announcements that overwrite newer ones.
#[test]
fn announce_out_of_order_is_refused() {
    let mut registry = UpstreamRegistry::default();
    registry.announce(ms(0), LIFETIME, upstream("a", 10, 5)).unwrap();
    for (incarnation, sequence) in [(10, 5), (10, 4), (9, 99)] {
        let refusal = registry.announce(ms(1), LIFETIME, upstream("a", incarnation, sequence));
        assert_eq!(refusal.unwrap_err().kind, ErrorKind::StaleIncarnation);
    }
    registry.announce(ms(1), LIFETIME, upstream("a", 11, 1)).unwrap();
    assert_eq!(live(&registry), [("a", 11)]);
}

/// Guards against a departed upstream that is used again after a change of the leader, because a
/// follower copied a view that the leader had built before the departure.
#[test]
fn copy_live_departed_incarnation_stays_out() {
    let mut registry = UpstreamRegistry::default();
    registry.set_deregistered(ms(0), [("a".to_owned(), 10)].into_iter().collect());
    registry.copy_live(ms(0), LIFETIME, vec![upstream("a", 10, 5), upstream("b", 7, 1)]);
    registry.extend_expiry(ms(2_000));
    assert_eq!(live(&registry), [("b", 7)]);
    registry.copy_live(ms(0), LIFETIME, vec![upstream("a", 11, 1)]);
    assert_eq!(live(&registry), [("a", 11)]);
}

/// Incarnation 7 of an upstream with an address of its own.
fn elsewhere(name: &str, sequence: u64) -> UpstreamAnnouncement {
    let address = "127.0.0.9:9".parse().unwrap();
    UpstreamAnnouncement { address, ..upstream(name, 7, sequence) }
}

fn unnamed(name: &str, number: u64, age: Duration) -> SortedMap<String, UnnamedDeparture> {
    [(name.to_owned(), UnnamedDeparture { number, age })].into_iter().collect()
}

/// Guards against an upstream that gets work again after a departure that named no incarnation, by
/// an announcement of any incarnation that was sent before or by an old copy of the registry, and
/// against one that is kept out after the hold.
#[test]
fn set_unnamed_departures_holds_announcements() {
    let end = UNNAMED_DEPARTURE_HOLD;
    let mut registry = UpstreamRegistry::default();
    registry.announce(ms(0), LIFETIME, upstream("a", 10, 1)).unwrap();
    registry.set_unnamed_departures(ms(5), &unnamed("a", 1, ms(0)));
    assert_eq!(live(&registry), []);
    for incarnation in [10, 11, u64::MAX] {
        let late = registry.announce(ms(6), LIFETIME, upstream("a", incarnation, 9)).unwrap_err();
        assert_eq!(late.kind, ErrorKind::StaleIncarnation);
    }
    registry.copy_live(ms(7), LIFETIME, vec![upstream("a", 11, 9), elsewhere("b", 1)]);
    assert_eq!(live(&registry), [("b", 7)]);
    registry.set_unnamed_departures(end, &unnamed("a", 1, ms(0)));
    registry.announce(end + ms(5), LIFETIME, upstream("a", 11, 1)).unwrap();
    assert_eq!(live(&registry), [("a", 11), ("b", 7)]);
    registry.set_unnamed_departures(end + ms(9), &unnamed("a", 1, ms(0)));
    assert_eq!(live(&registry), [("a", 11), ("b", 7)], "a departure counts once");
    registry.set_unnamed_departures(end + ms(9), &unnamed("a", 2, ms(0)));
    assert_eq!(live(&registry), [("b", 7)]);
}

/// Guards against upstreams that a controller rejects after its start because they left long ago,
/// and came back.
#[test]
fn set_unnamed_departures_after_restart_regards_their_age() {
    let mut registry = UpstreamRegistry::default();
    registry.announce(ms(0), LIFETIME, upstream("a", 11, 1)).unwrap();
    registry.set_unnamed_departures(ms(1), &unnamed("a", 1, UNNAMED_DEPARTURE_HOLD));
    assert_eq!(live(&registry), [("a", 11)]);
    registry.set_unnamed_departures(ms(2), &unnamed("b", 2, UNNAMED_DEPARTURE_HOLD - ms(100)));
    assert!(registry.announce(ms(101), LIFETIME, elsewhere("b", 1)).is_err());
    registry.announce(ms(102), LIFETIME, elsewhere("b", 2)).unwrap();
}

/// Guards against a departure that is attributed to an incarnation that may have crashed before.
#[test]
fn announcing_requires_recent_announcement() {
    let mut registry = UpstreamRegistry::default();
    registry.announce(ms(0), ms(9_000), upstream("a", 10, 1)).unwrap();
    assert_eq!(registry.announcing(ms(1_900), "a"), Some(10));
    assert_eq!(registry.announcing(ms(2_100), "a"), None);
    registry.copy_live(ms(2_100), ms(9_000), vec![upstream("a", 11, 1)]);
    assert_eq!(registry.announcing(ms(2_100), "a"), None, "a copy may be old");
}
