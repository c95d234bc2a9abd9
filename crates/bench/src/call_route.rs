//! How a call reaches an upstream: through the fleet or around it.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Permission to send one call; it ends when dropped.
pub trait RoutePass: Send {
    /// Where to send the call.
    fn address(&self) -> SocketAddr;
    /// Reports the cost of the call so far, in tokens.
    fn charge(&mut self, cost: f64);
}

/// A way for calls.
pub trait CallRoute: Clone + Send + Sync + 'static {
    /// Permission to send one call.
    type Pass: RoutePass;
    /// Waits until a call of a workspace that arrives at a router may be sent.
    fn enter(&self, workspace: usize, router: usize) -> impl Future<Output = Self::Pass> + Send;
}

/// Straight to a list of addresses, such as those of routers.
#[derive(Clone, Debug)]
pub struct AddressRoute(Arc<Mutex<Vec<SocketAddr>>>);

impl AddressRoute {
    /// Calls of router `n` go to address `n`, modulo the number of addresses.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self(Arc::new(Mutex::new(addresses)))
    }

    /// Replaces the addresses, as a load balancer does when a router fails.
    pub fn replace(&self, addresses: Vec<SocketAddr>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
    }
}

/// Pass of an [`AddressRoute`].
#[derive(Clone, Copy, Debug)]
pub struct AddressPass(SocketAddr);

impl RoutePass for AddressPass {
    fn address(&self) -> SocketAddr {
        self.0
    }

    fn charge(&mut self, _cost: f64) {}
}

impl CallRoute for AddressRoute {
    type Pass = AddressPass;

    async fn enter(&self, _workspace: usize, router: usize) -> AddressPass {
        let addresses = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        AddressPass(addresses[router % addresses.len()])
    }
}
