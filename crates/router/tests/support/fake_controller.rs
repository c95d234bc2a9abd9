//! A fake controller that grants waiting requests slots of the upstreams in turn.

use baobabfall_core::departure_set::DepartureList;
use baobabfall_core::dispatch_messages::{
    BacklogRefusal, DispatchAnswer, DispatchReport, LeaseEnd, LeaseId, LimitList, OriginAnswer,
    OriginCopy, OriginLookup, PartList, SlotGrant, StreamKey, StreamOrigin,
};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::local_dispatcher::route_of;
use baobabfall_core::route_table::RouteTable;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::upstream_registry::UpstreamAnnouncement;
use baobabfall_core::workspace_table::{WorkspaceTable, hash_key};
use baobabfall_core::zone_evacuations::EvacuationList;
use baobabfall_node::http_server::{
    FullResponse, ServerLimits, error_response, message_response, read_message, serve,
};
use baobabfall_node::messages::{
    ActionReport, AnnounceMessage, CLAIM_PATH, ClaimAnswer, ClaimRequest, FORWARD_PATH,
    FencingToken, ORIGINS_PATH, OUTCOME_PATH, OutcomeRequest, PlannedStop, REPORT_PATH,
    RegistryView, SYNC_PATH, StopList, SyncAnswer, SyncRequest, TableUpdate,
};
use baobabfall_node::stop_signal::{StopPhase, StopSender, stop_channel};
use http::Request;
use hyper::body::Incoming;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;

/// Behaviour that a test sets for the controller, and the messages that it received.
pub struct ControllerScript {
    pub upstreams: Vec<UpstreamAnnouncement>,
    pub stops: Vec<PlannedStop>,
    pub stops_version: u64,
    /// Departures in sync answers.
    pub departures: Option<DepartureList>,
    /// Evacuated zones in sync answers.
    pub evacuations: EvacuationList,
    /// Value of `evacuation_pending` in sync answers: whether the log holds an order that is not
    /// applied.
    pub evacuation_pending: bool,
    /// Route table in sync answers.
    pub routes: Option<Arc<RouteTable>>,
    pub registry_version: u64,
    pub confirmed: bool,
    /// Leaves every request unanswered.
    pub silent: bool,
    /// Delay before every answer.
    pub delay: Duration,
    /// Rejects every request except syncs as sent to a follower.
    pub not_leader: bool,
    /// Value of `leads` in sync answers: whether this controller is the leader.
    pub leads: bool,
    /// Value of `in_contact` in sync answers: whether a follower hears from its group.
    pub in_contact: bool,
    pub leader: Option<SocketAddr>,
    /// If set, sync answers come from a process that is no member and names the group only.
    pub group_age_ms: Option<u64>,
    /// Members of the group in sync answers.
    pub members: Vec<SocketAddr>,
    pub term: u64,
    /// Number of grants that it may still make.
    pub free_slots: usize,
    /// Refusals in every dispatch answer.
    pub refusals: Vec<BacklogRefusal>,
    /// List of quarantined parts of prompts in every dispatch answer.
    pub parts: Option<PartList>,
    /// List of the upstreams' request rates in every dispatch answer.
    pub limits: Option<LimitList>,
    /// Origins of streams that other routers began.
    pub origins: SortedMap<StreamKey, StreamOrigin>,
    /// Streams of several origins, in answers to lookups.
    pub ambiguous: Vec<StreamKey>,
    /// Incarnation in sync answers, and the copies of origins in sync requests.
    pub holder: u64,
    pub copies: Vec<OriginCopy>,
    /// Grants to send once, in addition to those for the backlog.
    pub extra_grants: Vec<SlotGrant>,
    /// Answers to the next claims, in order; further claims are granted.
    pub claim_answers: Vec<ClaimAnswer>,
    /// Number of claim requests whose answer is still to be lost.
    pub lost_claim_answers: usize,
    pub reports: Vec<DispatchReport>,
    pub claims: Vec<ClaimRequest>,
    pub outcomes: Vec<ActionReport>,
    pub forwarded: Vec<AnnounceMessage>,
    /// Ended leases with their charge in cost units.
    pub ended_leases: Vec<(LeaseId, LeaseEnd, u64)>,
    pub sync_count: usize,
    /// Grants that no report has acknowledged.
    unacknowledged_grants: Vec<SlotGrant>,
    next_number: u64,
    next_upstream: usize,
    /// Highest sequence number of the reports that were applied.
    acknowledged: u64,
}

