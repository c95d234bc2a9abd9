//! Property tests: random histories of a simulated fleet, whose guarantees are checked
//! after every step.

mod dispatch_fleet;
#[path = "dispatch_fleet/partitions.rs"]
mod partitions;

use baobabfall_core::dispatch_messages::*;
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::naive_dispatcher::{NaiveDispatcher, NaiveOrder};
use baobabfall_core::slot_dispatcher::SlotDispatcher;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::upstream_registry::UpstreamAnnouncement;
use baobabfall_core::workspace_table::WorkspaceRow;
use dispatch_fleet::*;
use partitions::RouterPartition;
use std::collections::VecDeque;
use std::time::Duration;

/// Cost units that a running request consumes per step of 10 ms.
const STEP_COST: CostUnits = 300;
const STEP: Duration = ms(10);
/// State of a pair of workspaces at the start of an interval in which both are
/// backlogged without interruption, and the faults since.
#[derive(Clone, Copy, Default)]
struct IntervalStart {
    /// Service of both workspaces at the start.
    service: (CostUnits, CostUnits),
    /// Difference of their accounts at the start, if a router ran in local mode before.
    account_difference: u128,
    /// Dispatchers lost since the start.
    lost_dispatchers: u32,
    /// Steps with a partition since the start, plus the earlier steps of a partition that
    /// was in effect at the start.
    partitioned_steps: u32,
}

/// Faults that a history injects.
#[derive(Clone, Copy, Default)]
struct FaultPlan {
    /// Percentage of reports and answers that are lost, repeated or delayed.
    loss_percent: usize,
    router_restarts: bool,
    dispatcher_restarts: bool,
    changing_upstreams: bool,
    /// Routers are partitioned from the dispatcher for up to 40 s.
    partitions: bool,
    /// One slot per engine and little overload. The fairness bound is then far below the
    /// service of a history, and workspaces often become idle.
    tight_bound: bool,
}

struct SimFleet {
    rng: SeededRng,
    now: Duration,
    faults: FaultPlan,
    rows: Vec<WorkspaceRow>,
    models: Vec<&'static str>,
    engines: Vec<UpstreamAnnouncement>,
    dispatcher: SlotDispatcher,
    routers: Vec<SimRouter>,
    delayed_reports: VecDeque<DispatchReport>,
    /// Service that each workspace actually received.
    service: Vec<CostUnits>,
    /// Current interval of each pair of workspaces that are both backlogged, by the
    /// indices of the workspaces.
    intervals: SortedMap<(usize, usize), IntervalStart>,
    max_running: Vec<u64>,
    largest_cost: CostUnits,
    /// Longest time between two applied reports of the same router.
    report_gap: Duration,
    applied_at: Vec<Duration>,
    granted: SortedMap<LeaseId, (usize, String)>,
    arrived: u64,
    finished: u64,
    lost_requests: u64,
    partitions_by_router: Vec<Option<RouterPartition>>,
    /// Number of the next local lease of each router.
    local_numbers: Vec<u64>,
    /// Leases per engine beyond its slots that are tolerated because a router reported
    /// them after a partition, when the dispatcher had granted the slots again.
    tolerated_excess: Vec<u32>,
}

