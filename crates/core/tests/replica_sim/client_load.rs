//! Random commands and reads of operators and routers.

use super::Sim;
use baobabfall_core::action_ledger::{ActionClaim, ActionKey, ActionOutcome, OutcomeReport};
use baobabfall_core::control_command::{ControlCommand, EditIdentity};
use baobabfall_core::dispatch_messages::NodeIdentity;
use baobabfall_core::workspace_table::{RowChange, WorkspaceRow, hash_key};

pub fn row(name: &str, weight: u32) -> WorkspaceRow {
    let (name, key_hashes) = (name.to_owned(), vec![hash_key(name)]);
    let (concurrency, requests_per_minute, tokens_per_minute) = (1, 1, 1);
    let (queue_length, request_kib, protected) = (1, 1, true);
    WorkspaceRow {
        name,
        key_hashes,
        weight,
        concurrency,
        requests_per_minute,
        tokens_per_minute,
        queue_length,
        request_kib,
        protected,
    }
}

pub fn edit_command(id: &str, base_revision: u64, name: &str, weight: u32) -> ControlCommand {
    let edit = EditIdentity { operator: "ana".into(), id: id.to_owned() };
    let changes = vec![RowChange::Put { row: row(name, weight) }];
    ControlCommand::EditTable { edit, base_revision, changes }
}

impl Sim {
    pub fn client_step(&mut self) {
        let node_index = match self.leader() {
            Some(leader) if self.random_below(4) > 0 => leader,
            _ => self.random_node(),
        };
        self.next_id += 1;
        let number = self.next_id;
        let command = match self.random_below(10) {
            0 | 1 if !self.issued_commands.is_empty() => {
                let count = u64::try_from(self.issued_commands.len()).unwrap();
                let index = usize::try_from(self.random_below(count)).unwrap();
                self.issued_commands[index].clone()
            }
            2 | 3 => self.claim_command(number),
            4 => self.outcome_command(),
            5 => return self.read(node_index),
            6 => {
                let edit = EditIdentity { operator: "bo".into(), id: format!("edit-{number}") };
                let base_revision = self.nodes[node_index].state.history().revision();
                let to_revision = base_revision.saturating_sub(self.random_below(4));
                ControlCommand::Rollback { edit, base_revision, to_revision }
            }
            _ => {
                let base = self.nodes[node_index].state.history().revision();
                let name = format!("team-{}", self.random_below(5));
                let weight = 1 + u32::try_from(self.random_below(100)).unwrap();
                edit_command(&format!("edit-{number}"), base, &name, weight)
            }
        };
        self.issued_commands.push(command.clone());
        self.propose(node_index, command);
    }

    fn claim_command(&mut self, attempt: u64) -> ControlCommand {
        let router = NodeIdentity {
            name: format!("router-{}", self.random_below(3)),
            incarnation: 1 + self.time / 2_000,
        };
        let key =
            ActionKey::new("team-1", "payout", &format!("20261203-{}", self.random_below(40)));
        let path = "/payout".into();
        let claim = ActionClaim { key, body_digest: [1; 32], router, attempt, path };
        ControlCommand::Claims { claims: vec![claim] }
    }

    fn outcome_command(&mut self) -> ControlCommand {
        let count = u64::try_from(self.granted_claims.len()).unwrap().max(1);
        let index = usize::try_from(self.random_below(count)).unwrap();
        let grant = self.granted_claims.iter().nth(index);
        let outcomes = grant.into_iter().map(|(key, (token, ..))| OutcomeReport {
            key: key.clone(),
            token: *token,
            outcome: ActionOutcome { status: 200, digest: [2; 32] },
        });
        ControlCommand::Outcomes { outcomes: outcomes.collect() }
    }
}
