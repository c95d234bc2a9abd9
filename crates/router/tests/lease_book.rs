//! Tests of the queues, grants and reports of a lease book in memory.

#![allow(clippy::unwrap_used)]

use baobabfall_core::account_statement::{AccountStatement, StatementStamp};
use baobabfall_core::dispatch_messages::{
    BacklogRefusal, DispatchAnswer, LeaseEnd, LeaseId, NodeIdentity, SlotGrant,
    UNKNOWN_FIRST_TOKEN_MS, UpstreamRoute,
};
use baobabfall_core::local_dispatcher::LOCAL_TERM;
use baobabfall_core::upstream_notices::UpstreamNotice;
use baobabfall_core::upstream_registry::{UpstreamKind, WorkTarget};
use baobabfall_router::lease_book::{
    GrantedSlot, LeaseBook, QueueDecision, QueueKey, WaitingRequest,
};
use quickcheck::{Arbitrary, Gen};
use std::time::Duration;
use tokio::sync::oneshot;

fn key() -> QueueKey {
    (WorkTarget::new(UpstreamKind::Model, "small".to_owned()), "team-a".to_owned())
}

fn identity() -> NodeIdentity {
    NodeIdentity { name: "router-1".to_owned(), incarnation: 1 }
}

fn enqueue(book: &mut LeaseBook, avoid: Option<&str>) -> oneshot::Receiver<QueueDecision> {
    let (decision_sender, receiver) = oneshot::channel();
    let number = book.next_number();
    let avoid = avoid.map(str::to_owned);
    let request =
        WaitingRequest { number, cost_hint: 5, prefix: None, avoid, decision_sender, prompt: None };
    book.enqueue(&key(), request);
    receiver
}

fn grant(term: u64, number: u64) -> SlotGrant {
    let (target, workspace) = key();
    let upstream = UpstreamRoute {
        name: "engine-1".to_owned(),
        incarnation: 1,
        address: "127.0.0.1:9000".parse().unwrap(),
        honours_fencing: false,
        resume: false,
        cancel: false,
        software: None,
        paced: false,
    };
    SlotGrant { lease: LeaseId { term, number }, target, workspace, upstream }
}

fn answer(term: u64, acknowledged: u64, grants: Vec<SlotGrant>) -> DispatchAnswer {
    let (resync, refusals, statements) = (false, Vec::new(), Vec::new());
    DispatchAnswer {
        term,
        acknowledged,
        resync,
        grants,
        refusals,
        routers: 1,
        statements,
        parts: None,
        limits: None,
        hold_ms: 0,
        origins: Vec::new(),
        neighbours: None,
    }
}

fn apply(book: &mut LeaseBook, answer: DispatchAnswer) {
    for (sender, decision) in book.apply_answer(answer).unwrap() {
        sender.send(decision).unwrap();
    }
}

fn take_granted_slot(receiver: &mut oneshot::Receiver<QueueDecision>) -> Option<GrantedSlot> {
    match receiver.try_recv() {
        Ok(QueueDecision::Granted(slot)) => Some(slot),
        _ => None,
    }
}

/// Guards against a request that is sent to an upstream which stated that it is leaving while the
/// grant was on its way, and against a statement that the dispatcher does not learn: a report with
/// it may be lost, and the next dispatcher knows nothing.
#[test]
fn record_notice_returns_grants_and_is_reported() {
    let mut book = LeaseBook::new();
    book.build_report(&identity(), "a", 0);
    apply(&mut book, answer(4, 1, vec![]));
    let mut waiting = enqueue(&mut book, None);
    let leaving = UpstreamNotice { leaving: true, ..UpstreamNotice::default() };
    assert!(book.record_notice(&grant(4, 1).upstream, leaving));
    apply(&mut book, answer(4, 1, vec![grant(4, 1)]));
    assert!(take_granted_slot(&mut waiting).is_none());
    let full = book.build_report(&identity(), "a", 0);
    assert_eq!((full.full, full.restrictions.len()), (true, 1));
    assert_eq!(full.usage[0].end, Some(LeaseEnd::Unused));
    book.report_lost(false);
    assert_eq!(book.build_report(&identity(), "a", 0).restrictions.len(), 1, "not acknowledged");
    apply(&mut book, answer(4, 3, vec![]));
    assert_eq!(book.build_report(&identity(), "a", 0).restrictions.len(), 0);
    let mut later = grant(4, 2);
    later.upstream.incarnation = 2;
    apply(&mut book, answer(4, 3, vec![later]));
    assert!(take_granted_slot(&mut waiting).is_some(), "its next incarnation stated nothing");
    apply(&mut book, answer(5, 0, vec![]));
    let report = book.build_report(&identity(), "a", 0);
    assert_eq!((report.full, report.restrictions.len()), (true, 1), "for the next dispatcher");
}

