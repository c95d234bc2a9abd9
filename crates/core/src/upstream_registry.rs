//! Registry of announced upstreams. It is soft state: an entry expires unless its
//! upstream renews the announcement.

use crate::cold_tracker::COLD_LIMIT;
use crate::error_kind::ErrorKind;
use crate::software_version::SoftwareVersion;
use crate::sorted_map::SortedMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Kind of work that an upstream does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine that generates tokens.
    Model,
    /// A service without token generation.
    Service,
}

/// Model or service that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkTarget {
    /// Whether `name` is a model or a service.
    pub kind: UpstreamKind,
    /// Name of the model or service.
    pub name: String,
    /// Only software version that may do the work, for a request that goes on with a stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
}

impl WorkTarget {
    /// Work that upstreams of any software version may do.
    ///
    /// ```
    /// use baobabfall_core::upstream_registry::{UpstreamKind, WorkTarget};
    /// let target = WorkTarget::new(UpstreamKind::Model, "small");
    /// assert_eq!((target.name.as_str(), target.software), ("small", None));
    /// ```
    pub fn new(kind: UpstreamKind, name: impl Into<String>) -> Self {
        Self { kind, name: name.into(), software: None }
    }
}

/// Announcement that an upstream sends about itself and renews periodically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamAnnouncement {
    /// Name, unique in the fleet: 1 to 64 of the characters `a-z 0-9 - . _`.
    pub name: String,
    /// Incarnation: increases with each restart of the upstream with the same name.
    pub incarnation: u64,
    /// Sequence number: increases with each announcement of one incarnation.
    pub sequence: u64,
    /// Address to which routers connect.
    pub address: SocketAddr,
    /// Model engine or plain service.
    pub kind: UpstreamKind,
    /// Names of the models of an engine, or the single name of a plain service.
    pub serves: Vec<String>,
    /// Availability zone in which it runs.
    pub zone: String,
    /// Number of requests that it runs concurrently.
    pub concurrency: u32,
    /// Capacity pool to which it belongs; when absent, `models` for an engine or
    /// the service name for a plain service.
    #[serde(default)]
    pub pool: Option<String>,
    /// True when it rejects requests whose fencing token is older than one that it
    /// has seen.
    #[serde(default)]
    pub honours_fencing: bool,
    /// True when an interrupted stream can be resumed from an event position.
    #[serde(default)]
    pub resume: bool,
    /// True when it supports `POST /cancel/{request_id}`.
    #[serde(default)]
    pub cancel: bool,
    /// True once it is shutting down and takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Number of running requests as the engine last reported it; may be out of
    /// date.
    #[serde(default)]
    pub running: Option<u32>,
    /// Version of its software; `None` when it is unknown, which equals no other version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
    /// Time for which the upstream stays cold, in milliseconds: it tolerates only the request rate
    /// that its service names. Zero when it is warm, `None` when it does not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_ms: Option<u64>,
}

/// Maximum length of a name in bytes: of an upstream, model, service, zone, pool
/// and others.
pub const NAME_LIMIT_BYTES: usize = 64;
/// Maximum number of models in one announcement.
pub const SERVES_LIMIT: usize = 64;
/// Highest concurrency that an upstream may announce.
pub const CONCURRENCY_LIMIT: u32 = 4096;
/// Maximum number of upstreams in the registry.
pub const UPSTREAM_LIMIT: usize = 8192;
/// Time for which an entry is kept after it expired or was withdrawn, so that a delayed
/// announcement of the same incarnation is recognized as stale.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);

/// Time after a departure that named no incarnation in which no announcement of that upstream is
/// accepted. One that was sent before the departure may arrive seconds later, and nothing tells it
/// from that of an upstream that has started again: the start time that it names was read from a
/// clock which may be wrong.
pub const UNNAMED_DEPARTURE_HOLD: Duration = Duration::from_secs(6);
/// Change of the end of a cold time that counts as a change of the registry. Every renewal of a
/// cold upstream states a time that is shorter by about the interval since the last one, and a
/// change sends the whole registry to all routers.
const COLD_CHANGE: Duration = Duration::from_millis(500);
/// Time since its last announcement in which no other incarnation of an upstream can have started
/// and left. Upstreams announce themselves about every second.
const ANNOUNCER_TIME: Duration = Duration::from_secs(2);

/// True for a non-empty name of at most [`NAME_LIMIT_BYTES`] bytes in `a-z 0-9 - . _`.
pub fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= NAME_LIMIT_BYTES
        && name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-._".contains(&b))
}

