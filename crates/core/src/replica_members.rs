//! Membership of the replicated log.

use serde::{Deserialize, Serialize};

/// Name of a controller and the rng number stored with its data.
///
/// A controller whose disk was lost gets a new number, so its answers are not
/// counted as those of the replica that held the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaIdentity {
    /// Name from the settings.
    pub name: String,
    /// Random number created together with the data folder.
    pub id: u64,
}

/// One replica of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMember {
    /// Who it is.
    pub identity: ReplicaIdentity,
    /// Where peers connect to.
    pub address: String,
    /// False for a learner, which receives the log but is not counted.
    pub voting: bool,
}

/// All replicas of the log, ordered by identity number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMembers {
    members: Vec<ReplicaMember>,
}

/// Change of the membership, one replica at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberChange {
    /// Adds a replica as a learner. The leader makes it a voter once it holds
    /// the log, after removing a voter of the same name, which it replaces.
    Add {
        /// Who it is.
        identity: ReplicaIdentity,
        /// Where peers connect to.
        address: String,
    },
    /// Removes a replica.
    Remove {
        /// Its identity number.
        id: u64,
    },
}

impl ReplicaMembers {
    /// Membership of a new log with one voter.
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

    /// All members, ordered by identity number.
    pub fn iter(&self) -> impl Iterator<Item = &ReplicaMember> {
        self.members.iter()
    }

    /// The members that are counted.
    pub fn voters(&self) -> impl Iterator<Item = &ReplicaMember> {
        self.members.iter().filter(|member| member.voting)
    }

    /// Looks a member up by identity number.
    pub fn get(&self, id: u64) -> Option<&ReplicaMember> {
        self.members.iter().find(|member| member.identity.id == id)
    }

    /// True when the replica is counted.
    pub fn is_voter(&self, id: u64) -> bool {
        self.get(id).is_some_and(|member| member.voting)
    }

    /// True when there is no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Number of voters that make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// True when the voters among `ids` make a quorum.
    pub fn has_quorum(&self, counted: impl Fn(u64) -> bool) -> bool {
        let count = self.voters().filter(|member| counted(member.identity.id)).count();
        count >= self.quorum() && !self.is_empty()
    }

    /// The largest value that a quorum of voters reaches.
    pub fn quorum_value<V: Ord + Copy>(&self, value: impl Fn(u64) -> V) -> Option<V> {
        let mut values: Vec<V> = self.voters().map(|member| value(member.identity.id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied()
    }

    /// The membership with a learner added.
    pub fn with_learner(&self, identity: ReplicaIdentity, address: String) -> Self {
        let mut members = self.members.clone();
        members.push(ReplicaMember { identity, address, voting: false });
        members.sort_by_key(|member| member.identity.id);
        Self { members }
    }

    /// The membership with a learner made a voter.
    pub fn with_voter(&self, id: u64) -> Self {
        let mut next = self.clone();
        for member in &mut next.members {
            member.voting |= member.identity.id == id;
        }
        next
    }

    /// The membership without a replica.
    pub fn without(&self, id: u64) -> Self {
        let kept = self.members.iter().filter(|member| member.identity.id != id);
        Self { members: kept.cloned().collect() }
    }
}
