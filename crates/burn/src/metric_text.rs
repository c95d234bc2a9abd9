//! Strict, bounded parser of the Prometheus text format, for the metrics that
//! routers expose.
//!
//! Every line must be well formed; a fault refuses the whole text, so a
//! truncated scrape counts as missing instead of as a fall to zero.

use crate::label_table::{LabelTable, PairId};
use crate::node_scrape::{
    COMPLETENESS, FAMILIES, MetricFamily, NodeScrape, OUTCOMES, RATIO_SCALE, SeriesKey,
};

/// Largest text of one scrape in bytes.
pub const TEXT_LIMIT: usize = 8 << 20;
/// Longest line in bytes.
pub const LINE_LIMIT: usize = 16 << 10;
/// Most lines of one scrape.
pub const SERIES_LIMIT: usize = 1_000_000;
/// Most buckets of a histogram, the infinite one included.
pub const BUCKET_LIMIT: usize = 256;
/// Largest integer that a float holds exactly.
const EXACT_INTEGERS: f64 = 9_007_199_254_740_992.0;
const START_METRIC: &str = "baobabfall_node_start_time_seconds";
const REVISION_METRIC: &str = "baobabfall_table_revision";

/// One fault of a scraped text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {message}")]
pub struct TextFault {
    /// Line of the text, from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

/// Parses a scraped text into the series that the report uses.
///
/// ```
/// use baobabfall_burn::{label_table::LabelTable, metric_text::parse_text};
/// let text = "baobabfall_answers_total{workspace=\"a\",model=\"m\",completeness=\"whole\"} 7\n";
/// let scrape = parse_text(text, &mut LabelTable::default()).unwrap();
/// assert_eq!(scrape.values(0), [7, 0, 0]);
/// ```
pub fn parse_text(text: &str, labels: &mut LabelTable) -> Result<NodeScrape, TextFault> {
    if text.len() > TEXT_LIMIT {
        return Err(TextFault {
            line: 0,
            message: format!("The text is over {TEXT_LIMIT} bytes."),
        });
    }
    if !text.is_empty() && !text.ends_with('\n') {
        return Err(TextFault { line: 0, message: "The text ends within a line.".to_owned() });
    }
    let mut decoder = TextDecoder::new(labels);
    let mut number = 0;
    for line in text.lines() {
        number += 1;
        decoder.take_line(line).map_err(|message| TextFault { line: number, message })?;
    }
    decoder.finish().map_err(|message| TextFault { line: number, message })
}

/// One parsed line: metric name, labels and value.
struct MetricLine<'a> {
    name: &'a str,
    workspace: &'a str,
    model: &'a str,
    kind: &'a str,
    bound: Option<&'a str>,
    pool: &'a str,
    value: &'a str,
}

struct TextDecoder<'t> {
    labels: &'t mut LabelTable,
    scrape: NodeScrape,
    open: Option<SeriesKey>,
    bounds: Vec<f64>,
    closed: bool,
    counters: Vec<(SeriesKey, usize, u64)>,
    lines: usize,
}

impl<'t> TextDecoder<'t> {
    fn new(labels: &'t mut LabelTable) -> Self {
        Self {
            labels,
            scrape: NodeScrape::default(),
            open: None,
            bounds: Vec::new(),
            closed: false,
            counters: Vec::new(),
            lines: 0,
        }
    }

    fn take_line(&mut self, line: &str) -> Result<(), String> {
        if line.len() > LINE_LIMIT {
            return Err(format!("The line is over {LINE_LIMIT} bytes."));
        }
        if line.is_empty() || line.starts_with('#') {
            return Ok(());
        }
        self.lines += 1;
        if self.lines > SERIES_LIMIT {
            return Err(format!("The text has over {SERIES_LIMIT} values."));
        }
        let parsed = parse_line(line)?;
        match parsed.name {
            START_METRIC => {
                self.scrape.start_ms = Some(scaled(parsed.value, 1000.0)?);
                Ok(())
            }
            REVISION_METRIC => {
                self.scrape.revision = Some(scaled(parsed.value, 1.0)?);
                Ok(())
            }
            _ => self.take_series(&parsed),
        }
    }

