//! Finds the request, or the part of a prompt, that crashes the upstreams that run it.
//!
//! Routers report the requests that an upstream dropped before the end of their answer. The
//! tracker looks for content that explains most of these crashes and that nothing clears: a
//! whole request that comes again, or a part that different prompts share. It is
//! quarantined, and routers refuse requests with it. Without that, every such request takes
//! down another upstream with all requests that run there.
//!
//! Most parts of the dropped requests are harmless: their requests only ran beside
//! the one that crashed the upstream. Two things tell them apart. A harmless part is
//! answered elsewhere, so routers are asked about every suspect. And it takes part in
//! fewer crashes, so the part with the most crashes is taken first and the others are
//! judged by the crashes that it does not explain.
//!
//! An upstream may crash before it begins an answer or while it writes it. Both are judged
//! apart: an answer that has begun clears its parts of the former only.
//!
//! A whole request goes before its parts when they explain equally many crashes, because
//! its quarantine refuses fewer others. Should a part be the cause, the next request with
//! it crashes an upstream too; the earlier crashes then count against the part again.

use crate::dispatch_messages::{CrashCasualty, PartId, PartList, PartQuarantine};
use crate::sorted_map::SortedMap;
use std::time::Duration;

/// Crashes within this time may have one cause, such as the loss of a host.
const CRASH_SPACING: Duration = Duration::from_millis(250);
/// Crashes after which parts that explain equally many are all quarantined.
const TIED_QUARANTINE_CRASHES: usize = 6;
/// Time between the first crash with a part and its quarantine, in which routers report
/// whether they have seen the part answered. Reports take up to 0.2 s.
const CLEARANCE_TIME: Duration = Duration::from_millis(500);
/// Time for which an answer has to go on before its parts count as harmless although it is
/// not complete. A limit is needed because streams can last for minutes.
pub const SOUND_ANSWER_TIME: Duration = Duration::from_millis(2500);
/// Time for which requests with a part are refused. One of them is then run again.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Time for which a crash is remembered.
pub const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Time for which an answer clears its parts.
pub const SOUND_RETENTION: Duration = Duration::from_secs(60);
/// Most crashes that are remembered; the oldest is dropped.
const CRASH_LIMIT: usize = 64;
/// Most parts and requests that are kept for one crash.
const CRASH_PART_LIMIT: usize = 512;
/// Most suspects that routers are asked about, most frequent first.
const WATCH_LIMIT: usize = 128;
/// Most parts that are known to be answered; the oldest are dropped.
const SOUND_LIMIT: usize = 1024;
/// Most parts in quarantine.
const QUARANTINE_LIMIT: usize = 64;

/// How far the answers were that a part may have ended by a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashStage {
    /// Upstreams crash on the part before they begin an answer. Requests whose answer had begun
    /// are not to blame, and an answer that began elsewhere clears the part.
    BeforeAnswer,
    /// Upstreams may crash on the part at any time. Only an answer that was complete, or
    /// lasted for [`SOUND_ANSWER_TIME`], clears it.
    DuringAnswer,
}

impl CrashStage {
    /// Crashes that a suspect must explain before it is quarantined. Two can coincide by chance
    /// when a caller repeats a request. Answers that have begun are in more crashes by chance
    /// than requests that wait for theirs, and many requests share a part.
    fn quarantine_crashes(self, is_request: bool) -> usize {
        match (self, is_request) {
            (Self::BeforeAnswer, _) => 3,
            (Self::DuringAnswer, true) => 4,
            (Self::DuringAnswer, false) => 5,
        }
    }

    /// Time between the first crash and the quarantine of parts that explain equally many
    /// crashes: answers that run beside them have to show that they go on.
    fn tie_time(self) -> Duration {
        match self {
            Self::BeforeAnswer => CLEARANCE_TIME,
            Self::DuringAnswer => SOUND_ANSWER_TIME + CLEARANCE_TIME,
        }
    }
}

/// Crashes, suspects and quarantined parts, as the dispatcher knows them.
///
/// ```
/// use baobabfall_core::crash_tracker::CrashTracker;
/// use baobabfall_core::dispatch_messages::CrashCasualty;
/// use std::time::Duration;
/// let mut tracker = CrashTracker::default();
/// for (second, upstream) in ["engine-1", "engine-2", "engine-3"].into_iter().enumerate() {
///     let at = Duration::from_secs(second.try_into().unwrap());
///     let parts = vec![7, 100 + u64::try_from(second).unwrap()];
///     let upstream = upstream.to_owned();
///     let casualty =
///         CrashCasualty { upstream, incarnation: 1, parts, request: None, begun: false };
///     tracker.record_casualty(at, &casualty);
/// }
/// let found = tracker.evaluate(Duration::from_secs(3));
/// assert_eq!((found[0].part, found[0].crashes), (7, 3));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    crashes: Vec<CrashRecord>,
    /// Time at which a router last reported an answer to a request with the part that was
    /// complete or lasted for [`SOUND_ANSWER_TIME`].
    sound: SortedMap<PartId, Duration>,
    /// Time at which a router last reported that an upstream began to answer a request with
    /// the part.
    begun: SortedMap<PartId, Duration>,
    quarantined: SortedMap<PartId, QuarantineRecord>,
    leading: LeadingSuspects,
    /// Crashes that nothing in quarantine explains and that may have causes of their own.
    separate_crashes: usize,
    watched: Vec<PartId>,
    /// True if the suspects have to be determined again.
    is_stale: bool,
    version: u64,
}

