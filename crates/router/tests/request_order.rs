//! Tests of what is sent to an upstream and checked in its answer.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use baobabfall_router::request_order::UpstreamCall;
use bytes::Bytes;
use http::{HeaderMap, Method, Response};
use tokio::time::Instant;

/// Guards against an answer of another request, and against a router that
/// cannot use upstreams which do not echo the id.
#[tokio::test(start_paused = true)]
async fn check_answer_only_another_id_is_refused() {
    let call = UpstreamCall {
        method: Method::GET,
        path: "/status/1".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        request_id: "request-1".to_owned(),
        unique_id: true,
        deadline: Instant::now(),
    };
    let answer = |id: Option<&str>| {
        let builder = Response::builder();
        let builder = id.into_iter().fold(builder, |b, id| b.header("baobabfall-request-id", id));
        call.check_answer(&builder.body(()).unwrap()).is_ok()
    };
    assert!(answer(None));
    assert!(answer(Some("request-1")));
    assert!(!answer(Some("request-2")));
}
