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
use baobabfall_node::operator_messages::{UPSTREAMS_PATH, UpstreamView};
use baobabfall_standin::UpstreamHandle;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Heavy tails: the largest request costs 100 times the smallest.
const COSTS: CostMix = CostMix { low: 10, high: 1000, exponent: 1.1 };
const PROMPT_BYTES: usize = 64;
const PROMPT_TOKENS: f64 = 16.0;
const ENGINES: usize = 9;
const SLOTS: u32 = 8;
/// Faster than real engines, so that a short run has many dispatches.
const TOKEN_INTERVAL: Duration = Duration::from_millis(5);
/// Pace of the engines that the design assumes; 26 ms between tokens is its target.
const ENGINE_INTERVAL: Duration = Duration::from_millis(20);
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

fn plan(options: &BenchOptions, routers: usize, token_interval: Duration) -> ScenePlan {
    let workspace = |(weight, callers): (u32, usize)| SceneWorkspace {
        weight,
        ..SceneWorkspace::new(CONCURRENCY, callers, COSTS)
    };
    let workspaces = WORKSPACES.into_iter().map(workspace).collect();
    ScenePlan {
        limits: "queue_wait = \"60s\"".to_owned(),
        engines: ENGINES,
        slots: SLOTS,
        token_interval,
        ..ScenePlan::new(options.seed, routers, workspaces)
    }
}

/// What one way of dispatching gave.
#[derive(Clone, Copy, Debug)]
struct ShareFigures {
    gap: GapFigures,
    /// Tokens per second of all workspaces.
    rate: f64,
    /// Requests that the engines of the fleet ran at the end.
    running: u32,
}

/// Runs the experiment `fairness`.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("fairness", options.seed);
    for routers in [11, 22, 44] {
        let shares = ShareBench::start(options, routers, TOKEN_INTERVAL).await?;
        let central = shares.measure("central", &shares.central(), true).await?;
        let lone = shares.measure("lone", &shares.lone(), true).await?;
        let hidden = shares.measure("hidden", &shares.fleet(), true).await?;
        let declared = shares.measure("declared", &shares.fleet(), false).await?;
        shares.scene.end().await?;
        result.baseline(format!("gap_{routers}_central_queue"), central.gap.gap, "tokens");
        result.baseline(format!("gap_{routers}_lone_routers"), lone.gap.gap, "tokens");
        for (costs, figures) in [("hidden_costs", hidden), ("declared_costs", declared)] {
            report_gap(&mut result, &format!("gap_{routers}_{costs}"), figures, central);
        }
    }
    Ok(result)
}

fn report_gap(
    result: &mut ExperimentResult,
    name: &str,
    fleet: ShareFigures,
    central: ShareFigures,
) {
    result.figure(name, fleet.gap.gap, "tokens");
    let bound = TargetBound::AtMost(1.0);
    result.target(format!("{name}_of_bound"), fleet.gap.ratio, "ratio", bound);
    let ratio = fleet.gap.gap / central.gap.gap;
    let bound = TargetBound::AtMost(GAP_OF_CENTRAL);
    result.target(format!("{name}_of_central_queue"), ratio, "ratio", bound);
}

/// Runs the experiment `utilisation`.
pub async fn run_utilisation(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("utilisation", options.seed);
    for (routers, interval) in [(11, TOKEN_INTERVAL), (11, ENGINE_INTERVAL), (44, ENGINE_INTERVAL)]
    {
        let shares = ShareBench::start(options, routers, interval).await?;
        let central = shares.measure("central", &shares.central(), true).await?;
        let lone = shares.measure("lone", &shares.lone(), true).await?;
        let fleet = shares.measure("fleet", &shares.fleet(), true).await?;
        let slots = shares.learnt_slots().await?;
        shares.scene.end().await?;
        let name = format!("rate_{routers}_at_{}ms", interval.as_millis());
        result.figure(format!("{name}_running"), f64::from(fleet.running), "requests");
        result.figure(format!("{name}_learnt_slots"), f64::from(slots), "slots");
        result.figure(&name, fleet.rate, "tokens/s");
        result.baseline(format!("{name}_central_queue"), central.rate, "tokens/s");
        result.baseline(format!("{name}_lone_routers"), lone.rate, "tokens/s");
        let bound = TargetBound::AtLeast(UTILISATION_OF_CENTRAL);
        let ratio = fleet.rate / central.rate;
        result.target(format!("{name}_of_central_queue"), ratio, "ratio", bound);
    }
    Ok(result)
}

