//! A group of real controllers on the loopback interface.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]
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

/// Time limit of every wait, far longer than a wait takes on a machine under load.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Timeout of one call to a controller.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);

pub const PROCESS_TOKEN: &str = "process-credential-1";
pub const OPERATOR_TOKEN: &str = "operator-credential-1";
pub const UPSTREAM_TOKEN: &str = "upstream-credential-1";
pub const METRICS_TOKEN: &str = "metrics-credential-1";

/// A running group; its files are removed when it is dropped.
pub struct GroupFixture {
    directory: tempfile::TempDir,
    addresses: Vec<SocketAddr>,
    /// Number of seeds of an open group; 0 for a group of fixed peers.
    seeds: usize,
    /// Number of lost disks that an open group tolerates.
    pub tolerated: usize,
    /// Seeds that the settings of the next starts name in place of the first controllers.
    pub named_seeds: Option<Vec<SocketAddr>>,
    /// Controllers by index; `None` while one is stopped.
    pub controllers: Vec<Option<ControllerHandle>>,
}

impl GroupFixture {
    /// Starts `size` controllers and waits for a leader.
    pub async fn start(size: usize) -> Self {
        Self::start_with(size, 0, Vec::new()).await
    }

    /// Starts an open group whose first `size` controllers are its seeds.
    pub async fn start_open(size: usize) -> Self {
        Self::start_with(size, size, Vec::new()).await
    }

    /// Like [`Self::start_open`], with further seeds.
    pub async fn start_open_behind(size: usize, others: Vec<SocketAddr>) -> Self {
        Self::start_with(size, size, others).await
    }

    async fn start_with(size: usize, seeds: usize, others: Vec<SocketAddr>) -> Self {
        let mut group = Self::prepare(size, seeds);
        if !others.is_empty() {
            group.named_seeds = Some(others.into_iter().chain(group.addresses.clone()).collect());
        }
        group.start_first_time(&Vec::from_iter(0..size)).await;
        group.leader().await;
        group
    }

    /// Reserves addresses and data folders for `size` controllers and starts none of them.
    pub fn prepare(size: usize, seeds: usize) -> Self {
        let directory = tempfile::tempdir().unwrap();
        for (name, token) in [
            ("process", PROCESS_TOKEN),
            ("operator", OPERATOR_TOKEN),
            ("upstream", UPSTREAM_TOKEN),
            ("metrics", METRICS_TOKEN),
        ] {
            std::fs::write(directory.path().join(name), token).unwrap();
        }
        // The listeners are held until all addresses are known, so that these differ.
        let listeners: Vec<_> =
            (0..size).map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        let addresses = listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
        let controllers = (0..size).map(|_| None).collect();
        let group =
            Self { directory, addresses, seeds, tolerated: 1, named_seeds: None, controllers };
        (0..size).for_each(|index| group.create_data_folder(index));
        group
    }

    /// Starts some controllers at the same time, as at the first start of the site.
    pub async fn start_first_time(&mut self, indices: &[usize]) {
        let mut start_tasks = Vec::new();
        for index in indices {
            let listener = TcpListener::bind(self.addresses[*index]).await.unwrap();
            let options = self.options_for_start(*index, true);
            start_tasks.push(tokio::spawn(start_on(options, listener)));
        }
        for (index, task) in indices.iter().zip(start_tasks) {
            self.controllers[*index] = Some(task.await.unwrap().unwrap());
        }
    }

    fn create_data_folder(&self, index: usize) {
        std::fs::create_dir_all(self.directory.path().join(format!("state-{index}"))).unwrap();
    }

    /// Starts a further controller at a new address, which joins the open group, and returns its
    /// index.
    pub async fn add_controller(&mut self) -> usize {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let index = self.addresses.len();
        self.addresses.push(listener.local_addr().unwrap());
        self.create_data_folder(index);
        let handle = start_on(self.options(index), listener).await.unwrap();
        self.controllers.push(Some(handle));
        index
    }

    pub fn options(&self, index: usize) -> ControllerOptions {
        self.options_for_start(index, false)
    }

