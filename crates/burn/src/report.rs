//! The report: what is shown per objective, and its JSON form.
//!
//! `--json` prints one [`FleetReport`] on one line. Shares are 0 to 1, times
//! unix milliseconds, durations milliseconds. `burn` is null when a window has
//! no events, and also when no error is allowed and some occurred; the latter
//! sets `unbounded`.

use crate::burn_rate::{
    AlertLevel, EventTally, ObjectiveState, PAGING_WINDOWS, PERIOD_INDEX, WINDOW_COUNT,
    WindowTallies, alert_level, is_exhausted,
};
use crate::fleet_merge::{FleetMerge, IntakeCounts};
use crate::objective_tally::{ObjectiveTally, quantile_bound};
use crate::objectives::{GoodRule, ObjectiveSet, ServiceObjective};
use crate::units::{format_duration, to_float};
use serde::Serialize;
use std::process::ExitCode;
use std::time::Duration;

/// Most (workspace, model) pairs listed per objective.
pub const WORST_LIMIT: usize = 10;

/// Outcome of the whole report; decides the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetVerdict {
    /// Every objective is within budget and measured.
    WithinBudget,
    /// An objective burns above a paging rule or is exhausted.
    Burning,
    /// An objective has no usable data and none burns.
    NoData,
}

impl FleetVerdict {
    /// Exit code of the process.
    pub fn exit_code(self) -> ExitCode {
        ExitCode::from(match self {
            Self::WithinBudget => 0,
            Self::Burning => 1,
            Self::NoData => crate::error::EXIT_NO_DATA,
        })
    }
}

/// How far a window can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WindowData {
    /// Enough samples and some events.
    Measured,
    /// Enough samples, no events.
    Idle,
    /// Too few samples.
    Partial,
    /// No sample shows the metric.
    Missing,
}

/// One window of one objective.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WindowReport {
    /// Length in milliseconds.
    pub window_ms: u64,
    /// How far the window can be trusted.
    pub data: WindowData,
    /// Share of the expected node-samples that is present.
    pub coverage: f64,
    /// Events counted.
    pub events: u64,
    /// Events that missed the objective.
    pub bad: u64,
    /// Burn rate.
    pub burn: Option<f64>,
    /// True when no error is allowed and some occurred.
    pub unbounded: bool,
}

/// One of the pairs that used most of the budget.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorstPair {
    /// Workspace, or empty.
    pub workspace: String,
    /// Model or service, or empty.
    pub model: String,
    /// Events in the period.
    pub events: u64,
    /// Events that missed the objective in the period.
    pub bad: u64,
    /// Burn rate of the pair alone over the period.
    pub burn: Option<f64>,
}

/// One objective.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ObjectiveReport {
    /// Section of the settings file.
    pub name: &'static str,
    /// What it says, for people.
    pub title: String,
    /// Share of events that must be good.
    pub target: f64,
    /// State.
    pub state: ObjectiveState,
    /// Strongest alert.
    pub alert: AlertLevel,
    /// Share of the period's budget that is left; an upper bound when the
    /// period has too few samples, null when no budget is allowed and some is spent.
    pub budget_left: Option<f64>,
    /// Windows: those of the rules, then the period.
    pub windows: Vec<WindowReport>,
    /// Bucket bound (seconds) within which the target share of the last hour lies.
    pub quantile_hour_s: Option<f64>,
    /// Bucket bound (seconds) within which the target share of the period lies.
    pub quantile_period_s: Option<f64>,
    /// Pairs that used most of the budget.
    pub worst: Vec<WorstPair>,
    /// Whole sentences on what to know.
    pub notes: Vec<String>,
    /// Events of the last 6 h, newest bin first.
    #[serde(skip)]
    pub recent: Vec<EventTally>,
    /// Events of the period, newest bin first.
    #[serde(skip)]
    pub long: Vec<EventTally>,
}

impl ObjectiveReport {
    /// Share of the period that its events stand for: 1, or less when the
    /// period has too few samples.
    pub fn seen_share(&self) -> f64 {
        seen_share(&self.windows)
    }
}

fn seen_share(windows: &[WindowReport]) -> f64 {
    let partial = windows.last().filter(|period| period.data == WindowData::Partial);
    partial.map_or(1.0, |period| period.coverage)
}

/// The whole report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FleetReport {
    /// Version of this JSON form.
    pub format: u32,
    /// Time of the report.
    pub at_ms: u64,
    /// Outcome.
    pub verdict: FleetVerdict,
    /// Nodes expected.
    pub nodes_expected: u64,
    /// Distinct nodes seen.
    pub nodes_seen: u64,
    /// Lowest and highest table revision among the nodes.
    pub table_revisions: Option<(u64, u64)>,
    /// Numbers of samples used and left out.
    pub samples: IntakeCounts,
    /// Objectives, worst state first.
    pub objectives: Vec<ObjectiveReport>,
}

