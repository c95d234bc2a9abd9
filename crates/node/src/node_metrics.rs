//! Metrics of a process in the Prometheus text format.

use crate::units::wall_clock_ms;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Bucket bounds of the time to the first token, in seconds; 1.9 is the target.
const FIRST_TOKEN_BOUNDS: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.9, 3.0, 5.0, 15.0, 60.0];
/// Bucket bounds of the gap between tokens, in seconds; 0.026 is the target.
const TOKEN_GAP_BOUNDS: [f64; 10] = [0.001, 0.005, 0.01, 0.02, 0.026, 0.04, 0.08, 0.25, 1.0, 5.0];
/// Bucket bounds of the time until an edit is in force, in seconds; 2 and 12 are the targets.
const EDIT_BOUNDS: [f64; 8] = [0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 12.0];
/// Bucket bounds of delays of the event loop, in seconds.
const LOOP_DELAY_BOUNDS: [f64; 8] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 1.0, 2.0];

/// Values of the label `outcome` of `baobabfall_requests_total`.
pub const OUTCOMES: [&str; 4] = ["finished", "refused_not_run", "outcome_unknown", "cancelled"];
/// Values of the label `completeness` of `baobabfall_answers_total`.
pub const COMPLETENESS: [&str; 3] = ["whole", "broken_with_error", "short"];

/// How an answer that was begun ended towards its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerCompleteness {
    /// Every byte that the upstream framed.
    Whole,
    /// Broken off so that the caller can tell.
    BrokenWithError,
    /// Shorter than framed and not told to the caller.
    Short,
}

impl AnswerCompleteness {
    /// Value of the label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Whole => COMPLETENESS[0],
            Self::BrokenWithError => COMPLETENESS[1],
            Self::Short => COMPLETENESS[2],
        }
    }
}

/// Instruments that every role shares, and the registry that is scraped.
#[derive(Clone, Debug)]
pub struct NodeMetrics {
    registry: Registry,
    provider: Arc<SdkMeterProvider>,
    /// Requests by workspace, model and outcome.
    pub requests: Counter<u64>,
    /// Refusals by error code.
    pub refusals: Counter<u64>,
    /// Answers by workspace, model and completeness.
    pub answers: Counter<u64>,
    /// Retries by workspace.
    pub retries: Counter<u64>,
    /// Seconds that requests wait for a slot, by model.
    pub queue_wait: Histogram<f64>,
    /// Seconds from arrival to the first token, by workspace and model.
    pub first_token: Histogram<f64>,
    /// Seconds between tokens, by model.
    pub token_gap: Histogram<f64>,
    /// Seconds from acceptance of an edit to its being in force here.
    pub edit_in_force: Histogram<f64>,
    /// Seconds by which the event loop runs a task late.
    pub loop_delay: Histogram<f64>,
    /// Version of the route table in force.
    pub routes_version: Gauge<u64>,
    /// Fairness gap divided by its bound, by pool.
    pub fairness_gap: Gauge<f64>,
    /// Revision of the table in force.
    pub table_revision: Gauge<u64>,
    /// Requests that wait.
    pub queued: Gauge<u64>,
    /// Requests that run.
    pub running: Gauge<u64>,
    /// Callers' connections that are open.
    pub connections: Gauge<u64>,
    /// Bytes of control messages, by direction.
    pub control_bytes: Counter<u64>,
}

impl NodeMetrics {
    /// Creates the instruments and records the start time of the process.
    pub fn new() -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| error.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("baobabfall");
        let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        meter
            .f64_gauge("baobabfall_node_start_time")
            .with_unit("s")
            .build()
            .record(start.as_secs_f64(), &[]);
        let metrics = Self {
            registry,
            requests: meter.u64_counter("baobabfall_requests").build(),
            refusals: meter.u64_counter("baobabfall_refusals").build(),
            answers: meter.u64_counter("baobabfall_answers").build(),
            retries: meter.u64_counter("baobabfall_retries").build(),
            queue_wait: meter
                .f64_histogram("baobabfall_queue_wait")
                .with_unit("s")
                .with_boundaries(FIRST_TOKEN_BOUNDS.to_vec())
                .build(),
            first_token: meter
                .f64_histogram("baobabfall_first_token")
                .with_unit("s")
                .with_boundaries(FIRST_TOKEN_BOUNDS.to_vec())
                .build(),
            token_gap: meter
                .f64_histogram("baobabfall_token_gap")
                .with_unit("s")
                .with_boundaries(TOKEN_GAP_BOUNDS.to_vec())
                .build(),
            edit_in_force: meter
                .f64_histogram("baobabfall_edit_in_force")
                .with_unit("s")
                .with_boundaries(EDIT_BOUNDS.to_vec())
                .build(),
            loop_delay: meter
                .f64_histogram("baobabfall_event_loop_delay")
                .with_unit("s")
                .with_boundaries(LOOP_DELAY_BOUNDS.to_vec())
                .build(),
            routes_version: meter.u64_gauge("baobabfall_routes_version").build(),
            fairness_gap: meter.f64_gauge("baobabfall_fairness_gap_ratio").build(),
            table_revision: meter.u64_gauge("baobabfall_table_revision").build(),
            queued: meter.u64_gauge("baobabfall_queued").build(),
            running: meter.u64_gauge("baobabfall_running").build(),
            connections: meter.u64_gauge("baobabfall_connections").build(),
            control_bytes: meter.u64_counter("baobabfall_control_bytes").build(),
            provider: Arc::new(provider),
        };
        Ok(metrics)
    }

    /// The provider, for further instruments of one role.
    pub fn provider(&self) -> &SdkMeterProvider {
        &self.provider
    }

    /// Counts a refusal by its stable code.
    pub fn count_refusal(&self, code: &'static str) {
        self.refusals.add(1, &[KeyValue::new("code", code)]);
    }

    /// The metrics as Prometheus text.
    pub fn scrape(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("metrics not encoded: {error}");
        }
        text
    }
}

/// Milliseconds since the Unix epoch, used as the incarnation of a process.
///
/// A host's clock must not run backwards across a restart by more than the
/// time the restart takes.
pub fn start_incarnation() -> u64 {
    wall_clock_ms()
}
