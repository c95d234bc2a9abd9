//! Tests of the workspace table, planned stops, graceful shutdown, abort and the fleet listener.

#![allow(clippy::unwrap_used)]

mod support;

use baobabfall_node::messages::{AnnounceMessage, PlannedStop, StopKind};
use baobabfall_router::table_view::{FleetView, TableView};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use support::fake_controller::FakeController;
use support::fake_upstream::{END_EVENT, FakeUpstream, Step, chunk, event_chunks, stream_head};
use support::{
    Answer, METRICS_TOKEN, PROCESS_TOKEN, STREAM_REQUEST, TestRouter, UPSTREAM_TOKEN,
    model_announcement, send, wait_for,
};

async fn health_status(router: &TestRouter) -> u16 {
    router.call(Method::GET, "/healthz", &[], "").await.status.as_u16()
}

/// A stream that sends one event, waits for the gate, then sends another one and ends.
fn gated_stream() -> Vec<Step> {
    let first_part = format!("{}{}", stream_head(), event_chunks(0, 1));
    let last_part = format!("{}{}0\r\n\r\n", event_chunks(1, 2), chunk(END_EVENT));
    vec![Step::Write(first_part), Step::Gate, Step::Write(last_part)]
}

/// Guards against a restarted router that serves a stale table. A controller without a quorum
/// sends an unconfirmed table, which the router may use only if a majority of the controllers
/// answered.
#[tokio::test]
async fn first_table_needs_confirmation_or_majority() {
    let controllers = [FakeController::start(vec![]).await, FakeController::start(vec![]).await];
    for controller in &controllers {
        controller.script().confirmed = false;
    }
    controllers[1].script().silent = true;
    let unused_address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let addresses = [controllers[0].address, controllers[1].address, unused_address];
    let router = TestRouter::start(&addresses, "").await;
    wait_for("a sync request", || controllers[0].script().sync_count > 0).await;
    let answer = router.post("/v1/completions", &[], STREAM_REQUEST).await;
    assert_eq!(
        (answer.code().as_str(), answer.header("baobabfall-not-run")),
        ("not_ready", "true")
    );
    assert_eq!(health_status(&router).await, 503);
    controllers[1].script().silent = false;
    wait_for("answers of a majority", || router.handle.state().is_healthy()).await;
    assert_eq!(health_status(&router).await, 200);
    assert_eq!(router.handle.state().fleet.table().unwrap().revision, 1);
}

/// Guards against a router that does not notice a planned stop of its host, or that stays
/// unhealthy after the stop was cancelled during the notice.
#[tokio::test]
async fn planned_stop_is_announced_and_can_be_cancelled() {
    let controller = FakeController::start(vec![]).await;
    let router = TestRouter::ready(&controller, "stop_notice = \"1h\"").await;
    let set_stops = |stops: Vec<PlannedStop>, version: u64| {
        let mut script = controller.script();
        (script.stops, script.stops_version) = (stops, version);
    };
    set_stops(vec![PlannedStop { kind: StopKind::Host, name: "host-2".to_owned() }], 1);
    wait_for("the first list of stops", || router.handle.state().fleet.stops().version == 1).await;
    assert_eq!(health_status(&router).await, 200);
    set_stops(vec![PlannedStop { kind: StopKind::Host, name: "host-1".to_owned() }], 2);
    wait_for("the announcement of the stop", || !router.handle.state().is_healthy()).await;
    assert_eq!(health_status(&router).await, 503);
    let answer = router.call(Method::GET, "/v1/models", &[], "").await;
    assert_eq!(answer.status, 200, "requests must still be accepted during the notice");
    set_stops(vec![], 3);
    wait_for("the cancellation of the stop", || router.handle.state().is_healthy()).await;
}

/// Guards against a graceful shutdown that cuts a running request, accepts a new one or leaves a
/// queued request without an answer.
#[tokio::test]
async fn begin_stop_finishes_running_and_answers_queued_requests() {
    let upstream = FakeUpstream::start(vec![gated_stream()]).await;
    let controller =
        FakeController::start(vec![model_announcement("engine-1", upstream.address)]).await;
    controller.script().free_slots = 1;
    let limits = "stop_notice = \"50ms\"\nstop_queue = \"50ms\"";
    let router = TestRouter::ready(&controller, limits).await;
    let path = "/v1/completions";
    let running = router.open_response(Method::POST, path, &[], STREAM_REQUEST).await;
    let queued = router.post(path, &[], STREAM_REQUEST);
    let stop = async {
        let state = router.handle.state();
        wait_for("the second request to be queued", || state.queue.book().queued() == 1).await;
        router.handle.begin_stop();
        wait_for("the router to refuse new requests", || !state.drain.accepts_work()).await;
        router.post(path, &[], STREAM_REQUEST).await
    };
    let (queued, refused) = tokio::join!(queued, stop);
    for answer in [queued, refused] {
        assert_eq!((answer.status.as_u16(), answer.code().as_str()), (503, "stopping"));
        assert_eq!(answer.header("baobabfall-not-run"), "true");
    }
    assert_eq!(health_status(&router).await, 503);
    upstream.open_gate();
    let answer = Answer::read(running).await;
    assert!(answer.complete && answer.body.ends_with(END_EVENT), "{}", answer.body);
    tokio::time::timeout(support::WAIT_LIMIT, router.handle.join()).await.unwrap();
    let ended = controller.script().ended_leases.len();
    assert_eq!(ended, 1, "the lease must be returned before the router exits");
}

