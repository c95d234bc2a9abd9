//! Tallies of one objective: events per window, per workspace and over time,
//! and its merged histograms.

use crate::burn_rate::{
    EventTally, PERIOD_INDEX, RULE_WINDOWS, WINDOW_COUNT, WindowTallies, counts_in_window, slot_ms,
};
use crate::label_table::{LabelTable, PairId};
use crate::node_scrape::NodeScrape;
use crate::objectives::{GoodRule, ServiceObjective};
use crate::units::millis;

/// Points of the plot of the last 6 h and of the plot of the period.
pub const PLOT_POINTS: usize = 72;
/// Tolerance when a threshold is compared with a bucket bound.
const BOUND_TOLERANCE: f64 = 1e-9;

/// Indexes of windows whose histograms are kept: the last hour and the period.
const MERGED_WINDOWS: [usize; 2] = [2, PERIOD_INDEX];

/// Bucket counts of one histogram layout in one window, not cumulative.
pub type MergedHistogram = (usize, Vec<u64>);

/// Tallies of one objective.
#[derive(Clone, Debug)]
pub struct ObjectiveTally {
    /// The objective.
    pub objective: ServiceObjective,
    /// Events of the whole fleet per window.
    pub fleet: WindowTallies,
    /// Samples that exposed the metric, per window.
    pub seen: [u64; WINDOW_COUNT],
    /// Events per (workspace, model), by pair number.
    pub pairs: Vec<WindowTallies>,
    /// Merged histograms of the last hour and of the period.
    pub merged: [Vec<MergedHistogram>; 2],
    /// Events of the last 6 h in [`PLOT_POINTS`] bins, newest first.
    pub recent: Vec<EventTally>,
    /// Events of the period in [`PLOT_POINTS`] bins, newest first.
    pub long: Vec<EventTally>,
    /// True when a histogram has no bound at or below the threshold.
    pub unusable_bounds: bool,
    /// Bound that stands for the threshold, in seconds.
    pub used_bound: Option<f64>,
    /// Length and slot length of each window in milliseconds.
    pub windows: [(u64, u64); WINDOW_COUNT],
}

/// Windows and plot bins that an increment belongs to.
#[derive(Clone, Copy, Debug)]
pub struct Membership {
    windows: [bool; WINDOW_COUNT],
    recent: Option<usize>,
    long: Option<usize>,
}

impl ObjectiveTally {
    pub(crate) fn new(objective: ServiceObjective, interval: u64) -> Self {
        let mut windows = [(0, 0); WINDOW_COUNT];
        let lengths = RULE_WINDOWS.iter().copied().chain([objective.period]);
        for (slot, length) in windows.iter_mut().zip(lengths) {
            let length = millis(length);
            *slot = (length, slot_ms(length, interval));
        }
        Self {
            objective,
            fleet: WindowTallies::default(),
            seen: [0; WINDOW_COUNT],
            pairs: Vec::new(),
            merged: [Vec::new(), Vec::new()],
            recent: vec![EventTally::default(); PLOT_POINTS],
            long: vec![EventTally::default(); PLOT_POINTS],
            unusable_bounds: false,
            used_bound: None,
            windows,
        }
    }

    pub(crate) fn absorb(
        &mut self,
        other: &Self,
        labels: &mut LabelTable,
        other_labels: &LabelTable,
    ) {
        add_all(&mut self.fleet, &other.fleet);
        add_all(&mut self.recent, &other.recent);
        add_all(&mut self.long, &other.long);
        for (seen, more) in self.seen.iter_mut().zip(other.seen) {
            *seen += more;
        }
        for (index, windows) in other.pairs.iter().enumerate() {
            if windows[PERIOD_INDEX].total > 0 || windows.iter().any(|window| window.total > 0) {
                let (workspace, model) =
                    other_labels.pair(u32::try_from(index).unwrap_or(u32::MAX));
                add_all(self.pair_mut(labels.pair_id(workspace, model)), windows);
            }
        }
        for (mine, theirs) in self.merged.iter_mut().zip(&other.merged) {
            for (layout, buckets) in theirs {
                if let Some(layout) = labels.layout_id(other_labels.layout(*layout)) {
                    let held = merged_slot(mine, layout, buckets.len());
                    held.iter_mut()
                        .zip(buckets)
                        .for_each(|(bucket, more)| *bucket = bucket.saturating_add(*more));
                }
            }
        }
        self.unusable_bounds |= other.unusable_bounds;
        self.used_bound = match (self.used_bound, other.used_bound) {
            (Some(mine), Some(theirs)) => Some(mine.min(theirs)),
            (mine, theirs) => mine.or(theirs),
        };
    }

    fn pair_mut(&mut self, pair: PairId) -> &mut WindowTallies {
        let pair = usize::try_from(pair).unwrap_or(0);
        if self.pairs.len() <= pair {
            self.pairs.resize(pair + 1, WindowTallies::default());
        }
        &mut self.pairs[pair]
    }

