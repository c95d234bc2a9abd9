//! Entries of the replicated log and the messages that replicas exchange.

use crate::control_command::ControlCommand;
use crate::replica_members::{ReplicaIdentity, ReplicaMembers};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Maximum encoded size of the entries in one append, in bytes. It keeps a message
/// well below the limit of 1 MiB for a request body.
pub const APPEND_BYTES_LIMIT: usize = 512 * 1024;
/// Maximum number of bytes of a snapshot in one message.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;
/// Maximum size in bytes of a snapshot that a replica accepts from the leader and
/// assembles in memory. A state with 1,000,000 claims takes about 250 MiB.
pub const SNAPSHOT_BYTES_LIMIT: u64 = 512 * 1024 * 1024;

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// Wall-clock time of that leader in milliseconds since the Unix epoch; 0 in
    /// entries that the leader appends on its own.
    pub time_ms: u64,
    /// Change that the state machine applies.
    pub command: ControlCommand,
}

impl LogEntry {
    /// Size of the entry in bytes when encoded as MessagePack.
    pub fn encoded_len(&self) -> usize {
        rmp_serde::to_vec(self).map_or(usize::MAX, |bytes| bytes.len())
    }
}

/// Current term and vote of a replica. They must be synced before a message relies
/// on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermVote {
    /// Highest term that the replica has adopted.
    pub term: u64,
    /// Id of the replica that got the vote in this term.
    pub vote: Option<u64>,
}

/// Position of a snapshot in the log and the membership at that position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Index of the last entry that the snapshot contains; 0 in a new log.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership that applied at that entry.
    pub members: ReplicaMembers,
}

/// A snapshot of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotData {
    /// Position in the log and membership.
    pub meta: SnapshotMeta,
    /// Encoded state of the state machine.
    pub bytes: Arc<Vec<u8>>,
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMessage {
    /// Identity of the sender.
    pub from: ReplicaIdentity,
    /// Identity of the receiver; a replica with another identity ignores the message.
    pub to: ReplicaIdentity,
    /// Term of the sender; in a pre-vote request, the term that it would start.
    pub term: u64,
    /// Request or answer.
    pub body: MessageBody,
}

/// A request or an answer between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MessageBody {
    /// Asks whether a vote would be granted. Neither sender nor receiver changes its
    /// term or vote.
    PreVote(VoteRequest),
    /// Answer to a pre-vote request.
    PreVoteAnswer(VoteAnswer),
    /// Requests a vote for the term of the sender.
    Vote(VoteRequest),
    /// Answer to a vote request.
    VoteAnswer(VoteAnswer),
    /// Sends entries; without entries it is a heartbeat.
    Append(AppendRequest),
    /// Answer to an append.
    AppendAnswer(AppendAnswer),
    /// Sends one chunk of a snapshot.
    Snapshot(SnapshotChunk),
    /// Answer to a snapshot chunk.
    SnapshotAnswer(SnapshotAnswer),
    /// The leader of the sender's term has stepped down and asks the receiver to start an election
    /// at once.
    TakeLead,
}

/// End of a candidate's log; a voter grants no vote if its own log is more
/// up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Index of the candidate's last entry.
    pub last_index: u64,
    /// Term of the candidate's last entry.
    pub last_term: u64,
    /// True if the leader of the preceding term has stepped down in favour of the candidate, so
    /// that no lease depends on the voters.
    #[serde(default)]
    pub lead_passed: bool,
}

/// Answer to a vote or pre-vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteAnswer {
    /// Term of the request; answers to earlier requests are ignored.
    pub asked_term: u64,
    /// True when the vote is granted, or would be granted for a pre-vote.
    pub granted: bool,
}

/// Entries to append after a position that the follower's log must match.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Index of the entry before the first one.
    pub previous_index: u64,
    /// Term of the entry before the first one.
    pub previous_term: u64,
    /// Entries of at most [`APPEND_BYTES_LIMIT`] encoded bytes in total.
    pub entries: Vec<LogEntry>,
    /// Commit index of the leader.
    pub commit: u64,
    /// Send time by the leader's monotonic clock.
    pub sent_at: Duration,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// True when the log matched the position before the entries.
    pub success: bool,
    /// Index up to which the log equals that of the leader and is synced.
    pub matched: u64,
    /// After a mismatch, the index from which the leader should continue; otherwise 0.
    pub hint: u64,
    /// Send time of the append that is answered. Zero when the answer must not
    /// extend the leader's lease.
    pub sent_at: Duration,
}

/// One chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Position and membership of the snapshot.
    pub meta: SnapshotMeta,
    /// Offset of the first byte of the chunk in the snapshot.
    pub offset: u64,
    /// Size of the whole snapshot in bytes.
    pub total: u64,
    /// Content of the chunk, at most [`SNAPSHOT_CHUNK_BYTES`].
    #[serde(with = "byte_string")]
    pub bytes: Vec<u8>,
    /// Send time by the leader's monotonic clock.
    pub sent_at: Duration,
}

/// Answer to a snapshot chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotAnswer {
    /// Index of the last entry of the snapshot.
    pub index: u64,
    /// Number of bytes received so far, which is the offset of the next chunk.
    pub received: u64,
    /// Send time of the chunk that is answered. Zero when the answer must not
    /// extend the leader's lease.
    pub sent_at: Duration,
}

/// Encodes bytes as one MessagePack byte string. As a sequence of numbers they would
/// take up to two bytes each.
mod byte_string {
    use serde::de::{Deserializer, Error, SeqAccess, Visitor};
    use serde::ser::Serializer;
    use std::fmt;

    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }

    struct BytesVisitor;

    impl<'de> Visitor<'de> for BytesVisitor {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("bytes")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            Ok(bytes.to_vec())
        }

        fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
            Ok(bytes)
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Vec<u8>, A::Error> {
            let mut bytes = Vec::new();
            while let Some(byte) = sequence.next_element()? {
                bytes.push(byte);
            }
            Ok(bytes)
        }
    }
}
