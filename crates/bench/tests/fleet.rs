//! Tests of the fleet that experiments run against.

use baobabfall_bench::call_route::AddressRoute;
use baobabfall_bench::control::control_bytes;
use baobabfall_bench::integrity::compare_truth;
use baobabfall_bench::load::{CallMix, CostMix, LoadPlan, start_closed_loop};
use baobabfall_bench::scene::{Scene, ScenePlan, SceneWorkspace};

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
