//! Simulated model engine with an OpenAI-style API, continuous batching and a prefix cache.

use crate::answer_body::{
    AnswerBody, AnswerEnding, EventForm, TokenPace, TokenPlan, TokenStream, usage_json,
    whole_answer,
};
use crate::answer_text::{answer_seed, expected_answer};
use crate::faults::{FaultDraw, FaultKind};
use crate::upstream_handle::{SOFTWARE, UpstreamHandle, UpstreamOptions, UpstreamTraits};
use crate::upstream_state::{RunGuard, UpstreamState};
use baobabfall_core::upstream_registry::UpstreamKind;
use baobabfall_node::http_server::{
    NOT_RUN_HEADER, RATE_LIMIT_HEADER, REQUEST_ID_HEADER, read_body,
};
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, Request, Response};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Request header with the token position from which an interrupted stream resumes.
pub const RESUME_HEADER: &str = "baobabfall-resume-from";
/// Request header with the software version that began an interrupted stream.
pub const SOFTWARE_HEADER: &str = "baobabfall-software";
/// Number of prompt bytes counted as one token; partial tokens round up.
pub const BYTES_PER_TOKEN: usize = 4;
/// Maximum size of a request body in bytes.
pub(crate) const BODY_LIMIT: usize = 64 << 20;
/// Timeout for reading a request body.
pub(crate) const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Options of a model engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Options common to all simulated upstreams.
    pub upstream: UpstreamOptions,
    /// Names of the models that the engine serves.
    pub models: Vec<String>,
    /// Time to generate one token while at most `knee` requests run.
    pub token_interval: Duration,
    /// Number of running requests above which the time per token grows in proportion.
    pub knee: u32,
    /// Prefill time per prompt token that is not in the prefix cache.
    pub prefill: Duration,
    /// Capacity of the prefix cache in prefixes; zero disables it.
    pub cache_entries: usize,
    /// Length of a cached prompt prefix in bytes. The prefix is taken from the first message or the
    /// prompt, and shorter ones are not cached.
    pub cache_prefix: usize,
    /// Events per body frame; zero counts as one.
    pub events_per_frame: u32,
    /// Whether events carry their creation time, to measure delays within one process.
    pub stamp_events: bool,
    /// Length of an answer in tokens when the request sets no `max_tokens`.
    pub default_tokens: u64,
    /// Whether to announce that streams can be resumed.
    pub resume: bool,
    /// Whether to announce that requests can be cancelled.
    pub cancel: bool,
}

impl EngineOptions {
    /// Options of an engine that serves `model` and generates without delay.
    pub fn new(name: &str, model: &str) -> Self {
        let upstream = UpstreamOptions::new(name);
        Self {
            knee: upstream.concurrency,
            upstream,
            models: vec![model.to_owned()],
            token_interval: Duration::ZERO,
            prefill: Duration::ZERO,
            cache_entries: 16,
            cache_prefix: 512,
            events_per_frame: 1,
            stamp_events: false,
            default_tokens: 16,
            resume: true,
            cancel: true,
        }
    }
}

struct EngineState {
    options: EngineOptions,
    upstream: Arc<UpstreamState>,
    prefixes: Mutex<VecDeque<u64>>,
}

#[derive(Deserialize)]
struct EngineRequest {
    model: String,
    #[serde(default)]
    messages: Vec<EngineMessage>,
    #[serde(default)]
    prompt: String,
    max_tokens: Option<u64>,
    /// Length of the answer in tokens, if shorter than `max_tokens`; simulates an early stop.
    stop_after: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct EngineMessage {
    #[serde(default)]
    content: String,
}

/// Starts a model engine; fails when its listen address can't be bound.
pub async fn start(options: EngineOptions) -> std::io::Result<UpstreamHandle> {
    let upstream = options.upstream.state();
    let traits = UpstreamTraits {
        kind: UpstreamKind::Model,
        serves: options.models.clone(),
        honours_fencing: false,
        resume: options.resume,
        cancel: options.cancel,
    };
    let upstream_options = options.upstream.clone();
    let state = Arc::new(EngineState {
        options,
        upstream: Arc::clone(&upstream),
        prefixes: Mutex::default(),
    });
    let service = tower::service_fn(move |request: Request<Incoming>| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(state.handle(request).await) }
    });
    UpstreamHandle::start(upstream_options, traits, upstream, service).await
}

