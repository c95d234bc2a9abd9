//! Experiment `drain`: planned stops of upstreams, routers and controllers
//! under load cut no request, and an upstream that leaves gets no new work.

use crate::call_route::AddressRoute;
use crate::error::BenchError;
use crate::experiment::{ExperimentResult, TargetBound};
use crate::integrity::report_counts;
use crate::load::{CallMix, CostMix, LoadPlan, start_closed_loop, to_float};
use crate::options::BenchOptions;
use crate::scene::{Scene, ScenePlan, SceneWorkspace};
use baobabfall_router::RouterHandle;
use std::time::Duration;

const STOPS_QUICK: u64 = 9;
const STOPS_FULL: u64 = 100;
const COSTS: CostMix = CostMix { low: 10, high: 200, exponent: 1.2 };
/// The notice is shorter than the default to fit more stops into a run.
const LIMITS: &str = "stop_notice = \"800ms\"\nqueue_wait = \"30s\"";
/// How often the simulated load balancer checks the health of routers.
const HEALTH_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a leaving upstream must get no new work, in seconds.
const LEAVE_LIMIT_SECONDS: f64 = 3.0;
/// Pause between stops.
const STOP_PAUSE: Duration = Duration::from_millis(300);
const STOP_GRACE: Duration = Duration::from_secs(60);

fn plan(options: &BenchOptions) -> ScenePlan {
    let workspace = SceneWorkspace::new(64, 10, COSTS);
    let workspaces = vec![workspace; 4];
    ScenePlan {
        limits: LIMITS.to_owned(),
        engines: 4,
        services: 3,
        slots: 16,
        token_interval: Duration::from_millis(5),
        service_time: Duration::from_millis(5),
        ..ScenePlan::new(options.seed, options.sized(4, 11), workspaces)
    }
}

/// Runs the experiment.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("drain", options.seed);
    let mut scene = Scene::start(plan(options)).await?;
    let mut load = LoadPlan::new("drain", options.seed, scene.plan.loads());
    load.mix = CallMix::All;
    load.routers = scene.plan.routers;
    let route = AddressRoute::new(scene.fleet.caller_addresses());
    let running = start_closed_loop(&load, &route);
    let mut stops = StopSeries::default();
    for number in 0..options.sized(STOPS_QUICK, STOPS_FULL) {
        tokio::time::sleep(STOP_PAUSE).await;
        stops.run_one(&mut scene, &route, number).await?;
    }
    let counts = running.stop(STOP_GRACE).await.counts();
    report_counts(&mut result, counts);
    let cut = counts.broken + counts.error_event + counts.failed;
    let zero = TargetBound::AtMost(0.0);
    result.target("requests_cut", to_float(cut), "calls", zero);
    result.target("stops_cut_at_upstreams", to_float(stops.cancelled), "requests", zero);
    result.figure("stops", to_float(stops.count), "stops");
    result.figure("started_while_leaving", to_float(stops.started_leaving), "requests");
    let latest = stops.latest_start.as_secs_f64();
    let bound = TargetBound::AtMost(LEAVE_LIMIT_SECONDS);
    result.target("latest_work_after_leaving", latest, "s", bound);
    scene.end().await?;
    Ok(result)
}

#[derive(Default)]
struct StopSeries {
    count: u64,
    cancelled: u64,
    started_leaving: u64,
    latest_start: Duration,
}

impl StopSeries {
    /// Stops and restarts one upstream, router or controller, in turn.
    async fn run_one(
        &mut self,
        scene: &mut Scene,
        route: &AddressRoute,
        number: u64,
    ) -> Result<(), BenchError> {
        self.count += 1;
        let turn = usize::try_from(number / 3).unwrap_or(0);
        match number % 3 {
            0 => self.stop_engine(scene, turn % scene.engines.len()).await,
            1 => stop_router(scene, route, turn % scene.plan.routers).await,
            _ => stop_controller(scene, turn % scene.plan.controllers).await,
        }
    }

    async fn stop_engine(&mut self, scene: &mut Scene, index: usize) -> Result<(), BenchError> {
        let engine = &mut scene.engines[index];
        engine.drain().await;
        self.cancelled += engine.counters().cancelled;
        self.started_leaving += engine.counters().started_leaving;
        if let Some(latest) = engine.state().latest_start_after_leaving() {
            self.latest_start = self.latest_start.max(latest);
        }
        scene.engines[index] = scene.start_engine(index).await?;
        scene.wait_ready().await
    }
}

async fn stop_router(
    scene: &mut Scene,
    route: &AddressRoute,
    index: usize,
) -> Result<(), BenchError> {
    if let Some(router) = scene.fleet.router(index) {
        router.begin_stop();
        // The load balancer checks health and takes the router out before it refuses work.
        while scene.fleet.router(index).is_some_and(is_healthy) {
            tokio::time::sleep(HEALTH_INTERVAL).await;
        }
        tokio::time::sleep(HEALTH_INTERVAL).await;
        let healthy = scene.fleet.routers().filter(|router| is_healthy(router));
        route.replace(healthy.map(RouterHandle::caller_address).collect());
    }
    scene.fleet.stop_router(index).await;
    scene.fleet.start_router(index).await?;
    scene.wait_ready().await?;
    for (upstream, handle) in scene.upstreams().enumerate() {
        handle.set_announce_addresses(&scene.fleet.announce_options(upstream).addresses);
    }
    route.replace(scene.fleet.caller_addresses());
    Ok(())
}

fn is_healthy(router: &RouterHandle) -> bool {
    router.state().is_healthy()
}

async fn stop_controller(scene: &mut Scene, index: usize) -> Result<(), BenchError> {
    scene.fleet.stop_controller(index).await?;
    scene.fleet.restart_controller(index).await?;
    scene.wait_ready().await
}
