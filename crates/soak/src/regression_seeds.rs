//! Seeds that once violated an invariant.

/// Seeds with the cause of what they found, played with the default sizes and time.
pub const REGRESSION_SEEDS: [(u64, &str); 1] = [(
    122,
    "a leader that lost its quorum and found it again in its term numbered its grants from 1, \
     and routers ignored them",
)];
