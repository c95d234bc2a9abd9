//! Records of the dispatcher. Workspaces, targets, pools, upstreams, routers
//! and zones are dense indices into its vectors.

use crate::backlog_queue::BacklogQueue;
use crate::dispatch_messages::{
    BacklogRefusal, CostUnits, LeaseId, NodeIdentity, SlotGrant, UpstreamRoute,
};
use crate::fair_order::{AccountValue, FairAccount, IndexedHeap, ServiceWindow};
use crate::placement::{FreeSlots, UpstreamCapacity};
use crate::rate_limit::WorkspaceLimit;
use crate::sorted_map::SortedMap;
use crate::upstream_registry::{UpstreamAnnouncement, UpstreamKind, WorkTarget};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// A target within a pool: the pool and the index into its targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TargetLocation {
    pub pool: usize,
    pub index: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    pub target: WorkTarget,
    /// Pools with upstreams that serve it.
    pub locations: Vec<TargetLocation>,
}

#[derive(Clone, Debug)]
pub(crate) struct PoolState {
    pub kind: UpstreamKind,
    pub name: String,
    pub targets: Vec<PoolTarget>,
    /// Live upstreams.
    pub members: Vec<usize>,
    pub window: ServiceWindow,
}

#[derive(Clone, Debug)]
pub(crate) struct PoolTarget {
    pub target: usize,
    /// Eligible workspaces with waiting requests, by account.
    pub order: IndexedHeap<AccountValue>,
    pub free: FreeSlots,
    /// Highest account to which a request of this target was granted.
    pub virtual_time: AccountValue,
    /// Targets of the pool that share an upstream with this one.
    pub related_targets: Vec<usize>,
}

#[derive(Clone, Debug)]
pub(crate) struct WorkspaceState {
    pub name: String,
    /// Weight and limits; none when the table has no such row.
    pub policy: Option<WorkspacePolicy>,
    pub running: u32,
    /// Records of leases, including those of restarted upstreams.
    pub leases: u32,
    /// True while a limit keeps it out of the order.
    pub blocked: bool,
    pub accounts: SortedMap<usize, FairAccount>,
    pub queues: SortedMap<usize, BacklogQueue>,
}

#[derive(Clone, Debug)]
pub(crate) struct WorkspacePolicy {
    pub weight: u32,
    pub limit: WorkspaceLimit,
}

impl WorkspaceState {
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            policy: None,
            running: 0,
            leases: 0,
            blocked: false,
            accounts: SortedMap::new(),
            queues: SortedMap::new(),
        }
    }

    pub fn weight(&self) -> u32 {
        self.policy.as_ref().map_or(1, |policy| policy.weight)
    }

    pub fn waiting(&self) -> u32 {
        self.queues.values().map(BacklogQueue::waiting).sum()
    }
}

#[derive(Clone, Debug)]
pub(crate) struct UpstreamState {
    pub name: String,
    pub incarnation: u64,
    pub announcement: Option<UpstreamAnnouncement>,
    pub zone: usize,
    pub live: bool,
    pub stopping: bool,
    pub capacity: UpstreamCapacity,
    /// Leases of this incarnation.
    pub running: u32,
    /// Lease records that refer to it, of any incarnation.
    pub leases: u32,
    pub locations: Vec<TargetLocation>,
    /// Prompt tokens granted to it whose requests have no first token yet.
    pub prefill: u64,
    /// Hash of the name, for rendezvous hashing.
    pub name_hash: u64,
}

impl UpstreamState {
    pub fn new(name: &str, incarnation: u64) -> Self {
        let hash = blake3::hash(name.as_bytes());
        Self {
            name_hash: hash
                .as_bytes()
                .first_chunk::<8>()
                .map_or(0, |part| u64::from_le_bytes(*part)),
            name: name.to_owned(),
            incarnation,
            announcement: None,
            zone: 0,
            live: false,
            stopping: false,
            capacity: UpstreamCapacity::new(1, None),
            running: 0,
            leases: 0,
            prefill: 0,
            locations: Vec::new(),
        }
    }

