//! Tests of the control state, the table history and the action ledger.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use baobabfall_core::action_ledger::*;
use baobabfall_core::control_command::*;
use baobabfall_core::control_state::*;
use baobabfall_core::dispatch_messages::NodeIdentity;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::phase_chart::PhaseChart;
use baobabfall_core::replica_messages::LogEntry;
use baobabfall_core::state_chart::{ACTION_CHART, CompiledChart};
use baobabfall_core::table_history::{DifferenceContent, REVISION_LIMIT};
use baobabfall_core::workspace_table::{RowChange, WorkspaceRow, WorkspaceTable, hash_key};
use baobabfall_core::zone_evacuations::{EvacuationAnswer, EvacuationOrder, ZONE_LIMIT};
use quickcheck::{Arbitrary, Gen};
use std::time::Duration;

/// 2026-12-03T00:00:00Z.
const DAY_START: u64 = 1_796_256_000_000;
const DAY: u64 = 86_400_000;

fn row(name: &str, weight: u32) -> WorkspaceRow {
    let (requests_per_minute, tokens_per_minute) = (1, 1);
    let key_hashes = vec![hash_key(name)];
    let (concurrency, queue_length, request_kib, protected) = (1, 1, 1, false);
    WorkspaceRow {
        name: name.to_owned(),
        key_hashes,
        weight,
        concurrency,
        requests_per_minute,
        tokens_per_minute,
        queue_length,
        request_kib,
        protected,
    }
}

fn put(name: &str, weight: u32) -> RowChange {
    RowChange::Put { row: row(name, weight) }
}

fn edit_identity(id: &str) -> EditIdentity {
    EditIdentity { operator: "ana".into(), id: id.into() }
}

fn edit(id: &str, base_revision: u64, changes: Vec<RowChange>) -> ControlCommand {
    ControlCommand::EditTable { edit: edit_identity(id), base_revision, changes }
}

fn apply(state: &mut ControlState, time_ms: u64, command: ControlCommand) -> ControlAnswer {
    let index = state.applied_index() + 1;
    state.apply(&LogEntry { index, term: 1, time_ms, command })
}

fn refused(answer: ControlAnswer) -> EditRefusal {
    match answer {
        ControlAnswer::Refused(refusal) => *refusal,
        other => panic!("not refused: {other:?}"),
    }
}

/// Guards against a late announcement that is accepted by a controller that restored its state from
/// a snapshot.
#[test]
fn unnamed_departures_survive_snapshot() {
    let leave = |name: &str, unnamed| {
        let name = name.to_owned();
        ControlCommand::UpstreamLeft { name, incarnation: 0, unnamed }
    };
    let mut state = ControlState::default();
    apply(&mut state, 1_000, leave("u", true));
    apply(&mut state, 3_500, leave("v", false));
    let state = ControlState::from_snapshot(&state.to_snapshot().unwrap()).unwrap();
    let departures = state.unnamed_departures();
    assert_eq!(departures.len(), 1);
    assert_eq!(departures.get("u").unwrap().age, Duration::from_millis(2_500));
    assert!(state.deregistered_version() >= departures.get("u").unwrap().number);
}

/// Guards against a resent edit that is applied twice, also after a snapshot is
/// restored, and against an edit id that is reused for another edit.
#[test]
fn edit_sent_again_gets_its_first_answer() {
    let mut state = ControlState::default();
    let first = apply(&mut state, 5, edit("e1", 0, vec![put("team-a", 1)]));
    apply(&mut state, 6, edit("e2", 1, vec![put("team-b", 2)]));
    let mut state = ControlState::from_snapshot(&state.to_snapshot().unwrap()).unwrap();
    assert_eq!(apply(&mut state, 7, edit("e1", 0, vec![put("team-a", 1)])), first);
    let other = refused(apply(&mut state, 8, edit("e1", 2, vec![put("team-a", 3)])));
    assert_eq!((other.kind, state.history().revision()), (ErrorKind::EditReused, 2));
}

