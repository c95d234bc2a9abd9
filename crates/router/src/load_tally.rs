//! Counts of what became of the requests that needed a slot, and of the reports to
//! the dispatcher. One line a second with these counts tells why a router refuses
//! requests: it has no processor time left, its grants come late, or the dispatcher
//! grants it few slots.

use baobabfall_node::units::millis;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Counters since the start of the process. Request tasks and the dispatch client
/// update them.
#[derive(Debug, Default)]
pub struct LoadTally {
    refused: AtomicU64,
    expired: AtomicU64,
    granted: AtomicU64,
    reports: AtomicU64,
    /// Longest time between a report and its answer since the last reading.
    longest_report_ms: AtomicU64,
}

/// Values of the counters at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReading {
    /// Requests refused on arrival because the queue was too long.
    pub refused: u64,
    /// Requests that waited in the queue until their time limit.
    pub expired: u64,
    /// Requests that received a slot of the dispatcher.
    pub granted: u64,
    /// Reports answered by the dispatcher, without long polls.
    pub reports: u64,
    /// Longest time between such a report and its answer since the last reading.
    pub longest_report_ms: u64,
}

impl LoadTally {
    /// Counts a request that was refused on arrival.
    pub fn count_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request whose time limit in the queue passed.
    pub fn count_expired(&self) {
        self.expired.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that received a slot.
    pub fn count_granted(&self) {
        self.granted.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a report that the dispatcher answered after `elapsed`.
    pub fn count_report(&self, elapsed: Duration) {
        self.reports.fetch_add(1, Ordering::Relaxed);
        self.longest_report_ms.fetch_max(millis(elapsed), Ordering::Relaxed);
    }

    /// Reads the counters and begins a new maximum.
    ///
    /// ```
    /// use baobabfall_router::load_tally::LoadTally;
    /// use std::time::Duration;
    /// let tally = LoadTally::default();
    /// tally.count_report(Duration::from_millis(7));
    /// assert_eq!(tally.read().longest_report_ms, 7);
    /// assert_eq!((tally.read().reports, tally.read().longest_report_ms), (1, 0));
    /// ```
    pub fn read(&self) -> LoadReading {
        LoadReading {
            refused: self.refused.load(Ordering::Relaxed),
            expired: self.expired.load(Ordering::Relaxed),
            granted: self.granted.load(Ordering::Relaxed),
            reports: self.reports.load(Ordering::Relaxed),
            longest_report_ms: self.longest_report_ms.swap(0, Ordering::Relaxed),
        }
    }
}

impl LoadReading {
    /// What was counted since `earlier`. The maximum is that of this reading.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            refused: self.refused - earlier.refused,
            expired: self.expired - earlier.expired,
            granted: self.granted - earlier.granted,
            reports: self.reports - earlier.reports,
            longest_report_ms: self.longest_report_ms,
        }
    }
}