    fn take_series(&mut self, line: &MetricLine<'_>) -> Result<(), String> {
        let matching = FAMILIES.iter().find_map(|family| {
            line.name.strip_prefix(family.metric()).map(|suffix| (*family, suffix))
        });
        match matching {
            Some((MetricFamily::Requests, "")) => {
                self.take_counter(MetricFamily::Requests, line, &OUTCOMES)
            }
            Some((MetricFamily::Answers, "")) => {
                self.take_counter(MetricFamily::Answers, line, &COMPLETENESS)
            }
            Some((MetricFamily::FairnessGap, "")) => self.take_ratio(line),
            Some((family, "_bucket")) if family.fixed_values().is_none() => {
                self.take_bucket(family, line)
            }
            Some((family, "_count")) if family.fixed_values().is_none() => {
                self.take_count(family, line)
            }
            _ => number(line.value).map(|_| ()),
        }
    }

    fn take_counter(
        &mut self,
        family: MetricFamily,
        line: &MetricLine<'_>,
        kinds: &[&str],
    ) -> Result<(), String> {
        let slot = kinds.iter().position(|kind| *kind == line.kind).ok_or_else(|| {
            format!("{:?} is unknown; accepted are {}.", line.kind, kinds.join(", "))
        })?;
        let pair = self.labels.pair_id(line.workspace, line.model);
        self.counters.push((SeriesKey { family, pair }, slot, count(line.value)?));
        Ok(())
    }

    fn take_ratio(&mut self, line: &MetricLine<'_>) -> Result<(), String> {
        let pair = self.labels.pair_id("", line.pool);
        let key = SeriesKey { family: MetricFamily::FairnessGap, pair };
        self.counters.push((key, 0, scaled(line.value, RATIO_SCALE)?));
        Ok(())
    }

    fn take_bucket(&mut self, family: MetricFamily, line: &MetricLine<'_>) -> Result<(), String> {
        let pair = self.pair_of(line);
        let key = SeriesKey { family, pair };
        if self.open != Some(key) {
            self.close_series()?;
            self.open = Some(key);
        }
        if self.closed {
            return Err("A bucket follows the infinite one.".to_owned());
        }
        let bound = line.bound.ok_or("The bucket has no label le.")?;
        let value = count(line.value)?;
        if self.scrape.open_slice().last().is_some_and(|last| *last > value) {
            return Err("The buckets are not cumulative.".to_owned());
        }
        if self.scrape.open_values() >= BUCKET_LIMIT {
            return Err(format!("The histogram has over {BUCKET_LIMIT} buckets."));
        }
        self.scrape.push_value(value);
        if bound == "+Inf" {
            self.closed = true;
            return Ok(());
        }
        let bound = number(bound)?;
        if self.bounds.last().is_some_and(|last| *last >= bound) {
            return Err("The bucket bounds do not grow.".to_owned());
        }
        self.bounds.push(bound);
        Ok(())
    }

    fn take_count(&mut self, family: MetricFamily, line: &MetricLine<'_>) -> Result<(), String> {
        let key = SeriesKey { family, pair: self.pair_of(line) };
        let value = count(line.value)?;
        if self.open != Some(key) || self.scrape.open_slice().last() != Some(&value) {
            return Err("The count differs from the infinite bucket.".to_owned());
        }
        self.close_series()
    }

    fn pair_of(&mut self, line: &MetricLine<'_>) -> PairId {
        self.labels.pair_id(line.workspace, line.model)
    }

    fn close_series(&mut self) -> Result<(), String> {
        let Some(key) = self.open.take() else { return Ok(()) };
        if !self.closed {
            return Err("The histogram lacks its infinite bucket.".to_owned());
        }
        let slot = &mut self.scrape.layouts[key.family.index()];
        let layout = self.labels.layout_id(&self.bounds).ok_or("There are too many layouts.")?;
        if slot.is_some_and(|held| held != layout) {
            return Err("Histograms of one metric have different bounds.".to_owned());
        }
        *slot = Some(layout);
        self.scrape.finish_series(key);
        self.bounds.clear();
        self.closed = false;
        Ok(())
    }

