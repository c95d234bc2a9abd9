//! Queue of the waiting requests of one workspace for one target, over all
//! routers.
//!
//! Requests whose answers can still be in time go before late ones: those of callers
//! who were refused so long ago that their answer is late however fast it is. Without
//! that order, a shortage that lasts makes every answer late, since those refused
//! before it take the slots of those who arrive during it.

use crate::dispatch_messages::{BacklogEntry, CostUnits, PromptSummary};
use crate::sorted_map::SortedMap;
use std::collections::VecDeque;

/// Maximum queue length that one router can report; larger values are capped so that sums
/// cannot overflow.
const MAX_REPORTED_QUEUE_LENGTH: u32 = 1_000_000;

/// Number of runs from which new arrivals at the router of the last run are added to that run.
/// Without the limit, a long queue whose requests arrive one by one would need one run per
/// request. All requests of a run share one arrival number. If runs were merged sooner, a queue
/// that is constantly refilled would always seem older than the other queues of its workspace.
const RUN_MERGE_THRESHOLD: usize = 256;

/// Part of the queue that one router holds, from its reports.
#[derive(Clone, Debug, Default)]
struct RouterBacklog {
    /// Queue length in the last report that listed the queue.
    reported: u32,
    /// Number of grants that the router has not received yet.
    unreceived: u32,
    /// Number of requests that wait without a grant.
    waiting: u32,
    /// Number of late requests in the last report.
    reported_late: u32,
    /// Number of late requests among `waiting`. They are the last ones in the router's queue.
    late: u32,
    cost_hint: CostUnits,
    prefix: Option<u64>,
    avoid: Option<String>,
    prompts: VecDeque<PromptSummary>,
}

/// Consecutive requests of one router that share an arrival number.
#[derive(Clone, Copy, Debug)]
struct ArrivalRun {
    router: usize,
    count: u32,
    /// Arrival number, comparable over all queues of the dispatcher.
    order: u64,
}

/// A request that [`BacklogQueue::take_next`] takes from the queue for a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NextRequest {
    /// Index of the router that holds the request.
    pub router: usize,
    /// Cost that the router estimates; zero if it has no estimate.
    pub cost_hint: CostUnits,
    /// Hash of the prompt prefix, if known.
    pub prefix: Option<u64>,
    /// Upstream on which the request has failed.
    pub avoid: Option<String>,
    /// What the router reported about the prompt.
    pub prompt: Option<PromptSummary>,
}

/// Queue of one workspace and target, ordered by arrival at the dispatcher, with the late
/// requests of all routers behind the others.
///
/// ```
/// use baobabfall_core::backlog_queue::BacklogQueue;
/// let mut queue = BacklogQueue::default();
/// queue.report(4, 2, None, 1);
/// queue.report(9, 1, None, 2);
/// assert_eq!(queue.take_next().unwrap().router, 4);
/// assert_eq!(queue.waiting(), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct BacklogQueue {
    routers: SortedMap<usize, RouterBacklog>,
    timely: ArrivalRuns,
    late: ArrivalRuns,
    waiting: u32,
}

/// Runs of the requests of one urgency, the oldest first.
#[derive(Clone, Debug, Default)]
struct ArrivalRuns(VecDeque<ArrivalRun>);

impl ArrivalRuns {
    /// Sets the number of requests of a router from `previous` to `count`.
    fn update(&mut self, router: usize, previous: u32, count: u32, order: u64) {
        if count > previous {
            self.push(router, count - previous, order);
        } else if count < previous {
            self.shorten(router, previous - count);
        }
    }

    fn push(&mut self, router: usize, count: u32, order: u64) {
        let full = self.0.len() >= RUN_MERGE_THRESHOLD;
        match self.0.back_mut() {
            Some(run) if run.router == router && (run.order == order || full) => run.count += count,
            _ => self.0.push_back(ArrivalRun { router, count, order }),
        }
    }

    /// Removes `count` requests of a router that left without a grant, from its
    /// oldest runs.
    fn shorten(&mut self, router: usize, mut count: u32) {
        for run in self.0.iter_mut().filter(|run| run.router == router) {
            let taken = run.count.min(count);
            run.count -= taken;
            count -= taken;
        }
        self.0.retain(|run| run.count > 0);
    }

    /// Removes the oldest request and returns its router.
    fn take_first(&mut self) -> Option<usize> {
        let run = self.0.front_mut()?;
        let router = run.router;
        run.count -= 1;
        if run.count == 0 {
            self.0.pop_front();
        }
        Some(router)
    }
}

