//! The router's knowledge of upstreams: which there are, and which of them may get a request.

use crate::table_view::ANNOUNCEMENT_LIFETIME;
use arc_swap::ArcSwap;
use baobabfall_core::cold_tracker::ColdTracker;
use baobabfall_core::departure_set::{DepartureList, DepartureSet};
use baobabfall_core::dispatch_messages::UpstreamLimit;
use baobabfall_core::route_table::ServiceRow;
use baobabfall_core::upstream_registry::{
    AnnouncementRefusal, UpstreamAnnouncement, UpstreamKind, UpstreamRegistry, WorkTarget,
};
use baobabfall_core::zone_evacuations::EvacuationList;
use baobabfall_node::messages::{RegistryView, UpstreamWithdrawal};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;

/// Upstreams from the controllers' registry, from announcements to this router, and those that
/// have left. A departure outweighs every registry, whatever its age or term.
#[derive(Debug)]
pub struct UpstreamDirectory {
    registry_view: ArcSwap<RegistryView>,
    /// Upstreams of the previous leader's registry, with the time until which they
    /// are used.
    previous: ArcSwap<(Vec<UpstreamAnnouncement>, Instant)>,
    departures: ArcSwap<DepartureSet>,
    /// The newest list that any controller has sent. It stays in force while none is reachable.
    evacuations: ArcSwap<EvacuationList>,
    /// Upstreams that announced themselves to this router.
    local: Mutex<UpstreamRegistry>,
    /// Which upstreams are cold; `None` while no service names a rate for them.
    cold: Mutex<Option<ColdTracker>>,
    started: Instant,
}

impl Default for UpstreamDirectory {
    fn default() -> Self {
        Self::new()
    }
}

impl UpstreamDirectory {
    /// Creates a directory without any upstream.
    pub fn new() -> Self {
        Self {
            registry_view: ArcSwap::from_pointee(RegistryView {
                version: (0, 0),
                upstreams: Vec::new(),
            }),
            previous: ArcSwap::from_pointee((Vec::new(), Instant::now())),
            departures: ArcSwap::default(),
            evacuations: ArcSwap::default(),
            local: Mutex::new(UpstreamRegistry::default()),
            cold: Mutex::new(None),
            started: Instant::now(),
        }
    }

    /// The upstream registry received from the controllers.
    pub fn registry(&self) -> Arc<RegistryView> {
        self.registry_view.load_full()
    }

    /// True once a registry has been received from the controllers.
    pub fn has_registry(&self) -> bool {
        self.registry_view.load().version != (0, 0)
    }

    /// Replaces the registry if `view` has a higher version; returns whether it did.
    ///
    /// A new leader may not have received an announcement of every upstream yet, so
    /// the upstreams of the previous leader's registry are kept for one lifetime. One that the new
    /// leader listed and then removed is not among them any more.
    pub fn set_registry(&self, view: RegistryView) -> bool {
        let held = self.registry_view.load();
        let newer = view.version > held.version;
        if newer {
            if view.version.0 > held.version.0 {
                let until = Instant::now() + ANNOUNCEMENT_LIFETIME;
                self.previous.store(Arc::new((held.upstreams.clone(), until)));
            } else if Instant::now() < self.previous.load().1 {
                self.forget_removed(&held, &view);
            }
            self.observe_cold(&view.upstreams);
            self.registry_view.store(Arc::new(view));
        }
        newer
    }

    /// Drops the upstreams from the previous registry that `held` lists and `next` does not.
    fn forget_removed(&self, held: &RegistryView, next: &RegistryView) {
        let lists = |view: &RegistryView, name: &str| {
            view.upstreams.iter().any(|upstream| upstream.name == name)
        };
        let previous = self.previous.load();
        let mut kept = previous.0.clone();
        kept.retain(|upstream| !lists(held, &upstream.name) || lists(next, &upstream.name));
        self.previous.store(Arc::new((kept, previous.1)));
    }

    /// Version of the log's set of departures up to which this router knows all.
    pub fn departures_version(&self) -> u64 {
        self.departures.load().version()
    }

    /// Adds departures from the log and returns the names of those that are new.
    pub fn add_departures(&self, list: &DepartureList) -> Vec<String> {
        let mut next = DepartureSet::clone(&self.departures.load());
        let added = next.merge(list);
        self.departures.store(Arc::new(next));
        added
    }

    /// The evacuated zones that this router knows of.
    pub fn evacuations(&self) -> Arc<EvacuationList> {
        self.evacuations.load_full()
    }

