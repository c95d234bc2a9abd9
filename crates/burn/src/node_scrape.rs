//! Counters of one node at one time, in one flat array.

use crate::label_table::PairId;

/// Metric families that the report uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MetricFamily {
    /// `baobabfall_requests_total`, four values by outcome.
    Requests,
    /// `baobabfall_answers_total`, three values by completeness.
    Answers,
    /// `baobabfall_first_token_seconds`.
    FirstToken,
    /// `baobabfall_token_gap_seconds`.
    TokenGap,
    /// `baobabfall_edit_in_force_seconds`.
    EditInForce,
    /// `baobabfall_fairness_gap_ratio`, one value in millionths.
    FairnessGap,
}

/// Every family, in the order of [`MetricFamily::index`].
pub const FAMILIES: [MetricFamily; 6] = [
    MetricFamily::Requests,
    MetricFamily::Answers,
    MetricFamily::FirstToken,
    MetricFamily::TokenGap,
    MetricFamily::EditInForce,
    MetricFamily::FairnessGap,
];
pub use baobabfall_node::node_metrics::{COMPLETENESS, OUTCOMES};
/// The fairness gap ratio is held in this fraction of one.
pub const RATIO_SCALE: f64 = 1_000_000.0;

impl MetricFamily {
    /// Position in [`FAMILIES`].
    pub fn index(self) -> usize {
        match self {
            Self::Requests => 0,
            Self::Answers => 1,
            Self::FirstToken => 2,
            Self::TokenGap => 3,
            Self::EditInForce => 4,
            Self::FairnessGap => 5,
        }
    }

    /// Name of the metric.
    pub fn metric(self) -> &'static str {
        match self {
            Self::Requests => "baobabfall_requests_total",
            Self::Answers => "baobabfall_answers_total",
            Self::FirstToken => "baobabfall_first_token_seconds",
            Self::TokenGap => "baobabfall_token_gap_seconds",
            Self::EditInForce => "baobabfall_edit_in_force_seconds",
            Self::FairnessGap => "baobabfall_fairness_gap_ratio",
        }
    }

    /// Letter in the compact sample form.
    pub fn letter(self) -> char {
        match self {
            Self::Requests => 'r',
            Self::Answers => 'a',
            Self::FirstToken => 'f',
            Self::TokenGap => 'g',
            Self::EditInForce => 'e',
            Self::FairnessGap => 'p',
        }
    }

    /// Short name, which latency objectives have as their section.
    pub fn code(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Answers => "answers",
            Self::FirstToken => "first_token",
            Self::TokenGap => "token_gap",
            Self::EditInForce => "edit_in_force",
            Self::FairnessGap => "fairness_gap",
        }
    }

    /// Number of values per series, unless it is a histogram.
    pub fn fixed_values(self) -> Option<usize> {
        match self {
            Self::Requests => Some(OUTCOMES.len()),
            Self::Answers => Some(COMPLETENESS.len()),
            Self::FairnessGap => Some(1),
            Self::FirstToken | Self::TokenGap | Self::EditInForce => None,
        }
    }
}

/// A family and its (workspace, model) labels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SeriesKey {
    /// Metric family.
    pub family: MetricFamily,
    /// Labels; absent ones are empty.
    pub pair: PairId,
}

/// Series of one node at one time. Histogram values are cumulative over
/// buckets, the last one being the count.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeScrape {
    keys: Vec<SeriesKey>,
    ends: Vec<u32>,
    values: Vec<u64>,
    /// Layout number per family, for histograms.
    pub layouts: [Option<usize>; FAMILIES.len()],
    /// Start of the process in unix ms, when exposed.
    pub start_ms: Option<u64>,
    /// Table revision, when exposed.
    pub revision: Option<u64>,
}

impl NodeScrape {
    /// Number of series.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// True when there is no series.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Key of a series.
    pub fn key(&self, index: usize) -> Option<SeriesKey> {
        self.keys.get(index).copied()
    }

    /// Values of a series; empty when there is none.
    pub fn values(&self, index: usize) -> &[u64] {
        let end = |index: usize| self.ends.get(index).and_then(|end| usize::try_from(*end).ok());
        let start = index.checked_sub(1).map_or(Some(0), end);
        start.zip(end(index)).and_then(|(start, end)| self.values.get(start..end)).unwrap_or(&[])
    }

    /// Adds a value to the series that is being built.
    pub fn push_value(&mut self, value: u64) {
        self.values.push(value);
    }

    /// Number of values added since the last finished series.
    pub fn open_values(&self) -> usize {
        self.values.len() - self.ends.last().map_or(0, |end| usize::try_from(*end).unwrap_or(0))
    }

    /// Values added since the last finished series.
    pub fn open_slice(&self) -> &[u64] {
        &self.values[self.values.len() - self.open_values()..]
    }

    /// Finishes the series whose values were pushed.
    pub fn finish_series(&mut self, key: SeriesKey) {
        self.keys.push(key);
        self.ends.push(u32::try_from(self.values.len()).unwrap_or(u32::MAX));
    }

    /// Adds a whole series.
    pub fn push_series(&mut self, key: SeriesKey, values: &[u64]) {
        self.values.extend_from_slice(values);
        self.finish_series(key);
    }

    /// Keys with their positions, sorted.
    pub fn sorted_positions(&self) -> Vec<(SeriesKey, usize)> {
        let mut sorted: Vec<_> = self.keys.iter().copied().zip(0..).collect();
        sorted.sort_unstable();
        sorted
    }

    /// The first key that stands twice.
    pub fn repeated_key(&self) -> Option<SeriesKey> {
        let sorted = self.sorted_positions();
        sorted.windows(2).find(|pair| pair[0].0 == pair[1].0).map(|pair| pair[0].0)
    }

    /// The start time and table revision alone.
    pub fn without_series(&self) -> Self {
        Self { start_ms: self.start_ms, revision: self.revision, ..Self::default() }
    }

    /// Adds the series of `older` that this scrape lacks, so that a series
    /// that returns later is compared with its last value.
    pub fn carry_over(&mut self, older: &Self) {
        let same = self.keys.len() >= older.keys.len()
            && self.keys.iter().zip(&older.keys).all(|(new, old)| new == old);
        if same {
            return;
        }
        let held = self.sorted_positions();
        for (index, key) in older.keys.iter().enumerate() {
            let absent = held.binary_search_by(|(other, _)| other.cmp(key)).is_err();
            let layout = key.family.index();
            if absent
                && (self.layouts[layout].is_none() || self.layouts[layout] == older.layouts[layout])
            {
                self.layouts[layout] = older.layouts[layout];
                self.push_series(*key, older.values(index));
            }
        }
    }
}
