//! A controller that grants every waiting request a slot of the next upstream.

use baobabfall_core::dispatch_messages::{
    BacklogRefusal, DispatchAnswer, DispatchReport, LeaseEnd, LeaseId, SlotGrant,
};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::local_dispatcher::route_of;
use baobabfall_core::route_table::RouteTable;
use baobabfall_core::upstream_registry::UpstreamAnnouncement;
use baobabfall_core::workspace_table::{WorkspaceTable, hash_key};
use baobabfall_node::http_server::{
    FullResponse, ServerLimits, error_response, message_response, read_message, serve,
};
use baobabfall_node::messages::{
    ActionReport, AnnounceMessage, CLAIM_PATH, ClaimAnswer, ClaimRequest, FORWARD_PATH,
    FencingToken, OUTCOME_PATH, OutcomeRequest, PlannedStop, REPORT_PATH, RegistryView, SYNC_PATH,
    StopList, SyncAnswer, SyncRequest, TableUpdate,
};
use baobabfall_node::stop_signal::{StopPhase, StopSender, stop_channel};
use http::Request;
use hyper::body::Incoming;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;

/// What the controller does and saw.
pub struct ControllerScript {
    pub upstreams: Vec<UpstreamAnnouncement>,
    pub stops: Vec<PlannedStop>,
    pub stops_version: u64,
    /// Route table that routers get.
    pub routes: Option<Arc<RouteTable>>,
    pub registry_version: u64,
    pub confirmed: bool,
    pub silent: bool,
    /// Time that every answer takes at least.
    pub delay: Duration,
    pub not_leader: bool,
    /// What sync answers say of the lead.
    pub leads: bool,
    pub leader: Option<SocketAddr>,
    pub term: u64,
    /// Requests beyond this are not granted.
    pub slots: usize,
    /// Sent with every answer.
    pub refusals: Vec<BacklogRefusal>,
    /// Grants to send besides those for the backlog.
    pub extra_grants: Vec<SlotGrant>,
    pub claim_answers: Vec<ClaimAnswer>,
    pub lose_claims: usize,
    pub reports: Vec<DispatchReport>,
    pub claims: Vec<ClaimRequest>,
    pub outcomes: Vec<ActionReport>,
    pub forwarded: Vec<AnnounceMessage>,
    pub ended: Vec<(LeaseId, LeaseEnd, u64)>,
    pub syncs: usize,
    granted: Vec<SlotGrant>,
    next_number: u64,
    next_upstream: usize,
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
            routes: None,
            registry_version: 1,
            confirmed: true,
            silent: false,
            delay: Duration::ZERO,
            not_leader: false,
            leads: true,
            leader: Some(address),
            term: 3,
            slots: usize::MAX,
            refusals: Vec::new(),
            extra_grants: Vec::new(),
            claim_answers: Vec::new(),
            lose_claims: 0,
            reports: Vec::new(),
            claims: Vec::new(),
            outcomes: Vec::new(),
            forwarded: Vec::new(),
            ended: Vec::new(),
            syncs: 0,
            granted: Vec::new(),
            next_number: 0,
            next_upstream: 0,
            acknowledged: 0,
        }));
        let (stop, signal) = stop_channel();
        let shared = Arc::clone(&script);
        let service = tower::service_fn(move |request: Request<Incoming>| {
            let script = Arc::clone(&shared);
            async move { Ok::<_, Infallible>(handle(script, request).await) }
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

pub fn test_table() -> WorkspaceTable {
    let header = "workspace,key_hash,weight,concurrency,requests_per_minute,tokens_per_minute,queue_length,request_kib,protected";
    let (a, b) = (hash_key(super::KEY), hash_key("key-of-team-b"));
    let text = format!(
        "{header}\nteam-a,{a},1,8,600,100000,50,64,yes\nteam-b,{b},1,8,600,100000,50,64,no\n"
    );
    WorkspaceTable::parse_csv(text.as_bytes()).unwrap()
}

async fn handle(script: Arc<Mutex<ControllerScript>>, request: Request<Incoming>) -> FullResponse {
    if script.lock().unwrap().silent {
        std::future::pending::<()>().await;
    }
    let delay = script.lock().unwrap().delay;
    tokio::time::sleep(delay).await;
    let path = request.uri().path().to_owned();
    if path != SYNC_PATH && script.lock().unwrap().not_leader {
        return error_response(ErrorKind::NotLeader, "Not the leader.");
    }
    match path.as_str() {
        SYNC_PATH => sync(script, read_message(request).await.unwrap()).await,
        REPORT_PATH => report(script, read_message(request).await.unwrap()).await,
        FORWARD_PATH => {
            let message = read_message(request).await.unwrap();
            script.lock().unwrap().forwarded.push(message);
            message_response(&())
        }
        CLAIM_PATH => claim(script, read_message(request).await.unwrap()).await,
        OUTCOME_PATH => {
            let message: OutcomeRequest = read_message(request).await.unwrap();
            script.lock().unwrap().outcomes.extend(message.outcomes);
            message_response(&())
        }
        _ => error_response(ErrorKind::NotFound, "No such path."),
    }
}

async fn sync(script: Arc<Mutex<ControllerScript>>, request: SyncRequest) -> FullResponse {
    let build = |script: &ControllerScript| {
        let table = test_table();
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
        SyncAnswer {
            routes: script.routes.clone().filter(|routes| routes.version > request.routes_version),
            routes_age_ms: 0,
            controllers: Vec::new(),
            confirmed: script.confirmed,
            leads: script.leads,
            term: script.term,
            leader: script.leader,
            revision: 1,
            table,
            stops: (request.stops_version < script.stops_version).then_some(stops),
            registry: (request.registry_version != version).then_some(view),
        }
    };
    script.lock().unwrap().syncs += 1;
    let mut left = request.wait_ms;
    loop {
        if script.lock().unwrap().silent {
            std::future::pending::<()>().await;
        }
        let answer = build(&script.lock().unwrap());
        let news = answer.table.is_some()
            || answer.stops.is_some()
            || answer.registry.is_some()
            || answer.routes.is_some();
        if news || !answer.leads || left == 0 {
            return message_response(&answer);
        }
        left = left.saturating_sub(10);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

impl ControllerScript {
    fn take_report(&mut self, report: &DispatchReport) {
        self.reports.push(report.clone());
        self.granted.retain(|grant| grant.lease.number > report.received_grant);
        if report.sequence <= self.acknowledged {
            return;
        }
        self.acknowledged = report.sequence;
        for usage in &report.usage {
            if let Some(end) = usage.end
                && !self.ended.iter().any(|(lease, ..)| *lease == usage.lease)
            {
                self.ended.push((usage.lease, end, usage.charged));
            }
        }
        for entry in &report.backlog {
            let waiting = usize::try_from(entry.queued).unwrap();
            let pending = self.granted.iter().filter(|grant| grant.target == entry.target).count();
            for _ in pending..waiting {
                if self.slots == 0 {
                    return;
                }
                self.grant(entry);
            }
        }
    }

    fn grant(&mut self, entry: &baobabfall_core::dispatch_messages::BacklogEntry) {
        let usable = |held: &&UpstreamAnnouncement| {
            held.can_serve(&entry.target) && entry.avoid.as_deref() != Some(held.name.as_str())
        };
        let upstreams: Vec<UpstreamAnnouncement> =
            self.upstreams.iter().filter(usable).cloned().collect();
        if upstreams.is_empty() {
            return;
        }
        let upstream = &upstreams[self.next_upstream % upstreams.len()];
        self.next_upstream += 1;
        self.next_number += 1;
        self.slots -= 1;
        self.granted.push(SlotGrant {
            lease: LeaseId { term: self.term, number: self.next_number },
            target: entry.target.clone(),
            workspace: entry.workspace.clone(),
            upstream: route_of(upstream),
        });
    }
}

async fn report(script: Arc<Mutex<ControllerScript>>, report: DispatchReport) -> FullResponse {
    script.lock().unwrap().take_report(&report);
    let mut left = report.wait_ms;
    loop {
        {
            let mut script = script.lock().unwrap();
            let extra = std::mem::take(&mut script.extra_grants);
            let mut grants = script.granted.clone();
            grants.extend(extra);
            if !grants.is_empty() || left == 0 || !script.refusals.is_empty() {
                return message_response(&DispatchAnswer {
                    term: script.term,
                    acknowledged: script.acknowledged,
                    resync: false,
                    grants,
                    refusals: script.refusals.clone(),
                    routers: 1,
                    statements: Vec::new(),
                });
            }
        }
        left = left.saturating_sub(10);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn claim(script: Arc<Mutex<ControllerScript>>, request: ClaimRequest) -> FullResponse {
    let (lose, answers) = {
        let mut script = script.lock().unwrap();
        script.claims.push(request.clone());
        let mut answers = Vec::new();
        for _ in &request.claims {
            let number = u64::try_from(script.claims.len()).unwrap();
            let token = FencingToken { term: script.term, number };
            let next = if script.claim_answers.is_empty() {
                ClaimAnswer::Granted(token)
            } else {
                script.claim_answers.remove(0)
            };
            answers.push(next);
        }
        let lose = script.lose_claims > 0;
        script.lose_claims = script.lose_claims.saturating_sub(1);
        (lose, answers)
    };
    if lose {
        std::future::pending::<()>().await;
    }
    message_response(&answers)
}
