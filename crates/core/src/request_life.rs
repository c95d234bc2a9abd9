//! Life cycle of a request, driven by `charts/request.scxml`.
//!
//! The chart is the only source of the statement whether a request ran: a
//! rejection may say "not run" only in a state that proves it.

use crate::error_kind::ErrorKind;
use crate::state_chart::{ChartError, CompiledChart, EventId, REQUEST_CHART, StateId};
use std::sync::OnceLock;

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// It was checked and enters the queue.
    Admit,
    /// It is rejected.
    Refuse,
    /// It may be written to an upstream from now on.
    Dispatch,
    /// No byte of it was written, or the upstream said that it did not run.
    NotRun,
    /// The attempt failed and another one follows.
    Retry,
    /// The head of the answer arrived.
    Head,
    /// The answer broke off and is resumed.
    Resume,
    /// The answer ended as its framing says.
    End,
    /// The attempt failed and no other one follows.
    Fail,
    /// The caller is gone.
    Cancel,
}

/// Every event with its name in the chart, in the order of the enum.
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

/// States that prove that the request did not run.
const NOT_RUN_STATES: [&str; 4] = ["received", "queued", "refused_not_run", "cancelled_not_run"];
/// States entered because the caller left.
const CANCELLED_STATES: [&str; 2] = ["cancelled_not_run", "cancelled"];

/// What is known about a request.
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
struct LifeChart {
    chart: CompiledChart,
    events: Vec<EventId>,
    statements: Vec<(StateId, ExecutionStatus, bool)>,
}

static LIFE_CHART: OnceLock<Result<LifeChart, String>> = OnceLock::new();

impl LifeChart {
    fn compile() -> Result<Self, ChartError> {
        let chart = CompiledChart::parse(REQUEST_CHART)?;
        let events = LIFECYCLE_EVENTS.iter().map(|(_, name)| chart.event(name));
        let events = events.collect::<Result<Vec<_>, _>>()?;
        let mut statements = Vec::new();
        for name in chart.state_names() {
            let statement = match name.as_str() {
                "finished" => ExecutionStatus::Finished,
                name if NOT_RUN_STATES.contains(&name) => ExecutionStatus::KnownNotRun,
                _ => ExecutionStatus::OutcomeUnknown,
            };
            let cancelled = CANCELLED_STATES.contains(&name.as_str());
            statements.push((chart.state(name)?, statement, cancelled));
        }
        for name in NOT_RUN_STATES.iter().chain(&CANCELLED_STATES) {
            chart.state(name)?;
        }
        statements.sort_by_key(|entry| entry.0);
        Ok(Self { chart, events, statements })
    }

    fn compiled() -> Result<&'static Self, ChartError> {
        let make = || Self::compile().map_err(|error| error.to_string());
        LIFE_CHART.get_or_init(make).as_ref().map_err(|text| ChartError::Invalid(text.clone()))
    }
}

/// Life cycle of one request.
#[derive(Clone, Debug)]
pub struct RequestLifecycle {
    chart: &'static LifeChart,
    state: StateId,
}

impl RequestLifecycle {
    /// A request that was just received; fails when the embedded chart is faulty.
    ///
    /// ```
    /// use baobabfall_core::request_life::{LifecycleEvent, ExecutionStatus, RequestLifecycle};
    /// let mut life = RequestLifecycle::begin().unwrap();
    /// life.advance(LifecycleEvent::Admit).unwrap();
    /// assert_eq!(life.execution_status(), ExecutionStatus::KnownNotRun);
    /// life.advance(LifecycleEvent::Dispatch).unwrap();
    /// assert_eq!(life.execution_status(), ExecutionStatus::OutcomeUnknown);
    /// ```
    pub fn begin() -> Result<Self, ChartError> {
        let chart = LifeChart::compiled()?;
        Ok(Self { chart, state: chart.chart.initial() })
    }

    /// Moves to the state that follows on `event`.
    pub fn advance(&mut self, event: LifecycleEvent) -> Result<(), ChartError> {
        self.state = self.chart.chart.step(self.state, self.chart.events[event as usize])?;
        Ok(())
    }

    fn entry(&self) -> Option<&(StateId, ExecutionStatus, bool)> {
        let position = self.chart.statements.binary_search_by_key(&self.state, |entry| entry.0);
        position.ok().and_then(|index| self.chart.statements.get(index))
    }

    /// What is known about the request now.
    pub fn execution_status(&self) -> ExecutionStatus {
        self.entry().map_or(ExecutionStatus::OutcomeUnknown, |entry| entry.1)
    }

    /// True once the caller left before the end.
    pub fn is_cancelled(&self) -> bool {
        self.entry().is_some_and(|entry| entry.2)
    }

    /// True once nothing more can happen.
    pub fn is_final(&self) -> bool {
        self.chart.chart.is_final(self.state)
    }

    /// Name of the state in the chart.
    pub fn state_name(&self) -> &str {
        self.chart.chart.state_name(self.state)
    }

    /// The kind to answer with so that "not run" is claimed only if proven.
    ///
    /// ```
    /// use baobabfall_core::error_kind::ErrorKind;
    /// use baobabfall_core::request_life::{LifecycleEvent, RequestLifecycle};
    /// let mut life = RequestLifecycle::begin().unwrap();
    /// for event in [LifecycleEvent::Admit, LifecycleEvent::Dispatch, LifecycleEvent::Retry] {
    ///     life.advance(event).unwrap();
    /// }
    /// assert_eq!(life.provable_kind(ErrorKind::QueueFull), ErrorKind::UpstreamFailed);
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
