//! Hands connections of callers to neighbours while the router is crowded.
//!
//! Nothing is read from a connection before a neighbour has taken it. A connection that none
//! takes is therefore served here, as if it had never been offered, and the neighbour that takes
//! it is the router of its request in every respect.

use crate::handover_relay::{RelayEnd, relay_connection};
use crate::router_state::RouterState;
use baobabfall_core::neighbour_book::ChosenNeighbour;
use baobabfall_node::accept_gate::AdmittedConnection;
use baobabfall_node::http_server::ConnectionDiversion;
use baobabfall_node::tcp_options::set_user_timeout;
use bytes::Bytes;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Path at the fleet listener at which a router takes connections of callers.
pub const HANDOVER_PATH: &str = "/v1/connections";
/// Protocol to which such a request upgrades its connection.
pub const HANDOVER_PROTOCOL: &str = "baobabfall-connection";
/// Header with the name of the router that hands a connection over.
pub const ROUTER_HEADER: &str = "baobabfall-router";
/// Header with the number of the connection at that router.
pub const CONNECTION_HEADER: &str = "baobabfall-connection";
/// Header with the version of that router's route table.
pub const ROUTES_VERSION_HEADER: &str = "baobabfall-routes-version";

/// Time in which a neighbour must take a connection. It is some milliseconds away.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Neighbours to which a connection is offered.
const OFFER_LIMIT: u32 = 3;
/// Largest head of a neighbour's answer, in bytes.
const ANSWER_LIMIT: usize = 1024;
/// Status line of a neighbour that takes the connection.
const TAKEN: &[u8] = b"HTTP/1.1 101";
/// Time for which the dispatcher may be silent until connections are no longer handed over. The
/// router may then miss changes that its neighbours know.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Why a neighbour did not take a connection.
#[derive(Debug, Error)]
enum OfferError {
    #[error("the neighbour refused: {0}")]
    Refused(String),
    #[error("the neighbour did not answer in time")]
    Silent,
    #[error("the neighbour cannot be reached: {0}")]
    Unreachable(#[from] io::Error),
}

/// Counts of connections since the start of the process.
#[derive(Debug, Default)]
pub struct HandoverTally {
    /// Connections that neighbours took.
    pub given: AtomicU64,
    /// Offers that neighbours refused or did not answer.
    pub refused: AtomicU64,
    /// Connections taken from other routers.
    pub taken: AtomicU64,
    /// Connections that broke at the neighbour before it answered.
    pub broken: AtomicU64,
}

/// Offers connections to neighbours, and returns those that none of them takes.
#[derive(Debug)]
pub(crate) struct ConnectionHandover {
    offers: Arc<OfferDesk>,
    returned: UnboundedReceiver<AdmittedConnection>,
}

#[derive(Debug)]
struct OfferDesk {
    state: Arc<RouterState>,
    /// Answer to a caller whose request may have run at a neighbour that gave no answer.
    failure: Bytes,
    numbers: AtomicU64,
    returned: UnboundedSender<AdmittedConnection>,
}

impl ConnectionHandover {
    /// Creates the handover of a router. `failure` is a whole HTTP response.
    pub(crate) fn new(state: Arc<RouterState>, failure: Bytes) -> Self {
        let (sender, returned) = unbounded_channel();
        let numbers = AtomicU64::new(0);
        Self { offers: Arc::new(OfferDesk { state, failure, numbers, returned: sender }), returned }
    }
}

impl ConnectionDiversion for ConnectionHandover {
    fn divert(&mut self, mut connection: AdmittedConnection) -> Option<AdmittedConnection> {
        let state = &self.offers.state;
        let is_informed = state.dispatch.silence() < SILENCE_LIMIT;
        if !is_informed || !state.queue.with_neighbours(|book, now| book.has_room(now)) {
            return Some(connection);
        }
        let offers = Arc::clone(&self.offers);
        let abort = state.abort.clone();
        tokio::spawn(async move {
            connection.set_aside();
            abort.run_until_cancelled(offers.hand_over(connection)).await;
        });
        None
    }

