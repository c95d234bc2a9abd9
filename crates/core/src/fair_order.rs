//! Fair-queueing arithmetic: accounts of weighted service, the indexed binary
//! heap that orders them, and the recent service of a pool.

use crate::dispatch_messages::CostUnits;
use crate::workspace_shares::ShareCounts;
use std::time::Duration;

/// Service divided by weight, in units of `1 / ACCOUNT_SCALE` cost units.
pub type AccountValue = u128;

/// Fixed-point scale of [`AccountValue`]. A division has a rounding error of less
/// than a millionth of a cost unit, and each lease is rounded once.
pub const ACCOUNT_SCALE: AccountValue = 1 << 20;

/// Returns the cost divided by the weight. A weight of zero counts as one.
///
/// ```
/// use baobabfall_core::fair_order::{ACCOUNT_SCALE, weighted_cost};
/// assert_eq!(weighted_cost(12, 4), 3 * ACCOUNT_SCALE);
/// ```
pub fn weighted_cost(cost: CostUnits, weight: u32) -> AccountValue {
    AccountValue::from(cost) * ACCOUNT_SCALE / AccountValue::from(weight.max(1))
}

/// Fair-queueing account of one workspace in one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FairAccount {
    /// Weighted service, including the estimated cost of running requests.
    pub value: AccountValue,
    /// Part of `value` that is not charged for running requests: the cost of ended requests and
    /// adjustments by [`FairAccount::raise_to`] and [`FairAccount::lower_to`].
    pub settled: AccountValue,
    /// Cost reported so far, without weight or estimates.
    pub service: CostUnits,
    /// Number of running requests.
    pub running: u32,
    /// True while the workspace has waiting requests that the pool can serve.
    pub backlogged: bool,
    /// Counts for the log.
    pub counts: ShareCounts,
}

impl FairAccount {
    /// Replaces the charge `old` by `new`; both are weighted costs. Only the
    /// difference is applied, because the value of a capped account may be below
    /// `old`.
    pub fn replace_charge(&mut self, old: AccountValue, new: AccountValue) {
        self.value = match new.checked_sub(old) {
            Some(added) => self.value.saturating_add(added),
            None => self.value.saturating_sub(old - new),
        };
    }

    /// Replaces the charge `old` of a request that has ended by its final
    /// weighted cost.
    pub fn settle_charge(&mut self, old: AccountValue, settled: AccountValue) {
        self.replace_charge(old, settled);
        self.settled = self.settled.saturating_add(settled);
    }

    /// Raises the value to at least `minimum`, so that a workspace gains no
    /// credit while it is idle.
    pub fn raise_to(&mut self, minimum: AccountValue) {
        let added = minimum.saturating_sub(self.value);
        self.value = self.value.saturating_add(added);
        self.settled = self.settled.saturating_add(added);
    }

    /// Lowers the value to at most `maximum`, which bounds the debt of a
    /// workspace.
    pub fn lower_to(&mut self, maximum: AccountValue) {
        let removed = self.value.saturating_sub(maximum);
        self.value -= removed;
        self.settled = self.settled.saturating_sub(removed);
    }
}

/// Binary min-heap in which the key of each index can be looked up, changed and
/// removed. Indices should be small, because a vector maps them to positions.
///
/// Entries with equal keys are ordered by index, so the order is total.
///
/// ```
/// use baobabfall_core::fair_order::IndexedHeap;
/// let mut heap = IndexedHeap::new();
/// heap.set(3, 20);
/// heap.set(5, 10);
/// heap.set(3, 5);
/// assert_eq!(heap.peek(), Some((5, 3)));
/// assert!(heap.remove(3));
/// assert_eq!(heap.peek(), Some((10, 5)));
/// ```
#[derive(Clone, Debug)]
pub struct IndexedHeap<K> {
    entries: Vec<(K, usize)>,
    /// For each index its position in `entries` plus one, or zero if it has no entry.
    positions: Vec<usize>,
}

impl<K> Default for IndexedHeap<K> {
    fn default() -> Self {
        Self { entries: Vec::new(), positions: Vec::new() }
    }
}

