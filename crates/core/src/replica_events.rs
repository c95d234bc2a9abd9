//! Events that the consensus core processes and effects that it emits.

use crate::control_command::ControlCommand;
use crate::error_kind::ErrorKind;
use crate::replica_members::{MemberChange, ReplicaIdentity, ReplicaMembers};
use crate::replica_messages::{LogEntry, ReplicaMessage, SnapshotData, SnapshotMeta, TermVote};
use std::sync::Arc;

/// State that a replica reads from its storage when it starts.
#[derive(Clone, Debug)]
pub struct StoredReplica {
    /// Term and vote that were synced last.
    pub term_vote: TermVote,
    /// Latest snapshot. Its index is 0 as long as none was taken.
    pub snapshot: SnapshotData,
    /// Entries that follow the snapshot, committed or not.
    pub entries: Vec<LogEntry>,
}

impl StoredReplica {
    /// Storage of a new replica with the given membership. The first replica of a
    /// new log starts with itself as the only voter. Every other replica starts with
    /// an empty membership and stays without a vote until the leader adds it.
    pub fn empty(members: ReplicaMembers) -> Self {
        let meta = SnapshotMeta { index: 0, term: 0, members };
        let snapshot = SnapshotData { meta, bytes: Arc::new(Vec::new()) };
        Self { term_vote: TermVote::default(), snapshot, entries: Vec::new() }
    }
}

/// Event that the driver passes to the core.
#[derive(Clone, Debug)]
pub enum ReplicaEvent {
    /// Checks the timeouts; passed at least every 20 ms.
    Tick,
    /// A message from another replica arrived.
    Message(ReplicaMessage),
    /// A client asks to append a command to the log.
    Propose {
        /// Number by which the answer refers to the proposal.
        proposal: u64,
        /// Command of any kind except a change of the membership.
        command: ControlCommand,
        /// Wall clock in milliseconds since 1970, UTC.
        time_ms: u64,
    },
    /// A client asks to change the membership.
    ChangeMembers {
        /// Number by which the answer refers to the proposal.
        proposal: u64,
        /// Replica to add or remove.
        change: MemberChange,
        /// Wall clock in milliseconds since 1970, UTC.
        time_ms: u64,
    },
    /// A client asks to read state that includes every write acknowledged before.
    Read {
        /// Number by which the answer refers to the read.
        read: u64,
    },
    /// The first members of a new group were decided. Has no effect unless this replica is one of
    /// them and has neither a log nor a membership.
    FormGroup {
        /// The first members, all of them voters.
        members: ReplicaMembers,
        /// True at one replica, which starts an election at once.
        stand: bool,
    },
    /// A leader that is about to stop passes the lead to another voter. Has no effect unless that
    /// voter holds the whole log and all of it is committed.
    PassLead,
    /// All writes up to and including this sequence number are durable.
    Synced {
        /// Sequence number of the last synced write.
        sequence: u64,
    },
    /// The snapshot that [`ReplicaEffect::TakeSnapshot`] asked for.
    SnapshotTaken(SnapshotData),
}

/// Action that the core asks the driver to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaEffect {
    /// Write and sync, then report [`ReplicaEvent::Synced`]. An entry replaces the
    /// stored entries from its index on. Later effects need not wait for the sync.
    Persist {
        /// Sequence number of the write.
        sequence: u64,
        /// Term and vote, if they changed.
        term_vote: Option<TermVote>,
        /// Entries with consecutive indexes; may be empty.
        entries: Vec<LogEntry>,
    },
    /// Replace the whole stored log by the snapshot and the entries after it, then
    /// report [`ReplicaEvent::Synced`]. If `restore` is set, later writes must wait
    /// until this one has succeeded, because their entries follow the snapshot and
    /// not the log that is stored so far.
    StoreSnapshot {
        /// Sequence number of the write.
        sequence: u64,
        /// Snapshot that replaces the stored one.
        snapshot: SnapshotData,
        /// Current term and vote, changed or not.
        term_vote: TermVote,
        /// Entries that follow the snapshot.
        tail: Vec<LogEntry>,
        /// True when the snapshot came from the leader, so that the state machine
        /// must be restored from it.
        restore: bool,
    },
    /// Send a message. It may be lost: the core sends it again if necessary.
    Send(ReplicaMessage),
    /// Apply a committed entry to the state machine, and answer the proposal with
    /// the result.
    Apply {
        /// Entry that follows the one applied last.
        entry: LogEntry,
        /// Number of the proposal, if it was made at this replica.
        proposal: Option<u64>,
    },
    /// Answer a proposal with an error.
    RejectProposal {
        /// Number of the proposal.
        proposal: u64,
        /// Reason for the error.
        reason: RejectReason,
    },
    /// Answer a read from the state after the preceding effects.
    ReadReady {
        /// Number of the read.
        read: u64,
    },
    /// Answer a read with an error.
    RejectRead {
        /// Number of the read.
        read: u64,
        /// Reason for the error.
        reason: RejectReason,
    },
    /// Encode the state as it is after the preceding effects and pass it back
    /// as [`ReplicaEvent::SnapshotTaken`].
    TakeSnapshot(SnapshotMeta),
}

/// Reason why a proposal or read is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// This replica does not lead. Contains the leader, if known.
    NotLeader(Option<ReplicaIdentity>),
    /// This replica leads but has no valid lease.
    NoQuorum,
    /// Leadership ended before the entry was committed. The command may still take
    /// effect.
    LeadershipLost,
    /// Another change of the membership is not committed yet.
    ChangePending,
    /// The change would add a member twice or above the limit, or remove an unknown
    /// replica or the last voter; or a proposal contains a change of the membership.
    InvalidChange,
    /// The entry is larger than
    /// [`APPEND_BYTES_LIMIT`](crate::replica_messages::APPEND_BYTES_LIMIT).
    Oversized,
    /// Too many entries are uncommitted.
    Overloaded,
}

impl RejectReason {
    /// Error kind under which clients see the rejection.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::NotLeader(_) => ErrorKind::NotLeader,
            Self::NoQuorum => ErrorKind::NoQuorum,
            Self::LeadershipLost => ErrorKind::OutcomeUnknown,
            Self::ChangePending | Self::Overloaded => ErrorKind::LimitReached,
            Self::InvalidChange => ErrorKind::MalformedRequest,
            Self::Oversized => ErrorKind::OversizedRequest,
        }
    }
}
