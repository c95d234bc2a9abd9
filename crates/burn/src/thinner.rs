//! Leaves out recorded samples that no window needs any more.
//!
//! Samples older than a window are needed only once per slot of the next
//! longer window. The last sample of an incarnation is always kept, because
//! the events before a restart show in no other sample. Counters that restart
//! without a new incarnation lose the events between the last kept sample and
//! the restart.

use crate::burn_rate::{RULE_WINDOWS, SLOTS_PER_WINDOW};
use crate::error::BurnError;
use crate::options::ThinOptions;
use crate::samples::for_each_line;
use crate::units::millis;
use baobabfall_core::sorted_map::SortedMap;
use serde::Deserialize;
use std::borrow::Cow;
use std::fs::OpenOptions;
use std::io::{BufWriter, Write};
use std::path::PathBuf;

#[derive(Deserialize)]
struct LineHead<'a> {
    t: u64,
    #[serde(borrow)]
    node: Cow<'a, str>,
    inc: u64,
}

/// The newest line of a node, not yet kept or dropped.
struct Pending {
    time: u64,
    incarnation: u64,
    first_in_slot: bool,
    line: Vec<u8>,
}

/// Decides per node which lines to keep.
pub struct SampleThinner {
    now: u64,
    /// (age up to which a slot length applies, slot length) in milliseconds.
    steps: Vec<(u64, u64)>,
    pending: SortedMap<String, Pending>,
}

impl SampleThinner {
    /// Starts thinning for windows that end at or after `now` (unix ms).
    pub fn new(now: u64, period_ms: u64) -> Self {
        let windows = RULE_WINDOWS.iter().copied().map(millis).chain([period_ms]);
        // A window counts the pair of samples across its start when they are
        // at most two slots apart, so the samples before it stay dense.
        let margin = |window: u64| 3 * (window / SLOTS_PER_WINDOW);
        let steps =
            windows.map(|window| (window + margin(window), window / SLOTS_PER_WINDOW)).collect();
        Self { now, steps, pending: SortedMap::new() }
    }

    /// Slot of a time; `None` when the time is older than every window. Slots
    /// begin at fixed times, so that thinning again keeps the same samples.
    fn slot(&self, time: u64) -> Option<(u64, u64)> {
        let age = self.now.saturating_sub(time);
        let (_, length) = self.steps.iter().find(|(window, _)| age < *window)?;
        Some((*length, time / (*length).max(1)))
    }

    /// Takes a line and passes on the node's line before it, if it is kept.
    /// Unreadable lines are dropped; returns false for them.
    pub fn add_line(&mut self, line: &[u8], mut keep: impl FnMut(&[u8])) -> bool {
        let Ok(head) = serde_json::from_slice::<LineHead<'_>>(line) else { return false };
        let slot = self.slot(head.t);
        let before = self.pending.get(head.node.as_ref());
        let first_in_slot =
            slot.is_some() && before.is_none_or(|before| self.slot(before.time) != slot);
        if let Some(before) = before
            && (before.first_in_slot || before.incarnation != head.inc)
        {
            keep(&before.line);
        }
        let next =
            Pending { time: head.t, incarnation: head.inc, first_in_slot, line: line.to_vec() };
        self.pending.insert(head.node.into_owned(), next);
        true
    }

    /// Passes on the newest line of every node, oldest first.
    pub fn finish(self, mut keep: impl FnMut(&[u8])) {
        let mut rest: Vec<Pending> = self.pending.into_iter().map(|(_, pending)| pending).collect();
        rest.sort_by_key(|pending| pending.time);
        rest.iter().for_each(|pending| keep(&pending.line));
    }
}

/// Thins files into one new file.
pub fn thin_files(files: &[PathBuf], options: &ThinOptions, now: u64) -> Result<(), BurnError> {
    let fault =
        |file: &PathBuf, action, reason| BurnError::File { file: file.clone(), action, reason };
    let created = OpenOptions::new().write(true).create_new(true).open(&options.out);
    let created = created.map_err(|reason| fault(&options.out, "written", reason))?;
    let mut out = BufWriter::new(created);
    let mut written = Ok(());
    let mut keep = |line: &[u8]| {
        if written.is_ok() {
            written = out.write_all(line).and_then(|()| out.write_all(b"\n"));
        }
    };
    let mut thinner = SampleThinner::new(now, millis(options.period));
    let mut dropped = 0_u64;
    for file in files {
        for_each_line(file, |line| dropped += u64::from(!thinner.add_line(line, &mut keep)))
            .map_err(|reason| fault(file, "read", reason))?;
    }
    thinner.finish(&mut keep);
    if dropped > 0 {
        eprintln!("{dropped} unreadable lines are left out.");
    }
    written.and_then(|()| out.flush()).map_err(|reason| fault(&options.out, "written", reason))
}