/// Why an announcement was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncementRefusal {
    /// Error kind, which determines status and code.
    pub kind: ErrorKind,
    /// What is wrong with the announcement.
    pub message: String,
}

impl AnnouncementRefusal {
    fn invalid(message: impl Into<String>) -> Self {
        Self { kind: ErrorKind::InvalidAnnouncement, message: message.into() }
    }
}

impl UpstreamAnnouncement {
    /// Validates the fields of the announcement, independent of other upstreams.
    pub fn check(&self) -> Result<(), AnnouncementRefusal> {
        let refuse = |message: String| Err(AnnouncementRefusal::invalid(message));
        for name in [&self.name, &self.zone].into_iter().chain(&self.pool) {
            if !is_valid_name(name) {
                return refuse(format!(
                    "{name:?} is not a valid name; use 1 to 64 of the characters a-z 0-9 - . _."
                ));
            }
        }
        if self.serves.is_empty() || self.serves.len() > SERVES_LIMIT {
            return refuse(format!("serves must list 1 to {SERVES_LIMIT} names."));
        }
        if let Some(name) = self.serves.iter().find(|name| !is_valid_name(name)) {
            return refuse(format!("{name:?} in serves is not a valid name."));
        }
        if self.kind == UpstreamKind::Service && self.serves.len() != 1 {
            return refuse("A plain service must serve exactly one service.".to_owned());
        }
        if self.concurrency == 0 || self.concurrency > CONCURRENCY_LIMIT {
            return refuse(format!("concurrency must be 1 to {CONCURRENCY_LIMIT}."));
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return refuse(format!(
                "Routers cannot connect to address {}; announce an IP address and a port.",
                self.address
            ));
        }
        Ok(())
    }

    /// Time until which the upstream stays cold if it said so at `now`; `None` when it does not
    /// say.
    fn cold_until(&self, now: Duration) -> Option<Duration> {
        self.cold_ms.map(|cold_ms| now + Duration::from_millis(cold_ms).min(COLD_LIMIT))
    }

    /// Name of the capacity pool to which this upstream belongs.
    pub fn pool_name(&self) -> &str {
        match (&self.pool, self.kind) {
            (Some(pool), _) => pool,
            (None, UpstreamKind::Model) => "models",
            (None, UpstreamKind::Service) => &self.serves[0],
        }
    }

    /// True when this upstream serves the model or service `target`, and has the software
    /// version that `target` names, if any. An unknown version equals no other.
    pub fn can_serve(&self, target: &WorkTarget) -> bool {
        self.kind == target.kind
            && self.serves.contains(&target.name)
            && (target.software.is_none() || self.software == target.software)
    }
}

/// Registry entry of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Latest accepted announcement.
    pub announcement: UpstreamAnnouncement,
    /// Time at which the entry expires unless it is renewed.
    pub expires_at: Duration,
    /// True while the upstream may get new work; false once it has withdrawn,
    /// expired or is leaving.
    pub live: bool,
    /// Time of the latest announcement; `None` in a copy of another registry.
    pub announced_at: Option<Duration>,
    /// Time until which the upstream stays cold; `None` when it does not say.
    pub cold_until: Option<Duration>,
}

/// Committed departure that named no incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnnamedDeparture {
    /// Number of the departure, which increases.
    pub number: u64,
    /// Time since its commit, by the log's clock.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct DepartureHold {
    /// Number of the departure.
    number: u64,
    /// Time up to which no announcement of the upstream is accepted.
    until: Duration,
}

/// All announced upstreams, by name.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRegistry {
    entries: SortedMap<String, UpstreamEntry>,
    deregistered: SortedMap<String, u64>,
    holds: SortedMap<String, DepartureHold>,
    version: u64,
}

impl UpstreamRegistry {
    /// Version of the registry. It increases with each change except a renewal that
    /// only updates the sequence number, the running requests and the cold time as it passes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All entries by name, including those that are no longer live and are kept
    /// for [`TOMBSTONE_RETENTION`].
    pub fn entries(&self) -> &SortedMap<String, UpstreamEntry> {
        &self.entries
    }

    /// Entries of upstreams that may get new work.
    pub fn live(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.entries.values().filter(|entry| entry.live)
    }

