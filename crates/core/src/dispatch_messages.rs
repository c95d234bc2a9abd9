//! Messages between routers and the dispatcher.
//!
//! Field names are short on the wire because a busy router sends each of them
//! several hundred times per second.
//!
//! Reports carry absolute values and a sequence number. Applying a report is
//! therefore idempotent: duplicates and reordered reports have no effect, and
//! the next report makes up for a lost one.

use crate::account_statement::AccountStatement;
use crate::software_version::SoftwareVersion;
use crate::upstream_limits::RequestRate;
use crate::upstream_registry::WorkTarget;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Cost in thousandths of a token.
pub type CostUnits = u64;
/// Number of [`CostUnits`] that make up one token.
pub const UNITS_PER_TOKEN: CostUnits = 1000;
/// Value of a time to the first token that the router could not measure.
pub const UNKNOWN_FIRST_TOKEN_MS: u32 = 0;

/// One run of a process of the fleet, from start to exit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// Configured name, unique in the fleet.
    pub name: String,
    /// Start time of the process in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

/// Identity of one slot lease. Routers reject grants of a term lower than the
/// highest one that they have seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LeaseId {
    /// Term of the dispatcher that granted the lease.
    #[serde(rename = "t")]
    pub term: u64,
    /// Sequence number within the term, starting at 1.
    #[serde(rename = "n")]
    pub number: u64,
}

/// Waiting requests of one workspace for one target at one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BacklogEntry {
    /// Model or service that the requests ask for.
    #[serde(rename = "t")]
    pub target: WorkTarget,
    /// Workspace that sent the requests.
    #[serde(rename = "w")]
    pub workspace: String,
    /// Number of waiting requests; zero removes the entry.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Cost that the router estimates for the first request in the queue; zero if it has no
    /// estimate.
    #[serde(rename = "c")]
    pub cost_hint: CostUnits,
    /// Hash of the prompt prefix of the first request, if it has one.
    #[serde(rename = "p")]
    pub prefix: Option<u64>,
    /// Upstream on which the first request has failed. It is used again only if no other one
    /// has a free slot.
    #[serde(rename = "a")]
    pub avoid: Option<String>,
    /// Prompts of the first waiting requests, in queue order; at most
    /// [`MAX_PROMPTS_PER_ENTRY`].
    #[serde(default, rename = "d", skip_serializing_if = "Vec::is_empty")]
    pub prompts: Vec<PromptSummary>,
}

/// What a router knows about the prompt of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptSummary {
    /// Hash of the prompt prefix that is shared with other requests.
    #[serde(rename = "p")]
    pub prefix: Option<u64>,
    /// Number of tokens in the shared prefix.
    #[serde(rename = "s")]
    pub shared: u32,
    /// Number of tokens after the shared prefix.
    #[serde(rename = "o")]
    pub own: u32,
    /// Target for the time from the grant to the first token, in milliseconds; zero means none.
    #[serde(rename = "m")]
    pub target_ms: u32,
    /// Cost that the router estimates for the request.
    #[serde(rename = "c")]
    pub cost: CostUnits,
}

/// Maximum number of prompts in one [`BacklogEntry`].
pub const MAX_PROMPTS_PER_ENTRY: usize = 16;

/// Outcome of a slot lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseEnd {
    /// The request finished.
    Finished,
    /// The upstream failed.
    Failed,
    /// The upstream rejected the request because it is at capacity.
    Refused,
    /// The router did not use the slot.
    Unused,
}

/// State of a slot lease as reported by the router that holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseUsage {
    /// Lease that this entry describes.
    #[serde(rename = "l")]
    pub lease: LeaseId,
    /// Name of the upstream that the slot belongs to.
    #[serde(rename = "u")]
    pub upstream: String,
    /// Incarnation of that upstream.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Model or service that the request asks for.
    #[serde(rename = "t")]
    pub target: WorkTarget,
    /// Workspace that is charged for the request.
    #[serde(rename = "w")]
    pub workspace: String,
    /// Cost so far; never decreases.
    #[serde(rename = "c")]
    pub charged: CostUnits,
    /// Time to the first token in milliseconds; absent until the first token arrives,
    /// and [`UNKNOWN_FIRST_TOKEN_MS`] when the router was too late itself to tell.
    #[serde(rename = "f")]
    pub first_token_ms: Option<u32>,
    /// Outcome, set once the slot is free again. Each report repeats it until the dispatcher
    /// acknowledges it.
    #[serde(rename = "e")]
    pub end: Option<LeaseEnd>,
}

/// Upstream that told the router not to send it requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRestriction {
    /// Name of the upstream.
    #[serde(rename = "n")]
    pub upstream: String,
    /// Incarnation of the upstream; a later one is not restricted.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// True when the upstream is leaving, which concerns every router.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// Time for which the upstream wants no requests from this router, in milliseconds.
    #[serde(rename = "q")]
    pub quiet_ms: u32,
}

