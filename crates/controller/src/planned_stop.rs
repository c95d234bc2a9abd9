//! Takes a controller that is about to stop out of its group.
//!
//! A voter that ends without notice counts towards the quorum until the leader has missed its
//! answers for [`MEMBER_TIMEOUT`](baobabfall_core::replica_core::MEMBER_TIMEOUT). When several
//! voters stop within that time, the remaining ones may be too few to remove any of them.

use crate::controller::ControllerHandle;
use crate::options::ControllerOptions;
use crate::replica_driver::{ReplicaHandle, ReplicaRefusal};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::replica_members::{MemberChange, ReplicaIdentity};
use baobabfall_node::http_client::PeerClient;
use baobabfall_node::units::millis;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Path to which a [`LeaveRequest`] is posted.
pub const LEAVE_PATH: &str = "/control/v1/replica/leave";
/// Longest time that a controller stays up to leave its group. Several voters that stop together
/// leave one after the other, and each removal waits for the disks of a quorum.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time that a leader waits for a voter that can take the lead.
const PASS_LEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Request to the leader to remove a replica that is about to stop.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaveRequest {
    /// Replica that stops.
    pub identity: ReplicaIdentity,
}

/// Answer to a [`LeaveRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaveAnswer {
    /// The replica is not a member any more.
    Removed,
    /// The group is too small to remove the replica, which is expected to come back.
    Needed,
}

impl ControllerHandle {
    /// Prepares a planned stop: passes the lead on and leaves an open group, if it keeps enough
    /// voters. Returns after 3 s at the latest. The controller goes on to serve requests.
    pub async fn leave_group(&mut self) {
        let Some(membership) = self.membership.take() else { return };
        // This task would join the group again.
        membership.abort();
        let started = Instant::now();
        let api = self.api().clone();
        let leave = leave_group(&api.options, &api.replica, &self.identity);
        let outcome = tokio::time::timeout(LEAVE_TIMEOUT, leave).await.unwrap_or("timed_out");
        log::info!(event = "group_left", outcome = outcome, waited_ms = millis(started.elapsed()); "prepared the group for the stop of this controller");
    }
}

/// Returns the outcome for the log.
async fn leave_group(
    options: &ControllerOptions,
    replica: &ReplicaHandle,
    identity: &ReplicaIdentity,
) -> &'static str {
    loop {
        let view = replica.view();
        if view.failed.is_some() || view.members.get(identity.id).is_none() {
            return "not_a_member";
        }
        if view.members.voters().count() <= 1 {
            return "only_voter";
        }
        if view.led_term.is_some() {
            if !pass_lead(replica).await {
                return "lead_kept";
            }
            continue;
        }
        let has_learner = view.members.iter().any(|member| !member.voting);
        if view.members.voters().count() <= options.min_voters() && !has_learner {
            return "needed";
        }
        let leader = view.leader.as_ref().and_then(|leader| view.members.get(leader.id));
        if let Some(address) = leader.and_then(|member| member.address.parse().ok()) {
            match ask_to_leave(address, &options.process.token(), identity).await {
                Some(LeaveAnswer::Removed) => return "removed",
                Some(LeaveAnswer::Needed) => return "needed",
                None => {}
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Passes the lead to another voter. Returns false if this replica still leads after a while, for
/// example because no other voter is in contact.
async fn pass_lead(replica: &ReplicaHandle) -> bool {
    let deadline = Instant::now() + PASS_LEAD_TIMEOUT;
    while replica.led_term().is_some() {
        if Instant::now() >= deadline {
            return false;
        }
        replica.pass_lead().await;
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    true
}

async fn ask_to_leave(
    leader: SocketAddr,
    token: &str,
    identity: &ReplicaIdentity,
) -> Option<LeaveAnswer> {
    let request = LeaveRequest { identity: identity.clone() };
    let client = PeerClient::new(leader);
    match client.call(LEAVE_PATH, token, &request, LEAVE_TIMEOUT).await {
        Ok(answer) => Some(answer),
        Err(error) => {
            log::debug!(leader = leader.to_string(); "not removed from the group: {error}");
            None
        }
    }
}

/// Removes a replica that is about to stop; called on the leader. The request is idempotent.
pub async fn accept_leave(
    options: &ControllerOptions,
    replica: &ReplicaHandle,
    request: LeaveRequest,
) -> Result<LeaveAnswer, ReplicaRefusal> {
    replica.confirm_read().await?;
    let (id, members) = (request.identity.id, replica.view().members);
    if members.get(id).is_none() {
        return Ok(LeaveAnswer::Removed);
    }
    if members.is_voter(id) && members.voters().count() <= options.min_voters() {
        if members.iter().all(|member| member.voting) {
            return Ok(LeaveAnswer::Needed);
        }
        let message = "A learner has to become a voter first.".to_owned();
        return Err(ReplicaRefusal { kind: ErrorKind::LimitReached, message });
    }
    log::info!(event = "member_left", controller = request.identity.name.as_str(); "removing a controller that is about to stop");
    replica.change_members(MemberChange::Leave { id }).await.map(|_| LeaveAnswer::Removed)
}
