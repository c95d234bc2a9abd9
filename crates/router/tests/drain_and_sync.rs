//! Tests of the table, planned stops, graceful and abrupt ends.

#![allow(clippy::unwrap_used)]

mod support;

use baobabfall_node::messages::{AnnounceMessage, PlannedStop, StopKind};
use baobabfall_router::table_view::{FleetView, TableView};
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use support::fake_controller::FakeController;
use support::fake_upstream::{END, FakeUpstream, Step, chunk, event_chunks, stream_head};
use support::{
    Answer, METRICS_TOKEN, PROCESS_TOKEN, STREAM_REQUEST, TestRouter, UPSTREAM_TOKEN, announcement,
    send, wait_for,
};

async fn health(router: &TestRouter) -> u16 {
    router.call(Method::GET, "/healthz", &[], "").await.status.as_u16()
}

/// A stream that sends one event, waits for the gate and ends.
fn gated() -> Vec<Step> {
    let begin = format!("{}{}", stream_head(), event_chunks(0, 1));
    let end = format!("{}{}0\r\n\r\n", event_chunks(1, 2), chunk(END));
    vec![Step::Write(begin), Step::Gate, Step::Write(end)]
}

/// Guards against a restarted router that serves an old table: one controller
/// of three that does not know the leader is not enough.
#[tokio::test]
async fn first_table_needs_confirmation_or_majority() {
    let controllers = [FakeController::start(vec![]).await, FakeController::start(vec![]).await];
    for controller in &controllers {
        controller.script().confirmed = false;
    }
    controllers[1].script().silent = true;
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let addresses = [controllers[0].address, controllers[1].address, gone];
    let router = TestRouter::start(&addresses, "").await;
    wait_for("sync", || controllers[0].script().syncs > 0).await;
    let answer = router.post("/v1/completions", &[], STREAM_REQUEST).await;
    assert_eq!(
        (answer.code().as_str(), answer.header("baobabfall-not-run")),
        ("not_ready", "true")
    );
    assert_eq!(health(&router).await, 503);
    controllers[1].script().silent = false;
    wait_for("majority", || router.handle.state().is_healthy()).await;
    assert_eq!(health(&router).await, 200);
    assert_eq!(router.handle.state().fleet.table().unwrap().revision, 1);
}

/// Guards against a planned stop that the router does not notice, or that it
/// cannot take back while it is only announced.
#[tokio::test]
async fn planned_stop_is_announced_and_can_be_cancelled() {
    let controller = FakeController::start(vec![]).await;
    let router = TestRouter::ready(&controller, "stop_notice = \"1h\"").await;
    let set = |stops: Vec<PlannedStop>, version: u64| {
        let mut script = controller.script();
        (script.stops, script.stops_version) = (stops, version);
    };
    set(vec![PlannedStop { kind: StopKind::Host, name: "host-2".to_owned() }], 1);
    wait_for("stops", || router.handle.state().fleet.stops().version == 1).await;
    assert_eq!(health(&router).await, 200);
    set(vec![PlannedStop { kind: StopKind::Host, name: "host-1".to_owned() }], 2);
    wait_for("announcement", || !router.handle.state().is_healthy()).await;
    assert_eq!(health(&router).await, 503);
    let answer = router.call(Method::GET, "/v1/models", &[], "").await;
    assert_eq!(answer.status, 200, "work is still taken during the notice");
    set(vec![], 3);
    wait_for("cancellation", || router.handle.state().is_healthy()).await;
}

