//! Builders of messages and a simulated fleet of routers for the dispatcher tests.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use baobabfall_core::account_statement::{STATEMENT_LIMIT, StatementStore};
use baobabfall_core::dispatch_messages::*;
use baobabfall_core::dispatch_settings::DispatchSettings;
use baobabfall_core::local_dispatcher::LOCAL_TERM;
use baobabfall_core::slot_dispatcher::SlotDispatcher;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_core::upstream_registry::*;
use baobabfall_core::workspace_table::*;
use quickcheck::{Arbitrary, Gen};
use std::collections::VecDeque;
use std::time::Duration;

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn target(name: &str) -> WorkTarget {
    WorkTarget::new(UpstreamKind::Model, name.to_owned())
}

pub fn row(name: &str, weight: u32, concurrency: u32) -> WorkspaceRow {
    WorkspaceRow {
        name: name.to_owned(),
        key_hashes: vec![],
        weight,
        concurrency,
        requests_per_minute: 10_000_000,
        tokens_per_minute: 1_000_000_000_000,
        queue_length: 1_000_000,
        request_kib: 1024,
        protected: false,
    }
}

pub fn table(rows: &[WorkspaceRow]) -> WorkspaceTable {
    let mut table = WorkspaceTable::default();
    let changes = rows.iter().map(|row| RowChange::Put { row: row.clone() });
    table.apply(&changes.collect::<Vec<_>>());
    table
}

pub fn engine(name: &str, serves: &[&str], concurrency: u32) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        name: name.to_owned(),
        incarnation: 1,
        sequence: 1,
        address: ([127, 0, 0, 1], 9000).into(),
        kind: UpstreamKind::Model,
        serves: serves.iter().map(|name| (*name).to_owned()).collect(),
        zone: "a".to_owned(),
        concurrency,
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

pub fn entry(workspace: &str, queued: u32, cost_hint: CostUnits) -> BacklogEntry {
    BacklogEntry {
        target: target("m"),
        workspace: workspace.to_owned(),
        queued,
        cost_hint,
        prefix: None,
        prompts: Vec::new(),
        avoid: None,
    }
}

pub fn usage(grant: &SlotGrant, charged: CostUnits, end: Option<LeaseEnd>) -> LeaseUsage {
    LeaseUsage {
        lease: grant.lease,
        upstream: grant.upstream.name.clone(),
        incarnation: grant.upstream.incarnation,
        target: grant.target.clone(),
        workspace: grant.workspace.clone(),
        charged,
        first_token_ms: None,
        end,
    }
}

/// A router whose reports the test writes itself. It numbers them and marks the
/// first one as full.
pub struct ManualRouter {
    pub identity: NodeIdentity,
    pub term: u64,
    pub sequence: u64,
    pub received: u64,
    pub full: bool,
}

impl ManualRouter {
    pub fn new(name: &str) -> Self {
        let identity = NodeIdentity { name: name.to_owned(), incarnation: 1 };
        Self { identity, term: 1, sequence: 0, received: 0, full: true }
    }

    pub fn report(&mut self, backlog: Vec<BacklogEntry>, usage: Vec<LeaseUsage>) -> DispatchReport {
        self.sequence += 1;
        DispatchReport {
            router: self.identity.clone(),
            zone: "a".to_owned(),
            term: self.term,
            sequence: self.sequence,
            full: std::mem::take(&mut self.full),
            backlog,
            usage,
            charges: vec![],
            received_grant: self.received,
            wait_ms: 0,
            statements: Vec::new(),
            restrictions: Vec::new(),
            parts: PartReport::default(),
            limits: LimitReport::default(),
            origins: OriginReport::default(),
            load: None,
        }
    }

    /// Takes the dispatcher's answer and returns the grants that were not in an earlier
    /// one.
    pub fn receive(&mut self, now: Duration, dispatcher: &mut SlotDispatcher) -> Vec<SlotGrant> {
        let answer = dispatcher.take_answer(now, &self.identity.name);
        let received = self.received;
        self.received = answer.grants.iter().fold(received, |n, g| n.max(g.lease.number));
        answer.grants.into_iter().filter(|grant| grant.lease.number > received).collect()
    }
}

/// A dispatcher of term 1 that expects no router, and so grants at once, with the
/// given workspaces and upstreams.
pub fn ready(
    settings: DispatchSettings,
    rows: &[WorkspaceRow],
    engines: &[UpstreamAnnouncement],
) -> SlotDispatcher {
    ready_in_term(1, settings, rows, engines)
}

/// Like [`ready`], for any term.
pub fn ready_in_term(
    term: u64,
    settings: DispatchSettings,
    rows: &[WorkspaceRow],
    engines: &[UpstreamAnnouncement],
) -> SlotDispatcher {
    let mut dispatcher = SlotDispatcher::new(Duration::ZERO, term, settings);
    dispatcher.expect_routers([]);
    dispatcher.set_table(Duration::ZERO, &table(rows));
    dispatcher.set_upstreams(Duration::ZERO, engines);
    dispatcher
}

/// Reproducible random numbers from a seed.
pub struct SeededRng(pub Gen);

impl SeededRng {
    pub fn new(seed: u64) -> Self {
        Self(Gen::from_size_and_seed(64, seed))
    }

    pub fn below(&mut self, limit: usize) -> usize {
        usize::arbitrary(&mut self.0) % limit
    }

