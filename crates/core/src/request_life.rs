//! Life cycle of a request, a state machine defined by `charts/request.scxml`.
//!
//! Whether a request ran is derived from the state alone: a rejection may claim
//! "not run" only in a state that proves it.

use crate::error_kind::ErrorKind;
use crate::state_chart::{ChartError, CompiledChart, EventId, REQUEST_CHART, StateId};
use std::sync::OnceLock;

/// Event that moves a request from one state of its life cycle to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// The request passed its checks and enters the queue.
    Admit,
    /// The request is rejected.
    Refuse,
    /// The request may be written to an upstream from now on.
    Dispatch,
    /// The attempt certainly did not run: no byte of the request was written, or the
    /// upstream said so.
    NotRun,
    /// The attempt failed, may have run, and is followed by another one.
    Retry,
    /// The status line and headers of the answer arrived.
    Head,
    /// The answer was interrupted and is resumed.
    Resume,
    /// The answer ended completely according to its framing.
    End,
    /// The attempt failed and no further attempt follows.
    Fail,
    /// The caller disconnected.
    Cancel,
}

/// Every event with its name in the chart, in the order of the enum variants, which
/// are used as indices.
pub const LIFECYCLE_EVENTS: [(LifecycleEvent, &str); 10] = [
    (LifecycleEvent::Admit, "admit"),
    (LifecycleEvent::Refuse, "refuse"),
    (LifecycleEvent::Dispatch, "dispatch"),
    (LifecycleEvent::NotRun, "not_run"),
    (LifecycleEvent::Retry, "retry"),
    (LifecycleEvent::Head, "head"),
    (LifecycleEvent::Resume, "resume"),
    (LifecycleEvent::End, "end"),
    (LifecycleEvent::Fail, "fail"),
    (LifecycleEvent::Cancel, "cancel"),
];

/// States in which it is certain that the request did not run.
const NOT_RUN_STATES: [&str; 4] = ["received", "queued", "refused_not_run", "cancelled_not_run"];
/// States entered because the caller disconnected.
const CANCELLED_STATES: [&str; 2] = ["cancelled_not_run", "cancelled"];

/// What is known about the execution of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// It is certain that the request did not run.
    KnownNotRun,
    /// The answer was relayed completely.
    Finished,
    /// The request may have run.
    OutcomeUnknown,
}

#[derive(Debug)]
struct LifecycleChart {
    chart: CompiledChart,
    events: Vec<EventId>,
    /// Each state with its execution status and whether the caller disconnected.
    statuses: Vec<(StateId, ExecutionStatus, bool)>,
}

static LIFECYCLE_CHART: OnceLock<Result<LifecycleChart, String>> = OnceLock::new();

impl LifecycleChart {
    fn compile() -> Result<Self, ChartError> {
        let chart = CompiledChart::parse(REQUEST_CHART)?;
        let events = LIFECYCLE_EVENTS.iter().map(|(_, name)| chart.event(name));
        let events = events.collect::<Result<Vec<_>, _>>()?;
        let mut statuses = Vec::new();
        for name in chart.state_names() {
            let status = match name.as_str() {
                "finished" => ExecutionStatus::Finished,
                name if NOT_RUN_STATES.contains(&name) => ExecutionStatus::KnownNotRun,
                _ => ExecutionStatus::OutcomeUnknown,
            };
            let cancelled = CANCELLED_STATES.contains(&name.as_str());
            statuses.push((chart.state(name)?, status, cancelled));
        }
        for name in NOT_RUN_STATES.iter().chain(&CANCELLED_STATES) {
            chart.state(name)?;
        }
        statuses.sort_by_key(|entry| entry.0);
        Ok(Self { chart, events, statuses })
    }

    fn compiled() -> Result<&'static Self, ChartError> {
        let compile = || Self::compile().map_err(|error| error.to_string());
        LIFECYCLE_CHART
            .get_or_init(compile)
            .as_ref()
            .map_err(|text| ChartError::Invalid(text.clone()))
    }
}

/// Current state of one request in its life cycle.
#[derive(Clone, Debug)]
pub struct RequestLifecycle {
    chart: &'static LifecycleChart,
    state: StateId,
}

impl RequestLifecycle {
    /// Starts the life cycle of a request that was just received. Fails when the
    /// embedded chart is invalid.
    ///
    /// ```
    /// use baobabfall_core::request_life::{LifecycleEvent, ExecutionStatus, RequestLifecycle};
    /// let mut lifecycle = RequestLifecycle::begin().unwrap();
    /// lifecycle.advance(LifecycleEvent::Admit).unwrap();
    /// assert_eq!(lifecycle.execution_status(), ExecutionStatus::KnownNotRun);
    /// lifecycle.advance(LifecycleEvent::Dispatch).unwrap();
    /// assert_eq!(lifecycle.execution_status(), ExecutionStatus::OutcomeUnknown);
    /// ```
    pub fn begin() -> Result<Self, ChartError> {
        let chart = LifecycleChart::compiled()?;
        Ok(Self { chart, state: chart.chart.initial() })
    }

    /// Moves to the state that follows on `event`. Fails, and keeps the state, when the
    /// chart has no such transition.
    pub fn advance(&mut self, event: LifecycleEvent) -> Result<(), ChartError> {
        self.state = self.chart.chart.step(self.state, self.chart.events[event as usize])?;
        Ok(())
    }

    fn entry(&self) -> Option<&(StateId, ExecutionStatus, bool)> {
        let position = self.chart.statuses.binary_search_by_key(&self.state, |entry| entry.0);
        position.ok().and_then(|index| self.chart.statuses.get(index))
    }

    /// Whether the request ran, as far as the current state tells.
    pub fn execution_status(&self) -> ExecutionStatus {
        self.entry().map_or(ExecutionStatus::OutcomeUnknown, |entry| entry.1)
    }

    /// True once the caller disconnected before the request ended.
    pub fn is_cancelled(&self) -> bool {
        self.entry().is_some_and(|entry| entry.2)
    }

    /// True once the request ended and no event can follow.
    pub fn is_final(&self) -> bool {
        self.chart.chart.is_final(self.state)
    }

    /// Name of the current state in the chart.
    pub fn state_name(&self) -> &str {
        self.chart.chart.state_name(self.state)
    }

    /// Returns `kind`, unless its answer claims "not run" although the request may have
    /// run; then it returns a corresponding kind without that claim.
    ///
    /// ```
    /// use baobabfall_core::error_kind::ErrorKind;
    /// use baobabfall_core::request_life::{LifecycleEvent, RequestLifecycle};
    /// let mut lifecycle = RequestLifecycle::begin().unwrap();
    /// for event in [LifecycleEvent::Admit, LifecycleEvent::Dispatch, LifecycleEvent::Retry] {
    ///     lifecycle.advance(event).unwrap();
    /// }
    /// assert_eq!(lifecycle.provable_kind(ErrorKind::QueueFull), ErrorKind::UpstreamFailed);
    /// ```
    pub fn provable_kind(&self, kind: ErrorKind) -> ErrorKind {
        if !kind.answer().not_run || self.execution_status() == ExecutionStatus::KnownNotRun {
            return kind;
        }
        match kind {
            ErrorKind::DeadlineBeforeDispatch => ErrorKind::DeadlineAfterDispatch,
            _ => ErrorKind::UpstreamFailed,
        }
    }
}
