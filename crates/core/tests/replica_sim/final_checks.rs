//! Checks of the final state of all replicas against the acknowledged edits.

use super::Sim;
use baobabfall_core::control_command::ControlCommand;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::workspace_table::WorkspaceTable;

impl Sim {
    /// Checks that every acknowledged edit took effect exactly once and that all
    /// replicas have the same state. Requires that all faults have ended.
    pub fn check_final(&mut self) {
        let leader = self.leader().expect("without faults the replicas have a leader");
        let history = self.nodes[leader].state.history();
        assert!(history.revision() >= self.highest_read_revision);
        let revisions: Vec<(&str, u64)> =
            history.revisions().map(|r| (r.edit_id.as_str(), r.revision)).collect();
        let revision_by_edit: SortedMap<&str, u64> = revisions.iter().copied().collect();
        assert_eq!(revision_by_edit.len(), revisions.len(), "an edit took effect twice");
        for (id, revision) in self.acknowledged_edits.iter() {
            assert_eq!(revision_by_edit.get(id.as_str()), Some(revision), "edit {id} is lost");
        }
        for node in &self.nodes {
            assert_eq!(node.state.applied_index(), self.reference_state.applied_index());
            assert_eq!(
                node.state.to_snapshot().unwrap(),
                self.reference_state.to_snapshot().unwrap()
            );
        }
        assert_eq!(*history.table(), self.expected_table());
    }

    /// The table that results when the committed edits are applied in order by a
    /// simple reference implementation.
    fn expected_table(&self) -> WorkspaceTable {
        let mut tables = vec![WorkspaceTable::default()];
        let mut seen_edits: Vec<&str> = Vec::new();
        for entry in &self.committed_entries {
            let Some(edit) = entry.command.edit() else { continue };
            let last = u64::try_from(tables.len()).unwrap() - 1;
            let next = match &entry.command {
                ControlCommand::EditTable { base_revision, changes, .. }
                    if *base_revision == last && !seen_edits.contains(&edit.id.as_str()) =>
                {
                    let mut table = tables.last().unwrap().clone();
                    table.apply(changes);
                    table
                }
                ControlCommand::Rollback { base_revision, to_revision, .. }
                    if *base_revision == last && !seen_edits.contains(&edit.id.as_str()) =>
                {
                    tables[usize::try_from(*to_revision).unwrap()].clone()
                }
                _ => continue,
            };
            seen_edits.push(&edit.id);
            tables.push(next);
        }
        tables.pop().unwrap()
    }
}
