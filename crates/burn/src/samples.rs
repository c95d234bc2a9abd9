//! Recorded samples: JSON lines, one scrape of one node each.
//!
//! | field | meaning |
//! |---|---|
//! | `t` | time in unix milliseconds |
//! | `node` | name of the node |
//! | `inc` | incarnation, different after each restart |
//! | `text` | the scraped Prometheus text; or instead |
//! | `series` | the compact form |
//! | `start_ms`, `revision` | with `series`: process start and table revision, when exposed |
//!
//! The compact form holds entries separated by `;`. `le FAMILY B...` gives the
//! finite bucket bounds of a histogram family in seconds and precedes its
//! series. `FAMILY WORKSPACE MODEL N...` gives one series; an absent label is
//! `-`, and `FAMILY = N...` has the labels of the entry before. FAMILY is `r`
//! for requests, `a` answers, `f` first token, `g` token gap, `e` edit in
//! force, `p` fairness gap (its pool stands as the model). Histograms list the events per bucket (not cumulative), the infinite
//! bucket last; counters list their values in the order of
//! [`OUTCOMES`](crate::node_scrape::OUTCOMES) or
//! [`COMPLETENESS`](crate::node_scrape::COMPLETENESS); the fairness gap is in
//! millionths.

use crate::label_table::{LabelTable, PairId};
use crate::metric_text::BUCKET_LIMIT;
use crate::node_scrape::{FAMILIES, MetricFamily, NodeScrape, SeriesKey};
use crate::text_report::or_dash;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

/// Longest line of a sample file in bytes.
pub const SAMPLE_LIMIT: usize = 12 << 20;
/// Most series of one compact sample.
const SERIES_LIMIT: usize = 200_000;
/// Most digits of a number; more could overflow.
const DIGIT_LIMIT: usize = 16;
/// Bytes read at once from the end of a file when looking for its last line.
const TAIL_STEP: u64 = 64 << 10;

/// One line of a sample file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SampleLine<'a> {
    /// Unix time in milliseconds.
    pub t: u64,
    /// Name of the node.
    #[serde(borrow)]
    pub node: Cow<'a, str>,
    /// Incarnation of the node.
    pub inc: u64,
    /// Scraped text.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub text: Option<Cow<'a, str>>,
    /// Compact series.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub series: Option<Cow<'a, str>>,
    /// Start of the process in unix ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start_ms: Option<u64>,
    /// Table revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

#[derive(Deserialize)]
struct NodeOnly<'a> {
    #[serde(borrow)]
    node: Cow<'a, str>,
}

#[derive(Deserialize)]
struct TimeOnly {
    t: u64,
}

/// Writes the compact form, or `None` when a label contains a separator and
/// the sample must be stored as text.
pub fn encode_series(scrape: &NodeScrape, labels: &LabelTable) -> Option<String> {
    let mut out = String::with_capacity(scrape.len() * 64);
    for family in FAMILIES {
        if let Some(layout) = scrape.layouts[family.index()] {
            out.push_str("le ");
            out.push(family.letter());
            for bound in labels.layout(layout) {
                out.push_str(&format!(" {bound}"));
            }
            out.push(';');
        }
    }
    let mut order: Vec<(PairId, MetricFamily, usize)> = Vec::with_capacity(scrape.len());
    for index in 0..scrape.len() {
        let key = scrape.key(index)?;
        order.push((key.pair, key.family, index));
    }
    order.sort_unstable();
    let mut last = None;
    for (pair, family, index) in order {
        out.push(family.letter());
        if last == Some(pair) {
            out.push_str(" =");
        } else {
            push_labels(&mut out, labels.pair(pair))?;
        }
        last = Some(pair);
        push_values(&mut out, scrape.values(index), family.fixed_values().is_none());
        out.push(';');
    }
    Some(out)
}

fn push_labels(out: &mut String, (workspace, model): (&str, &str)) -> Option<()> {
    for label in [workspace, model] {
        if label == "-" || label == "=" || label.contains([' ', ';']) {
            return None;
        }
        out.push(' ');
        out.push_str(or_dash(label));
    }
    Some(())
}

fn push_values(out: &mut String, values: &[u64], cumulative: bool) {
    let mut last = 0;
    for value in values {
        out.push(' ');
        push_number(out, value.saturating_sub(last));
        last = if cumulative { *value } else { 0 };
    }
}

