//! Lets the controllers that start a site find each other and agree on the first members of their
//! group, at the hosts that the settings name as seeds.

use crate::error::ControllerError;
use crate::membership::JoinRequest;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::founding_vote::{FoundingBallot, FoundingVote};
use baobabfall_core::replica_members::ReplicaMembers;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_node::units::millis;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::Instant;

/// Path to which a [`FoundingRequest`] is posted.
pub const FOUNDING_PATH: &str = "/control/v1/replica/founding";
/// File in the data folder that holds a [`FoundingRecord`].
const RECORD_NAME: &str = "founding";
/// Name under which a new record is written before it replaces the old one.
const NEW_RECORD_NAME: &str = "founding.tmp";
/// A witness that has lost its memory votes again after this time. Members of a group that it
/// helped to found have sent it notices by then, unless all of them have been out of reach since.
const FORGOTTEN_VOTE_DELAY: Duration = Duration::from_secs(10);
/// Time after which a candidate that has fallen silent is no longer listed.
const CANDIDATE_LAPSE: Duration = Duration::from_secs(2);
/// Most candidates that a witness lists.
const CANDIDATE_LIMIT: usize = 256;

/// What a controller remembers of the first start of its site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundingRecord {
    /// The witnesses, which all processes know from the settings of the first start.
    pub witnesses: Vec<SocketAddr>,
    /// Vote of this controller, if it is one of the witnesses.
    pub vote: FoundingVote,
}

/// Request of a candidate to a witness, or to another candidate.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FoundingRequest {
    /// The controller that asks. It has a disk and belongs to no group.
    pub candidate: JoinRequest,
    /// What it asks for.
    pub step: FoundingStep,
}

/// Step of the agreement on the first members.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FoundingStep {
    /// Makes the candidate known to others.
    Register,
    /// Asks for a promise to take part in no lower ballot.
    Prepare(FoundingBallot),
    /// Asks for a vote.
    Accept(FoundingBallot, ReplicaMembers),
    /// Tells a first member which membership was decided.
    Form(ReplicaMembers),
}

/// Answer of a witness.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FoundingAnswer {
    /// True if the witness knows a group, so that none may be founded.
    pub in_group: bool,
    /// Candidates that have registered within the last 2 s.
    pub candidates: Vec<ListedCandidate>,
    /// True if the witness made the promise or cast the vote that it was asked for.
    pub granted: bool,
    /// What the witness has promised and voted for; `None` while it does not vote, because it may
    /// have forgotten an earlier vote.
    pub vote: Option<FoundingVote>,
}

/// A candidate as a witness knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedCandidate {
    /// Identity and address.
    pub candidate: JoinRequest,
    /// Time since its last request, in milliseconds.
    pub age_ms: u64,
}

/// Votes of this process, and the candidates that it knows; shared by its clones.
#[derive(Clone, Debug)]
pub struct FoundingWitness(Arc<Mutex<WitnessState>>);

#[derive(Debug)]
struct WitnessState {
    /// Candidates by address, with the time of their last request.
    candidates: SortedMap<SocketAddr, (JoinRequest, Instant)>,
    vote: FoundingVote,
    /// Until then, the witness does not vote.
    silent_until: Option<Instant>,
    /// Data folder and witnesses of a controller with a disk, which keeps its votes there.
    disk: Option<(PathBuf, Vec<SocketAddr>)>,
}

impl FoundingWitness {
    /// A witness on a host without a disk, at the first start of the site or at a later one.
    pub fn without_disk(first_start: bool) -> Self {
        Self::new(FoundingVote::default(), !first_start, None)
    }

    /// A witness that keeps its votes in `folder`, with what it remembers of the first start.
    pub fn with_disk(
        folder: &Path,
        witnesses: &[SocketAddr],
        record: Option<&FoundingRecord>,
    ) -> Self {
        let vote = record.map_or_else(FoundingVote::default, |record| record.vote.clone());
        let witnesses = record.map_or(witnesses, |record| &record.witnesses);
        Self::new(vote, record.is_none(), Some((folder.to_owned(), witnesses.to_owned())))
    }

    fn new(vote: FoundingVote, forgotten: bool, disk: Option<(PathBuf, Vec<SocketAddr>)>) -> Self {
        let silent_until = forgotten.then(|| Instant::now() + FORGOTTEN_VOTE_DELAY);
        let candidates = SortedMap::new();
        Self(Arc::new(Mutex::new(WitnessState { candidates, vote, silent_until, disk })))
    }

