//! Request rates that upstreams in need name in their answers. A rate is one budget for
//! the whole fleet, which the dispatcher keeps. In local mode a router keeps an equal
//! share of each rate by itself.

use crate::dispatch_messages::UpstreamLimit;
use crate::rate_limit::TokenBucket;
use crate::sorted_map::SortedMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Requests that an upstream may get at once after a pause, as the time in which its
/// rate allows them. Longer than the interval at which the dispatcher looks for unused
/// allowances, so that none is lost.
const LIMIT_BURST: Duration = Duration::from_millis(500);
const MINUTE: Duration = Duration::from_secs(60);

/// Requests per minute that an upstream takes from all routers together; at least one,
/// because an upstream without requests could never say that it is well again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(u32);

impl RequestRate {
    /// The rate in requests per minute.
    pub fn per_minute(self) -> u32 {
        self.0.max(1)
    }
}

/// Reads a rate in requests per second, which may have a fraction. `None` when the text
/// is not a finite number or is negative.
///
/// ```
/// use baobabfall_core::upstream_limits::read_rate;
/// assert_eq!(read_rate(" 1.9").unwrap().per_minute(), 114);
/// assert_eq!(read_rate("0").unwrap().per_minute(), 1);
/// assert_eq!(read_rate("1e300").unwrap().per_minute(), u32::MAX);
/// assert_eq!(read_rate("-1"), None);
/// assert_eq!(read_rate("soon"), None);
/// ```
pub fn read_rate(text: &str) -> Option<RequestRate> {
    let per_second: f64 = text.trim().parse().ok()?;
    if !per_second.is_finite() || per_second < 0.0 {
        return None;
    }
    let per_minute = (per_second * MINUTE.as_secs_f64()).min(f64::from(u32::MAX));
    // The value was checked to lie within the range of the type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let per_minute = per_minute as u32;
    Some(RequestRate(per_minute.max(1)))
}

#[derive(Clone, Copy, Debug)]
struct LimitRecord {
    incarnation: u64,
    rate: RequestRate,
    bucket: TokenBucket,
}

/// The budgets of all upstreams that have named a rate.
///
/// ```
/// use baobabfall_core::dispatch_messages::UpstreamLimit;
/// use baobabfall_core::upstream_limits::{UpstreamLimits, read_rate};
/// use std::time::Duration;
/// let mut limits = UpstreamLimits::new(1, 0);
/// let now = Duration::from_secs(10);
/// let rate = read_rate("2");
/// limits.record(now, &UpstreamLimit { upstream: "e".to_owned(), incarnation: 1, rate });
/// assert_eq!(limits.wait(now, "e", 1), Some(Duration::from_millis(500)));
/// assert_eq!(limits.wait(now, "e", 2), None, "a restarted upstream named no rate");
/// ```
#[derive(Clone, Debug)]
pub struct UpstreamLimits {
    records: SortedMap<String, LimitRecord>,
    version: u64,
    /// Number of equal shares into which each rate is divided. One request takes this
    /// many units of a bucket that fills at the whole rate.
    shares: u32,
    /// Units in a new bucket, below one request.
    first_units: u64,
    /// Time whose unused requests an upstream may get at once, if that is one or more.
    burst: Duration,
}

impl UpstreamLimits {
    /// Keeps one of `shares` equal shares of each rate. `seed` draws the time of the first
    /// request, so that routers which begin at the same moment do not send at the same
    /// moment.
    pub fn new(shares: u32, seed: u64) -> Self {
        let shares = shares.max(1);
        let first_units = seed % u64::from(shares);
        Self { records: SortedMap::new(), version: 0, shares, first_units, burst: LIMIT_BURST }
    }

    /// Like [`UpstreamLimits::new`], but requests are never sent at once after a pause.
    pub fn without_burst(shares: u32, seed: u64) -> Self {
        Self { burst: Duration::ZERO, ..Self::new(shares, seed) }
    }

