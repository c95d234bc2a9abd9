//! HTTP API of the fleet listener, used by upstreams, metrics scrapers and operators.

use crate::router_state::RouterState;
use crate::table_view::RENEWAL_INTERVAL;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::upstream_registry::UpstreamAnnouncement;
use baobabfall_node::credentials::CredentialFile;
use baobabfall_node::http_server::{
    BodyRefusal, FullResponse, bytes_response, error_response, json_response, presented_token,
    read_json,
};
use baobabfall_node::messages::{
    ANNOUNCE_PATH, AnnounceAnswer, AnnounceMessage, FORWARD_PATH, UpstreamWithdrawal, WITHDRAW_PATH,
};
use http::{HeaderMap, Method, Request};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::IgnoredAny;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of an announcement or a withdrawal.
const ANNOUNCEMENT_LIMIT_BYTES: usize = 16 << 10;
/// Time in which the leader must accept a forwarded announcement or withdrawal.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Media type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Response body of `GET /status`.
#[derive(Debug, Serialize)]
pub struct RouterStatus {
    /// Name of the router, unique in the fleet.
    pub name: String,
    /// Incarnation of the router, which grows with each restart.
    pub incarnation: u64,
    /// Availability zone of the router.
    pub zone: String,
    /// Host that the router runs on.
    pub host: String,
    /// Revision of the workspace table in force; 0 before the first.
    pub revision: u64,
    /// Version of the set of evacuated zones in force; 0 before the first.
    pub evacuations_version: u64,
    /// Phase of the graceful shutdown, in lower case.
    pub phase: String,
    /// Highest dispatcher term seen.
    pub term: u64,
    /// Address of the presumed leader.
    pub leader: String,
    /// Milliseconds since the dispatcher's last answer.
    pub dispatcher_silence_ms: u64,
    /// Number of requests in progress.
    pub in_progress: u32,
    /// Number of queued requests.
    pub queued: usize,
    /// Number of leased slots in use.
    pub running: usize,
    /// Number of outcomes of protected actions that the leader has not acknowledged.
    pub open_outcomes: usize,
}

/// Handles one request received on the fleet listener.
pub async fn handle(state: Arc<RouterState>, request: Request<Incoming>) -> FullResponse {
    let path = request.uri().path();
    let (method, credential) = match path {
        ANNOUNCE_PATH | WITHDRAW_PATH => (Method::POST, &state.options.upstream),
        "/metrics" => (Method::GET, &state.options.metrics),
        "/status" => (Method::GET, &state.options.process),
        _ => return refuse(&state, ErrorKind::NotFound, "No such path."),
    };
    if request.method() != method {
        let message = format!("Only {method} is accepted at {path}.");
        return refuse(&state, ErrorKind::MethodNotAllowed, &message);
    }
    if !authorized(request.headers(), credential) {
        let message = "The credential is missing or not accepted at this path.";
        return refuse(&state, ErrorKind::Unauthenticated, message);
    }
    match path {
        ANNOUNCE_PATH => announce(&state, request).await,
        WITHDRAW_PATH => withdraw(&state, request).await,
        "/metrics" => metrics(&state),
        _ => json_response(200, &status(&state)),
    }
}

pub(crate) fn authorized(headers: &HeaderMap, credential: &CredentialFile) -> bool {
    presented_token(headers).is_some_and(|token| credential.accepts(token))
}

pub(crate) fn refuse(state: &RouterState, kind: ErrorKind, message: &str) -> FullResponse {
    state.metrics.count_refusal(kind.answer().code);
    error_response(kind, message)
}

fn refuse_body(state: &RouterState, refusal: &BodyRefusal) -> FullResponse {
    refuse(state, refusal.kind, &refusal.message)
}

async fn announce(state: &Arc<RouterState>, request: Request<Incoming>) -> FullResponse {
    let announcement: UpstreamAnnouncement =
        match read_json(request, ANNOUNCEMENT_LIMIT_BYTES).await {
            Ok(announcement) => announcement,
            Err(refusal) => return refuse_body(state, &refusal),
        };
    if let Err(refusal) = state.fleet.directory().announce(announcement.clone()) {
        return refuse(state, refusal.kind, &refusal.message);
    }
    forward(state, AnnounceMessage::Announce(vec![announcement]));
    let renew_within_ms = u64::try_from(RENEWAL_INTERVAL.as_millis()).unwrap_or(u64::MAX);
    json_response(200, &AnnounceAnswer { renew_within_ms })
}

async fn withdraw(state: &Arc<RouterState>, request: Request<Incoming>) -> FullResponse {
    let withdrawal: UpstreamWithdrawal = match read_json(request, ANNOUNCEMENT_LIMIT_BYTES).await {
        Ok(withdrawal) => withdrawal,
        Err(refusal) => return refuse_body(state, &refusal),
    };
    let withdrawn = state.fleet.directory().withdraw(&withdrawal);
    forward(state, AnnounceMessage::Withdraw(withdrawal));
    json_response(200, &json!({ "withdrawn": withdrawn }))
}

/// Forwards a message to the leader in a separate task, so that upstreams can
/// announce themselves to the router while no controller is reachable.
fn forward(state: &Arc<RouterState>, message: AnnounceMessage) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let call = state.link.call_leader::<_, IgnoredAny>(FORWARD_PATH, &message, FORWARD_TIMEOUT);
        if let Err(error) = call.await {
            log::debug!("failed to forward an announcement to the leader: {error}");
        }
    });
}

fn metrics(state: &RouterState) -> FullResponse {
    let book = state.queue.book();
    let (queued, running) = (book.queued(), book.running());
    drop(book);
    state.metrics.queued.record(u64::try_from(queued).unwrap_or(u64::MAX), &[]);
    state.metrics.running.record(u64::try_from(running).unwrap_or(u64::MAX), &[]);
    bytes_response(200, METRICS_CONTENT_TYPE, state.metrics.scrape())
}

/// Collects the current status of the router.
pub fn status(state: &RouterState) -> RouterStatus {
    let (queued, running, term) = {
        let book = state.queue.book();
        (book.queued(), book.running(), book.term())
    };
    let silence = state.dispatch.silence().as_millis();
    RouterStatus {
        name: state.options.identity.name.clone(),
        incarnation: state.options.identity.incarnation,
        zone: state.options.settings.node.zone.clone(),
        host: state.options.settings.node.host.clone(),
        revision: state.fleet.table().map_or(0, |table| table.revision),
        evacuations_version: state.fleet.directory().evacuations().version,
        phase: format!("{:?}", state.drain.phase()).to_lowercase(),
        term,
        leader: state.link.leader().to_string(),
        dispatcher_silence_ms: u64::try_from(silence).unwrap_or(u64::MAX),
        in_progress: state.in_progress(),
        queued,
        running,
        open_outcomes: state.actions.unacknowledged(),
    }
}
