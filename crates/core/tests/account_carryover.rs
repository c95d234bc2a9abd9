//! Tests of the transfer of accounts from a lost dispatcher to its successor.

mod dispatch_fleet;

use baobabfall_core::account_statement::*;
use baobabfall_core::dispatch_messages::*;
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::fair_order::{ACCOUNT_SCALE, AccountValue};
use baobabfall_core::slot_dispatcher::SlotDispatcher;
use baobabfall_core::upstream_registry::UpstreamKind;
use dispatch_fleet::*;
use std::time::Duration;

const NOW: Duration = Duration::ZERO;
/// Debt cap of a pool with one slot: ten seconds at the nominal rate.
const DEBT_CAP: AccountValue = 300_000 * ACCOUNT_SCALE;

fn successor(term: u64, routers: &[&str]) -> SlotDispatcher {
    let mut dispatcher = SlotDispatcher::new(NOW, term, DispatchSettings::default());
    dispatcher.expect_routers(routers.iter().copied());
    dispatcher.set_table(NOW, &table(&[row("a", 1, 8), row("b", 1, 8)]));
    dispatcher.set_upstreams(NOW, &[engine("e", &["m"], 1)]);
    dispatcher
}

fn backlog() -> Vec<BacklogEntry> {
    vec![entry("a", 9, 1_000), entry("b", 9, 1_000)]
}

fn value(dispatcher: &SlotDispatcher, workspace: &str) -> AccountValue {
    let mut accounts = dispatcher.accounts();
    accounts.find(|account| account.workspace == workspace).map_or(0, |account| account.value)
}

fn statement(workspace: &str, number: u64, settled: u64, floor: u64) -> AccountStatement {
    let stamp = StatementStamp { term: 1, number };
    let (pool, workspace) = ("models".to_owned(), workspace.to_owned());
    AccountStatement { kind: UpstreamKind::Model, pool, workspace, stamp, settled, floor }
}

fn full_report(router: &mut ManualRouter, term: u64, usage: Vec<LeaseUsage>) -> DispatchReport {
    (router.full, router.term, router.received) = (true, term, 0);
    router.report(backlog(), usage)
}

/// Runs one request of workspace `a` with a cost of 250,000 at the dispatcher of term 1. Returns
/// the usage with its end, which that dispatcher has applied, and the answer.
fn finish_one(router: &mut ManualRouter) -> (LeaseUsage, DispatchAnswer) {
    let mut first = successor(1, &["r"]);
    assert!(first.apply_report(NOW, &router.report(backlog(), vec![])));
    first.dispatch(NOW);
    let grant = router.receive(NOW, &mut first).remove(0);
    assert_eq!(grant.workspace, "a");
    let ended = usage(&grant, 250_000, Some(LeaseEnd::Finished));
    assert!(first.apply_report(NOW, &router.report(backlog(), vec![ended.clone()])));
    let answer = first.take_answer(NOW, "r");
    assert_eq!(answer.statements.len(), 1, "the answer states the account of the ended lease");
    (ended, answer)
}

/// A successor must know the service that a workspace received in the previous term. Otherwise
/// `a` would be served first again.
#[test]
fn restore_accounts_continues_order() {
    let mut router = ManualRouter::new("r");
    let (_, answer) = finish_one(&mut router);
    let mut second = successor(2, &["r"]);
    let report = full_report(&mut router, 2, vec![]);
    let report = DispatchReport { statements: answer.statements, ..report };
    assert!(second.apply_report(NOW, &report));
    let mut order = Vec::new();
    for _ in 0..4 {
        second.dispatch(NOW);
        let grant = router.receive(NOW, &mut second).remove(0);
        let used = usage(&grant, 100_000, Some(LeaseEnd::Finished));
        order.push(grant.workspace);
        assert!(second.apply_report(NOW, &router.report(backlog(), vec![used])));
    }
    assert_eq!(order, ["b", "b", "b", "a"]);
}

