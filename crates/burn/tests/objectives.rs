//! The objectives file: the example and errors that name file, line and key.

#![allow(clippy::unwrap_used, reason = "the helpers here belong to tests")]

use baobabfall_burn::error::BurnError;
use baobabfall_burn::node_scrape::MetricFamily;
use baobabfall_burn::objectives::{GoodRule, ObjectiveSet};
use std::time::Duration;

const EXAMPLE: &str = include_str!("../../../examples/objectives.toml");

/// Line, key and message of the error that `text` causes.
fn fault(text: &str) -> (usize, String, String) {
    match ObjectiveSet::parse(text, "fleet.toml".as_ref()) {
        Err(error @ BurnError::Settings { .. }) => {
            let shown = error.to_string();
            assert!(shown.starts_with("fleet.toml, line "), "{shown}");
            let BurnError::Settings { line, key, message, .. } = error else { unreachable!() };
            (line, key, message)
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against an example that differs from the targets of the design page.
#[test]
fn parse_example_has_the_design_targets() {
    let set = ObjectiveSet::parse(EXAMPLE, "example".as_ref()).unwrap();
    let find = |name| set.objectives.iter().find(|held| held.name == name).unwrap();
    let latencies =
        [("first_token", 1.9, 0.95), ("token_gap", 0.026, 0.95), ("edit_in_force", 12.0, 0.99)];
    for (name, seconds, target) in latencies {
        assert_eq!(find(name).rule, GoodRule::WithinSeconds(seconds));
        assert!((find(name).target - target).abs() < 1e-12);
        assert_eq!(find(name).period, Duration::from_secs(30 * 86_400));
    }
    assert_eq!(find("complete").rule, GoodRule::NotBroken([false, false, true]));
    assert!((find("complete").target - 1.0).abs() < 1e-12);
    assert!(find("availability").each_workspace);
    assert_eq!(find("fairness").family, MetricFamily::FairnessGap);
    assert_eq!(set.objectives.len(), 6);
}

/// Guards against errors that do not say where the fault is or what is accepted.
#[test]
fn parse_faults_name_line_key_and_accepted_values() {
    let cases = [
        ("min_coverage = 0.8", "min_cover = 0.8", 6, "report.min_cover", "min_coverage"),
        ("\"60s\"", "\"60\"", 5, "report.sample_interval", "ms, s, min, h, d"),
        ("\"60s\"", "\"1h\"", 5, "report.sample_interval", "1s to 5min"),
        ("\"1.9s\"", "\"-1s\"", 12, "first_token.threshold", "positive number"),
        ("\"1.9s\"", "1.9", 12, "first_token.threshold", "string"),
        ("target = 0.999", "target = 95", 33, "availability.target", "at most 1"),
        ("[\"short\"]", "[\"shrt\"]", 25, "complete.bad", "broken_with_error"),
        ("[\"short\"]", "[]", 25, "complete.bad", "short"),
        ("limit = 1.0", "limit = 0.0", 44, "fairness.limit", "0.01 to 1000"),
        ("min_events = 100", "min_events = -1", 7, "report.min_events", "1 to 1000000"),
        ("[token_gap]", "[tokengap]", 17, "tokengap", "token_gap"),
    ];
    for (from, to, line, key, accepted) in cases {
        assert!(EXAMPLE.contains(from), "{from}");
        let (at, found, message) = fault(&EXAMPLE.replacen(from, to, 1));
        assert_eq!((at, found.as_str()), (line, key), "{message}");
        assert!(message.contains(accepted), "{message}");
    }
    let (line, key, message) = fault("[token_gap]\ntarget = 0.9\nperiod = \"30d\"\n");
    assert_eq!((line, key.as_str()), (1, "token_gap"));
    assert!(message.contains("threshold"), "{message}");
    assert!(fault("[report]\n").2.contains("There is no objective"));
    assert_eq!(fault("[first_token]\nthreshold =\n").0, 2);
    let (line, key, _) = fault("[availability]\ntarget = 0.9\nperiod = \"1h\"\n");
    assert_eq!((line, key.as_str()), (3, "availability.period"));
}