/// Guards against an edit that silently overwrites the edit of another operator. An
/// edit on an old revision is rejected with the changes since that revision.
#[test]
fn edit_on_old_revision_gets_the_difference() {
    let mut state = ControlState::default();
    apply(&mut state, 5, edit("e1", 0, vec![put("team-a", 1), put("team-b", 1)]));
    let removal = RowChange::Remove { name: "team-b".into() };
    apply(&mut state, 6, edit("e2", 1, vec![put("team-a", 7), removal.clone()]));
    let refusal = refused(apply(&mut state, 7, edit("e3", 1, vec![put("team-c", 1)])));
    assert_eq!((refusal.kind, refusal.revision), (ErrorKind::RevisionConflict, 2));
    let difference = refusal.difference.unwrap();
    assert_eq!(difference.content, DifferenceContent::Changes(vec![put("team-a", 7), removal]));
    assert_eq!(difference.digest, state.history().table().digest());
}

/// Guards against an edit that makes the table invalid, so that its exported CSV
/// could not be imported again.
#[test]
fn edit_with_invalid_rows_is_refused() {
    let mut state = ControlState::default();
    let mut shared = row("team-b", 1);
    shared.key_hashes = vec![hash_key("team-a")];
    let remove = RowChange::Remove { name: "team-x".into() };
    apply(&mut state, 5, edit("first", 0, vec![put("team-z", 1)]));
    let mut taken = row("team-b", 1);
    taken.key_hashes = vec![hash_key("team-z")];
    let cases = [
        vec![RowChange::Put { row: taken.clone() }],
        vec![put("team a", 1)],
        vec![put("team-a", 0)],
        vec![put("team-a", 1), RowChange::Put { row: shared }],
        vec![put("team-a", 1), put("team-a", 2)],
        vec![remove],
    ];
    for (number, changes) in cases.into_iter().enumerate() {
        let refusal = refused(apply(&mut state, 5, edit(&format!("e{number}"), 1, changes)));
        assert_eq!(refusal.kind, ErrorKind::InvalidTable, "case {number}");
    }
    // One edit may remove a workspace and give its key to another.
    let moved = vec![RowChange::Remove { name: "team-z".into() }, RowChange::Put { row: taken }];
    apply(&mut state, 5, edit("moved", 1, moved));
    assert_eq!(state.history().revision(), 2);
}

/// Guards against a router whose table differs after an incremental update from the
/// complete table, and against a rollback that restores other content. The reference
/// keeps a complete table per revision.
#[test]
fn changes_since_agrees_with_kept_tables() {
    let mut generator = Gen::from_size_and_seed(60, 3);
    for _ in 0..60 {
        let mut state = ControlState::default();
        let mut tables = vec![WorkspaceTable::default()];
        for (rollback, name, weight) in Vec::<(u8, u8, u8)>::arbitrary(&mut generator) {
            let last = tables.len() - 1;
            let base = state.history().revision();
            let id = format!("e{base}");
            let (command, next) = if rollback % 4 == 0 {
                let to = usize::from(weight) % tables.len();
                let to_revision = to as u64;
                let edit = edit_identity(&id);
                (
                    ControlCommand::Rollback { edit, base_revision: base, to_revision },
                    tables[to].clone(),
                )
            } else {
                let change = put(&format!("team-{}", name % 6), 1 + u32::from(weight));
                let mut next = tables[last].clone();
                next.apply(std::slice::from_ref(&change));
                (edit(&id, base, vec![change]), next)
            };
            assert!(matches!(apply(&mut state, 5, command), ControlAnswer::Accepted(_)));
            tables.push(next);
        }
        for (revision, table) in tables.iter().enumerate() {
            assert_eq!(state.history().table_at(revision as u64).as_ref(), Some(table));
            let difference = state.changes_since(revision as u64);
            let DifferenceContent::Changes(changes) = difference.content else {
                panic!("the changes since revision {revision} must be kept")
            };
            let mut table = table.clone();
            table.apply(&changes);
            assert_eq!(table.digest(), difference.digest);
        }
    }
}

/// Guards against a history that grows without bound, and against wrong changes for
/// a base revision that was dropped or is unknown.
#[test]
fn history_keeps_the_last_revisions() {
    let mut state = ControlState::default();
    let last = REVISION_LIMIT as u64 + 10;
    for base in 0..last {
        apply(
            &mut state,
            base,
            edit(&format!("e{base}"), base, vec![put("team-a", 1 + u32::try_from(base).unwrap())]),
        );
    }
    assert_eq!(state.history().revisions().len(), REVISION_LIMIT);
    let oldest = state.history().revisions().next().unwrap();
    assert_eq!((oldest.revision, oldest.operator.as_str(), oldest.time_ms), (11, "ana", 10));
    assert!(matches!(state.changes_since(10).content, DifferenceContent::Changes(_)));
    for unknown in [9, last + 1] {
        assert!(matches!(state.changes_since(unknown).content, DifferenceContent::Whole(_)));
    }
    let command =
        ControlCommand::Rollback { edit: edit_identity("r"), base_revision: last, to_revision: 9 };
    assert_eq!(refused(apply(&mut state, 9, command)).kind, ErrorKind::NotFound);
}

