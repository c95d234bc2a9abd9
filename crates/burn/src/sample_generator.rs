//! Generates samples of a fleet of any size for tests and the bench.
//!
//! Each node serves a bounded part of the workspaces, as the routers bound
//! their label sets. The same shape and seed give the same bytes.

use crate::burn_rate::{RULE_WINDOWS, slot_ms};
use crate::label_table::LabelTable;
use crate::node_scrape::{
    COMPLETENESS, MetricFamily, NodeScrape, OUTCOMES, RATIO_SCALE, SeriesKey,
};
use crate::recorder::write_sample;
use crate::samples::{SampleLine, encode_series};
use crate::units::{millis, to_float};
use std::borrow::Cow;
use std::fmt::Write as _;
use std::io::Write;
use std::time::Duration;

const FIRST_TOKEN_BOUNDS: [f64; 13] =
    [0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 1.9, 2.5, 5.0, 10.0, 30.0];
const TOKEN_GAP_BOUNDS: [f64; 10] = [0.005, 0.01, 0.015, 0.02, 0.026, 0.035, 0.05, 0.1, 0.5, 2.0];
const EDIT_BOUNDS: [f64; 7] = [0.5, 1.0, 2.0, 5.0, 12.0, 30.0, 60.0];
/// Tokens per response, for the number of gaps.
const TOKENS_PER_RESPONSE: u64 = 318;
/// 1,400 accepted edits a day, seen by every router.
const EDITS_PER_MINUTE: f64 = 1400.0 / 1440.0;
const MINUTE_MS: u64 = 60_000;

/// Size of the generated fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetShape {
    /// Number of routers.
    pub nodes: usize,
    /// Workspaces of the fleet.
    pub workspaces: usize,
    /// Models of the fleet.
    pub models: usize,
    /// Workspaces with labels at one router.
    pub workspaces_per_node: usize,
    /// Models that one workspace uses.
    pub models_per_workspace: usize,
    /// Requests per minute of one (workspace, model) pair at one router.
    pub requests_per_minute: u64,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl FleetShape {
    /// The target in two years: 330 routers, 850 workspaces, 13 models and
    /// about 2,800 requests/s.
    pub fn target_size() -> Self {
        Self {
            nodes: 330,
            workspaces: 850,
            models: 13,
            workspaces_per_node: 64,
            models_per_workspace: 2,
            requests_per_minute: 4,
            seed: 11,
        }
    }
}

/// Shares of events that go wrong, 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FaultShares {
    /// First tokens, token gaps and edits above their threshold.
    pub slow: f64,
    /// Requests refused.
    pub refused: f64,
    /// Responses cut short.
    pub short: f64,
    /// Ratio of the fairness gap to its bound.
    pub fairness: f64,
}

/// How samples are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleForm {
    /// Scraped text.
    Text,
    /// The compact form.
    Series,
}

/// A fleet whose counters grow from round to round.
#[derive(Clone, Debug)]
pub struct SampleGenerator {
    shape: FleetShape,
    labels: LabelTable,
    nodes: Vec<NodeCounters>,
    random: u64,
    time: u64,
    /// Faults of the rounds that follow.
    pub faults: FaultShares,
}

#[derive(Clone, Debug)]
struct NodeCounters {
    name: String,
    start_ms: u64,
    layouts: [Option<usize>; 6],
    series: Vec<(SeriesKey, Vec<u64>)>,
}

impl SampleGenerator {
    /// Creates a fleet that starts at `start_ms`.
    ///
    /// ```
    /// use baobabfall_burn::sample_generator::{FleetShape, SampleForm, SampleGenerator};
    /// let shape = FleetShape { nodes: 2, workspaces: 3, models: 1, ..FleetShape::target_size() };
    /// let mut out = Vec::new();
    /// SampleGenerator::new(shape, 1_000).write_round(61_000, SampleForm::Series, &mut out).unwrap();
    /// assert_eq!(out.iter().filter(|byte| **byte == b'\n').count(), 2);
    /// ```
    pub fn new(shape: FleetShape, start_ms: u64) -> Self {
        let mut generator = Self {
            labels: LabelTable::default(),
            nodes: Vec::new(),
            random: shape.seed,
            time: start_ms,
            faults: FaultShares { fairness: 0.5, ..FaultShares::default() },
            shape,
        };
        for index in 0..generator.shape.nodes {
            let node = generator.make_node(index, start_ms);
            generator.nodes.push(node);
        }
        generator
    }

