//! Error budgets, burn rates and the multi-window rule.

use serde::Serialize;
use std::time::Duration;

/// Windows that the alert rules use, shortest first.
pub const RULE_WINDOWS: [Duration; 5] = [
    Duration::from_secs(300),
    Duration::from_secs(1800),
    Duration::from_secs(3600),
    Duration::from_secs(6 * 3600),
    Duration::from_secs(3 * 86_400),
];
/// Number of windows per objective: those of the rules and its period.
pub const WINDOW_COUNT: usize = RULE_WINDOWS.len() + 1;
/// Index of the period among the windows of an objective.
pub const PERIOD_INDEX: usize = RULE_WINDOWS.len();
/// Windows that must have data for a verdict of "ok": those that page.
pub const PAGING_WINDOWS: usize = 4;
/// A window is divided into at most this many slots, one sample per node expected in each.
pub const SLOTS_PER_WINDOW: u64 = 72;

/// One alert rule: both windows must burn faster than `rate`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AlertRule {
    /// Burn rate that must be exceeded.
    pub rate: f64,
    /// Index of the long window.
    pub long: usize,
    /// Index of the short window, which ends the alert soon after the fault ends.
    pub short: usize,
    /// True when a person is paged, false when a ticket suffices.
    pub page: bool,
}

/// The usual rules: 14.4x spends 2% of a 30-day budget in 1 h, 6x spends 5% in
/// 6 h, 1x over 3 d spends 10%.
pub const ALERT_RULES: [AlertRule; 3] = [
    AlertRule { rate: 14.4, long: 2, short: 0, page: true },
    AlertRule { rate: 6.0, long: 3, short: 1, page: true },
    AlertRule { rate: 1.0, long: 4, short: 3, page: false },
];

/// Good and total events of one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EventTally {
    /// Events that met the objective.
    pub good: u64,
    /// All events that count.
    pub total: u64,
}

/// Tallies of every window of an objective.
pub type WindowTallies = [EventTally; WINDOW_COUNT];

impl EventTally {
    /// Adds events.
    pub fn add(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.total = self.total.saturating_add(other.total);
    }

    /// Events that missed the objective.
    pub fn bad(self) -> u64 {
        self.total.saturating_sub(self.good)
    }

    /// Error ratio divided by the allowed one; `None` without events, infinite
    /// when there are errors and none are allowed.
    ///
    /// ```
    /// use baobabfall_burn::burn_rate::EventTally;
    /// let tally = EventTally { good: 90, total: 100 };
    /// assert!((tally.burn(0.95).unwrap() - 2.0).abs() < 1e-9);
    /// assert_eq!(EventTally::default().burn(0.95), None);
    /// ```
    pub fn burn(self, target: f64) -> Option<f64> {
        if self.total == 0 {
            return None;
        }
        if self.bad() == 0 {
            return Some(0.0);
        }
        let ratio = crate::units::to_float(self.bad()) / crate::units::to_float(self.total);
        Some(if target >= 1.0 { f64::INFINITY } else { ratio / (1.0 - target) })
    }

    /// Share of the error budget that is left; negative when overspent,
    /// `None` without events. `coverage` is 1, or the share of the period
    /// that was seen when it is too small: the result is then an upper bound,
    /// as the rest of the period is unknown.
    ///
    /// ```
    /// use baobabfall_burn::burn_rate::EventTally;
    /// let tally = EventTally { good: 90, total: 100 };
    /// assert!((tally.budget_left(0.95, 0.1).unwrap() - 0.8).abs() < 1e-9);
    /// ```
    pub fn budget_left(self, target: f64, coverage: f64) -> Option<f64> {
        self.burn(target).map(|burn| if burn > 0.0 { 1.0 - burn * coverage } else { 1.0 })
    }
}

/// Strongest alert of an objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AlertLevel {
    /// No rule fires.
    None,
    /// A rule for tickets fires.
    Ticket,
    /// A rule for pages fires.
    Page,
}

/// Applies the alert rules; windows with fewer than `min_events` events do not fire.
pub fn alert_level(tallies: &WindowTallies, target: f64, min_events: u64) -> AlertLevel {
    let exceeds = |index: usize, rate: f64| {
        let tally = tallies[index];
        tally.total >= min_events && tally.burn(target).is_some_and(|burn| burn > rate)
    };
    let fires = |rule: &&AlertRule| exceeds(rule.long, rule.rate) && exceeds(rule.short, rule.rate);
    let levels = ALERT_RULES
        .iter()
        .filter(fires)
        .map(|rule| if rule.page { AlertLevel::Page } else { AlertLevel::Ticket });
    levels.max().unwrap_or(AlertLevel::None)
}

/// True when the budget of the period is used up; `coverage` as in
/// [`EventTally::budget_left`].
pub fn is_exhausted(tallies: &WindowTallies, target: f64, min_events: u64, coverage: f64) -> bool {
    let tally = tallies[PERIOD_INDEX];
    let left = tally.budget_left(target, coverage);
    tally.total >= min_events && tally.bad() > 0 && left.is_some_and(|left| left <= 0.0)
}

/// State of an objective, worst first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveState {
    /// The budget of the period is used up.
    Exhausted,
    /// An alert rule fires.
    Burning,
    /// Samples are missing, so nothing can be claimed.
    NoData,
    /// Within budget, with enough samples to say so.
    Ok,
}

impl ObjectiveState {
    /// Words for people.
    pub fn words(self) -> &'static str {
        match self {
            Self::Exhausted => "exhausted",
            Self::Burning => "burning",
            Self::NoData => "no data",
            Self::Ok => "ok",
        }
    }
}

/// Length of the slots into which a window is divided for coverage: the
/// sample interval, or longer for long windows so that thinned samples suffice.
pub fn slot_ms(window_ms: u64, interval_ms: u64) -> u64 {
    (window_ms / SLOTS_PER_WINDOW).max(interval_ms).clamp(1, window_ms.max(1))
}

/// Whether the events between samples at `from` and `to` count in the window
/// that ends at `now`: the later sample lies in it, and so does the earlier
/// one unless the pair is closer than two slots.
pub fn counts_in_window(from: u64, to: u64, now: u64, window_ms: u64, slot: u64) -> bool {
    let inside = |time: u64| time.saturating_add(window_ms) > now;
    to <= now && inside(to) && (inside(from) || to.saturating_sub(from) <= 2 * slot)
}
