//! Logs what became of the connections and requests of a crowded router, and what its
//! processor time went into.

use crate::demand_tally::{DemandCounts, DemandSum};
use crate::handover_watch::HandoverWatch;
use crate::load_tally::LoadReading;
use crate::router_state::RouterState;
use baobabfall_core::dispatch_messages::UNITS_PER_TOKEN;
use baobabfall_node::thread_clock::{ThreadTime, thread_time};
use baobabfall_node::units::millis;
use std::sync::Arc;
use std::time::Duration;

/// How often open caller connections are counted for the log and the metrics.
const CONNECTION_COUNT_INTERVAL: Duration = Duration::from_millis(250);
/// How often the load of a router that refuses requests or connections is logged.
const LOAD_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// How often the processor time of the control thread is read.
const THREAD_TIME_INTERVAL: Duration = Duration::from_millis(500);
/// Workspaces whose unserved requests a router logs each second.
const LOGGED_WORKSPACES: usize = 4;

/// Records the number of open caller connections and logs when it rises above
/// or falls below half of the limit.
pub(crate) async fn watch_connections(state: Arc<RouterState>) {
    let mut near_limit = false;
    let mut closed = 0;
    let mut handovers = HandoverWatch::default();
    loop {
        tokio::time::sleep(CONNECTION_COUNT_INTERVAL).await;
        handovers.step(&state);
        let closed_before = std::mem::replace(&mut closed, state.accept_gate.closed());
        state.metrics.closed_unread.add(closed - closed_before, &[]);
        if closed > closed_before {
            let in_progress = state.in_progress();
            log::info!(
                event = "connections_closed_unread", count = closed - closed_before,
                in_progress = in_progress;
                "new connections would have waited too long to be served and were closed"
            );
        }
        let open = state.open_connections();
        state.metrics.connections.record(u64::try_from(open).unwrap_or(u64::MAX), &[]);
        if state.is_near_connection_limit() == near_limit {
            continue;
        }
        near_limit = !near_limit;
        let limit = state.options.settings.limits.connections;
        let running = state.in_progress();
        let queued = state.queue.book().queued();
        match near_limit {
            true => log::info!(
                event = "connections_crowded", open = open, limit = limit,
                in_progress = running, queued = queued;
                "caller connections are above half of the limit; each is closed after its answer"
            ),
            false => log::info!(
                event = "connections_relieved", open = open, limit = limit,
                in_progress = running, queued = queued;
                "caller connections are back below half of the limit; keep-alive is on again"
            ),
        }
    }
}

/// Publishes the processor time of the thread that runs this task. Never returns.
pub(crate) async fn publish_thread_time(time: Arc<ThreadTime>) {
    loop {
        time.publish();
        tokio::time::sleep(THREAD_TIME_INTERVAL).await;
    }
}

/// Counters at one moment. What was counted between two moments is logged.
#[derive(Clone, Copy, Debug)]
struct LoadMark {
    tally: LoadReading,
    admitted: u64,
    closed: u64,
    loop_time: Duration,
    control_time: Duration,
}

impl LoadMark {
    fn take(state: &RouterState, control_time: &ThreadTime) -> Self {
        Self {
            tally: state.queue.tally().read(),
            admitted: state.accept_gate.admitted(),
            closed: state.accept_gate.closed(),
            loop_time: thread_time(),
            control_time: control_time.read(),
        }
    }
}

/// Logs once a second what became of the requests that needed a slot and of new
/// connections, while any are refused or closed.
pub(crate) async fn watch_load(state: Arc<RouterState>, control_time: Arc<ThreadTime>) {
    let mut earlier = LoadMark::take(&state, &control_time);
    loop {
        tokio::time::sleep(LOAD_LOG_INTERVAL).await;
        let mark = LoadMark::take(&state, &control_time);
        let before = std::mem::replace(&mut earlier, mark);
        let counts = mark.tally.since(&before.tally);
        let closed = mark.closed - before.closed;
        let unserved = state.queue.demand().take_unserved(LOGGED_WORKSPACES);
        if counts.refused + counts.expired + closed == 0 {
            continue;
        }
        log_unserved(unserved);
        let queued = state.queue.book().queued();
        log::info!(
            event = "router_load", refused = counts.refused, expired = counts.expired,
            granted = counts.granted, reports = counts.reports,
            longest_report_ms = counts.longest_report_ms, queued = queued,
            in_progress = state.in_progress(), open = state.open_connections(),
            connections = mark.admitted - before.admitted, closed_unread = closed,
            loop_cpu_ms = millis(mark.loop_time.saturating_sub(before.loop_time)),
            control_cpu_ms = millis(mark.control_time.saturating_sub(before.control_time));
            "requests or connections were refused"
        );
    }
}

/// Logs what became of the requests of workspaces of which some got no slot.
fn log_unserved(unserved: Vec<(String, DemandCounts)>) {
    for (workspace, counts) in unserved {
        let tokens = |sum: DemandSum| sum.cost / UNITS_PER_TOKEN;
        log::info!(
            event = "workspace_demand", workspace = workspace,
            asked = counts.asked.requests, asked_tokens = tokens(counts.asked),
            granted = counts.granted.requests, granted_tokens = tokens(counts.granted),
            refused = counts.refused.requests, refused_tokens = tokens(counts.refused),
            expired = counts.expired.requests, expired_tokens = tokens(counts.expired);
            "requests of a workspace got no slot"
        );
    }
}
