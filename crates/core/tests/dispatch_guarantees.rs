//! Focused tests of fairness and of the report protocol.

mod dispatch_fleet;

use baobabfall_core::cost_estimate::DEFAULT_ESTIMATE;
use baobabfall_core::dispatch_messages::*;
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::fair_order::AccountValue;
use baobabfall_core::local_dispatcher::LOCAL_TERM;
use baobabfall_core::slot_dispatcher::SlotDispatcher;
use baobabfall_core::upstream_registry::UpstreamKind;
use baobabfall_core::workspace_table::WorkspaceRow;
use dispatch_fleet::*;
use std::time::Duration;

const START: Duration = Duration::ZERO;

/// One router whose requests each run until finished by the test.
struct Bench {
    dispatcher: SlotDispatcher,
    router: ManualRouter,
    running: Vec<SlotGrant>,
    now: Duration,
}

impl Bench {
    fn new(rows: &[WorkspaceRow], slots: u32) -> Self {
        Self::with(DispatchSettings::default(), rows, slots)
    }

    fn with(settings: DispatchSettings, rows: &[WorkspaceRow], slots: u32) -> Self {
        let dispatcher = ready(settings, rows, &[engine("e", &["m"], slots)]);
        Self { dispatcher, router: ManualRouter::new("r"), running: Vec::new(), now: START }
    }

    fn report(&mut self, backlog: Vec<BacklogEntry>, usage: Vec<LeaseUsage>) {
        let report = self.router.report(backlog, usage);
        assert!(self.dispatcher.apply_report(self.now, &report));
        self.dispatcher.dispatch(self.now);
        let grants = self.router.receive(self.now, &mut self.dispatcher);
        self.running.extend(grants);
    }

    /// Finishes the request that runs longest; `queued` stays waiting.
    fn finish(&mut self, queued: &[(&str, u32)], cost: impl Fn(&str) -> CostUnits) -> String {
        let grant = self.running.remove(0);
        let used = usage(&grant, cost(&grant.workspace), Some(LeaseEnd::Finished));
        let backlog = queued.iter().map(|(name, count)| entry(name, *count, 1_000));
        self.report(backlog.collect(), vec![used]);
        grant.workspace
    }

    fn value(&self, workspace: &str) -> AccountValue {
        let mut accounts = self.dispatcher.accounts();
        accounts.find(|account| account.workspace == workspace).map_or(0, |account| account.value)
    }

    fn served(&self, workspace: &str) -> CostUnits {
        let mut accounts = self.dispatcher.accounts();
        accounts.find(|account| account.workspace == workspace).map_or(0, |account| account.service)
    }
}

/// Guards G2: a queue 100 times as long must not delay the other workspace.
#[test]
fn dispatch_flood_leaves_neighbour_its_share() {
    let mut bench = Bench::new(&[row("flood", 1, 99), row("small", 1, 99)], 4);
    bench.report(vec![entry("flood", 10_000, 1_000), entry("small", 100, 1_000)], vec![]);
    let mut wait = 0;
    for _ in 0..400 {
        let done = bench.finish(&[("flood", 10_000), ("small", 100)], |_| 1_000);
        wait = if done == "small" { 0 } else { wait + 1 };
        assert!(wait <= 4, "the small workspace waits for {wait} requests of the flood");
    }
    assert!(bench.served("small").abs_diff(bench.served("flood")) <= 8_000);
}

/// Guards the correction of wrong estimates: a workspace whose requests cost
/// 100 times their hint gains at most one request per running slot.
#[test]
fn dispatch_estimate_wrong_by_100() {
    let mut bench = Bench::new(&[row("honest", 1, 99), row("wrong", 1, 99)], 4);
    let queued = [("honest", 100), ("wrong", 100)];
    bench.report(queued.iter().map(|(name, n)| entry(name, *n, 1_000)).collect(), vec![]);
    let cost = |name: &str| if name == "wrong" { 100_000 } else { 1_000 };
    for _ in 0..3_000 {
        bench.finish(&queued, cost);
        let gap = bench.served("wrong").abs_diff(bench.served("honest"));
        assert!(gap <= 4 * (100_000 + 1_000), "gap {gap}");
    }
}

