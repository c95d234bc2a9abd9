//! Tests of the placement of prompts by prefill window and by cached prefix.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod dispatch_fleet;

use baobabfall_core::dispatch_messages::*;
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::slot_dispatcher::SlotDispatcher;
use dispatch_fleet::*;
use std::time::Duration;

const START: Duration = ms(10_000);

fn send(dispatcher: &mut SlotDispatcher, now: Duration, report: &DispatchReport) {
    assert!(dispatcher.apply_report(now, report));
    dispatcher.dispatch(now);
}

fn prompt(prefix: u64, shared: u32, own: u32) -> PromptSummary {
    PromptSummary { prefix: Some(prefix), shared, own, target_ms: 100, cost: 1000 }
}

fn with_prompts(prompts: Vec<PromptSummary>) -> BacklogEntry {
    let queued = u32::try_from(prompts.len()).unwrap();
    BacklogEntry { prompts, ..entry("a", queued, 1000) }
}

fn names(grants: &[SlotGrant]) -> Vec<&str> {
    grants.iter().map(|grant| grant.upstream.name.as_str()).collect()
}

/// Guards against prompts that queue inside an engine: once the tokens that await
/// prefill fill the window, requests wait for a first token even if slots are free.
#[test]
fn dispatch_unread_prompts_wait() {
    let engines = [engine("e0", &["m"], 48)];
    let mut dispatcher = ready(DispatchSettings::default(), &[row("a", 1, 99)], &engines);
    let mut router = ManualRouter::new("r");
    let prompts = (0..4).map(|n| prompt(n, 4_000, 6_000)).collect();
    send(&mut dispatcher, START, &router.report(vec![with_prompts(prompts)], vec![]));
    let grants = router.receive(START, &mut dispatcher);
    assert_eq!(grants.len(), 2, "two prompts of 10,000 tokens exceed a window of 16,384");
    let later = START + ms(50);
    let first = LeaseUsage { first_token_ms: Some(40), ..usage(&grants[0], 10, None) };
    let waiting = with_prompts((2..4).map(|n| prompt(n, 4_000, 6_000)).collect());
    send(&mut dispatcher, later, &router.report(vec![waiting], vec![first]));
    assert_eq!(router.receive(later, &mut dispatcher).len(), 1);
}

/// Guards against one overloaded router that reduces the load of every engine: it cannot tell
/// whether a late first token is the engine's fault or its own. Such a token still makes room for
/// the next prompt, and a late one of a router that can tell shrinks the window.
#[test]
fn dispatch_unknown_first_token_keeps_window() {
    let cases = [
        (UNKNOWN_FIRST_TOKEN_MS, 15_000, 2),
        (150, 15_000, 1),
        (UNKNOWN_FIRST_TOKEN_MS, 16_384, 1),
        (40, 16_384, 2),
    ];
    for (first_token_ms, own, grants_after) in cases {
        let engines = [engine("e0", &["m"], 48)];
        let mut dispatcher = ready(DispatchSettings::default(), &[row("a", 1, 99)], &engines);
        let mut router = ManualRouter::new("r");
        let first = with_prompts(vec![prompt(1, 0, 16_000)]);
        send(&mut dispatcher, START, &router.report(vec![first], vec![]));
        let grants = router.receive(START, &mut dispatcher);
        let later = START + ms(150);
        let token =
            LeaseUsage { first_token_ms: Some(first_token_ms), ..usage(&grants[0], 10, None) };
        // The second prompt is granted while the first one leaves a part of the window free.
        let waiting = with_prompts(vec![prompt(2, 0, own), prompt(3, 0, 4_000)]);
        send(&mut dispatcher, later, &router.report(vec![waiting], vec![token]));
        assert_eq!(router.receive(later, &mut dispatcher).len(), grants_after, "{first_token_ms}");
    }
}

