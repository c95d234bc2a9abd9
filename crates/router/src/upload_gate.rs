//! Admits request bodies to upstreams, within the router's share of the bytes in flight.

use baobabfall_core::dispatch_messages::UpstreamRoute;
use baobabfall_core::upload_share::{SMALL_BODY_BYTES, UploadShare};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The [`UploadShare`] of a router.
#[derive(Debug)]
pub struct UploadGate {
    share: Mutex<UploadShare>,
}

/// Permission to send a body to an upstream; dropping it ends the count.
#[derive(Debug)]
pub struct UploadPass {
    /// `None` for a body that is not counted.
    _counted: Option<CountedUpload>,
}

/// A large body in flight to an upstream.
#[derive(Debug)]
struct CountedUpload {
    gate: Arc<UploadGate>,
    upstream: String,
    incarnation: u64,
    bytes: u64,
}

impl UploadGate {
    /// Creates a gate; all routers together may have `fleet_bytes` in flight to one upstream.
    pub fn new(fleet_bytes: u64) -> Arc<Self> {
        Arc::new(Self { share: Mutex::new(UploadShare::new(fleet_bytes)) })
    }

    fn share(&self) -> MutexGuard<'_, UploadShare> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a body of `bytes` that is about to be sent, if the upstream may get it now.
    pub fn admit(
        self: &Arc<Self>,
        route: &UpstreamRoute,
        bytes: u64,
        routers: u32,
    ) -> Option<UploadPass> {
        if bytes <= SMALL_BODY_BYTES {
            return Some(UploadPass { _counted: None });
        }
        let (name, incarnation) = (&route.name, route.incarnation);
        if !self.share().admit(name, incarnation, bytes, routers) {
            return None;
        }
        let (gate, upstream) = (Arc::clone(self), name.clone());
        Some(UploadPass { _counted: Some(CountedUpload { gate, upstream, incarnation, bytes }) })
    }
}

impl Drop for CountedUpload {
    fn drop(&mut self) {
        self.gate.share().release(&self.upstream, self.incarnation, self.bytes);
    }
}
