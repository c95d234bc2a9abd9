//! Which upstreams are cold, and how many requests they tolerate meanwhile.
//!
//! An upstream is cold for a time after its start, and may become cold again at any moment. It
//! announces how long it stays cold; one that does not say counts as cold for the time that its
//! service names, from when it was first heard. The budgets themselves are kept by
//! [`crate::upstream_limits`].

use crate::dispatch_messages::UpstreamLimit;
use crate::route_table::{ColdRow, ServiceRow};
use crate::sorted_map::SortedMap;
use crate::upstream_limits::RequestRate;
use crate::upstream_registry::UpstreamAnnouncement;
use std::time::Duration;

/// Longest time for which an upstream can state that it is cold. A misconfigured one must not
/// take itself out of service for days.
pub const COLD_LIMIT: Duration = Duration::from_secs(600);

#[derive(Clone, Debug)]
struct ColdRecord {
    service: String,
    incarnation: u64,
    /// Sequence number of the announcement that was applied last.
    sequence: u64,
    /// End of the cold time that the upstream announced, or that of a start while it has not said.
    until: Duration,
    has_stated: bool,
    /// End of the cold time that is assumed whatever the upstream announces.
    assumed_until: Duration,
}

impl ColdRecord {
    fn end(&self) -> Duration {
        self.until.max(self.assumed_until)
    }
}

/// Cold upstreams of the services whose upstreams tolerate less while they are cold.
///
/// ```
/// use baobabfall_core::cold_tracker::ColdTracker;
/// use baobabfall_core::route_table::{ColdRow, ServiceRow};
/// use baobabfall_core::upstream_limits::read_rate;
/// use baobabfall_core::upstream_registry::{UpstreamAnnouncement, UpstreamKind};
/// use std::time::Duration;
/// let announcement = UpstreamAnnouncement {
///     name: "engine-1".to_owned(), incarnation: 1, sequence: 1,
///     address: "127.0.0.1:9000".parse().unwrap(), kind: UpstreamKind::Service,
///     serves: vec!["drafts".to_owned()], zone: "a".to_owned(), concurrency: 8,
///     pool: None, honours_fencing: false, resume: false, cancel: false, leaving: false,
///     running: None, software: None, cold_ms: Some(1_200),
/// };
/// let cold = ColdRow { start_ms: 3_000, rate: read_rate("8.9").unwrap() };
/// let service = ServiceRow { name: "drafts".to_owned(), health_path: String::new(),
///     connections: 8, engine: None, cold: Some(cold) };
/// let mut tracker = ColdTracker::new(Duration::ZERO);
/// tracker.set_services(&[service]);
/// let now = Duration::from_secs(5);
/// tracker.observe(now, &announcement);
/// assert_eq!(tracker.left(now, "engine-1", 1), Some(Duration::from_millis(1_200)));
/// assert_eq!(tracker.left(now + Duration::from_millis(1_200), "engine-1", 1), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ColdTracker {
    rows: SortedMap<String, ColdRow>,
    records: SortedMap<String, ColdRecord>,
    /// Time by which a stated cold time is prolonged.
    margin: Duration,
}

impl ColdTracker {
    /// Creates a tracker without services. `margin` prolongs each cold time that an upstream
    /// states.
    pub fn new(margin: Duration) -> Self {
        Self { margin, ..Self::default() }
    }

    /// Sets the services. Upstreams of a service that names no rate are never cold.
    pub fn set_services(&mut self, services: &[ServiceRow]) {
        let rows = services.iter().filter_map(|row| Some((row.name.clone(), row.cold?)));
        self.rows = rows.collect();
        let rows = &self.rows;
        self.records.retain(|_, record| rows.contains_key(&record.service));
    }

    /// True when no service names a rate, so that no upstream is cold.
    pub fn is_idle(&self) -> bool {
        self.rows.is_empty()
    }

    /// Applies an announcement that was received at `now`. An announcement that was applied
    /// before changes nothing.
    pub fn observe(&mut self, now: Duration, announcement: &UpstreamAnnouncement) {
        let service = announcement.serves.iter().find(|name| self.rows.contains_key(*name));
        let Some(service) = service else { return };
        let (incarnation, sequence) = (announcement.incarnation, announcement.sequence);
        let known = self.records.get_mut(&announcement.name);
        let stated_until = announcement.cold_ms.map(|cold_ms| match cold_ms {
            0 => Duration::ZERO,
            _ => now + Duration::from_millis(cold_ms).min(COLD_LIMIT) + self.margin,
        });
        if let Some(known) = known.filter(|known| known.incarnation == incarnation) {
            if known.sequence != sequence {
                known.sequence = sequence;
                known.until = stated_until.unwrap_or(known.until);
                known.has_stated |= stated_until.is_some();
            }
            return;
        }
        let record = ColdRecord {
            service: service.clone(),
            incarnation,
            sequence,
            until: stated_until.unwrap_or_else(|| now + self.start_time(service)),
            has_stated: stated_until.is_some(),
            assumed_until: Duration::ZERO,
        };
        self.records.insert(announcement.name.clone(), record);
    }

    /// Treats an upstream as if it had just started, because it may have become cold while
    /// requests were kept from it. What it announces can only prolong that.
    pub fn assume_cold(&mut self, now: Duration, name: &str) {
        let Some(record) = self.records.get(name) else { return };
        let until = now + self.start_time(&record.service);
        if let Some(record) = self.records.get_mut(name) {
            record.assumed_until = record.assumed_until.max(until);
        }
    }

    /// Drops the upstreams for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.records.retain(|name, _| is_known(name));
    }

    /// Time for which this incarnation of an upstream stays cold; `None` when it is not.
    pub fn left(&self, now: Duration, name: &str, incarnation: u64) -> Option<Duration> {
        let record = self.record_of(name, incarnation)?;
        record.end().checked_sub(now).filter(|left| !left.is_zero())
    }

    /// True when this incarnation itself has stated that it is cold now.
    pub fn has_stated(&self, now: Duration, name: &str, incarnation: u64) -> bool {
        let record = self.record_of(name, incarnation);
        record.is_some_and(|record| record.has_stated && record.until > now)
    }

    /// Requests that this incarnation of an upstream tolerates from all routers together;
    /// `None` when it is not cold.
    pub fn rate(&self, now: Duration, name: &str, incarnation: u64) -> Option<RequestRate> {
        self.left(now, name, incarnation)?;
        let record = self.record_of(name, incarnation)?;
        self.rows.get(&record.service).map(|row| row.rate)
    }

    /// The rates of all cold upstreams, ordered by name.
    pub fn limits(&self, now: Duration) -> Vec<UpstreamLimit> {
        let limits = self.records.iter().filter_map(|(name, record)| {
            let rate = self.rate(now, name, record.incarnation)?;
            let incarnation = record.incarnation;
            Some(UpstreamLimit { upstream: name.clone(), incarnation, rate: Some(rate) })
        });
        limits.collect()
    }

    fn record_of(&self, name: &str, incarnation: u64) -> Option<&ColdRecord> {
        self.records.get(name).filter(|record| record.incarnation == incarnation)
    }

    fn start_time(&self, service: &str) -> Duration {
        let start_ms = self.rows.get(service).map_or(0, |row| row.start_ms);
        Duration::from_millis(start_ms).min(COLD_LIMIT)
    }
}
