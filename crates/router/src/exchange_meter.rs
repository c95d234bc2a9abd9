//! Metrics of one exchange, under the names that `baobabfall-burn` reads.

use crate::exchange_run::ExchangeCall;
use baobabfall_node::node_metrics::{AnswerCompleteness, NodeMetrics};
use opentelemetry::KeyValue;
use std::time::Duration;

/// How an exchange ended, and whether its request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeOutcome {
    /// An upstream's response was returned completely.
    Finished,
    /// The request was rejected and is known not to have run.
    RefusedNotRun,
    /// The exchange failed and the request may have run.
    Unknown,
}

impl ExchangeOutcome {
    fn label(self) -> &'static str {
        match self {
            Self::Finished => "finished",
            Self::RefusedNotRun => "refused_not_run",
            Self::Unknown => "outcome_unknown",
        }
    }
}

/// Records the metrics of one exchange. If it is dropped before [`Self::end`], the
/// exchange counts as cancelled by its caller.
#[derive(Debug)]
pub(crate) struct ExchangeMeter {
    metrics: NodeMetrics,
    labels: [KeyValue; 2],
    counted: bool,
}

impl ExchangeMeter {
    pub(crate) fn new(metrics: &NodeMetrics, call: &ExchangeCall) -> Self {
        let labels = [
            KeyValue::new("workspace", call.workspace.clone()),
            KeyValue::new("model", call.service.clone()),
        ];
        Self { metrics: metrics.clone(), labels, counted: false }
    }

    pub(crate) fn record_queue_wait(&self, wait: Duration) {
        self.metrics.queue_wait.record(wait.as_secs_f64(), &self.labels[1..]);
    }

    pub(crate) fn record_first_event(&self, elapsed: Duration) {
        self.metrics.first_token.record(elapsed.as_secs_f64(), &self.labels);
    }

    pub(crate) fn count_retry(&self) {
        self.metrics.retries.add(1, &self.labels[..1]);
    }

    /// Counts a request with a second attempt, by the upstream that answered first.
    pub(crate) fn count_hedge(&self, outcome: KeyValue) {
        self.metrics.hedges.add(1, &[self.labels[0].clone(), outcome]);
    }

    pub(crate) fn count_answer(&self, completeness: AnswerCompleteness) {
        let [workspace, model] = self.labels.clone();
        let labels = [workspace, model, KeyValue::new("completeness", completeness.label())];
        self.metrics.answers.add(1, &labels);
    }

    /// Counts the exchange with its outcome. Only the first call counts.
    pub(crate) fn end(&mut self, outcome: ExchangeOutcome) {
        self.count(outcome.label());
    }

    fn count(&mut self, outcome: &'static str) {
        if !std::mem::replace(&mut self.counted, true) {
            let [workspace, model] = self.labels.clone();
            let labels = [workspace, model, KeyValue::new("outcome", outcome)];
            self.metrics.requests.add(1, &labels);
        }
    }
}

impl Drop for ExchangeMeter {
    fn drop(&mut self) {
        self.count("cancelled");
    }
}