/// Guards the charge of an excess before the next grant, not at the end.
#[test]
fn dispatch_excess_is_charged_while_running() {
    let mut bench = Bench::new(&[row("a", 1, 99), row("b", 1, 99)], 2);
    bench.report(vec![entry("a", 9, 1_000), entry("b", 9, 1_000)], vec![]);
    let long = usage(&bench.running[0], 50_000, None);
    assert_eq!(long.workspace, "a");
    bench.report(vec![], vec![long]);
    bench.running.remove(0);
    for _ in 0..9 {
        assert_eq!(bench.finish(&[("a", 9), ("b", 9)], |_| 1_000), "b");
    }
}

/// Guards against a refund that is lost: an estimate far too high must be
/// settled downward.
#[test]
fn dispatch_settles_downward() {
    let mut bench = Bench::new(&[row("a", 2, 99)], 1);
    bench.report(vec![entry("a", 1, 500_000)], vec![]);
    let before = bench.value("a");
    bench.finish(&[("a", 0)], |_| 1_000);
    assert_eq!(before - bench.value("a"), u128::from(DEFAULT_ESTIMATE - 1_000) * (1 << 20) / 2);
}

/// Guards against credit for idle time.
#[test]
fn dispatch_idle_workspace_has_no_credit() {
    let mut bench = Bench::new(&[row("busy", 1, 99), row("idle", 1, 99)], 1);
    bench.report(vec![entry("busy", 99, 1_000)], vec![]);
    (0..200).for_each(|_| drop(bench.finish(&[("busy", 99)], |_| 1_000)));
    let queued = [("busy", 99), ("idle", 99)];
    let order: Vec<_> = (0..20).map(|_| bench.finish(&queued, |_| 1_000)).collect();
    let idle = order.iter().filter(|name| *name == "idle").count();
    assert!((8..=11).contains(&idle), "idle got {idle} of 20");
}

/// Guards accounts against a jump when a weight changes, and the use of the
/// new weight afterwards.
#[test]
fn set_table_changes_future_charges_only() {
    let mut bench = Bench::new(&[row("a", 1, 99), row("b", 1, 99)], 2);
    let queued = [("a", 99), ("b", 99)];
    bench.report(queued.iter().map(|(name, n)| entry(name, *n, 1_000)).collect(), vec![]);
    (0..100).for_each(|_| drop(bench.finish(&queued, |_| 1_000)));
    let values = (bench.value("a"), bench.value("b"));
    bench.dispatcher.set_table(START, &table(&[row("a", 3, 99), row("b", 1, 99)]));
    assert_eq!(values, (bench.value("a"), bench.value("b")));
    let before = (bench.served("a"), bench.served("b"));
    (0..400).for_each(|_| drop(bench.finish(&queued, |_| 1_000)));
    let (a, b) = (bench.served("a") - before.0, bench.served("b") - before.1);
    assert!((a / 3).abs_diff(b) <= 4_000, "a got {a}, b got {b}");
}

/// Guards the cap on carried debt: work that a partitioned router reports
/// must not starve its workspace for longer than ten seconds of the pool.
#[test]
fn apply_report_caps_debt_of_partition() {
    let mut bench = Bench::new(&[row("a", 1, 99), row("b", 1, 99)], 1);
    let queued = [("a", 99), ("b", 99)];
    bench.report(queued.iter().map(|(name, n)| entry(name, *n, 1_000)).collect(), vec![]);
    let mut late = usage(&bench.running[0], 1 << 40, Some(LeaseEnd::Finished));
    late.lease = LeaseId { term: LOCAL_TERM, number: 1 };
    bench.report(vec![], vec![late]);
    let nominal = 10 * DispatchSettings::default().nominal_slot_rate;
    let debt = bench.value("a") - bench.value("b");
    assert!(debt <= u128::from(nominal) << 20, "debt {debt}");
    assert!(debt >= u128::from(nominal - 2_000) << 20, "the capped debt is kept");
    let gained = (0..700).filter(|_| bench.finish(&queued, |_| 1_000) == "a").count();
    assert!((195..=210).contains(&gained), "a got {gained} of 700");
}

