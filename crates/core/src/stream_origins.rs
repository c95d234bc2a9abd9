//! Which service and software version began each event stream, so that a caller who resumes
//! a stream at any router gets the rest of it from the same version.
//!
//! Each router reports the streams that it begins; the dispatcher keeps those of all routers
//! and answers lookups. Each router also sends a copy to a controller that doesn't lead, for the
//! case that the router and the leader are lost together.

use crate::dispatch_messages::{OriginAnswer, OriginGroup, StreamKey, StreamOrigin};
use crate::sorted_map::SortedMap;
use std::time::Duration;

/// Longest time for which the origin of a stream is kept.
const LIFETIME_LIMIT: Duration = Duration::from_secs(600);
/// Most keys that a dispatcher remembers, each in 16 bytes. At 2,800 streams a second whose
/// callers wait for 15 s there are 84,000, two for each stream.
pub const FLEET_STREAM_LIMIT: usize = 1 << 18;
/// Most keys of its own streams that a router remembers.
pub const ROUTER_STREAM_LIMIT: usize = 1 << 14;
/// Number of distinct origins from which unused ones are removed.
const ORIGIN_LIMIT: usize = 64;

/// Key of the stream that request `request_id` of a workspace begins. Workspaces cannot
/// resume each other's streams, whatever ids they choose. Streams are also recorded by the hash of
/// their request's content, for callers who do not name the request.
///
/// ```
/// use baobabfall_core::stream_origins::stream_key;
/// assert_ne!(stream_key("team-a", "r1"), stream_key("team-b", "r1"));
/// ```
pub fn stream_key(workspace: &str, request_id: &str) -> StreamKey {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&workspace.len().to_le_bytes());
    hasher.update(workspace.as_bytes());
    hasher.update(request_id.as_bytes());
    let hash = hasher.finalize();
    hash.as_bytes().first_chunk::<8>().map_or(0, |bytes| u64::from_le_bytes(*bytes))
}

#[derive(Clone, Copy, Debug)]
struct StreamEntry {
    key: StreamKey,
    /// Index of the stream's origin; `None` when streams with this key have several.
    origin: Option<u32>,
}

/// Origins of streams for as long as their callers may take them up.
///
/// Streams are kept in sorted lists, one for each second in which they expire. That keeps
/// insertions short and makes expiry the removal of whole lists.
///
/// ```
/// use baobabfall_core::dispatch_messages::StreamOrigin;
/// use baobabfall_core::software_version::SoftwareVersion;
/// use baobabfall_core::stream_origins::OriginDirectory;
/// use std::time::Duration;
/// let software = SoftwareVersion::parse("v1").unwrap();
/// let origin = StreamOrigin { service: "chat".to_owned(), software };
/// let mut directory = OriginDirectory::new(100);
/// directory.record(Duration::ZERO, 7, Some(&origin), Duration::from_secs(5));
/// assert_eq!(directory.find(Duration::from_secs(4), 7), Some(&origin));
/// assert_eq!(directory.find(Duration::from_secs(9), 7), None);
/// ```
#[derive(Clone, Debug)]
pub struct OriginDirectory {
    origins: Vec<StreamOrigin>,
    /// Streams by the second after which they expire, each list sorted by key.
    expiries: SortedMap<u64, Vec<StreamEntry>>,
    len: usize,
    limit: usize,
}

impl OriginDirectory {
    /// Creates a directory of at most `limit` streams.
    pub fn new(limit: usize) -> Self {
        Self { origins: Vec::new(), expiries: SortedMap::new(), len: 0, limit }
    }

