//! Finds the request, or the part of a prompt, that crashes the upstreams that run it.
//!
//! Routers report the requests that an upstream dropped before the first token. The
//! tracker looks for content that explains most of these crashes and that no router has
//! seen answered: a whole request that comes again, or a part that different prompts
//! share. It is quarantined, and routers refuse requests with it. Without that, every
//! such request takes down another upstream with all requests that run there.
//!
//! Most parts of the dropped requests are harmless: their requests only ran beside
//! the one that crashed the upstream. Two things tell them apart. A harmless part is
//! answered elsewhere, so routers are asked about every suspect. And it takes part in
//! fewer crashes, so the part with the most crashes is taken first and the others are
//! judged by the crashes that it does not explain.
//!
//! A whole request goes before its parts when they explain equally many crashes, because
//! its quarantine refuses fewer others. Should a part be the cause, the next request with
//! it crashes an upstream too; the earlier crashes then count against the part again.

use crate::dispatch_messages::{CrashCasualty, PartId, PartList, PartQuarantine};
use crate::sorted_map::SortedMap;
use std::time::Duration;

/// Crashes that a part must explain before it is quarantined. Two can coincide by
/// chance when a caller repeats a request.
const QUARANTINE_CRASHES: usize = 3;
/// Crashes after which parts that explain equally many are all quarantined.
const TIED_QUARANTINE_CRASHES: usize = 6;
/// Time between the first crash with a part and its quarantine, in which routers report
/// whether they have seen the part answered. Reports take up to 0.2 s.
const CLEARANCE_TIME: Duration = Duration::from_millis(500);
/// Time for which requests with a part are refused. One of them is then run again.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Time for which a crash is remembered.
pub const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Time for which a part counts as harmless after it was answered.
pub const SOUND_RETENTION: Duration = Duration::from_secs(60);
/// Most crashes that are remembered; the oldest is dropped.
const CRASH_LIMIT: usize = 64;
/// Most parts, and most requests, that are kept for one crash.
const CRASH_PART_LIMIT: usize = 256;
/// Most suspects that routers are asked about, most frequent first.
const WATCH_LIMIT: usize = 128;
/// Most parts that are known to be harmless; the oldest are dropped.
const SOUND_LIMIT: usize = 1024;
/// Most parts in quarantine.
const QUARANTINE_LIMIT: usize = 64;

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
///     let casualty = CrashCasualty { upstream, incarnation: 1, parts, request: None };
///     tracker.record_casualty(at, &casualty);
/// }
/// let found = tracker.evaluate(Duration::from_secs(3));
/// assert_eq!((found[0].part, found[0].crashes), (7, 3));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    crashes: Vec<CrashRecord>,
    /// Time at which a router last reported an answer to a request with the part.
    sound: SortedMap<PartId, Duration>,
    /// End of each quarantine.
    quarantined: SortedMap<PartId, Duration>,
    watched: Vec<PartId>,
    version: u64,
}

#[derive(Clone, Debug)]
struct CrashRecord {
    upstream: String,
    incarnation: u64,
    at: Duration,
    /// Parts of the requests that were dropped, in order.
    parts: Vec<PartId>,
    /// The requests that were dropped, in order.
    requests: Vec<PartId>,
    /// True when one of its requests had a part that is in quarantine.
    has_quarantined_part: bool,
    /// True when one of its requests is in quarantine.
    has_quarantined_request: bool,
}

impl CrashRecord {
    /// Marks the crash as explained if `id` was dropped in it.
    fn record_quarantine(&mut self, id: PartId) {
        self.has_quarantined_part |= self.parts.binary_search(&id).is_ok();
        self.has_quarantined_request |= self.requests.binary_search(&id).is_ok();
    }

    fn is_explained(&self) -> bool {
        self.has_quarantined_part || self.has_quarantined_request
    }

    fn contains(&self, id: PartId) -> bool {
        self.parts.binary_search(&id).is_ok() || self.requests.binary_search(&id).is_ok()
    }
}

