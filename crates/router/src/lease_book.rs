//! Bookkeeping of the queued requests and held slot leases of one router.
//!
//! The book keeps one FIFO queue per (target, workspace), matches grants to
//! queued requests and builds the reports for the dispatcher; fairness is
//! decided by the dispatcher alone. Every entry records the sequence number of
//! the first report that carries its latest change, so that a report contains
//! exactly the changes that are not acknowledged yet.

use crate::load_notice::LoadNotice;
use crate::stream_lookup::LookupBook;
use baobabfall_core::account_statement::{STATEMENT_LIMIT, StatementStore};
use baobabfall_core::dispatch_messages::{
    BacklogEntry, BacklogRefusal, CostUnits, CrashCasualty, DispatchAnswer, DispatchReport,
    LeaseEnd, LeaseId, LeaseUsage, MAX_PROMPTS_PER_ENTRY, NodeIdentity, OriginAnswer, OriginGroup,
    OriginReport, PartId, PartList, PromptSummary, RouterLoad, SlotGrant, StreamKey, StreamOrigin,
    UNKNOWN_FIRST_TOKEN_MS, UpstreamLimit, UpstreamRestriction, UpstreamRoute,
};
use baobabfall_core::limit_book::{AnswerTiming, LimitBook, RateStatement};
use baobabfall_core::local_dispatcher::LOCAL_TERM;
use baobabfall_core::part_book::{AnswerProgress, PartBook, RequestSuspects};
use baobabfall_core::send_barrier::SendBarrier;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::stream_origins::OriginBook;
use baobabfall_core::upstream_notices::{UpstreamNotice, UpstreamNotices};
use baobabfall_core::upstream_registry::WorkTarget;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Router count assumed until a dispatcher has reported one. It gives the
/// smallest possible share of each upstream in isolated local mode.
const UNKNOWN_ROUTER_COUNT: u32 = u32::MAX;
/// Number of ended local-mode leases above which equal ones are merged.
const ENDED_LOCAL_LEASES_LIMIT: usize = 256;

/// Delay of the receipt of a grant, in milliseconds, from which the time to the first
/// token is unknown. A request passes the event loop about four times until then, and
/// four such delays are a tenth of the usual target.
const LATE_RECEIPT_MS: u32 = 5;
/// Value of a meter before the first token.
const NO_FIRST_TOKEN: u32 = u32::MAX;

/// Target of a request and name of the workspace that sent it.
pub type QueueKey = (WorkTarget, String);

/// Cost of one lease so far, updated by the relay and read by the reports.
#[derive(Debug)]
pub struct LeaseMeter {
    granted: Instant,
    /// Time between the grant and its receipt by the request, in milliseconds.
    receipt_ms: AtomicU32,
    charged: AtomicU64,
    first_token_ms: AtomicU32,
}

impl LeaseMeter {
    /// Starts a meter at zero cost, with the current time as time of the grant.
    pub fn start() -> Self {
        Self {
            granted: Instant::now(),
            receipt_ms: AtomicU32::new(0),
            charged: AtomicU64::new(0),
            first_token_ms: AtomicU32::new(NO_FIRST_TOKEN),
        }
    }

    /// Adds `units` to the charge.
    pub fn charge(&self, units: CostUnits) {
        self.charged.fetch_add(units, Ordering::Relaxed);
    }

    /// Sets the charge to `units` unless it is already higher.
    pub fn raise_to(&self, units: CostUnits) {
        self.charged.fetch_max(units, Ordering::Relaxed);
    }

    /// Total charge so far; it never decreases.
    pub fn charged(&self) -> CostUnits {
        self.charged.load(Ordering::Relaxed)
    }

    /// Records that the request received the grant at `now`.
    pub fn set_receipt(&self, now: Instant) {
        self.receipt_ms.store(self.millis_since_grant(now), Ordering::Relaxed);
    }

    /// Records that the first token arrived at `now`.
    ///
    /// The time to first token is measured from the receipt of the grant. Time spent
    /// in the queue is excluded, because the dispatcher would mistake it for an
    /// overload of the upstream. So is any time when the grant was received late:
    /// the event loop then also sends requests and reads answers late.
    pub fn set_first_token(&self, now: Instant) {
        let receipt_ms = self.receipt_ms.load(Ordering::Relaxed);
        let millis = match receipt_ms < LATE_RECEIPT_MS {
            true => self.millis_since_grant(now).saturating_sub(receipt_ms).max(1),
            false => UNKNOWN_FIRST_TOKEN_MS,
        };
        self.first_token_ms.store(millis, Ordering::Relaxed);
    }