/// The suspects of each stage with the most crashes.
#[derive(Clone, Debug, Default)]
struct LeadingSuspects {
    before_answer: Vec<FoundPart>,
    during_answer: Vec<FoundPart>,
}

#[derive(Clone, Copy, Debug)]
struct QuarantineRecord {
    until: Duration,
    /// True if the start of an answer shows that the quarantine is wrong.
    ends_with_start: bool,
}

#[derive(Clone, Debug)]
struct CrashRecord {
    upstream: String,
    incarnation: u64,
    at: Duration,
    /// Parts of the requests that were dropped, and these requests.
    dropped: SortedMap<PartId, DroppedRecord>,
    /// True when one of its requests had a part that is in quarantine.
    has_quarantined_part: bool,
    /// True when one of its requests is in quarantine.
    has_quarantined_request: bool,
}

/// A request that was dropped in a crash, or a part of one.
#[derive(Clone, Copy, Debug)]
struct DroppedRecord {
    is_request: bool,
    /// True if the answer of each request with it had begun.
    begun: bool,
}

impl CrashRecord {
    /// Marks the crash as explained if `id` was dropped in it.
    fn record_quarantine(&mut self, id: PartId) {
        let Some(dropped) = self.dropped.get(&id) else { return };
        match dropped.is_request {
            true => self.has_quarantined_request = true,
            false => self.has_quarantined_part = true,
        }
    }

    fn is_explained(&self) -> bool {
        self.has_quarantined_part || self.has_quarantined_request
    }

    fn record_dropped(&mut self, id: PartId, is_request: bool, begun: bool) {
        if let Some(dropped) = self.dropped.get_mut(&id) {
            dropped.begun &= begun;
        } else if self.dropped.len() < CRASH_PART_LIMIT {
            self.dropped.insert(id, DroppedRecord { is_request, begun });
        }
    }
}

/// A request or part that may be to blame for crashes.
#[derive(Clone, Copy, Debug)]
struct SuspectRecord {
    id: PartId,
    is_request: bool,
    crashes: usize,
    /// Those among the crashes that nothing in quarantine explains.
    unexplained: usize,
}

/// A request or part that was put in quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoundPart {
    /// The part, or the hash of the request.
    pub part: PartId,
    /// True for a whole request.
    pub is_request: bool,
    /// Number of crashes that it explains.
    pub crashes: usize,
}

