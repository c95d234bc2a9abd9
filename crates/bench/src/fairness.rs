//! Experiments `fairness` and `utilisation`: backlogged workspaces of unequal
//! size through the fleet, and the same load through two baselines.

use crate::call_route::{AddressRoute, CallRoute};
use crate::central_queue::{CentralQueue, LoneRouters, UpstreamSlots, WorkspaceShare};
use crate::error::BenchError;
use crate::experiment::{ExperimentResult, TargetBound};
use crate::gap_measure::{BoundTerms, GapFigures, measure_gap};
use crate::load::{CostMix, LoadPlan, LoadTally, PROMPT_TOKEN_COST, start_closed_loop, to_float};
use crate::options::BenchOptions;
use crate::scene::{Scene, ScenePlan, SceneWorkspace};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Heavy tails: the largest request costs 100 times the smallest.
const COSTS: CostMix = CostMix { low: 10, high: 1000, exponent: 1.1 };
const PROMPT_BYTES: usize = 64;
const PROMPT_TOKENS: f64 = 16.0;
const ENGINES: usize = 9;
const SLOTS: u32 = 8;
const TOKEN_INTERVAL: Duration = Duration::from_millis(5);
/// Interval of the reports of running streams, of the bound in section 6.2 of the design.
const REPORT_SECONDS: f64 = 0.1;
/// Weights and callers of the workspaces; a few are large.
const WORKSPACES: [(u32, usize); 16] = [
    (8, 120),
    (4, 90),
    (4, 60),
    (2, 40),
    (2, 40),
    (1, 30),
    (1, 30),
    (1, 30),
    (1, 30),
    (1, 30),
    (1, 30),
    (1, 30),
    (1, 30),
    (1, 30),
    (1, 30),
    (1, 30),
];
const CONCURRENCY: u32 = 24;
/// Time in which queues fill, before service is compared.
const WARM_UP: Duration = Duration::from_secs(2);

/// Targets of section 1.4 of the design.
const GAP_OF_CENTRAL: f64 = 1.25;
const UTILISATION_OF_CENTRAL: f64 = 0.98;

fn plan(options: &BenchOptions, routers: usize) -> ScenePlan {
    let workspace = |(weight, callers): (u32, usize)| SceneWorkspace {
        weight,
        concurrency: CONCURRENCY,
        callers,
        costs: COSTS,
    };
    ScenePlan {
        seed: options.seed,
        controllers: 3,
        routers,
        workspaces: WORKSPACES.into_iter().map(workspace).collect(),
        limits: "queue_wait = \"60s\"".to_owned(),
        engines: ENGINES,
        services: 0,
        slots: SLOTS,
        token_interval: TOKEN_INTERVAL,
        service_time: Duration::ZERO,
        record_executions: false,
    }
}

/// What one way of dispatching gave.
#[derive(Clone, Copy, Debug)]
struct ShareFigures {
    gap: GapFigures,
    /// Tokens per second of all workspaces.
    rate: f64,
}

/// Figures of the fleet and of both baselines.
#[derive(Clone, Copy, Debug)]
struct ShareComparison {
    fleet: ShareFigures,
    central: ShareFigures,
    lone: ShareFigures,
}

/// Runs the experiment `fairness`.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("fairness", options.seed);
    for routers in [11, 22, 44] {
        let shares = compare(options, routers).await?;
        result.figure(format!("gap_{routers}"), shares.fleet.gap.gap, "tokens");
        result.baseline(format!("gap_{routers}_central_queue"), shares.central.gap.gap, "tokens");
        result.baseline(format!("gap_{routers}_lone_routers"), shares.lone.gap.gap, "tokens");
        let name = format!("gap_{routers}_of_bound");
        result.target(name, shares.fleet.gap.ratio, "ratio", TargetBound::AtMost(1.0));
        let ratio = shares.fleet.gap.gap / shares.central.gap.gap;
        let bound = TargetBound::AtMost(GAP_OF_CENTRAL);
        result.target(format!("gap_{routers}_of_central_queue"), ratio, "ratio", bound);
    }
    Ok(result)
}

