//! Tests of streams that go on only at the software version that began them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod dispatch_fleet;

use baobabfall_core::dispatch_messages::*;
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::local_dispatcher::{LocalDispatcher, LocalSettings};
use baobabfall_core::slot_dispatcher::SlotDispatcher;
use baobabfall_core::software_version::SoftwareVersion;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::stream_origins::{OriginBook, OriginDirectory};
use baobabfall_core::upstream_registry::{UpstreamAnnouncement, WorkTarget};
use dispatch_fleet::{
    ManualRouter, SeededRng, engine, entry, ms, ready, row, table, target, usage,
};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(60);

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: "m".to_owned(), software: SoftwareVersion::parse(version).unwrap() }
}

fn engine_of(name: &str, version: &str, slots: u32) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        software: SoftwareVersion::parse(version),
        ..engine(name, &["m"], slots)
    }
}

/// Requests of a workspace that only upstreams of `version` may run.
fn bound_entry(workspace: &str, queued: u32, version: &str) -> BacklogEntry {
    let software = SoftwareVersion::parse(version);
    BacklogEntry { target: WorkTarget { software, ..target("m") }, ..entry(workspace, queued, 0) }
}

fn begun(streams: &[(StreamKey, u32)]) -> OriginReport {
    let group = OriginGroup { origin: Some(origin("v1")), streams: streams.to_vec() };
    OriginReport { begun: vec![group], lookups: Vec::new() }
}

fn lookup(keys: &[StreamKey]) -> OriginReport {
    OriginReport { begun: Vec::new(), lookups: keys.to_vec() }
}

/// The upstream and the target version of each grant.
fn granted<'a>(grants: &'a [SlotGrant]) -> Vec<(&'a str, Option<&'a str>)> {
    let software = |grant: &'a SlotGrant| grant.target.software.as_ref().map(|v| v.as_str());
    grants.iter().map(|grant| (grant.upstream.name.as_str(), software(grant))).collect()
}

/// Guards against streams that are forgotten early, kept for good or mixed up. The reference is a
/// map without limits.
#[test]
fn record_agrees_with_plain_map() {
    let mut rng = SeededRng::new(35);
    for _ in 0..50 {
        let mut directory = OriginDirectory::new(1_000);
        let mut naive: SortedMap<StreamKey, (u64, Option<StreamOrigin>)> = SortedMap::new();
        let mut second = 0;
        for _ in 0..400 {
            second += u64::try_from(rng.below(3)).unwrap() / 2;
            let now = Duration::from_secs(second);
            let key = u64::try_from(rng.below(60)).unwrap();
            let began = origin(&format!("v{}", rng.below(90) * rng.below(2)));
            let left = u64::try_from(rng.below(20)).unwrap();
            directory.record(now, key, Some(&began), Duration::from_secs(left));
            naive.retain(|_, (end, _)| *end >= second);
            let entry = match naive.remove(&key) {
                Some((end, known)) => {
                    (end.max(second + left), known.filter(|known| *known == began))
                }
                None => (second + left, Some(began)),
            };
            naive.insert(key, entry);
            for key in 0..60 {
                let expected = naive.get(&key).filter(|(end, _)| *end >= second);
                let expected = expected.and_then(|(_, origin)| origin.as_ref());
                assert_eq!(directory.find(now, key), expected);
            }
        }
    }
}

/// Guards against memory that grows with a flood of streams.
#[test]
fn record_beyond_limit_drops_streams_that_expire_first() {
    let mut directory = OriginDirectory::new(100);
    for key in 0..1_000_u64 {
        let left = Duration::from_secs(1 + key / 10);
        directory.record(NOW, key, Some(&origin("v1")), left);
        assert!(directory.len() <= 100);
    }
    assert_eq!(directory.find(NOW, 999), Some(&origin("v1")));
    assert_eq!(directory.find(NOW, 0), None);
}

/// Guards against streams that a lost report takes with it, and against a new dispatcher that
/// does not learn of those which the one before had acknowledged.
#[test]
fn report_repeats_until_acknowledged() {
    let mut book = OriginBook::default();
    book.record(NOW, 7, Some(&origin("v1")), Duration::from_secs(9), 4);
    let keys = |groups: Vec<OriginGroup>| -> Vec<StreamKey> {
        groups.iter().flat_map(|group| group.streams.iter().map(|(key, _)| *key)).collect()
    };
    assert!(book.is_changed(3));
    assert_eq!(keys(book.report(NOW, false, 3)), [7]);
    book.acknowledge(4);
    assert!(!book.is_changed(4));
    assert_eq!(keys(book.report(NOW, false, 4)), [0; 0]);
    assert_eq!(keys(book.report(NOW, true, 4)), [7]);
    assert_eq!(keys(book.report(NOW + Duration::from_secs(11), true, 4)), [0; 0]);
}

