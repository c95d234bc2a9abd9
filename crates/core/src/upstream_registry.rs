//! Registry of announced upstreams: soft state, renewed and lapsing.

use crate::error_kind::ErrorKind;
use crate::sorted_map::SortedMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// What an upstream runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine that generates tokens.
    Model,
    /// A plain service.
    Service,
}

/// What a request asks for: a model or a service, by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkTarget {
    /// Kind of upstream that can do the work.
    pub kind: UpstreamKind,
    /// Name of the model or service.
    pub name: String,
}

/// Announcement that an upstream sends about itself and renews.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamAnnouncement {
    /// Name, unique in the fleet: 1 to 64 of `a-z 0-9 - . _`.
    pub name: String,
    /// Grows with each restart of the upstream under the same name.
    pub incarnation: u64,
    /// Grows with each announcement of one incarnation.
    pub sequence: u64,
    /// Where routers connect to.
    pub address: SocketAddr,
    /// Model engine or plain service.
    pub kind: UpstreamKind,
    /// Models of an engine, or the one service of a plain service.
    pub serves: Vec<String>,
    /// Name of the availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub concurrency: u32,
    /// Pool whose capacity it adds to; the kind or service name when absent.
    #[serde(default)]
    pub pool: Option<String>,
    /// True when it refuses orders with an older fencing token.
    #[serde(default)]
    pub honours_fencing: bool,
    /// True when a broken stream can be resumed by position.
    #[serde(default)]
    pub resume: bool,
    /// True when `POST /cancel/{request_id}` is understood.
    #[serde(default)]
    pub cancel: bool,
    /// True once it takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Requests running, as last reported by the engine; lags.
    #[serde(default)]
    pub running: Option<u32>,
}

/// Longest name of an upstream, model, service, zone or pool, in bytes.
pub const NAME_LIMIT_BYTES: usize = 64;
/// Most models of one announcement.
pub const SERVES_LIMIT: usize = 64;
/// Largest announced concurrency.
pub const CONCURRENCY_LIMIT: u32 = 4096;
/// Most upstreams that the registry holds.
pub const UPSTREAM_LIMIT: usize = 8192;
/// How long the incarnation of a gone upstream is remembered, so that a late
/// announcement cannot revive it.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);

/// True for a non-empty name of at most [`NAME_LIMIT_BYTES`] bytes in `a-z 0-9 - . _`.
pub fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= NAME_LIMIT_BYTES
        && name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-._".contains(&b))
}

/// A refused announcement: the kind and a sentence that says what to change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncementRefusal {
    /// Kind of the refusal.
    pub kind: ErrorKind,
    /// What is wrong.
    pub message: String,
}

impl AnnouncementRefusal {
    fn invalid(message: impl Into<String>) -> Self {
        Self { kind: ErrorKind::InvalidAnnouncement, message: message.into() }
    }
}

impl UpstreamAnnouncement {
    /// Checks the announcement on its own.
    pub fn check(&self) -> Result<(), AnnouncementRefusal> {
        let refuse = |message: String| Err(AnnouncementRefusal::invalid(message));
        for name in [&self.name, &self.zone].into_iter().chain(&self.pool) {
            if !is_valid_name(name) {
                return refuse(format!("{name:?} is not a name of 1 to 64 of a-z 0-9 - . _."));
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
            return refuse(format!("{} is not an address to connect to.", self.address));
        }
        Ok(())
    }

    /// Name of the pool whose capacity this upstream adds to.
    pub fn pool_name(&self) -> &str {
        match (&self.pool, self.kind) {
            (Some(pool), _) => pool,
            (None, UpstreamKind::Model) => "models",
            (None, UpstreamKind::Service) => &self.serves[0],
        }
    }

    /// True when this upstream can do the work of `target`.
    pub fn can_serve(&self, target: &WorkTarget) -> bool {
        self.kind == target.kind && self.serves.contains(&target.name)
    }
}

/// An upstream as the registry holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Latest announcement.
    pub announcement: UpstreamAnnouncement,
    /// When it lapses unless renewed.
    pub expires_at: Duration,
    /// False once withdrawn, lapsed or leaving: it gets no new work.
    pub live: bool,
}

/// All upstreams that announced themselves.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRegistry {
    entries: SortedMap<String, UpstreamEntry>,
    left: SortedMap<String, u64>,
    version: u64,
}

impl UpstreamRegistry {
    /// Grows with each change other than a plain renewal.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Entries by name, including gone ones that are still remembered.
    pub fn entries(&self) -> &SortedMap<String, UpstreamEntry> {
        &self.entries
    }

    /// Entries that may get new work.
    pub fn live(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.entries.values().filter(|entry| entry.live)
    }

