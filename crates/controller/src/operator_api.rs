//! HTTP interface for operators: status and lists, edits of the workspace table, planned stops and
//! membership changes.

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
use baobabfall_node::operator_messages::{
    ACTIONS_PATH, ActionResolution, ConflictView, EditAnswer, FAIRNESS_PATH, HISTORY_PATH,
    MEMBERS_PATH, MemberEdit, NODES_PATH, NodeRemoval, ROLLBACK_PATH, STATUS_PATH, STOPS_PATH,
    StopEdit, TABLE_PATH, TableEdit, TableRollback, UPSTREAMS_PATH, WORKSPACES_PATH, ZONES_PATH,
};
use http::{Method, Request};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest accepted request body in bytes. A table of 10,000 rows takes 3 MiB.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Handler of operator requests.
#[derive(Clone, Debug)]
pub struct OperatorApi {
    /// Name and incarnation of this controller.
    pub identity: NodeIdentity,
    /// Availability zone of this controller.
    pub zone: String,
    /// Handle to this controller's replica of the log.
    pub replica: ReplicaHandle,
    /// Dispatcher of slots; active only while this controller leads.
    pub dispatch: DispatchService,
    /// Registry of announced upstreams.
    pub registry: RegistryService,
    /// Nodes that sync with this controller or that others reported.
    pub tracker: NodeTracker,
}

/// Reason why an operator's request was rejected.
#[derive(Debug)]
pub enum OperatorRefusal {
    /// The request body can't be read or is not valid.
    Body(BodyRefusal),
    /// The replica could not commit the change or confirm the read.
    Log(ReplicaRefusal),
    /// The state machine rejected the committed edit, for example because of a conflict.
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

/// Error body of a rejected edit, with the changes between its base revision and the current one.
#[derive(Serialize)]
struct ConflictBody {
    #[serde(flatten)]
    error: ErrorBody,
    #[serde(flatten)]
    conflict: ConflictView,
}

type OperatorResult = Result<FullResponse, OperatorRefusal>;

impl OperatorApi {
    /// Handles a request whose credential has already been checked.
    pub async fn handle(&self, request: Request<Incoming>) -> FullResponse {
        let path = request.uri().path().to_owned();
        let result = match (request.method().clone(), path.as_str()) {
            (Method::GET, STATUS_PATH) => Ok(json_response(200, &operator_views::status(self))),
            (Method::GET, ZONES_PATH) => self.read_zones(),
            (Method::GET, path) => self.read(path, request.uri().query()).await,
            (Method::POST, path) => self.change(path, request).await,
            _ => Ok(error_response(ErrorKind::MethodNotAllowed, "Use GET or POST.")),
        };
        result.unwrap_or_else(|refusal| refusal.response())
    }