    async fn returned(&mut self) -> AdmittedConnection {
        match self.returned.recv().await {
            Some(connection) => connection,
            None => std::future::pending().await,
        }
    }
}

impl OfferDesk {
    async fn hand_over(&self, mut connection: AdmittedConnection) {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        for _ in 0..OFFER_LIMIT {
            let chosen = self.state.queue.with_neighbours(|book, now| book.choose(now));
            let Some(neighbour) = chosen else { break };
            match tokio::time::timeout(ANSWER_TIMEOUT, self.offer(&neighbour, number)).await {
                Ok(Ok(stream)) => return self.relay(connection, &neighbour, stream, number).await,
                Ok(Err(error)) => self.record_failure(&neighbour, number, &error),
                Err(_) => self.record_failure(&neighbour, number, &OfferError::Silent),
            }
        }
        connection.take_back();
        // The receiver only ends with the listener.
        let _ = self.returned.send(connection);
    }

    /// Asks a neighbour to take a connection. Returns the connection to it once it has agreed.
    async fn offer(
        &self,
        neighbour: &ChosenNeighbour,
        number: u64,
    ) -> Result<TcpStream, OfferError> {
        let mut stream = TcpStream::connect(neighbour.address).await?;
        let _ = stream.set_nodelay(true);
        set_user_timeout(&stream);
        let request = format!(
            "POST {HANDOVER_PATH} HTTP/1.1\r\nhost: {}\r\nconnection: upgrade\r\n\
             upgrade: {HANDOVER_PROTOCOL}\r\nauthorization: Bearer {}\r\n{ROUTER_HEADER}: {}\r\n\
             {CONNECTION_HEADER}: {number}\r\n{ROUTES_VERSION_HEADER}: {}\r\n\r\n",
            neighbour.address,
            self.state.options.process.token(),
            self.state.options.identity.name,
            self.state.fleet.routes_version(),
        );
        stream.write_all(request.as_bytes()).await?;
        let mut answer = [0; ANSWER_LIMIT];
        let mut length = 0;
        while !answer[..length].ends_with(b"\r\n\r\n") {
            let count = stream.read(&mut answer[length..]).await?;
            length += count;
            if count == 0 || !TAKEN.starts_with(&answer[..length.min(TAKEN.len())]) {
                let line = answer[..length].split(|byte| *byte == b'\r').next();
                let line = String::from_utf8_lossy(line.unwrap_or_default()).into_owned();
                return Err(OfferError::Refused(line));
            }
        }
        Ok(stream)
    }

    fn record_failure(&self, neighbour: &ChosenNeighbour, number: u64, error: &OfferError) {
        self.state.handovers.refused.fetch_add(1, Ordering::Relaxed);
        self.state.queue.with_neighbours(|book, now| book.record_failure(now, &neighbour.router));
        log::info!(
            event = "handover_refused", neighbour = neighbour.router.as_str(), connection = number;
            "a neighbour did not take a connection and is left out for a time: {error}"
        );
    }

    async fn relay(
        &self,
        connection: AdmittedConnection,
        neighbour: &ChosenNeighbour,
        stream: TcpStream,
        number: u64,
    ) {
        self.state.handovers.given.fetch_add(1, Ordering::Relaxed);
        self.state.queue.with_neighbours(|book, _| book.record_taken(&neighbour.router));
        let (caller, place) = connection.into_diverted();
        let _ = caller.set_nodelay(true);
        let gate = &self.state.accept_gate;
        let end = relay_connection(caller, stream, || gate.is_saturated(), &self.failure).await;
        drop(place);
        self.state.queue.with_neighbours(|book, _| book.record_end(&neighbour.router));
        if let RelayEnd::Broken { is_answered, reason } = end {
            self.state.handovers.broken.fetch_add(1, Ordering::Relaxed);
            log::info!(
                event = "handover_broken", neighbour = neighbour.router.as_str(),
                connection = number, answered = is_answered;
                "a neighbour broke off a connection that it had taken: {reason}"
            );
        }
    }
}