/// Guards against a planned stop that ends by itself when its limit passes, which
/// would send work to a draining target, and against a removed node that claims
/// actions again.
#[test]
fn stop_outlasts_limit_and_removed_node_stays_out() {
    let mut state = ControlState::default();
    let target = StopTarget { kind: StopKind::Host, name: "host-1".into() };
    let announce = ControlCommand::AnnounceStop {
        edit: edit_identity("s1"),
        target: target.clone(),
        limit_ms: Some(100),
    };
    apply(&mut state, DAY_START, announce);
    assert_eq!((state.stops().len(), state.stops_version()), (1, 1));
    apply(&mut state, DAY_START + 100, ControlCommand::Blank);
    assert_eq!((state.stops().len(), state.stops_version()), (1, 1));
    let cancel = ControlCommand::CancelStop { edit: edit_identity("s2"), target: target.clone() };
    apply(&mut state, DAY_START + 101, cancel);
    assert_eq!((state.stops().len(), state.stops_version()), (0, 2));
    apply(&mut state, DAY_START, ControlCommand::Blank);
    assert_eq!(state.time_ms(), DAY_START + 101, "the log time must not decrease");
    let cancel = ControlCommand::CancelStop { edit: edit_identity("s3"), target };
    assert_eq!(refused(apply(&mut state, DAY_START, cancel)).kind, ErrorKind::NotFound);
    let node = router(4);
    let remove = ControlCommand::RemoveNode { edit: edit_identity("n1"), node: node.clone() };
    apply(&mut state, DAY_START, remove);
    assert!(state.is_removed(&node) && !state.is_removed(&router(5)));
    let claims = vec![claim("20261203-a", 4, 1)];
    let answer = apply(&mut state, DAY_START, ControlCommand::Claims { claims });
    let stale = ClaimAnswer::Refused(ErrorKind::StaleIncarnation);
    assert_eq!(answer, ControlAnswer::Claims(vec![stale]));
}

fn router(incarnation: u64) -> NodeIdentity {
    NodeIdentity { name: "router-1".into(), incarnation }
}

fn claim(key: &str, incarnation: u64, attempt: u64) -> ActionClaim {
    let key = ActionKey::new("team-a", "payout", key);
    let path = "/payout".into();
    ActionClaim { key, body_digest: [1; 32], router: router(incarnation), attempt, path }
}

fn ledger() -> ActionLedger {
    let mut ledger = ActionLedger::default();
    ledger.advance(DAY_START);
    ledger
}

const PAID: ActionOutcome = ActionOutcome { status: 200, digest: [2; 32] };

/// Guards against a chart with an unreachable state, and against an unintended
/// change of the events that each state accepts.
#[test]
fn action_chart_answers_every_event() {
    let chart = CompiledChart::parse(ACTION_CHART).unwrap();
    let phases = PhaseChart::parse(ACTION_CHART, &ACTION_PHASES).unwrap();
    let mut reached = vec![ActionPhase::Running];
    let mut next = 0;
    let mut rejected = 0;
    while next < reached.len() {
        for event in chart.event_names() {
            match phases.step(reached[next], event) {
                Ok(phase) if !reached.contains(&phase) => reached.push(phase),
                Ok(_) => {}
                Err(_) => rejected += 1,
            }
        }
        next += 1;
    }
    assert_eq!((reached.len(), chart.event_names().len(), rejected), (5, 5, 25 - 8));
}

