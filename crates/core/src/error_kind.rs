//! Closed list of error kinds, with the status and code with which each is
//! reported.

use serde::{Deserialize, Serialize};

/// How one kind of error is reported to callers, operators and peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// The kind of error that this row describes.
    pub kind: ErrorKind,
    /// HTTP status code of the response.
    pub status: u16,
    /// Stable code in the JSON error body; clients match on it.
    pub code: &'static str,
    /// True when the request is known not to have run.
    pub not_run: bool,
    /// True when the caller may retry the same request.
    pub retry: bool,
    /// Exit code of a process that terminates with this error.
    pub exit_code: u8,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident: $status:literal, $code:literal, $not_run:literal, $retry:literal, $exit:literal;)*) => {
        /// Every kind of error that a baobabfall process reports.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        /// One row per kind, in the order of the enum's variants.
        pub const ERROR_TABLE: &[ErrorAnswer] = &[
            $(ErrorAnswer {
                kind: ErrorKind::$kind,
                status: $status,
                code: $code,
                not_run: $not_run,
                retry: $retry,
                exit_code: $exit,
            },)*
        ];
    };
}

error_kinds! {
    /// The request is not valid HTTP or JSON, or lacks a required field.
    MalformedRequest: 400, "malformed_request", true, false, 2;
    /// The request is larger than its limit.
    OversizedRequest: 413, "oversized_request", true, false, 2;
    /// The request body did not arrive in time.
    SlowRequest: 408, "slow_request", true, true, 2;
    /// The credential is missing or unknown.
    Unauthenticated: 401, "unauthenticated", true, false, 3;
    /// The credential does not allow this operation.
    Forbidden: 403, "forbidden", true, false, 3;
    /// No such path, model, service, workspace or record.
    NotFound: 404, "not_found", true, false, 4;
    /// The method is not allowed at this path.
    MethodNotAllowed: 405, "method_not_allowed", true, false, 2;
    /// The model is not served by any upstream.
    UnknownModel: 404, "unknown_model", true, false, 4;
    /// The service is not served by any upstream.
    UnknownService: 404, "unknown_service", true, false, 4;
    /// A limit of the workspace is reached.
    LimitReached: 429, "limit_reached", true, true, 5;
    /// The workspace's queue is full.
    QueueFull: 429, "queue_full", true, true, 5;
    /// The expected wait exceeds the deadline, or the deadline passed in the queue.
    DeadlineBeforeDispatch: 503, "deadline_before_dispatch", true, true, 5;
    /// The deadline passed after dispatch.
    DeadlineAfterDispatch: 504, "deadline_after_dispatch", false, false, 5;
    /// No upstream could take the request.
    NoUpstream: 503, "no_upstream", true, true, 5;
    /// Requests with a part of this prompt crashed upstreams.
    PromptQuarantined: 503, "prompt_quarantined", true, true, 5;
    /// It is not known which software version began the stream that the caller resumes.
    StreamUnknown: 503, "stream_unknown", true, false, 5;
    /// No upstream is left with the software version that began the stream.
    StreamVersionGone: 503, "stream_version_gone", true, false, 5;
    /// The upstream failed after the request was sent to it.
    UpstreamFailed: 502, "upstream_failed", false, false, 5;
    /// The upstream broke its answer off or its framing was wrong.
    AnswerIncomplete: 502, "answer_incomplete", false, false, 5;
    /// The upstream said that it did not run the request.
    UpstreamRefused: 503, "upstream_refused", true, true, 5;
    /// The process is stopping and takes no new work.
    Stopping: 503, "stopping", true, true, 6;
    /// The process has no confirmed table yet.
    NotReady: 503, "not_ready", true, true, 6;
    /// The action needs an idempotency key.
    KeyRequired: 400, "key_required", true, false, 2;
    /// The idempotency key was used with another request.
    KeyReused: 422, "key_reused", true, false, 7;
    /// The idempotency key is older than the retention of claims.
    KeyExpired: 422, "key_expired", true, false, 7;
    /// The action with this key is running.
    ActionRunning: 409, "action_running", false, false, 7;
    /// It is not known whether the action ran.
    OutcomeUnknown: 409, "outcome_unknown", false, false, 7;
    /// The fencing token is older than one seen before.
    StaleToken: 409, "stale_token", true, false, 7;
    /// The controllers have no quorum.
    NoQuorum: 503, "no_quorum", true, true, 8;
    /// This controller is not the leader.
    NotLeader: 421, "not_leader", true, true, 8;
    /// The edit is based on another revision than the current one.
    RevisionConflict: 409, "revision_conflict", true, false, 9;
    /// The edit id was used with another edit.
    EditReused: 422, "edit_reused", true, false, 9;
    /// The table has errors.
    InvalidTable: 422, "invalid_table", true, false, 9;
    /// The announcement contradicts another or itself.
    InvalidAnnouncement: 422, "invalid_announcement", true, false, 9;
    /// The announcement is of an older incarnation.
    StaleIncarnation: 409, "stale_incarnation", true, false, 9;
    /// The message version is not supported.
    UnsupportedVersion: 400, "unsupported_version", true, false, 10;
    /// The settings file is invalid.
    InvalidSettings: 500, "invalid_settings", true, false, 11;
    /// The data folder cannot be used.
    StorageFailed: 500, "storage_failed", true, false, 12;
    /// The stored state is damaged.
    StorageDamaged: 500, "storage_damaged", true, false, 13;
    /// A peer could not be reached.
    PeerUnreachable: 503, "peer_unreachable", true, true, 14;
    /// An invariant of the program failed.
    Internal: 500, "internal", false, false, 70;
}

impl ErrorKind {
    /// The row of [`ERROR_TABLE`] for this kind.
    ///
    /// ```
    /// use baobabfall_core::error_kind::ErrorKind;
    /// assert_eq!(ErrorKind::QueueFull.answer().status, 429);
    /// assert!(ErrorKind::QueueFull.answer().not_run);
    /// ```
    pub fn answer(self) -> &'static ErrorAnswer {
        &ERROR_TABLE[self as usize]
    }

    /// The kind with the given code; `None` for an unknown code.
    pub fn from_code(code: &str) -> Option<Self> {
        ERROR_TABLE.iter().find(|answer| answer.code == code).map(|answer| answer.kind)
    }
}