    fn finish(mut self) -> Result<NodeScrape, String> {
        self.close_series()?;
        self.counters.sort_unstable();
        let mut rest = self.counters.as_slice();
        while let Some((key, _, _)) = rest.first().copied() {
            let length = rest.iter().take_while(|(other, _, _)| *other == key).count();
            let (group, tail) = rest.split_at(length);
            if group.windows(2).any(|pair| pair[0].1 == pair[1].1) {
                return Err(format!("A series of {} stands twice.", key.family.metric()));
            }
            for slot in 0..key.family.fixed_values().unwrap_or(0) {
                let held = group.iter().find(|(_, other, _)| *other == slot);
                self.scrape.push_value(held.map_or(0, |(_, _, value)| *value));
            }
            self.scrape.finish_series(key);
            rest = tail;
        }
        match self.scrape.repeated_key() {
            Some(key) => Err(format!(
                "A series of {} stands twice, or there are too many label values.",
                key.family.metric()
            )),
            None => Ok(self.scrape),
        }
    }
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte == b':'
}

fn parse_line(line: &str) -> Result<MetricLine<'_>, String> {
    let end = line.bytes().position(|byte| !is_name_byte(byte)).unwrap_or(line.len());
    let (name, mut rest) = line.split_at(end);
    if name.is_empty() || name.starts_with(|c: char| c.is_ascii_digit()) {
        return Err("The line has no metric name.".to_owned());
    }
    let mut parsed =
        MetricLine { name, workspace: "", model: "", kind: "", bound: None, pool: "", value: "" };
    if let Some(inner) = rest.strip_prefix('{') {
        rest = parse_labels(inner, &mut parsed)?;
    }
    if !rest.starts_with([' ', '\t']) {
        return Err("A space is missing before the value.".to_owned());
    }
    let mut words = rest.split_ascii_whitespace();
    parsed.value = words.next().ok_or("The value is missing.")?;
    if words.next().is_some_and(|time| time.parse::<i64>().is_err()) || words.next().is_some() {
        return Err("The value is followed by more than a timestamp.".to_owned());
    }
    Ok(parsed)
}

/// Reads labels up to the closing brace and returns what follows it.
fn parse_labels<'a>(mut rest: &'a str, line: &mut MetricLine<'a>) -> Result<&'a str, String> {
    loop {
        if let Some(after) = rest.strip_prefix('}') {
            return Ok(after);
        }
        let (name, after) = rest.split_once("=\"").ok_or("A label has no quoted value.")?;
        if name.is_empty() || !name.bytes().all(is_name_byte) {
            return Err("A label name is malformed.".to_owned());
        }
        let (value, after) = quoted_value(after)?;
        match name {
            "workspace" => line.workspace = value,
            "model" => line.model = value,
            "pool" => line.pool = value,
            "le" => line.bound = Some(value),
            "outcome" | "completeness" => line.kind = value,
            _ => {}
        }
        rest = match after.strip_prefix(',') {
            Some(after) => after,
            None if after.starts_with('}') => after,
            None => return Err("Labels are not separated by a comma.".to_owned()),
        };
    }
}

/// Splits at the closing quote. Escapes are kept as they stand: they only
/// have to be equal in equal labels.
fn quoted_value(text: &str) -> Result<(&str, &str), String> {
    let mut escaped = false;
    for (index, byte) in text.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' => escaped = true,
            b'"' => return Ok((&text[..index], &text[index + 1..])),
            _ => {}
        }
    }
    Err("A label value is not closed.".to_owned())
}

fn number(text: &str) -> Result<f64, String> {
    let plain = text.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'+' | b'-'));
    let parsed = text.parse::<f64>().ok().filter(|_| plain);
    parsed.ok_or_else(|| format!("{:?} is not a number.", shortened(text)))
}

fn count(text: &str) -> Result<u64, String> {
    if text.len() < 16 && text.bytes().all(|byte| byte.is_ascii_digit()) {
        return text.parse().map_err(|_| "The count is empty.".to_owned());
    }
    let value = number(text)?;
    if value.fract() == 0.0 {
        scaled(text, 1.0)
    } else {
        Err("The count is no integer.".to_owned())
    }
}

/// Value times `scale` as an integer, if it is neither negative nor huge.
fn scaled(text: &str, scale: f64) -> Result<u64, String> {
    let value = (number(text)? * scale).round();
    if !(0.0..=EXACT_INTEGERS).contains(&value) {
        return Err(format!("{:?} is negative or too large.", shortened(text)));
    }
    format!("{value:.0}").parse().map_err(|_| "The value is no integer.".to_owned())
}

fn shortened(text: &str) -> String {
    text.chars().take(32).collect()
}
