//! Runs the consensus core: time, storage, peers and waiting callers.

use crate::peer_links::PeerLinks;
use crate::storage_worker::{StorageDone, StorageJob, StorageQueue};
use baobabfall_core::control_command::{ControlAnswer, ControlCommand};
use baobabfall_core::control_state::ControlState;
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::replica_core::{ReplicaCore, ReplicaRole};
use baobabfall_core::replica_events::{RejectReason, ReplicaEffect, ReplicaEvent};
use baobabfall_core::replica_members::{MemberChange, ReplicaIdentity, ReplicaMembers};
use baobabfall_core::replica_messages::{ReplicaMessage, SnapshotData};
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_node::units::wall_clock_ms;
use rand::Rng;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior};

/// Interval at which the core is told that time passed.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Requests that may wait for the driver.
const REQUEST_LIMIT: usize = 4096;
/// Events that are handled together, so that they share one write.
const BATCH_LIMIT: usize = 256;

/// What the rest of the controller sees of the replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaView {
    /// Role at present.
    pub role: ReplicaRole,
    /// Highest term seen.
    pub term: u64,
    /// Leader, if known.
    pub leader: Option<ReplicaIdentity>,
    /// True while this replica leads and holds its lease.
    pub leads: bool,
    /// Last committed index.
    pub committed: u64,
    /// Membership in force.
    pub members: ReplicaMembers,
    /// Set when storage failed: this process must end.
    pub failed: Option<String>,
}

/// What nodes that sync are woken for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncNews {
    /// Table revision.
    pub revision: u64,
    /// Version of the planned stops.
    pub stops_version: u64,
    /// Version of the route table.
    pub routes_version: u64,
    /// When that route table was applied, unless it was restored at the start.
    pub routes_applied: Option<Instant>,
    /// Version of the upstreams that left.
    pub left_version: u64,
    /// Term, when this replica leads.
    pub leading_term: Option<u64>,
}

/// Why a proposal or read has no result.
#[derive(Clone, Debug)]
pub struct ReplicaRefusal {
    /// Kind for the answer.
    pub kind: ErrorKind,
    /// What to tell the caller.
    pub message: String,
}

impl ReplicaRefusal {
    fn stopped() -> Self {
        let message = "This controller is stopping.".to_owned();
        Self { kind: ErrorKind::Stopping, message }
    }

    fn from_reason(reason: &RejectReason) -> Self {
        let message = match reason {
            RejectReason::NotLeader(Some(leader)) => format!("Controller {} leads.", leader.name),
            RejectReason::NotLeader(None) => "No controller leads at present.".to_owned(),
            RejectReason::NoQuorum => "The controllers have no quorum.".to_owned(),
            RejectReason::LeadershipLost => {
                "The leader changed before the change was committed; send it again with the same id."
                    .to_owned()
            }
            RejectReason::ChangePending => "Another change of membership is pending.".to_owned(),
            RejectReason::InvalidChange => "This change of membership is not possible.".to_owned(),
            RejectReason::Oversized => "The change is larger than a log entry may be.".to_owned(),
            RejectReason::Overloaded => "Too many changes wait for a quorum.".to_owned(),
        };
        Self { kind: reason.kind(), message }
    }
}

type ProposalResult = Result<ControlAnswer, ReplicaRefusal>;

#[derive(Debug)]
enum DriverRequest {
    Message(ReplicaMessage),
    Propose(ControlCommand, oneshot::Sender<ProposalResult>),
    ChangeMembers(MemberChange, oneshot::Sender<ProposalResult>),
    Read(oneshot::Sender<Result<(), ReplicaRefusal>>),
}

/// Access to the replica for all services of a controller.
#[derive(Clone, Debug)]
pub struct ReplicaHandle {
    requests: mpsc::Sender<DriverRequest>,
    view: watch::Receiver<ReplicaView>,
    news: watch::Receiver<SyncNews>,
    state: Arc<Mutex<ControlState>>,
}

impl ReplicaHandle {
    /// The current view.
    pub fn view(&self) -> ReplicaView {
        self.view.borrow().clone()
    }

    /// A receiver that is woken by each change of the view.
    pub fn watch(&self) -> watch::Receiver<ReplicaView> {
        self.view.clone()
    }

    /// A receiver that is woken by news for nodes that sync, which are rarer
    /// than commits.
    pub fn news(&self) -> watch::Receiver<SyncNews> {
        self.news.clone()
    }

    /// The applied state. The lock must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, ControlState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Hands a message of a peer to the core; a full queue drops it.
    pub fn deliver(&self, message: ReplicaMessage) {
        let _ = self.requests.try_send(DriverRequest::Message(message));
    }

