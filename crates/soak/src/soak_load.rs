//! Callers and an operator that use the site while faults hit it.

use crate::in_force_check::RouterSight;
use crate::invariant_check::{CallKindName, CallRecord, EditRecord, RevisionSight};
use crate::soak_site::{MODEL, SERVICE, WORKSPACES, credential, first_table};
use baobabfall_bench::answer_check::CallVerdict;
use baobabfall_bench::caller::{CallKind, CallOrder, CallerClient, SilentObserver};
use baobabfall_bench::load::today;
use baobabfall_core::workspace_table::WorkspaceTable;
use baobabfall_node::http_client::PeerClient;
use baobabfall_node::operator_messages::{EditAnswer, TABLE_PATH, TableEdit, TableView};
use http::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time that a caller waits for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(5);
/// Longest pause of a caller between two calls.
const CALL_PAUSE_MS: u64 = 40;
/// Pause after a call that got no answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// Times that an action whose outcome is unknown is sent again with its key.
const RESENDS: u32 = 2;
/// Pause of the operator between two edits.
const EDIT_PAUSE: Duration = Duration::from_millis(300);
/// Time for one call of the operator.
const OPERATOR_LIMIT: Duration = Duration::from_secs(2);

/// What callers and the operator saw.
#[derive(Debug, Default)]
pub struct LoadRecords {
    /// Every call.
    pub calls: Vec<CallRecord>,
    /// Every acknowledged edit.
    pub edits: Vec<EditRecord>,
    /// Revisions that were read.
    pub sights: Vec<RevisionSight>,
    /// Revisions that routers said are in force.
    pub router_sights: Vec<RouterSight>,
}

/// Records that tasks share.
#[derive(Clone, Debug)]
pub struct SharedRecords {
    records: Arc<Mutex<LoadRecords>>,
    /// Start of the load.
    pub started: Instant,
}

impl SharedRecords {
    /// No record yet; the load starts now.
    pub fn start() -> Self {
        Self { records: Arc::default(), started: Instant::now() }
    }