/// Guards against a second copy that a lost message leaves incomplete, and against a new holder that
/// learns only of later streams.
#[test]
fn copy_repeats_until_confirmed() {
    let mut book = OriginBook::default();
    let keys = |(_, groups): (u64, Vec<OriginGroup>)| -> Vec<StreamKey> {
        groups.iter().flat_map(|group| group.streams.iter().map(|(key, _)| *key)).collect()
    };
    book.record(NOW, 7, Some(&origin("v1")), Duration::from_secs(9), 4);
    let (first, _) = book.copy(NOW, false);
    book.record(NOW, 8, Some(&origin("v1")), Duration::from_secs(9), 4);
    assert_eq!(keys(book.copy(NOW, false)), [7, 8], "the first copy was lost");
    book.confirm_copy(first);
    assert_eq!(keys(book.copy(NOW, false)), [8], "the first copy arrived late");
    let (last, _) = book.copy(NOW, false);
    book.confirm_copy(last);
    assert_eq!(keys(book.copy(NOW, false)), [0; 0]);
    assert_eq!(keys(book.copy(NOW, true)), [7, 8]);
    assert!(book.is_changed(3), "a copy is no report");
}

/// Guards against a guess: streams of requests with the same content that began at two versions,
/// at two routers, are ambiguous, also for the next dispatcher.
#[test]
fn record_two_origins_is_ambiguous() {
    let lifetime = Duration::from_secs(9);
    let mut directory = OriginDirectory::new(100);
    directory.record(NOW, 7, Some(&origin("v1")), lifetime);
    directory.record(NOW, 7, Some(&origin("v1")), lifetime);
    assert_eq!(directory.find(NOW, 7), Some(&origin("v1")));
    directory.record(NOW, 7, Some(&origin("v2")), lifetime);
    directory.record(NOW, 7, Some(&origin("v2")), lifetime);
    assert_eq!(directory.find(NOW, 7), None);
    let answers = [directory.answer(NOW, 7), directory.answer(NOW, 8)];
    assert_eq!(
        answers.map(|answer| (answer.origin, answer.ambiguous)),
        [(None, true), (None, false)]
    );
    let mut next = OriginDirectory::new(100);
    next.record(NOW, 7, Some(&origin("v1")), lifetime);
    for group in directory.groups(NOW) {
        for (key, left_ms) in group.streams {
            next.record(NOW, key, group.origin.as_ref(), ms(left_ms.into()));
        }
    }
    assert_eq!((next.len(), next.find(NOW, 7)), (1, None));
}

/// Guards against callers who cannot resume a stream at another router, after the router that
/// began it is gone, or after a change of the leader.
#[test]
fn lookup_of_another_router_is_answered() {
    let rows = [row("a", 1, 9)];
    let mut dispatcher = ready(DispatchSettings::default(), &rows, &[engine_of("e", "v1", 4)]);
    let (mut first, mut second) = (ManualRouter::new("r1"), ManualRouter::new("r2"));
    let report = first.report(vec![], vec![]);
    let report = DispatchReport { origins: begun(&[(7, 9_000)]), ..report };
    dispatcher.apply_report(ms(0), &report);
    dispatcher.dispatch(ms(0));
    let ask = |router: &mut ManualRouter, dispatcher: &mut SlotDispatcher, now| {
        let report = router.report(vec![], vec![]);
        dispatcher.apply_report(now, &DispatchReport { origins: lookup(&[7, 8]), ..report });
        assert!(dispatcher.routers_to_wake().contains(&"r2"), "a lookup is answered at once");
        dispatcher.take_answer(now, "r2").origins
    };
    let answers = ask(&mut second, &mut dispatcher, ms(10));
    let found = OriginAnswer { key: 7, origin: Some(origin("v1")), ambiguous: false };
    let missing = OriginAnswer { key: 8, origin: None, ambiguous: false };
    assert_eq!(answers, [found.clone(), missing.clone()]);
    assert!(dispatcher.take_answer(ms(10), "r2").origins.is_empty());

    let mut next = SlotDispatcher::new(ms(20), 2, DispatchSettings::default());
    next.expect_routers(["r1", "r2"]);
    (first.term, first.full, second.term, second.full) = (2, true, 2, true);
    assert!(ask(&mut second, &mut next, ms(30)).is_empty(), "r1 has not reported yet");
    let report = first.report(vec![], vec![]);
    next.apply_report(ms(40), &DispatchReport { origins: begun(&[(7, 8_000)]), ..report });
    next.dispatch(ms(40));
    assert!(next.routers_to_wake().contains(&"r2"));
    assert_eq!(next.take_answer(ms(40), "r2").origins, [found, missing]);
}

