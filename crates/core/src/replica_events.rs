//! Input and output of the consensus core.

use crate::control_command::ControlCommand;
use crate::error_kind::ErrorKind;
use crate::replica_members::{MemberChange, ReplicaIdentity, ReplicaMembers};
use crate::replica_messages::{LogEntry, ReplicaMessage, SnapshotData, SnapshotMeta, TermVote};
use std::sync::Arc;

/// What a replica finds in its storage at the start.
#[derive(Clone, Debug)]
pub struct StoredReplica {
    /// Term and vote.
    pub term_vote: TermVote,
    /// Latest snapshot; of index 0 in a new replica.
    pub snapshot: SnapshotData,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

impl StoredReplica {
    /// Storage of a new replica with the given membership. The first replica
    /// of a new log starts with itself as the only voter, every other one with
    /// an empty membership, until the leader adds it.
    pub fn empty(members: ReplicaMembers) -> Self {
        let meta = SnapshotMeta { index: 0, term: 0, members };
        let snapshot = SnapshotData { meta, bytes: Arc::new(Vec::new()) };
        Self { term_vote: TermVote::default(), snapshot, entries: Vec::new() }
    }
}

/// Input of the core.
#[derive(Clone, Debug)]
pub enum ReplicaEvent {
    /// Time passed; at least every 20 ms.
    Tick,
    /// A message arrived.
    Message(ReplicaMessage),
    /// A command is to be appended.
    Propose {
        /// Number by which the answer refers to the proposal.
        proposal: u64,
        /// The command.
        command: ControlCommand,
        /// Wall clock in milliseconds since 1970, UTC.
        time_ms: u64,
    },
    /// The membership is to be changed.
    ChangeMembers {
        /// Number by which the answer refers to the proposal.
        proposal: u64,
        /// The change.
        change: MemberChange,
        /// Wall clock in milliseconds since 1970, UTC.
        time_ms: u64,
    },
    /// A read wants to know that this replica leads and is up to date.
    Read {
        /// Number by which the answer refers to the read.
        read: u64,
    },
    /// All writes up to this sequence number are synced.
    Synced {
        /// Sequence number of the last synced write.
        sequence: u64,
    },
    /// The snapshot that was asked for.
    SnapshotTaken(SnapshotData),
}

/// Output of the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaEffect {
    /// Write, sync, then report [`ReplicaEvent::Synced`]. An entry replaces the
    /// stored ones from its index on. Later effects need not wait for the sync.
    Persist {
        /// Sequence number of the write.
        sequence: u64,
        /// Term and vote, when changed.
        term_vote: Option<TermVote>,
        /// Entries to append.
        entries: Vec<LogEntry>,
    },
    /// Store the snapshot with the entries after it in place of the whole log,
    /// then report [`ReplicaEvent::Synced`]. With `restore` set, no later write
    /// may be made before this one succeeds, because its entries follow the
    /// snapshot and not the log that is stored.
    StoreSnapshot {
        /// Sequence number of the write.
        sequence: u64,
        /// The snapshot.
        snapshot: SnapshotData,
        /// Term and vote.
        term_vote: TermVote,
        /// Entries after the snapshot.
        tail: Vec<LogEntry>,
        /// True when the state machine must be replaced by the snapshot.
        restore: bool,
    },
    /// Send a message; it may be lost.
    Send(ReplicaMessage),
    /// Apply a committed entry, and answer the proposal with the result.
    Apply {
        /// The entry.
        entry: LogEntry,
        /// Proposal of this replica that it stems from.
        proposal: Option<u64>,
    },
    /// Refuse a proposal.
    RejectProposal {
        /// The proposal.
        proposal: u64,
        /// Why.
        reason: RejectReason,
    },
    /// The read may be answered from the applied state.
    ReadReady {
        /// The read.
        read: u64,
    },
    /// Refuse a read.
    RejectRead {
        /// The read.
        read: u64,
        /// Why.
        reason: RejectReason,
    },
    /// Encode the state as it is after the preceding effects and pass it back
    /// as [`ReplicaEvent::SnapshotTaken`].
    TakeSnapshot(SnapshotMeta),
}

/// Why a proposal or read is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// This replica does not lead; the leader, if known.
    NotLeader(Option<ReplicaIdentity>),
    /// This replica leads without a valid lease.
    NoQuorum,
    /// Leadership ended before the commit; the command may still take effect.
    LeadershipLost,
    /// Another change of the membership is not committed yet.
    ChangePending,
    /// The change of the membership makes no sense.
    InvalidChange,
    /// The command is larger than an append may be.
    Oversized,
    /// Too many entries wait for a quorum.
    Overloaded,
}

impl RejectReason {
    /// The kind in the closed list of errors.
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
