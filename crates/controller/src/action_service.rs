//! Commits claims and outcomes of protected actions through the replicated log.

use crate::replica_driver::{ReplicaHandle, ReplicaRefusal};
use baobabfall_core::action_ledger::{self as ledger, ActionKey};
use baobabfall_core::control_command::{ControlAnswer, ControlCommand};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_node::messages::{ActionClaim, ActionOutcome, ActionReport, ClaimAnswer};
use baobabfall_node::units::wall_clock_ms;
use std::time::Duration;

/// Interval at which claims are checked for an expired lease.
pub const CLAIM_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Commits claims, outcomes and releases of protected actions.
#[derive(Clone, Debug)]
pub struct ActionService {
    replica: ReplicaHandle,
}

impl ActionService {
    /// Creates a service that commits through `replica`.
    pub fn new(replica: ReplicaHandle) -> Self {
        Self { replica }
    }

    /// Commits a batch of claims. Returns one answer per claim, in the order of the claims.
    pub async fn claim(
        &self,
        claims: Vec<ActionClaim>,
    ) -> Result<Vec<ClaimAnswer>, ReplicaRefusal> {
        let claims = claims.into_iter().map(ledger_claim).collect();
        match self.replica.propose(ControlCommand::Claims { claims }).await? {
            ControlAnswer::Claims(answers) => Ok(answers.into_iter().map(wire_answer).collect()),
            _ => Err(unexpected_answer()),
        }
    }

    /// Commits a batch of outcomes and releases. Reports are idempotent.
    pub async fn record(&self, reports: Vec<ActionReport>) -> Result<(), ReplicaRefusal> {
        let (mut outcomes, mut releases) = (Vec::new(), Vec::new());
        for report in reports {
            let key = ActionKey::new(&report.workspace, &report.service, &report.key);
            let token = report.token;
            match report.outcome {
                ActionOutcome::Answered { status, digest } => {
                    let outcome = ledger::ActionOutcome { status, digest };
                    outcomes.push(ledger::OutcomeReport { key, token, outcome });
                }
                ActionOutcome::NotRun => {
                    let Some(router) = report.router else { continue };
                    let attempt = report.attempt;
                    releases.push(ledger::ReleaseReport { key, token, router, attempt });
                }
                // The claim becomes "outcome unknown" when its lease expires. A later report may
                // still supply the outcome.
                ActionOutcome::Unknown => {}
            }
        }
        if !outcomes.is_empty() {
            self.replica.propose(ControlCommand::Outcomes { outcomes }).await?;
        }
        if !releases.is_empty() {
            self.replica.propose(ControlCommand::Releases { releases }).await?;
        }
        Ok(())
    }

    /// Commits an empty command if a claim's lease has expired. The command advances the log
    /// time, so that the action becomes "outcome unknown" even if there is no other traffic.
    pub async fn expire_overdue_claims(&self) {
        let deadline = self.replica.state().ledger().next_deadline_ms();
        if self.replica.view().leads && deadline.is_some_and(|deadline| deadline <= wall_clock_ms())
        {
            let _ = self.replica.propose(ControlCommand::Blank).await;
        }
    }
}

fn unexpected_answer() -> ReplicaRefusal {
    let message = "The state machine returned an unexpected type of result.".to_owned();
    ReplicaRefusal { kind: ErrorKind::Internal, message }
}

fn ledger_claim(claim: ActionClaim) -> ledger::ActionClaim {
    ledger::ActionClaim {
        key: ActionKey::new(&claim.workspace, &claim.service, &claim.key),
        body_digest: claim.digest,
        router: claim.router,
        // 0 means that the router sent no attempt number. A random number matches no other claim,
        // so if such a claim is sent twice, the second one is answered as running.
        attempt: if claim.attempt == 0 { rand::random() } else { claim.attempt },
        path: claim.path.into(),
    }
}

fn wire_answer(answer: ledger::ClaimAnswer) -> ClaimAnswer {
    match answer {
        ledger::ClaimAnswer::Granted(token) => ClaimAnswer::Granted(token),
        ledger::ClaimAnswer::Running => ClaimAnswer::Running,
        ledger::ClaimAnswer::Known(outcome) => ClaimAnswer::Known(ActionOutcome::Answered {
            status: outcome.status,
            digest: outcome.digest,
        }),
        ledger::ClaimAnswer::Unknown { .. } => ClaimAnswer::OutcomeUnknown,
        ledger::ClaimAnswer::Refused(ErrorKind::KeyReused) => ClaimAnswer::KeyReused,
        ledger::ClaimAnswer::Refused(ErrorKind::KeyExpired) => ClaimAnswer::KeyExpired,
        ledger::ClaimAnswer::Refused(_) => ClaimAnswer::KeyMalformed,
    }
}
