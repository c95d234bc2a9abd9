//! Missing data is shown as missing and never as good.

#![allow(clippy::unwrap_used, reason = "the helpers here belong to tests")]

use baobabfall_burn::burn_rate::ObjectiveState;
use baobabfall_burn::fleet_merge::FleetMerge;
use baobabfall_burn::objectives::ObjectiveSet;
use baobabfall_burn::report::{FleetReport, FleetVerdict, WindowData};
use baobabfall_burn::sample_generator::{
    FaultShares, FleetShape, SampleForm, SampleGenerator, thinned_times,
};
use baobabfall_burn::text_report::render_text;
use std::time::Duration;

const NOW: u64 = 1_796_300_000_000;
const EXAMPLE: &str = include_str!("../../../examples/objectives.toml");
const PERIOD: Duration = Duration::from_secs(30 * 86_400);

/// Report on four routers, of whose samples `keep(time, line)` passes some.
fn report(settings: &str, faults: FaultShares, keep: impl Fn(u64, &str) -> bool) -> FleetReport {
    let set = ObjectiveSet::parse(settings, "test".as_ref()).unwrap();
    let shape = FleetShape { nodes: 4, workspaces: 5, models: 2, ..FleetShape::target_size() };
    let mut generator = SampleGenerator::new(shape, NOW - 31 * 86_400_000);
    generator.faults = faults;
    let mut merge = FleetMerge::new(&set, NOW);
    for time in thinned_times(NOW, set.sample_interval, PERIOD) {
        let mut bytes = Vec::new();
        generator.write_round(time, SampleForm::Series, &mut bytes).unwrap();
        let text = String::from_utf8(bytes).unwrap();
        for line in text.lines().filter(|line| keep(time, line)) {
            merge.add_line(line.as_bytes());
        }
    }
    FleetReport::build(&set, &merge)
}

fn states(report: &FleetReport) -> Vec<ObjectiveState> {
    report.objectives.iter().map(|objective| objective.state).collect()
}

/// Guards against a report that can say nothing but "no data".
#[test]
fn report_complete_samples_are_ok() {
    let report = report(EXAMPLE, FaultShares::default(), |_, _| true);
    assert_eq!(states(&report), [ObjectiveState::Ok; 6]);
    assert_eq!(report.verdict, FleetVerdict::WithinBudget);
    let coverage = report.objectives.iter().flat_map(|objective| &objective.windows);
    assert!(coverage.into_iter().all(|window| window.coverage > 0.99));
}

/// Guards against "ok" without any sample.
#[test]
fn report_without_samples_has_no_data() {
    let report = report(EXAMPLE, FaultShares::default(), |_, _| false);
    assert_eq!(states(&report), [ObjectiveState::NoData; 6]);
    assert_eq!(report.verdict, FleetVerdict::NoData);
    let windows = report.objectives.iter().flat_map(|objective| &objective.windows);
    assert!(windows.into_iter().all(|w| w.data == WindowData::Missing && w.burn.is_none()));
    assert!(render_text(&report).contains("NO DATA"));
}

/// Guards against "ok" while the newest samples, one of four routers, or
/// routers that never reported are missing.
#[test]
fn report_partial_samples_are_never_ok() {
    let faults = FaultShares::default();
    let stale = report(EXAMPLE, faults, |time, _| NOW - time > 10 * 60_000);
    assert_eq!(states(&stale), [ObjectiveState::NoData; 6]);
    let silent = report(EXAMPLE, faults, |time, line| {
        NOW - time > 7 * 3_600_000 || !line.contains("router-003")
    });
    assert_eq!(states(&silent), [ObjectiveState::NoData; 6]);
    let settings = EXAMPLE.replace("# nodes = 330", "nodes = 6");
    let unseen = report(&settings, faults, |_, _| true);
    assert_eq!(states(&unseen), [ObjectiveState::NoData; 6]);
    let window = &unseen.objectives[0].windows[0];
    assert_eq!(window.data, WindowData::Partial);
    assert!((window.coverage - 4.0 / 6.0).abs() < 0.01, "{}", window.coverage);
}

/// Guards against unreadable samples that count as present.
#[test]
fn report_refused_samples_are_missing() {
    let set = ObjectiveSet::parse(EXAMPLE, "test".as_ref()).unwrap();
    let mut merge = FleetMerge::new(&set, NOW);
    for series in ["r w m 1 2 3;", "r w m 1 2 3 4", "f w m 1;", "x w m 1;"] {
        let line = format!("{{\"t\":{NOW},\"node\":\"a\",\"inc\":1,\"series\":\"{series}\"}}");
        merge.add_line(line.as_bytes());
    }
    assert_eq!((merge.intake().refused, merge.intake().used), (4, 0));
    let report = FleetReport::build(&set, &merge);
    assert_eq!((report.nodes_expected, report.nodes_seen), (1, 0));
    assert_eq!(report.verdict, FleetVerdict::NoData);
    assert!(report.sample_notes()[0].contains("count as missing"));
}

/// Guards against errors that stay unseen because other samples are missing.
#[test]
fn report_partial_samples_still_alert() {
    let faults = FaultShares { slow: 0.9, short: 0.01, ..FaultShares::default() };
    let report = report(EXAMPLE, faults, |time, _| NOW - time <= 2 * 3_600_000);
    let state = |name| report.objectives.iter().find(|held| held.name == name).unwrap().state;
    assert_eq!(state("first_token"), ObjectiveState::Burning);
    assert_eq!(state("complete"), ObjectiveState::Exhausted);
    assert_eq!(state("availability"), ObjectiveState::NoData);
    assert_eq!(report.verdict, FleetVerdict::Burning);
}

/// Guards against a small workspace whose failures drown in the fleet's total.
#[test]
fn report_each_workspace_is_judged() {
    let set = ObjectiveSet::parse(EXAMPLE, "test".as_ref()).unwrap();
    let mut merge = FleetMerge::new(&set, NOW);
    for ago in (0..=360).rev() {
        let (t, done) = (NOW - ago * 60_000, 360 - ago);
        let (large, small) = (done * 1_000_000, done * 10);
        let line = format!(
            "{{\"t\":{t},\"node\":\"a\",\"inc\":1,\"series\":\"r large m {large} 0 0 0;r small m {small} {small} 0 0;\"}}"
        );
        merge.add_line(line.as_bytes());
    }
    let report = FleetReport::build(&set, &merge);
    let availability = report.objectives.iter().find(|o| o.name == "availability").unwrap();
    assert!(availability.state <= ObjectiveState::Burning);
    assert_eq!(report.verdict, FleetVerdict::Burning);
    assert_eq!(availability.worst[0].workspace, "small");
}
