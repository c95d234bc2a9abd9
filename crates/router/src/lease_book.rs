//! Waiting requests and held slot leases of one router.
//!
//! The book decides nothing about fairness: it keeps per (target, workspace)
//! queues in order of arrival, matches grants to them and builds the reports
//! that the dispatcher needs. Every entry remembers the report that first
//! carries its latest change, so a report lists what is not acknowledged yet.

use baobabfall_core::account_statement::{STATEMENT_LIMIT, StatementStore};
use baobabfall_core::dispatch_messages::{
    BacklogEntry, BacklogRefusal, CostUnits, DispatchAnswer, DispatchReport, LeaseEnd, LeaseId,
    LeaseUsage, MAX_PROMPTS_PER_ENTRY, NodeIdentity, PromptSummary, SlotGrant, UpstreamRoute,
};
use baobabfall_core::local_dispatcher::LOCAL_TERM;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::upstream_registry::WorkTarget;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Number of routers before a dispatcher named it: the isolated share is then
/// the least one.
const UNKNOWN_ROUTERS: u32 = u32::MAX;
/// Ended leases of local mode that are kept one by one.
const LOCAL_ENDED_LIMIT: usize = 256;

/// What a request asks for and who asks.
pub type QueueKey = (WorkTarget, String);

/// Running cost of one lease, written by the relay and read by reports.
#[derive(Debug)]
pub struct LeaseMeter {
    granted: Instant,
    charged: AtomicU64,
    first_token_ms: AtomicU32,
}

impl LeaseMeter {
    /// A meter of a slot that is granted now.
    pub fn start() -> Self {
        Self {
            granted: Instant::now(),
            charged: AtomicU64::new(0),
            first_token_ms: AtomicU32::new(0),
        }
    }

    /// Raises the charge by `units`.
    pub fn charge(&self, units: CostUnits) {
        self.charged.fetch_add(units, Ordering::Relaxed);
    }

    /// Raises the charge to `units` if it is lower.
    pub fn raise_to(&self, units: CostUnits) {
        self.charged.fetch_max(units, Ordering::Relaxed);
    }

    /// Cost so far.
    pub fn charged(&self) -> CostUnits {
        self.charged.load(Ordering::Relaxed)
    }

    /// Records the first token, which came at `now`.
    ///
    /// The time counts from the grant: the wait in the queue says nothing about
    /// the upstream, and would be taken for overload of it.
    pub fn set_first_token(&self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.granted);
        let millis = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX).max(1);
        self.first_token_ms.store(millis, Ordering::Relaxed);
    }

    fn first_token_ms(&self) -> Option<u32> {
        Some(self.first_token_ms.load(Ordering::Relaxed)).filter(|millis| *millis > 0)
    }
}

/// A grant that was matched to a waiting request.
#[derive(Clone, Debug)]
pub struct GrantedSlot {
    /// Identity of the lease.
    pub lease: LeaseId,
    /// Where the request runs.
    pub route: UpstreamRoute,
    /// Cost so far.
    pub meter: Arc<LeaseMeter>,
}

/// What becomes of a waiting request.
#[derive(Debug)]
pub enum QueueDecision {
    /// It may run.
    Granted(GrantedSlot),
    /// It must be refused; the caller may try again after the time.
    Refused(Duration),
    /// The router stops.
    Stopping,
}

/// A request that enters the queue.
#[derive(Debug)]
pub struct WaitingRequest {
    /// Order of arrival; kept when the request is queued again.
    pub number: u64,
    /// Estimated cost.
    pub cost_hint: CostUnits,
    /// Hash of the prompt prefix.
    pub prefix: Option<u64>,
    /// Upstream of a failed attempt.
    pub avoid: Option<String>,
    /// Where the verdict goes.
    pub decision_sender: oneshot::Sender<QueueDecision>,
    /// What is known of its prompt.
    pub prompt: Option<PromptSummary>,
}

#[derive(Debug, Default)]
struct RequestQueue {
    requests: VecDeque<WaitingRequest>,
    changed_at: u64,
}

#[derive(Debug)]
struct HeldLease {
    key: QueueKey,
    route: UpstreamRoute,
    meter: Arc<LeaseMeter>,
    reported_charge: CostUnits,
    first_token_told: bool,
    end: Option<LeaseEnd>,
    changed_at: u64,
}

/// Verdicts that must be sent once the lock on the book is released.
pub type DecisionList = Vec<(oneshot::Sender<QueueDecision>, QueueDecision)>;

/// Waiting requests and held leases of one router.
#[derive(Debug, Default)]
pub struct LeaseBook {
    queues: SortedMap<QueueKey, RequestQueue>,
    leases: SortedMap<LeaseId, HeldLease>,
    term: u64,
    received: u64,
    sequence: u64,
    acknowledged: u64,
    full_needed: bool,
    next_number: u64,
    routers: u32,
    queued: usize,
    statements: StatementStore,
}

impl LeaseBook {
    /// An empty book whose first report is a full one.
    pub fn new() -> Self {
        let statements = StatementStore::new(STATEMENT_LIMIT);
        Self { full_needed: true, routers: UNKNOWN_ROUTERS, statements, ..Self::default() }
    }

