//! Retry budgets of the router and of each workspace.

use baobabfall_core::sorted_map::SortedMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Requests per permitted retry.
const REQUESTS_PER_RETRY: u32 = 10;
/// Retries that a quiet time may save up.
const SAVED_RETRIES: u32 = 100;
const FIRST_WAIT: Duration = Duration::from_millis(25);
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Retry budgets of the router and of each workspace.
#[derive(Debug, Default)]
pub struct RetryBooks {
    books: Mutex<(u32, SortedMap<String, u32>)>,
}

impl RetryBooks {
    /// Counts a first attempt.
    pub fn record_request(&self, workspace: &str) {
        let limit = REQUESTS_PER_RETRY * SAVED_RETRIES;
        let mut books = self.books.lock().unwrap_or_else(PoisonError::into_inner);
        books.0 = (books.0 + 1).min(limit);
        match books.1.get_mut(workspace) {
            Some(balance) => *balance = (*balance + 1).min(limit),
            None => {
                books.1.insert(workspace.to_owned(), 1);
            }
        }
    }

    /// Takes one retry from both budgets; false when either is exhausted.
    pub fn take_retry(&self, workspace: &str) -> bool {
        let mut books = self.books.lock().unwrap_or_else(PoisonError::into_inner);
        let (router, workspaces) = &mut *books;
        let Some(balance) = workspaces.get_mut(workspace) else { return false };
        if *router < REQUESTS_PER_RETRY || *balance < REQUESTS_PER_RETRY {
            return false;
        }
        *router -= REQUESTS_PER_RETRY;
        *balance -= REQUESTS_PER_RETRY;
        true
    }

    /// Wait before retry number `attempt`, from 0, with jitter.
    pub fn wait(&self, attempt: u32) -> Duration {
        let bound = (FIRST_WAIT * 2u32.saturating_pow(attempt.min(10))).min(LONGEST_WAIT);
        bound / 2 + (bound / 2).mul_f64(rand::random::<f64>())
    }
}
