//! Experiment `slopes`: cost by size of everything that grows with the fleet.

use crate::error::BenchError;
use crate::experiment::ExperimentResult;
use crate::fleet_slopes::measure_fleets;
use crate::memory_slopes::{measure_controller_state, measure_routers};
use crate::message_slopes::{
    measure_announcements, measure_decisions, measure_messages, measure_scrapes,
};
use crate::options::BenchOptions;

/// Runs the experiment. Memory comes first, while nothing was freed yet.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("slopes", options.seed);
    let fleets = measure_routers(&mut result).await?;
    // Before the controller state, whose freed parts the instruments would use again.
    measure_scrapes(&mut result)?;
    measure_controller_state(&mut result)?;
    for fleet in fleets {
        fleet.end().await?;
    }
    measure_decisions(&mut result)?;
    measure_messages(&mut result)?;
    measure_announcements(&mut result).await?;
    measure_fleets(options, &mut result).await?;
    Ok(result)
}
