//! Baselines that run without the fleet: one central queue, and routers alone.

use crate::call_route::{CallRoute, RoutePass};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};

/// Weight of the latest cost in the moving average that serves as estimate.
const ESTIMATE_SHARE: f64 = 0.2;
/// Estimate of a workspace that has finished no request, in tokens.
const FIRST_ESTIMATE: f64 = 100.0;

/// Slots of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSlots {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Limits of one workspace.
#[derive(Clone, Copy, Debug)]
pub struct WorkspaceShare {
    /// Share of capacity.
    pub weight: f64,
    /// Requests that may run at once.
    pub concurrency: u32,
}

#[derive(Debug)]
struct Account {
    share: WorkspaceShare,
    service: f64,
    estimate: f64,
    running: u32,
    waiting: VecDeque<oneshot::Sender<CentralPass>>,
}

impl Account {
    fn is_active(&self) -> bool {
        self.running > 0 || !self.waiting.is_empty()
    }

    fn may_run(&self) -> bool {
        self.running < self.share.concurrency && !self.waiting.is_empty()
    }
}

#[derive(Debug)]
struct CentralState {
    upstreams: Vec<UpstreamSlots>,
    accounts: Vec<Account>,
}

/// One queue for the whole fleet, in weighted fair order: the reference.
#[derive(Clone, Debug)]
pub struct CentralQueue(Arc<Mutex<CentralState>>);

/// A slot of the central queue.
#[derive(Debug)]
pub struct CentralPass {
    queue: CentralQueue,
    workspace: usize,
    upstream: usize,
    address: SocketAddr,
    charged: f64,
    actual: f64,
}

impl CentralQueue {
    /// An idle queue.
    pub fn new(upstreams: Vec<UpstreamSlots>, shares: &[WorkspaceShare]) -> Self {
        let account = |share: &WorkspaceShare| Account {
            share: *share,
            service: 0.0,
            estimate: FIRST_ESTIMATE,
            running: 0,
            waiting: VecDeque::new(),
        };
        let accounts = shares.iter().map(account).collect();
        Self(Arc::new(Mutex::new(CentralState { upstreams, accounts })))
    }

    fn state(&self) -> MutexGuard<'_, CentralState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn enqueue(&self, workspace: usize) -> oneshot::Receiver<CentralPass> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state();
        let lowest = state.lowest_active();
        let account = &mut state.accounts[workspace];
        if !account.is_active() {
            account.service = account.service.max(lowest);
        }
        account.waiting.push_back(sender);
        receiver
    }

    /// Grants free slots to the backlogged workspaces with the lowest accounts.
    fn dispatch(&self) {
        // A pass whose receiver is gone must be dropped without the lock, which its drop takes.
        let mut unclaimed = Vec::new();
        let mut state = self.state();
        while let Some((workspace, upstream)) = state.next_grant() {
            let address = state.upstreams[upstream].address;
            let account = &mut state.accounts[workspace];
            let Some(waiter) = account.waiting.pop_front() else { break };
            let charged = account.estimate;
            account.service += charged / account.share.weight;
            account.running += 1;
            state.upstreams[upstream].slots -= 1;
            let queue = self.clone();
            let pass = CentralPass { queue, workspace, upstream, address, charged, actual: 0.0 };
            if let Err(pass) = waiter.send(pass) {
                unclaimed.push(pass);
            }
        }
        drop(state);
        drop(unclaimed);
    }

    fn release(&self, pass: &CentralPass) {
        let mut state = self.state();
        state.upstreams[pass.upstream].slots += 1;
        let account = &mut state.accounts[pass.workspace];
        account.running -= 1;
        account.service += (pass.actual - pass.charged) / account.share.weight;
        if pass.actual > 0.0 {
            account.estimate += ESTIMATE_SHARE * (pass.actual - account.estimate);
        }
        drop(state);
        self.dispatch();
    }
}

impl CentralState {
    fn next_grant(&self) -> Option<(usize, usize)> {
        let free = self.upstreams.iter().enumerate().filter(|(_, upstream)| upstream.slots > 0);
        let (upstream, _) = free.max_by_key(|(_, upstream)| upstream.slots)?;
        let backlogged = self.accounts.iter().enumerate().filter(|(_, account)| account.may_run());
        let lowest = backlogged.min_by(|(_, a), (_, b)| a.service.total_cmp(&b.service));
        lowest.map(|(workspace, _)| (workspace, upstream))
    }

    fn lowest_active(&self) -> f64 {
        let active = self.accounts.iter().filter(|account| account.is_active());
        active.map(|account| account.service).min_by(f64::total_cmp).unwrap_or(0.0)
    }
}

impl CallRoute for CentralQueue {
    type Pass = CentralPass;

    async fn enter(&self, workspace: usize, _router: usize) -> CentralPass {
        let receiver = self.enqueue(workspace);
        self.dispatch();
        receiver.await.expect("the queue keeps a waiter until it grants a slot")
    }
}

impl RoutePass for CentralPass {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn charge(&mut self, cost: f64) {
        self.actual = cost;
        if cost > self.charged {
            let excess = cost - self.charged;
            self.charged = cost;
            let mut state = self.queue.state();
            let account = &mut state.accounts[self.workspace];
            account.service += excess / account.share.weight;
        }
    }
}

impl Drop for CentralPass {
    fn drop(&mut self) {
        self.queue.clone().release(self);
    }
}

/// Routers that know nothing of each other: each has a fixed share of the
/// slots and serves calls in the order of their arrival.
#[derive(Clone, Debug)]
pub struct LoneRouters(Arc<Vec<LoneRouter>>);

#[derive(Debug)]
struct LoneRouter {
    slots: Arc<Semaphore>,
    free: Arc<Mutex<Vec<SocketAddr>>>,
}

/// A slot of a router that is alone.
#[derive(Debug)]
pub struct LonePass {
    address: SocketAddr,
    free: Arc<Mutex<Vec<SocketAddr>>>,
    _permit: OwnedSemaphorePermit,
}

impl LoneRouters {
    /// Deals the slots to `routers` routers in turn.
    pub fn new(upstreams: &[UpstreamSlots], routers: usize) -> Self {
        let most = upstreams.iter().map(|upstream| upstream.slots).max().unwrap_or(0);
        let slots = (0..most)
            .flat_map(|round| upstreams.iter().filter(move |upstream| upstream.slots > round))
            .map(|upstream| upstream.address);
        let mut shares: Vec<Vec<SocketAddr>> = vec![Vec::new(); routers];
        slots.enumerate().for_each(|(index, address)| shares[index % routers].push(address));
        let router = |share: Vec<SocketAddr>| LoneRouter {
            slots: Arc::new(Semaphore::new(share.len())),
            free: Arc::new(Mutex::new(share)),
        };
        Self(Arc::new(shares.into_iter().map(router).collect()))
    }
}

impl CallRoute for LoneRouters {
    type Pass = LonePass;

    async fn enter(&self, _workspace: usize, router: usize) -> LonePass {
        let router = &self.0[router % self.0.len()];
        let permit = Arc::clone(&router.slots).acquire_owned().await;
        let permit = permit.expect("the semaphore of a router is never closed");
        let mut free = router.free.lock().unwrap_or_else(PoisonError::into_inner);
        let address = free.pop().expect("there are as many permits as free slots");
        LonePass { address, free: Arc::clone(&router.free), _permit: permit }
    }
}

impl RoutePass for LonePass {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn charge(&mut self, _cost: f64) {}
}

impl Drop for LonePass {
    fn drop(&mut self) {
        self.free.lock().unwrap_or_else(PoisonError::into_inner).push(self.address);
    }
}
