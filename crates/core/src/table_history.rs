//! The workspace table with a bounded history of its revisions, from which
//! nodes are updated incrementally and operators roll back.

use crate::error_kind::ErrorKind;
use crate::sorted_map::SortedMap;
use crate::workspace_table::{ROW_LIMIT, RowChange, WorkspaceRow, WorkspaceTable};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::OnceLock;

/// Maximum number of revisions whose changes are kept.
pub const REVISION_LIMIT: usize = 2_000;
/// Maximum size of the kept changes in memory. Edits of whole tables of 10,000
/// rows would otherwise exhaust the memory long before 2,000 revisions.
pub const HISTORY_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Change of one row, with its old and new content so that it can be undone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowEdit {
    /// Name of the workspace.
    pub name: String,
    /// Row before the change; `None` when the workspace was added.
    pub before: Option<WorkspaceRow>,
    /// Row after the change; `None` when the workspace was removed.
    pub after: Option<WorkspaceRow>,
}

/// One revision of the workspace table, stored as the changes from the previous
/// one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRevision {
    /// Number of the revision, counting from 1.
    pub revision: u64,
    /// Log time of the change in milliseconds.
    pub time_ms: u64,
    /// Name of the operator who changed the table.
    pub operator: String,
    /// Edit id of the change.
    pub edit_id: String,
    /// For a rollback, the revision whose content was restored.
    pub rollback_to: Option<u64>,
    /// The changed rows.
    pub rows: Vec<RowEdit>,
}

/// Update that brings a copy of the table from an older revision up to date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDifference {
    /// Revision that the copy has after the update.
    pub revision: u64,
    /// Digest of the whole table at that revision.
    pub digest: String,
    /// The changed rows or the whole table.
    pub content: DifferenceContent,
}

/// Content of an update: the changed rows, or the whole table when the base
/// revision is too old or unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DifferenceContent {
    /// One change per workspace, sorted by name.
    Changes(Vec<RowChange>),
    /// The complete table, which replaces the copy.
    Whole(WorkspaceTable),
}

/// The current workspace table and the changes of its recent revisions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TableHistory {
    revision: u64,
    table: WorkspaceTable,
    past: VecDeque<TableRevision>,
    past_bytes: usize,
    #[serde(skip)]
    digest: OnceLock<String>,
}

/// Author and time of a new revision.
#[derive(Clone, Copy, Debug)]
pub struct RevisionAuthor<'a> {
    /// Name of the operator.
    pub operator: &'a str,
    /// Id of the edit that makes the revision.
    pub edit_id: &'a str,
    /// Log time of the edit in milliseconds.
    pub time_ms: u64,
}

impl TableHistory {
    /// Number of the current revision; 0 for the initial empty table.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The table at the current revision.
    pub fn table(&self) -> &WorkspaceTable {
        &self.table
    }

    /// Digest of the current table, computed on first use after each revision.
    pub fn digest(&self) -> &str {
        self.digest.get_or_init(|| self.table.digest())
    }

    /// Revisions whose changes are kept, oldest first.
    pub fn revisions(&self) -> impl DoubleEndedIterator<Item = &TableRevision> + ExactSizeIterator {
        self.past.iter()
    }

