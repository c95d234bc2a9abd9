//! Checks of a healed fleet against what was acknowledged.

use super::Sim;
use baobabfall_core::control_command::ControlCommand;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::workspace_table::WorkspaceTable;

impl Sim {
    /// Checks the final state of a healed fleet.
    pub fn check_final(&mut self) {
        let leader = self.leader().expect("a healed fleet has a leader");
        let history = self.nodes[leader].state.history();
        assert!(history.revision() >= self.read_revision);
        let revisions: Vec<(&str, u64)> =
            history.revisions().map(|r| (r.edit_id.as_str(), r.revision)).collect();
        let unique: SortedMap<&str, u64> = revisions.iter().copied().collect();
        assert_eq!(unique.len(), revisions.len(), "an edit took effect twice");
        for (id, revision) in self.acked.iter() {
            assert_eq!(unique.get(id.as_str()), Some(revision), "edit {id} is lost");
        }
        for node in &self.nodes {
            assert_eq!(node.state.applied_index(), self.canonical.applied_index());
            assert_eq!(node.state.to_snapshot().unwrap(), self.canonical.to_snapshot().unwrap());
        }
        assert_eq!(*history.table(), self.naive_table());
    }

    /// The table that a plain list of accepted edits gives.
    fn naive_table(&self) -> WorkspaceTable {
        let mut tables = vec![WorkspaceTable::default()];
        let mut seen: Vec<&str> = Vec::new();
        for entry in &self.committed {
            let Some(edit) = entry.command.edit() else { continue };
            let last = u64::try_from(tables.len()).unwrap() - 1;
            let next = match &entry.command {
                ControlCommand::EditTable { base_revision, changes, .. }
                    if *base_revision == last && !seen.contains(&edit.id.as_str()) =>
                {
                    let mut table = tables.last().unwrap().clone();
                    table.apply(changes);
                    table
                }
                ControlCommand::Rollback { base_revision, to_revision, .. }
                    if *base_revision == last && !seen.contains(&edit.id.as_str()) =>
                {
                    tables[usize::try_from(*to_revision).unwrap()].clone()
                }
                _ => continue,
            };
            seen.push(&edit.id);
            tables.push(next);
        }
        tables.pop().unwrap()
    }
}
