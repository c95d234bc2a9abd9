//! Fault injection for simulated upstreams, adjustable at run time.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Kinds of faults that can be injected into a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The response stops before its end and the connection stays open.
    Stall,
    /// The connection is closed in the middle of the response.
    CloseMidAnswer,
    /// The whole response is delayed.
    LateAnswer,
    /// The body is shorter than its content length, or the end of the stream is missing.
    WrongLength,
    /// The request is refused with status 503 and the header that says it was not run.
    Refuse,
    /// The response carries a different, random request id.
    WrongRequestId,
    /// A stale fencing token or an earlier execution of the key doesn't cause a refusal.
    IgnoreFencing,
    /// The first token is delayed.
    SlowFirstToken,
}

/// All fault kinds in declaration order, which is also the index of their probabilities and counts.
pub const FAULT_KINDS: [FaultKind; 8] = [
    FaultKind::Stall,
    FaultKind::CloseMidAnswer,
    FaultKind::LateAnswer,
    FaultKind::WrongLength,
    FaultKind::Refuse,
    FaultKind::WrongRequestId,
    FaultKind::IgnoreFencing,
    FaultKind::SlowFirstToken,
];

#[derive(Debug)]
struct FaultPlan {
    probabilities: [f64; FAULT_KINDS.len()],
    counts: [u64; FAULT_KINDS.len()],
    delay: Duration,
    random: StdRng,
}

/// Cloneable handle that sets the fault probabilities of one upstream.
#[derive(Clone, Debug)]
pub struct FaultSwitch(Arc<Mutex<FaultPlan>>);

/// Faults drawn for one request.
#[derive(Clone, Copy, Debug)]
pub struct FaultDraw {
    drawn: [bool; FAULT_KINDS.len()],
    /// Delay of late answers and slow first tokens.
    pub delay: Duration,
    /// Random number that determines where in the answer the fault occurs.
    pub place: u64,
}

impl FaultDraw {
    /// Whether this fault was drawn for the request.
    pub fn has(&self, kind: FaultKind) -> bool {
        self.drawn[kind as usize]
    }
}

impl FaultSwitch {
    /// Creates a switch without faults; `seed` makes the draws reproducible.
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(FaultPlan {
            probabilities: [0.0; FAULT_KINDS.len()],
            counts: [0; FAULT_KINDS.len()],
            delay: Duration::from_millis(200),
            random: StdRng::seed_from_u64(seed),
        })))
    }

    fn lock_plan(&self) -> MutexGuard<'_, FaultPlan> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Injects `kind` into each request with the given probability, clamped to 0 to 1.
    pub fn set(&self, kind: FaultKind, probability: f64) {
        self.lock_plan().probabilities[kind as usize] = probability.clamp(0.0, 1.0);
    }

    /// Sets the delay of late answers and slow first tokens; 200 ms by default.
    pub fn set_delay(&self, delay: Duration) {
        self.lock_plan().delay = delay;
    }

    /// Disables all faults for later requests; requests in progress keep theirs.
    pub fn clear(&self) {
        self.lock_plan().probabilities = [0.0; FAULT_KINDS.len()];
    }

    /// Number of requests for which this fault was drawn.
    pub fn count(&self, kind: FaultKind) -> u64 {
        self.lock_plan().counts[kind as usize]
    }

    /// Draws and counts the faults of the next request.
    pub fn draw(&self) -> FaultDraw {
        let mut plan = self.lock_plan();
        let probabilities = plan.probabilities;
        let drawn = probabilities
            .map(|probability| probability > 0.0 && plan.random.random_bool(probability));
        for (count, drawn) in plan.counts.iter_mut().zip(drawn) {
            *count += u64::from(drawn);
        }
        FaultDraw { drawn, delay: plan.delay, place: plan.random.random() }
    }
}
