//! Experiment `leader`: processor time of the leader for each request, and the time to a grant
//! when the leader has a small share of a core.

use crate::control_usage::UsageMark;
use crate::error::BenchError;
use crate::experiment::{ExperimentResult, TargetBound};
use crate::fleet::{Fleet, FleetPlan, row_of};
use crate::load::to_float;
use crate::options::BenchOptions;
use crate::router_model::{GrantTimes, RouterModels};
use crate::slow_core::limit_share;
use std::time::Duration;

/// Routers of the large site, and a quarter of them.
const ROUTERS: [usize; 2] = [50, 200];
/// Requests a second for which the leader must have room.
const TARGET_RATE: f64 = 2_800.0;
/// Half of the core of a host with a controller, in cores.
const LEADER_CORES: f64 = 0.16;
/// Requests a second of the large site.
const SITE_RATE: f64 = 2_000.0;
/// Core of a host with a controller, and half of it.
const SHARES: [f64; 2] = [0.32, 0.16];
/// Time to a grant for 99 in 100 requests, in milliseconds.
const GRANT_LIMIT_MS: f64 = 20.0;
/// Leader time for a request at four times as many routers. Fewer reports of each router
/// share a message then.
const GROWTH_LIMIT: f64 = 1.5;
/// Enough engines that no request waits for a slot.
const ENGINES: usize = 160;
const WARM_UP: Duration = Duration::from_secs(2);
const MICRO: f64 = 1e6;

/// Runs the experiment.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("leader", options.seed);
    let mut costs = Vec::new();
    for routers in ROUTERS {
        costs.push(measure_cost(options, &mut result, routers).await?);
    }
    let cores = costs[1] * TARGET_RATE;
    result.target("leader_core_200", cores, "cores", TargetBound::AtMost(LEADER_CORES));
    let growth = costs[1] / costs[0];
    result.target("growth_50_to_200", growth, "ratio", TargetBound::AtMost(GROWTH_LIMIT));
    for share in SHARES {
        let times = measure_grants(options, share).await?;
        let name = format!("share_{:.0}_percent", share * 100.0);
        result.figure(format!("{name}_granted"), times.granted_share() * 100.0, "%");
        let bound = TargetBound::AtMost(GRANT_LIMIT_MS);
        result.target(format!("{name}_grant_p99"), times.p99_ms(), "ms", bound);
    }
    Ok(result)
}

async fn start_fleet() -> Result<Fleet, BenchError> {
    let rows = (0..60).map(|index| row_of(index, 1, 100_000)).collect();
    Fleet::start(FleetPlan { controllers: 3, routers: 0, rows, limits: String::new() }).await
}

/// Leader time for one request, in seconds, at the rate of the target.
async fn measure_cost(
    options: &BenchOptions,
    result: &mut ExperimentResult,
    routers: usize,
) -> Result<f64, BenchError> {
    let fleet = start_fleet().await?;
    let mut models = RouterModels::start(&fleet, routers, ENGINES).await?;
    tokio::time::sleep(WARM_UP).await;
    let time = options.seconds(5, 20);
    let begin = UsageMark::take(&fleet)?;
    tokio::time::sleep(time).await;
    let idle = begin.until(&UsageMark::take(&fleet)?)?;
    result.figure(format!("idle_leader_{routers}"), idle.leader, "cores");
    models.play(options.seed, TARGET_RATE, WARM_UP).await?;
    let begin = UsageMark::take(&fleet)?;
    let times = models.play(options.seed, TARGET_RATE, time).await?;
    let busy = begin.until(&UsageMark::take(&fleet)?)?;
    let requests = to_float(times.granted + times.expired);
    let cost = busy.leader * busy.seconds / requests;
    result.figure(format!("leader_per_request_{routers}"), cost * MICRO, "us");
    result.figure(format!("follower_{routers}"), busy.follower, "cores");
    result.figure(format!("rate_{routers}"), requests / time.as_secs_f64(), "1/s");
    result.figure(format!("granted_{routers}"), times.granted_share() * 100.0, "%");
    result.figure(format!("grant_p99_{routers}"), times.p99_ms(), "ms");
    drop(models);
    fleet.end().await?;
    Ok(cost)
}

/// Times to a grant at the rate of the large site, while the leader has a share of a core.
async fn measure_grants(options: &BenchOptions, share: f64) -> Result<GrantTimes, BenchError> {
    let fleet = start_fleet().await?;
    let leader = fleet.leader().ok_or_else(|| BenchError::Empty("no leader".to_owned()))?;
    let mut models = RouterModels::start(&fleet, ROUTERS[1], ENGINES).await?;
    tokio::time::sleep(WARM_UP).await;
    let slowed = fleet.controller_thread(leader).spawn(limit_share(share));
    models.play(options.seed, SITE_RATE, WARM_UP).await?;
    let times = models.play(options.seed, SITE_RATE, options.seconds(8, 30)).await?;
    slowed.abort();
    drop(models);
    fleet.end().await?;
    Ok(times)
}
