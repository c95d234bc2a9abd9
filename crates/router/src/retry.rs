//! Retry budgets of the router and of each workspace.

use baobabfall_core::retry_budget::{RetryBudget, RetrySettings, backoff_delay};
use baobabfall_core::sorted_map::SortedMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Retry budgets of the router and of each workspace.
#[derive(Debug)]
pub struct RetryBudgets {
    settings: RetrySettings,
    books: Mutex<BudgetBooks>,
}

#[derive(Debug)]
struct BudgetBooks {
    router: RetryBudget,
    workspaces: SortedMap<String, RetryBudget>,
}

impl Default for RetryBudgets {
    fn default() -> Self {
        Self::new(RetrySettings::default())
    }
}

impl RetryBudgets {
    /// Empty budgets.
    pub fn new(settings: RetrySettings) -> Self {
        let router = RetryBudget::new(settings);
        Self { settings, books: Mutex::new(BudgetBooks { router, workspaces: SortedMap::new() }) }
    }

    fn books(&self) -> MutexGuard<'_, BudgetBooks> {
        self.books.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a first attempt.
    pub fn record_request(&self, workspace: &str) {
        let mut books = self.books();
        books.router.record_request();
        if let Some(budget) = books.workspaces.get_mut(workspace) {
            budget.record_request();
            return;
        }
        let mut budget = RetryBudget::new(self.settings);
        budget.record_request();
        books.workspaces.insert(workspace.to_owned(), budget);
    }

    /// Takes one retry from both budgets; false when either is exhausted.
    ///
    /// ```
    /// use baobabfall_router::retry::RetryBudgets;
    /// let books = RetryBudgets::default();
    /// (0..10).for_each(|_| books.record_request("team-a"));
    /// assert!(!books.take_retry("team-b"));
    /// assert!(books.take_retry("team-a"));
    /// assert!(!books.take_retry("team-a"));
    /// ```
    pub fn take_retry(&self, workspace: &str) -> bool {
        let mut books = self.books();
        let BudgetBooks { router, workspaces } = &mut *books;
        let Some(budget) = workspaces.get_mut(workspace) else { return false };
        router.allows_retry() && budget.allows_retry() && router.take_retry() && budget.take_retry()
    }

    /// Wait before retry number `attempt`, from 0, with jitter.
    pub fn wait(&self, attempt: u32) -> Duration {
        backoff_delay(&self.settings, attempt, rand::random())
    }
}
