//! Signal that coordinates the graceful shutdown of all tasks of a role.

use tokio::sync::watch;

/// Phase of a graceful shutdown. The phases are ordered and never go back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// Normal operation.
    Running,
    /// No new work is accepted; work in progress may finish.
    Draining,
    /// All tasks end, even if work is in progress.
    Stopped,
}

/// Sending half of a stop signal.
#[derive(Clone, Debug)]
pub struct StopSender(watch::Sender<StopPhase>);

/// Receiving half of a stop signal.
#[derive(Clone, Debug)]
pub struct StopSignal(watch::Receiver<StopPhase>);

/// Creates a signal in phase [`StopPhase::Running`].
pub fn stop_channel() -> (StopSender, StopSignal) {
    let (sender, receiver) = watch::channel(StopPhase::Running);
    (StopSender(sender), StopSignal(receiver))
}

impl StopSender {
    /// Advances the signal to `phase`. Has no effect when that phase or a later one
    /// was already reached.
    pub fn advance(&self, phase: StopPhase) {
        self.0.send_if_modified(|current| {
            let advances = phase > *current;
            if advances {
                *current = phase;
            }
            advances
        });
    }
}

impl StopSignal {
    /// Returns the phase that the sender reached last.
    pub fn phase(&self) -> StopPhase {
        *self.0.borrow()
    }

    /// Waits until `phase` or a later one is reached. Also returns when all senders
    /// were dropped.
    pub async fn reached(&mut self, phase: StopPhase) {
        let _ = self.0.wait_for(|current| *current >= phase).await;
    }
}

/// Waits for SIGINT or SIGTERM. Fails when the handlers cannot be installed.
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
