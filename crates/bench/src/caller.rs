//! Calls over HTTP/1.1 keep-alive connections, with a check of each answer.

use crate::answer_check::{CallVerdict, StreamCheck};
use baobabfall_node::http_server::{ErrorBody, NOT_RUN_HEADER, REQUEST_ID_HEADER};
use baobabfall_standin::answer_text::expected_answer;
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http::{HeaderMap, Method, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Largest answer of a call that is not streamed, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;
/// Idle connections that one caller keeps.
const IDLE_LIMIT: usize = 32;

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A chat completion.
    Chat {
        /// Model.
        model: String,
        /// Bytes of the prompt.
        prompt_bytes: usize,
        /// Tokens of the answer.
        tokens: u64,
        /// Most tokens that the request allows; the router sees this number only.
        max_tokens: u64,
        /// Asks for a stream.
        stream: bool,
    },
    /// A call of a plain service.
    Service {
        /// HTTP method.
        method: Method,
        /// Path as the router or service expects it.
        path: String,
        /// Idempotency key.
        key: Option<String>,
        /// Tokens of answer text that the service gives.
        tokens: u64,
    },
}

/// One call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOrder {
    /// Id of the request.
    pub request_id: String,
    /// What it asks for.
    pub kind: CallKind,
    /// Time limit of the caller.
    pub limit: Duration,
}

/// What became of a call.
#[derive(Clone, Debug)]
pub struct CallReport {
    /// The verdict.
    pub verdict: CallVerdict,
    /// HTTP status; zero without an answer.
    pub status: u16,
    /// Stable code of an error answer.
    pub code: String,
    /// Time to the first token, or to the whole answer.
    pub first: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Tokens received.
    pub tokens: u64,
}

/// Receives the progress of calls.
pub trait CallObserver {
    /// Tokens arrived; `sent_at` is the time stamp of the latest one, if it has one.
    fn tokens(&mut self, count: u64, sent_at: Option<u64>);
}

/// Ignores the progress of calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct SilentObserver;

impl CallObserver for SilentObserver {
    fn tokens(&mut self, _count: u64, _sent_at: Option<u64>) {}
}

/// A caller with its credential and its idle connections.
#[derive(Debug)]
pub struct CallerClient {
    key: String,
    idle: Vec<(SocketAddr, SendRequest<Full<Bytes>>)>,
}

enum CallFault {
    Broken,
    NoAnswer,
}

impl CallerClient {
    /// A caller that presents `key`.
    pub fn new(key: impl Into<String>) -> Self {
        Self { key: key.into(), idle: Vec::new() }
    }

    /// Sends one call to `address` and checks the whole answer.
    pub async fn call(
        &mut self,
        address: SocketAddr,
        order: &CallOrder,
        observer: &mut impl CallObserver,
    ) -> CallReport {
        let start = Instant::now();
        let mut report = CallReport {
            verdict: CallVerdict::TimedOut,
            status: 0,
            code: String::new(),
            first: None,
            total: Duration::ZERO,
            tokens: 0,
        };
        let exchange = self.exchange(address, order, start, &mut report, observer);
        match tokio::time::timeout(order.limit, exchange).await {
            Err(_) => {}
            Ok(Ok(verdict)) => report.verdict = verdict,
            // Without an answer the caller cannot tell whether the request ran.
            Ok(Err(CallFault::Broken | CallFault::NoAnswer)) => {
                report.verdict = CallVerdict::Broken;
            }
        }
        report.total = start.elapsed();
        report
    }

    async fn exchange(
        &mut self,
        address: SocketAddr,
        order: &CallOrder,
        start: Instant,
        report: &mut CallReport,
        observer: &mut impl CallObserver,
    ) -> Result<CallVerdict, CallFault> {
        let request = self.request(address, order);
        let mut sender = self.connected(address).await?;
        let response = sender.send_request(request).await.map_err(|_| CallFault::NoAnswer)?;
        report.status = response.status().as_u16();
        let streamed = matches!(order.kind, CallKind::Chat { stream: true, .. });
        let verdict = if !response.status().is_success() {
            refused(response, report).await?
        } else if wrong_id(response.headers(), &order.request_id) {
            CallVerdict::Wrong
        } else if streamed {
            read_stream(response, order, start, report, observer).await
        } else {
            read_whole(response, order, start, report, observer).await?
        };
        if matches!(verdict, CallVerdict::Complete | CallVerdict::NotRun)
            && self.idle.len() < IDLE_LIMIT
        {
            self.idle.push((address, sender));
        }
        Ok(verdict)
    }

