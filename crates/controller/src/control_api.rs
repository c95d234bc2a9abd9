//! The controller's listener: authentication and routing of requests.

use crate::action_service::ActionService;
use crate::dispatch_service::DispatchService;
use crate::membership::{JOIN_PATH, JoinRequest, PRESENCE_PATH, ReplicaPresence, accept_join};
use crate::node_tracker::NodeTracker;
use crate::operator_api::OperatorApi;
use crate::options::ControllerOptions;
use crate::peer_links::REPLICA_PATH;
use crate::registry_service::RegistryService;
use crate::replica_driver::{ReplicaHandle, ReplicaRefusal};
use crate::sync_service::SyncService;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::upstream_registry::{AnnouncementRefusal, UpstreamAnnouncement};
use baobabfall_node::credentials::CredentialFile;
use baobabfall_node::http_client::PeerClient;
use baobabfall_node::http_server::{
    FullResponse, bytes_response, error_response, json_response, message_response, presented_token,
    read_json, read_message,
};
use baobabfall_node::messages::{
    ANNOUNCE_PATH, AnnounceAnswer, AnnounceMessage, CLAIM_PATH, ClaimRequest, FORWARD_PATH,
    OUTCOME_PATH, OutcomeRequest, REPORT_PATH, SYNC_PATH, UpstreamWithdrawal, WITHDRAW_PATH,
};
use baobabfall_node::node_metrics::NodeMetrics;
use baobabfall_node::operator_messages::{NodeView, OPERATOR_PREFIX};
use http::{Method, Request};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Path of the nodes that a controller reports to the leader.
pub const OBSERVED_PATH: &str = "/control/v1/observed";
/// Largest announcement in bytes.
const ANNOUNCEMENT_LIMIT: usize = 16 << 10;
/// Time for forwarding an announcement to the leader.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Everything that answers requests at a controller.
#[derive(Clone, Debug)]
pub struct ControlApi {
    /// Checked options.
    pub options: Arc<ControllerOptions>,
    /// The replicated log.
    pub replica: ReplicaHandle,
    /// The dispatcher.
    pub dispatch: DispatchService,
    /// The registry.
    pub registry: RegistryService,
    /// News for nodes.
    pub sync: SyncService,
    /// Known nodes.
    pub tracker: NodeTracker,
    /// Protected actions.
    pub actions: ActionService,
    /// The operators' interface.
    pub operators: OperatorApi,
    /// Metrics of this process.
    pub metrics: NodeMetrics,
}

impl ControlApi {
    /// Answers one request.
    pub async fn handle(&self, request: Request<Incoming>) -> FullResponse {
        let path = request.uri().path().to_owned();
        if path == "/healthz" {
            return bytes_response(200, "text/plain", b"ok\n".to_vec());
        }
        let Some(credential) = self.credential_for(&path) else {
            return error_response(ErrorKind::NotFound, "There is no such path.");
        };
        let accepted =
            presented_token(request.headers()).is_some_and(|token| credential.accepts(token));
        if !accepted {
            self.metrics.count_refusal(ErrorKind::Unauthenticated.answer().code);
            let message = "Send the credential for this path as a bearer token.";
            return error_response(ErrorKind::Unauthenticated, message);
        }
        if path.starts_with(OPERATOR_PREFIX) {
            return self.operators.handle(request).await;
        }
        if path == "/metrics" {
            return bytes_response(200, "text/plain; version=0.0.4", self.metrics.scrape());
        }
        if request.method() != Method::POST {
            return error_response(ErrorKind::MethodNotAllowed, "Use POST.");
        }
        self.route(&path, request).await
    }

    fn credential_for(&self, path: &str) -> Option<&CredentialFile> {
        match path {
            "/metrics" => Some(&self.options.metrics),
            ANNOUNCE_PATH | WITHDRAW_PATH => Some(&self.options.upstream),
            path if path.starts_with(OPERATOR_PREFIX) => Some(&self.options.operator),
            path if path.starts_with("/control/v1/") => Some(&self.options.process),
            _ => None,
        }
    }

    async fn route(&self, path: &str, request: Request<Incoming>) -> FullResponse {
        match path {
            REPORT_PATH => self.report(request).await,
            SYNC_PATH => match read_message(request).await {
                Ok(message) => message_response(&self.sync.sync(&message).await),
                Err(refusal) => refusal.response(),
            },
            REPLICA_PATH => match read_message(request).await {
                Ok(message) => {
                    self.replica.deliver(message);
                    message_response(&())
                }
                Err(refusal) => refusal.response(),
            },
            FORWARD_PATH => self.forwarded(request).await,
            ANNOUNCE_PATH => self.announce(request).await,
            WITHDRAW_PATH => self.withdraw(request).await,
            CLAIM_PATH => self.claim(request).await,
            OUTCOME_PATH => self.outcome(request).await,
            OBSERVED_PATH => match read_message::<Vec<NodeView>>(request).await {
                Ok(views) => {
                    self.tracker.note_observed(views);
                    message_response(&())
                }
                Err(refusal) => refusal.response(),
            },
            PRESENCE_PATH => {
                let in_group = !self.replica.view().members.is_empty();
                message_response(&ReplicaPresence { in_group })
            }
            JOIN_PATH => match read_message::<JoinRequest>(request).await {
                Ok(join) => {
                    let joined = accept_join(&self.options, &self.replica, join).await;
                    log_result(joined, |()| message_response(&()))
                }
                Err(refusal) => refusal.response(),
            },
            _ => error_response(ErrorKind::NotFound, "There is no such path."),
        }
    }

