//! Tests of single rules of the consensus core, on one core or in a simulation
//! without faults.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod replica_sim;

use baobabfall_core::control_command::{ControlAnswer, ControlCommand};
use baobabfall_core::phase_chart::PhaseChart;
use baobabfall_core::replica_core::*;
use baobabfall_core::replica_events::*;
use baobabfall_core::replica_members::*;
use baobabfall_core::replica_messages::*;
use baobabfall_core::state_chart::{CompiledChart, REPLICA_CHART};
use rand::SeedableRng;
use rand::rngs::StdRng;
use replica_sim::client_load::edit_command;
use replica_sim::{Sim, SimFaults};
use std::time::Duration;

const NO_FAULTS: SimFaults = SimFaults::NONE;

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn identity(id: u64) -> ReplicaIdentity {
    ReplicaIdentity { name: format!("controller-{id}"), id }
}

/// Replica 1 of three voters with an empty log, started at time 0 in the given term.
fn replica(term: u64) -> ReplicaCore<StdRng> {
    let mut members = ReplicaMembers::default();
    for id in 1..=3 {
        members = members.with_learner(identity(id), String::new()).with_voter(id);
    }
    let mut stored = StoredReplica::empty(members);
    stored.term_vote.term = term;
    let options = ReplicaOptions::new(identity(1));
    ReplicaCore::new(Duration::ZERO, options, stored, StdRng::seed_from_u64(1))
}

fn message(from: u64, term: u64, body: MessageBody) -> ReplicaEvent {
    let (from, to) = (identity(from), identity(1));
    ReplicaEvent::Message(ReplicaMessage { from, to, term, body })
}

fn append(previous_index: u64, commit: u64, sent_at: Duration) -> MessageBody {
    let (previous_term, entries) = (0, Vec::new());
    MessageBody::Append(AppendRequest { previous_index, previous_term, entries, commit, sent_at })
}

const EMPTY_LOG: VoteRequest = VoteRequest { last_index: 0, last_term: 0, lead_passed: false };

fn sent_bodies(effects: &[ReplicaEffect]) -> Vec<&MessageBody> {
    let bodies = effects.iter().filter_map(|effect| match effect {
        ReplicaEffect::Send(message) => Some(&message.body),
        _ => None,
    });
    bodies.collect()
}

fn vote_granted(effects: &[ReplicaEffect]) -> bool {
    let answer = |body: &&MessageBody| matches!(body, MessageBody::VoteAnswer(a) if a.granted);
    sent_bodies(effects).iter().any(answer)
}

/// Replica 1, elected leader of term 1 by the vote of replica 2 at the given time.
fn elected_leader(now: Duration) -> ReplicaCore<StdRng> {
    let mut core = replica(0);
    core.handle(now, [ReplicaEvent::Tick]);
    let granted = VoteAnswer { asked_term: 1, granted: true };
    core.handle(now, [message(2, 0, MessageBody::PreVoteAnswer(granted))]);
    core.handle(now, [ReplicaEvent::Synced { sequence: 1 }]);
    core.handle(now, [message(2, 1, MessageBody::VoteAnswer(granted))]);
    assert_eq!(core.role(), ReplicaRole::Leader);
    core
}

fn ack(from: u64, matched: u64, sent_at: Duration) -> ReplicaEvent {
    let answer = AppendAnswer { success: true, matched, hint: 0, sent_at };
    message(from, 1, MessageBody::AppendAnswer(answer))
}

/// Guards against a role that no sequence of events reaches, and against
/// transitions that were added or lost by mistake.
#[test]
fn replica_chart_reaches_every_role() {
    let chart = CompiledChart::parse(REPLICA_CHART).unwrap();
    let phases = PhaseChart::parse(REPLICA_CHART, &REPLICA_ROLES).unwrap();
    let mut reached = vec![ReplicaRole::Learner];
    let mut next = 0;
    let mut rejected_steps = 0;
    while next < reached.len() {
        for event in chart.event_names() {
            match phases.step(reached[next], event) {
                Ok(role) if !reached.contains(&role) => reached.push(role),
                Ok(_) => {}
                Err(_) => rejected_steps += 1,
            }
        }
        next += 1;
    }
    assert_eq!(reached.len(), REPLICA_ROLES.len());
    assert_eq!((chart.event_names().len(), rejected_steps), (10, 50 - 23));
}

