//! One run: start, load under faults, planned stops, recovery and checks.

use crate::error::SoakError;
use crate::fault_schedule::{
    FaultKind, FaultStyle, PlannedFault, SiteSize, plan_faults, plan_lasting_faults,
};
use crate::in_force_check::{FaultEvent, RouterSight};
use crate::invariant_check::{
    CallKindName, CalmStop, InvariantViolation, RunEvidence, check_invariants,
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

/// Time in which a new site becomes ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time after the last fault in which everything works again: an election takes
/// up to 1.2 s, an ejected upstream returns within 5 s, and a router that
/// restarts needs its first table.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);
/// Time between planned stops without other faults.
const CALM_PAUSE: Duration = Duration::from_millis(1_500);
/// Pause between two attempts.
const POLL_PAUSE: Duration = Duration::from_millis(100);
/// Callers in a run.
const CALLERS: usize = 8;
/// Time that one trial call may take.
const TRIAL_LIMIT: Duration = Duration::from_secs(2);

/// What a run is made of.
#[derive(Clone, Copy, Debug)]
pub struct RunPlan<'a> {
    /// Seed of the faults and the load.
    pub seed: u64,
    /// Time in which faults begin, and the load around it.
    pub span: Duration,
    /// Roles.
    pub size: SiteSize,
    /// How faults follow one another.
    pub style: FaultStyle,
    /// Folder with the programs.
    pub programs: &'a Path,
    /// Folder for settings, state and logs.
    pub folder: &'a Path,
}

/// What a run gave.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// Seed.
    pub seed: u64,
    /// Faults that were made, in order.
    pub faults: Vec<PlannedFault>,
    /// Calls by verdict.
    pub verdicts: Vec<(String, usize)>,
    /// Calls.
    pub calls: usize,
    /// Executions at the upstreams.
    pub executions: usize,
    /// Acknowledged edits.
    pub edits: usize,
    /// Planned stops without other faults.
    pub calm_stops: usize,
    /// Time from the last fault until everything worked again.
    pub recovered: Option<Duration>,
    /// Invariants that did not hold.
    pub violations: Vec<InvariantViolation>,
}

#[derive(Deserialize)]
struct RouterView {
    revision: u64,
}

/// Plays one seed.
pub async fn play_seed(plan: RunPlan<'_>) -> Result<RunOutcome, SoakError> {
    let mut site = SoakSite::start(plan.folder, plan.programs, plan.size).await?;
    let records = SharedRecords::start();
    let operator = SoakOperator::new("first", &site.operators, records.clone());
    if let Err(error) = wait_ready(&site, &operator).await {
        let ended = site.ended_by_themselves().join(", ");
        return Err(SoakError::NotReady(format!("{error} {ended}")));
    }
    let (stop, stopped) = watch::channel(false);
    let tasks = start_load(plan, &site, &records, &stopped);
    let faults = match plan.style {
        FaultStyle::Dense => plan_faults(plan.seed, plan.span, plan.size),
        FaultStyle::Lasting => plan_lasting_faults(plan.seed, plan.span, plan.size),
    };
    let mut evidence = RunEvidence { controllers: plan.size.controllers, ..RunEvidence::default() };
    make_faults(&mut site, &faults, &records, &mut evidence).await?;
    let last = records.started.elapsed();
    let recovered = wait_recovered(&site, &operator, &records).await;
    match recovered {
        Ok(_) => stop_each_router(&mut site, plan.size.routers, &records, &mut evidence).await?,
        Err(ref fault) => evidence.not_recovered.push(fault.clone()),
    }
    stop.send_replace(true);
    tasks.join_all().await;
    evidence.process_faults.extend(site.ended_by_themselves());
    gather_last_state(&site, &operator, &mut evidence).await;
    evidence.executions = site.executions();
    records.with(|records| {
        evidence.calls = std::mem::take(&mut records.calls);
        evidence.edits = std::mem::take(&mut records.edits);
        evidence.sights = std::mem::take(&mut records.sights);
        evidence.router_sights = std::mem::take(&mut records.router_sights);
    });
    Ok(RunOutcome {
        seed: plan.seed,
        faults,
        verdicts: count_verdicts(&evidence),
        calls: evidence.calls.len(),
        executions: evidence.executions.len(),
        edits: evidence.edits.len(),
        calm_stops: evidence.calm_stops.len(),
        recovered: recovered.ok().map(|at| at.saturating_sub(last)),
        violations: check_invariants(&evidence),
    })
}

