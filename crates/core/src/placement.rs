//! Placement: learnt capacity, ejection and slow start of upstreams, and the
//! choice of a free slot.

use crate::dispatch_messages::LeaseEnd;
use crate::dispatch_settings::PlacementSettings;
use crate::fair_order::IndexedHeap;
use std::time::Duration;

/// Fixed-point scale of load and of the first-token means.
const FRACTION: u64 = 1 << 16;
/// Weight of a new first-token time in the short-term mean is one of these.
const SHORT_MEAN_DIVISOR: u64 = 8;
/// Weight of a new first-token time in the long-term mean is one of these.
const LONG_MEAN_DIVISOR: u64 = 128;
/// First window of unread prompt tokens: some usual prompts, so that a new
/// engine is neither idle nor flooded before its first answers tell more.
const FIRST_WINDOW: u64 = 16_384;
/// Smallest window: about one usual prompt.
const LEAST_WINDOW: u64 = 4_096;
/// Largest window.
const LARGEST_WINDOW: u64 = 262_144;
/// Increase of a window for each first token in time.
const WINDOW_STEP: u64 = 64;

/// What the dispatcher learns about the capacity of one upstream.
///
/// The learnt capacity stays between 1 and the announced concurrency. It
/// falls by a quarter on signs of overload and rises by one slot at a time.
///
/// ```
/// use baobabfall_core::dispatch_messages::LeaseEnd;
/// use baobabfall_core::dispatch_settings::PlacementSettings;
/// use baobabfall_core::placement::UpstreamCapacity;
/// use std::time::Duration;
/// let settings = PlacementSettings::default();
/// let now = Duration::from_secs(10);
/// let mut capacity = UpstreamCapacity::new(8, None);
/// capacity.record_end(now, &settings, LeaseEnd::Refused);
/// assert_eq!(capacity.slots(now, &settings), 6);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCapacity {
    announced: u32,
    learnt: u32,
    /// Start of the slow start; none once it is complete.
    slow_start: Option<Duration>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
    decreased: Option<Duration>,
    increased: Option<Duration>,
    short_mean: u64,
    long_mean: u64,
    peak_running: u32,
    earlier_peak: u32,
    window: u64,
    window_cut: Option<Duration>,
}

impl UpstreamCapacity {
    /// Capacity of an upstream; `slow_start` is when its slow start begins.
    pub fn new(announced: u32, slow_start: Option<Duration>) -> Self {
        let announced = announced.max(1);
        Self {
            announced,
            learnt: announced,
            slow_start,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            decreased: None,
            increased: None,
            short_mean: 0,
            long_mean: 0,
            peak_running: 0,
            earlier_peak: 0,
            window: FIRST_WINDOW,
            window_cut: None,
        }
    }

    /// Prompt tokens that may be unread at once. An engine reads prompts one
    /// after another, so this bounds the wait for the first token.
    pub fn prefill_window(&self) -> u64 {
        self.window
    }

    /// Adapts the window to a first token that came `millis` after its grant:
    /// additive increase while it was in time and the window was used,
    /// multiplicative decrease when it was late.
    pub fn adapt_prefill_window(
        &mut self,
        now: Duration,
        millis: u32,
        target_ms: u32,
        unread: u64,
    ) {
        if target_ms == 0 {
            return;
        }
        if millis <= target_ms {
            if unread * 2 >= self.window {
                self.window = (self.window + WINDOW_STEP).min(LARGEST_WINDOW);
            }
            return;
        }
        // The requests that were under way at a decrease say nothing about its effect.
        let settled = Duration::from_millis(u64::from(target_ms));
        if self.window_cut.is_none_or(|cut| cut + settled <= now) {
            self.window_cut = Some(now);
            self.window = (self.window - self.window / 8).max(LEAST_WINDOW);
        }
    }

    /// Takes a changed announced concurrency.
    pub fn set_announced(&mut self, announced: u32) {
        let announced = announced.max(1);
        if self.learnt == self.announced {
            self.learnt = announced;
        }
        self.announced = announced;
        self.learnt = self.learnt.min(announced);
    }

    /// Learnt capacity without ejection and slow start.
    pub fn concurrency_limit(&self) -> u32 {
        self.learnt
    }

    /// True while ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Slots that may be used now.
    pub fn slots(&self, now: Duration, settings: &PlacementSettings) -> u32 {
        if self.is_ejected() {
            return 0;
        }
        let Some(start) = self.slow_start else { return self.learnt };
        let total = settings.slow_start.as_millis().max(1);
        let elapsed = now.saturating_sub(start).as_millis().min(total);
        let share = u128::from(self.learnt) * elapsed / total;
        u32::try_from(share).unwrap_or(self.learnt).max(1)
    }

    /// Ends an ejection or slow start whose time has come; true on a change.
    pub fn advance(&mut self, now: Duration, settings: &PlacementSettings) -> bool {
        if self.ejected_until.is_some_and(|until| until <= now) {
            self.readmit(now);
            return true;
        }
        if self.slow_start.is_some_and(|start| start + settings.slow_start <= now) {
            self.slow_start = None;
            return true;
        }
        self.slow_start.is_some()
    }

