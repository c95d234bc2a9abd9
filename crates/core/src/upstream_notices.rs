//! What upstreams state about themselves in their answers: that they are leaving, that
//! they want no requests from this router for a time, or how many they take from the
//! whole fleet. The last is kept by [`crate::limit_book`].
//!
//! A router acts on a statement at once and tells the dispatcher, which stops
//! granting slots there. Without it, a router that lost contact with the controllers
//! would keep sending requests to an upstream that is about to end, and an overloaded
//! upstream would spend its time on turning requests away.

use crate::dispatch_messages::UpstreamRestriction;
use crate::limit_book::RateStatement;
use crate::send_barrier::SendBarrier;
use crate::sorted_map::SortedMap;
use std::time::Duration;

/// Longest time without requests that an upstream can ask for. A misconfigured one
/// must not take itself out of service for days.
pub const QUIET_LIMIT: Duration = Duration::from_secs(600);
/// How long the statement that an upstream is leaving is remembered. An incarnation
/// that leaves ends long before.
const LEAVING_RETENTION: Duration = Duration::from_secs(3600);
/// Number of upstreams above which statements that no longer apply are dropped.
const CLEANUP_THRESHOLD: usize = 64;

/// What one answer states about the upstream that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// True when the upstream is about to end and must get no new requests.
    pub leaving: bool,
    /// Time for which the upstream wants no requests from this router.
    pub quiet: Option<Duration>,
    /// Rate of requests that the upstream takes from all routers together.
    pub rate: RateStatement,
}

impl UpstreamNotice {
    /// True when the answer restricts the use of the upstream by this router.
    fn restricts(&self) -> bool {
        self.leaving || self.quiet.is_some()
    }
}

#[derive(Clone, Copy, Debug)]
struct NoticeRecord {
    incarnation: u64,
    leaving: bool,
    quiet_until: Duration,
    recorded_at: Duration,
}

/// The statements of all upstreams to one router.
///
/// ```
/// use baobabfall_core::upstream_notices::{UpstreamNotice, UpstreamNotices};
/// use std::time::Duration;
/// let mut notices = UpstreamNotices::default();
/// let now = Duration::from_secs(1);
/// let quiet = UpstreamNotice { quiet: Some(Duration::from_secs(2)), ..UpstreamNotice::default() };
/// notices.record(now, "engine-1", 7, quiet);
/// assert!(!notices.permits(now, "engine-1", 7));
/// assert!(notices.permits(now, "engine-1", 8), "a restarted upstream stated nothing");
/// assert!(notices.permits(now + Duration::from_secs(2), "engine-1", 7));
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamNotices {
    records: SortedMap<String, NoticeRecord>,
}

impl UpstreamNotices {
    /// Records the statement of an answer that arrived at `now`. Returns true when it
    /// changes where requests may be sent.
    pub fn record(
        &mut self,
        now: Duration,
        name: &str,
        incarnation: u64,
        notice: UpstreamNotice,
    ) -> bool {
        let known = self.records.get(name).copied();
        if !notice.restricts() || known.is_some_and(|known| known.incarnation > incarnation) {
            return false;
        }
        self.drop_expired(now);
        let known = known.filter(|known| known.incarnation == incarnation);
        let quiet_until = notice.quiet.map_or(Duration::ZERO, |quiet| now + quiet.min(QUIET_LIMIT));
        let next = NoticeRecord {
            incarnation,
            leaving: notice.leaving || known.is_some_and(|known| known.leaving),
            quiet_until: quiet_until.max(known.map_or(Duration::ZERO, |known| known.quiet_until)),
            recorded_at: now,
        };
        self.records.insert(name.to_owned(), next);
        known.is_none_or(|known| {
            known.leaving != next.leaving || known.quiet_until != next.quiet_until
        })
    }

    /// True when requests may be sent to this incarnation of the upstream.
    pub fn permits(&self, now: Duration, name: &str, incarnation: u64) -> bool {
        self.next_use(now, name, incarnation) <= now
    }

    /// What the upstream stated that keeps requests of this router away now, if anything.
    pub fn barrier(&self, now: Duration, name: &str, incarnation: u64) -> Option<SendBarrier> {
        match self.next_use(now, name, incarnation) {
            Duration::MAX => Some(SendBarrier::Leaving),
            next_use if next_use > now => Some(SendBarrier::Quiet),
            _ => None,
        }
    }

    /// Time at which this incarnation of the upstream takes requests again: `now` when
    /// it does already, [`Duration::MAX`] when it is leaving.
    pub fn next_use(&self, now: Duration, name: &str, incarnation: u64) -> Duration {
        match self.records.get(name).filter(|record| record.incarnation == incarnation) {
            Some(record) if record.leaving => Duration::MAX,
            Some(record) => record.quiet_until.max(now),
            None => now,
        }
    }

    /// True when no upstream has stated anything that still applies.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// True when a statement of the upstream is kept.
    pub fn is_known(&self, name: &str) -> bool {
        self.records.contains_key(name)
    }

    /// The statements that apply at `now`, as the dispatcher receives them.
    pub fn restrictions(&self, now: Duration) -> impl Iterator<Item = UpstreamRestriction> {
        self.records.iter().filter(move |(_, record)| record.applies(now)).map(
            move |(name, record)| UpstreamRestriction {
                upstream: name.clone(),
                incarnation: record.incarnation,
                leaving: record.leaving,
                quiet_ms: u32::try_from(record.quiet_until.saturating_sub(now).as_millis())
                    .unwrap_or(u32::MAX),
            },
        )
    }

    fn drop_expired(&mut self, now: Duration) {
        if self.records.len() >= CLEANUP_THRESHOLD {
            self.records.retain(|_, record| record.applies(now));
        }
    }
}

impl NoticeRecord {
    fn applies(&self, now: Duration) -> bool {
        let leaving = self.leaving && now < self.recorded_at + LEAVING_RETENTION;
        leaving || now < self.quiet_until
    }
}

/// Reads a delay in seconds, which may have a fraction, as in the header
/// `Retry-After`. Longer delays than [`QUIET_LIMIT`] are shortened to it. `None` when
/// the text is not a number of seconds or is negative.
///
/// ```
/// use baobabfall_core::upstream_notices::{QUIET_LIMIT, read_delay};
/// use std::time::Duration;
/// assert_eq!(read_delay(" 0.25"), Some(Duration::from_millis(250)));
/// assert_eq!(read_delay("1e300"), Some(QUIET_LIMIT));
/// assert_eq!(read_delay("-1"), None);
/// assert_eq!(read_delay("Fri, 04 Dec 2026 08:00:00 GMT"), None);
/// ```
pub fn read_delay(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    if seconds.is_nan() || seconds < 0.0 {
        return None;
    }
    Some(Duration::from_secs_f64(seconds.min(QUIET_LIMIT.as_secs_f64())))
}
