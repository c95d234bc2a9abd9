//! The router's queue: tickets of waiting requests and guards of granted slots.

use crate::direct_slots::DirectSlots;
use crate::lease_book::{
    DecisionList, GrantedSlot, LeaseBook, QueueDecision, QueueKey, WaitingRequest,
};
use baobabfall_core::dispatch_messages::{CostUnits, LeaseEnd, PromptSummary, UpstreamRoute};
use baobabfall_core::queue_gate::QueueGate;
use baobabfall_core::sorted_map::SortedMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// Gates that are kept; beyond it those without recent use are dropped.
const GATE_LIMIT: usize = 256;
/// Time without use after which a gate may be dropped.
const GATE_RETENTION: Duration = Duration::from_secs(5);

/// The book shared by request tasks and the dispatch client.
#[derive(Debug)]
pub struct SharedQueue {
    book: Mutex<LeaseBook>,
    changed: Notify,
    gates: Mutex<SortedMap<QueueKey, QueueGate>>,
    started: Instant,
}

/// What a request brings to the queue.
#[derive(Clone, Debug)]
pub struct QueueRequest {
    /// What it asks for and who asks.
    pub key: QueueKey,
    /// Estimated cost.
    pub cost_hint: CostUnits,
    /// Hash of the prompt prefix.
    pub prefix: Option<u64>,
    /// Upstream of a failed attempt.
    pub avoid: Option<String>,
    /// Number of an earlier stay in the queue, to keep the place.
    pub number: Option<u64>,
    /// What is known of its prompt.
    pub prompt: Option<PromptSummary>,
}

/// Why a request left the queue without a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueExit {
    /// Its deadline passed.
    Deadline,
    /// The dispatcher refused it; it may be sent again after the time.
    Refused(Duration),
    /// The router stops.
    Stopping,
}

impl SharedQueue {
    /// An empty queue.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            book: Mutex::new(LeaseBook::new()),
            changed: Notify::new(),
            gates: Mutex::default(),
            started: Instant::now(),
        })
    }

    fn with_gate<T>(
        &self,
        key: &QueueKey,
        action: impl FnOnce(&mut QueueGate, Duration) -> T,
    ) -> T {
        let now = self.started.elapsed();
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        if gates.len() >= GATE_LIMIT && !gates.contains_key(key) {
            gates.retain(|_, gate| gate.last_use() + GATE_RETENTION > now);
        }
        action(gates.get_or_insert_with(key.clone(), QueueGate::default), now)
    }

    /// True when a request that may wait for `limit` has a chance of a slot.
    pub fn admits(&self, key: &QueueKey, limit: Duration) -> bool {
        let waiting = self.book().queued_for(key);
        self.with_gate(key, |gate, now| gate.admits(now, waiting, limit))
    }

    /// Notes that a request got no slot although the dispatcher answers.
    pub fn record_expiry(&self, key: &QueueKey) {
        self.with_gate(key, QueueGate::record_expiry);
    }

    /// Locks the book; it is never held across an await.
    pub fn book(&self) -> MutexGuard<'_, LeaseBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a change that a report should carry soon.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Asks for a report soon.
    pub fn notify(&self) {
        self.changed.notify_one();
    }

    /// Sends verdicts; a slot whose request is gone ends as unused.
    pub fn deliver(&self, verdicts: DecisionList) {
        for (sender, verdict) in verdicts {
            if let Err(QueueDecision::Granted(slot)) = sender.send(verdict) {
                self.book().end_lease(slot.lease, LeaseEnd::Unused);
                self.notify();
            }
        }
    }

    /// Adds a request to the queue.
    pub fn enqueue(self: &Arc<Self>, request: QueueRequest) -> QueueTicket {
        let (decision_sender, receiver) = oneshot::channel();
        let mut book = self.book();
        let number = request.number.unwrap_or_else(|| book.next_number());
        let waiting = WaitingRequest {
            number,
            cost_hint: request.cost_hint,
            prefix: request.prefix,
            avoid: request.avoid,
            decision_sender,
            prompt: request.prompt,
        };
        book.enqueue(&request.key, waiting);
        drop(book);
        self.notify();
        QueueTicket { queue: Arc::clone(self), key: request.key, number, receiver }
    }
}

