//! Cancels a request at its upstream unless the response completed.

use crate::request_order::UpstreamCall;
use crate::upstream_pool::UpstreamPool;
use baobabfall_core::dispatch_messages::UpstreamRoute;
use std::sync::Arc;

/// Sends `POST /cancel/{request_id}` to the upstream when it is dropped, unless it
/// was disarmed.
#[derive(Debug)]
pub struct CancelGuard {
    target: Option<(Arc<UpstreamPool>, UpstreamRoute, String)>,
}

impl CancelGuard {
    /// Arms the cancellation if the upstream supports it and the router chose the
    /// request id.
    ///
    /// A request id that the caller chose may also belong to a request of another
    /// workspace, which must not be cancelled. In that case the upstream only
    /// notices that the connection is closed.
    pub fn new(pool: &Arc<UpstreamPool>, route: &UpstreamRoute, call: &UpstreamCall) -> Self {
        let target = (route.cancel && call.unique_id)
            .then(|| (Arc::clone(pool), route.clone(), call.request_id.clone()));
        Self { target }
    }

    /// Disarms the cancellation, because nothing runs at the upstream any more.
    pub fn disarm(&mut self) {
        self.target = None;
    }

    /// Sends the cancellation now, if it is armed, and disarms it.
    pub fn send(&mut self) {
        let Some((pool, route, request_id)) = self.target.take() else { return };
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        if !pool.is_stopped() {
            runtime.spawn(async move { pool.cancel(&route, &request_id).await });
        }
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        self.send();
    }
}