/// Guards against two votes in one term: a vote that is sent before it is synced
/// can be forgotten in a crash.
#[test]
fn vote_before_sync_is_not_sent() {
    let mut core = replica(0);
    let effects = core.handle(ms(700), [message(2, 1, MessageBody::Vote(EMPTY_LOG))]);
    assert!(matches!(effects[..], [ReplicaEffect::Persist { sequence: 1, .. }]));
    assert!(vote_granted(&core.handle(ms(701), [ReplicaEvent::Synced { sequence: 1 }])));
}

/// True when replica 1 grants replica 2 a vote for term 5, with immediate syncs.
fn grants_vote(core: &mut ReplicaCore<StdRng>, now: Duration) -> bool {
    let vote = message(2, 5, MessageBody::Vote(EMPTY_LOG));
    vote_granted(&core.handle(now, [vote, ReplicaEvent::Synced { sequence: u64::MAX }]))
        || vote_granted(&core.handle(now, [ReplicaEvent::Synced { sequence: u64::MAX }]))
}

/// Guards against the election of a second leader during the lease of the first:
/// a voter must refuse its vote for a time after its last contact with the leader,
/// also after a restart, or if it has learnt the new term from another message.
#[test]
fn vote_within_leader_contact_is_refused() {
    assert!(!grants_vote(&mut replica(1), ms(599)));
    assert!(grants_vote(&mut replica(1), ms(600)));
    let mut core = replica(1);
    core.handle(ms(1000), [message(3, 1, append(0, 0, ms(7)))]);
    assert!(!grants_vote(&mut core, ms(1599)));
    let answer = VoteAnswer { asked_term: 2, granted: false };
    core.handle(ms(1599), [message(2, 5, MessageBody::PreVoteAnswer(answer))]);
    assert_eq!(core.term(), 5);
    assert!(!grants_vote(&mut core, ms(1599)));
    assert!(grants_vote(&mut core, ms(1600)));
}

/// Guards against a candidate that counts its vote for itself before it is synced,
/// and could vote for another replica in the same term after a crash.
#[test]
fn candidate_asks_for_votes_after_sync() {
    let mut core = replica(0);
    core.handle(ms(1300), [ReplicaEvent::Tick]);
    let granted = VoteAnswer { asked_term: 1, granted: true };
    let effects = core.handle(ms(1300), [message(2, 0, MessageBody::PreVoteAnswer(granted))]);
    assert!(matches!(effects[..], [ReplicaEffect::Persist { .. }]), "{effects:?}");
    core.handle(ms(1300), [message(2, 1, MessageBody::VoteAnswer(granted))]);
    assert_eq!(core.role(), ReplicaRole::Candidate);
    let effects = core.handle(ms(1301), [ReplicaEvent::Synced { sequence: 1 }]);
    assert_eq!(core.role(), ReplicaRole::Leader);
    assert!(sent_bodies(&effects).iter().any(|body| matches!(body, MessageBody::Vote(_))));
}

/// Guards against an election by invalid votes: delayed votes of an earlier term, or
/// votes of a replica that has the name of a voter but lost its disk.
#[test]
fn vote_answer_of_other_term_is_not_counted() {
    let mut core = replica(3);
    core.handle(ms(1300), [ReplicaEvent::Tick]);
    let answer = |asked_term| VoteAnswer { asked_term, granted: true };
    core.handle(ms(1300), [message(2, 3, MessageBody::PreVoteAnswer(answer(4)))]);
    core.handle(ms(1300), [ReplicaEvent::Synced { sequence: 1 }]);
    core.handle(ms(1300), [message(2, 3, MessageBody::VoteAnswer(answer(3)))]);
    let from = ReplicaIdentity { name: "controller-2".into(), id: 99 };
    let (to, body) = (identity(1), MessageBody::VoteAnswer(answer(4)));
    core.handle(ms(1300), [ReplicaEvent::Message(ReplicaMessage { from, to, term: 4, body })]);
    assert_eq!(core.role(), ReplicaRole::Candidate);
}

