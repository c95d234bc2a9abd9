//! Bytes of request bodies that one router has sent to each upstream and that are not answered.
//!
//! It answers many callers who send large bodies to the same upstream: an upstream holds the body
//! of each request that it works on, its memory is not known, and one that runs out of it ends
//! with all its requests. Each router takes an equal share of the bytes that the fleet may have in
//! flight to one upstream, so that the routers need not agree on each body.

use crate::sorted_map::SortedMap;

/// Bodies up to this size are not counted, so that usual requests never wait for large ones: those
/// of 64 slots take 4 MiB.
pub const SMALL_BODY_BYTES: u64 = 64 << 10;

/// Name and incarnation of an upstream.
type UploadKey = (String, u64);

/// Large request bodies in flight from one router.
///
/// A body that is larger than the share is admitted while no other one is in flight to the
/// upstream, so that every size that callers may send is served.
///
/// ```
/// use baobabfall_core::upload_share::UploadShare;
/// let mut share = UploadShare::new(16 << 20);
/// assert!(share.admit("u1", 1, 4 << 20, 2));
/// assert!(share.admit("u1", 1, 4 << 20, 2));
/// assert!(!share.admit("u1", 1, 4 << 20, 2), "half of the fleet's bytes are in flight");
/// assert!(share.admit("u1", 1, 1 << 10, 2), "small bodies are not counted");
/// assert!(share.admit("u2", 1, 4 << 20, 2), "another upstream");
/// share.release("u1", 1, 4 << 20);
/// assert!(share.admit("u1", 1, 4 << 20, 2));
/// ```
#[derive(Clone, Debug)]
pub struct UploadShare {
    /// Bytes that all routers together may have in flight to one upstream.
    fleet_bytes: u64,
    in_flight: SortedMap<UploadKey, u64>,
}

impl UploadShare {
    /// Creates the share of a router without bodies in flight.
    pub fn new(fleet_bytes: u64) -> Self {
        Self { fleet_bytes, in_flight: SortedMap::new() }
    }

    /// Counts a body that is about to be sent. Returns false, and counts nothing, if the upstream
    /// must not get it now. `routers` is the number of routers in the fleet.
    pub fn admit(&mut self, upstream: &str, incarnation: u64, bytes: u64, routers: u32) -> bool {
        if bytes <= SMALL_BODY_BYTES {
            return true;
        }
        let share = self.fleet_bytes / u64::from(routers.max(1));
        let key = (upstream.to_owned(), incarnation);
        let held = self.in_flight.get(&key).copied().unwrap_or(0);
        if held > 0 && held.saturating_add(bytes) > share {
            return false;
        }
        self.in_flight.insert(key, held.saturating_add(bytes));
        true
    }

    /// Ends the count of a body that was admitted: its request has ended.
    pub fn release(&mut self, upstream: &str, incarnation: u64, bytes: u64) {
        if bytes <= SMALL_BODY_BYTES {
            return;
        }
        let key = (upstream.to_owned(), incarnation);
        let left = self.in_flight.get(&key).map_or(0, |held| held.saturating_sub(bytes));
        if left > 0 {
            self.in_flight.insert(key, left);
        } else {
            self.in_flight.remove(&key);
        }
    }
}
