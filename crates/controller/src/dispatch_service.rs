//! The dispatcher on the leader: reports in, grants out.

use crate::replica_driver::ReplicaHandle;
use baobabfall_core::dispatch_messages::{DispatchAnswer, DispatchReport, NodeIdentity};
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::slot_dispatcher::SlotDispatcher;
use baobabfall_core::sorted_map::SortedMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Longest time for which an answer is held.
pub const WAIT_LIMIT: Duration = Duration::from_millis(200);
/// Routers that may report; more are refused.
pub const ROUTER_LIMIT: usize = 4096;

/// Low bits of a dispatch term that number the dispatchers of one term of the
/// log. A leader loses and finds its quorum a few times a second at most, so
/// 65,536 dispatchers last for hours without an election.
const GENERATION_BITS: u32 = 16;

/// Shared dispatcher; present only while this controller leads.
#[derive(Clone, Debug)]
pub struct DispatchService {
    start: Instant,
    replica: ReplicaHandle,
    inner: Arc<Mutex<DispatchInner>>,
}

#[derive(Debug, Default)]
struct DispatchInner {
    dispatcher: Option<SlotDispatcher>,
    wakers: SortedMap<String, Arc<Notify>>,
    seen: SortedMap<String, u64>,
    news: Vec<NodeIdentity>,
    /// Term of the latest dispatcher, which only grows.
    dispatch_term: u64,
}

impl DispatchService {
    /// A service without a dispatcher.
    pub fn new(start: Instant, replica: ReplicaHandle) -> Self {
        Self { start, replica, inner: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, DispatchInner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The clock of the dispatcher.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// True while a dispatcher runs for this term of the log.
    pub fn leads_in(&self, term: u64) -> bool {
        self.lock().leads_in(term)
    }

    /// Starts a dispatcher for a term of the log in which this controller leads.
    ///
    /// A leader that loses its quorum and finds it again leads twice in one
    /// term. Reports and grants of the first dispatcher must not count at the
    /// second, so each dispatcher has a term of its own: that of the log and a
    /// number within it.
    ///
    /// `expected` names the routers whose full reports end the recovery.
    pub fn lead(&self, term: u64, expected: &[String]) {
        let mut inner = self.lock();
        if inner.leads_in(term) {
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
        inner.seen.clear();
        log::info!(event = "dispatcher_started", term = term, dispatch_term = dispatch_term, routers = expected.len(); "dispatcher started");
    }

    /// Ends the dispatcher; grants of its term are no longer accepted by routers that know a later one.
    pub fn resign(&self) {
        let mut inner = self.lock();
        if let Some(dispatcher) = inner.dispatcher.take() {
            log::info!(event = "dispatcher_ended", dispatch_term = dispatcher.term(); "dispatcher ended");
        }
        for waker in inner.wakers.values() {
            waker.notify_waiters();
        }
    }

    /// Runs `change` on the dispatcher, then grants what became possible.
    pub fn update(&self, change: impl FnOnce(&mut SlotDispatcher, Duration)) {
        let now = self.now();
        let mut inner = self.lock();
        if let Some(dispatcher) = &mut inner.dispatcher {
            change(dispatcher, now);
        }
        inner.grant(now);
    }

    /// Reads from the dispatcher, when there is one.
    pub fn read<T>(&self, view: impl FnOnce(&SlotDispatcher, Duration) -> T) -> Option<T> {
        let now = self.now();
        self.lock().dispatcher.as_ref().map(|dispatcher| view(dispatcher, now))
    }

    /// Applies what comes with time: silent routers, limits, slow starts.
    pub fn tick(&self) {
        self.update(|dispatcher, now| {
            for router in dispatcher.expire(now) {
                log::warn!(event = "router_silent", router = router; "router silent: its slots are reclaimed");
            }
        });
    }

    /// Routers whose incarnation was first seen since the last call.
    pub fn take_news(&self) -> Vec<NodeIdentity> {
        std::mem::take(&mut self.lock().news)
    }

    /// Applies a report and answers with grants, after waiting for some if asked.
    pub async fn report(&self, report: &DispatchReport) -> Result<DispatchAnswer, ErrorKind> {
        let waker = self.apply(report)?;
        let wait = Duration::from_millis(report.wait_ms.into()).min(WAIT_LIMIT);
        let end = Instant::now() + wait;
        loop {
            let woken = waker.notified();
            tokio::pin!(woken);
            woken.as_mut().enable();
            if !self.replica.view().leads {
                return Err(ErrorKind::NotLeader);
            }
            let answer = {
                let now = self.now();
                let mut inner = self.lock();
                let dispatcher = inner.dispatcher.as_mut().ok_or(ErrorKind::NotLeader)?;
                // A poll of a router that restarted meanwhile must not take the grants of its
                // successor.
                if !dispatcher.is_current(&report.router) {
                    return Err(ErrorKind::StaleIncarnation);
                }
                dispatcher.take_answer(now, &report.router.name)
            };
            let news = answer.resync || !answer.grants.is_empty() || !answer.refusals.is_empty();
            if news || Instant::now() >= end {
                return Ok(answer);
            }
            // The lease is checked again after the wait, so that a leader that was cut off
            // meanwhile hands out nothing.
            let _ = tokio::time::timeout_at(end, woken).await;
        }
    }

    fn apply(&self, report: &DispatchReport) -> Result<Arc<Notify>, ErrorKind> {
        if !self.replica.view().leads {
            return Err(ErrorKind::NotLeader);
        }
        if self.replica.state().is_removed(&report.router) {
            return Err(ErrorKind::StaleIncarnation);
        }
        let now = self.now();
        let mut inner = self.lock();
        if inner.dispatcher.is_none() {
            return Err(ErrorKind::NotLeader);
        }
        let known = inner.wakers.contains_key(&report.router.name);
        if !known && inner.wakers.len() >= ROUTER_LIMIT {
            return Err(ErrorKind::LimitReached);
        }
        inner.note_incarnation(&report.router);
        if let Some(dispatcher) = &mut inner.dispatcher {
            dispatcher.apply_report(now, report);
        }
        let waker = inner.wakers.get_or_insert_with(report.router.name.clone(), Arc::default);
        let waker = Arc::clone(waker);
        inner.grant(now);
        Ok(waker)
    }
}

impl DispatchInner {
    fn leads_in(&self, term: u64) -> bool {
        let held = self.dispatcher.as_ref().map(SlotDispatcher::term);
        held.is_some_and(|held| held >> GENERATION_BITS == term)
    }

    fn note_incarnation(&mut self, router: &NodeIdentity) {
        let seen = self.seen.get(&router.name).copied();
        if seen.is_none_or(|incarnation| incarnation < router.incarnation) {
            self.seen.insert(router.name.clone(), router.incarnation);
            self.news.push(router.clone());
        }
    }

    fn grant(&mut self, now: Duration) {
        let Some(dispatcher) = &mut self.dispatcher else { return };
        dispatcher.dispatch(now);
        for router in dispatcher.routers_to_wake() {
            if let Some(waker) = self.wakers.get(router) {
                waker.notify_waiters();
            }
        }
    }
}
