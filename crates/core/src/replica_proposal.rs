//! Validation of proposals and changes of the membership by the leader.

use crate::control_command::ControlCommand;
use crate::replica_core::{
    LEADER_LEASE, MEMBER_LIMIT, MEMBER_TIMEOUT, ReplicaCore, ReplicaRole, UNCOMMITTED_LIMIT,
};
use crate::replica_events::RejectReason;
use crate::replica_members::MemberChange;
use rand::Rng;
use std::time::Duration;

impl<R: Rng> ReplicaCore<R> {
    pub(crate) fn check_leader(&self, now: Duration) -> Result<(), RejectReason> {
        if self.role != ReplicaRole::Leader {
            return Err(RejectReason::NotLeader(self.leader.clone()));
        }
        if !self.has_lease(now) {
            return Err(RejectReason::NoQuorum);
        }
        Ok(())
    }

    pub(crate) fn check_proposal(
        &self,
        now: Duration,
        command: &ControlCommand,
    ) -> Result<(), RejectReason> {
        self.check_leader(now)?;
        if matches!(command, ControlCommand::Members { .. }) {
            return Err(RejectReason::InvalidChange);
        }
        if self.log.last_index() - self.commit_index >= UNCOMMITTED_LIMIT {
            return Err(RejectReason::Overloaded);
        }
        Ok(())
    }

    /// True when a change of the membership may be appended: the previous change and
    /// the first entry of this term must be committed.
    fn may_change_members(&self) -> bool {
        self.log.members_index() <= self.commit_index && self.term_start_index <= self.commit_index
    }

    pub(crate) fn check_member_change(
        &self,
        now: Duration,
        change: MemberChange,
    ) -> Result<ControlCommand, RejectReason> {
        self.check_leader(now)?;
        if !self.may_change_members() {
            return Err(RejectReason::ChangePending);
        }
        let current = self.log.members();
        let members = match change {
            MemberChange::Add { identity, address } => {
                if current.get(identity.id).is_some() || current.iter().count() >= MEMBER_LIMIT {
                    return Err(RejectReason::InvalidChange);
                }
                current.with_learner(identity, address)
            }
            MemberChange::Remove { id } => {
                let is_last_voter = current.is_voter(id) && current.voters().count() == 1;
                if current.get(id).is_none() || is_last_voter {
                    return Err(RejectReason::InvalidChange);
                }
                current.without(id)
            }
            MemberChange::Leave { id } => {
                let is_needed =
                    current.is_voter(id) && current.voters().count() <= self.options.min_voters;
                // A leader first passes the lead on.
                if current.get(id).is_none() || id == self.options.identity.id || is_needed {
                    return Err(RejectReason::InvalidChange);
                }
                current.without(id)
            }
        };
        Ok(ControlCommand::Members { members })
    }

    /// Removes one member that has not answered for [`MEMBER_TIMEOUT`], unless
    /// removal is left to operators. A voter is removed only while there are more
    /// voters than the minimum: with fewer voters, a quorum would hold fewer copies
    /// of each entry.
    pub(crate) fn remove_unreachable_member(&mut self, now: Duration) {
        let minimum = self.options.min_voters;
        if minimum == usize::MAX || !self.may_change_members() || !self.has_lease(now) {
            return;
        }
        let members = self.log.members();
        let has_spare_voter = members.voters().count() > minimum;
        let unreachable = members.iter().find(|member| {
            let removable = !member.voting || has_spare_voter;
            // A learner that never answered is kept, since it may have been added just now.
            let last_contact = self
                .peers
                .get(&member.identity.id)
                .and_then(|peer| peer.acked_at.or_else(|| member.voting.then_some(self.led_since)));
            removable && last_contact.is_some_and(|contact| contact + MEMBER_TIMEOUT <= now)
        });
        let Some(id) = unreachable.map(|member| member.identity.id) else { return };
        let members = members.without(id);
        let entry = self.next_entry(ControlCommand::Members { members }, 0);
        self.append_entry(entry);
    }

    /// Makes a reachable learner that holds the committed log a voter. If there is a
    /// voter of the same name, removes that one first, so that the replacement of a
    /// lost replica does not raise the quorum.
    pub(crate) fn promote_learner(&mut self, now: Duration) {
        if !self.may_change_members() || !self.has_lease(now) {
            return;
        }
        let members = self.log.members();
        let ready = members.iter().filter(|member| !member.voting).filter(|member| {
            self.peers.get(&member.identity.id).is_some_and(|peer| {
                let reachable = peer.acked_at.is_some_and(|acked| acked + LEADER_LEASE > now);
                reachable && peer.match_index >= self.commit_index
            })
        });
        // A learner with the leader's own name has to wait until another replica leads.
        let learner = ready
            .map(|member| &member.identity)
            .find(|learner| learner.name != self.options.identity.name);
        let Some(learner) = learner else { return };
        let replaced = members.voters().find(|voter| voter.identity.name == learner.name);
        let next = match replaced {
            Some(voter) => members.without(voter.identity.id),
            None => members.with_voter(learner.id),
        };
        let entry = self.next_entry(ControlCommand::Members { members: next }, 0);
        self.append_entry(entry);
    }
}
