//! The operators' interface.

use crate::dispatch_service::DispatchService;
use crate::node_tracker::NodeTracker;
use crate::operator_views;
use crate::registry_service::RegistryService;
use crate::replica_driver::{ReplicaHandle, ReplicaRefusal};
use baobabfall_core::action_ledger::ActionKey;
use baobabfall_core::control_command::{
    ControlAnswer, ControlCommand, EditAccepted, EditIdentity, EditRefusal, StopTarget,
};
use baobabfall_core::dispatch_messages::NodeIdentity;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::replica_members::MemberChange;
use baobabfall_core::table_history::DifferenceContent;
use baobabfall_core::workspace_table::RowChange;
use baobabfall_node::http_server::{
    BodyRefusal, ErrorBody, FullResponse, error_response, json_response, read_json,
};
use baobabfall_node::messages::StopKind;
use baobabfall_node::operator_messages::{
    ACTIONS_PATH, ActionResolution, ConflictView, EditAnswer, FAIRNESS_PATH, HISTORY_PATH,
    MEMBERS_PATH, MemberEdit, NODES_PATH, NodeRemoval, ROLLBACK_PATH, STATUS_PATH, STOPS_PATH,
    StopEdit, TABLE_PATH, TableEdit, TableRollback, UPSTREAMS_PATH, WORKSPACES_PATH,
};
use http::{Method, Request};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::{SystemTime, UNIX_EPOCH};

/// Largest message of an operator in bytes; a table of 10,000 rows has 3 MiB.
const OPERATOR_MESSAGE_LIMIT: usize = 8 << 20;

/// Answers operators.
#[derive(Clone, Debug)]
pub struct OperatorApi {
    /// This controller.
    pub identity: NodeIdentity,
    /// Its availability zone.
    pub zone: String,
    /// The replicated log.
    pub replica: ReplicaHandle,
    /// The dispatcher.
    pub dispatch: DispatchService,
    /// The registry.
    pub registry: RegistryService,
    /// The nodes.
    pub tracker: NodeTracker,
}

/// A refusal of an operator's call.
#[derive(Debug)]
pub enum OperatorRefusal {
    /// The body is not accepted.
    Body(BodyRefusal),
    /// The log refused.
    Log(ReplicaRefusal),
    /// The state machine refused.
    Edit(Box<EditRefusal>),
}

impl From<BodyRefusal> for OperatorRefusal {
    fn from(refusal: BodyRefusal) -> Self {
        Self::Body(refusal)
    }
}

impl From<ReplicaRefusal> for OperatorRefusal {
    fn from(refusal: ReplicaRefusal) -> Self {
        Self::Log(refusal)
    }
}

/// Error body of a refused edit with the difference to what won.
#[derive(Serialize)]
struct ConflictBody {
    #[serde(flatten)]
    error: ErrorBody,
    #[serde(flatten)]
    conflict: ConflictView,
}

type OperatorResult = Result<FullResponse, OperatorRefusal>;

impl OperatorApi {
    /// Answers one authenticated request.
    pub async fn handle(&self, request: Request<Incoming>) -> FullResponse {
        let path = request.uri().path().to_owned();
        let result = match (request.method().clone(), path.as_str()) {
            (Method::GET, STATUS_PATH) => Ok(json_response(200, &operator_views::status(self))),
            (Method::GET, path) => self.read(path, request.uri().query()).await,
            (Method::POST, path) => self.change(path, request).await,
            _ => Ok(error_response(ErrorKind::MethodNotAllowed, "Use GET or POST.")),
        };
        result.unwrap_or_else(|refusal| refusal.response())
    }

