//! Claims and outcomes of protected actions, committed through the log.

use crate::replica_driver::{ReplicaHandle, ReplicaRefusal};
use baobabfall_core::action_ledger::{self as ledger, ActionKey};
use baobabfall_core::control_command::{ControlAnswer, ControlCommand};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_node::messages::{ActionClaim, ActionOutcome, ActionReport, ClaimAnswer};
use baobabfall_node::units::wall_clock_ms;
use std::time::Duration;

/// How often overdue claims are looked for.
pub const OVERDUE_INTERVAL: Duration = Duration::from_secs(1);

/// Commits claims and outcomes.
#[derive(Clone, Debug)]
pub struct ActionService {
    replica: ReplicaHandle,
}

impl ActionService {
    /// A service over the replicated log.
    pub fn new(replica: ReplicaHandle) -> Self {
        Self { replica }
    }

    /// Claims a batch; the answers stand in the order of the claims.
    pub async fn claim(
        &self,
        claims: Vec<ActionClaim>,
    ) -> Result<Vec<ClaimAnswer>, ReplicaRefusal> {
        let claims = claims.into_iter().map(stored_claim).collect();
        match self.replica.propose(ControlCommand::Claims { claims }).await? {
            ControlAnswer::Claims(answers) => Ok(answers.into_iter().map(shown_answer).collect()),
            _ => Err(unexpected_answer()),
        }
    }

    /// Records a batch of outcomes and releases; repeated ones have no
    /// further effect.
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
                // The claim becomes "outcome unknown" when its lease ends, and a later answer may
                // still settle it.
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

    /// Advances the log time when a claim's lease has ended, so that the
    /// action becomes "outcome unknown" without further traffic.
    pub async fn settle_overdue(&self) {
        let deadline = self.replica.state().ledger().next_deadline_ms();
        if self.replica.view().leads && deadline.is_some_and(|deadline| deadline <= wall_clock_ms())
        {
            let _ = self.replica.propose(ControlCommand::Blank).await;
        }
    }
}

fn unexpected_answer() -> ReplicaRefusal {
    let message = "The log answered with another kind of answer.".to_owned();
    ReplicaRefusal { kind: ErrorKind::Internal, message }
}

fn stored_claim(claim: ActionClaim) -> ledger::ActionClaim {
    ledger::ActionClaim {
        key: ActionKey::new(&claim.workspace, &claim.service, &claim.key),
        body_digest: claim.digest,
        router: claim.router,
        // A claim without a number is of no known attempt: a random one never equals another, so
        // it is answered as running when it is sent twice.
        attempt: if claim.attempt == 0 { rand::random() } else { claim.attempt },
        path: claim.path.into(),
    }
}

fn shown_answer(answer: ledger::ClaimAnswer) -> ClaimAnswer {
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
