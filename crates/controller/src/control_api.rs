//! HTTP interface of a controller: authenticates requests and routes them to the services.

use crate::action_service::ActionService;
use crate::dispatch_channel::serve_channel;
use crate::dispatch_service::DispatchService;
use crate::founding_witness::{
    FOUNDING_PATH, FoundingAnswer, FoundingRequest, FoundingStep, FoundingWitness,
};
use crate::group_directory::{GroupDirectory, NOTICE_PATH};
use crate::membership::{JOIN_PATH, JoinRequest, PRESENCE_PATH, ReplicaPresence, accept_join};
use crate::node_tracker::NodeTracker;
use crate::operator_api::OperatorApi;
use crate::options::ControllerOptions;
use crate::origin_service::OriginService;
use crate::peer_links::{PeerAddresses, PeerEnvelope, REPLICA_PATH};
use crate::planned_stop::{LEAVE_PATH, LeaveRequest, accept_leave};
use crate::registry_service::RegistryService;
use crate::replica_driver::{ReplicaHandle, ReplicaRefusal};
use crate::sync_service::SyncService;
use baobabfall_core::control_command::{ControlAnswer, ControlCommand};
use baobabfall_core::control_state::RouteRecord;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::route_table::RouteTable;
use baobabfall_core::upstream_registry::{AnnouncementRefusal, UpstreamAnnouncement};
use baobabfall_node::credentials::CredentialFile;
use baobabfall_node::frame_channel::{PendingChannel, upgrade_response};
use baobabfall_node::http_client::{PeerClient, PeerError};
use baobabfall_node::http_server::{
    FullResponse, bytes_response, error_response, json_response, message_response, presented_token,
    read_json, read_message,
};
use baobabfall_node::messages::{
    ANNOUNCE_PATH, AnnounceAnswer, AnnounceMessage, CLAIM_PATH, ClaimRequest, DISPATCH_PATH,
    DISPATCH_PROTOCOL, EVACUATIONS_PATH, FORWARD_PATH, ORIGINS_PATH, OUTCOME_PATH, OutcomeRequest,
    REPORT_PATH, ROUTES_PATH, RouteChange, SYNC_PATH, UpstreamDeparture, UpstreamWithdrawal,
    WITHDRAW_PATH,
};
use baobabfall_node::node_metrics::NodeMetrics;
use baobabfall_node::operator_messages::{NodeView, OPERATOR_PREFIX, ZONES_PATH};
use baobabfall_node::stop_signal::StopSignal;
use baobabfall_node::units::millis;
use http::{Method, Request};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Path to which a follower posts the nodes that sync with it, as a list of [`NodeView`].
pub const OBSERVED_PATH: &str = "/control/v1/observed";
/// Largest accepted body of an announcement or withdrawal, in bytes.
const ANNOUNCEMENT_LIMIT: usize = 16 << 10;
/// Timeout for forwarding an announcement or withdrawal to the leader.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a change waits for a leader and its commit. Covers an election; callers with less
/// patience close their connection, which ends the wait.
pub(crate) const CHANGE_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a follower waits for the leader's commit of a change before it looks for another one.
pub(crate) const COMMIT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Largest document that is passed on to the leader, in bytes. With its table it fits a message;
/// callers take larger ones to the leader themselves.
const FORWARD_LIMIT: usize = 256 << 10;
/// Pause before a change that failed is tried again, unless the leadership changes sooner.
const CHANGE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Request handler of a controller, with the services that it calls.
#[derive(Clone, Debug)]
pub struct ControlApi {
    /// Validated options, with the credentials that requests must present.
    pub options: Arc<ControllerOptions>,
    /// Handle to this controller's replica of the log.
    pub replica: ReplicaHandle,
    /// Dispatcher of slots; active only while this controller leads.
    pub dispatch: DispatchService,
    /// Registry of announced upstreams.
    pub registry: RegistryService,
    /// Answers sync requests of nodes.
    pub sync: SyncService,
    /// Nodes that sync with this controller or that others reported.
    pub tracker: NodeTracker,
    /// Commits claims and outcomes of protected actions.
    pub actions: ActionService,
    /// Handler of the operator interface.
    pub operators: OperatorApi,
    /// Metrics of this process.
    pub metrics: NodeMetrics,
    /// Addresses learned from the messages of other replicas.
    pub peer_addresses: PeerAddresses,
    /// The group as its members describe it, for a replica that is not one of them.
    pub directory: GroupDirectory,
    /// Votes on the first members of the group, if the settings name this controller as a seed.
    pub witness: FoundingWitness,
    /// Copies of the origins of streams.
    pub origins: OriginService,
    /// Client for the leader, used to forward announcements that arrive at a follower. Replaced
    /// when the leader's address changes.
    pub leader: Arc<Mutex<Option<Arc<PeerClient>>>>,
    /// Ends the dispatch channels.
    pub stop: StopSignal,
}

