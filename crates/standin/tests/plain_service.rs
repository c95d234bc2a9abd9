//! Tests of the simulated plain service.

mod common;

use baobabfall_standin::plain_service::{FENCING_HEADER, KEY_HEADER, ServiceOptions, start};
use common::exchange;

const KEY: (&str, &str) = (KEY_HEADER, "20261203-a");

/// Guards against a simulated service that refuses the first execution of a key, or that runs a
/// second one although it honours fencing tokens.
#[tokio::test]
async fn protected_second_execution_is_refused_when_fencing_is_honoured() {
    let service = start(ServiceOptions::new("service-1", "cases")).await.unwrap();
    for (token, expected) in [("2.5", 200), ("2.6", 409), ("1.9", 409)] {
        let headers = [KEY, (FENCING_HEADER, token)];
        let (status, headers, _) =
            exchange(service.address(), "POST", "/payouts", &headers, "{}").await.unwrap();
        assert_eq!(status, expected);
        assert_eq!(headers.contains_key("baobabfall-not-run"), expected == 409);
    }
    assert_eq!(service.executions_by_key().get(KEY.1), Some(&1));
}

/// Guards against a simulated service that hides a repeated execution: without fencing, both
/// executions of a key must be recorded, so that tests can detect them.
#[tokio::test]
async fn protected_second_execution_is_counted_when_fencing_is_ignored() {
    let mut options = ServiceOptions::new("service-1", "cases");
    options.honours_fencing = false;
    let service = start(options).await.unwrap();
    for _ in 0..2 {
        assert_eq!(
            exchange(service.address(), "POST", "/payouts", &[KEY], "{}").await.unwrap().0,
            200
        );
    }
    assert_eq!(service.executions_by_key().get(KEY.1), Some(&2));
}

/// Guards against a drain that aborts requests in progress or leaves the listener open.
#[tokio::test]
async fn drain_finishes_and_closes() {
    let mut options = ServiceOptions::new("service-1", "cases");
    options.upstream.leave_grace = std::time::Duration::ZERO;
    let mut service = start(options).await.unwrap();
    assert_eq!(exchange(service.address(), "GET", "/status/7", &[], "").await.unwrap().0, 200);
    service.drain().await;
    assert!(tokio::net::TcpStream::connect(service.address()).await.is_err());
    assert_eq!(service.counters().finished, 1);
}