    /// Number of streams, including expired ones that are not removed yet.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True when no stream is known.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Records which origin began a stream that can be resumed for the time `left`; `None`
    /// when it is ambiguous. So is a key that was recorded with another origin. At the limit,
    /// the streams that expire next make room.
    pub fn record(
        &mut self,
        now: Duration,
        key: StreamKey,
        origin: Option<&StreamOrigin>,
        left: Duration,
    ) {
        self.expire(now);
        let mut second = (now + left.min(LIFETIME_LIMIT)).as_secs();
        let mut origin = origin.map(|origin| self.origin_index(origin));
        if let Some((known_second, known)) = self.take(key) {
            second = second.max(known_second);
            origin = origin.filter(|_| known.origin == origin);
        }
        if self.len >= self.limit {
            self.drop_first_second();
        }
        let entries = self.expiries.get_or_insert_with(second, Vec::new);
        let position = entries.partition_point(|entry| entry.key < key);
        entries.insert(position, StreamEntry { key, origin });
        self.len += 1;
    }

    /// Records streams that a router has listed.
    pub fn record_groups(&mut self, now: Duration, groups: &[OriginGroup]) {
        for group in groups {
            for &(key, left_ms) in &group.streams {
                let left = Duration::from_millis(left_ms.into());
                self.record(now, key, group.origin.as_ref(), left);
            }
        }
    }

    /// What is known of a stream that a router asks for.
    pub fn answer(&self, now: Duration, key: StreamKey) -> OriginAnswer {
        let origin = self.find(now, key).cloned();
        let ambiguous = origin.is_none() && self.locate(now, key).is_some();
        OriginAnswer { key, origin, ambiguous }
    }

    /// The origin of a stream that can still be resumed, unless it is ambiguous.
    pub fn find(&self, now: Duration, key: StreamKey) -> Option<&StreamOrigin> {
        let (_, entry) = self.locate(now, key)?;
        self.origins.get(usize::try_from(entry.origin?).ok()?)
    }

    /// All streams that can still be resumed, grouped by origin.
    pub fn groups(&self, now: Duration) -> Vec<OriginGroup> {
        let live = self.expiries.iter().filter(|(second, _)| **second >= now.as_secs());
        self.group(now, live.flat_map(|(second, list)| list.iter().map(|entry| (*second, *entry))))
    }

    fn locate(&self, now: Duration, key: StreamKey) -> Option<(u64, StreamEntry)> {
        let mut live = self.expiries.iter().filter(|(second, _)| **second >= now.as_secs());
        live.find_map(|(second, list)| Some((*second, list[position_of(list, key)?])))
    }

    fn group(
        &self,
        now: Duration,
        entries: impl Iterator<Item = (u64, StreamEntry)>,
    ) -> Vec<OriginGroup> {
        let origins = self.origins.iter().cloned().map(Some).chain([None]);
        let mut groups: Vec<OriginGroup> =
            origins.map(|origin| OriginGroup { origin, streams: Vec::new() }).collect();
        let ambiguous = self.origins.len();
        for (second, entry) in entries {
            let left = Duration::from_secs(second + 1).saturating_sub(now);
            let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            let index = entry.origin.and_then(|index| usize::try_from(index).ok());
            if let Some(group) = groups.get_mut(index.unwrap_or(ambiguous)) {
                group.streams.push((entry.key, left_ms));
            }
        }
        groups.retain(|group| !group.streams.is_empty());
        groups
    }

    fn expire(&mut self, now: Duration) {
        while self.expiries.first().is_some_and(|(second, _)| *second < now.as_secs()) {
            self.drop_first_second();
        }
    }

    fn drop_first_second(&mut self) {
        let Some(second) = self.expiries.first().map(|(second, _)| *second) else { return };
        self.len -= self.expiries.remove(&second).map_or(0, |entries| entries.len());
    }

    fn take(&mut self, key: StreamKey) -> Option<(u64, StreamEntry)> {
        for (second, entries) in self.expiries.iter_mut() {
            if let Some(position) = position_of(entries, key) {
                self.len -= 1;
                return Some((*second, entries.remove(position)));
            }
        }
        None
    }

    fn origin_index(&mut self, origin: &StreamOrigin) -> u32 {
        let known = self.origins.iter().position(|known| known == origin);
        let index = known.unwrap_or_else(|| {
            if self.origins.len() >= ORIGIN_LIMIT {
                self.remove_unused_origins();
            }
            self.origins.push(origin.clone());
            self.origins.len() - 1
        });
        u32::try_from(index).unwrap_or(u32::MAX)
    }