    fn millis_since_grant(&self, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.granted);
        u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX).min(NO_FIRST_TOKEN - 1)
    }

    fn first_token_ms(&self) -> Option<u32> {
        let millis = self.first_token_ms.load(Ordering::Relaxed);
        (millis != NO_FIRST_TOKEN).then_some(millis)
    }
}

/// A slot that the dispatcher, or the router itself, granted to a request.
#[derive(Clone, Debug)]
pub struct GrantedSlot {
    /// Identity of the lease; the default value for slots taken directly.
    pub lease: LeaseId,
    /// Upstream that the slot belongs to.
    pub route: UpstreamRoute,
    /// Cost of the lease so far, shared with the book.
    pub meter: Arc<LeaseMeter>,
}

/// Result of waiting in the queue.
#[derive(Debug)]
pub enum QueueDecision {
    /// The request may be sent to the upstream of the slot.
    Granted(GrantedSlot),
    /// The request is refused; the caller may retry after this duration.
    Refused(Duration),
    /// The router is shutting down.
    Stopping,
}

/// A queued request.
#[derive(Debug)]
pub struct WaitingRequest {
    /// Arrival number, which orders the queue; kept when the request is queued
    /// again for a retry.
    pub number: u64,
    /// Estimated cost of the request.
    pub cost_hint: CostUnits,
    /// Hash of the prompt prefix, used to prefer an upstream that has it cached.
    pub prefix: Option<u64>,
    /// Name of the upstream of a failed attempt, which must not be used again.
    pub avoid: Option<String>,
    /// Channel on which the waiting task receives the decision.
    pub decision_sender: oneshot::Sender<QueueDecision>,
    /// Token counts and latency target of the prompt, if known.
    pub prompt: Option<PromptSummary>,
}

#[derive(Debug, Default)]
struct RequestQueue {
    requests: VecDeque<WaitingRequest>,
    /// Sequence number of the first report that carries the latest change.
    change_sequence: u64,
}

#[derive(Debug)]
struct HeldLease {
    key: QueueKey,
    route: UpstreamRoute,
    meter: Arc<LeaseMeter>,
    reported_charge: CostUnits,
    first_token_reported: bool,
    end: Option<LeaseEnd>,
    /// Sequence number of the first report that carries the latest change; 0 if
    /// there is nothing to report.
    change_sequence: u64,
}

/// Statements of upstreams, with the clock of their times.
#[derive(Debug)]
struct NoticeBook {
    started: Instant,
    notices: UpstreamNotices,
    /// Sequence number of the first report that carries the latest change, by upstream.
    change_sequences: SortedMap<String, u64>,
}

impl Default for NoticeBook {
    fn default() -> Self {
        let started = Instant::now();
        Self { started, notices: UpstreamNotices::default(), change_sequences: SortedMap::new() }
    }
}

impl NoticeBook {
    fn next_use(&self, name: &str, incarnation: u64) -> Duration {
        let now = self.started.elapsed();
        self.notices.next_use(now, name, incarnation).saturating_sub(now)
    }

    fn restrictions(&self, full: bool, since: u64) -> Vec<UpstreamRestriction> {
        let is_listed = |restriction: &UpstreamRestriction| {
            let changed = self.change_sequences.get(&restriction.upstream);
            full || changed.is_some_and(|sequence| *sequence > since)
        };
        self.notices.restrictions(self.started.elapsed()).filter(is_listed).collect()
    }
}

/// Decisions to send after the lock on the book is released.
pub type DecisionList = Vec<(oneshot::Sender<QueueDecision>, QueueDecision)>;

/// Queued requests and held leases of one router.
#[derive(Debug, Default)]
pub struct LeaseBook {
    queues: SortedMap<QueueKey, RequestQueue>,
    leases: SortedMap<LeaseId, HeldLease>,
    term: u64,
    /// Highest grant number received in the current term.
    last_grant: u64,
    /// Sequence number of the last report.
    sequence: u64,
    /// Highest report sequence number that the dispatcher has acknowledged.
    acknowledged: u64,
    /// Sequence number of the last report on the current channel, which delivers it or breaks;
    /// 0 without a channel.
    delivered: u64,
    full_needed: bool,
    /// Arrival number of the last request.
    last_number: u64,
    routers: u32,
    queued: usize,
    /// Time for which changes may be held back that no request waits for.
    hold: Duration,
    statements: StatementStore,
    notices: NoticeBook,
    parts: PartBook,
    limits: LimitBook,
    origins: OriginBook,
    lookups: LookupBook,
    load: LoadNotice,
}