/// Guards against an action that is granted a second time, in each of its phases,
/// and so could run twice.
#[test]
fn claim_key_twice_is_refused() {
    let mut ledger = ledger();
    let first = claim("20261203-a", 1, 1);
    let token = FencingToken { term: 7, number: 1 };
    assert_eq!(ledger.claim(7, &first), ClaimAnswer::Granted(token));
    assert_eq!(ledger.claim(8, &first), ClaimAnswer::Granted(token), "the same attempt");
    let second = claim("20261203-a", 1, 2);
    assert_eq!(ledger.claim(8, &second), ClaimAnswer::Running);
    let reused = ActionClaim { body_digest: [9; 32], ..second.clone() };
    assert_eq!(ledger.claim(8, &reused), ClaimAnswer::Refused(ErrorKind::KeyReused));
    ledger.advance(DAY_START + CLAIM_LEASE_MS + CLAIM_MARGIN_MS - 1);
    assert_eq!(ledger.claim(8, &second), ClaimAnswer::Running);
    ledger.advance(DAY_START + CLAIM_LEASE_MS + CLAIM_MARGIN_MS);
    assert_eq!(ledger.claim(8, &first), ClaimAnswer::Unknown { ran: None });
    let (key, record) = ledger.unresolved().next().unwrap();
    assert_eq!((key, record.token), (&first.key, token));
    let resolution =
        ActionResolution { operator: "ana".into(), time_ms: 1, ran: true, note: "".into() };
    assert!(ledger.resolve(&first.key, resolution.clone()).unwrap().ran);
    assert_eq!(ledger.claim(8, &first), ClaimAnswer::Unknown { ran: Some(true) });
    assert_eq!(ledger.resolve(&first.key, resolution), Err(ErrorKind::RevisionConflict));
    let report = OutcomeReport { key: first.key.clone(), token, outcome: PAID };
    let stale = OutcomeReport { token: FencingToken { term: 8, number: 1 }, ..report.clone() };
    assert_eq!(ledger.record_outcome(&stale), OutcomeAnswer::Refused(ErrorKind::StaleToken));
    assert_eq!(ledger.record_outcome(&report), OutcomeAnswer::Recorded);
    let other = OutcomeReport { outcome: ActionOutcome { status: 500, ..PAID }, ..report };
    assert_eq!(ledger.record_outcome(&other), OutcomeAnswer::Repeated(PAID));
    assert_eq!(ledger.claim(8, &second), ClaimAnswer::Known(PAID));
}

/// Guards against a claim that stays running after its router restarted and lost
/// track of it.
#[test]
fn claim_of_restarted_router_becomes_unknown() {
    let mut ledger = ledger();
    ledger.claim(1, &claim("20261203-a", 1, 1));
    ledger.claim(1, &claim("20261203-b", 2, 1));
    assert_eq!(ledger.unresolved().count(), 1);
    let late = claim("20261203-c", 1, 2);
    assert_eq!(ledger.claim(1, &late), ClaimAnswer::Refused(ErrorKind::StaleIncarnation));
    ledger.router_seen(&router(3));
    assert_eq!((ledger.unresolved().count(), ledger.next_deadline_ms()), (2, None));
}

/// Guards against an action that runs again because its record was dropped: a key
/// outside the retention period must be rejected.
#[test]
fn key_outside_retention_is_refused() {
    let mut ledger = ledger();
    let cases = [
        ("20261125-a", Some(ErrorKind::KeyExpired)),
        ("20261126-a", None),
        ("20261204-a", None),
        ("20261205-a", Some(ErrorKind::MalformedRequest)),
        ("20260230-a", Some(ErrorKind::MalformedRequest)),
        ("20261203-", Some(ErrorKind::MalformedRequest)),
        ("2026120-aa", Some(ErrorKind::MalformedRequest)),
        ("é0261203-a", Some(ErrorKind::MalformedRequest)),
    ];
    for (key, refusal) in cases {
        let answer = ledger.claim(1, &claim(key, 1, 1));
        match refusal {
            Some(kind) => assert_eq!(answer, ClaimAnswer::Refused(kind), "{key}"),
            None => assert!(matches!(answer, ClaimAnswer::Granted(_)), "{key}: {answer:?}"),
        }
    }
    let first = ActionKey::new("team-a", "payout", "20261126-a");
    let token = FencingToken { term: 1, number: 1 };
    ledger.record_outcome(&OutcomeReport { key: first.clone(), token, outcome: PAID });
    ledger.advance(DAY_START + DAY);
    assert_eq!((ledger.len(), ledger.get(&first).is_none()), (1, true));
    let answer = ledger.claim(1, &claim("20261126-a", 1, 2));
    assert_eq!(answer, ClaimAnswer::Refused(ErrorKind::KeyExpired));
    // An unresolved action stays listed for longer, although its key is expired.
    ledger.advance(DAY_START + 20 * DAY);
    assert_eq!(ledger.unresolved().count(), 1);
    // A clock that is set back must not make an expired key valid again.
    ledger.advance(DAY_START);
    let answer = ledger.claim(1, &claim("20261203-z", 1, 3));
    assert_eq!(answer, ClaimAnswer::Refused(ErrorKind::KeyExpired));
    ledger.advance(DAY_START + 40 * DAY);
    assert!(ledger.is_empty());
}

