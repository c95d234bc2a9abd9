//! A fake controller, fake upstreams and an HTTP client for the router's integration tests.

#![allow(dead_code, clippy::unwrap_used, clippy::cast_possible_truncation, clippy::cast_sign_loss)]

pub mod exchange_site;
pub mod fake_controller;
pub mod fake_upstream;

use baobabfall_core::software_version::SoftwareVersion;
use baobabfall_core::upstream_registry::{UpstreamAnnouncement, UpstreamKind};
use baobabfall_node::settings::parse_settings;
use baobabfall_router::{Router, RouterHandle, RouterListeners, RouterOptions, RouterSettings};
use bytes::Bytes;
use fake_controller::FakeController;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tempfile::TempDir;
use tokio::net::TcpStream;

/// Time limit of every wait. It only detects a hang, so it is far longer than a wait takes on a
/// slow machine.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);
pub const PROCESS_TOKEN: &str = "process-token-0123456789";
pub const UPSTREAM_TOKEN: &str = "upstream-token-0123456789";
pub const METRICS_TOKEN: &str = "metrics-token-0123456789";
pub const CALLER_KEY: &str = "key-of-team-a";
/// Key of a workspace that may send requests of 16 MiB.
pub const LARGE_CALLER_KEY: &str = "key-of-team-large";

/// Announcement of a model engine that serves the model `small`.
pub fn model_announcement(name: &str, address: SocketAddr) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        name: name.to_owned(),
        incarnation: 1,
        sequence: 1,
        address,
        kind: UpstreamKind::Model,
        serves: vec!["small".to_owned()],
        zone: "a".to_owned(),
        concurrency: 4,
        pool: None,
        honours_fencing: false,
        resume: true,
        cancel: false,
        leaving: false,
        running: None,
        software: SoftwareVersion::parse("v1"),
        cold_ms: None,
    }
}

/// Announcement of a plain service that serves `cases`.
pub fn service_announcement(name: &str, address: SocketAddr) -> UpstreamAnnouncement {
    let base = model_announcement(name, address);
    UpstreamAnnouncement {
        kind: UpstreamKind::Service,
        serves: vec!["cases".to_owned()],
        resume: false,
        ..base
    }
}

/// Writes the credential files and returns the text of a settings file that refers to them;
/// `limits` is inserted into its `[limits]` section.
pub fn settings_text(directory: &Path, controllers: &[SocketAddr], limits: &str) -> String {
    for (file, token) in
        [("process", PROCESS_TOKEN), ("upstream", UPSTREAM_TOKEN), ("metrics", METRICS_TOKEN)]
    {
        std::fs::write(directory.join(file), token).unwrap();
    }
    let file = |name: &str| directory.join(name).display().to_string();
    let addresses: Vec<String> = controllers.iter().map(|address| format!("{address:?}")).collect();
    let addresses = addresses.iter().map(|text| format!("\"{text}\"")).collect::<Vec<_>>();
    format!(
        "[node]\nname = \"router-1\"\nzone = \"a\"\nhost = \"host-1\"\n\
         [caller]\nlisten = \"127.0.0.1:0\"\n[fleet]\nlisten = \"127.0.0.1:0\"\n\
         [controllers]\naddresses = [{}]\n\
         [credentials]\nprocess = \"{}\"\nupstream = \"{}\"\nmetrics = \"{}\"\n\
         [limits]\n{limits}\n\
         [[service]]\nname = \"cases\"\nidempotent = [\"GET /status/*\"]\n\
         protected = [\"POST /decisions\"]\n",
        addresses.join(", "),
        file("process"),
        file("upstream"),
        file("metrics"),
    )
}

pub struct TestRouter {
    pub handle: RouterHandle,
    _temp_dir: TempDir,
}

impl TestRouter {
    pub async fn start(controllers: &[SocketAddr], limits: &str) -> Self {
        let directory = TempDir::new().unwrap();
        let text = settings_text(directory.path(), controllers, limits);
        let settings: RouterSettings = parse_settings(Path::new("test.toml"), &text).unwrap();
        let listeners = RouterListeners::bind(&settings).await.unwrap();
        let options = RouterOptions::open(settings).unwrap();
        let handle = Router::start(options, listeners).await.unwrap();
        Self { handle, _temp_dir: directory }
    }

    /// Starts a router and waits until it is healthy and knows every upstream of `controller`.
    pub async fn ready(controller: &FakeController, limits: &str) -> Self {
        let router = Self::start(&[controller.address], limits).await;
        wait_for("the router to become ready", || {
            let state = router.handle.state();
            let known =
                state.fleet.directory().registry().upstreams.len() == controller.upstream_count();
            state.is_healthy() && known
        })
        .await;
        router
    }

    pub async fn post(&self, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
        self.call(Method::POST, path, headers, body).await
    }

    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        Answer::read(self.open_response(method, path, headers, body).await).await
    }

    /// Sends a request and returns the response without reading its body.
    pub async fn open_response(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Response<Incoming> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "router")
            .header("authorization", format!("Bearer {CALLER_KEY}"));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
        send(self.handle.caller_address(), request).await
    }

    /// Sum of the samples of a metric whose name starts with `name` and whose labels contain
    /// `labels`.
    pub fn metric(&self, name: &str, labels: &str) -> u64 {
        let text = String::from_utf8(self.handle.state().metrics.scrape()).unwrap();
        let lines = text.lines().filter(|line| line.starts_with(name) && line.contains(labels));
        lines.map(|line| line.rsplit(' ').next().unwrap().parse::<f64>().unwrap() as u64).sum()
    }
}

/// Sends a request over a new HTTP/1.1 connection.
pub async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Response<Incoming> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    tokio::time::timeout(WAIT_LIMIT, sender.send_request(request)).await.unwrap().unwrap()
}

/// The part of a response that arrived before its end or before the connection broke.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
    /// False when the connection broke before the end of the body.
    pub complete: bool,
}

impl Answer {
    pub async fn read(response: Response<Incoming>) -> Self {
        let (parts, mut incoming) = response.into_parts();
        let mut body = Vec::new();
        let complete = loop {
            match tokio::time::timeout(WAIT_LIMIT, incoming.frame())
                .await
                .expect("no body frame arrived within WAIT_LIMIT")
            {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => body.extend_from_slice(frame.data_ref().unwrap()),
            }
        };
        let body = String::from_utf8(body).unwrap();
        Self { status: parts.status, headers: parts.headers, body, complete }
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().unwrap())
    }

    /// The `error.code` of a JSON error body, or an empty string.
    pub fn code(&self) -> String {
        let body: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"]["code"].as_str().unwrap_or_default().to_owned()
    }
}

/// Polls `condition` until it holds; fails the test after [`WAIT_LIMIT`].
pub async fn wait_for(awaited: &str, mut condition: impl FnMut() -> bool) {
    let started = tokio::time::Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_LIMIT, "timed out waiting for {awaited}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

pub const STREAM_REQUEST: &str = r#"{"model":"small","prompt":"hello","stream":true}"#;
