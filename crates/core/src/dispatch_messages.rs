//! Messages between routers and the dispatcher.
//!
//! Names of fields are short on the wire, because a busy router sends each
//! some hundred times a second.
//!
//! Reports carry absolute values and a sequence number, so doubled and
//! reordered ones have no effect and lost ones are repaired by the next.

use crate::account_statement::AccountStatement;
use crate::upstream_registry::WorkTarget;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Cost of a request in thousandths of a token.
pub type CostUnits = u64;
/// Cost units of one token.
pub const UNITS_PER_TOKEN: CostUnits = 1000;

/// A process of the fleet at one start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// Name from the settings, unique in the fleet.
    pub name: String,
    /// Grows with each restart.
    pub incarnation: u64,
}

/// Identity of one slot lease; grants of a lower term are refused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LeaseId {
    /// Term of the dispatcher that granted it.
    #[serde(rename = "t")]
    pub term: u64,
    /// Number within the term, from 1.
    #[serde(rename = "n")]
    pub number: u64,
}

/// Requests of one workspace for one target that wait at a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BacklogEntry {
    /// What the requests ask for.
    #[serde(rename = "t")]
    pub target: WorkTarget,
    /// Workspace that sent them.
    #[serde(rename = "w")]
    pub workspace: String,
    /// Number of waiting requests; zero clears the entry.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Cost hint of the first request in the queue.
    #[serde(rename = "c")]
    pub cost_hint: CostUnits,
    /// Hash of the first request's prompt prefix, if it has one.
    #[serde(rename = "p")]
    pub prefix: Option<u64>,
    /// Upstream that the first request must avoid after a failed attempt.
    #[serde(rename = "a")]
    pub avoid: Option<String>,
    /// What is known of the first waiting requests, in their order.
    #[serde(default, rename = "d", skip_serializing_if = "Vec::is_empty")]
    pub prompts: Vec<PromptSummary>,
}

/// What a router knows of the prompt of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptSummary {
    /// Hash of the part of the prompt that other requests share.
    #[serde(rename = "p")]
    pub prefix: Option<u64>,
    /// Tokens of that part.
    #[serde(rename = "s")]
    pub shared: u32,
    /// Tokens of the rest.
    #[serde(rename = "o")]
    pub own: u32,
    /// Time in which the first token should follow the grant, in milliseconds.
    #[serde(rename = "m")]
    pub target_ms: u32,
    /// Estimated cost of the request.
    #[serde(rename = "c")]
    pub cost: CostUnits,
}

/// Most prompts that are noted in one entry.
pub const MAX_PROMPTS_PER_ENTRY: usize = 16;

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseEnd {
    /// The request finished.
    Finished,
    /// The upstream failed.
    Failed,
    /// The upstream answered that it is full.
    Refused,
    /// The slot was not used.
    Unused,
}

/// Use of a slot lease as its router reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseUsage {
    /// The lease.
    #[serde(rename = "l")]
    pub lease: LeaseId,
    /// Upstream and incarnation that the slot belongs to.
    #[serde(rename = "u")]
    pub upstream: String,
    /// Incarnation of the upstream.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// What the request asks for.
    #[serde(rename = "t")]
    pub target: WorkTarget,
    /// Workspace that is charged.
    #[serde(rename = "w")]
    pub workspace: String,
    /// Cost so far, never falling.
    #[serde(rename = "c")]
    pub charged: CostUnits,
    /// Time to the first token in milliseconds, once known.
    #[serde(rename = "f")]
    pub first_token_ms: Option<u32>,
    /// Set once the slot is free again; repeated until acknowledged.
    #[serde(rename = "e")]
    pub end: Option<LeaseEnd>,
}

/// Report of a router to the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchReport {
    /// Reporting router.
    #[serde(rename = "r")]
    pub router: NodeIdentity,
    /// Availability zone of the router.
    #[serde(rename = "z")]
    pub zone: String,
    /// Highest term of an answer that the router has seen, zero before the
    /// first. A report only counts at the dispatcher of this term, because a
    /// delta refers to what that dispatcher acknowledged.
    #[serde(rename = "t")]
    pub term: u64,
    /// Grows with each report of one incarnation, from 1.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// True when the report lists the whole backlog and every held lease.
    #[serde(rename = "f")]
    pub full: bool,
    /// Changed backlog entries, or all of them.
    #[serde(rename = "b")]
    pub backlog: Vec<BacklogEntry>,
    /// Changed or ended leases, or all of them.
    #[serde(rename = "u")]
    pub usage: Vec<LeaseUsage>,
    /// Number and cost so far of running leases of this term. Most reports
    /// carry nothing else, so they are a tenth of the size of the usage.
    #[serde(default, rename = "c")]
    pub charges: Vec<(u64, CostUnits)>,
    /// Highest grant number received in the dispatcher's term.
    #[serde(rename = "g")]
    pub received_grant: u64,
    /// How long the dispatcher may hold the answer for grants, in milliseconds.
    #[serde(rename = "w")]
    pub wait_ms: u32,
    /// In a full report, the latest statements that the router holds. Empty
    /// from routers that do not know the field.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub statements: Vec<AccountStatement>,
}

/// How a router reaches an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRoute {
    /// Name of the upstream.
    #[serde(rename = "n")]
    pub name: String,
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Where to connect to.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// It refuses orders with an older fencing token.
    #[serde(rename = "f")]
    pub honours_fencing: bool,
    /// Broken streams can be resumed by position.
    #[serde(rename = "r")]
    pub resume: bool,
    /// `POST /cancel/{request_id}` is understood.
    #[serde(rename = "c")]
    pub cancel: bool,
}

/// The right to run one request of a workspace on an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Identity of the lease.
    #[serde(rename = "l")]
    pub lease: LeaseId,
    /// What the request must ask for.
    #[serde(rename = "t")]
    pub target: WorkTarget,
    /// Workspace whose request runs.
    #[serde(rename = "w")]
    pub workspace: String,
    /// Where it runs.
    #[serde(rename = "u")]
    pub upstream: UpstreamRoute,
}

/// Refusal of waiting requests of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BacklogRefusal {
    /// What the requests ask for.
    pub target: WorkTarget,
    /// Workspace concerned.
    pub workspace: String,
    /// Queue length above which requests are refused.
    pub keep: u32,
    /// Time after which to retry, in milliseconds.
    pub retry_after_ms: u32,
}

/// Answer of the dispatcher to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchAnswer {
    /// Term of the dispatcher.
    #[serde(rename = "t")]
    pub term: u64,
    /// Highest report sequence applied for this router.
    #[serde(rename = "a")]
    pub acknowledged: u64,
    /// True when the router must send a full report next.
    #[serde(rename = "s")]
    pub resync: bool,
    /// Grants that the router has not acknowledged, by number.
    #[serde(rename = "g")]
    pub grants: Vec<SlotGrant>,
    /// Requests to refuse.
    #[serde(rename = "f")]
    pub refusals: Vec<BacklogRefusal>,
    /// Number of routers known to the dispatcher.
    #[serde(rename = "r")]
    pub routers: u32,
    /// Accounts whose ended leases the answer acknowledges. Empty from
    /// dispatchers that do not know the field.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub statements: Vec<AccountStatement>,
}
