//! Tests of the announcements that simulated upstreams send.

use baobabfall_core::upstream_registry::UpstreamAnnouncement;
use baobabfall_node::http_server::{ServerLimits, json_response, read_json, serve};
use baobabfall_node::messages::{ANNOUNCE_PATH, AnnounceAnswer, UpstreamWithdrawal, WITHDRAW_PATH};
use baobabfall_node::stop_signal::stop_channel;
use baobabfall_standin::announcer::AnnounceOptions;
use baobabfall_standin::plain_service::{ServiceOptions, start};
use http::Request;
use hyper::body::Incoming;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

enum Received {
    Announced(UpstreamAnnouncement),
    Withdrawn(UpstreamWithdrawal),
}

/// Starts a simulated controller that forwards received announcements and withdrawals to a channel.
async fn start_receiver(listener: TcpListener) -> mpsc::UnboundedReceiver<Received> {
    let (sender, receiver) = mpsc::unbounded_channel();
    let service = tower::service_fn(move |request: Request<Incoming>| {
        let sender = sender.clone();
        async move {
            let received = match request.uri().path() {
                ANNOUNCE_PATH => read_json(request, 4096).await.map(Received::Announced),
                WITHDRAW_PATH => read_json(request, 4096).await.map(Received::Withdrawn),
                path => panic!("unexpected path {path}"),
            };
            let answer = match received {
                Ok(received) => {
                    let _ = sender.send(received);
                    json_response(200, &AnnounceAnswer { renew_within_ms: 1000 })
                }
                Err(error) => error.response(),
            };
            Ok::<_, Infallible>(answer)
        }
    });
    let (stop, signal) = stop_channel();
    tokio::spawn(async move {
        serve(listener, service, ServerLimits::default(), signal).await;
        drop(stop);
    });
    receiver
}

/// Guards against an upstream that gives up when its first announce address is unreachable, and
/// against a drain that doesn't announce leaving or doesn't withdraw.
#[tokio::test]
async fn announce_first_address_unreachable_uses_next_and_withdraws() {
    let closed_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let unreachable: SocketAddr = closed_listener.local_addr().unwrap();
    drop(closed_listener);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let reachable = listener.local_addr().unwrap();
    let mut received = start_receiver(listener).await;

    let mut options = ServiceOptions::new("service-1", "cases");
    options.upstream.leave_grace = Duration::ZERO;
    options.upstream.announce =
        Some(AnnounceOptions::new(vec![unreachable, reachable], "token-of-upstreams"));
    let mut service = start(options).await.unwrap();
    let Some(Received::Announced(first)) = received.recv().await else { panic!("not announced") };
    assert_eq!(first.check(), Ok(()));
    assert_eq!((first.sequence, first.address, first.leaving), (1, service.address(), false));

    service.drain().await;
    let Some(Received::Announced(last)) = received.recv().await else { panic!("not leaving") };
    assert!(last.leaving && last.sequence > first.sequence);
    let Some(Received::Withdrawn(end)) = received.recv().await else { panic!("not withdrawn") };
    assert_eq!((end.name.as_str(), end.incarnation), ("service-1", 1));
}