/// Guards against a slot that is used twice because its grant arrived twice, and against grants
/// of a former leader, which have an older term.
#[test]
fn apply_answer_repeated_or_older_grants_are_rejected() {
    let mut book = LeaseBook::new();
    let mut receivers: Vec<_> = (0..3).map(|_| enqueue(&mut book, None)).collect();
    apply(&mut book, answer(4, 0, vec![grant(4, 1)]));
    apply(&mut book, answer(4, 0, vec![grant(4, 1), grant(4, 2)]));
    apply(&mut book, answer(4, 0, vec![grant(3, 9)]));
    assert!(book.apply_answer(answer(3, 0, vec![grant(3, 9)])).is_none());
    let numbers: Vec<Option<u64>> =
        receivers.iter_mut().map(|r| take_granted_slot(r).map(|slot| slot.lease.number)).collect();
    assert_eq!(numbers, [Some(1), Some(2), None]);
    assert_eq!(book.build_report(&identity(), "a", 0).received_grant, 2);
}

/// Guards against a slot that stays reserved although no waiting request can use its grant.
#[test]
fn apply_answer_unmatched_grant_is_returned() {
    let mut book = LeaseBook::new();
    let mut receiver = enqueue(&mut book, Some("engine-1"));
    apply(&mut book, answer(4, 0, vec![grant(4, 1)]));
    assert!(
        take_granted_slot(&mut receiver).is_none(),
        "the request must not use the upstream that it avoids"
    );
    let report = book.build_report(&identity(), "a", 0);
    assert_eq!(report.usage[0].end, Some(LeaseEnd::Unused));
    assert_eq!(
        (report.backlog[0].queued, report.backlog[0].avoid.as_deref()),
        (1, Some("engine-1"))
    );
}

/// Guards against a refusal that rejects the requests that have waited longest.
#[test]
fn apply_answer_refusal_keeps_the_oldest_requests() {
    let mut book = LeaseBook::new();
    let mut receivers: Vec<_> = (0..3).map(|_| enqueue(&mut book, None)).collect();
    let (target, workspace) = key();
    let refusal = BacklogRefusal { target, workspace, keep: 1, retry_after_ms: 700 };
    apply(&mut book, DispatchAnswer { refusals: vec![refusal], ..answer(4, 0, vec![]) });
    let refused: Vec<bool> = receivers
        .iter_mut()
        .map(|receiver| match receiver.try_recv() {
            Ok(QueueDecision::Refused(wait)) => wait == Duration::from_millis(700),
            _ => false,
        })
        .collect();
    assert_eq!(refused, [false, true, true]);
    assert_eq!(book.queued_for(&key()), 1);
}

