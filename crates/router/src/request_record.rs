//! Tracks the life cycle of one request and records its metrics exactly once.

use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::request_life::{ExecutionStatus, LifecycleEvent, RequestLifecycle};
use baobabfall_node::node_metrics::{AnswerCompleteness, NodeMetrics};
use opentelemetry::KeyValue;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::time::Instant;

/// Metric label for a workspace or model that was not found or not determined yet.
pub const UNKNOWN_LABEL: &str = "unknown";

/// Life cycle and metrics of one request. Dropping it before the request ended
/// counts the request as cancelled.
#[derive(Debug)]
pub struct RequestRecord {
    /// Request id, chosen by the caller or the router; sent to the upstream and
    /// returned to the caller.
    pub id: String,
    /// When the request head arrived; start of the deadline and of latencies.
    pub arrived: Instant,
    life: RequestLifecycle,
    metrics: NodeMetrics,
    in_progress: Arc<AtomicU32>,
    workspace: String,
    model: String,
    counted: bool,
    invalid_transition: bool,
}

impl RequestRecord {
    /// Starts the record of a request that arrived now and counts it in
    /// `in_progress`.
    pub fn begin(
        id: String,
        life: RequestLifecycle,
        metrics: NodeMetrics,
        in_progress: Arc<AtomicU32>,
    ) -> Self {
        in_progress.fetch_add(1, Ordering::Relaxed);
        Self {
            id,
            arrived: Instant::now(),
            life,
            metrics,
            in_progress,
            workspace: UNKNOWN_LABEL.to_owned(),
            model: UNKNOWN_LABEL.to_owned(),
            counted: false,
            invalid_transition: false,
        }
    }

    /// Sets the workspace label, once the caller is authenticated.
    pub fn set_workspace(&mut self, workspace: &str) {
        workspace.clone_into(&mut self.workspace);
    }

    /// Sets the model label to a model or service that has upstreams.
    pub fn set_model(&mut self, model: &str) {
        model.clone_into(&mut self.model);
    }

    /// Name of the workspace, or [`UNKNOWN_LABEL`] before authentication.
    pub fn workspace(&self) -> &str {
        &self.workspace
    }

    /// Advances the life cycle. After an invalid transition, which is a programming
    /// error, the outcome counts as unknown.
    pub fn advance(&mut self, event: LifecycleEvent) {
        if let Err(error) = self.life.advance(event) {
            self.invalid_transition = true;
            log::error!(request_id = self.id.as_str(); "invalid transition in the request life cycle: {error}");
        }
    }

    /// What is known about whether the request ran.
    pub fn statement(&self) -> ExecutionStatus {
        if self.invalid_transition {
            ExecutionStatus::OutcomeUnknown
        } else {
            self.life.execution_status()
        }
    }

    /// Ends the request with a rejection and returns the kind to report. It differs
    /// from `kind` if that kind says "not run" and this is not proven.
    pub fn reject(&mut self, kind: ErrorKind) -> ErrorKind {
        let kind = match self.life.provable_kind(kind) {
            kind if self.invalid_transition && kind.answer().not_run => ErrorKind::UpstreamFailed,
            kind => kind,
        };
        let event = match self.life.state_name() {
            "dispatched" | "redispatched" | "streaming" | "resuming" => LifecycleEvent::Fail,
            _ => LifecycleEvent::Refuse,
        };
        self.advance(event);
        self.metrics.count_refusal(kind.answer().code);
        self.count();
        kind
    }

    /// Ends the request after its response was relayed completely.
    pub fn finish(&mut self) {
        self.advance(LifecycleEvent::End);
        self.count();
    }

    /// Ends a request whose caller closed the connection or stopped reading.
    pub fn cancel(&mut self) {
        self.advance(LifecycleEvent::Cancel);
        self.count();
    }

    /// Ends a request that was answered with the recorded outcome of an earlier one
    /// and was not dispatched itself.
    pub fn finish_recorded(&mut self) {
        self.advance(LifecycleEvent::Refuse);
        self.count();
    }

    /// Ends a request that the router answered itself, without an upstream.
    pub fn finish_locally(&mut self) {
        for event in [LifecycleEvent::Admit, LifecycleEvent::Dispatch, LifecycleEvent::Head] {
            self.advance(event);
        }
        self.finish();
    }

    /// Counts a response whose head was relayed, by its completeness.
    pub fn count_answer(&self, completeness: AnswerCompleteness) {
        let mut labels = self.labels().to_vec();
        labels.push(KeyValue::new("completeness", completeness.label()));
        self.metrics.answers.add(1, &labels);
    }

    /// Counts a retry for the workspace.
    pub fn count_retry(&self) {
        let workspace = KeyValue::new("workspace", self.workspace.clone());
        self.metrics.retries.add(1, &[workspace]);
    }

    /// Records the time from arrival to the first token, in seconds.
    pub fn record_first_token(&self, seconds: f64) {
        self.metrics.first_token.record(seconds, &self.labels());
    }

    /// Label with the model, for the histogram of gaps between tokens.
    pub fn model_label(&self) -> KeyValue {
        KeyValue::new("model", self.model.clone())
    }

    fn labels(&self) -> [KeyValue; 2] {
        [KeyValue::new("workspace", self.workspace.clone()), self.model_label()]
    }

    fn count(&mut self) {
        if std::mem::replace(&mut self.counted, true) {
            return;
        }
        self.in_progress.fetch_sub(1, Ordering::Relaxed);
        let outcome = match self.statement() {
            _ if self.life.is_cancelled() => "cancelled",
            ExecutionStatus::Finished => "finished",
            ExecutionStatus::KnownNotRun => "refused_not_run",
            ExecutionStatus::OutcomeUnknown => "outcome_unknown",
        };
        let mut labels = self.labels().to_vec();
        labels.push(KeyValue::new("outcome", outcome));
        self.metrics.requests.add(1, &labels);
        log::debug!(
            request_id = self.id.as_str(), workspace = self.workspace.as_str();
            "request ended: {outcome}"
        );
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if !self.counted {
            self.cancel();
        }
    }
}
