//! Commands carried by the replicated log, and the answers of the state machine
//! that applies them.

use crate::action_ledger::{
    ActionClaim, ActionKey, ClaimAnswer, OutcomeAnswer, OutcomeReport, ReleaseReport,
    ResolvedAction,
};
use crate::dispatch_messages::NodeIdentity;
use crate::error_kind::ErrorKind;
use crate::replica_members::ReplicaMembers;
use crate::route_table::RouteTable;
use crate::table_history::TableDifference;
use crate::workspace_table::RowChange;
use crate::zone_evacuations::{EvacuationAnswer, EvacuationOrder};
use serde::{Deserialize, Serialize};

/// Maximum length of an operator name, an edit id or a note, in bytes.
pub const TEXT_LIMIT_BYTES: usize = 128;

/// A change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlCommand {
    /// No-op that only advances the log time.
    Blank,
    /// Sets the membership of the log. Only the replica core appends it.
    Members {
        /// The complete new membership.
        members: ReplicaMembers,
    },
    /// Changes rows of the workspace table.
    EditTable {
        /// Operator and edit id.
        edit: EditIdentity,
        /// Table revision on which the edit is based; another current revision
        /// is a conflict.
        base_revision: u64,
        /// Rows to add, replace or remove.
        changes: Vec<RowChange>,
    },
    /// Creates a new table revision with the content of an older one.
    Rollback {
        /// Operator and edit id.
        edit: EditIdentity,
        /// Table revision on which the edit is based; another current revision
        /// is a conflict.
        base_revision: u64,
        /// Revision whose content is restored.
        to_revision: u64,
    },
    /// Claims protected actions for routers that are about to dispatch them.
    Claims {
        /// The claims; answers are returned in the same order.
        claims: Vec<ActionClaim>,
    },
    /// Records the outcomes that routers report for claimed actions.
    Outcomes {
        /// The outcomes; answers are returned in the same order.
        outcomes: Vec<OutcomeReport>,
    },
    /// Releases claims of actions that were never dispatched.
    Releases {
        /// The releases; answers are returned in the same order.
        releases: Vec<ReleaseReport>,
    },
    /// Records an operator's finding about an action with an unknown outcome.
    ResolveAction {
        /// Operator and edit id.
        edit: EditIdentity,
        /// The action to resolve.
        key: ActionKey,
        /// True when the operator found that the action ran.
        ran: bool,
        /// How the operator found out.
        note: String,
    },
    /// Announces a planned stop, so that the target gets no new work.
    AnnounceStop {
        /// Operator and edit id.
        edit: EditIdentity,
        /// Host, upstream, router or controller to stop.
        target: StopTarget,
        /// Time to wait for running requests before the operator is asked, in
        /// milliseconds; `None` for no limit.
        limit_ms: Option<u64>,
    },
    /// Cancels a planned stop that is in force.
    CancelStop {
        /// Operator and edit id.
        edit: EditIdentity,
        /// Target of the stop to cancel.
        target: StopTarget,
    },
    /// Permanently removes an incarnation of a node and all earlier ones.
    RemoveNode {
        /// Operator and edit id.
        edit: EditIdentity,
        /// Name of the node and the highest incarnation to remove.
        node: NodeIdentity,
    },
    /// Reports the current incarnation of a router. Running claims of its earlier
    /// incarnations get an unknown outcome.
    RouterSeen {
        /// Name and incarnation of the router.
        router: NodeIdentity,
    },
    /// Replaces the route table, unless the same or a higher version is in force.
    ReplaceRoutes {
        /// The new table; the proposer has validated it.
        table: Box<RouteTable>,
        /// The operator's document, byte for byte as received.
        document: Vec<u8>,
    },
    /// Deregisters an upstream that announced that it is leaving the fleet; it
    /// gets no new work.
    UpstreamLeft {
        /// Name of the upstream.
        name: String,
        /// Incarnation that is leaving.
        incarnation: u64,
        /// True if the upstream did not say which incarnation leaves. `incarnation` is then the
        /// latest that the proposer had heard of, and a later one may be leaving.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        unnamed: bool,
    },
    /// Evacuates an availability zone or readmits it.
    EvacuateZone {
        /// The order as the receiving controller read it.
        order: EvacuationOrder,
    },
}

