//! Deterministic state machine of the controllers. Every replica applies the
//! same log entries in the same order and so reaches the same state.

use crate::action_ledger::{ActionKey, ActionLedger, ActionResolution, ResolvedAction};
use crate::control_command::{
    ControlAnswer, ControlCommand, EditAccepted, EditIdentity, EditRefusal, PlannedStop,
    StopTarget, TEXT_LIMIT_BYTES,
};
use crate::departure_set::{DepartureList, trim_departures};
use crate::dispatch_messages::NodeIdentity;
use crate::error_kind::ErrorKind;
use crate::replica_members::ReplicaMembers;
use crate::replica_messages::LogEntry;
use crate::route_table::RouteTable;
use crate::sorted_map::SortedMap;
use crate::table_history::{RevisionAuthor, TableDifference, TableHistory};
use crate::upstream_registry::{UNNAMED_DEPARTURE_HOLD, UnnamedDeparture, is_valid_name};
use crate::workspace_table::RowChange;
use crate::zone_evacuations::ZoneEvacuations;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Version of the snapshot format, stored as the first byte of each snapshot.
pub const SNAPSHOT_VERSION: u8 = 1;
/// Number of accepted edit ids kept for detecting resent edits, enough for 14
/// days at 1,400 changes a day. A table edit that is resent after its id was
/// dropped is still rejected, because its base revision is stale.
pub const EDIT_ID_LIMIT: usize = 20_000;
/// Edit ids dropped per trim, so that the cost of one trim is spread over many
/// edits.
const EDIT_TRIM_BATCH: usize = 1_000;
/// Maximum number of planned stops in force.
pub const PLANNED_STOP_LIMIT: usize = 10_000;
/// Maximum number of removed nodes, counted by name.
pub const REMOVED_NODE_LIMIT: usize = 100_000;
/// Maximum number of deregistered upstreams kept. When it is exceeded, only the
/// most recent half is kept.
pub const DEREGISTERED_LIMIT: usize = 4_096;

/// Why a snapshot could not be written or read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SnapshotError {
    /// The snapshot has a format version that this program does not read.
    #[error(
        "The snapshot has format {0}, but this program reads format {SNAPSHOT_VERSION}; start the version that wrote it."
    )]
    UnsupportedVersion(u8),
    /// The snapshot is empty or cannot be decoded; holds the decoder's message.
    #[error("The snapshot is damaged: {0}.")]
    Damaged(String),
    /// The state cannot be encoded; holds the encoder's message.
    #[error("The state cannot be encoded: {0}.")]
    Unencodable(String),
}

impl SnapshotError {
    /// The [`ErrorKind`] under which this error is reported.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::UnsupportedVersion(_) => ErrorKind::UnsupportedVersion,
            Self::Damaged(_) => ErrorKind::StorageDamaged,
            Self::Unencodable(_) => ErrorKind::Internal,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct EditRecord {
    digest: [u8; 16],
    sequence: u64,
    accepted: EditAccepted,
}

/// Everything that the controllers replicate: workspace table and its history,
/// route table, planned stops, action claims, removed nodes, deregistered
/// upstreams, evacuated zones and replica membership.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ControlState {
    applied_index: u64,
    applied_term: u64,
    time_ms: u64,
    history: TableHistory,
    edits: SortedMap<String, EditRecord>,
    edit_count: u64,
    stops: SortedMap<StopTarget, PlannedStop>,
    stops_version: u64,
    removed: SortedMap<String, u64>,
    members: ReplicaMembers,
    ledger: ActionLedger,
    #[serde(default)]
    routes: Option<RouteRecord>,
    #[serde(default)]
    left: SortedMap<String, DeregisteredUpstream>,
    #[serde(default)]
    left_version: u64,
    /// The latest departures that named no incarnation.
    #[serde(default)]
    unnamed_departures: SortedMap<String, UnnamedRecord>,
    #[serde(default)]
    evacuations: ZoneEvacuations,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct UnnamedRecord {
    number: u64,
    left_ms: u64,
}

/// The route table in force, with the document from which it was parsed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRecord {
    /// The parsed table.
    pub table: Arc<RouteTable>,
    /// The operator's document, byte for byte as received.
    pub document: Arc<Vec<u8>>,
}

