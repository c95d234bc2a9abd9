//! Streams samples of all nodes into one tally per objective and window.
//!
//! The time of the report is known beforehand, so an increment is added to the
//! windows it belongs to and then forgotten. Per node only the last scrape is
//! kept.

use crate::burn_rate::{
    EventTally, PERIOD_INDEX, RULE_WINDOWS, WINDOW_COUNT, WindowTallies, counts_in_window, slot_ms,
};
use crate::label_table::{LabelTable, PairId};
use crate::metric_text::parse_text;
use crate::node_scrape::{MetricFamily, NodeScrape};
use crate::objectives::{GoodRule, ObjectiveSet, ServiceObjective};
use crate::samples::{SampleLine, decode_series, leading_time};
use crate::units::millis;
use baobabfall_core::sorted_map::SortedMap;

/// Most nodes that are told apart; samples of further ones are refused.
pub const NODE_LIMIT: usize = 10_000;
/// Points of the plot of the last 6 h and of the plot of the period.
pub const PLOT_POINTS: usize = 72;
/// Tolerance when a threshold is compared with a bucket bound.
const BOUND_TOLERANCE: f64 = 1e-9;

/// How many sample lines were used and why others were not.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct IntakeCounts {
    /// Samples merged.
    pub used: u64,
    /// Samples older than every window.
    pub too_old: u64,
    /// Samples later than the time of the report.
    pub in_future: u64,
    /// Samples not newer than the node's last one.
    pub out_of_order: u64,
    /// Lines or scrapes that could not be read.
    pub refused: u64,
    /// Reason of the first refusal.
    pub first_refusal: Option<String>,
}

impl IntakeCounts {
    fn absorb(&mut self, other: &Self) {
        self.used += other.used;
        self.too_old += other.too_old;
        self.in_future += other.in_future;
        self.out_of_order += other.out_of_order;
        self.refused += other.refused;
        if self.first_refusal.is_none() {
            self.first_refusal.clone_from(&other.first_refusal);
        }
    }
}

/// What is known about one node.
#[derive(Clone, Debug, Default)]
struct NodeState {
    time: u64,
    incarnation: u64,
    scrape: NodeScrape,
    /// Last slot counted per coverage window.
    slots: Vec<Option<u64>>,
}

/// One window whose coverage is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoverageWindow {
    /// Length in milliseconds.
    pub window_ms: u64,
    /// Length of its slots in milliseconds.
    pub slot_ms: u64,
    /// Distinct (node, slot) with a sample.
    pub present: u64,
}

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
    windows: [(u64, u64); WINDOW_COUNT],
}

/// The merge of all samples up to one time.
#[derive(Clone, Debug)]
pub struct FleetMerge {
    now: u64,
    oldest: u64,
    labels: LabelTable,
    nodes: SortedMap<String, NodeState>,
    coverage: Vec<CoverageWindow>,
    tallies: Vec<ObjectiveTally>,
    intake: IntakeCounts,
}

/// Indexes of windows whose histograms are kept: the last hour and the period.
const MERGED_WINDOWS: [usize; 2] = [2, PERIOD_INDEX];

impl FleetMerge {
    /// Starts a merge for a report at `now` (unix ms).
    pub fn new(set: &ObjectiveSet, now: u64) -> Self {
        let interval = millis(set.sample_interval);
        let tallies: Vec<ObjectiveTally> = set
            .objectives
            .iter()
            .map(|objective| ObjectiveTally::new(objective.clone(), interval))
            .collect();
        let mut windows: Vec<(u64, u64)> = tallies.iter().flat_map(|tally| tally.windows).collect();
        windows.sort_unstable();
        windows.dedup();
        let coverage = windows.into_iter().map(|(window_ms, slot_ms)| CoverageWindow {
            window_ms,
            slot_ms,
            present: 0,
        });
        let longest = set.longest_ms();
        Self {
            now,
            oldest: now.saturating_sub(longest + 2 * slot_ms(longest, interval)),
            labels: LabelTable::default(),
            nodes: SortedMap::new(),
            coverage: coverage.collect(),
            tallies,
            intake: IntakeCounts::default(),
        }
    }

    /// Time of the report.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Tallies per objective.
    pub fn tallies(&self) -> &[ObjectiveTally] {
        &self.tallies
    }

    /// Label values of the pairs and histogram layouts.
    pub fn labels(&self) -> &LabelTable {
        &self.labels
    }

    /// Numbers of lines used and left out.
    pub fn intake(&self) -> &IntakeCounts {
        &self.intake
    }

    /// Coverage windows, shortest first.
    pub fn coverage(&self) -> &[CoverageWindow] {
        &self.coverage
    }

    /// Number of distinct nodes that are expected to give samples.
    pub fn expected_nodes(&self) -> usize {
        self.nodes.len()
    }

    /// Number of distinct nodes with a usable sample.
    pub fn seen_nodes(&self) -> usize {
        self.nodes.values().filter(|node| node.time > 0).count()
    }

