//! Waiting requests of one workspace for one target, over all routers.

use crate::dispatch_messages::{BacklogEntry, CostUnits, PromptSummary};
use crate::sorted_map::SortedMap;
use std::collections::VecDeque;

/// Largest queue length taken from one router, so that sums cannot overflow.
const MAX_REPORTED_QUEUE_LENGTH: u32 = 1_000_000;

/// Runs from which on arrivals are added to the last run. Without the limit a
/// long queue that arrives one by one would need one run per request; a run
/// shares one stamp, so merging earlier would let a queue that is refilled
/// for ever stay older than the workspace's other queues.
const MAX_RUNS: usize = 256;

/// What one router reported about its part of the queue.
#[derive(Clone, Debug, Default)]
struct RouterBacklog {
    /// Queue length of the last report that listed the entry.
    reported: u32,
    /// Grants that the router had not received when it reported.
    unreceived: u32,
    /// Requests that wait without a grant.
    waiting: u32,
    cost_hint: CostUnits,
    prefix: Option<u64>,
    avoid: Option<String>,
    prompts: VecDeque<PromptSummary>,
}

/// Requests that arrived at one router together.
#[derive(Clone, Copy, Debug)]
struct ArrivalRun {
    router: usize,
    count: u32,
    /// Order of arrival over the whole dispatcher.
    arrival: u64,
}

/// The request that is granted next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NextRequest {
    /// Router that holds it.
    pub router: usize,
    /// Cost hint of the router.
    pub cost_hint: CostUnits,
    /// Hash of its prompt prefix.
    pub prefix: Option<u64>,
    /// Upstream that it should avoid.
    pub avoid: Option<String>,
    /// What is known of its prompt.
    pub prompt: Option<PromptSummary>,
}

/// Queue of one workspace and target in order of arrival at the dispatcher.
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
    /// Requests that wait without a grant.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Requests of one router that wait without a grant.
    pub fn waiting_at(&self, router: usize) -> u32 {
        self.routers.get(&router).map_or(0, |backlog| backlog.waiting)
    }

    /// True when a router has waiting requests or grants under way.
    pub fn has_router(&self, router: usize) -> bool {
        self.routers.contains_key(&router)
    }

    /// Routers that hold a part of the queue.
    pub fn routers(&self) -> impl Iterator<Item = usize> {
        self.routers.keys().copied()
    }

    /// Order of arrival of the first request.
    pub fn first_arrival(&self) -> Option<u64> {
        self.runs.front().map(|run| run.arrival)
    }

    /// Takes a router's queue length and, if given, the rest of its entry.
    pub fn report(
        &mut self,
        router: usize,
        queued: u32,
        entry: Option<&BacklogEntry>,
        arrival: u64,
    ) {
        let backlog = self.routers.get_or_insert_with(router, RouterBacklog::default);
        backlog.reported = queued.min(MAX_REPORTED_QUEUE_LENGTH);
        if let Some(entry) = entry {
            backlog.cost_hint = entry.cost_hint;
            backlog.prefix = entry.prefix;
            backlog.avoid.clone_from(&entry.avoid);
            // Grants that the router had not received when it reported are for its first requests.
            let granted = usize::try_from(backlog.unreceived).unwrap_or(usize::MAX);
            backlog.prompts = entry.prompts.iter().skip(granted).copied().collect();
        }
        self.update_runs(router, arrival);
    }

    /// Notes that the router received a grant, or that the grant is void.
    pub fn acknowledge(&mut self, router: usize, arrival: u64) {
        if let Some(backlog) = self.routers.get_mut(&router) {
            backlog.unreceived = backlog.unreceived.saturating_sub(1);
            self.update_runs(router, arrival);
        }
    }

    /// Removes a router and its requests.
    pub fn remove_router(&mut self, router: usize) {
        if let Some(backlog) = self.routers.remove(&router) {
            self.waiting -= backlog.waiting;
            self.runs.retain(|run| run.router != router);
        }
    }

    /// Takes the request that arrived first and counts a grant for it.
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

    /// Brings the runs of a router in line with its report.
    fn update_runs(&mut self, router: usize, arrival: u64) {
        let Some(backlog) = self.routers.get_mut(&router) else { return };
        let waiting = backlog.reported.saturating_sub(backlog.unreceived);
        let previous = std::mem::replace(&mut backlog.waiting, waiting);
        if backlog.reported == 0 && backlog.unreceived == 0 {
            self.routers.remove(&router);
        }
        self.waiting = self.waiting - previous + waiting;
        if waiting > previous {
            self.push_run(router, waiting - previous, arrival);
        } else if waiting < previous {
            self.shorten_runs(router, previous - waiting);
        }
    }

    fn push_run(&mut self, router: usize, count: u32, arrival: u64) {
        let full = self.runs.len() >= MAX_RUNS;
        match self.runs.back_mut() {
            Some(run) if run.router == router && (run.arrival == arrival || full) => {
                run.count += count
            }
            _ => self.runs.push_back(ArrivalRun { router, count, arrival }),
        }
    }

    /// Requests that left without a grant are taken from the oldest runs.
    fn shorten_runs(&mut self, router: usize, mut count: u32) {
        for run in self.runs.iter_mut().filter(|run| run.router == router) {
            let taken = run.count.min(count);
            run.count -= taken;
            count -= taken;
        }
        self.runs.retain(|run| run.count > 0);
    }
}