/// An upstream that announced that it is leaving the fleet. It is kept so that
/// a delayed announcement cannot bring the incarnation back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeregisteredUpstream {
    /// Highest incarnation that was deregistered.
    pub incarnation: u64,
    /// Sequence number of the deregistration; the lowest numbers are trimmed first.
    pub number: u64,
}

type EditResult = Result<Option<ResolvedAction>, EditRefusal>;

impl ControlState {
    /// Index of the last applied log entry; 0 before the first.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Term of the last applied log entry; 0 before the first.
    pub fn applied_term(&self) -> u64 {
        self.applied_term
    }

    /// Log time: the highest timestamp of the applied entries, in milliseconds
    /// since 1970. It never decreases.
    pub fn time_ms(&self) -> u64 {
        self.time_ms
    }

    /// The workspace table and its recent revisions.
    pub fn history(&self) -> &TableHistory {
        &self.history
    }

    /// The changes that bring a copy of the workspace table from `revision` up
    /// to date.
    pub fn changes_since(&self, revision: u64) -> TableDifference {
        self.history.changes_since(revision)
    }

    /// Planned stops that were announced and not cancelled, by target.
    pub fn stops(&self) -> &SortedMap<StopTarget, PlannedStop> {
        &self.stops
    }

    /// Incremented each time a planned stop is announced or cancelled.
    pub fn stops_version(&self) -> u64 {
        self.stops_version
    }

    /// Claims and outcomes of protected actions.
    pub fn ledger(&self) -> &ActionLedger {
        &self.ledger
    }

    /// Membership set by the last applied membership entry.
    pub fn members(&self) -> &ReplicaMembers {
        &self.members
    }

    /// True when an operator removed this incarnation of the node or a later one.
    pub fn is_removed(&self, node: &NodeIdentity) -> bool {
        self.removed.get(&node.name).is_some_and(|removed| node.incarnation <= *removed)
    }

    /// Highest removed incarnation of each removed node, by node name.
    pub fn removed(&self) -> &SortedMap<String, u64> {
        &self.removed
    }

    /// Applies the next log entry and returns the answer for its proposer.
    /// Entries that were already applied are ignored.
    ///
    /// ```
    /// use baobabfall_core::control_command::{ControlAnswer, ControlCommand, EditIdentity};
    /// use baobabfall_core::control_state::ControlState;
    /// use baobabfall_core::replica_messages::LogEntry;
    /// let mut state = ControlState::default();
    /// let edit = EditIdentity { operator: "ana".into(), id: "edit-1".into() };
    /// let command = ControlCommand::EditTable { edit, base_revision: 0, changes: vec![] };
    /// let answer = state.apply(&LogEntry { index: 1, term: 1, time_ms: 5, command });
    /// assert!(matches!(answer, ControlAnswer::Accepted(accepted) if accepted.revision == 1));
    /// ```
    pub fn apply(&mut self, entry: &LogEntry) -> ControlAnswer {
        if entry.index <= self.applied_index {
            return ControlAnswer::Done;
        }
        self.applied_index = entry.index;
        self.applied_term = entry.term;
        self.time_ms = self.time_ms.max(entry.time_ms);
        self.ledger.advance(self.time_ms);
        match &entry.command {
            ControlCommand::Blank => ControlAnswer::Done,
            ControlCommand::Members { members } => {
                self.members = members.clone();
                ControlAnswer::Done
            }
            ControlCommand::RouterSeen { router } => {
                self.ledger.router_seen(router);
                ControlAnswer::Done
            }
            ControlCommand::Claims { claims } => {
                let answers = claims.iter().map(|claim| match self.is_removed(&claim.router) {
                    true => crate::action_ledger::ClaimAnswer::Refused(ErrorKind::StaleIncarnation),
                    false => self.ledger.claim(entry.term, claim),
                });
                ControlAnswer::Claims(answers.collect())
            }
            ControlCommand::Outcomes { outcomes } => {
                let answers = outcomes.iter().map(|report| self.ledger.record_outcome(report));
                ControlAnswer::Outcomes(answers.collect())
            }
            ControlCommand::Releases { releases } => {
                let answers = releases.iter().map(|report| self.ledger.release(report));
                ControlAnswer::Outcomes(answers.collect())
            }
            ControlCommand::ReplaceRoutes { table, document } => {
                self.replace_routes(table, document)
            }
            ControlCommand::UpstreamLeft { name, incarnation, unnamed } => {
                if *unnamed {
                    self.record_unnamed_departure(name);
                }
                self.record_deregistration(name, *incarnation);
                ControlAnswer::Done
            }
            ControlCommand::EvacuateZone { order } => {
                ControlAnswer::Evacuation(self.evacuations.apply(order))
            }
            command => match command.edit() {
                Some(edit) => self.apply_edit(edit, command),
                None => ControlAnswer::Done,
            },
        }
    }