    fn remove_unused_origins(&mut self) {
        let old = std::mem::take(&mut self.origins);
        let mut renumbered: Vec<Option<u32>> = vec![None; old.len()];
        for entry in self.expiries.values_mut().flatten() {
            let index = entry.origin.and_then(|index| usize::try_from(index).ok());
            let Some(index) = index else { continue };
            let next = u32::try_from(self.origins.len()).unwrap_or(u32::MAX);
            let origin = *renumbered[index].get_or_insert_with(|| {
                self.origins.push(old[index].clone());
                next
            });
            entry.origin = Some(origin);
        }
    }
}

fn position_of(entries: &[StreamEntry], key: StreamKey) -> Option<usize> {
    entries.binary_search_by_key(&key, |entry| entry.key).ok()
}

/// Streams that one router began. Each is reported from the report with the sequence number
/// `sequence` on, until it is acknowledged.
#[derive(Clone, Debug)]
pub struct OriginBook {
    begun: OriginDirectory,
    /// Streams that are not acknowledged, with their report.
    unacknowledged: SortedMap<StreamKey, u64>,
    /// Streams that are not in a confirmed copy, with the number of the first copy that lists them.
    uncopied: SortedMap<StreamKey, u64>,
    /// Number of the last copy.
    copies: u64,
}

impl Default for OriginBook {
    fn default() -> Self {
        Self {
            begun: OriginDirectory::new(ROUTER_STREAM_LIMIT),
            unacknowledged: SortedMap::new(),
            uncopied: SortedMap::new(),
            copies: 0,
        }
    }
}

impl OriginBook {
    /// Records a stream that this router began, with `None` if its software version is unknown.
    pub fn record(
        &mut self,
        now: Duration,
        key: StreamKey,
        origin: Option<&StreamOrigin>,
        left: Duration,
        sequence: u64,
    ) {
        self.begun.record(now, key, origin, left);
        self.unacknowledged.insert(key, sequence);
        self.uncopied.insert(key, self.copies + 1);
        let begun = &self.begun;
        for pending in [&mut self.unacknowledged, &mut self.uncopied] {
            if pending.len() > ROUTER_STREAM_LIMIT {
                pending.retain(|key, _| begun.locate(now, *key).is_some());
            }
        }
    }

    /// Number and content of the next copy: all streams if it is `full`, otherwise those that are
    /// not in a confirmed one.
    pub fn copy(&mut self, now: Duration, full: bool) -> (u64, Vec<OriginGroup>) {
        self.copies += 1;
        let groups = match full {
            true => self.begun.groups(now),
            false => {
                let new = self.uncopied.keys().filter_map(|key| self.begun.locate(now, *key));
                self.begun.group(now, new)
            }
        };
        (self.copies, groups)
    }

    /// Records that a controller holds the copies up to `number`.
    pub fn confirm_copy(&mut self, number: u64) {
        self.uncopied.retain(|_, first| *first > number);
    }

    /// The origin of a stream that this router began.
    pub fn find(&self, now: Duration, key: StreamKey) -> Option<&StreamOrigin> {
        self.begun.find(now, key)
    }

    /// What a report contains: every stream that is not acknowledged, and in a full report all
    /// streams, for a new dispatcher.
    pub fn report(&self, now: Duration, full: bool, since: u64) -> Vec<OriginGroup> {
        if full {
            return self.begun.groups(now);
        }
        if self.unacknowledged.is_empty() {
            return Vec::new();
        }
        let new = self.unacknowledged.iter().filter(|(_, sequence)| **sequence > since);
        self.begun.group(now, new.filter_map(|(key, _)| self.begun.locate(now, *key)))
    }

    /// Records that the dispatcher has acknowledged the reports up to `since`.
    pub fn acknowledge(&mut self, since: u64) {
        self.unacknowledged.retain(|_, sequence| *sequence > since);
    }

    /// True when there is a stream that the dispatcher has not acknowledged.
    pub fn is_changed(&self, since: u64) -> bool {
        self.unacknowledged.values().any(|sequence| *sequence > since)
    }
}
