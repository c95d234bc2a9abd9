//! HTTP API for callers: health, the list of models, completions and calls of
//! services. Validates requests before they are queued.

use crate::relay::{RelayBody, service_bytes_cost};
use crate::request_order::{
    DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, RequestOrder, RetryClass, UpstreamCall,
    end_to_end_headers, remove_accept_encoding,
};
use crate::request_record::RequestRecord;
use crate::request_run::{RETRY_AFTER, Rejection, RequestRun};
use crate::router_state::RouterState;
use crate::table_view::TableView;
use baobabfall_core::dispatch_messages::{CostUnits, UNITS_PER_TOKEN};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::upstream_registry::{UpstreamKind, WorkTarget};
use baobabfall_core::workspace_table::WorkspaceRow;
use baobabfall_node::http_server::{REQUEST_ID_HEADER, json_response, presented_token, read_body};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, Request, Response, Version};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const SERVICES_PREFIX: &str = "/services/";
const REQUEST_ID_LIMIT: usize = 64;
/// Number of body bytes that are estimated as one prompt token.
const BYTES_PER_TOKEN: u64 = 4;
/// Cost of one prompt token, a tenth of the cost of a generated token.
const UNITS_PER_PROMPT_TOKEN: CostUnits = UNITS_PER_TOKEN / 10;
/// Number of leading body bytes that are hashed, so that requests with the same
/// beginning can be sent to the same upstream.
const PREFIX_BYTES: usize = 512;

/// Fields of a completion request that the router needs.
#[derive(Deserialize)]
struct CompletionFields {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
}

/// Responds to one request of a caller.
pub async fn handle(state: Arc<RouterState>, request: Request<Incoming>) -> Response<RelayBody> {
    if request.uri().path() == "/healthz" {
        return health(&state, request.method());
    }
    let caller_id = caller_request_id(request.headers());
    let unique_id = caller_id.is_none();
    let record = state.record(caller_id.unwrap_or_else(|| uuid::Uuid::new_v4().to_string()));
    let mut intake = RequestIntake { state, record, unique_id };
    match intake.prepare(request).await {
        Ok(Prepared::Execute(order, call)) => {
            let RequestIntake { state, record, .. } = intake;
            RequestRun::new(state, *order, *call, record).run().await
        }
        Ok(Prepared::Models) => intake.models(),
        Err(rejection) => rejection.respond(&mut intake.record),
    }
}

fn health(state: &RouterState, method: &Method) -> Response<RelayBody> {
    if method != Method::GET && method != Method::HEAD {
        return json_response(405, &json!({ "status": "method not allowed" }))
            .map(RelayBody::Whole);
    }
    let (status, text) = if state.is_healthy() { (200, "ready") } else { (503, "not ready") };
    json_response(status, &json!({ "status": text })).map(RelayBody::Whole)
}

/// Returns the request id that the caller chose, if it is valid.
fn caller_request_id(headers: &HeaderMap) -> Option<String> {
    let id = headers.get(REQUEST_ID_HEADER)?.to_str().ok()?;
    let valid = (1..=REQUEST_ID_LIMIT).contains(&id.len())
        && id.bytes().all(|byte| byte.is_ascii_graphic());
    valid.then(|| id.to_owned())
}

/// What follows after the validation of a request.
enum Prepared {
    Execute(Box<RequestOrder>, Box<UpstreamCall>),
    Models,
}

enum ApiRoute {
    Models,
    Completion,
    Service { name: String, path: String },
}

/// Validation of one request.
struct RequestIntake {
    state: Arc<RouterState>,
    record: RequestRecord,
    /// True when the router chose the request id, so that no other request has it.
    unique_id: bool,
}

impl RequestIntake {
    async fn prepare(&mut self, request: Request<Incoming>) -> Result<Prepared, Rejection> {
        let route = parse_route(&request)?;
        self.check_head(&request)?;
        if let Some(kind) = self.state.refusal() {
            let message = match kind {
                ErrorKind::Stopping => "The router is shutting down; retry at another router.",
                _ => "The router has not received a confirmed workspace table yet.",
            };
            return Err(Rejection::after(kind, message, RETRY_AFTER));
        }
        let table = self.state.fleet.table();
        let row = self.authenticate(table.as_deref(), request.headers())?;
        let deadline = self.deadline(request.headers())?;
        match route {
            ApiRoute::Models => Ok(Prepared::Models),
            ApiRoute::Completion => self.prepare_completion(request, row, deadline).await,
            ApiRoute::Service { name, path } => {
                self.prepare_service(request, row, deadline, name, path).await
            }
        }
    }

