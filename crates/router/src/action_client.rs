//! Client that claims protected actions at the leader and reports their outcomes.
//!
//! Claims of concurrent requests are batched into one call. An outcome is resent
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

/// How long a granted claim permits the dispatch of its action. The router measures
/// this on its own clock, from before the claim was sent.
pub const CLAIM_LEASE: Duration = Duration::from_secs(10);
/// Maximum number of claims or outcomes in one call.
const BATCH_LIMIT: usize = 256;
/// Number of concurrent claim calls. Claims that arrive while all calls wait for
/// their quorum round form the next batch.
const CLAIM_WORKERS: usize = 2;
/// Time in which a call with outcomes must be acknowledged.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which a call with claims must be answered. It is short enough that the
/// next leader can be asked before the claims expire.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause before claims are resent.
const CLAIM_RETRY_PAUSE: Duration = Duration::from_millis(25);
/// Pause after a failed call with outcomes.
const OUTCOME_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Reason why a claim was not answered. The action is not dispatched in this case.
#[derive(Clone, Debug)]
pub struct ClaimError(pub String);

type ClaimResult = Result<ClaimAnswer, ClaimError>;

#[derive(Debug)]
struct PendingClaim {
    claim: ActionClaim,
    expires: Instant,
    /// True once a call was sent and not answered, so that the claim may have been
    /// committed.
    maybe_committed: bool,
    answer: oneshot::Sender<ClaimResult>,
}

/// Sends claims and outcomes of protected actions to the leader.
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
    /// Creates a client whose claims fail if they are not answered within `claim_time`.
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

    /// Number of outcomes that the leader has not acknowledged yet.
    pub fn unacknowledged(&self) -> usize {
        self.outcomes().len()
    }

    /// Claims an action and waits for the answer. The router and the attempt number
    /// of `claim` are filled in. If the caller drops the future, a claim that was not
    /// sent yet is withdrawn.
    pub async fn claim(self: &Arc<Self>, mut claim: ActionClaim) -> ClaimResult {
        claim.router = self.router.clone();
        claim.attempt = self.attempts.fetch_add(1, Ordering::Relaxed) + 1;
        let (answer, receiver) = oneshot::channel();
        let expires = Instant::now() + self.claim_time;
        let guard = ClaimGuard { client: Arc::clone(self), claim: Some(claim.clone()) };
        self.claims().push(PendingClaim { claim, expires, maybe_committed: false, answer });
        self.claims_added.notify_one();
        let result = receiver.await;
        // The claim was answered or given up by its worker, so nothing is left to withdraw.
        guard.disarm();
        result.unwrap_or_else(|_| Err(ClaimError("the router is shutting down".to_owned())))
    }

    /// Sends pending claims with several concurrent workers. Runs until the task is
    /// dropped.
    pub async fn run_claims(&self) {
        let workers = std::iter::repeat_with(|| self.run_claim_worker()).take(CLAIM_WORKERS);
        futures_util::future::join_all(workers).await;
    }

    async fn run_claim_worker(&self) {
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

    /// Sends a batch of claims and distributes the answers. If the call fails, the
    /// claims are resent until they are answered or expire; a claim that was already
    /// committed gets the same token again, because it keeps its attempt number.
    async fn send_claims(&self, batch: Vec<PendingClaim>) {
        let claims = batch.iter().map(|pending| pending.claim.clone()).collect();
        let request = ClaimRequest { claims };
        let expires = batch.iter().map(|pending| pending.expires).min();
        let remaining = expires
            .map_or(Duration::ZERO, |expires| expires.saturating_duration_since(Instant::now()));
        let call = self.link.call_leader(CLAIM_PATH, &request, remaining.min(CLAIM_TIMEOUT));
        let answers: Result<Vec<ClaimAnswer>, PeerError> = call.await;
        match answers {
            Ok(answers) if answers.len() == batch.len() => {
                for (pending, answer) in batch.into_iter().zip(answers) {
                    self.answer_claim(pending, answer);
                }
            }
            Ok(answers) => {
                let reason =
                    format!("received {} answers to {} claims", answers.len(), batch.len());
                self.retry_claims(batch, &reason, true).await;
            }
            Err(error) => {
                let maybe_committed = !matches!(error, PeerError::Refused { .. });
                self.retry_claims(batch, &error.to_string(), maybe_committed).await;
            }
        }
    }

    /// Passes an answer on to the waiting request.
    ///
    /// A claim that is resent with the same attempt number gets the same token again,
    /// except from a controller of an earlier release: there, `Running` after a lost
    /// answer may refer to this claim itself. The request was not dispatched in either
    /// case, so the claim is given up.
    fn answer_claim(&self, pending: PendingClaim, answer: ClaimAnswer) {
        let unresolved = matches!(answer, ClaimAnswer::Running | ClaimAnswer::OutcomeUnknown);
        if pending.maybe_committed && unresolved {
            return self
                .abandon_claim(pending, "the answer to an earlier call with this claim was lost");
        }
        if let Err(Ok(ClaimAnswer::Granted(token))) = pending.answer.send(Ok(answer)) {
            self.report(&pending.claim, token, ActionOutcome::NotRun);
        }
    }

    async fn retry_claims(&self, batch: Vec<PendingClaim>, reason: &str, maybe_committed: bool) {
        tokio::time::sleep(CLAIM_RETRY_PAUSE).await;
        let now = Instant::now();
        for mut pending in batch {
            pending.maybe_committed |= maybe_committed;
            if pending.expires > now {
                self.claims().push(pending);
            } else if pending.maybe_committed {
                self.abandon_claim(pending, reason);
            } else {
                let _ = pending.answer.send(Err(ClaimError(reason.to_owned())));
            }
        }
    }

    /// Gives up a claim that may have been committed: reports to the leader that the
    /// action was not dispatched, and tells the waiting request that it did not run.
    fn abandon_claim(&self, pending: PendingClaim, reason: &str) {
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

    /// Sends outcomes and resends them until they are acknowledged. Runs until the task
    /// is dropped.
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
                    log::debug!("failed to report outcomes: {error}");
                    tokio::time::sleep(OUTCOME_RETRY_PAUSE).await;
                }
            }
        }
    }
}