fn start_load(
    plan: RunPlan<'_>,
    site: &SoakSite,
    records: &SharedRecords,
    stopped: &watch::Receiver<bool>,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    for index in 0..CALLERS {
        let caller = SoakCaller {
            index,
            seed: plan.seed,
            routers: site.callers.clone(),
            records: records.clone(),
        };
        tasks.spawn(caller.run(stopped.clone()));
    }
    for (router, address) in site.fleets.iter().copied().enumerate() {
        tasks.spawn(watch_router(router, address, records.clone(), stopped.clone()));
    }
    // Two operators edit at the same time, so that some edits race.
    for name in ["ana", "bo"] {
        let name = format!("{name}-s{}", plan.seed);
        let operator = SoakOperator::new(&name, &site.operators, records.clone());
        tasks.spawn(operator.run(stopped.clone()));
    }
    tasks
}

/// Asks a router again and again which revision is in force.
async fn watch_router(
    router: usize,
    address: SocketAddr,
    records: SharedRecords,
    stop: watch::Receiver<bool>,
) {
    let client = PeerClient::new(address);
    while !*stop.borrow() {
        let begun = records.started.elapsed();
        if let Some(revision) = router_revision(&client).await {
            let sight = RouterSight { router, begun, revision };
            records.with(|records| records.router_sights.push(sight));
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

async fn router_revision(client: &PeerClient) -> Option<u64> {
    let token = credential("process");
    let view: Result<RouterView, _> =
        client.call_json::<(), _>("/status", &token, None, TRIAL_LIMIT).await;
    view.ok().map(|view| view.revision)
}

/// Waits until the first table is in force and every router serves.
async fn wait_ready(site: &SoakSite, operator: &SoakOperator) -> Result<(), String> {
    let end = Instant::now() + READY_LIMIT;
    while !operator.edit(0).await {
        if Instant::now() > end {
            return Err("the first table was not accepted".to_owned());
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    for (router, address) in site.callers.iter().enumerate() {
        let mut number = 0;
        while !serves(*address, &format!("ready-{router}-{number}")).await {
            number += 1;
            if Instant::now() > end {
                return Err(format!("router-{} does not serve", router + 1));
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }
    Ok(())
}

/// True when a model stream is answered whole.
async fn serves(address: SocketAddr, request_id: &str) -> bool {
    let kind = CallKind::Chat {
        model: crate::soak_site::MODEL.to_owned(),
        prompt_bytes: 200,
        tokens: 4,
        max_tokens: 4,
        stream: true,
    };
    let order = CallOrder { request_id: request_id.to_owned(), kind, limit: TRIAL_LIMIT };
    let mut client = CallerClient::new(WORKSPACES[0].1);
    let report = client.call(address, &order, &mut SilentObserver).await;
    report.verdict == CallVerdict::Complete
}

/// Begins and ends each fault at its time.
async fn make_faults(
    site: &mut SoakSite,
    faults: &[PlannedFault],
    records: &SharedRecords,
    evidence: &mut RunEvidence,
) -> Result<(), SoakError> {
    let start = Instant::now();
    let begins = faults.iter().map(|fault| (fault.at, true, fault.kind));
    let ends = faults.iter().map(|fault| (fault.at + fault.lasting, false, fault.kind));
    let mut steps: Vec<(Duration, bool, FaultKind)> = begins.chain(ends).collect();
    steps.sort_by_key(|(at, ..)| *at);
    for (at, begins, kind) in steps {
        tokio::time::sleep_until(start + at).await;
        evidence.process_faults.extend(site.ended_by_themselves());
        match begins {
            true => {
                note_event(records, true, kind, evidence);
                site.begin(kind).await;
            }
            false => {
                note_end(site, kind, evidence).await?;
                note_event(records, false, kind, evidence);
            }
        }
    }
    Ok(())
}

fn note_event(records: &SharedRecords, begins: bool, kind: FaultKind, evidence: &mut RunEvidence) {
    let at = records.started.elapsed();
    evidence.events.push(FaultEvent { at, begins, kind });
}

/// Stops the routers one after the other while nothing else is wrong.
async fn stop_each_router(
    site: &mut SoakSite,
    routers: usize,
    records: &SharedRecords,
    evidence: &mut RunEvidence,
) -> Result<(), SoakError> {
    for router in 0..routers {
        let at = records.started.elapsed();
        let stop = FaultKind::StopRouter(router);
        note_event(records, true, stop, evidence);
        site.begin(stop).await;
        evidence.calm_stops.push(CalmStop { router, at });
        tokio::time::sleep(CALM_PAUSE).await;
        note_end(site, stop, evidence).await?;
        note_event(records, false, stop, evidence);
        tokio::time::sleep(CALM_PAUSE).await;
    }
    Ok(())
}

async fn note_end(
    site: &mut SoakSite,
    kind: FaultKind,
    evidence: &mut RunEvidence,
) -> Result<(), SoakError> {
    if !site.end(kind).await? {
        evidence.process_faults.push(format!("{kind:?}: it did not end after SIGTERM"));
    }
    Ok(())
}

/// Waits until an edit is accepted and every router serves again.
async fn wait_recovered(
    site: &SoakSite,
    operator: &SoakOperator,
    records: &SharedRecords,
) -> Result<Duration, String> {
    let end = Instant::now() + RECOVERY_LIMIT;
    let mut number = 1;
    while !operator.edit(number).await {
        number += 1;
        if Instant::now() > end {
            return Err("no edit was accepted".to_owned());
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    for (router, address) in site.callers.iter().enumerate() {
        while !serves(*address, &format!("again-{router}-{number}")).await {
            number += 1;
            if Instant::now() > end {
                return Err(format!("router-{} does not serve", router + 1));
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }
    Ok(records.started.elapsed())
}

async fn gather_last_state(site: &SoakSite, operator: &SoakOperator, evidence: &mut RunEvidence) {
    let end = Instant::now() + RECOVERY_LIMIT;
    loop {
        evidence.last_table = operator.read().await.map(|view| (view.revision, view.digest));
        evidence.router_revisions = router_revisions(site).await;
        let revision = evidence.last_table.as_ref().map(|(revision, _)| *revision);
        let settled = revision.is_some()
            && evidence.router_revisions.iter().all(|(_, held)| *held >= revision);
        if settled || Instant::now() > end {
            return;
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

async fn router_revisions(site: &SoakSite) -> Vec<(String, Option<u64>)> {
    let mut revisions = Vec::new();
    for (router, address) in site.fleets.iter().enumerate() {
        let revision = router_revision(&PeerClient::new(*address)).await;
        revisions.push((format!("router-{}", router + 1), revision));
    }
    revisions
}

fn count_verdicts(evidence: &RunEvidence) -> Vec<(String, usize)> {
    let mut counts: SortedMap<(CallKindName, String), usize> = SortedMap::new();
    for call in &evidence.calls {
        let verdict = format!("{:?}", call.verdict);
        *counts.get_or_insert_with((call.kind, verdict), || 0) += 1;
    }
    counts.iter().map(|((kind, verdict), count)| (format!("{kind:?} {verdict}"), *count)).collect()
}
