//! Tests of groups of real controllers on the loopback interface: table edits, membership, syncs,
//! claims, announcements and dispatch.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod group_fixture;

use baobabfall_controller::dispatch_service::DispatchService;
use baobabfall_controller::membership::{JOIN_PATH, JoinRequest};
use baobabfall_core::dispatch_messages::{
    BacklogEntry, DispatchReport, LimitReport, NodeIdentity, OriginReport, PartReport,
};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::replica_members::{MemberChange, ReplicaIdentity};
use baobabfall_core::upstream_registry::{UpstreamAnnouncement, UpstreamKind, WorkTarget};
use baobabfall_core::workspace_table::WorkspaceTable;
use baobabfall_node::http_client::{PeerClient, PeerError};
use baobabfall_node::messages::{
    ANNOUNCE_PATH, ActionClaim, ActionOutcome, ActionReport, CLAIM_PATH, ClaimAnswer, ClaimRequest,
    NodeKind, OUTCOME_PATH, OutcomeRequest, SYNC_PATH, SyncAnswer, SyncRequest, WITHDRAW_PATH,
};
use baobabfall_node::operator_messages::{
    ConflictView, EditAnswer, HISTORY_PATH, HistoryEntry, MEMBERS_PATH, MembersView, ROLLBACK_PATH,
    TABLE_PATH, TableRollback, TableView,
};
use group_fixture::{CALL_TIMEOUT, GroupFixture, PROCESS_TOKEN, UPSTREAM_TOKEN, row_edit};
use serde_json::{Value, json};