    pub fn route(&self) -> UpstreamRoute {
        let address = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let announcement = self.announcement.as_ref();
        UpstreamRoute {
            name: self.name.clone(),
            incarnation: self.incarnation,
            address: announcement.map_or(address, |known| known.address),
            honours_fencing: announcement.is_some_and(|known| known.honours_fencing),
            resume: announcement.is_some_and(|known| known.resume),
            cancel: announcement.is_some_and(|known| known.cancel),
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct RouterState {
    pub identity: NodeIdentity,
    pub zone: usize,
    /// True once a full report of this incarnation counts.
    pub synced: bool,
    pub sequence: u64,
    pub last_report_at: Duration,
    pub received_grant: u64,
    pub leases: SortedMap<LeaseId, LeaseRecord>,
    /// Grants that the router has not acknowledged, by number.
    pub pending_grants: VecDeque<SlotGrant>,
    /// Ended leases of the latest report with workspace and pool; a repetition
    /// is not charged again.
    pub ended: SortedMap<LeaseId, (usize, usize)>,
    /// Accounts to state, as (workspace, pool).
    pub pending_statements: SortedMap<(usize, usize), ()>,
    /// True once an answer stated them.
    pub statements_sent: bool,
    /// Reclaimed leases and what was charged for them.
    pub reclaimed: SortedMap<LeaseId, CostUnits>,
    /// Queue entries of this router, as (workspace, target).
    pub entries: SortedMap<(usize, usize), ()>,
    /// Queue entries with requests to refuse.
    pub pending_refusals: SortedMap<(usize, usize), ()>,
    /// True when it has grants or refusals that no answer carried yet.
    pub needs_answer: bool,
}

impl RouterState {
    pub fn new(identity: &NodeIdentity, now: Duration) -> Self {
        Self {
            identity: identity.clone(),
            zone: 0,
            synced: false,
            sequence: 0,
            last_report_at: now,
            received_grant: 0,
            leases: SortedMap::new(),
            pending_grants: VecDeque::new(),
            ended: SortedMap::new(),
            pending_statements: SortedMap::new(),
            statements_sent: false,
            reclaimed: SortedMap::new(),
            entries: SortedMap::new(),
            pending_refusals: SortedMap::new(),
            needs_answer: false,
        }
    }
}

/// A running or granted lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseRecord {
    pub workspace: usize,
    pub target: usize,
    pub pool: usize,
    pub upstream: usize,
    pub incarnation: u64,
    /// Weight at the time of the grant; corrections use it too, so that a
    /// refund never differs from its charge.
    pub weight: u32,
    pub cost_hint: CostUnits,
    pub estimate: CostUnits,
    /// Cost reported by the router.
    pub reported: CostUnits,
    /// Part of `reported` that an earlier record of this lease charged.
    pub already_charged: CostUnits,
    /// Weighted cost that the account holds for it.
    pub charge: AccountValue,
    pub first_token: bool,
    /// Prompt tokens that count as unread until the first token.
    pub prefill: u64,
    /// Time in which the first token should follow, in milliseconds; 0 for none.
    pub target_ms: u32,
}

/// Service, backlog and running requests of a workspace in a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountView<'a> {
    /// Workspace.
    pub workspace: &'a str,
    /// Kind of the pool's upstreams.
    pub kind: UpstreamKind,
    /// Name of the pool.
    pub pool: &'a str,
    /// Service reported so far.
    pub service: CostUnits,
    /// Weighted service that decides the order.
    pub value: AccountValue,
    /// Waiting requests that the pool could serve.
    pub backlog: u32,
    /// Running requests.
    pub running: u32,
}

/// Slots of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamView<'a> {
    /// Name of the upstream.
    pub name: &'a str,
    /// Incarnation.
    pub incarnation: u64,
    /// Announced concurrency; zero when it is not live.
    pub announced: u32,
    /// Learnt capacity.
    pub learnt: u32,
    /// Slots that may be used now.
    pub slots: u32,
    /// Running requests.
    pub running: u32,
    /// Ejected after failures.
    pub ejected: bool,
    /// Under a planned stop.
    pub stopping: bool,
}

/// Bounds of a refusal before it is addressed to a router.
pub(crate) fn refusal(
    target: &WorkTarget,
    workspace: &str,
    keep: u32,
    retry_after: Duration,
) -> BacklogRefusal {
    BacklogRefusal {
        target: target.clone(),
        workspace: workspace.to_owned(),
        keep,
        retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
    }
}