    /// Number of upstreams that have named a rate.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True when no upstream has named a rate.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Changes with each change of the rates; 0 while there was none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records a rate, or its end. Returns true when that changes something. What an
    /// earlier incarnation stated is ignored.
    pub fn record(&mut self, now: Duration, limit: &UpstreamLimit) -> bool {
        let known = self.records.get(&limit.upstream).copied();
        if known.is_some_and(|known| known.incarnation > limit.incarnation) {
            return false;
        }
        let Some(rate) = limit.rate else {
            let removed = self.records.remove(&limit.upstream).is_some();
            self.version += u64::from(removed);
            return removed;
        };
        let known = known.filter(|known| known.incarnation == limit.incarnation);
        if known.is_some_and(|known| known.rate == rate) {
            return false;
        }
        let mut record = known.unwrap_or_else(|| LimitRecord {
            incarnation: limit.incarnation,
            rate,
            bucket: self.new_bucket(now, rate),
        });
        record.rate = rate;
        record.bucket.set_rate(now, rate.per_minute().into(), self.burst(rate));
        self.records.insert(limit.upstream.clone(), record);
        self.version += 1;
        true
    }

    /// Records a rate that a router learned from an earlier dispatcher, unless a router
    /// has reported one of the upstream itself.
    pub fn restore(&mut self, now: Duration, limit: &UpstreamLimit) -> bool {
        !self.records.contains_key(&limit.upstream) && self.record(now, limit)
    }

    /// Replaces all rates by those of `limits`. Upstreams whose rate stays keep their budget.
    pub fn replace(&mut self, now: Duration, limits: &[UpstreamLimit]) {
        self.retain(|name| limits.iter().any(|limit| limit.upstream == name));
        for limit in limits {
            self.record(now, limit);
        }
    }

    /// Drops the rates of upstreams for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        let count = self.records.len();
        self.records.retain(|name, _| is_known(name));
        self.version += u64::from(self.records.len() < count);
    }

    /// True when this incarnation of the upstream has named a rate.
    pub fn is_limited(&self, name: &str, incarnation: u64) -> bool {
        self.record_of(name, incarnation).is_some()
    }

    /// Time until the upstream may get another request; `None` when it may get one now.
    pub fn wait(&self, now: Duration, name: &str, incarnation: u64) -> Option<Duration> {
        let record = self.record_of(name, incarnation)?;
        let mut bucket = record.bucket;
        bucket.wait(now, self.shares.into())
    }

    /// Takes one request from the budget of the upstream.
    pub fn charge(&mut self, now: Duration, name: &str, incarnation: u64) {
        let units = self.shares.into();
        if let Some(record) = self.record_mut(name, incarnation) {
            record.bucket.charge(now, units);
        }
    }

    /// Puts back one request that was not sent.
    pub fn refund(&mut self, now: Duration, name: &str, incarnation: u64) {
        let units = self.shares.into();
        if let Some(record) = self.record_mut(name, incarnation) {
            record.bucket.refund(now, units);
        }
    }

    /// Keeps requests from the upstream for `time`.
    pub fn pause(&mut self, now: Duration, name: &str, incarnation: u64, time: Duration) {
        let shares = u128::from(self.shares);
        if let Some(record) = self.record_mut(name, incarnation) {
            let per_minute = u128::from(record.rate.per_minute());
            let units = per_minute * time.as_millis() / MINUTE.as_millis() + shares;
            record.bucket.charge(now, u64::try_from(units).unwrap_or(u64::MAX));
        }
    }

    /// All rates, ordered by the names of the upstreams.
    pub fn list(&self) -> Vec<UpstreamLimit> {
        let limit = |(name, record): (&String, &LimitRecord)| UpstreamLimit {
            upstream: name.clone(),
            incarnation: record.incarnation,
            rate: Some(record.rate),
        };
        self.records.iter().map(limit).collect()
    }

    fn record_of(&self, name: &str, incarnation: u64) -> Option<&LimitRecord> {
        self.records.get(name).filter(|record| record.incarnation == incarnation)
    }

    fn record_mut(&mut self, name: &str, incarnation: u64) -> Option<&mut LimitRecord> {
        self.records.get_mut(name).filter(|record| record.incarnation == incarnation)
    }

    fn new_bucket(&self, now: Duration, rate: RequestRate) -> TokenBucket {
        let per_minute = rate.per_minute().into();
        TokenBucket::with_level(now, per_minute, self.burst(rate), self.first_units)
    }

    /// Time in which the bucket fills: the configured one, or that of one request.
    fn burst(&self, rate: RequestRate) -> Duration {
        // A nanosecond more, because the division rounds down.
        self.burst.max(MINUTE * self.shares / rate.per_minute() + Duration::from_nanos(1))
    }
}
