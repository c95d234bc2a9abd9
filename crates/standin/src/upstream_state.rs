//! State shared by the tasks of a simulated upstream: slots, counters, execution records and
//! cancellation.

use crate::faults::FaultSwitch;
use baobabfall_core::sorted_map::SortedMap;
use serde::Serialize;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Snapshot of an upstream's counters, cumulative since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct UpstreamCounters {
    /// Requests that arrived, without health checks and cancel requests.
    pub started: u64,
    /// Requests whose execution started.
    pub executed: u64,
    /// Requests whose whole response body was passed to the connection.
    pub finished: u64,
    /// Executions that ended early because of a cancel request, a disconnect or a fault.
    pub cancelled: u64,
    /// Requests that were refused without being run.
    pub refused: u64,
    /// Bytes of response bodies of executed requests.
    pub bytes: u64,
    /// Requests that arrived while the upstream was leaving.
    pub started_leaving: u64,
}

/// One execution of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ExecutionRecord {
    /// Id of the request, from its header or generated.
    pub request_id: String,
    /// Idempotency key, if the request had one.
    pub key: Option<String>,
    /// URL path of the request.
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

/// State of one upstream, shared by its tasks.
#[derive(Debug)]
pub struct UpstreamState {
    /// Incarnation number; increases with each restart under the same name.
    pub incarnation: u64,
    /// Switch that sets the injected faults.
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
    /// Requests per second that the upstream names in its answers.
    rate_limit: Mutex<Option<f64>>,
    /// Arrivals since a rate was named first.
    limited_arrivals: Mutex<Vec<Instant>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl UpstreamState {
    /// Creates the state of an idle upstream; `seed` is the seed of the fault draws.
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
            rate_limit: Mutex::new(None),
            limited_arrivals: Mutex::new(Vec::new()),
        }
    }

    /// Maximum number of requests that run at once.
    pub fn concurrency(&self) -> u32 {
        self.concurrency
    }

    /// Number of requests that are running.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// Number of requests that are running or waiting for a slot.
    pub fn in_progress(&self) -> u32 {
        self.running() + self.waiting.load(Ordering::Acquire)
    }

    /// Whether the upstream is leaving, as its announcements report.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Marks the upstream as leaving; only the first call sets the time of leaving.
    pub fn leave(&self) {
        if !self.leaving.swap(true, Ordering::AcqRel) {
            *locked(&self.left_at) = Some(Instant::now());
        }
    }

    /// Makes [`Self::acquire_slot`] refuse all later requests; waiting requests still run.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Time between leaving and the arrival of the latest request since; `None` if none arrived.
    pub fn latest_start_after_leaving(&self) -> Option<Duration> {
        *locked(&self.latest_start)
    }

    /// Names a rate in all later answers, in requests per second; `None` ends it. Requests
    /// beyond the rate are served all the same.
    pub fn set_rate_limit(&self, per_second: Option<f64>) {
        *locked(&self.rate_limit) = per_second;
    }

    /// The rate that answers name now.
    pub fn rate_limit(&self) -> Option<f64> {
        *locked(&self.rate_limit)
    }

    /// Arrivals of requests while a rate was named.
    pub fn limited_arrivals(&self) -> Vec<Instant> {
        locked(&self.limited_arrivals).clone()
    }

    /// Current values of the counters.
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

    /// All executions in the order in which they started; empty if recording is off.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        locked(&self.executions).clone()
    }

    /// Counts an arriving request and records its time if the upstream is leaving.
    pub fn count_start(&self) {
        self.counters.started.fetch_add(1, Ordering::Relaxed);
        if self.rate_limit().is_some() {
            locked(&self.limited_arrivals).push(Instant::now());
        }
        if let Some(left_at) = *locked(&self.left_at) {
            self.counters.started_leaving.fetch_add(1, Ordering::Relaxed);
            *locked(&self.latest_start) = Some(left_at.elapsed());
        }
    }

    /// Counts a request that is refused without being run.
    pub fn count_refusal(&self) {
        self.counters.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts bytes of a response body.
    pub fn count_bytes(&self, bytes: usize) {
        self.counters.bytes.fetch_add(u64::try_from(bytes).unwrap_or(0), Ordering::Relaxed);
    }

    /// Waits for a free slot; returns `None` if the queue is full or the upstream is closed.
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

    /// Starts the execution of a request; the returned guard keeps the slot until it is dropped.
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
        let cancel_key = (request_id.to_owned(), self.serial.fetch_add(1, Ordering::Relaxed));
        let cancel = CancellationToken::new();
        locked(&self.cancels).insert(cancel_key.clone(), cancel.clone());
        RunGuard { state: Arc::clone(self), cancel, cancel_key, finished: false, _permit: permit }
    }

    /// Cancels all running executions of a request; returns whether there was any.
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
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |count| {
                (count < limit).then_some(count + 1)
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

/// Guard of one execution. Dropping it frees the slot and counts the execution as cancelled
/// unless [`Self::finish`] was called.
#[derive(Debug)]
pub struct RunGuard {
    /// State of the upstream that runs the request.
    pub state: Arc<UpstreamState>,
    /// Token that `POST /cancel/{request_id}` cancels.
    pub cancel: CancellationToken,
    cancel_key: (String, u64),
    finished: bool,
    _permit: OwnedSemaphorePermit,
}

impl RunGuard {
    /// Marks the response as completely passed to the connection; counted once.
    pub fn finish(&mut self) {
        if !self.finished {
            self.finished = true;
            self.state.counters.finished.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        locked(&self.state.cancels).remove(&self.cancel_key);
        self.state.running.fetch_sub(1, Ordering::AcqRel);
        if !self.finished {
            self.state.counters.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}