/// Guards against bound requests that run at another version, that hold up the requests behind
/// them, or that get round the queue.
#[test]
fn dispatch_bound_requests_wait_for_their_version_only() {
    let engines = [engine_of("e1", "v1", 1), engine_of("e2", "v2", 3)];
    let rows = [row("a", 1, 9), row("b", 1, 9)];
    let mut dispatcher = ready(DispatchSettings::default(), &rows, &engines);
    let mut router = ManualRouter::new("r");
    dispatcher.apply_report(ms(0), &router.report(vec![bound_entry("a", 2, "v1")], vec![]));
    dispatcher.dispatch(ms(0));
    let first = router.receive(ms(0), &mut dispatcher);
    assert_eq!(granted(&first), [("e1", Some("v1"))]);
    assert_eq!(first[0].upstream.software, SoftwareVersion::parse("v1"));

    // The second bound request waits, and those behind it do not.
    let backlog = vec![bound_entry("a", 1, "v1"), entry("a", 1, 0), entry("b", 1, 0)];
    dispatcher.apply_report(ms(10), &router.report(backlog, vec![usage(&first[0], 5, None)]));
    dispatcher.dispatch(ms(10));
    let others = router.receive(ms(10), &mut dispatcher);
    assert_eq!(granted(&others), [("e2", None), ("e2", None)]);
    assert_ne!(others[0].workspace, others[1].workspace);

    let ended = usage(&first[0], 5, Some(LeaseEnd::Finished));
    let backlog = vec![bound_entry("a", 1, "v1"), entry("a", 0, 0), entry("b", 0, 0)];
    dispatcher.apply_report(ms(50), &router.report(backlog, vec![ended]));
    dispatcher.dispatch(ms(50));
    assert_eq!(granted(&router.receive(ms(50), &mut dispatcher)), [("e1", Some("v1"))]);
}

/// Guards against a workspace that gets more than its share by taking streams up: its bound and
/// its other requests are charged to one account.
#[test]
fn dispatch_bound_requests_share_the_account_of_their_workspace() {
    let rows = [row("a", 1, 9), row("b", 1, 9)];
    let engines = [engine_of("e1", "v1", 1)];
    let mut dispatcher = ready(DispatchSettings::default(), &rows, &engines);
    let mut router = ManualRouter::new("r");
    let mut served = [0_u32, 0];
    let mut ended = Vec::new();
    for step in 0..60_u64 {
        let backlog = vec![bound_entry("a", 5, "v1"), entry("a", 5, 0), entry("b", 5, 0)];
        dispatcher.apply_report(ms(step), &router.report(backlog, ended));
        dispatcher.dispatch(ms(step));
        let grants = router.receive(ms(step), &mut dispatcher);
        for grant in &grants {
            served[usize::from(grant.workspace == "b")] += 1;
        }
        ended = grants.iter().map(|grant| usage(grant, 1_000, Some(LeaseEnd::Finished))).collect();
    }
    assert!(served[0].abs_diff(served[1]) <= 1, "{served:?}");
}

/// Guards against a stream that has begun and waits behind later requests of its own workspace.
#[test]
fn dispatch_bound_request_goes_before_later_ones_of_its_workspace() {
    let rows = [row("a", 1, 9)];
    let mut dispatcher = ready(DispatchSettings::default(), &rows, &[engine_of("e1", "v1", 1)]);
    let mut router = ManualRouter::new("r");
    let report = router.report(vec![entry("a", 3, 0)], vec![]);
    dispatcher.apply_report(ms(0), &report);
    dispatcher.dispatch(ms(0));
    let first = router.receive(ms(0), &mut dispatcher);
    assert_eq!(granted(&first), [("e1", None)]);
    let ended = usage(&first[0], 5, Some(LeaseEnd::Failed));
    let report = router.report(vec![entry("a", 2, 0), bound_entry("a", 1, "v1")], vec![ended]);
    dispatcher.apply_report(ms(10), &report);
    dispatcher.dispatch(ms(10));
    assert_eq!(granted(&router.receive(ms(10), &mut dispatcher)), [("e1", Some("v1"))]);
}

