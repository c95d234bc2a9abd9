//! Representation of a validated request: its scheduling parameters, its retry
//! class and the HTTP call to make at the upstream.

use crate::lease_book::QueueKey;
use baobabfall_core::dispatch_messages::{CostUnits, UpstreamRoute};
use baobabfall_node::http_server::REQUEST_ID_HEADER;
use baobabfall_node::messages::FencingToken;
use bytes::Bytes;
use http::header::{
    ACCEPT_ENCODING, AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response};
use http_body_util::Full;
use tokio::time::Instant;

/// Header with the fencing token of a protected action, `TERM.NUMBER`.
pub const FENCING_HEADER: &str = "baobabfall-fencing-token";
/// Header with the idempotency key of a protected action.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the time left until the request's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "baobabfall-deadline-ms";
/// Prefix of headers that only this system may set.
const RESERVED_PREFIX: &str = "baobabfall-";

/// Whether and when a request may be sent again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryClass {
    /// A model request, which may be retried until the first token.
    Model {
        /// True if the answer is a stream of server-sent events.
        stream: bool,
    },
    /// A service call that may be retried.
    Idempotent,
    /// A service call that must not be retried once it may have run.
    NonIdempotent,
    /// A service call that must run at most once per idempotency key.
    Protected {
        /// Idempotency key sent by the caller.
        key: String,
    },
}

impl RetryClass {
    /// True if the request may be sent again even though it may have run already.
    pub fn is_repeatable(&self) -> bool {
        matches!(self, Self::Model { .. } | Self::Idempotent)
    }
}

/// The HTTP call to make at an upstream, identical for every attempt.
#[derive(Clone, Debug)]
pub struct UpstreamCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query as sent to the upstream.
    pub path: String,
    /// End-to-end headers received from the caller.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
    /// Request id, sent to the upstream and logged.
    pub request_id: String,
    /// True if the router generated the request id, so that it is unique.
    pub unique_id: bool,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
}

/// Scheduling parameters of a validated request.
#[derive(Clone, Debug)]
pub struct RequestOrder {
    /// Target and workspace of the request.
    pub key: QueueKey,
    /// Whether and when the request may be sent again.
    pub class: RetryClass,
    /// Cost that is charged when the request is sent.
    pub base_cost: CostUnits,
    /// Estimated total cost of the request.
    pub cost_hint: CostUnits,
    /// Hash of the prompt prefix, used to prefer an upstream that has it cached.
    pub prefix: Option<u64>,
    /// Time until which the request may wait in the queue.
    pub queue_deadline: Instant,
}

impl UpstreamCall {
    /// Builds the HTTP request for one upstream. A protected action carries its
    /// fencing token. Fails if a header value or the path is not valid.
    pub fn request(
        &self,
        route: &UpstreamRoute,
        token: Option<FencingToken>,
    ) -> Result<Request<Full<Bytes>>, String> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str())
            .body(Full::new(self.body.clone()))
            .map_err(|error| error.to_string())?;
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let remaining = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let header_value =
            |text: &str| HeaderValue::from_str(text).map_err(|error| error.to_string());
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        headers.insert(HOST, header_value(&route.address.to_string())?);
        headers.insert(REQUEST_ID_HEADER, header_value(&self.request_id)?);
        headers.insert(DEADLINE_HEADER, HeaderValue::from(remaining));
        if let Some(token) = token {
            let value = format!("{}.{}", token.term, token.number);
            headers.insert(FENCING_HEADER, header_value(&value)?);
        }
        Ok(request)
    }

    /// BLAKE3 digest of method, path and body, by which a reuse of an idempotency
    /// key for another request is detected.
    pub fn digest(&self) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        for part in [self.method.as_str().as_bytes(), self.path.as_bytes(), &self.body] {
            let length = u64::try_from(part.len()).unwrap_or(u64::MAX);
            hasher.update(&length.to_le_bytes()).update(part);
        }
        *hasher.finalize().as_bytes()
    }

    /// Checks that an answer belongs to this request.
    ///
    /// Upstreams are not required to echo the request id: a connection carries one
    /// request at a time and is closed when that request is abandoned.
    pub fn check_answer<B>(&self, response: &Response<B>) -> Result<(), String> {
        let echoed = response.headers().get(REQUEST_ID_HEADER);
        if echoed.is_none_or(|value| value.as_bytes() == self.request_id.as_bytes()) {
            return Ok(());
        }
        Err("the answer carries a different request id".to_owned())
    }
}

/// Returns the end-to-end headers of a request or an answer.
///
/// Hop-by-hop headers, credentials and headers with the reserved prefix are
/// removed, so that neither side can impersonate the router.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_hop_header(name)
            && !connection_headers.contains(name)
            && !name.as_str().starts_with(RESERVED_PREFIX)
        {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Removes `Accept-Encoding`, because the relay cannot read the content of a
/// compressed model answer.
pub fn remove_accept_encoding(headers: &mut HeaderMap) {
    headers.remove(ACCEPT_ENCODING);
}

fn is_hop_header(name: &HeaderName) -> bool {
    [
        AUTHORIZATION,
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        HOST,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ]
    .contains(name)
        || matches!(name.as_str(), "keep-alive" | "proxy-connection" | "proxy-authenticate")
}