    /// Heavy-tailed cost: a base between 500 and 1,499 times a power of two up to 128,
    /// where each higher power is half as likely.
    pub fn cost(&mut self) -> CostUnits {
        let doublings = (self.below(128) + 1).ilog2();
        (500 + u64::arbitrary(&mut self.0) % 1000) << (7 - doublings)
    }
}

pub struct SimRequest {
    pub cost: CostUnits,
    pub hint: CostUnits,
}

pub struct SimLease {
    pub grant: SlotGrant,
    pub cost: CostUnits,
    pub progress: CostUnits,
    pub end: Option<LeaseEnd>,
    /// Sequence number of the first report that listed the end; 0 before.
    pub ended_in: u64,
}

impl SimLease {
    /// True for a lease granted in local mode with number `first` or higher.
    pub fn is_local_from(&self, first: u64) -> bool {
        self.grant.lease.term == LOCAL_TERM && self.grant.lease.number >= first
    }
}

/// A simulated router with its own queues that implements the report protocol.
pub struct SimRouter {
    pub identity: NodeIdentity,
    pub sequence: u64,
    pub acknowledged: u64,
    pub received: u64,
    pub term: u64,
    pub full: bool,
    /// Waiting requests by workspace and model, with the sequence number of the report
    /// that lists the last change of the queue.
    pub queues: SortedMap<(String, String), (u64, VecDeque<SimRequest>)>,
    pub leases: Vec<SimLease>,
    pub statements: StatementStore,
}

impl SimRouter {
    pub fn new(name: &str, incarnation: u64) -> Self {
        let identity = NodeIdentity { name: name.to_owned(), incarnation };
        Self {
            identity,
            sequence: 0,
            acknowledged: 0,
            received: 0,
            term: 0,
            full: true,
            queues: SortedMap::new(),
            leases: Vec::new(),
            statements: StatementStore::new(STATEMENT_LIMIT),
        }
    }

    pub fn queue(&mut self, workspace: &str, model: &str) -> &mut (u64, VecDeque<SimRequest>) {
        let key = (workspace.to_owned(), model.to_owned());
        self.queues.get_or_insert_with(key, || (0, VecDeque::new()))
    }

    pub fn arrive(&mut self, workspace: &str, model: &str, request: SimRequest) {
        let next = self.sequence + 1;
        let queue = self.queue(workspace, model);
        queue.0 = next;
        queue.1.push_back(request);
    }

    pub fn running(&self) -> impl Iterator<Item = &SimLease> {
        self.leases.iter().filter(|lease| lease.end.is_none())
    }

    /// Makes a report of the changes since the last acknowledged report, or of the
    /// whole state when a full report is due.
    pub fn report(&mut self) -> DispatchReport {
        self.sequence += 1;
        let (sequence, acknowledged, full) = (self.sequence, self.acknowledged, self.full);
        let queues = self.queues.iter().filter(|(_, queue)| full || queue.0 > acknowledged);
        let backlog = queues.map(|((workspace, model), (_, queue))| BacklogEntry {
            target: target(model),
            ..entry(
                workspace,
                u32::try_from(queue.len()).expect("queues are short"),
                queue.front().map_or(0, |request| request.hint),
            )
        });
        let backlog = backlog.collect();
        for lease in self.leases.iter_mut().filter(|l| l.end.is_some() && l.ended_in == 0) {
            lease.ended_in = sequence;
        }
        let usage = self.leases.iter().map(|lease| usage(&lease.grant, lease.progress, lease.end));
        DispatchReport {
            router: self.identity.clone(),
            zone: "a".to_owned(),
            term: self.term,
            sequence,
            full,
            backlog,
            usage: usage.collect(),
            charges: vec![],
            received_grant: self.received,
            wait_ms: 200,
            statements: match full {
                true => self.statements.iter().cloned().collect(),
                false => Vec::new(),
            },
            restrictions: Vec::new(),
            parts: PartReport::default(),
            limits: LimitReport::default(),
            origins: OriginReport::default(),
            load: None,
        }
    }

    /// Applies an answer of the dispatcher and starts a request for each new grant.
    pub fn apply_answer(&mut self, answer: &DispatchAnswer) {
        if answer.term < self.term {
            return;
        }
        if answer.term > self.term {
            (self.term, self.full, self.received) = (answer.term, true, 0);
        }
        answer.statements.iter().for_each(|statement| self.statements.record(statement));
        self.full |= answer.resync;
        if !answer.resync && answer.acknowledged > self.acknowledged {
            self.acknowledged = answer.acknowledged;
            self.full = false;
            self.leases
                .retain(|l| l.end.is_none() || l.ended_in == 0 || l.ended_in > answer.acknowledged);
        }
        for grant in &answer.grants {
            assert_eq!(grant.lease.term, answer.term);
            if grant.lease.number <= self.received {
                continue;
            }
            self.received = grant.lease.number;
            self.start(grant);
        }
    }

    /// Starts the first waiting request that the grant fits, or ends the lease as unused
    /// when none waits.
    pub fn start(&mut self, grant: &SlotGrant) {
        let next = self.sequence + 1;
        let queue = self.queue(&grant.workspace, &grant.target.name);
        queue.0 = next;
        let request = queue.1.pop_front();
        let end = request.is_none().then_some(LeaseEnd::Unused);
        let cost = request.map_or(0, |request| request.cost);
        self.leases.push(SimLease { grant: grant.clone(), cost, progress: 0, end, ended_in: 0 });
    }
}