/// Operator who makes a change, and the unique id of that change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditIdentity {
    /// Name of the operator.
    pub operator: String,
    /// Id chosen by the operator's tool. A resent change keeps its id, so that it
    /// is applied only once.
    pub id: String,
}

/// Kind of component that a planned stop takes out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopKind {
    /// A host and every component on it.
    Host,
    /// One upstream.
    Upstream,
    /// One router.
    Router,
    /// One controller.
    Controller,
}

/// Component that a planned stop takes out of service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StopTarget {
    /// Whether `name` is a host, upstream, router or controller.
    pub kind: StopKind,
    /// Name of the component.
    pub name: String,
}

/// A planned stop that is in force until it is cancelled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// Name of the operator who announced it.
    pub operator: String,
    /// Log time of the announcement in milliseconds.
    pub announced_ms: u64,
    /// Time to wait for running requests before the operator is asked, in
    /// milliseconds. Requests are not aborted when it passes.
    pub limit_ms: Option<u64>,
}

/// Answer of the state machine to one command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlAnswer {
    /// The command was applied and has no result to report.
    Done,
    /// An operator's edit was applied, now or when it was first sent.
    Accepted(EditAccepted),
    /// An operator's edit was rejected and changed nothing.
    Refused(Box<EditRefusal>),
    /// Answers to a batch of claims, in its order.
    Claims(Vec<ClaimAnswer>),
    /// Answers to a batch of outcomes or releases, in its order.
    Outcomes(Vec<OutcomeAnswer>),
    /// Version of the route table in force after the command.
    Routes(u64),
    /// What became of the evacuation of a zone, or of its end.
    Evacuation(EvacuationAnswer),
}

/// Result of an operator's edit that was applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditAccepted {
    /// Revision of the workspace table right after the edit.
    pub revision: u64,
    /// Log time of the edit in milliseconds.
    pub time_ms: u64,
    /// The resolved action, when the edit resolved one.
    pub action: Option<ResolvedAction>,
}

/// Why an operator's edit was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRefusal {
    /// Error kind, which determines status and code.
    pub kind: ErrorKind,
    /// What is wrong and how to correct it.
    pub message: String,
    /// Current revision of the workspace table.
    pub revision: u64,
    /// Changes between the edit's base revision and the current one; set only on
    /// a revision conflict.
    pub difference: Option<TableDifference>,
}

impl ControlCommand {
    /// Operator and edit id; `None` for commands that no operator sends.
    pub fn edit(&self) -> Option<&EditIdentity> {
        match self {
            Self::EditTable { edit, .. }
            | Self::Rollback { edit, .. }
            | Self::ResolveAction { edit, .. }
            | Self::AnnounceStop { edit, .. }
            | Self::CancelStop { edit, .. }
            | Self::RemoveNode { edit, .. } => Some(edit),
            Self::Blank
            | Self::Members { .. }
            | Self::Claims { .. }
            | Self::Outcomes { .. }
            | Self::Releases { .. }
            | Self::RouterSeen { .. }
            | Self::ReplaceRoutes { .. }
            | Self::UpstreamLeft { .. }
            | Self::EvacuateZone { .. } => None,
        }
    }

    /// First 128 bits of the BLAKE3 hash of the encoded command. A resent edit has
    /// the same digest; another edit under the same id has a different one.
    pub fn digest(&self) -> [u8; 16] {
        let bytes = rmp_serde::to_vec(self).unwrap_or_default();
        let mut digest = [0; 16];
        digest.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..16]);
        digest
    }
}