/// Guards against changes that never reach the dispatcher because the report that carried them was
/// lost.
#[test]
fn build_report_repeats_changes_until_acknowledged() {
    let mut book = LeaseBook::new();
    let _receiver = enqueue(&mut book, None);
    let first = book.build_report(&identity(), "a", 0);
    assert!(first.full, "the first report of an incarnation must be full");
    let second = book.build_report(&identity(), "a", 0);
    assert_eq!((second.full, second.backlog.len(), second.sequence), (false, 1, 2));
    apply(&mut book, answer(4, 2, vec![]));
    let third = book.build_report(&identity(), "a", 0);
    assert!(third.full && third.term == 4, "the first report in a new term must be full");
    apply(&mut book, answer(4, 3, vec![grant(4, 1)]));
    book.end_lease(LeaseId { term: 4, number: 1 }, LeaseEnd::Failed);
    for _ in 0..2 {
        let report = book.build_report(&identity(), "a", 0);
        assert_eq!(report.usage[0].end, Some(LeaseEnd::Failed));
        assert_eq!(report.backlog[0].queued, 0);
    }
    apply(&mut book, answer(4, 5, vec![]));
    let last = book.build_report(&identity(), "a", 0);
    assert!(last.usage.is_empty() && last.backlog.is_empty() && !book.is_changed());
}

/// Guards against a full report that is lost and never sent again.
#[test]
fn report_lost_full_report_is_sent_again() {
    let mut book = LeaseBook::new();
    assert!(book.build_report(&identity(), "a", 0).full);
    book.report_lost(true);
    assert!(book.build_report(&identity(), "a", 0).full);
}

/// Guards against charges that are lost when the ended leases of a long local mode are merged to
/// bound memory use.
#[test]
fn merge_local_leases_keeps_the_charge() {
    let mut book = LeaseBook::new();
    for number in 1..=600 {
        let mut receiver = enqueue(&mut book, None);
        for (sender, decision) in book.apply_local_grants(vec![grant(LOCAL_TERM, number)]) {
            sender.send(decision).unwrap();
        }
        take_granted_slot(&mut receiver).unwrap().meter.charge(10);
        book.end_lease(LeaseId { term: LOCAL_TERM, number }, LeaseEnd::Finished);
        book.merge_local_leases();
    }
    let usage: Vec<_> = book.lease_usage().collect();
    assert!(usage.len() < 300, "{} leases remain after merging", usage.len());
    assert_eq!(usage.iter().map(|usage| usage.charged).sum::<u64>(), 6000);
}

/// Guards against requests that overtake each other in a queue, are granted twice or are lost, for
/// random orders of arrival, departure and grant. A plain list serves as the model.
#[test]
fn enqueue_remove_grant_matches_list_model() {
    let mut generator = Gen::from_size_and_seed(60, 5);
    let mut grants = 0;
    for _ in 0..300 {
        let mut book = LeaseBook::new();
        let mut waiting: Vec<(u64, oneshot::Receiver<QueueDecision>)> = Vec::new();
        let (mut request_number, mut grant_number) = (0, 0);
        for step in Vec::<u8>::arbitrary(&mut generator) {
            match step % 4 {
                0 | 1 => {
                    request_number += 1;
                    let receiver = enqueue(&mut book, None);
                    waiting.push((request_number, receiver));
                }
                2 if !waiting.is_empty() => {
                    let (removed, _) = waiting.remove(usize::from(step) % waiting.len());
                    assert!(book.remove(&key(), removed));
                    assert!(!book.remove(&key(), removed));
                }
                _ => {
                    grant_number += 1;
                    apply(&mut book, answer(1, 0, vec![grant(1, grant_number)]));
                    if !waiting.is_empty() {
                        let (_, mut receiver) = waiting.remove(0);
                        assert_eq!(
                            take_granted_slot(&mut receiver).unwrap().lease.number,
                            grant_number
                        );
                        grants += 1;
                    }
                }
            }
            assert_eq!(book.queued(), waiting.len());
        }
    }
    assert!(grants > 500, "only {grants} grants were matched");
}

