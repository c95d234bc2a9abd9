//! Messages between processes, other than those of dispatch and the log.

pub use baobabfall_core::action_ledger::FencingToken;
pub use baobabfall_core::control_command::StopKind;
use baobabfall_core::dispatch_messages::NodeIdentity;
use baobabfall_core::route_table::RouteTable;
use baobabfall_core::upstream_registry::UpstreamAnnouncement;
use baobabfall_core::workspace_table::{RowChange, WorkspaceTable};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Path of [`baobabfall_core::dispatch_messages::DispatchReport`].
pub const REPORT_PATH: &str = "/control/v1/report";
/// Path of [`SyncRequest`].
pub const SYNC_PATH: &str = "/control/v1/sync";
/// Path of [`AnnounceMessage`] between processes.
pub const FORWARD_PATH: &str = "/control/v1/announce";
/// Path of announcements by upstreams, JSON.
pub const ANNOUNCE_PATH: &str = "/upstreams/v1/announce";
/// Path of withdrawals by upstreams, JSON.
pub const WITHDRAW_PATH: &str = "/upstreams/v1/withdraw";
/// Path of [`ClaimRequest`].
pub const CLAIM_PATH: &str = "/control/v1/actions/claim";
/// Path of [`OutcomeRequest`].
pub const OUTCOME_PATH: &str = "/control/v1/actions/outcome";

/// Kind of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeKind {
    /// A router.
    Router,
    /// A controller.
    Controller,
}

/// What a node holds; the answer brings it forward.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The asking node.
    pub node: NodeIdentity,
    /// Its kind.
    pub kind: NodeKind,
    /// Its availability zone.
    pub zone: String,
    /// Table revision in force at the node; zero when it has none.
    pub revision: u64,
    /// Version of the planned stops it holds.
    pub stops_version: u64,
    /// Term and version of the registry it holds.
    pub registry_version: (u64, u64),
    /// Requests in progress, for the progress of planned stops.
    pub in_progress: u32,
    /// How long the answer may be held for news, in milliseconds.
    pub wait_ms: u32,
    /// Version of the route table that the node holds.
    #[serde(default)]
    pub routes_version: u64,
}

/// News for a node; revisions only grow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncAnswer {
    /// True when the leader confirmed that nothing newer was committed before
    /// the request. Only a node without a table is told.
    pub confirmed: bool,
    /// True when the answering controller leads and holds its lease.
    #[serde(default)]
    pub leads: bool,
    /// Term of the answering controller.
    pub term: u64,
    /// Address of the leader, if known.
    pub leader: Option<std::net::SocketAddr>,
    /// Latest committed revision at the controller.
    pub revision: u64,
    /// Table changes, when the node's revision is older.
    pub table: Option<TableUpdate>,
    /// Planned stops, when the node's version is older.
    pub stops: Option<StopList>,
    /// Live upstreams, when the node's version differs.
    pub registry: Option<RegistryView>,
    /// The route table, when it is newer than the node's.
    #[serde(default)]
    pub routes: Option<Arc<RouteTable>>,
    /// Milliseconds since the controller applied that route table.
    #[serde(default)]
    pub routes_age_ms: u64,
    /// Addresses of all controllers of the group.
    #[serde(default)]
    pub controllers: Vec<std::net::SocketAddr>,
}

/// The step from one table revision to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// Revision that the changes start from; zero for the empty table.
    pub from: u64,
    /// Revision that results.
    pub to: u64,
    /// Changed rows.
    pub changes: Vec<RowChange>,
    /// Digest of the resulting table.
    pub digest: String,
    /// Milliseconds since the edit was accepted.
    pub age_ms: u64,
}

impl TableUpdate {
    /// Applies the update to `table` at `revision`; `None` when it does not fit.
    pub fn apply(&self, revision: u64, table: &WorkspaceTable) -> Option<WorkspaceTable> {
        let mut next = if self.from == 0 { WorkspaceTable::default() } else { table.clone() };
        if self.to <= revision || (self.from != 0 && self.from != revision) {
            return None;
        }
        next.apply(&self.changes);
        (next.digest() == self.digest).then_some(next)
    }
}

/// A planned stop as nodes see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// What stops.
    pub kind: StopKind,
    /// Name of the host, upstream, router or controller.
    pub name: String,
}

/// All planned stops in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopList {
    /// Grows with each change.
    pub version: u64,
    /// The stops.
    pub stops: Vec<PlannedStop>,
}

/// Live upstreams as a node holds them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryView {
    /// Term and version of the view.
    pub version: (u64, u64),
    /// Live upstreams.
    pub upstreams: Vec<UpstreamAnnouncement>,
}

/// Announcement or withdrawal that a router forwards to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnnounceMessage {
    /// Announcements, newest last.
    Announce(Vec<UpstreamAnnouncement>),
    /// Withdrawal of an incarnation.
    Withdraw(UpstreamWithdrawal),
    /// An upstream leaves, whichever incarnation is known when it does not say.
    Depart(UpstreamDeparture),
}

/// Departure of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamDeparture {
    /// Its name.
    pub name: String,
    /// Its incarnation, when it tells one.
    pub incarnation: Option<u64>,
}

/// Withdrawal of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamWithdrawal {
    /// Name of the upstream.
    pub name: String,
    /// Incarnation that leaves; older ones leave with it.
    pub incarnation: u64,
}

/// Answer to an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceAnswer {
    /// Time within which to renew, in milliseconds.
    pub renew_within_ms: u64,
}

/// Claims of protected actions, answered one by one in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The claims.
    pub claims: Vec<ActionClaim>,
}

/// Claim of one protected action before its dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionClaim {
    /// Calling workspace.
    pub workspace: String,
    /// Service.
    pub service: String,
    /// Path below the service.
    pub path: String,
    /// Idempotency key of the caller, `YYYYMMDD-` and 1 to 100 characters.
    pub key: String,
    /// BLAKE3 digest of method, path and body.
    pub digest: [u8; 32],
    /// Router that will dispatch it.
    pub router: NodeIdentity,
    /// Number of the attempt, from 1 and never reused by this incarnation; a
    /// claim that is sent again under its number gets the same token.
    #[serde(default)]
    pub attempt: u64,
}

/// Answer to one claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// The action may be dispatched, once, within the claim's lease.
    Granted(FencingToken),
    /// Another request with this key is running.
    Running,
    /// The action ended before with this outcome.
    Known(ActionOutcome),
    /// It is not known whether the action ran.
    OutcomeUnknown,
    /// The key was used with another request.
    KeyReused,
    /// The key is older than the retention.
    KeyExpired,
    /// The key is not of the accepted form.
    KeyMalformed,
}

/// Outcomes of protected actions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeRequest {
    /// The outcomes.
    pub outcomes: Vec<ActionReport>,
}

/// Outcome of one claimed action as its router reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionReport {
    /// Calling workspace.
    pub workspace: String,
    /// Service.
    pub service: String,
    /// Idempotency key.
    pub key: String,
    /// Token of the claim; zero when its answer was lost.
    pub token: FencingToken,
    /// What happened.
    pub outcome: ActionOutcome,
    /// Router that claimed it.
    #[serde(default)]
    pub router: Option<NodeIdentity>,
    /// Number of the attempt.
    #[serde(default)]
    pub attempt: u64,
}

/// How a protected action ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ActionOutcome {
    /// The upstream answered with this status.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// BLAKE3 digest of the answer's body.
        digest: [u8; 32],
    },
    /// The upstream never got it, or said that it did not run it.
    NotRun,
    /// The router cannot tell.
    Unknown,
}
