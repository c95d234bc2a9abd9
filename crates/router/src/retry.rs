//! Retry budgets that bound the retries of the router and of each workspace.

use baobabfall_core::retry_budget::{RetryBudget, RetrySettings, backoff_delay};
use baobabfall_core::sorted_map::SortedMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Retry budgets of the router and of each workspace. A retry is taken from both.
#[derive(Debug)]
pub struct RetryBudgets {
    settings: RetrySettings,
    budgets: Mutex<BudgetSet>,
}

#[derive(Debug)]
struct BudgetSet {
    router: RetryBudget,
    workspaces: SortedMap<String, RetryBudget>,
}

impl Default for RetryBudgets {
    fn default() -> Self {
        Self::new(RetrySettings::default())
    }
}

impl RetryBudgets {
    /// Creates empty budgets: retries are allowed only after requests were recorded.
    pub fn new(settings: RetrySettings) -> Self {
        let router = RetryBudget::new(settings);
        Self { settings, budgets: Mutex::new(BudgetSet { router, workspaces: SortedMap::new() }) }
    }

    fn budgets(&self) -> MutexGuard<'_, BudgetSet> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts the first attempt of a request, from which both budgets grow.
    pub fn record_request(&self, workspace: &str) {
        let mut budgets = self.budgets();
        budgets.router.record_request();
        if let Some(budget) = budgets.workspaces.get_mut(workspace) {
            budget.record_request();
            return;
        }
        let mut budget = RetryBudget::new(self.settings);
        budget.record_request();
        budgets.workspaces.insert(workspace.to_owned(), budget);
    }

    /// Takes one retry from both budgets; false when either is exhausted.
    ///
    /// ```
    /// use baobabfall_router::retry::RetryBudgets;
    /// let budgets = RetryBudgets::default();
    /// (0..10).for_each(|_| budgets.record_request("team-a"));
    /// assert!(!budgets.take_retry("team-b"));
    /// assert!(budgets.take_retry("team-a"));
    /// assert!(!budgets.take_retry("team-a"));
    /// ```
    pub fn take_retry(&self, workspace: &str) -> bool {
        let mut budgets = self.budgets();
        let BudgetSet { router, workspaces } = &mut *budgets;
        let Some(budget) = workspaces.get_mut(workspace) else { return false };
        router.allows_retry() && budget.allows_retry() && router.take_retry() && budget.take_retry()
    }

    /// Returns the delay before retry number `attempt`, counted from 0: exponential
    /// backoff with jitter.
    pub fn wait(&self, attempt: u32) -> Duration {
        backoff_delay(&self.settings, attempt, rand::random())
    }
}
