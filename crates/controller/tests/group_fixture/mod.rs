//! Starts a group of real controllers on loopback.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use baobabfall_controller::controller::{ControllerHandle, start_on};
use baobabfall_controller::options::{ControllerOptions, ControllerSettings};
use baobabfall_core::workspace_table::{RowChange, WorkspaceRow, hash_key};
use baobabfall_node::http_client::{PeerClient, PeerError};
use baobabfall_node::operator_messages::{EditAnswer, TABLE_PATH, TableEdit};
use baobabfall_node::settings::parse_settings;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Bound of every wait; far above what a loaded machine needs.
pub const LIMIT: Duration = Duration::from_secs(60);
/// Time for one call.
pub const CALL: Duration = Duration::from_secs(5);

pub const PROCESS: &str = "process-credential-1";
pub const OPERATOR: &str = "operator-credential-1";
pub const UPSTREAM: &str = "upstream-credential-1";
pub const METRICS: &str = "metrics-credential-1";

pub struct GroupFixture {
    folder: tempfile::TempDir,
    addresses: Vec<SocketAddr>,
    /// Number of seeds of an open group; 0 for a group of fixed peers.
    seeds: usize,
    pub controllers: Vec<Option<ControllerHandle>>,
}

impl GroupFixture {
    /// Starts `size` controllers and waits for a leader.
    pub async fn start(size: usize) -> Self {
        Self::start_with(size, 0).await
    }

    /// Starts an open group whose first `size` controllers are its seeds.
    pub async fn start_open(size: usize) -> Self {
        Self::start_with(size, size).await
    }

