//! What a router knows about requests and the parts of their prompts: which were answered
//! lately, which the dispatcher asks about, and which are in quarantine.

use crate::crash_tracker::{CRASH_RETENTION, QUARANTINE_TIME, SOUND_RETENTION};
use crate::dispatch_messages::{CrashCasualty, PartId, PartList, PartQuarantine, PartReport};
use crate::sorted_map::SortedMap;
use std::time::Duration;

/// Most parts that are remembered as answered; older ones are dropped.
const SOUND_LIMIT: usize = 4096;
/// Most dropped requests that are remembered.
const CASUALTY_LIMIT: usize = 64;
/// Most parts of one dropped request that are reported.
const CASUALTY_PART_LIMIT: usize = 16;

/// What a crash of its upstream may be blamed on: the request as a whole, or one of the
/// shareable parts of its prompt.
#[derive(Clone, Copy, Debug)]
pub struct RequestSuspects<'a> {
    /// Hash of the content of the request.
    pub request: PartId,
    /// Shareable parts of its prompt.
    pub parts: &'a [PartId],
}

impl RequestSuspects<'_> {
    fn ids(&self) -> impl Iterator<Item = &PartId> {
        std::iter::once(&self.request).chain(self.parts)
    }
}

/// Requests and parts of prompts at one router. Each change is reported from the report with the
/// sequence number `sequence` on, until it is acknowledged.
///
/// ```
/// use baobabfall_core::dispatch_messages::{PartList, PartQuarantine};
/// use baobabfall_core::part_book::{PartBook, RequestSuspects};
/// use std::time::Duration;
/// let mut book = PartBook::default();
/// let now = Duration::from_secs(1);
/// let quarantined = vec![PartQuarantine { part: 7, left_ms: 2_000 }];
/// book.apply_list(now, &PartList { version: 1, watched: vec![], quarantined }, 1);
/// let request = RequestSuspects { request: 9, parts: &[3, 7] };
/// assert_eq!(book.quarantine_left(now, request), Some(Duration::from_secs(2)));
/// assert_eq!(book.quarantine_left(now, RequestSuspects { parts: &[3], ..request }), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PartBook {
    /// Time at which a request with the part last began to be answered.
    answered: SortedMap<PartId, Duration>,
    watched: Vec<PartId>,
    /// End of each quarantine.
    quarantined: SortedMap<PartId, Duration>,
    version: u64,
    /// Watched or quarantined parts that were answered, with their report.
    sound: SortedMap<PartId, u64>,
    /// Requests dropped within [`CRASH_RETENTION`], oldest first.
    casualties: Vec<CasualtyRecord>,
}

#[derive(Clone, Debug)]
struct CasualtyRecord {
    casualty: CrashCasualty,
    at: Duration,
    /// Sequence number of the first report with the casualty; `None` once it is
    /// acknowledged. It is still kept for the next dispatcher.
    sequence: Option<u64>,
}

impl PartBook {
    /// Records that an upstream began to answer a request. Returns true when the dispatcher
    /// should learn of it.
    pub fn record_answer(
        &mut self,
        now: Duration,
        answered: RequestSuspects<'_>,
        sequence: u64,
    ) -> bool {
        if self.answered.len() + 1 + answered.parts.len() > SOUND_LIMIT {
            let mut times: Vec<Duration> = self.answered.values().copied().collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.answered.retain(|_, at| *at > median);
        }
        let mut changed = false;
        for part in answered.ids() {
            self.answered.insert(*part, now);
            changed |= self.report_sound(*part, sequence);
        }
        changed
    }

    /// Records a request that an upstream dropped before its first token.
    pub fn record_casualty(&mut self, now: Duration, casualty: CrashCasualty, sequence: u64) {
        self.casualties.retain(|record| now < record.at + CRASH_RETENTION);
        if self.casualties.len() >= CASUALTY_LIMIT {
            let reported = self.casualties.iter().position(|record| record.sequence.is_none());
            let Some(reported) = reported else { return };
            self.casualties.remove(reported);
        }
        let mut casualty = casualty;
        casualty.parts.truncate(CASUALTY_PART_LIMIT);
        self.casualties.push(CasualtyRecord { casualty, at: now, sequence: Some(sequence) });
    }

