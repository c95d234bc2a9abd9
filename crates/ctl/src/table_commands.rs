//! Commands that read and change the workspace table.

use crate::cli::{Apply, Rollback, Table, TableCmd};
use crate::control_client::ControlClient;
use crate::error::CtlError;
use crate::options::CtlOptions;
use crate::output::{print, print_json};
use crate::progress::Progress;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::workspace_table::{RowChange, TableFault, WorkspaceTable};
use baobabfall_node::http_client::PeerError;
use baobabfall_node::operator_messages::{
    ConflictView, EditAnswer, HISTORY_PATH, HistoryEntry, ROLLBACK_PATH, TABLE_PATH, TableEdit,
    TableRollback, TableView,
};
use baobabfall_node::units::parse_duration;
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;

/// Default time limit of `--wait`. It exceeds the 12 s that the largest fleet needs.
const DEFAULT_WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two status requests while waiting for the nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a `table` subcommand.
pub async fn run(options: &CtlOptions, table: &Table) -> Result<(), CtlError> {
    match &table.subcommand {
        TableCmd::Check(check) => check_file(options, &check.file),
        TableCmd::Diff(diff) => show_diff(options, &diff.file).await,
        TableCmd::Apply(apply) => apply_file(options, apply).await,
        TableCmd::Show(_) => show(options).await,
        TableCmd::Export(_) => export(options).await,
        TableCmd::History(_) => history(options).await,
        TableCmd::Rollback(rollback) => roll_back(options, rollback).await,
    }
}

fn read_table(path: &Path) -> Result<WorkspaceTable, CtlError> {
    let bytes = std::fs::read(path).map_err(|error| CtlError::Unreadable {
        path: path.to_owned(),
        reason: error.to_string(),
    })?;
    WorkspaceTable::parse_csv(&bytes)
        .map_err(|faults| CtlError::Table { path: path.to_owned(), faults })
}

fn check_file(options: &CtlOptions, path: &Path) -> Result<(), CtlError> {
    let table = match read_table(path) {
        Err(CtlError::Table { path, faults }) if options.json => {
            print_json(&faults);
            return Err(CtlError::Table { path, faults });
        }
        other => other?,
    };
    if options.json {
        print_json::<Vec<TableFault>>(&Vec::new());
    } else {
        println!("{}: {} workspaces, no errors", path.display(), table.rows().len());
    }
    Ok(())
}

async fn fetch_current(client: &ControlClient) -> Result<(TableView, WorkspaceTable), CtlError> {
    fetch_from(client, TABLE_PATH).await
}

async fn fetch_from(
    client: &ControlClient,
    path: &str,
) -> Result<(TableView, WorkspaceTable), CtlError> {
    let view: TableView = client.get(path).await?;
    let table = WorkspaceTable::parse_csv(view.csv.as_bytes()).map_err(|faults| {
        CtlError::Table { path: "table sent by the controller".into(), faults }
    })?;
    Ok((view, table))
}

fn print_changes(options: &CtlOptions, current: &WorkspaceTable, changes: &[RowChange]) {
    let rows = changes
        .iter()
        .map(|change| {
            let (kind, detail) = match (change, current.get(change.name())) {
                (RowChange::Remove { .. }, _) => ("remove", String::new()),
                (RowChange::Put { .. }, None) => ("add", String::new()),
                (RowChange::Put { row }, Some(old)) => ("change", changed_columns(old, row)),
            };
            vec![kind.to_owned(), change.name().to_owned(), detail]
        })
        .collect();
    print(options.json, &changes, &["change", "workspace", "columns"], rows);
}

fn changed_columns(
    old: &baobabfall_core::workspace_table::WorkspaceRow,
    new: &baobabfall_core::workspace_table::WorkspaceRow,
) -> String {
    let numbers = [
        ("weight", u64::from(old.weight), u64::from(new.weight)),
        ("concurrency", old.concurrency.into(), new.concurrency.into()),
        ("requests_per_minute", old.requests_per_minute.into(), new.requests_per_minute.into()),
        ("tokens_per_minute", old.tokens_per_minute, new.tokens_per_minute),
        ("queue_length", old.queue_length.into(), new.queue_length.into()),
        ("request_kib", old.request_kib.into(), new.request_kib.into()),
        ("protected", old.protected.into(), new.protected.into()),
    ];
    let mut parts: Vec<String> = numbers
        .iter()
        .filter(|(_, before, after)| before != after)
        .map(|(name, before, after)| format!("{name} {before} -> {after}"))
        .collect();
    if old.key_hashes != new.key_hashes {
        parts.push("key_hash".to_owned());
    }
    parts.join(", ")
}

async fn show_diff(options: &CtlOptions, path: &Path) -> Result<(), CtlError> {
    let next = read_table(path)?;
    let (_, current) = fetch_current(&ControlClient::new(options)?).await?;
    print_changes(options, &current, &current.diff(&next));
    Ok(())
}