    fn check_head(&self, request: &Request<Incoming>) -> Result<(), Rejection> {
        let headers = request.headers();
        let reject = |message: &str| Err(Rejection::new(ErrorKind::MalformedRequest, message));
        if request.version() == Version::HTTP_10 {
            // HTTP/1.0 has no chunked encoding, so its callers could not tell a
            // truncated response from a complete one.
            return reject("HTTP/1.0 is not accepted; use HTTP/1.1 or HTTP/2.");
        }
        if headers.len() > self.state.options.settings.limits.headers {
            return reject("The request has too many headers.");
        }
        let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
        if lengths > 1 || (lengths == 1 && headers.contains_key(TRANSFER_ENCODING)) {
            return reject("The request declares its length more than once.");
        }
        Ok(())
    }

    fn authenticate<'t>(
        &mut self,
        table: Option<&'t TableView>,
        headers: &HeaderMap,
    ) -> Result<&'t WorkspaceRow, Rejection> {
        let row =
            presented_token(headers).zip(table).and_then(|(key, table)| table.authenticate(key));
        let Some(row) = row else {
            let message = "Send the workspace's API key as \"authorization: Bearer KEY\".";
            return Err(Rejection::new(ErrorKind::Unauthenticated, message));
        };
        self.record.set_workspace(&row.name);
        Ok(row)
    }

    fn deadline(&self, headers: &HeaderMap) -> Result<Instant, Rejection> {
        let limits = &self.state.options.settings.limits;
        let Some(value) = headers.get(DEADLINE_HEADER) else {
            return Ok(self.record.arrived + limits.deadline.0);
        };
        let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
        let Some(millis) = millis.filter(|millis| *millis > 0) else {
            let message = format!("{DEADLINE_HEADER} must be a whole number of milliseconds.");
            return Err(Rejection::new(ErrorKind::MalformedRequest, message));
        };
        let timeout = Duration::from_millis(millis).min(limits.deadline_maximum.0);
        Ok(self.record.arrived + timeout)
    }

    async fn read_body(
        &self,
        body: Incoming,
        headers: &HeaderMap,
        row: &WorkspaceRow,
        deadline: Instant,
    ) -> Result<Bytes, Rejection> {
        let limits = &self.state.options.settings.limits;
        let limit = limits.request_size.0.min(u64::from(row.request_kib) << 10);
        let declared = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
        if declared.and_then(|text| text.parse::<u64>().ok()).is_some_and(|length| length > limit) {
            let message = format!("The body exceeds {limit} bytes.");
            return Err(Rejection::new(ErrorKind::OversizedRequest, message));
        }
        let timeout = limits.body_time.0.min(deadline.saturating_duration_since(Instant::now()));
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        read_body(body, limit, timeout)
            .await
            .map_err(|refusal| Rejection::new(refusal.kind, refusal.message))
    }

    /// Rejects a request when this router alone already queues as many requests of
    /// the workspace as the whole fleet may. The dispatcher enforces the limit over
    /// the fleet; this check also works while the dispatcher is unreachable.
    fn check_queue(&self, target: &WorkTarget, row: &WorkspaceRow) -> Result<(), Rejection> {
        let key = (target.clone(), row.name.clone());
        let queued = self.state.queue.book().queued_for(&key);
        if queued < usize::try_from(row.queue_length).unwrap_or(usize::MAX) {
            return Ok(());
        }
        let message = "The queue of the workspace is full.";
        Err(Rejection::after(ErrorKind::QueueFull, message, RETRY_AFTER))
    }

    fn find_target(&mut self, kind: UpstreamKind, name: String) -> Result<WorkTarget, Rejection> {
        let target = WorkTarget::new(kind, name);
        if self.state.fleet.directory().is_served_evacuated_only(&target) {
            let message = "Every upstream that serves the request is in an evacuated zone.";
            return Err(Rejection::after(ErrorKind::NoUpstream, message, RETRY_AFTER));
        }
        if self.state.fleet.directory().is_served(&target) {
            self.record.set_model(&target.name);
            return Ok(target);
        }
        if !self.state.fleet.directory().has_registry() {
            let message = "The router has not received the list of upstreams yet.";
            return Err(Rejection::after(ErrorKind::NoUpstream, message, RETRY_AFTER));
        }
        let (error, noun) = match kind {
            UpstreamKind::Model => (ErrorKind::UnknownModel, "model"),
            UpstreamKind::Service => (ErrorKind::UnknownService, "service"),
        };
        let message = format!("No upstream serves the {noun}; GET /v1/models lists the models.");
        Err(Rejection::new(error, message))
    }

    async fn prepare_completion(
        &mut self,
        request: Request<Incoming>,
        row: &WorkspaceRow,
        deadline: Instant,
    ) -> Result<Prepared, Rejection> {
        let (parts, body) = request.into_parts();
        let body = self.read_body(body, &parts.headers, row, deadline).await?;
        let fields = completion_fields(&body)?;
        let target = self.find_target(UpstreamKind::Model, fields.model)?;
        self.check_queue(&target, row)?;
        let prompt_tokens = byte_count(&body) / BYTES_PER_TOKEN;
        let base_cost = prompt_tokens * UNITS_PER_PROMPT_TOKEN;
        let generation_cost = fields.max_tokens.unwrap_or(0).saturating_mul(UNITS_PER_TOKEN);
        let mut headers = end_to_end_headers(&parts.headers);
        remove_accept_encoding(&mut headers);
        let order = RequestOrder {
            key: (target, row.name.clone()),
            class: RetryClass::Model { stream: fields.stream },
            base_cost,
            cost_hint: base_cost.saturating_add(generation_cost),
            prefix: prompt_prefix(&body),
            queue_deadline: self.queue_deadline(),
        };
        let path = parts.uri.path().to_owned();
        Ok(self.prepare_execution(order, Method::POST, path, headers, body, deadline))
    }

    async fn prepare_service(
        &mut self,
        request: Request<Incoming>,
        row: &WorkspaceRow,
        deadline: Instant,
        name: String,
        path: String,
    ) -> Result<Prepared, Rejection> {
        let (parts, body) = request.into_parts();
        let target = self.find_target(UpstreamKind::Service, name)?;
        let class = self.service_class(&target.name, &parts.method, &path, &parts.headers, row)?;
        let body = self.read_body(body, &parts.headers, row, deadline).await?;
        self.check_queue(&target, row)?;
        let cost = UNITS_PER_TOKEN + service_bytes_cost(byte_count(&body));
        let order = RequestOrder {
            key: (target, row.name.clone()),
            class,
            base_cost: cost,
            cost_hint: cost,
            prefix: None,
            queue_deadline: self.queue_deadline(),
        };
        let path = match parts.uri.query() {
            Some(query) => format!("{path}?{query}"),
            None => path,
        };
        let headers = end_to_end_headers(&parts.headers);
        Ok(self.prepare_execution(order, parts.method, path, headers, body, deadline))
    }

    fn service_class(
        &self,
        service: &str,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        row: &WorkspaceRow,
    ) -> Result<RetryClass, Rejection> {
        let Some(rules) = self.state.options.settings.service(service) else {
            return Ok(RetryClass::NonIdempotent);
        };
        if rules.is_idempotent(method.as_str(), path) {
            return Ok(RetryClass::Idempotent);
        }
        if !rules.is_protected(method.as_str(), path) {
            return Ok(RetryClass::NonIdempotent);
        }
        if !row.protected {
            let message = "The workspace is not allowed to call protected actions.";
            return Err(Rejection::new(ErrorKind::Forbidden, message));
        }
        let mut keys = headers.get_all(IDEMPOTENCY_KEY_HEADER).iter();
        let key = keys.next().and_then(|value| value.to_str().ok());
        match (key, keys.next()) {
            (Some(key), None) => Ok(RetryClass::Protected { key: key.to_owned() }),
            _ => {
                let message = format!(
                    "A protected action needs exactly one {IDEMPOTENCY_KEY_HEADER} header."
                );
                Err(Rejection::new(ErrorKind::KeyRequired, message))
            }
        }
    }

    fn queue_deadline(&self) -> Instant {
        Instant::now() + self.state.options.settings.limits.queue_wait.0
    }

    fn prepare_execution(
        &self,
        order: RequestOrder,
        method: Method,
        path: String,
        headers: HeaderMap,
        body: Bytes,
        deadline: Instant,
    ) -> Prepared {
        self.state.retries.record_request(&order.key.1);
        let request_id = self.record.id.clone();
        let unique_id = self.unique_id;
        let call = UpstreamCall { method, path, headers, body, request_id, unique_id, deadline };
        Prepared::Execute(Box::new(order), Box::new(call))
    }

    fn models(mut self) -> Response<RelayBody> {
        let models = self.state.fleet.directory().models();
        let data: Vec<_> = models
            .iter()
            .map(|model| json!({ "id": model, "object": "model", "owned_by": "baobabfall" }))
            .collect();
        let mut response = json_response(200, &json!({ "object": "list", "data": data }));
        if let Ok(value) = HeaderValue::from_str(&self.record.id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        self.record.finish_locally();
        response.map(RelayBody::Whole)
    }
}

