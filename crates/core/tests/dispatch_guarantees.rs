//! Example-based tests of fairness and of the report protocol.

mod dispatch_fleet;

use baobabfall_core::cost_estimate::DEFAULT_ESTIMATE;
use baobabfall_core::dispatch_load::RouterPeak;
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

/// A dispatcher with one router, whose requests run until the test finishes them.
struct DispatchFixture {
    dispatcher: SlotDispatcher,
    router: ManualRouter,
    running: Vec<SlotGrant>,
    now: Duration,
}

impl DispatchFixture {
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

    /// Finishes the request that has run longest, reports it together with the queue
    /// lengths `queued`, and returns its workspace.
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

/// Guards guarantee G2 of the design: a workspace with a queue 100 times as long must
/// not delay the other one or take from its share.
#[test]
fn dispatch_long_queue_leaves_other_workspace_its_share() {
    let mut fixture = DispatchFixture::new(&[row("flood", 1, 99), row("small", 1, 99)], 4);
    fixture.report(vec![entry("flood", 10_000, 1_000), entry("small", 100, 1_000)], vec![]);
    let mut wait = 0;
    for _ in 0..400 {
        let done = fixture.finish(&[("flood", 10_000), ("small", 100)], |_| 1_000);
        wait = if done == "small" { 0 } else { wait + 1 };
        assert!(wait <= 4, "the small workspace waits for {wait} requests of the other one");
    }
    assert!(fixture.served("small").abs_diff(fixture.served("flood")) <= 8_000);
}

/// Guards the correction of wrong estimates: a workspace whose requests cost 100 times
/// their hint may gain at most the cost of one request per slot.
#[test]
fn dispatch_estimate_100_times_too_low() {
    let mut fixture = DispatchFixture::new(&[row("honest", 1, 99), row("wrong", 1, 99)], 4);
    let queued = [("honest", 100), ("wrong", 100)];
    fixture.report(queued.iter().map(|(name, n)| entry(name, *n, 1_000)).collect(), vec![]);
    let cost = |name: &str| if name == "wrong" { 100_000 } else { 1_000 };
    for _ in 0..3_000 {
        fixture.finish(&queued, cost);
        let gap = fixture.served("wrong").abs_diff(fixture.served("honest"));
        assert!(gap <= 4 * (100_000 + 1_000), "gap {gap}");
    }
}

/// Guards against charging a cost above the estimate only when the request ends: it
/// must be charged when it is reported, before the next grant.
#[test]
fn dispatch_excess_is_charged_while_running() {
    let mut fixture = DispatchFixture::new(&[row("a", 1, 99), row("b", 1, 99)], 2);
    fixture.report(vec![entry("a", 9, 1_000), entry("b", 9, 1_000)], vec![]);
    let long = usage(&fixture.running[0], 50_000, None);
    assert_eq!(long.workspace, "a");
    fixture.report(vec![], vec![long]);
    fixture.running.remove(0);
    for _ in 0..9 {
        assert_eq!(fixture.finish(&[("a", 9), ("b", 9)], |_| 1_000), "b");
    }
}

/// Guards against a missing refund: when a request ends far below its estimate, the
/// account must be lowered to the final cost.
#[test]
fn dispatch_refunds_high_estimate() {
    let mut fixture = DispatchFixture::new(&[row("a", 2, 99)], 1);
    fixture.report(vec![entry("a", 1, 500_000)], vec![]);
    let before = fixture.value("a");
    fixture.finish(&[("a", 0)], |_| 1_000);
    assert_eq!(before - fixture.value("a"), u128::from(DEFAULT_ESTIMATE - 1_000) * (1 << 20) / 2);
}

/// Guards against credit for idle time: a workspace that was idle must not get all
/// slots once it has requests.
#[test]
fn dispatch_idle_workspace_has_no_credit() {
    let mut fixture = DispatchFixture::new(&[row("busy", 1, 99), row("idle", 1, 99)], 1);
    fixture.report(vec![entry("busy", 99, 1_000)], vec![]);
    (0..200).for_each(|_| drop(fixture.finish(&[("busy", 99)], |_| 1_000)));
    let queued = [("busy", 99), ("idle", 99)];
    let order: Vec<_> = (0..20).map(|_| fixture.finish(&queued, |_| 1_000)).collect();
    let idle = order.iter().filter(|name| *name == "idle").count();
    assert!((8..=11).contains(&idle), "idle got {idle} of 20");
}

/// Guards against a change of account values when a weight changes; the new weight
/// must apply to later charges.
#[test]
fn set_table_changes_future_charges_only() {
    let mut fixture = DispatchFixture::new(&[row("a", 1, 99), row("b", 1, 99)], 2);
    let queued = [("a", 99), ("b", 99)];
    fixture.report(queued.iter().map(|(name, n)| entry(name, *n, 1_000)).collect(), vec![]);
    (0..100).for_each(|_| drop(fixture.finish(&queued, |_| 1_000)));
    let values = (fixture.value("a"), fixture.value("b"));
    fixture.dispatcher.set_table(START, &table(&[row("a", 3, 99), row("b", 1, 99)]));
    assert_eq!(values, (fixture.value("a"), fixture.value("b")));
    let before = (fixture.served("a"), fixture.served("b"));
    (0..400).for_each(|_| drop(fixture.finish(&queued, |_| 1_000)));
    let (a, b) = (fixture.served("a") - before.0, fixture.served("b") - before.1);
    assert!((a / 3).abs_diff(b) <= 4_000, "a got {a}, b got {b}");
}

/// Guards the cap on debt: the cost of requests that a router reports after a partition
/// must not starve its workspace for longer than ten seconds of the pool's service.
#[test]
fn apply_report_caps_debt_of_partition() {
    let mut fixture = DispatchFixture::new(&[row("a", 1, 99), row("b", 1, 99)], 1);
    let queued = [("a", 99), ("b", 99)];
    fixture.report(queued.iter().map(|(name, n)| entry(name, *n, 1_000)).collect(), vec![]);
    let mut late = usage(&fixture.running[0], 1 << 40, Some(LeaseEnd::Finished));
    late.lease = LeaseId { term: LOCAL_TERM, number: 1 };
    fixture.report(vec![], vec![late]);
    let nominal = 10 * DispatchSettings::default().nominal_slot_rate;
    let debt = fixture.value("a") - fixture.value("b");
    assert!(debt <= u128::from(nominal) << 20, "debt {debt}");
    assert!(debt >= u128::from(nominal - 2_000) << 20, "the capped debt is kept");
    let gained = (0..700).filter(|_| fixture.finish(&queued, |_| 1_000) == "a").count();
    assert!((195..=210).contains(&gained), "a got {gained} of 700");
}

/// Guards the cap on debt that a workspace incurred before an idle time: on its return
/// it may owe at most ten seconds of the pool's service.
#[test]
fn apply_report_caps_debt_of_idle_workspace() {
    let mut fixture = DispatchFixture::new(&[row("a", 1, 99), row("b", 1, 99)], 1);
    fixture.report(vec![entry("a", 1, 1_000), entry("b", 99, 1_000)], vec![]);
    fixture.finish(&[("a", 0), ("b", 99)], |_| 1 << 40);
    assert_eq!(fixture.dispatcher.pool_service(START, UpstreamKind::Model, "models"), 1 << 40);
    fixture.now = ms(20_000);
    fixture.report(vec![entry("a", 99, 1_000)], vec![]);
    let nominal = 10 * DispatchSettings::default().nominal_slot_rate;
    assert!(fixture.value("a") - fixture.value("b") <= u128::from(nominal) << 20);
}

/// Guards against credit while a rate limit blocks a workspace: after the block its
/// account may be at most ten seconds of service below the others.
#[test]
fn dispatch_blocked_workspace_has_bounded_credit() {
    let limited = WorkspaceRow { requests_per_minute: 1, ..row("a", 1, 99) };
    let mut fixture = DispatchFixture::new(&[limited, row("b", 1, 99)], 1);
    let queued = [("a", 99), ("b", 99)];
    fixture.report(queued.iter().map(|(name, n)| entry(name, *n, 1_000)).collect(), vec![]);
    (0..1_000).for_each(|_| drop(fixture.finish(&queued, |_| 1_000)));
    fixture.now = ms(20_000);
    fixture.dispatcher.set_table(fixture.now, &table(&[row("a", 1, 99), row("b", 1, 99)]));
    fixture.now = ms(20_001);
    fixture.finish(&queued, |_| 1_000);
    let nominal = 10 * DispatchSettings::default().nominal_slot_rate;
    let deficit = fixture.value("b") - fixture.value("a");
    assert!(deficit <= u128::from(nominal) << 20, "deficit {deficit}");
    assert!(deficit > u128::from(nominal / 2) << 20, "the deficit is capped, not erased");
}

/// Guards the order among models that share an engine: accounts decide between
/// workspaces and age between requests of one workspace, never the order of the models.
#[test]
fn dispatch_orders_across_models() {
    let rows = [row("a", 1, 99), row("b", 1, 99)];
    let mut fixture = DispatchFixture::new(&rows, 1);
    fixture.dispatcher.set_upstreams(START, &[engine("f", &["m", "n"], 1)]);
    let on_n = |workspace: &str, queued| BacklogEntry {
        target: target("n"),
        ..entry(workspace, queued, 1_000)
    };
    fixture.report(vec![entry("a", 99, 1_000)], vec![]);
    (0..200).for_each(|_| drop(fixture.finish(&[("a", 99)], |_| 1_000)));
    fixture.report(vec![on_n("b", 99)], vec![]);
    let mut order: Vec<_> = (0..40).map(|_| fixture.finish(&[("a", 99)], |_| 1_000)).collect();
    let of_b = order.iter().filter(|name| *name == "b").count();
    assert!((18..=21).contains(&of_b), "b got {of_b} of 40");
    let mut fixture = DispatchFixture::new(&rows, 1);
    fixture.dispatcher.set_upstreams(START, &[engine("f", &["n", "m"], 1)]);
    fixture.report(vec![entry("a", 2, 1_000)], vec![]);
    fixture.report(vec![entry("a", 1, 1_000), on_n("a", 1)], vec![]);
    fixture.report(vec![entry("a", 2, 1_000)], vec![]);
    order.clear();
    for left in [2, 1, 1] {
        order.push(fixture.running[0].target.name.clone());
        fixture.finish(&[("a", left)], |_| 1_000);
    }
    assert_eq!(order, ["m", "m", "n"]);
}

/// Guards against stale state after a full report: leases and backlog that it does not
/// list are removed, except grants that the router has not received yet.
#[test]
fn apply_report_full_replaces_state() {
    let mut fixture = DispatchFixture::new(&[row("a", 1, 99)], 3);
    fixture.report(vec![entry("a", 2, 1_000)], vec![]);
    fixture.report(vec![entry("a", 0, 0)], vec![]);
    let report = fixture.router.report(vec![entry("a", 9, 1_000)], vec![]);
    fixture.dispatcher.apply_report(START, &report);
    assert_eq!(fixture.dispatcher.dispatch(START), 1);
    fixture.router.full = true;
    let held = usage(&fixture.running[0], 0, None);
    let report = fixture.router.report(vec![], vec![held]);
    assert!(fixture.dispatcher.apply_report(START, &report));
    assert_eq!(fixture.dispatcher.upstreams(START).next().map(|u| u.running), Some(2));
    assert_eq!(fixture.dispatcher.backlog("a", &target("m")), 0);
    assert_eq!(fixture.router.receive(START, &mut fixture.dispatcher).len(), 1);
}

/// Guards against granting occupied slots after a change of dispatcher: it must wait
/// for full reports of the known routers or 300 ms, and must count and charge leases
/// of the earlier term.
#[test]
fn dispatch_waits_for_full_reports() {
    let rows = [row("a", 1, 99)];
    let mut old = DispatchFixture::new(&rows, 2);
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

/// Guards against applying reports of another term, or reports of changes before a full
/// report.
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

/// Guards against charging a lease or freeing its slot twice when its end is reported
/// repeatedly.
#[test]
fn apply_report_repeated_end_counts_once() {
    let mut fixture = DispatchFixture::new(&[row("a", 1, 99)], 1);
    fixture.report(vec![entry("a", 1, 1_000)], vec![]);
    let end = usage(&fixture.running[0], 7_000, Some(LeaseEnd::Finished));
    let report = fixture.router.report(vec![entry("a", 0, 0)], vec![end.clone()]);
    assert!(fixture.dispatcher.apply_report(START, &report));
    assert!(!fixture.dispatcher.apply_report(START, &report));
    let again = fixture.router.report(vec![], vec![end.clone(), end]);
    assert!(fixture.dispatcher.apply_report(START, &again));
    assert_eq!(fixture.served("a"), 7_000);
    assert_eq!(fixture.dispatcher.upstreams(START).next().unwrap().running, 0);
}

/// Guards against slots that stay occupied after a router restarts, and against applying
/// a delayed report of the earlier incarnation.
#[test]
fn apply_report_new_incarnation_frees_leases() {
    let mut fixture = DispatchFixture::new(&[row("a", 1, 99)], 2);
    fixture.report(vec![entry("a", 5, 1_000)], vec![]);
    let stale = fixture.router.report(vec![entry("a", 5, 1_000)], vec![]);
    let mut restarted = ManualRouter::new("r");
    restarted.identity.incarnation = 2;
    restarted.full = false;
    assert!(!fixture.dispatcher.apply_report(START, &restarted.report(vec![], vec![])));
    assert_eq!(fixture.dispatcher.upstreams(START).next().unwrap().running, 0);
    assert!(!fixture.dispatcher.apply_report(START, &stale));
    assert_eq!(fixture.dispatcher.dispatch(START), 0);
}

/// Guards against ignoring a router permanently because its clock went back between two
/// starts. Incarnations are start times, so the new one is lower; it is accepted once
/// the higher one has been silent for a second.
#[test]
fn apply_report_older_incarnation_follows_silent_one() {
    let mut fixture = DispatchFixture::new(&[row("a", 1, 99)], 2);
    fixture.router.identity.incarnation = 9;
    fixture.report(vec![entry("a", 5, 1_000)], vec![]);
    let mut restarted = ManualRouter::new("r");
    let early = restarted.report(vec![entry("a", 1, 1_000)], vec![]);
    assert!(!fixture.dispatcher.apply_report(START + ms(900), &early));
    assert!(!fixture.dispatcher.is_current(&restarted.identity));
    restarted.full = true;
    let report = restarted.report(vec![entry("a", 1, 1_000)], vec![]);
    assert!(fixture.dispatcher.apply_report(START + ms(1_000), &report));
    assert!(fixture.dispatcher.is_current(&restarted.identity));
    assert_eq!(fixture.dispatcher.upstreams(START).next().unwrap().running, 0);
    assert_eq!(fixture.dispatcher.dispatch(START + ms(1_000)), 1);
}

/// Guards against slots that stay occupied by a silent router, and against charging its
/// leases twice when it reports them again after they were reclaimed.
#[test]
fn expire_silent_router_frees_its_leases() {
    let mut fixture = DispatchFixture::new(&[row("a", 1, 99)], 1);
    fixture.report(vec![entry("a", 2, 1_000)], vec![]);
    let held = usage(&fixture.running[0], 5_000, None);
    fixture.report(vec![], vec![held.clone()]);
    assert!(fixture.dispatcher.expire(ms(9_999)).is_empty());
    assert_eq!(fixture.dispatcher.expire(ms(10_000)), ["r"]);
    assert!(fixture.dispatcher.expire(ms(10_001)).is_empty());
    assert_eq!(fixture.dispatcher.upstreams(START).next().unwrap().running, 0);
    assert!(fixture.dispatcher.take_answer(START, "r").resync);
    fixture.now = ms(12_000);
    fixture.router.full = true;
    fixture.report(vec![entry("a", 2, 1_000)], vec![LeaseUsage { charged: 6_000, ..held }]);
    assert_eq!(fixture.served("a"), 6_000);
    assert_eq!(fixture.running.len(), 1, "the returned lease occupies the slot");
    assert!(fixture.dispatcher.expire(ms(612_001)).is_empty());
    assert_eq!(fixture.dispatcher.routers().count(), 0);
}

/// Guards against lost or duplicate grants: a grant is repeated until it is
/// acknowledged, and a request with an unacknowledged grant gets no second one.
#[test]
fn take_answer_repeats_until_acknowledged() {
    let mut fixture = DispatchFixture::new(&[row("a", 1, 99)], 3);
    let report = fixture.router.report(vec![entry("a", 1, 1_000)], vec![]);
    fixture.dispatcher.apply_report(START, &report);
    fixture.dispatcher.dispatch(START);
    assert_eq!(fixture.dispatcher.routers_to_wake(), ["r"]);
    let first = fixture.dispatcher.take_answer(START, "r").grants;
    assert!(fixture.dispatcher.routers_to_wake().is_empty());
    assert_eq!(fixture.dispatcher.take_answer(START, "r").grants, first);
    let report = fixture.router.report(vec![entry("a", 1, 1_000)], vec![]);
    fixture.dispatcher.apply_report(START, &report);
    assert_eq!(fixture.dispatcher.dispatch(START), 0, "the grant is not acknowledged yet");
    fixture.router.received = first[0].lease.number;
    let report = fixture.router.report(vec![entry("a", 0, 0)], vec![usage(&first[0], 0, None)]);
    fixture.dispatcher.apply_report(START, &report);
    assert!(fixture.dispatcher.take_answer(START, "r").grants.is_empty());
    assert_eq!(fixture.dispatcher.dispatch(START), 0, "the request is not waiting twice");
}

/// Guards against a grant that is sent to a router again after its upstream has left.
#[test]
fn take_answer_departed_upstream_is_not_granted_again() {
    let mut fixture = DispatchFixture::new(&[row("a", 1, 99)], 3);
    let report = fixture.router.report(vec![entry("a", 1, 1_000)], vec![]);
    fixture.dispatcher.apply_report(START, &report);
    fixture.dispatcher.dispatch(START);
    assert_eq!(fixture.dispatcher.take_answer(START, "r").grants.len(), 1);
    fixture.dispatcher.set_upstreams(ms(100), &[]);
    let repeated = fixture.dispatcher.take_answer(ms(3_100), "r").grants;
    assert!(repeated.is_empty(), "granted 3 s after the departure: {repeated:?}");
}

/// Guards the line `dispatch_load`, which tells who holds slots and who returns them unused.
#[test]
fn take_load_names_routers_and_begins_new_counts() {
    let mut fixture = DispatchFixture::new(&[row("team", 1, 99)], 2);
    fixture.report(vec![entry("team", 3, 1_000)], vec![]);
    let load = fixture.dispatcher.take_load(START);
    assert_eq!((load.granted, load.running, load.slots, load.waiting), (2, 2, 2, 1));
    assert_eq!((load.most_running.router.as_str(), load.most_running.count), ("r", 2));
    let returned = usage(&fixture.running.remove(0), 0, Some(LeaseEnd::Unused));
    fixture.report(vec![entry("team", 0, 0)], vec![returned]);
    let load = fixture.dispatcher.take_load(START);
    assert_eq!((load.granted, load.unused, load.most_unused.count), (0, 1, 1));
    assert_eq!(fixture.dispatcher.take_load(START).most_unused, RouterPeak::default());
}
