//! JSON messages of a controller's operator API.

use crate::messages::{FencingToken, StopKind};
use baobabfall_core::workspace_table::RowChange;
use serde::{Deserialize, Serialize};

/// Prefix of all paths of the operator API.
pub const OPERATOR_PREFIX: &str = "/operator/v1/";
/// `GET` reads a [`TableView`], `POST` sends a [`TableEdit`].
pub const TABLE_PATH: &str = "/operator/v1/table";
/// `POST` sends a [`TableRollback`].
pub const ROLLBACK_PATH: &str = "/operator/v1/rollback";
/// `GET` reads a list of [`HistoryEntry`].
pub const HISTORY_PATH: &str = "/operator/v1/history";
/// `GET` reads a [`StatusView`].
pub const STATUS_PATH: &str = "/operator/v1/status";
/// `GET` reads a list of [`WorkspaceView`].
pub const WORKSPACES_PATH: &str = "/operator/v1/workspaces";
/// `GET` reads a list of [`UpstreamView`].
pub const UPSTREAMS_PATH: &str = "/operator/v1/upstreams";
/// `GET` reads a list of [`FairnessView`].
pub const FAIRNESS_PATH: &str = "/operator/v1/fairness";
/// `GET` reads a list of [`StopView`], `POST` sends a [`StopEdit`].
pub const STOPS_PATH: &str = "/operator/v1/stops";
/// `GET` reads a list of [`ActionView`], `POST` sends an [`ActionResolution`].
pub const ACTIONS_PATH: &str = "/operator/v1/actions";
/// `GET` reads a [`MembersView`], `POST` sends a [`MemberEdit`].
pub const MEMBERS_PATH: &str = "/operator/v1/members";
/// `GET` reads an [`EvacuationsView`], `POST` sends a [`ZoneEdit`].
pub const ZONES_PATH: &str = "/operator/v1/zones";
/// `POST` sends a [`NodeRemoval`].
pub const NODES_PATH: &str = "/operator/v1/nodes";

/// The workspace table in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableView {
    /// Revision of the table; zero before the first edit.
    pub revision: u64,
    /// Digest of the table's content.
    pub digest: String,
    /// The whole table in CSV format.
    pub csv: String,
}

/// Edit of the workspace table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableEdit {
    /// Name of the operator who makes the edit.
    pub operator: String,
    /// Id chosen by the operator's tool. An edit with an id that was already
    /// accepted has no further effect.
    pub edit_id: String,
    /// Revision that the edit is based on; a conflict if it is not in force.
    pub base_revision: u64,
    /// Rows to add, change or remove.
    pub changes: Vec<RowChange>,
}

/// Restores the content of an earlier revision as a new revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableRollback {
    /// Name of the operator who makes the edit.
    pub operator: String,
    /// Id chosen by the operator's tool, as in [`TableEdit`].
    pub edit_id: String,
    /// Revision that the rollback is based on; a conflict if it is not in force.
    pub base_revision: u64,
    /// Revision whose content is restored.
    pub to_revision: u64,
}

/// Answer to an accepted edit; identical for edits with the same id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditAnswer {
    /// Revision that the edit created.
    pub revision: u64,
    /// Digest of the table at that revision.
    pub digest: String,
    /// True when an edit with this id had already been accepted.
    pub repeated: bool,
}

/// Additional fields of the error response to a revision conflict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictView {
    /// Revision of the table in force.
    pub revision: u64,
    /// Changes between the base revision of the edit and the revision in force.
    pub changes: Vec<RowChange>,
}

/// One accepted revision of the workspace table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Revision that the edit created.
    pub revision: u64,
    /// Name of the operator who made the edit.
    pub operator: String,
    /// Id chosen by the operator's tool.
    pub edit_id: String,
    /// Log time of the edit, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Rows that were added, changed or removed.
    pub changes: Vec<RowChange>,
}

/// A router or controller as the answering controller knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeView {
    /// Name of the node.
    pub name: String,
    /// `router` or `controller`.
    pub kind: String,
    /// Availability zone of the node.
    pub zone: String,
    /// Start of the process in milliseconds since the Unix epoch; larger for a later
    /// start.
    pub incarnation: u64,
    /// Revision of the workspace table in force at the node.
    pub revision: u64,
    /// Time since the node reported that revision for the first time, in
    /// milliseconds.
    pub revision_age_ms: u64,
    /// Time since the last message of the node, in milliseconds.
    pub silent_ms: u64,
    /// Requests in progress at the node.
    pub in_progress: u32,
}

/// State of the control plane as the answering controller knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusView {
    /// Name of the answering controller.
    pub controller: String,
    /// Name of the current leader, if known.
    pub leader: Option<String>,
    /// Current term.
    pub term: u64,
    /// True when the answering controller is the leader and holds its lease, for
    /// which it needs a quorum.
    pub quorum: bool,
    /// Latest revision of the workspace table.
    pub revision: u64,
    /// Index of the last committed log entry.
    pub committed: u64,
    /// Names of the voting controllers.
    pub voters: Vec<String>,
    /// Names of controllers that replicate the log but do not vote yet.
    pub learners: Vec<String>,
    /// The answering controller itself and the nodes that it knows.
    pub nodes: Vec<NodeView>,
    /// Number of protected actions with an unknown outcome.
    pub unresolved_actions: u64,
}

