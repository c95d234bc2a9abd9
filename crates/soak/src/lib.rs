//! Randomized fault-injection test of the controller and router programs. It runs them as
//! separate processes, injects faults from outside, and checks what callers, operators and
//! upstreams observe.

pub mod cli;
pub mod error;
pub mod fault_proxy;
pub mod fault_schedule;
pub mod in_force_check;
pub mod invariant_check;
pub mod regression_seeds;
pub mod role_process;
pub mod soak_load;
pub mod soak_run;
pub mod soak_site;

use cli::BaobabfallSoak;
use error::SoakError;
use fault_schedule::{FaultStyle, SiteSize};
use invariant_check::SiteInvariant;
use regression_seeds::REGRESSION_SEEDS;
use soak_run::{RunOutcome, RunPlan, run_seed};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Default of the `--seconds` flag.
const DEFAULT_SECONDS: u64 = 16;

/// Runs the seeds that the flags select, prints a report for each, and returns true if every
/// invariant held.
pub fn run(flags: &BaobabfallSoak) -> Result<bool, SoakError> {
    let style = match (flags.lasting, flags.series) {
        (false, false) => FaultStyle::Dense,
        (true, false) => FaultStyle::Lasting,
        (false, true) => FaultStyle::Series,
        (true, true) => {
            return Err(SoakError::Usage("Use either --lasting or --series.".to_owned()));
        }
    };
    let (default_count, counts) = match style {
        FaultStyle::Dense | FaultStyle::Lasting => (3, &[3, 5][..]),
        FaultStyle::Series => (6, &[4, 5, 6, 7][..]),
    };
    let size = SiteSize {
        controllers: flags.controllers.unwrap_or(default_count),
        routers: flags.routers.unwrap_or(3),
        upstreams: flags.upstreams.unwrap_or(4),
    };
    if !counts.contains(&size.controllers) || size.routers == 0 || size.upstreams < 2 {
        let message = format!(
            "Use one of {counts:?} controllers, at least one router and at least two upstreams."
        );
        return Err(SoakError::Usage(message));
    }
    let programs = match &flags.programs {
        Some(folder) => folder.clone(),
        None => program_folder()?,
    };
    let span = Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS));
    let first = match flags.fresh {
        true => seed_from_clock(),
        false => flags.first_seed.unwrap_or(1),
    };
    let seeds: Vec<u64> = match flags.regressions {
        true => REGRESSION_SEEDS.iter().map(|(seed, _)| *seed).collect(),
        false => (first..first + flags.seeds.unwrap_or(1)).collect(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let mut failed = 0;
    for seed in seeds {
        let folder = tempfile::tempdir()?;
        let plan = RunPlan { seed, span, size, style, programs: &programs, folder: folder.path() };
        let outcome = match runtime.block_on(run_seed(plan)) {
            Ok(outcome) => outcome,
            Err(error) => {
                println!("seed {seed}: no result");
                keep_logs(folder, flags.keep.as_deref(), seed)?;
                return Err(error);
            }
        };
        print_outcome(&outcome);
        if !outcome.violations.is_empty() {
            failed += 1;
            keep_logs(folder, flags.keep.as_deref(), seed)?;
        }
    }
    println!("{} invariants checked; seeds with a violated one: {failed}", SiteInvariant::COUNT);
    Ok(failed == 0)
}

fn program_folder() -> Result<PathBuf, SoakError> {
    let program = std::env::current_exe()?;
    Ok(program.parent().map(Path::to_owned).unwrap_or_default())
}

fn seed_from_clock() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_secs()
}

fn keep_logs(folder: tempfile::TempDir, keep: Option<&Path>, seed: u64) -> Result<(), SoakError> {
    let Some(keep) = keep else { return Ok(()) };
    std::fs::create_dir_all(keep)?;
    let target = keep.join(format!("seed-{seed}"));
    let source = folder.keep();
    if std::fs::rename(&source, &target).is_err() {
        println!("  logs: {}", source.display());
        return Ok(());
    }
    println!("  logs: {}", target.display());
    Ok(())
}

fn print_outcome(outcome: &RunOutcome) {
    let RunOutcome { seed, faults, calls, executions, edits, isolated_stops, .. } = outcome;
    let recovery = match outcome.recovery_time {
        Some(time) => format!("works again after {} ms", time.as_millis()),
        None => "does not work again".to_owned(),
    };
    println!(
        "seed {seed}: {} faults, {calls} calls, {executions} executions, {edits} edits, \
         {isolated_stops} calm stops, {recovery}",
        faults.len()
    );
    let verdicts: Vec<String> =
        outcome.verdicts.iter().map(|(name, count)| format!("{name} {count}")).collect();
    println!("  {}", verdicts.join(", "));
    if outcome.violations.is_empty() {
        return;
    }
    for fault in faults {
        let end = fault.at + fault.duration;
        let (from, to) = (fault.at.as_millis(), end.as_millis());
        println!("  {from:>6} to {to:>6} ms  {}: {:?}", fault.kind.label(), fault.kind);
    }
    for violation in &outcome.violations {
        println!("  VIOLATED {violation}");
    }
}