/// Guards the cap on a debt that a workspace carries over an idle time.
#[test]
fn apply_report_caps_debt_of_idle_workspace() {
    let mut bench = Bench::new(&[row("a", 1, 99), row("b", 1, 99)], 1);
    bench.report(vec![entry("a", 1, 1_000), entry("b", 99, 1_000)], vec![]);
    bench.finish(&[("a", 0), ("b", 99)], |_| 1 << 40);
    assert_eq!(bench.dispatcher.pool_service(START, UpstreamKind::Model, "models"), 1 << 40);
    bench.now = ms(20_000);
    bench.report(vec![entry("a", 99, 1_000)], vec![]);
    let nominal = 10 * DispatchSettings::default().nominal_slot_rate;
    assert!(bench.value("a") - bench.value("b") <= u128::from(nominal) << 20);
}

/// Guards against a workspace that saves up service while a limit blocks it.
#[test]
fn dispatch_blocked_workspace_saves_little() {
    let limited = WorkspaceRow { requests_per_minute: 1, ..row("a", 1, 99) };
    let mut bench = Bench::new(&[limited, row("b", 1, 99)], 1);
    let queued = [("a", 99), ("b", 99)];
    bench.report(queued.iter().map(|(name, n)| entry(name, *n, 1_000)).collect(), vec![]);
    (0..1_000).for_each(|_| drop(bench.finish(&queued, |_| 1_000)));
    bench.now = ms(20_000);
    bench.dispatcher.set_table(bench.now, &table(&[row("a", 1, 99), row("b", 1, 99)]));
    bench.now = ms(20_001);
    bench.finish(&queued, |_| 1_000);
    let nominal = 10 * DispatchSettings::default().nominal_slot_rate;
    let deficit = bench.value("b") - bench.value("a");
    assert!(deficit <= u128::from(nominal) << 20, "deficit {deficit}");
    assert!(deficit > u128::from(nominal / 2) << 20, "the deficit itself is kept");
}

/// Guards the order among models that share an engine: accounts decide, not
/// the order of the models; requests of one workspace are served by age.
#[test]
fn dispatch_orders_across_models() {
    let rows = [row("a", 1, 99), row("b", 1, 99)];
    let mut bench = Bench::new(&rows, 1);
    bench.dispatcher.set_upstreams(START, &[engine("f", &["m", "n"], 1)]);
    let on_n = |workspace: &str, queued| BacklogEntry {
        target: target("n"),
        ..entry(workspace, queued, 1_000)
    };
    bench.report(vec![entry("a", 99, 1_000)], vec![]);
    (0..200).for_each(|_| drop(bench.finish(&[("a", 99)], |_| 1_000)));
    bench.report(vec![on_n("b", 99)], vec![]);
    let mut order: Vec<_> = (0..40).map(|_| bench.finish(&[("a", 99)], |_| 1_000)).collect();
    let of_b = order.iter().filter(|name| *name == "b").count();
    assert!((18..=21).contains(&of_b), "b got {of_b} of 40");
    let mut bench = Bench::new(&rows, 1);
    bench.dispatcher.set_upstreams(START, &[engine("f", &["n", "m"], 1)]);
    bench.report(vec![entry("a", 2, 1_000)], vec![]);
    bench.report(vec![entry("a", 1, 1_000), on_n("a", 1)], vec![]);
    bench.report(vec![entry("a", 2, 1_000)], vec![]);
    order.clear();
    for left in [2, 1, 1] {
        order.push(bench.running[0].target.name.clone());
        bench.finish(&[("a", left)], |_| 1_000);
    }
    assert_eq!(order, ["m", "m", "n"]);
}

/// Guards full reports: what they do not list is gone, but for grants that
/// the router has not received.
#[test]
fn apply_report_full_replaces_state() {
    let mut bench = Bench::new(&[row("a", 1, 99)], 3);
    bench.report(vec![entry("a", 2, 1_000)], vec![]);
    bench.report(vec![entry("a", 0, 0)], vec![]);
    let report = bench.router.report(vec![entry("a", 9, 1_000)], vec![]);
    bench.dispatcher.apply_report(START, &report);
    assert_eq!(bench.dispatcher.dispatch(START), 1);
    bench.router.full = true;
    let held = usage(&bench.running[0], 0, None);
    let report = bench.router.report(vec![], vec![held]);
    assert!(bench.dispatcher.apply_report(START, &report));
    assert_eq!(bench.dispatcher.upstreams(START).next().map(|u| u.running), Some(2));
    assert_eq!(bench.dispatcher.backlog("a", &target("m")), 0);
    assert_eq!(bench.router.receive(START, &mut bench.dispatcher).len(), 1);
}

