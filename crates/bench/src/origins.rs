//! Experiment `origins`: what it costs the leader to remember which software version began
//! each stream, beside one sorted list of all streams.

use crate::error::BenchError;
use crate::experiment::{ExperimentResult, TargetBound};
use crate::load::to_float;
use crate::message_slopes::NODE_REQUESTS;
use crate::options::BenchOptions;
use crate::slope_fit::median;
use baobabfall_core::dispatch_messages::{OriginCopy, OriginReport, StreamKey, StreamOrigin};
use baobabfall_core::software_version::SoftwareVersion;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::stream_origins::{FLEET_STREAM_LIMIT, OriginBook, OriginDirectory};
use baobabfall_node::codec::encode;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

/// Keys that the leader remembers: smaller fleets and the target, where 2,800 streams a second
/// with two keys each are kept for 15 s.
const SIZES: [usize; 3] = [8_400, 21_000, 84_000];
/// Keys recorded in a second at the target.
const KEYS_PER_SECOND: f64 = 5_600.0;
/// Longest time for which callers wait.
const PATIENCE: Duration = Duration::from_secs(15);
/// Keys recorded in one timing.
const BATCH: u64 = 2_000;
const ROUNDS: usize = 15;
const MICRO: f64 = 1e6;
/// Percentage of a core that control may take on a node.
const CONTROL_PERCENT: f64 = 1.2;
/// Control traffic that a node may have, in bytes a second.
const CONTROL_BYTES: f64 = 25_000.0;
/// Controllers that hold the second copies at the target: all voters but the leader.
const COPY_HOLDERS: f64 = 4.0;

fn origin(version: u64) -> StreamOrigin {
    let software =
        SoftwareVersion::parse(&format!("v1.{version}")).expect("a short version is valid");
    StreamOrigin { service: "dossier-large".to_owned(), software }
}

/// Times recording and lookup at each size, and measures the size of reports.
pub async fn run(options: &BenchOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = ExperimentResult::new("origins", options.seed);
    let mut random = SmallRng::seed_from_u64(options.seed);
    let (mut last, mut quarter) = (0.0, 0.0);
    for keys in SIZES {
        (quarter, last) = (last, measure_directory(&mut result, &mut random, keys));
        measure_sorted_list(&mut result, &mut random, keys);
    }
    let percent = KEYS_PER_SECOND * last / MICRO * 100.0;
    result.target("leader_core", percent, "%", TargetBound::AtMost(CONTROL_PERCENT));
    // A holder of copies knows a quarter of the keys, which is the size before the last.
    let percent = KEYS_PER_SECOND / COPY_HOLDERS * quarter / MICRO * 100.0;
    result.target("copy_holder_core", percent, "%", TargetBound::AtMost(CONTROL_PERCENT));
    measure_reports(&mut result, &mut random)?;
    measure_copies(&mut result, &mut random)?;
    Ok(result)
}

/// Time of recording one key, in microseconds, while about `keys` are known.
fn measure_directory(result: &mut ExperimentResult, random: &mut SmallRng, keys: usize) -> f64 {
    let origins: Vec<StreamOrigin> = (0..3).map(origin).collect();
    let mut directory = OriginDirectory::new(FLEET_STREAM_LIMIT);
    let mut clock = Duration::ZERO;
    let per_key = PATIENCE.div_f64(to_float(u64::try_from(keys).unwrap_or(u64::MAX)));
    let mut record_batch = |directory: &mut OriginDirectory, count: u64| {
        for index in 0..count {
            clock += per_key;
            let origin = &origins[usize::try_from(index % 3).unwrap_or(0)];
            directory.record(clock, random.random(), Some(origin), PATIENCE);
        }
        clock
    };
    record_batch(&mut directory, u64::try_from(keys).unwrap_or(u64::MAX));
    let mut rounds = Vec::new();
    let mut now = Duration::ZERO;
    for _ in 0..ROUNDS {
        let begin = Instant::now();
        now = record_batch(&mut directory, BATCH);
        rounds.push(begin.elapsed().as_secs_f64() * MICRO / to_float(BATCH));
    }
    let cost = median(&rounds);
    result.figure(format!("record_{keys}"), cost, "us");
    let begin = Instant::now();
    let found = (0..BATCH).filter(|key| directory.find(now, *key).is_some()).count();
    let lookup = begin.elapsed().as_secs_f64() * MICRO / to_float(BATCH);
    result.figure(format!("find_{keys}"), lookup, "us");
    debug_assert!(found < SIZES[0], "drawn keys are hardly ever that small");
    cost
}