/// Replica 1 of three voters, with synced entries of the given terms.
fn replica_with_log(terms: &[u64]) -> ReplicaCore<StdRng> {
    let mut stored = StoredReplica::empty(replica(0).members().clone());
    stored.entries = (1..).zip(terms).map(|(index, term)| entry(index, *term)).collect();
    stored.term_vote.term = terms.last().copied().unwrap_or(0);
    let options = ReplicaOptions::new(identity(1));
    ReplicaCore::new(Duration::ZERO, options, stored, StdRng::seed_from_u64(1))
}

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry { index, term, time_ms: 0, command: ControlCommand::Blank }
}

/// Handles an append of leader 2 in `term` and returns the index that the answer
/// confirms as synced.
fn confirmed_index(core: &mut ReplicaCore<StdRng>, term: u64, request: AppendRequest) -> u64 {
    let effects = core.handle(ms(700), [message(2, term, MessageBody::Append(request))]);
    let effects = match sent_bodies(&effects)[..] {
        // In a new term the answer is sent once the term is synced.
        [] => core.handle(ms(700), [ReplicaEvent::Synced { sequence: 1 }]),
        _ => effects,
    };
    match sent_bodies(&effects)[..] {
        [MessageBody::AppendAnswer(answer), ..] => answer.matched,
        ref other => panic!("no answer: {other:?}"),
    }
}

fn request(previous: (u64, u64), entries: Vec<LogEntry>, commit: u64) -> AppendRequest {
    let (previous_index, previous_term) = previous;
    AppendRequest { previous_index, previous_term, entries, commit, sent_at: ms(1) }
}

/// Guards against the commit of entries that differ from the leader's: the commit
/// index of an append may lie after the entries that the append has compared.
#[test]
fn commit_stays_within_compared_entries() {
    let mut core = replica_with_log(&[1, 1, 1]);
    assert_eq!(confirmed_index(&mut core, 2, request((1, 1), vec![], 3)), 1);
    assert_eq!(core.commit_index(), 1);
}

/// Guards against the confirmation of entries that only an earlier leader has
/// compared, because the current leader may have others at these indexes.
#[test]
fn new_term_compares_entries_again() {
    let mut core = replica_with_log(&[1, 1, 1]);
    assert_eq!(confirmed_index(&mut core, 1, request((3, 1), vec![], 0)), 3);
    assert_eq!(confirmed_index(&mut core, 2, request((1, 1), vec![], 0)), 1);
}

/// Guards against the confirmation of entries that are not synced: they replaced
/// synced entries at the same indexes.
#[test]
fn replaced_entries_wait_for_their_sync() {
    let mut core = replica_with_log(&[1, 1, 1]);
    assert_eq!(confirmed_index(&mut core, 1, request((1, 1), vec![entry(2, 0)], 0)), 1);
    let synced = core.handle(ms(701), [ReplicaEvent::Synced { sequence: 1 }]);
    assert!(matches!(sent_bodies(&synced)[..], [MessageBody::AppendAnswer(a)] if a.matched == 2));
}

/// Guards against the confirmation of a received snapshot before it is synced, which
/// a crash could lose.
#[test]
fn snapshot_is_confirmed_after_sync() {
    let mut core = replica_with_log(&[1]);
    let meta = SnapshotMeta { index: 9, term: 1, members: core.members().clone() };
    let (offset, total, bytes) = (0, 3, vec![1, 2, 3]);
    let chunk = SnapshotChunk { meta, offset, total, bytes, sent_at: ms(1) };
    let effects = core.handle(ms(700), [message(2, 1, MessageBody::Snapshot(chunk))]);
    assert!(matches!(effects[0], ReplicaEffect::StoreSnapshot { restore: true, .. }));
    assert_eq!(confirmed_index(&mut core, 1, request((9, 1), vec![], 9)), 0);
    core.handle(ms(701), [ReplicaEvent::Synced { sequence: 1 }]);
    assert_eq!(confirmed_index(&mut core, 1, request((9, 1), vec![], 9)), 9);
}