    fn make_node(&mut self, index: usize, start_ms: u64) -> NodeCounters {
        let mut pairs = Vec::new();
        let shape = self.shape.clone();
        for offset in 0..shape.workspaces_per_node.min(shape.workspaces) {
            let workspace = (index * 37 + offset * 13) % shape.workspaces.max(1);
            for use_index in 0..shape.models_per_workspace.min(shape.models) {
                let model = (workspace + use_index) % shape.models.max(1);
                pairs.push((format!("workspace-{workspace:03}"), format!("model-{model:02}")));
            }
        }
        pairs.sort();
        pairs.dedup();
        let mut series = Vec::new();
        for (workspace, model) in &pairs {
            let pair = self.labels.pair_id(workspace, model);
            let mut push =
                |family, count| series.push((SeriesKey { family, pair }, vec![0; count]));
            push(MetricFamily::FirstToken, FIRST_TOKEN_BOUNDS.len() + 1);
            push(MetricFamily::Requests, OUTCOMES.len());
            push(MetricFamily::Answers, COMPLETENESS.len());
        }
        for model in 0..shape.models {
            let pair = self.labels.pair_id("", &format!("model-{model:02}"));
            let key = SeriesKey { family: MetricFamily::TokenGap, pair };
            series.push((key, vec![0; TOKEN_GAP_BOUNDS.len() + 1]));
        }
        let pair = self.labels.pair_id("", "");
        let key = SeriesKey { family: MetricFamily::EditInForce, pair };
        series.push((key, vec![0; EDIT_BOUNDS.len() + 1]));
        let pair = self.labels.pair_id("", "models");
        series.push((SeriesKey { family: MetricFamily::FairnessGap, pair }, vec![0]));
        series.sort_by_key(|(key, _)| *key);
        let mut layouts = [None; 6];
        layouts[MetricFamily::FirstToken.index()] = self.labels.layout_id(&FIRST_TOKEN_BOUNDS);
        layouts[MetricFamily::TokenGap.index()] = self.labels.layout_id(&TOKEN_GAP_BOUNDS);
        layouts[MetricFamily::EditInForce.index()] = self.labels.layout_id(&EDIT_BOUNDS);
        NodeCounters { name: format!("router-{index:03}"), start_ms, layouts, series }
    }

    /// Restarts a node at `time`: its counters begin at zero again.
    pub fn restart_node(&mut self, index: usize, time: u64) {
        if let Some(node) = self.nodes.get_mut(index) {
            node.start_ms = time;
            node.series.iter_mut().for_each(|(_, values)| values.fill(0));
        }
    }

    /// Lets the counters grow until `time` and writes one sample per node.
    pub fn write_round(
        &mut self,
        time: u64,
        form: SampleForm,
        out: &mut impl Write,
    ) -> std::io::Result<()> {
        let minutes = to_float(time.saturating_sub(self.time)) / to_float(MINUTE_MS);
        self.time = time;
        let mut nodes = std::mem::take(&mut self.nodes);
        for node in &mut nodes {
            for (key, values) in &mut node.series {
                self.grow(key.family, values, minutes);
            }
            self.write_node(node, form, out)?;
        }
        self.nodes = nodes;
        Ok(())
    }

    fn grow(&mut self, family: MetricFamily, values: &mut [u64], minutes: f64) {
        let rate = to_float(self.shape.requests_per_minute);
        let jitter = 0.5 + self.unit();
        let requests = self.rounded(rate * minutes * jitter);
        let faults = self.faults;
        match family {
            MetricFamily::Requests => {
                let refused = self.rounded(to_float(requests) * faults.refused);
                values[0] += requests - refused;
                values[1] += refused;
                values[3] += requests / 64;
            }
            MetricFamily::Answers => {
                let short = self.rounded(to_float(requests) * faults.short);
                values[0] += requests - short;
                values[2] += short;
            }
            MetricFamily::FirstToken => self.grow_buckets(values, requests, 8),
            MetricFamily::TokenGap => self.grow_buckets(values, requests * TOKENS_PER_RESPONSE, 4),
            MetricFamily::EditInForce => {
                let edits = self.rounded(EDITS_PER_MINUTE * minutes);
                self.grow_buckets(values, edits, 4);
            }
            MetricFamily::FairnessGap => {
                values[0] = self.rounded(faults.fairness * RATIO_SCALE);
            }
        }
    }

    /// Adds events to cumulative buckets; `threshold` is the last good bucket.
    fn grow_buckets(&mut self, values: &mut [u64], events: u64, threshold: usize) {
        let slow = self.rounded(to_float(events) * self.faults.slow);
        let fast_buckets = threshold + 1;
        let slow_buckets = values.len() - fast_buckets;
        let mut added = vec![0; values.len()];
        for (count, first, buckets) in
            [(events - slow, 0, fast_buckets), (slow, fast_buckets, slow_buckets)]
        {
            let each = count / u64::try_from(buckets).unwrap_or(1);
            added[first..first + buckets].fill(each);
            let rest = count - each * u64::try_from(buckets).unwrap_or(1);
            added[first + self.below(buckets)] += rest;
        }
        let mut total = 0;
        for (value, added) in values.iter_mut().zip(added) {
            total += added;
            *value += total;
        }
    }

