//! A fleet with its simulated upstreams, as experiments need it.

use crate::error::BenchError;
use crate::fleet::{Fleet, FleetPlan, key_of, row_of};
use crate::fleet_files::{SERVICE, zone_of};
use crate::load::{CostMix, DEFAULT_MODEL, SERVICE_TOKENS, WorkspaceLoad};
use baobabfall_core::workspace_table::WorkspaceRow;
use baobabfall_node::node_metrics::start_incarnation;
use baobabfall_standin::model_engine::{self, EngineOptions};
use baobabfall_standin::plain_service::{self, ServiceOptions};
use baobabfall_standin::{UpstreamHandle, UpstreamOptions};
use std::time::Duration;

/// One workspace of a scene.
#[derive(Clone, Copy, Debug)]
pub struct SceneWorkspace {
    /// Share of capacity.
    pub weight: u32,
    /// Requests that may run at once.
    pub concurrency: u32,
    /// Requests that may wait.
    pub queue_length: u32,
    /// Callers that send one call after the other.
    pub callers: usize,
    /// Tokens of its requests.
    pub costs: CostMix,
}

/// What a scene consists of.
#[derive(Clone, Debug)]
pub struct ScenePlan {
    /// Seed of the faults.
    pub seed: u64,
    /// Controllers.
    pub controllers: usize,
    /// Routers.
    pub routers: usize,
    /// Workspaces.
    pub workspaces: Vec<SceneWorkspace>,
    /// Lines of the `[limits]` section of routers.
    pub limits: String,
    /// Model engines.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
    /// Requests that each upstream runs at once.
    pub slots: u32,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Time of a service call.
    pub service_time: Duration,
    /// Keeps a record of each execution.
    pub record_executions: bool,
}

/// A running scene.
#[derive(Debug)]
pub struct Scene {
    /// What it consists of.
    pub plan: ScenePlan,
    /// Controllers and routers.
    pub fleet: Fleet,
    /// Model engines.
    pub engines: Vec<UpstreamHandle>,
    /// Plain services.
    pub services: Vec<UpstreamHandle>,
}

impl SceneWorkspace {
    /// A workspace of weight 1 whose queue has no bound.
    pub const fn new(concurrency: u32, callers: usize, costs: CostMix) -> Self {
        Self { weight: 1, concurrency, queue_length: 1_000_000, callers, costs }
    }
}

impl ScenePlan {
    /// A scene without upstreams, faults or records, with three controllers.
    pub fn new(seed: u64, routers: usize, workspaces: Vec<SceneWorkspace>) -> Self {
        Self {
            seed,
            controllers: 3,
            routers,
            workspaces,
            limits: String::new(),
            engines: 0,
            services: 0,
            slots: 8,
            token_interval: Duration::ZERO,
            service_time: Duration::ZERO,
            record_executions: false,
        }
    }

    /// Load of the workspaces.
    pub fn loads(&self) -> Vec<WorkspaceLoad> {
        let load = |(index, workspace): (usize, &SceneWorkspace)| WorkspaceLoad {
            key: key_of(index),
            callers: workspace.callers,
            costs: workspace.costs,
        };
        self.workspaces.iter().enumerate().map(load).collect()
    }

    fn fleet_plan(&self) -> FleetPlan {
        let row = |(index, workspace): (usize, &SceneWorkspace)| WorkspaceRow {
            queue_length: workspace.queue_length,
            ..row_of(index, workspace.weight, workspace.concurrency)
        };
        FleetPlan {
            controllers: self.controllers,
            routers: self.routers,
            rows: self.workspaces.iter().enumerate().map(row).collect(),
            limits: self.limits.clone(),
        }
    }
}

impl Scene {
    /// Starts everything and waits until every router knows every upstream.
    pub async fn start(plan: ScenePlan) -> Result<Self, BenchError> {
        let fleet = Fleet::start(plan.fleet_plan()).await?;
        let mut scene = Self { plan, fleet, engines: Vec::new(), services: Vec::new() };
        for index in 0..scene.plan.engines {
            scene.engines.push(scene.start_engine(index).await?);
        }
        for index in 0..scene.plan.services {
            scene.services.push(scene.start_service(index).await?);
        }
        scene.wait_ready().await?;
        Ok(scene)
    }

    /// Waits until every router knows every upstream.
    pub async fn wait_ready(&self) -> Result<(), BenchError> {
        self.fleet.wait_ready(self.engines.len() + self.services.len()).await
    }

    /// Starts the engine with this index, under the same name as before and as a new incarnation.
    pub async fn start_engine(&self, index: usize) -> Result<UpstreamHandle, BenchError> {
        Ok(model_engine::start(self.engine_options(index)).await?)
    }

    /// Starts an engine like the one with this index that the fleet does not know, for baselines.
    ///
    /// Work that reaches an announced engine around the fleet would look like overload to it.
    pub async fn start_baseline_engine(&self, index: usize) -> Result<UpstreamHandle, BenchError> {
        let mut options = self.engine_options(index);
        options.upstream.announce = None;
        Ok(model_engine::start(options).await?)
    }

    fn engine_options(&self, index: usize) -> EngineOptions {
        let mut options = EngineOptions::new(&format!("engine-{index}"), DEFAULT_MODEL);
        self.prepare(&mut options.upstream, index);
        options.knee = self.plan.slots;
        options.token_interval = self.plan.token_interval;
        options
    }

    /// Starts the service with this index; every third one ignores fencing tokens.
    pub async fn start_service(&self, index: usize) -> Result<UpstreamHandle, BenchError> {
        let mut options = ServiceOptions::new(&format!("{SERVICE}-{index}"), SERVICE);
        self.prepare(&mut options.upstream, self.plan.engines + index);
        options.service_time = self.plan.service_time;
        options.answer_tokens = SERVICE_TOKENS;
        options.honours_fencing = index % 3 != 2;
        Ok(plain_service::start(options).await?)
    }

    fn prepare(&self, upstream: &mut UpstreamOptions, index: usize) {
        upstream.incarnation = start_incarnation();
        upstream.zone = zone_of(index).to_owned();
        upstream.concurrency = self.plan.slots;
        upstream.queue = self.plan.slots;
        upstream.seed = self.plan.seed.wrapping_add(u64::try_from(index).unwrap_or(0));
        upstream.record_executions = self.plan.record_executions;
        upstream.announce = Some(self.fleet.announce_options(index));
    }

    /// All upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamHandle> {
        self.engines.iter().chain(&self.services)
    }

    /// Ends everything at once.
    pub async fn end(self) -> Result<(), BenchError> {
        self.fleet.end().await
    }
}