    pub(crate) fn mark_seen(&mut self, scrape: &NodeScrape, time: u64, now: u64) {
        let family = self.objective.family;
        let exposed = scrape.layouts[family.index()].is_some()
            || (0..scrape.len())
                .any(|index| scrape.key(index).is_some_and(|key| key.family == family));
        if exposed {
            for (seen, (length, _)) in self.seen.iter_mut().zip(self.windows) {
                *seen += u64::from(time.saturating_add(length) > now);
            }
        }
    }

    pub(crate) fn membership(&self, from: u64, to: u64, now: u64) -> Membership {
        let windows =
            self.windows.map(|(length, slot)| counts_in_window(from, to, now, length, slot));
        let bin = |index: usize| {
            let width = self.windows[index].0 / u64::try_from(PLOT_POINTS).unwrap_or(1);
            let bin = usize::try_from((now - to) / width.max(1)).ok()?;
            (windows[index] && bin < PLOT_POINTS).then_some(bin)
        };
        Membership { windows, recent: bin(3), long: bin(PERIOD_INDEX) }
    }

    pub(crate) fn add(
        &mut self,
        events: &[u64],
        layout: Option<usize>,
        pair: PairId,
        member: &Membership,
        labels: &LabelTable,
    ) {
        let Some(tally) = self.judge(events, layout, labels) else { return };
        if tally.total == 0 {
            return;
        }
        for (index, belongs) in member.windows.iter().enumerate() {
            if *belongs {
                self.fleet[index].add(tally);
                self.pair_mut(pair)[index].add(tally);
            }
        }
        if let Some(bin) = member.recent {
            self.recent[bin].add(tally);
        }
        if let Some(bin) = member.long {
            self.long[bin].add(tally);
        }
        let Some(layout) = layout else { return };
        for (merged, window) in self.merged.iter_mut().zip(MERGED_WINDOWS) {
            if member.windows[window] {
                merge_buckets(merged, layout, events);
            }
        }
    }

    /// Good and total events of one increment.
    fn judge(
        &mut self,
        events: &[u64],
        layout: Option<usize>,
        labels: &LabelTable,
    ) -> Option<EventTally> {
        let sum = || events.iter().sum::<u64>();
        match self.objective.rule {
            GoodRule::WithinSeconds(threshold) => {
                let bounds = labels.layout(layout?);
                let fits = |bound: &f64| *bound <= threshold * (1.0 + BOUND_TOLERANCE);
                let Some(index) = bounds.partition_point(fits).checked_sub(1) else {
                    self.unusable_bounds = true;
                    return None;
                };
                let smallest =
                    self.used_bound.map_or(bounds[index], |held| held.min(bounds[index]));
                self.used_bound = Some(smallest);
                Some(EventTally { good: events[index], total: *events.last()? })
            }
            GoodRule::NotBroken(bad) => {
                let broken = events.iter().zip(bad).filter(|(_, bad)| *bad);
                let broken: u64 = broken.map(|(count, _)| *count).sum();
                Some(EventTally { good: sum().saturating_sub(broken), total: sum() })
            }
            GoodRule::Finished => {
                let cancelled = events.last().copied().unwrap_or(0);
                Some(EventTally { good: *events.first()?, total: sum() - cancelled })
            }
            GoodRule::RatioAtMost(limit) => {
                Some(EventTally { good: u64::from(*events.first()? <= limit), total: 1 })
            }
        }
    }
}

fn add_all(mine: &mut [EventTally], theirs: &[EventTally]) {
    mine.iter_mut().zip(theirs).for_each(|(tally, more)| tally.add(*more));
}

fn merged_slot(merged: &mut Vec<MergedHistogram>, layout: usize, buckets: usize) -> &mut [u64] {
    let position = merged.iter().position(|(held, _)| *held == layout);
    let position = position.unwrap_or_else(|| {
        merged.push((layout, vec![0; buckets]));
        merged.len() - 1
    });
    &mut merged[position].1
}

fn merge_buckets(merged: &mut Vec<MergedHistogram>, layout: usize, cumulative: &[u64]) {
    let mut last = 0;
    for (bucket, value) in merged_slot(merged, layout, cumulative.len()).iter_mut().zip(cumulative)
    {
        *bucket = bucket.saturating_add(value - last);
        last = *value;
    }
}

/// Upper bound in seconds of the given quantile over merged histograms of any
/// layouts; `None` without events, infinite when it lies in the last bucket.
pub fn quantile_bound(merged: &[MergedHistogram], labels: &LabelTable, share: f64) -> Option<f64> {
    let counts = merged.iter().flat_map(|(_, buckets)| buckets);
    let total = counts.fold(0_u64, |total, count| total.saturating_add(*count));
    if total == 0 {
        return None;
    }
    let mut steps: Vec<(f64, u64)> = Vec::new();
    for (layout, buckets) in merged {
        let bounds = labels.layout(*layout).iter().copied().chain([f64::INFINITY]);
        steps.extend(bounds.zip(buckets.iter().copied()));
    }
    steps.sort_by(|a, b| a.0.total_cmp(&b.0));
    let wanted = share * crate::units::to_float(total);
    let mut reached = 0;
    steps.iter().find_map(|(bound, count)| {
        reached = u64::saturating_add(reached, *count);
        (crate::units::to_float(reached) >= wanted - BOUND_TOLERANCE).then_some(*bound)
    })
}
