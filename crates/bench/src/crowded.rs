//! Experiment `crowded`: the callers of one workspace reach one router with a small share of a
//! core, those of another one are spread over ten.

use crate::bound_callers::{CallPlan, CallTally, CallerHabit, LoadBalancer, play_calls};
use crate::error::BenchError;
use crate::exchange_scene::{ExchangeScene, workspace_key};
use crate::experiment::{ExperimentResult, TargetBound};
use crate::load::to_float;
use crate::options::BenchOptions;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;

/// Part of a core of a host without a disk on the grown and the large sites.
const SHARE: f64 = 0.12;
/// Routers of the spread workspace; the bound one has one more.
const ROUTERS: usize = 11;
/// Requests a second of the spread workspace: those of the workspace that was served best when
/// the rule broke.
const SPREAD_RATE: f64 = 480.0;
/// Requests a second of the bound workspace, as multiples of the rate of the spread one.
const LOADS: [f64; 3] = [0.25, 1.0, 5.0];
/// Least part of the service of the best served workspace that one with as much demand gets.
const LEAST_PART: f64 = 0.5;
const WARM_UP: Duration = Duration::from_secs(2);
const MICRO: f64 = 1e6;

const HABITS: [(CallerHabit, &str); 3] = [
    (CallerHabit::ReturnsAtOnce, "at_once"),
    (CallerHabit::ReturnsInTime, "in_time"),
    (CallerHabit::KeepsConnections, "kept"),
];

/// Runs the experiment.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("crowded", options.seed);
    for (habit, name) in HABITS {
        for load in LOADS {
            measure(options, &mut result, habit, &format!("{name}_x{load}"), load).await?;
        }
    }
    Ok(result)
}

/// Counts of a tally at one moment.
#[derive(Clone, Copy, Debug)]
struct CallCounts {
    asked: u64,
    answered: u64,
    in_time: u64,
    refused: u64,
    cut: u64,
    unconnected: u64,
    broken: u64,
}

impl CallCounts {
    fn take(tally: &CallTally) -> Self {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Self {
            asked: read(&tally.asked),
            answered: read(&tally.answered),
            in_time: read(&tally.in_time),
            refused: read(&tally.refused),
            cut: read(&tally.cut),
            unconnected: read(&tally.unconnected),
            broken: read(&tally.broken),
        }
    }
}

async fn measure(
    options: &BenchOptions,
    result: &mut ExperimentResult,
    habit: CallerHabit,
    name: &str,
    load: f64,
) -> Result<(), BenchError> {
    let scene = Arc::new(ExchangeScene::start(ROUTERS, SHARE, 2).await?);
    let balancer = LoadBalancer::new(&scene);
    let mut tasks = JoinSet::new();
    let (checked, checker) = (Arc::clone(&scene), Arc::clone(&balancer));
    tasks.spawn(async move { checker.check(&checked).await });
    let tallies = [Arc::new(CallTally::default()), Arc::new(CallTally::default())];
    let rates = [SPREAD_RATE * load, SPREAD_RATE];
    for (index, routers) in [0..1, 1..ROUTERS].into_iter().enumerate() {
        let seed = options.seed * 2 + u64::try_from(index).unwrap_or(0);
        let plan = CallPlan { key: workspace_key(index), rate: rates[index], routers, habit, seed };
        tasks.spawn(play_calls(plan, Arc::clone(&balancer), Arc::clone(&tallies[index])));
    }
    tokio::time::sleep(WARM_UP).await;
    let before = tallies.each_ref().map(|tally| CallCounts::take(tally));
    let (used_before, closed_before) = (scene.processor_time(0)?, scene.closed_unread(0));
    let time = options.seconds(8, 30);
    tokio::time::sleep(time).await;
    let after = tallies.each_ref().map(|tally| CallCounts::take(tally));
    let (used, closed) = (scene.processor_time(0)?, scene.closed_unread(0));
    let a_second = |count: u64| to_float(count) / time.as_secs_f64();
    let rate = |index: usize, read: fn(&CallCounts) -> u64| {
        a_second(read(&after[index]) - read(&before[index]))
    };
    let answered = rate(0, |counts| counts.answered);
    result.figure(format!("{name}_asked"), rate(0, |counts| counts.asked), "/s");
    result.figure(format!("{name}_answered"), answered, "/s");
    result.figure(format!("{name}_in_time"), rate(0, |counts| counts.in_time), "/s");
    result.figure(format!("{name}_refused"), rate(0, |counts| counts.refused), "/s");
    result.figure(format!("{name}_cut"), rate(0, |counts| counts.cut), "/s");
    result.figure(format!("{name}_unconnected"), rate(0, |counts| counts.unconnected), "/s");
    result.figure(format!("{name}_broken"), rate(0, |counts| counts.broken), "/s");
    result.figure(format!("{name}_closed_unread"), a_second(closed - closed_before), "/s");
    let cores = (used.0 - used_before.0).as_secs_f64() / time.as_secs_f64();
    result.figure(format!("{name}_callers_core"), cores, "cores");
    let cores_control = (used.1 - used_before.1).as_secs_f64() / time.as_secs_f64();
    result.figure(format!("{name}_control_core"), cores_control, "cores");
    let cost = (cores + cores_control) / answered.max(1.0) * MICRO;
    result.figure(format!("{name}_time_per_answer"), cost, "us");
    let spread = rate(1, |counts| counts.answered);
    result.figure(format!("{name}_spread_answered"), spread, "/s");
    // A workspace is owed no more than it asks for.
    let owed = spread.min(rate(0, |counts| counts.asked));
    let bound = TargetBound::AtLeast(LEAST_PART);
    result.target(format!("{name}_part"), answered / owed, "of what is owed", bound);
    tasks.shutdown().await;
    match Arc::into_inner(scene) {
        Some(scene) => scene.end().await,
        None => Ok(()),
    }
}
