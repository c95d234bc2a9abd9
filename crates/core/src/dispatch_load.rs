//! Summary of what the dispatcher granted, to whom, and how much of it was not used.

use crate::backlog_queue::BacklogQueue;
use crate::engine_memory::MemoryPeak;
use crate::prefix_placement::PrefixCounts;
use crate::slot_dispatcher::SlotDispatcher;
use std::time::Duration;

/// A router and a count that is highest there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouterPeak {
    /// Name of the router; empty when the count is zero everywhere.
    pub router: String,
    /// The count.
    pub count: u64,
}

impl RouterPeak {
    fn raise(&mut self, router: &str, count: u64) {
        if count > self.count {
            *self = Self { router: router.to_owned(), count };
        }
    }
}

/// Work and capacity of a dispatcher at one moment, and its grants since the last reading.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DispatchLoad {
    /// Requests that wait without a grant.
    pub waiting: u64,
    /// Slots that are granted.
    pub running: u64,
    /// The router that holds most of them.
    pub most_running: RouterPeak,
    /// Slots that may be used, including the granted ones.
    pub slots: u64,
    /// Grants since the last reading.
    pub granted: u64,
    /// Grants that were returned unused since the last reading.
    pub unused: u64,
    /// The router that returned most of them.
    pub most_unused: RouterPeak,
    /// Prompt tokens of granted requests that have no first token yet.
    pub prefill: u64,
    /// Prompt tokens that may be granted without a first token, summed over the upstreams.
    pub prefill_window: u64,
    /// Placements of shared prefixes since the last reading.
    pub prefixes: PrefixCounts,
    /// Upstream whose requests held most tokens since the last reading.
    pub memory: MemoryPeak,
}

impl SlotDispatcher {
    /// Reads the load and begins new counts.
    pub fn take_load(&mut self, now: Duration) -> DispatchLoad {
        let mut load = self.load(now);
        load.granted = self.decisions - std::mem::replace(&mut self.decisions_read, self.decisions);
        load.prefixes = std::mem::take(&mut self.prefix_counts);
        load.memory = std::mem::take(&mut self.memory_peak);
        for (name, id) in self.router_names.iter() {
            let router = &mut self.routers[*id];
            let running = u64::try_from(router.leases.len()).unwrap_or(u64::MAX);
            let unused = std::mem::take(&mut router.unused_grants);
            load.unused += unused;
            load.most_running.raise(name, running);
            load.most_unused.raise(name, unused);
        }
        load
    }

    /// Work and capacity now, without counts and routers.
    pub fn load(&self, now: Duration) -> DispatchLoad {
        let mut load = DispatchLoad::default();
        for workspace in &self.workspaces {
            let waiting = workspace.queues.values().map(BacklogQueue::waiting);
            load.waiting += waiting.map(u64::from).sum::<u64>();
        }
        for id in self.upstream_names.values() {
            let upstream = &self.upstreams[*id];
            load.running += u64::from(upstream.leases);
            if upstream.live {
                load.slots += u64::from(self.usable_slots(now, *id));
                load.prefill += upstream.prefill;
                load.prefill_window += upstream.capacity.prefill_window();
            }
        }
        load
    }
}
