//! Tests of the map stored as a sorted vector.

use baobabfall_core::sorted_map::SortedMap;
use quickcheck::{Arbitrary, Gen};

/// Guards against a binary search that misses an entry or inserts it twice. The
/// reference is an unsorted list that is scanned linearly.
#[test]
fn insert_remove_agrees_with_linear_scan() {
    let mut source = Gen::from_size_and_seed(200, 7);
    for _ in 0..200 {
        let steps = Vec::<(bool, u8, u16)>::arbitrary(&mut source);
        let mut map = SortedMap::new();
        let mut naive: Vec<(u8, u16)> = Vec::new();
        for (insert, key, value) in steps {
            let position = naive.iter().position(|entry| entry.0 == key);
            let expected = position.map(|index| naive.remove(index).1);
            if insert {
                naive.push((key, value));
                assert_eq!(map.insert(key, value), expected);
            } else {
                assert_eq!(map.remove(&key), expected);
            }
        }
        naive.sort_unstable();
        assert_eq!(map.into_iter().collect::<Vec<_>>(), naive);
    }
}
