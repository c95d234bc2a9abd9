//! Tests of the simulated model engine.

mod common;

use baobabfall_standin::answer_text::expected_answer;
use baobabfall_standin::faults::FaultKind;
use baobabfall_standin::model_engine::{EngineOptions, RESUME_HEADER, SOFTWARE_HEADER, start};
use baobabfall_standin::upstream_handle::SOFTWARE;
use common::{exchange, send, streamed_text};
use std::time::Duration;

const CHAT: &str = "/v1/chat/completions";
const ID: (&str, &str) = ("baobabfall-request-id", "request-1");

fn chat_body(tokens: u64, stream: bool) -> String {
    format!(
        r#"{{"model":"m","messages":[{{"role":"user","content":"question"}}],"max_tokens":{tokens},"stream":{stream}}}"#
    )
}

/// Guards against streamed or whole answers that differ from the content computed from the request
/// id, so that a client could not verify them.
#[tokio::test]
async fn generate_stream_and_whole_give_expected_answer() {
    let engine = start(EngineOptions::new("engine-1", "m")).await.unwrap();
    let (status, headers, body) =
        exchange(engine.address(), "POST", CHAT, &[ID], &chat_body(40, true)).await.unwrap();
    let body = body.unwrap();
    assert_eq!((status, &headers[ID.0]), (200, &ID.1.parse().unwrap()));
    assert_eq!(streamed_text(&body), expected_answer("request-1", 40));
    assert!(body.contains(r#""completion_tokens":40"#) && body.ends_with("data: [DONE]\n\n"));
    let (_, _, body) =
        exchange(engine.address(), "POST", CHAT, &[ID], &chat_body(40, false)).await.unwrap();
    assert!(body.unwrap().contains(&expected_answer("request-1", 40)));
    let counters = engine.counters();
    assert_eq!((counters.started, counters.executed, counters.finished), (2, 2, 2));
    assert_eq!(engine.executions().get("request-1"), Some(&2));
}

/// Guards against a resumed stream that repeats or skips tokens after the given position.
#[tokio::test]
async fn generate_resumed_continues_at_position() {
    let engine = start(EngineOptions::new("engine-1", "m")).await.unwrap();
    let headers = [ID, (RESUME_HEADER, "30")];
    let (_, _, body) =
        exchange(engine.address(), "POST", CHAT, &headers, &chat_body(40, true)).await.unwrap();
    let body = body.unwrap();
    assert!(body.starts_with(r#"data: {"position":30"#));
    assert_eq!(streamed_text(&body), expected_answer("request-1", 40)[30 * 6..]);
}

/// Guards against a stream that goes on at other software before its announcement tells.
#[tokio::test]
async fn generate_resumed_for_other_software_is_refused() {
    let engine = start(EngineOptions::new("engine-1", "m")).await.unwrap();
    for (software, expected) in [(SOFTWARE, 200), ("other", 409)] {
        let headers = [ID, (RESUME_HEADER, "30"), (SOFTWARE_HEADER, software)];
        let (status, _, _) =
            exchange(engine.address(), "POST", CHAT, &headers, &chat_body(40, true)).await.unwrap();
        assert_eq!(status, expected, "{software}");
    }
}

/// Guards against an unbounded queue: once slots and queue are full, a request must be refused
/// and marked as not run.
#[tokio::test]
async fn generate_beyond_queue_is_refused_as_not_run() {
    let mut options = EngineOptions::new("engine-1", "m");
    options.upstream.concurrency = 1;
    options.upstream.queue = 0;
    options.token_interval = Duration::from_secs(3600);
    let engine = start(options).await.unwrap();
    let response = send(engine.address(), "POST", CHAT, &[ID], &chat_body(2, true)).await.unwrap();
    let (status, headers, _) =
        exchange(engine.address(), "POST", CHAT, &[], &chat_body(2, true)).await.unwrap();
    assert_eq!((status, &headers["baobabfall-not-run"]), (503, &"true".parse().unwrap()));
    assert_eq!((engine.counters().executed, engine.counters().refused), (1, 1));
    drop(response);
}

/// Guards against a cancel request that is acknowledged but leaves the request running and its
/// slot occupied.
#[tokio::test]
async fn cancel_running_breaks_stream_and_frees_slot() {
    let mut options = EngineOptions::new("engine-1", "m");
    options.token_interval = Duration::from_secs(3600);
    let engine = start(options).await.unwrap();
    let response = send(engine.address(), "POST", CHAT, &[ID], &chat_body(2, true)).await.unwrap();
    let (_, _, body) =
        exchange(engine.address(), "POST", "/cancel/request-1", &[], "").await.unwrap();
    assert_eq!(body.unwrap(), r#"{"cancelled":true}"#);
    assert!(http_body_util::BodyExt::collect(response.into_body()).await.is_err());
    assert_eq!((engine.counters().cancelled, engine.state().running()), (1, 0));
}

/// Guards against injected faults that have no effect on the response; tests of the router's fault
/// handling would then pass without testing anything.
#[tokio::test]
async fn faults_set_show_in_answer() {
    let engine = start(EngineOptions::new("engine-1", "m")).await.unwrap();
    let faults = engine.faults();
    let stream = chat_body(40, true);
    faults.set(FaultKind::CloseMidAnswer, 1.0);
    assert!(exchange(engine.address(), "POST", CHAT, &[], &stream).await.unwrap().2.is_err());
    faults.clear();
    faults.set(FaultKind::WrongLength, 1.0);
    let (_, _, body) = exchange(engine.address(), "POST", CHAT, &[], &stream).await.unwrap();
    assert!(!body.unwrap().contains("[DONE]"));
    assert!(
        exchange(engine.address(), "POST", CHAT, &[], &chat_body(40, false))
            .await
            .unwrap()
            .2
            .is_err()
    );
    faults.clear();
    faults.set(FaultKind::WrongRequestId, 1.0);
    let (_, headers, _) = exchange(engine.address(), "POST", CHAT, &[ID], &stream).await.unwrap();
    assert_ne!(headers[ID.0], ID.1);
    faults.clear();
    faults.set(FaultKind::Refuse, 1.0);
    let (status, headers, _) =
        exchange(engine.address(), "POST", CHAT, &[ID], &stream).await.unwrap();
    assert_eq!((status, &headers["baobabfall-not-run"]), (503, &"true".parse().unwrap()));
    assert_eq!(engine.counters().executed, 4);
    assert_eq!(faults.count(FaultKind::WrongLength), 2);
}
