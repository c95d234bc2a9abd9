//! Choice of an upstream by a router alone, for requests that cost an upstream
//! little more than a round trip to the dispatcher costs the router.
//!
//! It answers the load of many routers with few such requests each, which leave
//! upstreams mostly free. As soon as an upstream refuses work the service counts
//! as contended, and the dispatcher shares it among workspaces again.

use crate::dispatch_messages::LeaseEnd;
use crate::sorted_map::SortedMap;
use std::time::Duration;

/// Fixed-point scale of fault shares.
const FRACTION: u64 = 1 << 16;
/// Weight of a new outcome in the share of faults is one of these.
const FAULT_DIVISOR: u64 = 8;
/// An upstream that only fails counts as this many times busier.
const FAULT_FACTOR: u64 = 16;
/// Failures in a row after which an upstream is barred.
const BAR_FAILURES: u32 = 3;
/// First time for which an upstream is barred; it doubles with each further failure.
const FIRST_BAR: Duration = Duration::from_millis(500);
/// Longest time for which an upstream is barred.
const LONGEST_BAR: Duration = Duration::from_secs(4);
/// How long a service counts as contended after a refusal. Workspaces that
/// share it unequally would do so for seconds.
const CONTENTION_TIME: Duration = Duration::from_secs(1);

/// An upstream that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct DirectCandidate<'a> {
    /// Name of the upstream.
    pub name: &'a str,
    /// Its incarnation.
    pub incarnation: u64,
    /// Requests that it runs at once.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct UpstreamRecord {
    incarnation: u64,
    running: u32,
    faults: u64,
    failures: u32,
    barred_until: Duration,
}

impl UpstreamRecord {
    /// Load with faults weighed in, in parts of [`FRACTION`].
    fn score(&self) -> u64 {
        u64::from(self.running + 1) * (FRACTION + self.faults * (FAULT_FACTOR - 1))
    }

    fn take_outcome(&mut self, now: Duration, failed: bool) {
        let sample = if failed { FRACTION } else { 0 };
        self.faults = self.faults - self.faults / FAULT_DIVISOR + sample / FAULT_DIVISOR;
        self.failures = if failed { self.failures.saturating_add(1) } else { 0 };
        if self.failures >= BAR_FAILURES {
            let factor = 2_u32.saturating_pow((self.failures - BAR_FAILURES).min(8));
            self.barred_until = now + FIRST_BAR.saturating_mul(factor).min(LONGEST_BAR);
        }
    }
}

/// What one router knows of the upstreams that it chooses itself.
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
    /// Services whose upstreams refused work, with the end of their contention.
    contended: SortedMap<String, Duration>,
}

impl DirectPlacement {
    /// Chooses one of `candidates` and counts a request on it. `draw` is a random
    /// number that decides among equal ones, so that routers spread. `None` when
    /// the service is contended or this router alone fills every candidate.
    pub fn choose(
        &mut self,
        now: Duration,
        service: &str,
        candidates: &[DirectCandidate<'_>],
        draw: u64,
    ) -> Option<usize> {
        if self.contended.get(service).is_some_and(|until| now < *until) || candidates.is_empty() {
            return None;
        }
        let first = usize::try_from(draw % (1 << 31)).unwrap_or_default() % candidates.len();
        let order = (0..candidates.len()).map(|step| (first + step) % candidates.len());
        let (_, chosen) = order
            .filter_map(|index| {
                let candidate = &candidates[index];
                let held = self.record(candidate.name, candidate.incarnation);
                let usable = held.running < candidate.slots && held.barred_until <= now;
                usable.then(|| (held.score(), index))
            })
            .min_by_key(|(score, _)| *score)?;
        let candidate = &candidates[chosen];
        let mut record = self.record(candidate.name, candidate.incarnation);
        record.running += 1;
        self.upstreams.insert(candidate.name.to_owned(), record);
        Some(chosen)
    }

    /// The record of an upstream; that of an earlier incarnation says nothing.
    fn record(&self, name: &str, incarnation: u64) -> UpstreamRecord {
        let held = self.upstreams.get(name).filter(|held| held.incarnation == incarnation);
        held.copied().unwrap_or(UpstreamRecord { incarnation, ..UpstreamRecord::default() })
    }

    /// Takes the end of a request on an upstream that was chosen here.
    pub fn record_end(
        &mut self,
        now: Duration,
        service: &str,
        name: &str,
        incarnation: u64,
        end: LeaseEnd,
    ) {
        if end == LeaseEnd::Refused {
            self.contended.insert(service.to_owned(), now + CONTENTION_TIME);
        }
        let Some(held) = self.upstreams.get_mut(name) else { return };
        if held.incarnation != incarnation {
            return;
        }
        held.running = held.running.saturating_sub(1);
        match end {
            LeaseEnd::Finished => held.take_outcome(now, false),
            LeaseEnd::Failed => held.take_outcome(now, true),
            LeaseEnd::Refused | LeaseEnd::Unused => {}
        }
    }

    /// Forgets upstreams that `is_known` no longer lists and that run nothing.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.upstreams.retain(|name, held| held.running > 0 || is_known(name));
    }
}