/// Guards against an abort that keeps connections open or still reports its leases as ended. An
/// abort has to look like a crash of the process.
#[tokio::test]
async fn abort_breaks_connections_and_reports_nothing() {
    let first_part = format!("{}{}", stream_head(), event_chunks(0, 1));
    let hanging = vec![Step::Write(first_part), Step::Hang];
    let upstream = FakeUpstream::start(vec![hanging]).await;
    let controller =
        FakeController::start(vec![model_announcement("engine-1", upstream.address)]).await;
    let router = TestRouter::ready(&controller, "").await;
    let mut running = router
        .open_response(Method::POST, "/v1/completions", &[], STREAM_REQUEST)
        .await
        .into_body();
    assert!(running.frame().await.unwrap().is_ok());
    router.handle.abort();
    tokio::time::timeout(support::WAIT_LIMIT, router.handle.join()).await.unwrap();
    let next = tokio::time::timeout(support::WAIT_LIMIT, running.frame()).await.unwrap();
    assert!(next.unwrap().is_err(), "the caller must see the connection break");
    wait_for("the upstream connection to close", || upstream.log().closed == 1).await;
    assert!(controller.script().ended_leases.is_empty());
    assert!(tokio::net::TcpStream::connect(router.handle.caller_address()).await.is_err());
}

async fn fleet_call(
    router: &TestRouter,
    method: Method,
    path: &str,
    token: &str,
    body: String,
) -> Answer {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "x")
        .header("authorization", format!("Bearer {token}"))
        .body(Full::new(body.into()))
        .unwrap();
    Answer::read(send(router.handle.fleet_address(), request).await).await
}

/// Guards against a router that ignores an upstream's withdrawal and sends it more requests, and
/// against a credential that is accepted on a path of another role.
#[tokio::test]
async fn fleet_listener_accepts_announcements_and_checks_credentials() {
    let upstream = FakeUpstream::start(vec![]).await;
    let engine = model_announcement("engine-9", upstream.address);
    let controller = FakeController::start(vec![]).await;
    let router = TestRouter::ready(&controller, "").await;
    let path = "/upstreams/v1/announce";
    let body = serde_json::to_string(&engine).unwrap();
    for (path, token) in
        [(path, METRICS_TOKEN), ("/metrics", PROCESS_TOKEN), ("/status", UPSTREAM_TOKEN)]
    {
        let method = if path.starts_with("/up") { Method::POST } else { Method::GET };
        let answer = fleet_call(&router, method, path, token, body.clone()).await;
        assert_eq!(answer.status, 401, "{path}");
    }
    let answer = fleet_call(&router, Method::POST, path, UPSTREAM_TOKEN, body.clone()).await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "{\"renew_within_ms\":1000}"));
    let models = router.call(Method::GET, "/v1/models", &[], "").await;
    assert!(models.body.contains("\"id\":\"small\""), "{}", models.body);
    let answer = fleet_call(&router, Method::POST, path, UPSTREAM_TOKEN, body).await;
    assert_eq!(answer.code(), "stale_incarnation");
    let withdrawal = "{\"name\":\"engine-9\",\"incarnation\":1}".to_owned();
    let path = "/upstreams/v1/withdraw";
    let answer = fleet_call(&router, Method::POST, path, UPSTREAM_TOKEN, withdrawal).await;
    assert_eq!(answer.status, 200);
    assert!(router.handle.state().fleet.directory().has_left("engine-9", 1));
    wait_for("both messages to be forwarded", || controller.script().forwarded.len() == 2).await;
    assert!(matches!(&controller.script().forwarded[0], AnnounceMessage::Announce(_)));
    let metrics = fleet_call(&router, Method::GET, "/metrics", METRICS_TOKEN, String::new()).await;
    assert!(metrics.body.contains("baobabfall_control_bytes_total{"), "{}", metrics.body);
    let status = fleet_call(&router, Method::GET, "/status", PROCESS_TOKEN, String::new()).await;
    let status: serde_json::Value = serde_json::from_str(&status.body).unwrap();
    assert_eq!((status["name"].as_str(), status["revision"].as_u64()), (Some("router-1"), Some(1)));
}

/// Guards against a stale table that replaces a newer one. Sync answers of different controllers
/// can arrive out of order.
#[test]
fn set_table_older_revision_is_ignored() {
    let fleet = FleetView::new();
    let new_view =
        |revision| TableView::new(revision, support::fake_controller::test_workspace_table());
    let results = [4, 3, 4, 5].map(|revision| fleet.set_table(new_view(revision)));
    assert_eq!(results, [true, false, false, true]);
    assert_eq!(fleet.table().unwrap().revision, 5);
    let table = fleet.table().unwrap();
    assert_eq!(table.authenticate(support::CALLER_KEY).unwrap().name, "team-a");
    assert!(table.authenticate("wrong").is_none());
}
