//! Forms the group of controllers at the first start of a site.
//!
//! Controllers with a disk find each other through the seeds, which need no disk themselves, and
//! agree there on the first members: as many as the settings ask for, so that the group survives
//! the tolerated losses from its first change on. No single disk is needed for that.

use crate::founding_witness::{
    FOUNDING_PATH, FoundingAnswer, FoundingRecord, FoundingRequest, FoundingStep,
};
use crate::group_directory::join_addresses;
use crate::membership::JoinRequest;
use crate::options::ControllerOptions;
use crate::replica_driver::ReplicaHandle;
use baobabfall_core::founding_vote::{FoundingBallot, membership_to_propose};
use baobabfall_core::replica_members::ReplicaMembers;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_node::http_client::PeerClient;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which a candidate makes itself known and looks for others.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// The same once it has waited for longer than a start takes.
const LATE_ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Rounds after which the longer interval applies.
const EARLY_ROUNDS: u32 = 100;
/// Timeout of one call. A seed that does not answer must not keep the others waiting for long.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Each candidate leaves those with lower addresses this much time to propose first. It exceeds the
/// two calls of a proposal, so that two candidates rarely compete.
const TURN_LENGTH: Duration = Duration::from_millis(1500);
/// Rounds between two log lines about waiting for others.
const ROUNDS_PER_LOG: u32 = 50;

/// A controller that has a disk and belongs to no group.
#[derive(Debug)]
pub struct FoundingCandidate {
    options: ControllerOptions,
    replica: ReplicaHandle,
    request: JoinRequest,
    /// `None` if this controller took no part in the first start. It may become a first member, but
    /// proposes nobody, since it does not know whether the site has ever had a group.
    record: Option<FoundingRecord>,
    /// Highest round that this candidate has seen.
    round: u64,
    /// Clients for the witnesses, and for the first members at the end.
    clients: SortedMap<SocketAddr, PeerClient>,
}

impl FoundingCandidate {
    /// Creates a candidate from what its disk holds of the first start.
    pub fn new(
        options: ControllerOptions,
        replica: ReplicaHandle,
        request: JoinRequest,
        record: Option<FoundingRecord>,
    ) -> Self {
        Self { options, replica, request, record, round: 0, clients: SortedMap::new() }
    }

    /// Runs until the replica has a membership, from a proposal or from a leader.
    pub async fn run(mut self) {
        let mut enough_since = None;
        let mut rounds: u32 = 0;
        while self.replica.view().members.is_empty() {
            let witnesses = match &self.record {
                Some(record) => record.witnesses.clone(),
                None => self.options.seeds.addresses(),
            };
            let answers = self.ask(&witnesses, &FoundingStep::Register).await;
            let candidates = list_candidates(&answers);
            let has_group = answers.iter().any(|answer| answer.in_group);
            let enough = answers.len() > witnesses.len() / 2
                && candidates.len() >= self.options.min_voters();
            match enough && !has_group && self.record.is_some() {
                false => enough_since = None,
                true => {
                    let since = *enough_since.get_or_insert_with(Instant::now);
                    let turn = candidates.keys().filter(|other| **other < self.request.address);
                    let turn = u32::try_from(turn.count()).unwrap_or(u32::MAX);
                    if since.elapsed() >= TURN_LENGTH.saturating_mul(turn) {
                        self.propose(&witnesses, &candidates, &answers).await;
                        enough_since = Some(Instant::now());
                    }
                }
            }
            if rounds.is_multiple_of(ROUNDS_PER_LOG) && !enough {
                let known: Vec<SocketAddr> = candidates.keys().copied().collect();
                log::info!(event = "founding_awaited", seeds = join_addresses(&witnesses), answers = answers.len(), candidates = join_addresses(&known), needed = self.options.min_voters(), group = has_group; "waiting for seeds and for enough controllers with a disk, or to be added to a group");
            }
            rounds = rounds.saturating_add(1);
            let interval = if rounds < EARLY_ROUNDS { ROUND_INTERVAL } else { LATE_ROUND_INTERVAL };
            tokio::time::sleep(interval).await;
        }
    }

