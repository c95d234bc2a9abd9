//! Request queue of the router, with RAII guards for queued requests
//! ([`QueueTicket`]) and granted slots ([`SlotLease`]).

use crate::demand_tally::DemandTally;
use crate::direct_slots::DirectSlots;
use crate::lease_book::{
    DecisionList, GrantedSlot, LeaseBook, QueueDecision, QueueKey, WaitingRequest,
};
use crate::load_tally::LoadTally;
use baobabfall_core::dispatch_messages::{CostUnits, LeaseEnd, PromptSummary, UpstreamRoute};
use baobabfall_core::limit_book::RateStatement;
use baobabfall_core::neighbour_book::NeighbourBook;
use baobabfall_core::part_book::{AnswerProgress, RequestSuspects};
use baobabfall_core::queue_gate::QueueGate;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::upstream_notices::UpstreamNotice;
use baobabfall_node::units::millis;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// Number of admission gates above which unused ones are removed.
const GATE_LIMIT: usize = 256;
/// Time after its last use for which a gate is kept.
const GATE_RETENTION: Duration = Duration::from_secs(5);

/// Lease book and admission gates, shared by request tasks and the dispatch client.
#[derive(Debug)]
pub struct SharedQueue {
    book: Mutex<LeaseBook>,
    changed: Notify,
    gates: Mutex<SortedMap<QueueKey, QueueGate>>,
    tally: LoadTally,
    demand: DemandTally,
    neighbours: Mutex<NeighbourBook>,
    started: Instant,
}

/// Parameters of a request to be queued.
#[derive(Clone, Debug)]
pub struct QueueRequest {
    /// Target and workspace of the request.
    pub key: QueueKey,
    /// Estimated cost of the request.
    pub cost_hint: CostUnits,
    /// Hash of the prompt prefix, used to prefer an upstream that has it cached.
    pub prefix: Option<u64>,
    /// Name of the upstream of a failed attempt, which must not be used again.
    pub avoid: Option<String>,
    /// Arrival number from an earlier attempt, so that a retry keeps its position;
    /// `None` for the first attempt.
    pub number: Option<u64>,
    /// Token counts and latency target of the prompt, if known.
    pub prompt: Option<PromptSummary>,
}

/// Why a request left the queue without a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueExit {
    /// The queue deadline passed.
    Deadline,
    /// The dispatcher refused the request; it may be retried after this duration.
    Refused(Duration),
    /// The router is shutting down.
    Stopping,
}