/// Withdraws a claim that was not sent yet if the waiting request is dropped.
struct ClaimGuard {
    client: Arc<ActionClient>,
    claim: Option<ActionClaim>,
}

impl ClaimGuard {
    fn disarm(mut self) {
        self.claim = None;
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            // Removes claims that wait to be sent; a claim that was not sent needs no
            // outcome. Claims in a call are handled by their worker.
            self.client.claims().retain(|pending| {
                pending.claim.key != claim.key || pending.claim.workspace != claim.workspace
            });
        }
    }
}

/// A claimed action whose outcome is not reported yet. Dropping it reports the
/// outcome: "not run" before the action is dispatched, "unknown" afterwards, unless
/// another outcome has been recorded.
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
    /// Creates the settlement of a granted claim; its outcome is "not run" at first.
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

    /// Fencing token of the claim, which is sent to the upstream.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Records that the action may reach the upstream from now on, so that its outcome
    /// is unknown until it is answered.
    pub fn dispatched(&mut self) {
        self.outcome = Some(ActionOutcome::Unknown);
    }

    /// Reports that the action provably did not run.
    pub fn not_run(mut self) {
        self.outcome = Some(ActionOutcome::NotRun);
    }

    /// Records the HTTP status of the upstream's answer.
    pub fn set_status(&mut self, status: u16) {
        self.status = status;
    }

    /// Adds a part of the answer's body to the digest.
    pub fn update(&mut self, data: &[u8]) {
        self.digest.update(data);
    }

    /// Reports that the answer is complete, with its status and the digest of its body.
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
