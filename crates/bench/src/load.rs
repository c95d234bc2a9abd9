//! Load: workspaces with callers that are spread unevenly over routers.

use crate::answer_check::CallVerdict;
use crate::call_route::{CallRoute, RoutePass};
use crate::caller::{CallKind, CallObserver, CallOrder, CallReport, CallerClient};
use crate::fleet_files::SERVICE;
use crate::gap_measure::ServiceSample;
use baobabfall_standin::answer_body::event_time;
use baobabfall_standin::model_engine::BYTES_PER_TOKEN;
use hdrhistogram::Histogram;
use http::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Share of the load that arrives at [`BUSY_ROUTERS`] of the routers.
pub const BUSY_LOAD: f64 = 0.8;
/// Share of the routers that get [`BUSY_LOAD`].
pub const BUSY_ROUTERS: f64 = 0.2;
/// Service of one prompt token, in generated tokens.
pub const PROMPT_TOKEN_COST: f64 = 0.1;
/// Time between samples of the service of all workspaces.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Model when a plan names none.
pub const DEFAULT_MODEL: &str = "bench";
/// Time limit of a call when a plan names none.
const DEFAULT_LIMIT: Duration = Duration::from_secs(60);
/// Tokens of text in the answers of plain services.
pub const SERVICE_TOKENS: u64 = 8;
/// Longest pause of a caller whose call was refused.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);
/// Largest recorded time: one hour in microseconds.
const TIME_LIMIT: u64 = 3_600_000_000;
const MILLI: f64 = 1000.0;

/// Costs of requests: a bounded Pareto distribution of tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostMix {
    /// Fewest tokens.
    pub low: u64,
    /// Most tokens.
    pub high: u64,
    /// Exponent; smaller ones give heavier tails.
    pub exponent: f64,
}

impl CostMix {
    /// Every request has the same cost.
    pub const fn fixed(tokens: u64) -> Self {
        Self { low: tokens, high: tokens, exponent: 1.0 }
    }

    /// Draws the tokens of one request.
    pub fn draw(&self, random: &mut StdRng) -> u64 {
        if self.low >= self.high {
            return self.low;
        }
        let (low, high) = (to_float(self.low), to_float(self.high));
        let tail = 1.0 - (low / high).powf(self.exponent);
        let value = low / (1.0 - random.random::<f64>() * tail).powf(1.0 / self.exponent);
        self.low + to_whole(value - low)
    }
}

/// The nearest float of a count.
pub fn to_float(count: u64) -> f64 {
    let half = |bits: u64| f64::from(u32::try_from(bits & u64::from(u32::MAX)).unwrap_or(0));
    half(count >> 32) * 4_294_967_296.0 + half(count)
}

fn to_whole(value: f64) -> u64 {
    Duration::from_secs_f64(value.clamp(0.0, 1e15)).as_secs()
}

/// One workspace of the load.
#[derive(Clone, Debug)]
pub struct WorkspaceLoad {
    /// Credential of its callers.
    pub key: String,
    /// Callers that send one call after the other.
    pub callers: usize,
    /// Tokens of its requests.
    pub costs: CostMix,
}

/// Kinds of calls of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallMix {
    /// Chat completions, streamed or whole.
    Chat {
        /// Asks for streams.
        stream: bool,
    },
    /// Protected actions of a service, each with its own key.
    Actions,
    /// Chat completions of both kinds, lookups, actions and calls that must not be repeated.
    All,
}

/// What callers send.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Start of the request ids, unique per load of a run.
    pub name: String,
    /// Seed of homes, costs and arrivals.
    pub seed: u64,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceLoad>,
    /// Routers that calls arrive at.
    pub routers: usize,
    /// Model.
    pub model: String,
    /// Bytes of each prompt.
    pub prompt_bytes: usize,
    /// Kinds of calls.
    pub mix: CallMix,
    /// Every request allows the largest answer, so that its cost shows only when it ends.
    pub hide_costs: bool,
    /// Time limit of each call.
    pub limit: Duration,
    /// Calls in total; no bound when absent.
    pub calls: Option<u64>,
    /// Time over which callers start, so that they do not connect all at once.
    pub ramp: Duration,
    /// Records first tokens, gaps and delays; off where the recording itself would cost too much.
    pub record_times: bool,
}

