//! Slopes that need no fleet: decisions, messages, announcements and scrapes.

use crate::error::BenchError;
use crate::experiment::{ExperimentResult, TargetBound};
use crate::fleet::{Fleet, FleetPlan, row_of};
use crate::fleet_files::{token_of, zone_of};
use crate::load::to_float;
use crate::process_usage::resident_bytes;
use crate::slope_fit::{SlopeFit, growth_over_logarithm, median};
use baobabfall_core::decision_workload::DecisionWorkload;
use baobabfall_core::software_version::SoftwareVersion;
use baobabfall_core::upstream_registry::{UpstreamAnnouncement, UpstreamKind};
use baobabfall_core::workspace_table::{RowChange, WorkspaceTable};
use baobabfall_node::codec::{MESSAGE_LIMIT, encode};
use baobabfall_node::http_client::PeerClient;
use baobabfall_node::messages::{AnnounceMessage, FORWARD_PATH, RegistryView, TableUpdate};
use baobabfall_node::node_metrics::NodeMetrics;
use opentelemetry::KeyValue;
use serde::de::IgnoredAny;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Workspaces, table rows and label pairs that are compared.
pub const SIZES: [usize; 3] = [85, 850, 8500];
/// Upstreams of the target size and two smaller fleets.
const UPSTREAMS: [usize; 3] = [300, 600, 1200];
const ROUNDS: usize = 9;
/// Decisions of one timing; 1,152 slots are free.
const DECISIONS: usize = 1000;
const MODELS: usize = 13;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Scrapes of one timing.
const SCRAPES: u32 = 20;
/// Seconds between scrapes by `baobabfall-burn` unless told otherwise.
const SCRAPE_INTERVAL: f64 = 60.0;
/// Requests and tokens per second of one of 330 nodes at the peak.
pub const NODE_REQUESTS: f64 = 2_800.0 / 330.0;
const NODE_TOKENS: f64 = 890_000.0 / 330.0;
const RECORDS: u32 = 200_000;
const MICRO: f64 = 1e6;
const MEGABYTE: f64 = 1e6;

/// Targets of section 1.4 of the design.
const DECISION_LIMIT_US: f64 = 2.0;
const OBSERVATION_PERCENT: f64 = 0.2;
const OBSERVATION_MB: f64 = 4.0;

fn setup(error: impl ToString) -> BenchError {
    BenchError::Fleet(error.to_string())
}

fn size_of(count: usize) -> f64 {
    to_float(u64::try_from(count).unwrap_or(u64::MAX))
}

/// Processor time of the calling thread in seconds. The kernel updates it at
/// its ticks of up to 4 ms, so what is measured must take far longer.
fn own_time() -> Result<f64, BenchError> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanoseconds = text.split(' ').next().and_then(|field| field.parse().ok());
    Ok(Duration::from_nanos(nanoseconds.unwrap_or(0)).as_secs_f64())
}

/// Cost of one dispatch decision with a tenth of the workspaces backlogged.
pub fn measure_decisions(result: &mut ExperimentResult) -> Result<(), BenchError> {
    let mut costs = Vec::new();
    for workspaces in SIZES {
        let mut workload = DecisionWorkload::new(workspaces, workspaces / 10);
        let mut rounds = Vec::new();
        for _ in 0..ROUNDS * 3 {
            // Too short for the processor time; the median leaves out preempted rounds.
            let begin = Instant::now();
            let made = workload.run(DECISIONS);
            rounds.push(begin.elapsed().as_secs_f64() / size_of(made) * MICRO);
            workload.release();
        }
        let cost = median(&rounds);
        result.figure(format!("decision_{workspaces}"), cost, "us");
        costs.push((size_of(workspaces), cost));
    }
    let (first, middle, last) = (costs[0], costs[1], costs[2]);
    result.figure("decision_ratio_8500_to_85", last.1 / first.1, "ratio");
    let bound = TargetBound::AtMost(DECISION_LIMIT_US);
    result.target("decision_850", middle.1, "us", bound);
    let growth = growth_over_logarithm(first.0, first.1, last.0, last.1);
    result.target("decision_growth_of_logarithm", growth, "ratio", TargetBound::AtMost(1.0));
    Ok(())
}