    /// Answers a read. Only the leader does this, after confirming that it still is the leader.
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
            _ => error_response(ErrorKind::NotFound, "This path does not exist."),
        })
    }

    /// Answers from the applied state of any controller that hears from its group, because an
    /// operator who evacuates a zone may not reach the leader.
    fn read_zones(&self) -> OperatorResult {
        if !self.replica.view().in_contact {
            let message = "This controller does not hear from its group.";
            return Ok(error_response(ErrorKind::NoQuorum, message));
        }
        Ok(json_response(200, &operator_views::evacuations(self)))
    }

    fn read_table(&self, query: Option<&str>) -> FullResponse {
        let revision = match query.map(|query| query.strip_prefix("revision=").unwrap_or(query)) {
            None => self.replica.state().history().revision(),
            Some(text) => match text.parse() {
                Ok(revision) => revision,
                Err(_) => {
                    let message = "The only accepted query is revision=NUMBER.";
                    return error_response(ErrorKind::MalformedRequest, message);
                }
            },
        };
        match operator_views::table(self, revision) {
            Some(view) => json_response(200, &view),
            None => {
                let message = format!(
                    "Revision {revision} is not available; the history lists the revisions that are."
                );
                error_response(ErrorKind::NotFound, &message)
            }
        }
    }

    async fn change(&self, path: &str, request: Request<Incoming>) -> OperatorResult {
        match path {
            TABLE_PATH => self.edit_table(read_body(request).await?).await,
            ROLLBACK_PATH => self.roll_back(read_body(request).await?).await,
            STOPS_PATH => self.edit_stop(read_body(request).await?).await,
            ACTIONS_PATH => self.resolve_action(read_body(request).await?).await,
            MEMBERS_PATH => self.edit_member(read_body(request).await?).await,
            NODES_PATH => self.remove_node(read_body(request).await?).await,
            _ => Ok(error_response(ErrorKind::NotFound, "This path does not exist.")),
        }
    }

    async fn commit(&self, command: ControlCommand) -> Result<EditAccepted, OperatorRefusal> {
        match self.replica.propose(command).await? {
            ControlAnswer::Accepted(accepted) => Ok(accepted),
            ControlAnswer::Refused(refusal) => Err(OperatorRefusal::Edit(refusal)),
            _ => {
                let message = "The state machine returned an unexpected type of result.".to_owned();
                Err(ReplicaRefusal { kind: ErrorKind::Internal, message }.into())
            }
        }
    }

    async fn edit_table(&self, edit: TableEdit) -> OperatorResult {
        log::info!(operator = edit.operator.as_str(), base = edit.base_revision; "editing the workspace table");
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
        let previous_revision = self.replica.state().history().revision();
        let accepted = self.commit(command).await?;
        let state = self.replica.state();
        let digest = match state.history().table_at(accepted.revision) {
            Some(table) => table.digest(),
            None => String::new(),
        };
        let revisions = state.history().revisions();
        let applied_now = accepted.revision > previous_revision
            && revisions
                .rev()
                .any(|entry| entry.edit_id == id && entry.revision > previous_revision);
        let answer = EditAnswer { revision: accepted.revision, digest, repeated: !applied_now };
        Ok(json_response(200, &answer))
    }

    async fn edit_stop(&self, edit: StopEdit) -> OperatorResult {
        let identity = new_edit_identity(edit.operator);
        let target = StopTarget { kind: edit.kind, name: edit.name };
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
            edit: new_edit_identity(resolution.operator),
            key,
            ran: resolution.ran,
            note: String::new(),
        };
        self.commit(command).await?;
        Ok(json_response(200, &operator_views::actions(self)))
    }

    async fn edit_member(&self, edit: MemberEdit) -> OperatorResult {
        let members = self.replica.view().members;
        let existing = members.iter().find(|member| member.identity.name == edit.name);
        if edit.address.is_some() {
            let message =
                "Controllers join on their own; start the new one with the settings of this group.";
            return Ok(error_response(ErrorKind::MalformedRequest, message));
        }
        let Some(member) = existing else {
            let message = format!("There is no controller named {}.", edit.name);
            return Ok(error_response(ErrorKind::NotFound, &message));
        };
        log::info!(operator = edit.operator.as_str(), controller = edit.name.as_str(); "removing a controller from the group");
        self.replica.change_members(MemberChange::Remove { id: member.identity.id }).await?;
        Ok(json_response(200, &operator_views::members(self)))
    }

    async fn remove_node(&self, removal: NodeRemoval) -> OperatorResult {
        let node = NodeIdentity { name: removal.name, incarnation: removal.incarnation };
        let edit = new_edit_identity(removal.operator);
        self.commit(ControlCommand::RemoveNode { edit, node: node.clone() }).await?;
        self.tracker.forget(&node.name, node.incarnation);
        Ok(json_response(200, &serde_json::json!({"removed": node.name})))
    }
}

/// Creates an edit identity for a change that is idempotent without one.
fn new_edit_identity(operator: String) -> EditIdentity {
    EditIdentity { operator, id: uuid::Uuid::new_v4().to_string() }
}

async fn read_body<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, OperatorRefusal> {
    Ok(read_json(request, MAX_BODY_BYTES).await?)
}

impl OperatorRefusal {
    fn response(&self) -> FullResponse {
        match self {
            Self::Body(refusal) => refusal.response(),
            Self::Log(refusal) => error_response(refusal.kind, &refusal.message),
            Self::Edit(refusal) => edit_error_response(refusal),
        }
    }
}

fn edit_error_response(refusal: &EditRefusal) -> FullResponse {
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
