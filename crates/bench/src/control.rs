//! Experiment `control`: control traffic and processor time per router at several sizes.

use crate::call_route::AddressRoute;
use crate::error::BenchError;
use crate::experiment::{ExperimentResult, TargetBound};
use crate::fleet::Fleet;
use crate::load::{CostMix, LoadPlan, start_closed_loop, to_float};
use crate::options::BenchOptions;
use crate::process_usage::resident_bytes;
use crate::scene::{Scene, ScenePlan, SceneWorkspace};
use std::time::Duration;
use tokio::time::Instant;

const COSTS: CostMix = CostMix::fixed(40);
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);
const WORKSPACES: usize = 850;
/// A tenth of the workspaces have callers.
const ACTIVE: usize = 85;
const ENGINES: usize = 9;
const SLOTS: u32 = 8;
const METRIC: &str = "baobabfall_control_bytes";
const WARM_UP: Duration = Duration::from_secs(2);

/// Targets of section 1.4 of the design.
const BYTES_LIMIT: f64 = 25_000.0;
const CORE_LIMIT: f64 = 0.012;

fn plan(options: &BenchOptions, routers: usize) -> ScenePlan {
    let mut workspaces = vec![SceneWorkspace::new(8, 0, COSTS); WORKSPACES];
    workspaces[..ACTIVE].iter_mut().for_each(|workspace| workspace.callers = 2);
    ScenePlan {
        limits: "queue_wait = \"60s\"".to_owned(),
        engines: ENGINES,
        slots: SLOTS,
        token_interval: TOKEN_INTERVAL,
        ..ScenePlan::new(options.seed, routers, workspaces)
    }
}

/// Control traffic and processor time of routers and leader.
#[derive(Clone, Copy, Debug)]
struct UsageSample {
    at: Instant,
    mean_bytes: f64,
    most_bytes: f64,
    router_time: f64,
    leader_time: f64,
}

/// Usage per second between two samples.
#[derive(Clone, Copy, Debug)]
struct UsageRates {
    mean_bytes: f64,
    most_bytes: f64,
    router_cores: f64,
    leader_cores: f64,
}

/// Runs the experiment.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("control", options.seed);
    for routers in [11, 44] {
        let scene = Scene::start(plan(options, routers)).await?;
        tokio::time::sleep(WARM_UP).await;
        let idle = measure(options, &scene.fleet).await?;
        let mut load = LoadPlan::new("control", options.seed, scene.plan.loads());
        load.routers = routers;
        let route = AddressRoute::new(scene.fleet.caller_addresses());
        let running = start_closed_loop(&load, &route);
        tokio::time::sleep(WARM_UP).await;
        let (begin, calls) = (Instant::now(), running.tally().counts().complete);
        let busy = measure(options, &scene.fleet).await?;
        let calls = to_float(running.tally().counts().complete - calls);
        result.figure(format!("calls_{routers}"), calls / begin.elapsed().as_secs_f64(), "1/s");
        running.stop(Duration::ZERO).await;
        scene.end().await?;
        report(&mut result, &format!("idle_{routers}"), idle);
        report(&mut result, &format!("loaded_{routers}"), busy);
        // A loaded router's processor time is mostly the relaying of streams.
        let name = format!("idle_{routers}_router_core_share");
        result.target(name, idle.router_cores, "cores", TargetBound::AtMost(CORE_LIMIT));
    }
    let resident = to_float(resident_bytes()?) / 1e6;
    result.figure("resident_whole_process", resident, "MB");
    Ok(result)
}

fn report(result: &mut ExperimentResult, name: &str, rates: UsageRates) {
    result.figure(format!("{name}_mean_bytes"), rates.mean_bytes, "B/s");
    result.figure(format!("{name}_router_cores"), rates.router_cores, "cores");
    result.figure(format!("{name}_leader_cores"), rates.leader_cores, "cores");
    let bound = TargetBound::AtMost(BYTES_LIMIT);
    result.target(format!("{name}_most_bytes"), rates.most_bytes, "B/s", bound);
}

async fn measure(options: &BenchOptions, fleet: &Fleet) -> Result<UsageRates, BenchError> {
    let begin = sample(fleet)?;
    tokio::time::sleep(options.seconds(5, 60)).await;
    let end = sample(fleet)?;
    let seconds = end.at.duration_since(begin.at).as_secs_f64();
    let routers = f64::from(u32::try_from(fleet.routers().count()).unwrap_or(1));
    Ok(UsageRates {
        mean_bytes: (end.mean_bytes - begin.mean_bytes) / seconds,
        most_bytes: (end.most_bytes - begin.most_bytes) / seconds,
        router_cores: (end.router_time - begin.router_time) / seconds / routers,
        leader_cores: (end.leader_time - begin.leader_time) / seconds,
    })
}

fn sample(fleet: &Fleet) -> Result<UsageSample, BenchError> {
    let bytes: Vec<f64> =
        fleet.routers().map(|router| control_bytes(&router.state().metrics.scrape())).collect();
    let mut router_time = 0.0;
    for index in 0..bytes.len() {
        router_time += fleet.router_thread(index).processor_time()?.as_secs_f64();
    }
    let leader = fleet.leader().map(|index| fleet.controller_thread(index).processor_time());
    let leader_time = leader.transpose()?.unwrap_or_default().as_secs_f64();
    let routers = f64::from(u32::try_from(bytes.len()).unwrap_or(1));
    Ok(UsageSample {
        at: Instant::now(),
        mean_bytes: bytes.iter().sum::<f64>() / routers,
        most_bytes: bytes.iter().copied().fold(0.0, f64::max),
        router_time,
        leader_time,
    })
}

/// Sum over directions of the counter in Prometheus text.
pub fn control_bytes(text: &[u8]) -> f64 {
    let text = String::from_utf8_lossy(text);
    let lines = text.lines().filter(|line| line.starts_with(METRIC));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}