/// Guards recovery: no grant before the known routers reported in full, and
/// held leases of the earlier term count as running and as charged.
#[test]
fn dispatch_waits_for_full_reports() {
    let rows = [row("a", 1, 99)];
    let mut old = Bench::new(&rows, 2);
    old.report(vec![entry("a", 1, 1_000)], vec![]);
    let mut next = SlotDispatcher::new(START, 2, DispatchSettings::default());
    next.expect_routers(["r", "s"]);
    next.set_table(START, &table(&rows));
    next.set_upstreams(START, &[engine("e", &["m"], 2)]);
    assert!(next.take_answer(START, "r").resync);
    let held = usage(&old.running[0], 70_000, None);
    (old.router.term, old.router.full, old.router.received) = (2, true, 0);
    let report = old.router.report(vec![entry("a", 9, 1_000)], vec![held]);
    assert!(next.apply_report(START, &report));
    assert_eq!(next.dispatch(START), 0, "router s has not reported");
    assert_eq!(next.next_wakeup(START), Some(ms(300)));
    assert_eq!(next.dispatch(ms(299)), 0);
    let mut early = next.clone();
    let mut other = ManualRouter::new("s");
    other.term = 2;
    assert!(early.apply_report(ms(100), &other.report(vec![], vec![])));
    assert_eq!(early.dispatch(ms(100)), 1, "one of two slots is held");
    assert_eq!(next.dispatch(ms(300)), 1);
    assert!(next.accounts().any(|account| account.running == 2 && account.service == 70_000));
}

/// Guards against reports of another term or deltas that the dispatcher has
/// no base for.
#[test]
fn apply_report_needs_full_report_of_term() {
    let mut dispatcher = ready(DispatchSettings::default(), &[row("a", 1, 9)], &[]);
    let mut router = ManualRouter::new("r");
    router.term = 0;
    assert!(!dispatcher.apply_report(START, &router.report(vec![], vec![])));
    (router.term, router.full) = (1, false);
    assert!(!dispatcher.apply_report(START, &router.report(vec![], vec![])));
    assert!(dispatcher.take_answer(START, "r").resync);
    router.full = true;
    assert!(dispatcher.apply_report(START, &router.report(vec![], vec![])));
    assert!(!dispatcher.take_answer(START, "r").resync);
}

/// Guards against a repeated end that is charged or freed twice.
#[test]
fn apply_report_repeated_end_counts_once() {
    let mut bench = Bench::new(&[row("a", 1, 99)], 1);
    bench.report(vec![entry("a", 1, 1_000)], vec![]);
    let end = usage(&bench.running[0], 7_000, Some(LeaseEnd::Finished));
    let report = bench.router.report(vec![entry("a", 0, 0)], vec![end.clone()]);
    assert!(bench.dispatcher.apply_report(START, &report));
    assert!(!bench.dispatcher.apply_report(START, &report));
    let again = bench.router.report(vec![], vec![end.clone(), end]);
    assert!(bench.dispatcher.apply_report(START, &again));
    assert_eq!(bench.served("a"), 7_000);
    assert_eq!(bench.dispatcher.upstreams(START).next().unwrap().running, 0);
}

/// Guards against slots that stay occupied after a router restart, and
/// against a late report of the incarnation before.
#[test]
fn apply_report_new_incarnation_frees_leases() {
    let mut bench = Bench::new(&[row("a", 1, 99)], 2);
    bench.report(vec![entry("a", 5, 1_000)], vec![]);
    let stale = bench.router.report(vec![entry("a", 5, 1_000)], vec![]);
    let mut restarted = ManualRouter::new("r");
    restarted.identity.incarnation = 2;
    restarted.full = false;
    assert!(!bench.dispatcher.apply_report(START, &restarted.report(vec![], vec![])));
    assert_eq!(bench.dispatcher.upstreams(START).next().unwrap().running, 0);
    assert!(!bench.dispatcher.apply_report(START, &stale));
    assert_eq!(bench.dispatcher.dispatch(START), 0);
}

