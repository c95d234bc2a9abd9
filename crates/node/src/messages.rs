//! Messages between processes, except those of dispatch and of log replication
//! ([`baobabfall_core::dispatch_messages`] and the controller's replica links).

pub use baobabfall_core::action_ledger::FencingToken;
pub use baobabfall_core::control_command::StopKind;
use baobabfall_core::departure_set::DepartureList;
use baobabfall_core::dispatch_messages::{DispatchAnswer, NodeIdentity, OriginCopy};
use baobabfall_core::route_table::RouteTable;
use baobabfall_core::upstream_registry::UpstreamAnnouncement;
use baobabfall_core::workspace_table::{RowChange, WorkspaceTable};
use baobabfall_core::zone_evacuations::EvacuationList;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// `POST` sends a [`baobabfall_core::dispatch_messages::DispatchReport`].
pub const REPORT_PATH: &str = "/control/v1/report";
/// `POST` opens a dispatch channel: an upgrade to [`DISPATCH_PROTOCOL`].
pub const DISPATCH_PATH: &str = "/control/v1/dispatch";
/// Protocol of a dispatch channel. The router sends
/// [`baobabfall_core::dispatch_messages::DispatchReport`], the controller [`ChannelAnswer`].
pub const DISPATCH_PROTOCOL: &str = "baobabfall-dispatch";
/// `POST` sends a [`SyncRequest`].
pub const SYNC_PATH: &str = "/control/v1/sync";
/// `POST` sends a [`baobabfall_core::dispatch_messages::OriginLookup`], which any controller answers
/// with a list of [`baobabfall_core::dispatch_messages::OriginAnswer`] from the copies that it holds.
pub const ORIGINS_PATH: &str = "/control/v1/origins";
/// `POST` forwards an [`AnnounceMessage`] to the leader.
pub const FORWARD_PATH: &str = "/control/v1/announce";
/// `POST` sends a [`RouteChange`] from a follower to the leader.
pub const ROUTES_PATH: &str = "/control/v1/routes";
/// `POST` sends an [`baobabfall_core::zone_evacuations::EvacuationOrder`] from a follower to the
/// leader.
pub const EVACUATIONS_PATH: &str = "/control/v1/evacuations";
/// `POST` sends an [`UpstreamAnnouncement`] in JSON, from an upstream.
pub const ANNOUNCE_PATH: &str = "/upstreams/v1/announce";
/// `POST` sends an [`UpstreamWithdrawal`] in JSON, from an upstream.
pub const WITHDRAW_PATH: &str = "/upstreams/v1/withdraw";
/// `POST` sends a [`ClaimRequest`].
pub const CLAIM_PATH: &str = "/control/v1/actions/claim";
/// `POST` sends an [`OutcomeRequest`].
pub const OUTCOME_PATH: &str = "/control/v1/actions/outcome";

/// Message of the dispatcher on a dispatch channel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChannelAnswer {
    /// Sequence number of the latest report that the controller has read from the channel.
    #[serde(rename = "n")]
    pub received: u64,
    /// Grants and acknowledgements, unless the report was refused.
    #[serde(default, rename = "a", skip_serializing_if = "Option::is_none")]
    pub answer: Option<DispatchAnswer>,
    /// Code of the error for which the controller closes the channel.
    #[serde(default, rename = "e", skip_serializing_if = "Option::is_none")]
    pub refusal: Option<String>,
}

/// Role of the process that sends a [`SyncRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeKind {
    /// Forwards requests of callers to upstreams.
    Router,
    /// Replicates the state of the control plane.
    Controller,
}