    /// Checks that `changes` can be applied to the current table.
    ///
    /// # Errors
    ///
    /// Returns `InvalidTable` and a message that describes the first invalid change.
    pub fn check(&self, changes: &[RowChange]) -> Result<(), (ErrorKind, String)> {
        let refuse = |message: String| Err((ErrorKind::InvalidTable, message));
        let mut names: Vec<&str> = changes.iter().map(RowChange::name).collect();
        names.sort_unstable();
        if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            return refuse(format!("Workspace {} is changed twice in one edit.", pair[0]));
        }
        let added = |change: &&RowChange| {
            matches!(change, RowChange::Put { .. }) && self.table.get(change.name()).is_none()
        };
        let removed = changes.iter().filter(|change| matches!(change, RowChange::Remove { .. }));
        let rows = self.table.rows().len() + changes.iter().filter(added).count();
        if rows > ROW_LIMIT + removed.count() {
            return refuse(format!("A table must have at most {ROW_LIMIT} rows."));
        }
        for change in changes {
            match change {
                RowChange::Remove { name } if self.table.get(name).is_none() => {
                    return refuse(format!("Workspace {name} does not exist."));
                }
                RowChange::Remove { .. } => {}
                RowChange::Put { row } => check_row(row)?,
            }
        }
        self.check_key_hashes(&names, changes)
    }

    /// Checks that no key hash of a row put by `changes` belongs to another
    /// workspace. `names` holds the sorted names of the changed rows.
    fn check_key_hashes(
        &self,
        names: &[&str],
        changes: &[RowChange],
    ) -> Result<(), (ErrorKind, String)> {
        let mut hashes: Vec<(&str, &str)> = Vec::new();
        for change in changes {
            if let RowChange::Put { row } = change {
                hashes.extend(row.key_hashes.iter().map(|hash| (hash.as_str(), &*row.name)));
            }
        }
        hashes.sort_unstable();
        let duplicate =
            hashes.windows(2).find(|pair| pair[0].0 == pair[1].0 && pair[0].1 != pair[1].1);
        let unchanged = self.table.rows().values();
        let mut unchanged =
            unchanged.filter(|row| names.binary_search(&row.name.as_str()).is_err());
        let shared = duplicate.map(|pair| (pair[0].1, pair[1].1)).or_else(|| {
            unchanged.find_map(|row| {
                let matching = |hash: &String| hashes.binary_search_by(|put| put.0.cmp(hash)).ok();
                row.key_hashes.iter().find_map(matching).map(|index| (hashes[index].1, &*row.name))
            })
        });
        let Some((first, second)) = shared else { return Ok(()) };
        let message =
            format!("Workspaces {first} and {second} have the same key; each needs its own key.");
        Err((ErrorKind::InvalidTable, message))
    }

    /// Applies changes that [`Self::check`] accepted, and returns the number of the
    /// new revision. The oldest revisions are dropped beyond the limits.
    pub fn commit(
        &mut self,
        author: RevisionAuthor<'_>,
        rollback_to: Option<u64>,
        changes: &[RowChange],
    ) -> u64 {
        let rows = changes.iter().map(|change| RowEdit {
            name: change.name().to_owned(),
            before: self.table.get(change.name()).cloned(),
            after: match change {
                RowChange::Put { row } => Some(row.clone()),
                RowChange::Remove { .. } => None,
            },
        });
        let rows = rows.collect();
        self.table.apply(changes);
        self.digest = OnceLock::new();
        self.revision += 1;
        let revision = TableRevision {
            revision: self.revision,
            time_ms: author.time_ms,
            operator: author.operator.to_owned(),
            edit_id: author.edit_id.to_owned(),
            rollback_to,
            rows,
        };
        self.past_bytes += revision_bytes(&revision);
        self.past.push_back(revision);
        while self.past.len() > REVISION_LIMIT || self.past_bytes > HISTORY_LIMIT_BYTES {
            let Some(dropped) = self.past.pop_front() else { break };
            self.past_bytes -= revision_bytes(&dropped);
        }
        self.revision
    }

    /// True when the table at `revision` can be rebuilt from the kept changes.
    fn covers(&self, revision: u64) -> bool {
        let oldest = self.past.front().map_or(self.revision, |past| past.revision - 1);
        (oldest..=self.revision).contains(&revision)
    }

    /// The table as it was at `revision`; `None` when `revision` is unknown or the
    /// changes since then are no longer kept.
    pub fn table_at(&self, revision: u64) -> Option<WorkspaceTable> {
        if !self.covers(revision) {
            return None;
        }
        let mut table = self.table.clone();
        for past in self.past.iter().rev().take_while(|past| past.revision > revision) {
            let undo: Vec<RowChange> = past.rows.iter().map(undo_change).collect();
            table.apply(&undo);
        }
        Some(table)
    }

    /// The update that brings a copy of the table from `revision` up to date.
    ///
    /// It holds the whole table when the changes since `revision` are no longer
    /// kept, or when `revision` is unknown to this controller.
    pub fn changes_since(&self, revision: u64) -> TableDifference {
        let content = if self.covers(revision) {
            DifferenceContent::Changes(self.combined_changes(revision))
        } else {
            DifferenceContent::Whole(self.table.clone())
        };
        TableDifference { revision: self.revision, digest: self.digest().to_owned(), content }
    }

    fn combined_changes(&self, revision: u64) -> Vec<RowChange> {
        let newer = self.past.iter().rev().take_while(|past| past.revision > revision);
        let changed: SortedMap<&str, ()> =
            newer.flat_map(|past| &past.rows).map(|row| (row.name.as_str(), ())).collect();
        let changes = changed.keys().map(|name| match self.table.get(name) {
            Some(row) => RowChange::Put { row: row.clone() },
            None => RowChange::Remove { name: (*name).to_owned() },
        });
        changes.collect()
    }
}

fn undo_change(row: &RowEdit) -> RowChange {
    match &row.before {
        Some(before) => RowChange::Put { row: before.clone() },
        None => RowChange::Remove { name: row.name.clone() },
    }
}

/// Checks a row by writing it as CSV: it is valid when it is read back unchanged.
fn check_row(row: &WorkspaceRow) -> Result<(), (ErrorKind, String)> {
    let mut single = WorkspaceTable::default();
    single.apply(&[RowChange::Put { row: row.clone() }]);
    let refuse = |message: String| Err((ErrorKind::InvalidTable, message));
    match WorkspaceTable::parse_csv(single.to_csv().as_bytes()) {
        Ok(read) if read == single => Ok(()),
        Ok(_) => refuse(format!("The row of workspace {:?} cannot be stored as CSV.", row.name)),
        Err(faults) => {
            let messages: Vec<String> =
                faults.iter().map(|fault| format!("{}: {}", fault.column, fault.message)).collect();
            refuse(format!("Workspace {}: {}", row.name, messages.join(" ")))
        }
    }
}

fn row_bytes(row: &WorkspaceRow) -> usize {
    let hashes: usize = row.key_hashes.iter().map(|hash| hash.len() + size_of::<String>()).sum();
    size_of::<WorkspaceRow>() + row.name.len() + hashes
}

fn revision_bytes(revision: &TableRevision) -> usize {
    let rows = revision.rows.iter().map(|row| {
        let sides = row.before.iter().chain(&row.after).map(row_bytes).sum::<usize>();
        size_of::<RowEdit>() + row.name.len() + sides
    });
    size_of::<TableRevision>()
        + revision.operator.len()
        + revision.edit_id.len()
        + rows.sum::<usize>()
}
