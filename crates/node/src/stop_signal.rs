//! Signal that tells every task of a role to stop.

use tokio::sync::watch;

/// How far a graceful shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// Normal operation.
    Running,
    /// No new work; work in progress finishes.
    Draining,
    /// Every task ends.
    Stopped,
}

/// Sending side of the signal.
#[derive(Clone, Debug)]
pub struct StopSender(watch::Sender<StopPhase>);

/// Receiving side of the signal.
#[derive(Clone, Debug)]
pub struct StopSignal(watch::Receiver<StopPhase>);

/// Creates a signal in phase [`StopPhase::Running`].
pub fn stop_channel() -> (StopSender, StopSignal) {
    let (sender, receiver) = watch::channel(StopPhase::Running);
    (StopSender(sender), StopSignal(receiver))
}

impl StopSender {
    /// Advances the signal; it never goes back.
    pub fn advance(&self, phase: StopPhase) {
        self.0.send_if_modified(|held| {
            let forward = phase > *held;
            if forward {
                *held = phase;
            }
            forward
        });
    }
}

impl StopSignal {
    /// The current phase.
    pub fn phase(&self) -> StopPhase {
        *self.0.borrow()
    }

    /// Waits until `phase` or a later one is reached, or the sender is gone.
    pub async fn reached(&mut self, phase: StopPhase) {
        let _ = self.0.wait_for(|held| *held >= phase).await;
    }
}

/// Completes on SIGINT or SIGTERM.
pub async fn terminate_requested() -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
