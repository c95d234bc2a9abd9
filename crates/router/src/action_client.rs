//! Claims and outcomes of protected actions.
//!
//! Claims of concurrent requests travel in one call. An outcome is repeated
//! until the leader acknowledges it.

use crate::leader_link::LeaderLink;
use baobabfall_core::dispatch_messages::NodeIdentity;
use baobabfall_node::http_client::PeerError;
use baobabfall_node::messages::{
    ActionClaim, ActionOutcome, ActionReport, CLAIM_PATH, ClaimAnswer, ClaimRequest, FencingToken,
    OUTCOME_PATH, OutcomeRequest,
};
use serde::de::IgnoredAny;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// Lease of a claim on the router's own clock, from before it was sent.
pub const CLAIM_LEASE: Duration = Duration::from_secs(10);
/// Most claims or outcomes of one call.
const BATCH_LIMIT: usize = 256;
/// Claim calls outstanding at once: while one waits for its quorum round, the
/// next batch collects.
const CLAIM_LANES: usize = 2;
/// Time in which outcomes must be acknowledged.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which one call with claims must be answered, so that the next
/// leader can be asked before the claims expire.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause before claims are sent again.
const CLAIM_PAUSE: Duration = Duration::from_millis(25);
/// Pause after a failed call with outcomes.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Why a claim got no answer; the action is never dispatched then.
#[derive(Clone, Debug)]
pub struct ClaimError(pub String);

type ClaimResult = Result<ClaimAnswer, ClaimError>;

#[derive(Debug)]
struct PendingClaim {
    claim: ActionClaim,
    expires: Instant,
    /// True once an answer was lost, so that the claim may be committed.
    lost: bool,
    answer: oneshot::Sender<ClaimResult>,
}

/// Exchange of claims and outcomes with the leader.
#[derive(Debug)]
pub struct ActionClient {
    link: Arc<LeaderLink>,
    router: NodeIdentity,
    attempts: AtomicU64,
    claims: Mutex<Vec<PendingClaim>>,
    claims_added: Notify,
    outcomes: Mutex<Vec<ActionReport>>,
    outcomes_added: Notify,
    claim_time: Duration,
}

impl ActionClient {
    /// A client whose claims must be answered within `claim_time`.
    pub fn new(link: Arc<LeaderLink>, router: NodeIdentity, claim_time: Duration) -> Arc<Self> {
        Arc::new(Self {
            link,
            router,
            attempts: AtomicU64::new(0),
            claims: Mutex::default(),
            claims_added: Notify::new(),
            outcomes: Mutex::default(),
            outcomes_added: Notify::new(),
            claim_time,
        })
    }

    fn claims(&self) -> MutexGuard<'_, Vec<PendingClaim>> {
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn outcomes(&self) -> MutexGuard<'_, Vec<ActionReport>> {
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Outcomes that are not acknowledged yet.
    pub fn unacknowledged(&self) -> usize {
        self.outcomes().len()
    }

    /// Claims an action and waits for the answer.
    pub async fn claim(self: &Arc<Self>, mut claim: ActionClaim) -> ClaimResult {
        claim.router = self.router.clone();
        claim.attempt = self.attempts.fetch_add(1, Ordering::Relaxed) + 1;
        let (answer, receiver) = oneshot::channel();
        let expires = Instant::now() + self.claim_time;
        let lost = LostClaim { client: Arc::clone(self), claim: Some(claim.clone()) };
        self.claims().push(PendingClaim { claim, expires, lost: false, answer });
        self.claims_added.notify_one();
        let result = receiver.await;
        // From here on the answer is known, or the lane reported the claim as lost.
        lost.answered();
        result.unwrap_or_else(|_| Err(ClaimError("the router stops".to_owned())))
    }

    /// Sends claims until the task is dropped.
    pub async fn run_claims(&self) {
        let lanes = std::iter::repeat_with(|| self.run_claim_lane()).take(CLAIM_LANES);
        futures_util::future::join_all(lanes).await;
    }

    async fn run_claim_lane(&self) {
        loop {
            self.claims_added.notified().await;
            loop {
                let batch = self.take_claims();
                if batch.is_empty() {
                    break;
                }
                self.send_claims(batch).await;
            }
        }
    }

    fn take_claims(&self) -> Vec<PendingClaim> {
        let mut claims = self.claims();
        let count = claims.len().min(BATCH_LIMIT);
        claims.drain(..count).collect()
    }

    /// Sends claims again until they are answered or expire: a claim that was
    /// committed before gets its token again, under its attempt number.
    async fn send_claims(&self, batch: Vec<PendingClaim>) {
        let claims = batch.iter().map(|pending| pending.claim.clone()).collect();
        let request = ClaimRequest { claims };
        let expires = batch.iter().map(|pending| pending.expires).min();
        let left = expires
            .map_or(Duration::ZERO, |expires| expires.saturating_duration_since(Instant::now()));
        let call = self.link.call_leader(CLAIM_PATH, &request, left.min(CLAIM_TIMEOUT));
        let answers: Result<Vec<ClaimAnswer>, PeerError> = call.await;
        match answers {
            Ok(answers) if answers.len() == batch.len() => {
                for (pending, answer) in batch.into_iter().zip(answers) {
                    self.answer_claim(pending, answer);
                }
            }
            Ok(answers) => {
                let reason = format!("{} answers to {} claims", answers.len(), batch.len());
                self.retry_claims(batch, &reason, true).await;
            }
            Err(error) => {
                let lost = !matches!(error, PeerError::Refused { .. });
                self.retry_claims(batch, &error.to_string(), lost).await;
            }
        }
    }

