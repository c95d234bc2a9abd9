//! Accounting of one request: its life cycle and its metrics, exactly once.

use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::request_life::{ExecutionStatus, LifecycleEvent, RequestLifecycle};
use baobabfall_node::node_metrics::{AnswerCompleteness, NodeMetrics};
use opentelemetry::KeyValue;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::time::Instant;

/// Label of workspaces and models that the table and the registry do not know.
pub const UNKNOWN_LABEL: &str = "unknown";

/// Accounting of one request; dropping it unfinished counts a cancelled one.
#[derive(Debug)]
pub struct RequestRecord {
    /// Id that is carried to the upstream and back.
    pub id: String,
    /// When the request arrived.
    pub arrived: Instant,
    life: RequestLifecycle,
    metrics: NodeMetrics,
    in_progress: Arc<AtomicU32>,
    workspace: String,
    model: String,
    counted: bool,
    faulty: bool,
}

impl RequestRecord {
    /// Begins the accounting of a request that arrived now.
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
            faulty: false,
        }
    }

    /// Names the workspace, once the table knows it.
    pub fn set_workspace(&mut self, workspace: &str) {
        workspace.clone_into(&mut self.workspace);
    }

    /// Names the model or service, once the registry knows it.
    pub fn set_model(&mut self, model: &str) {
        model.clone_into(&mut self.model);
    }

    /// Name of the workspace.
    pub fn workspace(&self) -> &str {
        &self.workspace
    }

    /// Moves the life cycle; after an impossible step nothing is claimed.
    pub fn advance(&mut self, event: LifecycleEvent) {
        if let Err(error) = self.life.advance(event) {
            self.faulty = true;
            log::error!(request_id = self.id.as_str(); "request life cycle: {error}");
        }
    }

    /// What is known about the request.
    pub fn statement(&self) -> ExecutionStatus {
        if self.faulty { ExecutionStatus::OutcomeUnknown } else { self.life.execution_status() }
    }

    /// Ends the request with a rejection; the result may be weaker than
    /// `kind` where "not run" is not proven.
    pub fn reject(&mut self, kind: ErrorKind) -> ErrorKind {
        let kind = match self.life.provable_kind(kind) {
            kind if self.faulty && kind.answer().not_run => ErrorKind::UpstreamFailed,
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

    /// Ends the request with a complete answer.
    pub fn finish(&mut self) {
        self.advance(LifecycleEvent::End);
        self.count();
    }

    /// Ends a request whose caller is gone.
    pub fn cancel(&mut self) {
        self.advance(LifecycleEvent::Cancel);
        self.count();
    }

    /// Ends a request that is answered from the record of an earlier one.
    pub fn finish_recorded(&mut self) {
        self.advance(LifecycleEvent::Refuse);
        self.count();
    }

    /// Ends a request that the router itself answered.
    pub fn finish_locally(&mut self) {
        for event in [LifecycleEvent::Admit, LifecycleEvent::Dispatch, LifecycleEvent::Head] {
            self.advance(event);
        }
        self.finish();
    }

    /// Counts the completeness of an answer whose head was relayed.
    pub fn count_answer(&self, completeness: AnswerCompleteness) {
        let mut labels = self.labels().to_vec();
        labels.push(KeyValue::new("completeness", completeness.label()));
        self.metrics.answers.add(1, &labels);
    }

    /// Counts a retry.
    pub fn count_retry(&self) {
        let workspace = KeyValue::new("workspace", self.workspace.clone());
        self.metrics.retries.add(1, &[workspace]);
    }

    /// Records the time to the first token.
    pub fn record_first_token(&self, seconds: f64) {
        self.metrics.first_token.record(seconds, &self.labels());
    }

    /// Label set of the model, for gaps between tokens.
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