    /// Answers a candidate. A vote is durable before it is answered, if there is a disk. `in_group`
    /// tells whether this process knows a group.
    pub async fn answer(&self, request: FoundingRequest, in_group: bool) -> FoundingAnswer {
        let mut state = self.0.lock().await;
        state.record_candidate(request.candidate);
        let votes = state.silent_until.is_none_or(|until| until <= Instant::now());
        let mut vote = state.vote.clone();
        let granted = !in_group
            && votes
            && match request.step {
                FoundingStep::Register | FoundingStep::Form(_) => false,
                FoundingStep::Prepare(ballot) => vote.promise(ballot),
                FoundingStep::Accept(ballot, members) => vote.accept(ballot, &members),
            };
        if vote != state.vote && !keep_vote(&mut state, vote).await {
            return FoundingAnswer { in_group, ..FoundingAnswer::default() };
        }
        let candidates = state.listed_candidates();
        let vote = votes.then(|| state.vote.clone());
        FoundingAnswer { in_group, candidates, granted, vote }
    }
}

impl WitnessState {
    fn record_candidate(&mut self, candidate: JoinRequest) {
        self.candidates.retain(|_, (_, heard)| heard.elapsed() < CANDIDATE_LAPSE);
        if self.candidates.len() < CANDIDATE_LIMIT {
            self.candidates.insert(candidate.address, (candidate, Instant::now()));
        }
    }

    fn listed_candidates(&self) -> Vec<ListedCandidate> {
        let list = self.candidates.values().map(|(candidate, heard)| ListedCandidate {
            candidate: candidate.clone(),
            age_ms: millis(heard.elapsed()),
        });
        list.collect()
    }
}

/// Stores a changed vote, on disk if there is one. Returns false if that failed.
async fn keep_vote(state: &mut MutexGuard<'_, WitnessState>, vote: FoundingVote) -> bool {
    if let Some((folder, witnesses)) = state.disk.clone() {
        let record = FoundingRecord { witnesses, vote: vote.clone() };
        let written = tokio::task::spawn_blocking(move || write_record(&folder, &record)).await;
        let failure = match written {
            Ok(Ok(())) => None,
            Ok(Err(error)) => Some(error.to_string()),
            Err(error) => Some(error.to_string()),
        };
        if let Some(reason) = failure {
            log::warn!(event = "founding_vote_lost"; "a vote on the first members was not stored: {reason}");
            return false;
        }
    }
    state.vote = vote;
    true
}

/// What the controller with this data folder remembers of the first start of its site. `None` if it
/// took no part in it, or has lost its disk since.
///
/// # Errors
///
/// Fails if the folder can't be read. A record that can't be decoded counts as lost.
pub fn read_record(folder: &Path) -> Result<Option<FoundingRecord>, ControllerError> {
    match std::fs::read(folder.join(RECORD_NAME)) {
        Ok(bytes) => match rmp_serde::from_slice(&bytes) {
            Ok(record) => Ok(Some(record)),
            Err(error) => {
                log::warn!(event = "founding_record_damaged"; "the record of the first start can't be read: {error}");
                Ok(None)
            }
        },
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(storage_error(folder, &error)),
    }
}

/// Notes in an empty data folder that this controller takes part in the first start of its site.
///
/// # Errors
///
/// Fails if the record can't be written and synced.
pub fn create_record(
    folder: &Path,
    witnesses: Vec<SocketAddr>,
) -> Result<FoundingRecord, ControllerError> {
    let record = FoundingRecord { witnesses, vote: FoundingVote::default() };
    write_record(folder, &record).map_err(|error| storage_error(folder, &error))?;
    Ok(record)
}

fn write_record(folder: &Path, record: &FoundingRecord) -> io::Result<()> {
    let bytes = rmp_serde::to_vec_named(record).map_err(io::Error::other)?;
    let new = folder.join(NEW_RECORD_NAME);
    let mut file = File::create(&new)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    std::fs::rename(new, folder.join(RECORD_NAME))?;
    File::open(folder)?.sync_all()
}

fn storage_error(folder: &Path, error: &io::Error) -> ControllerError {
    let message = format!("The record of the first start in {}: {error}.", folder.display());
    ControllerError::Storage { kind: ErrorKind::StorageFailed, message }
}