impl<K: Copy + Ord> IndexedHeap<K> {
    /// Creates an empty heap.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if the heap has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.positions.clear();
    }

    /// Returns the lowest key and its index.
    pub fn peek(&self) -> Option<(K, usize)> {
        self.entries.first().copied()
    }

    /// Returns the lowest key of any other index, and that index.
    pub fn peek_other(&self, index: usize) -> Option<(K, usize)> {
        match self.peek()? {
            (_, lowest) if lowest == index => self.entries.iter().skip(1).take(2).min().copied(),
            first => Some(first),
        }
    }

    /// Returns the lowest key whose index satisfies `usable`, and that index. Visits
    /// every entry.
    pub fn lowest_where(&self, usable: impl Fn(usize) -> bool) -> Option<(K, usize)> {
        self.entries.iter().filter(|(_, index)| usable(*index)).min().copied()
    }

    /// Returns true if `index` has an entry.
    pub fn contains(&self, index: usize) -> bool {
        self.positions.get(index).is_some_and(|position| *position > 0)
    }

    /// Returns the key of `index`.
    pub fn key(&self, index: usize) -> Option<K> {
        let position = self.positions.get(index)?.checked_sub(1)?;
        Some(self.entries[position].0)
    }

    /// Sets the key of `index`, which is inserted if it has no entry.
    pub fn set(&mut self, index: usize, key: K) {
        if self.positions.len() <= index {
            self.positions.resize(index + 1, 0);
        }
        let position = match self.positions[index].checked_sub(1) {
            Some(position) => {
                self.entries[position].0 = key;
                position
            }
            None => {
                self.entries.push((key, index));
                self.entries.len() - 1
            }
        };
        self.restore_order(position);
    }

    /// Removes the entry of `index` and returns true if there was one.
    pub fn remove(&mut self, index: usize) -> bool {
        let known = self.positions.get(index).and_then(|position| position.checked_sub(1));
        let Some(position) = known else { return false };
        self.entries.swap_remove(position);
        self.positions[index] = 0;
        if position < self.entries.len() {
            self.restore_order(position);
        }
        true
    }

    fn restore_order(&mut self, position: usize) {
        let position = self.sift_up(position);
        self.sift_down(position);
    }

    fn sift_up(&mut self, mut position: usize) -> usize {
        while position > 0 {
            let parent = (position - 1) / 2;
            if self.entries[parent] <= self.entries[position] {
                break;
            }
            self.entries.swap(parent, position);
            self.record_position(position);
            position = parent;
        }
        self.record_position(position);
        position
    }

    fn sift_down(&mut self, mut position: usize) {
        loop {
            let left = 2 * position + 1;
            let Some(mut child) = (left < self.entries.len()).then_some(left) else { break };
            if left + 1 < self.entries.len() && self.entries[left + 1] < self.entries[left] {
                child = left + 1;
            }
            if self.entries[position] <= self.entries[child] {
                break;
            }
            self.entries.swap(position, child);
            self.record_position(position);
            position = child;
        }
        self.record_position(position);
    }

    fn record_position(&mut self, position: usize) {
        self.positions[self.entries[position].1] = position + 1;
    }
}

/// Number of seconds that a [`ServiceWindow`] covers.
pub const SERVICE_WINDOW_SECONDS: u64 = 10;

/// Service of a pool over the last [`SERVICE_WINDOW_SECONDS`], in buckets of one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceWindow {
    /// Each bucket holds its second and the cost in that second.
    buckets: [(u64, CostUnits); 10],
}

impl ServiceWindow {
    /// Adds the cost of service that was reported at `now`.
    pub fn add(&mut self, now: Duration, cost: CostUnits) {
        let second = now.as_secs();
        let index = usize::try_from(second % SERVICE_WINDOW_SECONDS).unwrap_or_default();
        let bucket = &mut self.buckets[index];
        if bucket.0 != second {
            *bucket = (second, 0);
        }
        bucket.1 = bucket.1.saturating_add(cost);
    }

    /// Returns the cost within the window that ends with the second of `now`.
    pub fn total(&self, now: Duration) -> CostUnits {
        let oldest = (now.as_secs() + 1).saturating_sub(SERVICE_WINDOW_SECONDS);
        let recent = self.buckets.iter().filter(|(second, _)| *second >= oldest);
        recent.fold(0, |sum: CostUnits, (_, cost)| sum.saturating_add(*cost))
    }
}