/// Hash of the id of one part of a prompt, or of the content of a whole request.
pub type PartId = u64;

/// Request that an upstream dropped before the end of its answer, most likely because it
/// crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCasualty {
    /// Name of the upstream.
    #[serde(rename = "n")]
    pub upstream: String,
    /// Incarnation of the upstream; the casualties of one incarnation belong to one crash.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Shareable parts of the request's prompt.
    #[serde(rename = "p")]
    pub parts: Vec<PartId>,
    /// Hash of the content of the request. Routers of releases without this field leave it out.
    #[serde(default, rename = "r", skip_serializing_if = "Option::is_none")]
    pub request: Option<PartId>,
    /// True if the upstream had begun to answer the request.
    #[serde(default, rename = "b", skip_serializing_if = "std::ops::Not::not")]
    pub begun: bool,
}

/// Request, or part of a prompt, that crashes upstreams, so that it is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartQuarantine {
    /// The part.
    #[serde(rename = "p")]
    pub part: PartId,
    /// Time left, in milliseconds.
    #[serde(rename = "l")]
    pub left_ms: u32,
}

/// What a router reports about parts of prompts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// Version of the [`PartList`] that the router holds; zero when it has none of this
    /// dispatcher.
    #[serde(rename = "v")]
    pub version: u64,
    /// Dropped requests that are not acknowledged.
    #[serde(default, rename = "c", skip_serializing_if = "Vec::is_empty")]
    pub casualties: Vec<CrashCasualty>,
    /// Listed parts with which a request was answered whole, or for some seconds.
    #[serde(default, rename = "s", skip_serializing_if = "Vec::is_empty")]
    pub sound: Vec<PartId>,
    /// Listed parts with which an upstream began to answer a request.
    #[serde(default, rename = "b", skip_serializing_if = "Vec::is_empty")]
    pub begun: Vec<PartId>,
    /// In a full report, the parts that the router holds in quarantine.
    #[serde(default, rename = "q", skip_serializing_if = "Vec::is_empty")]
    pub quarantined: Vec<PartQuarantine>,
}

/// Parts of prompts that routers are asked about and those whose requests they refuse.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartList {
    /// Version of the list; increases with each change within a dispatcher's term.
    #[serde(rename = "v")]
    pub version: u64,
    /// Suspects: routers report when a request with such a part is answered.
    #[serde(rename = "w")]
    pub watched: Vec<PartId>,
    /// Parts in quarantine.
    #[serde(rename = "q")]
    pub quarantined: Vec<PartQuarantine>,
}

/// Request rate that an upstream names for itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLimit {
    /// Name of the upstream.
    #[serde(rename = "n")]
    pub upstream: String,
    /// Incarnation of the upstream; a later one is not limited.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Requests that the upstream takes from all routers together; `None` once it names no
    /// rate any more.
    #[serde(rename = "r")]
    pub rate: Option<RequestRate>,
}

/// What a router reports about the request rates that upstreams name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Version of the [`LimitList`] that the router holds; zero when it has none of this
    /// dispatcher.
    #[serde(rename = "v")]
    pub version: u64,
    /// Changes that the router saw in answers and that are not acknowledged.
    #[serde(default, rename = "c", skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<UpstreamLimit>,
    /// In a full report, the other rates that the router knows.
    #[serde(default, rename = "k", skip_serializing_if = "Vec::is_empty")]
    pub known: Vec<UpstreamLimit>,
}

/// Request rates of all upstreams that have named one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitList {
    /// Version of the list; increases with each change within a dispatcher's term.
    #[serde(rename = "v")]
    pub version: u64,
    /// The rates.
    #[serde(rename = "l")]
    pub limits: Vec<UpstreamLimit>,
}

/// Hash of the workspace and the id, or of the content, of the request that began a stream.
pub type StreamKey = u64;

/// Service and software version of the upstream that sent the first event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service that the upstream belongs to.
    #[serde(rename = "s")]
    pub service: String,
    /// Software version of the upstream.
    #[serde(rename = "v")]
    pub software: SoftwareVersion,
}

/// Streams with the same origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginGroup {
    /// Origin of the streams; `None` for keys of several streams with different origins.
    #[serde(rename = "o")]
    pub origin: Option<StreamOrigin>,
    /// Key of each stream, and the time in milliseconds for which its caller may resume it.
    #[serde(rename = "k")]
    pub streams: Vec<(StreamKey, u32)>,
}

/// What a router reports about the origins of streams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReport {
    /// Streams that the router began: all of them in a full report, otherwise those that are
    /// not acknowledged.
    #[serde(default, rename = "b", skip_serializing_if = "Vec::is_empty")]
    pub begun: Vec<OriginGroup>,
    /// Streams whose origin the router asks for, until it gets an answer.
    #[serde(default, rename = "q", skip_serializing_if = "Vec::is_empty")]
    pub lookups: Vec<StreamKey>,
}