    /// When [`UpstreamCapacity::slots`] changes next by itself.
    pub fn next_change(&self, now: Duration, settings: &PlacementSettings) -> Option<Duration> {
        if self.ejected_until.is_some() {
            return self.ejected_until;
        }
        self.slow_start
            .map(|start| (now + settings.slow_start_step).min(start + settings.slow_start))
    }

    /// Ends an ejection with a slow start.
    pub fn readmit(&mut self, now: Duration) {
        self.ejected_until = None;
        self.failures = 0;
        self.slow_start = Some(now);
    }

    /// Ejects the upstream for a time that doubles with each ejection.
    pub fn eject(&mut self, now: Duration, settings: &PlacementSettings) {
        let factor = 2_u32.saturating_pow(self.ejections.min(16));
        let time = settings.first_ejection.saturating_mul(factor).min(settings.longest_ejection);
        self.ejections += 1;
        self.ejected_until = Some(now + time);
    }

    /// When the ejection ends.
    pub fn ejected_until(&self) -> Option<Duration> {
        self.ejected_until
    }

    /// True when consecutive failures call for an ejection.
    pub fn is_failing(&self, settings: &PlacementSettings) -> bool {
        !self.is_ejected() && self.failures >= settings.ejection_failures
    }

    /// Takes the end of a lease.
    pub fn record_end(&mut self, now: Duration, settings: &PlacementSettings, end: LeaseEnd) {
        match end {
            LeaseEnd::Finished => {
                self.failures = 0;
                self.ejections = if self.slow_start.is_none() { 0 } else { self.ejections };
                self.increase(now, settings);
            }
            LeaseEnd::Failed => self.failures = self.failures.saturating_add(1),
            LeaseEnd::Refused => self.decrease(now, settings),
            LeaseEnd::Unused => {}
        }
    }

    /// Takes the number of running leases of this dispatcher.
    pub fn record_running(&mut self, running: u32) {
        self.peak_running = self.peak_running.max(running);
    }

    /// Takes a new load report. It lags, so it only counts as overload when
    /// it exceeds every recent own count: others then use the upstream too.
    pub fn record_load(
        &mut self,
        now: Duration,
        settings: &PlacementSettings,
        reported: u32,
        running: u32,
    ) {
        let peak = self.peak_running.max(self.earlier_peak).max(running);
        self.earlier_peak = self.peak_running;
        self.peak_running = running;
        if reported > peak && reported >= self.learnt {
            self.decrease(now, settings);
        }
    }

    /// Takes a first-token time; a short-term mean far above the long-term
    /// one is overload.
    pub fn record_first_token(&mut self, now: Duration, settings: &PlacementSettings, millis: u32) {
        let sample = u64::from(millis) * FRACTION;
        if self.long_mean == 0 {
            (self.short_mean, self.long_mean) = (sample, sample);
            return;
        }
        self.short_mean = shift_mean(self.short_mean, sample, SHORT_MEAN_DIVISOR);
        self.long_mean = shift_mean(self.long_mean, sample, LONG_MEAN_DIVISOR);
        let slow =
            self.short_mean > self.long_mean.saturating_mul(settings.slow_first_token_factor);
        if slow && self.short_mean > settings.min_slow_first_token_ms * FRACTION {
            self.decrease(now, settings);
        }
    }

    fn decrease(&mut self, now: Duration, settings: &PlacementSettings) {
        if self.decreased.is_some_and(|at| now < at + settings.decrease_interval) {
            return;
        }
        self.decreased = Some(now);
        self.learnt = (self.learnt * settings.quarters_after_decrease / 4).max(1);
    }

    fn increase(&mut self, now: Duration, settings: &PlacementSettings) {
        let last = self.increased.max(self.decreased);
        if self.learnt >= self.announced
            || last.is_some_and(|at| now < at + settings.increase_interval)
        {
            return;
        }
        self.increased = Some(now);
        self.learnt += 1;
    }
}

fn shift_mean(mean: u64, sample: u64, divisor: u64) -> u64 {
    mean - mean / divisor + sample / divisor
}

/// Largest number of ejected upstreams in a pool of `members`.
///
/// ```
/// use baobabfall_core::placement::ejection_limit;
/// assert_eq!(ejection_limit(5), 2);
/// assert_eq!(ejection_limit(1), 0);
/// ```
pub fn ejection_limit(members: usize) -> usize {
    members / 2
}

/// Work that an upstream holds, against what it may hold.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that may run.
    pub slots: u32,
    /// Prompt tokens that are not read yet.
    pub prefill: u64,
    /// Prompt tokens that may be unread.
    pub prefill_window: u64,
}

impl SlotLoad {
    fn is_free(&self) -> bool {
        self.running < self.slots && (self.prefill == 0 || self.prefill < self.prefill_window)
    }

    /// The fuller of both measures, in parts of [`FRACTION`].
    fn fraction(&self) -> u64 {
        let slots = u64::from(self.running) * FRACTION / u64::from(self.slots.max(1));
        slots.max(self.prefill * FRACTION / self.prefill_window.max(1))
    }
}