    async fn report(&self, request: Request<Incoming>) -> FullResponse {
        let report = match read_message(request).await {
            Ok(report) => report,
            Err(refusal) => return refusal.response(),
        };
        match self.dispatch.report(&report).await {
            Ok(answer) => message_response(&answer),
            Err(kind) => error_response(kind, self.leader_message(kind)),
        }
    }

    fn leader_message(&self, kind: ErrorKind) -> &'static str {
        match kind {
            ErrorKind::NotLeader => "This controller does not lead.",
            ErrorKind::StaleIncarnation => "This incarnation was removed by an operator.",
            _ => "The report is not accepted.",
        }
    }

    async fn claim(&self, request: Request<Incoming>) -> FullResponse {
        match read_message::<ClaimRequest>(request).await {
            Ok(message) => log_result(self.actions.claim(message.claims).await, |answers| {
                message_response(&answers)
            }),
            Err(refusal) => refusal.response(),
        }
    }

    async fn outcome(&self, request: Request<Incoming>) -> FullResponse {
        match read_message::<OutcomeRequest>(request).await {
            Ok(message) => {
                log_result(self.actions.record(message.outcomes).await, |()| message_response(&()))
            }
            Err(refusal) => refusal.response(),
        }
    }

    async fn announce(&self, request: Request<Incoming>) -> FullResponse {
        let announcement: UpstreamAnnouncement = match read_json(request, ANNOUNCEMENT_LIMIT).await
        {
            Ok(announcement) => announcement,
            Err(refusal) => return refusal.response(),
        };
        if let Err(refusal) = self.registry.announce(announcement.clone()) {
            return announcement_refusal(&refusal);
        }
        self.forward(AnnounceMessage::Announce(vec![announcement])).await;
        let lapse = u64::try_from(self.registry.lapse().as_millis()).unwrap_or(u64::MAX);
        json_response(200, &AnnounceAnswer { renew_within_ms: lapse / 2 })
    }

    async fn withdraw(&self, request: Request<Incoming>) -> FullResponse {
        let withdrawal: UpstreamWithdrawal = match read_json(request, ANNOUNCEMENT_LIMIT).await {
            Ok(withdrawal) => withdrawal,
            Err(refusal) => return refusal.response(),
        };
        self.registry.withdraw(&withdrawal.name, withdrawal.incarnation);
        self.forward(AnnounceMessage::Withdraw(withdrawal)).await;
        json_response(200, &serde_json::json!({}))
    }

    async fn forwarded(&self, request: Request<Incoming>) -> FullResponse {
        match read_message::<AnnounceMessage>(request).await {
            Ok(AnnounceMessage::Announce(announcements)) => {
                let mut refused = None;
                for announcement in announcements {
                    refused = self.registry.announce(announcement).err().or(refused);
                }
                match refused {
                    Some(refusal) => announcement_refusal(&refusal),
                    None => message_response(&()),
                }
            }
            Ok(AnnounceMessage::Withdraw(withdrawal)) => {
                self.registry.withdraw(&withdrawal.name, withdrawal.incarnation);
                message_response(&())
            }
            Err(refusal) => refusal.response(),
        }
    }

    /// Passes an announcement that arrived at a follower on to the leader.
    async fn forward(&self, message: AnnounceMessage) {
        let Some(address) = self.leader_address() else { return };
        let token = self.options.process.token();
        let client = PeerClient::new(address);
        let sent: Result<(), _> =
            client.call(FORWARD_PATH, &token, &message, FORWARD_TIMEOUT).await;
        if let Err(error) = sent {
            log::debug!("announcement not forwarded: {error}");
        }
    }

    /// Address of the leader, unless this controller leads.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        let view = self.replica.view();
        if view.leads {
            return None;
        }
        view.members.get(view.leader?.id)?.address.parse().ok()
    }
}

fn announcement_refusal(refusal: &AnnouncementRefusal) -> FullResponse {
    error_response(refusal.kind, &refusal.message)
}

fn log_result<T>(
    result: Result<T, ReplicaRefusal>,
    answer: impl FnOnce(T) -> FullResponse,
) -> FullResponse {
    match result {
        Ok(value) => answer(value),
        Err(refusal) => error_response(refusal.kind, &refusal.message),
    }
}
