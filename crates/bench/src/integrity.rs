//! Experiment `integrity`: calls under all faults of the upstreams, each answer
//! checked as a whole, and each "not run" checked at the upstreams.

use crate::call_route::AddressRoute;
use crate::error::BenchError;
use crate::experiment::{ExperimentResult, TargetBound};
use crate::load::{CallMix, CostMix, LoadPlan, VerdictCounts, start_closed_loop, to_float};
use crate::options::BenchOptions;
use crate::scene::{Scene, ScenePlan, SceneWorkspace};
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_standin::faults::FAULT_KINDS;
use baobabfall_standin::plain_service::is_protected;
use baobabfall_standin::upstream_state::ExecutionRecord;
use std::time::Duration;

/// Probability of each fault for each request that reaches an upstream.
const FAULT_PROBABILITY: f64 = 0.02;
const FAULT_DELAY: Duration = Duration::from_millis(100);
const CALLS_QUICK: u64 = 5000;
const CALLS_FULL: u64 = 100_000;
const COSTS: CostMix = CostMix { low: 5, high: 500, exponent: 1.2 };
/// Path of the calls that must not be repeated.
const ONCE_PATH: &str = "/notes";
/// Shorter than the default, so that stalled answers do not fill the run.
const LIMITS: &str = "answer_gap = \"1s\"\nqueue_wait = \"30s\"";

fn plan(options: &BenchOptions) -> ScenePlan {
    let workspace = SceneWorkspace::new(64, 16, COSTS);
    let workspaces = vec![workspace; 4];
    ScenePlan {
        limits: LIMITS.to_owned(),
        engines: 4,
        services: 3,
        slots: 16,
        service_time: Duration::from_millis(1),
        record_executions: true,
        ..ScenePlan::new(options.seed, 3, workspaces)
    }
}

/// Runs the experiment.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("integrity", options.seed);
    let scene = Scene::start(plan(options)).await?;
    let mut load = LoadPlan::new("integrity", options.seed, scene.plan.loads());
    load.mix = CallMix::All;
    load.routers = scene.plan.routers;
    load.calls = Some(options.sized(CALLS_QUICK, CALLS_FULL));
    set_faults(&scene, FAULT_PROBABILITY);
    let route = AddressRoute::new(scene.fleet.caller_addresses());
    let tally = start_closed_loop(&load, &route).finished().await;
    // Attempts that a router has given up may still run.
    set_faults(&scene, 0.0);
    tokio::time::sleep(FAULT_DELAY * 2).await;
    report_counts(&mut result, tally.counts());
    report_faults(&mut result, &scene);
    let records = scene.upstreams().flat_map(|held| held.execution_records()).collect();
    report_truth(&mut result, compare_truth(records, &tally.not_run_ids()));
    scene.end().await?;
    Ok(result)
}

fn set_faults(scene: &Scene, probability: f64) {
    for upstream in scene.upstreams() {
        upstream.faults().set_delay(FAULT_DELAY);
        FAULT_KINDS.iter().for_each(|kind| upstream.faults().set(*kind, probability));
    }
}

/// Adds the number of calls per verdict.
pub fn report_counts(result: &mut ExperimentResult, counts: VerdictCounts) {
    for (name, count) in [
        ("calls", counts.total()),
        ("complete", counts.complete),
        ("error_events", counts.error_event),
        ("broken", counts.broken),
        ("failed", counts.failed),
        ("not_run", counts.not_run),
    ] {
        result.figure(name, to_float(count), "calls");
    }
    for (name, count) in [
        ("wrong_answers", counts.wrong),
        ("silently_short_answers", counts.short),
        ("answers_after_the_limit", counts.timed_out),
    ] {
        result.target(name, to_float(count), "calls", TargetBound::AtMost(0.0));
    }
}

fn report_faults(result: &mut ExperimentResult, scene: &Scene) {
    for kind in FAULT_KINDS {
        let count: u64 = scene.upstreams().map(|upstream| upstream.faults().count(kind)).sum();
        result.figure(format!("faults_{kind:?}"), to_float(count), "requests");
    }
}

/// What the upstreams' records say about a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TruthCounts {
    /// Calls that ran although the caller was told that they did not.
    pub false_not_run: u64,
    /// Calls that must not be repeated and ran more than once.
    pub calls_run_twice: u64,
    /// Keys of protected actions that ran more than once.
    pub actions_run_twice: u64,
    /// Keys of protected actions that ran.
    pub actions_run: u64,
}

/// Compares what callers were told with what the upstreams ran.
pub fn compare_truth(mut records: Vec<ExecutionRecord>, not_run: &[String]) -> TruthCounts {
    let mut truth = TruthCounts::default();
    let mut executed: SortedMap<String, ()> = SortedMap::new();
    records.sort_by(|a, b| a.request_id.cmp(&b.request_id));
    for group in records.chunk_by(|a, b| a.request_id == b.request_id) {
        executed.insert(group[0].request_id.clone(), ());
        truth.calls_run_twice += u64::from(group.len() > 1 && group[0].path == ONCE_PATH);
    }
    let ran = |id: &&String| executed.contains_key(id.as_str());
    truth.false_not_run = whole(not_run.iter().filter(ran).count());
    let protected = records.iter().filter(|record| is_protected(&record.path));
    let mut keys: Vec<&str> = protected.filter_map(|record| record.key.as_deref()).collect();
    keys.sort_unstable();
    for group in keys.chunk_by(|a, b| a == b) {
        truth.actions_run += 1;
        truth.actions_run_twice += u64::from(group.len() > 1);
    }
    truth
}

fn whole(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

/// Adds what the upstreams' records say.
pub fn report_truth(result: &mut ExperimentResult, truth: TruthCounts) {
    let zero = TargetBound::AtMost(0.0);
    result.figure("actions_run", to_float(truth.actions_run), "actions");
    result.target("false_not_run", to_float(truth.false_not_run), "calls", zero);
    result.target("calls_run_twice", to_float(truth.calls_run_twice), "calls", zero);
    result.target("actions_run_twice", to_float(truth.actions_run_twice), "actions", zero);
}
