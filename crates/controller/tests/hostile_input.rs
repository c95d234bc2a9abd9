//! Tests of the controller's listener with missing or wrong credentials and malformed input.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod group_fixture;

use baobabfall_core::error_kind::ErrorKind;
use baobabfall_node::http_client::{PeerClient, PeerError};
use baobabfall_node::messages::{
    ANNOUNCE_PATH, CLAIM_PATH, DISPATCH_PATH, FORWARD_PATH, OUTCOME_PATH, REPORT_PATH, SYNC_PATH,
    WITHDRAW_PATH,
};
use baobabfall_node::operator_messages::{
    ACTIONS_PATH, HISTORY_PATH, MEMBERS_PATH, NODES_PATH, ROLLBACK_PATH, STATUS_PATH, STOPS_PATH,
    TABLE_PATH, WORKSPACES_PATH,
};
use bytes::Bytes;
use group_fixture::{
    CALL_TIMEOUT, GroupFixture, METRICS_TOKEN, OPERATOR_TOKEN, PROCESS_TOKEN, UPSTREAM_TOKEN,
};
use http::Method;
use quickcheck::{Arbitrary, Gen};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PROCESS_PATHS: [&str; 10] = [
    REPORT_PATH,
    DISPATCH_PATH,
    SYNC_PATH,
    FORWARD_PATH,
    CLAIM_PATH,
    OUTCOME_PATH,
    "/control/v1/replica",
    "/control/v1/replica/join",
    "/control/v1/replica/presence",
    "/control/v1/observed",
];
const OPERATOR_PATHS: [&str; 9] = [
    TABLE_PATH,
    ROLLBACK_PATH,
    HISTORY_PATH,
    STATUS_PATH,
    WORKSPACES_PATH,
    STOPS_PATH,
    ACTIONS_PATH,
    MEMBERS_PATH,
    NODES_PATH,
];

/// Table revision, stops version, term and member count, which a refused message must not change.
fn state_fingerprint(group: &GroupFixture) -> (u64, u64, u64, usize) {
    let replica = group.controllers[0].as_ref().unwrap().replica();
    let view = replica.view();
    let state = replica.state();
    (state.history().revision(), state.stops_version(), view.term, view.members.iter().count())
}

/// Guards against a path that does not check its credential, or accepts the credential of another
/// role.
#[tokio::test]
async fn every_path_wrong_credential_is_refused() {
    let group = GroupFixture::start(1).await;
    let client = PeerClient::new(group.address(0));
    let before = state_fingerprint(&group);
    let mut cases: Vec<(&str, &str)> = Vec::new();
    for token in ["", "wrong-credential-12345", OPERATOR_TOKEN, UPSTREAM_TOKEN, METRICS_TOKEN] {
        cases.extend(PROCESS_PATHS.map(|path| (path, token)));
    }
    for token in ["", "wrong-credential-12345", PROCESS_TOKEN, UPSTREAM_TOKEN, METRICS_TOKEN] {
        cases.extend(OPERATOR_PATHS.map(|path| (path, token)));
    }
    for token in ["", PROCESS_TOKEN, OPERATOR_TOKEN, METRICS_TOKEN] {
        cases.extend([ANNOUNCE_PATH, WITHDRAW_PATH].map(|path| (path, token)));
    }
    for token in ["", PROCESS_TOKEN, OPERATOR_TOKEN, UPSTREAM_TOKEN] {
        cases.push(("/metrics", token));
    }
    for (path, token) in cases {
        for method in [Method::GET, Method::POST] {
            let result =
                client.send(method, path, token, "text/plain", Bytes::new(), CALL_TIMEOUT).await;
            let kind = result.unwrap_err().kind();
            assert_eq!(kind, ErrorKind::Unauthenticated, "{path} with {token:?}");
        }
    }
    assert_eq!(state_fingerprint(&group), before);
}

/// Guards against a panic, a changed state or an unspecific error after random, truncated or
/// oversized messages and messages of an unsupported version.
#[tokio::test]
async fn every_path_malformed_body_is_refused() {
    let group = GroupFixture::start(1).await;
    group.put_row("e1", 0, "team-a", 1).await.unwrap();
    let client = PeerClient::new(group.address(0));
    let before = state_fingerprint(&group);
    let mut generator = Gen::from_size_and_seed(300, 41);
    let valid = baobabfall_node::codec::encode(&("x", 1)).unwrap();
    for path in PROCESS_PATHS.into_iter().filter(|path| !path.ends_with("presence")) {
        let mut bodies: Vec<Vec<u8>> = (0..20).map(|_| Vec::arbitrary(&mut generator)).collect();
        bodies.extend([valid.clone(), valid[..2].to_vec(), vec![9, 0xc0], vec![1; (1 << 20) + 1]]);
        for body in bodies {
            let result = client
                .send(
                    Method::POST,
                    path,
                    PROCESS_TOKEN,
                    "application/msgpack",
                    body.into(),
                    CALL_TIMEOUT,
                )
                .await;
            let Err(PeerError::Refused { kind, .. }) = result else { panic!("{path}: {result:?}") };
            assert!(
                matches!(
                    kind,
                    ErrorKind::MalformedRequest
                        | ErrorKind::UnsupportedVersion
                        | ErrorKind::OversizedRequest
                ),
                "{path}: {kind:?}"
            );
        }
    }
    for path in [TABLE_PATH, ROLLBACK_PATH, STOPS_PATH, ACTIONS_PATH, MEMBERS_PATH, NODES_PATH] {
        for _ in 0..20 {
            let body: Vec<u8> = Vec::arbitrary(&mut generator);
            let result = client
                .send(
                    Method::POST,
                    path,
                    OPERATOR_TOKEN,
                    "application/json",
                    body.into(),
                    CALL_TIMEOUT,
                )
                .await;
            assert_eq!(result.unwrap_err().kind(), ErrorKind::MalformedRequest, "{path}");
        }
    }
    assert_eq!(state_fingerprint(&group), before);
}

/// Guards against a listener that stops serving after random bytes or too many headers.
#[tokio::test]
async fn listener_random_bytes_do_not_stop_it() {
    let group = GroupFixture::start(1).await;
    let mut generator = Gen::from_size_and_seed(600, 43);
    for round in 0..40 {
        let mut stream = TcpStream::connect(group.address(0)).await.unwrap();
        let bytes: Vec<u8> = match round % 2 {
            0 => Vec::arbitrary(&mut generator),
            _ => {
                let headers = "x-flood: 1\r\n".repeat(200);
                format!("GET /healthz HTTP/1.1\r\n{headers}\r\n").into_bytes()
            }
        };
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let _ = tokio::time::timeout(CALL_TIMEOUT, stream.read_to_end(&mut answer)).await.unwrap();
        assert!(!answer.starts_with(b"HTTP/1.1 200"), "round {round}");
    }
    let client = PeerClient::new(group.address(0));
    let answer = client
        .send(Method::GET, "/healthz", "", "text/plain", Bytes::new(), CALL_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(&answer[..], b"ok\n");
}