impl BacklogQueue {
    /// Returns the number of requests that wait without a grant.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns the number of requests of one router that wait without a grant.
    pub fn waiting_at(&self, router: usize) -> u32 {
        self.routers.get(&router).map_or(0, |backlog| backlog.waiting)
    }

    /// Returns true if a router has waiting requests or grants that it has not
    /// received.
    pub fn has_router(&self, router: usize) -> bool {
        self.routers.contains_key(&router)
    }

    /// Returns the indices of the routers that have a part of the queue.
    pub fn routers(&self) -> impl Iterator<Item = usize> {
        self.routers.keys().copied()
    }

    /// Returns the arrival number of the first request, or `None` if no request
    /// waits.
    pub fn first_arrival(&self) -> Option<u64> {
        self.first_run().map(|run| run.order)
    }

    /// Returns the router of the first request, or `None` if no request waits.
    pub fn first_router(&self) -> Option<usize> {
        self.first_run().map(|run| run.router)
    }

    fn first_run(&self) -> Option<&ArrivalRun> {
        self.timely.0.front().or_else(|| self.late.0.front())
    }

    /// Applies the queue length that a router reported and, if given, the rest of
    /// its entry. New requests get the arrival number `order`, which must not decrease
    /// from call to call.
    pub fn report(&mut self, router: usize, queued: u32, entry: Option<&BacklogEntry>, order: u64) {
        let backlog = self.routers.get_or_insert_with(router, RouterBacklog::default);
        backlog.reported = queued.min(MAX_REPORTED_QUEUE_LENGTH);
        if let Some(entry) = entry {
            backlog.reported_late = entry.late;
            backlog.cost_hint = entry.cost_hint;
            backlog.prefix = entry.prefix;
            backlog.avoid.clone_from(&entry.avoid);
            // The router will use grants that it has not received yet for its first requests.
            let granted = usize::try_from(backlog.unreceived).unwrap_or(usize::MAX);
            backlog.prompts = entry.prompts.iter().skip(granted).copied().collect();
        }
        self.update_runs(router, order);
    }

    /// Records that the router has received a grant or that the grant was
    /// withdrawn.
    pub fn acknowledge(&mut self, router: usize, order: u64) {
        if let Some(backlog) = self.routers.get_mut(&router) {
            backlog.unreceived = backlog.unreceived.saturating_sub(1);
            self.update_runs(router, order);
        }
    }

    /// Removes a router and its waiting requests.
    pub fn remove_router(&mut self, router: usize) {
        if let Some(backlog) = self.routers.remove(&router) {
            self.waiting -= backlog.waiting;
            self.timely.0.retain(|run| run.router != router);
            self.late.0.retain(|run| run.router != router);
        }
    }

    /// Removes the request that arrived first, late ones last, and counts an unreceived
    /// grant for its router. Returns `None` if no request waits.
    pub fn take_next(&mut self) -> Option<NextRequest> {
        let (router, late) = match self.timely.take_first() {
            Some(router) => (router, 0),
            None => (self.late.take_first()?, 1),
        };
        self.waiting -= 1;
        let backlog = self.routers.get_mut(&router).expect("a run belongs to a known router");
        backlog.waiting -= 1;
        backlog.late -= late;
        backlog.unreceived += 1;
        let (prefix, avoid) = (backlog.prefix.take(), backlog.avoid.take());
        let prompt = backlog.prompts.pop_front();
        let cost_hint = prompt.map_or(backlog.cost_hint, |prompt| prompt.cost);
        let prefix = prompt.map_or(prefix, |prompt| prompt.prefix);
        Some(NextRequest { router, cost_hint, prefix, avoid, prompt })
    }

    /// Updates the runs of a router to match its reported queue length and its
    /// unreceived grants.
    fn update_runs(&mut self, router: usize, order: u64) {
        let Some(backlog) = self.routers.get_mut(&router) else { return };
        let waiting = backlog.reported.saturating_sub(backlog.unreceived);
        // The router uses grants that it has not received yet for its first requests.
        let late = backlog.reported_late.min(waiting);
        let previous = std::mem::replace(&mut backlog.waiting, waiting);
        let previous_late = std::mem::replace(&mut backlog.late, late);
        if backlog.reported == 0 && backlog.unreceived == 0 {
            self.routers.remove(&router);
        }
        self.waiting = self.waiting - previous + waiting;
        self.timely.update(router, previous - previous_late, waiting - late, order);
        self.late.update(router, previous_late, late, order);
    }
}