impl SimFleet {
    fn new(seed: u64, models: &[&'static str], faults: FaultPlan) -> Self {
        let weights = [1, 1, 2, 3, 4];
        let rows: Vec<_> = weights
            .iter()
            .enumerate()
            .map(|(n, weight)| row(&format!("w{n}"), *weight, 16))
            .collect();
        let engines: Vec<_> = (0..3)
            .map(|n| {
                let first = models[n % models.len()];
                let serves = if n == 0 { models.to_vec() } else { vec![first] };
                engine(&format!("e{n}"), &serves, if faults.tight_bound { 1 } else { 2 })
            })
            .collect();
        let mut fleet = Self {
            rng: SeededRng::new(seed),
            now: Duration::ZERO,
            faults,
            dispatcher: ready(DispatchSettings::default(), &rows, &engines),
            rows,
            models: models.to_vec(),
            engines,
            routers: (0..4).map(|n| SimRouter::new(&format!("r{n}"), 1)).collect(),
            delayed_reports: VecDeque::new(),
            service: vec![0; weights.len()],
            intervals: SortedMap::new(),
            max_running: vec![0; weights.len()],
            largest_cost: 0,
            report_gap: ms(100),
            applied_at: vec![Duration::ZERO; 4],
            granted: SortedMap::new(),
            arrived: 0,
            finished: 0,
            lost_requests: 0,
            partitions_by_router: (0..4).map(|_| None).collect(),
            local_numbers: vec![1; 4],
            tolerated_excess: vec![0; 3],
        };
        (0..4).for_each(|id| fleet.exchange(id));
        fleet
    }

    fn run(&mut self, steps: usize) {
        for step in 0..steps {
            // The initial burst keeps every workspace backlogged for a long time.
            let count = match (step, self.faults.tight_bound) {
                (0, _) => 40,
                (_, false) => 2,
                (step, true) => usize::from(step % 3 == 0),
            };
            (0..count).for_each(|_| self.arrive());
            self.step();
        }
        for _ in 0..60_000 {
            if self.arrived == self.finished + self.lost_requests {
                return self.check_all_slots_free();
            }
            self.faults = FaultPlan::default();
            self.step();
        }
        panic!(
            "{} of {} requests starve",
            self.arrived - self.finished - self.lost_requests,
            self.arrived
        );
    }

    fn arrive(&mut self) {
        let workspace = self.rng.below(self.rows.len());
        let cost = match self.faults.tight_bound {
            true => self.rng.cost().min(16_000),
            false => self.rng.cost(),
        };
        let hint = cost / [1, 1, 1, 4, 64][self.rng.below(5)] + 1;
        // Spreads the requests of each workspace unevenly over the routers.
        let router = (self.rng.below(5) * workspace) % self.routers.len();
        let model = self.models[self.rng.below(self.models.len())];
        let name = self.rows[workspace].name.clone();
        self.routers[router].arrive(&name, model, SimRequest { cost, hint });
        self.largest_cost = self.largest_cost.max(cost).max(hint);
        self.arrived += 1;
    }

    fn step(&mut self) {
        self.now += STEP;
        self.advance_requests();
        self.inject_fault();
        self.step_partitions();
        for id in 0..self.routers.len() {
            if self.rng.below(10) < 4 {
                self.exchange(id);
            }
        }
        self.dispatcher.expire(self.now);
        self.dispatch();
    }

    fn advance_requests(&mut self) {
        for router in &mut self.routers {
            for lease in router.leases.iter_mut().filter(|lease| lease.end.is_none()) {
                let added = STEP_COST.min(lease.cost - lease.progress);
                lease.progress += added;
                let id = self.rows.iter().position(|row| row.name == lease.grant.workspace);
                self.service[id.expect("the name is known")] += added;
                if lease.progress == lease.cost {
                    lease.end = Some(LeaseEnd::Finished);
                    self.finished += 1;
                }
            }
        }
    }

    fn inject_fault(&mut self) {
        let kind = self.rng.below(100);
        // Each lost dispatcher widens the bound, so histories with a tight bound have few.
        let rarity = if self.faults.tight_bound { 20 } else { 1 };
        if kind == 0 && self.faults.router_restarts {
            let id = self.rng.below(4);
            let old = &self.routers[id];
            let queued: usize = old.queues.values().map(|queue| queue.1.len()).sum();
            self.lost_requests += (queued + old.running().count()) as u64;
            let name = old.identity.name.clone();
            self.routers[id] = SimRouter::new(&name, old.identity.incarnation + 1);
        } else if kind == 1 && self.faults.dispatcher_restarts && self.rng.below(rarity) == 0 {
            let (now, term) = (self.now, self.dispatcher.term() + 1);
            self.dispatcher = SlotDispatcher::new(now, term, DispatchSettings::default());
            self.dispatcher.expect_routers(["r0", "r1", "r2", "r3"]);
            self.dispatcher.set_table(now, &table(&self.rows));
            self.dispatcher.set_upstreams(now, &self.engines);
            self.intervals.values_mut().for_each(|interval| interval.lost_dispatchers += 1);
        } else if kind == 2 && self.faults.changing_upstreams {
            let id = self.rng.below(3);
            let live = self.rng.below(2) == 0;
            let engines = &self.engines;
            let listed = engines.iter().enumerate().filter(|(n, _)| *n != id || live);
            self.dispatcher.set_upstreams(self.now, listed.map(|(_, engine)| engine));
        } else if kind == 3 && self.faults.partitions && self.rng.below(5) == 0 {
            let (id, steps) = (self.rng.below(4), 1 + self.rng.below(4_000));
            let until = self.now + STEP * u32::try_from(steps).expect("few steps");
            let since = self.applied_at[id];
            let partition = RouterPartition {
                since,
                until,
                local: None,
                first_share_lease: None,
                unconfirmed: vec![0; 3],
            };
            self.partitions_by_router[id].get_or_insert(partition);
        }
        if !self.faults.changing_upstreams {
            self.dispatcher.set_upstreams(self.now, &self.engines);
        }
    }

    /// Sends a report and applies the answer. Either may be lost, and reports may be
    /// repeated or arrive after later ones.
    fn exchange(&mut self, id: usize) {
        if self.partitions_by_router[id].is_some() {
            return;
        }
        let report = self.routers[id].report();
        let loss_percent = self.faults.loss_percent;
        if self.rng.below(100) < loss_percent {
            self.delayed_reports.push_back(report);
            return;
        }
        self.deliver(id, &report);
        if self.rng.below(100) < loss_percent {
            self.deliver(id, &report);
        }
        if self.rng.below(100) < loss_percent
            && let Some(old) = self.delayed_reports.pop_front()
        {
            let id = self.routers.iter().position(|r| r.identity.name == old.router.name);
            self.deliver(id.expect("the name is known"), &old);
        }
        self.dispatch();
        let answer = self.dispatcher.take_answer(self.now, &self.routers[id].identity.name);
        if self.rng.below(100) >= loss_percent {
            self.routers[id].apply_answer(&answer);
        }
        self.check();
    }

    fn deliver(&mut self, id: usize, report: &DispatchReport) {
        if self.dispatcher.apply_report(self.now, report) {
            let gap = self.now - std::mem::replace(&mut self.applied_at[id], self.now);
            self.report_gap = self.report_gap.max(gap);
        }
    }

    fn dispatch(&mut self) {
        let before = self.dispatcher.decisions();
        let full: Vec<String> = self.full_upstreams();
        let granted = self.dispatcher.dispatch(self.now);
        assert_eq!(self.dispatcher.decisions(), before + granted as u64);
        for id in 0..self.routers.len() {
            for grant in
                self.dispatcher.take_answer(self.now, &self.routers[id].identity.name).grants
            {
                let lease = (id, grant.workspace.clone());
                let held = self.granted.get_or_insert_with(grant.lease, || {
                    assert!(!full.contains(&grant.upstream.name), "a grant beyond the slots");
                    lease.clone()
                });
                assert_eq!(*held, lease, "one lease granted twice");
            }
        }
        if !self.dispatcher.is_recovering() {
            self.check_work_conserving();
        }
        self.check();
    }

    fn full_upstreams(&self) -> Vec<String> {
        let upstreams = self.dispatcher.upstreams(self.now);
        let full = upstreams.filter(|upstream| upstream.running >= upstream.slots);
        full.map(|upstream| upstream.name.to_owned()).collect()
    }

    fn check(&mut self) {
        self.check_slots();
        let settled = !self.dispatcher.is_recovering() && !self.faults.changing_upstreams;
        if self.models.len() == 1 && settled {
            self.check_fairness_gaps();
        }
    }

    /// Checks that the dispatcher knows every running request, except those of routers
    /// that have not sent a full report, and that the leases it knows stay within the
    /// slots, except those adopted from an earlier term or after a partition.
    fn check_slots(&self) {
        let synced: Vec<&str> =
            self.dispatcher.routers().filter(|router| router.2).map(|router| router.0).collect();
        for upstream in self.dispatcher.upstreams(self.now) {
            let id = self.engines.iter().position(|engine| engine.name == upstream.name);
            let id = id.expect("the name is known");
            let on = |(id, router): (usize, &SimRouter)| {
                // Leases from a fixed share may run in addition to the dispatcher's grants.
                let first_share_lease = self.partitions_by_router[id]
                    .as_ref()
                    .and_then(|partition| partition.first_share_lease);
                let on_upstream =
                    router.running().filter(|l| l.grant.upstream.name == upstream.name);
                let on_upstream = on_upstream
                    .filter(|l| first_share_lease.is_none_or(|first| !l.is_local_from(first)));
                u32::try_from(on_upstream.count()).expect("few requests run")
            };
            let known: u32 = self
                .routers
                .iter()
                .enumerate()
                .filter(|(_, router)| synced.contains(&router.identity.name.as_str()))
                .filter(|(_, router)| self.dispatcher.is_current(&router.identity))
                .map(on)
                .sum();
            if !self.faults.router_restarts {
                let unconfirmed: u32 = self
                    .partitions_by_router
                    .iter()
                    .flatten()
                    .map(|partition| partition.unconfirmed[id])
                    .sum();
                assert!(
                    known <= upstream.running + unconfirmed,
                    "an unknown request runs on {}",
                    upstream.name
                );
            }
            if !self.faults.dispatcher_restarts {
                let slots = self.engines[id].concurrency + self.tolerated_excess[id];
                assert!(upstream.running <= slots, "{} exceeds its slots", upstream.name);
            }
        }
    }

    /// Checks that, directly after a dispatch, no slot is free that could serve a waiting
    /// request of a workspace within its concurrency limit.
    fn check_work_conserving(&self) {
        let upstreams = self.dispatcher.upstreams(self.now);
        let free: Vec<_> = upstreams.filter(|u| u.running < u.slots).map(|u| u.name).collect();
        for model in &self.models {
            let mut engines = self.engines.iter().filter(|e| e.can_serve(&target(model)));
            if !engines.any(|engine| free.contains(&engine.name.as_str())) {
                continue;
            }
            for row in &self.rows {
                let waiting = self.dispatcher.backlog(&row.name, &target(model));
                let limited = self.running_of(&row.name) >= u64::from(row.concurrency);
                assert!(waiting == 0 || limited, "a slot is idle while {model} waits");
            }
        }
    }

    fn running_of(&self, workspace: &str) -> u64 {
        let accounts = self.dispatcher.accounts().filter(|account| account.workspace == workspace);
        accounts.map(|account| u64::from(account.running)).sum()
    }

    /// Checks the fairness bound of the design: over every interval in which two
    /// workspaces are backlogged without interruption, the difference of their weighted
    /// service is bounded.
    fn check_fairness_gaps(&mut self) {
        let waits: Vec<bool> = (self.rows.iter())
            .map(|row| self.dispatcher.backlog(&row.name, &target(self.models[0])) > 0)
            .collect();
        for id in 0..self.rows.len() {
            let running = self.running_of(&self.rows[id].name);
            self.max_running[id] = self.max_running[id].max(running);
        }
        let steps = u64::try_from(self.report_gap.as_millis() / STEP.as_millis());
        let lag = steps.expect("a report comes in time") * STEP_COST;
        let cost_error = (self.largest_cost + lag) as f64;
        for i in 0..self.rows.len() {
            for j in i + 1..self.rows.len() {
                if !waits[i] || !waits[j] {
                    self.intervals.remove(&(i, j));
                    continue;
                }
                let service = (self.service[i], self.service[j]);
                let account_difference = self.account_difference(i, j);
                let start = IntervalStart {
                    service,
                    account_difference,
                    lost_dispatchers: 0,
                    partitioned_steps: self.partition_steps(),
                };
                let start = *self.intervals.get_or_insert_with((i, j), || start);
                let (weight_i, weight_j) =
                    (f64::from(self.rows[i].weight), f64::from(self.rows[j].weight));
                let gap = (self.service[i] - start.service.0) as f64 / weight_i
                    - (self.service[j] - start.service.1) as f64 / weight_j;
                let (running_i, running_j) =
                    (self.max_running[i] as f64, self.max_running[j] as f64);
                let charge = self.largest_cost as f64;
                let base_bound = (running_i * cost_error + charge) / weight_i
                    + (running_j * cost_error + charge) / weight_j;
                // Service of the pool during the longest recovery, which takes 30 steps.
                let slots = f64::from(self.engines.iter().map(|e| e.concurrency).sum::<u32>());
                let recovery_service =
                    slots * STEP_COST as f64 * 30.0 * (1.0 / weight_i + 1.0 / weight_j);
                // Accounts pass from one dispatcher to the next, so the loss of a dispatcher adds
                // only the service of the recovery.
                // During a partition, the dispatcher and the router may each serve a different
                // workspace. The resulting debt is paid off later.
                let partition_service = f64::from(start.partitioned_steps)
                    * slots
                    * STEP_COST as f64
                    * (1.0 / weight_i + 1.0 / weight_j);
                let bound = base_bound
                    + f64::from(start.lost_dispatchers) * recovery_service
                    + partition_service
                    + start.account_difference as f64;
                assert!(gap.abs() <= bound, "gap {gap} of w{i} and w{j} is above {bound}");
            }
        }
    }
}

fn run_histories(seed: u64, models: &[&'static str], faults: FaultPlan) -> u64 {
    (0..6)
        .map(|n| {
            let mut fleet = SimFleet::new(seed + n, models, faults);
            fleet.run(800);
            fleet.finished
        })
        .sum()
}

/// Guards the fairness bound, work conservation and slot counts in a fleet without
/// faults.
#[test]
fn dispatch_random_arrivals() {
    assert!(run_histories(100, &["m"], FaultPlan::default()) > 6_000);
}

/// Guards the fairness bound in histories so long that it is far below the service
/// received, with and without lost messages and lost dispatchers.
#[test]
fn dispatch_gap_stays_within_bound() {
    for (loss_percent, dispatcher_restarts) in [(0, false), (10, false), (0, true), (10, true)] {
        let faults = FaultPlan {
            loss_percent,
            dispatcher_restarts,
            tight_bound: true,
            ..FaultPlan::default()
        };
        let mut fleet = SimFleet::new(700, &["m"], faults);
        fleet.run(12_000);
        let least = fleet.service.iter().min().copied().unwrap_or_default();
        assert!(least > 8 * 16_000 * 3, "the history is too short for the bound");
    }
}

/// Guards against wrong counts, charges or deliveries of grants after reports were
/// lost, repeated or reordered, or answers lost.
#[test]
fn dispatch_lossy_messages() {
    let faults = FaultPlan { loss_percent: 20, ..FaultPlan::default() };
    assert!(run_histories(200, &["m"], faults) > 6_000);
}

/// Guards against slots that stay occupied or are granted twice after a router
/// restarted.
#[test]
fn dispatch_router_restarts() {
    let faults = FaultPlan { loss_percent: 10, router_restarts: true, ..FaultPlan::default() };
    assert!(run_histories(300, &["m"], faults) > 1_500);
}

/// Guards against a new dispatcher that grants occupied slots again or loses requests:
/// it knows the running leases only from the reports of the routers.
#[test]
fn dispatch_dispatcher_restarts() {
    let faults = FaultPlan { loss_percent: 10, dispatcher_restarts: true, ..FaultPlan::default() };
    assert!(run_histories(400, &["m"], faults) > 6_000);
}

/// Guards against slots that stay occupied or are used twice, lost requests and
/// unbounded debts after partitions, with and without lost messages.
#[test]
fn dispatch_partitions_heal() {
    for (seed, loss_percent) in [(704, 0), (800, 0), (712, 10), (703, 30)] {
        let faults =
            FaultPlan { loss_percent, tight_bound: true, partitions: true, ..FaultPlan::default() };
        let mut fleet = SimFleet::new(seed, &["m"], faults);
        fleet.run(12_000);
        assert!(fleet.local_numbers.iter().sum::<u64>() > 50, "local mode granted little");
    }
}

/// Guards work conservation when several models share engines, and engines leave and
/// return.
#[test]
fn dispatch_shared_engines() {
    let faults = FaultPlan { loss_percent: 10, changing_upstreams: true, ..FaultPlan::default() };
    assert!(run_histories(500, &["m", "n", "o"], faults) > 5_000);
    assert!(run_histories(600, &["m", "n", "o"], FaultPlan::default()) > 5_000);
}

/// Guards the order of grants: without learned estimates, the dispatcher must choose
/// the same workspaces and upstreams as the naive dispatcher.
#[test]
fn dispatch_order_equals_naive() {
    let settings = DispatchSettings { estimate_limit: 0, ..DispatchSettings::default() };
    for seed in 0..40 {
        let mut rng = SeededRng::new(seed);
        let rows: Vec<_> = (0..6).map(|n| row(&format!("w{n}"), n + 1, 2 + n % 3)).collect();
        let engines: Vec<_> = (0..3).map(|n| engine(&format!("e{n}"), &["m"], n + 1)).collect();
        let mut dispatcher = ready(settings, &rows, &engines);
        let mut naive = NaiveDispatcher::new(NaiveOrder::Fair);
        rows.iter().for_each(|row| naive.set_workspace(&row.name, row.weight, row.concurrency));
        engines
            .iter()
            .for_each(|engine| naive.set_upstream(&engine.name, &["m"], engine.concurrency));
        let mut router = ManualRouter::new("r");
        let mut queued = vec![0; rows.len()];
        let mut running: Vec<(u64, SlotGrant, CostUnits)> = Vec::new();
        for number in 0..600 {
            let (mut backlog, mut used) = (Vec::new(), Vec::new());
            let picked = rng.below(running.len().max(1));
            match rng.below(3) {
                0 if picked < running.len() => {
                    let (request, grant, charged) = running.remove(picked);
                    let cost = charged + rng.cost();
                    naive.finish(request, cost);
                    used.push(usage(&grant, cost, Some(LeaseEnd::Finished)));
                }
                1 if picked < running.len() => {
                    let (request, grant, charged) = &mut running[picked];
                    *charged += rng.cost() / 4;
                    naive.charge(*request, *charged);
                    used.push(usage(grant, *charged, None));
                }
                _ => {
                    let id = rng.below(rows.len());
                    queued[id] += 1;
                    naive.arrive(number, &rows[id].name, "m", 2_000);
                    backlog.push(entry(&rows[id].name, queued[id], 2_000));
                }
            }
            dispatcher.apply_report(Duration::ZERO, &router.report(backlog, used));
            dispatcher.dispatch(Duration::ZERO);
            let grants = router.receive(Duration::ZERO, &mut dispatcher);
            let expected = naive.dispatch();
            let found: Vec<_> = grants.iter().map(|g| (&g.workspace, &g.upstream.name)).collect();
            let wanted: Vec<_> = expected.iter().map(|g| (&g.workspace, &g.upstream)).collect();
            assert_eq!(found, wanted, "seed {seed}, step {number}");
            let mut changed = Vec::new();
            for (grant, expected) in grants.into_iter().zip(&expected) {
                let id = rows.iter().position(|row| row.name == grant.workspace).unwrap();
                queued[id] -= 1;
                changed.push(entry(&grant.workspace, queued[id], 2_000));
                running.push((expected.request, grant, 0));
            }
            dispatcher.apply_report(Duration::ZERO, &router.report(changed, Vec::new()));
        }
    }
}