    /// Replaces the route table. A table whose version is not higher than the one
    /// in force is ignored, so that a resent or reordered document never reverts
    /// a newer one.
    fn replace_routes(&mut self, table: &RouteTable, document: &[u8]) -> ControlAnswer {
        let current = self.routes_version();
        if table.version <= current {
            return ControlAnswer::Routes(current);
        }
        let changes = table.workspace_changes(self.history.table());
        if !changes.is_empty() || self.history.revision() == 0 {
            let edit_id = format!("routes-{}", table.version);
            let author =
                RevisionAuthor { operator: "routes", edit_id: &edit_id, time_ms: self.time_ms };
            self.history.commit(author, None, &changes);
        }
        self.routes = Some(RouteRecord {
            table: Arc::new(table.clone()),
            document: Arc::new(document.to_vec()),
        });
        ControlAnswer::Routes(table.version)
    }

    fn record_unnamed_departure(&mut self, name: &str) {
        let hold_ms = u64::try_from(UNNAMED_DEPARTURE_HOLD.as_millis()).unwrap_or(u64::MAX);
        let now_ms = self.time_ms;
        self.unnamed_departures.retain(|_, left| now_ms < left.left_ms.saturating_add(hold_ms));
        self.left_version += 1;
        let record = UnnamedRecord { number: self.left_version, left_ms: now_ms };
        self.unnamed_departures.insert(name.to_owned(), record);
    }

    /// The latest departures that named no incarnation, by name of the upstream.
    pub fn unnamed_departures(&self) -> SortedMap<String, UnnamedDeparture> {
        let departures = self.unnamed_departures.iter().map(|(name, left)| {
            let age = Duration::from_millis(self.time_ms.saturating_sub(left.left_ms));
            (name.clone(), UnnamedDeparture { number: left.number, age })
        });
        departures.collect()
    }

    fn record_deregistration(&mut self, name: &str, incarnation: u64) {
        let known = self.left.get(name).map(|upstream| upstream.incarnation);
        if known.is_some_and(|known| known >= incarnation) {
            return;
        }
        self.left_version += 1;
        let number = self.left_version;
        self.left.insert(name.to_owned(), DeregisteredUpstream { incarnation, number });
        trim_departures(&mut self.left, number);
    }

    /// Departures that a holder of `version` lacks; `None` if there are none.
    pub fn departures_since(&self, version: u64) -> Option<DepartureList> {
        let newer = self.left.iter().filter(|(_, upstream)| upstream.number > version);
        (self.left_version > version).then(|| DepartureList {
            version: self.left_version,
            departures: newer.map(|(name, upstream)| (name.clone(), *upstream)).collect(),
        })
    }

    /// The route table in force; `None` before the first.
    pub fn routes(&self) -> Option<&RouteRecord> {
        self.routes.as_ref()
    }

