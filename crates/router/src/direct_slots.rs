//! Slots of plain services that the router takes directly, without the dispatcher.

use crate::lease_book::{GrantedSlot, LeaseMeter};
use crate::table_view::FleetView;
use baobabfall_core::direct_placement::{DirectCandidate, DirectPlacement};
use baobabfall_core::dispatch_messages::{LeaseEnd, LeaseId, UpstreamRoute};
use baobabfall_core::local_dispatcher::route_of;
use baobabfall_core::upstream_registry::WorkTarget;
use baobabfall_node::messages::StopKind;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;

/// Tracks the slots that this router takes directly.
#[derive(Debug)]
pub struct DirectSlots {
    placement: Mutex<DirectPlacement>,
    started: Instant,
}

impl DirectSlots {
    /// Creates a tracker with no slot in use.
    pub fn new() -> Arc<Self> {
        Arc::new(Self { placement: Mutex::default(), started: Instant::now() })
    }

    fn placement(&self) -> MutexGuard<'_, DirectPlacement> {
        self.placement.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a slot of an announced upstream outside evacuated zones, other than `avoid`, for which `permits`, which
    /// gets the name and the incarnation, is true. Returns `None` if the
    /// request must be queued for the dispatcher instead: the service is contended or
    /// no upstream has a free slot for this router.
    pub fn take(
        &self,
        fleet: &FleetView,
        target: &WorkTarget,
        avoid: Option<&str>,
        permits: impl Fn(&str, u64) -> bool,
    ) -> Option<GrantedSlot> {
        let mut upstreams = fleet.directory().upstreams();
        let mut placement = self.placement();
        placement.retain(|name| upstreams.iter().any(|upstream| upstream.name == name));
        upstreams.retain(|upstream| {
            !upstream.leaving
                && upstream.can_serve(target)
                && Some(upstream.name.as_str()) != avoid
                && permits(&upstream.name, upstream.incarnation)
                && !fleet.is_stopping(StopKind::Upstream, &upstream.name)
                && !fleet.directory().is_zone_evacuated(&upstream.zone)
        });
        let candidates: Vec<DirectCandidate<'_>> = upstreams
            .iter()
            .map(|upstream| DirectCandidate {
                name: &upstream.name,
                incarnation: upstream.incarnation,
                slots: upstream.concurrency,
            })
            .collect();
        let now = self.started.elapsed();
        let chosen = placement.choose(now, &target.name, &candidates, rand::random())?;
        let upstream = &upstreams[chosen];
        Some(GrantedSlot {
            lease: LeaseId::default(),
            route: route_of(upstream),
            meter: Arc::new(LeaseMeter::start()),
        })
    }

    /// Releases a slot and records how its use ended.
    pub fn release_slot(&self, service: &str, route: &UpstreamRoute, end: LeaseEnd) {
        let now = self.started.elapsed();
        self.placement().record_end(now, service, &route.name, route.incarnation, end);
    }
}