    /// A claim that is sent again under its number gets its token again. "Running"
    /// after a lost answer may still be the lost claim itself, at a controller of
    /// an earlier release; the request was not dispatched in either case.
    fn answer_claim(&self, pending: PendingClaim, answer: ClaimAnswer) {
        let open = matches!(answer, ClaimAnswer::Running | ClaimAnswer::OutcomeUnknown);
        if pending.lost && open {
            return self.lose_claim(pending, "the answer to an earlier claim was lost");
        }
        if let Err(Ok(ClaimAnswer::Granted(token))) = pending.answer.send(Ok(answer)) {
            self.report(&pending.claim, token, ActionOutcome::NotRun);
        }
    }

    async fn retry_claims(&self, batch: Vec<PendingClaim>, reason: &str, lost: bool) {
        tokio::time::sleep(CLAIM_PAUSE).await;
        let now = Instant::now();
        for mut pending in batch {
            pending.lost |= lost;
            if pending.expires > now {
                self.claims().push(pending);
            } else if pending.lost {
                self.lose_claim(pending, reason);
            } else {
                let _ = pending.answer.send(Err(ClaimError(reason.to_owned())));
            }
        }
    }

    /// The claim may have been committed: the leader is told that it was never
    /// dispatched, and the caller that the request did not run.
    fn lose_claim(&self, pending: PendingClaim, reason: &str) {
        self.report(&pending.claim, FencingToken::default(), ActionOutcome::NotRun);
        let _ = pending.answer.send(Err(ClaimError(reason.to_owned())));
    }

    fn report(&self, claim: &ActionClaim, token: FencingToken, outcome: ActionOutcome) {
        let report = ActionReport {
            workspace: claim.workspace.clone(),
            service: claim.service.clone(),
            key: claim.key.clone(),
            token,
            outcome,
            router: Some(claim.router.clone()),
            attempt: claim.attempt,
        };
        self.outcomes().push(report);
        self.outcomes_added.notify_one();
    }

    /// Sends outcomes until the task is dropped.
    pub async fn run_outcomes(&self) {
        loop {
            let batch: Vec<ActionReport> =
                self.outcomes().iter().take(BATCH_LIMIT).cloned().collect();
            if batch.is_empty() {
                self.outcomes_added.notified().await;
                continue;
            }
            let count = batch.len();
            let request = OutcomeRequest { outcomes: batch };
            let call =
                self.link.call_leader::<_, IgnoredAny>(OUTCOME_PATH, &request, OUTCOME_TIMEOUT);
            match call.await {
                Ok(_) => {
                    self.outcomes().drain(..count);
                }
                Err(error) => {
                    log::debug!("outcomes not acknowledged: {error}");
                    tokio::time::sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }
}

/// Withdraws a claim whose caller left before its answer.
struct LostClaim {
    client: Arc<ActionClient>,
    claim: Option<ActionClaim>,
}

impl LostClaim {
    fn answered(mut self) {
        self.claim = None;
    }
}

impl Drop for LostClaim {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            // A claim that was not sent yet needs no outcome.
            self.client.claims().retain(|pending| {
                pending.claim.key != claim.key || pending.claim.workspace != claim.workspace
            });
        }
    }
}

/// A claimed action whose outcome is still open; dropping it reports the
/// outcome as unknown once the action is dispatched, and as not run before.
#[derive(Debug)]
pub struct ActionSettlement {
    client: Arc<ActionClient>,
    claim: ActionClaim,
    token: FencingToken,
    status: u16,
    digest: blake3::Hasher,
    outcome: Option<ActionOutcome>,
}

impl ActionSettlement {
    /// A settlement of a granted claim.
    pub fn new(client: &Arc<ActionClient>, claim: ActionClaim, token: FencingToken) -> Self {
        Self {
            client: Arc::clone(client),
            claim,
            token,
            status: 0,
            digest: blake3::Hasher::new(),
            outcome: Some(ActionOutcome::NotRun),
        }
    }

    /// The fencing token.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Notes that the action may reach the upstream from now on.
    pub fn dispatched(&mut self) {
        self.outcome = Some(ActionOutcome::Unknown);
    }

    /// Notes the proof that the action did not run.
    pub fn not_run(mut self) {
        self.outcome = Some(ActionOutcome::NotRun);
    }

    /// Notes the status of the answer.
    pub fn set_status(&mut self, status: u16) {
        self.status = status;
    }

    /// Adds a part of the answer's body.
    pub fn update(&mut self, data: &[u8]) {
        self.digest.update(data);
    }

    /// Notes that the answer is complete.
    pub fn answered(mut self) {
        let digest = *self.digest.finalize().as_bytes();
        self.outcome = Some(ActionOutcome::Answered { status: self.status, digest });
    }
}

impl Drop for ActionSettlement {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome.take() {
            self.client.report(&self.claim, self.token, outcome);
        }
    }
}