    /// Commits a command and returns the answer of the state machine.
    pub async fn propose(&self, command: ControlCommand) -> ProposalResult {
        let (sender, receiver) = oneshot::channel();
        self.request(DriverRequest::Propose(command, sender)).await?;
        receiver.await.unwrap_or_else(|_| Err(ReplicaRefusal::stopped()))
    }

    /// Commits a change of membership.
    pub async fn change_members(&self, change: MemberChange) -> ProposalResult {
        let (sender, receiver) = oneshot::channel();
        self.request(DriverRequest::ChangeMembers(change, sender)).await?;
        receiver.await.unwrap_or_else(|_| Err(ReplicaRefusal::stopped()))
    }

    /// Succeeds once the applied state is known to be current.
    pub async fn confirm_read(&self) -> Result<(), ReplicaRefusal> {
        let (sender, receiver) = oneshot::channel();
        self.request(DriverRequest::Read(sender)).await?;
        receiver.await.unwrap_or_else(|_| Err(ReplicaRefusal::stopped()))
    }

    async fn request(&self, request: DriverRequest) -> Result<(), ReplicaRefusal> {
        self.requests.send(request).await.map_err(|_| ReplicaRefusal::stopped())
    }
}

/// The task that owns the core.
#[derive(Debug)]
pub struct ReplicaDriver<R> {
    core: ReplicaCore<R>,
    start: Instant,
    state: Arc<Mutex<ControlState>>,
    requests: mpsc::Receiver<DriverRequest>,
    storage: StorageQueue,
    done: mpsc::UnboundedReceiver<StorageDone>,
    peers: PeerLinks,
    view: watch::Sender<ReplicaView>,
    news: watch::Sender<SyncNews>,
    proposals: SortedMap<u64, oneshot::Sender<ProposalResult>>,
    reads: SortedMap<u64, oneshot::Sender<Result<(), ReplicaRefusal>>>,
    next_number: u64,
    routes_applied: Option<Instant>,
}