    /// Takes an announcement that is valid for `lifetime`.
    pub fn announce(
        &mut self,
        now: Duration,
        lifetime: Duration,
        mut announcement: UpstreamAnnouncement,
    ) -> Result<(), AnnouncementRefusal> {
        announcement.check()?;
        let left = self.left.get(&announcement.name);
        announcement.leaving |= left.is_some_and(|left| *left >= announcement.incarnation);
        if let Some(entry) = self.entries.get(&announcement.name) {
            entry.check_successor(&announcement)?;
        } else if self.entries.len() >= UPSTREAM_LIMIT {
            return Err(AnnouncementRefusal::invalid("The registry of upstreams is full."));
        }
        let clash = self.live().find(|entry| {
            entry.announcement.address == announcement.address
                && entry.announcement.name != announcement.name
        });
        let clash = clash.map(|entry| entry.announcement.clone());
        if let Some(other) = clash.as_ref().filter(|other| {
            // An address passes to whoever started later: its former owner is gone, and an
            // announcement of the former owner was delayed on its way.
            other.incarnation >= announcement.incarnation
        }) {
            return Err(AnnouncementRefusal::invalid(format!(
                "Upstream {} announced the same address.",
                other.name
            )));
        }
        if let Some(former) = clash.and_then(|other| self.entries.get_mut(&other.name)) {
            former.live = false;
            former.expires_at = now;
            self.version += 1;
        }
        let live = !announcement.leaving;
        let entry = UpstreamEntry { expires_at: now + lifetime, live, announcement };
        let name = entry.announcement.name.clone();
        let replaced = self.entries.insert(name.clone(), entry);
        let changed = replaced.is_none_or(|old| {
            let new = &self.entries.get(&name).expect("the entry was just inserted").announcement;
            let mut old_announcement = old.announcement;
            old_announcement.sequence = new.sequence;
            old_announcement.running = new.running;
            old.live != live || old_announcement != *new
        });
        self.version += u64::from(changed);
        Ok(())
    }

    /// Ends an incarnation of an upstream; older incarnations are ignored.
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

    /// Takes over which incarnations left, as the replicated log holds them. An
    /// announcement of one of them counts as leaving, also when it arrives late.
    pub fn set_deregistered(&mut self, now: Duration, left: SortedMap<String, u64>) {
        for (name, incarnation) in left.iter() {
            self.withdraw(now, name, *incarnation);
        }
        self.left = left;
    }

    /// Lets live entries lapse no earlier than `expires_at`, for a controller
    /// that takes over and has heard no renewals yet.
    pub fn extend_expiry(&mut self, expires_at: Duration) {
        for entry in self.entries.values_mut().filter(|entry| entry.live) {
            entry.expires_at = entry.expires_at.max(expires_at);
        }
    }

    /// Takes over the live upstreams of another registry: entries that it does
    /// not list lapse, and may be renewed later.
    pub fn copy_live(&mut self, expires_at: Duration, upstreams: Vec<UpstreamAnnouncement>) {
        let mut changed = false;
        for (name, entry) in self.entries.iter_mut() {
            let listed = upstreams.iter().any(|upstream| upstream.name == *name);
            changed |= entry.live && !listed;
            entry.live &= listed;
        }
        for announcement in upstreams {
            let newer = self.entries.get(&announcement.name).is_none_or(|held| {
                let held = &held.announcement;
                (held.incarnation, held.sequence)
                    <= (announcement.incarnation, announcement.sequence)
            });
            if newer {
                let live = !announcement.leaving;
                let name = announcement.name.clone();
                self.entries.insert(name, UpstreamEntry { announcement, expires_at, live });
                changed = true;
            }
        }
        self.version += u64::from(changed);
    }

    /// Lapses entries that were not renewed and forgets old ones.
    pub fn expire(&mut self, now: Duration) -> Vec<String> {
        let mut lapsed = Vec::new();
        for (name, entry) in self.entries.iter_mut() {
            if entry.live && entry.expires_at <= now {
                entry.live = false;
                lapsed.push(name.clone());
            }
        }
        self.entries.retain(|_, entry| entry.expires_at + TOMBSTONE_RETENTION > now);
        self.version += u64::from(!lapsed.is_empty());
        lapsed
    }
}

impl UpstreamEntry {
    fn check_successor(&self, next: &UpstreamAnnouncement) -> Result<(), AnnouncementRefusal> {
        let held = &self.announcement;
        let stale = |message: String| {
            Err(AnnouncementRefusal { kind: ErrorKind::StaleIncarnation, message })
        };
        if next.incarnation < held.incarnation {
            return stale(format!("Incarnation {} is known.", held.incarnation));
        }
        if next.incarnation > held.incarnation {
            return Ok(());
        }
        if next.sequence <= held.sequence {
            return stale(format!("Sequence {} is known.", held.sequence));
        }
        if held.leaving && !next.leaving {
            return stale("This incarnation has left; restart with a higher one.".to_owned());
        }
        if next.kind != held.kind || next.address != held.address {
            return Err(AnnouncementRefusal::invalid(
                "Kind and address may only change with a new incarnation.",
            ));
        }
        Ok(())
    }
}
