//! Tests of connections that a crowded router hands over to neighbours.

#![allow(clippy::unwrap_used)]

mod support;

use baobabfall_core::dispatch_messages::NeighbourRoom;
use baobabfall_router::exchange_state::ProgressGuard;
use baobabfall_router::handover::{HANDOVER_PATH, HANDOVER_PROTOCOL};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use std::sync::atomic::Ordering;
use std::time::Duration;
use support::exchange_site::{ExchangeSite, event_chunks, marked_answer, route_table, stream_head};
use support::fake_upstream::Step;
use support::{Answer, PROCESS_TOKEN, WAIT_LIMIT, send, wait_for};

/// Time within which a request must be cancelled once its caller has left.
const CANCEL_LIMIT: Duration = Duration::from_millis(500);

/// Lines of the settings with which a router that has 19 requests in progress diverts others.
const SMALL: &str = "connections = 40";

/// A crowded router and two neighbours.
struct CrowdedFleet {
    crowded: ExchangeSite,
    neighbours: Vec<ExchangeSite>,
    work: Vec<ProgressGuard>,
}

/// Requests in progress that fill a router with [`SMALL`] settings.
fn fill(site: &ExchangeSite) -> Vec<ProgressGuard> {
    (0..19).map(|_| site.state.begin()).collect()
}

fn room(name: &str, site: &ExchangeSite) -> NeighbourRoom {
    let address = site.handle.fleet_address();
    NeighbourRoom { router: name.to_owned(), address, room: 40, distant: false }
}

fn name_neighbours(site: &ExchangeSite, list: Vec<NeighbourRoom>) {
    site.handle.state().queue.with_neighbours(|book, now| book.replace(now, list));
}

impl CrowdedFleet {
    /// Starts the fleet; the upstream of each neighbour answers with its scripts.
    async fn start(scripts: [Vec<Vec<Step>>; 2]) -> Self {
        let crowded = ExchangeSite::start_with(vec![vec![]], SMALL).await;
        let mut neighbours = Vec::new();
        for script in scripts {
            neighbours.push(ExchangeSite::start_with(vec![script], SMALL).await);
        }
        let work = fill(&crowded);
        let fleet = Self { crowded, neighbours, work };
        fleet.name_neighbours();
        fleet
    }

    fn name_neighbours(&self) {
        let rooms = self.neighbours.iter().enumerate();
        let list = rooms.map(|(index, site)| room(&format!("n{index}"), site)).collect();
        name_neighbours(&self.crowded, list);
    }

    fn counts(&self) -> [usize; 3] {
        let [first, second] = [0, 1].map(|index| self.neighbours[index].request_count(0));
        [self.crowded.request_count(0), first, second]
    }

    fn given(&self) -> u64 {
        self.crowded.handle.state().handovers.given.load(Ordering::Relaxed)
    }
}

/// A stream of three events that waits at a gate after the second.
fn gated_stream() -> Vec<Step> {
    let begin = stream_head() + &event_chunks(1, 3);
    let end = event_chunks(3, 4) + "0\r\n\r\n";
    vec![Step::Write(begin), Step::Gate, Step::Write(end)]
}

/// Guards against a crowded router that keeps callers waiting or turns them away while its
/// neighbours idle, and against answers that the handover damages.
#[tokio::test]
async fn handover_answers_are_whole() {
    let fleet = CrowdedFleet::start([vec![marked_answer("a")], vec![marked_answer("b")]]).await;
    let mut bodies = Vec::new();
    for _ in 0..2 {
        let answer = fleet.crowded.call(Method::GET, "/read/x", &[]).await;
        assert_eq!((answer.status.as_u16(), answer.complete), (200, true), "{answer:?}");
        assert_eq!((answer.header("x-mark"), answer.header("connection")), ("m", "close"));
        bodies.push(answer.body);
    }
    assert_eq!((bodies.join(""), fleet.counts(), fleet.given()), ("ab".to_owned(), [0, 1, 1], 2));
    for site in &fleet.neighbours {
        site.upstreams[0].replace_scripts(vec![gated_stream()]);
        site.upstreams[0].open_gate();
    }
    let answer = fleet.crowded.call(Method::POST, "/stream/x", &[]).await;
    assert!(answer.complete && answer.body.ends_with("data: e3\n\n"), "{answer:?}");
    assert_eq!(fleet.crowded.handle.state().accept_gate.diverted(), 0, "its place is free again");
}

