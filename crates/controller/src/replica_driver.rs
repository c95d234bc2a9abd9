//! Task that runs the consensus core: it passes timer ticks, peer messages, storage results and
//! callers' requests to the core and carries out the effects that the core returns.

use crate::peer_links::PeerLinks;
use crate::storage_worker::{StorageJob, StorageQueue, StorageResult};
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
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior};

/// Interval of the ticks that drive the timeouts of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity of the request queue, in requests.
const REQUEST_LIMIT: usize = 4096;
/// How long a membership change waits for an earlier one. Enough for a commit on a slow disk, and
/// less than the time after which an operator's call times out.
const MEMBER_CHANGE_WAIT: Duration = Duration::from_secs(2);
/// Most requests handled in one batch. The entries of a batch share one disk write.
const BATCH_LIMIT: usize = 256;

/// State of the replica that the rest of the controller may observe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaView {
    /// Current role in the consensus protocol.
    pub role: ReplicaRole,
    /// Highest term that this replica has seen.
    pub term: u64,
    /// Leader of `term`; `None` while it is unknown.
    pub leader: Option<ReplicaIdentity>,
    /// True while this replica is the leader, its leader lease is valid, and it has applied what
    /// was committed in earlier terms.
    pub leads: bool,
    /// Term that this replica leads, also while its lease has lapsed and nobody else was elected.
    pub led_term: Option<u64>,
    /// True while this replica hears from its group, so that its applied state is recent.
    pub in_contact: bool,
    /// Index of the last committed log entry.
    pub committed: u64,
    /// Current membership of the group.
    pub members: ReplicaMembers,
    /// Error message of a permanent storage failure, after which the process must exit.
    pub failed: Option<String>,
}

/// Versions of the replicated state. A change of any of them wakes the waiting sync requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncVersions {
    /// Revision of the workspace table.
    pub revision: u64,
    /// Version of the list of planned stops.
    pub stops_version: u64,
    /// Version of the route table; 0 before the first one.
    pub routes_version: u64,
    /// When this process applied a route table from the log; `None` if the table in use was only
    /// restored from a snapshot.
    pub routes_applied: Option<Instant>,
    /// Version of the set of deregistered upstreams.
    pub deregistered_version: u64,
    /// Version of the set of evacuated zones.
    pub evacuations_version: u64,
    /// True while the log holds an order about a zone that is not applied.
    pub evacuation_pending: bool,
    /// Term that this replica leads, also while its lease has lapsed.
    pub led_term: Option<u64>,
    /// True while this replica leads and its lease is valid.
    pub leads: bool,
    /// Term of the leader that this replica knows; `None` while it knows none.
    pub leader_term: Option<u64>,
    /// Value of [`ReplicaView::in_contact`].
    pub in_contact: bool,
}

/// Error returned for a proposal, membership change or read that failed.
#[derive(Clone, Debug)]
pub struct ReplicaRefusal {
    /// Error kind, which determines the status and code of the response.
    pub kind: ErrorKind,
    /// Explanation that is sent to the caller.
    pub message: String,
}

impl ReplicaRefusal {
    fn stopped() -> Self {
        let message = "This controller is shutting down.".to_owned();
        Self { kind: ErrorKind::Stopping, message }
    }