pub struct FakeController {
    pub address: SocketAddr,
    script: Arc<Mutex<ControllerScript>>,
    stop: StopSender,
}

impl FakeController {
    pub async fn start(upstreams: Vec<UpstreamAnnouncement>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let script = Arc::new(Mutex::new(ControllerScript {
            upstreams,
            stops: Vec::new(),
            stops_version: 0,
            departures: None,
            evacuations: EvacuationList::default(),
            evacuation_pending: false,
            routes: None,
            registry_version: 1,
            confirmed: true,
            silent: false,
            delay: Duration::ZERO,
            not_leader: false,
            leads: true,
            in_contact: false,
            leader: Some(address),
            group_age_ms: None,
            members: Vec::new(),
            term: 3,
            free_slots: usize::MAX,
            refusals: Vec::new(),
            parts: None,
            limits: None,
            origins: SortedMap::new(),
            ambiguous: Vec::new(),
            holder: 1,
            copies: Vec::new(),
            extra_grants: Vec::new(),
            claim_answers: Vec::new(),
            lost_claim_answers: 0,
            reports: Vec::new(),
            claims: Vec::new(),
            outcomes: Vec::new(),
            forwarded: Vec::new(),
            ended_leases: Vec::new(),
            sync_count: 0,
            unacknowledged_grants: Vec::new(),
            next_number: 0,
            next_upstream: 0,
            acknowledged: 0,
        }));
        let (stop, signal) = stop_channel();
        let shared = Arc::clone(&script);
        let service = tower::service_fn(move |request: Request<Incoming>| {
            let script = Arc::clone(&shared);
            async move { Ok::<_, Infallible>(handle_request(script, request).await) }
        });
        tokio::spawn(serve(listener, service, ServerLimits::default(), signal));
        Self { address, script, stop }
    }

    pub fn script(&self) -> MutexGuard<'_, ControllerScript> {
        self.script.lock().unwrap()
    }

    pub fn upstream_count(&self) -> usize {
        self.script().upstreams.len()
    }
}

impl Drop for FakeController {
    fn drop(&mut self) {
        self.stop.advance(StopPhase::Stopped);
    }
}

pub fn test_workspace_table() -> WorkspaceTable {
    let header = "workspace,key_hash,weight,concurrency,requests_per_minute,tokens_per_minute,queue_length,request_kib,protected";
    let (a, b) = (hash_key(super::CALLER_KEY), hash_key("key-of-team-b"));
    let large = hash_key(super::LARGE_CALLER_KEY);
    let text = format!(
        "{header}\nteam-a,{a},1,8,600,100000,50,64,yes\nteam-b,{b},1,8,600,100000,50,64,no\n\
         team-large,{large},1,8,600,100000,50,16384,yes\n"
    );
    WorkspaceTable::parse_csv(text.as_bytes()).unwrap()
}