fn expect_refusal(result: Result<EditAnswer, PeerError>) -> (ErrorKind, Vec<u8>) {
    match result {
        Err(PeerError::Refused { kind, body, .. }) => (kind, body.to_vec()),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Guards against an edit that is applied twice because it was resent, a concurrent edit that is
/// merged without a conflict error, and an edit id that is accepted for two different edits.
#[tokio::test]
async fn edit_table_resent_or_conflicting() {
    let group = GroupFixture::start(1).await;
    let first = group.put_row("e1", 0, "team-a", 3).await.unwrap();
    assert_eq!((first.revision, first.repeated), (1, false));
    let resent = group.put_row("e1", 0, "team-a", 3).await.unwrap();
    assert_eq!((resent.revision, resent.digest, resent.repeated), (1, first.digest, true));
    let (kind, body) = expect_refusal(group.put_row("e2", 0, "team-b", 1).await);
    let conflict: ConflictView = serde_json::from_slice(&body).unwrap();
    assert_eq!((kind, conflict.revision), (ErrorKind::RevisionConflict, 1));
    assert_eq!(conflict.changes, row_edit("", 0, "team-a", 3).changes);
    let (kind, _) = expect_refusal(group.put_row("e1", 1, "team-c", 1).await);
    assert_eq!(kind, ErrorKind::EditReused);
    let view: TableView = group.call_leader::<(), _>(TABLE_PATH, None).await.unwrap();
    assert_eq!((view.revision, view.csv.lines().count()), (1, 2));
}

/// Guards against a rollback that reuses a revision number, and against a history that lacks an
/// edit or its changes.
#[tokio::test]
async fn rollback_makes_a_new_revision() {
    let group = GroupFixture::start(1).await;
    group.put_row("e1", 0, "team-a", 3).await.unwrap();
    group.put_row("e2", 1, "team-a", 5).await.unwrap();
    let rollback = TableRollback {
        operator: "test".to_owned(),
        edit_id: "e3".to_owned(),
        base_revision: 2,
        to_revision: 1,
    };
    let answer: EditAnswer = group.call_leader(ROLLBACK_PATH, Some(&rollback)).await.unwrap();
    assert_eq!(answer.revision, 3);
    let history: Vec<HistoryEntry> = group.call_leader::<(), _>(HISTORY_PATH, None).await.unwrap();
    let ids: Vec<&str> = history.iter().map(|entry| entry.edit_id.as_str()).collect();
    assert_eq!(ids, ["e1", "e2", "e3"]);
    assert_eq!(history[2].changes, row_edit("", 0, "team-a", 3).changes);
}

/// Guards against an acknowledged edit that is lost when the leader fails, and against a restart of
/// the whole group that returns to an earlier revision.
#[tokio::test]
async fn edit_table_survives_lost_leader_and_restart() {
    let mut group = GroupFixture::start(3).await;
    group.wait_for_voters(3).await;
    for revision in 0..20 {
        group.put_row(&format!("e{revision}"), revision, "team-a", 1).await.unwrap();
    }
    let leader = group.leader().await;
    group.kill(leader).await;
    let next = group.leader().await;
    assert_ne!(next, leader);
    let view: TableView = group.call_leader::<(), _>(TABLE_PATH, None).await.unwrap();
    assert_eq!(view.revision, 20);
    group.put_row("after", 20, "team-b", 1).await.unwrap();
    group.restart(leader).await;
    let handle = group.controllers[leader].as_ref().unwrap();
    group.wait_for(|_| (handle.replica().state().history().revision() == 21).then_some(())).await;
    for index in 0..3 {
        group.kill(index).await;
    }
    for index in 0..3 {
        group.restart(index).await;
    }
    let view: TableView = group.call_leader::<(), _>(TABLE_PATH, None).await.unwrap();
    assert_eq!(view.revision, 21);
}

/// Guards against the first controller founding a second group after it lost its disk, and against
/// a replica that still counts as a voter under its identity from before the loss.
#[tokio::test]
async fn lost_disk_joins_the_group_again() {
    let mut group = GroupFixture::start(3).await;
    group.wait_for_voters(3).await;
    group.put_row("e1", 0, "team-a", 3).await.unwrap();
    group.kill(0).await;
    group.clear_data_folder(0);
    group.restart(0).await;
    group.wait_for_voters(3).await;
    let handle = group.controllers[0].as_ref().unwrap();
    group.wait_for(|_| (handle.replica().state().history().revision() == 1).then_some(())).await;
    // A second controller fails right after the repair. The repaired one must count for the
    // quorum.
    let other = [1, 2].into_iter().find(|index| *index != 0).unwrap();
    group.kill(other).await;
    assert_eq!(group.put_row("e2", 1, "team-b", 1).await.unwrap().revision, 2);
}

/// Guards against a removed controller that joins again after a restart, and against an unknown
/// replica that becomes a voter by asking to join.
#[tokio::test]
async fn removed_controller_stays_out_and_unknown_replica_is_refused() {
    let mut group = GroupFixture::start(3).await;
    group.wait_for_voters(3).await;
    let leader = group.leader().await;
    let removed = (leader + 1) % 3;
    let edit = json!({"operator": "test", "name": format!("c{removed}")});
    let _: Value = group.call_leader(MEMBERS_PATH, Some(&edit)).await.unwrap();
    group.kill(removed).await;
    group.restart(removed).await;
    let unknown_replica = JoinRequest {
        identity: ReplicaIdentity { name: "stranger".to_owned(), id: 99 },
        address: group.address(removed),
    };
    let client = PeerClient::new(group.address(leader));
    let join_result: Result<(), _> =
        client.call(JOIN_PATH, PROCESS_TOKEN, &unknown_replica, CALL_TIMEOUT).await;
    assert_eq!(join_result.unwrap_err().kind(), ErrorKind::Forbidden);
    // A replica that asks to join does so every 250 ms, so 1500 ms are enough for it to be added.
    tokio::time::sleep(std::time::Duration::from_millis(1500)).await;
    let members: MembersView = group.call_leader::<(), _>(MEMBERS_PATH, None).await.unwrap();
    assert_eq!((members.voters.len(), members.learners.len()), (2, 0), "{members:?}");
}

/// Guards against a membership change that is refused only because another one, or the first entry
/// of the leader's term, is about to be committed: operators would have to repeat the command.
#[tokio::test]
async fn change_members_waits_for_pending_change() {
    let group = GroupFixture::start(3).await;
    group.wait_for_voters(3).await;
    let leader = group.leader().await;
    let replica = group.controllers[leader].as_ref().unwrap().replica();
    let members = replica.view().members;
    let mut others = members.iter().filter(|member| member.identity.name != format!("c{leader}"));
    let mut remove = || {
        let id = others.next().unwrap().identity.id;
        replica.change_members(MemberChange::Remove { id })
    };
    let (first, second) = tokio::join!(remove(), remove());
    assert!(first.is_ok(), "{first:?}");
    assert!(second.is_ok(), "{second:?}");
    assert_eq!(replica.view().members.voters().count(), 1);
}

fn sync_request(revision: u64) -> SyncRequest {
    SyncRequest {
        routes_version: 0,
        node: NodeIdentity { name: "router-1".to_owned(), incarnation: 1 },
        kind: NodeKind::Router,
        zone: "z0".to_owned(),
        revision,
        stops_version: 0,
        registry_version: (0, 0),
        in_progress: 0,
        wait_ms: 0,
        departures_version: 0,
        leader_term: u64::MAX,
        evacuations_version: 0,
        origins: None,
    }
}

/// Guards against sync answers that are marked as confirmed although they may be stale: those of a
/// follower, or of a leader that lost its quorum.
#[tokio::test]
async fn sync_is_confirmed_by_the_leader_with_quorum_only() {
    let mut group = GroupFixture::start(3).await;
    group.wait_for_voters(3).await;
    group.put_row("e1", 0, "team-a", 3).await.unwrap();
    let leader = group.leader().await;
    for index in 0..3 {
        let client = PeerClient::new(group.address(index));
        let answer: SyncAnswer =
            client.call(SYNC_PATH, PROCESS_TOKEN, &sync_request(0), CALL_TIMEOUT).await.unwrap();
        assert_eq!(answer.confirmed, index == leader);
    }
    for index in (0..3).filter(|index| *index != leader) {
        group.kill(index).await;
    }
    let handle = group.controllers[leader].as_ref().unwrap();
    group.wait_for(|_| (!handle.replica().view().leads).then_some(())).await;
    let client = PeerClient::new(group.address(leader));
    let answer: SyncAnswer =
        client.call(SYNC_PATH, PROCESS_TOKEN, &sync_request(0), CALL_TIMEOUT).await.unwrap();
    assert!(!answer.confirmed);
    let edit = row_edit("e2", 1, "team-b", 1);
    let result: Result<EditAnswer, _> = client
        .call_json(TABLE_PATH, group_fixture::OPERATOR_TOKEN, Some(&edit), CALL_TIMEOUT)
        .await;
    let (kind, _) = expect_refusal(result);
    assert!(matches!(kind, ErrorKind::NoQuorum | ErrorKind::NotLeader), "{kind:?}");
}

fn claim(key: &str, incarnation: u64) -> ActionClaim {
    ActionClaim {
        workspace: "team-a".to_owned(),
        service: "cases".to_owned(),
        path: "/decisions".to_owned(),
        key: key.to_owned(),
        digest: [1; 32],
        router: NodeIdentity { name: "router-1".to_owned(), incarnation },
        attempt: 0,
    }
}

/// Today's date (UTC) as the prefix of idempotency keys, by the system clock that the log uses too.
fn today() -> String {
    let seconds =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_secs();
    // Converts days since 1970-01-01 to a civil date. Years start in March, so that a leap day is
    // the last day of its year.
    let days = i64::try_from(seconds / 86_400).unwrap() + 719_468;
    let era = days / 146_097;
    let day_of_era = days % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted + 2) / 5 + 1;
    let month = if shifted < 10 { shifted + 3 } else { shifted - 9 };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    format!("{year:04}{month:02}{day:02}")
}

/// Guards against a second grant of an idempotency key: in the same request, by a new leader, or to
/// a restarted router.
#[tokio::test]
async fn claim_is_granted_once_across_leaders() {
    let mut group = GroupFixture::start(3).await;
    group.wait_for_voters(3).await;
    let key = format!("{}-order-1", today());
    let send = async |group: &GroupFixture, claims: Vec<ActionClaim>| -> Vec<ClaimAnswer> {
        loop {
            let client = PeerClient::new(group.address(group.leader().await));
            let request = ClaimRequest { claims: claims.clone() };
            if let Ok(answers) =
                client.call(CLAIM_PATH, PROCESS_TOKEN, &request, CALL_TIMEOUT).await
            {
                return answers;
            }
        }
    };
    let answers = send(&group, vec![claim(&key, 1), claim(&key, 1)]).await;
    let ClaimAnswer::Granted(token) = answers[0] else { panic!("{answers:?}") };
    assert_eq!(answers[1], ClaimAnswer::Running);
    let leader = group.leader().await;
    group.kill(leader).await;
    assert_eq!(send(&group, vec![claim(&key, 2)]).await, [ClaimAnswer::OutcomeUnknown]);
    let other = format!("{}-order-2", today());
    let answers = send(&group, vec![claim(&other, 2)]).await;
    let ClaimAnswer::Granted(second) = answers[0] else { panic!("{answers:?}") };
    assert!(second > token);
    let outcome = ActionOutcome::Answered { status: 200, digest: [3; 32] };
    let report = ActionReport {
        workspace: "team-a".to_owned(),
        service: "cases".to_owned(),
        key: other.clone(),
        token: second,
        outcome,
        router: None,
        attempt: 0,
    };
    let client = PeerClient::new(group.address(group.leader().await));
    let request = OutcomeRequest { outcomes: vec![report] };
    let () = client.call(OUTCOME_PATH, PROCESS_TOKEN, &request, CALL_TIMEOUT).await.unwrap();
    assert_eq!(send(&group, vec![claim(&other, 2)]).await, [ClaimAnswer::Known(outcome)]);
}

fn announcement(incarnation: u64, sequence: u64) -> Value {
    json!({
        "name": "engine-1", "incarnation": incarnation, "sequence": sequence,
        "address": "127.0.0.1:9", "kind": "model", "serves": ["m"], "zone": "z0", "concurrency": 4
    })
}

/// Guards against a late announcement that registers an older incarnation or a withdrawn one again,
/// and against announcements that conflict with the registered incarnation.
#[tokio::test]
async fn announce_stale_or_conflicting_is_refused() {
    let group = GroupFixture::start(1).await;
    let client = PeerClient::new(group.address(0));
    let announce = async |body: Value| -> Result<Value, ErrorKind> {
        client
            .call_json(ANNOUNCE_PATH, UPSTREAM_TOKEN, Some(&body), CALL_TIMEOUT)
            .await
            .map_err(|error: PeerError| error.kind())
    };
    assert!(announce(announcement(5, 1)).await.is_ok());
    assert_eq!(announce(announcement(4, 9)).await, Err(ErrorKind::StaleIncarnation));
    assert_eq!(announce(announcement(5, 1)).await, Err(ErrorKind::StaleIncarnation));
    let mut moved = announcement(5, 2);
    moved["address"] = json!("127.0.0.1:10");
    assert_eq!(announce(moved).await, Err(ErrorKind::InvalidAnnouncement));
    let mut unknown = announcement(5, 3);
    unknown["extra"] = json!(1);
    assert_eq!(announce(unknown).await, Err(ErrorKind::MalformedRequest));
    let withdrawal = json!({"name": "engine-1", "incarnation": 5});
    let _: Value = client
        .call_json("/upstreams/v1/withdraw", UPSTREAM_TOKEN, Some(&withdrawal), CALL_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(announce(announcement(5, 4)).await, Err(ErrorKind::StaleIncarnation));
    assert!(announce(announcement(6, 1)).await.is_ok());
}

/// Guards against an acknowledged withdrawal that only the memory of one controller held: after a
/// restart, the upstream that had left was in use again with its next late announcement.
#[tokio::test]
async fn withdraw_upstream_stays_out_after_restart() {
    let mut group = GroupFixture::start(1).await;
    let withdrawal = json!({"name": "engine-1", "incarnation": 5});
    let mut leaving = announcement(7, 1);
    leaving["name"] = json!("engine-2");
    leaving["leaving"] = json!(true);
    for (path, body) in [(WITHDRAW_PATH, withdrawal), (ANNOUNCE_PATH, leaving.clone())] {
        let client = PeerClient::new(group.address(0));
        let _: Value =
            client.call_json(path, UPSTREAM_TOKEN, Some(&body), CALL_TIMEOUT).await.unwrap();
    }
    group.kill(0).await;
    group.restart(0).await;
    group.leader().await;
    let mut ready = announcement(7, 2);
    ready["name"] = json!("engine-2");
    let mut other = announcement(5, 1);
    other["name"] = json!("engine-3");
    other["address"] = json!("127.0.0.1:11");
    let client = PeerClient::new(group.address(0));
    for body in [announcement(5, 2), ready, other] {
        let _: Result<Value, PeerError> =
            client.call_json(ANNOUNCE_PATH, UPSTREAM_TOKEN, Some(&body), CALL_TIMEOUT).await;
    }
    let answer: SyncAnswer =
        client.call(SYNC_PATH, PROCESS_TOKEN, &sync_request(0), CALL_TIMEOUT).await.unwrap();
    let upstreams = answer.registry.unwrap().upstreams;
    let live: Vec<&str> = upstreams.iter().map(|upstream| upstream.name.as_str()).collect();
    assert_eq!(live, ["engine-3"]);
}

/// Guards against a withdrawal that is acknowledged although the group could not record it.
#[tokio::test]
async fn withdraw_without_quorum_is_refused() {
    let mut group = GroupFixture::start(3).await;
    group.wait_for_voters(3).await;
    let leader = group.leader().await;
    group.kill(leader).await;
    group.kill((leader + 1) % 3).await;
    let client = PeerClient::new(group.address((leader + 2) % 3));
    let withdrawal = json!({"name": "engine-1", "incarnation": 5});
    let result: Result<Value, PeerError> =
        client.call_json(WITHDRAW_PATH, UPSTREAM_TOKEN, Some(&withdrawal), CALL_TIMEOUT).await;
    assert!(result.is_err(), "acknowledged without a quorum: {result:?}");
}

/// Full report of a router that holds no lease and has one queued request.
fn waiting_report(term: u64, sequence: u64, received_grant: u64) -> DispatchReport {
    DispatchReport {
        router: NodeIdentity { name: "entry-1".to_owned(), incarnation: 1 },
        zone: "a".to_owned(),
        term,
        sequence,
        full: true,
        backlog: vec![BacklogEntry {
            target: WorkTarget::new(UpstreamKind::Model, "small".to_owned()),
            workspace: "team-a".to_owned(),
            queued: 1,
            cost_hint: 0,
            prefix: None,
            avoid: None,
            prompts: Vec::new(),
        }],
        usage: Vec::new(),
        charges: Vec::new(),
        received_grant,
        wait_ms: 200,
        statements: Vec::new(),
        restrictions: Vec::new(),
        parts: PartReport::default(),
        limits: LimitReport::default(),
        origins: OriginReport::default(),
        load: None,
    }
}

/// Sends reports until an answer contains a grant, and returns the number of its lease.
async fn next_grant(
    dispatch: &DispatchService,
    term: u64,
    sequence: &mut u64,
    received_grant: u64,
) -> u64 {
    let deadline = tokio::time::Instant::now() + group_fixture::WAIT_LIMIT;
    loop {
        assert!(tokio::time::Instant::now() < deadline, "timed out waiting for a grant");
        *sequence += 1;
        let answer =
            dispatch.report(&waiting_report(term, *sequence, received_grant)).await.unwrap();
        assert_eq!(answer.term, term);
        if let Some(grant) = answer.grants.last() {
            return grant.lease.number;
        }
    }
}

/// Guards against two dispatchers with the same term, which arise when a leader loses its quorum and
/// regains it within one term of the log. Routers ignored the second dispatcher's grants, because
/// their numbers repeated, and late reports to the first one could hide running leases from the
/// second.
#[tokio::test]
async fn dispatcher_same_log_term_has_term_of_its_own() {
    let group = GroupFixture::start(1).await;
    group.put_row("e1", 0, "team-a", 3).await.unwrap();
    let engine: UpstreamAnnouncement = serde_json::from_value(json!({
        "name": "engine-1", "incarnation": 1, "sequence": 1, "address": "127.0.0.1:9000",
        "kind": "model", "serves": ["small"], "zone": "a", "concurrency": 8,
    }))
    .unwrap();
    let handle = group.controllers[0].as_ref().unwrap();
    let dispatch = &handle.api().dispatch;
    handle.api().registry.announce(engine.clone()).unwrap();
    let dispatch_term = || dispatch.read(|dispatcher, _| dispatcher.term());
    let first = group.wait_for(|_| dispatch_term()).await;
    let mut sequence = 0;
    next_grant(dispatch, first, &mut sequence, 0).await;
    dispatch.resign();
    dispatch.lead(handle.replica().view().term, &["entry-1".to_owned()]);
    let second = dispatch_term().unwrap();
    assert!(second > first, "the second dispatch term {second} must exceed the first one, {first}");
    let mut table = WorkspaceTable::default();
    table.apply(&row_edit("e1", 0, "team-a", 3).changes);
    dispatch.update(|dispatcher, now| {
        dispatcher.set_table(now, &table);
        dispatcher.set_upstreams(now, [&engine]);
    });
    sequence += 1;
    let late_answer = dispatch.report(&waiting_report(first, sequence, 0)).await.unwrap();
    assert!(
        late_answer.resync && late_answer.grants.is_empty(),
        "the answer to a report of the first term must ask for a resync and grant nothing"
    );
    next_grant(dispatch, second, &mut sequence, 0).await;
}