/// State of a workspace in one pool, from the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceView {
    /// Name of the workspace.
    pub name: String,
    /// Weight in fair sharing, from the workspace table.
    pub weight: u32,
    /// Name of the pool; `-` for a workspace that has sent no requests.
    pub pool: String,
    /// Requests waiting for a slot.
    pub queued: u64,
    /// Requests running at upstreams.
    pub running: u64,
    /// Service received, in thousandths of a token.
    pub service: u64,
}

/// State of an upstream, from the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// Name of the upstream.
    pub name: String,
    /// Increases with each restart of the upstream.
    pub incarnation: u64,
    /// Pool to whose capacity the upstream contributes.
    pub pool: String,
    /// Names of the models of a model engine, or of the one service.
    pub serves: Vec<String>,
    /// Availability zone of the upstream.
    pub zone: String,
    /// IP address and port to which routers connect.
    pub address: String,
    /// `live`, `cold` (gets requests at the rate that its service names), `leaving` (takes no new
    /// work), `stopping` (planned stop), `ejected` (after failures) or `lapsed` (announcement
    /// expired).
    pub state: String,
    /// Number of requests that the dispatcher lets run at once.
    pub slots: u32,
    /// Number of slots in use.
    pub running: u32,
    /// True when the upstream refuses requests with an outdated fencing token.
    pub honours_fencing: bool,
    /// Time for which it stays cold, in milliseconds; absent when it is warm.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_ms: Option<u64>,
}

/// Fairness between the workspaces of one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FairnessView {
    /// Name of the pool.
    pub pool: String,
    /// Number of workspaces with waiting requests.
    pub backlogged: u32,
    /// Largest difference in service per weight between two of these workspaces
    /// since both became backlogged, in tokens per unit of weight.
    pub gap: f64,
    /// Upper bound that the gap must not exceed, in the same unit.
    pub bound: f64,
}

/// Announces or cancels a planned stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopEdit {
    /// Name of the operator who announces or cancels the stop.
    pub operator: String,
    /// Kind of the component that stops.
    pub kind: StopKind,
    /// Name of the upstream, router or controller, or address of the host.
    pub name: String,
    /// True to announce the stop, false to cancel it.
    pub announce: bool,
    /// Time limit for running requests, in milliseconds. Once it has passed, the stop
    /// is listed as `limit_passed` and the operator decides; `None` for no limit.
    #[serde(default)]
    pub limit_ms: Option<u64>,
}

/// A planned stop and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopView {
    /// Kind of the component that stops.
    pub kind: StopKind,
    /// Name of the upstream, router or controller, or address of the host.
    pub name: String,
    /// Name of the operator who announced the stop.
    pub operator: String,
    /// Log time of the announcement, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Requests still running on the component.
    pub in_progress: u32,
    /// `draining`, `drained`, or `limit_passed` when requests still run after the
    /// time limit and the operator must decide.
    pub state: String,
}

/// A protected action with an unknown outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionView {
    /// Workspace of the caller.
    pub workspace: String,
    /// Name of the protected service.
    pub service: String,
    /// Path of the request below the service.
    pub path: String,
    /// Idempotency key of the caller.
    pub key: String,
    /// Fencing token of the claim.
    pub token: FencingToken,
    /// Router that held the claim.
    pub router: String,
    /// Log time of the claim, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// Resolves an action with an unknown outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActionResolution {
    /// Name of the operator who resolves the action.
    pub operator: String,
    /// Workspace of the caller.
    pub workspace: String,
    /// Name of the protected service.
    pub service: String,
    /// Idempotency key of the caller.
    pub key: String,
    /// True when the operator established that the action ran, false when it did
    /// not run.
    pub ran: bool,
}

/// Members of the group of controllers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersView {
    /// Names of the voting controllers.
    pub voters: Vec<String>,
    /// Names of controllers that replicate the log but do not vote yet.
    pub learners: Vec<String>,
}

/// Adds a controller to the group or removes one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberEdit {
    /// Name of the operator who makes the edit.
    pub operator: String,
    /// Name of the controller.
    pub name: String,
    /// Address of the controller to add; `None` to remove the controller.
    #[serde(default)]
    pub address: Option<std::net::SocketAddr>,
}

/// Removes a node. A newer incarnation of it may join again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeRemoval {
    /// Name of the operator who removes the node.
    pub operator: String,
    /// Name of the node.
    pub name: String,
    /// Incarnation to remove; older ones stay removed as well.
    pub incarnation: u64,
}

/// Evacuates an availability zone, or readmits it. Sending it again has no further effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneEdit {
    /// Name of the operator who orders the change.
    pub operator: String,
    /// Name of the zone.
    pub name: String,
    /// True to evacuate the zone, false to readmit it.
    pub evacuated: bool,
}

/// The evacuated zones as the answering controller knows them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationsView {
    /// Version of the set of evacuated zones; increases with each change.
    pub version: u64,
    /// Every zone that is evacuated or has live upstreams, sorted by name.
    pub zones: Vec<ZoneView>,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneView {
    /// Name of the zone.
    pub name: String,
    /// True if its upstreams get no requests.
    pub evacuated: bool,
    /// Number of its live upstreams that the controller knows.
    pub upstreams: usize,
}
