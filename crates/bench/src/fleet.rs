//! A fleet of real controllers and routers in this process, each on a thread of its own.

use crate::error::BenchError;
use crate::fleet_files::{FleetFiles, token_of};
use crate::role_thread::RoleThread;
use baobabfall_controller::controller::{self, ControllerHandle};
use baobabfall_core::upstream_registry::{UpstreamKind, WorkTarget};
use baobabfall_core::workspace_table::{RowChange, WorkspaceRow, hash_key};
use baobabfall_node::http_client::{PeerClient, PeerError};
use baobabfall_node::operator_messages::{
    EditAnswer, STATUS_PATH, StatusView, TABLE_PATH, TableEdit,
};
use baobabfall_router::{Router, RouterHandle, RouterListeners};
use baobabfall_standin::announcer::AnnounceOptions;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Time in which the fleet must become ready.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Time in which a controller must start again.
const RESTART_LIMIT: Duration = Duration::from_secs(10);
/// Pause between two looks.
const READY_PAUSE: Duration = Duration::from_millis(20);
/// Time for one operator call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What to start.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Controllers: 1, 3 or 5.
    pub controllers: usize,
    /// Routers.
    pub routers: usize,
    /// Rows of the first table.
    pub rows: Vec<WorkspaceRow>,
    /// Lines of the `[limits]` section of routers.
    pub limits: String,
}

/// Key of the workspace with this index.
pub fn key_of(workspace: usize) -> String {
    format!("key-of-workspace-{workspace}")
}

/// Row of a workspace without limits other than `concurrency`.
pub fn row_of(workspace: usize, weight: u32, concurrency: u32) -> WorkspaceRow {
    WorkspaceRow {
        name: format!("workspace-{workspace}"),
        key_hashes: vec![hash_key(&key_of(workspace))],
        weight,
        concurrency,
        requests_per_minute: 10_000_000,
        tokens_per_minute: 1_000_000_000_000,
        queue_length: 1_000_000,
        request_kib: 1024,
        protected: true,
    }
}

#[derive(Debug)]
struct ControllerSlot {
    address: SocketAddr,
    thread: RoleThread,
    handle: Option<ControllerHandle>,
}

#[derive(Debug)]
struct RouterSlot {
    thread: RoleThread,
    handle: Option<RouterHandle>,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    plan: FleetPlan,
    controllers: Vec<ControllerSlot>,
    routers: Vec<RouterSlot>,
    edits: u64,
    // Dropped last: the roles write to it until they end.
    files: FleetFiles,
}

fn fleet_error(error: impl ToString) -> BenchError {
    BenchError::Fleet(error.to_string())
}

impl Fleet {
    /// Starts all roles and applies the first table.
    pub async fn start(plan: FleetPlan) -> Result<Self, BenchError> {
        let files = FleetFiles::create(plan.controllers)?;
        let mut listeners = Vec::new();
        let mut controllers = Vec::new();
        for index in 0..plan.controllers {
            let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            let address = listener.local_addr()?;
            let thread = RoleThread::start(&format!("control-{index}"))?;
            controllers.push(ControllerSlot { address, thread, handle: None });
            listeners.push(listener);
        }
        let mut fleet = Self { plan, controllers, routers: Vec::new(), edits: 0, files };
        fleet.start_controllers(listeners).await?;
        for index in 0..fleet.plan.routers {
            let thread = RoleThread::start(&format!("router-{index}"))?;
            fleet.routers.push(RouterSlot { thread, handle: None });
            fleet.start_router(index).await?;
        }
        let rows = fleet.plan.rows.clone();
        let changes = rows.into_iter().map(|row| RowChange::Put { row }).collect();
        fleet.edit_table(0, changes).await?;
        Ok(fleet)
    }

    /// Controllers start together: the first one founds the group once the others answer.
    async fn start_controllers(
        &mut self,
        listeners: Vec<std::net::TcpListener>,
    ) -> Result<(), BenchError> {
        let addresses = self.controller_addresses();
        let mut starting = Vec::new();
        for (index, (slot, listener)) in self.controllers.iter().zip(listeners).enumerate() {
            let options = self.files.controller(index, &addresses)?;
            starting.push(slot.thread.run(async move {
                controller::start_on(options, TcpListener::from_std(listener)?)
                    .await
                    .map_err(fleet_error)
            }));
        }
        let started = futures_util::future::join_all(starting).await;
        for (slot, handle) in self.controllers.iter_mut().zip(started) {
            slot.handle = Some(handle??);
        }
        Ok(())
    }

    /// Starts the controller again on its address and data folder.
    ///
    /// The storage thread of a killed controller may hold the folder for a moment longer.
    pub async fn restart_controller(&mut self, index: usize) -> Result<(), BenchError> {
        let end = Instant::now() + RESTART_LIMIT;
        loop {
            let options = self.files.controller(index, &self.controller_addresses())?;
            let start = async move { controller::start(options).await };
            match self.controllers[index].thread.run(start).await? {
                Ok(handle) => {
                    self.controllers[index].handle = Some(handle);
                    return Ok(());
                }
                Err(error) if Instant::now() > end => return Err(fleet_error(error)),
                Err(_) => tokio::time::sleep(READY_PAUSE).await,
            }
        }
    }

    /// Drops everything of a controller at once.
    pub async fn kill_controller(&mut self, index: usize) -> Result<(), BenchError> {
        let slot = &mut self.controllers[index];
        if let Some(handle) = slot.handle.take() {
            slot.thread.run(handle.kill()).await?;
        }
        Ok(())
    }

    /// Stops a controller gracefully.
    pub async fn stop_controller(&mut self, index: usize) -> Result<(), BenchError> {
        let slot = &mut self.controllers[index];
        if let Some(handle) = slot.handle.take() {
            slot.thread.run(handle.stop()).await?;
        }
        Ok(())
    }