impl LeaseBook {
    /// Creates an empty book whose first report will be a full one.
    pub fn new() -> Self {
        let statements = StatementStore::new(STATEMENT_LIMIT);
        Self { full_needed: true, routers: UNKNOWN_ROUTER_COUNT, statements, ..Self::default() }
    }

    /// Records what an upstream stated about itself in an answer, for this router and for
    /// the next report. Returns true when it changes where requests may be sent.
    pub fn record_notice(&mut self, route: &UpstreamRoute, notice: UpstreamNotice) -> bool {
        let NoticeBook { started, notices, change_sequences } = &mut self.notices;
        let changed = notices.record(started.elapsed(), &route.name, route.incarnation, notice);
        if changed {
            change_sequences.insert(route.name.clone(), self.sequence + 1);
            change_sequences.retain(|name, _| notices.is_known(name));
        }
        changed
    }

    fn elapsed(&self) -> Duration {
        self.notices.started.elapsed()
    }

    /// Records what the answer to a request sent at `sent_at` states about the request rate
    /// of its upstream, and returns the change that follows from it.
    pub fn record_rate(
        &mut self,
        route: &UpstreamRoute,
        sent_at: Instant,
        statement: RateStatement,
    ) -> Option<UpstreamLimit> {
        let timing = AnswerTiming {
            sent_at: sent_at.saturating_duration_since(self.notices.started),
            received_at: self.elapsed(),
        };
        let sequence = self.sequence + 1;
        self.limits.record(timing, &route.name, route.incarnation, statement, sequence)
    }

    /// Records the origin of a stream that this router began and whose caller may resume it
    /// for the time `left`; `None` if its software version is unknown.
    pub fn record_origin(&mut self, key: StreamKey, origin: Option<&StreamOrigin>, left: Duration) {
        let now = self.elapsed();
        self.origins.record(now, key, origin, left, self.sequence + 1);
    }

    /// The origin of a stream that this router began.
    pub fn known_origin(&self, key: StreamKey) -> Option<StreamOrigin> {
        self.origins.find(self.elapsed(), key).cloned()
    }

    /// Number and content of the next copy of the origins of this router's streams; see
    /// [`OriginBook::copy`].
    pub fn copy_origins(&mut self, full: bool) -> (u64, Vec<OriginGroup>) {
        let now = self.elapsed();
        self.origins.copy(now, full)
    }

    /// Records that a controller other than the leader holds the copies up to `number`.
    pub fn confirm_copy(&mut self, number: u64) {
        self.origins.confirm_copy(number);
    }

    /// Asks the dispatcher for the origin of a stream. `None` when too many lookups wait.
    pub fn look_up_origin(&mut self, key: StreamKey) -> Option<oneshot::Receiver<OriginAnswer>> {
        self.lookups.add(key, self.sequence + 1)
    }

    /// The request rates that upstreams have named.
    pub fn limits(&self) -> &LimitBook {
        &self.limits
    }

    /// Records how far an upstream has come with the answer to a request. Returns true when the
    /// dispatcher should learn of it.
    pub fn record_answer(
        &mut self,
        answered: RequestSuspects<'_>,
        progress: AnswerProgress,
    ) -> bool {
        let now = self.elapsed();
        self.parts.record_answer(now, answered, progress, self.sequence + 1)
    }

    /// Records a request that an upstream dropped before the end of its answer, which had
    /// `begun` or not.
    pub fn record_casualty(
        &mut self,
        route: &UpstreamRoute,
        dropped: RequestSuspects<'_>,
        begun: bool,
    ) {
        let casualty = CrashCasualty {
            upstream: route.name.clone(),
            incarnation: route.incarnation,
            parts: dropped.parts.to_vec(),
            request: Some(dropped.request),
            begun,
        };
        let now = self.elapsed();
        self.parts.record_casualty(now, casualty, self.sequence + 1);
    }

