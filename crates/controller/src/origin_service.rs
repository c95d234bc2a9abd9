//! Holds copies of the origins of streams, for routers that take up the streams of another router
//! after it was lost together with the leader.

use baobabfall_core::dispatch_messages::{OriginAnswer, OriginCopy, OriginLookup};
use baobabfall_core::stream_origins::{FLEET_STREAM_LIMIT, OriginDirectory};
use baobabfall_node::node_metrics::start_incarnation;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;

/// The copies that this controller holds; shared by its clones.
///
/// ```
/// use baobabfall_controller::origin_service::OriginService;
/// use baobabfall_core::dispatch_messages::{OriginCopy, OriginGroup, OriginLookup};
/// let service = OriginService::new();
/// let ambiguous = OriginGroup { origin: None, streams: vec![(7, 5_000)] };
/// service.record(&OriginCopy { holder: 0, begun: vec![ambiguous] });
/// let answers = service.answer(&OriginLookup { keys: vec![7, 8] });
/// assert_eq!((answers[0].ambiguous, answers[1].ambiguous), (true, false));
/// ```
#[derive(Clone, Debug)]
pub struct OriginService {
    started: Instant,
    incarnation: u64,
    copies: Arc<Mutex<OriginDirectory>>,
}

impl Default for OriginService {
    fn default() -> Self {
        Self::new()
    }
}

impl OriginService {
    /// Creates a service without copies, with a new incarnation.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            incarnation: start_incarnation(),
            copies: Arc::new(Mutex::new(OriginDirectory::new(FLEET_STREAM_LIMIT))),
        }
    }

    fn lock(&self) -> MutexGuard<'_, OriginDirectory> {
        self.copies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Incarnation by which a router recognizes that this controller still holds its copies.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Adds a router's copy to those held.
    pub fn record(&self, copy: &OriginCopy) {
        if !copy.begun.is_empty() {
            self.lock().record_groups(self.started.elapsed(), &copy.begun);
        }
    }

    /// What the copies say of each stream.
    pub fn answer(&self, lookup: &OriginLookup) -> Vec<OriginAnswer> {
        let copies = self.lock();
        let now = self.started.elapsed();
        lookup.keys.iter().map(|key| copies.answer(now, *key)).collect()
    }
}