/// The same with one list sorted by key, whose expired entries are removed each second.
fn measure_sorted_list(result: &mut ExperimentResult, random: &mut SmallRng, keys: usize) {
    let mut list: SortedMap<StreamKey, u64> = SortedMap::new();
    for _ in 0..keys {
        list.insert(random.random(), 0);
    }
    let mut rounds = Vec::new();
    for _ in 0..ROUNDS {
        let begin = Instant::now();
        for _ in 0..BATCH {
            list.insert(random.random(), 1);
        }
        rounds.push(begin.elapsed().as_secs_f64() * MICRO / to_float(BATCH));
        let mut surplus = BATCH;
        list.retain(|_, _| {
            let is_expired = surplus > 0;
            surplus = surplus.saturating_sub(1);
            !is_expired
        });
    }
    result.baseline(format!("record_{keys}"), median(&rounds), "us");
}

/// Bytes that one key adds to a report, and what a node sends in a second at the target.
fn measure_reports(result: &mut ExperimentResult, random: &mut SmallRng) -> Result<(), BenchError> {
    let mut sizes = Vec::new();
    for keys in [100_u32, 1_100] {
        let mut book = OriginBook::default();
        for _ in 0..keys {
            book.record(Duration::ZERO, random.random(), Some(&origin(1)), PATIENCE, 1);
        }
        let begun = book.report(Duration::ZERO, false, 0);
        let report = OriginReport { begun, lookups: Vec::new() };
        let bytes = encode(&report).map_err(|error| BenchError::Fleet(error.to_string()))?;
        sizes.push(to_float(u64::try_from(bytes.len()).unwrap_or(u64::MAX)));
    }
    let key_bytes = (sizes[1] - sizes[0]) / 1_000.0;
    result.figure("report_bytes_per_key", key_bytes, "B");
    result.figure("report_bytes_per_node", NODE_REQUESTS * 2.0 * key_bytes, "B/s");
    result.figure("report_bytes_at_leader", KEYS_PER_SECOND * key_bytes, "B/s");
    Ok(())
}

/// What the second copies add to the polls of a router, and what a holder of copies receives in a
/// second at the target.
fn measure_copies(result: &mut ExperimentResult, random: &mut SmallRng) -> Result<(), BenchError> {
    let mut sizes = Vec::new();
    for keys in [0_u32, 100, 1_100] {
        let mut book = OriginBook::default();
        for _ in 0..keys {
            book.record(Duration::ZERO, random.random(), Some(&origin(1)), PATIENCE, 1);
        }
        let (_, begun) = book.copy(Duration::ZERO, false);
        let bytes = encode(&OriginCopy { holder: 1_764_000_000_000, begun });
        let bytes = bytes.map_err(|error| BenchError::Fleet(error.to_string()))?;
        sizes.push(to_float(u64::try_from(bytes.len()).unwrap_or(u64::MAX)));
    }
    let key_bytes = (sizes[2] - sizes[1]) / 1_000.0;
    result.figure("copy_bytes_per_poll", sizes[0], "B");
    result.figure("copy_bytes_per_node", NODE_REQUESTS * 2.0 * key_bytes, "B/s");
    let held = KEYS_PER_SECOND / COPY_HOLDERS * key_bytes;
    result.target("copy_bytes_at_holder", held, "B/s", TargetBound::AtMost(CONTROL_BYTES));
    Ok(())
}