fn engine(index: usize) -> UpstreamAnnouncement {
    let port = 10_000 + u16::try_from(index % 50_000).unwrap_or(0);
    let model = |n: usize| format!("model-{}", (index + n) % MODELS);
    UpstreamAnnouncement {
        name: format!("engine-{index:05}"),
        incarnation: 1_764_000_000_000,
        sequence: 1,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        kind: UpstreamKind::Model,
        serves: (0..3).map(model).collect(),
        zone: zone_of(index).to_owned(),
        concurrency: 64,
        pool: None,
        honours_fencing: false,
        resume: true,
        cancel: true,
        leaving: false,
        running: Some(12),
        software: SoftwareVersion::parse("v1.2"),
        cold_ms: None,
    }
}

/// Bytes of one table change, a whole table and a registry view.
pub fn measure_messages(result: &mut ExperimentResult) -> Result<(), BenchError> {
    for rows in SIZES {
        let mut table = WorkspaceTable::default();
        let put = |index: usize| RowChange::Put { row: row_of(index, 1, 8) };
        table.apply(&(0..rows).map(put).collect::<Vec<_>>());
        let update = |from, changes| TableUpdate {
            from,
            to: 100_001,
            changes,
            digest: table.digest(),
            age_ms: 3,
        };
        let change = encode(&update(100_000, vec![put(1)])).map_err(setup)?;
        result.figure(format!("table_change_{rows}_rows"), size_of(change.len()), "B");
        let whole = rmp_serde::to_vec_named(&update(0, (0..rows).map(put).collect()));
        let bytes = size_of(whole.map_err(setup)?.len());
        result.figure(format!("whole_table_{rows}_rows"), bytes, "B");
    }
    result.figure("message_limit", size_of(MESSAGE_LIMIT), "B");
    for upstreams in UPSTREAMS {
        let view =
            RegistryView { version: (7, 99), upstreams: (0..upstreams).map(engine).collect() };
        let mut rounds = Vec::new();
        let mut bytes = 0;
        for _ in 0..ROUNDS {
            let begin = Instant::now();
            bytes = encode(&view).map_err(setup)?.len();
            rounds.push(begin.elapsed().as_secs_f64() * MICRO);
        }
        result.figure(format!("registry_view_{upstreams}"), size_of(bytes), "B");
        result.figure(format!("registry_view_encode_{upstreams}"), median(&rounds), "us");
    }
    Ok(())
}

/// Processor time of the leader per announcement that a router forwards.
pub async fn measure_announcements(result: &mut ExperimentResult) -> Result<(), BenchError> {
    let plan = FleetPlan { controllers: 1, routers: 0, rows: Vec::new(), limits: String::new() };
    let fleet = Fleet::start(plan).await?;
    let client = PeerClient::new(fleet.controller_addresses()[0]);
    let token = token_of("process");
    let thread = fleet.controller_thread(0);
    let mut points = Vec::new();
    let mut sequence = 0;
    for upstreams in UPSTREAMS {
        sequence += 1;
        for index in 0..upstreams {
            let announcement = UpstreamAnnouncement { sequence, ..engine(index) };
            announce(&client, &token, announcement).await?;
        }
        let mut rounds = Vec::new();
        for _ in 0..3 {
            sequence += 1;
            let begin = thread.processor_time()?;
            for index in 0..upstreams {
                let announcement = UpstreamAnnouncement { sequence, ..engine(index) };
                announce(&client, &token, announcement).await?;
            }
            let spent = thread.processor_time()?.saturating_sub(begin).as_secs_f64();
            rounds.push(spent / size_of(upstreams));
        }
        let cost = median(&rounds);
        result.figure(format!("announcement_{upstreams}_known"), cost * MICRO, "us");
        points.push((size_of(upstreams), cost));
    }
    let renewals = points.last().map_or(0.0, |(upstreams, cost)| upstreams * cost);
    result.figure("leader_core_share_announcements_1200", renewals, "cores");
    fleet.end().await
}