/// Versions that a node holds; the answer contains what is newer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Name and incarnation of the requesting node.
    pub node: NodeIdentity,
    /// Role of the node.
    pub kind: NodeKind,
    /// Availability zone of the node.
    pub zone: String,
    /// Revision of the workspace table in force at the node; zero when it has none.
    pub revision: u64,
    /// Version of the list of planned stops that the node holds.
    pub stops_version: u64,
    /// Term and version of the upstream registry that the node holds.
    pub registry_version: (u64, u64),
    /// Requests in progress at the node, shown as the progress of planned stops.
    pub in_progress: u32,
    /// Time for which the controller may delay the answer until something changes, in
    /// milliseconds (long polling).
    pub wait_ms: u32,
    /// Version of the route table that the node holds; zero when it has none.
    #[serde(default)]
    pub routes_version: u64,
    /// Version of the set of departed upstreams that the node holds.
    #[serde(default)]
    pub departures_version: u64,
    /// Term of the leader that the node knows.
    #[serde(default)]
    pub leader_term: u64,
    /// Version of the list of evacuated zones that the node holds.
    #[serde(default)]
    pub evacuations_version: u64,
    /// Copy of the origins of the streams that a router began.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origins: Option<OriginCopy>,
}

/// Answer to a [`SyncRequest`]. Revisions and versions only increase.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncAnswer {
    /// True when the leader confirmed that nothing newer was committed before the
    /// request. Only requests of nodes without a table are confirmed.
    pub confirmed: bool,
    /// True when the answering controller is the leader and holds its lease.
    #[serde(default)]
    pub leads: bool,
    /// True when the answering controller hears from its group, so that it knows of recent changes.
    #[serde(default)]
    pub in_contact: bool,
    /// Current term of the answering controller.
    pub term: u64,
    /// Address of the leader for other processes, if known.
    pub leader: Option<std::net::SocketAddr>,
    /// Latest revision of the workspace table that the controller applied.
    pub revision: u64,
    /// Changes of the workspace table, when the node's revision is older.
    pub table: Option<TableUpdate>,
    /// Planned stops, when the node's version differs.
    pub stops: Option<StopList>,
    /// Live upstreams, when the node's version is older. A follower sends the leader's view.
    pub registry: Option<RegistryView>,
    /// Departures that the controller has applied and the node lacks, from any controller.
    #[serde(default)]
    pub departures: Option<DepartureList>,
    /// Evacuated zones, when the node's version is older; from any controller.
    #[serde(default)]
    pub evacuations: Option<EvacuationList>,
    /// True if the controller's log holds an order about a zone that it has not applied, so that
    /// `evacuations` may lack an order that was acknowledged.
    #[serde(default)]
    pub evacuation_pending: bool,
    /// Time since the controller applied its route table, in milliseconds.
    #[serde(default)]
    pub routes_age_ms: u64,
    /// Addresses of all controllers in the group.
    #[serde(default)]
    pub controllers: Vec<std::net::SocketAddr>,
    /// From a process that is not a member of the group: the time since a member told it of the
    /// group, in milliseconds. Such an answer names the group at most.
    #[serde(default)]
    pub group_age_ms: Option<u64>,
    /// Incarnation of the answering controller, which holds the streams that the request listed as
    /// begun; zero if it holds none.
    #[serde(default)]
    pub holder: u64,
    /// The whole route table, when it is newer than the node's. The last field, so that
    /// an encoded table can be appended to an answer that is encoded without one.
    #[serde(default)]
    pub routes: Option<Arc<RouteTable>>,
}

/// Changes from one revision of the workspace table to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// Revision to which the changes apply; zero for the empty table.
    pub from: u64,
    /// Revision that results from the changes.
    pub to: u64,
    /// Rows that were added, changed or removed.
    pub changes: Vec<RowChange>,
    /// Digest of the resulting table, checked when the update is applied.
    pub digest: String,
    /// Time since the latest edit was accepted, in milliseconds.
    pub age_ms: u64,
}

impl TableUpdate {
    /// Applies the update to `table`, which has revision `revision`. Returns `None`
    /// when the update is not newer, starts from another revision, or results in a
    /// table with the wrong digest.
    pub fn apply(&self, revision: u64, table: &WorkspaceTable) -> Option<WorkspaceTable> {
        let mut next = if self.from == 0 { WorkspaceTable::default() } else { table.clone() };
        if self.to <= revision || (self.from != 0 && self.from != revision) {
            return None;
        }
        next.apply(&self.changes);
        (next.digest() == self.digest).then_some(next)
    }
}

/// A planned stop as it is sent to nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// Kind of the component that stops.
    pub kind: StopKind,
    /// Name of the upstream, router or controller, or address of the host.
    pub name: String,
}