impl FleetReport {
    /// Builds the report from merged samples.
    pub fn build(set: &ObjectiveSet, merge: &FleetMerge) -> Self {
        let count = |nodes: usize| u64::try_from(nodes).unwrap_or(u64::MAX);
        let seen = count(merge.seen_nodes());
        let expected = set.nodes.unwrap_or_else(|| count(merge.expected_nodes()));
        let builder = ReportBuilder { set, merge, expected };
        let mut objectives: Vec<ObjectiveReport> =
            merge.tallies().iter().map(|tally| builder.objective(tally)).collect();
        objectives.sort_by_key(|objective| objective.state);
        Self {
            format: 1,
            at_ms: merge.now(),
            verdict: verdict(&objectives),
            nodes_expected: expected,
            nodes_seen: seen,
            table_revisions: merge.revisions(),
            samples: merge.intake().clone(),
            objectives,
        }
    }

    /// The JSON line that `--json` prints, without a newline.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"))
    }

    /// Sentences on samples that were left out.
    pub fn sample_notes(&self) -> Vec<String> {
        let samples = &self.samples;
        let mut notes = Vec::new();
        if let Some(reason) = &samples.first_refusal {
            notes.push(format!(
                "{} samples could not be read and count as missing. The first: {reason}",
                samples.refused
            ));
        }
        if samples.in_future + samples.out_of_order > 0 {
            notes.push(format!(
                "{} samples are later than the report and {} are not newer than their node's last one; they are left out.",
                samples.in_future, samples.out_of_order
            ));
        }
        notes
    }
}

fn verdict(objectives: &[ObjectiveReport]) -> FleetVerdict {
    let burns = |objective: &ObjectiveReport| {
        objective.alert == AlertLevel::Page || objective.state == ObjectiveState::Exhausted
    };
    if objectives.iter().any(burns) {
        FleetVerdict::Burning
    } else if objectives.iter().any(|objective| objective.state == ObjectiveState::NoData) {
        FleetVerdict::NoData
    } else {
        FleetVerdict::WithinBudget
    }
}

struct ReportBuilder<'a> {
    set: &'a ObjectiveSet,
    merge: &'a FleetMerge,
    expected: u64,
}

