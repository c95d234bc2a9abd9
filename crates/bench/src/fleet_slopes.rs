//! Control cost of the leader and of routers: idle, per request and per
//! running stream, at three sizes of the fleet.

use crate::call_route::AddressRoute;
use crate::control_usage::{ControlUsage, UsageMark, mean};
use crate::error::BenchError;
use crate::experiment::{ExperimentResult, TargetBound};
use crate::load::{CostMix, LoadPlan, RunningLoad, start_closed_loop, to_float};
use crate::message_slopes::{NODE_REQUESTS, fit};
use crate::options::BenchOptions;
use crate::scene::{Scene, ScenePlan, SceneWorkspace};
use std::time::Duration;

/// Routers, and streams per router of the two stream phases.
const FLEETS: [(usize, [usize; 2]); 3] = [(11, [10, 40]), (22, [10, 40]), (44, [8, 24])];
const TARGET_ROUTERS: f64 = 330.0;
const TARGET_REQUESTS: f64 = 2800.0;
/// 890,000 tokens/s at 26 ms between the tokens of a stream.
const TARGET_STREAMS: f64 = 890_000.0 * 0.026;
const TOKEN_INTERVAL: Duration = Duration::from_millis(26);
const WORKSPACES: usize = 85;
const ENGINES: usize = 13;
const SLOTS: u32 = 128;
/// Callers of the two request phases, per router.
const CALLERS: [usize; 2] = [1, 3];
/// A stream of the request phases ends after few tokens.
const SHORT_TOKENS: u64 = 2;
/// A stream of the stream phases outlasts its phase.
const LONG_TOKENS: u64 = 20_000;
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Targets of section 1.4 of the design.
const NODE_BYTES: f64 = 25_000.0;
const NODE_CORE: f64 = 0.012;

/// Cost of one kind of work at one size of the fleet.
#[derive(Clone, Copy, Debug, Default)]
struct UnitCosts {
    leader: f64,
    router_bytes: f64,
}

struct FleetCosts {
    routers: f64,
    idle: ControlUsage,
    request: UnitCosts,
    stream: UnitCosts,
}

fn size_of(count: usize) -> f64 {
    to_float(u64::try_from(count).unwrap_or(u64::MAX))
}

/// Measures all fleets and carries the costs to the target size.
pub async fn measure_fleets(
    options: &BenchOptions,
    result: &mut ExperimentResult,
) -> Result<(), BenchError> {
    let mut fleets = Vec::new();
    for (routers, streams) in FLEETS {
        fleets.push(measure_fleet(options, result, routers, streams).await?);
    }
    let idle = |value: fn(&ControlUsage) -> f64| {
        let points: Vec<(f64, f64)> =
            fleets.iter().map(|fleet| (fleet.routers, value(&fleet.idle))).collect();
        fit(&points)
    };
    let leader = idle(|usage| usage.leader)?;
    result.figure("leader_idle_base", leader.base, "cores");
    result.figure("leader_idle_per_router", leader.slope * 1e6, "us/s");
    let unit = |value: fn(&FleetCosts) -> f64| mean(&fleets.iter().map(value).collect::<Vec<_>>());
    let request = UnitCosts {
        leader: unit(|fleet| fleet.request.leader),
        router_bytes: unit(|fleet| fleet.request.router_bytes),
    };
    let stream = UnitCosts {
        leader: unit(|fleet| fleet.stream.leader),
        router_bytes: unit(|fleet| fleet.stream.router_bytes),
    };
    let idle_share = leader.at(TARGET_ROUTERS);
    let request_share = request.leader * TARGET_REQUESTS;
    let stream_share = stream.leader * TARGET_STREAMS;
    result.figure("leader_330_idle", idle_share, "cores");
    result.figure("leader_330_requests", request_share, "cores");
    result.figure("leader_330_streams", stream_share, "cores");
    let idle_bytes = unit(|fleet| fleet.idle.router_bytes);
    let node_streams = TARGET_STREAMS / TARGET_ROUTERS;
    let node_bytes =
        idle_bytes + request.router_bytes * NODE_REQUESTS + stream.router_bytes * node_streams;
    result.figure("node_330_bytes_idle", idle_bytes, "B/s");
    result.figure("node_330_bytes_requests", request.router_bytes * NODE_REQUESTS, "B/s");
    result.figure("node_330_bytes_streams", stream.router_bytes * node_streams, "B/s");
    let idle_core = unit(|fleet| fleet.idle.router);
    result.target("node_idle_core", idle_core, "cores", TargetBound::AtMost(NODE_CORE));
    result.target("node_idle_bytes", idle_bytes, "B/s", TargetBound::AtMost(NODE_BYTES));
    result.target("node_330_bytes", node_bytes, "B/s", TargetBound::AtMost(NODE_BYTES));
    let leader = idle_share + request_share + stream_share;
    result.target("leader_330_cores", leader, "cores", TargetBound::AtMost(1.0));
    Ok(())
}

fn plan(options: &BenchOptions, routers: usize) -> ScenePlan {
    let workspace = SceneWorkspace::new(100_000, 0, CostMix::fixed(SHORT_TOKENS));
    ScenePlan {
        limits: "queue_wait = \"60s\"".to_owned(),
        engines: ENGINES,
        slots: SLOTS,
        token_interval: TOKEN_INTERVAL,
        ..ScenePlan::new(options.seed, routers, vec![workspace; WORKSPACES])
    }
}