/// Runs the experiment `utilisation`.
pub async fn run_utilisation(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("utilisation", options.seed);
    for routers in [11, 44] {
        let shares = compare(options, routers).await?;
        result.figure(format!("rate_{routers}"), shares.fleet.rate, "tokens/s");
        result.baseline(format!("rate_{routers}_central_queue"), shares.central.rate, "tokens/s");
        result.baseline(format!("rate_{routers}_lone_routers"), shares.lone.rate, "tokens/s");
        let ratio = shares.fleet.rate / shares.central.rate;
        let bound = TargetBound::AtLeast(UTILISATION_OF_CENTRAL);
        result.target(format!("rate_{routers}_of_central_queue"), ratio, "ratio", bound);
    }
    Ok(result)
}

async fn compare(options: &BenchOptions, routers: usize) -> Result<ShareComparison, BenchError> {
    let scene = Scene::start(plan(options, routers)).await?;
    let slots: Vec<UpstreamSlots> = scene
        .engines
        .iter()
        .map(|engine| UpstreamSlots { address: engine.address(), slots: SLOTS })
        .collect();
    let shares: Vec<WorkspaceShare> = scene
        .plan
        .workspaces
        .iter()
        .map(|workspace| WorkspaceShare {
            weight: f64::from(workspace.weight),
            concurrency: workspace.concurrency,
        })
        .collect();
    let central = CentralQueue::new(slots.clone(), &shares);
    let central = measure(options, &scene.plan, "central", &central).await?;
    let lone = LoneRouters::new(&slots, routers);
    let lone = measure(options, &scene.plan, "lone", &lone).await?;
    let fleet = AddressRoute::new(scene.fleet.caller_addresses());
    let fleet = measure(options, &scene.plan, "fleet", &fleet).await?;
    scene.end().await?;
    Ok(ShareComparison { fleet, central, lone })
}

async fn measure<R: CallRoute>(
    options: &BenchOptions,
    plan: &ScenePlan,
    name: &str,
    route: &R,
) -> Result<ShareFigures, BenchError> {
    let mut load = LoadPlan::new(format!("{name}-{}", plan.routers), options.seed, plan.loads());
    load.routers = plan.routers;
    load.prompt_bytes = PROMPT_BYTES;
    load.ramp = WARM_UP.mul_f64(0.5);
    let running = start_closed_loop(&load, route);
    tokio::time::sleep(WARM_UP).await;
    let (begin, tokens) = (Instant::now(), running.tally().tokens());
    running.tally().reset_samples();
    tokio::time::sleep(options.seconds(4, 60)).await;
    let rate = to_float(running.tally().tokens() - tokens) / begin.elapsed().as_secs_f64();
    let samples = running.tally().samples();
    // Calls in progress are dropped; their service is of no interest.
    let tally = running.stop(Duration::ZERO).await;
    all_right(name, &tally)?;
    let terms: Vec<BoundTerms> = plan
        .workspaces
        .iter()
        .map(|workspace| BoundTerms {
            weight: f64::from(workspace.weight),
            concurrency: f64::from(workspace.concurrency),
        })
        .collect();
    let largest = PROMPT_TOKENS * PROMPT_TOKEN_COST + to_float(COSTS.high);
    let streamed = REPORT_SECONDS / TOKEN_INTERVAL.as_secs_f64();
    let gap = measure_gap(&samples, &terms, largest + streamed);
    Ok(ShareFigures { gap, rate })
}

fn all_right(name: &str, tally: &Arc<LoadTally>) -> Result<(), BenchError> {
    let counts = tally.counts();
    if counts.complete > 0 && counts.complete == counts.total() {
        return Ok(());
    }
    Err(BenchError::Empty(format!("phase {name} had calls that failed: {counts:?}")))
}