/// Guards against a graceful stop that cuts a running request, starts new work
/// or leaves a queued request without an answer.
#[tokio::test]
async fn begin_stop_finishes_running_and_answers_queued_requests() {
    let upstream = FakeUpstream::start(vec![gated()]).await;
    let controller = FakeController::start(vec![announcement("engine-1", upstream.address)]).await;
    controller.script().slots = 1;
    let limits = "stop_notice = \"50ms\"\nstop_queue = \"50ms\"";
    let router = TestRouter::ready(&controller, limits).await;
    let path = "/v1/completions";
    let running = router.open(Method::POST, path, &[], STREAM_REQUEST).await;
    let queued = router.post(path, &[], STREAM_REQUEST);
    let stop = async {
        let state = router.handle.state();
        wait_for("queue", || state.queue.book().queued() == 1).await;
        router.handle.begin_stop();
        wait_for("refusal", || !state.drain.accepts_work()).await;
        router.post(path, &[], STREAM_REQUEST).await
    };
    let (queued, refused) = tokio::join!(queued, stop);
    for answer in [queued, refused] {
        assert_eq!((answer.status.as_u16(), answer.code().as_str()), (503, "stopping"));
        assert_eq!(answer.header("baobabfall-not-run"), "true");
    }
    assert_eq!(health(&router).await, 503);
    upstream.open_gate();
    let answer = Answer::read(running).await;
    assert!(answer.complete && answer.body.ends_with(END), "{}", answer.body);
    tokio::time::timeout(support::PATIENCE, router.handle.join()).await.unwrap();
    let ended = controller.script().ended.len();
    assert_eq!(ended, 1, "the slot is given back before the end");
}

/// Guards against an abrupt stop that still says farewell or keeps connections.
#[tokio::test]
async fn abort_breaks_connections_without_farewell() {
    let begin = format!("{}{}", stream_head(), event_chunks(0, 1));
    let hanging = vec![Step::Write(begin), Step::Hang];
    let upstream = FakeUpstream::start(vec![hanging]).await;
    let controller = FakeController::start(vec![announcement("engine-1", upstream.address)]).await;
    let router = TestRouter::ready(&controller, "").await;
    let mut running =
        router.open(Method::POST, "/v1/completions", &[], STREAM_REQUEST).await.into_body();
    assert!(running.frame().await.unwrap().is_ok());
    router.handle.abort();
    tokio::time::timeout(support::PATIENCE, router.handle.join()).await.unwrap();
    let next = tokio::time::timeout(support::PATIENCE, running.frame()).await.unwrap();
    assert!(next.unwrap().is_err(), "the caller must see a broken answer");
    wait_for("close", || upstream.log().closed == 1).await;
    assert!(controller.script().ended.is_empty());
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

/// Guards against an upstream that keeps getting work from a router that it
/// told that it leaves, and against credentials that open the wrong path.
#[tokio::test]
async fn fleet_listener_takes_announcements_and_checks_credentials() {
    let upstream = FakeUpstream::start(vec![]).await;
    let engine = announcement("engine-9", upstream.address);
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
    assert!(router.handle.state().fleet.has_deregistered("engine-9", 1));
    wait_for("forwarding", || controller.script().forwarded.len() == 2).await;
    assert!(matches!(&controller.script().forwarded[0], AnnounceMessage::Announce(_)));
    let metrics = fleet_call(&router, Method::GET, "/metrics", METRICS_TOKEN, String::new()).await;
    assert!(metrics.body.contains("baobabfall_control_bytes_total{"), "{}", metrics.body);
    let status = fleet_call(&router, Method::GET, "/status", PROCESS_TOKEN, String::new()).await;
    let status: serde_json::Value = serde_json::from_str(&status.body).unwrap();
    assert_eq!((status["name"].as_str(), status["revision"].as_u64()), (Some("router-1"), Some(1)));
}

/// Guards against an old table that replaces a newer one.
#[test]
fn set_table_only_moves_forward() {
    let fleet = FleetView::new();
    let view = |revision| TableView::new(revision, support::fake_controller::test_table());
    let results = [4, 3, 4, 5].map(|revision| fleet.set_table(view(revision)));
    assert_eq!(results, [true, false, false, true]);
    assert_eq!(fleet.table().unwrap().revision, 5);
    let table = fleet.table().unwrap();
    assert_eq!(table.authenticate(support::KEY).unwrap().name, "team-a");
    assert!(table.authenticate("wrong").is_none());
}
