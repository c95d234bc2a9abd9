//! Registry of the announced upstreams on a controller. The leader receives the announcements;
//! followers keep a copy of its registry.

use crate::replica_driver::ReplicaHandle;
use baobabfall_core::upstream_registry::{
    AnnouncementRefusal, UpstreamAnnouncement, UpstreamRegistry,
};
use baobabfall_node::messages::RegistryView;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Lifetime of entries that a follower copies from the leader, and minimum remaining lifetime of
/// all live entries on a new leader. Upstreams renew every second, so 1.5 s gives each of them
/// time to renew once with a new leader.
pub const COPIED_ENTRY_TTL: Duration = Duration::from_millis(1500);

/// Shared access to the registry, with the clock of its expiry times.
#[derive(Clone, Debug)]
pub struct RegistryService {
    start: Instant,
    announcement_lapse: Duration,
    registry: Arc<Mutex<UpstreamRegistry>>,
    /// The latest view of a leader, which a follower passes on, and when it was received.
    copied: Arc<Mutex<Option<(RegistryView, Instant)>>>,
    version: watch::Sender<u64>,
}

impl RegistryService {
    /// Creates an empty registry whose announcements expire after `announcement_lapse` unless
    /// renewed. The registry's clock counts from `start`.
    pub fn new(start: Instant, announcement_lapse: Duration) -> Self {
        Self {
            start,
            announcement_lapse,
            registry: Arc::default(),
            copied: Arc::default(),
            version: watch::Sender::new(0),
        }
    }

    /// Time after which an announcement expires unless the upstream renews it.
    pub fn announcement_lapse(&self) -> Duration {
        self.announcement_lapse
    }

    /// Locks the registry. The lock must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, UpstreamRegistry> {
        self.registry.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// A receiver that is notified with the new version when the registry changes.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn publish(&self, version: u64) {
        self.version.send_if_modified(|previous| std::mem::replace(previous, version) != version);
    }

    /// Applies an upstream's announcement, which registers the upstream or renews its entry.
    pub fn announce(&self, announcement: UpstreamAnnouncement) -> Result<(), AnnouncementRefusal> {
        let name = announcement.name.clone();
        let mut registry = self.lock();
        let previous_version = registry.version();
        registry.announce(self.now(), self.announcement_lapse, announcement)?;
        let version = registry.version();
        drop(registry);
        if version != previous_version {
            log::info!(event = "upstream_announced", upstream = name, registry_version = version; "upstream announced");
        }
        self.publish(version);
        Ok(())
    }

    /// Removes an upstream from the live ones. The withdrawal is ignored if the registered
    /// incarnation is newer than `incarnation`.
    pub fn withdraw(&self, name: &str, incarnation: u64) {
        let mut registry = self.lock();
        let withdrawn = registry.withdraw(self.now(), name, incarnation);
        let version = registry.version();
        drop(registry);
        if withdrawn {
            log::info!(event = "upstream_withdrawn", upstream = name, incarnation = incarnation; "upstream withdrawn");
        }
        self.publish(version);
    }

    /// Marks upstreams as lapsed that did not renew in time.
    pub fn expire(&self) {
        let mut registry = self.lock();
        let lapsed = registry.expire(self.now());
        let version = registry.version();
        drop(registry);
        for name in lapsed {
            log::warn!(event = "upstream_lapsed", upstream = name; "upstream did not renew its announcement in time");
        }
        self.publish(version);
    }

    /// Live upstreams in the form in which a leader of `term` sends them to other nodes; `None`
    /// unless that is newer than the version `held`.
    pub fn newer_view(&self, term: u64, held: (u64, u64)) -> Option<RegistryView> {
        let registry = self.lock();
        let version = (term, registry.version());
        (version > held).then(|| RegistryView {
            version,
            upstreams: registry.live().map(|entry| entry.announcement_at(self.now())).collect(),
        })
    }

    /// Live upstreams with the cold time that each has left.
    pub fn live_announcements(&self) -> Vec<UpstreamAnnouncement> {
        let now = self.now();
        self.lock().live().map(|entry| entry.announcement_at(now)).collect()
    }

    /// The latest view of a leader that this follower has copied; `None` unless it is newer than
    /// the version `held`.
    pub fn newer_copy(&self, held: (u64, u64)) -> Option<RegistryView> {
        let copied = self.lock_copied();
        let (view, copied_at) = copied.as_ref().filter(|(view, _)| view.version > held)?;
        let age = u64::try_from(copied_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut view = view.clone();
        for upstream in &mut view.upstreams {
            upstream.cold_ms = upstream.cold_ms.map(|cold_ms| cold_ms.saturating_sub(age));
        }
        Some(view)
    }

    fn lock_copied(&self) -> MutexGuard<'_, Option<(RegistryView, Instant)>> {
        self.copied.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Replaces a follower's copy by the leader's view.
    pub fn copy_from(&self, view: RegistryView) {
        *self.lock_copied() = Some((view.clone(), Instant::now()));
        let mut registry = self.lock();
        registry.copy_live(self.now(), COPIED_ENTRY_TTL, view.upstreams);
        let version = registry.version();
        drop(registry);
        self.publish(version);
    }

    /// Extends every live entry's lifetime to at least [`COPIED_ENTRY_TTL`] when this controller
    /// becomes leader, because it has received no renewals yet.
    pub fn extend_live_entries(&self) {
        let now = self.now();
        self.lock().extend_expiry(now + COPIED_ENTRY_TTL);
    }

    /// Incarnation of the upstream with this name; `None` if the registry has no entry for it.
    pub fn incarnation(&self, name: &str) -> Option<u64> {
        self.lock().entries().get(name).map(|entry| entry.announcement.incarnation)
    }

    /// Incarnation of the upstream that announces itself to this controller at present.
    pub fn announcing(&self, name: &str) -> Option<u64> {
        self.lock().announcing(self.now(), name)
    }

    /// Replaces the set of deregistered upstreams by that of the replicated state.
    pub fn update_deregistered(&self, replica: &ReplicaHandle) {
        // The state is read under the lock of the registry, so that no older one is applied later.
        let mut registry = self.lock();
        let state = replica.state();
        let deregistered = state
            .deregistered()
            .iter()
            .map(|(name, upstream)| (name.clone(), upstream.incarnation))
            .collect();
        registry.set_deregistered(self.now(), deregistered);
        registry.set_unnamed_departures(self.now(), &state.unnamed_departures());
        drop(state);
        let version = registry.version();
        drop(registry);
        self.publish(version);
    }
}