    /// Reads are answered by the leader only, after it confirmed that it leads.
    async fn read(&self, path: &str, query: Option<&str>) -> OperatorResult {
        self.replica.confirm_read().await?;
        Ok(match path {
            TABLE_PATH => self.read_table(query),
            HISTORY_PATH => json_response(200, &operator_views::history(self)),
            WORKSPACES_PATH => json_response(200, &operator_views::workspaces(self)),
            UPSTREAMS_PATH => json_response(200, &operator_views::upstreams(self)),
            FAIRNESS_PATH => json_response(200, &operator_views::fairness(self)),
            STOPS_PATH => json_response(200, &operator_views::stops(self)),
            ACTIONS_PATH => json_response(200, &operator_views::actions(self)),
            MEMBERS_PATH => json_response(200, &operator_views::members(self)),
            _ => error_response(ErrorKind::NotFound, "There is no such operator path."),
        })
    }

    fn read_table(&self, query: Option<&str>) -> FullResponse {
        let revision = match query.map(|query| query.strip_prefix("revision=").unwrap_or(query)) {
            None => self.replica.state().history().revision(),
            Some(text) => match text.parse() {
                Ok(revision) => revision,
                Err(_) => {
                    let message = "The query accepts revision=NUMBER only.";
                    return error_response(ErrorKind::MalformedRequest, message);
                }
            },
        };
        match operator_views::table(self, revision) {
            Some(view) => json_response(200, &view),
            None => {
                let message = format!("Revision {revision} is not kept; see the history.");
                error_response(ErrorKind::NotFound, &message)
            }
        }
    }

    async fn change(&self, path: &str, request: Request<Incoming>) -> OperatorResult {
        match path {
            TABLE_PATH => self.edit_table(message(request).await?).await,
            ROLLBACK_PATH => self.roll_back(message(request).await?).await,
            STOPS_PATH => self.edit_stop(message(request).await?).await,
            ACTIONS_PATH => self.resolve_action(message(request).await?).await,
            MEMBERS_PATH => self.edit_member(message(request).await?).await,
            NODES_PATH => self.remove_node(message(request).await?).await,
            _ => Ok(error_response(ErrorKind::NotFound, "There is no such operator path.")),
        }
    }

    async fn commit(&self, command: ControlCommand) -> Result<EditAccepted, OperatorRefusal> {
        match self.replica.propose(command).await? {
            ControlAnswer::Accepted(accepted) => Ok(accepted),
            ControlAnswer::Refused(refusal) => Err(OperatorRefusal::Edit(refusal)),
            _ => {
                let message = "The log answered with another kind of answer.".to_owned();
                Err(ReplicaRefusal { kind: ErrorKind::Internal, message }.into())
            }
        }
    }

    async fn edit_table(&self, edit: TableEdit) -> OperatorResult {
        log::info!(operator = edit.operator.as_str(), base = edit.base_revision; "table edit");
        let command = ControlCommand::EditTable {
            edit: EditIdentity { operator: edit.operator, id: edit.edit_id },
            base_revision: edit.base_revision,
            changes: edit.changes,
        };
        self.commit_revision(command).await
    }

    async fn roll_back(&self, rollback: TableRollback) -> OperatorResult {
        let command = ControlCommand::Rollback {
            edit: EditIdentity { operator: rollback.operator, id: rollback.edit_id },
            base_revision: rollback.base_revision,
            to_revision: rollback.to_revision,
        };
        self.commit_revision(command).await
    }

    async fn commit_revision(&self, command: ControlCommand) -> OperatorResult {
        let id = command.edit().map(|edit| edit.id.clone()).unwrap_or_default();
        let before = self.replica.state().history().revision();
        let accepted = self.commit(command).await?;
        let state = self.replica.state();
        let digest = match state.history().table_at(accepted.revision) {
            Some(table) => table.digest(),
            None => String::new(),
        };
        let revisions = state.history().revisions();
        let made_here = accepted.revision > before
            && revisions.rev().any(|entry| entry.edit_id == id && entry.revision > before);
        let answer = EditAnswer { revision: accepted.revision, digest, repeated: !made_here };
        Ok(json_response(200, &answer))
    }