/// Reads the fields that the router needs. The whole body must be valid UTF-8 and
/// JSON, because an upstream might otherwise reject it after dispatch.
fn completion_fields(body: &[u8]) -> Result<CompletionFields, Rejection> {
    let reject = |error: String| {
        let message = format!("The JSON body is invalid: {error}.");
        Rejection::new(ErrorKind::MalformedRequest, message)
    };
    let text = std::str::from_utf8(body).map_err(|error| reject(error.to_string()))?;
    serde_json::from_str(text).map_err(|error| reject(error.to_string()))
}

fn parse_route(request: &Request<Incoming>) -> Result<ApiRoute, Rejection> {
    let path = request.uri().path();
    let (route, method) = match path {
        "/v1/models" => (ApiRoute::Models, Some(Method::GET)),
        "/v1/chat/completions" | "/v1/completions" => (ApiRoute::Completion, Some(Method::POST)),
        _ => (parse_service_route(path)?, None),
    };
    match method {
        Some(method) if method != *request.method() => {
            let message = format!("Only {method} is accepted at {path}.");
            Err(Rejection::new(ErrorKind::MethodNotAllowed, message))
        }
        _ => Ok(route),
    }
}

fn parse_service_route(path: &str) -> Result<ApiRoute, Rejection> {
    let rest = path.strip_prefix(SERVICES_PREFIX).filter(|rest| !rest.is_empty());
    let Some(rest) = rest else {
        return Err(Rejection::new(ErrorKind::NotFound, "There is no such path."));
    };
    let (name, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    // An upstream that normalizes the path could otherwise run a protected action
    // although the path does not match its pattern here.
    let has_unsafe_escape = path.contains('%') && !has_safe_escapes(path);
    let has_dot_segment = path.split('/').any(|part| matches!(part, "." | ".."));
    if has_unsafe_escape || has_dot_segment || path.contains("//") {
        let message = "The path of a service must not contain dot segments, empty segments, or escapes of separators or unreserved characters.";
        return Err(Rejection::new(ErrorKind::MalformedRequest, message));
    }
    let path = if path.is_empty() { "/" } else { path };
    Ok(ApiRoute::Service { name: name.to_owned(), path: path.to_owned() })
}

/// True when every percent escape is valid and stands for neither an unreserved
/// character nor a path separator nor a percent sign. An upstream might decode
/// those and see a different path.
fn has_safe_escapes(path: &str) -> bool {
    path.split('%').skip(1).all(|rest| {
        let byte = rest.get(..2).and_then(|digits| u8::from_str_radix(digits, 16).ok());
        byte.is_some_and(|byte| !byte.is_ascii_alphanumeric() && !b"-._~/\\%".contains(&byte))
    })
}

fn byte_count(bytes: &Bytes) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}

fn prompt_prefix(body: &Bytes) -> Option<u64> {
    let prefix = body.get(..PREFIX_BYTES)?;
    let hash = blake3::hash(prefix);
    let bytes = hash.as_bytes().first_chunk::<8>()?;
    Some(u64::from_le_bytes(*bytes))
}
