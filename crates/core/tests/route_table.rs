//! Tests of route tables, of their replacement in the control state, of upstream
//! deregistration and of retry windows.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use baobabfall_core::control_command::{ControlAnswer, ControlCommand};
use baobabfall_core::control_state::{ControlState, DEREGISTERED_LIMIT};
use baobabfall_core::replica_messages::LogEntry;
use baobabfall_core::retry_window::{FleetRetryBudget, RetryWindow};
use baobabfall_core::route_table::*;
use quickcheck::{Arbitrary, Gen};
use std::time::Duration;

fn route(name: &str, host: &str, prefix: &str) -> RouteRow {
    RouteRow {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Once,
        timeout_ms: 1_000,
        objective_ms: 100,
        gap_ms: None,
        priority: 0,
        shares: vec![RouteShare { service: "s".to_owned(), weight: 1 }],
        attempts: 1,
        public: false,
        affinity: false,
    }
}

fn service(name: &str) -> ServiceRow {
    ServiceRow {
        name: name.to_owned(),
        health_path: "/h".to_owned(),
        connections: 1,
        engine: None,
        cold: None,
    }
}

fn workspace(name: &str, keys: &[&str]) -> WorkspaceKeys {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    WorkspaceKeys { name: name.to_owned(), priority: None, keys }
}

fn table(version: u64) -> RouteTable {
    RouteTable {
        version,
        routes: vec![route("r1", "h", "/a/")],
        services: vec![service("s")],
        workspaces: Some(vec![workspace("w1", &["k1", "k2"]), workspace("w2", &["k3"])]),
        limits: CallerLimits::default(),
    }
}

/// Guards against accepting an invalid or inconsistent table. At most two cases may
/// be rejected for the same reason.
#[test]
fn check_faulty_tables_are_refused() {
    assert_eq!(table(1).check(), Ok(()));
    let faulty = |change: fn(&mut RouteTable)| {
        let mut table = table(1);
        change(&mut table);
        table.check().unwrap_err()
    };
    let cases = [
        faulty(|table| table.services.clear()),
        faulty(|table| table.routes.push(route("r2", "h", "/a/"))),
        faulty(|table| table.routes[0].shares[0].weight = 0),
        faulty(|table| table.routes[0].timeout_ms = 0),
        faulty(|table| table.routes[0].attempts = 0),
        faulty(|table| table.routes[0].prefix = "/a".to_owned()),
        faulty(|table| table.workspaces.as_mut().unwrap()[1].keys[0] = "k1".to_owned()),
        faulty(|table| table.services.push(service("s"))),
        faulty(|table| table.workspaces.as_mut().unwrap()[1].name = "w1".to_owned()),
        faulty(|table| table.workspaces.as_mut().unwrap()[1].name = "W 2".to_owned()),
    ];
    for (index, fault) in cases.iter().enumerate() {
        let others = cases
            .iter()
            .filter(|other| std::mem::discriminant(*other) == std::mem::discriminant(fault));
        assert!(others.count() <= 2, "case {index} is rejected for another reason: {fault}");
    }
}

