//! What a checked request asks of an upstream.

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
/// Header with the time that a request may take, in milliseconds.
pub const DEADLINE_HEADER: &str = "baobabfall-deadline-ms";
/// Headers that only the system itself may set begin with this.
const OWN_PREFIX: &str = "baobabfall-";

/// How a request may be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryClass {
    /// A model request; repeatable before the first token.
    Model {
        /// True when the answer is a stream of events.
        stream: bool,
    },
    /// A call that may be repeated.
    Idempotent,
    /// A call that must not be repeated.
    NonIdempotent,
    /// A call that must run at most once, with its idempotency key.
    Protected {
        /// The key.
        key: String,
    },
}

impl RetryClass {
    /// True when the request may be sent again although it may have run.
    pub fn is_repeatable(&self) -> bool {
        matches!(self, Self::Model { .. } | Self::Idempotent)
    }
}

/// The call of an upstream, the same for every attempt.
#[derive(Clone, Debug)]
pub struct UpstreamCall {
    /// Method.
    pub method: Method,
    /// Path and query at the upstream.
    pub path: String,
    /// End-to-end headers of the caller.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Id of the request.
    pub request_id: String,
    /// True when the router chose the id, so that no other request has it.
    pub unique_id: bool,
    /// When the answer must have ended.
    pub deadline: Instant,
}

/// A checked request on its way to an upstream.
#[derive(Clone, Debug)]
pub struct RequestOrder {
    /// What it asks for and who asks.
    pub key: QueueKey,
    /// How it may be repeated.
    pub class: RetryClass,
    /// Cost charged at dispatch.
    pub base_cost: CostUnits,
    /// Estimated cost.
    pub cost_hint: CostUnits,
    /// Hash of the prompt prefix.
    pub prefix: Option<u64>,
    /// Until when it may wait in the queue.
    pub queue_deadline: Instant,
}

impl UpstreamCall {
    /// Builds the request for an upstream.
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
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let text = |text: &str| HeaderValue::from_str(text).map_err(|error| error.to_string());
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        headers.insert(HOST, text(&route.address.to_string())?);
        headers.insert(REQUEST_ID_HEADER, text(&self.request_id)?);
        headers.insert(DEADLINE_HEADER, HeaderValue::from(left));
        if let Some(token) = token {
            let value = format!("{}.{}", token.term, token.number);
            headers.insert(FENCING_HEADER, text(&value)?);
        }
        Ok(request)
    }

    /// BLAKE3 digest of method, path and body.
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
    /// Upstreams need not echo the id: one connection carries one request at a
    /// time and is closed when a request on it is abandoned.
    pub fn check_answer<B>(&self, response: &Response<B>) -> Result<(), String> {
        let echoed = response.headers().get(REQUEST_ID_HEADER);
        if echoed.is_none_or(|value| value.as_bytes() == self.request_id.as_bytes()) {
            return Ok(());
        }
        Err("the answer carries another request id".to_owned())
    }
}

/// Keeps the end-to-end headers of a request or an answer.
///
/// Headers of the connection, credentials and the system's own headers are
/// left out, so neither side can pose as the router.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_hop_header(name) && !named.contains(name) && !name.as_str().starts_with(OWN_PREFIX) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Drops what would hide the content of a model's answer from the relay.
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