    /// True if a crash of upstreams is suspected of the request or of a part of its prompt.
    pub fn is_suspect(&self, request: RequestSuspects<'_>) -> bool {
        self.parts.is_suspect(request)
    }

    /// Time until a request may run again if it or a part of it is in quarantine.
    pub fn quarantine_left(&self, request: RequestSuspects<'_>) -> Option<Duration> {
        self.parts.quarantine_left(self.elapsed(), request)
    }

    /// Applies the dispatcher's list of parts and returns those newly in quarantine.
    pub fn apply_part_list(&mut self, list: &PartList) -> Vec<PartId> {
        let now = self.elapsed();
        self.parts.apply_list(now, list, self.sequence + 1)
    }

    /// True unless an upstream has restricted its use by this router.
    pub fn has_no_notices(&self) -> bool {
        self.notices.notices.is_empty()
    }

    /// What the upstream told this router that keeps requests away now, if anything.
    pub fn barrier(&self, name: &str, incarnation: u64) -> Option<SendBarrier> {
        self.notices.notices.barrier(self.notices.started.elapsed(), name, incarnation)
    }

    /// True when the upstream has not told this router to send it no requests.
    pub fn permits(&self, name: &str, incarnation: u64) -> bool {
        self.time_until_use(name, incarnation).is_zero()
    }

    /// Time until the upstream takes requests of this router again: zero when it does
    /// already, close to [`Duration::MAX`] when it is leaving.
    pub fn time_until_use(&self, name: &str, incarnation: u64) -> Duration {
        self.notices.next_use(name, incarnation)
    }

    /// Allocates the arrival number of a new request.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Number of queued requests of one workspace for one target.
    pub fn queued_for(&self, key: &QueueKey) -> usize {
        self.queues.get(key).map_or(0, |queue| queue.requests.len())
    }

    /// Number of leases that have not ended.
    pub fn running(&self) -> usize {
        self.leases.values().filter(|lease| lease.end.is_none()).count()
    }

    /// Number of routers in the dispatcher's last answer; `u32::MAX` before the
    /// first answer.
    pub fn routers(&self) -> u32 {
        self.routers
    }

    /// Highest dispatcher term seen; 0 before the first answer.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Inserts a request at the position given by its arrival number.
    pub fn enqueue(&mut self, key: &QueueKey, request: WaitingRequest) {
        let change_sequence = self.sequence + 1;
        let queue = self.queues.get_or_insert_with(key.clone(), RequestQueue::default);
        let position = queue.requests.partition_point(|held| held.number < request.number);
        queue.requests.insert(position, request);
        queue.change_sequence = change_sequence;
        self.queued += 1;
    }

    /// Removes a request; returns false if it is no longer queued.
    pub fn remove(&mut self, key: &QueueKey, number: u64) -> bool {
        let change_sequence = self.sequence + 1;
        let Some(queue) = self.queues.get_mut(key) else { return false };
        let Ok(position) = queue.requests.binary_search_by_key(&number, |held| held.number) else {
            return false;
        };
        queue.requests.remove(position);
        queue.change_sequence = change_sequence;
        self.queued -= 1;
        true
    }

    /// Empties all queues and returns a [`QueueDecision::Stopping`] for each request.
    pub fn drain_queues(&mut self) -> DecisionList {
        let change_sequence = self.sequence + 1;
        self.queued = 0;
        let mut decisions = Vec::new();
        for queue in self.queues.values_mut() {
            queue.change_sequence = change_sequence;
            let requests = queue.requests.drain(..);
            decisions.extend(requests.map(|held| (held.decision_sender, QueueDecision::Stopping)));
        }
        decisions
    }

    /// Marks a lease as ended; has no effect on a lease that has already ended.
    pub fn end_lease(&mut self, lease: LeaseId, end: LeaseEnd) {
        let change_sequence = self.sequence + 1;
        if let Some(held) = self.leases.get_mut(&lease)
            && held.end.is_none()
        {
            held.end = Some(end);
            held.reported_charge = held.meter.charged();
            held.change_sequence = change_sequence;
        }
    }

    /// True if there are changes that the dispatcher has not acknowledged.
    pub fn is_changed(&self) -> bool {
        self.is_changed_since(self.acknowledged)
    }

