//! What members of the group have told a process that is not a member itself.
//!
//! Settings name some controllers as seeds, which need not be members: one may have no disk, or
//! have lost it. A seed cannot learn of the members from its own settings, so the members, which
//! know each other from the log, send notices to the seeds of their current settings.

use crate::membership::ReplicaPresence;
use baobabfall_node::messages::SyncAnswer;
use baobabfall_node::units::millis;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;

/// Path to which a [`GroupNotice`] is posted.
pub const NOTICE_PATH: &str = "/control/v1/replica/notice";

/// What a member knows of its group, for a seed that is not a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupNotice {
    /// Address of the member that sends the notice.
    pub sender: SocketAddr,
    /// Highest term that the member has seen.
    pub term: u64,
    /// Index of the last log entry that the member knows to be committed.
    pub committed: u64,
    /// Leader of the term, if the member knows it.
    pub leader: Option<SocketAddr>,
    /// Addresses of all members.
    pub members: Vec<SocketAddr>,
}

#[derive(Clone, Debug)]
struct KnownGroup {
    notice: GroupNotice,
    heard: Instant,
}

/// The most recent [`GroupNotice`] that this process has received; shared by its clones.
///
/// ```
/// use baobabfall_controller::group_directory::{GroupDirectory, GroupNotice};
/// let member = "10.0.0.1:7400".parse().unwrap();
/// let directory = GroupDirectory::default();
/// assert!(directory.members().is_empty());
/// let notice =
///     GroupNotice { sender: member, term: 3, committed: 8, leader: None, members: vec![member] };
/// directory.record(notice);
/// assert_eq!(directory.members(), [member]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct GroupDirectory(Arc<Mutex<Option<KnownGroup>>>);

impl GroupDirectory {
    fn lock(&self) -> MutexGuard<'_, Option<KnownGroup>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps a notice unless a later one is known. The member with the longest committed log knows
    /// the most recent membership; one that is cut off from its group lags behind in the log, even
    /// if its term is higher.
    pub fn record(&self, notice: GroupNotice) {
        let mut known = self.lock();
        let position = |notice: &GroupNotice| (notice.committed, notice.term);
        let (mut changed, mut silence_ms) = (true, None);
        if let Some(held) = known.as_ref() {
            if position(&notice) < position(&held.notice) {
                return;
            }
            changed =
                (&held.notice.leader, &held.notice.members) != (&notice.leader, &notice.members);
            silence_ms = Some(millis(held.heard.elapsed()));
        }
        if changed {
            log::info!(event = "group_learned", sender = notice.sender.to_string(), term = notice.term, committed = notice.committed, leader = notice.leader.map(|leader| leader.to_string()), members = join_addresses(&notice.members), silence_ms = silence_ms; "a member told this process of its group");
        }
        *known = Some(KnownGroup { notice, heard: Instant::now() });
    }

    /// Addresses of the members, the leader's first if it is known; empty before the first notice.
    pub fn members(&self) -> Vec<SocketAddr> {
        self.lock().as_ref().map_or_else(Vec::new, |known| known.notice.ordered_members())
    }

    /// Answer to a process that asks for the members.
    pub fn presence(&self) -> ReplicaPresence {
        let known = self.lock();
        let members = known.as_ref().map_or_else(Vec::new, |known| known.notice.ordered_members());
        let age_ms = known.as_ref().map_or(0, |known| millis(known.heard.elapsed()));
        ReplicaPresence { in_group: !members.is_empty(), members, age_ms }
    }

    /// Answer to a node that asks for tables, which this process does not have; it names the group
    /// only.
    pub fn sync_answer(&self) -> SyncAnswer {
        let known = self.lock();
        let Some(known) = known.as_ref() else {
            return SyncAnswer { group_age_ms: Some(0), ..SyncAnswer::default() };
        };
        SyncAnswer {
            term: known.notice.term,
            leader: known.notice.leader,
            controllers: known.notice.members.clone(),
            group_age_ms: Some(millis(known.heard.elapsed())),
            ..SyncAnswer::default()
        }
    }
}

impl GroupNotice {
    fn ordered_members(&self) -> Vec<SocketAddr> {
        let mut members = self.members.clone();
        members.sort_by_key(|member| Some(*member) != self.leader);
        members
    }
}

/// Addresses for a field of a log line.
pub(crate) fn join_addresses(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(" ")
}
