//! Merging over nodes: restarts, histograms, threads and text forms.

#![allow(clippy::unwrap_used, reason = "the helpers here belong to tests")]

use baobabfall_burn::burn_rate::{EventTally, PERIOD_INDEX};
use baobabfall_burn::fleet_merge::FleetMerge;
use baobabfall_burn::objective_tally::quantile_bound;
use baobabfall_burn::objectives::ObjectiveSet;
use baobabfall_burn::parallel_merge::merge_files;
use baobabfall_burn::report::{FleetReport, ObjectiveReport};
use baobabfall_burn::sample_generator::{FleetShape, SampleForm, SampleGenerator};
use baobabfall_burn::thinner::SampleThinner;

const NOW: u64 = 1_796_300_000_000;
const EXAMPLE: &str = include_str!("../../../examples/objectives.toml");

fn settings(text: &str) -> ObjectiveSet {
    ObjectiveSet::parse(text, "test".as_ref()).unwrap()
}

/// Merges (minutes ago, node, incarnation, compact series).
fn merged(set: &ObjectiveSet, samples: &[(u64, &str, u64, &str)]) -> FleetMerge {
    let mut merge = FleetMerge::new(set, NOW);
    for (ago, node, inc, series) in samples {
        let t = NOW - ago * 60_000;
        let line =
            format!("{{\"t\":{t},\"node\":\"{node}\",\"inc\":{inc},\"series\":\"{series}\"}}");
        merge.add_line(line.as_bytes());
    }
    assert_eq!(merge.intake().first_refusal, None);
    merge
}

fn availability() -> ObjectiveSet {
    settings("[availability]\ntarget = 0.99\nperiod = \"30d\"\n")
}

fn events(samples: &[(u64, &str, u64, &str)]) -> (u64, u64) {
    let EventTally { good, total } =
        merged(&availability(), samples).tallies()[0].fleet[PERIOD_INDEX];
    (good, total)
}

/// Guards against a sum that falls or loses events when a router restarts,
/// whether the restart shows in the incarnation or only in a fallen counter.
#[test]
fn counters_restart_keeps_the_sum() {
    let old = "r w m 100 5 0 0;";
    let same_incarnation = [(3, "a", 1, old), (2, "a", 1, "r w m 7 1 0 0;")];
    assert_eq!(events(&same_incarnation), (7, 8));
    let new_incarnation = [(3, "a", 1, old), (2, "a", 2, "r w m 150 9 0 0;")];
    assert_eq!(events(&new_incarnation), (150, 159));
    let grown = [(3, "a", 1, old), (2, "a", 1, "r w m 150 9 0 0;")];
    assert_eq!(events(&grown), (50, 54));
}

/// Guards against a first sample whose lifetime total is taken for recent events.
#[test]
fn counters_first_sample_is_a_baseline() {
    assert_eq!(events(&[(1, "a", 1, "r w m 100 5 0 0;")]), (0, 0));
}

/// Guards against a known process start that is ignored: the counters began at
/// zero then, so the events belong to the windows that reach back to it.
#[test]
fn counters_first_sample_counts_from_the_process_start() {
    let sample = |start_minutes: u64| {
        let start = NOW - start_minutes * 60_000;
        let line = format!(
            "{{\"t\":{NOW},\"node\":\"a\",\"inc\":1,\"start_ms\":{start},\"series\":\"r w m 8 2 0 0;\"}}"
        );
        let mut merge = FleetMerge::new(&availability(), NOW);
        merge.add_line(line.as_bytes());
        merge.tallies()[0].fleet.map(|window| window.total)
    };
    assert_eq!(sample(1), [10; 6]);
    assert_eq!(sample(20), [0, 10, 10, 10, 10, 10]);
    assert_eq!(sample(9 * 60), [0, 0, 0, 0, 10, 10]);
    assert_eq!(sample(40 * 1440), [0; 6]);
}

/// Guards against a new workspace whose first events are lost, and one that
/// leaves the bounded label set and is counted twice when it returns.
#[test]
fn counters_series_appears_and_returns() {
    let (one, both) = ("r w m 10 0 0 0;", "r w m 10 0 0 0;r v m 4 1 0 0;");
    assert_eq!(events(&[(4, "a", 1, one), (3, "a", 1, both)]), (4, 5));
    let returns = [(4, "a", 1, both), (3, "a", 1, one), (2, "a", 1, both)];
    assert_eq!(events(&returns), (0, 0));
}

/// Guards against samples that are counted twice when files overlap.
#[test]
fn samples_repeated_or_out_of_order_are_left_out() {
    let (low, high) = ("r w m 10 0 0 0;", "r w m 30 0 0 0;");
    let samples = [(4, "a", 1, low), (3, "a", 1, high), (3, "a", 1, high), (4, "a", 1, low)];
    assert_eq!(events(&samples), (20, 20));
    assert_eq!(merged(&availability(), &samples).intake().out_of_order, 2);
}