/// Guards against a lookup that does not return the route with the longest prefix
/// of the path. The reference scans all routes of the host.
#[test]
fn find_longest_prefix_agrees_with_naive() {
    let mut generator = Gen::from_size_and_seed(6, 11);
    let segment = |g: &mut Gen| *g.choose(&["a", "b", "ab", "%2F"]).unwrap();
    for _ in 0..2_000 {
        let count = usize::arbitrary(&mut generator) % 6;
        let mut routes: Vec<RouteRow> = Vec::new();
        for index in 0..count {
            let depth = usize::arbitrary(&mut generator) % 3;
            let mut prefix = "/".to_owned();
            for _ in 0..depth {
                prefix.push_str(segment(&mut generator));
                prefix.push('/');
            }
            let host = *generator.choose(&["h", "g"]).unwrap();
            if !routes.iter().any(|route| route.host == host && route.prefix == prefix) {
                routes.push(route(&index.to_string(), host, &prefix));
            }
        }
        let mut path = String::new();
        for _ in 0..usize::arbitrary(&mut generator) % 4 {
            path.push('/');
            path.push_str(segment(&mut generator));
        }
        let naive = routes
            .iter()
            .filter(|route| route.host == "h" && path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
            .cloned();
        let index = RouteIndex::new(RouteTable { routes, ..table(1) });
        assert_eq!(index.find("H", &path), naive.as_ref(), "{path}");
    }
}

/// Guards against services that get requests in other proportions than their
/// weights.
#[test]
fn pick_service_follows_weights() {
    let share = |service: &str, weight| RouteShare { service: service.to_owned(), weight };
    let split = RouteRow {
        shares: vec![share("a", 3), share("b", 0), share("c", 1)],
        ..route("r", "h", "/")
    };
    let draws = (0..4_000_u32).map(|step| split.pick_service(step * (u32::MAX / 4_000)));
    let counted = draws.fold([0; 3], |mut counts, service| {
        counts[usize::from(service.as_bytes()[0] - b'a')] += 1;
        counts
    });
    assert_eq!(counted[1], 0);
    assert!((2_990..=3_010).contains(&counted[0]), "{counted:?}");
}

fn apply(state: &mut ControlState, command: ControlCommand) -> ControlAnswer {
    let index = state.applied_index() + 1;
    state.apply(&LogEntry { index, term: 1, time_ms: 5, command })
}

fn replace(table: RouteTable) -> ControlCommand {
    let document = format!("document {}", table.version).into_bytes();
    ControlCommand::ReplaceRoutes { table: Box::new(table), document }
}

/// Guards against an older document that reverts a newer table when it arrives late
/// or is resent. It must change nothing and return the version in force, also after
/// a snapshot is restored.
#[test]
fn replace_routes_keeps_highest_version() {
    let mut state = ControlState::default();
    assert_eq!(apply(&mut state, replace(table(4))), ControlAnswer::Routes(4));
    let revision = state.history().revision();
    let mut other = table(4);
    other.routes[0].timeout_ms = 7;
    assert_eq!(apply(&mut state, replace(other)), ControlAnswer::Routes(4));
    assert_eq!(apply(&mut state, replace(table(3))), ControlAnswer::Routes(4));
    let mut state = ControlState::from_snapshot(&state.to_snapshot().unwrap()).unwrap();
    assert_eq!(apply(&mut state, replace(table(2))), ControlAnswer::Routes(4));
    let record = state.routes().unwrap();
    assert_eq!((&*record.table, record.document.as_slice()), (&table(4), &b"document 4"[..]));
    assert_eq!(state.history().revision(), revision);
    let mut next = table(9);
    next.workspaces.as_mut().unwrap().remove(0);
    assert_eq!(apply(&mut state, replace(next)), ControlAnswer::Routes(9));
    let names: Vec<&String> = state.history().table().rows().keys().collect();
    assert_eq!(names, [OPEN_WORKSPACE, "w2"]);
}

/// Guards against a deregistration that is undone by one of an older incarnation,
/// and against a list of deregistered upstreams that grows without bound.
#[test]
fn upstream_left_is_kept_and_bounded() {
    let mut state = ControlState::default();
    let deregister = |name: &str, incarnation| ControlCommand::UpstreamLeft {
        unnamed: false,
        name: name.to_owned(),
        incarnation,
    };
    apply(&mut state, deregister("u", 5));
    apply(&mut state, deregister("u", 3));
    assert_eq!(state.deregistered().get("u").unwrap().incarnation, 5);
    for index in 0..2 * DEREGISTERED_LIMIT {
        apply(&mut state, deregister(&format!("u{index}"), 1));
    }
    assert!(state.deregistered().len() <= DEREGISTERED_LIMIT);
    assert!(state.deregistered().contains_key(format!("u{}", 2 * DEREGISTERED_LIMIT - 1).as_str()));
}

/// Guards against routers that together exceed the retry budget of the fleet. In
/// every sliding window the retries must stay within the ratio of its requests plus
/// the slack.
#[test]
fn take_retry_stays_within_every_window() {
    let budget = FleetRetryBudget { ratio: 0.2, slack: 12.0, window: Duration::from_secs(10) };
    let mut generator = Gen::from_size_and_seed(50, 7);
    for _ in 0..20 {
        let mut routers = vec![RetryWindow::default(); 4];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now = Duration::ZERO;
        for _ in 0..3_000 {
            now += Duration::from_millis(u64::arbitrary(&mut generator) % 30);
            let router = usize::arbitrary(&mut generator) % 4;
            if bool::arbitrary(&mut generator) {
                routers[router].record_request(now, &budget);
                requests.push(now);
            } else if routers[router].take_retry(now, &budget, 4) {
                retries.push(now);
            }
        }
        for end in &retries {
            // Requests shortly before the window may count, because they are counted in
            // buckets of 1/20 of its length.
            let within = |at: &&Duration| **at <= *end && **at + budget.window > *end;
            let counted = |at: &&Duration| **at <= *end && **at + budget.window * 22 / 20 > *end;
            let allowed =
                0.2 * f64::from(u32::try_from(requests.iter().filter(counted).count()).unwrap());
            let used = retries.iter().filter(within).count();
            assert!(f64::from(u32::try_from(used).unwrap()) <= allowed + 12.0);
        }
    }
}