    /// Starts the router, again on other ports if it ran before.
    pub async fn start_router(&mut self, index: usize) -> Result<(), BenchError> {
        let options = self.files.router(index, &self.controller_addresses(), &self.plan.limits)?;
        let start = async move {
            let listeners = RouterListeners::bind(&options.settings).await.map_err(fleet_error)?;
            Router::start(options, listeners).await.map_err(fleet_error)
        };
        let slot = &mut self.routers[index];
        slot.handle = Some(slot.thread.run(start).await??);
        Ok(())
    }

    /// Drops everything of a router at once.
    pub async fn kill_router(&mut self, index: usize) {
        if let Some(handle) = self.routers[index].handle.take() {
            handle.abort();
            handle.join().await;
        }
    }

    /// Stops a router gracefully; its address refuses work during the stop.
    pub async fn stop_router(&mut self, index: usize) {
        if let Some(handle) = self.routers[index].handle.take() {
            handle.begin_stop();
            handle.join().await;
        }
    }

    /// Addresses of all controllers.
    pub fn controller_addresses(&self) -> Vec<SocketAddr> {
        self.controllers.iter().map(|slot| slot.address).collect()
    }

    /// Path of a credential.
    pub fn credential(&self, name: &str) -> std::path::PathBuf {
        self.files.credential(name)
    }

    /// Handles of the running routers.
    pub fn routers(&self) -> impl Iterator<Item = &RouterHandle> {
        self.routers.iter().filter_map(|slot| slot.handle.as_ref())
    }

    /// The router with this index, while it runs.
    pub fn router(&self, index: usize) -> Option<&RouterHandle> {
        self.routers[index].handle.as_ref()
    }

    /// The controller with this index, while it runs.
    pub fn controller(&self, index: usize) -> Option<&ControllerHandle> {
        self.controllers[index].handle.as_ref()
    }

    /// Thread of a router.
    pub fn router_thread(&self, index: usize) -> &RoleThread {
        &self.routers[index].thread
    }

    /// Thread of a controller.
    pub fn controller_thread(&self, index: usize) -> &RoleThread {
        &self.controllers[index].thread
    }

    /// Addresses for callers of the running routers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.routers().map(RouterHandle::caller_address).collect()
    }

    /// Announcements of the upstream with this index: to one router first, then to the others.
    pub fn announce_options(&self, index: usize) -> AnnounceOptions {
        let mut addresses: Vec<SocketAddr> =
            self.routers().map(RouterHandle::fleet_address).collect();
        if !addresses.is_empty() {
            let start = index % addresses.len();
            addresses.rotate_left(start);
        }
        addresses.extend(self.controller_addresses());
        AnnounceOptions::new(addresses, token_of("upstream"))
    }

    /// Index of the leader, if it holds a valid lease.
    pub fn leader(&self) -> Option<usize> {
        let leads = |slot: &ControllerSlot| {
            slot.handle.as_ref().is_some_and(|held| held.replica().view().leads)
        };
        self.controllers.iter().position(leads)
    }

    /// Calls an operator path at the leader, until one answers.
    pub async fn operate<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: Option<&Q>,
    ) -> Result<A, BenchError> {
        let end = Instant::now() + READY_LIMIT;
        let token = token_of("operator");
        let clients: Vec<PeerClient> =
            self.controller_addresses().into_iter().map(PeerClient::new).collect();
        let mut last = "no controller was asked".to_owned();
        while Instant::now() < end {
            for client in &clients {
                match client.call_json(path, &token, message, CALL_TIMEOUT).await {
                    Ok(answer) => return Ok(answer),
                    Err(PeerError::Refused { kind, message, .. }) if !kind.answer().retry => {
                        return Err(BenchError::Fleet(message));
                    }
                    Err(error) => last = error.to_string(),
                }
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        Err(BenchError::Fleet(last))
    }

    /// Edits the table and returns its new revision.
    pub async fn edit_table(
        &mut self,
        base_revision: u64,
        changes: Vec<RowChange>,
    ) -> Result<u64, BenchError> {
        self.edits += 1;
        let edit = TableEdit {
            operator: "bench".to_owned(),
            edit_id: format!("edit-{}", self.edits),
            base_revision,
            changes,
        };
        let answer: EditAnswer = self.operate(TABLE_PATH, Some(&edit)).await?;
        Ok(answer.revision)
    }

    /// Status of the fleet as its leader sees it.
    pub async fn status(&self) -> Result<StatusView, BenchError> {
        self.operate::<(), _>(STATUS_PATH, None).await
    }

    /// Waits until every router has a table and knows `upstreams` upstreams.
    pub async fn wait_ready(&self, upstreams: usize) -> Result<(), BenchError> {
        let end = Instant::now() + READY_LIMIT;
        let ready = |router: &RouterHandle| {
            let state = router.state();
            state.is_healthy() && state.fleet.directory().upstreams().len() >= upstreams
        };
        while !self.routers().all(ready) {
            if Instant::now() > end {
                return Err(BenchError::Fleet("a router did not become ready".to_owned()));
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        Ok(())
    }

    /// True when every router knows an upstream that serves the model.
    pub fn serves(&self, model: &str) -> bool {
        let target = WorkTarget::new(UpstreamKind::Model, model.to_owned());
        self.routers().all(|router| router.state().fleet.directory().is_served(&target))
    }

    /// Ends all roles at once.
    pub async fn end(mut self) -> Result<(), BenchError> {
        for index in 0..self.routers.len() {
            self.kill_router(index).await;
        }
        for index in 0..self.controllers.len() {
            self.kill_controller(index).await?;
        }
        Ok(())
    }
}