/// Guards against a part of an answer that looks complete, or a request that runs twice, after the
/// neighbour that runs it is lost.
#[tokio::test]
async fn handover_neighbour_lost_midway_breaks_answer() {
    let fleet = CrowdedFleet::start([vec![gated_stream()], vec![]]).await;
    let request = fleet.crowded.request(Method::POST, "/stream/x", &[], "");
    let response = send(fleet.crowded.handle.caller_address(), request).await;
    assert_eq!(response.status().as_u16(), 200);
    fleet.neighbours[0].handle.abort();
    let answer = Answer::read(response).await;
    assert!(!answer.complete, "{answer:?}");
    assert_eq!(fleet.counts(), [0, 1, 0]);
}

/// Guards against a request that must run at most once and is sent to a second router after the
/// first one was lost.
#[tokio::test]
async fn handover_once_request_is_not_repeated() {
    let fleet = CrowdedFleet::start([vec![vec![Step::Hang]], vec![]]).await;
    let request = fleet.crowded.request(Method::POST, "/once/x", &[], "");
    let call = tokio::spawn(send(fleet.crowded.handle.caller_address(), request));
    wait_for("the upstream to receive it", || fleet.neighbours[0].request_count(0) == 1).await;
    fleet.neighbours[0].handle.abort();
    let answer = Answer::read(call.await.unwrap()).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (502, "upstream_failed"));
    assert_eq!((answer.complete, fleet.counts()), (true, [0, 1, 0]));
}

/// Guards against callers who are turned away because a neighbour is stopping or gone: another
/// one serves them, or the router itself.
#[tokio::test]
async fn handover_refused_is_served_elsewhere() {
    let fleet = CrowdedFleet::start([vec![], vec![marked_answer("b")]]).await;
    fleet.neighbours[0].handle.begin_stop();
    wait_for("the stop", || !fleet.neighbours[0].handle.state().is_healthy()).await;
    fleet.name_neighbours();
    let answer = fleet.crowded.call(Method::GET, "/read/x", &[]).await;
    assert_eq!((answer.body.as_str(), fleet.counts()), ("b", [0, 0, 1]));
    for site in &fleet.neighbours {
        site.handle.abort();
        site.handle.join().await;
    }
    fleet.name_neighbours();
    fleet.crowded.upstreams[0].replace_scripts(vec![marked_answer("own")]);
    let answer = fleet.crowded.call(Method::GET, "/read/x", &[]).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "own"));
    let refused = fleet.crowded.handle.state().handovers.refused.load(Ordering::Relaxed);
    assert!(refused >= 2, "{refused}");
    assert!(
        fleet.crowded.handle.state().queue.with_neighbours(|book, now| !book.has_room(now)),
        "neighbours that failed are left out"
    );
}

/// Guards against requests that crowded routers pass to one another.
#[tokio::test]
async fn handover_taken_connection_stays() {
    let mut fleet = CrowdedFleet::start([vec![marked_answer("a")], vec![]]).await;
    fleet.neighbours.truncate(1);
    fleet.name_neighbours();
    let address = fleet.crowded.handle.caller_address();
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    wait_for("the neighbour to take it", || fleet.given() == 1).await;
    // Now the neighbour is as crowded, and the first router has room.
    let work = fill(&fleet.neighbours[0]);
    fleet.work.clear();
    name_neighbours(&fleet.neighbours[0], vec![room("router-1", &fleet.crowded)]);
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(hyper_util::rt::TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let request = fleet.crowded.request(Method::GET, "/read/x", &[], "");
    let answer = Answer::read(sender.send_request(request).await.unwrap()).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "a"));
    assert_eq!((fleet.crowded.request_count(0), fleet.neighbours[0].request_count(0)), (0, 1));
    // A crowded neighbour takes no further one.
    let last = fleet.neighbours[0].state.begin();
    fleet.work = fill(&fleet.crowded);
    fleet.name_neighbours();
    fleet.crowded.upstreams[0].replace_scripts(vec![marked_answer("own")]);
    let answer = fleet.crowded.call(Method::GET, "/read/x", &[]).await;
    assert_eq!((answer.body.as_str(), fleet.given()), ("own", 1));
    drop((work, last));
}

