//! Registry of upstreams at a controller.

use baobabfall_core::control_state::DeregisteredUpstream;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::upstream_registry::{
    AnnouncementRefusal, UpstreamAnnouncement, UpstreamRegistry,
};
use baobabfall_node::messages::RegistryView;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Lifetime that a follower gives the entries which it copied from the leader.
/// Upstreams renew every second, so 1.5 s lets each renew once at a new leader.
pub const COPIED_LIFETIME: Duration = Duration::from_millis(1500);

/// Shared registry with its clock.
#[derive(Clone, Debug)]
pub struct RegistryService {
    start: Instant,
    lapse: Duration,
    registry: Arc<Mutex<UpstreamRegistry>>,
    version: watch::Sender<u64>,
}

impl RegistryService {
    /// An empty registry whose announcements lapse after `lapse`.
    pub fn new(start: Instant, lapse: Duration) -> Self {
        Self { start, lapse, registry: Arc::default(), version: watch::Sender::new(0) }
    }

    /// Time within which an upstream must renew.
    pub fn lapse(&self) -> Duration {
        self.lapse
    }

    /// The registry. The lock must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, UpstreamRegistry> {
        self.registry.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// A receiver that is woken when the live upstreams change.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn publish(&self, version: u64) {
        self.version.send_if_modified(|held| std::mem::replace(held, version) != version);
    }

    /// Takes an announcement of an upstream.
    pub fn announce(&self, announcement: UpstreamAnnouncement) -> Result<(), AnnouncementRefusal> {
        let name = announcement.name.clone();
        let mut registry = self.lock();
        let before = registry.version();
        registry.announce(self.now(), self.lapse, announcement)?;
        let version = registry.version();
        drop(registry);
        if version != before {
            log::info!(event = "upstream_announced", upstream = name, registry_version = version; "upstream announced");
        }
        self.publish(version);
        Ok(())
    }

    /// Takes a withdrawal of an upstream.
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

    /// Lapses upstreams that did not renew.
    pub fn expire(&self) {
        let mut registry = self.lock();
        let lapsed = registry.expire(self.now());
        let version = registry.version();
        drop(registry);
        for name in lapsed {
            log::warn!(event = "upstream_lapsed", upstream = name; "upstream lapsed: no renewal in time");
        }
        self.publish(version);
    }

    /// Version of the view in a term.
    pub fn version(&self, term: u64) -> (u64, u64) {
        (term, self.lock().version())
    }

    /// Live upstreams as other nodes see them.
    pub fn view(&self, term: u64) -> RegistryView {
        let registry = self.lock();
        RegistryView {
            version: (term, registry.version()),
            upstreams: registry.live().map(|entry| entry.announcement.clone()).collect(),
        }
    }

    /// Replaces the copy of a follower by the view of the leader.
    pub fn copy_from(&self, view: RegistryView) {
        let lapses_at = self.now() + COPIED_LIFETIME;
        let mut registry = self.lock();
        registry.copy_live(lapses_at, view.upstreams);
        let version = registry.version();
        drop(registry);
        self.publish(version);
    }

    /// Gives every live entry a fresh lifetime when this controller takes over.
    pub fn take_over(&self) {
        let now = self.now();
        self.lock().extend_expiry(now + COPIED_LIFETIME);
    }

    /// The incarnation of an upstream that is held.
    pub fn incarnation(&self, name: &str) -> Option<u64> {
        self.lock().entries().get(name).map(|entry| entry.announcement.incarnation)
    }

    /// Takes over which upstreams left, as the replicated log holds them.
    pub fn set_left(&self, left: &SortedMap<String, DeregisteredUpstream>) {
        let left = left.iter().map(|(name, held)| (name.clone(), held.incarnation)).collect();
        let mut registry = self.lock();
        registry.set_deregistered(self.now(), left);
        let version = registry.version();
        drop(registry);
        self.publish(version);
    }
}
