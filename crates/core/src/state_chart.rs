//! State machines compiled from the SCXML charts in `charts/*.scxml`.
//!
//! A chart is parsed and validated once, then compiled to a dense table from
//! (state, event) to the next state, so a step on the request path takes one array
//! lookup.

use thiserror::Error;

/// SCXML source of the life cycle of a request.
pub const REQUEST_CHART: &str = include_str!("../charts/request.scxml");
/// SCXML source of the life cycle of a protected action.
pub const ACTION_CHART: &str = include_str!("../charts/action.scxml");
/// SCXML source of the roles of a replica.
pub const REPLICA_CHART: &str = include_str!("../charts/replica.scxml");

/// Index of a state in the sorted state names of its chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StateId(u16);

/// Index of an event in the sorted event names of its chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventId(u16);

/// Error of parsing a chart or of a step in it.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ChartError {
    /// The chart is not valid SCXML, or a transition has no event or no target.
    #[error("The state chart cannot be read: {0}")]
    Invalid(String),
    /// The chart has no state or event of this name, or a state has no bound value.
    #[error("The state chart has no state or event named {0}.")]
    UnknownName(String),
    /// The state has no transition for the event.
    #[error("State {state} does not accept event {event}.")]
    UnknownTransition {
        /// Name of the state.
        state: String,
        /// Name of the event.
        event: String,
    },
}

/// A state machine compiled from a chart; see the module documentation.
#[derive(Clone, Debug)]
pub struct CompiledChart {
    states: Vec<String>,
    final_states: Vec<bool>,
    events: Vec<String>,
    /// Target of each transition, by state and then by event.
    targets: Vec<Option<StateId>>,
    initial: StateId,
}

impl CompiledChart {
    /// Parses and compiles an SCXML chart without nested states.
    ///
    /// ```
    /// use baobabfall_core::state_chart::{CompiledChart, REQUEST_CHART};
    /// let chart = CompiledChart::parse(REQUEST_CHART).unwrap();
    /// let queued = chart.step(chart.initial(), chart.event("admit").unwrap()).unwrap();
    /// assert_eq!(chart.state_name(queued), "queued");
    /// ```
    pub fn parse(source: &str) -> Result<Self, ChartError> {
        let parsed =
            scxml::parse_xml(source).map_err(|error| ChartError::Invalid(error.to_string()))?;
        scxml::validate(&parsed).map_err(|error| ChartError::Invalid(error.to_string()))?;
        let mut states: Vec<String> = parsed.states.iter().map(|s| s.id.to_string()).collect();
        states.sort();
        let mut events: Vec<String> = parsed
            .states
            .iter()
            .flat_map(|state| &state.transitions)
            .filter_map(|transition| transition.event.as_ref().map(ToString::to_string))
            .collect();
        events.sort();
        events.dedup();
        let mut chart = Self {
            final_states: vec![false; states.len()],
            targets: vec![None; states.len() * events.len()],
            initial: StateId(0),
            states,
            events,
        };
        for state in &parsed.states {
            let from = chart.state(&state.id)?;
            chart.final_states[usize::from(from.0)] = state.transitions.is_empty();
            for transition in &state.transitions {
                let (Some(event), Some(target)) =
                    (transition.event.as_ref(), transition.targets.first())
                else {
                    let id = state.id.to_string();
                    return Err(ChartError::Invalid(format!(
                        "a transition of {id} has no event or no target"
                    )));
                };
                let index = chart.index(from, chart.event(event)?);
                chart.targets[index] = Some(chart.state(target)?);
            }
        }
        chart.initial = chart.state(&parsed.initial)?;
        Ok(chart)
    }

    fn index(&self, state: StateId, event: EventId) -> usize {
        usize::from(state.0) * self.events.len() + usize::from(event.0)
    }

    /// State in which the chart starts.
    pub fn initial(&self) -> StateId {
        self.initial
    }

    /// Looks up a state by its name in the chart.
    pub fn state(&self, name: &str) -> Result<StateId, ChartError> {
        let found = self.states.binary_search_by(|known| known.as_str().cmp(name)).ok();
        found
            .and_then(|index| u16::try_from(index).ok())
            .map(StateId)
            .ok_or_else(|| ChartError::UnknownName(name.to_owned()))
    }

    /// Looks up an event by its name in the chart.
    pub fn event(&self, name: &str) -> Result<EventId, ChartError> {
        let found = self.events.binary_search_by(|known| known.as_str().cmp(name)).ok();
        found
            .and_then(|index| u16::try_from(index).ok())
            .map(EventId)
            .ok_or_else(|| ChartError::UnknownName(name.to_owned()))
    }

    /// Name of a state in the chart.
    pub fn state_name(&self, state: StateId) -> &str {
        &self.states[usize::from(state.0)]
    }

    /// True when no transition leaves the state.
    pub fn is_final(&self, state: StateId) -> bool {
        self.final_states[usize::from(state.0)]
    }

    /// All state names, sorted.
    pub fn state_names(&self) -> &[String] {
        &self.states
    }

    /// All event names, sorted.
    pub fn event_names(&self) -> &[String] {
        &self.events
    }

    /// Returns the state to which `event` leads from `state`, or an error if `state`
    /// has no transition for it.
    pub fn step(&self, state: StateId, event: EventId) -> Result<StateId, ChartError> {
        self.targets[self.index(state, event)].ok_or_else(|| ChartError::UnknownTransition {
            state: self.state_name(state).to_owned(),
            event: self.events[usize::from(event.0)].clone(),
        })
    }
}
