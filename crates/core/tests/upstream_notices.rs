//! Tests of the statements of upstreams that restrict their use.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod dispatch_fleet;

use baobabfall_core::dispatch_messages::{DispatchReport, UpstreamRestriction};
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::limit_book::RateStatement;
use baobabfall_core::upstream_notices::*;
use dispatch_fleet::{ManualRouter, engine, entry, ms, ready, row};
use quickcheck::{Arbitrary, Gen};
use std::time::Duration;

const START: Duration = Duration::from_secs(60);
const LEAVING: UpstreamNotice =
    UpstreamNotice { leaving: true, quiet: None, rate: RateStatement::Unlimited };

fn quiet(millis: u64) -> UpstreamNotice {
    UpstreamNotice { quiet: Some(ms(millis)), ..UpstreamNotice::default() }
}

fn restriction(name: &str, leaving: bool, quiet_ms: u32) -> UpstreamRestriction {
    UpstreamRestriction { upstream: name.to_owned(), incarnation: 1, leaving, quiet_ms }
}

/// Guards against a statement that a later answer without one, or a shorter one, takes back, and
/// against one that outlives the incarnation that made it.
#[test]
fn record_keeps_strictest_statement() {
    let mut notices = UpstreamNotices::default();
    assert!(notices.record(START, "e", 5, quiet(400)));
    assert!(!notices.record(START + ms(100), "e", 5, quiet(50)));
    assert!(!notices.record(START + ms(100), "e", 5, UpstreamNotice::default()));
    assert!(!notices.permits(START + ms(399), "e", 5));
    assert!(notices.permits(START + ms(400), "e", 5));
    assert!(notices.record(START + ms(500), "e", 5, LEAVING));
    assert!(!notices.record(START + ms(600), "e", 5, LEAVING));
    assert!(!notices.permits(START + Duration::from_secs(300), "e", 5));
    assert!(notices.permits(START + ms(600), "e", 6), "a restart begins without statements");
    assert!(notices.record(START + ms(700), "e", 6, quiet(100)));
    assert!(!notices.record(START + ms(701), "e", 5, LEAVING), "a late answer of the former one");
    assert_eq!(notices.restrictions(START + ms(701)).count(), 1);
    assert_eq!(notices.restrictions(START + ms(801)).count(), 0);
}

/// Guards against a panic, or an upstream that is out of use for good, because of the text of a
/// delay: whatever it says, the time is bounded.
#[test]
fn read_delay_any_text_is_bounded() {
    let mut random = Gen::from_size_and_seed(24, 11);
    let fixed = ["", "inf", "-inf", "NaN", "-0", "1e308", "18446744073709551616", "0x10", "1.5.2"];
    let drawn: Vec<String> = (0..2_000)
        .map(|round| match round % 2 {
            0 => String::arbitrary(&mut random),
            _ => f64::arbitrary(&mut random).to_string(),
        })
        .collect();
    for text in fixed.into_iter().chain(drawn.iter().map(String::as_str)) {
        let delay = read_delay(text).unwrap_or_default();
        assert!(delay <= QUIET_LIMIT, "{text:?} gave {delay:?}");
        let mut notices = UpstreamNotices::default();
        let notice = UpstreamNotice { quiet: Some(delay), ..UpstreamNotice::default() };
        notices.record(START, "e", 1, notice);
        assert!(notices.permits(START + QUIET_LIMIT, "e", 1));
    }
}

/// Guards against grants of an upstream that wants no requests from the router: each would come
/// back unused, again and again. The other router still gets them.
#[test]
fn dispatch_quiet_upstream_is_granted_to_others() {
    let engines = [engine("e0", &["m"], 4), engine("e1", &["m"], 1)];
    let rows = [row("a", 1, 99), row("b", 1, 99)];
    let mut dispatcher = ready(DispatchSettings::default(), &rows, &engines);
    let (mut first, mut second) = (ManualRouter::new("r"), ManualRouter::new("s"));
    let restrictions = vec![restriction("e0", false, 500)];
    let report =
        DispatchReport { restrictions, ..first.report(vec![entry("a", 3, 0)], Vec::new()) };
    assert!(dispatcher.apply_report(START, &report));
    dispatcher.dispatch(START);
    let grants = first.receive(START, &mut dispatcher);
    let names: Vec<&str> = grants.iter().map(|grant| grant.upstream.name.as_str()).collect();
    assert_eq!(names, ["e1"]);
    dispatcher.apply_report(START, &second.report(vec![entry("b", 2, 0)], Vec::new()));
    dispatcher.dispatch(START);
    assert_eq!(second.receive(START, &mut dispatcher).len(), 2, "another router is not restricted");
    let later = START + ms(500);
    dispatcher.apply_report(later, &first.report(vec![entry("a", 2, 0)], Vec::new()));
    dispatcher.dispatch(later);
    assert_eq!(first.receive(later, &mut dispatcher).len(), 2, "the time is over");
}

/// Guards against each router learning on its own that an upstream is leaving, and against a
/// restriction that its next incarnation inherits.
#[test]
fn dispatch_leaving_upstream_gets_no_grants() {
    let rows = [row("a", 1, 99)];
    let mut dispatcher = ready(DispatchSettings::default(), &rows, &[engine("e0", &["m"], 4)]);
    let (mut first, mut second) = (ManualRouter::new("r"), ManualRouter::new("s"));
    let restrictions = vec![restriction("e0", true, 0)];
    dispatcher.apply_report(
        START,
        &DispatchReport { restrictions, ..first.report(Vec::new(), Vec::new()) },
    );
    dispatcher.apply_report(START, &second.report(vec![entry("a", 2, 0)], Vec::new()));
    dispatcher.dispatch(START);
    assert_eq!(second.receive(START, &mut dispatcher).len(), 0);
    let mut restarted = engine("e0", &["m"], 4);
    restarted.incarnation = 2;
    dispatcher.set_upstreams(START + ms(10), [&restarted]);
    dispatcher.dispatch(START + ms(4_000));
    assert!(!second.receive(START + ms(4_000), &mut dispatcher).is_empty());
}
