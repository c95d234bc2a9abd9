//! Cancels relays whose caller has stopped reading.
//!
//! The HTTP server polls a body for its next frame only while the caller reads, so
//! a stalled caller would occupy its upstream slot forever.

use crate::relay::RelayStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// Time between two checks of all relays.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// A relay that [`RelayWatch`] can cancel.
#[derive(Debug)]
pub struct WatchedRelay {
    stream: Mutex<RelayStream>,
}

impl WatchedRelay {
    pub(crate) fn lock(&self) -> MutexGuard<'_, RelayStream> {
        self.stream.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug)]
struct WatchEntry {
    relay: Weak<WatchedRelay>,
    /// Number of polls at the last check.
    polls: u64,
    unchanged_since: Instant,
}

/// Watchdog for all relays of a router.
#[derive(Debug)]
pub struct RelayWatch {
    entries: Mutex<Vec<WatchEntry>>,
    caller_gap: Duration,
}

impl RelayWatch {
    /// Creates a watchdog that cancels a relay when its caller reads nothing for
    /// `caller_gap`.
    pub fn new(caller_gap: Duration) -> Self {
        Self { entries: Mutex::default(), caller_gap }
    }

    fn entries(&self) -> MutexGuard<'_, Vec<WatchEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a relay. It is checked until it is dropped, ends or is cancelled.
    pub fn watch(&self, stream: RelayStream) -> Arc<WatchedRelay> {
        let relay = Arc::new(WatchedRelay { stream: Mutex::new(stream) });
        let entry =
            WatchEntry { relay: Arc::downgrade(&relay), polls: 0, unchanged_since: Instant::now() };
        self.entries().push(entry);
        relay
    }

    /// Checks the relays periodically; never returns.
    pub async fn run(&self) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.sweep(Instant::now());
        }
    }

    /// Cancels the stalled relays. A relay that waits for its upstream is polled by
    /// its own timer more often than `caller_gap`, so a relay without any poll waits
    /// for its caller. After its deadline a relay is cancelled sooner.
    fn sweep(&self, now: Instant) {
        let mut stalled = Vec::new();
        self.entries().retain_mut(|entry| {
            let Some(relay) = entry.relay.upgrade() else { return false };
            let (polls, overdue) = {
                let stream = relay.lock();
                (stream.polls(), stream.is_overdue(now))
            };
            let Some(polls) = polls else { return false };
            if polls != entry.polls {
                entry.polls = polls;
                entry.unchanged_since = now;
                return true;
            }
            let unchanged = now.duration_since(entry.unchanged_since);
            if unchanged < self.caller_gap && !(overdue && unchanged >= 2 * SWEEP_INTERVAL) {
                return true;
            }
            stalled.push(relay);
            false
        });
        for relay in stalled {
            relay.lock().abandon();
        }
    }
}