impl<R: Rng + Send + 'static> ReplicaDriver<R> {
    /// Builds the driver and the handle to it.
    pub fn new(
        core: ReplicaCore<R>,
        start: Instant,
        state: ControlState,
        storage: StorageQueue,
        done: mpsc::UnboundedReceiver<StorageDone>,
        peers: PeerLinks,
    ) -> (Self, ReplicaHandle) {
        let (request_sender, requests) = mpsc::channel(REQUEST_LIMIT);
        let state = Arc::new(Mutex::new(state));
        let view = view_of(&core, start.elapsed(), None);
        let (view_sender, view_receiver) = watch::channel(view);
        let (news_sender, news) = watch::channel(SyncNews::default());
        let handle = ReplicaHandle {
            requests: request_sender,
            view: view_receiver,
            news,
            state: Arc::clone(&state),
        };
        let driver = Self {
            core,
            start,
            state,
            requests,
            storage,
            done,
            peers,
            view: view_sender,
            news: news_sender,
            proposals: SortedMap::new(),
            reads: SortedMap::new(),
            next_number: 0,
            routes_applied: None,
        };
        (driver, handle)
    }

    /// Runs until every handle is gone or storage fails.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::new();
        loop {
            let mut events = Vec::new();
            tokio::select! {
                _ = ticks.tick() => events.push(ReplicaEvent::Tick),
                done = self.done.recv() => match done {
                    Some(StorageDone::Synced(sequence)) => {
                        events.push(ReplicaEvent::Synced { sequence });
                    }
                    Some(StorageDone::Failed(message)) => return self.fail(message),
                    None => return,
                },
                count = self.requests.recv_many(&mut batch, BATCH_LIMIT) => {
                    if count == 0 {
                        return;
                    }
                    for request in batch.drain(..) {
                        self.accept(request, &mut events);
                    }
                }
            }
            self.handle(events);
        }
    }

    fn accept(&mut self, request: DriverRequest, events: &mut Vec<ReplicaEvent>) {
        self.next_number += 1;
        let number = self.next_number;
        let time_ms = wall_clock_ms();
        match request {
            DriverRequest::Message(message) => events.push(ReplicaEvent::Message(message)),
            DriverRequest::Propose(command, sender) => {
                self.proposals.insert(number, sender);
                events.push(ReplicaEvent::Propose { proposal: number, command, time_ms });
            }
            DriverRequest::ChangeMembers(change, sender) => {
                self.proposals.insert(number, sender);
                events.push(ReplicaEvent::ChangeMembers { proposal: number, change, time_ms });
            }
            DriverRequest::Read(sender) => {
                self.reads.insert(number, sender);
                events.push(ReplicaEvent::Read { read: number });
            }
        }
    }

    fn handle(&mut self, events: Vec<ReplicaEvent>) {
        let mut effects = self.core.handle(self.start.elapsed(), events);
        while !effects.is_empty() {
            let mut follow_up = Vec::new();
            for effect in effects {
                self.carry_out(effect, &mut follow_up);
            }
            effects = match follow_up.is_empty() {
                true => Vec::new(),
                false => self.core.handle(self.start.elapsed(), follow_up),
            };
        }
        self.publish(None);
    }

    fn carry_out(&mut self, effect: ReplicaEffect, follow_up: &mut Vec<ReplicaEvent>) {
        match effect {
            ReplicaEffect::Persist { sequence, term_vote, entries } => {
                self.storage.push(StorageJob::Persist { sequence, term_vote, entries });
            }
            ReplicaEffect::StoreSnapshot { sequence, snapshot, term_vote, tail, restore } => {
                if restore {
                    self.restore(&snapshot);
                }
                self.storage.push(StorageJob::Snapshot { sequence, snapshot, term_vote, tail });
            }
            ReplicaEffect::Send(message) => self.peers.send(self.core.members(), message),
            ReplicaEffect::Apply { entry, proposal } => {
                let answer = self.locked_state().apply(&entry);
                if matches!(entry.command, ControlCommand::ReplaceRoutes { .. }) {
                    self.routes_applied = Some(Instant::now());
                }
                if let Some(sender) = proposal.and_then(|number| self.proposals.remove(&number)) {
                    let _ = sender.send(Ok(answer));
                }
            }
            ReplicaEffect::RejectProposal { proposal, reason } => {
                if let Some(sender) = self.proposals.remove(&proposal) {
                    let _ = sender.send(Err(ReplicaRefusal::from_reason(&reason)));
                }
            }
            ReplicaEffect::ReadReady { read } => {
                if let Some(sender) = self.reads.remove(&read) {
                    let _ = sender.send(Ok(()));
                }
            }
            ReplicaEffect::RejectRead { read, reason } => {
                if let Some(sender) = self.reads.remove(&read) {
                    let _ = sender.send(Err(ReplicaRefusal::from_reason(&reason)));
                }
            }
            ReplicaEffect::TakeSnapshot(meta) => {
                let bytes = self.locked_state().to_snapshot();
                match bytes {
                    Ok(bytes) => follow_up.push(ReplicaEvent::SnapshotTaken(SnapshotData {
                        meta,
                        bytes: Arc::new(bytes),
                    })),
                    Err(error) => log::error!("snapshot not taken: {error}"),
                }
            }
        }
    }

    fn restore(&mut self, snapshot: &SnapshotData) {
        match ControlState::from_snapshot(&snapshot.bytes) {
            Ok(state) => *self.locked_state() = state,
            Err(error) => log::error!("snapshot of the leader not usable: {error}"),
        }
    }

    fn locked_state(&self) -> MutexGuard<'_, ControlState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn publish(&self, failed: Option<String>) {
        let next = view_of(&self.core, self.start.elapsed(), failed);
        let news = {
            let state = self.locked_state();
            SyncNews {
                revision: state.history().revision(),
                stops_version: state.stops_version(),
                routes_version: state.routes_version(),
                routes_applied: self.routes_applied,
                left_version: state.deregistered_version(),
                leading_term: next.leads.then_some(next.term),
            }
        };
        self.news.send_if_modified(|held| std::mem::replace(held, news) != news);
        self.view.send_if_modified(|held| {
            let changed = *held != next;
            if changed {
                log_change(held, &next);
                *held = next;
            }
            changed
        });
    }

    fn fail(&mut self, message: String) {
        log::error!(event = "storage_failed"; "storage failed; this controller stops: {message}");
        self.publish(Some(message));
    }
}

fn log_change(held: &ReplicaView, next: &ReplicaView) {
    if held.members != next.members {
        let voters = next.members.voters().count();
        log::info!(event = "members_changed", voters = voters, members = next.members.iter().count(); "members of the group changed");
    }
    if held.leads != next.leads || held.term != next.term {
        let leader = next.leader.as_ref().map_or("none", |leader| leader.name.as_str());
        log::info!(event = "leadership_changed", term = next.term, leader = leader, leads = next.leads; "leadership changed");
    }
}

fn view_of<R: Rng>(core: &ReplicaCore<R>, now: Duration, failed: Option<String>) -> ReplicaView {
    ReplicaView {
        role: core.role(),
        term: core.term(),
        leader: core.leader().cloned(),
        leads: failed.is_none() && core.has_lease(now),
        committed: core.commit_index(),
        members: core.members().clone(),
        failed,
    }
}