/// Upstreams with free slots that serve one target, ordered by load within
/// each availability zone.
#[derive(Clone, Debug, Default)]
pub struct FreeSlots {
    zones: Vec<IndexedHeap<u64>>,
    len: usize,
}

/// What the choice of a slot prefers.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotPreference {
    /// Zone of the router.
    pub zone: usize,
    /// Upstream that probably holds the prompt prefix.
    pub affine: Option<usize>,
    /// Upstream to use only when no other is free.
    pub avoid: Option<usize>,
}

impl FreeSlots {
    /// True when no upstream has a free slot.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Removes every upstream.
    pub fn clear(&mut self) {
        self.zones.iter_mut().for_each(IndexedHeap::clear);
        self.len = 0;
    }

    /// Sets the load of an upstream; it is removed when it has no free slot.
    pub fn set(&mut self, zone: usize, upstream: usize, load: SlotLoad) {
        if self.zones.len() <= zone {
            self.zones.resize_with(zone + 1, IndexedHeap::new);
        }
        let heap = &mut self.zones[zone];
        let held = heap.len();
        if load.is_free() {
            heap.set(upstream, load.fraction());
        } else {
            heap.remove(upstream);
        }
        self.len = self.len + heap.len() - held;
    }

    /// The upstream to use: not the avoided one, then the affine one, then
    /// the least loaded, then one in the router's zone.
    ///
    /// ```
    /// use baobabfall_core::placement::{FreeSlots, SlotLoad, SlotPreference};
    /// let mut free = FreeSlots::default();
    /// free.set(0, 7, SlotLoad { running: 1, slots: 8, ..SlotLoad::default() });
    /// free.set(1, 3, SlotLoad { running: 1, slots: 8, ..SlotLoad::default() });
    /// let preference = SlotPreference { zone: 1, ..SlotPreference::default() };
    /// assert_eq!(free.choose(&preference), Some(3));
    /// assert_eq!(free.choose(&SlotPreference { avoid: Some(3), ..preference }), Some(7));
    /// ```
    pub fn choose(&self, preference: &SlotPreference) -> Option<usize> {
        let affine = preference.affine.filter(|upstream| Some(*upstream) != preference.avoid);
        if affine.is_some() {
            return affine;
        }
        let best = self.zones.iter().enumerate().filter_map(|(zone, heap)| {
            let (load, upstream) = match preference.avoid {
                Some(avoid) => heap.peek_other(avoid),
                None => heap.peek(),
            }?;
            Some((load, zone != preference.zone, upstream))
        });
        match best.min() {
            Some((_, _, upstream)) => Some(upstream),
            None => preference.avoid.filter(|_| !self.is_empty()),
        }
    }
}

/// Upstreams that are known to hold one prefix, the latest first. Each further
/// copy takes engine memory from other prefixes.
const HOLDER_LIMIT: usize = 4;

/// Bounded table from prompt prefix to the upstreams that read it last.
///
/// Colliding prefixes overwrite each other, which costs at most a cache miss.
///
/// ```
/// use baobabfall_core::placement::PrefixHints;
/// use std::time::Duration;
/// let mut hints = PrefixHints::new(8);
/// let (now, lifetime) = (Duration::from_secs(1), Duration::from_secs(30));
/// hints.record(now, 5, 2);
/// hints.record(now, 5, 7);
/// assert_eq!(hints.find(now, lifetime, 5), [7, 2]);
/// hints.record(now, 13, 1); // shares a place with prefix 5
/// assert!(hints.find(now, lifetime, 5).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct PrefixHints {
    slots: Vec<PrefixSlot>,
}

#[derive(Clone, Debug, Default)]
struct PrefixSlot {
    prefix: u64,
    holders: Vec<(usize, Duration)>,
}

impl PrefixHints {
    /// A table with `slots` places; prefixes that share one displace each other.
    pub fn new(slots: usize) -> Self {
        Self { slots: vec![PrefixSlot::default(); slots.max(1)] }
    }

    /// Notes that an upstream reads a prefix.
    pub fn record(&mut self, now: Duration, prefix: u64, upstream: usize) {
        let slot = self.slot(prefix);
        let slot = &mut self.slots[slot];
        if slot.prefix != prefix {
            slot.prefix = prefix;
            slot.holders.clear();
        }
        slot.holders.retain(|(held, _)| *held != upstream);
        slot.holders.truncate(HOLDER_LIMIT - 1);
        slot.holders.insert(0, (upstream, now));
    }

    /// Upstreams that read a prefix within `lifetime`.
    pub fn find(&self, now: Duration, lifetime: Duration, prefix: u64) -> Vec<usize> {
        let slot = &self.slots[self.slot(prefix)];
        if slot.prefix != prefix {
            return Vec::new();
        }
        let fresh = slot.holders.iter().filter(|(_, at)| now < *at + lifetime);
        fresh.map(|(upstream, _)| *upstream).collect()
    }

    fn slot(&self, prefix: u64) -> usize {
        let slots = u64::try_from(self.slots.len()).unwrap_or(u64::MAX);
        usize::try_from(prefix % slots).unwrap_or_default()
    }
}