    /// A number for a request that arrives now.
    pub fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Requests of one workspace that wait for one target.
    pub fn queued_for(&self, key: &QueueKey) -> usize {
        self.queues.get(key).map_or(0, |queue| queue.requests.len())
    }

    /// Leases whose use has not ended.
    pub fn running(&self) -> usize {
        self.leases.values().filter(|lease| lease.end.is_none()).count()
    }

    /// Routers known to the dispatcher at its last answer.
    pub fn routers(&self) -> u32 {
        self.routers
    }

    /// Highest dispatch term seen.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Adds a request in the order of its number.
    pub fn enqueue(&mut self, key: &QueueKey, request: WaitingRequest) {
        let changed_at = self.sequence + 1;
        let queue = self.queues.get_or_insert_with(key.clone(), RequestQueue::default);
        let position = queue.requests.partition_point(|held| held.number < request.number);
        queue.requests.insert(position, request);
        queue.changed_at = changed_at;
        self.queued += 1;
    }

    /// Removes a request; false when it had left the queue before.
    pub fn remove(&mut self, key: &QueueKey, number: u64) -> bool {
        let changed_at = self.sequence + 1;
        let Some(queue) = self.queues.get_mut(key) else { return false };
        let Ok(position) = queue.requests.binary_search_by_key(&number, |held| held.number) else {
            return false;
        };
        queue.requests.remove(position);
        queue.changed_at = changed_at;
        self.queued -= 1;
        true
    }

    /// Takes every waiting request out, to be told that the router stops.
    pub fn drain_queues(&mut self) -> DecisionList {
        let changed_at = self.sequence + 1;
        self.queued = 0;
        let mut verdicts = Vec::new();
        for queue in self.queues.values_mut() {
            queue.changed_at = changed_at;
            let requests = queue.requests.drain(..);
            verdicts.extend(requests.map(|held| (held.decision_sender, QueueDecision::Stopping)));
        }
        verdicts
    }

    /// Ends the use of a lease.
    pub fn end_lease(&mut self, lease: LeaseId, end: LeaseEnd) {
        let changed_at = self.sequence + 1;
        if let Some(held) = self.leases.get_mut(&lease)
            && held.end.is_none()
        {
            held.end = Some(end);
            held.reported_charge = held.meter.charged();
            held.changed_at = changed_at;
        }
    }

    /// True when something is not acknowledged yet.
    pub fn is_changed(&self) -> bool {
        let since = self.acknowledged;
        self.full_needed
            || self.queues.values().any(|queue| queue.changed_at > since)
            || self.leases.values().any(|lease| lease.changed_at > since)
    }

    /// True when a running lease has a charge that no report carried.
    pub fn has_new_charges(&self) -> bool {
        self.leases.values().any(|lease| lease.meter.charged() != lease.reported_charge)
    }

    /// Builds the next report.
    pub fn build_report(
        &mut self,
        router: &NodeIdentity,
        zone: &str,
        wait_ms: u32,
    ) -> DispatchReport {
        self.sequence += 1;
        let full = std::mem::take(&mut self.full_needed);
        let (sequence, since) = (self.sequence, self.acknowledged);
        let mut charges = Vec::new();
        let term = self.term;
        for (id, lease) in self.leases.iter_mut() {
            // A long poll repeats what is not acknowledged; new charges go with the changes.
            if full || wait_ms == 0 {
                lease.note_charge(*id, term, full, sequence, since, &mut charges);
            }
        }
        let backlog = self.queues.iter().filter(|(_, queue)| {
            if full { !queue.requests.is_empty() } else { queue.changed_at > since }
        });
        let usage = self.leases.iter().filter(|(_, lease)| full || lease.changed_at > since);
        DispatchReport {
            router: router.clone(),
            zone: zone.to_owned(),
            term: self.term,
            sequence,
            full,
            backlog: backlog.map(|(key, queue)| queue.entry(key)).collect(),
            usage: usage.map(|(id, lease)| lease.usage(*id)).collect(),
            charges,
            received_grant: self.received,
            wait_ms,
            statements: match full {
                true => self.statements.iter().cloned().collect(),
                false => Vec::new(),
            },
        }
    }

    /// Use of every lease, ended ones included.
    pub fn lease_usage(&self) -> impl Iterator<Item = LeaseUsage> {
        self.leases
            .iter()
            .map(|(id, lease)| LeaseUsage { charged: lease.meter.charged(), ..lease.usage(*id) })
    }

    /// Leases whose use has not ended, with the route of each.
    pub fn running_routes(&self) -> impl Iterator<Item = (LeaseId, &UpstreamRoute)> {
        let running = self.leases.iter().filter(|(_, lease)| lease.end.is_none());
        running.map(|(id, lease)| (*id, &lease.route))
    }

    /// Length of every queue.
    pub fn backlog(&self) -> impl Iterator<Item = BacklogEntry> {
        self.queues.iter().map(|(key, queue)| queue.entry(key))
    }

