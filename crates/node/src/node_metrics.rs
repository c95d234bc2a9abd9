//! Metrics that all roles share, exported in the Prometheus text format.

use crate::units::wall_clock_ms;
use baobabfall_core::zone_evacuations::EvacuationList;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Bucket bounds of the time to first token and the queue wait, in seconds. The
/// target for the first token is 1.9 s.
const FIRST_TOKEN_BOUNDS: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.9, 3.0, 5.0, 15.0, 60.0];
/// Bucket bounds of the gap between tokens, in seconds. The target is 0.026 s.
const TOKEN_GAP_BOUNDS: [f64; 10] = [0.001, 0.005, 0.01, 0.02, 0.026, 0.04, 0.08, 0.25, 1.0, 5.0];
/// Bucket bounds of the time until an edit is in force, in seconds. The targets
/// are 2 s and 12 s.
const EDIT_BOUNDS: [f64; 8] = [0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 12.0];
/// Bucket bounds of the event loop delay, in seconds.
const LOOP_DELAY_BOUNDS: [f64; 8] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 1.0, 2.0];

/// Values of the label `outcome` of `baobabfall_requests_total`.
pub const OUTCOMES: [&str; 4] = ["finished", "refused_not_run", "outcome_unknown", "cancelled"];
/// Values of the label `completeness` of `baobabfall_answers_total`.
pub const COMPLETENESS: [&str; 3] = ["whole", "broken_with_error", "short"];

/// How an answer that the caller had begun to receive ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerCompleteness {
    /// The caller received every byte of the upstream's answer.
    Whole,
    /// The answer was cut off, and the caller can detect it.
    BrokenWithError,
    /// The answer was shorter than its framing declared, and the caller cannot
    /// detect it.
    Short,
}

impl AnswerCompleteness {
    /// Value of the label `completeness`.
    pub fn label(self) -> &'static str {
        match self {
            Self::Whole => COMPLETENESS[0],
            Self::BrokenWithError => COMPLETENESS[1],
            Self::Short => COMPLETENESS[2],
        }
    }
}

/// Instruments that every role shares, and the registry they are scraped from.
#[derive(Clone, Debug)]
pub struct NodeMetrics {
    registry: Registry,
    provider: Arc<SdkMeterProvider>,
    /// Requests that ended, by workspace, model and outcome.
    pub requests: Counter<u64>,
    /// Refused requests by error code.
    pub refusals: Counter<u64>,
    /// Answers to callers by workspace, model and completeness.
    pub answers: Counter<u64>,
    /// Retried attempts by workspace.
    pub retries: Counter<u64>,
    /// Requests that were sent to a second upstream because the first one was slow, by workspace
    /// and by the upstream that answered first.
    pub hedges: Counter<u64>,
    /// Time that requests wait for a slot, in seconds, by model.
    pub queue_wait: Histogram<f64>,
    /// Time from the arrival of a request to its first token, in seconds, by
    /// workspace and model.
    pub first_token: Histogram<f64>,
    /// Time between two tokens of a stream, in seconds, by model.
    pub token_gap: Histogram<f64>,
    /// Time until an edit is in force in this process, in seconds: from its
    /// acceptance for workspace tables, and from its application at the controller
    /// for route tables.
    pub edit_in_force: Histogram<f64>,
    /// Delay with which the event loop runs a due task, in seconds.
    pub loop_delay: Histogram<f64>,
    /// Version of the route table in force in this process.
    pub routes_version: Gauge<u64>,
    /// Fairness gap divided by its bound, by pool; above 1 the bound is exceeded.
    pub fairness_gap: Gauge<f64>,
    /// Revision of the workspace table in force in this process.
    pub table_revision: Gauge<u64>,
    /// Requests waiting for a slot.
    pub queued: Gauge<u64>,
    /// Requests running at upstreams.
    pub running: Gauge<u64>,
    /// Open caller connections.
    pub connections: Gauge<u64>,
    /// Caller connections that were closed before anything was read.
    pub closed_unread: Counter<u64>,
    /// Caller connections that other routers took from this one.
    pub handed_over: Counter<u64>,
    /// Offers of caller connections that other routers refused or did not answer.
    pub handover_refusals: Counter<u64>,
    /// Caller connections that this router took from others.
    pub taken_over: Counter<u64>,
    /// Bytes of messages exchanged with controllers, by direction.
    pub control_bytes: Counter<u64>,
    /// Granted requests that were not sent to their upstream, by reason.
    pub withheld: Counter<u64>,
    /// Number of evacuated availability zones that this process knows of.
    pub evacuated_zones: Gauge<u64>,
    /// Version of the set of evacuated zones in force in this process.
    pub evacuations_version: Gauge<u64>,
    /// Cold upstreams, as the leader knows them; zero at other processes.
    pub cold_upstreams: Gauge<u64>,
}

impl NodeMetrics {
    /// Creates the instruments and records the current time as the start time of
    /// the process.
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
            hedges: meter.u64_counter("baobabfall_hedges").build(),
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
            closed_unread: meter.u64_counter("baobabfall_connections_closed_unread").build(),
            handed_over: meter.u64_counter("baobabfall_connections_handed_over").build(),
            handover_refusals: meter.u64_counter("baobabfall_handovers_refused").build(),
            taken_over: meter.u64_counter("baobabfall_connections_taken_over").build(),
            control_bytes: meter.u64_counter("baobabfall_control_bytes").build(),
            withheld: meter.u64_counter("baobabfall_requests_withheld").build(),
            evacuated_zones: meter.u64_gauge("baobabfall_evacuated_zones").build(),
            evacuations_version: meter.u64_gauge("baobabfall_evacuations_version").build(),
            cold_upstreams: meter.u64_gauge("baobabfall_cold_upstreams").build(),
            provider: Arc::new(provider),
        };
        Ok(metrics)
    }

    /// Provider for creating additional instruments in the same registry.
    pub fn provider(&self) -> &SdkMeterProvider {
        &self.provider
    }

    /// Counts a refused request under its stable error code.
    pub fn count_refusal(&self, code: &'static str) {
        self.refusals.add(1, &[KeyValue::new("code", code)]);
    }

    /// Counts a request that was granted a slot and withheld from its upstream.
    pub fn count_withheld(&self, reason: &'static str) {
        self.withheld.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records the evacuated zones in force.
    pub fn record_evacuations(&self, list: &EvacuationList) {
        self.evacuated_zones.record(u64::try_from(list.zones.len()).unwrap_or(u64::MAX), &[]);
        self.evacuations_version.record(list.version, &[]);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn scrape(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("metrics could not be encoded: {error}");
        }
        text
    }
}

/// Returns an incarnation for a process that is starting: the wall clock in
/// milliseconds since the Unix epoch.
///
/// Incarnations must increase with each restart, so the clock must not step back
/// across a restart by more than the time that the restart takes.
pub fn start_incarnation() -> u64 {
    wall_clock_ms()
}