    /// Replaces the list of evacuated zones if `list` has a higher version; returns whether it did.
    pub fn set_evacuations(&self, list: EvacuationList) -> bool {
        let held = self.evacuations.load_full();
        let newer = list.version > held.version;
        if newer {
            let readmitted = held.zones.iter().filter(|zone| !list.contains(zone));
            readmitted.for_each(|zone| self.assume_cold_zone(zone));
            self.evacuations.store(Arc::new(list));
        }
        newer
    }

    /// True if operators have evacuated the zone that an upstream announces.
    pub fn is_zone_evacuated(&self, zone: &str) -> bool {
        self.evacuations.load().contains(zone)
    }

    /// True if the upstream is in an evacuated zone. While any zone is evacuated, this also holds
    /// for an upstream whose zone is not known.
    pub fn is_evacuated(&self, name: &str) -> bool {
        let evacuations = self.evacuations.load();
        if evacuations.zones.is_empty() {
            return false;
        }
        let zone = self.zone_of(name);
        zone.is_none_or(|zone| evacuations.contains(&zone))
    }

    /// Zone that the upstream announces, or announced last. The announcements have the precedence
    /// that they have in [`Self::upstreams`].
    fn zone_of(&self, name: &str) -> Option<String> {
        let local = self.local();
        let entry = local.entries().get(name);
        let direct = entry.filter(|entry| entry.live).map(|entry| &entry.announcement);
        let registry = self.registry_view.load();
        let previous = self.previous.load();
        let listed = || {
            let mut known = registry.upstreams.iter().chain(&previous.0);
            known.find(|held| held.name == name)
        };
        let lapsed = || entry.map(|entry| &entry.announcement);
        direct.or_else(listed).or_else(lapsed).map(|held| held.zone.clone())
    }

    /// True if only upstreams in evacuated zones can serve the target. Asked for each request
    /// while a zone is evacuated, so it copies no announcements and ends at the first other one.
    pub fn is_served_evacuated_only(&self, target: &WorkTarget) -> bool {
        let evacuations = self.evacuations.load();
        if evacuations.zones.is_empty() {
            return false;
        }
        let is_open = |held: &UpstreamAnnouncement| {
            held.can_serve(target)
                && !evacuations.contains(&held.zone)
                && !self.has_left(&held.name, held.incarnation)
        };
        let registry = self.registry_view.load();
        let mut listed = registry.upstreams.iter();
        !listed.any(is_open) && self.serving_count(target) == 0 && self.is_served(target)
    }

