//! Phases of a router's graceful shutdown.

use tokio::sync::watch;
use tokio::time::Instant;

/// Progress of a graceful shutdown. The phases are passed in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// Normal operation; no shutdown is in progress.
    Serving,
    /// The health path answers 503, but new requests are still accepted.
    Announced,
    /// New requests are refused; queued and running requests continue.
    Refusing,
    /// Queued requests are refused as well; running requests continue.
    Finishing,
    /// No requests are left, or the time limit for running requests has passed.
    Drained,
}

/// State of a graceful shutdown, shared by all tasks. Clones share the same state.
#[derive(Clone, Debug)]
pub struct DrainState {
    phase: watch::Sender<DrainPhase>,
    requested: watch::Sender<bool>,
    cutoff: watch::Sender<Option<Instant>>,
}

impl Default for DrainState {
    fn default() -> Self {
        Self::new()
    }
}

impl DrainState {
    /// Creates a state in phase [`DrainPhase::Serving`].
    pub fn new() -> Self {
        Self {
            phase: watch::Sender::new(DrainPhase::Serving),
            requested: watch::Sender::new(false),
            cutoff: watch::Sender::new(None),
        }
    }

    /// The current phase of the shutdown.
    pub fn phase(&self) -> DrainPhase {
        *self.phase.borrow()
    }

    /// True while the router accepts new requests.
    pub fn accepts_work(&self) -> bool {
        self.phase() < DrainPhase::Refusing
    }

    /// Advances to `phase`; has no effect if this or a later phase is already reached.
    pub fn advance(&self, phase: DrainPhase) {
        self.phase.send_if_modified(|held| {
            let forward = phase > *held;
            if forward {
                *held = phase;
            }
            forward
        });
    }

    /// Announces a shutdown that ends running requests at `cutoff`; never if `None`.
    pub fn announce(&self, cutoff: Option<Instant>) {
        self.cutoff.send_replace(cutoff);
        self.advance(DrainPhase::Announced);
    }

    /// Time at which the shutdown ends running requests, if one is announced and has
    /// such a limit.
    pub fn cutoff(&self) -> Option<Instant> {
        *self.cutoff.borrow()
    }

    /// True if a request that lasts until `deadline` would be ended by the shutdown.
    pub fn cuts(&self, deadline: Instant) -> bool {
        self.cutoff().is_some_and(|cutoff| deadline > cutoff)
    }

    /// Cancels an announced shutdown. Returns false, without effect, in any other
    /// phase.
    pub fn cancel_announcement(&self) -> bool {
        self.phase.send_if_modified(|held| {
            let announced = *held == DrainPhase::Announced;
            if announced {
                self.cutoff.send_replace(None);
                *held = DrainPhase::Serving;
            }
            announced
        })
    }

    /// Waits until `phase` or a later one is reached.
    pub async fn reached(&self, phase: DrainPhase) {
        let mut receiver = self.phase.subscribe();
        let _ = receiver.wait_for(|held| *held >= phase).await;
    }

    /// Requests the shutdown of the process.
    pub fn request(&self) {
        self.requested.send_replace(true);
    }

    /// True once the shutdown of the process has been requested.
    pub fn is_requested(&self) -> bool {
        *self.requested.borrow()
    }

    /// Waits until the shutdown of the process is requested.
    pub async fn requested(&self) {
        let mut receiver = self.requested.subscribe();
        let _ = receiver.wait_for(|requested| *requested).await;
    }
}
