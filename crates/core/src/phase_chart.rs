//! A state chart whose states are bound to values of a type, usually the variants
//! of an enum.

use crate::state_chart::{ChartError, CompiledChart, StateId};

/// A compiled chart and the value that represents each of its states.
#[derive(Debug)]
pub struct PhaseChart<P> {
    chart: CompiledChart,
    phases: Vec<(P, StateId)>,
}

impl<P: Copy + PartialEq> PhaseChart<P> {
    /// Compiles the SCXML in `source` and binds each state to a value by name.
    ///
    /// ```
    /// use baobabfall_core::phase_chart::PhaseChart;
    /// use baobabfall_core::state_chart::ACTION_CHART;
    /// let names =
    ///     [(0, "running"), (1, "outcome_unknown"), (2, "resolved"), (3, "outcome_known"), (4, "released")];
    /// let chart = PhaseChart::parse(ACTION_CHART, &names).unwrap();
    /// assert_eq!(chart.step(0, "lease_end"), Ok(1));
    /// assert!(chart.step(3, "resolve").is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// Fails when the chart is invalid, when it has no state of a given name, or when
    /// a state has no value.
    pub fn parse(source: &str, names: &[(P, &str)]) -> Result<Self, ChartError> {
        let chart = CompiledChart::parse(source)?;
        let mut phases = Vec::with_capacity(names.len());
        for (phase, name) in names {
            phases.push((*phase, chart.state(name)?));
        }
        let unbound =
            chart.state_names().iter().find(|name| !names.iter().any(|(_, bound)| bound == name));
        match unbound {
            Some(name) => Err(ChartError::UnknownName(name.clone())),
            None => Ok(Self { chart, phases }),
        }
    }

    /// Returns the phase to which `event` leads from `phase`.
    ///
    /// # Errors
    ///
    /// Fails when the event is unknown or `phase` has no transition for it.
    pub fn step(&self, phase: P, event: &str) -> Result<P, ChartError> {
        let unknown = || ChartError::UnknownName(event.to_owned());
        let state = self.phases.iter().find(|bound| bound.0 == phase).ok_or_else(unknown)?.1;
        let next = self.chart.step(state, self.chart.event(event)?)?;
        self.phases.iter().find(|bound| bound.1 == next).map(|bound| bound.0).ok_or_else(unknown)
    }
}
