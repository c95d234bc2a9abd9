//! Tests of the limit and the delay of second attempts for slow answers.

use baobabfall_core::hedge_policy::{HedgeLimit, HedgePolicy};
use quickcheck::{Gen, QuickCheck};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const TWO_PERCENT: HedgeLimit = HedgeLimit { share: 0.02, window: Duration::from_secs(10) };

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Answer times of upstreams that are sound but for three in a hundred answers.
fn answer_time(random: &mut StdRng) -> Duration {
    match random.random_range(0..100) {
        0..3 => ms(random.random_range(800..2_500)),
        _ => ms(random.random_range(20..120)),
    }
}

fn percentile(times: &mut [Duration], percent: usize) -> Duration {
    times.sort_unstable();
    times[times.len() * percent / 100]
}

/// Guards against a limit that lets more through than the operator allows, or second attempts that
/// do not shorten the slowest answers. Load: 400 requests a second for 60 s, three in a hundred slow.
#[test]
fn hedges_load_with_slow_answers_cuts_the_tail_within_the_limit() {
    let mut random = StdRng::seed_from_u64(7);
    let share = HedgeLimit { share: 0.04, ..TWO_PERCENT };
    let mut policy = HedgePolicy::new(share);
    let (mut alone, mut hedged, mut hedges) = (Vec::new(), Vec::new(), 0_u32);
    for number in 0..24_000_u64 {
        let now = ms(number * 1_000 / 400);
        policy.record_request(now);
        let first = answer_time(&mut random);
        alone.push(first);
        let delay = policy.delay(now, "lookups").filter(|delay| first > *delay);
        let time = match delay {
            Some(delay) if policy.take_hedge(now) => {
                hedges += 1;
                first.min(delay + answer_time(&mut random))
            }
            _ => first,
        };
        hedged.push(time);
        policy.record_answer(now, "lookups", first);
    }
    assert!(f64::from(hedges) <= 0.04 * 24_000.0, "{hedges} second attempts");
    assert!(percentile(&mut alone, 99) > ms(800));
    assert!(percentile(&mut hedged, 99) < ms(400), "{:?}", percentile(&mut hedged, 99));
    assert_eq!(percentile(&mut alone, 50), percentile(&mut hedged, 50));
}

/// Guards against second attempts that add load when every upstream is slow: they stay within the
/// limit, and the delay follows the answer times.
#[test]
fn hedges_all_upstreams_slow_stay_within_the_limit() {
    let mut policy = HedgePolicy::new(TWO_PERCENT);
    let mut hedges = 0_u32;
    for number in 0..8_000_u64 {
        let now = ms(number * 1_000 / 400);
        let time = if now < Duration::from_secs(10) { ms(50) } else { ms(1_500) };
        policy.record_request(now);
        if policy.delay(now, "lookups").is_some_and(|delay| time > delay) && policy.take_hedge(now)
        {
            hedges += 1;
        }
        policy.record_answer(now, "lookups", time);
    }
    assert!(hedges <= 160, "{hedges} of 8,000");
    let delay = policy.delay(ms(20_000), "lookups").unwrap();
    assert!(delay >= ms(1_500), "{delay:?}");
}

/// Guards against second attempts for a route whose usual answer times are not known, or were
/// learnt long ago.
#[test]
fn delay_few_or_old_answers_is_unknown() {
    let mut policy = HedgePolicy::new(TWO_PERCENT);
    for _ in 0..49 {
        policy.record_answer(ms(0), "lookups", ms(30));
    }
    assert_eq!(policy.delay(ms(0), "lookups"), None);
    policy.record_answer(ms(0), "lookups", ms(30));
    assert!(policy.delay(ms(0), "lookups").is_some());
    assert_eq!(policy.delay(ms(0), "other"), None);
    assert_eq!(policy.delay(Duration::from_secs(60), "lookups"), None);
}

/// Guards against second attempts without the operator's consent.
#[test]
fn delay_without_limit_makes_no_second_attempt() {
    let mut policy = HedgePolicy::new(HedgeLimit::NONE);
    for _ in 0..100 {
        policy.record_request(ms(0));
        policy.record_answer(ms(0), "lookups", ms(30));
    }
    assert_eq!(policy.delay(ms(0), "lookups"), None);
    assert!(!policy.take_hedge(ms(0)));
}

/// Guards against a window in which more second attempts are made than the limit allows.
#[test]
fn take_hedge_any_history_stays_within_the_limit() {
    fn holds(steps: Vec<(u8, bool)>) -> bool {
        let mut policy = HedgePolicy::new(HedgeLimit { share: 0.25, ..TWO_PERCENT });
        let (mut now, mut requests, mut hedges) = (Duration::ZERO, Vec::new(), Vec::new());
        for (step, is_request) in steps {
            now += ms(u64::from(step) * 8);
            if is_request {
                policy.record_request(now);
                requests.push(now);
            }
            if is_request || !policy.take_hedge(now) {
                continue;
            }
            hedges.push(now);
            // The budget keeps up to one bucket more than its window.
            let recent = |times: &[Duration], span: u64| {
                times.iter().filter(|at| **at + Duration::from_secs(span) > now).count()
            };
            if recent(&hedges, 10) * 4 > recent(&requests, 11) {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 11))
        .tests(300)
        .quickcheck(holds as fn(Vec<(u8, bool)>) -> bool);
}
