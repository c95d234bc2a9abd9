//! Tests of the load and of the baselines.

use baobabfall_bench::call_route::{AddressRoute, CallRoute, RoutePass};
use baobabfall_bench::central_queue::{CentralQueue, UpstreamSlots, WorkspaceShare};
use baobabfall_bench::load::{
    CostMix, LoadPlan, VerdictCounts, WorkspaceLoad, draw_router, start_closed_loop,
};
use baobabfall_standin::faults::FaultKind;
use baobabfall_standin::model_engine::{EngineOptions, start};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn plan(calls: u64) -> LoadPlan {
    let costs = CostMix { low: 2, high: 50, exponent: 1.2 };
    let load = WorkspaceLoad { key: "k".to_owned(), callers: 4, costs };
    let mut plan = LoadPlan::new("test", 3, vec![load]);
    plan.model = "m".to_owned();
    plan.prompt_bytes = 40;
    plan.calls = Some(calls);
    plan
}

/// Guards against a load that miscounts verdicts or the service that it received.
#[tokio::test]
async fn closed_loop_without_faults_counts_every_answer() {
    let engine = start(EngineOptions::new("engine-1", "m")).await.unwrap();
    let route = AddressRoute::new(vec![engine.address()]);
    let tally = start_closed_loop(&plan(100), &route).finished().await;
    assert_eq!(tally.counts(), VerdictCounts { complete: 100, ..VerdictCounts::default() });
    assert_eq!(engine.counters().finished, 100);
    let expected = 100.0 + f64::from(u32::try_from(tally.tokens()).unwrap());
    assert_eq!(tally.service(), [expected]);
}

/// Guards against faults of an upstream that the load does not see.
#[tokio::test]
async fn closed_loop_with_faults_sees_each() {
    let engine = start(EngineOptions::new("engine-1", "m")).await.unwrap();
    let route = AddressRoute::new(vec![engine.address()]);
    let counts = async |kind| {
        engine.faults().clear();
        engine.faults().set(kind, 1.0);
        start_closed_loop(&plan(5), &route).finished().await.counts()
    };
    assert_eq!(counts(FaultKind::WrongLength).await.short, 5);
    assert_eq!(counts(FaultKind::CloseMidAnswer).await.broken, 5);
    assert_eq!(counts(FaultKind::WrongRequestId).await.wrong, 5);
    assert_eq!(counts(FaultKind::Refuse).await.not_run, 5);
}

/// Guards against a baseline whose order is not fair, which would make the fleet look better.
#[tokio::test]
async fn central_queue_grants_lowest_account_first() {
    let slots = UpstreamSlots { address: "127.0.0.1:1".parse().unwrap(), slots: 1 };
    let share = |weight| WorkspaceShare { weight, concurrency: 4 };
    let queue = CentralQueue::new(vec![slots], &[share(1.0), share(3.0)]);
    let mut held = queue.enter(0, 0).await;
    held.charge(90.0);
    let mut order = tokio::task::JoinSet::new();
    let (sender, mut granted) = tokio::sync::mpsc::unbounded_channel();
    for workspace in [0, 0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 1] {
        let (queue, sender) = (queue.clone(), sender.clone());
        order.spawn(async move {
            let mut pass = queue.enter(workspace, 0).await;
            pass.charge(100.0);
            sender.send(workspace).unwrap();
        });
    }
    drop(sender);
    tokio::task::yield_now().await;
    drop(held);
    let mut seen = Vec::new();
    while let Some(workspace) = granted.recv().await {
        seen.push(workspace);
    }
    let early: usize = seen[..4].iter().filter(|workspace| **workspace == 1).count();
    assert_eq!((seen.len(), early), (12, 3), "{seen:?}");
}

/// Guards against an even spread, which would hide the gap between routers.
#[test]
fn draw_router_is_uneven() {
    let mut random = StdRng::seed_from_u64(5);
    let busy = (0..10_000).filter(|_| draw_router(&mut random, 11) < 3).count();
    assert!((7800..8200).contains(&busy), "{busy}");
}
