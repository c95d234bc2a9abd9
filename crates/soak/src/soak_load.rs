//! Load of a run: callers that send requests to the routers and operators that edit the workspace
//! table at the controllers while faults are injected.

use crate::in_force_check::RouterSample;
use crate::invariant_check::{CallRecord, CallType, EditRecord, RevisionSample};
use crate::soak_site::{
    MODEL, SERVICE, WORKSPACES, ZONE_COUNT, credential, first_table, zone_name,
};
use baobabfall_bench::answer_check::CallVerdict;
use baobabfall_bench::caller::{CallKind, CallOrder, CallerClient, SilentObserver};
use baobabfall_bench::load::today;
use baobabfall_core::workspace_table::WorkspaceTable;
use baobabfall_node::http_client::PeerClient;
use baobabfall_node::operator_messages::{
    EditAnswer, EvacuationsView, TABLE_PATH, TableEdit, TableView, ZONES_PATH, ZoneEdit,
};
use http::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time after which a caller gives up on a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Upper bound of the random pause of a caller between two calls, in milliseconds.
const MAX_CALL_PAUSE_MS: u64 = 40;
/// Additional pause of a caller after a call without an answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of resends, with the same idempotency key, of an action whose outcome is unknown.
const MAX_RESENDS: u32 = 2;
/// Time for which a zone stays evacuated, and pause before the next evacuation. It exceeds the time
/// within which an order must be in force.
const EVACUATION_PAUSE: Duration = Duration::from_millis(2500);
/// Pause of the operator between two edits.
const EDIT_PAUSE: Duration = Duration::from_millis(300);
/// Timeout of one request of an operator to a controller.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(2);

/// Observations of the callers, the operators and the tasks that poll the routers.
#[derive(Debug, Default)]
pub struct LoadRecords {
    /// Every call of every caller.
    pub calls: Vec<CallRecord>,
    /// Every table edit that was acknowledged.
    pub edits: Vec<EditRecord>,
    /// Every order about a zone that was acknowledged; the revision is the version of the set.
    pub evacuations: Vec<EditRecord>,
    /// Table revisions that operators read from controllers.
    pub revision_samples: Vec<RevisionSample>,
    /// Table revisions that routers reported as in force.
    pub router_samples: Vec<RouterSample>,
    /// Versions of the set of evacuated zones that routers reported as in force.
    pub evacuation_samples: Vec<RouterSample>,
}

/// Observations that all tasks of a run append to, and the time origin of their time stamps.
#[derive(Clone, Debug)]
pub struct SharedRecords {
    records: Arc<Mutex<LoadRecords>>,
    /// Start of the load, from which all recorded times are measured.
    pub started: Instant,
}

impl SharedRecords {
    /// Creates empty records and takes the current time as the start of the load.
    pub fn start() -> Self {
        Self { records: Arc::default(), started: Instant::now() }
    }