async fn apply_file(options: &CtlOptions, apply: &Apply) -> Result<(), CtlError> {
    let timeout = match &apply.timeout {
        Some(text) => parse_duration(text).map_err(CtlError::Usage)?,
        None => DEFAULT_WAIT_TIMEOUT,
    };
    let next = read_table(&apply.file)?;
    let client = ControlClient::new(options)?;
    // The changes are computed against the base revision, so that an edit that is resent with its
    // id has the same content even if the table has changed in the meantime.
    let path = match apply.base {
        Some(base) => format!("{TABLE_PATH}?revision={base}"),
        None => TABLE_PATH.to_owned(),
    };
    let (view, base_table) = fetch_from(&client, &path).await?;
    let base = view.revision;
    let edit_id = apply.edit_id.clone().unwrap_or_else(|| uuid::Uuid::new_v4().to_string());
    let changes = base_table.diff(&next);
    if changes.is_empty() && apply.edit_id.is_none() {
        let answer = EditAnswer { revision: view.revision, digest: view.digest, repeated: false };
        return report(options, &answer, "nothing to apply: the file equals revision");
    }
    let edit =
        TableEdit { operator: options.operator.clone(), edit_id, base_revision: base, changes };
    let answer: EditAnswer =
        client.post(TABLE_PATH, &edit).await.map_err(|error| conflict_error(error, base))?;
    if apply.wait {
        wait_in_force(&client, answer.revision, timeout).await?;
    }
    report(options, &answer, "accepted as revision")
}

fn report(options: &CtlOptions, answer: &EditAnswer, text: &str) -> Result<(), CtlError> {
    if options.json {
        print_json(answer);
    } else {
        println!("{text} {}", answer.revision);
    }
    Ok(())
}

fn conflict_error(error: PeerError, base: u64) -> CtlError {
    if let PeerError::Refused { kind: ErrorKind::RevisionConflict, body, .. } = &error
        && let Ok(view) = serde_json::from_slice::<ConflictView>(body)
    {
        return CtlError::Conflict { revision: view.revision, base, changes: view.changes };
    }
    error.into()
}

async fn wait_in_force(
    client: &ControlClient,
    revision: u64,
    timeout: Duration,
) -> Result<(), CtlError> {
    let end = Instant::now() + timeout;
    let progress = Progress::new("in force at nodes");
    loop {
        let status = client.status().await?;
        let lagging: Vec<&str> = status
            .nodes
            .iter()
            .filter(|node| node.revision < revision)
            .map(|node| node.name.as_str())
            .collect();
        progress.show(status.nodes.len() - lagging.len(), status.nodes.len());
        if lagging.is_empty() {
            return Ok(());
        }
        if Instant::now() >= end {
            return Err(CtlError::Lagging(format!(
                "Revision {revision} is accepted but not yet in force at: {}.",
                lagging.join(", ")
            )));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn show(options: &CtlOptions) -> Result<(), CtlError> {
    let (view, table) = fetch_current(&ControlClient::new(options)?).await?;
    let rows = table
        .rows()
        .values()
        .map(|row| {
            vec![
                row.name.clone(),
                row.weight.to_string(),
                row.concurrency.to_string(),
                row.requests_per_minute.to_string(),
                row.tokens_per_minute.to_string(),
                row.queue_length.to_string(),
                row.request_kib.to_string(),
                if row.protected { "yes" } else { "no" }.to_owned(),
            ]
        })
        .collect();
    if !options.json {
        println!("revision {}", view.revision);
    }
    let header = [
        "workspace",
        "weight",
        "concurrency",
        "requests/min",
        "tokens/min",
        "queue",
        "request KiB",
        "protected",
    ];
    print(options.json, &view, &header, rows);
    Ok(())
}

async fn export(options: &CtlOptions) -> Result<(), CtlError> {
    let (view, _) = fetch_current(&ControlClient::new(options)?).await?;
    if options.json {
        print_json(&view);
    } else {
        print!("{}", view.csv);
    }
    Ok(())
}

async fn history(options: &CtlOptions) -> Result<(), CtlError> {
    let entries: Vec<HistoryEntry> = ControlClient::new(options)?.get(HISTORY_PATH).await?;
    let rows = entries
        .iter()
        .map(|entry| {
            let names: Vec<&str> = entry.changes.iter().map(RowChange::name).collect();
            vec![
                entry.revision.to_string(),
                entry.time_ms.to_string(),
                entry.operator.clone(),
                entry.edit_id.clone(),
                names.join(" "),
            ]
        })
        .collect();
    print(options.json, &entries, &["revision", "time ms", "operator", "edit id", "rows"], rows);
    Ok(())
}

async fn roll_back(options: &CtlOptions, rollback: &Rollback) -> Result<(), CtlError> {
    let client = ControlClient::new(options)?;
    let (view, _) = fetch_current(&client).await?;
    let message = TableRollback {
        operator: options.operator.clone(),
        edit_id: rollback.edit_id.clone().unwrap_or_else(|| uuid::Uuid::new_v4().to_string()),
        base_revision: view.revision,
        to_revision: rollback.revision,
    };
    let answer: EditAnswer = client
        .post(ROLLBACK_PATH, &message)
        .await
        .map_err(|error| conflict_error(error, view.revision))?;
    report(options, &answer, "accepted as revision")
}
