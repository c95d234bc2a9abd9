//! The report as a table for terminals.

use crate::report::{FleetReport, ObjectiveReport, WindowData, WindowReport};
use crate::units::{format_duration, to_float};
use std::time::Duration;

/// Worst pairs shown per objective.
const WORST_SHOWN: usize = 3;

/// Renders the table and the notes below it.
pub fn render_text(report: &FleetReport) -> String {
    let mut out = format!("Service-level burn at {}\n", format_time(report.at_ms));
    out.push_str(&format!("Nodes: {} of {} expected", report.nodes_seen, report.nodes_expected));
    if let Some((low, high)) = report.table_revisions {
        out.push_str(&format!("; table revisions {low} to {high}"));
    }
    out.push_str(&format!("; samples used: {}\n\n", report.samples.used));
    let mut rows = vec![header(report)];
    rows.extend(report.objectives.iter().map(row));
    out.push_str(&align(&rows));
    out.push_str("\nBurn rates: 1.0 uses up the budget exactly in its period. ~ too few samples, ");
    out.push_str("- no data, idle: no events.\n");
    for objective in &report.objectives {
        out.push_str(&details(objective));
    }
    for note in report.sample_notes() {
        out.push_str(&format!("\n{note}\n"));
    }
    out
}

fn header(report: &FleetReport) -> Vec<String> {
    let mut cells: Vec<String> =
        ["STATE", "OBJECTIVE", "TARGET", "BUDGET LEFT"].map(str::to_owned).into();
    let windows = report.objectives.first().map_or(&[][..], |objective| &objective.windows);
    let count = windows.len();
    cells.extend(windows.iter().enumerate().map(|(index, window)| {
        if index + 1 == count { "PERIOD".to_owned() } else { window_name(window).to_uppercase() }
    }));
    cells.push("COVERAGE 1 H".to_owned());
    cells
}

fn row(objective: &ObjectiveReport) -> Vec<String> {
    let mut cells = vec![
        objective.state.words().to_uppercase(),
        objective.title.clone(),
        format_share(objective.target),
        format_budget(objective),
    ];
    cells.extend(objective.windows.iter().map(format_burn));
    let hour = objective.windows.get(2);
    cells.push(hour.map_or_else(String::new, |window| format_share(window.coverage)));
    cells
}

fn details(objective: &ObjectiveReport) -> String {
    let mut out = String::new();
    for note in &objective.notes {
        out.push_str(&format!("  {note}\n"));
    }
    for pair in objective.worst.iter().take(WORST_SHOWN) {
        out.push_str(&format!(
            "  worst: {} {}: {} of {} missed\n",
            or_dash(&pair.workspace),
            or_dash(&pair.model),
            pair.bad,
            pair.events
        ));
    }
    if out.is_empty() { out } else { format!("\n{}:\n{out}", objective.title) }
}

fn align(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count()).max()
    };
    let widths: Vec<usize> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
    let mut out = String::new();
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        out.push_str(cells.join("  ").trim_end());
        out.push('\n');
    }
    out
}

/// Name of a window, such as `30 min`.
pub fn window_name(window: &WindowReport) -> String {
    format_duration(Duration::from_millis(window.window_ms))
}

/// Burn rate of a window with its marks.
pub fn format_burn(window: &WindowReport) -> String {
    let mark = if window.data == WindowData::Partial { "~" } else { "" };
    match (window.data, window.burn) {
        (WindowData::Missing, _) => "-".to_owned(),
        _ if window.unbounded => format!("{mark}{} bad", window.bad),
        (_, Some(burn)) => format!("{mark}{burn:.2}"),
        (WindowData::Partial, None) => "~-".to_owned(),
        (_, None) => "idle".to_owned(),
    }
}

/// Budget left of an objective; an upper bound when the period has too few samples.
pub fn format_budget(objective: &ObjectiveReport) -> String {
    let period = objective.windows.last();
    let partial = period.is_some_and(|window| window.data == WindowData::Partial);
    let mark = if partial { "≤ " } else { "" };
    match objective.budget_left {
        Some(left) => format!("{mark}{:.1}%", left * 100.0),
        None if period.is_some_and(|window| window.unbounded) => "none".to_owned(),
        None => "no data".to_owned(),
    }
}

/// Share as a percentage without needless digits.
pub fn format_share(share: f64) -> String {
    let text = format!("{:.3}", share * 100.0);
    format!("{}%", text.trim_end_matches('0').trim_end_matches('.'))
}

/// A label value, or a dash when it is empty.
pub fn or_dash(label: &str) -> &str {
    if label.is_empty() { "-" } else { label }
}

/// UTC date and time of unix milliseconds.
///
/// ```
/// use baobabfall_burn::text_report::format_time;
/// assert_eq!(format_time(1_796_300_000_000), "2026-12-03 12:13:20 UTC");
/// ```
pub fn format_time(unix_ms: u64) -> String {
    let seconds = unix_ms / 1000;
    let (mut days, rest) = (seconds / 86_400, seconds % 86_400);
    let leap = |year: u64| {
        year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
    };
    let mut year = 1970;
    while year < 9999 && days >= 365 + u64::from(leap(year)) {
        days -= 365 + u64::from(leap(year));
        year += 1;
    }
    let lengths = [31, 28 + u64::from(leap(year)), 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let mut month = 1;
    for length in lengths {
        if days < length {
            break;
        }
        days -= length;
        month += 1;
    }
    let (hour, minute, second) = (rest / 3600, rest % 3600 / 60, rest % 60);
    format!("{year}-{month:02}-{:02} {hour:02}:{minute:02}:{second:02} UTC", days + 1)
}

/// Events missed as a share of all, for bars.
pub fn missed_share(bad: u64, events: u64) -> f64 {
    if events == 0 { 0.0 } else { to_float(bad) / to_float(events) }
}
