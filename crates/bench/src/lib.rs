//! Load and experiments against the real baobabfall roles on loopback.

pub mod actions;
pub mod answer_check;
pub mod bound_callers;
pub mod call_route;
pub mod caller;
pub mod central_queue;
pub mod cli;
pub mod config;
pub mod control;
pub mod control_usage;
pub mod crowded;
pub mod departures;
pub mod drain;
pub mod error;
pub mod exchange_scene;
pub mod experiment;
pub mod failover;
pub mod fairness;
pub mod fleet;
pub mod fleet_files;
pub mod fleet_slopes;
pub mod flood;
pub mod gap_measure;
pub mod integrity;
pub mod latency;
pub mod leader;
pub mod load;
pub mod memory_slopes;
pub mod message_slopes;
pub mod options;
pub mod origins;
pub mod process_usage;
pub mod recovery;
pub mod restart_store;
pub mod role_thread;
pub mod router_model;
pub mod scene;
pub mod slope_fit;
pub mod slopes;
pub mod slow_core;

use cli::BaobabfallBench;
use error::BenchError;
use options::{BenchOptions, ExperimentName};

/// Runs the experiment that the arguments name and prints its result.
///
/// Returns whether every target is met.
pub fn run(arguments: BaobabfallBench) -> Result<bool, BenchError> {
    let options = BenchOptions::build(arguments)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.worker_threads())
        .enable_all()
        .build()?;
    let result = runtime.block_on(run_experiment(&options))?;
    if options.json {
        println!("{}", result.to_json_line());
    } else {
        print!("{}", result.to_table());
    }
    Ok(result.pass())
}

async fn run_experiment(
    options: &BenchOptions,
) -> Result<experiment::ExperimentResult, BenchError> {
    match options.experiment {
        ExperimentName::Latency => latency::run(options).await,
        ExperimentName::Integrity => integrity::run(options).await,
        ExperimentName::Drain => drain::run(options).await,
        ExperimentName::Fairness => fairness::run(options).await,
        ExperimentName::Utilisation => fairness::run_utilisation(options).await,
        ExperimentName::Flood => flood::run(options).await,
        ExperimentName::Failover => failover::run(options).await,
        ExperimentName::Control => control::run(options).await,
        ExperimentName::Config => config::run(options).await,
        ExperimentName::Recovery => recovery::run(options).await,
        ExperimentName::Actions => actions::run(options).await,
        ExperimentName::Slopes => slopes::run(options).await,
        ExperimentName::Origins => origins::run(options).await,
        ExperimentName::Leader => leader::run(options).await,
        ExperimentName::Crowded => crowded::run(options).await,
        ExperimentName::Departures => departures::run(options).await,
    }
}
