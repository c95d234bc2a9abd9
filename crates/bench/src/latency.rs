//! Experiment `latency`: what the router adds to each stream, how many events
//! it relays per core, and whether its memory depends on the answer's length.

use crate::call_route::AddressRoute;
use crate::error::BenchError;
use crate::experiment::ExperimentResult;
use crate::load::{CostMix, LoadPlan, LoadTally, WorkspaceLoad, start_closed_loop, to_float};
use crate::options::BenchOptions;
use crate::process_usage::PeakSampler;
use baobabfall_standin::UpstreamHandle;
use baobabfall_standin::model_engine::{EngineOptions, start};
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const MODEL: &str = "bench";
const STREAMS: usize = 200;
const STREAM_TOKENS: u64 = 50;
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);
const CALL_LIMIT: Duration = Duration::from_secs(60);
/// Time in which connections are opened, before times are recorded.
const WARM_UP: Duration = Duration::from_millis(1500);
const STOP_GRACE: Duration = Duration::from_secs(5);
const MICROS_PER_MILLI: f64 = 1000.0;

/// 99th percentiles in milliseconds.
#[derive(Clone, Copy, Debug)]
struct StreamTimes {
    first_token: f64,
    token_gap: f64,
    event_delay: f64,
}

fn percentile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    to_float(histogram.value_at_quantile(quantile)) / MICROS_PER_MILLI
}

impl StreamTimes {
    fn of(tally: &LoadTally) -> Result<Self, BenchError> {
        let times = tally.times();
        let counts = tally.counts();
        if times.token_gap.is_empty() || counts.complete != counts.total() {
            return Err(BenchError::Empty(format!("not every stream was complete: {counts:?}")));
        }
        Ok(Self {
            first_token: percentile_ms(&times.first_token, 0.99),
            token_gap: percentile_ms(&times.token_gap, 0.99),
            event_delay: percentile_ms(&times.event_delay, 0.99),
        })
    }
}

fn engine_options(name: &str, slots: u32) -> EngineOptions {
    let mut options = EngineOptions::new(name, MODEL);
    options.upstream.concurrency = slots;
    options.upstream.queue = slots;
    options.upstream.record_executions = false;
    options.knee = slots;
    options.stamp_events = true;
    options
}

fn stream_plan(name: &str, seed: u64, streams: usize, tokens: u64) -> LoadPlan {
    let load = WorkspaceLoad {
        key: "key-of-workspace-0".to_owned(),
        callers: streams,
        costs: CostMix::fixed(tokens),
    };
    LoadPlan {
        name: name.to_owned(),
        seed,
        workspaces: vec![load],
        routers: 1,
        model: MODEL.to_owned(),
        prompt_bytes: 64,
        stream: true,
        limit: CALL_LIMIT,
        calls: None,
        record_times: true,
        ramp: Duration::from_secs(1),
    }
}

async fn run_for(plan: &LoadPlan, address: SocketAddr, time: Duration) -> Arc<LoadTally> {
    let load = start_closed_loop(plan, &AddressRoute::new(vec![address]));
    tokio::time::sleep(WARM_UP).await;
    load.tally().reset_times();
    tokio::time::sleep(time).await;
    load.stop(STOP_GRACE).await
}

/// Runs the experiment.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("latency", options.seed);
    let mut paced = engine_options("engine-paced", 512);
    paced.token_interval = TOKEN_INTERVAL;
    let engine: UpstreamHandle = start(paced).await?;
    let time = options.seconds(4, 30);
    let plan = stream_plan("direct", options.seed, STREAMS, STREAM_TOKENS);
    let direct = StreamTimes::of(&*run_for(&plan, engine.address(), time).await)?;
    result.baseline("direct_first_token_p99", direct.first_token, "ms");
    result.baseline("direct_token_gap_p99", direct.token_gap, "ms");
    result.baseline("direct_event_delay_p99", direct.event_delay, "ms");

    let fast = start(engine_options("engine-fast", 512)).await?;
    for tokens in [1000, 100_000] {
        let mut plan = stream_plan("rate", options.seed, 16, tokens);
        plan.record_times = false;
        let sampler = PeakSampler::start()?;
        let begin = Instant::now();
        let tally = run_for(&plan, fast.address(), time).await;
        let rate = to_float(tally.tokens()) / begin.elapsed().as_secs_f64();
        result.baseline(format!("direct_events_{tokens}"), rate, "events/s");
        result.baseline(format!("direct_peak_{tokens}"), to_float(sampler.finish()) / 1e6, "MB");
    }
    Ok(result)
}
