//! Faults that a simulated upstream shows, switchable at run time.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The answer stops and the connection stays open.
    Stall,
    /// The connection breaks within the answer.
    CloseMidAnswer,
    /// The answer starts late.
    LateAnswer,
    /// The body is shorter than its content length, or the end of the stream is missing.
    WrongLength,
    /// The request is refused as not run.
    Refuse,
    /// The answer carries another request id.
    WrongRequestId,
    /// Fencing tokens are ignored for this request.
    IgnoreFencing,
    /// The first token takes longer.
    SlowFirstToken,
}

/// Every kind, in the order of the enum.
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

/// Handle that sets the faults of one upstream.
#[derive(Clone, Debug)]
pub struct FaultSwitch(Arc<Mutex<FaultPlan>>);

/// Faults that apply to one request.
#[derive(Clone, Copy, Debug)]
pub struct FaultDraw {
    drawn: [bool; FAULT_KINDS.len()],
    /// Delay of late answers and slow first tokens.
    pub delay: Duration,
    /// Random number that places the fault within the answer.
    pub place: u64,
}

impl FaultDraw {
    /// True when the request shows this fault.
    pub fn has(&self, kind: FaultKind) -> bool {
        self.drawn[kind as usize]
    }
}

impl FaultSwitch {
    /// No faults; draws follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(FaultPlan {
            probabilities: [0.0; FAULT_KINDS.len()],
            counts: [0; FAULT_KINDS.len()],
            delay: Duration::from_millis(200),
            random: StdRng::seed_from_u64(seed),
        })))
    }

    fn plan(&self) -> MutexGuard<'_, FaultPlan> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Shows `kind` with the given probability from 0 to 1.
    pub fn set(&self, kind: FaultKind, probability: f64) {
        self.plan().probabilities[kind as usize] = probability.clamp(0.0, 1.0);
    }

    /// Sets the delay of late answers and slow first tokens.
    pub fn set_delay(&self, delay: Duration) {
        self.plan().delay = delay;
    }

    /// Ends all faults for requests that come.
    pub fn clear(&self) {
        self.plan().probabilities = [0.0; FAULT_KINDS.len()];
    }

    /// How many requests drew this fault.
    pub fn count(&self, kind: FaultKind) -> u64 {
        self.plan().counts[kind as usize]
    }

    /// Draws the faults of the next request.
    pub fn draw(&self) -> FaultDraw {
        let mut plan = self.plan();
        let probabilities = plan.probabilities;
        let drawn = probabilities
            .map(|probability| probability > 0.0 && plan.random.random_bool(probability));
        for (count, drawn) in plan.counts.iter_mut().zip(drawn) {
            *count += u64::from(drawn);
        }
        FaultDraw { drawn, delay: plan.delay, place: plan.random.random() }
    }
}