    /// Version of the route table in force; 0 before the first.
    pub fn routes_version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |record| record.table.version)
    }

    /// Availability zones that operators have evacuated.
    pub fn evacuations(&self) -> &ZoneEvacuations {
        &self.evacuations
    }

    /// Deregistered upstreams by name.
    pub fn deregistered(&self) -> &SortedMap<String, DeregisteredUpstream> {
        &self.left
    }

    /// Incremented with each recorded deregistration.
    pub fn deregistered_version(&self) -> u64 {
        self.left_version
    }

    fn apply_edit(&mut self, edit: &EditIdentity, command: &ControlCommand) -> ControlAnswer {
        let digest = command.digest();
        match self.edits.get(&edit.id) {
            Some(record) if record.digest == digest => {
                return ControlAnswer::Accepted(record.accepted.clone());
            }
            Some(_) => {
                let message =
                    format!("Edit id {:?} was used for another change; use a new id.", edit.id);
                return ControlAnswer::Refused(Box::new(
                    self.refusal(ErrorKind::EditReused, message),
                ));
            }
            None => {}
        }
        match self.run_edit(edit, command) {
            Err(refusal) => ControlAnswer::Refused(Box::new(refusal)),
            Ok(action) => {
                let revision = self.history.revision();
                let accepted = EditAccepted { revision, time_ms: self.time_ms, action };
                self.record_edit(edit, digest, accepted.clone());
                ControlAnswer::Accepted(accepted)
            }
        }
    }

    fn record_edit(&mut self, edit: &EditIdentity, digest: [u8; 16], accepted: EditAccepted) {
        self.edit_count += 1;
        let record = EditRecord { digest, sequence: self.edit_count, accepted };
        self.edits.insert(edit.id.clone(), record);
        if self.edits.len() >= EDIT_ID_LIMIT + EDIT_TRIM_BATCH {
            let limit = u64::try_from(EDIT_ID_LIMIT).unwrap_or(u64::MAX);
            let cutoff = self.edit_count.saturating_sub(limit);
            self.edits.retain(|_, record| record.sequence > cutoff);
        }
    }

    fn refusal(&self, kind: ErrorKind, message: impl Into<String>) -> EditRefusal {
        let revision = self.history.revision();
        EditRefusal { kind, message: message.into(), revision, difference: None }
    }

    fn run_edit(&mut self, edit: &EditIdentity, command: &ControlCommand) -> EditResult {
        for text in [&edit.operator, &edit.id] {
            if text.is_empty() || text.len() > TEXT_LIMIT_BYTES {
                let message = format!(
                    "Operator name and edit id must each have 1 to {TEXT_LIMIT_BYTES} bytes."
                );
                return Err(self.refusal(ErrorKind::MalformedRequest, message));
            }
        }
        match command {
            ControlCommand::EditTable { base_revision, changes, .. } => {
                self.check_base_revision(*base_revision)?;
                self.commit_table(edit, None, changes)
            }
            ControlCommand::Rollback { base_revision, to_revision, .. } => {
                self.check_base_revision(*base_revision)?;
                self.roll_back(edit, *to_revision)
            }
            ControlCommand::ResolveAction { key, ran, note, .. } => {
                self.resolve(edit, key, *ran, note)
            }
            ControlCommand::AnnounceStop { target, limit_ms, .. } => {
                self.announce_stop(edit, target, *limit_ms)
            }
            ControlCommand::CancelStop { target, .. } => self.cancel_stop(target),
            ControlCommand::RemoveNode { node, .. } => self.remove_node(node),
            _ => Err(self.refusal(ErrorKind::Internal, "The command is not an operator edit.")),
        }
    }

    fn check_base_revision(&self, base_revision: u64) -> Result<(), EditRefusal> {
        if base_revision == self.history.revision() {
            return Ok(());
        }
        let message = format!(
            "The edit is based on revision {base_revision}, but the current revision is {}; merge the listed changes and send the edit with a new edit id.",
            self.history.revision()
        );
        let mut refusal = self.refusal(ErrorKind::RevisionConflict, message);
        refusal.difference = Some(self.history.changes_since(base_revision));
        Err(refusal)
    }

    fn commit_table(
        &mut self,
        edit: &EditIdentity,
        rollback_to: Option<u64>,
        changes: &[RowChange],
    ) -> EditResult {
        if let Err((kind, message)) = self.history.check(changes) {
            return Err(self.refusal(kind, message));
        }
        let author =
            RevisionAuthor { operator: &edit.operator, edit_id: &edit.id, time_ms: self.time_ms };
        self.history.commit(author, rollback_to, changes);
        Ok(None)
    }

    fn roll_back(&mut self, edit: &EditIdentity, to_revision: u64) -> EditResult {
        let Some(table) = self.history.table_at(to_revision) else {
            let message = format!(
                "Revision {to_revision} is not in the table history; choose a listed revision."
            );
            return Err(self.refusal(ErrorKind::NotFound, message));
        };
        let changes = self.history.table().diff(&table);
        self.commit_table(edit, Some(to_revision), &changes)
    }

    fn resolve(
        &mut self,
        edit: &EditIdentity,
        key: &ActionKey,
        ran: bool,
        note: &str,
    ) -> EditResult {
        if note.len() > TEXT_LIMIT_BYTES {
            let message = format!("A note must have at most {TEXT_LIMIT_BYTES} bytes.");
            return Err(self.refusal(ErrorKind::MalformedRequest, message));
        }
        let resolution = ActionResolution {
            operator: edit.operator.clone(),
            time_ms: self.time_ms,
            ran,
            note: note.to_owned(),
        };
        self.ledger.resolve(key, resolution).map(Some).map_err(|kind| {
            self.refusal(kind, "Only an action whose outcome is unknown can be resolved.")
        })
    }

    fn announce_stop(
        &mut self,
        edit: &EditIdentity,
        target: &StopTarget,
        limit_ms: Option<u64>,
    ) -> EditResult {
        if !is_valid_name(&target.name) {
            let message = format!(
                "{:?} is not a valid name; use 1 to 64 of the characters a-z 0-9 - . _.",
                target.name
            );
            return Err(self.refusal(ErrorKind::MalformedRequest, message));
        }
        if self.stops.len() >= PLANNED_STOP_LIMIT {
            let message =
                "Too many planned stops are in force; cancel some before announcing another.";
            return Err(self.refusal(ErrorKind::LimitReached, message));
        }
        let stop =
            PlannedStop { operator: edit.operator.clone(), announced_ms: self.time_ms, limit_ms };
        self.stops.insert(target.clone(), stop);
        self.stops_version += 1;
        Ok(None)
    }

    fn cancel_stop(&mut self, target: &StopTarget) -> EditResult {
        if self.stops.remove(target).is_none() {
            let message = format!("No planned stop of {} is in force.", target.name);
            return Err(self.refusal(ErrorKind::NotFound, message));
        }
        self.stops_version += 1;
        Ok(None)
    }

    fn remove_node(&mut self, node: &NodeIdentity) -> EditResult {
        if !is_valid_name(&node.name) {
            let message = format!(
                "{:?} is not a valid name; use 1 to 64 of the characters a-z 0-9 - . _.",
                node.name
            );
            return Err(self.refusal(ErrorKind::MalformedRequest, message));
        }
        if self.removed.len() >= REMOVED_NODE_LIMIT && !self.removed.contains_key(&node.name) {
            let message =
                "Too many node names were removed; reuse a removed name with a higher incarnation.";
            return Err(self.refusal(ErrorKind::LimitReached, message));
        }
        let removed = self.removed.get_or_insert_with(node.name.clone(), || 0);
        *removed = node.incarnation.max(*removed);
        // Reporting the next incarnation as seen ends the running claims of the removed one.
        let successor = NodeIdentity {
            name: node.name.clone(),
            incarnation: node.incarnation.saturating_add(1),
        };
        self.ledger.router_seen(&successor);
        Ok(None)
    }

    /// Encodes the whole state as MessagePack, preceded by [`SNAPSHOT_VERSION`].
    ///
    /// ```
    /// use baobabfall_core::control_state::ControlState;
    /// let bytes = ControlState::default().to_snapshot().unwrap();
    /// assert_eq!(ControlState::from_snapshot(&bytes).unwrap().applied_index(), 0);
    /// assert!(ControlState::from_snapshot(&[9]).is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError::Unencodable`] when the encoder fails.
    pub fn to_snapshot(&self) -> Result<Vec<u8>, SnapshotError> {
        let mut bytes = vec![SNAPSHOT_VERSION];
        rmp_serde::encode::write(&mut bytes, self)
            .map_err(|error| SnapshotError::Unencodable(error.to_string()))?;
        Ok(bytes)
    }

    /// Decodes a state that [`Self::to_snapshot`] encoded.
    ///
    /// # Errors
    ///
    /// Fails on another format version and on bytes that cannot be decoded.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let (version, body) =
            bytes.split_first().ok_or_else(|| SnapshotError::Damaged("it is empty".to_owned()))?;
        if *version != SNAPSHOT_VERSION {
            return Err(SnapshotError::UnsupportedVersion(*version));
        }
        rmp_serde::from_slice(body).map_err(|error| SnapshotError::Damaged(error.to_string()))
    }
}
