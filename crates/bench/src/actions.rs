//! Experiment `actions`: protected actions while controllers, routers and
//! services are killed and restarted, each checked at the services.

use crate::call_route::AddressRoute;
use crate::error::BenchError;
use crate::experiment::{ExperimentResult, TargetBound};
use crate::integrity::{compare_truth, report_counts};
use crate::load::{CallMix, CostMix, LoadPlan, RunningLoad, start_closed_loop, to_float};
use crate::options::BenchOptions;
use crate::scene::{Scene, ScenePlan, SceneWorkspace};
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_standin::upstream_state::ExecutionRecord;
use std::time::Duration;

const ROUTERS: usize = 4;
const CALLERS: usize = 8;
const CALLS_QUICK: u64 = 20_000;
const CALLS_FULL: u64 = 100_000;
/// Callers resend an action whose answer was lost, with the same key.
const RESENDS: u32 = 2;
/// Pause between kills.
const KILL_PAUSE: Duration = Duration::from_millis(700);
/// Time in which a killed part stays away.
const AWAY_TIME: Duration = Duration::from_millis(500);
const LIMITS: &str = "queue_wait = \"10s\"\ndeadline = \"10s\"";

fn plan(options: &BenchOptions) -> ScenePlan {
    let workspace = SceneWorkspace::new(64, CALLERS, CostMix::fixed(1));
    ScenePlan {
        limits: LIMITS.to_owned(),
        services: 3,
        slots: 16,
        service_time: Duration::from_millis(5),
        record_executions: true,
        ..ScenePlan::new(options.seed, ROUTERS, vec![workspace; 4])
    }
}

/// Runs the experiment.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("actions", options.seed);
    let mut scene = Scene::start(plan(options)).await?;
    let mut load = LoadPlan::new("actions", options.seed, scene.plan.loads());
    load.mix = CallMix::Actions;
    load.routers = ROUTERS;
    load.resends = RESENDS;
    load.calls = Some(options.sized(CALLS_QUICK, CALLS_FULL));
    let route = AddressRoute::new(scene.fleet.caller_addresses());
    let running = start_closed_loop(&load, &route);
    let mut kills = KillSeries::default();
    while !running.is_finished() {
        kills.run_one(&mut scene, &route, &running).await?;
    }
    let tally = running.finished().await;
    let mut records = kills.records;
    records.extend(scene.services.iter().flat_map(|service| service.execution_records()));
    let ran: SortedMap<String, ()> =
        records.iter().map(|record| (record.request_id.clone(), ())).collect();
    let acknowledged = tally.complete_actions();
    let lost = acknowledged.iter().filter(|id| !ran.contains_key(id.as_str())).count();
    let count = |number: usize| to_float(u64::try_from(number).unwrap_or(u64::MAX));
    result.figure("kills", to_float(kills.count), "kills");
    result.figure("acknowledged", count(acknowledged.len()), "actions");
    report_counts(&mut result, tally.counts());
    // A resend may truly not run although the first sending ran, so "not run" is checked by
    // `integrity` only, where nothing is resent.
    let truth = compare_truth(records, &[]);
    let zero = TargetBound::AtMost(0.0);
    result.figure("actions_run", to_float(truth.actions_run), "actions");
    result.target("actions_run_twice", to_float(truth.actions_run_twice), "actions", zero);
    result.target("acknowledged_and_lost", count(lost), "actions", zero);
    scene.end().await?;
    Ok(result)
}

#[derive(Default)]
struct KillSeries {
    count: u64,
    records: Vec<ExecutionRecord>,
}

impl KillSeries {
    /// Kills and restarts the leader, a router and a service, in turn.
    async fn run_one(
        &mut self,
        scene: &mut Scene,
        route: &AddressRoute,
        running: &RunningLoad,
    ) -> Result<(), BenchError> {
        tokio::time::sleep(KILL_PAUSE).await;
        if running.is_finished() {
            return Ok(());
        }
        let turn = usize::try_from(self.count / 3).unwrap_or(0);
        self.count += 1;
        match self.count % 3 {
            0 => self.kill_service(scene, turn % scene.services.len()).await?,
            1 => kill_leader(scene).await?,
            _ => kill_router(scene, route, turn % ROUTERS).await?,
        }
        scene.wait_ready().await
    }

    async fn kill_service(&mut self, scene: &mut Scene, index: usize) -> Result<(), BenchError> {
        let service = &mut scene.services[index];
        service.kill();
        tokio::time::sleep(AWAY_TIME).await;
        self.records.extend(service.execution_records());
        scene.services[index] = scene.start_service(index).await?;
        Ok(())
    }
}

async fn kill_leader(scene: &mut Scene) -> Result<(), BenchError> {
    let Some(leader) = scene.fleet.leader() else { return Ok(()) };
    scene.fleet.kill_controller(leader).await?;
    tokio::time::sleep(AWAY_TIME).await;
    scene.fleet.restart_controller(leader).await
}

async fn kill_router(
    scene: &mut Scene,
    route: &AddressRoute,
    index: usize,
) -> Result<(), BenchError> {
    scene.fleet.kill_router(index).await;
    tokio::time::sleep(AWAY_TIME).await;
    scene.fleet.start_router(index).await?;
    for (upstream, service) in scene.services.iter().enumerate() {
        service.set_announce_addresses(&scene.fleet.announce_options(upstream).addresses);
    }
    route.replace(scene.fleet.caller_addresses());
    Ok(())
}