async fn handle_request(
    script: Arc<Mutex<ControllerScript>>,
    request: Request<Incoming>,
) -> FullResponse {
    if script.lock().unwrap().silent {
        std::future::pending::<()>().await;
    }
    let delay = script.lock().unwrap().delay;
    tokio::time::sleep(delay).await;
    let path = request.uri().path().to_owned();
    if ![SYNC_PATH, ORIGINS_PATH].contains(&path.as_str()) && script.lock().unwrap().not_leader {
        return error_response(ErrorKind::NotLeader, "This controller is not the leader.");
    }
    match path.as_str() {
        SYNC_PATH => answer_sync(script, read_message(request).await.unwrap()).await,
        ORIGINS_PATH => {
            let lookup: OriginLookup = read_message(request).await.unwrap();
            message_response(&script.lock().unwrap().answer_lookups(&lookup.keys))
        }
        REPORT_PATH => answer_report(script, read_message(request).await.unwrap()).await,
        FORWARD_PATH => {
            let message = read_message(request).await.unwrap();
            script.lock().unwrap().forwarded.push(message);
            message_response(&())
        }
        CLAIM_PATH => answer_claim(script, read_message(request).await.unwrap()).await,
        OUTCOME_PATH => {
            let message: OutcomeRequest = read_message(request).await.unwrap();
            script.lock().unwrap().outcomes.extend(message.outcomes);
            message_response(&())
        }
        _ => error_response(ErrorKind::NotFound, "Unknown path."),
    }
}

