//! Streams samples of all nodes into one tally per objective and window.
//!
//! The time of the report is known beforehand, so an increment is added to the
//! windows it belongs to and then forgotten. Per node only the last scrape is
//! kept.

use crate::burn_rate::slot_ms;
use crate::label_table::LabelTable;
use crate::metric_text::parse_text;
use crate::node_scrape::{MetricFamily, NodeScrape};
use crate::objective_tally::{Membership, ObjectiveTally};
use crate::objectives::ObjectiveSet;
use crate::samples::{SampleLine, decode_series, leading_time};
use crate::units::millis;
use baobabfall_core::sorted_map::SortedMap;

/// Most nodes that are told apart; samples of further ones are refused.
pub const NODE_LIMIT: usize = 10_000;

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