fn push_number(out: &mut String, mut value: u64) {
    let mut digits = [b'0'; 20];
    let mut start = digits.len();
    loop {
        start -= 1;
        digits[start] = b'0' + u8::try_from(value % 10).unwrap_or(0);
        value /= 10;
        if value == 0 || start == 0 {
            break;
        }
    }
    out.extend(digits[start..].iter().map(|digit| char::from(*digit)));
}

/// Reads the compact form. `hint` is the node's previous scrape: series mostly
/// come in the same order, so its keys save the label lookups.
pub fn decode_series(
    text: &str,
    labels: &mut LabelTable,
    hint: &NodeScrape,
) -> Result<NodeScrape, String> {
    let mut scrape = NodeScrape::default();
    let mut rest = text;
    let mut last = None;
    while !rest.is_empty() {
        if let Some(after) = rest.strip_prefix("le ") {
            let (entry, after) = after.split_once(';').ok_or("The bucket bounds do not end.")?;
            decode_bounds(entry, labels, &mut scrape)?;
            rest = after;
            continue;
        }
        if scrape.len() >= SERIES_LIMIT {
            return Err(format!("The sample has over {SERIES_LIMIT} series."));
        }
        let guess = hint.key(scrape.len());
        rest = decode_entry(rest, labels, last, guess, &mut scrape)?;
        last = scrape.key(scrape.len() - 1).map(|key| key.pair);
    }
    let aligned = scrape.len() <= hint.len()
        && (0..scrape.len()).all(|index| scrape.key(index) == hint.key(index));
    match if aligned { None } else { scrape.repeated_key() } {
        Some(key) => Err(format!("A series of {} stands twice.", key.family.metric())),
        None => Ok(scrape),
    }
}

/// Family and the text after its letter and space.
fn split_family(text: &str) -> Option<(MetricFamily, &str)> {
    let letter = text.chars().next()?;
    let family = *FAMILIES.iter().find(|family| family.letter() == letter)?;
    Some((family, text.get(1..)?.strip_prefix(' ')?))
}

fn decode_bounds(
    rest: &str,
    labels: &mut LabelTable,
    scrape: &mut NodeScrape,
) -> Result<(), String> {
    let (family, words) = split_family(rest).ok_or("The bucket bounds have no family.")?;
    let bounds: Vec<f64> = words.split(' ').map_while(|word| word.parse().ok()).collect();
    let count = words.split(' ').count();
    let grows = bounds.windows(2).all(|pair| pair[0] < pair[1]);
    if family.fixed_values().is_some() || bounds.len() != count || !grows || count >= BUCKET_LIMIT {
        return Err("The bucket bounds are malformed.".to_owned());
    }
    scrape.layouts[family.index()] = labels.layout_id(&bounds);
    Ok(())
}

/// Reads one series and returns the text after it. `last` is the pair of the
/// series before, `guess` the key that is likely.
fn decode_entry<'a>(
    text: &'a str,
    labels: &mut LabelTable,
    last: Option<PairId>,
    guess: Option<SeriesKey>,
    scrape: &mut NodeScrape,
) -> Result<&'a str, String> {
    let (family, rest) = split_family(text).ok_or("A series has an unknown family.")?;
    let repeated = rest.strip_prefix("= ");
    let guessed = || guess.and_then(|key| Some((key.pair, skip_labels(rest, key.pair, labels)?)));
    let (pair, numbers) = match (repeated, last) {
        (Some(numbers), Some(pair)) => (pair, numbers),
        (Some(_), None) => return Err("The first series has no labels.".to_owned()),
        (None, _) => match guessed() {
            Some(found) => found,
            None => read_labels(rest, labels).ok_or("A series is malformed.")?,
        },
    };
    let key = SeriesKey { family, pair };
    let fixed = key.family.fixed_values();
    let expected = match (fixed, scrape.layouts[key.family.index()]) {
        (Some(count), _) => count,
        (None, Some(layout)) => labels.layout(layout).len() + 1,
        (None, None) => return Err("A histogram precedes its bounds.".to_owned()),
    };
    let length = push_numbers(numbers.as_bytes(), fixed.is_none(), scrape)
        .ok_or("The values of a series are malformed.")?;
    if scrape.open_values() != expected {
        return Err("A series has the wrong number of values.".to_owned());
    }
    scrape.finish_series(key);
    Ok(numbers.get(length..).unwrap_or_default())
}

/// The text after the labels of `pair`, if it begins with them.
fn skip_labels<'a>(text: &'a str, pair: PairId, labels: &LabelTable) -> Option<&'a str> {
    let (workspace, model) = labels.pair(pair);
    let rest = text.strip_prefix(or_dash(workspace))?.strip_prefix(' ')?;
    rest.strip_prefix(or_dash(model))?.strip_prefix(' ')
}