    fn from_reason(reason: &RejectReason) -> Self {
        let message = match reason {
            RejectReason::NotLeader(Some(leader)) => format!("The leader is {}.", leader.name),
            RejectReason::NotLeader(None) => "No leader is currently known.".to_owned(),
            RejectReason::NoQuorum => "The leader has no quorum of controllers.".to_owned(),
            RejectReason::LeadershipLost => {
                "The leader changed before the change was committed; retry it with the same id."
                    .to_owned()
            }
            RejectReason::ChangePending => "Another membership change is in progress.".to_owned(),
            RejectReason::InvalidChange => "This membership change is not valid.".to_owned(),
            RejectReason::Oversized => "The change is too large for a log entry.".to_owned(),
            RejectReason::Overloaded => "Too many changes are waiting to be committed.".to_owned(),
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
    PassLead,
    FormGroup { members: ReplicaMembers, stand: bool },
}

/// Cloneable handle through which the services of a controller use the replica.
#[derive(Clone, Debug)]
pub struct ReplicaHandle {
    requests: mpsc::Sender<DriverRequest>,
    view: watch::Receiver<ReplicaView>,
    versions: watch::Receiver<SyncVersions>,
    state: Arc<Mutex<ControlState>>,
    lease: LeaseClock,
}

/// End of the leader lease, which other threads compare with the clock: the published view may be
/// old when the task of the replica is late.
#[derive(Clone, Debug)]
struct LeaseClock {
    start: Instant,
    /// Microseconds since the start; 0 without a lease.
    end_us: Arc<AtomicU64>,
}

impl LeaseClock {
    fn new(start: Instant) -> Self {
        Self { start, end_us: Arc::default() }
    }

    fn set(&self, end: Option<Duration>) {
        let end = end.map_or(0, |end| u64::try_from(end.as_micros()).unwrap_or(u64::MAX));
        self.end_us.store(end, Ordering::Release);
    }

    fn is_valid(&self) -> bool {
        self.start.elapsed() < Duration::from_micros(self.end_us.load(Ordering::Acquire))
    }
}

impl ReplicaHandle {
    /// The latest published state of the replica.
    pub fn view(&self) -> ReplicaView {
        self.view.borrow().clone()
    }

    /// Value of [`ReplicaView::leads`], unless the lease has ended since it was published.
    pub fn leads(&self) -> bool {
        self.view.borrow().leads && self.lease.is_valid()
    }

    /// Term that this replica leads, also while its lease has lapsed.
    pub fn led_term(&self) -> Option<u64> {
        self.view.borrow().led_term
    }

    /// A receiver that is notified of each change of the view.
    pub fn watch_view(&self) -> watch::Receiver<ReplicaView> {
        self.view.clone()
    }

    /// A receiver that is notified when a version changes that syncing nodes wait for. These
    /// changes are rarer than commits.
    pub fn watch_versions(&self) -> watch::Receiver<SyncVersions> {
        self.versions.clone()
    }

    /// Locks the applied state. The lock must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, ControlState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Queues a message from a peer for the core. The message is dropped if the queue is full.
    pub fn deliver(&self, message: ReplicaMessage) {
        let _ = self.requests.try_send(DriverRequest::Message(message));
    }

    /// Commits a command and returns the result of applying it to the state machine.
    pub async fn propose(&self, command: ControlCommand) -> ProposalResult {
        let (sender, receiver) = oneshot::channel();
        self.request(DriverRequest::Propose(command, sender)).await?;
        receiver.await.unwrap_or_else(|_| Err(ReplicaRefusal::stopped()))
    }

    /// Commits a membership change. While another one or the first entry of the leader's term is
    /// not committed yet, waits up to 2 s for that commit.
    pub async fn change_members(&self, change: MemberChange) -> ProposalResult {
        let deadline = Instant::now() + MEMBER_CHANGE_WAIT;
        let mut view = self.watch_view();
        loop {
            view.borrow_and_update();
            let result = self.try_change_members(change.clone()).await;
            let pending = RejectReason::ChangePending.kind();
            if !result.as_ref().is_err_and(|refusal| refusal.kind == pending) {
                return result;
            }
            let Ok(Ok(())) = tokio::time::timeout_at(deadline, view.changed()).await else {
                return result;
            };
        }
    }

    async fn try_change_members(&self, change: MemberChange) -> ProposalResult {
        let (sender, receiver) = oneshot::channel();
        self.request(DriverRequest::ChangeMembers(change, sender)).await?;
        receiver.await.unwrap_or_else(|_| Err(ReplicaRefusal::stopped()))
    }

    /// Returns once this replica is confirmed as leader and its applied state contains every
    /// change that was committed before the call.
    pub async fn confirm_read(&self) -> Result<(), ReplicaRefusal> {
        let (sender, receiver) = oneshot::channel();
        self.request(DriverRequest::Read(sender)).await?;
        receiver.await.unwrap_or_else(|_| Err(ReplicaRefusal::stopped()))
    }

    /// Asks the core to pass the lead to another voter. It may keep the lead, or have lost it.
    pub async fn pass_lead(&self) {
        if self.request(DriverRequest::PassLead).await.is_err() {
            log::debug!("the replica has stopped before it passed the lead on");
        }
    }

    /// Tells the core the first members of a new group. With `stand`, it starts an election.
    pub async fn form_group(&self, members: ReplicaMembers, stand: bool) {
        let request = DriverRequest::FormGroup { members, stand };
        if self.request(request).await.is_err() {
            log::debug!("the replica has stopped before it formed a group");
        }
    }

    async fn request(&self, request: DriverRequest) -> Result<(), ReplicaRefusal> {
        self.requests.send(request).await.map_err(|_| ReplicaRefusal::stopped())
    }
}

/// Owner of the consensus core; [`ReplicaDriver::run`] is its task.
#[derive(Debug)]
pub struct ReplicaDriver<R> {
    core: ReplicaCore<R>,
    start: Instant,
    state: Arc<Mutex<ControlState>>,
    requests: mpsc::Receiver<DriverRequest>,
    storage: StorageQueue,
    storage_results: mpsc::UnboundedReceiver<StorageResult>,
    peers: PeerLinks,
    view: watch::Sender<ReplicaView>,
    versions: watch::Sender<SyncVersions>,
    proposals: SortedMap<u64, oneshot::Sender<ProposalResult>>,
    reads: SortedMap<u64, oneshot::Sender<Result<(), ReplicaRefusal>>>,
    last_request_number: u64,
    routes_applied: Option<Instant>,
    lease: LeaseClock,
}

impl<R: Rng + Send + 'static> ReplicaDriver<R> {
    /// Creates the driver and the first handle to it. The core's clock counts from `start`.
    pub fn new(
        core: ReplicaCore<R>,
        start: Instant,
        state: ControlState,
        storage: StorageQueue,
        storage_results: mpsc::UnboundedReceiver<StorageResult>,
        peers: PeerLinks,
    ) -> (Self, ReplicaHandle) {
        let (request_sender, requests) = mpsc::channel(REQUEST_LIMIT);
        let state = Arc::new(Mutex::new(state));
        let view = view_of(&core, start.elapsed(), None);
        let (view_sender, view_receiver) = watch::channel(view);
        // Set before the first tick: the log may hold orders that were acknowledged before a restart.
        let evacuation_pending = core.has_unapplied_evacuation();
        let (versions_sender, versions) =
            watch::channel(SyncVersions { evacuation_pending, ..SyncVersions::default() });
        let handle = ReplicaHandle {
            requests: request_sender,
            view: view_receiver,
            versions,
            state: Arc::clone(&state),
            lease: LeaseClock::new(start),
        };
        let driver = Self {
            core,
            start,
            state,
            requests,
            storage,
            storage_results,
            peers,
            view: view_sender,
            versions: versions_sender,
            proposals: SortedMap::new(),
            reads: SortedMap::new(),
            last_request_number: 0,
            routes_applied: None,
            lease: handle.lease.clone(),
        };
        (driver, handle)
    }

    /// Runs until every handle is dropped or storage fails.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::new();
        loop {
            let mut events = Vec::new();
            tokio::select! {
                _ = ticks.tick() => events.push(ReplicaEvent::Tick),
                result = self.storage_results.recv() => match result {
                    Some(StorageResult::Synced(sequence)) => {
                        events.push(ReplicaEvent::Synced { sequence });
                    }
                    Some(StorageResult::Failed(message)) => return self.fail(message),
                    None => return,
                },
                count = self.requests.recv_many(&mut batch, BATCH_LIMIT) => {
                    if count == 0 {
                        return;
                    }
                    for request in batch.drain(..) {
                        self.register_request(request, &mut events);
                    }
                }
            }
            self.handle(events);
        }
    }

