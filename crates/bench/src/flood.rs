//! Experiment `flood`: one workspace sends 100 times its share; the others keep theirs.

use crate::call_route::AddressRoute;
use crate::error::BenchError;
use crate::experiment::{ExperimentResult, TargetBound};
use crate::fairness::bound_terms;
use crate::gap_measure::measure_gap;
use crate::load::{CostMix, LoadPlan, LoadTally, start_closed_loop, to_float};
use crate::options::BenchOptions;
use crate::scene::{Scene, ScenePlan, SceneWorkspace};
use std::sync::Arc;
use std::time::Duration;

const COSTS: CostMix = CostMix { low: 10, high: 400, exponent: 1.1 };
const TOKEN_INTERVAL: Duration = Duration::from_millis(5);
const ROUTERS: usize = 11;
const ENGINES: usize = 4;
const SLOTS: u32 = 8;
const CONCURRENCY: u32 = 16;
/// Slots per workspace are four; eight callers keep each one backlogged.
const CALLERS: usize = 8;
const WORKSPACES: usize = 8;
/// 100 times the callers that a workspace needs to use its four slots.
const FLOOD_CALLERS: usize = 400;
/// Requests of the flood that may wait; the rest is refused.
const FLOOD_QUEUE: u32 = 200;
const WARM_UP: Duration = Duration::from_secs(2);

fn plan(options: &BenchOptions, flood: bool) -> ScenePlan {
    let usual = SceneWorkspace::new(CONCURRENCY, CALLERS, COSTS);
    let mut workspaces = vec![usual; WORKSPACES];
    if flood {
        workspaces[0].callers = FLOOD_CALLERS;
    }
    workspaces[0].queue_length = FLOOD_QUEUE;
    ScenePlan {
        limits: "queue_wait = \"60s\"".to_owned(),
        engines: ENGINES,
        slots: SLOTS,
        token_interval: TOKEN_INTERVAL,
        ..ScenePlan::new(options.seed, ROUTERS, workspaces)
    }
}

/// Runs the experiment.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("flood", options.seed);
    let scene = Scene::start(plan(options, false)).await?;
    let calm = measure(options, &scene, &plan(options, false), "calm").await;
    let flooded = measure(options, &scene, &plan(options, true), "flood").await;
    scene.end().await?;
    let (calm_least, _) = shares(&calm.0);
    let (flood_least, flooder) = shares(&flooded.0);
    result.baseline("least_service_without_flood", calm_least, "of share");
    result.figure("least_service_with_flood", flood_least, "of share");
    result.figure("service_of_the_flood", flooder, "of share");
    let counts = flooded.1.counts();
    result.figure("calls", to_float(counts.total()), "calls");
    result.figure("refused_as_not_run", to_float(counts.not_run), "calls");
    let excess = to_float(COSTS.high) + 0.1 / TOKEN_INTERVAL.as_secs_f64();
    let gap = measure_gap(&flooded.0, &bound_terms(&plan(options, true)), excess);
    result.figure("gap", gap.gap, "tokens");
    result.target("gap_of_bound", gap.ratio, "ratio", TargetBound::AtMost(1.0));
    let wrong = counts.total() - counts.complete - counts.not_run;
    result.target("calls_failed", to_float(wrong), "calls", TargetBound::AtMost(0.0));
    Ok(result)
}

async fn measure(
    options: &BenchOptions,
    scene: &Scene,
    plan: &ScenePlan,
    name: &str,
) -> (Vec<Vec<f64>>, Arc<LoadTally>) {
    let mut load = LoadPlan::new(name, options.seed, plan.loads());
    load.routers = ROUTERS;
    load.hide_costs = true;
    load.ramp = WARM_UP.mul_f64(0.5);
    let running = start_closed_loop(&load, &AddressRoute::new(scene.fleet.caller_addresses()));
    tokio::time::sleep(WARM_UP).await;
    running.tally().reset_samples();
    tokio::time::sleep(options.seconds(8, 60)).await;
    let samples = running.tally().samples();
    (samples, running.stop(Duration::ZERO).await)
}

/// Service of the least served workspace and of the first one, relative to an equal share.
fn shares(samples: &[Vec<f64>]) -> (f64, f64) {
    let (Some(first), Some(last)) = (samples.first(), samples.last()) else {
        return (f64::NAN, f64::NAN);
    };
    let service: Vec<f64> = last.iter().zip(first).map(|(end, start)| end - start).collect();
    let share = service.iter().sum::<f64>() / f64::from(u32::try_from(service.len()).unwrap_or(1));
    let least = service.iter().skip(1).copied().fold(f64::INFINITY, f64::min);
    (least / share, service[0] / share)
}