/// A request's place in the queue; dropping it gives the place up.
#[derive(Debug)]
pub struct QueueTicket {
    queue: Arc<SharedQueue>,
    key: QueueKey,
    number: u64,
    receiver: oneshot::Receiver<QueueDecision>,
}

impl QueueTicket {
    /// Order of arrival, to keep the place in a later stay.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Waits for a slot until the deadline.
    pub async fn wait(mut self, deadline: Instant) -> Result<SlotLease, QueueExit> {
        match tokio::time::timeout_at(deadline, &mut self.receiver).await {
            Ok(Ok(QueueDecision::Granted(slot))) => {
                self.queue.with_gate(&self.key, QueueGate::record_grant);
                Ok(SlotLease::new(&self.queue, slot))
            }
            Ok(Ok(QueueDecision::Refused(wait))) => Err(QueueExit::Refused(wait)),
            Ok(Ok(QueueDecision::Stopping) | Err(_)) => Err(QueueExit::Stopping),
            Err(_) => Err(QueueExit::Deadline),
        }
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        let removed = self.queue.book().remove(&self.key, self.number);
        // A verdict sent after the last poll would leak its slot.
        self.receiver.close();
        if let Ok(QueueDecision::Granted(slot)) = self.receiver.try_recv() {
            self.queue.book().end_lease(slot.lease, LeaseEnd::Unused);
        } else if !removed {
            return;
        }
        self.queue.notify();
    }
}

/// Where the use of a slot is accounted.
#[derive(Debug)]
enum LeaseKeeper {
    /// In the book that the dispatcher gets reports of.
    Queue(Arc<SharedQueue>),
    /// In this router alone.
    Direct { slots: Arc<DirectSlots>, service: String },
}

/// A slot in use; dropping it frees the slot.
#[derive(Debug)]
pub struct SlotLease {
    keeper: LeaseKeeper,
    slot: GrantedSlot,
    end_on_drop: LeaseEnd,
    ended: bool,
}

impl SlotLease {
    fn new(queue: &Arc<SharedQueue>, slot: GrantedSlot) -> Self {
        let keeper = LeaseKeeper::Queue(Arc::clone(queue));
        Self { keeper, slot, end_on_drop: LeaseEnd::Unused, ended: false }
    }

    /// A slot that the router took itself.
    pub fn direct(slots: &Arc<DirectSlots>, service: &str, slot: GrantedSlot) -> Self {
        let keeper = LeaseKeeper::Direct { slots: Arc::clone(slots), service: service.to_owned() };
        Self { keeper, slot, end_on_drop: LeaseEnd::Unused, ended: false }
    }

    /// True when the dispatcher does not know of the slot.
    pub fn is_direct(&self) -> bool {
        matches!(self.keeper, LeaseKeeper::Direct { .. })
    }

    /// The upstream that the slot belongs to.
    pub fn route(&self) -> &UpstreamRoute {
        &self.slot.route
    }

    /// The granted slot.
    pub fn slot(&self) -> &GrantedSlot {
        &self.slot
    }

    /// Notes that a request is dispatched: a lease dropped from now on counts
    /// as used.
    pub fn mark_used(&mut self, cost: CostUnits) {
        self.slot.meter.raise_to(cost);
        self.end_on_drop = LeaseEnd::Finished;
    }

    /// Ends the use of the slot.
    pub fn finish(mut self, end: LeaseEnd) {
        self.release(end);
    }

    /// Ends the use of the slot in place, for owners that are being dropped.
    pub fn release(&mut self, end: LeaseEnd) {
        if !self.ended {
            self.ended = true;
            match &self.keeper {
                LeaseKeeper::Queue(queue) => {
                    queue.book().end_lease(self.slot.lease, end);
                    queue.notify();
                }
                LeaseKeeper::Direct { slots, service } => {
                    slots.give_back(service, &self.slot.route, end);
                }
            }
        }
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        self.release(self.end_on_drop);
    }
}
