//! Burn arithmetic against a naive recomputation from the same samples.

#![allow(clippy::unwrap_used, reason = "the helpers here belong to tests")]

use baobabfall_burn::burn_rate::{
    AlertLevel, EventTally, PERIOD_INDEX, RULE_WINDOWS, WindowTallies, alert_level, is_exhausted,
};
use baobabfall_burn::fleet_merge::FleetMerge;
use baobabfall_burn::objectives::ObjectiveSet;
use baobabfall_burn::samples::SampleLine;
use quickcheck::{Arbitrary, Gen, TestResult, Testable};
use std::borrow::Cow;

const NOW: u64 = 100 * 86_400_000;
const INTERVAL: u64 = 60_000;
const SETTINGS: &str = "[availability]\ntarget = 0.99\nperiod = \"30d\"\n";

/// One step of a node: time until it, restart before it, and events in it.
#[derive(Clone, Debug)]
struct Step {
    age_units: u64,
    restart: bool,
    good: u64,
    bad: u64,
}

impl Arbitrary for Step {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let scales = [1, 1, 1, 5, 30, 600, 6000];
        let scale = *gen_.choose(&scales).unwrap();
        Self {
            age_units: (u64::from(u8::arbitrary(gen_)) % 7 + 1) * scale,
            restart: u8::arbitrary(gen_) % 8 == 0,
            good: u64::from(u16::arbitrary(gen_)),
            bad: u64::from(u8::arbitrary(gen_)),
        }
    }
}

/// (time, incarnation, finished, refused), oldest first; the last is at most now.
fn node_samples(steps: &[Step]) -> Vec<(u64, u64, u64, u64)> {
    let span: u64 = steps.iter().map(|step| step.age_units * 10_000).sum();
    let (mut time, mut incarnation, mut finished, mut refused) = (NOW - span, 1, 0, 0);
    let mut samples = Vec::new();
    for step in steps {
        if step.restart {
            (incarnation, finished, refused) = (incarnation + 1, 0, 0);
        }
        finished += step.good;
        refused += step.bad;
        time += step.age_units * 10_000;
        samples.push((time, incarnation, finished, refused));
    }
    samples
}

fn naive_window(nodes: &[Vec<(u64, u64, u64, u64)>], window: u64) -> EventTally {
    let slot = (window / 72).max(INTERVAL);
    let mut sum = EventTally::default();
    for samples in nodes {
        for pair in samples.windows(2) {
            let ((from, old, finished, refused), (to, new, finished_to, refused_to)) =
                (pair[0], pair[1]);
            let inside = |time: u64| NOW - time < window;
            if !inside(to) || !(inside(from) || to - from <= 2 * slot) {
                continue;
            }
            let restarted = old != new || finished_to < finished || refused_to < refused;
            let base = if restarted { (0, 0) } else { (finished, refused) };
            sum.good += finished_to - base.0;
            sum.total += finished_to - base.0 + refused_to - base.1;
        }
    }
    sum
}

fn merge_matches_naive(nodes: Vec<Vec<Step>>) -> TestResult {
    let nodes: Vec<_> = nodes.iter().map(|steps| node_samples(steps)).collect();
    let set = ObjectiveSet::parse(SETTINGS, "test".as_ref()).unwrap();
    let mut merge = FleetMerge::new(&set, NOW);
    for (index, samples) in nodes.iter().enumerate() {
        for (t, inc, finished, refused) in samples.iter().copied() {
            let series = format!("r team m {finished} {refused} 0 5;");
            let node = Cow::Owned(format!("router-{index}"));
            let series = Some(Cow::Owned(series));
            let sample =
                SampleLine { t, node, inc, text: None, series, start_ms: None, revision: None };
            merge.add_sample(&sample);
        }
    }
    let tally = &merge.tallies()[0];
    let windows = RULE_WINDOWS.iter().map(|window| u64::try_from(window.as_millis()).unwrap());
    for (index, window) in windows.chain([30 * 86_400_000]).enumerate() {
        let naive = naive_window(&nodes, window);
        if tally.fleet[index] != naive {
            return TestResult::error(format!("{window}: {:?} not {naive:?}", tally.fleet[index]));
        }
        let allowed = f64::from(u32::try_from(naive.total).unwrap()) * 0.01;
        let bad = f64::from(u32::try_from(naive.bad()).unwrap());
        let close = |burn: f64| (burn - bad / allowed).abs() < 1e-6 * (1.0 + burn);
        if naive.total > 0 && !naive.burn(0.99).is_some_and(close) {
            return TestResult::error("The burn rate differs from its definition.");
        }
    }
    TestResult::passed()
}

/// Guards against events lost, doubled or put into the wrong window, also
/// across restarts and gaps.
#[test]
fn fleet_merge_equals_naive_windows() {
    let mut gen_ = Gen::from_size_and_seed(40, 20_261_203);
    let property: fn(Vec<Vec<Step>>) -> TestResult = merge_matches_naive;
    for _ in 0..300 {
        let result = property.result(&mut gen_);
        assert!(!result.is_failure(), "{result:?}");
    }
}

fn with_burns(burns: [u64; 5]) -> WindowTallies {
    // At a target of 0.99, `bad` of 1,000 events burn at bad / 10.
    let mut windows = WindowTallies::default();
    for (window, bad) in windows.iter_mut().zip(burns) {
        *window = EventTally { good: 1000 - bad, total: 1000 };
    }
    windows
}

/// Guards against rules that look at one window only or at the wrong ones.
#[test]
fn alert_level_needs_both_windows() {
    let level = |burns| alert_level(&with_burns(burns), 0.99, 1);
    assert_eq!(level([145, 0, 145, 0, 0]), AlertLevel::Page);
    assert_eq!(level([145, 0, 143, 0, 0]), AlertLevel::None);
    assert_eq!(level([143, 0, 145, 0, 0]), AlertLevel::None);
    assert_eq!(level([0, 61, 0, 61, 0]), AlertLevel::Page);
    assert_eq!(level([0, 61, 0, 59, 0]), AlertLevel::None);
    assert_eq!(level([0, 0, 0, 11, 11]), AlertLevel::Ticket);
    assert_eq!(level([0, 0, 0, 11, 9]), AlertLevel::None);
    assert_eq!(alert_level(&with_burns([1000; 5]), 0.99, 1001), AlertLevel::None);
}

/// Guards against a strict objective that forgives its first error.
#[test]
fn is_exhausted_by_one_error_when_none_is_allowed() {
    let mut windows = WindowTallies::default();
    windows[PERIOD_INDEX] = EventTally { good: 999_999, total: 1_000_000 };
    assert!(is_exhausted(&windows, 1.0, 1, 1.0));
    assert!(is_exhausted(&windows, 1.0, 1, 0.01));
    windows[PERIOD_INDEX].good += 1;
    assert!(!is_exhausted(&windows, 1.0, 1, 1.0));
}

/// Guards against a budget that a minute of errors at the start of a recording
/// seems to use up, and against one that is exactly used up and called left.
#[test]
fn is_exhausted_counts_the_seen_share_of_the_period() {
    let mut windows = WindowTallies::default();
    windows[PERIOD_INDEX] = EventTally { good: 90, total: 100 };
    assert!(!is_exhausted(&windows, 0.95, 1, 0.1));
    assert!(is_exhausted(&windows, 0.95, 1, 0.6));
    assert!(is_exhausted(&windows, 0.9, 1, 1.0));
}