    fn is_changed_since(&self, since: u64) -> bool {
        self.full_needed
            || self.queues.values().any(|queue| queue.change_sequence > since)
            || self.leases.values().any(|lease| lease.change_sequence > since)
            || self.notices.change_sequences.values().any(|sequence| *sequence > since)
            || self.parts.is_changed(since)
            || self.limits.is_changed(since)
            || self.origins.is_changed(since)
            || self.lookups.is_changed(since)
            || self.load.is_urgent(since)
    }

    /// True if there are changes that no report on the current channel carries.
    pub fn has_unsent_changes(&self) -> bool {
        self.is_changed_since(self.unsent_since()) || self.has_new_charges()
    }

    /// Time for which unsent changes may be held back after the last report: zero if a request
    /// waits for a slot or others must learn of a change.
    pub fn report_hold(&self) -> Duration {
        let since = self.unsent_since();
        let mut queues = self.queues.values();
        let is_urgent = self.full_needed
            || queues.any(|queue| queue.change_sequence > since && !queue.requests.is_empty())
            || self.notices.change_sequences.values().any(|sequence| *sequence > since)
            || self.parts.is_changed(since)
            || self.limits.is_changed(since)
            || self.lookups.is_changed(since)
            || self.load.is_urgent(since);
        if is_urgent { Duration::ZERO } else { self.hold }
    }

    /// Records that the last report was sent on a channel.
    pub fn record_delivery(&mut self) {
        self.delivered = self.sequence;
    }

    /// Records that the channel has ended. The next report repeats what is not acknowledged.
    pub fn record_channel_end(&mut self, lost_full_report: bool) {
        self.delivered = 0;
        self.report_lost(lost_full_report);
    }

    fn unsent_since(&self) -> u64 {
        self.acknowledged.max(self.delivered)
    }

    /// True if the charge of any lease has changed since it was last reported.
    pub fn has_new_charges(&self) -> bool {
        self.leases.values().any(|lease| lease.meter.charged() != lease.reported_charge)
    }

    /// Builds the next report. A `wait_ms` above 0 makes it a long poll, which
    /// the dispatcher may hold for that many milliseconds.
    pub fn build_report(
        &mut self,
        router: &NodeIdentity,
        zone: &str,
        wait_ms: u32,
    ) -> DispatchReport {
        self.sequence += 1;
        let full = std::mem::take(&mut self.full_needed);
        let (sequence, since) = (self.sequence, self.unsent_since());
        let mut charges = Vec::new();
        let term = self.term;
        for (id, lease) in self.leases.iter_mut() {
            // A long poll only repeats unacknowledged changes. New charges are added to
            // full reports and to those that are answered at once.
            if full || wait_ms == 0 {
                lease.report_charge(*id, term, full, sequence, since, &mut charges);
            }
        }
        let backlog = self.queues.iter().filter(|(_, queue)| {
            if full { !queue.requests.is_empty() } else { queue.change_sequence > since }
        });
        let usage = self.leases.iter().filter(|(_, lease)| full || lease.change_sequence > since);
        DispatchReport {
            router: router.clone(),
            zone: zone.to_owned(),
            term: self.term,
            sequence,
            full,
            backlog: backlog.map(|(key, queue)| queue.entry(key)).collect(),
            usage: usage.map(|(id, lease)| lease.usage(*id)).collect(),
            charges,
            received_grant: self.last_grant,
            wait_ms,
            statements: match full {
                true => self.statements.iter().cloned().collect(),
                false => Vec::new(),
            },
            restrictions: self.notices.restrictions(full, since),
            parts: self.parts.report(self.elapsed(), full, since),
            limits: self.limits.report(full, since),
            origins: OriginReport {
                begun: self.origins.report(self.elapsed(), full, since),
                lookups: self.lookups.keys(),
            },
            load: self.load.report(full, since),
        }
    }

    /// Usage of every lease with its current charge, including ended leases that
    /// are not acknowledged yet.
    pub fn lease_usage(&self) -> impl Iterator<Item = LeaseUsage> {
        self.leases
            .iter()
            .map(|(id, lease)| LeaseUsage { charged: lease.meter.charged(), ..lease.usage(*id) })
    }

    /// Leases that have not ended, each with its route.
    pub fn running_routes(&self) -> impl Iterator<Item = (LeaseId, &UpstreamRoute)> {
        let running = self.leases.iter().filter(|(_, lease)| lease.end.is_none());
        running.map(|(id, lease)| (*id, &lease.route))
    }

