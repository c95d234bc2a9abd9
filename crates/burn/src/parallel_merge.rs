//! Merges sample files on a few threads, each for its part of the nodes.

use crate::error::BurnError;
use crate::fleet_merge::FleetMerge;
use crate::objectives::ObjectiveSet;
use crate::samples::{for_each_line, line_node};
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Threads that merge; the reader is one more.
pub const MERGE_THREADS: usize = 6;
/// Lines are handed to a thread in batches of about this many bytes.
const BATCH_BYTES: usize = 1 << 20;
/// Batches that wait per thread.
const BATCH_QUEUE: usize = 2;

/// Merges every line of the files for a report at `now` (unix ms).
pub fn merge_files(
    set: &ObjectiveSet,
    now: u64,
    files: &[PathBuf],
) -> Result<FleetMerge, BurnError> {
    std::thread::scope(|scope| {
        let mut lanes = Vec::new();
        let mut workers = Vec::new();
        for _ in 0..MERGE_THREADS {
            let (sender, batches) = sync_channel(BATCH_QUEUE);
            lanes.push(Lane { sender, batch: LineBatch::default() });
            workers.push(scope.spawn(move || merge_batches(set, now, &batches)));
        }
        let read = read_files(files, lanes);
        let mut merged = FleetMerge::new(set, now);
        for worker in workers {
            match worker.join() {
                Ok(part) => merged.absorb(part),
                Err(panic) => std::panic::resume_unwind(panic),
            }
        }
        read.map(|()| merged)
    })
}

/// Lines one after the other, with the end of each.
#[derive(Default)]
struct LineBatch {
    bytes: Vec<u8>,
    ends: Vec<usize>,
}

/// Batch in the making for one thread.
struct Lane {
    sender: SyncSender<LineBatch>,
    batch: LineBatch,
}

impl Lane {
    fn push(&mut self, line: &[u8]) {
        if self.batch.bytes.capacity() == 0 {
            self.batch.bytes.reserve(BATCH_BYTES + BATCH_BYTES / 8);
        }
        self.batch.bytes.extend_from_slice(line);
        self.batch.ends.push(self.batch.bytes.len());
        if self.batch.bytes.len() >= BATCH_BYTES {
            self.flush();
        }
    }

    fn flush(&mut self) {
        // Sending fails only when the thread has panicked, which joining it reports.
        let _ = self.sender.send(std::mem::take(&mut self.batch));
    }
}

/// Reads the files and ends the lanes.
fn read_files(files: &[PathBuf], mut lanes: Vec<Lane>) -> Result<(), BurnError> {
    for file in files {
        let read = for_each_line(file, |line| {
            let lane = lane_of(line, lanes.len());
            if let Some(lane) = lanes.get_mut(lane) {
                lane.push(line);
            }
        });
        read.map_err(|reason| BurnError::File { file: file.clone(), action: "read", reason })?;
    }
    lanes.iter_mut().for_each(Lane::flush);
    Ok(())
}

/// All lines of one node go to the same thread; unreadable ones to the first.
fn lane_of(line: &[u8], lanes: usize) -> usize {
    let node = line_node(line).unwrap_or_default();
    let hash = node
        .bytes()
        .fold(0_usize, |hash, byte| hash.wrapping_mul(31).wrapping_add(usize::from(byte)));
    hash % lanes.max(1)
}

fn merge_batches(set: &ObjectiveSet, now: u64, batches: &Receiver<LineBatch>) -> FleetMerge {
    let mut merge = FleetMerge::new(set, now);
    for batch in batches {
        let mut start = 0;
        for end in batch.ends {
            merge.add_line(batch.bytes.get(start..end).unwrap_or_default());
            start = end;
        }
    }
    merge
}
