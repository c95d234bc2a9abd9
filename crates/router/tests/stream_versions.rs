//! Tests of streams that go on while upstreams of several software versions serve.

#![allow(clippy::unwrap_used)]

mod support;

use baobabfall_core::software_version::SoftwareVersion;
use http::Method;
use support::Answer;
use support::exchange_site::{ExchangeSite, event, event_chunks, start_peers, stream_head};
use support::fake_upstream::Step;

const END: &str = "0\r\n\r\n";
/// Headers of an attempt that goes on after event 2 of the stream that request `r1` began.
const TAKES_UP_R1: [(&str, &str); 3] =
    [("x-request", "r2"), ("x-resumes", "r1"), ("x-last-event", "2")];

fn broken_after_two() -> Vec<Step> {
    vec![Step::Write(format!("{}{}", stream_head(), event_chunks(1, 3))), Step::Close]
}

/// The rest of a stream of four events, in the answer to request `id`.
fn rest_for(id: &str) -> Vec<Step> {
    let head = stream_head().replace("r1", id);
    vec![Step::Write(format!("{head}{}{END}", event_chunks(3, 5)))]
}

/// A router with one upstream per entry, each with its software version and its script.
async fn site_of(versions: Vec<(&str, Vec<Vec<Step>>)>) -> ExchangeSite {
    let (names, scripts): (Vec<&str>, Vec<_>) = versions.into_iter().unzip();
    let (controller, upstreams) = start_peers(scripts).await;
    for upstream in &mut controller.script().upstreams {
        let index: usize = upstream.name[1..2].parse().unwrap();
        upstream.software = SoftwareVersion::parse(names[index]);
    }
    ExchangeSite::start_between(controller, upstreams, "", None).await
}

/// The answer to `r1`, whose stream breaks after two events and is not continued.
async fn begin_stream(site: &ExchangeSite) -> Answer {
    let answer = site.call(Method::POST, "/long-resume/x", &[]).await;
    assert!(!answer.complete);
    assert_eq!(answer.body, format!("{}{}", event(1), event(2)));
    answer
}

/// Guards against an answer with events of two software versions.
#[tokio::test]
async fn broken_stream_stays_at_its_version() {
    let site = site_of(vec![("v1", vec![broken_after_two()]), ("v2", vec![rest_for("r1")])]).await;
    let answer = site.call(Method::POST, "/resume/x", &[]).await;
    assert!(!answer.complete, "no upstream of the version is left");
    assert_eq!(answer.body, format!("{}{}", event(1), event(2)));
    assert_eq!(site.request_count(1), 0);
}

/// Guards against a caller who takes a stream up and gets events of another software version.
#[tokio::test]
async fn taken_up_stream_stays_at_its_version() {
    let site = site_of(vec![
        ("v1", vec![broken_after_two()]),
        ("v2", vec![rest_for("r2")]),
        ("v1", vec![rest_for("r2")]),
    ])
    .await;
    begin_stream(&site).await;
    let answer = site.call(Method::POST, "/long-resume/x", &TAKES_UP_R1).await;
    assert_eq!((site.request_count(1), site.request_count(2)), (0, 1));
    assert!(answer.complete);
    assert_eq!(answer.body, format!("{}{}", event(3), event(4)));
}

/// Guards against a stream that goes on at any version when the version that began it is gone or
/// nobody knows it, and against callers who wait in vain then.
#[tokio::test]
async fn taken_up_stream_without_its_version_is_refused() {
    let site = site_of(vec![("v1", vec![rest_for("r2")])]).await;
    for headers in [&TAKES_UP_R1[..], &[("x-request", "r2"), ("x-last-event", "2")]] {
        let answer = site.call(Method::POST, "/long-resume/x", headers).await;
        assert_eq!(answer.status.as_u16(), 503, "{}", answer.body);
        assert_eq!(answer.header("x-retry-ms"), "", "no later attempt can succeed");
    }
    assert_eq!(site.request_count(0), 0);
}
