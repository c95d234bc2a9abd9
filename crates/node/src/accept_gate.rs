//! Accepts connections, and tells which of them the process should serve itself, hand to another
//! process or close unread.

use baobabfall_core::close_pace::{CLOSE_BATCH, close_pause};
use baobabfall_core::connection_intake::{ConnectionIntake, IntakeLoad};
use baobabfall_core::rotation_leave::RotationLeave;
use rustix::net::accept;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Decides which new connections of a listener are served, by the requests in progress
/// and by how late the event loop runs.
#[derive(Debug)]
pub struct AcceptGate {
    permits: Arc<Semaphore>,
    /// Requests in progress, counted by the service.
    in_progress: Arc<AtomicU32>,
    /// Connections accepted and not yet served.
    unserved: Arc<AtomicU32>,
    /// Connections that are being handed over or were handed over, and have not ended.
    diverted: Arc<AtomicU32>,
    /// True while the process serves fewer requests than callers ask for.
    saturated: AtomicBool,
    admitted: AtomicU64,
    closed: AtomicU64,
    /// Connections that were not to be served here: diverted or closed unread.
    sought: AtomicU64,
    intake: Mutex<ConnectionIntake>,
    leave: Mutex<RotationLeave>,
    started: Instant,
}

/// Counts a connection while it exists.
#[derive(Debug)]
struct ConnectionCount(Arc<AtomicU32>);

impl ConnectionCount {
    fn begin(counter: &Arc<AtomicU32>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(counter))
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An admitted connection that is not served yet.
#[derive(Debug)]
pub struct AdmittedConnection {
    stream: TcpStream,
    accepted: Instant,
    gate: Arc<AcceptGate>,
    permit: OwnedSemaphorePermit,
    count: ConnectionCount,
}

/// Place of a connection that was handed over; it is free again once this is dropped.
#[derive(Debug)]
pub struct DivertedPlace {
    _permit: OwnedSemaphorePermit,
    _count: ConnectionCount,
}

impl AcceptGate {
    /// Creates a gate that admits as many open connections as there are `permits`, of a process
    /// whose share of a core carries `carried` requests in progress.
    pub fn new(permits: Arc<Semaphore>, in_progress: Arc<AtomicU32>, carried: u32) -> Arc<Self> {
        // The permits follow from memory and descriptors.
        let places = u32::try_from(permits.available_permits() / 2).unwrap_or(u32::MAX);
        let work_limit = places.min(carried);
        Arc::new(Self {
            permits,
            in_progress,
            unserved: Arc::default(),
            diverted: Arc::default(),
            saturated: AtomicBool::new(false),
            admitted: AtomicU64::new(0),
            closed: AtomicU64::new(0),
            sought: AtomicU64::new(0),
            intake: Mutex::new(ConnectionIntake::new(work_limit)),
            leave: Mutex::default(),
            started: Instant::now(),
        })
    }

    fn intake(&self) -> MutexGuard<'_, ConnectionIntake> {
        self.intake.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// True while the event loop runs late, or did so lately.
    pub fn is_congested(&self) -> bool {
        self.intake().is_congested(self.started.elapsed())
    }

    fn leave(&self) -> MutexGuard<'_, RotationLeave> {
        self.leave.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// True while the load balancer should send new callers to other processes.
    pub fn is_out_of_rotation(&self) -> bool {
        self.leave().is_away(self.started.elapsed())
    }

    /// Connections that were admitted so far.
    pub fn admitted(&self) -> u64 {
        self.admitted.load(Ordering::Relaxed)
    }

    /// Connections that were closed unread so far.
    pub fn closed(&self) -> u64 {
        self.closed.load(Ordering::Relaxed)
    }

    /// Connections so far that another process should have served.
    pub fn sought(&self) -> u64 {
        self.sought.load(Ordering::Relaxed)
    }

    /// True if another process should serve a connection that was admitted. Counts it.
    pub(crate) fn seeks(&self) -> bool {
        let diverts = self.diverts();
        self.sought.fetch_add(diverts.into(), Ordering::Relaxed);
        diverts
    }

    /// Requests of this process that are in progress or about to be read.
    fn own_work(&self) -> u32 {
        let unserved = self.unserved.load(Ordering::Relaxed);
        self.in_progress.load(Ordering::Relaxed).saturating_add(unserved)
    }

    /// Connections that were handed over and have not ended.
    pub fn diverted(&self) -> u32 {
        self.diverted.load(Ordering::Relaxed)
    }

