//! The workspace table with the changes of its last revisions.

use crate::error_kind::ErrorKind;
use crate::sorted_map::SortedMap;
use crate::workspace_table::{ROW_LIMIT, RowChange, WorkspaceRow, WorkspaceTable};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::OnceLock;

/// Most revisions whose changes are kept.
pub const REVISION_LIMIT: usize = 2_000;
/// Most bytes of kept changes. Edits of whole tables of 10,000 rows would
/// otherwise fill the memory long before 2,000 revisions.
pub const HISTORY_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Change of one row, with both sides so that it can be undone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowEdit {
    /// Workspace.
    pub name: String,
    /// Row before, absent when the workspace was added.
    pub before: Option<WorkspaceRow>,
    /// Row after, absent when the workspace was removed.
    pub after: Option<WorkspaceRow>,
}

/// One revision of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRevision {
    /// Number, from 1.
    pub revision: u64,
    /// Log time in milliseconds.
    pub time_ms: u64,
    /// Who changed the table.
    pub operator: String,
    /// Edit id of the change.
    pub edit_id: String,
    /// Set on a rollback to the revision whose content returned.
    pub rollback_to: Option<u64>,
    /// What changed, by workspace.
    pub rows: Vec<RowEdit>,
}

/// What a holder of an older revision lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDifference {
    /// Revision after the changes.
    pub revision: u64,
    /// Digest of the whole table at that revision.
    pub digest: String,
    /// The changes, or the table itself.
    pub content: DifferenceContent,
}

/// Changes, or the whole table when the base is too old or unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DifferenceContent {
    /// Row changes by workspace.
    Changes(Vec<RowChange>),
    /// Every row.
    Whole(WorkspaceTable),
}

/// The current table and how it came about.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TableHistory {
    revision: u64,
    table: WorkspaceTable,
    past: VecDeque<TableRevision>,
    past_bytes: usize,
    #[serde(skip)]
    digest: OnceLock<String>,
}

/// Who makes a revision and when.
#[derive(Clone, Copy, Debug)]
pub struct RevisionAuthor<'a> {
    /// Name of the operator.
    pub operator: &'a str,
    /// Edit id.
    pub edit_id: &'a str,
    /// Log time in milliseconds.
    pub time_ms: u64,
}

impl TableHistory {
    /// Number of the current revision; 0 for the empty table at the start.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The current table.
    pub fn table(&self) -> &WorkspaceTable {
        &self.table
    }

    /// Digest of the current table.
    pub fn digest(&self) -> &str {
        self.digest.get_or_init(|| self.table.digest())
    }

    /// Kept revisions, oldest first.
    pub fn revisions(&self) -> impl DoubleEndedIterator<Item = &TableRevision> + ExactSizeIterator {
        self.past.iter()
    }

    /// Checks `changes` against the current table.
    ///
    /// # Errors
    ///
    /// Returns a sentence per fault.
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
            return refuse(format!("A table has at most {ROW_LIMIT} rows."));
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

    /// Checks that no row shares a key with a row that `changes` put; `names`
    /// holds the sorted names of the changed rows.
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
        let within =
            hashes.windows(2).find(|pair| pair[0].0 == pair[1].0 && pair[0].1 != pair[1].1);
        let kept = self.table.rows().values();
        let mut kept = kept.filter(|row| names.binary_search(&row.name.as_str()).is_err());
        let shared = within.map(|pair| (pair[0].1, pair[1].1)).or_else(|| {
            kept.find_map(|row| {
                let held = |hash: &String| hashes.binary_search_by(|put| put.0.cmp(hash)).ok();
                row.key_hashes.iter().find_map(held).map(|place| (hashes[place].1, &*row.name))
            })
        });
        let Some((one, other)) = shared else { return Ok(()) };
        let message =
            format!("Workspaces {one} and {other} have the same key; each needs its own.");
        Err((ErrorKind::InvalidTable, message))
    }

    /// Makes the next revision from checked changes.
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

    fn covers(&self, revision: u64) -> bool {
        let oldest = self.past.front().map_or(self.revision, |past| past.revision - 1);
        (oldest..=self.revision).contains(&revision)
    }

    /// The table as it was at `revision`, while its changes are kept.
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

    /// What a holder of `revision` lacks.
    ///
    /// The whole table is returned when the changes since then are no longer
    /// kept, or when `revision` is not known here.
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
        let touched: SortedMap<&str, ()> =
            newer.flat_map(|past| &past.rows).map(|row| (row.name.as_str(), ())).collect();
        let changes = touched.keys().map(|name| match self.table.get(name) {
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

/// A row is valid when its CSV form is read back as the same row.
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