    /// Expects samples of a node even when it never gives any.
    pub fn expect_node(&mut self, name: &str) {
        if self.nodes.len() < NODE_LIMIT {
            self.nodes.get_or_insert_with(name.to_owned(), NodeState::default);
        }
    }

    /// Lowest and highest table revision among the nodes' last samples.
    pub fn revisions(&self) -> Option<(u64, u64)> {
        let known = || self.nodes.values().filter_map(|node| node.scrape.revision);
        known().min().zip(known().max())
    }

    /// Adds one line of a sample file.
    pub fn add_line(&mut self, line: &[u8]) {
        if leading_time(line).is_some_and(|time| time < self.oldest) {
            self.intake.too_old += 1;
            return;
        }
        match serde_json::from_slice::<SampleLine<'_>>(line) {
            Ok(sample) => self.add_sample(&sample),
            Err(error) => self.refuse(format!("A line is no sample: {error}.")),
        }
    }

    /// Adds one sample.
    pub fn add_sample(&mut self, sample: &SampleLine<'_>) {
        let node = self.nodes.get(sample.node.as_ref());
        if sample.t > self.now {
            self.intake.in_future += 1;
        } else if sample.t < self.oldest {
            self.intake.too_old += 1;
        } else if node.is_some_and(|node| sample.t <= node.time) {
            self.intake.out_of_order += 1;
        } else if node.is_none() && self.nodes.len() >= NODE_LIMIT {
            self.refuse(format!("There are over {NODE_LIMIT} nodes."));
        } else {
            self.merge_sample(sample);
        }
    }

    /// Counts a sample that could not be had or read.
    pub fn refuse(&mut self, reason: String) {
        self.intake.refused += 1;
        self.intake.first_refusal.get_or_insert(reason);
    }

    /// Adds a merge of other nodes for the same report.
    pub fn absorb(&mut self, other: Self) {
        for (mine, theirs) in self.tallies.iter_mut().zip(&other.tallies) {
            mine.absorb(theirs, &mut self.labels, &other.labels);
        }
        for (mine, theirs) in self.coverage.iter_mut().zip(&other.coverage) {
            mine.present += theirs.present;
        }
        self.intake.absorb(&other.intake);
        for (name, node) in other.nodes {
            self.nodes.insert(name, NodeState { scrape: node.scrape.without_series(), ..node });
        }
    }

    fn merge_sample(&mut self, sample: &SampleLine<'_>) {
        let held = self.nodes.get_mut(sample.node.as_ref()).map(std::mem::take);
        let mut node = held.unwrap_or_default();
        let known = node.time > 0;
        match decode(sample, &mut self.labels, &node.scrape) {
            Ok(scrape) => {
                self.intake.used += 1;
                self.merge_scrape(sample, known, &mut node, scrape);
            }
            Err(reason) => self.refuse(format!("A sample of {}: {reason}", sample.node)),
        }
        if let Some(slot) = self.nodes.get_mut(sample.node.as_ref()) {
            *slot = node;
        } else {
            self.nodes.insert(sample.node.clone().into_owned(), node);
        }
    }

    fn merge_scrape(
        &mut self,
        sample: &SampleLine<'_>,
        known: bool,
        node: &mut NodeState,
        mut scrape: NodeScrape,
    ) {
        self.count_coverage(sample.t, node);
        let starts = scrape.start_ms.zip(node.scrape.start_ms);
        let restarted =
            !known || sample.inc != node.incarnation || starts.is_some_and(|(new, old)| new != old);
        let from = match (known, restarted, scrape.start_ms) {
            (true, false, _) | (true, true, None) => Some(node.time),
            (true, true, Some(start)) => Some(start.clamp(node.time, sample.t)),
            (false, _, Some(start)) => Some(start.min(sample.t)),
            (false, _, None) => None,
        };
        let older =
            if restarted { NodeScrape::default() } else { std::mem::take(&mut node.scrape) };
        for tally in &mut self.tallies {
            tally.mark_seen(&scrape, sample.t, self.now);
        }
        self.merge_series(&scrape, &older, from, sample.t);
        scrape.carry_over(&older);
        *node = NodeState {
            time: sample.t,
            incarnation: sample.inc,
            scrape,
            slots: std::mem::take(&mut node.slots),
        };
    }

    fn count_coverage(&mut self, time: u64, node: &mut NodeState) {
        node.slots.resize(self.coverage.len(), None);
        let age = self.now - time;
        for (window, last) in self.coverage.iter_mut().zip(&mut node.slots) {
            let slot = age / window.slot_ms;
            if slot < window.window_ms / window.slot_ms && *last != Some(slot) {
                *last = Some(slot);
                window.present += 1;
            }
        }
    }

    fn merge_series(
        &mut self,
        scrape: &NodeScrape,
        older: &NodeScrape,
        from: Option<u64>,
        to: u64,
    ) {
        let now = self.now;
        let sampled: Vec<Membership> =
            self.tallies.iter().map(|tally| tally.membership(to, to, now)).collect();
        let counted: Option<Vec<Membership>> = from
            .map(|from| self.tallies.iter().map(|tally| tally.membership(from, to, now)).collect());
        let mut sorted = None;
        let mut delta = Vec::new();
        for index in 0..scrape.len() {
            let Some(key) = scrape.key(index) else { continue };
            let values = scrape.values(index);
            let gauge = key.family == MetricFamily::FairnessGap;
            let members = if gauge { Some(&sampled) } else { counted.as_ref() };
            let Some(members) = members else { continue };
            let before = if older.key(index) == Some(key) {
                Some(index)
            } else {
                let sorted = sorted.get_or_insert_with(|| older.sorted_positions());
                let found = sorted.binary_search_by(|(other, _)| other.cmp(&key));
                found.ok().map(|position| sorted[position].1)
            };
            let before = before.map_or(&[][..], |index| older.values(index));
            let layout = scrape.layouts[key.family.index()];
            let reshaped = !before.is_empty() && layout != older.layouts[key.family.index()];
            let cumulative = key.family.fixed_values().is_none();
            if !gauge && (reshaped || !increments(values, before, cumulative, &mut delta)) {
                continue;
            }
            let events = if gauge { values } else { &delta };
            for (tally, member) in self.tallies.iter_mut().zip(members) {
                if tally.objective.family == key.family {
                    tally.add(events, layout, key.pair, member, &self.labels);
                }
            }
        }
    }
}

