//! Runs the slot dispatcher on the leader: applies the routers' reports and answers with grants.

use crate::replica_driver::ReplicaHandle;
use baobabfall_core::dispatch_load::DispatchLoad;
use baobabfall_core::dispatch_messages::{
    DispatchAnswer, DispatchReport, NodeIdentity, UNITS_PER_TOKEN,
};
use baobabfall_core::dispatch_neighbours::HandoverLoad;
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::slot_dispatcher::SlotDispatcher;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_node::units::millis;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Longest time for which the answer to a report is held back until there is a grant.
pub const REPORT_WAIT_LIMIT: Duration = Duration::from_millis(200);
/// Most routers that may report to one controller; reports of further routers are refused.
pub const ROUTER_LIMIT: usize = 4096;
/// Workspaces of which the leader logs what they were granted, in each second in which requests wait.
const LOGGED_SHARES: usize = 12;

/// Number of low bits in a dispatch term that count the dispatchers started within one log term.
/// A leader loses and regains its quorum at most a few times per second, so the 65,536 numbers
/// last for hours without an election.
const GENERATION_BITS: u32 = 16;

/// Shared access to the dispatcher, which exists only while this controller leads.
#[derive(Clone, Debug)]
pub struct DispatchService {
    start: Instant,
    replica: ReplicaHandle,
    inner: Arc<Mutex<DispatchInner>>,
    /// Notified when a report was submitted that the next turn dispatches.
    submitted: Arc<Notify>,
}

#[derive(Debug, Default)]
struct DispatchInner {
    dispatcher: Option<SlotDispatcher>,
    /// Held exchanges by router.
    wakers: SortedMap<String, Arc<Notify>>,
    /// Open channels by router.
    seats: SortedMap<String, ChannelSeat>,
    last_seat: u64,
    /// Channels whose reports the next turn dispatches and answers.
    replies: Vec<Arc<Notify>>,
    incarnations: SortedMap<String, u64>,
    new_routers: Vec<NodeIdentity>,
    /// Term of the latest dispatcher. It never decreases.
    dispatch_term: u64,
    /// Reports since the last reading of the load.
    reports: u64,
    /// Longest delay of the event loop since then.
    longest_delay: Duration,
}

/// Place of one channel at the dispatcher. A later channel of the same router displaces it.
#[derive(Clone, Debug)]
pub struct ChannelSeat {
    router: NodeIdentity,
    number: u64,
    waker: Arc<Notify>,
}

impl ChannelSeat {
    /// Waits until there is something to send to the router.
    pub async fn woken(&self) {
        self.waker.notified().await;
    }
}

