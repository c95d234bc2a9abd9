//! Routers of the simulated fleet that are cut off from the dispatcher.

use crate::*;
use baobabfall_core::fair_order::ACCOUNT_SCALE;
use baobabfall_core::local_dispatcher::{LocalDispatcher, LocalSettings};

/// Silence of the dispatcher after which a router enters local mode.
const LOCAL_SILENCE: Duration = ms(700);
/// Time after which a router uses its isolated share and the dispatcher reclaims its slots.
const ISOLATION: Duration = ms(10_000);

/// A router that is cut off from the dispatcher.
pub struct Cut {
    /// Last answer before the cut.
    pub since: Duration,
    pub until: Duration,
    pub local: Option<LocalDispatcher>,
    /// First local lease of the isolated share.
    pub first_isolated: Option<u64>,
    /// Reused slots per engine whose end was in a report without an answer. The dispatcher may
    /// have applied it and granted the slot again.
    pub doubtful: Vec<u32>,
}

impl SimFleet {
    pub fn run_partitions(&mut self) {
        if self.cuts.iter().any(Option::is_some) {
            self.pairs.values_mut().for_each(|pair| pair.apart += 1);
        }
        for id in 0..self.cuts.len() {
            let Some(mut cut) = self.cuts[id].take() else { continue };
            if self.now >= cut.until || !self.faults.partitions {
                self.heal(id, &cut);
                continue;
            }
            if self.now >= cut.since + LOCAL_SILENCE {
                self.run_local(id, &mut cut);
            }
            self.cuts[id] = Some(cut);
        }
        for (overlap, upstream) in self.overlap.iter_mut().zip(self.dispatcher.upstreams(self.now))
        {
            *overlap = (*overlap).min(upstream.running.saturating_sub(upstream.announced));
        }
    }

    /// One step of local mode, as the router runs it.
    fn run_local(&mut self, id: usize, cut: &mut Cut) {
        let router = &mut self.routers[id];
        let settings = LocalSettings {
            last_answer_at: cut.since,
            routers: 4,
            seed: id as u64,
            first_number: self.local_numbers[id],
            ..LocalSettings::default()
        };
        let used = |lease: &SimLease| usage(&lease.grant, lease.done, lease.end);
        let (rows, engines) = (&self.rows, &self.engines);
        let local = cut.local.get_or_insert_with(|| {
            for (doubtful, engine) in cut.doubtful.iter_mut().zip(engines) {
                let leases = router.leases.iter().filter(|lease| lease.ended_in > 0);
                let here = leases.filter(|lease| lease.grant.upstream.name == engine.name);
                *doubtful = u32::try_from(here.count()).expect("few leases");
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
        if self.now >= cut.since + ISOLATION {
            cut.first_isolated.get_or_insert(local.next_number());
        }
        let grants = local.dispatch(self.now);
        local.forget_ended();
        self.local_numbers[id] = local.next_number();
        grants.iter().for_each(|grant| router.start(grant));
        self.check_isolated(id, cut);
    }

    /// A quarter of two slots is none, so the least share of one slot per pool applies.
    fn check_isolated(&self, id: usize, cut: &Cut) {
        let Some(first) = cut.first_isolated else { return };
        let running = self.routers[id].running().filter(|l| l.is_local_from(first)).count();
        assert!(running <= 1, "{running} requests run on an isolated share of one slot");
    }

    fn heal(&mut self, id: usize, cut: &Cut) {
        let reclaimed = self.now >= cut.since + ISOLATION;
        for (n, engine) in self.engines.iter().enumerate() {
            let leases = self.routers[id].leases.iter();
            let brought = leases.filter(|l| reclaimed && l.grant.upstream.name == engine.name);
            let brought = u32::try_from(brought.count()).expect("few leases");
            self.overlap[n] += brought.max(cut.doubtful[n]);
        }
        self.applied_at[id] = self.now;
        // The first report is a delta; reclaimed leases make the dispatcher ask for a full one.
        for _ in 0..2 {
            let report = self.routers[id].report();
            self.deliver(id, &report);
            self.check_debts();
            let answer = self.dispatcher.take_answer(self.now, &self.routers[id].identity.name);
            self.routers[id].answer(&answer);
        }
    }

    /// No backlogged account is further above the lowest one than ten seconds
    /// of the pool's rate and the requests that it runs.
    fn check_debts(&self) {
        let accounts: Vec<_> = self.dispatcher.accounts().filter(|a| a.backlog > 0).collect();
        let lowest = accounts.iter().map(|account| account.value).min().unwrap_or_default();
        let slots = self.engines.iter().map(|engine| engine.concurrency).sum::<u32>();
        for account in &accounts {
            let row = self.rows.iter().find(|row| row.name == account.workspace);
            let weight = u128::from(row.expect("the name is known").weight);
            let running = u128::from(account.running + 1) * u128::from(self.largest);
            let cap = u128::from(slots) * 1_000 * u128::from(STEP_COST);
            let debt = (account.value - lowest) / ACCOUNT_SCALE;
            assert!(debt <= (cap + running) / weight, "{} owes {debt}", account.workspace);
        }
    }

    /// Steps since the first cut that lasts.
    pub fn cut_steps(&self) -> u32 {
        let lasting = self.cuts.iter().flatten().map(|cut| self.now.saturating_sub(cut.since));
        let steps = lasting.max().unwrap_or_default().as_millis() / STEP.as_millis();
        u32::try_from(steps).expect("cuts are short")
    }

    pub fn owed(&self, i: usize, j: usize) -> u128 {
        if self.local_numbers.iter().all(|number| *number == 1) {
            return 0;
        }
        let value = |id: usize| {
            let mut accounts = self.dispatcher.accounts();
            accounts.find(|a| a.workspace == self.rows[id].name).map_or(0, |a| a.value)
        };
        value(i).abs_diff(value(j)) / ACCOUNT_SCALE
    }

    /// Every slot is free again after the last report.
    pub fn check_no_lease_left(&mut self) {
        self.faults = FaultPlan::default();
        self.run_partitions();
        (0..2).for_each(|_| (0..4).for_each(|id| self.exchange(id)));
        for upstream in self.dispatcher.upstreams(self.now) {
            assert_eq!(upstream.running, 0, "a lease on {} never ends", upstream.name);
        }
    }
}
