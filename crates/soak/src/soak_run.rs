//! Execution of one run: starts the processes and the load, injects the faults, waits for recovery,
//! stops each router as planned, and checks the invariants.

use crate::error::SoakError;
use crate::fault_schedule::{
    FaultKind, FaultStyle, PlannedFault, SiteSize, plan_faults, plan_lasting_faults,
    plan_series_faults,
};
use crate::in_force_check::{FaultEvent, RouterSample};
use crate::invariant_check::{
    CallType, InvariantViolation, IsolatedStop, RunEvidence, check_invariants,
};
use crate::soak_load::{SharedRecords, SoakCaller, SoakOperator};
use crate::soak_site::{SoakSite, WORKSPACES, credential};
use baobabfall_bench::answer_check::CallVerdict;
use baobabfall_bench::caller::{CallKind, CallOrder, CallerClient, SilentObserver};
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_node::http_client::PeerClient;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Timeout for newly started processes to accept the first table and serve calls.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for recovery after the last fault: an election takes up to 1.2 s, an ejected
/// upstream is used again within 5 s, and a restarted router must fetch its first table.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Pause between the start of a planned router stop and the wait for its exit, and again after the
/// restart of the router.
const ISOLATED_STOP_PAUSE: Duration = Duration::from_millis(1_500);
/// Pause between two attempts of a wait loop and between two polls of a router.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of concurrent callers.
const CALLER_COUNT: usize = 8;
/// Timeout of one readiness call or status request.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct RunPlan<'a> {
    /// Seed of the fault schedule and the load.
    pub seed: u64,
    /// Nominal length of the run; faults begin in its first 55 percent.
    pub span: Duration,
    /// Number of processes of each role and of upstreams.
    pub size: SiteSize,
    /// Style of the fault schedule.
    pub style: FaultStyle,
    /// Folder that contains the controller and router programs.
    pub programs: &'a Path,
    /// Folder in which settings, state and logs are written.
    pub folder: &'a Path,
}

/// Result of one run, as printed in the report.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// Seed of the run.
    pub seed: u64,
    /// Scheduled faults in the order of their starts.
    pub faults: Vec<PlannedFault>,
    /// Number of calls by call type and verdict.
    pub verdicts: Vec<(String, usize)>,
    /// Total number of calls.
    pub calls: usize,
    /// Number of requests that the upstreams executed.
    pub executions: usize,
    /// Number of table edits that were acknowledged.
    pub edits: usize,
    /// Number of planned router stops without other faults.
    pub isolated_stops: usize,
    /// Time from the end of the last fault to full recovery; `None` if it timed out.
    pub recovery_time: Option<Duration>,
    /// Violations of invariants.
    pub violations: Vec<InvariantViolation>,
}

#[derive(Deserialize)]
struct RouterStatus {
    incarnation: u64,
    revision: u64,
    evacuations_version: u64,
}

/// Executes one run. Fails if the processes cannot be started or do not become ready.
pub async fn run_seed(plan: RunPlan<'_>) -> Result<RunOutcome, SoakError> {
    let is_open = plan.style == FaultStyle::Series;
    let mut site = SoakSite::start(plan.folder, plan.programs, plan.size, is_open).await?;
    let records = SharedRecords::start();
    let operator = SoakOperator::new("first", &site.controller_addresses, records.clone());
    if let Err(error) = wait_until_ready(&site, &operator).await {
        let exits = site.unexpected_exits().join(", ");
        return Err(SoakError::NotReady(format!("{error} {exits}")));
    }
    site.end_first_start()?;
    let (stop, stop_signal) = watch::channel(false);
    let tasks = start_load(plan, &site, &records, &stop_signal);
    let faults = match plan.style {
        FaultStyle::Dense => plan_faults(plan.seed, plan.span, plan.size),
        FaultStyle::Lasting => plan_lasting_faults(plan.seed, plan.span, plan.size),
        FaultStyle::Series => plan_series_faults(plan.seed, plan.span, plan.size),
    };
    let mut evidence = RunEvidence { controllers: plan.size.controllers, ..RunEvidence::default() };
    inject_faults(&mut site, &faults, &records, &mut evidence).await?;
    let last = records.started.elapsed();
    let recovered = wait_until_recovered(&site, &operator, &records).await;
    match recovered {
        Ok(_) => stop_each_router(&mut site, plan.size.routers, &records, &mut evidence).await?,
        Err(ref fault) => evidence.recovery_failures.push(fault.clone()),
    }
    stop.send_replace(true);
    tasks.join_all().await;
    evidence.exit_failures.extend(site.unexpected_exits());
    collect_final_state(&site, &operator, &mut evidence).await;
    evidence.executions = site.executions();
    records.with(|records| {
        evidence.calls = std::mem::take(&mut records.calls);
        evidence.edits = std::mem::take(&mut records.edits);
        evidence.revision_samples = std::mem::take(&mut records.revision_samples);
        evidence.router_samples = std::mem::take(&mut records.router_samples);
        evidence.evacuations = std::mem::take(&mut records.evacuations);
        evidence.evacuation_samples = std::mem::take(&mut records.evacuation_samples);
    });
    Ok(RunOutcome {
        seed: plan.seed,
        faults,
        verdicts: count_verdicts(&evidence),
        calls: evidence.calls.len(),
        executions: evidence.executions.len(),
        edits: evidence.edits.len(),
        isolated_stops: evidence.isolated_stops.len(),
        recovery_time: recovered.ok().map(|at| at.saturating_sub(last)),
        violations: check_invariants(&evidence),
    })
}

