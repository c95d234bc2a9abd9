//! Placement of prompts: windows of unread tokens and keepers of prefixes.

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

fn prompt(prefix: u64, shared: u32, own: u32) -> PromptNote {
    PromptNote { prefix: Some(prefix), shared, own, target_ms: 100, cost: 1000 }
}

fn with_prompts(prompts: Vec<PromptNote>) -> BacklogEntry {
    let queued = u32::try_from(prompts.len()).unwrap();
    BacklogEntry { prompts, ..entry("a", queued, 1000) }
}

fn names(grants: &[SlotGrant]) -> Vec<&str> {
    grants.iter().map(|grant| grant.upstream.name.as_str()).collect()
}

/// Guards against prompts that queue inside an engine: unread tokens beyond
/// the window wait for a first token although slots are free.
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

/// Guards against prefixes that are read again: requests go to the engine that
/// keeps theirs, also when another one is less loaded.
#[test]
fn dispatch_prefix_goes_to_keeper() {
    let engines = ["e0", "e1", "e2"].map(|name| engine(name, &["m"], 48));
    let mut dispatcher = ready(DispatchSettings::default(), &[row("a", 1, 99)], &engines);
    let mut router = ManualRouter::new("r");
    let prompts = [1, 2, 1, 2, 1].map(|prefix| prompt(prefix, 6_000, 500)).to_vec();
    send(&mut dispatcher, START, &router.report(vec![with_prompts(prompts)], vec![]));
    let grants = router.receive(START, &mut dispatcher);
    assert_eq!(names(&grants), ["e0", "e1", "e0", "e1", "e0"]);
}

/// Guards against work at an upstream of another service: the place of a
/// keeper that is gone may belong to an upstream that serves something else.
#[test]
fn dispatch_keeper_replaced_by_other_service() {
    let stays = engine("e1", &["m"], 48);
    let engines = [engine("e0", &["m"], 48), stays.clone()];
    let mut dispatcher = ready(DispatchSettings::default(), &[row("a", 1, 99)], &engines);
    let mut router = ManualRouter::new("r");
    let note = || with_prompts(vec![prompt(7, 6_000, 500)]);
    send(&mut dispatcher, START, &router.report(vec![note()], vec![]));
    let grants = router.receive(START, &mut dispatcher);
    assert_eq!(names(&grants), ["e0"]);
    let end = usage(&grants[0], 10, Some(LeaseEnd::Finished));
    send(&mut dispatcher, START, &router.report(vec![entry("a", 0, 0)], vec![end]));
    router.receive(START, &mut dispatcher);
    dispatcher.set_upstreams(START, [&stays]);
    dispatcher.set_upstreams(START, [&stays, &engine("other", &["n"], 48)]);
    send(&mut dispatcher, START, &router.report(vec![note()], vec![]));
    assert_eq!(names(&router.receive(START, &mut dispatcher)), ["e1"]);
}