    async fn connected(
        &mut self,
        address: SocketAddr,
    ) -> Result<SendRequest<Full<Bytes>>, CallFault> {
        while let Some(index) = self.idle.iter().position(|(held, _)| *held == address) {
            let (_, mut sender) = self.idle.swap_remove(index);
            if !sender.is_closed() && sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(address).await.map_err(|_| CallFault::NoAnswer)?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| CallFault::NoAnswer)?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn request(&self, address: SocketAddr, order: &CallOrder) -> Request<Full<Bytes>> {
        let (method, path, body) = match &order.kind {
            chat @ CallKind::Chat { .. } => {
                (Method::POST, "/v1/chat/completions", chat_body(chat, &order.request_id))
            }
            CallKind::Service { method, path, .. } => (method.clone(), path.as_str(), Bytes::new()),
        };
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .header(REQUEST_ID_HEADER, &order.request_id);
        if let CallKind::Service { key: Some(key), .. } = &order.kind {
            request = request.header("idempotency-key", key);
        }
        request.body(Full::new(body)).expect("paths and ids of the bench are valid in HTTP")
    }
}

fn chat_body(kind: &CallKind, id: &str) -> Bytes {
    let CallKind::Chat { model, prompt_bytes, tokens, max_tokens, stream } = kind else {
        return Bytes::new();
    };
    let mut prompt = format!("{id} ");
    prompt.extend(std::iter::repeat_n('x', prompt_bytes.saturating_sub(prompt.len())));
    let body = serde_json::json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": max_tokens,
        "stop_after": tokens,
        "stream": stream,
    });
    Bytes::from(body.to_string())
}

fn wrong_id(headers: &HeaderMap, request_id: &str) -> bool {
    headers.get(REQUEST_ID_HEADER).is_some_and(|echoed| echoed.as_bytes() != request_id.as_bytes())
}

async fn refused(
    response: Response<Incoming>,
    report: &mut CallReport,
) -> Result<CallVerdict, CallFault> {
    let not_run = response.headers().get(NOT_RUN_HEADER).is_some_and(|value| value == "true");
    let body = read_limited(response).await?;
    if let Ok(body) = serde_json::from_slice::<ErrorBody>(&body) {
        report.code = body.error.code;
    }
    Ok(if not_run { CallVerdict::NotRun } else { CallVerdict::Failed })
}

async fn read_limited(response: Response<Incoming>) -> Result<Bytes, CallFault> {
    let body = Limited::new(response.into_body(), ANSWER_LIMIT).collect().await;
    body.map(|body| body.to_bytes()).map_err(|_| CallFault::Broken)
}

async fn read_stream(
    response: Response<Incoming>,
    order: &CallOrder,
    start: Instant,
    report: &mut CallReport,
    observer: &mut impl CallObserver,
) -> CallVerdict {
    let CallKind::Chat { tokens, .. } = order.kind else { return CallVerdict::Wrong };
    let mut check = StreamCheck::new(&order.request_id, tokens);
    let mut body = response.into_body();
    loop {
        let frame = match body.frame().await {
            None => return check.verdict(false),
            Some(Err(_)) => return check.verdict(true),
            Some(Ok(frame)) => frame,
        };
        let Ok(data) = frame.into_data() else { continue };
        check.feed(&data);
        let count = check.tokens() - report.tokens;
        if count > 0 {
            report.first.get_or_insert_with(|| start.elapsed());
            report.tokens += count;
            observer.tokens(count, check.stamp());
        }
    }
}

async fn read_whole(
    response: Response<Incoming>,
    order: &CallOrder,
    start: Instant,
    report: &mut CallReport,
    observer: &mut impl CallObserver,
) -> Result<CallVerdict, CallFault> {
    let body = read_limited(response).await?;
    let Ok(value) = serde_json::from_slice::<serde_json::Value>(&body) else {
        return Ok(CallVerdict::Wrong);
    };
    let (text, tokens) = match order.kind {
        CallKind::Chat { tokens, .. } => (&value["choices"][0]["message"]["content"], tokens),
        CallKind::Service { tokens, .. } => (&value["answer"], tokens),
    };
    if text.as_str() != Some(&expected_answer(&order.request_id, tokens)) {
        return Ok(CallVerdict::Wrong);
    }
    report.first = Some(start.elapsed());
    report.tokens = tokens;
    observer.tokens(tokens, None);
    Ok(CallVerdict::Complete)
}