impl LoadPlan {
    /// Streams of any length through one router, without a bound on the number of calls.
    pub fn new(name: impl Into<String>, seed: u64, workspaces: Vec<WorkspaceLoad>) -> Self {
        Self {
            name: name.into(),
            seed,
            workspaces,
            routers: 1,
            model: DEFAULT_MODEL.to_owned(),
            prompt_bytes: 64,
            mix: CallMix::Chat { stream: true },
            hide_costs: false,
            limit: DEFAULT_LIMIT,
            calls: None,
            ramp: Duration::ZERO,
            record_times: false,
        }
    }
}

/// Times in microseconds.
#[derive(Clone, Debug)]
pub struct TimeHistograms {
    /// From the start of a call to its first token.
    pub first_token: Histogram<u64>,
    /// Between the arrivals of tokens.
    pub token_gap: Histogram<u64>,
    /// From the engine's making of an event to its arrival.
    pub event_delay: Histogram<u64>,
}

impl TimeHistograms {
    fn new() -> Self {
        Self {
            first_token: new_histogram(),
            token_gap: new_histogram(),
            event_delay: new_histogram(),
        }
    }
}

/// Counts of verdicts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VerdictCounts {
    /// Whole right answers.
    pub complete: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// Silently short answers.
    pub short: u64,
    /// Answers that ended with an error event.
    pub error_event: u64,
    /// Broken connections.
    pub broken: u64,
    /// Refusals that say that the request did not run.
    pub not_run: u64,
    /// Other error answers.
    pub failed: u64,
    /// Calls that hit the caller's limit.
    pub timed_out: u64,
}

impl VerdictCounts {
    fn add(&mut self, verdict: CallVerdict) {
        let count = match verdict {
            CallVerdict::Complete => &mut self.complete,
            CallVerdict::Wrong => &mut self.wrong,
            CallVerdict::SilentlyShort => &mut self.short,
            CallVerdict::ErrorEvent => &mut self.error_event,
            CallVerdict::Broken => &mut self.broken,
            CallVerdict::NotRun => &mut self.not_run,
            CallVerdict::Failed => &mut self.failed,
            CallVerdict::TimedOut => &mut self.timed_out,
        };
        *count += 1;
    }

    /// Calls that ended.
    pub fn total(&self) -> u64 {
        self.complete
            + self.wrong
            + self.short
            + self.error_event
            + self.broken
            + self.not_run
            + self.failed
            + self.timed_out
    }
}

/// What a load measured.
#[derive(Debug)]
pub struct LoadTally {
    /// Service by workspace in thousandths of a token.
    service: Vec<AtomicU64>,
    /// Tokens of all workspaces.
    tokens: AtomicU64,
    left: AtomicI64,
    times: Mutex<TimeHistograms>,
    counts: Mutex<VerdictCounts>,
    not_run: Mutex<Vec<String>>,
    samples: Mutex<Vec<ServiceSample>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(TIME_LIMIT, 3).expect("the bounds of the histogram are valid")
}

impl LoadTally {
    fn new(plan: &LoadPlan) -> Self {
        let calls = plan.calls.and_then(|calls| i64::try_from(calls).ok()).unwrap_or(i64::MAX);
        Self {
            service: plan.workspaces.iter().map(|_| AtomicU64::new(0)).collect(),
            tokens: AtomicU64::new(0),
            left: AtomicI64::new(calls),
            times: Mutex::new(TimeHistograms::new()),
            counts: Mutex::default(),
            not_run: Mutex::default(),
            samples: Mutex::default(),
        }
    }

    /// Tokens that arrived so far.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Verdicts so far.
    pub fn counts(&self) -> VerdictCounts {
        *locked(&self.counts)
    }

    /// Times so far.
    pub fn times(&self) -> TimeHistograms {
        locked(&self.times).clone()
    }

    /// Forgets the times so far, such as those of a warm-up.
    pub fn reset_times(&self) {
        *locked(&self.times) = TimeHistograms::new();
    }

    /// Forgets the samples so far.
    pub fn reset_samples(&self) {
        locked(&self.samples).clear();
    }

    /// Ids of requests that the caller was told did not run.
    pub fn not_run_ids(&self) -> Vec<String> {
        locked(&self.not_run).clone()
    }

    /// Samples of the service, one per [`SAMPLE_INTERVAL`].
    pub fn samples(&self) -> Vec<ServiceSample> {
        locked(&self.samples).clone()
    }

