//! Complete list of the event names in log lines, with their meaning for operators.

/// A log event that operators can match on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// Value of the field `event` in a log line.
    pub name: &'static str,
    /// Explanation of the event and of fields that need one.
    pub meaning: &'static str,
}

/// All events of all processes, and no others; a test checks this against the
/// sources.
pub const LOG_EVENTS: &[LogEvent] = &[
    LogEvent {
        name: "answer_cut",
        meaning: "An answer ended before it was complete: the caller disconnected or read nothing, the deadline passed, or the upstream broke off.",
    },
    LogEvent {
        name: "attempt_failed",
        meaning: "An upstream gave no answer that can be forwarded; `again` says whether another upstream is tried; `fingerprint` is the same for requests with the same content.",
    },
    LogEvent {
        name: "cold_service_unreadable",
        meaning: "A service in the operators' document has a value for its cold upstreams, `field`, that is not a number of at least 0; it is ignored.",
    },
    LogEvent {
        name: "cold_time_unreadable",
        meaning: "The heartbeat of an upstream states a cold time that is not a number of milliseconds up to an hour; it is not known whether the upstream is cold.",
    },
    LogEvent {
        name: "connections_closed_unread",
        meaning: "The router could not serve new connections in time and closed `count` of them before it read anything; callers may try another router.",
    },
    LogEvent {
        name: "connections_crowded",
        meaning: "Open caller connections exceed half of their limit; each is closed after its answer for as long as this lasts.",
    },
    LogEvent {
        name: "clock_shifted",
        meaning: "The wall clock and the monotonic clock diverged: the wall clock was stepped, or the host was suspended.",
    },
    LogEvent {
        name: "connections_relieved",
        meaning: "Open caller connections no longer exceed half of their limit; they are kept alive again.",
    },
    LogEvent { name: "controller_started", meaning: "A controller is listening." },
    LogEvent {
        name: "departure_committed",
        meaning: "The commit of a departure ended after `waited_ms`; a `reason` says why it failed.",
    },
    LogEvent {
        name: "departures_in_force",
        meaning: "The router put departures from the log in force; these `upstreams` get no more requests from it, whatever a registry says.",
    },
    LogEvent {
        name: "disk_full",
        meaning: "The disk of the data directory is full; the write is retried until it succeeds.",
    },
    LogEvent {
        name: "dispatch_answer_stale",
        meaning: "An answer from a previous dispatcher (older term) was ignored.",
    },
    LogEvent {
        name: "dispatch_load",
        meaning: "At most once a second at the leader while requests wait for a slot: `reports` of routers, slots `granted` and returned `unused` with the router that returned most, `running` of `slots` with the router that holds most, prompt tokens without a first token (`prefill` of `prefill_window`), and the longest delay of the event loop in that second.",
    },
    LogEvent { name: "dispatcher_ended", meaning: "This controller stopped dispatching." },
    LogEvent {
        name: "dispatcher_started",
        meaning: "This controller became leader and dispatches; `term` is the term of the replicated log, `dispatch_term` that of the dispatcher.",
    },
    LogEvent {
        name: "document_accepted",
        meaning: "A configuration was acknowledged; `in_force` is the version now in force, which may be a newer one; `waited_ms` is the time until it was committed.",
    },
    LogEvent {
        name: "document_not_accepted",
        meaning: "A configuration could not be committed by this controller; `reason` is the error code.",
    },
    LogEvent {
        name: "document_read",
        meaning: "An operator read the configuration from this controller; `version` is the returned version.",
    },
    LogEvent {
        name: "document_refused",
        meaning: "A configuration was invalid and was rejected without effect.",
    },
    LogEvent {
        name: "evacuated_zone_unknown",
        meaning: "A zone was evacuated that no live upstream names; its name may be wrong.",
    },
    LogEvent {
        name: "evacuation_accepted",
        meaning: "An order to evacuate a zone (`evacuated`) or to readmit it was acknowledged after `waited_ms`; `version` is that of the set of evacuated zones.",
    },
    LogEvent {
        name: "evacuation_not_accepted",
        meaning: "An order about a zone could not be committed by this controller; `reason` is the error code. The same order may be sent again, to any controller.",
    },
    LogEvent {
        name: "evacuation_ordered",
        meaning: "This controller received an order to evacuate a zone (`evacuated`) or to readmit it.",
    },
    LogEvent {
        name: "evacuation_refused",
        meaning: "An order named a zone by characters that no zone has, or by too many; it was rejected without effect.",
    },
    LogEvent {
        name: "evacuations_in_force",
        meaning: "The router put a newer set of evacuated `zones` in force; upstreams of these zones get no more requests from it.",
    },
    LogEvent {
        name: "event_loop_delayed",
        meaning: "The event loop ran a due task late: it was overloaded, short of processor time, or the process was paused.",
    },
    LogEvent {
        name: "first_tables_awaited",
        meaning: "A router that started has no tables yet; `answers` says what each controller that it asked answered, and how old the knowledge of a seed that is not a member is.",
    },
    LogEvent {
        name: "founding_awaited",
        meaning: "A controller with a disk waits for answers of the seeds, for enough others with a disk, or to be added to a group; `candidates` are those known, `needed` is their number.",
    },
    LogEvent {
        name: "founding_record_damaged",
        meaning: "What the disk holds of the first start of the site can't be read; the controller doesn't propose first members.",
    },
    LogEvent {
        name: "founding_refused",
        meaning: "Too few of the seeds agreed to a proposal of first members in this `step`; it is tried again.",
    },
    LogEvent {
        name: "founding_vote_lost",
        meaning: "A vote on the first members could not be stored, and was not cast.",
    },
    LogEvent {
        name: "group_awaited",
        meaning: "The first controller waits for answers from the other controllers before it bootstraps a new group.",
    },
    LogEvent {
        name: "group_founded",
        meaning: "The seeds agreed on the first members of the group, which elect a leader.",
    },
    LogEvent {
        name: "group_joined",
        meaning: "This controller was added to the group of controllers.",
    },
    LogEvent {
        name: "group_learned",
        meaning: "A process that is not a member of the group was told by the member `sender` who belongs to it; `silence_ms` is the time since the last notice.",
    },
    LogEvent {
        name: "group_left",
        meaning: "A controller that is about to stop passed the lead on and left its group, as far as `outcome` says; the group keeps one that it needs.",
    },
    LogEvent {
        name: "handover_begun",
        meaning: "The router is crowded and hands new connections of callers to neighbours with room; nothing is read from a connection before a neighbour has taken it.",
    },
    LogEvent {
        name: "handover_broken",
        meaning: "A neighbour that had taken the connection with number `connection` broke it off; `answered` says whether the caller got a part of an answer. Lines of the request at the neighbour have `via` `ROUTER#NUMBER`.",
    },
    LogEvent { name: "handover_ended", meaning: "No connection was handed over for two seconds." },
    LogEvent {
        name: "handover_load",
        meaning: "At most once a second while connections are handed over: how many neighbours took (`handed_over`) and `refused`, how many broke off unanswered or midway (`broken`), and how many are `open`.",
    },
    LogEvent {
        name: "handover_refused",
        meaning: "A `neighbour` did not take a connection; it is left out for 0.25 s at first, for up to 4 s after repeated refusals.",
    },
    LogEvent {
        name: "handover_room",
        meaning: "At most once a second at the leader, while routers have connections that they don't serve themselves: how many routers ask for neighbours (`asking`), how many of them hand connections over or close them unread (`seeking`) and how many such connections a second these have (`sought`); how many routers are named as neighbours (`takers`) and how many requests they could take on (`room`).",
    },
    LogEvent {
        name: "heartbeat_refused",
        meaning: "The heartbeat of an upstream was invalid and was rejected without effect.",
    },
    LogEvent {
        name: "hedge_ended",
        meaning: "A repeatable request without an answer after `delay_ms` was sent to a second upstream as well; `answered` says which of them answered first, or that both failed.",
    },
    LogEvent {
        name: "join_awaited",
        meaning: "No controller has added this one to its group yet; `answers` says what each of those asked knows of the group, and how old that is.",
    },
    LogEvent {
        name: "leadership_changed",
        meaning: "This controller learned of a new leader or term.",
    },
    LogEvent {
        name: "local_mode_begun",
        meaning: "No dispatcher answers; the router dispatches on its own to the slots that it holds.",
    },
    LogEvent {
        name: "local_mode_ended",
        meaning: "A dispatcher answers again and assigns slots to the router.",
    },
    LogEvent {
        name: "log_lines_dropped",
        meaning: "The queue of log lines was full and lines were dropped; `info` and `warnings` count them.",
    },
    LogEvent { name: "member_added", meaning: "The leader is adding a controller to the group." },
    LogEvent {
        name: "member_left",
        meaning: "The leader is removing a controller that is about to stop.",
    },
    LogEvent {
        name: "members_changed",
        meaning: "The membership of the group of controllers changed.",
    },
    LogEvent {
        name: "metrics_unavailable",
        meaning: "The metrics listener could not be opened; the process continues without it.",
    },
    LogEvent {
        name: "old_files_kept",
        meaning: "Old files of the log could not be removed from a full disk; the next snapshot or the next start removes them.",
    },
    LogEvent {
        name: "peer_unknown",
        meaning: "A message could not be sent because the address of the peer is unknown.",
    },
    LogEvent {
        name: "prefixes_placed",
        meaning: "At most once a second at the leader while upstreams read shared prefixes: tokens of the prefixes of granted requests by outcome (`held`; `unknown`, no holder known; read again because the holders had no free slot, `slots_full`, too many unread tokens, `window_full`, or may not be used, `unusable`), and the upstream whose requests held most tokens of memory.",
    },
    LogEvent { name: "process_failed", meaning: "The process is exiting with an error." },
    LogEvent {
        name: "process_started",
        meaning: "The process started and its settings are valid.",
    },
    LogEvent {
        name: "request_ended",
        meaning: "A request ended with an upstream's answer. Logged for every failed or retried request and for a sample of the others.",
    },
    LogEvent {
        name: "request_refused",
        meaning: "A request failed without an upstream's answer; `reason` is the error code.",
    },
    LogEvent {
        name: "prompt_part_found",
        meaning: "The dispatcher found a part of a prompt, or a whole request (`whole_request`), that explains the latest crashes of upstreams; `part` is the hash of the part's id or of the request's content, `crashes` their number.",
    },
    LogEvent {
        name: "prompt_part_quarantined",
        meaning: "The router refuses requests with this part of a prompt, or with this content, with `prompt_quarantined`.",
    },
    LogEvent { name: "request_rejected", meaning: "A request was rejected before it was queued." },
    LogEvent {
        name: "router_load",
        meaning: "At most once a second while requests are refused for want of slots or connections are closed unread: requests `refused` on arrival, `expired` in the queue and `granted` a slot, `reports` answered by the dispatcher with the longest time for one in that second, `connections` admitted and `closed_unread`, and the processor time of the callers' event loop and of the thread for the controllers.",
    },
    LogEvent { name: "router_ended", meaning: "The router has shut down." },
    LogEvent {
        name: "router_silent",
        meaning: "A router sent no report in time; its slots are reclaimed.",
    },
    LogEvent { name: "router_started", meaning: "A router is listening." },
    LogEvent {
        name: "rotation_left",
        meaning: "The router closes new connections unread and reports for a few seconds that it is not ready, so that the load balancer uses others.",
    },
    LogEvent {
        name: "routes_in_force",
        meaning: "A router applied a route table from `controller`, `age_ms` milliseconds after that controller applied it.",
    },
    LogEvent {
        name: "seeds_informed",
        meaning: "A member told the seeds that are not members about its group; `seeds` are those that received it, `asked` is the number of all. Logged when that changes.",
    },
    LogEvent {
        name: "send_withheld",
        meaning: "A request was not sent to the upstream of its slot, which was granted before the `reason` arose; it waits for another slot.",
    },
    LogEvent {
        name: "settings_refused",
        meaning: "Changed settings are invalid; the previous settings stay in force.",
    },
    LogEvent { name: "settings_reloaded", meaning: "Changed settings were applied." },
    LogEvent {
        name: "stop_announced",
        meaning: "Graceful shutdown began: the router reports that it is not ready but still accepts work.",
    },
    LogEvent { name: "stop_cancelled", meaning: "A planned stop was cancelled." },
    LogEvent {
        name: "stop_drained",
        meaning: "Work in progress is complete, or its time limit passed.",
    },
    LogEvent {
        name: "stop_refusing",
        meaning: "The router refuses new work and closes its connections.",
    },
    LogEvent { name: "stop_requested", meaning: "The process received a signal to stop." },
    LogEvent {
        name: "storage_failed",
        meaning: "The data directory cannot be used; the process exits.",
    },
    LogEvent {
        name: "stream_broken",
        meaning: "An upstream broke off an event stream; `again` says whether it is resumed at another upstream.",
    },
    LogEvent {
        name: "stream_copies_asked",
        meaning: "The dispatcher does not know a stream that a caller resumes, or does not answer (`dispatcher_answered`); of the controllers `asked` for their copies, `answered` did; `software` is the version found.",
    },
    LogEvent {
        name: "stream_not_resumed",
        meaning: "An event stream could not be resumed at another upstream.",
    },
    LogEvent {
        name: "stream_resume_refused",
        meaning: "A caller asks to resume the stream that request `resumes` began, and it cannot be resumed; `reason` is the error code.",
    },
    LogEvent {
        name: "stream_resumed",
        meaning: "An upstream with the software version `software` continues the stream that request `resumes` began; `previous_software` is the version that wrote the events before, if this router relayed them.",
    },
    LogEvent {
        name: "table_source_answers",
        meaning: "A controller that hears from its group answers this router's polls again.",
    },
    LogEvent {
        name: "table_source_lost",
        meaning: "The controller that this router polls for updates does not answer, or does not hear from its group; the router asks all of them.",
    },
    LogEvent {
        name: "upstream_announced",
        meaning: "The announcement of an upstream changed the registry.",
    },
    LogEvent {
        name: "upstream_lapsed",
        meaning: "An upstream did not renew its announcement in time.",
    },
    LogEvent {
        name: "rate_limit_unreadable",
        meaning: "An upstream named a request rate that is not a number; it was ignored and an earlier rate stays in force.",
    },
    LogEvent {
        name: "retry_delay_unreadable",
        meaning: "An upstream turned a request away with a `Retry-After` that is not a number of seconds; it was ignored.",
    },
    LogEvent {
        name: "upstream_leaving",
        meaning: "An answer of an upstream stated that it is leaving; the router sends it no more requests.",
    },
    LogEvent {
        name: "upstream_limited",
        meaning: "An answer of an upstream named the requests that it takes from all routers together, `per_minute`; the dispatcher keeps that rate.",
    },
    LogEvent {
        name: "upstream_limits_changed",
        meaning: "The dispatcher learned from `router` that the request rate of an upstream has changed; `limited` upstreams have one now.",
    },
    LogEvent {
        name: "upstream_quiet",
        meaning: "An upstream turned a request away and asked the router for no requests for `quiet_ms`.",
    },
    LogEvent {
        name: "upstream_left",
        meaning: "The deregistration of an upstream is being committed to the log.",
    },
    LogEvent {
        name: "upstream_unlimited",
        meaning: "An upstream that had named a request rate answered without one; the rate has ended.",
    },
    LogEvent {
        name: "upstream_withdrawn",
        meaning: "The announcement of an upstream was withdrawn.",
    },
    LogEvent {
        name: "upstreams_cold",
        meaning: "Upstreams became `cold` or `warm` at the dispatcher; cold ones, `count` now, get requests at the rate that their service names, for `longest_ms` at most.",
    },
    LogEvent {
        name: "upstreams_removed",
        meaning: "The registry in force at the router no longer lists these `upstreams`; `previous_term` is the term of the registry before.",
    },
    LogEvent {
        name: "workspace_demand",
        meaning: "At most once a second and for four workspaces at a router, beside `router_load`: requests of the workspace that `asked` for a slot, were `granted` one, `refused` on arrival or `expired` in the queue, with their expected costs in tokens (a prompt token counts half).",
    },
    LogEvent {
        name: "workspace_share",
        meaning: "At most once a second and for twelve workspaces at the leader, beside `dispatch_load`: slots `granted` to the workspace with the expected cost of their requests in tokens (a prompt token counts half), its requests that wait now, how often it was without waiting requests and then had some again (`rejoined`), by how much its account was raised then, and how far the account is ahead of the lowest that waits (`lead_tokens`).",
    },
    LogEvent { name: "workspaces_in_force", meaning: "A router applied a workspace table." },
];