    /// Calls `action` with the records while holding their lock.
    pub fn with<T>(&self, action: impl FnOnce(&mut LoadRecords) -> T) -> T {
        action(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A caller that sends random calls to random routers, one at a time.
#[derive(Debug)]
pub struct SoakCaller {
    /// Index of the caller, from 0; selects its workspace.
    pub index: usize,
    /// Seed of the run, from which the seed of the caller is derived.
    pub seed: u64,
    /// Addresses on which the routers accept callers.
    pub routers: Vec<SocketAddr>,
    /// Records to which the caller adds its calls.
    pub records: SharedRecords,
}

impl SoakCaller {
    /// Sends calls until `stop` becomes true.
    pub async fn run(self, stop: watch::Receiver<bool>) {
        let index = u64::try_from(self.index).unwrap_or_default();
        let mut rng = StdRng::seed_from_u64(self.seed.wrapping_mul(1_000).wrapping_add(index));
        let (_, key) = WORKSPACES[self.index % WORKSPACES.len()];
        let mut client = CallerClient::new(key);
        let mut number = 0;
        while !*stop.borrow() {
            number += 1;
            let call_type = match rng.random_range(0..4) {
                0 | 1 => CallType::Stream,
                2 => CallType::Action,
                _ => CallType::Read,
            };
            let key = format!("{}-s{}-c{}-{number}", today(), self.seed, self.index);
            for attempt in 0..=MAX_RESENDS {
                let router = rng.random_range(0..self.routers.len());
                let order = self.order(call_type, number, attempt, &key, &mut rng);
                let verdict = self.call(&mut client, router, call_type, order, attempt).await;
                let resend = call_type == CallType::Action
                    && matches!(verdict, CallVerdict::Broken | CallVerdict::Failed);
                if !resend {
                    break;
                }
            }
            let pause = Duration::from_millis(rng.random_range(0..MAX_CALL_PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
    }

    fn order(
        &self,
        call_type: CallType,
        number: u64,
        attempt: u32,
        key: &str,
        rng: &mut StdRng,
    ) -> CallOrder {
        let request_id = format!("s{}-c{}-{number}-{attempt}", self.seed, self.index);
        let service = |method: Method, path: &str, key: Option<String>| CallKind::Service {
            method,
            path: format!("/services/{SERVICE}{path}"),
            key,
            tokens: 8,
        };
        let kind = match call_type {
            CallType::Stream => {
                let tokens = rng.random_range(2..80);
                CallKind::Chat {
                    model: MODEL.to_owned(),
                    prompt_bytes: 200,
                    tokens,
                    max_tokens: tokens,
                    stream: true,
                }
            }
            CallType::Action => service(Method::POST, "/payouts", Some(key.to_owned())),
            CallType::Read => service(Method::GET, "/status/7", None),
        };
        CallOrder { request_id, kind, limit: CALL_TIMEOUT }
    }

    async fn call(
        &self,
        client: &mut CallerClient,
        router: usize,
        kind: CallType,
        order: CallOrder,
        attempt: u32,
    ) -> CallVerdict {
        let sent_at = self.records.started.elapsed();
        let report = client.call(self.routers[router], &order, &mut SilentObserver).await;
        let key = match &order.kind {
            CallKind::Service { key, .. } => key.clone(),
            CallKind::Chat { .. } => None,
        };
        let record = CallRecord {
            request_id: order.request_id,
            key,
            kind,
            router,
            sent_at,
            ended_at: self.records.started.elapsed(),
            verdict: report.verdict,
            status: report.status,
            attempt,
        };
        self.records.with(|records| records.calls.push(record));
        if report.status == 0 {
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
        report.verdict
    }
}

/// An operator that reads and edits the workspace table, trying one controller after another.
#[derive(Debug)]
pub struct SoakOperator {
    /// Name of the operator, unique within the run; edit ids begin with it.
    pub name: String,
    clients: Vec<PeerClient>,
    /// Counter that selects the controller that is tried first.
    next_first: AtomicUsize,
    records: SharedRecords,
}

impl SoakOperator {
    /// Creates an operator that uses the controllers at `addresses`.
    pub fn new(name: &str, addresses: &[SocketAddr], records: SharedRecords) -> Self {
        let clients = addresses.iter().copied().map(PeerClient::new).collect();
        Self { name: name.to_owned(), clients, next_first: AtomicUsize::new(0), records }
    }

    /// Edits the table repeatedly until `stop` becomes true.
    pub async fn run(self, stop: watch::Receiver<bool>) {
        let mut number = 0;
        while !*stop.borrow() {
            number += 1;
            let _ = self.edit(number).await;
            tokio::time::sleep(EDIT_PAUSE).await;
        }
    }

    /// Evacuates the zones in turn, one at a time, until `stop` becomes true.
    pub async fn evacuate_zones(self, stop: watch::Receiver<bool>) {
        let mut index = 0;
        while !*stop.borrow() {
            for evacuated in [true, false] {
                self.order_zone(&zone_name(index), evacuated).await;
                tokio::time::sleep(EVACUATION_PAUSE).await;
            }
            index = (index + 1) % ZONE_COUNT;
        }
    }

    /// Sends an order until a controller acknowledges it; every controller is tried twice at most.
    async fn order_zone(&self, zone: &str, evacuated: bool) {
        let token = credential("operator");
        let order = ZoneEdit { operator: self.name.clone(), name: zone.to_owned(), evacuated };
        for client in self.clients_round_robin().chain(self.clients_round_robin()) {
            let answer: Result<EvacuationsView, _> =
                client.call_json(ZONES_PATH, &token, Some(&order), OPERATOR_TIMEOUT).await;
            if let Ok(view) = answer {
                let record = EditRecord {
                    edit_id: format!("{zone}-{}", view.version),
                    revision: view.version,
                    digest: String::new(),
                    acknowledged: self.records.started.elapsed(),
                };
                self.records.with(|records| records.evacuations.push(record));
                return;
            }
        }
    }

    /// Returns all controllers, beginning with a different one at each call, so that
    /// an unreachable controller does not delay every edit by its timeout.
    fn clients_round_robin(&self) -> impl Iterator<Item = &PeerClient> {
        let first = self.next_first.fetch_add(1, Ordering::Relaxed) % self.clients.len();
        self.clients.iter().cycle().skip(first).take(self.clients.len())
    }

    /// Reads the table from the leader, the only controller that answers, and records its revision,
    /// which the invariant check compares with the edits acknowledged before.
    pub async fn read(&self) -> Option<TableView> {
        for client in self.clients_round_robin() {
            let requested_at = self.records.started.elapsed();
            let token = credential("operator");
            let view: Result<TableView, _> =
                client.call_json::<(), _>(TABLE_PATH, &token, None, OPERATOR_TIMEOUT).await;
            let Ok(view) = view else { continue };
            let controller = client.address().to_string();
            let sample = RevisionSample { controller, requested_at, revision: view.revision };
            self.records.with(|records| records.revision_samples.push(sample));
            return Some(view);
        }
        None
    }

    /// Submits one edit and returns true if it was acknowledged. After an error or a
    /// timeout, it is resent with the same id to the next controller; every controller is
    /// tried twice at most.
    pub async fn edit(&self, number: u64) -> bool {
        let Some(view) = self.read().await else { return false };
        let current_csv = if view.revision == 0 { first_table() } else { view.csv.clone() };
        let current_table = match view.revision {
            0 => WorkspaceTable::default(),
            _ => WorkspaceTable::parse_csv(view.csv.as_bytes()).unwrap_or_default(),
        };
        let mut next_csv = current_csv.clone();
        if view.revision > 0 {
            let weight = 10 + number % 80;
            next_csv = set_weight(&current_csv, WORKSPACES[0].0, weight);
        }
        let Ok(next_table) = WorkspaceTable::parse_csv(next_csv.as_bytes()) else { return false };
        let edit = TableEdit {
            operator: self.name.clone(),
            edit_id: format!("{}-{number}", self.name),
            base_revision: view.revision,
            changes: current_table.diff(&next_table),
        };
        for client in self.clients_round_robin().chain(self.clients_round_robin()) {
            let token = credential("operator");
            let answer: Result<EditAnswer, _> =
                client.call_json(TABLE_PATH, &token, Some(&edit), OPERATOR_TIMEOUT).await;
            if let Ok(answer) = answer {
                let edit = EditRecord {
                    edit_id: edit.edit_id,
                    revision: answer.revision,
                    digest: answer.digest,
                    acknowledged: self.records.started.elapsed(),
                };
                self.records.with(|records| records.edits.push(edit));
                return true;
            }
        }
        false
    }
}

/// Returns the table with the weight of one workspace replaced.
fn set_weight(csv: &str, workspace: &str, weight: u64) -> String {
    let mut lines: Vec<String> = csv.lines().map(str::to_owned).collect();
    for line in &mut lines {
        let mut cells: Vec<&str> = line.split(',').collect();
        let weight = weight.to_string();
        if cells.first() == Some(&workspace) && cells.len() > 2 {
            cells[2] = &weight;
            *line = cells.join(",");
        }
    }
    lines.join("\n") + "\n"
}
