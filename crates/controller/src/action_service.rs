//! Claims and outcomes of protected actions, committed through the log.

use crate::replica_driver::{ReplicaHandle, ReplicaRefusal};
use baobabfall_core::action_ledger::{ActionClaim, ClaimAnswer, OutcomeAnswer, OutcomeReport};
use baobabfall_core::control_command::{ControlAnswer, ControlCommand};
use baobabfall_core::error_kind::ErrorKind;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

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
        match self.replica.propose(ControlCommand::Claims { claims }).await? {
            ControlAnswer::Claims(answers) => Ok(answers),
            _ => Err(unexpected_answer()),
        }
    }

    /// Records a batch of outcomes.
    pub async fn record(
        &self,
        outcomes: Vec<OutcomeReport>,
    ) -> Result<Vec<OutcomeAnswer>, ReplicaRefusal> {
        match self.replica.propose(ControlCommand::Outcomes { outcomes }).await? {
            ControlAnswer::Outcomes(answers) => Ok(answers),
            _ => Err(unexpected_answer()),
        }
    }

    /// Advances the log time when a claim's lease has ended, so that the
    /// action becomes "outcome unknown" without further traffic.
    pub async fn settle_overdue(&self) {
        let deadline = self.replica.state().ledger().next_deadline_ms();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        if self.replica.view().leads && deadline.is_some_and(|deadline| deadline <= now) {
            let _ = self.replica.propose(ControlCommand::Blank).await;
        }
    }
}

fn unexpected_answer() -> ReplicaRefusal {
    let message = "The log answered with another kind of answer.".to_owned();
    ReplicaRefusal { kind: ErrorKind::Internal, message }
}
