//! Takes connections of callers that crowded routers hand over.

use crate::fleet_api::{authorized, refuse};
use crate::handover::{CONNECTION_HEADER, HANDOVER_PROTOCOL, ROUTER_HEADER, ROUTES_VERSION_HEADER};
use crate::router_state::RouterState;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_node::frame_channel::{upgrade_response, upgraded_stream};
use baobabfall_node::http_server::{FullResponse, serve_handed_over};
use baobabfall_node::stop_signal::StopSignal;
use bytes::Bytes;
use http::header::UPGRADE;
use http::{HeaderMap, Method, Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tower::{Service, ServiceExt};

/// Router that handed the connection of a request over, and the number of the connection there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverSource(pub Arc<str>);

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Why the router does not take the connection, with an explanation.
fn refusal(state: &RouterState, headers: &HeaderMap) -> Option<(ErrorKind, &'static str)> {
    if !authorized(headers, &state.options.process) {
        return Some((ErrorKind::Unauthenticated, "The credential is missing or not accepted."));
    }
    if header_text(headers, UPGRADE.as_str()) != Some(HANDOVER_PROTOCOL) {
        return Some((ErrorKind::MalformedRequest, "The request does not ask for an upgrade."));
    }
    // To callers of the other router, an older table would be one that came back, and so would its
    // own after a newer one.
    let version = header_text(headers, ROUTES_VERSION_HEADER).and_then(|text| text.parse().ok());
    if version != Some(state.fleet.routes_version()) {
        return Some((ErrorKind::NotReady, "The route tables of the routers differ."));
    }
    (state.room() == 0).then_some((ErrorKind::LimitReached, "This router has no room."))
}

/// Answers a request to take a connection, and serves the connection with `service`. Requests on it
/// are never handed over again, since they do not pass the accept gate.
pub(crate) fn take_connection<S, B>(
    state: &Arc<RouterState>,
    request: Request<Incoming>,
    service: S,
    signal: StopSignal,
) -> FullResponse
where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    if request.method() != Method::POST {
        return refuse(state, ErrorKind::MethodNotAllowed, "Only POST is accepted at this path.");
    }
    if let Some((kind, message)) = refusal(state, request.headers()) {
        return refuse(state, kind, message);
    }
    let Ok(permit) = Arc::clone(&state.connection_permits).try_acquire_owned() else {
        return refuse(state, ErrorKind::LimitReached, "Too many connections are open.");
    };
    let text = |name| header_text(request.headers(), name).unwrap_or_default();
    let source = format!("{}#{}", text(ROUTER_HEADER), text(CONNECTION_HEADER));
    let source = HandoverSource(source.into());
    let limits = state.options.server_limits();
    state.handovers.taken.fetch_add(1, Ordering::Relaxed);
    tokio::spawn(async move {
        let opened = match hyper::upgrade::on(request).await {
            Ok(upgraded) => upgraded_stream(upgraded),
            Err(error) => Err(std::io::Error::other(error)),
        };
        match opened {
            Ok((stream, read)) if read.is_empty() => {
                let service = service.map_request(move |mut request: Request<Incoming>| {
                    request.extensions_mut().insert(source.clone());
                    request
                });
                serve_handed_over(stream, service, limits, signal).await;
            }
            Ok(_) => log::debug!("a connection was handed over before it was taken"),
            Err(error) => log::debug!("a connection was not handed over: {error}"),
        }
        drop(permit);
    });
    upgrade_response(HANDOVER_PROTOCOL)
}