    /// Backlog entry of every queue, including empty queues whose last change is
    /// not acknowledged yet.
    pub fn backlog(&self) -> impl Iterator<Item = BacklogEntry> {
        self.queues.iter().map(|(key, queue)| queue.entry(key))
    }

    /// Records the router's own load. Returns true if the dispatcher should learn of it at once.
    pub fn set_load(&mut self, load: RouterLoad) -> bool {
        self.load.set(load, self.sequence + 1)
    }

    /// Applies grants that the router issued to itself in local mode.
    pub fn apply_local_grants(&mut self, grants: Vec<SlotGrant>) -> DecisionList {
        grants.into_iter().filter_map(|grant| self.match_grant(grant)).collect()
    }

    /// Merges ended local-mode leases with the same workspace, target and
    /// upstream, which bounds the memory used during a long dispatcher outage.
    pub fn merge_local_leases(&mut self) {
        let mut merged: Vec<(LeaseId, HeldLease)> = Vec::new();
        let is_ended_local =
            |id: &LeaseId, lease: &HeldLease| id.term == LOCAL_TERM && lease.end.is_some();
        if self.leases.iter().filter(|(id, lease)| is_ended_local(id, lease)).count()
            <= ENDED_LOCAL_LEASES_LIMIT
        {
            return;
        }
        let change_sequence = self.sequence + 1;
        for (id, lease) in std::mem::take(&mut self.leases) {
            let is_mergeable = |held: &&mut (LeaseId, HeldLease)| {
                is_ended_local(&held.0, &held.1)
                    && held.1.key == lease.key
                    && held.1.route == lease.route
            };
            let ended_local = is_ended_local(&id, &lease);
            match merged.iter_mut().find(|held| ended_local && is_mergeable(held)) {
                Some((_, held)) => {
                    held.meter.charge(lease.meter.charged());
                    held.change_sequence = change_sequence;
                }
                None => merged.push((id, lease)),
            }
        }
        self.leases = merged.into_iter().collect();
    }

    /// Records that a report was not answered. If it was a full report, the next
    /// one will be full as well.
    pub fn report_lost(&mut self, full: bool) {
        self.full_needed |= full;
    }

    /// Applies an answer and returns the decisions to send. Returns `None`, and
    /// changes nothing, if the answer is from a lower term than the highest seen.
    pub fn apply_answer(&mut self, answer: DispatchAnswer) -> Option<DecisionList> {
        if answer.term < self.term {
            return None;
        }
        if answer.term > self.term {
            self.term = answer.term;
            self.last_grant = 0;
            self.full_needed = true;
            self.parts.forget_version();
            self.limits.forget_version();
        }
        self.full_needed |= answer.resync;
        self.routers = answer.routers.max(1);
        self.hold = Duration::from_millis(answer.hold_ms.into());
        answer.statements.iter().for_each(|statement| self.statements.record(statement));
        self.acknowledge(answer.acknowledged);
        answer.origins.iter().for_each(|origin| self.lookups.resolve(origin));
        if let Some(list) = &answer.limits {
            self.limits.apply_list(self.elapsed(), list);
        }
        let mut decisions = Vec::new();
        for grant in answer.grants {
            if grant.lease.term == self.term && grant.lease.number > self.last_grant {
                self.last_grant = grant.lease.number;
                decisions.extend(self.match_grant(grant));
            }
        }
        for refusal in &answer.refusals {
            self.refuse(refusal, &mut decisions);
        }
        Some(decisions)
    }

    fn acknowledge(&mut self, sequence: u64) {
        self.acknowledged = self.acknowledged.max(sequence.min(self.sequence));
        let since = self.acknowledged;
        self.leases.retain(|_, lease| lease.end.is_none() || lease.change_sequence > since);
        self.queues.retain(|_, queue| !queue.requests.is_empty() || queue.change_sequence > since);
        self.parts.acknowledge(since);
        self.limits.acknowledge(since);
        self.origins.acknowledge(since);
    }