async fn answer_sync(script: Arc<Mutex<ControllerScript>>, request: SyncRequest) -> FullResponse {
    let build = |script: &ControllerScript| {
        let table = test_workspace_table();
        let table = (request.revision < 1).then(|| TableUpdate {
            from: 0,
            to: 1,
            changes: WorkspaceTable::default().diff(&table),
            digest: table.digest(),
            age_ms: 5,
        });
        let version = (script.term, script.registry_version);
        let view = RegistryView { version, upstreams: script.upstreams.clone() };
        let stops = StopList { version: script.stops_version, stops: script.stops.clone() };
        if script.group_age_ms.is_some() {
            return SyncAnswer {
                group_age_ms: script.group_age_ms,
                term: script.term,
                leader: script.leader,
                controllers: script.members.clone(),
                ..SyncAnswer::default()
            };
        }
        SyncAnswer {
            departures: script
                .departures
                .clone()
                .filter(|list| list.version > request.departures_version),
            routes: script.routes.clone().filter(|routes| routes.version > request.routes_version),
            routes_age_ms: 0,
            controllers: script.members.clone(),
            group_age_ms: None,
            confirmed: script.confirmed,
            leads: script.leads,
            in_contact: script.in_contact,
            term: script.term,
            leader: script.leader,
            revision: 1,
            table,
            stops: (request.stops_version < script.stops_version).then_some(stops),
            registry: (request.registry_version != version).then_some(view),
            evacuations: Some(script.evacuations.clone())
                .filter(|list| list.version > request.evacuations_version),
            evacuation_pending: script.evacuation_pending,
            holder: request.origins.as_ref().map_or(0, |_| script.holder),
        }
    };
    {
        let mut script = script.lock().unwrap();
        script.sync_count += 1;
        script.copies.extend(request.origins.clone());
    }
    let mut remaining_wait_ms = request.wait_ms;
    loop {
        if script.lock().unwrap().silent {
            std::future::pending::<()>().await;
        }
        let answer = build(&script.lock().unwrap());
        let has_update = answer.table.is_some()
            || answer.stops.is_some()
            || answer.departures.is_some()
            || answer.evacuations.is_some()
            || answer.registry.is_some()
            || answer.routes.is_some();
        if has_update || !answer.leads || remaining_wait_ms == 0 {
            return message_response(&answer);
        }
        remaining_wait_ms = remaining_wait_ms.saturating_sub(10);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

impl ControllerScript {
    fn apply_report(&mut self, report: &DispatchReport) {
        self.reports.push(report.clone());
        self.unacknowledged_grants.retain(|grant| grant.lease.number > report.received_grant);
        if report.sequence <= self.acknowledged {
            return;
        }
        self.acknowledged = report.sequence;
        for usage in &report.usage {
            if let Some(end) = usage.end
                && !self.ended_leases.iter().any(|(lease, ..)| *lease == usage.lease)
            {
                self.ended_leases.push((usage.lease, end, usage.charged));
            }
        }
        for entry in &report.backlog {
            let waiting = usize::try_from(entry.queued).unwrap();
            let pending = self
                .unacknowledged_grants
                .iter()
                .filter(|grant| grant.target == entry.target)
                .count();
            for _ in pending..waiting {
                if self.free_slots == 0 {
                    return;
                }
                self.grant_slot(entry);
            }
        }
    }

    /// Keeps the origins of the streams that the router has reported.
    pub fn copy_reported_origins(&mut self) {
        for group in self.reports.iter().flat_map(|report| &report.origins.begun) {
            for (key, _) in &group.streams {
                match &group.origin {
                    Some(origin) => self.origins.insert(*key, origin.clone()),
                    None => self.origins.remove(key),
                };
            }
        }
    }

    fn answer_lookups(&self, lookups: &[StreamKey]) -> Vec<OriginAnswer> {
        let find = |key: &StreamKey| OriginAnswer {
            key: *key,
            origin: self.origins.get(key).cloned(),
            ambiguous: self.ambiguous.contains(key),
        };
        lookups.iter().map(find).collect()
    }

    fn grant_slot(&mut self, entry: &baobabfall_core::dispatch_messages::BacklogEntry) {
        let usable = |candidate: &&UpstreamAnnouncement| {
            candidate.can_serve(&entry.target)
                && entry.avoid.as_deref() != Some(candidate.name.as_str())
        };
        let upstreams: Vec<UpstreamAnnouncement> =
            self.upstreams.iter().filter(usable).cloned().collect();
        if upstreams.is_empty() {
            return;
        }
        let upstream = &upstreams[self.next_upstream % upstreams.len()];
        self.next_upstream += 1;
        self.next_number += 1;
        self.free_slots -= 1;
        self.unacknowledged_grants.push(SlotGrant {
            lease: LeaseId { term: self.term, number: self.next_number },
            target: entry.target.clone(),
            workspace: entry.workspace.clone(),
            upstream: route_of(upstream),
        });
    }
}

async fn answer_report(
    script: Arc<Mutex<ControllerScript>>,
    report: DispatchReport,
) -> FullResponse {
    script.lock().unwrap().apply_report(&report);
    let mut remaining_wait_ms = report.wait_ms;
    loop {
        {
            let mut script = script.lock().unwrap();
            let extra = std::mem::take(&mut script.extra_grants);
            let mut grants = script.unacknowledged_grants.clone();
            grants.extend(extra);
            if !grants.is_empty() || remaining_wait_ms == 0 || !script.refusals.is_empty() {
                return message_response(&DispatchAnswer {
                    term: script.term,
                    acknowledged: script.acknowledged,
                    resync: false,
                    grants,
                    refusals: script.refusals.clone(),
                    routers: 1,
                    statements: Vec::new(),
                    parts: script.parts.clone(),
                    limits: script.limits.clone(),
                    hold_ms: 0,
                    origins: script.answer_lookups(&report.origins.lookups),
                    neighbours: None,
                });
            }
        }
        remaining_wait_ms = remaining_wait_ms.saturating_sub(10);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn answer_claim(script: Arc<Mutex<ControllerScript>>, request: ClaimRequest) -> FullResponse {
    let (lose_answer, answers) = {
        let mut script = script.lock().unwrap();
        script.claims.push(request.clone());
        let mut answers = Vec::new();
        for _ in &request.claims {
            let number = u64::try_from(script.claims.len()).unwrap();
            let token = FencingToken { term: script.term, number };
            let claim_answer = if script.claim_answers.is_empty() {
                ClaimAnswer::Granted(token)
            } else {
                script.claim_answers.remove(0)
            };
            answers.push(claim_answer);
        }
        let lose_answer = script.lost_claim_answers > 0;
        script.lost_claim_answers = script.lost_claim_answers.saturating_sub(1);
        (lose_answer, answers)
    };
    if lose_answer {
        std::future::pending::<()>().await;
    }
    message_response(&answers)
}
