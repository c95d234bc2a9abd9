//! Table of workspaces with their keys, weights and limits, imported from and
//! exported to CSV.

use crate::sorted_map::SortedMap;
use crate::upstream_registry::is_valid_name;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Column names of the CSV form, in export order.
pub const COLUMNS: [&str; 9] = [
    "workspace",
    "key_hash",
    "weight",
    "concurrency",
    "requests_per_minute",
    "tokens_per_minute",
    "queue_length",
    "request_kib",
    "protected",
];
/// Columns that an imported file may omit.
const OPTIONAL_COLUMNS: [&str; 1] = ["protected"];
/// Maximum number of rows in a table.
pub const ROW_LIMIT: usize = 10_000;
/// Highest weight of a workspace; the lowest is 1.
pub const WEIGHT_LIMIT: u32 = 10_000;

/// One workspace with its keys, weight and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceRow {
    /// Name of the workspace, unique in the table.
    pub name: String,
    /// Hex BLAKE3 hashes of the accepted caller keys: one, or two while a key is
    /// being replaced.
    pub key_hashes: Vec<String>,
    /// Share of capacity relative to the other workspaces.
    pub weight: u32,
    /// Maximum number of concurrent requests in the fleet.
    pub concurrency: u32,
    /// Maximum number of requests started per minute in the fleet.
    pub requests_per_minute: u32,
    /// Maximum number of tokens charged per minute in the fleet.
    pub tokens_per_minute: u64,
    /// Maximum number of queued requests in the fleet.
    pub queue_length: u32,
    /// Maximum size of a request body in KiB.
    pub request_kib: u32,
    /// True when the workspace may call protected actions.
    pub protected: bool,
}

/// A table of workspaces, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceTable {
    rows: SortedMap<String, WorkspaceRow>,
}

/// One error in an imported CSV file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableFault {
    /// Line of the file, counting from 1; 0 when no line is known.
    pub line: u64,
    /// Name of the column; empty when the error concerns the whole row or file.
    pub column: String,
    /// What is wrong and which values are accepted.
    pub message: String,
}

impl fmt::Display for TableFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.column.as_str() {
            "" => write!(f, "line {}: {}", self.line, self.message),
            column => write!(f, "line {}, column {column}: {}", self.line, self.message),
        }
    }
}

/// One change that turns a table into another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum RowChange {
    /// Adds a workspace or replaces its row.
    Put {
        /// The complete new row.
        row: WorkspaceRow,
    },
    /// Removes a workspace.
    Remove {
        /// Name of the workspace to remove.
        name: String,
    },
}

impl RowChange {
    /// Name of the workspace that changes.
    pub fn name(&self) -> &str {
        match self {
            Self::Put { row } => &row.name,
            Self::Remove { name } => name,
        }
    }
}

/// Hash of a caller key as stored in the table: BLAKE3 as 64 lower-case hex
/// digits.
///
/// ```
/// use baobabfall_core::workspace_table::hash_key;
/// assert_eq!(hash_key("example").len(), 64);
/// ```
pub fn hash_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

impl WorkspaceTable {
    /// Parses a table from CSV text. On failure it returns every error in the file,
    /// not only the first.
    ///
    /// ```
    /// use baobabfall_core::workspace_table::{WorkspaceTable, hash_key};
    /// let hash = hash_key("secret");
    /// let text = format!(
    ///     "workspace,key_hash,weight,concurrency,requests_per_minute,tokens_per_minute,queue_length,request_kib\n\
    ///      team-a,{hash},4,8,600,100000,50,1024\n"
    /// );
    /// let table = WorkspaceTable::parse_csv(text.as_bytes()).unwrap();
    /// assert_eq!(table.get("team-a").unwrap().weight, 4);
    /// ```
    pub fn parse_csv(bytes: &[u8]) -> Result<Self, Vec<TableFault>> {
        let bytes = bytes.strip_prefix("\u{feff}".as_bytes()).unwrap_or(bytes);
        let mut reader = csv::ReaderBuilder::new().flexible(true).from_reader(bytes);
        let header = match reader.headers() {
            Ok(header) => header.clone(),
            Err(error) => {
                return Err(vec![fault(1, "", format!("The header is unreadable: {error}."))]);
            }
        };
        let positions = header_positions(&header)?;
        let mut faults = Vec::new();
        let mut table = Self::default();
        for (index, record) in reader.records().enumerate() {
            if index >= ROW_LIMIT {
                faults.push(fault(0, "", format!("A table must have at most {ROW_LIMIT} rows.")));
                break;
            }
            let record = match record {
                Ok(record) => record,
                Err(error) => {
                    let line = error.position().map_or(0, csv::Position::line);
                    faults.push(fault(line, "", format!("The row is unreadable: {error}.")));
                    continue;
                }
            };
            let line = record.position().map_or(0, csv::Position::line);
            if record.iter().all(|cell| cell.trim().is_empty()) {
                continue;
            }
            if record.len() != header.len() {
                let message = format!(
                    "The row has {} cells, but the header has {}; quote cells that contain a comma, and write whole numbers without a decimal comma.",
                    record.len(),
                    header.len()
                );
                faults.push(fault(line, "", message));
                continue;
            }
            let mut reader =
                RowReader { line, record: &record, positions: &positions, faults: &mut faults };
            if let Some(row) = reader.read_row() {
                table.insert_checked(line, row, &mut faults);
            }
        }
        if faults.is_empty() { Ok(table) } else { Err(faults) }
    }