/// Guards against bound requests that are never granted because the next dispatcher first heard
/// of their version from a running lease.
#[test]
fn dispatch_serves_version_of_an_adopted_lease() {
    let rows = [row("a", 1, 9)];
    let mut dispatcher = ready(DispatchSettings::default(), &rows, &[engine_of("e1", "v1", 4)]);
    let mut router = ManualRouter::new("r");
    let adopted = LeaseUsage {
        lease: LeaseId { term: 0, number: 1 },
        upstream: "e1".to_owned(),
        incarnation: 1,
        target: bound_entry("a", 1, "v1").target,
        workspace: "a".to_owned(),
        charged: 5,
        first_token_ms: None,
        end: None,
    };
    dispatcher.apply_report(ms(0), &router.report(vec![], vec![adopted]));
    dispatcher.apply_report(ms(10), &router.report(vec![bound_entry("a", 1, "v1")], vec![]));
    dispatcher.dispatch(ms(10));
    assert_eq!(granted(&router.receive(ms(10), &mut dispatcher)), [("e1", Some("v1"))]);
}

/// Guards against bound requests of a version that nobody announced, or whose version is unknown.
#[test]
fn dispatch_unknown_version_equals_no_other() {
    let mut unnamed = engine_of("e1", "v1", 4);
    unnamed.software = None;
    let rows = [row("a", 1, 9)];
    let mut dispatcher = ready(DispatchSettings::default(), &rows, &[unnamed]);
    let mut router = ManualRouter::new("r");
    let report = router.report(vec![bound_entry("a", 1, "v1"), entry("a", 1, 0)], vec![]);
    dispatcher.apply_report(ms(0), &report);
    dispatcher.dispatch(ms(0));
    assert_eq!(granted(&router.receive(ms(0), &mut dispatcher)), [("e1", None)]);
}

/// Guards against an upstream that came back with other software and goes on with old streams.
#[test]
fn dispatch_follows_the_version_of_the_incarnation() {
    let rows = [row("a", 1, 9)];
    let mut dispatcher = ready(DispatchSettings::default(), &rows, &[engine_of("e", "v1", 4)]);
    let mut router = ManualRouter::new("r");
    let report = router.report(vec![bound_entry("a", 1, "v1")], vec![]);
    dispatcher.apply_report(ms(0), &report);
    dispatcher.dispatch(ms(0));
    assert_eq!(granted(&router.receive(ms(0), &mut dispatcher)), [("e", Some("v1"))]);
    let restarted = UpstreamAnnouncement { incarnation: 2, ..engine_of("e", "v2", 4) };
    dispatcher.set_upstreams(ms(10), [&restarted]);
    let report = router.report(vec![bound_entry("a", 1, "v1"), bound_entry("a", 1, "v2")], vec![]);
    dispatcher.apply_report(ms(20), &report);
    dispatcher.dispatch(ms(9_000));
    assert_eq!(granted(&router.receive(ms(9_000), &mut dispatcher)), [("e", Some("v2"))]);
}

/// Guards against another version in local mode, where the router places requests itself.
#[test]
fn local_dispatch_keeps_the_version() {
    let engines = [engine_of("e1", "v1", 4), engine_of("e2", "v2", 4)];
    let settings = LocalSettings { isolation_wait: Duration::ZERO, ..LocalSettings::default() };
    let mut local = LocalDispatcher::new(settings, &table(&[row("a", 1, 9)]), []);
    local.set_upstreams(&engines);
    local.set_backlog(&bound_entry("a", 4, "v2"));
    local.set_backlog(&bound_entry("a", 1, "v3"));
    let grants = local.dispatch(NOW);
    assert_eq!(granted(&grants), [("e2", Some("v2")); 4]);
    local.set_upstreams(&[engine_of("e3", "v3", 1)]);
    local.set_backlog(&entry("a", 2, 0));
    assert_eq!(granted(&local.dispatch(NOW)), [("e3", Some("v3"))], "a begun stream goes first");
}