/// All planned stops in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopList {
    /// Increases with each change of the list.
    pub version: u64,
    /// Announced stops that were not cancelled.
    pub stops: Vec<PlannedStop>,
}

/// Live upstreams as they are sent to nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryView {
    /// Term of the leader and version of its registry.
    pub version: (u64, u64),
    /// Latest announcement of each live upstream.
    pub upstreams: Vec<UpstreamAnnouncement>,
}

/// Message of an upstream that a router or controller forwards to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnnounceMessage {
    /// Announcements of upstreams, newest last.
    Announce(Vec<UpstreamAnnouncement>),
    /// An upstream withdraws its announcement.
    Withdraw(UpstreamWithdrawal),
    /// An upstream is deregistered; this is committed to the replicated log.
    Depart(UpstreamDeparture),
}

/// Route table that a follower passes on to the leader, which answers with the version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteChange {
    /// The parsed table.
    pub table: RouteTable,
    /// The operator's document, byte for byte as received.
    pub document: Vec<u8>,
}

/// Deregistration of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamDeparture {
    /// Name of the upstream.
    pub name: String,
    /// Incarnation that is deregistered; `None` if the upstream did not name it.
    pub incarnation: Option<u64>,
}

/// Withdrawal of an upstream's announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamWithdrawal {
    /// Name of the upstream.
    pub name: String,
    /// Incarnation that withdraws; older incarnations are withdrawn as well.
    pub incarnation: u64,
}

/// Answer to the announcement of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceAnswer {
    /// Time within which the upstream must announce itself again, in milliseconds.
    pub renew_within_ms: u64,
}

/// Claims of protected actions. The answer is a list of [`ClaimAnswer`] in the same
/// order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Claims of one router, possibly of different workspaces.
    pub claims: Vec<ActionClaim>,
}

/// Claim of one protected action, which a router makes before it dispatches the
/// action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionClaim {
    /// Workspace of the caller.
    pub workspace: String,
    /// Name of the protected service.
    pub service: String,
    /// Path of the request below the service.
    pub path: String,
    /// Idempotency key of the caller: `YYYYMMDD-` and 1 to 100 characters.
    pub key: String,
    /// BLAKE3 digest of the method, path and body of the request.
    pub digest: [u8; 32],
    /// Router that will dispatch the action.
    pub router: NodeIdentity,
    /// Number of the claim, from 1 and never reused by this incarnation of the
    /// router. A claim that is resent with the same number gets the same token.
    #[serde(default)]
    pub attempt: u64,
}

/// Answer to one claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// The router may dispatch the action once, before the lease of the claim ends.
    Granted(FencingToken),
    /// Another request with this key is in progress.
    Running,
    /// The action has already ended, with this outcome.
    Known(ActionOutcome),
    /// It is not known whether the action ran.
    OutcomeUnknown,
    /// The key was already used for a different request.
    KeyReused,
    /// The date in the key is older than the retention period.
    KeyExpired,
    /// The key does not have the accepted form.
    KeyMalformed,
}

/// Outcomes of claimed actions, reported by a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeRequest {
    /// One report per action.
    pub outcomes: Vec<ActionReport>,
}

/// Outcome of one claimed action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionReport {
    /// Workspace of the caller.
    pub workspace: String,
    /// Name of the protected service.
    pub service: String,
    /// Idempotency key of the caller.
    pub key: String,
    /// Token of the claim; zero when the router did not receive the answer to its
    /// claim.
    pub token: FencingToken,
    /// How the action ended.
    pub outcome: ActionOutcome,
    /// Router that claimed the action.
    #[serde(default)]
    pub router: Option<NodeIdentity>,
    /// Number of the claim, see [`ActionClaim::attempt`].
    #[serde(default)]
    pub attempt: u64,
}

/// How a protected action ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ActionOutcome {
    /// The upstream answered with this status.
    Answered {
        /// HTTP status of the response.
        status: u16,
        /// BLAKE3 digest of the response body.
        digest: [u8; 32],
    },
    /// The upstream did not receive the action, or stated that it did not run it.
    NotRun,
    /// The router cannot determine whether the action ran.
    Unknown,
}