/// Guards against reports that repeat the names of a lease for every charge, against the end of a
/// lease that is reported without its last charge, and against a full report without the running
/// leases. The time to the first token counts from the grant, because a wait in the queue would
/// otherwise be taken for overload of the upstream.
#[tokio::test(start_paused = true)]
async fn build_report_sends_charges_by_lease_number() {
    let mut book = LeaseBook::new();
    let mut receiver = enqueue(&mut book, None);
    tokio::time::advance(Duration::from_secs(5)).await;
    apply(&mut book, answer(4, 0, vec![grant(4, 1)]));
    let slot = take_granted_slot(&mut receiver).unwrap();
    book.build_report(&identity(), "a", 0);
    apply(&mut book, answer(4, 1, vec![]));
    slot.meter.charge(10);
    let long_poll = book.build_report(&identity(), "a", 200);
    assert!(
        long_poll.usage.is_empty() && long_poll.charges.is_empty(),
        "a long poll must not repeat charges"
    );
    let report = book.build_report(&identity(), "a", 0);
    assert_eq!((report.usage.len(), report.charges), (0, vec![(1, 10)]));
    assert!(book.build_report(&identity(), "a", 0).charges.is_empty());
    slot.meter.charge(5);
    tokio::time::advance(Duration::from_millis(3)).await;
    slot.meter.set_first_token(tokio::time::Instant::now());
    let report = book.build_report(&identity(), "a", 0);
    assert_eq!(
        report.usage[0].first_token_ms,
        Some(3),
        "the time of the first token must be reported with the whole lease"
    );
    apply(&mut book, answer(4, report.sequence, vec![]));
    slot.meter.charge(5);
    book.end_lease(slot.lease, LeaseEnd::Finished);
    let long_poll = book.build_report(&identity(), "a", 200);
    assert_eq!(
        (long_poll.usage[0].charged, long_poll.usage[0].end),
        (20, Some(LeaseEnd::Finished))
    );
    apply(&mut book, DispatchAnswer { resync: true, ..answer(4, 0, vec![grant(4, 2)]) });
    let full = book.build_report(&identity(), "a", 200);
    assert_eq!((full.full, full.usage.len()), (true, 2));
}

/// Guards against a router whose event loop runs late and that reports its own delay as that of
/// the engine, which then gets less work from every router.
#[tokio::test(start_paused = true)]
async fn first_token_after_late_receipt_is_unknown() {
    let mut book = LeaseBook::new();
    for (number, expected) in [(4, 30), (40, UNKNOWN_FIRST_TOKEN_MS)] {
        let mut receiver = enqueue(&mut book, None);
        apply(&mut book, answer(4, 0, vec![grant(4, number)]));
        let slot = take_granted_slot(&mut receiver).unwrap();
        tokio::time::advance(Duration::from_millis(number)).await;
        slot.meter.set_receipt(tokio::time::Instant::now());
        tokio::time::advance(Duration::from_millis(30)).await;
        slot.meter.set_first_token(tokio::time::Instant::now());
        slot.meter.charge(10);
        let report = book.build_report(&identity(), "a", 0);
        let usage = report.usage.iter().find(|usage| usage.lease == slot.lease).unwrap();
        assert_eq!(usage.first_token_ms, Some(expected));
    }
}

/// Guards against a router that loses the account statements which the next dispatcher needs, or
/// that sends them with every report instead of only with full ones.
#[test]
fn build_report_full_carries_latest_statements() {
    let mut book = LeaseBook::new();
    let new_statement = |term, number, settled| AccountStatement {
        kind: UpstreamKind::Model,
        pool: "models".to_owned(),
        workspace: "team-a".to_owned(),
        stamp: StatementStamp { term, number },
        settled,
        floor: 0,
    };
    for statement in [new_statement(4, 2, 900), new_statement(4, 1, 300), new_statement(3, 9, 100)]
    {
        let statements = vec![statement];
        apply(&mut book, DispatchAnswer { statements, ..answer(4, 0, vec![]) });
    }
    let identity = NodeIdentity { name: "r".to_owned(), incarnation: 1 };
    let report = book.build_report(&identity, "a", 0);
    assert!(report.full);
    assert_eq!(report.statements, [new_statement(4, 2, 900)]);
    assert_eq!(book.build_report(&identity, "a", 0).statements, []);
    apply(&mut book, answer(5, 0, vec![]));
    assert_eq!(book.build_report(&identity, "a", 0).statements, [new_statement(4, 2, 900)]);
}
