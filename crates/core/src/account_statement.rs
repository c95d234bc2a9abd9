//! Account statements: what routers keep of the fair-queueing accounts, so
//! that the next dispatcher continues them.
//!
//! A statement accompanies the answer that acknowledges the end of a lease.
//! Whoever drops an ended lease therefore holds a statement that includes its
//! cost, and every other cost is in the leases of a full report.

use crate::dispatch_messages::CostUnits;
use crate::sorted_map::SortedMap;
use crate::upstream_registry::UpstreamKind;
use serde::{Deserialize, Serialize};

/// Statements that a router keeps. At 107 bytes each its full report has at
/// most 27.4 KB beyond backlog and leases.
pub const STATEMENT_LIMIT: usize = 256;

/// Orders statements within and across terms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StatementStamp {
    /// Term of the dispatcher.
    pub term: u64,
    /// Grows with each answer that carries statements.
    pub number: u64,
}

/// Account of one workspace in one pool, as a dispatcher stated it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountStatement {
    /// Kind of the pool's upstreams.
    pub kind: UpstreamKind,
    /// Name of the pool.
    pub pool: String,
    /// Workspace concerned.
    pub workspace: String,
    /// The highest is the latest.
    pub stamp: StatementStamp,
    /// Cost of ended requests divided by weight.
    pub settled: CostUnits,
    /// Lowest account of the pool with running requests included. A
    /// backlogged account is never below it.
    pub floor: CostUnits,
}

/// Workspace and pool of a statement.
pub type StatementKey = (UpstreamKind, String, String);

impl AccountStatement {
    /// Workspace and pool.
    pub fn key(&self) -> StatementKey {
        (self.kind, self.pool.clone(), self.workspace.clone())
    }
}

/// The latest statement per workspace and pool, of a bounded number of pairs.
///
/// ```
/// use baobabfall_core::account_statement::*;
/// use baobabfall_core::upstream_registry::UpstreamKind;
/// let mut memory = StatementStore::new(STATEMENT_LIMIT);
/// let mut statement = AccountStatement {
///     kind: UpstreamKind::Model,
///     pool: "models".to_owned(),
///     workspace: "team-a".to_owned(),
///     stamp: StatementStamp { term: 2, number: 1 },
///     settled: 700,
///     floor: 500,
/// };
/// memory.record(&statement);
/// statement.stamp = StatementStamp { term: 1, number: 9 };
/// memory.record(&statement);
/// assert_eq!(memory.iter().next().unwrap().stamp.term, 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct StatementStore {
    limit: usize,
    statements: SortedMap<StatementKey, AccountStatement>,
}

impl StatementStore {
    /// A memory of at most `limit` pairs.
    pub fn new(limit: usize) -> Self {
        Self { limit, statements: SortedMap::new() }
    }

    /// Keeps a statement unless a later one of the same pair is held. The
    /// oldest one is dropped when the memory is full.
    pub fn record(&mut self, statement: &AccountStatement) {
        let key = statement.key();
        if self.statements.get(&key).is_some_and(|known| known.stamp >= statement.stamp) {
            return;
        }
        self.statements.insert(key, statement.clone());
        if self.statements.len() > self.limit
            && let Some(oldest) = self.statements.values().min_by_key(|known| known.stamp)
        {
            let key = oldest.key();
            self.statements.remove(&key);
        }
    }

    /// Statements by pool and workspace.
    pub fn iter(&self) -> impl Iterator<Item = &AccountStatement> {
        self.statements.values()
    }
}
