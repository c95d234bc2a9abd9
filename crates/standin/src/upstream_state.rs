//! State that a simulated upstream shares between its tasks.

use crate::faults::FaultSwitch;
use baobabfall_core::sorted_map::SortedMap;
use serde::Serialize;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Counters of an upstream at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct UpstreamCounters {
    /// Requests that arrived, other than health checks and cancels.
    pub started: u64,
    /// Requests that ran.
    pub executed: u64,
    /// Requests whose whole answer was handed to the connection.
    pub finished: u64,
    /// Requests that ran and were cancelled or disconnected before the end.
    pub cancelled: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Bytes of answer bodies.
    pub bytes: u64,
    /// Requests that arrived while the upstream was leaving.
    pub started_leaving: u64,
}

/// One execution of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ExecutionRecord {
    /// Id of the request.
    pub request_id: String,
    /// Idempotency key, if the request had one.
    pub key: Option<String>,
    /// Path of the request.
    pub path: String,
}

#[derive(Debug, Default)]
struct AtomicCounters {
    started: AtomicU64,
    executed: AtomicU64,
    finished: AtomicU64,
    cancelled: AtomicU64,
    refused: AtomicU64,
    bytes: AtomicU64,
    started_leaving: AtomicU64,
}

/// Shared state of one upstream.
#[derive(Debug)]
pub struct UpstreamState {
    /// Grows with each restart under the same name.
    pub incarnation: u64,
    /// Faults of this upstream.
    pub faults: FaultSwitch,
    slots: Arc<Semaphore>,
    concurrency: u32,
    queue_limit: u32,
    waiting: AtomicU32,
    running: AtomicU32,
    leaving: AtomicBool,
    closed: AtomicBool,
    left_at: Mutex<Option<Instant>>,
    latest_start: Mutex<Option<Duration>>,
    counters: AtomicCounters,
    record_executions: bool,
    executions: Mutex<Vec<ExecutionRecord>>,
    serial: AtomicU64,
    cancels: Mutex<SortedMap<(String, u64), CancellationToken>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl UpstreamState {
    /// State of an idle upstream.
    pub fn new(
        incarnation: u64,
        concurrency: u32,
        queue_limit: u32,
        record_executions: bool,
        seed: u64,
    ) -> Self {
        Self {
            incarnation,
            faults: FaultSwitch::new(seed),
            slots: Arc::new(Semaphore::new(usize::try_from(concurrency).unwrap_or(1))),
            concurrency,
            queue_limit,
            waiting: AtomicU32::new(0),
            running: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            left_at: Mutex::new(None),
            latest_start: Mutex::new(None),
            counters: AtomicCounters::default(),
            record_executions,
            executions: Mutex::new(Vec::new()),
            serial: AtomicU64::new(0),
            cancels: Mutex::new(SortedMap::new()),
        }
    }

    /// Requests that it runs at once.
    pub fn concurrency(&self) -> u32 {
        self.concurrency
    }

    /// Requests that run.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// Requests that run or wait for a slot.
    pub fn in_progress(&self) -> u32 {
        self.running() + self.waiting.load(Ordering::Acquire)
    }

    /// True once it announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Marks the upstream as leaving.
    pub fn leave(&self) {
        if !self.leaving.swap(true, Ordering::AcqRel) {
            *locked(&self.left_at) = Some(Instant::now());
        }
    }

    /// Refuses all further requests as not run.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Time from leaving to the latest request that arrived after it.
    pub fn latest_start_after_leaving(&self) -> Option<Duration> {
        *locked(&self.latest_start)
    }

    /// Counters at this moment.
    pub fn counters(&self) -> UpstreamCounters {
        let counters = &self.counters;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        UpstreamCounters {
            started: read(&counters.started),
            executed: read(&counters.executed),
            finished: read(&counters.finished),
            cancelled: read(&counters.cancelled),
            refused: read(&counters.refused),
            bytes: read(&counters.bytes),
            started_leaving: read(&counters.started_leaving),
        }
    }

    /// Every execution in order, unless recording is off.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        locked(&self.executions).clone()
    }