    fn register_request(&mut self, request: DriverRequest, events: &mut Vec<ReplicaEvent>) {
        self.last_request_number += 1;
        let number = self.last_request_number;
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
            DriverRequest::PassLead => events.push(ReplicaEvent::PassLead),
            DriverRequest::FormGroup { members, stand } => {
                events.push(ReplicaEvent::FormGroup { members, stand });
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
            let mut follow_up_events = Vec::new();
            for effect in effects {
                self.perform(effect, &mut follow_up_events);
            }
            effects = match follow_up_events.is_empty() {
                true => Vec::new(),
                false => self.core.handle(self.start.elapsed(), follow_up_events),
            };
        }
        self.publish(None);
    }

    fn perform(&mut self, effect: ReplicaEffect, follow_up_events: &mut Vec<ReplicaEvent>) {
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
                    Ok(bytes) => follow_up_events.push(ReplicaEvent::SnapshotTaken(SnapshotData {
                        meta,
                        bytes: Arc::new(bytes),
                    })),
                    Err(error) => log::error!("failed to encode a snapshot: {error}"),
                }
            }
        }
    }

    fn restore(&mut self, snapshot: &SnapshotData) {
        match ControlState::from_snapshot(&snapshot.bytes) {
            Ok(state) => *self.locked_state() = state,
            Err(error) => log::error!("failed to restore the leader's snapshot: {error}"),
        }
    }

    fn locked_state(&self) -> MutexGuard<'_, ControlState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn publish(&self, failed: Option<String>) {
        let now = self.start.elapsed();
        let next = view_of(&self.core, now, failed);
        self.lease.set(self.core.lease_end(now));
        let versions = {
            let state = self.locked_state();
            SyncVersions {
                revision: state.history().revision(),
                stops_version: state.stops_version(),
                routes_version: state.routes_version(),
                routes_applied: self.routes_applied,
                deregistered_version: state.deregistered_version(),
                evacuations_version: state.evacuations().version(),
                evacuation_pending: self.core.has_unapplied_evacuation(),
                led_term: next.led_term,
                leads: next.leads,
                leader_term: next.leader.as_ref().map(|_| next.term),
                in_contact: next.in_contact,
            }
        };
        self.versions
            .send_if_modified(|previous| std::mem::replace(previous, versions) != versions);
        self.view.send_if_modified(|previous| {
            let changed = *previous != next;
            if changed {
                log_view_change(previous, &next);
                *previous = next;
            }
            changed
        });
    }

    fn fail(&mut self, message: String) {
        log::error!(event = "storage_failed"; "storage failed, shutting down: {message}");
        self.publish(Some(message));
    }
}

fn log_view_change(previous: &ReplicaView, next: &ReplicaView) {
    if previous.members != next.members {
        let voters = next.members.voters().count();
        log::info!(event = "members_changed", voters = voters, members = next.members.iter().count(); "group membership changed");
    }
    if previous.leads != next.leads || previous.term != next.term {
        let leader = next.leader.as_ref().map_or("none", |leader| leader.name.as_str());
        log::info!(event = "leadership_changed", term = next.term, leader = leader, leads = next.leads; "leadership changed");
    }
}

fn view_of<R: Rng>(core: &ReplicaCore<R>, now: Duration, failed: Option<String>) -> ReplicaView {
    ReplicaView {
        role: core.role(),
        term: core.term(),
        leader: core.leader().cloned(),
        leads: failed.is_none() && core.leads_with_current_state(now),
        led_term: core.led_term().filter(|_| failed.is_none()),
        in_contact: failed.is_none() && core.is_in_contact(now),
        committed: core.commit_index(),
        members: core.members().clone(),
        failed,
    }
}
