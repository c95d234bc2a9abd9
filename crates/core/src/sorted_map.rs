//! Map stored as a sorted vector and searched with binary search.

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;

/// Map from `K` to `V`, stored as one vector sorted by key.
///
/// Lookups take O(log n). Insertions and removals move O(n) entries of contiguous
/// memory, which is faster than a tree at the sizes used in this project.
///
/// ```
/// use baobabfall_core::sorted_map::SortedMap;
/// let mut map = SortedMap::new();
/// map.insert("b", 2);
/// map.insert("a", 1);
/// assert_eq!(map.get("a"), Some(&1));
/// assert_eq!(map.keys().copied().collect::<Vec<_>>(), ["a", "b"]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SortedMap<K, V> {
    entries: Vec<(K, V)>,
}

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K, V> SortedMap<K, V> {
    /// Creates an empty map.
    pub const fn new() -> Self {
        Self { entries: Vec::new() }
    }

    /// Number of entries in the map.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True when the map holds no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Entries in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> + ExactSizeIterator {
        self.entries.iter().map(|(key, value)| (key, value))
    }

    /// Entries in key order, with mutable values.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Keys in order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> + ExactSizeIterator {
        self.entries.iter().map(|(key, _)| key)
    }

    /// Values in key order.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> + ExactSizeIterator {
        self.entries.iter().map(|(_, value)| value)
    }

    /// Mutable values in key order.
    pub fn values_mut(&mut self) -> impl DoubleEndedIterator<Item = &mut V> {
        self.entries.iter_mut().map(|(_, value)| value)
    }

    /// Removes all entries and keeps the allocated memory.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Keeps only the entries for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|(key, value)| keep(key, value));
    }

    /// The entry with the smallest key; `None` in an empty map.
    pub fn first(&self) -> Option<(&K, &V)> {
        self.entries.first().map(|(key, value)| (key, value))
    }

    /// The entry with the largest key; `None` in an empty map.
    pub fn last(&self) -> Option<(&K, &V)> {
        self.entries.last().map(|(key, value)| (key, value))
    }
}

impl<K: Ord, V> SortedMap<K, V> {
    fn position<Q: Ord + ?Sized>(&self, key: &Q) -> Result<usize, usize>
    where
        K: Borrow<Q>,
    {
        self.entries.binary_search_by(|(entry_key, _)| entry_key.borrow().cmp(key))
    }

    /// The value stored under `key`.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.position(key).ok().map(|index| &self.entries[index].1)
    }

    /// The value stored under `key`, mutable.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        self.position(key).ok().map(|index| &mut self.entries[index].1)
    }

    /// True when `key` is present.
    pub fn contains_key<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.position(key).is_ok()
    }

    /// Stores `value` under `key` and returns the value that it replaced.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.entries[index].1, value)),
            Err(index) => {
                self.entries.insert(index, (key, value));
                None
            }
        }
    }

    /// Removes and returns the value stored under `key`.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        self.position(key).ok().map(|index| self.entries.remove(index).1)
    }

    /// The value stored under `key`; when absent, the result of `make` is stored
    /// first.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let index = match self.position(&key) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, (key, make()));
                index
            }
        };
        &mut self.entries[index].1
    }

    /// Entries whose key is at least `low`, in key order.
    pub fn range_from<Q: Ord + ?Sized>(&self, low: &Q) -> impl Iterator<Item = (&K, &V)>
    where
        K: Borrow<Q>,
    {
        let start = self.position(low).unwrap_or_else(|index| index);
        self.entries[start..].iter().map(|(key, value)| (key, value))
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedMap<K, V> {
    /// Later entries replace earlier ones with the same key.
    fn from_iter<I: IntoIterator<Item = (K, V)>>(entries: I) -> Self {
        let mut entries: Vec<(K, V)> = entries.into_iter().collect();
        entries.reverse();
        entries.sort_by(|a, b| a.0.cmp(&b.0));
        entries.dedup_by(|a, b| a.0 == b.0);
        Self { entries }
    }
}

impl<K, V> IntoIterator for SortedMap<K, V> {
    type Item = (K, V);
    type IntoIter = std::vec::IntoIter<(K, V)>;

    fn into_iter(self) -> Self::IntoIter {
        self.entries.into_iter()
    }
}