    /// Counts an arriving request.
    pub fn count_start(&self) {
        self.counters.started.fetch_add(1, Ordering::Relaxed);
        if let Some(left_at) = *locked(&self.left_at) {
            self.counters.started_leaving.fetch_add(1, Ordering::Relaxed);
            *locked(&self.latest_start) = Some(left_at.elapsed());
        }
    }

    /// Counts a refusal.
    pub fn count_refusal(&self) {
        self.counters.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts bytes of an answer body.
    pub fn count_bytes(&self, bytes: usize) {
        self.counters.bytes.fetch_add(u64::try_from(bytes).unwrap_or(0), Ordering::Relaxed);
    }

    /// Waits for a slot; `None` when the queue is full or the upstream is closed.
    pub async fn acquire_slot(self: &Arc<Self>) -> Option<OwnedSemaphorePermit> {
        if self.closed.load(Ordering::Acquire) {
            return None;
        }
        if let Ok(permit) = Arc::clone(&self.slots).try_acquire_owned() {
            return Some(permit);
        }
        let waiting = WaitGuard::enter(self)?;
        let permit = Arc::clone(&self.slots).acquire_owned().await.ok();
        drop(waiting);
        permit
    }

    /// Starts the execution of a request in a slot.
    pub fn begin(
        self: &Arc<Self>,
        permit: OwnedSemaphorePermit,
        request_id: &str,
        key: Option<&str>,
        path: &str,
    ) -> RunGuard {
        self.running.fetch_add(1, Ordering::AcqRel);
        self.counters.executed.fetch_add(1, Ordering::Relaxed);
        if self.record_executions {
            locked(&self.executions).push(ExecutionRecord {
                request_id: request_id.to_owned(),
                key: key.map(str::to_owned),
                path: path.to_owned(),
            });
        }
        let entry = (request_id.to_owned(), self.serial.fetch_add(1, Ordering::Relaxed));
        let cancel = CancellationToken::new();
        locked(&self.cancels).insert(entry.clone(), cancel.clone());
        RunGuard { state: Arc::clone(self), cancel, entry, finished: false, _permit: permit }
    }

    /// Cancels the running executions of a request; true when there was one.
    pub fn cancel(&self, request_id: &str) -> bool {
        let cancels = locked(&self.cancels);
        let from = (request_id.to_owned(), 0);
        let found: Vec<&CancellationToken> = cancels
            .range_from(&from)
            .take_while(|((id, _), _)| id == request_id)
            .map(|(_, cancel)| cancel)
            .collect();
        found.iter().for_each(|cancel| cancel.cancel());
        !found.is_empty()
    }
}

struct WaitGuard<'a>(&'a UpstreamState);

impl<'a> WaitGuard<'a> {
    fn enter(state: &'a UpstreamState) -> Option<Self> {
        let limit = state.queue_limit;
        state
            .waiting
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |held| {
                (held < limit).then_some(held + 1)
            })
            .ok()
            .map(|_| Self(state))
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

/// One execution; counts as cancelled when dropped before it finished.
#[derive(Debug)]
pub struct RunGuard {
    /// State of the upstream.
    pub state: Arc<UpstreamState>,
    /// Set by `POST /cancel/{request_id}`.
    pub cancel: CancellationToken,
    entry: (String, u64),
    finished: bool,
    _permit: OwnedSemaphorePermit,
}

impl RunGuard {
    /// Marks the answer as handed over completely.
    pub fn finish(&mut self) {
        if !self.finished {
            self.finished = true;
            self.state.counters.finished.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        locked(&self.state.cancels).remove(&self.entry);
        self.state.running.fetch_sub(1, Ordering::AcqRel);
        if !self.finished {
            self.state.counters.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}
