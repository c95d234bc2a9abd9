//! Second attempts for slow answers: when a request that may be repeated is sent to another
//! upstream as well, and how many such attempts a router makes.
//!
//! It answers upstreams of which a few answer late now and then, while the others have room. The
//! second attempt is made after a time that most requests of the same route have been answered
//! in, so that few requests cause one.

use crate::sorted_map::SortedMap;
use std::time::Duration;

/// Time over which answer times are collected before the oldest ones are dropped.
const SAMPLE_SPAN: Duration = Duration::from_secs(15);
/// Answers of a route without which its tail is not known.
const MIN_SAMPLES: u32 = 50;
/// Largest part of the requests, in percent, that the delay itself lets through: the slowest five
/// of a hundred. A smaller share of the operator lets less through.
const SLOWEST_PERCENT: f64 = 5.0;
/// Shortest delay. An answer that takes less is not slow, and the second attempt needs a round
/// trip to the dispatcher.
const MIN_DELAY: Duration = Duration::from_millis(20);
/// Number of buckets of answer times. Bucket `n` holds those below `2^(n/4)` ms.
const TIME_BUCKETS: usize = 64;
/// Routes whose answer times are kept at most.
const ROUTE_LIMIT: usize = 1024;
/// Buckets into which the window of the budget is divided.
const WINDOW_BUCKETS: u32 = 10;

/// Limit of the second attempts that the operator sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeLimit {
    /// Second attempts per request; 0 makes none.
    pub share: f64,
    /// Length of the sliding window in which requests and second attempts are counted.
    pub window: Duration,
}

impl HedgeLimit {
    /// Makes no second attempts.
    pub const NONE: Self = Self { share: 0.0, window: Duration::from_secs(10) };

    /// True if there may be second attempts at all.
    pub fn is_enabled(&self) -> bool {
        self.share > 0.0
    }
}

/// Answer times of one route in two spans, so that old ones are forgotten.
#[derive(Clone, Debug)]
struct RouteTimes {
    span_start: Duration,
    current: [u32; TIME_BUCKETS],
    previous: [u32; TIME_BUCKETS],
}

impl RouteTimes {
    fn new(now: Duration) -> Self {
        Self { span_start: now, current: [0; TIME_BUCKETS], previous: [0; TIME_BUCKETS] }
    }

    fn advance(&mut self, now: Duration) {
        let age = now.saturating_sub(self.span_start);
        if age < SAMPLE_SPAN {
            return;
        }
        let current = std::mem::replace(&mut self.current, [0; TIME_BUCKETS]);
        self.previous = if age < 2 * SAMPLE_SPAN { current } else { [0; TIME_BUCKETS] };
        self.span_start = now;
    }

    fn record(&mut self, now: Duration, time: Duration) {
        self.advance(now);
        let count = &mut self.current[bucket_of(time)];
        *count = count.saturating_add(1);
    }

    /// Time within which all but `slowest` percent of the answers came.
    fn quantile(&self, slowest: f64) -> Option<Duration> {
        let counts = self.current.iter().zip(&self.previous).map(|(now, before)| now + before);
        let total: u32 = counts.clone().sum();
        if total < MIN_SAMPLES {
            return None;
        }
        let mut above = f64::from(total);
        for (bucket, count) in counts.enumerate() {
            above -= f64::from(count);
            if above * 100.0 <= slowest * f64::from(total) {
                return Some(upper_bound(bucket));
            }
        }
        None
    }
}

fn bucket_of(time: Duration) -> usize {
    let found = (0..TIME_BUCKETS).find(|bucket| time < upper_bound(*bucket));
    found.unwrap_or(TIME_BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    let exponent = u32::try_from(bucket).unwrap_or(u32::MAX);
    Duration::from_secs_f64((f64::from(exponent) / 4.0).exp2() / 1000.0)
}

#[derive(Clone, Copy, Debug, Default)]
struct BudgetBucket {
    number: u128,
    requests: u32,
    hedges: u32,
}

/// Answer times by route, and the second attempts that one router may make.
///
/// ```
/// use baobabfall_core::hedge_policy::{HedgeLimit, HedgePolicy};
/// use std::time::Duration;
/// let limit = HedgeLimit { share: 0.02, window: Duration::from_secs(10) };
/// let mut policy = HedgePolicy::new(limit);
/// let now = Duration::from_secs(1);
/// for _ in 0..100 {
///     policy.record_request(now);
///     policy.record_answer(now, "lookups", Duration::from_millis(40));
/// }
/// let delay = policy.delay(now, "lookups").unwrap();
/// assert!(delay >= Duration::from_millis(40) && delay < Duration::from_millis(60));
/// assert!(policy.take_hedge(now) && policy.take_hedge(now));
/// assert!(!policy.take_hedge(now), "two of a hundred requests");
/// ```
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    limit: HedgeLimit,
    routes: SortedMap<String, RouteTimes>,
    buckets: Vec<BudgetBucket>,
}

impl HedgePolicy {
    /// Creates a policy without any answer times.
    pub fn new(limit: HedgeLimit) -> Self {
        Self { limit, routes: SortedMap::new(), buckets: Vec::new() }
    }

    /// True if there may be second attempts at all.
    pub fn is_enabled(&self) -> bool {
        self.limit.is_enabled()
    }

    /// Counts a request that is sent for the first time.
    pub fn record_request(&mut self, now: Duration) {
        if self.is_enabled() {
            self.bucket(now).requests += 1;
        }
    }

    /// Records that the first byte of an answer arrived `time` after its request was sent.
    pub fn record_answer(&mut self, now: Duration, route: &str, time: Duration) {
        if !self.is_enabled() {
            return;
        }
        if let Some(times) = self.routes.get_mut(route) {
            return times.record(now, time);
        }
        if self.routes.len() >= ROUTE_LIMIT {
            self.routes.retain(|_, times| now < times.span_start + 2 * SAMPLE_SPAN);
        }
        if self.routes.len() < ROUTE_LIMIT {
            let mut times = RouteTimes::new(now);
            times.record(now, time);
            self.routes.insert(route.to_owned(), times);
        }
    }

    /// Time after which a request of the route that has no answer may be sent to another upstream;
    /// `None` while the route's answer times are not known.
    pub fn delay(&mut self, now: Duration, route: &str) -> Option<Duration> {
        if !self.is_enabled() {
            return None;
        }
        let slowest = SLOWEST_PERCENT.min(self.limit.share * 100.0);
        let times = self.routes.get_mut(route)?;
        times.advance(now);
        times.quantile(slowest).map(|delay| delay.max(MIN_DELAY))
    }

    /// Takes a second attempt from the limit. Returns false when it is exhausted.
    pub fn take_hedge(&mut self, now: Duration) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let hedges: u32 = self.buckets.iter().map(|bucket| bucket.hedges).sum();
        if f64::from(hedges + 1) > f64::from(requests) * self.limit.share {
            return false;
        }
        self.bucket(now).hedges += 1;
        true
    }

    /// The bucket of `now`; drops those that have left the window.
    fn bucket(&mut self, now: Duration) -> &mut BudgetBucket {
        let width = (self.limit.window / WINDOW_BUCKETS).max(Duration::from_millis(1));
        let number = now.as_nanos() / width.as_nanos();
        let oldest = number.saturating_sub(u128::from(WINDOW_BUCKETS));
        self.buckets.retain(|bucket| bucket.number >= oldest);
        if self.buckets.last().is_none_or(|bucket| bucket.number < number) {
            self.buckets.push(BudgetBucket { number, ..BudgetBucket::default() });
        }
        self.buckets.last_mut().expect("a bucket was just added")
    }
}
