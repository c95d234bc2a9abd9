//! Membership of the replicated log and its quorums.

use serde::{Deserialize, Serialize};

/// Name of a controller and the random id stored with its data.
///
/// A controller whose disk was lost gets a new id, so its answers are not counted
/// as those of the replica that held the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaIdentity {
    /// Name from the settings; the controller keeps it after the loss of its disk.
    pub name: String,
    /// Random number created together with the data folder.
    pub id: u64,
}

/// One member of the group of replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMember {
    /// Name and id of the replica.
    pub identity: ReplicaIdentity,
    /// Address that peers connect to, as host and port.
    pub address: String,
    /// False for a learner, which receives the log but does not count towards a
    /// quorum.
    pub voting: bool,
}

/// All members of the group of replicas, ordered by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMembers {
    members: Vec<ReplicaMember>,
}

/// Change of the membership. Replicas are added and removed one at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberChange {
    /// Adds a replica as a learner. Once it holds the committed log, the leader
    /// removes the voter of the same name, which it replaces, if there is one, and
    /// then makes it a voter.
    Add {
        /// Name and id of the new replica.
        identity: ReplicaIdentity,
        /// Address that peers connect to, as host and port.
        address: String,
    },
    /// Removes a replica, except for the last voter.
    Remove {
        /// Id of the replica.
        id: u64,
    },
    /// Removes a replica that is about to stop, unless that leaves fewer voters than
    /// [`ReplicaOptions::min_voters`](crate::replica_core::ReplicaOptions::min_voters).
    Leave {
        /// Id of the replica.
        id: u64,
    },
}

impl ReplicaMembers {
    /// Membership of a new log, whose first replica is the only voter.
    ///
    /// ```
    /// use baobabfall_core::replica_members::{ReplicaIdentity, ReplicaMembers};
    /// let identity = ReplicaIdentity { name: "controller-1".into(), id: 7 };
    /// let members = ReplicaMembers::single(identity, "10.0.0.1:7400");
    /// assert!(members.is_voter(7));
    /// ```
    pub fn single(identity: ReplicaIdentity, address: &str) -> Self {
        let member = ReplicaMember { identity, address: address.to_owned(), voting: true };
        Self { members: vec![member] }
    }

    /// All members, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &ReplicaMember> {
        self.members.iter()
    }

    /// The members that vote and count towards a quorum.
    pub fn voters(&self) -> impl Iterator<Item = &ReplicaMember> {
        self.members.iter().filter(|member| member.voting)
    }

    /// The member with the given id, voting or not.
    pub fn get(&self, id: u64) -> Option<&ReplicaMember> {
        self.members.iter().find(|member| member.identity.id == id)
    }

    /// True when the replica is a member and votes.
    pub fn is_voter(&self, id: u64) -> bool {
        self.get(id).is_some_and(|member| member.voting)
    }

    /// True when there are no members, as in a replica that was not added yet.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Number of voters that form a quorum, which is a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// True when the voters whose id satisfies `counted` form a quorum.
    pub fn has_quorum(&self, counted: impl Fn(u64) -> bool) -> bool {
        let count = self.voters().filter(|member| counted(member.identity.id)).count();
        count >= self.quorum() && !self.is_empty()
    }

    /// The largest value that a quorum of voters reaches or exceeds. `None` when
    /// there are no voters.
    pub fn quorum_value<V: Ord + Copy>(&self, value: impl Fn(u64) -> V) -> Option<V> {
        let mut values: Vec<V> = self.voters().map(|member| value(member.identity.id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied()
    }

    /// A copy of the membership with a learner added.
    pub fn with_learner(&self, identity: ReplicaIdentity, address: String) -> Self {
        let mut members = self.members.clone();
        members.push(ReplicaMember { identity, address, voting: false });
        members.sort_by_key(|member| member.identity.id);
        Self { members }
    }

    /// A copy of the membership in which the given learner is a voter.
    pub fn with_voter(&self, id: u64) -> Self {
        let mut next = self.clone();
        for member in &mut next.members {
            member.voting |= member.identity.id == id;
        }
        next
    }

    /// A copy of the membership without the given replica.
    pub fn without(&self, id: u64) -> Self {
        let kept = self.members.iter().filter(|member| member.identity.id != id);
        Self { members: kept.cloned().collect() }
    }
}
