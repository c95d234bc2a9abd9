//! JSON messages of the operators' interface of a controller.

use crate::messages::{FencingToken, StopKind};
use baobabfall_core::workspace_table::RowChange;
use serde::{Deserialize, Serialize};

/// Prefix of every operator path.
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
/// `POST` sends a [`NodeRemoval`].
pub const NODES_PATH: &str = "/operator/v1/nodes";

/// The table in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableView {
    /// Revision, zero before the first edit.
    pub revision: u64,
    /// Digest of the content.
    pub digest: String,
    /// The table as CSV.
    pub csv: String,
}

/// Edit of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableEdit {
    /// Who edits.
    pub operator: String,
    /// Chosen by the operator's tool; the same id never takes effect twice.
    pub edit_id: String,
    /// Revision that the edit is based on.
    pub base_revision: u64,
    /// Changed rows.
    pub changes: Vec<RowChange>,
}

/// Return to the content of an earlier revision, as a new revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableRollback {
    /// Who edits.
    pub operator: String,
    /// Chosen by the operator's tool.
    pub edit_id: String,
    /// Revision in force that the rollback replaces.
    pub base_revision: u64,
    /// Revision whose content returns.
    pub to_revision: u64,
}

/// Answer to an accepted edit; the same for the same edit id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditAnswer {
    /// Revision that the edit made.
    pub revision: u64,
    /// Digest of the table at that revision.
    pub digest: String,
    /// True when the answer repeats that of an earlier edit with this id.
    pub repeated: bool,
}

/// Body of a refusal for a revision conflict, beside the usual error body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictView {
    /// Revision in force.
    pub revision: u64,
    /// What changed between the edit's base and the revision in force.
    pub changes: Vec<RowChange>,
}

/// One accepted revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Revision.
    pub revision: u64,
    /// Who edited.
    pub operator: String,
    /// Edit id.
    pub edit_id: String,
    /// Log time in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// What changed.
    pub changes: Vec<RowChange>,
}

/// One node as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeView {
    /// Name.
    pub name: String,
    /// `router` or `controller`.
    pub kind: String,
    /// Availability zone.
    pub zone: String,
    /// Incarnation.
    pub incarnation: u64,
    /// Revision in force at the node.
    pub revision: u64,
    /// Milliseconds since the node reached that revision.
    pub revision_age_ms: u64,
    /// Milliseconds since the node was last heard.
    pub silent_ms: u64,
    /// Requests in progress.
    pub in_progress: u32,
}

/// State of the control plane.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusView {
    /// Name of the answering controller.
    pub controller: String,
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// Current term.
    pub term: u64,
    /// True when the leader holds its lease.
    pub quorum: bool,
    /// Revision of the table.
    pub revision: u64,
    /// Last committed log index.
    pub committed: u64,
    /// Controllers that vote.
    pub voters: Vec<String>,
    /// Controllers that do not vote yet.
    pub learners: Vec<String>,
    /// Nodes that sync with this controller.
    pub nodes: Vec<NodeView>,
    /// Actions with an unknown outcome.
    pub unresolved_actions: u64,
}

/// One workspace as the dispatcher sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceView {
    /// Name.
    pub name: String,
    /// Weight.
    pub weight: u32,
    /// Pool.
    pub pool: String,
    /// Requests that wait.
    pub queued: u64,
    /// Requests that run.
    pub running: u64,
    /// Service received in thousandths of a token.
    pub service: u64,
}

/// One upstream as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// Name.
    pub name: String,
    /// Incarnation.
    pub incarnation: u64,
    /// Pool.
    pub pool: String,
    /// Models or the service.
    pub serves: Vec<String>,
    /// Availability zone.
    pub zone: String,
    /// Address.
    pub address: String,
    /// `live`, `leaving`, `stopping`, `ejected` or `lapsed`.
    pub state: String,
    /// Slots that the dispatcher uses.
    pub slots: u32,
    /// Slots in use.
    pub running: u32,
    /// True when it refuses older fencing tokens.
    pub honours_fencing: bool,
}

/// Fairness of one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FairnessView {
    /// Pool.
    pub pool: String,
    /// Backlogged workspaces.
    pub backlogged: u32,
    /// Largest difference of weighted service between two of them, in tokens
    /// per unit of weight, since both became backlogged.
    pub gap: f64,
    /// Bound on the gap.
    pub bound: f64,
}

/// Announces or cancels a planned stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopEdit {
    /// Who announces.
    pub operator: String,
    /// What stops.
    pub kind: StopKind,
    /// Its name.
    pub name: String,
    /// False to cancel.
    pub announce: bool,
    /// Time to wait for running requests before the operator is asked, in milliseconds.
    #[serde(default)]
    pub limit_ms: Option<u64>,
}

/// A planned stop and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopView {
    /// What stops.
    pub kind: StopKind,
    /// Its name.
    pub name: String,
    /// Who announced it.
    pub operator: String,
    /// Log time in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Requests still running there.
    pub in_progress: u32,
    /// `draining`, `drained`, or `limit_passed` when the operator must decide.
    pub state: String,
}

/// A protected action without a known outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionView {
    /// Calling workspace.
    pub workspace: String,
    /// Service.
    pub service: String,
    /// Path below the service.
    pub path: String,
    /// Idempotency key.
    pub key: String,
    /// Token of the claim.
    pub token: FencingToken,
    /// Router that held the claim.
    pub router: String,
    /// Log time of the claim in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// Operator's decision on an action with an unknown outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActionResolution {
    /// Who decides.
    pub operator: String,
    /// Calling workspace.
    pub workspace: String,
    /// Service.
    pub service: String,
    /// Idempotency key.
    pub key: String,
    /// True when the action is known to have run.
    pub ran: bool,
}

/// Controllers of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersView {
    /// Controllers that vote.
    pub voters: Vec<String>,
    /// Controllers that do not vote yet.
    pub learners: Vec<String>,
}

/// Adds or removes one controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberEdit {
    /// Who edits.
    pub operator: String,
    /// Name of the controller.
    pub name: String,
    /// Address of a controller that is added; absent to remove.
    #[serde(default)]
    pub address: Option<std::net::SocketAddr>,
}

/// Removes a node for good; a new incarnation may join again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeRemoval {
    /// Who removes.
    pub operator: String,
    /// Name of the node.
    pub name: String,
    /// Incarnation that is removed.
    pub incarnation: u64,
}
