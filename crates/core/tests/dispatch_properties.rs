//! Random histories of a simulated fleet; the guarantees hold after each event.

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
use partitions::Cut;
use std::collections::VecDeque;
use std::time::Duration;

/// Cost that a running request adds per step of 10 ms.
const STEP_COST: CostUnits = 300;
const STEP: Duration = ms(10);
/// The interval in which a pair of workspaces is backlogged without a break.
#[derive(Clone, Copy, Default)]
struct PairStart {
    /// Service of both at its start.
    service: (CostUnits, CostUnits),
    /// Difference of their accounts at its start, if routers were cut off before.
    owed: u128,
    /// Dispatchers lost since.
    losses: u32,
    /// Steps with a partition since the start or since a cut that lasted then.
    apart: u32,
}

/// What may go wrong in a history.
#[derive(Clone, Copy, Default)]
struct FaultPlan {
    /// Reports and answers in 100 that are lost, repeated or late.
    lossy: usize,
    router_restarts: bool,
    dispatcher_restarts: bool,
    changing_upstreams: bool,
    /// Routers are cut off from the dispatcher for up to 40 s.
    partitions: bool,
    /// One slot per engine and little overload: the bound is then far below
    /// the service of a history, and workspaces often become idle.
    narrow: bool,
}

struct SimFleet {
    dice: SeededRng,
    now: Duration,
    faults: FaultPlan,
    rows: Vec<WorkspaceRow>,
    models: Vec<&'static str>,
    engines: Vec<UpstreamAnnouncement>,
    dispatcher: SlotDispatcher,
    routers: Vec<SimRouter>,
    late: VecDeque<DispatchReport>,
    /// True service per workspace.
    service: Vec<CostUnits>,
    /// Pairs of workspaces that are both backlogged.
    pairs: SortedMap<(usize, usize), PairStart>,
    most_running: Vec<u64>,
    largest: CostUnits,
    /// Longest time between two applied reports of a router.
    report_gap: Duration,
    applied_at: Vec<Duration>,
    granted: SortedMap<LeaseId, (usize, String)>,
    arrived: u64,
    finished: u64,
    lost: u64,
    cuts: Vec<Option<Cut>>,
    /// Number of the next local lease per router.
    local_numbers: Vec<u64>,
    /// Leases per engine that a router brought back beyond the slots that it had.
    overlap: Vec<u32>,
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
                engine(&format!("e{n}"), &serves, if faults.narrow { 1 } else { 2 })
            })
            .collect();
        let mut fleet = Self {
            dice: SeededRng::new(seed),
            now: Duration::ZERO,
            faults,
            dispatcher: ready(DispatchSettings::default(), &rows, &engines),
            rows,
            models: models.to_vec(),
            engines,
            routers: (0..4).map(|n| SimRouter::new(&format!("r{n}"), 1)).collect(),
            late: VecDeque::new(),
            service: vec![0; weights.len()],
            pairs: SortedMap::new(),
            most_running: vec![0; weights.len()],
            largest: 0,
            report_gap: ms(100),
            applied_at: vec![Duration::ZERO; 4],
            granted: SortedMap::new(),
            arrived: 0,
            finished: 0,
            lost: 0,
            cuts: (0..4).map(|_| None).collect(),
            local_numbers: vec![1; 4],
            overlap: vec![0; 3],
        };
        (0..4).for_each(|id| fleet.exchange(id));
        fleet
    }

    fn run(&mut self, steps: usize) {
        for step in 0..steps {
            // A burst at the start keeps every workspace backlogged for long.
            let count = match (step, self.faults.narrow) {
                (0, _) => 40,
                (_, false) => 2,
                (step, true) => usize::from(step % 3 == 0),
            };
            (0..count).for_each(|_| self.arrive());
            self.step();
        }
        for _ in 0..60_000 {
            if self.arrived == self.finished + self.lost {
                return self.check_no_lease_left();
            }
            self.faults = FaultPlan::default();
            self.step();
        }
        panic!("{} of {} requests starve", self.arrived - self.finished - self.lost, self.arrived);
    }

    fn arrive(&mut self) {
        let workspace = self.dice.below(self.rows.len());
        let cost = match self.faults.narrow {
            true => self.dice.cost().min(16_000),
            false => self.dice.cost(),
        };
        let hint = cost / [1, 1, 1, 4, 64][self.dice.below(5)] + 1;
        // Workspaces are distributed unevenly over routers.
        let router = (self.dice.below(5) * workspace) % self.routers.len();
        let model = self.models[self.dice.below(self.models.len())];
        let name = self.rows[workspace].name.clone();
        self.routers[router].arrive(&name, model, SimRequest { cost, hint });
        self.largest = self.largest.max(cost).max(hint);
        self.arrived += 1;
    }

    fn step(&mut self) {
        self.now += STEP;
        self.advance_requests();
        self.inject_fault();
        self.run_partitions();
        for id in 0..self.routers.len() {
            if self.dice.below(10) < 4 {
                self.exchange(id);
            }
        }
        self.dispatcher.expire(self.now);
        self.dispatch();
    }

    fn advance_requests(&mut self) {
        for router in &mut self.routers {
            for lease in router.leases.iter_mut().filter(|lease| lease.end.is_none()) {
                let added = STEP_COST.min(lease.cost - lease.done);
                lease.done += added;
                let id = self.rows.iter().position(|row| row.name == lease.grant.workspace);
                self.service[id.expect("the name is known")] += added;
                if lease.done == lease.cost {
                    lease.end = Some(LeaseEnd::Finished);
                    self.finished += 1;
                }
            }
        }
    }

    fn inject_fault(&mut self) {
        let kind = self.dice.below(100);
        // Each loss widens the bound, so tight histories have few.
        let rarity = if self.faults.narrow { 20 } else { 1 };
        if kind == 0 && self.faults.router_restarts {
            let id = self.dice.below(4);
            let old = &self.routers[id];
            let queued: usize = old.queues.values().map(|queue| queue.1.len()).sum();
            self.lost += (queued + old.running().count()) as u64;
            let name = old.identity.name.clone();
            self.routers[id] = SimRouter::new(&name, old.identity.incarnation + 1);
        } else if kind == 1 && self.faults.dispatcher_restarts && self.dice.below(rarity) == 0 {
            let (now, term) = (self.now, self.dispatcher.term() + 1);
            self.dispatcher = SlotDispatcher::new(now, term, DispatchSettings::default());
            self.dispatcher.expect_routers(["r0", "r1", "r2", "r3"]);
            self.dispatcher.set_table(now, &table(&self.rows));
            self.dispatcher.set_upstreams(now, &self.engines);
            self.pairs.values_mut().for_each(|pair| pair.losses += 1);
        } else if kind == 2 && self.faults.changing_upstreams {
            let id = self.dice.below(3);
            let live = self.dice.below(2) == 0;
            let engines = &self.engines;
            let listed = engines.iter().enumerate().filter(|(n, _)| *n != id || live);
            self.dispatcher.set_upstreams(self.now, listed.map(|(_, engine)| engine));
        } else if kind == 3 && self.faults.partitions && self.dice.below(5) == 0 {
            let (id, steps) = (self.dice.below(4), 1 + self.dice.below(4_000));
            let until = self.now + STEP * u32::try_from(steps).expect("few steps");
            let since = self.applied_at[id];
            let cut = Cut { since, until, local: None, first_isolated: None, doubtful: vec![0; 3] };
            self.cuts[id].get_or_insert(cut);
        }
        if !self.faults.changing_upstreams {
            self.dispatcher.set_upstreams(self.now, &self.engines);
        }
    }

    /// Sends a report and takes the answer; either may be lost, and reports
    /// may be repeated or arrive after later ones.
    fn exchange(&mut self, id: usize) {
        if self.cuts[id].is_some() {
            return;
        }
        let report = self.routers[id].report();
        let lossy = self.faults.lossy;
        if self.dice.below(100) < lossy {
            self.late.push_back(report);
            return;
        }
        self.deliver(id, &report);
        if self.dice.below(100) < lossy {
            self.deliver(id, &report);
        }
        if self.dice.below(100) < lossy
            && let Some(old) = self.late.pop_front()
        {
            let id = self.routers.iter().position(|r| r.identity.name == old.router.name);
            self.deliver(id.expect("the name is known"), &old);
        }
        self.dispatch();
        let answer = self.dispatcher.take_answer(self.now, &self.routers[id].identity.name);
        if self.dice.below(100) >= lossy {
            self.routers[id].answer(&answer);
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
            self.check_gaps();
        }
    }

    /// Every request that runs is known to the dispatcher or belongs to a
    /// router that has not reported in full; known ones stay within slots
    /// but for leases adopted from an earlier term.
    fn check_slots(&self) {
        let synced: Vec<&str> =
            self.dispatcher.routers().filter(|router| router.2).map(|router| router.0).collect();
        for upstream in self.dispatcher.upstreams(self.now) {
            let id = self.engines.iter().position(|engine| engine.name == upstream.name);
            let id = id.expect("the name is known");
            let on = |(id, router): (usize, &SimRouter)| {
                // Leases of an isolated share may overlap with the dispatcher's grants.
                let isolated = self.cuts[id].as_ref().and_then(|cut| cut.first_isolated);
                let here = router.running().filter(|l| l.grant.upstream.name == upstream.name);
                let here = here.filter(|l| isolated.is_none_or(|first| !l.is_local_from(first)));
                u32::try_from(here.count()).expect("few requests run")
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
                let doubtful: u32 = self.cuts.iter().flatten().map(|cut| cut.doubtful[id]).sum();
                assert!(
                    known <= upstream.running + doubtful,
                    "an unknown request runs on {}",
                    upstream.name
                );
            }
            if !self.faults.dispatcher_restarts {
                let slots = self.engines[id].concurrency + self.overlap[id];
                assert!(upstream.running <= slots, "{} exceeds its slots", upstream.name);
            }
        }
    }

    /// Right after a dispatch no slot is free that a waiting request could
    /// use whose workspace is within its limits.
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

    /// The bound of the design over every interval in which both workspaces
    /// are backlogged without a break.
    fn check_gaps(&mut self) {
        let waits: Vec<bool> = (self.rows.iter())
            .map(|row| self.dispatcher.backlog(&row.name, &target(self.models[0])) > 0)
            .collect();
        for id in 0..self.rows.len() {
            let running = self.running_of(&self.rows[id].name);
            self.most_running[id] = self.most_running[id].max(running);
        }
        let steps = u64::try_from(self.report_gap.as_millis() / STEP.as_millis());
        let lag = steps.expect("a report comes in time") * STEP_COST;
        let unit = (self.largest + lag) as f64;
        for i in 0..self.rows.len() {
            for j in i + 1..self.rows.len() {
                if !waits[i] || !waits[j] {
                    self.pairs.remove(&(i, j));
                    continue;
                }
                let service = (self.service[i], self.service[j]);
                let owed = self.owed(i, j);
                let start = PairStart { service, owed, losses: 0, apart: self.cut_steps() };
                let start = *self.pairs.get_or_insert_with((i, j), || start);
                let (wi, wj) = (f64::from(self.rows[i].weight), f64::from(self.rows[j].weight));
                let gap = (self.service[i] - start.service.0) as f64 / wi
                    - (self.service[j] - start.service.1) as f64 / wj;
                let (ki, kj) = (self.most_running[i] as f64, self.most_running[j] as f64);
                let charge = self.largest as f64;
                let normal = (ki * unit + charge) / wi + (kj * unit + charge) / wj;
                // Service of the pool during the longest recovery.
                let slots = f64::from(self.engines.iter().map(|e| e.concurrency).sum::<u32>());
                let lost = slots * STEP_COST as f64 * 30.0 * (1.0 / wi + 1.0 / wj);
                // Accounts pass from one dispatcher to the next, so a loss adds only the service of its
                // duration.
                // During a partition each side may serve another workspace. The debt is paid off
                // later.
                let apart =
                    f64::from(start.apart) * slots * STEP_COST as f64 * (1.0 / wi + 1.0 / wj);
                let bound = normal + f64::from(start.losses) * lost + apart + start.owed as f64;
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

/// Guards the bound, work conservation and slot counts without faults.
#[test]
fn dispatch_random_arrivals() {
    assert!(run_histories(100, &["m"], FaultPlan::default()) > 6_000);
}

/// Guards the bound where it is tight, with and without lost messages.
#[test]
fn dispatch_gap_stays_within_bound() {
    for (lossy, dispatcher_restarts) in [(0, false), (10, false), (0, true), (10, true)] {
        let faults = FaultPlan { lossy, dispatcher_restarts, narrow: true, ..FaultPlan::default() };
        let mut fleet = SimFleet::new(700, &["m"], faults);
        fleet.run(12_000);
        let least = fleet.service.iter().min().copied().unwrap_or_default();
        assert!(least > 8 * 16_000 * 3, "the history is too short for the bound");
    }
}

/// Guards against lost, repeated and reordered reports and lost answers
/// changing counts, charges or the delivery of grants.
#[test]
fn dispatch_lossy_messages() {
    let faults = FaultPlan { lossy: 20, ..FaultPlan::default() };
    assert!(run_histories(200, &["m"], faults) > 6_000);
}

/// Guards against slots lost or doubled when routers restart.
#[test]
fn dispatch_router_restarts() {
    let faults = FaultPlan { lossy: 10, router_restarts: true, ..FaultPlan::default() };
    assert!(run_histories(300, &["m"], faults) > 1_500);
}

/// Guards against a new dispatcher that grants slots twice or forgets work.
#[test]
fn dispatch_dispatcher_restarts() {
    let faults = FaultPlan { lossy: 10, dispatcher_restarts: true, ..FaultPlan::default() };
    assert!(run_histories(400, &["m"], faults) > 6_000);
}

/// Guards against slots lost or used twice, lost requests and unbounded debts
/// after routers were cut off, with and without lost messages.
#[test]
fn dispatch_partitions_heal() {
    for (seed, lossy) in [(704, 0), (800, 0), (712, 10), (703, 30)] {
        let faults = FaultPlan { lossy, narrow: true, partitions: true, ..FaultPlan::default() };
        let mut fleet = SimFleet::new(seed, &["m"], faults);
        fleet.run(12_000);
        assert!(fleet.local_numbers.iter().sum::<u64>() > 50, "local mode granted little");
    }
}

/// Guards work conservation when models share engines and engines come and go.
#[test]
fn dispatch_shared_engines() {
    let faults = FaultPlan { lossy: 10, changing_upstreams: true, ..FaultPlan::default() };
    assert!(run_histories(500, &["m", "n", "o"], faults) > 5_000);
    assert!(run_histories(600, &["m", "n", "o"], FaultPlan::default()) > 5_000);
}

/// Guards the order itself: with exact hints the grants must be those of the
/// naive dispatcher, workspace by workspace and upstream by upstream.
#[test]
fn dispatch_order_equals_naive() {
    let settings = DispatchSettings { estimate_limit: 0, ..DispatchSettings::default() };
    for seed in 0..40 {
        let mut dice = SeededRng::new(seed);
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
            let picked = dice.below(running.len().max(1));
            match dice.below(3) {
                0 if picked < running.len() => {
                    let (request, grant, charged) = running.remove(picked);
                    let cost = charged + dice.cost();
                    naive.finish(request, cost);
                    used.push(usage(&grant, cost, Some(LeaseEnd::Finished)));
                }
                1 if picked < running.len() => {
                    let (request, grant, charged) = &mut running[picked];
                    *charged += dice.cost() / 4;
                    naive.charge(*request, *charged);
                    used.push(usage(grant, *charged, None));
                }
                _ => {
                    let id = dice.below(rows.len());
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