/// Result of the lookup of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// Key of the stream.
    #[serde(rename = "k")]
    pub key: StreamKey,
    /// Its origin; `None` when no router has reported it or when it is ambiguous.
    #[serde(rename = "o")]
    pub origin: Option<StreamOrigin>,
    /// True if streams with this key began at several origins.
    #[serde(default, rename = "a", skip_serializing_if = "is_default")]
    pub ambiguous: bool,
}

/// Second copy of the origins of a router's streams, for a controller that doesn't lead. It
/// survives the loss of the host of both the router and the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginCopy {
    /// Incarnation of the controller that has confirmed all other streams; zero if there are none,
    /// as all are listed.
    #[serde(rename = "h")]
    pub holder: u64,
    /// Streams that the router began.
    #[serde(rename = "b")]
    pub begun: Vec<OriginGroup>,
}

/// Streams whose origins a router looks for in the copies that controllers hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginLookup {
    /// Keys of the streams.
    #[serde(rename = "k")]
    pub keys: Vec<StreamKey>,
}

/// Requests of one workspace that a router turned away before they could join its queue, since it
/// started. The dispatcher counts the growth as demand of the workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnedAway {
    /// Workspace that sent the requests.
    #[serde(rename = "w")]
    pub workspace: String,
    /// Number of requests.
    #[serde(rename = "n")]
    pub requests: u64,
}

/// What a router reports about its own load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterLoad {
    /// Requests that the router could take on now, by its processor time, memory and descriptors.
    #[serde(default, rename = "r")]
    pub room: u32,
    /// Address at which the router takes connections that other routers hand over. Absent when it
    /// takes none or is unchanged.
    #[serde(default, rename = "a", skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    /// True while the router is crowded and asks for neighbours.
    #[serde(default, rename = "k", skip_serializing_if = "is_default")]
    pub asks: bool,
    /// Connections a second that the router does not serve itself: those that neighbours take and
    /// those that are closed unread.
    #[serde(default, rename = "s", skip_serializing_if = "is_default")]
    pub sought: u32,
    /// Connections that were handed over and have not ended.
    #[serde(default, rename = "h", skip_serializing_if = "is_default")]
    pub handed_over: u32,
    /// Counts that have changed.
    #[serde(default, rename = "t", skip_serializing_if = "Vec::is_empty")]
    pub turned_away: Vec<TurnedAway>,
}

/// Router that takes requests of the one that gets this message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NeighbourRoom {
    /// Name of the router.
    #[serde(rename = "n")]
    pub router: String,
    /// Address at which it takes requests that other routers hand over.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Requests that this router may hand over to it at once.
    #[serde(rename = "r")]
    pub room: u32,
    /// True for a router of another availability zone.
    #[serde(default, rename = "d", skip_serializing_if = "is_default")]
    pub distant: bool,
}

/// Report that a router sends to the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchReport {
    /// Router that sends the report.
    #[serde(rename = "r")]
    pub router: NodeIdentity,
    /// Availability zone of the router.
    #[serde(rename = "z")]
    pub zone: String,
    /// Highest term that the router has seen in an answer; zero before the first answer. Only the
    /// dispatcher of this term applies the report, because a delta refers to what that dispatcher
    /// acknowledged.
    #[serde(rename = "t")]
    pub term: u64,
    /// Sequence number of the report within the router's incarnation, starting at 1.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// True if the report lists the whole backlog and every lease that the router holds; false
    /// for a delta.
    #[serde(rename = "f")]
    pub full: bool,
    /// Backlog entries: all of them in a full report, otherwise those that changed.
    #[serde(rename = "b")]
    pub backlog: Vec<BacklogEntry>,
    /// Leases: all of them in a full report, otherwise those that changed or ended.
    #[serde(rename = "u")]
    pub usage: Vec<LeaseUsage>,
    /// Lease number and cost so far of running leases that were granted in this term. Most
    /// reports carry nothing else, which makes them a tenth of the size that they would have
    /// with the same costs in `usage`.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "c")]
    pub charges: Vec<(u64, CostUnits)>,
    /// Highest grant number that the router has received in this term.
    #[serde(rename = "g")]
    pub received_grant: u64,
    /// Longest time that the dispatcher may delay the answer while it waits for grants (long
    /// poll), in milliseconds.
    #[serde(rename = "w")]
    pub wait_ms: u32,
    /// In a full report, the latest account statements that the router holds. Routers of releases
    /// without this field leave it out.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub statements: Vec<AccountStatement>,
    /// Upstreams that must get no requests of this router: all of them in a full report, otherwise
    /// those that changed. Routers of releases without this field leave it out.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "x")]
    pub restrictions: Vec<UpstreamRestriction>,
    /// Parts of prompts that crash upstreams, or do not. Routers of releases without this field
    /// leave it out.
    #[serde(default, skip_serializing_if = "is_default", rename = "p")]
    pub parts: PartReport,
    /// Request rates that upstreams name. Routers of releases without this field leave it out.
    #[serde(default, skip_serializing_if = "is_default", rename = "l")]
    pub limits: LimitReport,
    /// Origins of streams. Routers of releases without this field leave it out.
    #[serde(default, skip_serializing_if = "is_default", rename = "o")]
    pub origins: OriginReport,
    /// Load of the router itself; absent while it asks for nothing and offers nothing.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "d")]
    pub load: Option<RouterLoad>,
}

