//! Experiment `failover`: the leader is killed under load. Measures the time
//! until a new leader dispatches, the service in between and the gap.

use crate::call_route::AddressRoute;
use crate::error::BenchError;
use crate::experiment::{ExperimentResult, TargetBound};
use crate::gap_measure::{BoundTerms, ServiceSample, measure_gap};
use crate::load::{CostMix, LoadPlan, LoadTally, RunningLoad, start_closed_loop, to_float};
use crate::options::BenchOptions;
use crate::scene::{Scene, ScenePlan, SceneWorkspace};
use std::time::Duration;
use tokio::time::Instant;

/// Loads: requests that end often, and requests of the length at the target
/// size, where 890,000 tokens/s in 2,800 requests/s are 318 tokens each.
const LOADS: [(&str, CostMix, Duration); 2] = [
    ("short", CostMix { low: 10, high: 400, exponent: 1.1 }, Duration::from_millis(10)),
    ("usual", CostMix { low: 100, high: 2000, exponent: 1.1 }, Duration::from_millis(20)),
];
const ROUTERS: usize = 11;
const ENGINES: usize = 6;
const SLOTS: u32 = 8;
const CONCURRENCY: u32 = 24;
const CALLERS: usize = 30;
const WEIGHTS: [u32; 8] = [4, 2, 2, 1, 1, 1, 1, 1];
/// Time of undisturbed load before each kill, over which the usual rate is measured.
const STEADY_TIME: Duration = Duration::from_secs(3);
/// Time after which a fleet that does not dispatch again has failed the round.
const ROUND_LIMIT: Duration = Duration::from_secs(20);
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Targets of section 1.4 of the design.
const RESUME_LIMIT_SECONDS: f64 = 2.0;
const LEADER_LIMIT_SECONDS: f64 = 3.0;
const SERVED_SHARE: f64 = 0.9;

fn plan(options: &BenchOptions, costs: CostMix, token_interval: Duration) -> ScenePlan {
    let workspace =
        |weight| SceneWorkspace { weight, ..SceneWorkspace::new(CONCURRENCY, CALLERS, costs) };
    let workspaces = WEIGHTS.into_iter().map(workspace).collect();
    ScenePlan {
        limits: "queue_wait = \"60s\"".to_owned(),
        engines: ENGINES,
        slots: SLOTS,
        token_interval,
        ..ScenePlan::new(options.seed, ROUTERS, workspaces)
    }
}

/// One kill of the leader.
#[derive(Clone, Copy, Debug, Default)]
struct FailoverRound {
    leader: f64,
    resumed: f64,
    served: f64,
    gap_ratio: f64,
}

/// Runs the experiment.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("failover", options.seed);
    for (name, costs, interval) in LOADS {
        let scene = Scene::start(plan(options, costs, interval)).await?;
        run_load(options, scene, name, &mut result).await?;
    }
    Ok(result)
}