/// Guards against a fencing token that is granted twice because the last number is
/// lost when a snapshot is restored.
#[test]
fn token_grows_over_snapshot() {
    let mut state = ControlState::default();
    let claims = |key| ControlCommand::Claims { claims: vec![claim(key, 1, 1)] };
    apply(&mut state, DAY_START, claims("20261203-a"));
    let mut state = ControlState::from_snapshot(&state.to_snapshot().unwrap()).unwrap();
    let answer = apply(&mut state, DAY_START, claims("20261203-b"));
    let token = FencingToken { term: 1, number: 2 };
    assert_eq!(answer, ControlAnswer::Claims(vec![ClaimAnswer::Granted(token)]));
}

/// Guards against a key that stays claimed when the answer to the claim was lost and
/// the router gave up. The router then releases it without knowing its token.
#[test]
fn release_by_attempt_after_a_lost_answer() {
    let mut ledger = ledger();
    let first = claim("20261203-a", 1, 1);
    ledger.claim(1, &first);
    let release = ReleaseReport {
        key: first.key,
        token: FencingToken::default(),
        router: router(1),
        attempt: 1,
    };
    let other = ReleaseReport { router: router(2), ..release.clone() };
    assert_eq!(ledger.release(&other), OutcomeAnswer::Refused(ErrorKind::StaleToken));
    assert_eq!(ledger.release(&release), OutcomeAnswer::Recorded);
    let second = ledger.claim(1, &claim("20261203-a", 1, 2));
    assert_eq!(second, ClaimAnswer::Granted(FencingToken { term: 1, number: 2 }));
    assert_eq!(ledger.next_deadline_ms(), Some(DAY_START + CLAIM_LEASE_MS + CLAIM_MARGIN_MS));
}

/// Guards against a key that stays claimed after its router released it, and against
/// a late release that frees a later claim or one whose action has run.
#[test]
fn release_frees_only_its_own_unsettled_claim() {
    let mut ledger = ActionLedger::default();
    ledger.advance(DAY_START);
    let ClaimAnswer::Granted(first) = ledger.claim(1, &claim("20261203-a", 1, 1)) else {
        panic!("the key must be free")
    };
    let release = |token| ReleaseReport {
        key: claim("20261203-a", 1, 1).key,
        token,
        router: router(1),
        attempt: 1,
    };
    assert_eq!(ledger.release(&release(first)), OutcomeAnswer::Recorded);
    let ClaimAnswer::Granted(second) = ledger.claim(1, &claim("20261203-a", 1, 2)) else {
        panic!("the key must be free again after the release")
    };
    assert!(second > first);
    let stale = OutcomeAnswer::Refused(ErrorKind::StaleToken);
    assert_eq!(ledger.release(&release(first)), stale);
    assert_eq!(ledger.claim(1, &claim("20261203-a", 1, 3)), ClaimAnswer::Running);
    let unknown = FencingToken::default();
    assert_eq!(ledger.release(&release(unknown)), stale, "attempt 2 holds the claim");
    let outcome = ActionOutcome { status: 200, digest: [2; 32] };
    let key = release(second).key;
    ledger.record_outcome(&OutcomeReport { key, token: second, outcome });
    assert_eq!(ledger.release(&release(second)), stale);
    assert_eq!(ledger.claim(1, &claim("20261203-a", 1, 4)), ClaimAnswer::Known(outcome));
}

/// Guards against two workspaces with the same key, and against rejecting an edit
/// that moves a key from one workspace to another.
#[test]
fn edit_moving_a_key_requires_its_removal_from_the_other_workspace() {
    let mut state = ControlState::default();
    apply(&mut state, 5, edit("e1", 0, vec![put("team-a", 1), put("team-b", 1)]));
    let with_key = |name: &str, key: &str| RowChange::Put {
        row: WorkspaceRow { key_hashes: vec![hash_key(key)], ..row(name, 2) },
    };
    for (name, key) in [("team-a", "team-b"), ("team-b", "team-a"), ("team-c", "team-a")] {
        let changes = vec![with_key(name, key)];
        let refusal = refused(apply(&mut state, 6, edit(name, 1, changes)));
        assert_eq!(refusal.kind, ErrorKind::InvalidTable);
        assert!(refusal.message.contains(name) && refusal.message.contains(key), "{refusal:?}");
    }
    let swap = vec![with_key("team-a", "team-b"), with_key("team-b", "team-a")];
    apply(&mut state, 7, edit("e2", 1, swap));
    let moved = vec![RowChange::Remove { name: "team-a".into() }, with_key("team-c", "team-b")];
    apply(&mut state, 8, edit("e3", 2, moved));
    assert_eq!(state.history().revision(), 3);
}