impl SharedQueue {
    /// Creates an empty queue.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            book: Mutex::new(LeaseBook::new()),
            changed: Notify::new(),
            gates: Mutex::default(),
            tally: LoadTally::default(),
            demand: DemandTally::default(),
            neighbours: Mutex::default(),
            started: Instant::now(),
        })
    }

    /// Runs `action` on the neighbours that take requests of this router, with the current time
    /// of their clock.
    pub fn with_neighbours<T>(&self, action: impl FnOnce(&mut NeighbourBook, Duration) -> T) -> T {
        let mut neighbours = self.neighbours.lock().unwrap_or_else(PoisonError::into_inner);
        action(&mut neighbours, self.started.elapsed())
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

    /// True if a request that may wait for `limit` can be expected to get a slot,
    /// judging by the recent grants to its queue.
    pub fn admits(&self, key: &QueueKey, limit: Duration) -> bool {
        let waiting = self.book().queued_for(key);
        self.with_gate(key, |gate, now| gate.admits(now, waiting, limit))
    }

    /// Records that a request got no slot before its deadline although the
    /// dispatcher was reachable.
    pub fn record_expiry(&self, key: &QueueKey) {
        self.with_gate(key, QueueGate::record_expiry);
    }

    /// Counts of refused, expired and granted requests and of reports.
    pub fn tally(&self) -> &LoadTally {
        &self.tally
    }

    /// What became of the requests of each workspace.
    pub fn demand(&self) -> &DemandTally {
        &self.demand
    }

    /// Locks the book. The guard must not be held across an `.await`.
    pub fn book(&self) -> MutexGuard<'_, LeaseBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what an upstream stated about itself in the answer to a request sent at
    /// `sent_at`, and reports it to the dispatcher at once.
    pub fn record_notice(&self, route: &UpstreamRoute, sent_at: Instant, notice: UpstreamNotice) {
        self.record_rate(route, sent_at, notice.rate);
        if !self.book().record_notice(route, notice) {
            return;
        }
        self.notify();
        let upstream = route.name.as_str();
        if notice.leaving {
            log::info!(event = "upstream_leaving", upstream = upstream, incarnation = route.incarnation; "the upstream stated that it is leaving; it gets no more requests from this router");
        }
        if let Some(quiet) = notice.quiet {
            log::info!(event = "upstream_quiet", upstream = upstream, incarnation = route.incarnation, quiet_ms = millis(quiet); "the upstream asked this router for no requests for a time");
        }
    }

    fn record_rate(&self, route: &UpstreamRoute, sent_at: Instant, statement: RateStatement) {
        let upstream = route.name.as_str();
        if statement == RateStatement::Unreadable {
            log::warn!(event = "rate_limit_unreadable", upstream = upstream; "the request rate that the upstream names is not a number and was ignored");
        }
        let Some(change) = self.book().record_rate(route, sent_at, statement) else { return };
        self.notify();
        match change.rate {
            Some(rate) => {
                log::info!(event = "upstream_limited", upstream = upstream, incarnation = route.incarnation, per_minute = rate.per_minute(); "the upstream limits the requests that it takes from all routers together")
            }
            None => {
                log::info!(event = "upstream_unlimited", upstream = upstream, incarnation = route.incarnation; "the upstream does not limit its requests any more")
            }
        }
    }

    /// Records how far an upstream has come with the answer to a request.
    pub fn record_answer(&self, answered: RequestSuspects<'_>, progress: AnswerProgress) {
        if self.book().record_answer(answered, progress) {
            self.notify();
        }
    }

    /// Records a request that an upstream dropped before the end of its answer, which had
    /// `begun` or not, and reports it to the dispatcher at once.
    pub fn record_casualty(
        &self,
        route: &UpstreamRoute,
        dropped: RequestSuspects<'_>,
        begun: bool,
    ) {
        self.book().record_casualty(route, dropped, begun);
        self.notify();
    }

    /// Waits for a change that should be reported to the dispatcher at once.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Wakes the dispatch client to report a change.
    pub fn notify(&self) {
        self.changed.notify_one();
    }

    /// Sends decisions to the waiting requests. If a request no longer waits, its
    /// slot is released as unused.
    pub fn deliver(&self, decisions: DecisionList) {
        for (sender, decision) in decisions {
            if let Err(QueueDecision::Granted(slot)) = sender.send(decision) {
                self.book().end_lease(slot.lease, LeaseEnd::Unused);
                self.notify();
            }
        }
    }

    /// Adds a request to its queue and wakes the dispatch client.
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

/// Position of a request in the queue; dropping it removes the request.
#[derive(Debug)]
pub struct QueueTicket {
    queue: Arc<SharedQueue>,
    key: QueueKey,
    number: u64,
    receiver: oneshot::Receiver<QueueDecision>,
}

impl QueueTicket {
    /// Arrival number, which a retry passes on to keep its position.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Waits until `deadline` for a slot.
    pub async fn wait(mut self, deadline: Instant) -> Result<SlotLease, QueueExit> {
        match tokio::time::timeout_at(deadline, &mut self.receiver).await {
            Ok(Ok(QueueDecision::Granted(slot))) => {
                self.queue.with_gate(&self.key, QueueGate::record_grant);
                self.queue.tally.count_granted();
                slot.meter.set_receipt(Instant::now());
                Ok(SlotLease::new(&self.queue, slot))
            }
            Ok(Ok(QueueDecision::Refused(wait))) => Err(QueueExit::Refused(wait)),
            Ok(Ok(QueueDecision::Stopping) | Err(_)) => Err(QueueExit::Stopping),
            Err(_) => {
                self.queue.tally.count_expired();
                Err(QueueExit::Deadline)
            }
        }
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        let removed = self.queue.book().remove(&self.key, self.number);
        // A grant sent after the last poll was not received by `wait`; its slot would leak.
        self.receiver.close();
        if let Ok(QueueDecision::Granted(slot)) = self.receiver.try_recv() {
            self.queue.book().end_lease(slot.lease, LeaseEnd::Unused);
        } else if !removed {
            return;
        }
        self.queue.notify();
    }
}

/// Component that tracks the use of a slot.
#[derive(Debug)]
enum LeaseOwner {
    /// The lease book, whose content is reported to the dispatcher.
    Queue(Arc<SharedQueue>),
    /// The router's own direct slots, which the dispatcher does not know of.
    Direct { slots: Arc<DirectSlots>, service: String },
}

/// A slot in use; dropping it releases the slot.
#[derive(Debug)]
pub struct SlotLease {
    owner: LeaseOwner,
    slot: GrantedSlot,
    end_on_drop: LeaseEnd,
    ended: bool,
}

impl SlotLease {
    fn new(queue: &Arc<SharedQueue>, slot: GrantedSlot) -> Self {
        let owner = LeaseOwner::Queue(Arc::clone(queue));
        Self { owner, slot, end_on_drop: LeaseEnd::Unused, ended: false }
    }

    /// Wraps a slot that the router took without the dispatcher.
    pub fn direct(slots: &Arc<DirectSlots>, service: &str, slot: GrantedSlot) -> Self {
        let owner = LeaseOwner::Direct { slots: Arc::clone(slots), service: service.to_owned() };
        Self { owner, slot, end_on_drop: LeaseEnd::Unused, ended: false }
    }

    /// True if the router took the slot without the dispatcher.
    pub fn is_direct(&self) -> bool {
        matches!(self.owner, LeaseOwner::Direct { .. })
    }

    /// Route to the upstream that the slot belongs to.
    pub fn route(&self) -> &UpstreamRoute {
        &self.slot.route
    }

    /// The slot with its lease id, route and cost meter.
    pub fn slot(&self) -> &GrantedSlot {
        &self.slot
    }

    /// Records that a request of at least `cost` is sent on the slot. If the lease
    /// is dropped afterwards, it ends as finished instead of unused.
    pub fn mark_used(&mut self, cost: CostUnits) {
        self.slot.meter.raise_to(cost);
        self.end_on_drop = LeaseEnd::Finished;
    }

    /// Releases the slot and consumes the lease.
    pub fn finish(mut self, end: LeaseEnd) {
        self.release(end);
    }

    /// Releases the slot without consuming the lease, for use in `Drop`
    /// implementations. Only the first call has an effect.
    pub fn release(&mut self, end: LeaseEnd) {
        if !self.ended {
            self.ended = true;
            match &self.owner {
                LeaseOwner::Queue(queue) => {
                    queue.book().end_lease(self.slot.lease, end);
                    queue.notify();
                }
                LeaseOwner::Direct { slots, service } => {
                    slots.release_slot(service, &self.slot.route, end);
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
