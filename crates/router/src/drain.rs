//! Graceful stop of a router.

use tokio::sync::watch;

/// How far a graceful stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// Normal operation.
    Serving,
    /// The health path answers 503; new work is still taken.
    Announced,
    /// New work is refused; queued and running work finishes.
    Refusing,
    /// Queued work is refused too; running work finishes.
    Finishing,
    /// Everything ended.
    Drained,
}

/// State of a graceful stop, shared by all tasks.
#[derive(Clone, Debug)]
pub struct DrainState {
    phase: watch::Sender<DrainPhase>,
    requested: watch::Sender<bool>,
}

impl Default for DrainState {
    fn default() -> Self {
        Self::new()
    }
}

impl DrainState {
    /// A state in normal operation.
    pub fn new() -> Self {
        Self {
            phase: watch::Sender::new(DrainPhase::Serving),
            requested: watch::Sender::new(false),
        }
    }

    /// The current phase.
    pub fn phase(&self) -> DrainPhase {
        *self.phase.borrow()
    }

    /// True while the router takes new work.
    pub fn accepts_work(&self) -> bool {
        self.phase() < DrainPhase::Refusing
    }

    /// Moves forward to `phase`.
    pub fn advance(&self, phase: DrainPhase) {
        self.phase.send_if_modified(|held| {
            let forward = phase > *held;
            if forward {
                *held = phase;
            }
            forward
        });
    }

    /// Takes an announcement back; false once new work is refused.
    pub fn revoke(&self) -> bool {
        self.phase.send_if_modified(|held| {
            let announced = *held == DrainPhase::Announced;
            if announced {
                *held = DrainPhase::Serving;
            }
            announced
        })
    }

    /// Asks for a stop of the process.
    pub fn request(&self) {
        self.requested.send_replace(true);
    }

    /// True once a stop of the process is asked for.
    pub fn is_requested(&self) -> bool {
        *self.requested.borrow()
    }

    /// Waits until a stop of the process is asked for.
    pub async fn requested(&self) {
        let mut receiver = self.requested.subscribe();
        let _ = receiver.wait_for(|requested| *requested).await;
    }
}