/// Guards against the loss of a committed entry: a later leader can replace an entry
/// of an older term even though a quorum holds it, so it is committed only together
/// with an entry of the current term.
#[test]
fn entry_of_older_term_is_not_committed_alone() {
    let mut core = replica_with_log(&[1, 1]);
    core.handle(ms(1300), [ReplicaEvent::Tick]);
    let granted = VoteAnswer { asked_term: 2, granted: true };
    core.handle(ms(1300), [message(2, 1, MessageBody::PreVoteAnswer(granted))]);
    core.handle(ms(1300), [ReplicaEvent::Synced { sequence: 1 }]);
    core.handle(ms(1300), [message(2, 2, MessageBody::VoteAnswer(granted))]);
    core.handle(ms(1300), [ReplicaEvent::Synced { sequence: 2 }]);
    let answer = |matched| {
        let answer = AppendAnswer { success: true, matched, hint: 0, sent_at: ms(1300) };
        message(2, 2, MessageBody::AppendAnswer(answer))
    };
    core.handle(ms(1301), [answer(2)]);
    assert_eq!(core.commit_index(), 0);
    core.handle(ms(1302), [answer(3)]);
    assert_eq!(core.commit_index(), 3);
}

/// Guards against a learner that becomes a voter before it holds the committed log,
/// and could then form a quorum that lacks committed entries.
#[test]
fn learner_without_the_log_is_not_admitted() {
    let mut core = elected_leader(ms(2000));
    core.handle(ms(2001), [ReplicaEvent::Synced { sequence: 2 }, ack(2, 1, ms(2000))]);
    let change = MemberChange::Add { identity: identity(4), address: String::new() };
    let change = ReplicaEvent::ChangeMembers { proposal: 4, change, time_ms: 0 };
    core.handle(ms(2002), [change, ReplicaEvent::Synced { sequence: 3 }]);
    core.handle(ms(2003), [ReplicaEvent::Synced { sequence: 3 }, ack(2, 2, ms(2002))]);
    core.handle(ms(2004), [ack(4, 1, ms(2002)), ReplicaEvent::Tick]);
    assert_eq!((core.commit_index(), core.members().is_voter(4)), (2, false));
    core.handle(ms(2005), [ack(4, 2, ms(2002)), ReplicaEvent::Tick]);
    assert!(core.members().is_voter(4));
}

/// Guards against a learner that can never be admitted and keeps all others out: one
/// that has the name of the leader, which cannot remove itself.
#[test]
fn learner_named_like_the_leader_does_not_block_others() {
    let mut core = elected_leader(ms(2000));
    core.handle(ms(2001), [ReplicaEvent::Synced { sequence: 2 }, ack(2, 1, ms(2000))]);
    let blocked = ReplicaIdentity { name: identity(1).name, id: 4 };
    for (index, identity) in [(2, blocked), (3, identity(5))] {
        let proposal = identity.id;
        let change = MemberChange::Add { identity, address: String::new() };
        let change = ReplicaEvent::ChangeMembers { proposal, change, time_ms: 0 };
        core.handle(ms(2000 + index), [change, ReplicaEvent::Synced { sequence: index + 1 }]);
        let synced = ReplicaEvent::Synced { sequence: index + 1 };
        core.handle(ms(2000 + index), [synced, ack(2, index, ms(2001))]);
    }
    let blocked_ack = ReplicaEvent::Message(ReplicaMessage {
        from: ReplicaIdentity { name: identity(1).name, id: 4 },
        to: identity(1),
        term: 1,
        body: MessageBody::AppendAnswer(AppendAnswer {
            success: true,
            matched: 3,
            hint: 0,
            sent_at: ms(2002),
        }),
    });
    core.handle(ms(2005), [blocked_ack, ack(5, 3, ms(2002)), ReplicaEvent::Tick]);
    assert_eq!((core.commit_index(), core.members().is_voter(5)), (3, true));
}

/// Guards against a replacement that handles messages sent to the lost replica of
/// the same name.
#[test]
fn message_to_other_identity_is_ignored() {
    let to = ReplicaIdentity { name: "controller-1".into(), id: 98 };
    let body = append(0, 0, ms(1));
    let message = ReplicaMessage { from: identity(2), to, term: 9, body };
    assert_eq!(replica(0).handle(ms(700), [ReplicaEvent::Message(message)]), []);
}

