//! Seeds of past runs that violated an invariant, run again to detect regressions.

/// Each seed with the cause of its violation. They reproduce it with the default numbers of
/// processes and the default length of a run.
pub const REGRESSION_SEEDS: [(u64, &str); 1] = [(
    122,
    "after a leader lost and regained its quorum within one term, it numbered its grants from 1 \
     again, and routers ignored them",
)];