    /// Service of each workspace so far, in tokens.
    pub fn service(&self) -> ServiceSample {
        self.service
            .iter()
            .map(|service| to_float(service.load(Ordering::Relaxed)) / MILLI)
            .collect()
    }

    async fn sample(&self) {
        let mut interval = tokio::time::interval(SAMPLE_INTERVAL);
        loop {
            interval.tick().await;
            let sample = self.service();
            locked(&self.samples).push(sample);
        }
    }

    fn take_call(&self) -> bool {
        self.left.fetch_sub(1, Ordering::AcqRel) > 0
    }

    fn record(&self, order: &CallOrder, report: &CallReport) {
        locked(&self.counts).add(report.verdict);
        if report.verdict == CallVerdict::NotRun {
            locked(&self.not_run).push(order.request_id.clone());
        }
    }
}

/// Follows one call.
struct CallProgress<'a, P> {
    tally: &'a LoadTally,
    pass: &'a mut P,
    workspace: usize,
    prompt_cost: f64,
    tokens: u64,
    record_times: bool,
    latest: Instant,
}

impl<P: RoutePass> CallObserver for CallProgress<'_, P> {
    fn tokens(&mut self, count: u64, sent_at: Option<u64>) {
        let first = self.tokens == 0;
        self.tokens += count;
        self.tally.tokens.fetch_add(count, Ordering::Relaxed);
        let prompt = if first { self.prompt_cost } else { 0.0 };
        let service = to_whole(prompt * MILLI) + count * 1000;
        self.tally.service[self.workspace].fetch_add(service, Ordering::Relaxed);
        self.pass.charge(self.prompt_cost + to_float(self.tokens));
        if !self.record_times {
            return;
        }
        let now = Instant::now();
        let elapsed = now.duration_since(self.latest);
        self.latest = now;
        let mut times = locked(&self.tally.times);
        let times = &mut *times;
        let histogram = if first { &mut times.first_token } else { &mut times.token_gap };
        histogram.saturating_record(micros(elapsed));
        if let Some(sent_at) = sent_at {
            times.event_delay.saturating_record(event_time().saturating_sub(sent_at));
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// A load that runs.
#[derive(Debug)]
pub struct RunningLoad {
    tally: Arc<LoadTally>,
    callers: JoinSet<()>,
    sampler: tokio::task::JoinHandle<()>,
}

impl RunningLoad {
    /// What it measured so far.
    pub fn tally(&self) -> &Arc<LoadTally> {
        &self.tally
    }

    /// Waits until the bounded number of calls has ended.
    pub async fn finished(mut self) -> Arc<LoadTally> {
        while self.callers.join_next().await.is_some() {}
        self.sampler.abort();
        self.tally
    }

    /// Lets calls in progress end, for at most `grace`, and starts no more.
    pub async fn stop(mut self, grace: Duration) -> Arc<LoadTally> {
        self.tally.left.store(0, Ordering::Release);
        self.sampler.abort();
        let ended = async { while self.callers.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(grace, ended).await;
        self.callers.shutdown().await;
        self.tally
    }
}

/// The router at which a caller arrives: 80% arrive at the first 20% of the routers.
pub fn draw_router(random: &mut StdRng, routers: usize) -> usize {
    let busy = (to_float(u64::try_from(routers).unwrap_or(1)) * BUSY_ROUTERS).ceil();
    let busy = usize::try_from(to_whole(busy)).unwrap_or(1).clamp(1, routers.max(1));
    if busy == routers || random.random_bool(BUSY_LOAD) {
        random.random_range(0..busy)
    } else {
        random.random_range(busy..routers)
    }
}

/// Starts callers that each send one call after the other.
pub fn start_closed_loop<R: CallRoute>(plan: &LoadPlan, route: &R) -> RunningLoad {
    let tally = Arc::new(LoadTally::new(plan));
    let mut callers = JoinSet::new();
    let plan = Arc::new(plan.clone());
    for (workspace, load) in plan.workspaces.iter().enumerate() {
        for index in 0..load.callers {
            let name = format!("{}-{}-{workspace}-{index}", plan.name, plan.seed);
            let random = caller_random(plan.seed, workspace, index);
            let caller = LoadCaller {
                plan: Arc::clone(&plan),
                route: route.clone(),
                tally: Arc::clone(&tally),
                workspace,
                name,
                random,
            };
            callers.spawn(caller.run());
        }
    }
    let sampled = Arc::clone(&tally);
    let sampler = tokio::spawn(async move { sampled.sample().await });
    RunningLoad { tally, callers, sampler }
}

fn caller_random(seed: u64, workspace: usize, index: usize) -> StdRng {
    let place = u64::try_from(workspace << 32 | index).unwrap_or(0);
    StdRng::seed_from_u64(seed.rotate_left(17) ^ place)
}

/// A call of the service through a router; `id` makes it a protected action with its own key.
fn service_call(method: Method, path: &str, id: Option<&str>) -> CallKind {
    CallKind::Service {
        method,
        path: format!("/services/{SERVICE}{path}"),
        key: id.map(|id| format!("{}-{id}", today())),
        tokens: SERVICE_TOKENS,
    }
}

/// The UTC day as `YYYYMMDD`, as idempotency keys begin.
///
/// The conversion is the proleptic Gregorian calendar in eras of 400 years.
pub fn today() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let days = now.as_secs() / 86_400 + 719_468;
    let (era, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let shifted = (5 * day + 2) / 153;
    let month = if shifted < 10 { shifted + 3 } else { shifted - 9 };
    let year = year + era * 400 + u64::from(month <= 2);
    format!("{year:04}{month:02}{:02}", day - (153 * shifted + 2) / 5 + 1)
}

struct LoadCaller<R> {
    plan: Arc<LoadPlan>,
    route: R,
    tally: Arc<LoadTally>,
    workspace: usize,
    name: String,
    random: StdRng,
}

impl<R: CallRoute> LoadCaller<R> {
    async fn run(mut self) {
        let load = self.plan.workspaces[self.workspace].clone();
        let mut router = draw_router(&mut self.random, self.plan.routers);
        let mut client = CallerClient::new(load.key);
        let mut number = 0u64;
        tokio::time::sleep(self.plan.ramp.mul_f64(self.random.random::<f64>())).await;
        while self.tally.take_call() {
            number += 1;
            let order = self.order(number, load.costs);
            let report = self.send(&mut client, &order, router).await;
            self.tally.record(&order, &report);
            if report.verdict != CallVerdict::Complete {
                // A load balancer would choose another router after a failure.
                router = draw_router(&mut self.random, self.plan.routers);
                let pause = REFUSAL_PAUSE.mul_f64(self.random.random::<f64>());
                tokio::time::sleep(pause).await;
            }
        }
    }

    fn order(&mut self, number: u64, costs: CostMix) -> CallOrder {
        let request_id = format!("{}-{number}", self.name);
        let kind = match self.plan.mix {
            CallMix::Chat { stream } => self.chat(costs, stream),
            CallMix::Actions => service_call(Method::POST, "/payouts", Some(&request_id)),
            CallMix::All => match self.random.random_range(0..10) {
                0..5 => self.chat(costs, true),
                5 => self.chat(costs, false),
                6 | 7 => service_call(Method::GET, "/status/7", None),
                8 => service_call(Method::POST, "/payouts", Some(&request_id)),
                _ => service_call(Method::POST, "/notes", None),
            },
        };
        CallOrder { request_id, kind, limit: self.plan.limit }
    }

    fn chat(&mut self, costs: CostMix, stream: bool) -> CallKind {
        let tokens = costs.draw(&mut self.random);
        CallKind::Chat {
            model: self.plan.model.clone(),
            prompt_bytes: self.plan.prompt_bytes,
            tokens,
            max_tokens: if self.plan.hide_costs { costs.high } else { tokens },
            stream,
        }
    }

    async fn send(
        &self,
        client: &mut CallerClient,
        order: &CallOrder,
        router: usize,
    ) -> CallReport {
        let mut pass = self.route.enter(self.workspace, router).await;
        let address = pass.address();
        let prompt_tokens = self.plan.prompt_bytes.div_ceil(BYTES_PER_TOKEN);
        let prompt_cost = to_float(u64::try_from(prompt_tokens).unwrap_or(0)) * PROMPT_TOKEN_COST;
        let mut progress = CallProgress {
            tally: &self.tally,
            pass: &mut pass,
            workspace: self.workspace,
            prompt_cost,
            tokens: 0,
            record_times: self.plan.record_times,
            latest: Instant::now(),
        };
        client.call(address, order, &mut progress).await
    }
}