    async fn edit_stop(&self, edit: StopEdit) -> OperatorResult {
        let identity = generated_identity(edit.operator);
        let target = StopTarget { kind: stop_kind(edit.kind), name: edit.name };
        let command = match edit.announce {
            true => {
                ControlCommand::AnnounceStop { edit: identity, target, limit_ms: edit.limit_ms }
            }
            false => ControlCommand::CancelStop { edit: identity, target },
        };
        self.commit(command).await?;
        Ok(json_response(200, &operator_views::stops(self)))
    }

    async fn resolve_action(&self, resolution: ActionResolution) -> OperatorResult {
        let key = ActionKey::new(&resolution.workspace, &resolution.service, &resolution.key);
        let command = ControlCommand::ResolveAction {
            edit: generated_identity(resolution.operator),
            key,
            ran: resolution.ran,
            note: String::new(),
        };
        self.commit(command).await?;
        Ok(json_response(200, &operator_views::actions(self)))
    }

    async fn edit_member(&self, edit: MemberEdit) -> OperatorResult {
        let members = self.replica.view().members;
        let held = members.iter().find(|member| member.identity.name == edit.name);
        if edit.address.is_some() {
            let message = "A controller joins by itself; start it with this group's settings.";
            return Ok(error_response(ErrorKind::MalformedRequest, message));
        }
        let Some(member) = held else {
            let message = format!("No controller is named {}.", edit.name);
            return Ok(error_response(ErrorKind::NotFound, &message));
        };
        log::info!(operator = edit.operator.as_str(), controller = edit.name.as_str(); "removing a controller");
        self.replica.change_members(MemberChange::Remove { id: member.identity.id }).await?;
        Ok(json_response(200, &operator_views::members(self)))
    }

    async fn remove_node(&self, removal: NodeRemoval) -> OperatorResult {
        let node = NodeIdentity { name: removal.name, incarnation: removal.incarnation };
        let edit = generated_identity(removal.operator);
        self.commit(ControlCommand::RemoveNode { edit, node: node.clone() }).await?;
        self.tracker.forget(&node.name, node.incarnation);
        Ok(json_response(200, &serde_json::json!({"removed": node.name})))
    }
}

/// Identity of a change that is idempotent by itself.
fn generated_identity(operator: String) -> EditIdentity {
    EditIdentity { operator, id: uuid::Uuid::new_v4().to_string() }
}

fn stop_kind(kind: StopKind) -> baobabfall_core::control_command::StopKind {
    use baobabfall_core::control_command::StopKind as Stored;
    match kind {
        StopKind::Host => Stored::Host,
        StopKind::Upstream => Stored::Upstream,
        StopKind::Router => Stored::Router,
        StopKind::Controller => Stored::Controller,
    }
}

async fn message<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, OperatorRefusal> {
    Ok(read_json(request, OPERATOR_MESSAGE_LIMIT).await?)
}

/// Wall clock in milliseconds since the Unix epoch.
pub fn wall_clock_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

impl OperatorRefusal {
    fn response(&self) -> FullResponse {
        match self {
            Self::Body(refusal) => refusal.response(),
            Self::Log(refusal) => error_response(refusal.kind, &refusal.message),
            Self::Edit(refusal) => edit_response(refusal),
        }
    }
}

fn edit_response(refusal: &EditRefusal) -> FullResponse {
    let changes: Vec<RowChange> = match refusal.difference.as_ref().map(|diff| &diff.content) {
        Some(DifferenceContent::Changes(changes)) => changes.clone(),
        Some(DifferenceContent::Whole(table)) => {
            table.rows().values().map(|row| RowChange::Put { row: row.clone() }).collect()
        }
        None => return error_response(refusal.kind, &refusal.message),
    };
    let answer = refusal.kind.answer();
    let error = ErrorBody {
        error: baobabfall_node::http_server::ErrorDetail {
            code: answer.code.to_owned(),
            message: refusal.message.clone(),
            not_run: answer.not_run,
            retry: answer.retry,
            retry_after_ms: None,
            request_id: None,
        },
    };
    let conflict = ConflictView { revision: refusal.revision, changes };
    json_response(answer.status, &ConflictBody { error, conflict })
}
