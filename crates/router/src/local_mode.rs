//! Local mode: the router dispatches its own requests while no dispatcher answers.

use crate::health_probe::ProbeTarget;
use crate::router_state::RouterState;
use baobabfall_core::dispatch_messages::{BacklogEntry, LeaseUsage};
use baobabfall_core::local_dispatcher::{LocalDispatcher, LocalSettings};
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::upstream_registry::{UpstreamAnnouncement, WorkTarget};
use baobabfall_node::messages::StopKind;
use baobabfall_node::units::millis;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Interval between dispatch steps in local mode.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(5);
/// How often the reachability of the dispatcher is checked.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Task that dispatches the router's own requests while no dispatcher answers.
#[derive(Debug)]
pub struct LocalMode {
    state: Arc<RouterState>,
    active: AtomicBool,
}

impl LocalMode {
    /// Creates the task state; local mode is not active yet.
    pub fn new(state: Arc<RouterState>) -> Arc<Self> {
        Arc::new(Self { state, active: AtomicBool::new(false) })
    }

    /// True while the router dispatches its own requests.
    pub fn is_active(&self) -> bool {
        self.active.load(Ordering::Relaxed)
    }

    fn is_lost(&self) -> bool {
        self.state.dispatch.is_lost()
    }

    /// Watches the dispatcher and enters local mode when it is unreachable. Runs until
    /// the task is dropped.
    pub async fn run(&self) {
        let mut first_number = 1;
        loop {
            tokio::time::sleep(WATCH_INTERVAL).await;
            if self.is_lost() && self.state.fleet.table().is_some() {
                first_number = self.run_local(first_number).await;
            }
        }
    }

    /// Runs local mode until the dispatcher answers again. Returns the number of the
    /// next local lease.
    async fn run_local(&self, first_number: u64) -> u64 {
        let Some(mut local) = self.create_dispatcher(first_number) else { return first_number };
        self.active.store(true, Ordering::Relaxed);
        let silence_ms = millis(self.state.dispatch.silence());
        log::warn!(event = "local_mode_begun", silence_ms = silence_ms; "dispatcher is unreachable; entering local mode");
        let started = Instant::now();
        let mut usable = Vec::new();
        let mut revision = self.revision();
        while self.is_lost() {
            self.update_upstreams(&mut local, &mut usable);
            if self.revision() != revision {
                revision = self.revision();
                if let Some(table) = self.state.fleet.table() {
                    local.set_table(&table.table);
                }
            }
            self.dispatch_step(&mut local);
            tokio::time::sleep(DISPATCH_INTERVAL).await;
        }
        self.active.store(false, Ordering::Relaxed);
        let seconds = started.elapsed().as_secs();
        log::info!(event = "local_mode_ended", seconds = seconds; "dispatcher is reachable again; leaving local mode");
        local.next_number()
    }

    fn revision(&self) -> u64 {
        self.state.fleet.table().map_or(0, |table| table.revision)
    }

    /// Creates the local dispatcher with the slots that the router holds. They include
    /// slots of ended leases that are not acknowledged, because the dispatcher does not
    /// know yet that these are free.
    fn create_dispatcher(&self, first_number: u64) -> Option<LocalDispatcher> {
        let table = self.state.fleet.table()?;
        let book = self.state.queue.book();
        let usage: Vec<LeaseUsage> = book.lease_usage().collect();
        let settings = LocalSettings {
            last_answer_at: self.state.dispatch.last_answer(),
            routers: book.routers(),
            seed: seed_from_name(&self.state.options.identity.name),
            first_number,
            ..LocalSettings::default()
        };
        drop(book);
        let held: Vec<LeaseUsage> =
            usage.iter().map(|usage| LeaseUsage { end: None, ..usage.clone() }).collect();
        Some(LocalDispatcher::new(settings, &table.table, &held))
    }

    /// Passes on the upstreams that are needed and that a recent health check found
    /// healthy.
    fn update_upstreams(
        &self,
        local: &mut LocalDispatcher,
        usable: &mut Vec<UpstreamAnnouncement>,
    ) {
        let (queued_targets, used) = self.demand();
        let directory = self.state.fleet.directory();
        let mut candidates = directory.upstreams();
        candidates.retain(|upstream| {
            let needed = queued_targets.iter().any(|target| upstream.can_serve(target));
            (needed || used.contains(&upstream.name))
                && !self.state.fleet.is_stopping(StopKind::Upstream, &upstream.name)
                && !directory.is_zone_evacuated(&upstream.zone)
        });
        {
            let book = self.state.queue.book();
            candidates.retain(|upstream| book.permits(&upstream.name, upstream.incarnation));
        }
        self.state.probe.check_due(candidates.iter().map(ProbeTarget::from));
        candidates.retain(|upstream| self.state.probe.is_healthy(upstream));
        for upstream in &mut candidates {
            // Load reports change with every announcement and are not used in local mode;
            // clearing them avoids updates without an effect.
            upstream.sequence = 0;
            upstream.running = None;
            upstream.cold_ms = None;
        }
        if candidates != *usable {
            local.set_upstreams(&candidates);
            *usable = candidates;
        }
    }

    /// Returns the targets of queued requests and the upstreams of running requests.
    fn demand(&self) -> (Vec<WorkTarget>, Vec<String>) {
        let book = self.state.queue.book();
        let waiting = book.backlog().filter(|entry| entry.queued > 0);
        let queued_targets = waiting.map(|entry| entry.target).collect();
        let running = book.lease_usage().filter(|usage| usage.end.is_none());
        (queued_targets, running.map(|usage| usage.upstream).collect())
    }

    fn dispatch_step(&self, local: &mut LocalDispatcher) {
        let mut book = self.state.queue.book();
        for usage in book.lease_usage() {
            local.record_usage(&usage);
        }
        let entries: SortedMap<_, BacklogEntry> = book
            .backlog()
            .map(|entry| ((entry.workspace.clone(), entry.target.clone()), entry))
            .collect();
        for entry in entries.values() {
            local.set_backlog(entry);
        }
        let now = self.state.dispatch.elapsed();
        local.set_limits(now, &book.limits().limits());
        local.set_cold_rates(now, &self.state.fleet.directory().cold_rates());
        let grants = local.dispatch(now);
        let decisions = book.apply_local_grants(grants);
        book.merge_local_leases();
        drop(book);
        local.forget_ended();
        self.state.queue.deliver(decisions);
    }
}

fn seed_from_name(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    hash.as_bytes().first_chunk::<8>().map_or(0, |bytes| u64::from_le_bytes(*bytes))
}