    /// Tries to have the first members decided, and tells them if that succeeds.
    async fn propose(
        &mut self,
        witnesses: &[SocketAddr],
        candidates: &SortedMap<SocketAddr, JoinRequest>,
        answers: &[FoundingAnswer],
    ) {
        let seen = answers.iter().filter_map(|answer| Some(answer.vote.as_ref()?.promised.round));
        self.round = seen.fold(self.round, u64::max) + 1;
        let ballot = FoundingBallot { round: self.round, candidate: self.request.identity.id };
        let own = self.first_members(candidates);
        let promises = self.ask(witnesses, &FoundingStep::Prepare(ballot)).await;
        let granted = promises.iter().filter(|answer| answer.granted);
        let votes: Vec<_> = granted.filter_map(|answer| answer.vote.as_ref()).collect();
        if votes.len() <= witnesses.len() / 2 {
            return log_refusal("prepare", ballot, witnesses, votes.len());
        }
        let members = membership_to_propose(votes, &own).clone();
        let accept = FoundingStep::Accept(ballot, members.clone());
        let accepted = self.ask(witnesses, &accept).await;
        let accepted = accepted.iter().filter(|answer| answer.granted).count();
        if accepted <= witnesses.len() / 2 {
            return log_refusal("accept", ballot, witnesses, accepted);
        }
        let addresses: Vec<SocketAddr> =
            members.iter().filter_map(|member| member.address.parse().ok()).collect();
        log::info!(event = "group_founded", members = join_addresses(&addresses), round = ballot.round; "the first members of the group are decided");
        self.replica.form_group(members.clone(), true).await;
        self.ask(&addresses, &FoundingStep::Form(members)).await;
    }

    /// This candidate and those with the lowest addresses, as many as the settings ask for.
    fn first_members(&self, candidates: &SortedMap<SocketAddr, JoinRequest>) -> ReplicaMembers {
        let others = candidates.values().filter(|other| other.address != self.request.address);
        let others = others.take(self.options.min_voters().saturating_sub(1));
        std::iter::once(&self.request).chain(others).fold(
            ReplicaMembers::default(),
            |members, JoinRequest { identity, address }| {
                let id = identity.id;
                members.with_learner(identity.clone(), address.to_string()).with_voter(id)
            },
        )
    }

    /// Sends a step to all `addresses` and returns the answers of those that respond in time.
    async fn ask(&mut self, addresses: &[SocketAddr], step: &FoundingStep) -> Vec<FoundingAnswer> {
        let request = FoundingRequest { candidate: self.request.clone(), step: step.clone() };
        let token = self.options.process.token();
        for address in addresses {
            self.clients.get_or_insert_with(*address, || PeerClient::new(*address));
        }
        let clients = addresses.iter().filter_map(|address| self.clients.get(address));
        let calls = clients.map(|client| send_step(client, &token, &request));
        futures_util::future::join_all(calls).await.into_iter().flatten().collect()
    }
}

async fn send_step(
    client: &PeerClient,
    token: &str,
    request: &FoundingRequest,
) -> Option<FoundingAnswer> {
    match client.call(FOUNDING_PATH, token, request, CALL_TIMEOUT).await {
        Ok(answer) => Some(answer),
        Err(error) => {
            log::debug!(address = client.address().to_string(); "no answer to a step of the founding: {error}");
            None
        }
    }
}

/// The candidates that any witness lists, by address. Of two identities at one address, the one
/// that was heard last is kept: the other one has lost its disk.
fn list_candidates(answers: &[FoundingAnswer]) -> SortedMap<SocketAddr, JoinRequest> {
    let mut newest: SortedMap<SocketAddr, (u64, JoinRequest)> = SortedMap::new();
    for listed in answers.iter().flat_map(|answer| &answer.candidates) {
        let address = listed.candidate.address;
        if newest.get(&address).is_none_or(|(age_ms, _)| listed.age_ms < *age_ms) {
            newest.insert(address, (listed.age_ms, listed.candidate.clone()));
        }
    }
    newest.iter().map(|(address, (_, candidate))| (*address, candidate.clone())).collect()
}

fn log_refusal(step: &str, ballot: FoundingBallot, witnesses: &[SocketAddr], granted: usize) {
    log::info!(event = "founding_refused", step = step, round = ballot.round, granted = granted, witnesses = witnesses.len(); "no majority of the witnesses agreed to a proposal of first members");
}