impl DispatchReport {
    /// True if the router waits for the answer, and not only for an acknowledgement.
    pub fn awaits_answer(&self) -> bool {
        self.full
            || !self.origins.lookups.is_empty()
            || self.backlog.iter().any(|entry| entry.queued > 0)
    }
}

/// True for a part of a message that may be left out.
fn is_default<T: Default + PartialEq>(part: &T) -> bool {
    *part == T::default()
}

/// Address and protocol features with which a router calls an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRoute {
    /// Name of the upstream, unique in the fleet.
    #[serde(rename = "n")]
    pub name: String,
    /// Incarnation of the upstream.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Address to connect to.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// True if the upstream rejects requests with a fencing token older than one that it has
    /// seen.
    #[serde(rename = "f")]
    pub honours_fencing: bool,
    /// True if an interrupted stream can be resumed from a given position.
    #[serde(rename = "r")]
    pub resume: bool,
    /// True if the upstream supports `POST /cancel/{request_id}`.
    #[serde(rename = "c")]
    pub cancel: bool,
    /// Software version of the upstream; `None` when it is unknown.
    #[serde(default, rename = "v", skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
    /// True if the slot was granted within the rate that the upstream tolerates while it is cold.
    /// Dispatchers of releases without this field leave it out.
    #[serde(default, rename = "p", skip_serializing_if = "is_default")]
    pub paced: bool,
}

/// Permission to run one request of a workspace on an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Lease that the grant creates.
    #[serde(rename = "l")]
    pub lease: LeaseId,
    /// Model or service that the request must ask for.
    #[serde(rename = "t")]
    pub target: WorkTarget,
    /// Workspace whose request may run.
    #[serde(rename = "w")]
    pub workspace: String,
    /// Upstream that runs the request.
    #[serde(rename = "u")]
    pub upstream: UpstreamRoute,
}

/// Instruction to a router to refuse waiting requests of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BacklogRefusal {
    /// Model or service that the requests ask for.
    pub target: WorkTarget,
    /// Workspace whose requests are refused.
    pub workspace: String,
    /// Number of requests that stay in the queue; the router refuses the newest ones beyond it.
    pub keep: u32,
    /// Time after which the caller should retry, in milliseconds.
    pub retry_after_ms: u32,
}

/// Answer of the dispatcher to a [`DispatchReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchAnswer {
    /// Term of the dispatcher that answers.
    #[serde(rename = "t")]
    pub term: u64,
    /// Sequence number of the latest report applied for this router.
    #[serde(rename = "a")]
    pub acknowledged: u64,
    /// True if the router's next report must be a full one.
    #[serde(rename = "s")]
    pub resync: bool,
    /// Grants that the router has not acknowledged, in order of their numbers.
    #[serde(rename = "g")]
    pub grants: Vec<SlotGrant>,
    /// Queues in which the router must refuse requests.
    #[serde(rename = "f")]
    pub refusals: Vec<BacklogRefusal>,
    /// Number of routers that the dispatcher knows. A router without a reachable dispatcher
    /// divides the slots of each upstream by it.
    #[serde(rename = "r")]
    pub routers: u32,
    /// Statements of the accounts whose ended leases this answer acknowledges. Dispatchers of
    /// releases without this field leave it out.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub statements: Vec<AccountStatement>,
    /// The list of parts of prompts, when the router holds another version of it.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "p")]
    pub parts: Option<PartList>,
    /// The request rates of upstreams, when the router holds another version of them.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "l")]
    pub limits: Option<LimitList>,
    /// Time in milliseconds for which the router may hold back changes that no request waits
    /// for. Dispatchers of releases without this field leave it out.
    #[serde(default, skip_serializing_if = "is_default", rename = "h")]
    pub hold_ms: u32,
    /// Results of the router's lookups of streams.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "o")]
    pub origins: Vec<OriginAnswer>,
    /// Routers that take requests of this one while it is crowded; absent when unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub neighbours: Option<Vec<NeighbourRoom>>,
}
