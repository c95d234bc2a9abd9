//! Synthetic workload for measuring the time of single dispatch decisions.
//!
//! This module reads no clock; the benchmark times [`DecisionWorkload::run`].

use crate::dispatch_messages::{
    BacklogEntry, DispatchReport, LeaseEnd, LeaseUsage, LimitReport, NodeIdentity, OriginReport,
    PartReport, UNITS_PER_TOKEN,
};
use crate::dispatch_settings::DispatchSettings;
use crate::slot_dispatcher::SlotDispatcher;
use crate::upstream_registry::{UpstreamAnnouncement, UpstreamKind, WorkTarget};
use crate::workspace_table::{RowChange, WorkspaceRow, WorkspaceTable};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

const UPSTREAM_COUNT: u16 = 18;
const SLOTS_PER_UPSTREAM: u32 = 64;
/// Waiting requests per backlogged workspace.
const QUEUED_PER_WORKSPACE: u32 = 1_000_000;
const MODEL_COUNT: usize = 13;
/// Models that each upstream serves.
const MODELS_PER_UPSTREAM: usize = 3;

/// A dispatcher with free slots and waiting requests in some of its workspaces.
///
/// ```
/// use baobabfall_core::decision_workload::DecisionWorkload;
/// let mut workload = DecisionWorkload::new(850, 85);
/// assert_eq!(workload.run(1_000), 1_000);
/// assert_eq!(workload.release(), 1_000);
/// ```
#[derive(Clone, Debug)]
pub struct DecisionWorkload {
    dispatcher: SlotDispatcher,
    sequence: u64,
}

impl DecisionWorkload {
    /// Creates a dispatcher with `workspaces` workspaces, of which the first
    /// `backlogged` have waiting requests.
    pub fn new(workspaces: usize, backlogged: usize) -> Self {
        let now = Duration::ZERO;
        let mut dispatcher = SlotDispatcher::new(now, 1, DispatchSettings::default());
        dispatcher.expect_routers(["entry-1"]);
        let mut table = WorkspaceTable::default();
        let rows = (0..workspaces).map(|index| RowChange::Put { row: workload_row(index) });
        table.apply(&rows.collect::<Vec<_>>());
        dispatcher.set_table(now, &table);
        let upstreams: Vec<_> = (0..UPSTREAM_COUNT).map(workload_upstream).collect();
        dispatcher.set_upstreams(now, &upstreams);
        let backlog = (0..backlogged).map(|index| BacklogEntry {
            prompts: Vec::new(),
            target: WorkTarget::new(UpstreamKind::Model, model_name(index % MODEL_COUNT)),
            workspace: workspace_name(index),
            queued: QUEUED_PER_WORKSPACE,
            cost_hint: UNITS_PER_TOKEN * 100,
            prefix: None,
            avoid: None,
        });
        let backlog = backlog.collect();
        let mut workload = Self { dispatcher, sequence: 0 };
        workload.report(backlog, Vec::new(), 0);
        workload
    }

    fn report(&mut self, backlog: Vec<BacklogEntry>, usage: Vec<LeaseUsage>, received: u64) {
        self.sequence += 1;
        let report = DispatchReport {
            router: NodeIdentity { name: "entry-1".to_owned(), incarnation: 1 },
            zone: "a".to_owned(),
            term: self.dispatcher.term(),
            sequence: self.sequence,
            full: self.sequence == 1,
            backlog,
            usage,
            charges: vec![],
            received_grant: received,
            wait_ms: 0,
            statements: Vec::new(),
            restrictions: Vec::new(),
            parts: PartReport::default(),
            limits: LimitReport::default(),
            origins: OriginReport::default(),
            load: None,
        };
        self.dispatcher.apply_report(Duration::ZERO, &report);
        self.dispatcher.finish_recovery(Duration::ZERO);
    }

    /// Makes up to `decisions` grants one by one and returns the number made. 1,152
    /// slots are free after creation and after each release.
    pub fn run(&mut self, decisions: usize) -> usize {
        (0..decisions).take_while(|_| self.dispatcher.dispatch_one(Duration::ZERO)).count()
    }

    /// Ends every running request and returns the number of requests ended.
    pub fn release(&mut self) -> usize {
        let mut ended = 0;
        loop {
            let grants = self.dispatcher.take_answer(Duration::ZERO, "entry-1").grants;
            let Some(last) = grants.last() else { return ended };
            let received = last.lease.number;
            let usage = grants.into_iter().map(|grant| LeaseUsage {
                lease: grant.lease,
                upstream: grant.upstream.name,
                incarnation: grant.upstream.incarnation,
                target: grant.target,
                workspace: grant.workspace,
                charged: UNITS_PER_TOKEN * 100,
                first_token_ms: None,
                end: Some(LeaseEnd::Finished),
            });
            let usage: Vec<LeaseUsage> = usage.collect();
            ended += usage.len();
            self.report(Vec::new(), usage, received);
        }
    }
}

fn workspace_name(index: usize) -> String {
    format!("workspace-{index:05}")
}

fn model_name(index: usize) -> String {
    format!("model-{index}")
}

fn workload_row(index: usize) -> WorkspaceRow {
    WorkspaceRow {
        name: workspace_name(index),
        key_hashes: Vec::new(),
        weight: 1 + u32::try_from(index % 7).unwrap_or_default(),
        concurrency: 100_000,
        requests_per_minute: 10_000_000,
        tokens_per_minute: 1_000_000_000_000,
        queue_length: 1_000_000,
        request_kib: 1024,
        protected: false,
    }
}

fn workload_upstream(index: u16) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        name: format!("engine-{index}"),
        incarnation: 1,
        sequence: 1,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + index)),
        kind: UpstreamKind::Model,
        serves: (0..MODELS_PER_UPSTREAM)
            .map(|n| model_name((usize::from(index) + n) % MODEL_COUNT))
            .collect(),
        zone: format!("zone-{}", index % 3),
        concurrency: SLOTS_PER_UPSTREAM,
        pool: None,
        honours_fencing: false,
        resume: false,
        cancel: false,
        leaving: false,
        running: None,
        software: None,
        cold_ms: None,
    }
}