async fn measure_fleet(
    options: &BenchOptions,
    result: &mut ExperimentResult,
    routers: usize,
    streams: [usize; 2],
) -> Result<FleetCosts, BenchError> {
    let scene = Scene::start(plan(options, routers)).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let bench = PhaseBench { options, scene: &scene, routers };
    let idle = bench.phase().await?.0;
    result.figure(format!("idle_leader_{routers}"), idle.leader, "cores");
    result.figure(format!("idle_follower_{routers}"), idle.follower, "cores");
    result.figure(format!("idle_router_{routers}"), idle.router, "cores");
    result.figure(format!("idle_router_bytes_{routers}"), idle.router_bytes, "B/s");
    let mut points = [(0.0, idle.leader)].to_vec();
    let mut bytes = [(0.0, idle.router_bytes)].to_vec();
    for callers in CALLERS {
        let (usage, rate) = bench.requests(callers).await?;
        result.figure(format!("requests_{routers}x{callers}_rate"), rate, "1/s");
        result.figure(format!("requests_{routers}x{callers}_leader"), usage.leader, "cores");
        result.figure(format!("requests_{routers}x{callers}_bytes"), usage.router_bytes, "B/s");
        points.push((rate, usage.leader));
        bytes.push((rate / size_of(routers), usage.router_bytes));
    }
    let request = UnitCosts { leader: fit(&points)?.slope, router_bytes: fit(&bytes)?.slope };
    let mut points = [(0.0, idle.leader)].to_vec();
    let mut bytes = [(0.0, idle.router_bytes)].to_vec();
    for count in streams {
        let usage = bench.streams(count).await?;
        let (all, name) = (size_of(count * routers), format!("streams_{routers}x{count}"));
        result.figure(format!("{name}_leader"), usage.leader, "cores");
        result.figure(format!("{name}_bytes"), usage.router_bytes, "B/s");
        result.figure(format!("{name}_busiest_bytes"), usage.busiest_bytes, "B/s");
        points.push((all, usage.leader));
        bytes.push((size_of(count), usage.router_bytes));
    }
    // Without the step from no report to ten reports per second of each router.
    let loaded = fit(&points[1..])?.slope;
    result.figure(format!("leader_per_stream_loaded_{routers}"), loaded * 1e6, "us/s");
    let stream = UnitCosts { leader: fit(&points)?.slope, router_bytes: fit(&bytes)?.slope };
    result.figure(format!("leader_per_request_{routers}"), request.leader * 1e6, "us");
    result.figure(format!("bytes_per_request_{routers}"), request.router_bytes, "B");
    result.figure(format!("leader_per_stream_{routers}"), stream.leader * 1e6, "us/s");
    result.figure(format!("bytes_per_stream_{routers}"), stream.router_bytes, "B/s");
    scene.end().await?;
    Ok(FleetCosts { routers: size_of(routers), idle, request, stream })
}

struct PhaseBench<'a> {
    options: &'a BenchOptions,
    scene: &'a Scene,
    routers: usize,
}

impl PhaseBench<'_> {
    /// Use and decisions per second of the leader over one phase.
    async fn phase(&self) -> Result<(ControlUsage, Duration), BenchError> {
        let time = self.options.seconds(4, 20);
        let begin = UsageMark::take(&self.scene.fleet)?;
        tokio::time::sleep(time).await;
        Ok((begin.until(&UsageMark::take(&self.scene.fleet)?)?, time))
    }

    fn load(&self, name: &str, callers: usize, tokens: u64) -> RunningLoad {
        let mut loads = self.scene.plan.loads();
        for (index, load) in loads.iter_mut().enumerate() {
            let share = callers / WORKSPACES;
            load.callers = share + usize::from(index < callers % WORKSPACES);
            load.costs = CostMix::fixed(tokens);
        }
        let name = format!("{name}-{}-{callers}", self.routers);
        let mut plan = LoadPlan::new(name, self.options.seed, loads);
        plan.routers = self.routers;
        plan.ramp = SETTLE_TIME.mul_f64(0.5);
        plan.limit = Duration::from_secs(600);
        start_closed_loop(&plan, &AddressRoute::new(self.scene.fleet.caller_addresses()))
    }

    async fn requests(&self, callers: usize) -> Result<(ControlUsage, f64), BenchError> {
        let load = self.load("requests", callers * self.routers, SHORT_TOKENS);
        tokio::time::sleep(SETTLE_TIME).await;
        let before = load.tally().counts();
        let (usage, _) = self.phase().await?;
        let after = load.tally().counts();
        load.stop(Duration::from_secs(5)).await;
        if after.total() != after.complete {
            return Err(BenchError::Empty(format!("requests failed: {after:?}")));
        }
        Ok((usage, to_float(after.complete - before.complete) / usage.seconds))
    }

    async fn streams(&self, count: usize) -> Result<ControlUsage, BenchError> {
        let load = self.load("streams", count * self.routers, LONG_TOKENS);
        tokio::time::sleep(SETTLE_TIME + SETTLE_TIME).await;
        let (usage, _) = self.phase().await?;
        let counts = load.tally().counts();
        load.stop(Duration::ZERO).await;
        // Closed connections end at the engines before the next phase begins.
        tokio::time::sleep(SETTLE_TIME).await;
        if counts.total() != 0 {
            return Err(BenchError::Empty(format!("streams ended early: {counts:?}")));
        }
        Ok(usage)
    }
}
