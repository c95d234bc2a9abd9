//! Tests of the fleet that experiments run against.

use baobabfall_bench::call_route::AddressRoute;
use baobabfall_bench::control::control_bytes;
use baobabfall_bench::integrity::compare_truth;
use baobabfall_bench::load::{CallMix, CostMix, LoadPlan, start_closed_loop, to_float};
use baobabfall_bench::scene::{Scene, ScenePlan, SceneWorkspace};
use std::time::Duration;

/// Guards against a bench that measures something else than calls through real roles.
#[tokio::test]
async fn scene_calls_pass_through_router_and_dispatcher() {
    let workspace = SceneWorkspace::new(8, 4, CostMix { low: 2, high: 20, exponent: 1.2 });
    let plan = ScenePlan {
        controllers: 1,
        engines: 2,
        services: 1,
        record_executions: true,
        ..ScenePlan::new(7, 2, vec![workspace; 2])
    };
    let scene = Scene::start(plan).await.unwrap();
    let mut load = LoadPlan::new("test", 7, scene.plan.loads());
    load.mix = CallMix::All;
    load.routers = 2;
    load.calls = Some(200);
    let route = AddressRoute::new(scene.fleet.caller_addresses());
    let tally = start_closed_loop(&load, &route).finished().await;
    assert_eq!(tally.counts().complete, 200, "{:?}", tally.counts());
    let records: Vec<_> =
        scene.upstreams().flat_map(|upstream| upstream.execution_records()).collect();
    assert_eq!(records.len(), 200);
    let truth = compare_truth(records, &tally.not_run_ids());
    assert_eq!((truth.calls_run_twice, truth.actions_run_twice, truth.false_not_run), (0, 0, 0));
    for router in scene.fleet.routers() {
        assert!(control_bytes(&router.state().metrics.scrape()) > 0.0);
    }
    scene.end().await.unwrap();
}

const RATE: f64 = 5.0;
/// Time over which the requests of a limited upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Guards against an upstream in need that gets more requests than it named from callers at several
/// routers, and against one that is left out for good although it is well again.
#[tokio::test]
async fn scene_limited_upstreams_get_their_rate() {
    let workspace = SceneWorkspace::new(16, 8, CostMix { low: 2, high: 20, exponent: 1.2 });
    let plan = ScenePlan {
        controllers: 1,
        engines: 2,
        services: 2,
        token_interval: Duration::from_millis(2),
        service_time: Duration::from_millis(20),
        ..ScenePlan::new(32, 3, vec![workspace; 2])
    };
    let scene = Scene::start(plan).await.unwrap();
    let limited = [&scene.engines[0], &scene.services[0]];
    limited.iter().for_each(|upstream| upstream.state().set_rate_limit(Some(RATE)));
    let mut load = LoadPlan::new("test", 32, scene.plan.loads());
    load.mix = CallMix::All;
    load.routers = 3;
    let running = start_closed_loop(&load, &AddressRoute::new(scene.fleet.caller_addresses()));
    // The first answers name the rate; requests that are under way until then do not count.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let known = limited.map(|upstream| upstream.state().limited_arrivals().len());
    tokio::time::sleep(WINDOW).await;
    for (upstream, known) in limited.iter().zip(known) {
        let arrivals = upstream.state().limited_arrivals().len() - known;
        let allowed = 1.5 * RATE * WINDOW.as_secs_f64() + 5.0;
        assert!(to_float(u64::try_from(arrivals).unwrap()) <= allowed, "{arrivals} arrivals");
        assert!(arrivals >= 10, "the rate is used: {arrivals}");
        upstream.state().set_rate_limit(None);
    }
    let before = limited.map(|upstream| upstream.counters().started);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for (upstream, before) in limited.iter().zip(before) {
        let started = upstream.counters().started - before;
        assert!(started > 30, "{started} requests after the end of the rate");
    }
    let tally = running.stop(Duration::from_secs(5)).await;
    assert_eq!(tally.counts().total(), tally.counts().complete, "{:?}", tally.counts());
    scene.end().await.unwrap();
}