fn decode(
    sample: &SampleLine<'_>,
    labels: &mut LabelTable,
    hint: &NodeScrape,
) -> Result<NodeScrape, String> {
    match (&sample.text, &sample.series) {
        (Some(text), None) => parse_text(text, labels).map_err(|fault| fault.to_string()),
        (None, Some(series)) => {
            let mut scrape = decode_series(series, labels, hint)?;
            scrape.start_ms = sample.start_ms;
            scrape.revision = sample.revision;
            Ok(scrape)
        }
        _ => Err("The sample needs exactly one of `text` and `series`.".to_owned()),
    }
}

/// Writes `values - before` to `delta`. A series that fell anywhere started
/// again from zero. Returns false when nothing was added.
fn increments(values: &[u64], before: &[u64], cumulative: bool, delta: &mut Vec<u64>) -> bool {
    if values == before {
        return false;
    }
    delta.clear();
    let fell = values.iter().zip(before).any(|(new, old)| new < old);
    if before.is_empty() || fell {
        delta.extend_from_slice(values);
        return true;
    }
    delta.extend(values.iter().zip(before).map(|(new, old)| new - old));
    if cumulative {
        // Buckets that were read while events arrived may be inconsistent by a few events.
        let mut highest = 0;
        for value in delta {
            highest = highest.max(*value);
            *value = highest;
        }
    }
    true
}

/// Windows and plot bins that an increment belongs to.
#[derive(Clone, Copy, Debug)]
pub struct Membership {
    windows: [bool; WINDOW_COUNT],
    recent: Option<usize>,
    long: Option<usize>,
}

impl ObjectiveTally {
    fn new(objective: ServiceObjective, interval: u64) -> Self {
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

    /// Length and slot length of a window in milliseconds.
    pub fn window(&self, index: usize) -> (u64, u64) {
        self.windows[index]
    }

    fn absorb(&mut self, other: &Self, labels: &mut LabelTable, other_labels: &LabelTable) {
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
                    held.iter_mut().zip(buckets).for_each(|(bucket, more)| *bucket += more);
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

    fn mark_seen(&mut self, scrape: &NodeScrape, time: u64, now: u64) {
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

    fn membership(&self, from: u64, to: u64, now: u64) -> Membership {
        let windows =
            self.windows.map(|(length, slot)| counts_in_window(from, to, now, length, slot));
        let bin = |index: usize| {
            let width = self.windows[index].0 / u64::try_from(PLOT_POINTS).unwrap_or(1);
            let bin = usize::try_from((now - to) / width.max(1)).ok()?;
            (windows[index] && bin < PLOT_POINTS).then_some(bin)
        };
        Membership { windows, recent: bin(3), long: bin(PERIOD_INDEX) }
    }

    fn add(
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
        *bucket += value - last;
        last = *value;
    }
}

/// Upper bound in seconds of the given quantile over merged histograms of any
/// layouts; `None` without events, infinite when it lies in the last bucket.
pub fn quantile_bound(merged: &[MergedHistogram], labels: &LabelTable, share: f64) -> Option<f64> {
    let total: u64 = merged.iter().flat_map(|(_, buckets)| buckets).sum();
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
        reached += count;
        (crate::units::to_float(reached) >= wanted - BOUND_TOLERANCE).then_some(*bound)
    })
}