/// Guards against upstreams that go on with the request of a caller who has left.
#[tokio::test]
async fn handover_caller_leaves_cancels() {
    let fleet = CrowdedFleet::start([vec![vec![Step::Hang]], vec![]]).await;
    let request = fleet.crowded.request(Method::POST, "/stream/x", &[], "");
    let call = tokio::spawn(send(fleet.crowded.handle.caller_address(), request));
    wait_for("the upstream to receive it", || fleet.neighbours[0].request_count(0) == 1).await;
    call.abort();
    let left = tokio::time::Instant::now();
    wait_for("the cancellation", || fleet.neighbours[0].upstreams[0].log().closed == 1).await;
    assert!(left.elapsed() < CANCEL_LIMIT, "{:?}", left.elapsed());
}

/// Guards against a planned stop of the crowded router that cuts what it handed over.
#[tokio::test]
async fn handover_stop_ends_gracefully() {
    let fleet = CrowdedFleet::start([vec![gated_stream()], vec![]]).await;
    let request = fleet.crowded.request(Method::POST, "/stream/x", &[], "");
    let response = send(fleet.crowded.handle.caller_address(), request).await;
    let CrowdedFleet { crowded, neighbours, work } = fleet;
    drop(work);
    crowded.handle.begin_stop();
    wait_for("the end of the notice", || {
        !crowded.handle.state().drain.accepts_work() && crowded.state.router.in_progress() == 0
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    neighbours[0].upstreams[0].open_gate();
    let answer = Answer::read(response).await;
    assert!(answer.complete && answer.body.ends_with("data: e3\n\n"), "{answer:?}");
    tokio::time::timeout(WAIT_LIMIT, crowded.handle.join()).await.unwrap();
}

/// Asks a router to take a connection, as a crowded one does.
async fn ask_to_take(site: &ExchangeSite, token: &str, version: u64) -> u16 {
    let request = Request::builder()
        .method(Method::POST)
        .uri(HANDOVER_PATH)
        .header("host", "site")
        .header("connection", "upgrade")
        .header("upgrade", HANDOVER_PROTOCOL)
        .header("authorization", format!("Bearer {token}"))
        .header("baobabfall-routes-version", version.to_string())
        .body(Full::default())
        .unwrap();
    let response = send(site.handle.fleet_address(), request).await;
    let status = response.status().as_u16();
    if status != 101 {
        let _ = response.into_body().collect().await;
    }
    status
}

/// Guards against callers who hand connections over themselves, and against a neighbour whose
/// older tables let a revoked key pass, or after whose newer ones the older come back.
#[tokio::test]
async fn take_connection_needs_credential_and_tables() {
    let site = ExchangeSite::start(vec![vec![]]).await;
    let version = route_table(5).version;
    assert_eq!(ask_to_take(&site, "token-of-somebody-else", version).await, 401);
    for other in [version - 1, version + 1] {
        assert_ne!(ask_to_take(&site, PROCESS_TOKEN, other).await, 101);
    }
    assert_eq!(ask_to_take(&site, PROCESS_TOKEN, version).await, 101);
    let answer = site.call(Method::POST, HANDOVER_PATH, &[]).await;
    assert_eq!(answer.status.as_u16(), 404, "callers have no such path");
}