/// Reason why an announcement or withdrawal was rejected.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{message}")]
pub struct RegisterRefusal {
    /// Error kind, which determines the status and code of the response.
    pub kind: ErrorKind,
    /// Explanation that is sent to the upstream.
    pub message: String,
}

impl From<AnnouncementRefusal> for RegisterRefusal {
    fn from(refusal: AnnouncementRefusal) -> Self {
        Self { kind: refusal.kind, message: refusal.message }
    }
}

impl From<ReplicaRefusal> for RegisterRefusal {
    fn from(refusal: ReplicaRefusal) -> Self {
        Self { kind: refusal.kind, message: refusal.message }
    }
}

impl ControlApi {
    /// Authenticates one request and returns its response.
    pub async fn handle(&self, request: Request<Incoming>) -> FullResponse {
        let path = request.uri().path().to_owned();
        if path == "/healthz" {
            return bytes_response(200, "text/plain", b"ok\n".to_vec());
        }
        let Some(credential) = self.credential_for(&path) else {
            return error_response(ErrorKind::NotFound, "There is no such path.");
        };
        let authorized =
            presented_token(request.headers()).is_some_and(|token| credential.accepts(token));
        if !authorized {
            self.metrics.count_refusal(ErrorKind::Unauthenticated.answer().code);
            let message = "This path requires a valid credential as a bearer token.";
            return error_response(ErrorKind::Unauthenticated, message);
        }
        if path == ZONES_PATH && request.method() == Method::POST {
            return self.edit_zone(request).await;
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
            DISPATCH_PATH => self.open_channel(request),
            SYNC_PATH => match read_message(request).await {
                Ok(message) => self.sync.sync_response(&message).await,
                Err(refusal) => refusal.response(),
            },
            ORIGINS_PATH => match read_message(request).await {
                Ok(lookup) => message_response(&self.origins.answer(&lookup)),
                Err(refusal) => refusal.response(),
            },
            REPLICA_PATH => match read_message(request).await {
                Ok(PeerEnvelope { address, message }) => {
                    self.peer_addresses.record(&message.from, address);
                    self.replica.deliver(message);
                    message_response(&())
                }
                Err(refusal) => refusal.response(),
            },
            FORWARD_PATH => self.handle_forwarded(request).await,
            ROUTES_PATH => self.handle_forwarded_routes(request).await,
            EVACUATIONS_PATH => self.handle_forwarded_evacuation(request).await,
            ANNOUNCE_PATH => self.announce(request).await,
            WITHDRAW_PATH => self.withdraw(request).await,
            CLAIM_PATH => self.claim(request).await,
            OUTCOME_PATH => self.outcome(request).await,
            OBSERVED_PATH => match read_message::<Vec<NodeView>>(request).await {
                Ok(views) => {
                    self.tracker.record_reported(views);
                    message_response(&())
                }
                Err(refusal) => refusal.response(),
            },
            PRESENCE_PATH => message_response(&self.presence()),
            FOUNDING_PATH => match read_message(request).await {
                Ok(message) => message_response(&self.answer_founding(message).await),
                Err(refusal) => refusal.response(),
            },
            NOTICE_PATH => match read_message(request).await {
                Ok(notice) => {
                    self.directory.record(notice);
                    message_response(&())
                }
                Err(refusal) => refusal.response(),
            },
            JOIN_PATH => match read_message::<JoinRequest>(request).await {
                Ok(join) => {
                    let joined = accept_join(&self.options, &self.replica, join).await;
                    respond_to(joined, |()| message_response(&()))
                }
                Err(refusal) => refusal.response(),
            },
            LEAVE_PATH => match read_message::<LeaveRequest>(request).await {
                Ok(leave) => {
                    let left = accept_leave(&self.options, &self.replica, leave).await;
                    respond_to(left, |answer| message_response(&answer))
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
            Err(kind) => error_response(kind, self.reject_message(kind)),
        }
    }

    /// Accepts a dispatch channel, which is then served by a task of its own.
    fn open_channel(&self, request: Request<Incoming>) -> FullResponse {
        if !self.replica.leads() {
            let message = self.reject_message(ErrorKind::NotLeader);
            return error_response(ErrorKind::NotLeader, message);
        }
        let Some(pending) = PendingChannel::take(request, DISPATCH_PROTOCOL) else {
            let message = "Ask for an upgrade to baobabfall-dispatch over HTTP/1.1.";
            return error_response(ErrorKind::MalformedRequest, message);
        };
        tokio::spawn(serve_channel(self.dispatch.clone(), pending, self.stop.clone()));
        upgrade_response(DISPATCH_PROTOCOL)
    }

    pub(crate) fn reject_message(&self, kind: ErrorKind) -> &'static str {
        match kind {
            ErrorKind::NotLeader => "This controller is not the leader.",
            ErrorKind::StaleIncarnation => "This incarnation was removed or has been replaced.",
            _ => "The report was rejected.",
        }
    }

    async fn claim(&self, request: Request<Incoming>) -> FullResponse {
        match read_message::<ClaimRequest>(request).await {
            Ok(message) => respond_to(self.actions.claim(message.claims).await, |answers| {
                message_response(&answers)
            }),
            Err(refusal) => refusal.response(),
        }
    }

    async fn outcome(&self, request: Request<Incoming>) -> FullResponse {
        match read_message::<OutcomeRequest>(request).await {
            Ok(message) => {
                respond_to(self.actions.record(message.outcomes).await, |()| message_response(&()))
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
        if !announcement.leaving && self.has_left(&announcement) {
            let message = "This incarnation was withdrawn; restart the upstream with a higher one.";
            return error_response(ErrorKind::StaleIncarnation, message);
        }
        if announcement.leaving {
            let registered = self.register(AnnounceMessage::Announce(vec![announcement])).await;
            if let Err(refusal) = registered {
                return error_response(refusal.kind, &refusal.message);
            }
        } else {
            if let Err(refusal) = self.registry.announce(announcement.clone()) {
                return announcement_refusal(&refusal);
            }
            self.forward_to_leader(AnnounceMessage::Announce(vec![announcement])).await;
        }
        let lapse_ms =
            u64::try_from(self.registry.announcement_lapse().as_millis()).unwrap_or(u64::MAX);
        json_response(200, &AnnounceAnswer { renew_within_ms: lapse_ms / 2 })
    }

    async fn withdraw(&self, request: Request<Incoming>) -> FullResponse {
        let withdrawal: UpstreamWithdrawal = match read_json(request, ANNOUNCEMENT_LIMIT).await {
            Ok(withdrawal) => withdrawal,
            Err(refusal) => return refusal.response(),
        };
        // Takes effect at this controller at once, also when the leader cannot be reached.
        self.registry.withdraw(&withdrawal.name, withdrawal.incarnation);
        match self.register(AnnounceMessage::Withdraw(withdrawal)).await {
            Ok(()) => json_response(200, &serde_json::json!({})),
            Err(refusal) => error_response(refusal.kind, &refusal.message),
        }
    }

    async fn handle_forwarded(&self, request: Request<Incoming>) -> FullResponse {
        match read_message::<AnnounceMessage>(request).await {
            Ok(_) if !self.replica.leads() => {
                error_response(ErrorKind::NotLeader, self.reject_message(ErrorKind::NotLeader))
            }
            Ok(message) => match self.register_locally(message).await {
                Ok(()) => message_response(&()),
                Err(refusal) => error_response(refusal.kind, &refusal.message),
            },
            Err(refusal) => refusal.response(),
        }
    }

    async fn handle_forwarded_routes(&self, request: Request<Incoming>) -> FullResponse {
        match read_message::<RouteChange>(request).await {
            Ok(_) if !self.replica.leads() => {
                error_response(ErrorKind::NotLeader, self.reject_message(ErrorKind::NotLeader))
            }
            Ok(change) => {
                let deadline = Instant::now() + COMMIT_TIMEOUT;
                respond_to(self.propose_routes(&change, deadline).await, |version| {
                    message_response(&version)
                })
            }
            Err(refusal) => refusal.response(),
        }
    }

    /// Forwards an announcement that arrived at a follower to the leader. A failure is only logged.
    async fn forward_to_leader(&self, message: AnnounceMessage) {
        let Some(address) = self.leader_address() else { return };
        if let Err(error) = self.send_to_leader(address, &message).await {
            log::debug!("failed to forward an announcement to the leader: {error}");
        }
    }

    async fn send_to_leader(
        &self,
        address: SocketAddr,
        message: &AnnounceMessage,
    ) -> Result<(), PeerError> {
        let token = self.options.process.token();
        let client = self.forward_client(address);
        client.call(FORWARD_PATH, &token, message, FORWARD_TIMEOUT).await
    }

    pub(crate) fn forward_client(&self, address: SocketAddr) -> Arc<PeerClient> {
        let mut cached = self.leader.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        match cached.as_ref().filter(|client| client.address() == address) {
            Some(client) => Arc::clone(client),
            None => Arc::clone(cached.insert(Arc::new(PeerClient::new(address)))),
        }
    }

    async fn answer_founding(&self, request: FoundingRequest) -> FoundingAnswer {
        if let FoundingStep::Form(members) = &request.step {
            self.replica.form_group(members.clone(), false).await;
        }
        let in_group = self.presence().in_group;
        self.witness.answer(request, in_group).await
    }

    fn presence(&self) -> ReplicaPresence {
        let view = self.replica.view();
        if view.members.is_empty() {
            return self.directory.presence();
        }
        let leader = view.leader.as_ref().map(|leader| leader.id);
        let mut members: Vec<_> = view.members.iter().collect();
        members.sort_by_key(|member| Some(member.identity.id) != leader);
        ReplicaPresence {
            in_group: true,
            members: members.iter().filter_map(|member| member.address.parse().ok()).collect(),
            age_ms: 0,
        }
    }

    /// Applies an announcement or withdrawal to the leader's registry, from any controller. While
    /// there is no leader, a departure waits for the next one; a renewal is refused at once, since
    /// the upstream may reach the leader through another controller.
    ///
    /// Deregistrations are committed to the log before they are acknowledged. After success, a
    /// deregistered upstream therefore gets no further requests, whoever leads. One that this
    /// controller has applied is acknowledged without the leader.
    pub async fn register(&self, message: AnnounceMessage) -> Result<(), RegisterRefusal> {
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        loop {
            if self.is_committed(&message) {
                return Ok(());
            }
            let Err(refusal) = self.try_register(message.clone()).await else { return Ok(()) };
            if !is_departure(&message)
                || !is_leader_missing(refusal.kind)
                || !self.wait_for_leader(deadline).await
            {
                return Err(refusal);
            }
        }
    }

    /// True for departures only, all of which this controller has applied from the log.
    fn is_committed(&self, message: &AnnounceMessage) -> bool {
        let state = self.replica.state();
        let has_left = |name: &str, incarnation: u64| {
            let left = state.deregistered().get(name);
            left.is_some_and(|left| left.incarnation >= incarnation)
        };
        match message {
            AnnounceMessage::Announce(announcements) => announcements
                .iter()
                .all(|upstream| upstream.leaving && has_left(&upstream.name, upstream.incarnation)),
            AnnounceMessage::Withdraw(withdrawal) => {
                has_left(&withdrawal.name, withdrawal.incarnation)
            }
            AnnounceMessage::Depart(departure) => departure
                .incarnation
                .is_some_and(|incarnation| has_left(&departure.name, incarnation)),
        }
    }

    /// Waits a moment before a change is tried again, until the leadership changes at the latest.
    /// Returns false once `deadline` leaves no time for another attempt.
    pub(crate) async fn wait_for_leader(&self, deadline: Instant) -> bool {
        let mut versions = self.replica.watch_versions();
        let retry_at = Instant::now() + CHANGE_RETRY_PAUSE;
        if retry_at >= deadline {
            return false;
        }
        let before = *versions.borrow_and_update();
        let changed = versions
            .wait_for(|next| (next.leads, next.leader_term) != (before.leads, before.leader_term));
        // A failed attempt is repeated after the pause as well: the leader may only have been busy.
        let _ = tokio::time::timeout_at(retry_at, changed).await;
        true
    }

    async fn try_register(&self, message: AnnounceMessage) -> Result<(), RegisterRefusal> {
        if self.replica.leads() {
            return self.register_locally(message).await;
        }
        let Some(address) = self.leader_address() else {
            let message = "No leader is currently known.".to_owned();
            return Err(RegisterRefusal { kind: ErrorKind::NoQuorum, message });
        };
        self.send_to_leader(address, &message)
            .await
            .map_err(|error| RegisterRefusal { kind: error.kind(), message: error.to_string() })
    }

    /// True if the departure of the announced incarnation, or of a later one, was committed.
    fn has_left(&self, announcement: &UpstreamAnnouncement) -> bool {
        let left = self.replica.state().deregistered().get(&announcement.name).copied();
        left.is_some_and(|left| left.incarnation >= announcement.incarnation)
    }

    async fn register_locally(&self, message: AnnounceMessage) -> Result<(), RegisterRefusal> {
        // Departures are committed first: the registry would otherwise take a repeated message for
        // one that was applied, and the upstream would get its acknowledgement without a commit.
        match message {
            AnnounceMessage::Announce(announcements) => {
                for mut announcement in announcements {
                    if announcement.leaving {
                        let name = announcement.name.clone();
                        self.commit_deregistration(name, announcement.incarnation).await?;
                    }
                    // The registry learns of departures a moment after the replica.
                    announcement.leaving |= self.has_left(&announcement);
                    self.registry.announce(announcement)?;
                }
            }
            AnnounceMessage::Withdraw(withdrawal) => {
                let name = withdrawal.name.clone();
                self.commit_deregistration(name, withdrawal.incarnation).await?;
                self.registry.withdraw(&withdrawal.name, withdrawal.incarnation);
            }
            AnnounceMessage::Depart(UpstreamDeparture { name, incarnation }) => {
                match incarnation.or_else(|| self.registry.announcing(&name)) {
                    Some(incarnation) => {
                        self.commit_deregistration(name.clone(), incarnation).await?;
                        self.registry.withdraw(&name, incarnation);
                    }
                    // A later incarnation may have started that this controller has not heard of.
                    None => {
                        let latest = self.registry.incarnation(&name).unwrap_or(0);
                        self.commit_departure(name, latest, true).await?;
                        // Otherwise an announcement could come before the registry learns of it.
                        self.registry.update_deregistered(&self.replica);
                    }
                }
            }
        }
        Ok(())
    }

    async fn commit_deregistration(
        &self,
        name: String,
        incarnation: u64,
    ) -> Result<(), ReplicaRefusal> {
        let known_incarnation =
            self.replica.state().deregistered().get(&name).map(|left| left.incarnation);
        if known_incarnation.is_some_and(|known| known >= incarnation) {
            return Ok(());
        }
        self.commit_departure(name, incarnation, false).await
    }

    async fn commit_departure(
        &self,
        name: String,
        incarnation: u64,
        unnamed: bool,
    ) -> Result<(), ReplicaRefusal> {
        log::info!(event = "upstream_left", upstream = name.as_str(), incarnation = incarnation, unnamed = unnamed; "deregistering an upstream");
        let begun = Instant::now();
        let command = ControlCommand::UpstreamLeft { name: name.clone(), incarnation, unnamed };
        let committed = tokio::time::timeout(CHANGE_TIMEOUT, self.replica.propose(command))
            .await
            .unwrap_or_else(|_| Err(late_commit()));
        let reason = committed.as_ref().err().map_or("", |refusal| refusal.kind.answer().code);
        log::info!(event = "departure_committed", upstream = name, incarnation = incarnation, waited_ms = millis(begun.elapsed()), reason = reason; "the commit of a departure has ended");
        committed.map(|_| ())
    }

    /// Refuses changes until the group has enough voters. A committed change must survive the loss
    /// of as many disks as the settings tolerate, so the quorum must exceed that number.
    pub(crate) fn check_group_size(&self) -> Result<(), ReplicaRefusal> {
        let tolerated = self.options.settings.group.as_ref().map_or(0, |group| group.tolerated);
        if self.replica.view().members.quorum() <= tolerated {
            let message = "Not enough controllers have joined the group yet.".to_owned();
            return Err(ReplicaRefusal { kind: ErrorKind::NoQuorum, message });
        }
        Ok(())
    }

    /// Commits a route table, from any controller, and returns the version that is current
    /// afterwards. That version is higher than the one of `table` if the group already has a newer
    /// table. A table that this controller has applied is confirmed without the leader.
    ///
    /// The table is refused until the group has enough voters.
    pub async fn replace_routes(
        &self,
        table: RouteTable,
        document: Vec<u8>,
    ) -> Result<u64, ReplicaRefusal> {
        self.check_group_size()?;
        let change = RouteChange { table, document };
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        loop {
            let committed = self.replica.state().routes_version();
            if committed >= change.table.version {
                return Ok(committed);
            }
            let result = match self.leader_address() {
                None => self.propose_routes(&change, deadline).await,
                Some(_) if change.document.len() > FORWARD_LIMIT && self.is_in_contact() => {
                    let message = "The change is too large to be passed on to the leader.";
                    let kind = ErrorKind::NotLeader;
                    return Err(ReplicaRefusal { kind, message: message.to_owned() });
                }
                Some(leader) => self.forward_routes(leader, &change, deadline).await,
            };
            match result {
                Err(refusal) if is_leader_missing(refusal.kind) => {
                    if !self.wait_for_leader(deadline).await {
                        return Err(refusal);
                    }
                }
                result => return result,
            }
        }
    }

    /// Commits a route table at this controller, which must lead.
    async fn propose_routes(
        &self,
        change: &RouteChange,
        deadline: Instant,
    ) -> Result<u64, ReplicaRefusal> {
        let command = ControlCommand::ReplaceRoutes {
            table: Box::new(change.table.clone()),
            document: change.document.clone(),
        };
        let proposed = tokio::time::timeout_at(deadline, self.replica.propose(command)).await;
        match proposed.unwrap_or_else(|_| Err(late_commit()))? {
            ControlAnswer::Routes(version) => Ok(version),
            _ => Err(ReplicaRefusal {
                kind: ErrorKind::Internal,
                message: "The state machine returned an unexpected type of result.".to_owned(),
            }),
        }
    }

    fn is_in_contact(&self) -> bool {
        self.replica.view().in_contact
    }

    /// Passes a route table on to the leader.
    async fn forward_routes(
        &self,
        leader: SocketAddr,
        change: &RouteChange,
        deadline: Instant,
    ) -> Result<u64, ReplicaRefusal> {
        let token = self.options.process.token();
        let client = self.forward_client(leader);
        let timeout = deadline.saturating_duration_since(Instant::now()).min(COMMIT_TIMEOUT);
        let answer = client.call(ROUTES_PATH, &token, change, timeout).await;
        answer.map_err(|error: PeerError| ReplicaRefusal {
            kind: error.kind(),
            message: error.to_string(),
        })
    }

    /// Reads the current route table after confirming that this controller is the leader.
    pub async fn newest_routes(&self) -> Result<Option<RouteRecord>, ReplicaRefusal> {
        self.replica.confirm_read().await?;
        Ok(self.replica.state().routes().cloned())
    }

    /// Address of the leader; `None` if it is unknown or this controller leads.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        let view = self.replica.view();
        if view.led_term.is_some() {
            return None;
        }
        view.members.get(view.leader?.id)?.address.parse().ok()
    }
}

/// True unless the message only renews announcements.
fn is_departure(message: &AnnounceMessage) -> bool {
    match message {
        AnnounceMessage::Announce(announcements) => {
            announcements.iter().any(|announcement| announcement.leaving)
        }
        AnnounceMessage::Withdraw(_) | AnnounceMessage::Depart(_) => true,
    }
}

/// True if a change failed because no leader took it, so that the next leader may take it.
pub(crate) fn is_leader_missing(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::NotLeader
            | ErrorKind::NoQuorum
            | ErrorKind::PeerUnreachable
            | ErrorKind::OutcomeUnknown
    )
}

/// The change may still be committed; sending it again is safe and tells whether it was.
pub(crate) fn late_commit() -> ReplicaRefusal {
    let message = "The change was not committed in time; send it again.".to_owned();
    ReplicaRefusal { kind: ErrorKind::NoQuorum, message }
}

fn announcement_refusal(refusal: &AnnouncementRefusal) -> FullResponse {
    error_response(refusal.kind, &refusal.message)
}

pub(crate) fn respond_to<T>(
    result: Result<T, ReplicaRefusal>,
    answer: impl FnOnce(T) -> FullResponse,
) -> FullResponse {
    match result {
        Ok(value) => answer(value),
        Err(refusal) => error_response(refusal.kind, &refusal.message),
    }
}