    /// Gives access to the records.
    pub fn with<T>(&self, action: impl FnOnce(&mut LoadRecords) -> T) -> T {
        action(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// One caller.
#[derive(Debug)]
pub struct SoakCaller {
    /// Number of the caller, from 0.
    pub index: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Routers.
    pub routers: Vec<SocketAddr>,
    /// Where calls are recorded.
    pub records: SharedRecords,
}

impl SoakCaller {
    /// Calls until `stop` turns true.
    pub async fn run(self, stop: watch::Receiver<bool>) {
        let index = u64::try_from(self.index).unwrap_or_default();
        let mut random = StdRng::seed_from_u64(self.seed.wrapping_mul(1_000).wrapping_add(index));
        let (_, key) = WORKSPACES[self.index % WORKSPACES.len()];
        let mut client = CallerClient::new(key);
        let mut number = 0;
        while !*stop.borrow() {
            number += 1;
            let name = match random.random_range(0..4) {
                0 | 1 => CallKindName::Stream,
                2 => CallKindName::Action,
                _ => CallKindName::Read,
            };
            let key = format!("{}-s{}-c{}-{number}", today(), self.seed, self.index);
            for sending in 0..=RESENDS {
                let router = random.random_range(0..self.routers.len());
                let order = self.order(name, number, sending, &key, &mut random);
                let verdict = self.call(&mut client, router, name, order, sending).await;
                let again = name == CallKindName::Action
                    && matches!(verdict, CallVerdict::Broken | CallVerdict::Failed);
                if !again {
                    break;
                }
            }
            let pause = Duration::from_millis(random.random_range(0..CALL_PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
    }

    fn order(
        &self,
        name: CallKindName,
        number: u64,
        sending: u32,
        key: &str,
        random: &mut StdRng,
    ) -> CallOrder {
        let request_id = format!("s{}-c{}-{number}-{sending}", self.seed, self.index);
        let service = |method: Method, path: &str, key: Option<String>| CallKind::Service {
            method,
            path: format!("/services/{SERVICE}{path}"),
            key,
            tokens: 8,
        };
        let kind = match name {
            CallKindName::Stream => {
                let tokens = random.random_range(2..80);
                CallKind::Chat {
                    model: MODEL.to_owned(),
                    prompt_bytes: 200,
                    tokens,
                    max_tokens: tokens,
                    stream: true,
                }
            }
            CallKindName::Action => service(Method::POST, "/payouts", Some(key.to_owned())),
            CallKindName::Read => service(Method::GET, "/status/7", None),
        };
        CallOrder { request_id, kind, limit: CALL_LIMIT }
    }

    async fn call(
        &self,
        client: &mut CallerClient,
        router: usize,
        kind: CallKindName,
        order: CallOrder,
        sending: u32,
    ) -> CallVerdict {
        let begun = self.records.started.elapsed();
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
            begun,
            ended: self.records.started.elapsed(),
            verdict: report.verdict,
            status: report.status,
            sending,
        };
        self.records.with(|records| records.calls.push(record));
        if report.status == 0 {
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
        report.verdict
    }
}

/// An operator who edits the table and reads it back, at any controller.
#[derive(Debug)]
pub struct SoakOperator {
    /// Name, unique in the run.
    pub name: String,
    clients: Vec<PeerClient>,
    /// Controllers are asked from this one on.
    first: AtomicUsize,
    records: SharedRecords,
}

impl SoakOperator {
    /// An operator of the controllers at `addresses`.
    pub fn new(name: &str, addresses: &[SocketAddr], records: SharedRecords) -> Self {
        let clients = addresses.iter().copied().map(PeerClient::new).collect();
        Self { name: name.to_owned(), clients, first: AtomicUsize::new(0), records }
    }

    /// Edits until `stop` turns true.
    pub async fn run(self, stop: watch::Receiver<bool>) {
        let mut number = 0;
        while !*stop.borrow() {
            number += 1;
            let _ = self.edit(number).await;
            tokio::time::sleep(EDIT_PAUSE).await;
        }
    }

    /// All controllers, beginning with the next one at each call, so that a lost
    /// one does not hold up every edit.
    fn clients_in_turn(&self) -> impl Iterator<Item = &PeerClient> {
        let first = self.first.fetch_add(1, Ordering::Relaxed) % self.clients.len();
        self.clients.iter().cycle().skip(first).take(self.clients.len())
    }

    /// Reads the table once; the revision must not lie before one that was
    /// acknowledged earlier.
    pub async fn read(&self) -> Option<TableView> {
        for client in self.clients_in_turn() {
            let begun = self.records.started.elapsed();
            let token = credential("operator");
            let view: Result<TableView, _> =
                client.call_json::<(), _>(TABLE_PATH, &token, None, OPERATOR_LIMIT).await;
            let Ok(view) = view else { continue };
            let place = client.address().to_string();
            let sight = RevisionSight { place, begun, revision: view.revision };
            self.records.with(|records| records.sights.push(sight));
            return Some(view);
        }
        None
    }

    /// Makes one edit; true once it was acknowledged. An edit without a clear
    /// answer is sent again with its id, to the next controller.
    pub async fn edit(&self, number: u64) -> bool {
        let Some(view) = self.read().await else { return false };
        let text = if view.revision == 0 { first_table() } else { view.csv.clone() };
        let held = match view.revision {
            0 => WorkspaceTable::default(),
            _ => WorkspaceTable::parse_csv(view.csv.as_bytes()).unwrap_or_default(),
        };
        let mut next = text.clone();
        if view.revision > 0 {
            let weight = 10 + number % 80;
            next = set_weight(&text, WORKSPACES[0].0, weight);
        }
        let Ok(next) = WorkspaceTable::parse_csv(next.as_bytes()) else { return false };
        let edit = TableEdit {
            operator: self.name.clone(),
            edit_id: format!("{}-{number}", self.name),
            base_revision: view.revision,
            changes: held.diff(&next),
        };
        for client in self.clients_in_turn().chain(self.clients_in_turn()) {
            let token = credential("operator");
            let answer: Result<EditAnswer, _> =
                client.call_json(TABLE_PATH, &token, Some(&edit), OPERATOR_LIMIT).await;
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

/// The table with another weight of one workspace.
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
