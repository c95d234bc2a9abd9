//! Account statements: copies of fair-queueing accounts that routers keep, so
//! that the next dispatcher can continue the accounts.
//!
//! The answer that acknowledges the end of a lease also carries a statement of
//! the lease's account. A router that drops an ended lease therefore has a
//! statement that includes its cost. All other costs are in the leases that a
//! full report lists.

use crate::dispatch_messages::CostUnits;
use crate::sorted_map::SortedMap;
use crate::upstream_registry::UpstreamKind;
use serde::{Deserialize, Serialize};

/// Maximum number of statements that a router keeps. At 107 bytes each they add
/// at most 27.4 KB to a full report.
pub const STATEMENT_LIMIT: usize = 256;

/// Version of a statement, ordered by term and then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StatementStamp {
    /// Term of the dispatcher that made the statement.
    pub term: u64,
    /// Number of the answer within the term, counting only answers with statements.
    pub number: u64,
}

/// Account of one workspace in one pool at the time of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountStatement {
    /// Kind of the pool's upstreams.
    pub kind: UpstreamKind,
    /// Name of the pool.
    pub pool: String,
    /// Name of the workspace.
    pub workspace: String,
    /// Version; among statements of the same account the highest one is the latest.
    pub stamp: StatementStamp,
    /// Settled part of the account in weighted cost units, without charges for running requests.
    pub settled: CostUnits,
    /// Lowest account of the pool in weighted cost units, including running requests. The account
    /// of a backlogged workspace is never below it.
    pub floor: CostUnits,
}

/// Identifies an account: kind of the pool's upstreams, pool and workspace.
pub type StatementKey = (UpstreamKind, String, String);

impl AccountStatement {
    /// Returns the key of the account that the statement describes.
    pub fn key(&self) -> StatementKey {
        (self.kind, self.pool.clone(), self.workspace.clone())
    }
}

/// The latest statement of each account, for a bounded number of accounts.
///
/// ```
/// use baobabfall_core::account_statement::*;
/// use baobabfall_core::upstream_registry::UpstreamKind;
/// let mut store = StatementStore::new(STATEMENT_LIMIT);
/// let mut statement = AccountStatement {
///     kind: UpstreamKind::Model,
///     pool: "models".to_owned(),
///     workspace: "team-a".to_owned(),
///     stamp: StatementStamp { term: 2, number: 1 },
///     settled: 700,
///     floor: 500,
/// };
/// store.record(&statement);
/// statement.stamp = StatementStamp { term: 1, number: 9 };
/// store.record(&statement);
/// assert_eq!(store.iter().next().unwrap().stamp.term, 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct StatementStore {
    limit: usize,
    statements: SortedMap<StatementKey, AccountStatement>,
}

impl StatementStore {
    /// Creates a store for at most `limit` accounts.
    pub fn new(limit: usize) -> Self {
        Self { limit, statements: SortedMap::new() }
    }

    /// Stores a statement unless the stored one of the same account is as recent.
    /// If the store is over its limit, the oldest statement is dropped.
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

    /// Returns the statements, ordered by kind, pool and workspace.
    pub fn iter(&self) -> impl Iterator<Item = &AccountStatement> {
        self.statements.values()
    }
}