/// Guards against computing a cached prefix again: a request goes to the engine that
/// has its prefix in the cache even if another engine is less loaded.
#[test]
fn dispatch_prefix_goes_to_holder() {
    let engines = ["e0", "e1", "e2"].map(|name| engine(name, &["m"], 48));
    let mut dispatcher = ready(DispatchSettings::default(), &[row("a", 1, 99)], &engines);
    let mut router = ManualRouter::new("r");
    let prompts = [1, 2, 1, 2, 1].map(|prefix| prompt(prefix, 6_000, 500)).to_vec();
    send(&mut dispatcher, START, &router.report(vec![with_prompts(prompts)], vec![]));
    let grants = router.receive(START, &mut dispatcher);
    let [one, two] = [&grants[0], &grants[1]].map(|grant| grant.upstream.name.as_str());
    assert_ne!(one, two);
    assert_eq!(names(&grants), [one, two, one, two, one]);
}

/// Guards against computing all prefixes again after a change of dispatcher: the new
/// one does not know which engine caches which prefix, but must place them alike.
#[test]
fn dispatch_placement_survives_dispatcher_change() {
    let engines: Vec<_> = (0..9).map(|n| engine(&format!("e{n}"), &["m"], 48)).collect();
    let placed = |order: &[u64]| {
        let mut dispatcher = ready(DispatchSettings::default(), &[row("a", 1, 999)], &engines);
        let mut router = ManualRouter::new("r");
        let mut placements: Vec<(u64, String)> = Vec::new();
        for (step, prefix) in order.iter().enumerate() {
            let now = START + ms(u64::try_from(step).unwrap() * 100);
            let backlog = with_prompts(vec![prompt(*prefix, 6_000, 500)]);
            send(&mut dispatcher, now, &router.report(vec![backlog], vec![]));
            let grants = router.receive(now, &mut dispatcher);
            placements.push((*prefix, grants[0].upstream.name.clone()));
            let end = usage(&grants[0], 10, Some(LeaseEnd::Finished));
            send(&mut dispatcher, now, &router.report(vec![entry("a", 0, 0)], vec![end]));
            router.receive(now, &mut dispatcher);
        }
        placements.sort();
        placements
    };
    let forward: Vec<u64> = (0..60).collect();
    let backward: Vec<u64> = (0..60).rev().collect();
    let placements = placed(&forward);
    assert_eq!(placements, placed(&backward));
    for name in engines.iter().map(|engine| &engine.name) {
        let count = placements.iter().filter(|(_, upstream)| upstream == name).count();
        assert!((1..=16).contains(&count), "{name} holds {count} of 60 prefixes");
    }
}

/// Guards against sending a request to an upstream that does not serve its target:
/// the index of an upstream that left may be reused by one of another service.
#[test]
fn dispatch_holder_replaced_by_other_service() {
    let engines = ["e0", "e1"].map(|name| engine(name, &["m"], 48));
    let mut dispatcher = ready(DispatchSettings::default(), &[row("a", 1, 99)], &engines);
    let mut router = ManualRouter::new("r");
    let backlog = || with_prompts(vec![prompt(7, 6_000, 500)]);
    send(&mut dispatcher, START, &router.report(vec![backlog()], vec![]));
    let grants = router.receive(START, &mut dispatcher);
    let chosen = grants[0].upstream.name.clone();
    let stays = engine(if chosen == "e0" { "e1" } else { "e0" }, &["m"], 48);
    let end = usage(&grants[0], 10, Some(LeaseEnd::Finished));
    send(&mut dispatcher, START, &router.report(vec![entry("a", 0, 0)], vec![end]));
    router.receive(START, &mut dispatcher);
    dispatcher.set_upstreams(START, [&stays]);
    dispatcher.set_upstreams(START, [&stays, &engine("other", &["n"], 48)]);
    send(&mut dispatcher, START, &router.report(vec![backlog()], vec![]));
    assert_eq!(names(&router.receive(START, &mut dispatcher)), [stays.name.as_str()]);
}