fn evacuate(zone: &str, evacuated: bool, seen: u64) -> ControlCommand {
    let order = EvacuationOrder { zone: zone.to_owned(), evacuated, seen };
    ControlCommand::EvacuateZone { order }
}

fn apply_order(
    state: &mut ControlState,
    zone: &str,
    evacuated: bool,
    seen: u64,
) -> EvacuationAnswer {
    match apply(state, 1, evacuate(zone, evacuated, seen)) {
        ControlAnswer::Evacuation(answer) => answer,
        other => panic!("unexpected answer {other:?}"),
    }
}

/// Guards against an order that is refused or changes the set again when it is resent because its
/// acknowledgement was lost.
#[test]
fn evacuation_sent_again_changes_nothing() {
    let mut state = ControlState::default();
    for _ in 0..2 {
        assert_eq!(apply_order(&mut state, "z1", true, 0), EvacuationAnswer::InForce(1));
    }
    for _ in 0..2 {
        assert_eq!(apply_order(&mut state, "z1", false, 1), EvacuationAnswer::InForce(2));
    }
    assert_eq!(apply_order(&mut state, "z2", false, 2), EvacuationAnswer::InForce(2));
    assert!(state.evacuations().list().zones.is_empty());
}

/// Guards against a copy of an order that was held up on its way and reverts a later one.
#[test]
fn evacuation_late_copy_is_overtaken() {
    let mut state = ControlState::default();
    apply_order(&mut state, "z1", true, 0);
    apply_order(&mut state, "z1", false, 1);
    apply_order(&mut state, "z2", true, 2);
    assert_eq!(apply_order(&mut state, "z1", true, 0), EvacuationAnswer::Overtaken(3));
    assert_eq!(apply_order(&mut state, "z2", false, 1), EvacuationAnswer::Overtaken(3));
    assert_eq!(state.evacuations().list().zones, ["z2"]);
    assert_eq!(apply_order(&mut state, "z1", true, 3), EvacuationAnswer::InForce(4));
}

/// Guards against evacuations that a controller loses when it restores its state from a snapshot,
/// and against late copies that it then takes for new orders.
#[test]
fn evacuations_survive_snapshot() {
    let mut state = ControlState::default();
    apply_order(&mut state, "z2", true, 0);
    apply_order(&mut state, "z1", true, 1);
    apply_order(&mut state, "z2", false, 2);
    let mut state = ControlState::from_snapshot(&state.to_snapshot().unwrap()).unwrap();
    let list = state.evacuations().list_since(2).unwrap();
    assert_eq!((list.version, list.zones), (3, vec!["z1".to_owned()]));
    assert!(state.evacuations().list_since(3).is_none());
    assert_eq!(apply_order(&mut state, "z2", true, 1), EvacuationAnswer::Overtaken(3));
}

/// Guards against a log in which orders for ever new names fill the memory of every controller,
/// and against an order in force that is refused once the limit is reached.
#[test]
fn evacuation_of_many_zones_is_limited() {
    let mut state = ControlState::default();
    for number in 0..ZONE_LIMIT {
        apply_order(&mut state, &format!("z{number}"), true, 0);
    }
    assert_eq!(apply_order(&mut state, "more", true, 999), EvacuationAnswer::LimitReached);
    assert!(matches!(apply_order(&mut state, "z7", true, 0), EvacuationAnswer::InForce(_)));
    for number in 0..3 * ZONE_LIMIT {
        let seen = state.evacuations().version();
        apply_order(&mut state, "z7", number % 2 == 1, seen);
        let seen = state.evacuations().version();
        apply_order(&mut state, &format!("other{number}"), number % 2 == 0, seen);
        apply_order(&mut state, &format!("other{number}"), false, seen + 1);
    }
    assert!(state.to_snapshot().unwrap().len() < 64 * ZONE_LIMIT);
}
