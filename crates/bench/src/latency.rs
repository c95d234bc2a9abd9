//! Experiment `latency`: what the router adds to each stream, how many events
//! it relays per core, and whether its memory depends on the answer's length.

use crate::call_route::AddressRoute;
use crate::error::BenchError;
use crate::experiment::{ExperimentResult, TargetBound};
use crate::fleet::{Fleet, FleetPlan, key_of, row_of};
use crate::load::{
    CostMix, LoadPlan, LoadTally, TimeHistograms, VerdictCounts, WorkspaceLoad, start_closed_loop,
    to_float,
};
use crate::options::BenchOptions;
use crate::process_usage::PeakSampler;
use baobabfall_standin::UpstreamHandle;
use baobabfall_standin::model_engine::{EngineOptions, start};
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Streams of the target for the router's overhead.
const STREAMS: usize = 200;
const STREAM_TOKENS: u64 = 50;
const STREAM_INTERVAL: Duration = Duration::from_millis(20);
/// Streams that keep the router busy without pauses between events.
const BURST_STREAMS: usize = 16;
const BURST_TOKENS: u64 = 10_000;
/// Streams of the memory phases; each sends 100,000 tokens.
const MEMORY_STREAMS: usize = 4;
/// With [`STREAMS`] streams twice the target rate is offered, each event by itself.
const PACED_INTERVAL: Duration = Duration::from_millis(1);
const SHORT_ANSWER: u64 = 1000;
const LONG_ANSWER: u64 = 100_000;
const SLOTS: u32 = 512;
/// Time in which connections are opened, before times are recorded.
const WARM_UP: Duration = Duration::from_millis(1500);
const STOP_GRACE: Duration = Duration::from_secs(30);
const MICROS_PER_MILLI: f64 = 1000.0;
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// Targets of section 1.4 of the design.
const OVERHEAD_LIMIT_MS: f64 = 1.0;
const RELAY_RATE: f64 = 100_000.0;
const MEMORY_GROWTH_LIMIT: f64 = 1.1;

struct LatencyBench {
    options: BenchOptions,
    fleet: Fleet,
    engines: Vec<UpstreamHandle>,
}

/// Runs the experiment.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("latency", options.seed);
    let bench = LatencyBench::start(options).await?;
    bench.measure_overhead(&mut result).await?;
    bench.measure_relay(&mut result, "paced", STREAMS, SHORT_ANSWER).await?;
    bench.measure_relay(&mut result, "burst", BURST_STREAMS, BURST_TOKENS).await?;
    bench.measure_memory(&mut result).await?;
    bench.fleet.end().await?;
    Ok(result)
}

async fn start_engine(
    fleet: &Fleet,
    index: usize,
    model: &str,
    interval: Duration,
) -> Result<UpstreamHandle, BenchError> {
    let mut options = EngineOptions::new(&format!("engine-{model}"), model);
    options.upstream.concurrency = SLOTS;
    options.upstream.queue = SLOTS;
    options.upstream.record_executions = false;
    options.upstream.announce = Some(fleet.announce_options(index));
    options.knee = SLOTS;
    options.token_interval = interval;
    options.stamp_events = true;
    Ok(start(options).await?)
}

impl LatencyBench {
    async fn start(options: &BenchOptions) -> Result<Self, BenchError> {
        let plan = FleetPlan {
            controllers: 3,
            routers: 1,
            rows: vec![row_of(0, 1, SLOTS)],
            limits: String::new(),
        };
        let fleet = Fleet::start(plan).await?;
        let models =
            [("stream", STREAM_INTERVAL), ("paced", PACED_INTERVAL), ("burst", Duration::ZERO)];
        let mut engines = Vec::new();
        for (index, (model, interval)) in models.into_iter().enumerate() {
            engines.push(start_engine(&fleet, index, model, interval).await?);
        }
        fleet.wait_ready(engines.len()).await?;
        Ok(Self { options: options.clone(), fleet, engines })
    }

    fn router_address(&self) -> SocketAddr {
        self.fleet.caller_addresses()[0]
    }

    fn plan(&self, name: &str, model: &str, streams: usize, tokens: u64) -> LoadPlan {
        let costs = CostMix::fixed(tokens);
        let load = WorkspaceLoad { key: key_of(0), callers: streams, costs };
        let mut plan = LoadPlan::new(name, self.options.seed, vec![load]);
        plan.model = model.to_owned();
        plan.ramp = WARM_UP.mul_f64(0.5);
        plan
    }

    /// The same streams straight to the engine and through the router, in turn.
    async fn measure_overhead(&self, result: &mut ExperimentResult) -> Result<(), BenchError> {
        let rounds = self.options.sized(2, 5);
        let time = self.options.seconds(3, 20);
        let mut direct = None;
        let mut routed = None;
        for round in 0..rounds {
            for (name, address, times) in [
                ("direct", self.engines[0].address(), &mut direct),
                ("routed", self.router_address(), &mut routed),
            ] {
                let name = format!("{name}-{round}");
                let mut plan = self.plan(&name, "stream", STREAMS, STREAM_TOKENS);
                plan.record_times = true;
                let tally = run_for(&plan, address, time).await;
                all_complete(&name, tally.counts())?;
                merge(times, tally.times());
            }
        }
        let (Some(direct), Some(routed)) = (direct, routed) else {
            return Err(BenchError::Empty("no round was run".to_owned()));
        };
        for (name, direct, routed) in [
            ("first_token", &direct.first_token, &routed.first_token),
            ("event_delay", &direct.event_delay, &routed.event_delay),
            ("token_gap", &direct.token_gap, &routed.token_gap),
        ] {
            report_added(result, name, direct, routed);
        }
        Ok(())
    }