/// Guards against an election that is started by delayed pre-votes for an earlier
/// term.
#[test]
fn pre_vote_answer_of_other_term_is_not_counted() {
    let mut core = replica(3);
    core.handle(ms(1300), [ReplicaEvent::Tick]);
    assert_eq!(core.role(), ReplicaRole::PreCandidate);
    let answer = |asked_term| {
        let answer = VoteAnswer { asked_term, granted: true };
        message(2, 0, MessageBody::PreVoteAnswer(answer))
    };
    core.handle(ms(1301), [answer(3)]);
    assert_eq!((core.role(), core.term()), (ReplicaRole::PreCandidate, 3));
    core.handle(ms(1302), [answer(4)]);
    assert_eq!((core.role(), core.term()), (ReplicaRole::Candidate, 4));
}

/// Guards against a needless election: a replica that raised its term during a
/// partition would depose the leader when it returns.
#[test]
fn partitioned_replica_returns_without_new_term() {
    let mut sim = Sim::new(3, 3, NO_FAULTS);
    sim.run(3000);
    let leader = sim.leader().unwrap();
    let term = sim.nodes[leader].core.as_ref().unwrap().term();
    let cut = (leader + 1) % 3;
    sim.blocked_links = (0..3).flat_map(|n| [(cut, n), (n, cut)]).collect();
    sim.run(5000);
    sim.blocked_links.clear();
    sim.run(3000);
    assert_eq!(sim.leader(), Some(leader));
    assert_eq!(sim.nodes[leader].core.as_ref().unwrap().term(), term);
}

/// Guards against a lease that ends too late because it is counted from the receipt
/// of an answer instead of the send time of the message.
#[test]
fn lease_counts_from_sending_time() {
    let mut core = elected_leader(ms(2000));
    assert!(!core.has_lease(ms(2000)));
    core.handle(ms(2300), [ack(2, 0, ms(2000))]);
    assert!(core.has_lease(ms(2399)));
    assert!(!core.has_lease(ms(2400)));
}

/// Guards against a dispatcher that is thrown away, and rebuilt by every router at once, whenever
/// the lease lapses although nobody else was elected.
#[test]
fn led_term_outlives_lapse_of_the_lease() {
    let mut core = elected_leader(ms(2000));
    core.handle(ms(2001), [ReplicaEvent::Synced { sequence: 2 }]);
    core.handle(ms(2002), [ReplicaEvent::Synced { sequence: 3 }, ack(2, 1, ms(2001))]);
    assert_eq!((core.led_term(), core.has_lease(ms(2400))), (Some(1), true));
    core.handle(ms(2500), [ReplicaEvent::Tick]);
    assert_eq!((core.led_term(), core.has_lease(ms(2500))), (Some(1), false));
    core.handle(ms(2510), [ack(2, 1, ms(2450))]);
    assert_eq!((core.led_term(), core.has_lease(ms(2510))), (Some(1), true));
    core.handle(ms(9000), [ReplicaEvent::Tick]);
    assert_eq!(core.led_term(), None);
}

/// Guards against a commit or a lease through the answer of a replica that has the
/// name of a voter but lost its disk.
#[test]
fn answer_of_other_identity_is_not_counted() {
    let mut core = elected_leader(ms(2000));
    core.handle(ms(2001), [ReplicaEvent::Synced { sequence: 2 }]);
    let from = ReplicaIdentity { name: "controller-2".into(), id: 99 };
    let answer = AppendAnswer { success: true, matched: 1, hint: 0, sent_at: ms(2000) };
    let body = MessageBody::AppendAnswer(answer);
    let to = identity(1);
    core.handle(ms(2002), [ReplicaEvent::Message(ReplicaMessage { from, to, term: 1, body })]);
    assert_eq!((core.commit_index(), core.has_lease(ms(2002))), (0, false));
    core.handle(ms(2003), [ack(2, 1, ms(2000))]);
    assert_eq!((core.commit_index(), core.has_lease(ms(2003))), (1, true));
}

/// Guards against a commit that counts the leader's own copy before it is synced,
/// which a crash could lose.
#[test]
fn commit_waits_for_own_sync() {
    let mut core = elected_leader(ms(2000));
    core.handle(ms(2001), [ack(2, 1, ms(2000))]);
    assert_eq!(core.commit_index(), 0);
    core.handle(ms(2002), [ReplicaEvent::Synced { sequence: 2 }]);
    assert_eq!(core.commit_index(), 1);
}

