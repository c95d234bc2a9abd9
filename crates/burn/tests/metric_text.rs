//! The parsers on random and truncated input: no panic, no half result.

#![allow(clippy::unwrap_used, reason = "the helpers here belong to tests")]

use baobabfall_burn::fleet_merge::FleetMerge;
use baobabfall_burn::label_table::LabelTable;
use baobabfall_burn::metric_text::{BUCKET_LIMIT, LINE_LIMIT, TEXT_LIMIT, parse_text};
use baobabfall_burn::node_scrape::NodeScrape;
use baobabfall_burn::objectives::ObjectiveSet;
use baobabfall_burn::samples::{decode_series, encode_series, for_each_line, last_time};
use quickcheck::{Arbitrary, Gen};

const TEXT: &str = concat!(
    "# HELP baobabfall_first_token_seconds Time to the first token.\n",
    "# TYPE baobabfall_first_token_seconds histogram\n",
    "baobabfall_first_token_seconds_bucket{workspace=\"a\",model=\"m\",le=\"0.5\"} 3\n",
    "baobabfall_first_token_seconds_bucket{workspace=\"a\",model=\"m\",le=\"1.9\"} 5\n",
    "baobabfall_first_token_seconds_bucket{workspace=\"a\",model=\"m\",le=\"+Inf\"} 6\n",
    "baobabfall_first_token_seconds_sum{workspace=\"a\",model=\"m\"} 4.25\n",
    "baobabfall_first_token_seconds_count{workspace=\"a\",model=\"m\"} 6\n",
    "baobabfall_requests_total{model=\"m\",outcome=\"cancelled\",workspace=\"a\"} 1e3\n",
    "baobabfall_requests_total{model=\"m\",outcome=\"finished\",workspace=\"a\"} 9 1796300000000\n",
    "baobabfall_fairness_gap_ratio{pool=\"p\"} 0.25\n",
    "baobabfall_node_start_time_seconds 1796300000.5\n",
    "baobabfall_table_revision 12\n",
    "other_metric{path=\"a\\\"b}\"} NaN\n",
);

fn parse(text: &str) -> Result<NodeScrape, String> {
    parse_text(text, &mut LabelTable::default()).map_err(|fault| fault.to_string())
}

/// Guards against values that land in the wrong series or slot.
#[test]
fn parse_text_reads_every_kind() {
    let mut labels = LabelTable::default();
    let scrape = parse_text(TEXT, &mut labels).unwrap();
    let values: Vec<&[u64]> = (0..scrape.len()).map(|index| scrape.values(index)).collect();
    assert_eq!(values, [&[3, 5, 6][..], &[9, 0, 0, 1000], &[250_000]]);
    assert_eq!((scrape.start_ms, scrape.revision), (Some(1_796_300_000_500), Some(12)));
    assert_eq!(labels.pair(scrape.key(1).unwrap().pair), ("a", "m"));
    let compact = encode_series(&scrape, &labels).unwrap();
    let read = decode_series(&compact, &mut labels, &NodeScrape::default()).unwrap();
    let series = |held: &NodeScrape| {
        let positions = held.sorted_positions();
        positions
            .into_iter()
            .map(|(key, index)| (key, held.values(index).to_vec()))
            .collect::<Vec<_>>()
    };
    assert_eq!(series(&read), series(&scrape));
}

/// Guards against a text that is cut within a line or a histogram and taken
/// for a whole one with smaller counters.
#[test]
fn parse_text_truncated_is_refused() {
    for end in 1..TEXT.len() {
        let cut = TEXT.get(..end).unwrap();
        let lines = cut.matches('\n').count();
        let within = !cut.ends_with('\n') || (3..5).contains(&lines);
        assert_eq!(parse(cut).is_err(), within, "cut at {end}");
    }
}

