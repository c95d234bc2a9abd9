//! Tests of the checks of the integrity experiment.

use baobabfall_bench::integrity::{TruthCounts, compare_truth};
use baobabfall_standin::upstream_state::ExecutionRecord;

fn record(id: &str, path: &str, key: Option<&str>) -> ExecutionRecord {
    let (request_id, path) = (id.to_owned(), path.to_owned());
    ExecutionRecord { request_id, key: key.map(str::to_owned), path }
}

/// Guards against a check that passes whatever the upstreams ran.
#[test]
fn compare_truth_finds_each_fault() {
    let records = vec![
        record("a", "/notes", None),
        record("b", "/notes", None),
        record("b", "/notes", None),
        record("c", "/payouts", Some("k1")),
        record("d", "/payouts", Some("k1")),
        record("e", "/payouts", Some("k2")),
        record("f", "/status/7", None),
        record("f", "/status/7", None),
    ];
    let told = ["a".to_owned(), "never-sent".to_owned()];
    let expected =
        TruthCounts { false_not_run: 1, calls_run_twice: 1, actions_run_twice: 1, actions_run: 2 };
    assert_eq!(compare_truth(records, &told), expected);
}