impl ReportBuilder<'_> {
    fn objective(&self, tally: &ObjectiveTally) -> ObjectiveReport {
        let objective = &tally.objective;
        let windows: Vec<WindowReport> =
            (0..WINDOW_COUNT).map(|index| self.window(tally, index)).collect();
        let seen = seen_share(&windows);
        let judged = self.judge(tally, seen);
        let measured = windows[..PAGING_WINDOWS]
            .iter()
            .all(|window| matches!(window.data, WindowData::Measured | WindowData::Idle));
        let has_events = tally.fleet[PERIOD_INDEX].total > 0;
        let state = match judged.alert {
            _ if judged.exhausted => ObjectiveState::Exhausted,
            AlertLevel::Page | AlertLevel::Ticket => ObjectiveState::Burning,
            AlertLevel::None if measured && has_events => ObjectiveState::Ok,
            AlertLevel::None => ObjectiveState::NoData,
        };
        let labels = self.merge.labels();
        let quantile =
            |index: usize| quantile_bound(&tally.merged[index], labels, objective.target);
        let budget_left = tally.fleet[PERIOD_INDEX].budget_left(objective.target, seen);
        ObjectiveReport {
            name: objective.name,
            title: objective.title.clone(),
            target: objective.target,
            state,
            alert: judged.alert,
            budget_left: budget_left.filter(|left| left.is_finite()),
            notes: notes(tally, &windows, &judged),
            windows,
            quantile_hour_s: quantile(0).filter(|bound| bound.is_finite()),
            quantile_period_s: quantile(1).filter(|bound| bound.is_finite()),
            worst: self.worst(tally),
            recent: tally.recent.clone(),
            long: tally.long.clone(),
        }
    }

    fn window(&self, tally: &ObjectiveTally, index: usize) -> WindowReport {
        let (window_ms, slot_ms) = tally.windows[index];
        let counted = self.merge.coverage().iter().find(|held| held.window_ms == window_ms);
        let present = counted.map_or(0, |held| held.present);
        let expected = self.expected.saturating_mul(window_ms / slot_ms);
        let coverage =
            if expected == 0 { 0.0 } else { (to_float(present) / to_float(expected)).min(1.0) };
        let events = tally.fleet[index];
        let data = match (tally.seen[index], events.total) {
            (0, _) => WindowData::Missing,
            _ if coverage < self.set.min_coverage => WindowData::Partial,
            (_, 0) => WindowData::Idle,
            _ => WindowData::Measured,
        };
        let burn = events.burn(tally.objective.target);
        WindowReport {
            window_ms,
            data,
            coverage,
            events: events.total,
            bad: events.bad(),
            burn: burn.filter(|burn| burn.is_finite()),
            unbounded: burn.is_some_and(f64::is_infinite),
        }
    }

    fn judge(&self, tally: &ObjectiveTally, seen: f64) -> Judgement {
        let target = tally.objective.target;
        let mut judged = Judgement {
            alert: alert_level(&tally.fleet, target, 1),
            exhausted: is_exhausted(&tally.fleet, target, 1, seen),
            pairs: 0,
        };
        if !tally.objective.each_workspace {
            return judged;
        }
        for pair in &tally.pairs {
            let alert = alert_level(pair, target, self.set.min_events);
            let exhausted = is_exhausted(pair, target, self.set.min_events, seen);
            judged.pairs += u64::from(exhausted || alert > AlertLevel::None);
            judged.alert = judged.alert.max(alert);
            judged.exhausted |= exhausted;
        }
        judged
    }

    fn worst(&self, tally: &ObjectiveTally) -> Vec<WorstPair> {
        let mut pairs: Vec<(usize, &WindowTallies)> = tally
            .pairs
            .iter()
            .enumerate()
            .filter(|(_, windows)| windows[PERIOD_INDEX].bad() > 0)
            .collect();
        let burn = |windows: &WindowTallies| {
            windows[PERIOD_INDEX].burn(tally.objective.target).unwrap_or(0.0)
        };
        let enough = |windows: &WindowTallies| windows[PERIOD_INDEX].total >= self.set.min_events;
        pairs.sort_by(|(_, a), (_, b)| {
            let by_burn = burn(b).total_cmp(&burn(a));
            let by_bad = b[PERIOD_INDEX].bad().cmp(&a[PERIOD_INDEX].bad());
            enough(b).cmp(&enough(a)).then(by_burn).then(by_bad)
        });
        pairs.truncate(WORST_LIMIT);
        pairs.into_iter().map(|(index, windows)| self.worst_pair(tally, index, windows)).collect()
    }

    fn worst_pair(
        &self,
        tally: &ObjectiveTally,
        index: usize,
        windows: &WindowTallies,
    ) -> WorstPair {
        let (workspace, model) = self.merge.labels().pair(u32::try_from(index).unwrap_or(u32::MAX));
        let period = windows[PERIOD_INDEX];
        WorstPair {
            workspace: workspace.to_owned(),
            model: model.to_owned(),
            events: period.total,
            bad: period.bad(),
            burn: period.burn(tally.objective.target).filter(|burn| burn.is_finite()),
        }
    }
}

struct Judgement {
    alert: AlertLevel,
    exhausted: bool,
    pairs: u64,
}

fn notes(tally: &ObjectiveTally, windows: &[WindowReport], judged: &Judgement) -> Vec<String> {
    let mut notes = Vec::new();
    if judged.pairs > 0 {
        notes.push(format!("{} workspace and model pairs burn or are exhausted.", judged.pairs));
    }
    if tally.unusable_bounds {
        notes.push("Histograms without a bucket bound at or below the threshold are left out; add such a bound to the routers.".to_owned());
    }
    notes.extend(bound_note(&tally.objective, tally.used_bound));
    for data in [WindowData::Missing, WindowData::Partial] {
        let named: Vec<String> = windows
            .iter()
            .filter(|window| window.data == data)
            .map(|window| format_duration(Duration::from_millis(window.window_ms)))
            .collect();
        if named.is_empty() {
            continue;
        }
        let named = named.join(", ");
        notes.push(match data {
            WindowData::Missing => format!("No sample shows the metric in: {named}."),
            _ => format!("Too few samples, so good figures prove little, in: {named}."),
        });
    }
    notes
}

fn bound_note(objective: &ServiceObjective, used: Option<f64>) -> Option<String> {
    let GoodRule::WithinSeconds(threshold) = objective.rule else { return None };
    let used = used.filter(|used| (used - threshold).abs() > threshold * 1e-6)?;
    Some(format!(
        "Routers have no bucket bound at the threshold; events above {} count as missed.",
        format_duration(Duration::from_secs_f64(used))
    ))
}