    fn load(&self) -> IntakeLoad {
        IntakeLoad { own: self.own_work(), handed_over: self.diverted() }
    }

    /// True while the process serves fewer requests than callers ask for.
    pub fn is_saturated(&self) -> bool {
        self.saturated.load(Ordering::Relaxed)
    }

    /// True if other processes may soon have to serve connections.
    pub fn nears_limit(&self) -> bool {
        self.intake().nears_limit(self.own_work())
    }

    /// True if another process should serve the next connection.
    pub fn diverts(&self) -> bool {
        self.intake().diverts(self.own_work())
    }

    /// Records that the event loop ran a task `delay` after it was due.
    pub fn observe_delay(&self, delay: Duration) {
        let now = self.started.elapsed();
        let mut intake = self.intake();
        intake.observe_delay(now, delay, self.load());
        self.saturated.store(intake.is_saturated(), Ordering::Relaxed);
    }

    /// Records whether other processes have room for connections.
    pub fn set_takers(&self, has_takers: bool) {
        self.intake().set_takers(has_takers);
    }

    /// Returns a connection that no other process takes if this one serves it, and closes it
    /// otherwise.
    pub(crate) fn keep(&self, connection: AdmittedConnection) -> Option<AdmittedConnection> {
        // The connection itself counts as one of the process.
        let own_work = self.own_work().saturating_sub(1);
        if self.intake().serves(own_work) {
            return Some(connection);
        }
        drop(connection);
        self.count_closed(1);
        None
    }

    fn count_closed(&self, count: u32) {
        self.closed.fetch_add(count.into(), Ordering::Relaxed);
        if self.leave().record_closed(self.started.elapsed()) {
            let in_progress = self.load().total();
            log::warn!(event = "rotation_left", in_progress = in_progress; "new connections are closed unread; the load balancer is asked to use other routers for a time");
        }
    }

    fn try_permit(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.permits).try_acquire_owned().ok()
    }

    /// Accepts connections until one is admitted. The others are closed in batches, with
    /// pauses between them; the rest waits in the backlog.
    pub(crate) async fn accept(
        self: &Arc<Self>,
        listener: &TcpListener,
    ) -> io::Result<AdmittedConnection> {
        // The permit of the next connection is held while waiting for it.
        let mut held = self.try_permit();
        loop {
            let (stream, _) = listener.accept().await?;
            let accepted = Instant::now();
            held = held.or_else(|| self.try_permit());
            if let Some(permit) = held.take_if(|_| self.intake().admits(self.load())) {
                self.admitted.fetch_add(1, Ordering::Relaxed);
                let count = ConnectionCount::begin(&self.unserved);
                let gate = Arc::clone(self);
                return Ok(AdmittedConnection { stream, accepted, gate, permit, count });
            }
            drop(stream);
            let closed = 1 + close_waiting(listener, CLOSE_BATCH - 1);
            self.sought.fetch_add(closed.into(), Ordering::Relaxed);
            self.count_closed(closed);
            tokio::time::sleep(close_pause(accepted.elapsed())).await;
        }
    }
}

/// Closes up to `limit` connections that wait in the backlog, and returns their number.
/// They are not registered with the runtime, which takes twice as many system calls.
fn close_waiting(listener: &TcpListener, limit: u32) -> u32 {
    // An error means that none is waiting, or comes again when the next one is accepted.
    (0..limit).take_while(|_| accept(listener).is_ok()).map(|_| 1).sum()
}

impl AdmittedConnection {
    /// Records that serving begins now, and returns the socket and its permit.
    pub fn begin(self) -> (TcpStream, OwnedSemaphorePermit) {
        self.gate.observe_delay(self.accepted.elapsed());
        (self.stream, self.permit)
    }

    /// Counts the connection as one that another process will serve. Also records how late the
    /// event loop reached it.
    pub fn set_aside(&mut self) {
        self.gate.observe_delay(self.accepted.elapsed());
        self.count = ConnectionCount::begin(&self.gate.diverted);
    }

    /// Counts the connection as one that this process serves after all.
    pub fn take_back(&mut self) {
        self.accepted = Instant::now();
        self.count = ConnectionCount::begin(&self.gate.unserved);
    }

    /// Returns the socket of a connection that another process serves, and its place.
    pub fn into_diverted(self) -> (TcpStream, DivertedPlace) {
        (self.stream, DivertedPlace { _permit: self.permit, _count: self.count })
    }
}
