//! Tests of the controller's listener against peers without credentials and
//! against malformed messages.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod group_fixture;

use baobabfall_core::error_kind::ErrorKind;
use baobabfall_node::http_client::{PeerClient, PeerError};
use baobabfall_node::messages::{
    ANNOUNCE_PATH, CLAIM_PATH, FORWARD_PATH, OUTCOME_PATH, REPORT_PATH, SYNC_PATH, WITHDRAW_PATH,
};
use baobabfall_node::operator_messages::{
    ACTIONS_PATH, HISTORY_PATH, MEMBERS_PATH, NODES_PATH, ROLLBACK_PATH, STATUS_PATH, STOPS_PATH,
    TABLE_PATH, WORKSPACES_PATH,
};
use bytes::Bytes;
use group_fixture::{CALL, GroupFixture, METRICS, OPERATOR, PROCESS, UPSTREAM};
use http::Method;
use quickcheck::{Arbitrary, Gen};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PROCESS_PATHS: [&str; 9] = [
    REPORT_PATH,
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

/// Everything that a refused message must leave as it was.
fn fingerprint(group: &GroupFixture) -> (u64, u64, u64, usize) {
    let replica = group.controllers[0].as_ref().unwrap().replica();
    let view = replica.view();
    let state = replica.state();
    (state.history().revision(), state.stops_version(), view.term, view.members.iter().count())
}

/// Guards against a path that forgets to ask for its credential, or accepts
/// the credential of another role.
#[tokio::test]
async fn every_path_wrong_credential_is_refused() {
    let group = GroupFixture::start(1).await;
    let client = PeerClient::new(group.address(0));
    let before = fingerprint(&group);
    let mut cases: Vec<(&str, &str)> = Vec::new();
    for token in ["", "wrong-credential-12345", OPERATOR, UPSTREAM, METRICS] {
        cases.extend(PROCESS_PATHS.map(|path| (path, token)));
    }
    for token in ["", "wrong-credential-12345", PROCESS, UPSTREAM, METRICS] {
        cases.extend(OPERATOR_PATHS.map(|path| (path, token)));
    }
    for token in ["", PROCESS, OPERATOR, METRICS] {
        cases.extend([ANNOUNCE_PATH, WITHDRAW_PATH].map(|path| (path, token)));
    }
    for token in ["", PROCESS, OPERATOR, UPSTREAM] {
        cases.push(("/metrics", token));
    }
    for (path, token) in cases {
        for method in [Method::GET, Method::POST] {
            let sent = client.send(method, path, token, "text/plain", Bytes::new(), CALL).await;
            let kind = sent.unwrap_err().kind();
            assert_eq!(kind, ErrorKind::Unauthenticated, "{path} with {token:?}");
        }
    }
    assert_eq!(fingerprint(&group), before);
}

/// Guards against a panic, a changed state or an indefinite answer after
/// random, truncated, oversized and wrongly versioned messages.
#[tokio::test]
async fn every_path_malformed_body_is_refused() {
    let group = GroupFixture::start(1).await;
    group.put_row("e1", 0, "team-a", 1).await.unwrap();
    let client = PeerClient::new(group.address(0));
    let before = fingerprint(&group);
    let mut source = Gen::from_size_and_seed(300, 41);
    let valid = baobabfall_node::codec::encode(&("x", 1)).unwrap();
    for path in PROCESS_PATHS.into_iter().filter(|path| !path.ends_with("presence")) {
        let mut bodies: Vec<Vec<u8>> = (0..20).map(|_| Vec::arbitrary(&mut source)).collect();
        bodies.extend([valid.clone(), valid[..2].to_vec(), vec![9, 0xc0], vec![1; (1 << 20) + 1]]);
        for body in bodies {
            let sent = client
                .send(Method::POST, path, PROCESS, "application/msgpack", body.into(), CALL)
                .await;
            let Err(PeerError::Refused { kind, .. }) = sent else { panic!("{path}: {sent:?}") };
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
            let body: Vec<u8> = Vec::arbitrary(&mut source);
            let sent = client
                .send(Method::POST, path, OPERATOR, "application/json", body.into(), CALL)
                .await;
            assert_eq!(sent.unwrap_err().kind(), ErrorKind::MalformedRequest, "{path}");
        }
    }
    assert_eq!(fingerprint(&group), before);
}

/// Guards against a listener that random bytes or a header flood take down.
#[tokio::test]
async fn listener_random_bytes_keep_it_serving() {
    let group = GroupFixture::start(1).await;
    let mut source = Gen::from_size_and_seed(600, 43);
    for round in 0..40 {
        let mut stream = TcpStream::connect(group.address(0)).await.unwrap();
        let bytes: Vec<u8> = match round % 2 {
            0 => Vec::arbitrary(&mut source),
            _ => {
                let headers = "x-flood: 1\r\n".repeat(200);
                format!("GET /healthz HTTP/1.1\r\n{headers}\r\n").into_bytes()
            }
        };
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let _ = tokio::time::timeout(CALL, stream.read_to_end(&mut answer)).await.unwrap();
        assert!(!answer.starts_with(b"HTTP/1.1 200"), "round {round}");
    }
    let client = PeerClient::new(group.address(0));
    let answer =
        client.send(Method::GET, "/healthz", "", "text/plain", Bytes::new(), CALL).await.unwrap();
    assert_eq!(&answer[..], b"ok\n");
}
