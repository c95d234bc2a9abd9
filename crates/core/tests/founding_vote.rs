//! Tests of the agreement on the first members of a group.

use baobabfall_core::founding_vote::*;
use baobabfall_core::replica_members::{ReplicaIdentity, ReplicaMembers};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const RUNS: u64 = 20_000;
const CANDIDATES: u64 = 4;
/// Attempts of all candidates in one run.
const ATTEMPTS: u64 = 12;

fn members(candidate: u64) -> ReplicaMembers {
    ReplicaMembers::single(ReplicaIdentity { name: format!("c{candidate}"), id: candidate }, "")
}

/// One attempt of a candidate, whose steps interleave with those of others.
struct Attempt {
    ballot: FoundingBallot,
    promises: Vec<FoundingVote>,
    proposed: Option<ReplicaMembers>,
    /// Witnesses that were not asked yet in the current step.
    unasked: Vec<usize>,
    votes: usize,
}

/// Guards against two groups at one site: whatever candidates compete, requests are lost and
/// witnesses fall silent, two ballots never decide different members.
#[test]
fn competing_candidates_decide_one_membership() {
    let (mut decided_runs, mut contested_runs) = (0, 0);
    for seed in 0..RUNS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut below = |limit: u64| rng.next_u64() % limit;
        let mut witnesses = vec![FoundingVote::default(); if seed % 5 == 0 { 2 } else { 3 }];
        let majority = witnesses.len() / 2 + 1;
        let mut attempts: Vec<Attempt> = Vec::new();
        let mut decisions: Vec<ReplicaMembers> = Vec::new();
        for _ in 0..ATTEMPTS * 8 {
            if below(8) == 0 {
                let round = 1 + below(6);
                let ballot = FoundingBallot { round, candidate: below(CANDIDATES) };
                // A candidate never uses a ballot twice.
                if attempts.iter().all(|attempt| attempt.ballot != ballot) {
                    attempts.push(Attempt {
                        ballot,
                        promises: Vec::new(),
                        proposed: None,
                        unasked: (0..witnesses.len()).collect(),
                        votes: 0,
                    });
                }
            }
            let count = u64::try_from(attempts.len()).unwrap_or(0);
            let Some(attempt) = usize::try_from(below(count.max(1)))
                .ok()
                .and_then(|position| attempts.get_mut(position))
            else {
                continue;
            };
            let Some(asked) = attempt.unasked.pop() else { continue };
            // The request or its answer is lost.
            let (is_asked, is_answered) = (below(10) > 0, below(10) > 0);
            if !is_asked {
                continue;
            }
            let witness = &mut witnesses[asked];
            match &attempt.proposed {
                None => {
                    if witness.promise(attempt.ballot) && is_answered {
                        attempt.promises.push(witness.clone());
                    }
                    if attempt.promises.len() == majority {
                        let own = members(attempt.ballot.candidate);
                        let proposed = membership_to_propose(&attempt.promises, &own).clone();
                        attempt.proposed = Some(proposed);
                        attempt.unasked = (0..witnesses.len()).collect();
                    }
                }
                Some(proposed) => {
                    let granted = witness.accept(attempt.ballot, proposed);
                    attempt.votes += usize::from(granted && is_answered);
                    if attempt.votes == majority {
                        decisions.push(proposed.clone());
                    }
                }
            }
        }
        decided_runs += usize::from(!decisions.is_empty());
        contested_runs += usize::from(decisions.len() > 1);
        assert!(decisions.windows(2).all(|pair| pair[0] == pair[1]), "seed {seed}: {decisions:?}");
    }
    // Without these minimums, runs in which nothing is decided would pass.
    assert!(decided_runs > 10_000 && contested_runs > 2_000, "{decided_runs}, {contested_runs}");
}

/// Guards against a candidate that ignores an earlier vote, which may have been decisive.
#[test]
fn membership_to_propose_prefers_vote_of_highest_ballot() {
    let vote = |round, candidate| {
        let mut vote = FoundingVote::default();
        let ballot = FoundingBallot { round, candidate };
        assert!(vote.accept(ballot, &members(candidate)));
        vote
    };
    let own = members(9);
    let votes = [vote(2, 1), FoundingVote::default(), vote(1, 7)];
    assert_eq!(membership_to_propose(&votes, &own), &members(1));
    assert_eq!(membership_to_propose(&[FoundingVote::default()], &own), &own);
}
