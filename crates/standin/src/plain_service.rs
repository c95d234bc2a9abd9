//! Simulated plain service with idempotent, protected (fenced) and other calls.

use crate::answer_body::{AnswerBody, AnswerEnding, whole_answer};
use crate::answer_text::expected_answer;
use crate::faults::{FaultDraw, FaultKind};
use crate::model_engine::{
    BODY_LIMIT, BODY_TIMEOUT, health_answer, json_answer, refusal, request_id, with_rate_limit,
    with_request_id,
};
use crate::upstream_handle::{UpstreamHandle, UpstreamOptions, UpstreamTraits};
use crate::upstream_state::UpstreamState;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::upstream_registry::UpstreamKind;
use baobabfall_node::http_server::read_body;
use baobabfall_node::messages::FencingToken;
use http::{HeaderMap, Method, Request, Response};
use hyper::body::Incoming;
use serde_json::json;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Request header with the fencing token in the form `TERM.NUMBER`.
pub const FENCING_HEADER: &str = "baobabfall-fencing-token";
/// Request header with the idempotency key of an action.
pub const KEY_HEADER: &str = "idempotency-key";
/// Path prefixes of protected actions, which must run at most once per idempotency key.
pub const PROTECTED_PATHS: [&str; 4] = ["/decisions", "/payouts", "/prices", "/credits"];

/// Options of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Options common to all simulated upstreams.
    pub upstream: UpstreamOptions,
    /// Service name that is announced and returned in answers.
    pub service: String,
    /// Duration of a call without faults.
    pub service_time: Duration,
    /// Length of the answer text in tokens.
    pub answer_tokens: u64,
    /// Whether stale fencing tokens and repeated executions of a key are refused.
    pub honours_fencing: bool,
}

impl ServiceOptions {
    /// Options of a service that answers without delay and honours fencing tokens.
    pub fn new(name: &str, service: &str) -> Self {
        Self {
            upstream: UpstreamOptions::new(name),
            service: service.to_owned(),
            service_time: Duration::ZERO,
            answer_tokens: 8,
            honours_fencing: true,
        }
    }
}

#[derive(Debug, Default)]
struct KeyRecord {
    highest: FencingToken,
    executed: bool,
}

struct ServiceState {
    options: ServiceOptions,
    upstream: Arc<UpstreamState>,
    keys: Mutex<SortedMap<String, KeyRecord>>,
}

/// Starts a plain service; fails when its listen address can't be bound.
pub async fn start(options: ServiceOptions) -> std::io::Result<UpstreamHandle> {
    let upstream = options.upstream.state();
    let traits = UpstreamTraits {
        kind: UpstreamKind::Service,
        serves: vec![options.service.clone()],
        honours_fencing: options.honours_fencing,
        resume: false,
        cancel: true,
    };
    let upstream_options = options.upstream.clone();
    let state =
        Arc::new(ServiceState { options, upstream: Arc::clone(&upstream), keys: Mutex::default() });
    let service = tower::service_fn(move |request: Request<Incoming>| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(state.handle(request).await) }
    });
    UpstreamHandle::start(upstream_options, traits, upstream, service).await
}

/// Whether `path` is one of [`PROTECTED_PATHS`] or lies below one.
pub fn is_protected(path: &str) -> bool {
    PROTECTED_PATHS.iter().any(|prefix| {
        path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    })
}

impl ServiceState {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let path = request.uri().path().to_owned();
        match *request.method() {
            Method::GET if path == "/health" => health_answer(&self.upstream),
            Method::GET if path.starts_with("/status/") => self.call(request, &path).await,
            Method::POST => match path.strip_prefix("/cancel/") {
                Some(id) => json_answer(200, &json!({ "cancelled": self.upstream.cancel(id) })),
                None => self.call(request, &path).await,
            },
            _ => refusal(404, "The path is not served.", "", None),
        }
    }

    async fn call(&self, request: Request<Incoming>, path: &str) -> Response<AnswerBody> {
        self.upstream.count_start();
        let draw = self.upstream.faults.draw();
        let (parts, body) = request.into_parts();
        let request_id = request_id(&parts.headers);
        let refuse = |status: u16, message: &str| {
            refusal(status, message, &request_id, Some(&self.upstream))
        };
        let body = match read_body(body, BODY_LIMIT, BODY_TIMEOUT).await {
            Ok(body) => body,
            Err(error) => return refuse(400, &error.message),
        };
        if draw.has(FaultKind::Refuse) {
            return refuse(503, "The service is full.");
        }
        let Some(permit) = self.upstream.acquire_slot().await else {
            return refuse(503, "The service is full.");
        };
        let key = header_text(&parts.headers, KEY_HEADER);
        if is_protected(path)
            && let Err(message) = self.check_token(&parts.headers, key, &draw)
        {
            return refuse(409, message);
        }
        let run = self.upstream.begin(permit, &request_id, key, path);
        let mut time = self.options.service_time;
        if draw.has(FaultKind::LateAnswer) || draw.has(FaultKind::SlowFirstToken) {
            time += draw.delay;
        }
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        let body = json!({
            "service": self.options.service,
            "path": path,
            "request_id": request_id,
            "received": body.len(),
            "answer": expected_answer(&request_id, self.options.answer_tokens),
        });
        let bytes = body.to_string().into_bytes();
        let ending = AnswerEnding::of(&draw);
        let answer = whole_answer(200, "application/json", bytes, ending, Some(run));
        with_rate_limit(with_request_id(answer, &request_id, &draw), &self.upstream)
    }

    /// Checks the fencing token and marks the key as executed; the error is the message for the
    /// caller. Requests without a key always pass.
    fn check_token(
        &self,
        headers: &HeaderMap,
        key: Option<&str>,
        draw: &FaultDraw,
    ) -> Result<(), &'static str> {
        let Some(key) = key else { return Ok(()) };
        let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        let record = keys.get_or_insert_with(key.to_owned(), KeyRecord::default);
        let ignored = !self.options.honours_fencing || draw.has(FaultKind::IgnoreFencing);
        if let Some(token) = header_text(headers, FENCING_HEADER) {
            let token = parse_token(token).ok_or("The fencing token is malformed.")?;
            if token < record.highest && !ignored {
                return Err("The fencing token is older than one seen before.");
            }
            record.highest = record.highest.max(token);
        }
        if record.executed && !ignored {
            return Err("The action with this key was executed before.");
        }
        record.executed = true;
        Ok(())
    }
}

/// Parses a fencing token of the form `TERM.NUMBER`.
///
/// ```
/// use baobabfall_standin::plain_service::parse_token;
/// assert!(parse_token("2.7") > parse_token("1.9"));
/// assert_eq!(parse_token("7"), None);
/// ```
pub fn parse_token(text: &str) -> Option<FencingToken> {
    let (term, number) = text.split_once('.')?;
    Some(FencingToken { term: term.parse().ok()?, number: number.parse().ok()? })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
