//! Choice of an upstream by a router without the dispatcher, for requests so cheap
//! that a round trip to the dispatcher would cost about as much.
//!
//! It suits many routers that send few such requests each, so that upstreams are
//! mostly idle. Once an upstream refuses work, the service counts as contended for
//! a time and the dispatcher shares it fairly among workspaces again.

use crate::dispatch_messages::LeaseEnd;
use crate::sorted_map::SortedMap;
use std::time::Duration;

/// Fixed-point scale of error rates.
const FRACTION: u64 = 1 << 16;
/// Inverse of the weight of a new outcome in the error rate.
const ERROR_RATE_DIVISOR: u64 = 8;
/// The load of an upstream whose requests all fail is multiplied by this factor.
const ERROR_LOAD_FACTOR: u64 = 16;
/// Consecutive failures after which an upstream is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Duration of the first ejection; it doubles with each further failure.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Upper bound of the duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Time for which a service counts as contended after a refusal. The dispatcher shares
/// the service meanwhile; otherwise workspaces could use it unequally for seconds.
const CONTENTION_TIME: Duration = Duration::from_secs(1);

/// An upstream that can serve the request, as it announces itself.
#[derive(Clone, Copy, Debug)]
pub struct DirectCandidate<'a> {
    /// Name of the upstream, unique in the fleet.
    pub name: &'a str,
    /// Incarnation of the upstream, which changes when it restarts.
    pub incarnation: u64,
    /// Requests that the upstream can run at once.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct UpstreamRecord {
    incarnation: u64,
    running: u32,
    /// Moving average of the share of failed requests, in parts of [`FRACTION`].
    error_rate: u64,
    consecutive_failures: u32,
    ejected_until: Duration,
}

impl UpstreamRecord {
    /// Running requests plus one, scaled up with the error rate, in parts of
    /// [`FRACTION`]. The lowest score is chosen.
    fn score(&self) -> u64 {
        u64::from(self.running + 1) * (FRACTION + self.error_rate * (ERROR_LOAD_FACTOR - 1))
    }

    fn record_outcome(&mut self, now: Duration, failed: bool) {
        let sample = if failed { FRACTION } else { 0 };
        self.error_rate =
            self.error_rate - self.error_rate / ERROR_RATE_DIVISOR + sample / ERROR_RATE_DIVISOR;
        self.consecutive_failures =
            if failed { self.consecutive_failures.saturating_add(1) } else { 0 };
        if self.consecutive_failures >= EJECTION_FAILURES {
            let factor =
                2_u32.saturating_pow((self.consecutive_failures - EJECTION_FAILURES).min(8));
            self.ejected_until = now + FIRST_EJECTION.saturating_mul(factor).min(MAX_EJECTION);
        }
    }
}

/// Load and health of the upstreams that one router chooses without the dispatcher.
///
/// ```
/// use baobabfall_core::direct_placement::{DirectCandidate, DirectPlacement};
/// use baobabfall_core::dispatch_messages::LeaseEnd;
/// use std::time::Duration;
/// let mut placement = DirectPlacement::default();
/// let now = Duration::from_secs(1);
/// let candidate = DirectCandidate { name: "cases-1", incarnation: 1, slots: 6 };
/// assert_eq!(placement.choose(now, "cases", &[candidate], 0), Some(0));
/// placement.record_end(now, "cases", "cases-1", 1, LeaseEnd::Refused);
/// assert_eq!(placement.choose(now, "cases", &[candidate], 0), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct DirectPlacement {
    upstreams: SortedMap<String, UpstreamRecord>,
    /// Services whose upstreams refused work, with the time until which they count as
    /// contended.
    contended_until: SortedMap<String, Duration>,
}

impl DirectPlacement {
    /// Chooses one of `candidates`, counts a request on it and returns its index.
    /// `draw` is a random number that breaks ties, so that routers spread their
    /// requests. Returns `None` when the service is contended or no candidate is
    /// usable, because it is ejected or this router alone uses all of its slots.
    pub fn choose(
        &mut self,
        now: Duration,
        service: &str,
        candidates: &[DirectCandidate<'_>],
        draw: u64,
    ) -> Option<usize> {
        if self.contended_until.get(service).is_some_and(|until| now < *until)
            || candidates.is_empty()
        {
            return None;
        }
        let first = usize::try_from(draw % (1 << 31)).unwrap_or_default() % candidates.len();
        let order = (0..candidates.len()).map(|step| (first + step) % candidates.len());
        let (_, chosen) = order
            .filter_map(|index| {
                let candidate = &candidates[index];
                let record = self.record(candidate.name, candidate.incarnation);
                let usable = record.running < candidate.slots && record.ejected_until <= now;
                usable.then(|| (record.score(), index))
            })
            .min_by_key(|(score, _)| *score)?;
        let candidate = &candidates[chosen];
        let mut record = self.record(candidate.name, candidate.incarnation);
        record.running += 1;
        self.upstreams.insert(candidate.name.to_owned(), record);
        Some(chosen)
    }

    /// The record of an upstream, or a new one if the stored one is of another
    /// incarnation.
    fn record(&self, name: &str, incarnation: u64) -> UpstreamRecord {
        let record = self.upstreams.get(name).filter(|record| record.incarnation == incarnation);
        record.copied().unwrap_or(UpstreamRecord { incarnation, ..UpstreamRecord::default() })
    }

    /// Records the end of a request on an upstream that [`DirectPlacement::choose`]
    /// returned. A refusal makes the service contended.
    pub fn record_end(
        &mut self,
        now: Duration,
        service: &str,
        name: &str,
        incarnation: u64,
        end: LeaseEnd,
    ) {
        if end == LeaseEnd::Refused {
            self.contended_until.insert(service.to_owned(), now + CONTENTION_TIME);
        }
        let Some(record) = self.upstreams.get_mut(name) else { return };
        if record.incarnation != incarnation {
            return;
        }
        record.running = record.running.saturating_sub(1);
        match end {
            LeaseEnd::Finished => record.record_outcome(now, false),
            LeaseEnd::Failed => record.record_outcome(now, true),
            LeaseEnd::Refused | LeaseEnd::Unused => {}
        }
    }

    /// Drops the records of idle upstreams for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.upstreams.retain(|name, record| record.running > 0 || is_known(name));
    }
}
