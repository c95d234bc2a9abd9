//! Checked options of one experiment.

use crate::cli::BaobabfallBench;
use crate::error::BenchError;
use std::time::Duration;

/// Seed when none is given.
const SEED_DEFAULT: u64 = 1;
/// Most worker threads of callers and upstreams; the machine is shared.
const WORKERS_LIMIT: usize = 6;

macro_rules! experiments {
    ($($name:ident $text:literal,)*) => {
        /// Every experiment.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum ExperimentName {
            $(#[doc = $text] $name,)*
        }

        /// Names of the experiments on the command line.
        pub const EXPERIMENTS: &[(&str, ExperimentName)] =
            &[$(($text, ExperimentName::$name),)*];
    };
}

experiments! {
    Latency "latency",
    Integrity "integrity",
    Drain "drain",
    Fairness "fairness",
    Utilisation "utilisation",
    Flood "flood",
    Failover "failover",
    Control "control",
    Config "config",
    Recovery "recovery",
    Actions "actions",
    Slopes "slopes",
    Origins "origins",
    Leader "leader",
    Departures "departures",
    Crowded "crowded",
}

/// What to run and how.
#[derive(Clone, Debug)]
pub struct BenchOptions {
    /// The experiment.
    pub experiment: ExperimentName,
    /// Seed of load and faults.
    pub seed: u64,
    /// Prints JSON.
    pub json: bool,
    /// Runs the full counts.
    pub full: bool,
}

impl BenchOptions {
    /// Checks the arguments.
    pub fn build(arguments: BaobabfallBench) -> Result<Self, BenchError> {
        let found = EXPERIMENTS.iter().find(|(name, _)| *name == arguments.experiment);
        let Some((_, experiment)) = found else {
            let names: Vec<&str> = EXPERIMENTS.iter().map(|(name, _)| *name).collect();
            return Err(BenchError::Usage(format!(
                "{:?} is not an experiment; give one of {}.",
                arguments.experiment,
                names.join(", ")
            )));
        };
        Ok(Self {
            experiment: *experiment,
            seed: arguments.seed.unwrap_or(SEED_DEFAULT),
            json: arguments.json,
            full: arguments.full,
        })
    }

    /// Threads of the runtime that runs callers and upstreams.
    pub fn worker_threads(&self) -> usize {
        std::thread::available_parallelism()
            .map_or(1, |count| (count.get() / 2).max(1))
            .min(WORKERS_LIMIT)
    }

    /// `full` with `--full`, else `quick`.
    pub fn sized<T>(&self, quick: T, full: T) -> T {
        if self.full { full } else { quick }
    }

    /// Length of a phase in seconds, by size.
    pub fn seconds(&self, quick: u64, full: u64) -> Duration {
        Duration::from_secs(self.sized(quick, full))
    }
}