/// Sends an announcement to a controller as a router does.
pub(crate) async fn announce(
    client: &PeerClient,
    token: &str,
    announcement: UpstreamAnnouncement,
) -> Result<(), BenchError> {
    let message = AnnounceMessage::Announce(vec![announcement]);
    let _: IgnoredAny =
        client.call(FORWARD_PATH, token, &message, CALL_TIMEOUT).await.map_err(setup)?;
    Ok(())
}

/// Cost of the instruments and of one scrape by the number of label pairs.
pub fn measure_scrapes(result: &mut ExperimentResult) -> Result<(), BenchError> {
    let mut memory = Vec::new();
    for pairs in SIZES {
        let before = to_float(resident_bytes()?);
        let metrics = NodeMetrics::new().map_err(BenchError::Fleet)?;
        for pair in 0..pairs {
            record_request(&metrics, pair);
        }
        let mut text = metrics.scrape();
        let begin = own_time()?;
        for _ in 0..SCRAPES {
            text = metrics.scrape();
        }
        let cost = (own_time()? - begin) / f64::from(SCRAPES);
        let held = (to_float(resident_bytes()?) - before) / MEGABYTE;
        let begin = own_time()?;
        for round in 0..RECORDS {
            record_request(&metrics, usize::try_from(round).unwrap_or(0) % pairs);
        }
        let request = (own_time()? - begin) / f64::from(RECORDS);
        let begin = own_time()?;
        for round in 0..RECORDS {
            record_token(&metrics, usize::try_from(round).unwrap_or(0));
        }
        let token = (own_time()? - begin) / f64::from(RECORDS);
        let share = cost / SCRAPE_INTERVAL + request * NODE_REQUESTS + token * NODE_TOKENS;
        let series = String::from_utf8_lossy(&text).matches("\nbaobabfall_requests").count();
        result.figure(format!("scrape_{pairs}_pairs"), cost * MICRO, "us");
        result.figure(format!("scrape_bytes_{pairs}_pairs"), size_of(text.len()), "B");
        result.figure(format!("scrape_request_series_{pairs}_pairs"), size_of(series), "series");
        result.figure(format!("record_request_{pairs}_pairs"), request * MICRO, "us");
        result.figure(format!("record_token_{pairs}_pairs"), token * MICRO, "us");
        result.figure(format!("observation_core_share_{pairs}_pairs"), share * 100.0, "%");
        result.figure(format!("observation_memory_{pairs}_pairs"), held, "MB");
        memory.push((pairs, share, held, metrics));
    }
    let (_, share, held, _) = &memory[1];
    let bound = TargetBound::AtMost(OBSERVATION_PERCENT);
    result.target("observation_core_share_850", share * 100.0, "%", bound);
    let bound = TargetBound::AtMost(OBSERVATION_MB);
    result.target("observation_memory_850", *held, "MB", bound);
    Ok(())
}

/// What a router records for one request.
fn record_request(metrics: &NodeMetrics, pair: usize) {
    let workspace = KeyValue::new("workspace", format!("workspace-{pair}"));
    let model = KeyValue::new("model", format!("model-{}", pair % MODELS));
    let labels = [workspace, model];
    let outcome = KeyValue::new("outcome", "complete");
    let labelled = [labels[0].clone(), labels[1].clone(), outcome];
    metrics.requests.add(1, &labelled);
    metrics.answers.add(1, &labelled);
    metrics.first_token.record(0.3, &labels);
}

fn record_token(metrics: &NodeMetrics, index: usize) {
    let model = KeyValue::new("model", format!("model-{}", index % MODELS));
    metrics.token_gap.record(0.02, &[model]);
}

/// Line through points, or why there is none.
pub fn fit(points: &[(f64, f64)]) -> Result<SlopeFit, BenchError> {
    SlopeFit::through(points).ok_or_else(|| BenchError::Empty("one size only".to_owned()))
}