    /// Takes grants that the router gave itself in local mode.
    pub fn apply_local_grants(&mut self, grants: Vec<SlotGrant>) -> DecisionList {
        grants.into_iter().filter_map(|grant| self.take_grant(grant)).collect()
    }

    /// Adds up ended leases of local mode per workspace, target and upstream,
    /// so a long loss of the dispatcher takes bounded memory.
    pub fn merge_local_leases(&mut self) {
        let mut merged: Vec<(LeaseId, HeldLease)> = Vec::new();
        let local = |id: &LeaseId, lease: &HeldLease| id.term == LOCAL_TERM && lease.end.is_some();
        if self.leases.iter().filter(|(id, lease)| local(id, lease)).count() <= LOCAL_ENDED_LIMIT {
            return;
        }
        let changed_at = self.sequence + 1;
        for (id, lease) in std::mem::take(&mut self.leases) {
            let same = |held: &&mut (LeaseId, HeldLease)| {
                local(&held.0, &held.1) && held.1.key == lease.key && held.1.route == lease.route
            };
            let ended = local(&id, &lease);
            match merged.iter_mut().find(|held| ended && same(held)) {
                Some((_, held)) => {
                    held.meter.charge(lease.meter.charged());
                    held.changed_at = changed_at;
                }
                None => merged.push((id, lease)),
            }
        }
        self.leases = merged.into_iter().collect();
    }

    /// Notes that a report got no answer.
    pub fn report_lost(&mut self, full: bool) {
        self.full_needed |= full;
    }

    /// Applies an answer; returns the verdicts to send, or `None` when the
    /// answer comes from an older term than one seen before.
    pub fn apply_answer(&mut self, answer: DispatchAnswer) -> Option<DecisionList> {
        if answer.term < self.term {
            return None;
        }
        if answer.term > self.term {
            self.term = answer.term;
            self.received = 0;
            self.full_needed = true;
        }
        self.full_needed |= answer.resync;
        self.routers = answer.routers.max(1);
        answer.statements.iter().for_each(|statement| self.statements.record(statement));
        self.acknowledge(answer.acknowledged);
        let mut verdicts = Vec::new();
        for grant in answer.grants {
            if grant.lease.term == self.term && grant.lease.number > self.received {
                self.received = grant.lease.number;
                verdicts.extend(self.take_grant(grant));
            }
        }
        for refusal in &answer.refusals {
            self.refuse(refusal, &mut verdicts);
        }
        Some(verdicts)
    }

    fn acknowledge(&mut self, sequence: u64) {
        self.acknowledged = self.acknowledged.max(sequence.min(self.sequence));
        let since = self.acknowledged;
        self.leases.retain(|_, lease| lease.end.is_none() || lease.changed_at > since);
        self.queues.retain(|_, queue| !queue.requests.is_empty() || queue.changed_at > since);
    }

    /// Matches a grant to the first request that may use its upstream. The
    /// lease of an unmatched grant is returned with the next report.
    fn take_grant(
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
        let request = self.pop_for(&key, &grant.upstream.name);
        let end = request.is_none().then_some(LeaseEnd::Unused);
        // The dispatcher knows the leases that it granted.
        let known = grant.lease.term == self.term && end.is_none();
        let changed_at = if known { 0 } else { self.sequence + 1 };
        let route = grant.upstream;
        let held = HeldLease {
            key,
            route,
            meter,
            reported_charge: 0,
            first_token_told: false,
            end,
            changed_at,
        };
        self.leases.insert(grant.lease, held);
        request.map(|request| (request.decision_sender, QueueDecision::Granted(slot)))
    }

    fn pop_for(&mut self, key: &QueueKey, upstream: &str) -> Option<WaitingRequest> {
        let changed_at = self.sequence + 1;
        let queue = self.queues.get_mut(key)?;
        let position = queue.requests.iter().position(|request| {
            request.avoid.as_deref() != Some(upstream) && !request.decision_sender.is_closed()
        })?;
        queue.changed_at = changed_at;
        self.queued -= 1;
        queue.requests.remove(position)
    }

    fn refuse(&mut self, refusal: &BacklogRefusal, verdicts: &mut DecisionList) {
        let changed_at = self.sequence + 1;
        let key = (refusal.target.clone(), refusal.workspace.clone());
        let Some(queue) = self.queues.get_mut(&key) else { return };
        let keep = usize::try_from(refusal.keep).unwrap_or(usize::MAX);
        let wait = Duration::from_millis(refusal.retry_after_ms.into());
        // The newest requests are refused, so those that waited longest keep their place.
        while queue.requests.len() > keep {
            let Some(request) = queue.requests.pop_back() else { break };
            queue.changed_at = changed_at;
            self.queued -= 1;
            verdicts.push((request.decision_sender, QueueDecision::Refused(wait)));
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
    /// Notes the charge that a report carries. The dispatcher of the lease's
    /// own term needs only the number; a lost charge is repaired by the next.
    fn note_charge(
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
        let brief = id.term == term && self.end.is_none() && self.first_token_told == first_token;
        self.first_token_told = first_token;
        if brief && !full {
            if self.changed_at <= since {
                charges.push((id.number, charged));
            }
        } else {
            self.changed_at = sequence;
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
