//! The closed list of event names in log lines.

/// One event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// Value of the field `event`.
    pub name: &'static str,
    /// What happened.
    pub meaning: &'static str,
}

/// Every event that a process logs.
pub const LOG_EVENTS: &[LogEvent] = &[
    LogEvent {
        name: "answer_cut",
        meaning: "An answer ended before it was complete: the caller left, the time was over, or the upstream broke it off.",
    },
    LogEvent {
        name: "attempt_failed",
        meaning: "An upstream gave no answer that can be passed on; `again` tells whether another one is tried.",
    },
    LogEvent {
        name: "connections_crowded",
        meaning: "Callers' connections fill half of their room; each is closed after its answer.",
    },
    LogEvent {
        name: "clock_shifted",
        meaning: "The wall clock moved against the monotonic clock: it was stepped, or the host was suspended.",
    },
    LogEvent { name: "connections_relieved", meaning: "Callers' connections are kept open again." },
    LogEvent { name: "controller_started", meaning: "A controller listens." },
    LogEvent {
        name: "disk_full",
        meaning: "The data folder takes no more bytes; the write is repeated.",
    },
    LogEvent {
        name: "dispatch_answer_stale",
        meaning: "An answer of an earlier dispatcher was ignored.",
    },
    LogEvent { name: "dispatcher_ended", meaning: "This controller no longer dispatches." },
    LogEvent {
        name: "dispatcher_started",
        meaning: "This controller leads and dispatches; `term` is that of the log, `dispatch_term` that of the dispatcher.",
    },
    LogEvent {
        name: "document_accepted",
        meaning: "A configuration was acknowledged; `in_force` is the version that counts.",
    },
    LogEvent {
        name: "document_not_accepted",
        meaning: "A configuration could not be committed here; `reason` tells why.",
    },
    LogEvent {
        name: "document_read",
        meaning: "An operator read the configuration here; `version` is the one that was returned.",
    },
    LogEvent {
        name: "document_refused",
        meaning: "A configuration is invalid and changed nothing.",
    },
    LogEvent {
        name: "event_loop_delayed",
        meaning: "A task that was due ran late: much work, little processor time, or the process stood still.",
    },
    LogEvent {
        name: "group_awaited",
        meaning: "The first controller waits for the others before it founds a group.",
    },
    LogEvent { name: "group_joined", meaning: "This controller was added to the group." },
    LogEvent {
        name: "heartbeat_refused",
        meaning: "An announcement was not usable and changed nothing.",
    },
    LogEvent {
        name: "leadership_changed",
        meaning: "The leader or the term changed, as this controller sees it.",
    },
    LogEvent {
        name: "local_mode_begun",
        meaning: "No dispatcher answers; the router uses the slots that it holds.",
    },
    LogEvent { name: "local_mode_ended", meaning: "A dispatcher answers again." },
    LogEvent { name: "log_lines_dropped", meaning: "Lines found no room; counts by severity." },
    LogEvent { name: "member_added", meaning: "The leader adds a controller to the group." },
    LogEvent { name: "members_changed", meaning: "The membership of the group changed." },
    LogEvent {
        name: "metrics_unavailable",
        meaning: "Metrics cannot be served; the role works without them.",
    },
    LogEvent { name: "peer_unknown", meaning: "A message has no address to go to." },
    LogEvent { name: "process_failed", meaning: "The process ends with an error." },
    LogEvent { name: "process_started", meaning: "The process started." },
    LogEvent {
        name: "request_ended",
        meaning: "A request ended with an upstream's answer: all failures and repeats, a sample of the rest.",
    },
    LogEvent {
        name: "request_refused",
        meaning: "A request ended without an upstream's answer; `reason` is the error code.",
    },
    LogEvent { name: "request_rejected", meaning: "A request was rejected before it was queued." },
    LogEvent { name: "router_ended", meaning: "The router ended." },
    LogEvent {
        name: "router_silent",
        meaning: "A router was silent for too long; its slots are reclaimed.",
    },
    LogEvent { name: "router_started", meaning: "A router listens." },
    LogEvent {
        name: "routes_in_force",
        meaning: "A router applied a route table; `controller` gave it, `age_ms` after it had applied it itself.",
    },
    LogEvent {
        name: "settings_refused",
        meaning: "Changed settings are invalid; the former ones stay.",
    },
    LogEvent { name: "settings_reloaded", meaning: "Changed settings were applied." },
    LogEvent {
        name: "stop_announced",
        meaning: "A stop began: not ready any more, work is still taken.",
    },
    LogEvent { name: "stop_cancelled", meaning: "A planned stop was cancelled." },
    LogEvent {
        name: "stop_drained",
        meaning: "Nothing is left to do, or the time for it is over.",
    },
    LogEvent { name: "stop_refusing", meaning: "New work is refused and connections close." },
    LogEvent { name: "stop_requested", meaning: "The process was asked to stop." },
    LogEvent {
        name: "storage_failed",
        meaning: "The data folder cannot be used; the process ends.",
    },
    LogEvent {
        name: "stream_broken",
        meaning: "An event stream broke off; `again` tells whether it goes on elsewhere.",
    },
    LogEvent { name: "stream_not_resumed", meaning: "An event stream could not go on." },
    LogEvent {
        name: "table_source_answers",
        meaning: "A controller answers this router's poll for its tables again.",
    },
    LogEvent {
        name: "table_source_lost",
        meaning: "The controller that this router polls for its tables does not answer.",
    },
    LogEvent { name: "upstream_announced", meaning: "What is known of an upstream changed." },
    LogEvent { name: "upstream_lapsed", meaning: "An upstream was not heard of in time." },
    LogEvent { name: "upstream_left", meaning: "The departure of an upstream is being committed." },
    LogEvent { name: "upstream_withdrawn", meaning: "An upstream was withdrawn." },
    LogEvent { name: "workspaces_in_force", meaning: "A router applied a workspace table." },
];
