//! Logs when a router begins and ends to hand connections over, and counts them in the metrics.

use crate::handover::HandoverTally;
use crate::router_state::RouterState;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Time without a handed-over connection after which a handover counts as ended.
const END_PAUSE: Duration = Duration::from_secs(2);
/// How often the counts of a lasting handover are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts of [`HandoverTally`] at one moment.
#[derive(Clone, Copy, Debug, Default)]
struct HandoverCounts {
    given: u64,
    refused: u64,
    taken: u64,
    broken: u64,
}

impl HandoverCounts {
    fn read(tally: &HandoverTally) -> Self {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let HandoverTally { given, refused, taken, broken } = tally;
        Self {
            given: load(given),
            refused: load(refused),
            taken: load(taken),
            broken: load(broken),
        }
    }

    fn since(self, earlier: Self) -> Self {
        Self {
            given: self.given - earlier.given,
            refused: self.refused - earlier.refused,
            taken: self.taken - earlier.taken,
            broken: self.broken - earlier.broken,
        }
    }
}

/// Watches the handover of one router.
#[derive(Debug, Default)]
pub(crate) struct HandoverWatch {
    counted: HandoverCounts,
    /// Counts and time of the latest log line of a handover that lasts.
    logged: Option<(HandoverCounts, Instant)>,
    last_given: Option<Instant>,
}

impl HandoverWatch {
    /// Counts what happened since the last call, and logs it while it lasts.
    pub(crate) fn step(&mut self, state: &RouterState) {
        let counts = HandoverCounts::read(&state.handovers);
        let earlier = std::mem::replace(&mut self.counted, counts);
        let change = counts.since(earlier);
        state.metrics.handed_over.add(change.given, &[]);
        state.metrics.handover_refusals.add(change.refused, &[]);
        state.metrics.taken_over.add(change.taken, &[]);
        let now = Instant::now();
        if change.given > 0 {
            self.last_given = Some(now);
        }
        match self.logged {
            None if change.given > 0 => {
                self.logged = Some((earlier, now));
                let in_progress = state.in_progress();
                log::info!(
                    event = "handover_begun", in_progress = in_progress;
                    "the router is crowded and hands new connections to its neighbours"
                );
            }
            Some((before, at)) => self.log_lasting(state, counts.since(before), at),
            None => {}
        }
    }

    fn log_lasting(&mut self, state: &RouterState, change: HandoverCounts, logged_at: Instant) {
        let now = Instant::now();
        let has_ended = self.last_given.is_none_or(|at| now >= at + END_PAUSE);
        if has_ended {
            self.logged = None;
            log::info!(event = "handover_ended"; "the router serves new connections itself again");
            return;
        }
        if now < logged_at + LOG_INTERVAL {
            return;
        }
        self.logged = Some((self.counted, now));
        log::info!(
            event = "handover_load", handed_over = change.given, refused = change.refused,
            broken = change.broken, open = state.accept_gate.diverted(),
            in_progress = state.in_progress();
            "connections were handed over to neighbours"
        );
    }
}