/// Guards against a partitioned leader that accepts reads and proposals after its
/// lease has expired, when another leader may exist, or that never steps down.
#[test]
fn leader_without_quorum_rejects_and_steps_down() {
    let mut core = elected_leader(ms(2000));
    core.handle(ms(2001), [ack(2, 0, ms(2000))]);
    let propose =
        || ReplicaEvent::Propose { proposal: 8, command: ControlCommand::Blank, time_ms: 1 };
    assert!(sent_bodies(&core.handle(ms(2002), [propose()])).len() == 2);
    let reason = RejectReason::NoQuorum;
    let rejected = ReplicaEffect::RejectProposal { proposal: 8, reason: reason.clone() };
    let refused = ReplicaEffect::RejectRead { read: 9, reason };
    let events = [propose(), ReplicaEvent::Read { read: 9 }];
    assert_eq!(core.handle(ms(2400), events), [rejected, refused]);
    let effects = core.handle(ms(3201), [ReplicaEvent::Tick]);
    let lost = RejectReason::LeadershipLost;
    assert_eq!(effects, [ReplicaEffect::RejectProposal { proposal: 8, reason: lost }]);
    assert_eq!(core.role(), ReplicaRole::Follower);
}

/// Guards against appends that exceed the size limit of a message, because of many
/// entries or of one command that is too large.
#[test]
fn append_stays_within_limit() {
    let mut core = elected_leader(ms(2000));
    core.handle(ms(2001), [ack(2, 0, ms(2000))]);
    let large = |bytes: usize| {
        let note = "x".repeat(bytes);
        let edit =
            baobabfall_core::control_command::EditIdentity { operator: note, id: "1".into() };
        let target = baobabfall_core::control_command::StopTarget {
            kind: baobabfall_core::control_command::StopKind::Host,
            name: "host-1".into(),
        };
        let command = ControlCommand::CancelStop { edit, target };
        ReplicaEvent::Propose { proposal: 7, command, time_ms: 0 }
    };
    let effects = core.handle(ms(2002), [large(600_000)]);
    let reason = RejectReason::Oversized;
    assert_eq!(effects, [ReplicaEffect::RejectProposal { proposal: 7, reason }]);
    let effects = core.handle(ms(2003), (0..5).map(|_| large(200_000)));
    let bodies = sent_bodies(&effects);
    let largest = bodies.iter().map(|body| rmp_serde::to_vec(body).unwrap().len()).max().unwrap();
    assert!((400_000..600_000).contains(&largest), "{largest}");
}

/// Guards against two concurrent changes of the membership, after which two disjoint
/// quorums could exist.
#[test]
fn second_member_change_is_refused_while_one_is_uncommitted() {
    let mut core = elected_leader(ms(2000));
    let change = |id| {
        let change = MemberChange::Add { identity: identity(id), address: String::new() };
        ReplicaEvent::ChangeMembers { proposal: id, change, time_ms: 0 }
    };
    let pending = |proposal| {
        [ReplicaEffect::RejectProposal { proposal, reason: RejectReason::ChangePending }]
    };
    core.handle(ms(2001), [ack(2, 0, ms(2000))]);
    assert_eq!(
        core.handle(ms(2001), [change(4)]),
        pending(4),
        "no entry of the term is committed yet"
    );
    core.handle(ms(2002), [ReplicaEvent::Synced { sequence: 2 }, ack(2, 1, ms(2001))]);
    assert!(matches!(core.handle(ms(2003), [change(4)])[0], ReplicaEffect::Persist { .. }));
    assert_eq!(core.handle(ms(2004), [change(5)]), pending(5));
}