impl CrashTracker {
    /// Records a request that an upstream dropped before the end of its answer.
    pub fn record_casualty(&mut self, now: Duration, casualty: &CrashCasualty) {
        let known = self.crashes.iter().position(|crash| {
            crash.upstream == casualty.upstream && crash.incarnation == casualty.incarnation
        });
        let index = known.unwrap_or_else(|| {
            if self.crashes.len() >= CRASH_LIMIT {
                self.crashes.remove(0);
            }
            self.crashes.push(CrashRecord {
                upstream: casualty.upstream.clone(),
                incarnation: casualty.incarnation,
                at: now,
                dropped: SortedMap::new(),
                has_quarantined_part: false,
                has_quarantined_request: false,
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        let parts = casualty.parts.iter().map(|part| (*part, false));
        for (id, is_request) in parts.chain(casualty.request.map(|request| (request, true))) {
            crash.record_dropped(id, is_request, casualty.begun);
            if self.quarantined.contains_key(&id) {
                crash.record_quarantine(id);
            }
        }
        self.is_stale = true;
    }

    /// Records that a request with the part was answered whole, or for
    /// [`SOUND_ANSWER_TIME`]. Ends the quarantine of the part, and returns true in that case.
    pub fn record_sound(&mut self, now: Duration, part: PartId) -> bool {
        record_answer(&mut self.sound, now, part);
        let lifted = self.quarantined.contains_key(&part);
        if lifted {
            self.lift_quarantine(part);
        }
        self.is_stale = true;
        lifted
    }

    /// Records that an upstream began to answer a request with the part. Ends the quarantine
    /// of a part that was taken for one on which upstreams crash before that, and returns
    /// true in that case.
    pub fn record_begun(&mut self, now: Duration, part: PartId) -> bool {
        record_answer(&mut self.begun, now, part);
        let lifted = self.quarantined.get(&part).is_some_and(|record| record.ends_with_start);
        if lifted {
            self.lift_quarantine(part);
        }
        self.is_stale = true;
        lifted
    }

    /// Takes over the quarantine of a part from a router that knows it from an earlier
    /// dispatcher.
    pub fn restore_quarantine(&mut self, now: Duration, quarantine: &PartQuarantine) {
        let left = Duration::from_millis(quarantine.left_ms.into()).min(QUARANTINE_TIME);
        let known = self.quarantined.contains_key(&quarantine.part);
        if known || self.sound.contains_key(&quarantine.part) {
            return;
        }
        let record = QuarantineRecord { until: now + left, ends_with_start: false };
        self.quarantine(quarantine.part, record);
    }

    /// Quarantines the parts that explain the remembered crashes and returns them.
    /// Ends quarantines whose time is over.
    pub fn evaluate(&mut self, now: Duration) -> Vec<FoundPart> {
        self.drop_expired(now);
        let until = now + QUARANTINE_TIME;
        let mut found = Vec::new();
        for stage in [CrashStage::BeforeAnswer, CrashStage::DuringAnswer] {
            let ends_with_start = stage == CrashStage::BeforeAnswer;
            loop {
                self.refresh_suspects();
                if !self.has_enough_crashes(now, stage) {
                    break;
                }
                for suspect in self.leading(stage).to_vec() {
                    self.quarantine(suspect.part, QuarantineRecord { until, ends_with_start });
                    found.push(suspect);
                }
            }
        }
        found
    }

    fn leading(&self, stage: CrashStage) -> &[FoundPart] {
        match stage {
            CrashStage::BeforeAnswer => &self.leading.before_answer,
            CrashStage::DuringAnswer => &self.leading.during_answer,
        }
    }

    /// True if the leading suspects are in enough crashes to quarantine them.
    fn has_enough_crashes(&self, now: Duration, stage: CrashStage) -> bool {
        let leading = self.leading(stage);
        let (needed, clearance) = match leading {
            [] => return false,
            [suspect] => (stage.quarantine_crashes(suspect.is_request), CLEARANCE_TIME),
            _ => (TIED_QUARANTINE_CRASHES, stage.tie_time()),
        };
        let is_early = |found: &FoundPart| {
            let (first, last) = self.crash_span(found.part);
            now < first + clearance
                || stage == CrashStage::DuringAnswer && last < first + CRASH_SPACING
        };
        // Where many upstreams end for another reason, a rare part may be in several crashes and in
        // no answer by chance.
        let explains_half =
            stage == CrashStage::BeforeAnswer || leading[0].crashes * 2 >= self.separate_crashes;
        leading[0].crashes >= needed && explains_half && !leading.iter().any(is_early)
    }

    /// Version of the list of watched and quarantined parts; 0 while it has never
    /// had an entry.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The list of watched and quarantined parts for routers.
    pub fn list(&self, now: Duration) -> PartList {
        let quarantined = self.quarantined.iter().map(|(part, record)| PartQuarantine {
            part: *part,
            left_ms: u32::try_from(record.until.saturating_sub(now).as_millis())
                .unwrap_or(u32::MAX),
        });
        PartList {
            version: self.version,
            watched: self.watched.clone(),
            quarantined: quarantined.collect(),
        }
    }

    fn quarantine(&mut self, part: PartId, record: QuarantineRecord) {
        if self.quarantined.len() >= QUARANTINE_LIMIT {
            let first = self.quarantined.iter().min_by_key(|(_, record)| record.until);
            if let Some(part) = first.map(|(part, _)| *part) {
                self.quarantined.remove(&part);
            }
        }
        self.quarantined.insert(part, record);
        for crash in &mut self.crashes {
            crash.record_quarantine(part);
        }
        self.version += 1;
        self.is_stale = true;
    }

    /// Ends a quarantine. The crashes that it seemed to explain count against others again.
    fn lift_quarantine(&mut self, part: PartId) {
        self.quarantined.remove(&part);
        self.version += 1;
        for crash in &mut self.crashes {
            crash.has_quarantined_part = false;
            crash.has_quarantined_request = false;
            for part in self.quarantined.keys() {
                crash.record_quarantine(*part);
            }
        }
    }

    fn drop_expired(&mut self, now: Duration) {
        let count = self.crashes.len() + self.sound.len() + self.begun.len();
        self.crashes.retain(|crash| now < crash.at + CRASH_RETENTION);
        self.sound.retain(|_, at| now < *at + SOUND_RETENTION);
        self.begun.retain(|_, at| now < *at + SOUND_RETENTION);
        self.is_stale |= self.crashes.len() + self.sound.len() + self.begun.len() < count;
        let count = self.quarantined.len();
        self.quarantined.retain(|_, record| now < record.until);
        if self.quarantined.len() < count {
            self.version += 1;
        }
    }

    /// The requests and parts that were dropped in crashes and that no answer clears, in order.
    ///
    /// A crash with a quarantined part counts against nothing else. One with a quarantined
    /// request counts against parts only, in case that the request was not the cause but one
    /// of its parts.
    fn suspects(&self, stage: CrashStage) -> Vec<SuspectRecord> {
        let mut mentions = Vec::new();
        for crash in self.crashes.iter().filter(|crash| !crash.has_quarantined_part) {
            let unexplained = usize::from(!crash.is_explained());
            for (id, dropped) in crash.dropped.iter() {
                let is_excluded = dropped.begun && stage == CrashStage::BeforeAnswer;
                if is_excluded || dropped.is_request && unexplained == 0 {
                    continue;
                }
                let is_request = dropped.is_request;
                mentions.push(SuspectRecord { id: *id, is_request, crashes: 1, unexplained });
            }
        }
        mentions.sort_unstable_by_key(|mention| mention.id);
        let mut suspects: Vec<SuspectRecord> = mentions
            .chunk_by(|a, b| a.id == b.id)
            .map(|group| SuspectRecord {
                crashes: group.len(),
                unexplained: group.iter().map(|mention| mention.unexplained).sum(),
                ..group[0]
            })
            .collect();
        suspects.retain(|suspect| suspect.unexplained > 0 && !self.is_cleared(suspect.id, stage));
        suspects
    }

    fn is_cleared(&self, id: PartId, stage: CrashStage) -> bool {
        self.sound.contains_key(&id)
            || stage == CrashStage::BeforeAnswer && self.begun.contains_key(&id)
    }

    /// Times of the first and the last crash with the part.
    fn crash_span(&self, part: PartId) -> (Duration, Duration) {
        let mut crashes = self.crashes.iter().filter(|crash| crash.dropped.contains_key(&part));
        let first = crashes.next().map_or(Duration::ZERO, |crash| crash.at);
        (first, crashes.next_back().map_or(first, |crash| crash.at))
    }

    fn count_separate_crashes(&self) -> usize {
        let mut counted = None;
        let unexplained = self.crashes.iter().filter(|crash| !crash.is_explained());
        let separate = unexplained.filter(|crash| {
            let is_separate = counted.is_none_or(|last| crash.at >= last + CRASH_SPACING);
            if is_separate {
                counted = Some(crash.at);
            }
            is_separate
        });
        separate.count()
    }

    /// Determines the suspects after a change.
    fn refresh_suspects(&mut self) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        let suspects = self.suspects(CrashStage::DuringAnswer);
        self.leading = LeadingSuspects {
            before_answer: leading_suspects(&self.suspects(CrashStage::BeforeAnswer)),
            during_answer: leading_suspects(&suspects),
        };
        self.separate_crashes = self.count_separate_crashes();
        let mut by_crashes: Vec<(usize, PartId)> =
            suspects.iter().map(|suspect| (suspect.crashes, suspect.id)).collect();
        by_crashes.sort_unstable_by(|a, b| b.cmp(a));
        by_crashes.truncate(WATCH_LIMIT);
        let mut watched: Vec<PartId> = by_crashes.into_iter().map(|(_, part)| part).collect();
        watched.sort_unstable();
        if watched != self.watched {
            self.watched = watched;
            self.version += 1;
        }
    }
}

/// The suspects with the most crashes. Whole requests go before parts.
fn leading_suspects(suspects: &[SuspectRecord]) -> Vec<FoundPart> {
    let rank = |suspect: &SuspectRecord| (suspect.crashes, suspect.is_request);
    let Some(first) = suspects.iter().map(rank).max() else { return Vec::new() };
    let leading = suspects.iter().filter(|suspect| rank(suspect) == first);
    let found = leading.map(|suspect| FoundPart {
        part: suspect.id,
        is_request: suspect.is_request,
        crashes: suspect.crashes,
    });
    found.collect()
}

/// Records an answer in `answers` unless they are full of recent ones.
fn record_answer(answers: &mut SortedMap<PartId, Duration>, now: Duration, part: PartId) {
    if answers.len() >= SOUND_LIMIT {
        answers.retain(|_, at| now < *at + SOUND_RETENTION / 2);
    }
    if answers.len() < SOUND_LIMIT {
        answers.insert(part, now);
    }
}