/// One scene that is loaded in several ways.
struct ShareBench {
    options: BenchOptions,
    scene: Scene,
    baseline_engines: Vec<UpstreamHandle>,
    token_interval: Duration,
}

impl ShareBench {
    async fn start(
        options: &BenchOptions,
        routers: usize,
        token_interval: Duration,
    ) -> Result<Self, BenchError> {
        let scene = Scene::start(plan(options, routers, token_interval)).await?;
        let mut baseline_engines = Vec::new();
        for index in 0..ENGINES {
            baseline_engines.push(scene.start_baseline_engine(index).await?);
        }
        Ok(Self { options: options.clone(), scene, baseline_engines, token_interval })
    }

    fn slots(&self) -> Vec<UpstreamSlots> {
        let addresses = self.baseline_engines.iter().map(UpstreamHandle::address);
        addresses.map(|address| UpstreamSlots { address, slots: SLOTS }).collect()
    }

    fn central(&self) -> CentralQueue {
        let workspaces = self.scene.plan.workspaces.iter();
        let shares: Vec<WorkspaceShare> = workspaces
            .map(|workspace| WorkspaceShare {
                weight: f64::from(workspace.weight),
                concurrency: workspace.concurrency,
            })
            .collect();
        CentralQueue::new(self.slots(), &shares)
    }

    fn lone(&self) -> LoneRouters {
        LoneRouters::new(&self.slots(), self.scene.plan.routers)
    }

    fn fleet(&self) -> AddressRoute {
        AddressRoute::new(self.scene.fleet.caller_addresses())
    }

    async fn measure<R: CallRoute>(
        &self,
        name: &str,
        route: &R,
        hide_costs: bool,
    ) -> Result<ShareFigures, BenchError> {
        let plan = &self.scene.plan;
        let mut load = LoadPlan::new(name, self.options.seed, plan.loads());
        load.routers = plan.routers;
        load.prompt_bytes = PROMPT_BYTES;
        load.hide_costs = hide_costs;
        load.ramp = WARM_UP.mul_f64(0.5);
        let running = start_closed_loop(&load, route);
        tokio::time::sleep(WARM_UP).await;
        let (begin, tokens) = (Instant::now(), running.tally().tokens());
        running.tally().reset_samples();
        tokio::time::sleep(self.options.seconds(3, 60)).await;
        let rate = to_float(running.tally().tokens() - tokens) / begin.elapsed().as_secs_f64();
        let samples = running.tally().samples();
        let engines = self.scene.engines.iter();
        let in_engines = engines.map(|engine| engine.state().running()).sum();
        // Calls in progress are dropped; their service is of no interest.
        let tally = running.stop(Duration::ZERO).await;
        all_right(name, &tally)?;
        let gap = measure_gap(&samples, &bound_terms(plan), self.excess());
        Ok(ShareFigures { gap, rate, running: in_engines })
    }

    /// Slots that the dispatcher uses, of 72 announced ones.
    async fn learnt_slots(&self) -> Result<u32, BenchError> {
        let views: Vec<UpstreamView> =
            self.scene.fleet.operate::<(), _>(UPSTREAMS_PATH, None).await?;
        Ok(views.iter().map(|view| view.slots).sum())
    }

    /// `L + r d` of the bound, in tokens.
    fn excess(&self) -> f64 {
        let largest = PROMPT_TOKENS * PROMPT_TOKEN_COST + to_float(COSTS.high);
        largest + REPORT_SECONDS / self.token_interval.as_secs_f64()
    }
}

/// Parts of the bound of every workspace of a scene.
pub fn bound_terms(plan: &ScenePlan) -> Vec<BoundTerms> {
    let workspaces = plan.workspaces.iter();
    let terms = |workspace: &SceneWorkspace| BoundTerms {
        weight: f64::from(workspace.weight),
        concurrency: f64::from(workspace.concurrency),
    };
    workspaces.map(terms).collect()
}

fn all_right(name: &str, tally: &Arc<LoadTally>) -> Result<(), BenchError> {
    let counts = tally.counts();
    if counts.complete > 0 && counts.complete == counts.total() {
        return Ok(());
    }
    Err(BenchError::Empty(format!("phase {name} had calls that failed: {counts:?}")))
}