fn read_labels<'a>(text: &'a str, labels: &mut LabelTable) -> Option<(PairId, &'a str)> {
    let (workspace, rest) = text.split_once(' ')?;
    let (model, numbers) = rest.split_once(' ')?;
    if [workspace, model].iter().any(|word| word.is_empty() || word.contains(';')) {
        return None;
    }
    let label = |word| if word == "-" { "" } else { word };
    Some((labels.pair_id(label(workspace), label(model)), numbers))
}

/// Reads the values up to `;` and returns the number of bytes read.
fn push_numbers(text: &[u8], cumulative: bool, scrape: &mut NodeScrape) -> Option<usize> {
    let mut total = 0_u64;
    let mut start = 0;
    loop {
        let mut value = 0_u64;
        let mut index = start;
        while let Some(digit) = text.get(index).map(|byte| byte.wrapping_sub(b'0'))
            && digit < 10
        {
            value = value.wrapping_mul(10).wrapping_add(u64::from(digit));
            index += 1;
        }
        if index == start || index - start > DIGIT_LIMIT {
            return None;
        }
        total = if cumulative { total.checked_add(value)? } else { value };
        scrape.push_value(total);
        start = index + 1;
        match text.get(index)? {
            b';' => return Some(start),
            b' ' => {}
            _ => return None,
        }
    }
}

/// The files that `path` names: itself, or the `.jsonl` files of a folder by name.
pub fn sample_files(path: &Path) -> std::io::Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_path_buf()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path)? {
        let file = entry?.path();
        if file.extension().is_some_and(|extension| extension == "jsonl") {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

/// Time of the last readable line of a file.
pub fn last_time(path: &Path) -> std::io::Result<Option<u64>> {
    let mut file = File::open(path)?;
    let length = file.metadata()?.len();
    let mut tail = Vec::new();
    let mut start = length;
    while start > 0 && tail.len() < 2 * SAMPLE_LIMIT {
        let step = start.min(TAIL_STEP.max(u64::try_from(tail.len()).unwrap_or(TAIL_STEP)));
        start -= step;
        file.seek(SeekFrom::Start(start))?;
        let mut chunk = Vec::new();
        file.by_ref().take(step).read_to_end(&mut chunk)?;
        chunk.append(&mut tail);
        tail = chunk;
        let time = tail.rsplit(|byte| *byte == b'\n').find_map(line_time);
        if time.is_some() {
            return Ok(time);
        }
    }
    Ok(None)
}

fn line_time(line: &[u8]) -> Option<u64> {
    serde_json::from_slice::<TimeOnly>(line).ok().map(|line| line.t)
}

/// Time that a line written by the recorder begins with, without reading the rest.
pub fn leading_time(line: &[u8]) -> Option<u64> {
    let digits = line.strip_prefix(b"{\"t\":")?;
    let end = digits.iter().position(|byte| !byte.is_ascii_digit())?;
    std::str::from_utf8(&digits[..end]).ok()?.parse().ok()
}

/// Name of the node of a line; quick when the recorder wrote it.
pub fn line_node(line: &[u8]) -> Option<Cow<'_, str>> {
    let digits = line.strip_prefix(b"{\"t\":").unwrap_or_default();
    let end = digits.iter().position(|byte| !byte.is_ascii_digit()).unwrap_or(0);
    if let Some(name) = digits[end..].strip_prefix(b",\"node\":\"") {
        let length = name.iter().position(|byte| matches!(byte, b'"' | b'\\'))?;
        if name[length] == b'"' {
            return std::str::from_utf8(&name[..length]).ok().map(Cow::Borrowed);
        }
    }
    serde_json::from_slice::<NodeOnly<'_>>(line).ok().map(|line| line.node)
}

/// Calls `take` for each line of a file, without its newline; a line over
/// [`SAMPLE_LIMIT`] is passed on empty.
pub fn for_each_line(path: &Path, mut take: impl FnMut(&[u8])) -> std::io::Result<()> {
    let mut reader = BufReader::with_capacity(1 << 20, File::open(path)?);
    let mut line = Vec::new();
    let limit = u64::try_from(SAMPLE_LIMIT).unwrap_or(u64::MAX);
    loop {
        line.clear();
        if reader.by_ref().take(limit).read_until(b'\n', &mut line)? == 0 {
            return Ok(());
        }
        if line.pop_if(|byte| *byte == b'\n').is_none() && line.len() >= SAMPLE_LIMIT {
            line.clear();
            reader.skip_until(b'\n')?;
        }
        take(&line);
    }
}
