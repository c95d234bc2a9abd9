//! Network partitions between routers of the simulated fleet and the dispatcher.

use crate::*;
use baobabfall_core::fair_order::ACCOUNT_SCALE;
use baobabfall_core::local_dispatcher::{LocalDispatcher, LocalSettings};

/// Time without an answer of the dispatcher after which a router enters local mode.
const LOCAL_SILENCE: Duration = ms(700);
/// Time without contact after which the dispatcher reclaims the slots of a router and
/// the router uses a fixed share of each upstream.
const ISOLATION_WAIT: Duration = ms(10_000);

/// The partition of one router from the dispatcher.
pub struct RouterPartition {
    /// Time of the last applied report before the partition.
    pub since: Duration,
    pub until: Duration,
    pub local: Option<LocalDispatcher>,
    /// Number of the first local lease granted from the fixed share.
    pub first_share_lease: Option<u64>,
    /// Leases per engine that ended and were in a report without acknowledgement when
    /// local mode began. The router reuses their slots, but the dispatcher may have
    /// applied the report and granted them again.
    pub unconfirmed: Vec<u32>,
}

impl SimFleet {
    pub fn step_partitions(&mut self) {
        if self.partitions_by_router.iter().any(Option::is_some) {
            self.intervals.values_mut().for_each(|interval| interval.partitioned_steps += 1);
        }
        for id in 0..self.partitions_by_router.len() {
            let Some(mut partition) = self.partitions_by_router[id].take() else { continue };
            if self.now >= partition.until || !self.faults.partitions {
                self.heal(id, &partition);
                continue;
            }
            if self.now >= partition.since + LOCAL_SILENCE {
                self.run_local(id, &mut partition);
            }
            self.partitions_by_router[id] = Some(partition);
        }
        for (tolerated_excess, upstream) in
            self.tolerated_excess.iter_mut().zip(self.dispatcher.upstreams(self.now))
        {
            *tolerated_excess =
                (*tolerated_excess).min(upstream.running.saturating_sub(upstream.announced));
        }
    }

    /// Runs one step of local mode in the way the router does.
    fn run_local(&mut self, id: usize, partition: &mut RouterPartition) {
        let router = &mut self.routers[id];
        let settings = LocalSettings {
            last_answer_at: partition.since,
            routers: 4,
            seed: id as u64,
            first_number: self.local_numbers[id],
            ..LocalSettings::default()
        };
        let used = |lease: &SimLease| usage(&lease.grant, lease.progress, lease.end);
        let (rows, engines) = (&self.rows, &self.engines);
        let local = partition.local.get_or_insert_with(|| {
            for (unconfirmed, engine) in partition.unconfirmed.iter_mut().zip(engines) {
                let leases = router.leases.iter().filter(|lease| lease.ended_in > 0);
                let on_upstream = leases.filter(|lease| lease.grant.upstream.name == engine.name);
                *unconfirmed = u32::try_from(on_upstream.count()).expect("few leases");
            }
            let held: Vec<_> =
                router.leases.iter().map(|lease| LeaseUsage { end: None, ..used(lease) }).collect();
            let mut local = LocalDispatcher::new(settings, &table(rows), &held);
            local.set_upstreams(engines);
            local
        });
        router.leases.iter().for_each(|lease| local.record_usage(&used(lease)));
        for ((workspace, _), (_, queue)) in router.queues.iter() {
            let queued = u32::try_from(queue.len()).expect("queues are short");
            local.set_backlog(&entry(workspace, queued, queue.front().map_or(0, |r| r.hint)));
        }
        if self.now >= partition.since + ISOLATION_WAIT {
            partition.first_share_lease.get_or_insert(local.next_number());
        }
        let grants = local.dispatch(self.now);
        local.forget_ended();
        self.local_numbers[id] = local.next_number();
        grants.iter().for_each(|grant| router.start(grant));
        self.check_fixed_share(id, partition);
    }

    /// Checks that a router stays within its fixed share. The share of four routers in
    /// two slots rounds down to zero, so the minimum of one slot per pool applies.
    fn check_fixed_share(&self, id: usize, partition: &RouterPartition) {
        let Some(first) = partition.first_share_lease else { return };
        let running = self.routers[id].running().filter(|l| l.is_local_from(first)).count();
        assert!(running <= 1, "{running} requests run on a fixed share of one slot");
    }

    fn heal(&mut self, id: usize, partition: &RouterPartition) {
        let reclaimed = self.now >= partition.since + ISOLATION_WAIT;
        for (n, engine) in self.engines.iter().enumerate() {
            let leases = self.routers[id].leases.iter();
            let reported = leases.filter(|l| reclaimed && l.grant.upstream.name == engine.name);
            let reported = u32::try_from(reported.count()).expect("few leases");
            self.tolerated_excess[n] += reported.max(partition.unconfirmed[n]);
        }
        self.applied_at[id] = self.now;
        // The first report lists changes only. If the dispatcher reclaimed the leases of the
        // router, its answer asks for a full report.
        for _ in 0..2 {
            let report = self.routers[id].report();
            self.deliver(id, &report);
            self.check_debts();
            let answer = self.dispatcher.take_answer(self.now, &self.routers[id].identity.name);
            self.routers[id].apply_answer(&answer);
        }
    }

    /// Checks that no backlogged account exceeds the lowest one by more than ten seconds
    /// of the pool's service rate plus the cost of the requests that it runs.
    fn check_debts(&self) {
        let accounts: Vec<_> = self.dispatcher.accounts().filter(|a| a.backlog > 0).collect();
        let lowest = accounts.iter().map(|account| account.value).min().unwrap_or_default();
        let slots = self.engines.iter().map(|engine| engine.concurrency).sum::<u32>();
        for account in &accounts {
            let row = self.rows.iter().find(|row| row.name == account.workspace);
            let weight = u128::from(row.expect("the name is known").weight);
            let running = u128::from(account.running + 1) * u128::from(self.largest_cost);
            let cap = u128::from(slots) * 1_000 * u128::from(STEP_COST);
            let debt = (account.value - lowest) / ACCOUNT_SCALE;
            assert!(debt <= (cap + running) / weight, "{} owes {debt}", account.workspace);
        }
    }

    /// Duration in steps of the oldest partition that has not healed.
    pub fn partition_steps(&self) -> u32 {
        let lasting = self
            .partitions_by_router
            .iter()
            .flatten()
            .map(|partition| self.now.saturating_sub(partition.since));
        let steps = lasting.max().unwrap_or_default().as_millis() / STEP.as_millis();
        u32::try_from(steps).expect("partitions are short")
    }

    /// Difference between the accounts of two workspaces, or zero while no router has
    /// granted a lease in local mode.
    pub fn account_difference(&self, i: usize, j: usize) -> u128 {
        if self.local_numbers.iter().all(|number| *number == 1) {
            return 0;
        }
        let value = |id: usize| {
            let mut accounts = self.dispatcher.accounts();
            accounts.find(|a| a.workspace == self.rows[id].name).map_or(0, |a| a.value)
        };
        value(i).abs_diff(value(j)) / ACCOUNT_SCALE
    }

    /// Heals every partition and checks that each slot is free after the last reports.
    pub fn check_all_slots_free(&mut self) {
        self.faults = FaultPlan::default();
        self.step_partitions();
        (0..2).for_each(|_| (0..4).for_each(|id| self.exchange(id)));
        for upstream in self.dispatcher.upstreams(self.now) {
            assert_eq!(upstream.running, 0, "a lease on {} never ends", upstream.name);
        }
    }
}
