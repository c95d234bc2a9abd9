//! Agreement on the first members of a group, before any of them has a log.
//!
//! The controllers that start a site know the same few witnesses and not each other. They agree by
//! single-decree Paxos: a candidate proposes a membership, the witnesses vote, and a majority of
//! votes in one ballot decides. A later ballot can only decide the same membership.

use crate::replica_members::ReplicaMembers;
use serde::{Deserialize, Serialize};

/// Number of one attempt of one candidate. Later attempts of any candidate have higher numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FoundingBallot {
    /// Number of the attempt, one more than every number that the candidate has seen.
    pub round: u64,
    /// Replica id of the candidate, so that the ballots of two candidates differ.
    pub candidate: u64,
}

/// A membership that a witness has voted for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedFounding {
    /// Ballot of the vote.
    pub ballot: FoundingBallot,
    /// The first members of the group.
    pub members: ReplicaMembers,
}

/// What a witness has promised and voted for.
///
/// ```
/// use baobabfall_core::founding_vote::{FoundingBallot, FoundingVote};
/// use baobabfall_core::replica_members::{ReplicaIdentity, ReplicaMembers};
/// let identity = ReplicaIdentity { name: "controller-1".into(), id: 7 };
/// let members = ReplicaMembers::single(identity, "10.0.0.1:7400");
/// let (early, late) =
///     (FoundingBallot { round: 1, candidate: 7 }, FoundingBallot { round: 2, candidate: 3 });
/// let mut vote = FoundingVote::default();
/// assert!(vote.promise(late));
/// assert!(!vote.accept(early, &members));
/// assert!(vote.accept(late, &members));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundingVote {
    /// The witness takes part in no ballot below this one.
    pub promised: FoundingBallot,
    /// The vote of the highest ballot in which the witness has voted.
    pub accepted: Option<AcceptedFounding>,
}

impl FoundingVote {
    /// Promises to take part in no lower ballot. False if a higher one was promised.
    pub fn promise(&mut self, ballot: FoundingBallot) -> bool {
        let granted = ballot >= self.promised;
        self.promised = self.promised.max(ballot);
        granted
    }

    /// Votes for `members`. False if a higher ballot was promised.
    pub fn accept(&mut self, ballot: FoundingBallot, members: &ReplicaMembers) -> bool {
        let granted = self.promise(ballot);
        if granted {
            self.accepted = Some(AcceptedFounding { ballot, members: members.clone() });
        }
        granted
    }
}

/// The membership that a candidate has to propose after a majority of witnesses made promises:
/// the one voted for in the highest ballot, which may be decided already, or else its own.
pub fn membership_to_propose<'a>(
    promises: impl IntoIterator<Item = &'a FoundingVote>,
    own: &'a ReplicaMembers,
) -> &'a ReplicaMembers {
    let votes = promises.into_iter().filter_map(|vote| vote.accepted.as_ref());
    votes.max_by_key(|vote| vote.ballot).map_or(own, |vote| &vote.members)
}