    /// Adds or renews an upstream; its entry expires `lifetime` after `now`.
    pub fn announce(
        &mut self,
        now: Duration,
        lifetime: Duration,
        mut announcement: UpstreamAnnouncement,
    ) -> Result<(), AnnouncementRefusal> {
        announcement.check()?;
        if !announcement.leaving && self.is_held(now, &announcement.name) {
            return Err(AnnouncementRefusal {
                kind: ErrorKind::StaleIncarnation,
                message: "The upstream has left a moment ago; announce it again.".to_owned(),
            });
        }
        announcement.leaving |= self.has_left(&announcement.name, announcement.incarnation);
        if let Some(entry) = self.entries.get(&announcement.name) {
            entry.check_successor(&announcement)?;
        } else if self.entries.len() >= UPSTREAM_LIMIT {
            return Err(AnnouncementRefusal::invalid("The upstream registry is full."));
        }
        let conflict = self.live().find(|entry| {
            entry.announcement.address == announcement.address
                && entry.announcement.name != announcement.name
        });
        let conflict = conflict.map(|entry| entry.announcement.clone());
        if let Some(other) = conflict.as_ref().filter(|other| {
            // The upstream with the higher incarnation started later and owns the address. The
            // previous owner is gone; a later announcement from it was only delayed in transit.
            other.incarnation >= announcement.incarnation
        }) {
            return Err(AnnouncementRefusal::invalid(format!(
                "Upstream {} already announced this address.",
                other.name
            )));
        }
        if let Some(previous) = conflict.and_then(|other| self.entries.get_mut(&other.name)) {
            previous.live = false;
            previous.expires_at = now;
            self.version += 1;
        }
        let live = !announcement.leaving;
        let announced_at = Some(now);
        let cold_until = announcement.cold_until(now);
        let expires_at = now + lifetime;
        let entry = UpstreamEntry { expires_at, live, announcement, announced_at, cold_until };
        let name = entry.announcement.name.clone();
        let replaced = self.entries.insert(name.clone(), entry);
        let changed = replaced.is_none_or(|old| {
            let new = &self.entries.get(&name).expect("the entry was just inserted").announcement;
            let mut old_announcement = old.announcement;
            old_announcement.sequence = new.sequence;
            old_announcement.running = new.running;
            old_announcement.cold_ms = new.cold_ms;
            old.live != live
                || old_announcement != *new
                || is_cold_changed(now, old.cold_until, cold_until)
        });
        self.version += u64::from(changed);
        Ok(())
    }

    /// Withdraws an upstream, so that it gets no new work. Returns false and changes
    /// nothing when the upstream is unknown, not live or of a later incarnation.
    pub fn withdraw(&mut self, now: Duration, name: &str, incarnation: u64) -> bool {
        let Some(entry) = self.entries.get_mut(name) else { return false };
        if entry.announcement.incarnation > incarnation || !entry.live {
            return false;
        }
        entry.live = false;
        entry.announcement.leaving = true;
        entry.expires_at = now;
        self.version += 1;
        true
    }

    /// Sets the deregistered incarnations from the replicated log and withdraws them.
    /// A delayed announcement of one of them is treated as leaving.
    pub fn set_deregistered(&mut self, now: Duration, deregistered: SortedMap<String, u64>) {
        for (name, incarnation) in deregistered.iter() {
            self.withdraw(now, name, *incarnation);
        }
        self.deregistered = deregistered;
    }

    /// Sets the departures from the replicated log that named no incarnation. Whichever
    /// incarnation was registered has left, and for [`UNNAMED_DEPARTURE_HOLD`] none is accepted.
    pub fn set_unnamed_departures(
        &mut self,
        now: Duration,
        departures: &SortedMap<String, UnnamedDeparture>,
    ) {
        for (name, departure) in departures.iter() {
            let number = departure.number;
            if self.holds.get(name).is_some_and(|hold| hold.number >= number) {
                continue;
            }
            let left = UNNAMED_DEPARTURE_HOLD.saturating_sub(departure.age);
            self.holds.insert(name.clone(), DepartureHold { number, until: now + left });
            let entry = self.entries.get(name).filter(|_| !left.is_zero());
            if let Some(incarnation) = entry.map(|entry| entry.announcement.incarnation) {
                self.withdraw(now, name, incarnation);
            }
        }
        self.holds.retain(|name, hold| now < hold.until || departures.contains_key(name));
    }

    fn is_held(&self, now: Duration, name: &str) -> bool {
        self.holds.get(name).is_some_and(|hold| now < hold.until)
    }

    /// Incarnation of the upstream that announces itself at present, if there is one.
    pub fn announcing(&self, now: Duration, name: &str) -> Option<u64> {
        let entry = self.entries.get(name)?;
        let is_heard = entry.announced_at.is_some_and(|at| now < at + ANNOUNCER_TIME);
        is_heard.then_some(entry.announcement.incarnation)
    }

