//! Queue of the waiting requests of one workspace for one target, over all
//! routers.

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

/// Queue of one workspace and target, ordered by arrival at the dispatcher.
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
    runs: VecDeque<ArrivalRun>,
    waiting: u32,
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
        self.runs.front().map(|run| run.order)
    }

    /// Returns the router of the first request, or `None` if no request waits.
    pub fn first_router(&self) -> Option<usize> {
        self.runs.front().map(|run| run.router)
    }

    /// Applies the queue length that a router reported and, if given, the rest of
    /// its entry. New requests get the arrival number `order`, which must not decrease
    /// from call to call.
    pub fn report(&mut self, router: usize, queued: u32, entry: Option<&BacklogEntry>, order: u64) {
        let backlog = self.routers.get_or_insert_with(router, RouterBacklog::default);
        backlog.reported = queued.min(MAX_REPORTED_QUEUE_LENGTH);
        if let Some(entry) = entry {
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
            self.runs.retain(|run| run.router != router);
        }
    }

    /// Removes the request that arrived first and counts an unreceived grant for
    /// its router. Returns `None` if no request waits.
    pub fn take_next(&mut self) -> Option<NextRequest> {
        let run = self.runs.front_mut()?;
        let router = run.router;
        run.count -= 1;
        if run.count == 0 {
            self.runs.pop_front();
        }
        self.waiting -= 1;
        let backlog = self.routers.get_mut(&router).expect("a run belongs to a known router");
        backlog.waiting -= 1;
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
        let previous = std::mem::replace(&mut backlog.waiting, waiting);
        if backlog.reported == 0 && backlog.unreceived == 0 {
            self.routers.remove(&router);
        }
        self.waiting = self.waiting - previous + waiting;
        if waiting > previous {
            self.push_run(router, waiting - previous, order);
        } else if waiting < previous {
            self.shorten_runs(router, previous - waiting);
        }
    }

    fn push_run(&mut self, router: usize, count: u32, order: u64) {
        let full = self.runs.len() >= RUN_MERGE_THRESHOLD;
        match self.runs.back_mut() {
            Some(run) if run.router == router && (run.order == order || full) => run.count += count,
            _ => self.runs.push_back(ArrivalRun { router, count, order }),
        }
    }

    /// Removes `count` requests of a router that left without a grant, from its
    /// oldest runs.
    fn shorten_runs(&mut self, router: usize, mut count: u32) {
        for run in self.runs.iter_mut().filter(|run| run.router == router) {
            let taken = run.count.min(count);
            run.count -= taken;
            count -= taken;
        }
        self.runs.retain(|run| run.count > 0);
    }
}
