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

/// How far an upstream has come with the answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerProgress {
    /// It has begun.
    Begun,
    /// It was complete, or has gone on for [`SOUND_ANSWER_TIME`].
    ///
    /// [`SOUND_ANSWER_TIME`]: crate::crash_tracker::SOUND_ANSWER_TIME
    Sound,
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
    answered: SortedMap<PartId, AnsweredRecord>,
    watched: Vec<PartId>,
    /// End of each quarantine.
    quarantined: SortedMap<PartId, Duration>,
    version: u64,
    /// Watched or quarantined parts with a sound answer, with their report.
    sound: SortedMap<PartId, u64>,
    /// Watched or quarantined parts with an answer that began.
    begun: SortedMap<PartId, BegunReport>,
    /// Requests dropped within [`CRASH_RETENTION`], oldest first.
    casualties: Vec<CasualtyRecord>,
}

/// Latest answers to requests with a part.
#[derive(Clone, Copy, Debug)]
struct AnsweredRecord {
    begun_at: Duration,
    sound_at: Option<Duration>,
}

/// Report of a part with an answer that began. It is kept after its acknowledgement, because
/// the part stays watched and its later answers say nothing new.
#[derive(Clone, Copy, Debug)]
struct BegunReport {
    at: Duration,
    /// Sequence number of the first report; `None` once it is acknowledged.
    sequence: Option<u64>,
}

impl BegunReport {
    fn is_news(&self, since: u64) -> bool {
        self.sequence.is_some_and(|sequence| sequence > since)
    }
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
    /// Records how far an answer has come. Returns true when the dispatcher should learn of it.
    pub fn record_answer(
        &mut self,
        now: Duration,
        answered: RequestSuspects<'_>,
        progress: AnswerProgress,
        sequence: u64,
    ) -> bool {
        if self.answered.len() + 1 + answered.parts.len() > SOUND_LIMIT {
            let mut times: Vec<Duration> =
                self.answered.values().map(|record| record.begun_at).collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.answered.retain(|_, record| record.begun_at > median);
        }
        let mut changed = false;
        for part in answered.ids() {
            let first = || AnsweredRecord { begun_at: now, sound_at: None };
            let record = self.answered.get_or_insert_with(*part, first);
            record.begun_at = now;
            if progress == AnswerProgress::Sound {
                record.sound_at = Some(now);
                changed |= self.report_sound(*part, sequence);
            }
            changed |= self.report_begun(now, *part, sequence);
        }
        changed
    }

    /// Records a request that an upstream dropped before the end of its answer.
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
        let (watched, quarantined) = (&self.watched, &self.quarantined);
        self.begun.retain(|part, _| is_listed(watched, quarantined, *part));
        let listed = self.watched.iter().chain(self.quarantined.keys());
        let answered = listed.filter_map(|part| Some((*part, *self.answered.get(part)?)));
        let answered: Vec<(PartId, AnsweredRecord)> = answered.collect();
        for (part, record) in answered {
            if record.sound_at.is_some_and(|at| now < at + SOUND_RETENTION) {
                self.report_sound(part, sequence);
            }
            if now < record.begun_at + SOUND_RETENTION {
                self.report_begun(now, part, sequence);
            }
        }
        let added = self.quarantined.keys().filter(|part| !known.contains_key(*part));
        added.copied().collect()
    }

    /// True if a crash of upstreams is suspected of the request or of a part of its prompt.
    pub fn is_suspect(&self, request: RequestSuspects<'_>) -> bool {
        let mut suspects = request.parts.iter().chain([&request.request]);
        suspects.any(|part| is_listed(&self.watched, &self.quarantined, *part))
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
        let begun = self.begun.iter().filter(|(_, report)| full || report.is_news(since));
        let quarantined = self.quarantined.iter().filter(|(_, until)| full && **until > now);
        PartReport {
            version: self.version,
            casualties: casualties.map(|record| record.casualty.clone()).collect(),
            sound: sound.map(|(part, _)| *part).collect(),
            begun: begun.map(|(part, _)| *part).collect(),
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
        for report in self.begun.values_mut() {
            report.sequence = report.sequence.filter(|sequence| *sequence > since);
        }
    }

    /// True when there is something that the dispatcher has not acknowledged.
    pub fn is_changed(&self, since: u64) -> bool {
        let is_new = |record: &CasualtyRecord| record.sequence.is_some_and(|first| first > since);
        self.casualties.iter().any(is_new)
            || self.sound.values().any(|sequence| *sequence > since)
            || self.begun.values().any(|report| report.is_news(since))
    }

    fn report_begun(&mut self, now: Duration, part: PartId, sequence: u64) -> bool {
        let is_old = |report: &BegunReport| now >= report.at + SOUND_RETENTION / 2;
        let is_news = is_listed(&self.watched, &self.quarantined, part)
            && self.begun.get(&part).is_none_or(is_old);
        if is_news {
            self.begun.insert(part, BegunReport { at: now, sequence: Some(sequence) });
        }
        is_news
    }

    fn report_sound(&mut self, part: PartId, sequence: u64) -> bool {
        let is_news =
            is_listed(&self.watched, &self.quarantined, part) && !self.sound.contains_key(&part);
        if is_news {
            self.sound.insert(part, sequence);
        }
        is_news
    }
}

/// True if the dispatcher asks about the part or has it in quarantine.
fn is_listed(watched: &[PartId], quarantined: &SortedMap<PartId, Duration>, part: PartId) -> bool {
    watched.binary_search(&part).is_ok() || quarantined.contains_key(&part)
}