    fn insert_checked(&mut self, line: u64, row: WorkspaceRow, faults: &mut Vec<TableFault>) {
        if self.rows.contains_key(&row.name) {
            faults.push(fault(
                line,
                "workspace",
                format!("Workspace {} is listed twice.", row.name),
            ));
            return;
        }
        let shared = self
            .rows
            .values()
            .find(|other| other.key_hashes.iter().any(|hash| row.key_hashes.contains(hash)));
        if let Some(other) = shared {
            let message =
                format!("Workspace {} has the same key; each needs its own key.", other.name);
            faults.push(fault(line, "key_hash", message));
            return;
        }
        self.rows.insert(row.name.clone(), row);
    }

    /// Formats the table as CSV text that [`Self::parse_csv`] accepts.
    pub fn to_csv(&self) -> String {
        let mut text = COLUMNS.join(",");
        text.push('\n');
        for row in self.rows.values() {
            text.push_str(&format!(
                "{},{},{},{},{},{},{},{},{}\n",
                row.name,
                row.key_hashes.join(" "),
                row.weight,
                row.concurrency,
                row.requests_per_minute,
                row.tokens_per_minute,
                row.queue_length,
                row.request_kib,
                if row.protected { "yes" } else { "no" }
            ));
        }
        text
    }

    /// The row of the workspace `name`.
    pub fn get(&self, name: &str) -> Option<&WorkspaceRow> {
        self.rows.get(name)
    }

    /// All rows, by workspace name.
    pub fn rows(&self) -> &SortedMap<String, WorkspaceRow> {
        &self.rows
    }

    /// Changes that turn this table into `next`, sorted by workspace name.
    pub fn diff(&self, next: &Self) -> Vec<RowChange> {
        let removed = self.rows.keys().filter(|name| !next.rows.contains_key(*name));
        let mut changes: Vec<RowChange> =
            removed.map(|name| RowChange::Remove { name: name.clone() }).collect();
        let put = next.rows.values().filter(|row| self.get(&row.name) != Some(row));
        changes.extend(put.map(|row| RowChange::Put { row: row.clone() }));
        changes.sort_by(|a, b| a.name().cmp(b.name()));
        changes
    }

    /// Applies changes in order without validating them.
    pub fn apply(&mut self, changes: &[RowChange]) {
        for change in changes {
            match change {
                RowChange::Put { row } => {
                    self.rows.insert(row.name.clone(), row.clone());
                }
                RowChange::Remove { name } => {
                    self.rows.remove(name);
                }
            }
        }
    }

    /// Hex BLAKE3 hash of the CSV form; equal tables have equal digests.
    pub fn digest(&self) -> String {
        blake3::hash(self.to_csv().as_bytes()).to_hex().to_string()
    }
}

fn fault(line: u64, column: &str, message: String) -> TableFault {
    TableFault { line, column: column.to_owned(), message }
}