/// Guards against a router that is ignored for good because its clock went back
/// between two starts: once the incarnation with the later time is silent, the
/// one with the earlier time takes its place.
#[test]
fn apply_report_older_incarnation_follows_silent_one() {
    let mut bench = Bench::new(&[row("a", 1, 99)], 2);
    bench.router.identity.incarnation = 9;
    bench.report(vec![entry("a", 5, 1_000)], vec![]);
    let mut restarted = ManualRouter::new("r");
    let early = restarted.report(vec![entry("a", 1, 1_000)], vec![]);
    assert!(!bench.dispatcher.apply_report(START + ms(900), &early));
    assert!(!bench.dispatcher.is_current(&restarted.identity));
    restarted.full = true;
    let report = restarted.report(vec![entry("a", 1, 1_000)], vec![]);
    assert!(bench.dispatcher.apply_report(START + ms(1_000), &report));
    assert!(bench.dispatcher.is_current(&restarted.identity));
    assert_eq!(bench.dispatcher.upstreams(START).next().unwrap().running, 0);
    assert_eq!(bench.dispatcher.dispatch(START + ms(1_000)), 1);
}

/// Guards the loss of silent routers and the charge of leases that return.
#[test]
fn expire_silent_router_loses_leases() {
    let mut bench = Bench::new(&[row("a", 1, 99)], 1);
    bench.report(vec![entry("a", 2, 1_000)], vec![]);
    let held = usage(&bench.running[0], 5_000, None);
    bench.report(vec![], vec![held.clone()]);
    assert!(bench.dispatcher.expire(ms(9_999)).is_empty());
    assert_eq!(bench.dispatcher.expire(ms(10_000)), ["r"]);
    assert!(bench.dispatcher.expire(ms(10_001)).is_empty());
    assert_eq!(bench.dispatcher.upstreams(START).next().unwrap().running, 0);
    assert!(bench.dispatcher.take_answer(START, "r").resync);
    bench.now = ms(12_000);
    bench.router.full = true;
    bench.report(vec![entry("a", 2, 1_000)], vec![LeaseUsage { charged: 6_000, ..held }]);
    assert_eq!(bench.served("a"), 6_000);
    assert_eq!(bench.running.len(), 1, "the returned lease occupies the slot");
    assert!(bench.dispatcher.expire(ms(612_001)).is_empty());
    assert_eq!(bench.dispatcher.routers().count(), 0);
}

/// Guards delivery: a grant is repeated until it is acknowledged, then not,
/// and a request with a grant under way gets no second one.
#[test]
fn take_answer_repeats_until_acknowledged() {
    let mut bench = Bench::new(&[row("a", 1, 99)], 3);
    let report = bench.router.report(vec![entry("a", 1, 1_000)], vec![]);
    bench.dispatcher.apply_report(START, &report);
    bench.dispatcher.dispatch(START);
    assert_eq!(bench.dispatcher.routers_to_wake(), ["r"]);
    let first = bench.dispatcher.take_answer(START, "r").grants;
    assert!(bench.dispatcher.routers_to_wake().is_empty());
    assert_eq!(bench.dispatcher.take_answer(START, "r").grants, first);
    let report = bench.router.report(vec![entry("a", 1, 1_000)], vec![]);
    bench.dispatcher.apply_report(START, &report);
    assert_eq!(bench.dispatcher.dispatch(START), 0, "the grant is under way");
    bench.router.received = first[0].lease.number;
    let report = bench.router.report(vec![entry("a", 0, 0)], vec![usage(&first[0], 0, None)]);
    bench.dispatcher.apply_report(START, &report);
    assert!(bench.dispatcher.take_answer(START, "r").grants.is_empty());
    assert_eq!(bench.dispatcher.dispatch(START), 0, "the request is not waiting twice");
}
