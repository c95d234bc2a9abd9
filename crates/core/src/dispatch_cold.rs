//! Cold upstreams at the dispatcher: the rate at which the whole fleet may send them requests.
//!
//! A cold upstream crashes when it gets many more requests in a second than its service names. The
//! dispatcher grants at that rate, one request at a time. Routers without a dispatcher add at most
//! a quarter of it together, so that both may go on at once while the lead changes.

use crate::dispatch_messages::UpstreamLimit;
use crate::route_table::ServiceRow;
use crate::slot_dispatcher::SlotDispatcher;
use crate::upstream_registry::UpstreamAnnouncement;
use std::time::Duration;

/// Time by which the dispatcher prolongs each stated cold time: longer than an announcement takes
/// to reach the slowest router, which would otherwise refuse slots granted as if it were warm.
pub const COLD_MARGIN: Duration = Duration::from_millis(500);
/// Pause of an upstream that got requests until it was known to be cold. The rate holds for every
/// second, and those requests may have arrived when it was cold already.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Most changes that are kept until they are logged.
const CHANGE_LIMIT: usize = 512;

/// A change between cold and warm that the dispatcher noticed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// Name of the upstream.
    pub upstream: String,
    /// Time for which it stays cold; `None` when it is warm again.
    pub left: Option<Duration>,
}

impl SlotDispatcher {
    /// Sets the services, some of which name a rate for their cold upstreams.
    pub fn set_cold_services(&mut self, services: &[ServiceRow]) {
        self.cold.set_services(services);
    }

    /// Treats the upstreams of a zone as if they had just started, because they may have become
    /// cold while the zone got no requests.
    pub(crate) fn assume_cold_zone(&mut self, now: Duration, zone: usize) {
        for id in 0..self.upstreams.len() {
            if self.upstreams[id].live && self.upstreams[id].zone == zone {
                self.cold.assume_cold(now, &self.upstreams[id].name);
                self.update_cold(now, id, false);
            }
        }
    }

    /// Applies an announcement to the cold state. `was_in_use` is true if the upstream could get
    /// requests until now.
    pub(crate) fn observe_cold(
        &mut self,
        now: Duration,
        id: usize,
        next: &UpstreamAnnouncement,
        was_in_use: bool,
    ) {
        if !self.cold.is_idle() {
            self.cold.observe(now, next);
        }
        self.update_cold(now, id, was_in_use);
    }

    /// Begins or ends the rate of a cold upstream, as its state requires.
    pub(crate) fn update_cold(&mut self, now: Duration, id: usize, was_in_use: bool) {
        if self.cold.is_idle() && self.cold_rates.is_empty() {
            return;
        }
        let upstream = &self.upstreams[id];
        let (name, incarnation) = (upstream.name.clone(), upstream.incarnation);
        let left = self.cold.left(now, &name, incarnation);
        let rate = self.cold.rate(now, &name, incarnation);
        let was_cold = self.cold_rates.is_limited(&name, incarnation);
        if rate.is_none() && !was_cold {
            return;
        }
        let limit = UpstreamLimit { upstream: name, incarnation, rate };
        let changed = self.cold_rates.record(now, &limit);
        if rate.is_some() && !was_cold && was_in_use {
            self.cold_rates.pause(now, &limit.upstream, incarnation, FIRST_PAUSE);
        }
        if rate.is_none() {
            let running = self.upstreams[id].running;
            self.upstreams[id].capacity.begin_slow_start(now, running, &self.settings.placement);
        }
        if rate.is_some() != was_cold && self.cold_changes.len() < CHANGE_LIMIT {
            self.cold_changes.push(ColdChange { upstream: limit.upstream, left });
        }
        if changed {
            self.track_slot_changes(id);
            self.refresh_upstream(now, id);
        }
    }

    /// Drops the cold state of upstreams that are not known any more.
    pub(crate) fn retain_cold(&mut self) {
        let Self { cold, cold_rates, upstream_names, .. } = self;
        cold.retain(|name| upstream_names.contains_key(name));
        cold_rates.retain(|name| upstream_names.contains_key(name));
    }

    /// True when grants on the upstream count towards the rate that it tolerates while cold.
    pub(crate) fn is_paced(&self, id: usize) -> bool {
        let upstream = &self.upstreams[id];
        self.cold_rates.is_limited(&upstream.name, upstream.incarnation)
    }

    /// Time until a cold upstream may get a request, or is warm; `None` when its being cold
    /// changes nothing.
    pub(crate) fn next_cold_change(&self, now: Duration, id: usize) -> Option<Duration> {
        if !self.is_paced(id) {
            return None;
        }
        let upstream = &self.upstreams[id];
        let wait = self.cold_rates.wait(now, &upstream.name, upstream.incarnation);
        let left = self.cold.left(now, &upstream.name, upstream.incarnation).unwrap_or_default();
        Some(wait.map_or(left, |wait| wait.min(left)))
    }

    /// Time for which an upstream stays cold; `None` when it is not.
    pub fn cold_left(&self, now: Duration, name: &str) -> Option<Duration> {
        let upstream = &self.upstreams[*self.upstream_names.get(name)?];
        self.cold.left(now, name, upstream.incarnation)
    }

    /// Number of cold upstreams.
    pub fn cold_count(&self) -> usize {
        self.cold_rates.len()
    }

    /// Returns the changes between cold and warm since the last call.
    pub fn take_cold_changes(&mut self) -> Vec<ColdChange> {
        std::mem::take(&mut self.cold_changes)
    }
}