    fn write_node(
        &self,
        node: &NodeCounters,
        form: SampleForm,
        out: &mut impl Write,
    ) -> std::io::Result<()> {
        let mut scrape = NodeScrape::default();
        scrape.layouts = node.layouts;
        for (key, values) in &node.series {
            scrape.push_series(*key, values);
        }
        let series = match form {
            SampleForm::Series => encode_series(&scrape, &self.labels),
            SampleForm::Text => None,
        };
        let text = match form {
            SampleForm::Text => Some(render_metrics(&scrape, &self.labels, node.start_ms)),
            SampleForm::Series => None,
        };
        let compact = series.is_some();
        let sample = SampleLine {
            t: self.time,
            node: Cow::Borrowed(&node.name),
            inc: node.start_ms,
            text: text.map(Cow::Owned),
            series: series.map(Cow::Owned),
            start_ms: compact.then_some(node.start_ms),
            revision: compact.then_some(1),
        };
        write_sample(out, &sample)
    }

    fn next(&mut self) -> u64 {
        // SplitMix64, so that samples do not change with a library version.
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn unit(&mut self) -> f64 {
        to_float(self.next() >> 11) / 9_007_199_254_740_992.0
    }

    fn below(&mut self, limit: usize) -> usize {
        let limit = u64::try_from(limit.max(1)).unwrap_or(1);
        usize::try_from(self.next() % limit).unwrap_or(0)
    }

    /// Rounds up or down at random, so that small rates still give events.
    fn rounded(&mut self, value: f64) -> u64 {
        let value = (value + self.unit()).floor().max(0.0);
        Duration::from_secs_f64(value.min(1e15)).as_secs()
    }
}

/// Writes the series in the Prometheus text format, as routers expose them.
pub fn render_metrics(scrape: &NodeScrape, labels: &LabelTable, start_ms: u64) -> String {
    let mut out = format!(
        "# TYPE baobabfall_node_start_time_seconds gauge\nbaobabfall_node_start_time_seconds {}\nbaobabfall_table_revision 1\n",
        to_float(start_ms) / 1000.0
    );
    for index in 0..scrape.len() {
        let Some(key) = scrape.key(index) else { continue };
        render_series(&mut out, scrape, labels, key, scrape.values(index));
    }
    out
}

fn render_series(
    out: &mut String,
    scrape: &NodeScrape,
    labels: &LabelTable,
    key: SeriesKey,
    values: &[u64],
) {
    let metric = key.family.metric();
    let (workspace, model) = labels.pair(key.pair);
    let names = match key.family {
        MetricFamily::EditInForce => String::new(),
        MetricFamily::FairnessGap => format!("pool=\"{model}\""),
        MetricFamily::TokenGap => format!("model=\"{model}\""),
        _ => format!("workspace=\"{workspace}\",model=\"{model}\""),
    };
    let written = match key.family {
        MetricFamily::Requests => {
            render_counters(out, metric, &names, "outcome", &OUTCOMES, values)
        }
        MetricFamily::Answers => {
            render_counters(out, metric, &names, "completeness", &COMPLETENESS, values)
        }
        MetricFamily::FairnessGap => {
            let ratio = to_float(values.first().copied().unwrap_or(0)) / RATIO_SCALE;
            writeln!(out, "{metric}{{{names}}} {ratio}")
        }
        _ => {
            let layout = scrape.layouts[key.family.index()].unwrap_or(usize::MAX);
            render_buckets(out, metric, &names, labels.layout(layout), values)
        }
    };
    // Writing to a string does not fail.
    debug_assert!(written.is_ok());
}

fn render_counters(
    out: &mut String,
    metric: &str,
    names: &str,
    label: &str,
    kinds: &[&str],
    values: &[u64],
) -> std::fmt::Result {
    for (kind, value) in kinds.iter().zip(values) {
        writeln!(out, "{metric}{{{names},{label}=\"{kind}\"}} {value}")?;
    }
    Ok(())
}

fn render_buckets(
    out: &mut String,
    metric: &str,
    names: &str,
    bounds: &[f64],
    values: &[u64],
) -> std::fmt::Result {
    let comma = if names.is_empty() { "" } else { "," };
    let bounds = bounds.iter().map(f64::to_string).chain(["+Inf".to_owned()]);
    for (bound, value) in bounds.zip(values) {
        writeln!(out, "{metric}_bucket{{{names}{comma}le=\"{bound}\"}} {value}")?;
    }
    let count = values.last().copied().unwrap_or(0);
    let braces = if names.is_empty() { String::new() } else { format!("{{{names}}}") };
    writeln!(out, "{metric}_sum{braces} {count}\n{metric}_count{braces} {count}")
}

/// Sample times that end at `end_ms` and are just dense enough for every
/// window up to `period`: each minute in the last hour, then sparser.
pub fn thinned_times(end_ms: u64, interval: Duration, period: Duration) -> Vec<u64> {
    let mut times = Vec::new();
    let mut time = end_ms;
    let mut windows: Vec<u64> = RULE_WINDOWS.iter().copied().map(millis).collect();
    windows.push(millis(period));
    for window in windows {
        let step = slot_ms(window, millis(interval));
        while end_ms - time < window && time >= step {
            times.push(time);
            time -= step;
        }
    }
    times.reverse();
    times
}