impl DispatchService {
    /// Creates a service without a dispatcher. The dispatcher's clock counts from `start`.
    pub fn new(start: Instant, replica: ReplicaHandle) -> Self {
        Self { start, replica, inner: Arc::default(), submitted: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, DispatchInner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Current time of the dispatcher's monotonic clock.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// True while a dispatcher that was started in this log term is running.
    pub fn has_dispatcher_for(&self, term: u64) -> bool {
        self.lock().has_dispatcher_for(term)
    }

    /// Starts a dispatcher for a log term in which this controller leads. Does nothing if one is
    /// already running for that term.
    ///
    /// Each dispatcher has its own dispatch term, made of the log term and a counter, so that it
    /// ignores reports to an earlier one and routers refuse grants of that.
    ///
    /// `expected` names the routers whose full reports end the recovery of the dispatcher.
    pub fn lead(&self, term: u64, expected: &[String]) {
        let mut inner = self.lock();
        if inner.has_dispatcher_for(term) {
            return;
        }
        inner.dispatch_term = (inner.dispatch_term + 1).max(term << GENERATION_BITS);
        let dispatch_term = inner.dispatch_term;
        let mut dispatcher =
            SlotDispatcher::new(self.now(), dispatch_term, DispatchSettings::default());
        if !expected.is_empty() {
            dispatcher.expect_routers(expected.iter().map(String::as_str));
        }
        inner.dispatcher = Some(dispatcher);
        inner.incarnations.clear();
        log::info!(event = "dispatcher_started", term = term, dispatch_term = dispatch_term, routers = expected.len(); "dispatcher started");
    }

    /// Stops the dispatcher and wakes all held reports. Routers that know a later dispatch term
    /// reject the grants of this one.
    pub fn resign(&self) {
        let mut inner = self.lock();
        if let Some(dispatcher) = inner.dispatcher.take() {
            log::info!(event = "dispatcher_ended", dispatch_term = dispatcher.term(); "dispatcher ended");
        }
        for waker in inner.wakers.values() {
            waker.notify_waiters();
        }
        for seat in inner.seats.values() {
            seat.waker.notify_one();
        }
    }

    /// Dispatches the reports of channels in turns: all reports that have arrived are applied
    /// before slots are granted and answers are sent. Runs until the task is dropped.
    pub async fn run_turns(&self) {
        loop {
            self.submitted.notified().await;
            self.grant_slots(&mut self.lock());
        }
    }

    /// Makes the grants that are possible, and wakes the channels that have something to send. Does
    /// nothing while the lease has lapsed.
    fn grant_slots(&self, inner: &mut DispatchInner) {
        if self.replica.leads() && self.is_of_led_term(inner) {
            inner.grant_slots(self.now());
        }
    }

    /// True if the dispatcher is that of the term which this controller leads. A new term is known
    /// a moment before its dispatcher replaces that of the term before.
    fn is_of_led_term(&self, inner: &DispatchInner) -> bool {
        self.replica.led_term().is_some_and(|term| inner.has_dispatcher_for(term))
    }

    /// Registers the channel on which the router sent its first report, in place of an earlier
    /// channel of the same router.
    pub fn take_seat(&self, report: &DispatchReport) -> Result<ChannelSeat, ErrorKind> {
        let mut inner = self.lock();
        let name = &report.router.name;
        if !inner.seats.contains_key(name) && inner.seats.len() >= ROUTER_LIMIT {
            return Err(ErrorKind::LimitReached);
        }
        inner.last_seat += 1;
        let seat = ChannelSeat {
            router: report.router.clone(),
            number: inner.last_seat,
            waker: Arc::default(),
        };
        if let Some(displaced) = inner.seats.insert(name.clone(), seat.clone()) {
            displaced.waker.notify_one();
        }
        Ok(seat)
    }

    /// Frees the place of a channel that has ended.
    pub fn leave_seat(&self, seat: &ChannelSeat) {
        let mut inner = self.lock();
        if inner.is_seated(seat) {
            inner.seats.remove(&seat.router.name);
        }
    }

    /// Applies a report that arrived on a channel. The next turn makes its grants, and wakes the
    /// channel if the router awaits an answer.
    pub fn submit(&self, seat: &ChannelSeat, report: &DispatchReport) -> Result<(), ErrorKind> {
        self.check_sender(&report.router)?;
        let mut inner = self.lock();
        if !inner.is_seated(seat) || report.router != seat.router {
            return Err(ErrorKind::StaleIncarnation);
        }
        inner.apply(self.now(), report)?;
        if report.awaits_answer() {
            inner.replies.push(Arc::clone(&seat.waker));
        }
        drop(inner);
        self.submitted.notify_one();
        Ok(())
    }

    /// Returns the answer for the router of a channel; `None` while the lease has lapsed, when
    /// neither a grant nor an acknowledgement may be sent.
    pub fn take_answer(&self, seat: &ChannelSeat) -> Result<Option<DispatchAnswer>, ErrorKind> {
        let now = self.now();
        let mut inner = self.lock();
        if !self.is_of_led_term(&inner) {
            return Err(ErrorKind::NotLeader);
        }
        if !self.replica.leads() {
            return Ok(None);
        }
        if !inner.is_seated(seat) {
            return Err(ErrorKind::StaleIncarnation);
        }
        let dispatcher = inner.dispatcher.as_mut().ok_or(ErrorKind::NotLeader)?;
        if !dispatcher.is_current(&seat.router) {
            return Err(ErrorKind::StaleIncarnation);
        }
        let answer = dispatcher.take_answer(now, &seat.router.name);
        // An answer holds a bounded number of grants.
        if dispatcher.needs_answer(&seat.router.name) {
            seat.waker.notify_one();
        }
        Ok(Some(answer))
    }

    /// Applies `change` to the dispatcher, if there is one, and makes all grants that are possible
    /// afterwards.
    pub fn update(&self, change: impl FnOnce(&mut SlotDispatcher, Duration)) {
        let now = self.now();
        let mut inner = self.lock();
        if let Some(dispatcher) = &mut inner.dispatcher {
            change(dispatcher, now);
        }
        self.grant_slots(&mut inner);
    }

    /// Evaluates `view` on the dispatcher; `None` if no dispatcher is running.
    pub fn read<T>(&self, view: impl FnOnce(&SlotDispatcher, Duration) -> T) -> Option<T> {
        let now = self.now();
        self.lock().dispatcher.as_ref().map(|dispatcher| view(dispatcher, now))
    }

    /// Advances the dispatcher's time: reclaims the slots of silent routers and makes grants that
    /// rate limits or slow starts allow by now.
    ///
    /// `delay` says how late the event loop runs; routers hold reports back by it.
    pub fn tick(&self, delay: Duration) {
        self.update(|dispatcher, now| {
            dispatcher.set_pace(now, delay);
            for router in dispatcher.expire(now) {
                log::warn!(event = "router_silent", router = router; "router stopped reporting; reclaiming its slots");
            }
            log_cold_changes(dispatcher);
            for found in dispatcher.quarantine_parts(now) {
                let part = format!("{:016x}", found.part);
                log::warn!(event = "prompt_part_found", part = part, whole_request = found.is_request, crashes = found.crashes; "upstreams crashed on this request, or on requests with this part of a prompt; routers refuse it");
            }
        });
    }

    /// Records how late the event loop ran a due task.
    pub fn record_delay(&self, delay: Duration) {
        let mut inner = self.lock();
        inner.longest_delay = inner.longest_delay.max(delay);
    }

    /// Logs what was granted and returned since the last call, if requests wait for a slot.
    pub fn log_load(&self) {
        let now = self.now();
        let mut inner = self.lock();
        let reports = std::mem::take(&mut inner.reports);
        let delay = std::mem::take(&mut inner.longest_delay);
        let Some(dispatcher) = &mut inner.dispatcher else { return };
        let load = dispatcher.take_load(now);
        log_prefixes(&load);
        log_handover(dispatcher.handover_load(now));
        if load.waiting == 0 && load.unused == 0 {
            return;
        }
        log::info!(
            event = "dispatch_load", reports = reports, waiting = load.waiting,
            granted = load.granted, unused = load.unused,
            most_unused = load.most_unused.count, unused_router = load.most_unused.router,
            running = load.running, slots = load.slots,
            most_running = load.most_running.count, running_router = load.most_running.router,
            prefill = load.prefill, prefill_window = load.prefill_window,
            longest_delay_ms = millis(delay);
            "requests wait for slots"
        );
        for share in dispatcher.take_shares(LOGGED_SHARES) {
            log::info!(
                event = "workspace_share", workspace = share.workspace, pool = share.pool,
                granted = share.granted, granted_tokens = share.cost / UNITS_PER_TOKEN,
                waiting = share.waiting, running = share.running, rejoined = share.rejoined,
                raised_tokens = share.raised / UNITS_PER_TOKEN,
                lead_tokens = share.lead / UNITS_PER_TOKEN;
                "slots granted to a workspace"
            );
        }
    }

    /// Removes and returns the routers that reported with a new incarnation since the last call.
    pub fn take_new_routers(&self) -> Vec<NodeIdentity> {
        std::mem::take(&mut self.lock().new_routers)
    }

    /// Applies a report and returns the router's grants. If there are none, waits for some as long
    /// as the report asks for, up to [`REPORT_WAIT_LIMIT`].
    pub async fn report(&self, report: &DispatchReport) -> Result<DispatchAnswer, ErrorKind> {
        let waker = self.apply(report)?;
        let wait = Duration::from_millis(report.wait_ms.into()).min(REPORT_WAIT_LIMIT);
        let end = Instant::now() + wait;
        loop {
            let woken = waker.notified();
            tokio::pin!(woken);
            woken.as_mut().enable();
            if !self.replica.leads() {
                return Err(ErrorKind::NotLeader);
            }
            let answer = {
                let now = self.now();
                let mut inner = self.lock();
                let dispatcher = inner.dispatcher.as_mut().ok_or(ErrorKind::NotLeader)?;
                // If the router restarted during the wait, this poll of the old process must not
                // receive the grants of the new one.
                if !dispatcher.is_current(&report.router) {
                    return Err(ErrorKind::StaleIncarnation);
                }
                dispatcher.take_answer(now, &report.router.name)
            };
            let has_content = answer.resync
                || answer.parts.is_some()
                || answer.limits.is_some()
                || !answer.grants.is_empty()
                || !answer.refusals.is_empty();
            if has_content || Instant::now() >= end {
                return Ok(answer);
            }
            // The loop checks the leader lease again after the wait, so that a leader that was
            // partitioned from the group meanwhile makes no grants.
            let _ = tokio::time::timeout_at(end, woken).await;
        }
    }

    fn apply(&self, report: &DispatchReport) -> Result<Arc<Notify>, ErrorKind> {
        self.check_sender(&report.router)?;
        let now = self.now();
        let mut inner = self.lock();
        let is_known = inner.wakers.contains_key(&report.router.name);
        if !is_known && inner.wakers.len() >= ROUTER_LIMIT {
            return Err(ErrorKind::LimitReached);
        }
        inner.apply(now, report)?;
        let waker = inner.wakers.get_or_insert_with(report.router.name.clone(), Arc::default);
        let waker = Arc::clone(waker);
        self.grant_slots(&mut inner);
        Ok(waker)
    }

    /// Checks that this controller leads its term and that the router was not removed.
    fn check_sender(&self, router: &NodeIdentity) -> Result<(), ErrorKind> {
        if self.replica.led_term().is_none() {
            return Err(ErrorKind::NotLeader);
        }
        match self.replica.state().is_removed(router) {
            true => Err(ErrorKind::StaleIncarnation),
            false => Ok(()),
        }
    }
}

/// Logs how much room crowded routers find, while any has connections that it does not serve.
fn log_handover(load: HandoverLoad) {
    if load.sought == 0 {
        return;
    }
    log::info!(
        event = "handover_room", asking = load.asking, seeking = load.seeking,
        sought = load.sought, takers = load.takers, room = load.room;
        "routers do not serve all connections of their callers themselves"
    );
}

/// Logs where shared prefixes were placed since the last call, and which upstream held most tokens.
fn log_prefixes(load: &DispatchLoad) {
    let DispatchLoad { prefixes, memory, .. } = load;
    if prefixes.read_again() == 0 && prefixes.unknown.requests == 0 {
        return;
    }
    log::info!(
        event = "prefixes_placed", held = prefixes.held.tokens, unknown = prefixes.unknown.tokens,
        slots_full = prefixes.slots_full.tokens, window_full = prefixes.window_full.tokens,
        unusable = prefixes.unusable.tokens, requests_held = prefixes.held.requests,
        requests_unknown = prefixes.unknown.requests, memory_upstream = memory.upstream,
        memory_tokens = memory.tokens, memory_shared = memory.shared,
        memory_running = memory.running;
        "upstreams read shared prefixes of prompts"
    );
}

/// Logs which upstreams became cold or warm since the last call, in one line for all of them.
fn log_cold_changes(dispatcher: &mut SlotDispatcher) {
    let changes = dispatcher.take_cold_changes();
    if changes.is_empty() {
        return;
    }
    let names = |is_cold: bool| {
        let changed = changes.iter().filter(|change| change.left.is_some() == is_cold);
        changed.map(|change| change.upstream.as_str()).collect::<Vec<_>>().join(" ")
    };
    let longest = changes.iter().filter_map(|change| change.left).max().unwrap_or_default();
    log::info!(event = "upstreams_cold", cold = names(true), warm = names(false), longest_ms = millis(longest), count = dispatcher.cold_count(); "upstreams became cold or warm; cold ones get requests at the rate that their service names");
}

impl DispatchInner {
    fn has_dispatcher_for(&self, term: u64) -> bool {
        let current = self.dispatcher.as_ref().map(SlotDispatcher::term);
        current.is_some_and(|current| current >> GENERATION_BITS == term)
    }

    fn record_incarnation(&mut self, router: &NodeIdentity) {
        let latest = self.incarnations.get(&router.name).copied();
        if latest.is_none_or(|incarnation| incarnation < router.incarnation) {
            self.incarnations.insert(router.name.clone(), router.incarnation);
            self.new_routers.push(router.clone());
        }
    }

    fn is_seated(&self, seat: &ChannelSeat) -> bool {
        self.seats.get(&seat.router.name).is_some_and(|held| held.number == seat.number)
    }

    fn apply(&mut self, now: Duration, report: &DispatchReport) -> Result<(), ErrorKind> {
        if self.dispatcher.is_none() {
            return Err(ErrorKind::NotLeader);
        }
        self.reports += 1;
        self.record_incarnation(&report.router);
        if let Some(dispatcher) = &mut self.dispatcher {
            let version = dispatcher.limits().version();
            dispatcher.apply_report(now, report);
            if dispatcher.limits().version() != version {
                let list = dispatcher.limits().list();
                log::info!(event = "upstream_limits_changed", router = report.router.name.as_str(), version = dispatcher.limits().version(), limited = list.len(); "the request rates that upstreams name have changed");
            }
        }
        Ok(())
    }

    fn grant_slots(&mut self, now: Duration) {
        for reply in self.replies.drain(..) {
            reply.notify_one();
        }
        let Some(dispatcher) = &mut self.dispatcher else { return };
        dispatcher.dispatch(now);
        for router in dispatcher.routers_to_wake() {
            if let Some(seat) = self.seats.get(router) {
                seat.waker.notify_one();
            }
            if let Some(waker) = self.wakers.get(router) {
                waker.notify_waiters();
            }
        }
    }
}