/// Guards against faults that are read as some number.
#[test]
fn parse_text_malformed_lines_are_refused() {
    let bucket = |le: &str, value: u64| {
        format!("baobabfall_token_gap_seconds_bucket{{model=\"m\",le=\"{le}\"}} {value}\n")
    };
    let twice = "baobabfall_answers_total{completeness=\"short\"} 1\n".repeat(2);
    let faults = [
        "baobabfall_answers_total{completeness=\"short\"} -1\n".to_owned(),
        "baobabfall_answers_total{completeness=\"short\"} 1.5\n".to_owned(),
        "baobabfall_answers_total{completeness=\"odd\"} 1\n".to_owned(),
        "baobabfall_answers_total{completeness=\"short} 1\n".to_owned(),
        "baobabfall_answers_total{completeness=\"short\"}1\n".to_owned(),
        "baobabfall_fairness_gap_ratio NaN\n".to_owned(),
        "baobabfall_table_revision 1e300\n".to_owned(),
        "9metric 1\n".to_owned(),
        "metric 1 2 3\n".to_owned(),
        format!("metric{{a=\"{}\"}} 1\n", "x".repeat(LINE_LIMIT)),
        twice,
        bucket("1", 5) + &bucket("2", 4) + &bucket("+Inf", 5),
        bucket("2", 1) + &bucket("1", 2) + &bucket("+Inf", 2),
        (0..=BUCKET_LIMIT).map(|le| bucket(&le.to_string(), 1)).collect(),
        bucket("1", 1) + &bucket("+Inf", 1) + "baobabfall_token_gap_seconds_count{model=\"m\"} 2\n",
        "\n".repeat(TEXT_LIMIT + 1),
    ];
    for (index, text) in faults.iter().enumerate() {
        assert!(parse(text).is_err(), "fault {index}");
    }
}

/// Guards against panics on any input, random or damaged.
#[test]
fn parsers_random_bytes_do_not_panic() {
    let mut gen_ = Gen::from_size_and_seed(400, 7);
    let set = ObjectiveSet::parse("[availability]\ntarget=1.0\nperiod=\"9d\"\n", "t".as_ref());
    let mut merge = FleetMerge::new(&set.unwrap(), 10_000_000);
    let mut labels = LabelTable::default();
    let compact = "le f 0.5 1.9;f a m 3 2 1;r a m 9 0 0 1000;";
    let sample = format!("{{\"t\":9000000,\"node\":\"n\",\"inc\":1,\"series\":\"{compact}\"}}");
    for _ in 0..3000 {
        let noise = Vec::<u8>::arbitrary(&mut gen_);
        let lossy = String::from_utf8_lossy(&noise).into_owned();
        let _ = parse(&lossy);
        let _ = decode_series(&lossy, &mut labels, &NodeScrape::default());
        merge.add_line(&noise);
        for whole in [TEXT, compact, sample.as_str()] {
            let mut bytes = whole.as_bytes().to_vec();
            let place = usize::arbitrary(&mut gen_) % bytes.len();
            bytes[place] = u8::arbitrary(&mut gen_);
            merge.add_line(&bytes);
            let damaged = String::from_utf8_lossy(&bytes).into_owned();
            let _ = parse(&damaged);
            let _ = decode_series(&damaged, &mut labels, &NodeScrape::default());
        }
    }
    assert!(merge.intake().refused > 3000);
}

/// Guards against a recording that cannot be read because its last line was cut.
#[test]
fn last_time_skips_a_cut_line() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("s.jsonl");
    let padding = "x".repeat(200_000);
    std::fs::write(&file, format!("{{\"t\":5}}\n{{\"t\":7}}\n{{\"t\":9,\"node\":\"{padding}"))
        .unwrap();
    assert_eq!(last_time(&file).unwrap(), Some(7));
    let mut lines = 0;
    for_each_line(&file, |_| lines += 1).unwrap();
    assert_eq!(lines, 3);
    std::fs::write(&file, "").unwrap();
    assert_eq!(last_time(&file).unwrap(), None);
}

/// Guards against label values and names that routers export and the report
/// does not know: the scrape of a process must be readable.
#[test]
fn parse_text_reads_the_scrape_of_a_process() {
    use baobabfall_node::node_metrics::{AnswerCompleteness, NodeMetrics, OUTCOMES};
    use opentelemetry::KeyValue;
    let metrics = NodeMetrics::new().unwrap();
    let labels = [KeyValue::new("workspace", "team-a"), KeyValue::new("model", "m")];
    for outcome in OUTCOMES {
        let [workspace, model] = labels.clone();
        metrics.requests.add(1, &[workspace, model, KeyValue::new("outcome", outcome)]);
    }
    for completeness in
        [AnswerCompleteness::Whole, AnswerCompleteness::BrokenWithError, AnswerCompleteness::Short]
    {
        let [workspace, model] = labels.clone();
        let label = KeyValue::new("completeness", completeness.label());
        metrics.answers.add(1, &[workspace, model, label]);
    }
    metrics.first_token.record(0.5, &labels);
    metrics.token_gap.record(0.02, &labels[1..]);
    metrics.edit_in_force.record(0.1, &[]);
    metrics.fairness_gap.record(0.3, &[KeyValue::new("pool", "models")]);
    let text = String::from_utf8(metrics.scrape()).unwrap();
    let scrape = parse(&text).unwrap();
    assert_eq!(scrape.len(), 6, "{text}");
}
