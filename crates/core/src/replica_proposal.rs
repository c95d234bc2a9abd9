//! What the leader accepts: proposals and changes of the membership.

use crate::control_command::ControlCommand;
use crate::replica_core::{
    LEADER_LEASE, MEMBER_LIMIT, MEMBER_SILENCE, ReplicaCore, ReplicaRole, UNCOMMITTED_LIMIT,
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
        if self.log.last_index() - self.commit >= UNCOMMITTED_LIMIT {
            return Err(RejectReason::Overloaded);
        }
        Ok(())
    }

    /// True when a change of the membership may be appended: the last one and
    /// an entry of this term are committed.
    fn may_change_members(&self) -> bool {
        self.log.members_index() <= self.commit && self.term_start <= self.commit
    }

    pub(crate) fn check_change(
        &self,
        now: Duration,
        change: MemberChange,
    ) -> Result<ControlCommand, RejectReason> {
        self.check_leader(now)?;
        if !self.may_change_members() {
            return Err(RejectReason::ChangePending);
        }
        let held = self.log.members();
        let members = match change {
            MemberChange::Add { identity, address } => {
                if held.get(identity.id).is_some() || held.iter().count() >= MEMBER_LIMIT {
                    return Err(RejectReason::InvalidChange);
                }
                held.with_learner(identity, address)
            }
            MemberChange::Remove { id } => {
                let last = held.is_voter(id) && held.voters().count() == 1;
                if held.get(id).is_none() || last {
                    return Err(RejectReason::InvalidChange);
                }
                held.without(id)
            }
        };
        Ok(ControlCommand::Members { members })
    }

    /// Removes one member that was silent for long, in an open group. A voter
    /// stays while no more than the least number of voters are left: its
    /// removal would let fewer copies make a quorum.
    pub(crate) fn remove_lost_member(&mut self, now: Duration) {
        let least = self.options.min_voters;
        if least == usize::MAX || !self.may_change_members() || !self.has_lease(now) {
            return;
        }
        let members = self.log.members();
        let spare_voter = members.voters().count() > least;
        let lost = members.iter().find(|member| {
            let removable = !member.voting || spare_voter;
            // A learner that never answered may have been added just now.
            let heard = self
                .peers
                .get(&member.identity.id)
                .and_then(|peer| peer.acked_at.or_else(|| member.voting.then_some(self.led_since)));
            removable && heard.is_some_and(|heard| heard + MEMBER_SILENCE <= now)
        });
        let Some(id) = lost.map(|member| member.identity.id) else { return };
        let members = members.without(id);
        let entry = self.next_entry(ControlCommand::Members { members }, 0);
        self.append_entry(entry);
    }

    /// Makes a learner that holds the log a voter, after removing the voter
    /// of the same name, so that a lost replica does not raise the quorum.
    pub(crate) fn admit_learner(&mut self, now: Duration) {
        if !self.may_change_members() || !self.has_lease(now) {
            return;
        }
        let members = self.log.members();
        let ready = members.iter().filter(|member| !member.voting).find(|member| {
            self.peers.get(&member.identity.id).is_some_and(|peer| {
                let heard = peer.acked_at.is_some_and(|acked| acked + LEADER_LEASE > now);
                heard && peer.matched >= self.commit
            })
        });
        let Some(ready) = ready.map(|member| member.identity.clone()) else { return };
        let replaced =
            members.voters().map(|member| &member.identity).find(|held| held.name == ready.name);
        let next = match replaced {
            Some(held) if *held == self.options.identity => return,
            Some(held) => members.without(held.id),
            None => members.with_voter(ready.id),
        };
        let entry = self.next_entry(ControlCommand::Members { members: next }, 0);
        self.append_entry(entry);
    }
}