impl EngineState {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let path = request.uri().path().to_owned();
        if request.method() == Method::GET && path == "/health" {
            return health_answer(&self.upstream);
        }
        if request.method() != Method::POST {
            return refusal(405, "Only POST is accepted.", "", None);
        }
        if let Some(request_id) = path.strip_prefix("/cancel/") {
            let found = self.upstream.cancel(request_id);
            return json_answer(200, &json!({ "cancelled": found }));
        }
        let form = match path.as_str() {
            "/v1/chat/completions" => EventForm::Chat,
            "/v1/completions" => EventForm::Completion,
            _ => return refusal(404, "The path is not served.", "", None),
        };
        self.generate(request, &path, form).await
    }

    async fn generate(
        &self,
        request: Request<Incoming>,
        path: &str,
        form: EventForm,
    ) -> Response<AnswerBody> {
        self.upstream.count_start();
        let draw = self.upstream.faults.draw();
        let (parts, body) = request.into_parts();
        let request_id = request_id(&parts.headers);
        let body = match read_body(body, BODY_LIMIT, BODY_TIMEOUT).await {
            Ok(body) => body,
            Err(error) => return refusal(400, &error.message, &request_id, Some(&self.upstream)),
        };
        let params = match serde_json::from_slice::<EngineRequest>(&body) {
            Ok(params) if self.options.models.contains(&params.model) => params,
            Ok(_) => {
                return refusal(404, "The model is not served.", &request_id, Some(&self.upstream));
            }
            Err(error) => {
                return refusal(400, &error.to_string(), &request_id, Some(&self.upstream));
            }
        };
        drop(body);
        let software = parts.headers.get(SOFTWARE_HEADER);
        if software.is_some_and(|software| software.as_bytes() != SOFTWARE.as_bytes()) {
            let message = "Other software began the stream.";
            return refusal(409, message, &request_id, Some(&self.upstream));
        }
        if draw.has(FaultKind::Refuse) {
            return refusal(503, "The engine is full.", &request_id, Some(&self.upstream));
        }
        let Some(permit) = self.upstream.acquire_slot().await else {
            return refusal(503, "The engine is full.", &request_id, Some(&self.upstream));
        };
        let run = self.upstream.begin(permit, &request_id, None, path);
        let from = resume_position(&parts.headers);
        let answer = self.answer(params, form, from, &request_id, &draw, run).await;
        with_rate_limit(with_request_id(answer, &request_id, &draw), &self.upstream)
    }

    async fn answer(
        &self,
        params: EngineRequest,
        form: EventForm,
        from: u64,
        request_id: &str,
        draw: &FaultDraw,
        run: RunGuard,
    ) -> Response<AnswerBody> {
        let prompt_bytes = prompt_bytes(&params);
        let prompt_tokens = token_count(prompt_bytes);
        let cached = self.cached_tokens(&params);
        let limit = params.max_tokens.unwrap_or(self.options.default_tokens);
        let to = params.stop_after.map_or(limit, |length| length.min(limit));
        let plan = TokenPlan {
            seed: answer_seed(request_id),
            from: from.min(to),
            to,
            prompt_tokens,
            form,
            ending: AnswerEnding::of(draw),
            cut_at: from + draw.place % (to.saturating_sub(from) + 1),
        };
        let pace = self.pace(prompt_tokens.saturating_sub(cached), draw);
        if draw.has(FaultKind::LateAnswer) {
            tokio::time::sleep(draw.delay).await;
        }
        if params.stream {
            let tokens = TokenStream::new(plan, pace, run);
            let mut response = Response::new(AnswerBody::Tokens(Box::new(tokens)));
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
            return response;
        }
        self.whole_answer(plan, pace, request_id, run).await
    }

    async fn whole_answer(
        &self,
        plan: TokenPlan,
        pace: TokenPace,
        request_id: &str,
        run: RunGuard,
    ) -> Response<AnswerBody> {
        let tokens = u32::try_from(plan.to).unwrap_or(u32::MAX);
        let time = pace.first + pace.interval_at(self.upstream.running()) * tokens;
        tokio::select! {
            () = tokio::time::sleep(time) => {}
            () = run.cancel.cancelled() => {
                return json_answer(499, &json!({ "cancelled": true }));
            }
        }
        let text = expected_answer(request_id, plan.to);
        let choice = match plan.form {
            EventForm::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "length",
            }),
            EventForm::Completion => json!({ "index": 0, "text": text, "finish_reason": "length" }),
        };
        let body = json!({
            "id": request_id,
            "choices": [choice],
            "usage": usage_json(plan.prompt_tokens, plan.to),
        });
        let bytes = body.to_string().into_bytes();
        whole_answer(200, "application/json", bytes, plan.ending, Some(run))
    }

    fn pace(&self, uncached: u64, draw: &FaultDraw) -> TokenPace {
        let uncached = u32::try_from(uncached).unwrap_or(u32::MAX);
        let mut first = self.options.prefill * uncached + self.options.token_interval;
        if draw.has(FaultKind::SlowFirstToken) {
            first += draw.delay;
        }
        TokenPace {
            first,
            interval: self.options.token_interval,
            knee: self.options.knee,
            events_per_frame: self.options.events_per_frame,
            stamp_events: self.options.stamp_events,
        }
    }

    /// Returns the number of prompt tokens found in the prefix cache and marks the prefix as most
    /// recently used, evicting the least recently used one if the cache is full.
    fn cached_tokens(&self, params: &EngineRequest) -> u64 {
        let first = params.messages.first().map_or(&params.prompt, |message| &message.content);
        let length = first.len().min(self.options.cache_prefix);
        if length < self.options.cache_prefix || self.options.cache_entries == 0 {
            return 0;
        }
        let digest = blake3::hash(&first.as_bytes()[..length]);
        let hash =
            digest.as_bytes().iter().take(8).fold(0, |hash, byte| (hash << 8) | u64::from(*byte));
        let mut prefixes = self.prefixes.lock().unwrap_or_else(PoisonError::into_inner);
        let found = prefixes.iter().position(|cached_hash| *cached_hash == hash);
        if let Some(index) = found {
            prefixes.remove(index);
        }
        prefixes.push_back(hash);
        if prefixes.len() > self.options.cache_entries {
            prefixes.pop_front();
        }
        if found.is_some() { token_count(length) } else { 0 }
    }
}

