//! Entries of the replicated log and the messages between replicas.

use crate::control_command::ControlCommand;
use crate::replica_members::{ReplicaIdentity, ReplicaMembers};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Most bytes of encoded entries in one append, so that a message stays well
/// under the limit of 1 MiB of a body.
pub const APPEND_BYTES_LIMIT: usize = 512 * 1024;
/// Bytes of a snapshot in one message.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;
/// Largest snapshot that a replica assembles in memory. A state of 1,000,000
/// claims is about 250 MiB.
pub const SNAPSHOT_BYTES_LIMIT: u64 = 512 * 1024 * 1024;

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log, from 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// Wall clock of that leader in milliseconds since 1970, UTC.
    pub time_ms: u64,
    /// What it changes.
    pub command: ControlCommand,
}

impl LogEntry {
    /// Size of the encoded entry in bytes.
    pub fn encoded_len(&self) -> usize {
        rmp_serde::to_vec(self).map_or(usize::MAX, |bytes| bytes.len())
    }
}

/// Term and vote of a replica; valid only once synced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermVote {
    /// Highest term seen.
    pub term: u64,
    /// Replica that got the vote in this term.
    pub vote: Option<u64>,
}

/// What a snapshot stands for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Last entry that the snapshot contains.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership in force at that entry.
    pub members: ReplicaMembers,
}

/// A snapshot with its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotData {
    /// What it stands for.
    pub meta: SnapshotMeta,
    /// Encoded state.
    pub bytes: Arc<Vec<u8>>,
}

/// Message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMessage {
    /// Sender.
    pub from: ReplicaIdentity,
    /// Receiver; a replica of another identity ignores the message.
    pub to: ReplicaIdentity,
    /// Term of the sender; of a pre-vote, the term that it would start.
    pub term: u64,
    /// Content.
    pub body: MessageBody,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MessageBody {
    /// Asks whether a vote would be granted; changes no state.
    PreVote(VoteRequest),
    /// Answer to a pre-vote.
    PreVoteAnswer(VoteAnswer),
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Answer to a vote request.
    VoteAnswer(VoteAnswer),
    /// Entries, or a heartbeat without entries.
    Append(AppendRequest),
    /// Answer to an append.
    AppendAnswer(AppendAnswer),
    /// Part of a snapshot.
    Snapshot(SnapshotChunk),
    /// Answer to a part of a snapshot.
    SnapshotAnswer(SnapshotAnswer),
}

/// Position of the end of a candidate's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Index of its last entry.
    pub last_index: u64,
    /// Term of its last entry.
    pub last_term: u64,
}

/// Answer to a vote or pre-vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteAnswer {
    /// Term that was asked for.
    pub asked_term: u64,
    /// True when granted.
    pub granted: bool,
}

/// Entries that follow a known position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Index of the entry before the first one.
    pub previous_index: u64,
    /// Term of the entry before the first one.
    pub previous_term: u64,
    /// Entries, at most [`APPEND_BYTES_LIMIT`] bytes encoded.
    pub entries: Vec<LogEntry>,
    /// Index up to which the leader knows entries to be committed.
    pub commit: u64,
    /// When the leader sent it, on the leader's clock.
    pub sent_at: Duration,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// True when the position before the entries matched.
    pub success: bool,
    /// Index up to which the log equals the leader's and is synced.
    pub matched: u64,
    /// After a mismatch, the index to continue from.
    pub hint: u64,
    /// Sending time of the append, echoed.
    pub sent_at: Duration,
}

/// Part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// What the snapshot stands for.
    pub meta: SnapshotMeta,
    /// Position of the first byte.
    pub offset: u64,
    /// Size of the whole snapshot.
    pub total: u64,
    /// The bytes, at most [`SNAPSHOT_CHUNK_BYTES`].
    #[serde(with = "byte_string")]
    pub bytes: Vec<u8>,
    /// When the leader sent it, on the leader's clock.
    pub sent_at: Duration,
}

/// Answer to a part of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotAnswer {
    /// Last entry of the snapshot.
    pub index: u64,
    /// Number of bytes held so far.
    pub received: u64,
    /// Sending time of the chunk, echoed.
    pub sent_at: Duration,
}

/// Encodes bytes as one string instead of a sequence of numbers, which
/// MessagePack would store in up to two bytes per byte.
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