    fn has_left(&self, name: &str, incarnation: u64) -> bool {
        self.deregistered.get(name).is_some_and(|latest| *latest >= incarnation)
    }

    /// Postpones the expiry of live entries to `expires_at` at the earliest, for a
    /// controller that became leader and has not yet received renewals.
    pub fn extend_expiry(&mut self, expires_at: Duration) {
        for entry in self.entries.values_mut().filter(|entry| entry.live) {
            entry.expires_at = entry.expires_at.max(expires_at);
        }
    }

    /// Copies the live upstreams of another registry. Entries that it does not list
    /// are no longer live, but a later announcement can renew them. A copy may be older than a
    /// departure.
    pub fn copy_live(
        &mut self,
        now: Duration,
        lifetime: Duration,
        upstreams: Vec<UpstreamAnnouncement>,
    ) {
        let expires_at = now + lifetime;
        let mut changed = false;
        for (name, entry) in self.entries.iter_mut() {
            let listed = upstreams.iter().any(|upstream| upstream.name == *name);
            changed |= entry.live && !listed;
            entry.live &= listed;
        }
        for mut announcement in upstreams {
            announcement.leaving |= self.has_left(&announcement.name, announcement.incarnation);
            if self.is_held(now, &announcement.name) {
                continue;
            }
            let newer = self.entries.get(&announcement.name).is_none_or(|entry| {
                let current = &entry.announcement;
                (current.incarnation, current.sequence)
                    <= (announcement.incarnation, announcement.sequence)
            });
            if newer {
                let live = !announcement.leaving;
                let name = announcement.name.clone();
                let announced_at = None;
                let cold_until = announcement.cold_until(now);
                let entry =
                    UpstreamEntry { announcement, expires_at, live, announced_at, cold_until };
                self.entries.insert(name, entry);
                changed = true;
            }
        }
        self.version += u64::from(changed);
    }

    /// Expires entries that were not renewed in time and drops those that expired
    /// at least [`TOMBSTONE_RETENTION`] ago. Returns the names that expired now.
    pub fn expire(&mut self, now: Duration) -> Vec<String> {
        let mut expired = Vec::new();
        for (name, entry) in self.entries.iter_mut() {
            if entry.live && entry.expires_at <= now {
                entry.live = false;
                expired.push(name.clone());
            }
        }
        self.entries.retain(|_, entry| entry.expires_at + TOMBSTONE_RETENTION > now);
        self.version += u64::from(!expired.is_empty());
        expired
    }
}

/// True if the end of a cold time has moved by more than the delay of an announcement.
fn is_cold_changed(now: Duration, old: Option<Duration>, new: Option<Duration>) -> bool {
    match (old, new) {
        (Some(old), Some(new)) => old.max(now).abs_diff(new.max(now)) > COLD_CHANGE,
        (old, new) => old.is_some() != new.is_some(),
    }
}

impl UpstreamEntry {
    /// The latest announcement with the cold time that is left at `now`.
    pub fn announcement_at(&self, now: Duration) -> UpstreamAnnouncement {
        let left = self.cold_until.map(|until| until.saturating_sub(now).as_millis());
        let cold_ms = left.map(|millis| u64::try_from(millis).unwrap_or(u64::MAX));
        UpstreamAnnouncement { cold_ms, ..self.announcement.clone() }
    }

    fn check_successor(&self, next: &UpstreamAnnouncement) -> Result<(), AnnouncementRefusal> {
        let current = &self.announcement;
        let stale = |message: String| {
            Err(AnnouncementRefusal { kind: ErrorKind::StaleIncarnation, message })
        };
        if next.incarnation < current.incarnation {
            return stale(format!(
                "The later incarnation {} is already registered.",
                current.incarnation
            ));
        }
        if next.incarnation > current.incarnation {
            return Ok(());
        }
        if next.sequence <= current.sequence {
            return stale(format!("Sequence number {} was already received.", current.sequence));
        }
        if current.leaving && !next.leaving {
            return stale(
                "This incarnation is leaving; restart the upstream with a higher incarnation."
                    .to_owned(),
            );
        }
        if next.kind != current.kind
            || next.address != current.address
            || next.software != current.software
        {
            return Err(AnnouncementRefusal::invalid(
                "Kind, address and software version may only change with a new incarnation.",
            ));
        }
        Ok(())
    }
}