    fn local(&self) -> MutexGuard<'_, UpstreamRegistry> {
        let mut local = self.local.lock().unwrap_or_else(PoisonError::into_inner);
        local.expire(self.started.elapsed());
        local
    }

    /// Applies an announcement that an upstream sent to this router. Fails if the
    /// announcement is not valid or is out of date.
    pub fn announce(&self, announcement: UpstreamAnnouncement) -> Result<(), AnnouncementRefusal> {
        self.observe_cold(std::slice::from_ref(&announcement));
        self.local().announce(self.started.elapsed(), ANNOUNCEMENT_LIFETIME, announcement)
    }

    /// Applies a withdrawal that an upstream sent to this router; returns whether an
    /// announcement was withdrawn.
    pub fn withdraw(&self, withdrawal: &UpstreamWithdrawal) -> bool {
        self.local().withdraw(self.started.elapsed(), &withdrawal.name, withdrawal.incarnation)
    }

    /// True if this incarnation of the upstream has left: its departure is in the log, it told this
    /// router that it is leaving, or a later incarnation announced itself. Such an incarnation must
    /// get no request.
    pub fn has_left(&self, name: &str, incarnation: u64) -> bool {
        if self.departures.load().has_left(name, incarnation) {
            return true;
        }
        let local = self.local();
        let entry = local.entries().get(name);
        entry.is_some_and(|entry| {
            let held = &entry.announcement;
            held.incarnation > incarnation || (held.incarnation == incarnation && held.leaving)
        })
    }

    fn cold(&self) -> MutexGuard<'_, Option<ColdTracker>> {
        self.cold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the services, some of which name a rate for their cold upstreams.
    pub fn set_cold_services(&self, services: &[ServiceRow]) {
        let mut cold = self.cold();
        if services.iter().all(|row| row.cold.is_none()) {
            *cold = None;
            return;
        }
        let is_new = cold.is_none();
        cold.get_or_insert_default().set_services(services);
        drop(cold);
        if is_new {
            self.observe_cold(&self.registry_view.load().upstreams);
        }
    }

    fn observe_cold(&self, upstreams: &[UpstreamAnnouncement]) {
        if let Some(cold) = self.cold().as_mut() {
            let now = self.started.elapsed();
            upstreams.iter().for_each(|upstream| cold.observe(now, upstream));
        }
    }

    /// Treats the upstreams of a zone as if they had just started, because they may have become
    /// cold while the zone got no requests.
    fn assume_cold_zone(&self, zone: &str) {
        let upstreams = self.upstreams();
        if let Some(cold) = self.cold().as_mut() {
            let now = self.started.elapsed();
            let listed = upstreams.iter().filter(|upstream| upstream.zone == zone);
            listed.for_each(|upstream| cold.assume_cold(now, &upstream.name));
        }
    }

    /// True if this incarnation of the upstream has stated that it is cold now.
    pub fn has_stated_cold(&self, name: &str, incarnation: u64) -> bool {
        let cold = self.cold();
        cold.as_ref().is_some_and(|cold| cold.has_stated(self.started.elapsed(), name, incarnation))
    }

    /// True if this incarnation of the upstream is cold, or may be.
    pub fn is_cold(&self, name: &str, incarnation: u64) -> bool {
        let cold = self.cold();
        cold.as_ref()
            .is_some_and(|cold| cold.left(self.started.elapsed(), name, incarnation).is_some())
    }

    /// Rates that the cold upstreams tolerate from all routers together.
    pub fn cold_rates(&self) -> Vec<UpstreamLimit> {
        let cold = self.cold();
        cold.as_ref().map_or_else(Vec::new, |cold| cold.limits(self.started.elapsed()))
    }

    /// True if the controllers' registry lists a later incarnation of the upstream. What is sent
    /// to the earlier one would reach an upstream that has just started.
    pub fn is_replaced(&self, name: &str, incarnation: u64) -> bool {
        let registry = self.registry_view.load();
        let upstreams = &registry.upstreams;
        let found = upstreams.binary_search_by(|listed| listed.name.as_str().cmp(name));
        found.is_ok_and(|index| upstreams[index].incarnation > incarnation)
    }

    /// Upstreams from the previous leader's registry, or none after their lifetime.
    fn previous_upstreams(&self) -> Vec<UpstreamAnnouncement> {
        let previous = self.previous.load();
        if Instant::now() < previous.1 { previous.0.clone() } else { Vec::new() }
    }

    /// True if at least one known upstream can serve the target.
    pub fn is_served(&self, target: &WorkTarget) -> bool {
        let previous = self.previous_upstreams();
        let registry = self.registry_view.load();
        let mut known = registry.upstreams.iter().chain(&previous);
        known.any(|held| held.can_serve(target) && !self.has_left(&held.name, held.incarnation))
            || self.local().live().any(|entry| entry.announcement.can_serve(target))
    }

    /// Number of live upstreams outside evacuated zones that can serve the target.
    pub fn serving_count(&self, target: &WorkTarget) -> usize {
        let upstreams = self.upstreams();
        let serving = upstreams.iter().filter(|upstream| upstream.can_serve(target));
        let evacuations = self.evacuations.load();
        match evacuations.zones.is_empty() {
            true => serving.count(),
            false => serving.filter(|upstream| !evacuations.contains(&upstream.zone)).count(),
        }
    }

    /// All live upstreams. An announcement that this router received directly takes
    /// precedence over the controllers' registry.
    pub fn upstreams(&self) -> Vec<UpstreamAnnouncement> {
        let mut all: Vec<UpstreamAnnouncement> =
            self.local().live().map(|entry| entry.announcement.clone()).collect();
        {
            let departures = self.departures.load();
            all.retain(|held| !departures.has_left(&held.name, held.incarnation));
        }
        for upstream in self.registry_view.load().upstreams.iter().chain(&self.previous_upstreams())
        {
            let known = all.iter().any(|held| held.name == upstream.name);
            if !known && !self.has_left(&upstream.name, upstream.incarnation) {
                all.push(upstream.clone());
            }
        }
        all
    }

    /// Names of all models served by live upstreams, sorted and without duplicates.
    pub fn models(&self) -> Vec<String> {
        let model_upstreams =
            self.upstreams().into_iter().filter(|held| held.kind == UpstreamKind::Model);
        let mut models: Vec<String> = model_upstreams.flat_map(|held| held.serves).collect();
        models.sort();
        models.dedup();
        models
    }
}
