//! Configuration and requests that the cases share.

use crate::client::StreamCall;
use crate::fleet::{Fleet, WorkerSpec, ZONES};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub const SERVICE: &str = "bidrag-llm";
pub const HOST: &str = "bidrag.example";
pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";

/// Workers of the model service, spread over the zones.
pub fn worker_specs(fleet: &Fleet, count: u8) -> Vec<WorkerSpec> {
    let spec = |index: u8| WorkerSpec {
        id: format!("i-{index:02}"),
        service: SERVICE,
        address: fleet.worker_address(index),
        zone: ZONES[usize::from(index) % ZONES.len()],
        version: "v1",
        slots: 48,
        control: fleet.control_plane(),
        extra: Vec::new(),
    };
    (0..count).map(spec).collect()
}

/// One model service with three streaming routes, as in the sheet of the small site. `/case/` may
/// be resumed.
pub fn config() -> String {
    let route = |name: &str, timeout: u32, target: u32, attempts: u32, resume: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"type\":\"streaming\",\"timeout_ms\":{timeout},\"target_latency_ms\":{target},\"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":{attempts},\"public\":false,\"session_affinity\":true,\"stream_resume\":{resume},\"target_gap_ms\":200}}"
        )
    };
    let routes = [
        route("dossier", 6000, 300, 1, false),
        route("case", 15_000, 250, 2, true),
        route("chat", 15_000, 200, 1, false),
    ];
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_connections\":320,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":48,\"kv_capacity\":398461,\"kv_bytes\":192512,\"link_mbps\":1500000.0,\"moves\":true,\"backups\":true,\"stride\":3,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"kv_handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":470000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// A streaming request whose prompt has the given shared parts and a last part of its own.
pub fn stream_call(
    address: SocketAddr,
    path: &str,
    attempt: &str,
    parts: &str,
    deadline: Duration,
) -> StreamCall {
    let header = |name: &str, value: String| (name.to_owned(), value);
    let headers = vec![
        header("Host", HOST.to_owned()),
        header("Attempt-Id", attempt.to_owned()),
        header("Model", "m".to_owned()),
        header("Token-Usage", "1460,80".to_owned()),
        header("Prefix-Hash", format!("{parts},{attempt}:250")),
        header("Deadline-Ms", deadline.as_millis().to_string()),
        header("Authorization", format!("Bearer {KEY}")),
    ];
    StreamCall {
        address,
        path: path.to_owned(),
        headers,
        body: format!("prompt of {attempt}").into_bytes(),
        deadline: Instant::now() + deadline,
        patience: Duration::from_secs(2),
    }
}