fn start_load(
    plan: RunPlan<'_>,
    site: &SoakSite,
    records: &SharedRecords,
    stop_signal: &watch::Receiver<bool>,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    for index in 0..CALLER_COUNT {
        let caller = SoakCaller {
            index,
            seed: plan.seed,
            routers: site.caller_addresses.clone(),
            records: records.clone(),
        };
        tasks.spawn(caller.run(stop_signal.clone()));
    }
    for (router, address) in site.fleet_addresses.iter().copied().enumerate() {
        tasks.spawn(poll_router(router, address, records.clone(), stop_signal.clone()));
    }
    // Two operators edit the table concurrently, so that some edits conflict.
    for name in ["ana", "bo"] {
        let name = format!("{name}-s{}", plan.seed);
        let operator = SoakOperator::new(&name, &site.controller_addresses, records.clone());
        tasks.spawn(operator.run(stop_signal.clone()));
    }
    let operator = SoakOperator::new("cy", &site.controller_addresses, records.clone());
    tasks.spawn(operator.evacuate_zones(stop_signal.clone()));
    tasks
}

/// Polls a router for the table revision in force there until `stop` becomes true.
async fn poll_router(
    router: usize,
    address: SocketAddr,
    records: SharedRecords,
    stop: watch::Receiver<bool>,
) {
    let client = PeerClient::new(address);
    while !*stop.borrow() {
        let requested_at = records.started.elapsed();
        if let Some(status) = router_status(&client).await {
            let RouterStatus { incarnation, revision, evacuations_version } = status;
            let table = RouterSample { router, requested_at, incarnation, revision };
            let evacuations = RouterSample { revision: evacuations_version, ..table };
            records.with(|records| {
                records.router_samples.push(table);
                records.evacuation_samples.push(evacuations);
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn router_status(client: &PeerClient) -> Option<RouterStatus> {
    let token = credential("process");
    client.call_json::<(), _>("/status", &token, None, PROBE_TIMEOUT).await.ok()
}

/// Waits until the first table is accepted and every router serves a call.
async fn wait_until_ready(site: &SoakSite, operator: &SoakOperator) -> Result<(), String> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while !operator.edit(0).await {
        if Instant::now() > deadline {
            return Err("no controller accepted the first table".to_owned());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    for (router, address) in site.caller_addresses.iter().enumerate() {
        let mut number = 0;
        while !serves_calls(*address, &format!("ready-{router}-{number}")).await {
            number += 1;
            if Instant::now() > deadline {
                return Err(format!("router-{} does not serve", router + 1));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Returns true if the router completes a streamed model answer.
async fn serves_calls(address: SocketAddr, request_id: &str) -> bool {
    let kind = CallKind::Chat {
        model: crate::soak_site::MODEL.to_owned(),
        prompt_bytes: 200,
        tokens: 4,
        max_tokens: 4,
        stream: true,
    };
    let order = CallOrder { request_id: request_id.to_owned(), kind, limit: PROBE_TIMEOUT };
    let mut client = CallerClient::new(WORKSPACES[0].1);
    let report = client.call(address, &order, &mut SilentObserver).await;
    report.verdict == CallVerdict::Complete
}

/// Begins and ends each fault at its scheduled time.
async fn inject_faults(
    site: &mut SoakSite,
    faults: &[PlannedFault],
    records: &SharedRecords,
    evidence: &mut RunEvidence,
) -> Result<(), SoakError> {
    let start = Instant::now();
    let begins = faults.iter().map(|fault| (fault.at, true, fault.kind));
    let ends = faults.iter().map(|fault| (fault.at + fault.duration, false, fault.kind));
    let mut steps: Vec<(Duration, bool, FaultKind)> = begins.chain(ends).collect();
    steps.sort_by_key(|(at, ..)| *at);
    for (at, begins, kind) in steps {
        tokio::time::sleep_until(start + at).await;
        evidence.exit_failures.extend(site.unexpected_exits());
        match begins {
            true => {
                record_event(records, true, kind, evidence);
                site.begin_fault(kind).await;
            }
            false => {
                end_recorded_fault(site, kind, evidence).await?;
                record_event(records, false, kind, evidence);
            }
        }
    }
    Ok(())
}

fn record_event(
    records: &SharedRecords,
    begins: bool,
    kind: FaultKind,
    evidence: &mut RunEvidence,
) {
    let at = records.started.elapsed();
    evidence.events.push(FaultEvent { at, begins, kind });
}

/// Stops and restarts the routers one after the other while no other fault is active.
async fn stop_each_router(
    site: &mut SoakSite,
    routers: usize,
    records: &SharedRecords,
    evidence: &mut RunEvidence,
) -> Result<(), SoakError> {
    for router in 0..routers {
        let at = records.started.elapsed();
        let stop = FaultKind::StopRouter(router);
        record_event(records, true, stop, evidence);
        site.begin_fault(stop).await;
        evidence.isolated_stops.push(IsolatedStop { router, at });
        tokio::time::sleep(ISOLATED_STOP_PAUSE).await;
        end_recorded_fault(site, stop, evidence).await?;
        record_event(records, false, stop, evidence);
        tokio::time::sleep(ISOLATED_STOP_PAUSE).await;
    }
    Ok(())
}

async fn end_recorded_fault(
    site: &mut SoakSite,
    kind: FaultKind,
    evidence: &mut RunEvidence,
) -> Result<(), SoakError> {
    if !site.end_fault(kind).await? {
        evidence.exit_failures.push(format!("{kind:?}: it did not end after SIGTERM"));
    }
    Ok(())
}

/// Waits until an edit is accepted and every router serves a call again. Returns the time of
/// recovery, measured from the start of the load.
async fn wait_until_recovered(
    site: &SoakSite,
    operator: &SoakOperator,
    records: &SharedRecords,
) -> Result<Duration, String> {
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    let mut number = 1;
    while !operator.edit(number).await {
        number += 1;
        if Instant::now() > deadline {
            return Err("no edit was accepted".to_owned());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    for (router, address) in site.caller_addresses.iter().enumerate() {
        while !serves_calls(*address, &format!("again-{router}-{number}")).await {
            number += 1;
            if Instant::now() > deadline {
                return Err(format!("router-{} does not serve", router + 1));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(records.started.elapsed())
}

async fn collect_final_state(site: &SoakSite, operator: &SoakOperator, evidence: &mut RunEvidence) {
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    loop {
        evidence.final_table = operator.read().await.map(|view| (view.revision, view.digest));
        evidence.final_router_revisions = router_revisions(site).await;
        let revision = evidence.final_table.as_ref().map(|(revision, _)| *revision);
        let settled = revision.is_some()
            && evidence.final_router_revisions.iter().all(|(_, in_force)| *in_force >= revision);
        if settled || Instant::now() > deadline {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn router_revisions(site: &SoakSite) -> Vec<(String, Option<u64>)> {
    let mut revisions = Vec::new();
    for (router, address) in site.fleet_addresses.iter().enumerate() {
        let status = router_status(&PeerClient::new(*address)).await;
        let revision = status.map(|status| status.revision);
        revisions.push((format!("router-{}", router + 1), revision));
    }
    revisions
}

fn count_verdicts(evidence: &RunEvidence) -> Vec<(String, usize)> {
    let mut counts: SortedMap<(CallType, String), usize> = SortedMap::new();
    for call in &evidence.calls {
        let verdict = format!("{:?}", call.verdict);
        *counts.get_or_insert_with((call.kind, verdict), || 0) += 1;
    }
    counts.iter().map(|((kind, verdict), count)| (format!("{kind:?} {verdict}"), *count)).collect()
}