    /// Options of a start, which may be the first one of the whole site.
    pub fn options_for_start(&self, index: usize, first_start: bool) -> ControllerOptions {
        let mut text = format!(
            "[node]\nname = \"c{index}\"\nzone = \"z{index}\"\n[control]\nlisten = \"{}\"\n\
             [storage]\nfolder = \"state-{index}\"\n[credentials]\nprocess = \"process\"\n\
             operator = \"operator\"\nupstream = \"upstream\"\nmetrics = \"metrics\"\n",
            self.addresses[index]
        );
        if self.seeds > 0 {
            let tolerated = self.tolerated;
            text.push_str(&format!("[group]\nfound = {first_start}\ntolerated = {tolerated}\n"));
        }
        let peers = if self.seeds > 0 { self.seeds } else { self.addresses.len() };
        let first = self.addresses.iter().take(peers).copied().collect();
        let named = self.named_seeds.clone().unwrap_or(first);
        for (peer, address) in named.iter().enumerate() {
            text.push_str(&format!("[[peers]]\nname = \"c{peer}\"\naddress = \"{address}\"\n"));
        }
        let settings: ControllerSettings = parse_settings(Path::new("test.toml"), &text).unwrap();
        ControllerOptions::build(settings, self.directory.path()).unwrap()
    }

    pub fn address(&self, index: usize) -> SocketAddr {
        self.addresses[index]
    }

    /// Stops a controller at once, without a graceful shutdown.
    pub async fn kill(&mut self, index: usize) {
        self.controllers[index].take().unwrap().kill().await;
    }

    /// Data folder of a controller.
    pub fn data_folder(&self, index: usize) -> std::path::PathBuf {
        self.directory.path().join(format!("state-{index}"))
    }

    /// Empties the data folder of a stopped controller, as after the loss of its disk.
    pub fn clear_data_folder(&self, index: usize) {
        let path = self.directory.path().join(format!("state-{index}"));
        std::fs::remove_dir_all(&path).unwrap();
        self.create_data_folder(index);
    }

    /// Starts a stopped controller again on its address. Retries while the address or the data
    /// folder is still in use.
    pub async fn restart(&mut self, index: usize) {
        let deadline = Instant::now() + WAIT_LIMIT;
        let listener = loop {
            match TcpListener::bind(self.addresses[index]).await {
                Ok(listener) => break listener,
                Err(error) => assert!(Instant::now() < deadline, "{error}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        // The data folder stays locked until the storage thread of the stopped controller ends.
        let options = self.options(index);
        let mut listener = Some(listener);
        loop {
            let next_listener = match listener.take() {
                Some(next_listener) => next_listener,
                None => TcpListener::bind(self.addresses[index]).await.unwrap(),
            };
            match start_on(options.clone(), next_listener).await {
                Ok(handle) => {
                    self.controllers[index] = Some(handle);
                    return;
                }
                Err(error) => assert!(Instant::now() < deadline, "{error}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until a controller is the leader and returns its index.
    pub async fn leader(&self) -> usize {
        self.wait_for(|group| {
            group
                .controllers
                .iter()
                .position(|slot| slot.as_ref().is_some_and(|handle| handle.replica().view().leads))
        })
        .await
    }

    /// Waits until every running controller sees exactly `count` members, all of them voters.
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

    /// Polls `condition` until it returns a value; fails the test after [`WAIT_LIMIT`].
    pub async fn wait_for<T>(&self, mut condition: impl FnMut(&Self) -> Option<T>) -> T {
        let deadline = Instant::now() + WAIT_LIMIT;
        loop {
            if let Some(value) = condition(self) {
                return value;
            }
            assert!(
                Instant::now() < deadline,
                "the group did not reach the expected state within {WAIT_LIMIT:?}"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Calls the current leader. Retries errors that a change of the leader or a lost quorum can
    /// cause, and returns any other result.
    pub async fn call_leader<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: Option<&Q>,
    ) -> Result<A, PeerError> {
        use baobabfall_core::error_kind::ErrorKind;
        let deadline = Instant::now() + WAIT_LIMIT;
        loop {
            let leader = self.leader().await;
            let client = PeerClient::new(self.addresses[leader]);
            match client.call_json(path, OPERATOR_TOKEN, message, CALL_TIMEOUT).await {
                Err(error)
                    if Instant::now() < deadline
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

    /// Sends the leader a table edit that adds or replaces one row.
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

/// A table edit that adds or replaces the row of workspace `name`.
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
