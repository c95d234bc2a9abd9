//! State that the dispatcher keeps per workspace, target, pool, upstream and
//! router. Each of these, and each availability zone, is referred to by its
//! index in a vector of the dispatcher.

use crate::backlog_queue::BacklogQueue;
use crate::dispatch_messages::{
    BacklogRefusal, CostUnits, LeaseId, NodeIdentity, PromptSummary, SlotGrant, StreamKey,
    UpstreamRoute,
};
use crate::dispatch_neighbours::ReportedLoad;
use crate::fair_order::{AccountValue, FairAccount, IndexedHeap, ServiceWindow};
use crate::placement::{FreeSlots, UpstreamCapacity};
use crate::rate_limit::WorkspaceLimit;
use crate::sorted_map::SortedMap;
use crate::upstream_registry::{UpstreamAnnouncement, UpstreamKind, WorkTarget};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Location of a target's state: a pool and an index into the targets of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TargetLocation {
    pub pool: usize,
    pub index: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct TargetState {
    pub target: WorkTarget,
    /// One location per pool with upstreams that serve the target.
    pub locations: Vec<TargetLocation>,
}

#[derive(Clone, Debug)]
pub(crate) struct PoolState {
    pub kind: UpstreamKind,
    pub name: String,
    pub targets: Vec<PoolTarget>,
    /// Indices of the live upstreams.
    pub members: Vec<usize>,
    pub window: ServiceWindow,
}

#[derive(Clone, Debug)]
pub(crate) struct PoolTarget {
    pub target: usize,
    /// Workspaces that have waiting requests and are within their limits, ordered by account.
    pub order: IndexedHeap<AccountValue>,
    pub free: FreeSlots,
    /// Highest account value at which a request for this target was granted.
    pub virtual_time: AccountValue,
    /// Indices of the pool's targets that share an upstream with this one.
    pub related_targets: Vec<usize>,
}

#[derive(Clone, Debug)]
pub(crate) struct WorkspaceState {
    pub name: String,
    /// Weight and limits; `None` if the workspace table has no row for the workspace.
    pub policy: Option<WorkspacePolicy>,
    pub running: u32,
    /// Number of lease records, including those on earlier incarnations of upstreams.
    pub leases: u32,
    /// True while the workspace may not be granted slots, because of its limits or because it has
    /// no waiting requests or no policy.
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
    /// Incarnation that told a router that it is leaving.
    pub left: Option<u64>,
    pub capacity: UpstreamCapacity,
    /// Number of leases on the current incarnation.
    pub running: u32,
    /// Number of lease records on any incarnation.
    pub leases: u32,
    pub locations: Vec<TargetLocation>,
    /// Prompt tokens of granted requests that have no first token yet.
    pub prefill: u64,
    /// Hash of the upstream's name, for rendezvous hashing.
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
            left: None,
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
            software: announcement.and_then(|known| known.software.clone()),
            paced: false,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct RouterState {
    pub identity: NodeIdentity,
    pub zone: usize,
    /// True once a full report of this incarnation was applied in this term.
    pub synced: bool,
    pub sequence: u64,
    pub last_report_at: Duration,
    pub received_grant: u64,
    pub leases: SortedMap<LeaseId, LeaseRecord>,
    /// Grants that the router has not acknowledged, in order of their numbers.
    pub pending_grants: VecDeque<SlotGrant>,
    /// Workspace and pool of each lease that the latest report listed as ended. A repeated end
    /// is not charged again.
    pub ended: SortedMap<LeaseId, (usize, usize)>,
    /// Accounts whose statements the next answers must carry, as (workspace, pool).
    pub pending_statements: SortedMap<(usize, usize), ()>,
    /// True once an answer carried the pending statements.
    pub statements_sent: bool,
    /// Leases reclaimed from the router while it was silent, and the cost charged for each.
    pub reclaimed: SortedMap<LeaseId, CostUnits>,
    /// Queues in which the router has requests or unreceived grants, as (workspace, target).
    pub entries: SortedMap<(usize, usize), ()>,
    /// Queues in which the router must refuse requests, as (workspace, target).
    pub pending_refusals: SortedMap<(usize, usize), ()>,
    /// True if there are grants or refusals that no answer has carried yet.
    pub needs_answer: bool,
    /// True while the router is listed as one to wake.
    pub is_unwoken: bool,
    /// Upstreams that want no requests from the router: incarnation and end of that time.
    pub quiet: SortedMap<usize, (u64, Duration)>,
    /// Version of the list of parts that the router holds.
    pub parts_version: u64,
    /// Version of the list of request rates that the router holds.
    pub limits_version: u64,
    /// Grants that the router returned unused since the last reading of the load.
    pub unused_grants: u64,
    /// Streams whose origins the router asked for.
    pub lookups: SortedMap<StreamKey, ()>,
    /// What the router reported about its own load.
    pub load: ReportedLoad,
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
            is_unwoken: false,
            quiet: SortedMap::new(),
            parts_version: 0,
            limits_version: 0,
            unused_grants: 0,
            lookups: SortedMap::new(),
            load: ReportedLoad::default(),
        }
    }
}

/// A lease that was granted or adopted and has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseRecord {
    pub workspace: usize,
    pub target: usize,
    pub pool: usize,
    pub upstream: usize,
    pub incarnation: u64,
    /// Weight of the workspace at the time of the grant. Later corrections of the charge use the
    /// same weight, so that a refund matches its charge.
    pub weight: u32,
    pub cost_hint: CostUnits,
    pub estimate: CostUnits,
    /// Highest cost that the router has reported.
    pub reported: CostUnits,
    /// Part of `reported` that was charged by an earlier record of this lease, before the lease
    /// was reclaimed.
    pub already_charged: CostUnits,
    /// Weighted cost that is currently charged to the account for this lease.
    pub charge: AccountValue,
    pub first_token: bool,
    /// Prompt tokens that count towards the upstream's `prefill` until the first token.
    pub prefill: u64,
    /// Target for the time to the first token, in milliseconds; zero means none.
    pub target_ms: u32,
    /// True when the grant was taken from the rate that the upstream tolerates while cold.
    pub paced: bool,
    /// What the router reported about the prompt; `None` for adopted leases.
    pub prompt: Option<PromptSummary>,
}

/// Service, backlog and running requests of a workspace in a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountView<'a> {
    /// Name of the workspace.
    pub workspace: &'a str,
    /// Kind of the pool's upstreams.
    pub kind: UpstreamKind,
    /// Name of the pool.
    pub pool: &'a str,
    /// Cost reported so far, without weight or estimates.
    pub service: CostUnits,
    /// Weighted service, including estimates of running requests; the lowest value is granted
    /// first.
    pub value: AccountValue,
    /// Number of waiting requests that the pool can serve.
    pub backlog: u32,
    /// Number of running requests.
    pub running: u32,
}

/// Capacity and slots of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamView<'a> {
    /// Name of the upstream.
    pub name: &'a str,
    /// Latest known incarnation of the upstream.
    pub incarnation: u64,
    /// Announced concurrency; zero if the upstream is not live.
    pub announced: u32,
    /// Learnt capacity, without ejection and slow start.
    pub learnt: u32,
    /// Number of slots that may be used now, including the used ones.
    pub slots: u32,
    /// Number of running requests.
    pub running: u32,
    /// True while the upstream is ejected after consecutive failures.
    pub ejected: bool,
    /// True while a planned stop keeps new requests away from the upstream.
    pub stopping: bool,
    /// True while operators have evacuated the upstream's availability zone.
    pub evacuated: bool,
}

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
