//! A seed without a disk, which answers other processes as its host does.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use crate::group_fixture::{CALL_TIMEOUT, GroupFixture, PROCESS_TOKEN, WAIT_LIMIT};
use baobabfall_controller::membership::{PRESENCE_PATH, ReplicaPresence};
use baobabfall_controller::options::SeedList;
use baobabfall_controller::seed_service::SeedService;
use baobabfall_node::credentials::CredentialFile;
use baobabfall_node::http_client::PeerClient;
use baobabfall_node::http_server::{FullResponse, ServerLimits, serve};
use baobabfall_node::stop_signal::{StopPhase, StopSender, stop_channel};
use http::Request;
use hyper::body::Incoming;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// A running seed without a disk.
pub struct DisklessSeed {
    pub address: SocketAddr,
    stop: StopSender,
}

impl DisklessSeed {
    /// Starts a seed for the processes of `group`, at `address` or at a free one.
    pub async fn start(group: &GroupFixture, address: Option<SocketAddr>) -> Self {
        let address = address.unwrap_or_else(|| "127.0.0.1:0".parse().unwrap());
        Self::start_on(bind(address).await, group.options(0).process, false)
    }

    pub fn start_on(listener: TcpListener, credential: CredentialFile, first_start: bool) -> Self {
        let address = listener.local_addr().unwrap();
        let service = SeedService::new(SeedList::default(), credential, first_start);
        let service = tower::service_fn(move |request: Request<Incoming>| {
            let service = service.clone();
            async move { Ok::<FullResponse, Infallible>(service.handle(request).await) }
        });
        let (stop, signal) = stop_channel();
        tokio::spawn(serve(listener, service, ServerLimits::default(), signal));
        Self { address, stop }
    }

    /// Ends the seed and starts it again at its address, without what it knew.
    pub async fn restart(self, group: &GroupFixture) -> Self {
        self.stop.advance(StopPhase::Stopped);
        Self::start(group, Some(self.address)).await
    }

    /// Waits until the seed names these members.
    pub async fn wait_for_members(&self, group: &GroupFixture, indices: &[usize]) {
        let mut expected: Vec<_> = indices.iter().map(|index| group.address(*index)).collect();
        expected.sort_unstable();
        let deadline = Instant::now() + WAIT_LIMIT;
        loop {
            let client = PeerClient::new(self.address);
            let presence: Result<ReplicaPresence, _> =
                client.call(PRESENCE_PATH, PROCESS_TOKEN, &(), CALL_TIMEOUT).await;
            let mut members = presence.map_or_else(|_| Vec::new(), |presence| presence.members);
            members.sort_unstable();
            if members == expected {
                return;
            }
            assert!(Instant::now() < deadline, "the seed names {members:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

pub async fn bind(address: SocketAddr) -> TcpListener {
    let deadline = Instant::now() + WAIT_LIMIT;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(error) => assert!(Instant::now() < deadline, "{error}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