    /// Events relayed per second of the router's processor time.
    async fn measure_relay(
        &self,
        result: &mut ExperimentResult,
        model: &str,
        streams: usize,
        tokens: u64,
    ) -> Result<(), BenchError> {
        let time = self.options.seconds(3, 20);
        let thread = self.fleet.router_thread(0);
        let plan = self.plan(&format!("relay-{model}"), model, streams, tokens);
        let load = start_closed_loop(&plan, &AddressRoute::new(vec![self.router_address()]));
        tokio::time::sleep(WARM_UP).await;
        let (begin, used, events) =
            (Instant::now(), thread.processor_time()?, load.tally().tokens());
        tokio::time::sleep(time).await;
        let used = thread.processor_time()?.saturating_sub(used).as_secs_f64();
        let elapsed = begin.elapsed().as_secs_f64();
        let events = to_float(load.tally().tokens() - events);
        let counts = load.stop(STOP_GRACE).await.counts();
        all_complete(model, counts)?;
        result.figure(format!("relay_{model}_per_second"), events / elapsed, "events/s");
        result.figure(format!("relay_{model}_core_share"), used / elapsed, "cores");
        let name = format!("relay_{model}_per_core");
        result.target(name, events / used, "events/s", TargetBound::AtLeast(RELAY_RATE));
        let direct = self.plan(&format!("direct-{model}"), model, streams, tokens);
        let engine = if model == "paced" { &self.engines[1] } else { &self.engines[2] };
        let begin = Instant::now();
        let tally = run_for(&direct, engine.address(), time).await;
        let rate = to_float(tally.tokens()) / begin.elapsed().as_secs_f64();
        result.baseline(format!("direct_{model}_per_second"), rate, "events/s");
        Ok(())
    }

    /// Peaks of the resident memory of routers, engines and callers together.
    async fn measure_memory(&self, result: &mut ExperimentResult) -> Result<(), BenchError> {
        let time = self.options.seconds(3, 20);
        let mut peaks = Vec::new();
        // The first phase fills buffers and the allocator; it is not compared.
        for (name, tokens) in
            [("warm", SHORT_ANSWER), ("short", SHORT_ANSWER), ("long", LONG_ANSWER)]
        {
            let plan = self.plan(&format!("memory-{name}"), "burst", MEMORY_STREAMS, tokens);
            let sampler = PeakSampler::start()?;
            let tally = run_for(&plan, self.router_address(), time).await;
            all_complete(name, tally.counts())?;
            peaks.push(to_float(sampler.finish()) / BYTES_PER_MEGABYTE);
        }
        result.baseline("memory_peak_1000_tokens", peaks[1], "MB");
        result.figure("memory_peak_100000_tokens", peaks[2], "MB");
        let bound = TargetBound::AtMost(MEMORY_GROWTH_LIMIT);
        result.target("memory_growth", peaks[2] / peaks[1], "ratio", bound);
        Ok(())
    }
}

fn report_added(
    result: &mut ExperimentResult,
    name: &str,
    direct: &Histogram<u64>,
    routed: &Histogram<u64>,
) {
    let (direct_p99, routed_p99) = (percentile_ms(direct, 0.99), percentile_ms(routed, 0.99));
    result.baseline(format!("direct_{name}_p50"), percentile_ms(direct, 0.5), "ms");
    result.baseline(format!("direct_{name}_p99"), direct_p99, "ms");
    result.figure(format!("routed_{name}_p50"), percentile_ms(routed, 0.5), "ms");
    result.figure(format!("routed_{name}_p99"), routed_p99, "ms");
    let bound = TargetBound::AtMost(OVERHEAD_LIMIT_MS);
    result.target(format!("added_{name}_p99"), routed_p99 - direct_p99, "ms", bound);
}

fn percentile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    to_float(histogram.value_at_quantile(quantile)) / MICROS_PER_MILLI
}

fn merge(held: &mut Option<TimeHistograms>, times: TimeHistograms) {
    match held {
        None => *held = Some(times),
        Some(held) => {
            // The histograms have equal bounds, so adding cannot fail.
            held.first_token += times.first_token;
            held.token_gap += times.token_gap;
            held.event_delay += times.event_delay;
        }
    }
}

fn all_complete(name: &str, counts: VerdictCounts) -> Result<(), BenchError> {
    if counts.complete > 0 && counts.complete == counts.total() {
        return Ok(());
    }
    Err(BenchError::Empty(format!("phase {name} had calls that failed: {counts:?}")))
}

async fn run_for(plan: &LoadPlan, address: SocketAddr, time: Duration) -> Arc<LoadTally> {
    let load = start_closed_loop(plan, &AddressRoute::new(vec![address]));
    tokio::time::sleep(WARM_UP).await;
    load.tally().reset_times();
    tokio::time::sleep(time).await;
    load.stop(STOP_GRACE).await
}