/// Guards against data loss when a second replica fails right after a lost disk was
/// replaced: the replacement must hold the log before it votes, and the quorum must
/// not grow in between.
#[test]
fn replaced_replica_forms_quorum_with_one_other() {
    let mut sim = Sim::new(11, 3, NO_FAULTS);
    sim.run(3000);
    for number in 0..40 {
        let leader = sim.leader().unwrap();
        let command = edit_command(&format!("edit-{number}"), number, "team-1", 1);
        sim.propose(leader, command);
        sim.run(100);
    }
    let lost = (sim.leader().unwrap() + 1) % 3;
    sim.lose_disk(lost);
    let id = sim.nodes[lost].identity.id;
    while !sim.all_members_vote() {
        sim.run(20);
        let Some(leader) = sim.leader() else { continue };
        let core = sim.nodes[leader].core.as_ref().unwrap();
        assert!(core.members().voters().count() <= 3, "the quorum grew");
        if core.members().is_voter(id) {
            assert!(
                core.peer_match_index(id).unwrap() >= 41,
                "the replacement votes, but holds the log only up to {:?}",
                core.peer_match_index(id)
            );
        }
        assert!(sim.time < 20_000, "the replacement did not become a voter within 20 s");
    }
    let leader = sim.leader().unwrap();
    sim.crash(leader);
    sim.run(4000);
    let next = sim.leader().expect("the other two replicas elect a leader");
    let proposal = sim.propose(next, edit_command("after", 40, "team-2", 9));
    sim.run(500);
    let answer = sim.answers.get(&proposal);
    assert!(matches!(answer, Some(ControlAnswer::Accepted(a)) if a.revision == 41), "{answer:?}");
    sim.heal();
    sim.run(3000);
    sim.check_final();
}

/// Guards against a leader that keeps leading after its removal from the membership
/// was committed.
#[test]
fn removed_leader_steps_down() {
    let mut sim = Sim::new(5, 3, NO_FAULTS);
    sim.run(3000);
    let leader = sim.leader().unwrap();
    let id = sim.nodes[leader].identity.id;
    sim.change_members(leader, MemberChange::Remove { id });
    // `run` would add the replica again.
    for _ in 0..800 {
        sim.step();
    }
    assert_ne!(sim.leader().unwrap(), leader);
    assert_eq!(sim.nodes[leader].core.as_ref().unwrap().role(), ReplicaRole::Learner);
}

/// Guards against a stale read: the clock of the lease stands still while the host is
/// suspended, so a former leader may still see a valid lease. Only answers to messages
/// sent after the read arrived confirm it.
#[test]
fn read_without_later_heartbeat_is_not_ready() {
    let ready =
        |effects: Vec<ReplicaEffect>| effects.contains(&ReplicaEffect::ReadReady { read: 9 });
    let mut core = elected_leader(ms(2000));
    core.handle(ms(2001), [ReplicaEvent::Synced { sequence: 2 }, ack(2, 1, ms(2000))]);
    assert_eq!(core.commit_index(), 1);
    assert!(!ready(core.handle(ms(2001), [ReplicaEvent::Read { read: 9 }])));
    assert!(
        !ready(core.handle(ms(2001), [ack(3, 1, ms(2000))])),
        "an answer to a message sent before the read confirmed it"
    );
    let sent_at =
        core.handle(ms(2101), [ReplicaEvent::Tick]).into_iter().find_map(|effect| match effect {
            ReplicaEffect::Send(ReplicaMessage { body: MessageBody::Append(request), .. }) => {
                Some(request.sent_at)
            }
            _ => None,
        });
    assert!(ready(core.handle(ms(2102), [ack(3, 1, sent_at.unwrap())])));
}

/// Guards against a lease that is extended by the answer to a message of an earlier
/// term. An earlier process of the leader sent it, and the monotonic clock has
/// restarted since then.
#[test]
fn append_of_older_term_is_answered_without_its_time() {
    let mut core = replica(5);
    let effects = core.handle(ms(700), [message(2, 3, append(0, 0, ms(90_000)))]);
    let [MessageBody::AppendAnswer(answer)] = sent_bodies(&effects)[..] else {
        panic!("{effects:?}")
    };
    assert_eq!((answer.success, answer.sent_at), (false, Duration::ZERO));
}