    /// Applies the dispatcher's list and returns the parts that are newly in quarantine.
    pub fn apply_list(&mut self, now: Duration, list: &PartList, sequence: u64) -> Vec<PartId> {
        let left = |quarantine: &PartQuarantine| {
            Duration::from_millis(quarantine.left_ms.into()).min(QUARANTINE_TIME)
        };
        let known = std::mem::take(&mut self.quarantined);
        for quarantine in &list.quarantined {
            self.quarantined.insert(quarantine.part, now + left(quarantine));
        }
        self.watched = list.watched.clone();
        self.watched.sort_unstable();
        self.version = list.version;
        let listed = self.watched.iter().chain(self.quarantined.keys());
        let is_recent =
            |part: &&PartId| self.answered.get(*part).is_some_and(|at| now < *at + SOUND_RETENTION);
        let answered: Vec<PartId> = listed.filter(is_recent).copied().collect();
        for part in answered {
            self.report_sound(part, sequence);
        }
        let added = self.quarantined.keys().filter(|part| !known.contains_key(*part));
        added.copied().collect()
    }

    /// Time until a request may run again if it or a part of it is in quarantine.
    pub fn quarantine_left(&self, now: Duration, request: RequestSuspects<'_>) -> Option<Duration> {
        if self.quarantined.is_empty() {
            return None;
        }
        let ends = request.ids().filter_map(|part| self.quarantined.get(part));
        ends.max().filter(|until| **until > now).map(|until| *until - now)
    }

    /// Forgets which list the dispatcher has sent, for a new dispatcher.
    pub fn forget_version(&mut self) {
        self.version = 0;
    }

    /// What a report contains: everything that is not acknowledged, and in a full report
    /// also the latest dropped requests and the quarantined parts, for a new dispatcher.
    pub fn report(&self, now: Duration, full: bool, since: u64) -> PartReport {
        let is_new = |sequence: &u64| full || *sequence > since;
        let sound = self.sound.iter().filter(|(_, sequence)| is_new(sequence));
        let casualties = self.casualties.iter().filter(|record| match full {
            true => now < record.at + CRASH_RETENTION,
            false => record.sequence.is_some_and(|sequence| sequence > since),
        });
        let quarantined = self.quarantined.iter().filter(|(_, until)| full && **until > now);
        PartReport {
            version: self.version,
            casualties: casualties.map(|record| record.casualty.clone()).collect(),
            sound: sound.map(|(part, _)| *part).collect(),
            quarantined: quarantined
                .map(|(part, until)| PartQuarantine {
                    part: *part,
                    left_ms: u32::try_from((*until - now).as_millis()).unwrap_or(u32::MAX),
                })
                .collect(),
        }
    }

    /// Drops what the dispatcher has acknowledged.
    pub fn acknowledge(&mut self, since: u64) {
        for record in &mut self.casualties {
            record.sequence = record.sequence.filter(|sequence| *sequence > since);
        }
        self.sound.retain(|_, sequence| *sequence > since);
    }

    /// True when there is something that the dispatcher has not acknowledged.
    pub fn is_changed(&self, since: u64) -> bool {
        let is_new = |record: &CasualtyRecord| record.sequence.is_some_and(|first| first > since);
        self.casualties.iter().any(is_new) || self.sound.values().any(|sequence| *sequence > since)
    }

    fn report_sound(&mut self, part: PartId, sequence: u64) -> bool {
        let is_listed =
            self.watched.binary_search(&part).is_ok() || self.quarantined.contains_key(&part);
        let is_news = is_listed && !self.sound.contains_key(&part);
        if is_news {
            self.sound.insert(part, sequence);
        }
        is_news
    }
}
