//! Processor time and resident memory of this process, from `/proc`.

use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Time between samples of the resident memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Processor time of all threads whose name is `name`.
///
/// Scheduler statistics count nanoseconds; the ticks of `stat` are too coarse.
pub fn thread_time(name: &str) -> std::io::Result<Duration> {
    let mut total = Duration::ZERO;
    for entry in fs::read_dir("/proc/self/task")? {
        let folder = entry?.path();
        // A thread may end between the listing and the reading.
        let Ok(held) = fs::read_to_string(folder.join("comm")) else { continue };
        if held.trim_end() != name {
            continue;
        }
        let Ok(statistics) = fs::read_to_string(folder.join("schedstat")) else { continue };
        let nanoseconds = statistics.split(' ').next().and_then(|field| field.parse().ok());
        total += Duration::from_nanos(nanoseconds.unwrap_or(0));
    }
    Ok(total)
}

/// Resident memory of this process in bytes.
pub fn resident_bytes() -> std::io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes: Option<u64> =
        line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse().ok());
    kilobytes
        .map(|kilobytes| kilobytes * 1024)
        .ok_or_else(|| std::io::Error::other("VmRSS is missing in /proc/self/status"))
}

/// Samples the resident memory of this process and keeps its peak.
#[derive(Debug)]
pub struct PeakSampler {
    peak: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl PeakSampler {
    /// Starts sampling in a thread of its own.
    pub fn start() -> std::io::Result<Self> {
        let peak = Arc::new(AtomicU64::new(resident_bytes()?));
        let stop = Arc::new(AtomicBool::new(false));
        let (held_peak, held_stop) = (Arc::clone(&peak), Arc::clone(&stop));
        let thread = std::thread::Builder::new().name("memory".to_owned()).spawn(move || {
            while !held_stop.load(Ordering::Acquire) {
                held_peak.fetch_max(resident_bytes().unwrap_or(0), Ordering::AcqRel);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        })?;
        Ok(Self { peak, stop, thread: Some(thread) })
    }

    /// Ends sampling and returns the peak in bytes.
    pub fn finish(mut self) -> u64 {
        self.stop.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.peak.load(Ordering::Acquire)
    }
}