fn prompt_bytes(params: &EngineRequest) -> usize {
    params.prompt.len() + params.messages.iter().map(|message| message.content.len()).sum::<usize>()
}

fn token_count(bytes: usize) -> u64 {
    u64::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u64::MAX)
}

fn resume_position(headers: &HeaderMap) -> u64 {
    headers
        .get(RESUME_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

pub(crate) fn request_id(headers: &HeaderMap) -> String {
    headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .map_or_else(|| uuid::Uuid::new_v4().to_string(), str::to_owned)
}

pub(crate) fn health_answer(upstream: &UpstreamState) -> Response<AnswerBody> {
    json_answer(
        200,
        &json!({
            "incarnation": upstream.incarnation,
            "leaving": upstream.is_leaving(),
            "running": upstream.running(),
        }),
    )
}

pub(crate) fn json_answer(status: u16, body: &serde_json::Value) -> Response<AnswerBody> {
    let bytes = body.to_string().into_bytes();
    whole_answer(status, "application/json", bytes, AnswerEnding::Complete, None)
}

/// Builds an error response with the header that says the request was not run. The refusal is
/// counted if `upstream` is given.
pub(crate) fn refusal(
    status: u16,
    message: &str,
    request_id: &str,
    upstream: Option<&UpstreamState>,
) -> Response<AnswerBody> {
    if let Some(upstream) = upstream {
        upstream.count_refusal();
    }
    let mut response = json_answer(status, &json!({ "error": { "message": message } }));
    let headers = response.headers_mut();
    headers.insert(NOT_RUN_HEADER, HeaderValue::from_static("true"));
    if let Ok(value) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    response
}

/// Adds the header that names the rate of the upstream, if it has one.
pub(crate) fn with_rate_limit(
    mut response: Response<AnswerBody>,
    upstream: &UpstreamState,
) -> Response<AnswerBody> {
    let rate = upstream.rate_limit().map(|rate| HeaderValue::from_str(&rate.to_string()));
    if let Some(Ok(value)) = rate {
        response.headers_mut().insert(RATE_LIMIT_HEADER, value);
    }
    response
}

/// Adds the request id header, with a random id when the fault `WrongRequestId` was drawn.
pub(crate) fn with_request_id(
    mut response: Response<AnswerBody>,
    request_id: &str,
    draw: &FaultDraw,
) -> Response<AnswerBody> {
    let echoed = if draw.has(FaultKind::WrongRequestId) {
        uuid::Uuid::new_v4().to_string()
    } else {
        request_id.to_owned()
    };
    if let Ok(value) = HeaderValue::from_str(&echoed) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}
