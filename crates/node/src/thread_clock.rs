//! Processor time of the calling thread.

use rustix::time::{ClockId, clock_gettime};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Processor time that the calling thread has used since it started.
///
/// ```
/// use baobabfall_node::thread_clock::thread_time;
/// let before = thread_time();
/// assert!(thread_time() >= before);
/// ```
pub fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_nanos(u64::try_from(time.tv_nsec).unwrap_or(0))
}

/// Processor time of a thread, which other threads read.
///
/// ```
/// use baobabfall_node::thread_clock::ThreadTime;
/// use std::time::Duration;
/// let time = ThreadTime::default();
/// assert_eq!(time.read(), Duration::ZERO);
/// time.publish();
/// assert!(time.read() <= baobabfall_node::thread_clock::thread_time());
/// ```
#[derive(Debug, Default)]
pub struct ThreadTime {
    microseconds: AtomicU64,
}

impl ThreadTime {
    /// Stores the processor time of the calling thread.
    pub fn publish(&self) {
        let time = u64::try_from(thread_time().as_micros()).unwrap_or(u64::MAX);
        self.microseconds.store(time, Ordering::Relaxed);
    }

    /// Processor time at the last call of [`Self::publish`], in whole microseconds.
    pub fn read(&self) -> Duration {
        Duration::from_micros(self.microseconds.load(Ordering::Relaxed))
    }
}