/// Guards against averaged percentiles: a small slow router must not weigh as
/// much as a large fast one. Bounds differ, as during an upgrade.
#[test]
fn histograms_merge_by_bucket() {
    let set = settings("[first_token]\nthreshold = \"1s\"\ntarget = 0.95\nperiod = \"30d\"\n");
    let fast = "le f 0.1 1 10;";
    let slow = "le f 0.5 1 20;";
    let samples = [
        (3, "a", 1, format!("{fast}f w m 0 0 0 0;")),
        (3, "b", 1, format!("{slow}f w m 0 0 0 0;")),
        (2, "a", 1, format!("{fast}f w m 900 60 0 0;")),
        (2, "b", 1, format!("{slow}f w m 0 0 40 0;")),
    ];
    let borrowed: Vec<_> = samples.iter().map(|(a, n, i, s)| (*a, *n, *i, s.as_str())).collect();
    let merge = merged(&set, &borrowed);
    let tally = &merge.tallies()[0];
    assert_eq!(tally.fleet[PERIOD_INDEX], EventTally { good: 960, total: 1000 });
    let quantile = |share| quantile_bound(&tally.merged[1], merge.labels(), share);
    assert_eq!(quantile(0.9), Some(0.1));
    assert_eq!(quantile(0.95), Some(1.0));
    assert_eq!(quantile(0.99), Some(20.0));
}

/// Guards against a threshold between two bounds that counts slow events as good.
#[test]
fn histograms_threshold_between_bounds_is_conservative() {
    let set = settings("[first_token]\nthreshold = \"1.9s\"\ntarget = 0.95\nperiod = \"30d\"\n");
    let zero = "le f 1 2.5;f w m 0 0 0;";
    let some = "le f 1 2.5;f w m 7 3 0;";
    let merge = merged(&set, &[(2, "a", 1, zero), (1, "a", 1, some)]);
    assert_eq!(merge.tallies()[0].fleet[0], EventTally { good: 7, total: 10 });
    let none = "le f 2.5;f w m 0 0;";
    let late = "le f 2.5;f w m 7 3;";
    let merge = merged(&set, &[(2, "a", 1, none), (1, "a", 1, late)]);
    assert_eq!(merge.tallies()[0].fleet[0], EventTally::default());
    assert!(merge.tallies()[0].unusable_bounds);
}

/// Guards against threads and sample forms that change the result.
#[test]
fn merge_files_equals_one_thread_and_text() {
    let shape = FleetShape { nodes: 9, workspaces: 20, models: 3, ..FleetShape::target_size() };
    let set = settings(EXAMPLE);
    let folder = tempfile::tempdir().unwrap();
    let mut reports = Vec::new();
    for form in [SampleForm::Series, SampleForm::Text] {
        let mut bytes = Vec::new();
        let mut generator = SampleGenerator::new(shape.clone(), NOW - 9 * 60_000);
        generator.faults.slow = 0.03;
        generator.faults.short = 0.01;
        for ago in (0..9).rev() {
            if ago == 4 {
                generator.restart_node(2, NOW - 4 * 60_000 - 30_000);
            }
            generator.write_round(NOW - ago * 60_000, form, &mut bytes).unwrap();
        }
        let mut single = FleetMerge::new(&set, NOW);
        bytes.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()).for_each(|line| {
            single.add_line(line);
        });
        let file = folder.path().join("samples.jsonl");
        std::fs::write(&file, &bytes).unwrap();
        let threads = merge_files(&set, NOW, &[file]).unwrap();
        reports.push(FleetReport::build(&set, &single).to_json());
        reports.push(FleetReport::build(&set, &threads).to_json());
    }
    assert!(reports[0].contains("\"nodes_seen\":9"), "{}", reports[0]);
    assert!(reports.windows(2).all(|pair| pair[0] == pair[1]), "{reports:#?}");
}

/// Guards against thinned samples that lose events at restarts or coverage,
/// and against samples that thinning keeps without need.
#[test]
fn sample_thinner_keeps_the_report() {
    let set = settings(EXAMPLE);
    let shape = FleetShape { nodes: 2, workspaces: 3, models: 1, ..FleetShape::target_size() };
    let mut generator = SampleGenerator::new(shape, NOW - 20 * 3_600_000);
    generator.faults.refused = 0.001;
    let mut full = Vec::new();
    for ago in (0..=20 * 60).rev() {
        if ago % 130 == 67 {
            generator.restart_node(1, NOW - ago * 60_000 - 30_000);
        }
        generator.write_round(NOW - ago * 60_000, SampleForm::Series, &mut full).unwrap();
    }
    let lines = || full.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    let mut thinner = SampleThinner::new(NOW, 30 * 86_400_000);
    let mut kept: Vec<Vec<u8>> = Vec::new();
    lines().for_each(|line| assert!(thinner.add_line(line, |line| kept.push(line.to_vec()))));
    thinner.finish(|line| kept.push(line.to_vec()));
    let mut merges = [FleetMerge::new(&set, NOW), FleetMerge::new(&set, NOW)];
    lines().for_each(|line| merges[0].add_line(line));
    kept.iter().for_each(|line| merges[1].add_line(line));
    let [whole, thinned] = merges.map(|merge| FleetReport::build(&set, &merge));
    assert!(kept.len() * 6 < lines().count(), "{} of {}", kept.len(), lines().count());
    for (a, b) in whole.objectives.iter().zip(&thinned.objectives) {
        let period = |held: &ObjectiveReport| (held.windows[5].events, held.windows[5].bad);
        let hour = |held: &ObjectiveReport| (held.windows[2].events, held.windows[2].bad);
        // The fairness gap is sampled, so fewer samples are fewer events.
        if a.name != "fairness" {
            assert_eq!((a.state, period(a), hour(a)), (b.state, period(b), hour(b)), "{}", a.name);
        }
        assert!(b.windows[..4].iter().all(|window| window.coverage > 0.97), "{:?}", b.windows);
    }
}