/// If the answer to the report of an end is lost with its dispatcher, the successor must charge
/// the lease exactly once. During recovery it must neither acknowledge ends nor send statements,
/// because its accounts are incomplete.
#[test]
fn restore_accounts_lost_answer_charges_once() {
    let mut router = ManualRouter::new("r");
    let (ended, _) = finish_one(&mut router);
    let mut second = successor(2, &["r", "q"]);
    assert!(second.apply_report(NOW, &full_report(&mut router, 2, vec![ended.clone()])));
    assert!(second.apply_report(NOW, &full_report(&mut router, 2, vec![ended])));
    second.dispatch(NOW);
    let answer = second.take_answer(NOW, "r");
    assert_eq!((answer.acknowledged, answer.statements.len()), (0, 0), "accounts are incomplete");
    assert!(second.apply_report(NOW, &full_report(&mut ManualRouter::new("q"), 2, vec![])));
    assert!(second.finish_recovery(NOW));
    assert_eq!(value(&second, "a"), 250_000 * ACCOUNT_SCALE);
    let answer = second.take_answer(NOW, "r");
    assert_eq!(answer.acknowledged, router.sequence);
    let statement = answer.statements.iter().find(|statement| statement.workspace == "a");
    assert_eq!(statement.map(|statement| statement.settled), Some(250_000));
}

/// An earlier statement must not replace a later one of the same account, in whichever order two
/// routers report them.
#[test]
fn restore_accounts_uses_highest_stamp() {
    for reversed in [false, true] {
        let mut statements = vec![statement("a", 2, 90_000, 0), statement("a", 1, 10_000, 0)];
        if reversed {
            statements.reverse();
        }
        let mut dispatcher = successor(2, &["r", "q"]);
        for (name, statement) in ["r", "q"].into_iter().zip(statements) {
            let report = full_report(&mut ManualRouter::new(name), 2, vec![]);
            dispatcher.apply_report(NOW, &DispatchReport { statements: vec![statement], ..report });
        }
        assert!(dispatcher.finish_recovery(NOW));
        assert_eq!(value(&dispatcher, "a"), 90_000 * ACCOUNT_SCALE);
    }
}

/// No statement may starve a workspace with a huge debt or give it credit, whether it arrives
/// during recovery or in a late report after it.
#[test]
fn restore_accounts_bounds_debt_and_credit() {
    for late in [false, true] {
        for (settled, floor) in [(u64::MAX, 0), (0, 5_000_000), (u64::MAX, u64::MAX)] {
            let mut dispatcher = successor(2, if late { &[] } else { &["r", "q"] });
            let mut neighbour = full_report(&mut ManualRouter::new("q"), 2, vec![]);
            neighbour.backlog.remove(0);
            neighbour.statements = vec![statement("b", 1, 5_000_000, 5_000_000)];
            assert_eq!(dispatcher.finish_recovery(NOW), late);
            assert!(dispatcher.apply_report(NOW, &neighbour));
            let report = full_report(&mut ManualRouter::new("r"), 2, vec![]);
            let statements = vec![statement("a", 2, settled, floor)];
            dispatcher.apply_report(NOW, &DispatchReport { statements, ..report });
            assert!(dispatcher.finish_recovery(NOW));
            let (a, b) = (value(&dispatcher, "a"), value(&dispatcher, "b"));
            assert!(a <= b + DEBT_CAP, "a starves: {settled}, {floor}, late {late}");
            // In the late case no statement arrives during recovery, so the pool starts at zero.
            let minimum = if late { b } else { 5_000_000 * ACCOUNT_SCALE };
            assert!(a >= minimum, "a has credit: {settled}, {floor}, {late}");
            assert!(b <= a + DEBT_CAP, "b starves: {settled}, {floor}, late {late}");
        }
    }
}

/// Messages of the previous release have no `statements` field and must still be accepted. An
/// empty list must not be serialized.
#[test]
fn dispatch_messages_without_statements() {
    let mut router = ManualRouter::new("r");
    let (_, mut answer) = finish_one(&mut router);
    let mut json = serde_json::to_value(&answer).unwrap();
    assert!(json.as_object_mut().unwrap().remove("statements").is_some());
    answer.statements.clear();
    assert_eq!(serde_json::from_value::<DispatchAnswer>(json.clone()).unwrap(), answer);
    assert_eq!(serde_json::to_value(&answer).unwrap(), json, "an empty list is not serialized");
    let report = router.report(backlog(), vec![]);
    let json = serde_json::to_value(&report).unwrap();
    assert!(json.get("statements").is_none());
    assert_eq!(serde_json::from_value::<DispatchReport>(json).unwrap(), report);
}

/// Without a limit the statements would let a router's memory and full reports grow without bound.
/// The oldest statement must be dropped first.
#[test]
fn statement_store_drops_oldest() {
    let mut store = StatementStore::new(2);
    for (name, number) in [("a", 3), ("b", 1), ("c", 2), ("a", 1)] {
        store.record(&statement(name, number, 0, 0));
    }
    let kept: Vec<_> = store.iter().map(|kept| (&*kept.workspace, kept.stamp.number)).collect();
    assert_eq!(kept, [("a", 3), ("c", 2)]);
}