/// Guards against a new leader that serves an upstream that had left, because it does not know yet
/// what was committed before its term.
#[test]
fn leads_with_current_state_waits_for_first_entry_of_the_term() {
    let mut core = elected_leader(ms(2000));
    core.handle(ms(2001), [ack(2, 0, ms(2000))]);
    assert_eq!((core.has_lease(ms(2001)), core.commit_index()), (true, 0));
    assert!(!core.leads_with_current_state(ms(2001)));
    core.handle(ms(2002), [ReplicaEvent::Synced { sequence: 2 }]);
    core.handle(ms(2003), [ReplicaEvent::Synced { sequence: 3 }, ack(2, 1, ms(2002))]);
    assert_eq!(core.commit_index(), 1);
    assert!(core.leads_with_current_state(ms(2003)));
}

/// Guards against a planned stop that leaves the group without a leader for as long as an election
/// takes.
#[test]
fn passed_lead_is_taken_at_once() {
    let mut sim = Sim::new(3, 3, NO_FAULTS);
    sim.run(3000);
    let (leader, started) = (sim.leader().unwrap(), sim.time);
    sim.pass_lead();
    assert_eq!(sim.leader(), None, "the lease ends before anybody can vote");
    while sim.leader().is_none() {
        sim.step();
    }
    assert_ne!(sim.leader().unwrap(), leader);
    assert!(sim.time - started < 600, "{} ms", sim.time - started);
}

/// Guards against a lead that is passed while a change is uncommitted, whose outcome its caller
/// would never learn.
#[test]
fn lead_with_uncommitted_entry_is_kept() {
    let mut core = elected_leader(ms(2000));
    core.handle(ms(2001), [ack(2, 0, ms(2000))]);
    assert_eq!(core.handle(ms(2002), [ReplicaEvent::PassLead]), []);
    assert_eq!(core.role(), ReplicaRole::Leader);
    core.handle(ms(2003), [ReplicaEvent::Synced { sequence: 2 }, ack(2, 1, ms(2001))]);
    let effects = core.handle(ms(2004), [ReplicaEvent::PassLead]);
    assert!(matches!(sent_bodies(&effects)[..], [MessageBody::TakeLead]), "{effects:?}");
    assert!(!core.has_lease(ms(2004)));
}

/// Guards against a request to take the lead that arrives late, when its sender may lead again.
#[test]
fn take_lead_of_older_term_is_ignored() {
    let mut core = replica(5);
    assert_eq!(core.handle(ms(700), [message(2, 4, MessageBody::TakeLead)]), []);
    assert_eq!((core.role(), core.term()), (ReplicaRole::Follower, 5));
    core.handle(ms(701), [message(2, 5, MessageBody::TakeLead)]);
    assert_eq!((core.role(), core.term()), (ReplicaRole::Candidate, 6));
}

/// Guards against a vote that ends a lease: only for the term that follows a passed lead does a
/// voter disregard its contact with a leader.
#[test]
fn vote_after_passed_lead_disregards_lease_of_that_leader_only() {
    let vote =
        |term| message(2, term, MessageBody::Vote(VoteRequest { lead_passed: true, ..EMPTY_LOG }));
    let mut core = replica(5);
    core.handle(ms(700), [message(3, 5, append(0, 0, ms(1)))]);
    core.handle(ms(701), [vote(6)]);
    assert!(vote_granted(&core.handle(ms(702), [ReplicaEvent::Synced { sequence: 9 }])));
    let mut core = replica(5);
    core.handle(ms(700), [message(3, 6, append(0, 0, ms(1)))]);
    let mut effects = core.handle(ms(701), [vote(6)]);
    effects.extend(core.handle(ms(702), [ReplicaEvent::Synced { sequence: 9 }]));
    assert!(!vote_granted(&effects), "the leader of term 6 has a lease: {effects:?}");
}

/// Guards against a removal that leaves fewer voters than the minimum, and against a leader that
/// removes itself before it has passed the lead on.
#[test]
fn leave_below_min_voters_is_refused() {
    let mut sim = Sim::new(5, 3, NO_FAULTS);
    sim.run(3000);
    let leader = sim.leader().unwrap();
    for node_index in 0..3 {
        let id = sim.nodes[node_index].identity.id;
        sim.change_members(leader, MemberChange::Leave { id });
        sim.run(100);
    }
    let core = sim.nodes[leader].core.as_ref().unwrap();
    assert_eq!(core.members().voters().count(), 3);
}
