//! Commands of the replicated log and the answers of the state machine.

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
use serde::{Deserialize, Serialize};

/// Longest operator name, edit id or note, in bytes.
pub const TEXT_LIMIT_BYTES: usize = 128;

/// A change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlCommand {
    /// Changes nothing but the log time.
    Blank,
    /// Sets the membership; written by the replica core only.
    Members {
        /// The new membership.
        members: ReplicaMembers,
    },
    /// Changes rows of the workspace table.
    EditTable {
        /// Who and under which edit id.
        edit: EditIdentity,
        /// Revision that the operator saw.
        base_revision: u64,
        /// Rows that change.
        changes: Vec<RowChange>,
    },
    /// Makes a new revision with the content of an older one.
    Rollback {
        /// Who and under which edit id.
        edit: EditIdentity,
        /// Revision that the operator saw.
        base_revision: u64,
        /// Revision whose content returns.
        to_revision: u64,
    },
    /// Claims protected actions.
    Claims {
        /// The claims, answered in this order.
        claims: Vec<ActionClaim>,
    },
    /// Records outcomes of protected actions.
    Outcomes {
        /// The outcomes, answered in this order.
        outcomes: Vec<OutcomeReport>,
    },
    /// Releases claims of actions that were not sent.
    Releases {
        /// The releases, answered in this order.
        releases: Vec<ReleaseReport>,
    },
    /// Records what an operator found out about an unknown outcome.
    ResolveAction {
        /// Who and under which edit id.
        edit: EditIdentity,
        /// The action.
        key: ActionKey,
        /// True when the action ran.
        ran: bool,
        /// How the operator knows.
        note: String,
    },
    /// Announces a planned stop.
    AnnounceStop {
        /// Who and under which edit id.
        edit: EditIdentity,
        /// What stops.
        target: StopTarget,
        /// Time to wait for running requests before the operator is asked, in
        /// milliseconds.
        limit_ms: Option<u64>,
    },
    /// Cancels a planned stop.
    CancelStop {
        /// Who and under which edit id.
        edit: EditIdentity,
        /// What does not stop.
        target: StopTarget,
    },
    /// Removes an incarnation of a node for good.
    RemoveNode {
        /// Who and under which edit id.
        edit: EditIdentity,
        /// Name and highest removed incarnation.
        node: NodeIdentity,
    },
    /// Reports that a router was seen with this incarnation.
    RouterSeen {
        /// The router.
        router: NodeIdentity,
    },
    /// Replaces the route table, unless a version as high is in force.
    ReplaceRoutes {
        /// The new table, already checked.
        table: Box<RouteTable>,
        /// The operator's document, kept as it was received.
        document: Vec<u8>,
    },
    /// An upstream announced that it leaves; it gets no work any more.
    UpstreamLeft {
        /// Its name.
        name: String,
        /// Its incarnation.
        incarnation: u64,
    },
}

/// Who makes a change, under an id that is unique to the change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditIdentity {
    /// Name of the operator.
    pub operator: String,
    /// Id chosen by the operator's tool and kept when resending.
    pub id: String,
}

/// What a planned stop concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopKind {
    /// A host with everything on it.
    Host,
    /// One upstream.
    Upstream,
    /// One router.
    Router,
    /// One controller.
    Controller,
}

/// What a planned stop concerns, by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StopTarget {
    /// Kind of target.
    pub kind: StopKind,
    /// Its name.
    pub name: String,
}

/// A planned stop in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// Who announced it.
    pub operator: String,
    /// Log time of the announcement in milliseconds.
    pub announced_ms: u64,
    /// Time to wait for running requests before the operator is asked, in
    /// milliseconds; nothing is cut when it passes.
    pub limit_ms: Option<u64>,
}

/// Answer of the state machine to one command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlAnswer {
    /// Nothing to report.
    Done,
    /// An operator's change was accepted.
    Accepted(EditAccepted),
    /// An operator's change was refused.
    Refused(Box<EditRefusal>),
    /// Answers to a batch of claims.
    Claims(Vec<ClaimAnswer>),
    /// Answers to a batch of outcomes.
    Outcomes(Vec<OutcomeAnswer>),
    /// The version of the route table that is in force after the command.
    Routes(u64),
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditAccepted {
    /// Table revision right after the change.
    pub revision: u64,
    /// Log time of the change in milliseconds.
    pub time_ms: u64,
    /// Set when the change resolved an action.
    pub action: Option<ResolvedAction>,
}

/// A refused change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRefusal {
    /// Kind of the refusal.
    pub kind: ErrorKind,
    /// What is wrong and what to do.
    pub message: String,
    /// Table revision in force.
    pub revision: u64,
    /// Row changes between the base and the current revision, on a conflict.
    pub difference: Option<TableDifference>,
}

impl ControlCommand {
    /// The identity of the edit, for commands of an operator.
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
            | Self::UpstreamLeft { .. } => None,
        }
    }

    /// Digest of the content, equal for a command that is sent again.
    pub fn digest(&self) -> [u8; 16] {
        let bytes = rmp_serde::to_vec(self).unwrap_or_default();
        let mut digest = [0; 16];
        digest.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..16]);
        digest
    }
}