async fn run_load(
    options: &BenchOptions,
    mut scene: Scene,
    name: &str,
    result: &mut ExperimentResult,
) -> Result<(), BenchError> {
    let mut load = LoadPlan::new(name, options.seed, scene.plan.loads());
    load.routers = ROUTERS;
    load.hide_costs = true;
    load.ramp = STEADY_TIME.mul_f64(0.5);
    let running = start_closed_loop(&load, &AddressRoute::new(scene.fleet.caller_addresses()));
    tokio::time::sleep(STEADY_TIME).await;
    let mut rounds = Vec::new();
    for _ in 0..options.sized(3, 20) {
        rounds.push(kill_leader(&mut scene, &running).await?);
    }
    let counts = running.stop(Duration::ZERO).await.counts();
    scene.end().await?;
    let failed = counts.total() - counts.complete - counts.not_run;
    let kills = to_float(u64::try_from(rounds.len()).unwrap_or(0));
    result.figure(format!("{name}_kills"), kills, "kills");
    result.figure(format!("{name}_calls"), to_float(counts.total()), "calls");
    result.figure(format!("{name}_calls_not_run"), to_float(counts.not_run), "calls");
    let worst = |value: fn(&FailoverRound) -> f64| rounds.iter().map(value).fold(0.0, f64::max);
    let least = rounds.iter().map(|round| round.served).fold(f64::INFINITY, f64::min);
    let (leader, resumed) = (worst(|held| held.leader), worst(|held| held.resumed));
    let gap = worst(|held| held.gap_ratio);
    for (target, value, unit, bound) in [
        ("calls_failed", to_float(failed), "calls", TargetBound::AtMost(0.0)),
        ("new_leader", leader, "s", TargetBound::AtMost(LEADER_LIMIT_SECONDS)),
        ("resumed", resumed, "s", TargetBound::AtMost(RESUME_LIMIT_SECONDS)),
        ("served_meanwhile", least, "ratio", TargetBound::AtLeast(SERVED_SHARE)),
        ("gap_of_bound", gap, "ratio", TargetBound::AtMost(1.0)),
    ] {
        result.target(format!("{name}_{target}"), value, unit, bound);
    }
    Ok(())
}

/// Kills the leader, waits until the fleet dispatches again and restarts the controller.
async fn kill_leader(
    scene: &mut Scene,
    running: &RunningLoad,
) -> Result<FailoverRound, BenchError> {
    let tally = running.tally();
    let usual = steady_rate(tally).await;
    let Some(old) = scene.fleet.leader() else {
        return Err(BenchError::Fleet("no controller leads before the kill".to_owned()));
    };
    tally.reset_samples();
    let (begin, tokens) = (Instant::now(), tally.tokens());
    scene.fleet.kill_controller(old).await?;
    let mut round = FailoverRound::default();
    let (mut is_led, mut was_local) = (false, false);
    loop {
        if !is_led && scene.fleet.leader().is_some() {
            is_led = true;
            round.leader = begin.elapsed().as_secs_f64();
        }
        let local = scene.fleet.routers().any(|router| router.is_local());
        was_local |= local;
        // A new leader dispatches once no router needs its local mode any more.
        if is_led && !local {
            break;
        }
        if begin.elapsed() > ROUND_LIMIT {
            return Err(BenchError::Fleet("dispatch did not resume after the kill".to_owned()));
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    round.resumed = begin.elapsed().as_secs_f64();
    round.served = to_float(tally.tokens() - tokens) / round.resumed / usual;
    log::info!("leader {old} killed; routers were in local mode: {was_local}");
    round.gap_ratio = gap_ratio(&scene.plan, &tally.samples(), usual, round.resumed);
    scene.fleet.restart_controller(old).await?;
    Ok(round)
}

async fn steady_rate(tally: &LoadTally) -> f64 {
    let (begin, tokens) = (Instant::now(), tally.tokens());
    tokio::time::sleep(STEADY_TIME).await;
    to_float(tally.tokens() - tokens) / begin.elapsed().as_secs_f64()
}

/// The gap divided by the bound for a lost dispatcher, `normal + R T (1/w_i + 1/w_j)`.
///
/// `K_i (L + r d) + R T` takes the place of `K_i (L + r d)` for each workspace.
fn gap_ratio(plan: &ScenePlan, samples: &[ServiceSample], rate: f64, lost: f64) -> f64 {
    let largest = plan.workspaces.iter().map(|workspace| workspace.costs.high).max();
    let excess = to_float(largest.unwrap_or(0)) + 0.1 / plan.token_interval.as_secs_f64();
    let terms: Vec<BoundTerms> = plan
        .workspaces
        .iter()
        .map(|workspace| BoundTerms {
            weight: f64::from(workspace.weight),
            concurrency: f64::from(workspace.concurrency)
                + rate * lost.min(RESUME_LIMIT_SECONDS) / excess,
        })
        .collect();
    measure_gap(samples, &terms, excess).ratio
}