fn header_positions(header: &csv::StringRecord) -> Result<Vec<Option<usize>>, Vec<TableFault>> {
    let mut faults = Vec::new();
    let names: Vec<String> = header.iter().map(|name| name.trim().to_ascii_lowercase()).collect();
    for (index, name) in names.iter().enumerate() {
        if !COLUMNS.contains(&name.as_str()) {
            let accepted = COLUMNS.join(", ");
            faults.push(fault(
                1,
                name,
                format!("Unknown column; accepted columns are {accepted}."),
            ));
        }
        if names[..index].contains(name) {
            faults.push(fault(1, name, "The column is listed twice.".to_owned()));
        }
    }
    let mut positions = Vec::new();
    for column in COLUMNS {
        let position = names.iter().position(|name| name == column);
        if position.is_none() && !OPTIONAL_COLUMNS.contains(&column) {
            faults.push(fault(1, column, "The column is missing.".to_owned()));
        }
        positions.push(position);
    }
    if faults.is_empty() { Ok(positions) } else { Err(faults) }
}

struct RowReader<'a> {
    line: u64,
    record: &'a csv::StringRecord,
    positions: &'a [Option<usize>],
    faults: &'a mut Vec<TableFault>,
}

impl RowReader<'_> {
    fn cell(&self, column: &str) -> Option<&str> {
        let index = COLUMNS.iter().position(|name| *name == column)?;
        self.record.get(self.positions[index]?).map(str::trim)
    }

    fn push_fault(&mut self, column: &str, message: String) {
        self.faults.push(fault(self.line, column, message));
    }

    fn parse_number(&mut self, column: &str, low: u64, high: u64) -> Option<u64> {
        let cell = self.cell(column).unwrap_or_default().to_owned();
        let hint = if cell.contains(',') || cell.contains('.') {
            " without decimal or thousands separators"
        } else {
            ""
        };
        match cell.parse::<u64>() {
            Ok(number) if (low..=high).contains(&number) => Some(number),
            _ => {
                self.push_fault(
                    column,
                    format!("{cell:?} is not a whole number{hint} from {low} to {high}."),
                );
                None
            }
        }
    }

    fn parse_u32(&mut self, column: &str, low: u32, high: u32) -> Option<u32> {
        let number = self.parse_number(column, low.into(), high.into())?;
        u32::try_from(number).ok()
    }

    fn parse_name(&mut self) -> Option<String> {
        let name = self.cell("workspace").unwrap_or_default().to_owned();
        if is_valid_name(&name) {
            return Some(name);
        }
        self.push_fault(
            "workspace",
            format!("{name:?} is not a valid name; use 1 to 64 of the characters a-z 0-9 - . _."),
        );
        None
    }

    fn parse_key_hashes(&mut self) -> Option<Vec<String>> {
        let cell = self.cell("key_hash").unwrap_or_default();
        let hashes: Vec<String> = cell.split_whitespace().map(str::to_ascii_lowercase).collect();
        let valid = |hash: &String| hash.len() == 64 && hash.bytes().all(|b| b.is_ascii_hexdigit());
        if (1..=2).contains(&hashes.len()) && hashes.iter().all(valid) {
            return Some(hashes);
        }
        self.push_fault(
            "key_hash",
            "One or two BLAKE3 hashes of 64 hex digits are needed; `baobabctl key hash` prints one."
                .to_owned(),
        );
        None
    }

    fn parse_protected(&mut self) -> Option<bool> {
        match self.cell("protected").unwrap_or("no") {
            "yes" => Some(true),
            "no" | "" => Some(false),
            other => {
                let message = format!("{other:?} is neither yes nor no.");
                self.push_fault("protected", message);
                None
            }
        }
    }

    fn read_row(&mut self) -> Option<WorkspaceRow> {
        let name = self.parse_name();
        let key_hashes = self.parse_key_hashes();
        let weight = self.parse_u32("weight", 1, WEIGHT_LIMIT);
        let concurrency = self.parse_u32("concurrency", 1, 100_000);
        let requests_per_minute = self.parse_u32("requests_per_minute", 1, 10_000_000);
        let tokens_per_minute = self.parse_number("tokens_per_minute", 1, 1_000_000_000_000);
        let queue_length = self.parse_u32("queue_length", 1, 1_000_000);
        let request_kib = self.parse_u32("request_kib", 1, 1_048_576);
        let protected = self.parse_protected();
        Some(WorkspaceRow {
            name: name?,
            key_hashes: key_hashes?,
            weight: weight?,
            concurrency: concurrency?,
            requests_per_minute: requests_per_minute?,
            tokens_per_minute: tokens_per_minute?,
            queue_length: queue_length?,
            request_kib: request_kib?,
            protected: protected?,
        })
    }
}
