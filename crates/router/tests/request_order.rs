//! Tests of the check that an upstream's answer belongs to the request.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use baobabfall_router::request_order::UpstreamCall;
use bytes::Bytes;
use http::{HeaderMap, Method, Response};
use tokio::time::Instant;

/// Guards against an answer to another request that is accepted, and against the rejection of
/// answers from upstreams that do not echo the request id.
#[tokio::test(start_paused = true)]
async fn check_answer_other_request_id_is_rejected() {
    let call = UpstreamCall {
        method: Method::GET,
        path: "/status/1".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        request_id: "request-1".to_owned(),
        unique_id: true,
        deadline: Instant::now(),
    };
    let is_accepted = |id: Option<&str>| {
        let builder = Response::builder();
        let builder = id.into_iter().fold(builder, |b, id| b.header("baobabfall-request-id", id));
        call.check_answer(&builder.body(()).unwrap()).is_ok()
    };
    assert!(is_accepted(None));
    assert!(is_accepted(Some("request-1")));
    assert!(!is_accepted(Some("request-2")));
}