    async fn start_with(size: usize, seeds: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        for (name, token) in [
            ("process", PROCESS),
            ("operator", OPERATOR),
            ("upstream", UPSTREAM),
            ("metrics", METRICS),
        ] {
            std::fs::write(folder.path().join(name), token).unwrap();
        }
        let mut listeners = Vec::new();
        for _ in 0..size {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let addresses = listeners.iter().map(|held| held.local_addr().unwrap()).collect();
        let mut group = Self { folder, addresses, seeds, controllers: Vec::new() };
        let mut starting = Vec::new();
        for (index, listener) in listeners.into_iter().enumerate() {
            group.create_folder(index);
            starting.push(tokio::spawn(start_on(group.options_at(index, true), listener)));
        }
        for task in starting {
            group.controllers.push(Some(task.await.unwrap().unwrap()));
        }
        group.leader().await;
        group
    }

    fn create_folder(&self, index: usize) {
        std::fs::create_dir_all(self.folder.path().join(format!("state-{index}"))).unwrap();
    }

    /// Adds a controller at a new address to an open group.
    pub async fn add(&mut self) -> usize {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let index = self.addresses.len();
        self.addresses.push(listener.local_addr().unwrap());
        self.create_folder(index);
        let handle = start_on(self.options(index), listener).await.unwrap();
        self.controllers.push(Some(handle));
        index
    }

    pub fn options(&self, index: usize) -> ControllerOptions {
        self.options_at(index, false)
    }

    fn options_at(&self, index: usize, first_start: bool) -> ControllerOptions {
        let mut text = format!(
            "[node]\nname = \"c{index}\"\nzone = \"z{index}\"\n[control]\nlisten = \"{}\"\n\
             [storage]\nfolder = \"state-{index}\"\n[credentials]\nprocess = \"process\"\n\
             operator = \"operator\"\nupstream = \"upstream\"\nmetrics = \"metrics\"\n",
            self.addresses[index]
        );
        if self.seeds > 0 {
            text.push_str(&format!("[group]\nfound = {first_start}\ntolerated = 1\n"));
        }
        let peers = if self.seeds > 0 { self.seeds } else { self.addresses.len() };
        for (peer, address) in self.addresses.iter().take(peers).enumerate() {
            text.push_str(&format!("[[peers]]\nname = \"c{peer}\"\naddress = \"{address}\"\n"));
        }
        let settings: ControllerSettings = parse_settings(Path::new("test.toml"), &text).unwrap();
        ControllerOptions::build(settings, self.folder.path()).unwrap()
    }

    pub fn address(&self, index: usize) -> SocketAddr {
        self.addresses[index]
    }

    /// Drops a controller without farewell.
    pub async fn kill(&mut self, index: usize) {
        self.controllers[index].take().unwrap().kill().await;
    }

    /// Empties the data folder of a stopped controller.
    pub fn lose_disk(&self, index: usize) {
        let path = self.folder.path().join(format!("state-{index}"));
        std::fs::remove_dir_all(&path).unwrap();
        self.create_folder(index);
    }

    /// Starts a controller again on its address.
    pub async fn restart(&mut self, index: usize) {
        let end = Instant::now() + LIMIT;
        let listener = loop {
            match TcpListener::bind(self.addresses[index]).await {
                Ok(listener) => break listener,
                Err(error) => assert!(Instant::now() < end, "{error}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        // The lock on the folder is released once the storage thread has ended.
        let options = self.options(index);
        let mut listener = Some(listener);
        loop {
            let held = match listener.take() {
                Some(held) => held,
                None => TcpListener::bind(self.addresses[index]).await.unwrap(),
            };
            match start_on(options.clone(), held).await {
                Ok(handle) => {
                    self.controllers[index] = Some(handle);
                    return;
                }
                Err(error) => assert!(Instant::now() < end, "{error}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Index of the controller that leads, once there is one.
    pub async fn leader(&self) -> usize {
        self.wait_for(|group| {
            group
                .controllers
                .iter()
                .position(|held| held.as_ref().is_some_and(|handle| handle.replica().view().leads))
        })
        .await
    }

    /// Waits until every running controller counts `count` voters.
    pub async fn wait_for_voters(&self, count: usize) {
        self.wait_for(|group| {
            let mut running = group.controllers.iter().flatten();
            running
                .all(|handle| {
                    let view = handle.replica().view();
                    view.members.voters().count() == count && view.members.iter().count() == count
                })
                .then_some(())
        })
        .await;
    }

    pub async fn wait_for<T>(&self, mut look: impl FnMut(&Self) -> Option<T>) -> T {
        let end = Instant::now() + LIMIT;
        loop {
            if let Some(found) = look(self) {
                return found;
            }
            assert!(Instant::now() < end, "the group did not get there in {LIMIT:?}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Calls the leader, whichever it is, until it answers or refuses for good.
    pub async fn call_leader<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: Option<&Q>,
    ) -> Result<A, PeerError> {
        use baobabfall_core::error_kind::ErrorKind;
        let end = Instant::now() + LIMIT;
        loop {
            let leader = self.leader().await;
            let client = PeerClient::new(self.addresses[leader]);
            match client.call_json(path, OPERATOR, message, CALL).await {
                Err(error)
                    if Instant::now() < end
                        && matches!(
                            error.kind(),
                            ErrorKind::NotLeader
                                | ErrorKind::NoQuorum
                                | ErrorKind::PeerUnreachable
                                | ErrorKind::OutcomeUnknown
                        ) => {}
                result => return result,
            }
        }
    }

    /// Sends a table edit that puts one row.
    pub async fn put_row(
        &self,
        edit_id: &str,
        base_revision: u64,
        name: &str,
        weight: u32,
    ) -> Result<EditAnswer, PeerError> {
        self.call_leader(TABLE_PATH, Some(&row_edit(edit_id, base_revision, name, weight))).await
    }
}

pub fn row_edit(edit_id: &str, base_revision: u64, name: &str, weight: u32) -> TableEdit {
    let row = WorkspaceRow {
        name: name.to_owned(),
        key_hashes: vec![hash_key(name)],
        weight,
        concurrency: 4,
        requests_per_minute: 6000,
        tokens_per_minute: 1_000_000,
        queue_length: 100,
        request_kib: 64,
        protected: true,
    };
    TableEdit {
        operator: "test".to_owned(),
        edit_id: edit_id.to_owned(),
        base_revision,
        changes: vec![RowChange::Put { row }],
    }
}