/// Crashes for which a request or a part may be to blame.
#[derive(Clone, Copy, Debug, Default)]
struct SuspectRecord {
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
    /// Records a request that an upstream dropped before its first token.
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
                parts: Vec::new(),
                requests: Vec::new(),
                has_quarantined_part: false,
                has_quarantined_request: false,
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        for part in &casualty.parts {
            crash.has_quarantined_part |= self.quarantined.contains_key(part);
            insert_bounded(&mut crash.parts, *part);
        }
        if let Some(request) = casualty.request {
            crash.has_quarantined_request |= self.quarantined.contains_key(&request);
            insert_bounded(&mut crash.requests, request);
        }
        self.refresh_watched();
    }

    /// Records that an upstream began to answer a request with the part. Ends the
    /// quarantine of the part, and returns true in that case.
    pub fn record_sound(&mut self, now: Duration, part: PartId) -> bool {
        if self.sound.len() >= SOUND_LIMIT {
            self.sound.retain(|_, at| now < *at + SOUND_RETENTION / 2);
        }
        if self.sound.len() < SOUND_LIMIT {
            self.sound.insert(part, now);
        }
        let lifted = self.quarantined.remove(&part).is_some();
        if lifted {
            self.version += 1;
        }
        self.refresh_watched();
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
        self.quarantine(now + left, quarantine.part);
    }

    /// Quarantines the parts that explain the remembered crashes and returns them.
    /// Ends quarantines whose time is over.
    pub fn evaluate(&mut self, now: Duration) -> Vec<FoundPart> {
        self.drop_expired(now);
        let mut found = Vec::new();
        loop {
            let leading = self.leading_suspects();
            let Some(crashes) = leading.first().map(|suspect| suspect.crashes) else { break };
            let is_clear = leading.len() == 1 || crashes >= TIED_QUARANTINE_CRASHES;
            let is_due =
                leading.iter().all(|found| now >= self.first_crash(found.part) + CLEARANCE_TIME);
            if crashes < QUARANTINE_CRASHES || !is_clear || !is_due {
                break;
            }
            for suspect in leading {
                self.quarantine(now + QUARANTINE_TIME, suspect.part);
                found.push(suspect);
            }
        }
        found
    }

    /// Version of the list of watched and quarantined parts; 0 while it has never
    /// had an entry.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The list of watched and quarantined parts for routers.
    pub fn list(&self, now: Duration) -> PartList {
        let quarantined = self.quarantined.iter().map(|(part, until)| PartQuarantine {
            part: *part,
            left_ms: u32::try_from(until.saturating_sub(now).as_millis()).unwrap_or(u32::MAX),
        });
        PartList {
            version: self.version,
            watched: self.watched.clone(),
            quarantined: quarantined.collect(),
        }
    }

    fn quarantine(&mut self, until: Duration, part: PartId) {
        if self.quarantined.len() >= QUARANTINE_LIMIT {
            let first = self.quarantined.iter().min_by_key(|(_, until)| **until);
            if let Some(part) = first.map(|(part, _)| *part) {
                self.quarantined.remove(&part);
            }
        }
        self.quarantined.insert(part, until);
        for crash in &mut self.crashes {
            crash.record_quarantine(part);
        }
        self.version += 1;
        self.refresh_watched();
    }

    fn drop_expired(&mut self, now: Duration) {
        self.crashes.retain(|crash| now < crash.at + CRASH_RETENTION);
        self.sound.retain(|_, at| now < *at + SOUND_RETENTION);
        let count = self.quarantined.len();
        self.quarantined.retain(|_, until| now < *until);
        if self.quarantined.len() < count {
            self.version += 1;
        }
        self.refresh_watched();
    }

    /// The requests and parts that were dropped in crashes and are not known to be harmless.
    ///
    /// A crash with a quarantined part counts against nothing else. One with a quarantined
    /// request counts against parts only, in case that the request was not the cause but one
    /// of its parts.
    fn suspects(&self) -> SortedMap<PartId, SuspectRecord> {
        let mut suspects: SortedMap<PartId, SuspectRecord> = SortedMap::new();
        for crash in self.crashes.iter().filter(|crash| !crash.has_quarantined_part) {
            let unexplained = usize::from(!crash.is_explained());
            for part in &crash.parts {
                let suspect = suspects.get_or_insert_with(*part, SuspectRecord::default);
                suspect.crashes += 1;
                suspect.unexplained += unexplained;
            }
            for request in crash.requests.iter().filter(|_| unexplained > 0) {
                let suspect = suspects.get_or_insert_with(*request, SuspectRecord::default);
                suspect.is_request = true;
                suspect.crashes += 1;
                suspect.unexplained += 1;
            }
        }
        suspects.retain(|part, suspect| suspect.unexplained > 0 && !self.sound.contains_key(part));
        suspects
    }

    /// The suspects with the most crashes. Whole requests go before parts.
    fn leading_suspects(&self) -> Vec<FoundPart> {
        let suspects = self.suspects();
        let rank = |suspect: &SuspectRecord| (suspect.crashes, suspect.is_request);
        let Some(first) = suspects.values().map(rank).max() else { return Vec::new() };
        let leading = suspects.iter().filter(|(_, suspect)| rank(suspect) == first);
        let found = leading.map(|(part, suspect)| FoundPart {
            part: *part,
            is_request: suspect.is_request,
            crashes: suspect.crashes,
        });
        found.collect()
    }

    fn first_crash(&self, part: PartId) -> Duration {
        let crashes = self.crashes.iter().filter(|crash| crash.contains(part));
        crashes.map(|crash| crash.at).min().unwrap_or_default()
    }

    fn refresh_watched(&mut self) {
        let suspects = self.suspects();
        let mut by_crashes: Vec<(usize, PartId)> =
            suspects.iter().map(|(part, suspect)| (suspect.crashes, *part)).collect();
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

/// Inserts into a sorted list unless it holds [`CRASH_PART_LIMIT`] entries.
fn insert_bounded(ids: &mut Vec<PartId>, id: PartId) {
    if let Err(position) = ids.binary_search(&id)
        && ids.len() < CRASH_PART_LIMIT
    {
        ids.insert(position, id);
    }
}