    /// Matches a grant to the first queued request that may use its upstream. An
    /// unmatched grant is recorded as an unused lease, which the next report returns.
    fn match_grant(
        &mut self,
        grant: SlotGrant,
    ) -> Option<(oneshot::Sender<QueueDecision>, QueueDecision)> {
        let key = (grant.target, grant.workspace);
        let meter = Arc::new(LeaseMeter::start());
        let slot = GrantedSlot {
            lease: grant.lease,
            route: grant.upstream.clone(),
            meter: Arc::clone(&meter),
        };
        // The grant may have been on its way when the upstream stated that it is leaving.
        let request = match self.permits(&grant.upstream.name, grant.upstream.incarnation) {
            true => self.pop_eligible(&key, &grant.upstream.name),
            false => None,
        };
        let end = request.is_none().then_some(LeaseEnd::Unused);
        // The dispatcher that granted the lease knows it already, so there is no
        // change to report yet.
        let already_known = grant.lease.term == self.term && end.is_none();
        let change_sequence = if already_known { 0 } else { self.sequence + 1 };
        let route = grant.upstream;
        let held = HeldLease {
            key,
            route,
            meter,
            reported_charge: 0,
            first_token_reported: false,
            end,
            change_sequence,
        };
        self.leases.insert(grant.lease, held);
        request.map(|request| (request.decision_sender, QueueDecision::Granted(slot)))
    }

    fn pop_eligible(&mut self, key: &QueueKey, upstream: &str) -> Option<WaitingRequest> {
        let change_sequence = self.sequence + 1;
        let queue = self.queues.get_mut(key)?;
        let position = queue.requests.iter().position(|request| {
            request.avoid.as_deref() != Some(upstream) && !request.decision_sender.is_closed()
        })?;
        queue.change_sequence = change_sequence;
        self.queued -= 1;
        queue.requests.remove(position)
    }

    fn refuse(&mut self, refusal: &BacklogRefusal, decisions: &mut DecisionList) {
        let change_sequence = self.sequence + 1;
        let key = (refusal.target.clone(), refusal.workspace.clone());
        let Some(queue) = self.queues.get_mut(&key) else { return };
        let keep = usize::try_from(refusal.keep).unwrap_or(usize::MAX);
        let wait = Duration::from_millis(refusal.retry_after_ms.into());
        // Refuses the newest requests, so that those waiting longest stay queued.
        while queue.requests.len() > keep {
            let Some(request) = queue.requests.pop_back() else { break };
            queue.change_sequence = change_sequence;
            self.queued -= 1;
            decisions.push((request.decision_sender, QueueDecision::Refused(wait)));
        }
    }
}

impl RequestQueue {
    fn entry(&self, (target, workspace): &QueueKey) -> BacklogEntry {
        let first = self.requests.front();
        BacklogEntry {
            target: target.clone(),
            workspace: workspace.clone(),
            queued: u32::try_from(self.requests.len()).unwrap_or(u32::MAX),
            cost_hint: first.map_or(0, |request| request.cost_hint),
            prefix: first.and_then(|request| request.prefix),
            avoid: first.and_then(|request| request.avoid.clone()),
            prompts: match first.and_then(|request| request.prompt) {
                Some(_) => {
                    let prompts = self.requests.iter().take(MAX_PROMPTS_PER_ENTRY);
                    prompts.map(|request| request.prompt.unwrap_or_default()).collect()
                }
                None => Vec::new(),
            },
        }
    }
}

impl HeldLease {
    /// Adds the current charge of the lease to a report. The dispatcher that
    /// granted the lease needs only its number and charge; such a short entry is
    /// not repeated if it is lost, because the next one carries the total again.
    fn report_charge(
        &mut self,
        id: LeaseId,
        term: u64,
        full: bool,
        sequence: u64,
        since: u64,
        charges: &mut Vec<(u64, CostUnits)>,
    ) {
        let charged = self.meter.charged();
        if charged == self.reported_charge {
            return;
        }
        self.reported_charge = charged;
        let first_token = self.meter.first_token_ms().is_some();
        let short_entry =
            id.term == term && self.end.is_none() && self.first_token_reported == first_token;
        self.first_token_reported = first_token;
        if short_entry && !full {
            if self.change_sequence <= since {
                charges.push((id.number, charged));
            }
        } else {
            self.change_sequence = sequence;
        }
    }

    fn usage(&self, lease: LeaseId) -> LeaseUsage {
        LeaseUsage {
            lease,
            upstream: self.route.name.clone(),
            incarnation: self.route.incarnation,
            target: self.key.0.clone(),
            workspace: self.key.1.clone(),
            charged: self.reported_charge,
            first_token_ms: self.meter.first_token_ms(),
            end: self.end,
        }
    }
}
