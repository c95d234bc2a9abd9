//! Placement of requests on upstreams: the adaptive concurrency limit, ejection
//! and slow start of each upstream, and the choice of an upstream with a free slot.

use crate::dispatch_messages::LeaseEnd;
use crate::dispatch_settings::PlacementSettings;
use crate::fair_order::IndexedHeap;
use std::time::Duration;

/// Fixed-point scale of load fractions and of the mean first-token times.
const FRACTION: u64 = 1 << 16;
/// Inverse of the weight of a new first-token time in the short-term mean.
const SHORT_MEAN_DIVISOR: u64 = 8;
/// Inverse of the weight of a new first-token time in the long-term mean.
const LONG_MEAN_DIVISOR: u64 = 128;
/// Initial prefill window in tokens. It holds a few typical prompts, so that a new
/// engine is neither idle nor overloaded before its first-token times are known.
const INITIAL_WINDOW: u64 = 16_384;
/// Lower bound of the prefill window in tokens: about one typical prompt.
const MIN_WINDOW: u64 = 4_096;
/// Upper bound of the prefill window in tokens.
const MAX_WINDOW: u64 = 262_144;
/// Tokens by which the prefill window grows for each first token within its target time.
const WINDOW_STEP: u64 = 64;

/// Adaptive concurrency limit, ejection state and prefill window of one upstream.
///
/// The concurrency limit stays between 1 and the announced concurrency. It
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
    concurrency_limit: u32,
    /// Time at which the slow start began; `None` once it is complete.
    slow_start: Option<Duration>,
    /// Failures since the last success or the end of the last ejection.
    failures: u32,
    /// Ejections since a request last succeeded outside a slow start. Each one doubles
    /// the time of the next.
    ejections: u32,
    ejected_until: Option<Duration>,
    decreased_at: Option<Duration>,
    increased_at: Option<Duration>,
    /// Short-term mean first-token time in milliseconds, times [`FRACTION`].
    short_mean: u64,
    /// Long-term mean first-token time in milliseconds, times [`FRACTION`].
    long_mean: u64,
    /// Most leases of this dispatcher that ran at once since the last load report.
    peak_running: u32,
    /// Value of `peak_running` for the interval before the last load report.
    previous_peak_running: u32,
    prefill_window: u64,
    window_decreased_at: Option<Duration>,
}

impl UpstreamCapacity {
    /// Starts at the announced concurrency. `slow_start` is the time at which a slow
    /// start begins; with `None` every slot may be used at once.
    pub fn new(announced: u32, slow_start: Option<Duration>) -> Self {
        let announced = announced.max(1);
        Self {
            announced,
            concurrency_limit: announced,
            slow_start,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            decreased_at: None,
            increased_at: None,
            short_mean: 0,
            long_mean: 0,
            peak_running: 0,
            previous_peak_running: 0,
            prefill_window: INITIAL_WINDOW,
            window_decreased_at: None,
        }
    }

    /// Prompt tokens that may await prefill at once. An engine prefills prompts one
    /// after another, so this bounds the wait for the first token.
    pub fn prefill_window(&self) -> u64 {
        self.prefill_window
    }

    /// Adapts the prefill window to a first token that arrived `millis` after its
    /// grant. The window grows by a constant if the token met `target_ms` and at
    /// least half of the window was in use, and shrinks by an eighth if the token
    /// was late. `pending_tokens` is the number of tokens that awaited prefill until
    /// then, with those of this prompt. A target of zero changes nothing.
    pub fn adapt_prefill_window(
        &mut self,
        now: Duration,
        millis: u32,
        target_ms: u32,
        pending_tokens: u64,
    ) {
        if target_ms == 0 {
            return;
        }
        if millis <= target_ms {
            if pending_tokens * 2 >= self.prefill_window {
                self.prefill_window = (self.prefill_window + WINDOW_STEP).min(MAX_WINDOW);
            }
            return;
        }
        // Requests granted before a decrease do not show its effect, so another
        // decrease waits until they have had time to get their first token.
        let settling_time = Duration::from_millis(u64::from(target_ms));
        if self.window_decreased_at.is_none_or(|at| at + settling_time <= now) {
            self.window_decreased_at = Some(now);
            self.prefill_window = (self.prefill_window - self.prefill_window / 8).max(MIN_WINDOW);
        }
    }

    /// Sets the concurrency that the upstream announces. A concurrency limit that was
    /// at the old value follows it; a lower one is kept, capped at the new value.
    pub fn set_announced(&mut self, announced: u32) {
        let announced = announced.max(1);
        if self.concurrency_limit == self.announced {
            self.concurrency_limit = announced;
        }
        self.announced = announced;
        self.concurrency_limit = self.concurrency_limit.min(announced);
    }

    /// Adaptive concurrency limit in slots, regardless of ejection and slow start.
    pub fn concurrency_limit(&self) -> u32 {
        self.concurrency_limit
    }

    /// True while the upstream is ejected and gets no new requests.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Slots that may be used at `now`: none during an ejection, and a linearly growing
    /// share of the concurrency limit, at least one slot, during a slow start.
    pub fn slots(&self, now: Duration, settings: &PlacementSettings) -> u32 {
        if self.is_ejected() {
            return 0;
        }
        let Some(start) = self.slow_start else { return self.concurrency_limit };
        let total = settings.slow_start.as_millis().max(1);
        let elapsed = now.saturating_sub(start).as_millis().min(total);
        let share = u128::from(self.concurrency_limit) * elapsed / total;
        u32::try_from(share).unwrap_or(self.concurrency_limit).max(1)
    }

    /// Ends an ejection or slow start that is over. Returns true when the number of
    /// slots may have changed, which includes every call during a slow start.
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

    /// Time at which [`UpstreamCapacity::slots`] next changes without an event.
    pub fn next_change(&self, now: Duration, settings: &PlacementSettings) -> Option<Duration> {
        if self.ejected_until.is_some() {
            return self.ejected_until;
        }
        self.slow_start
            .map(|start| (now + settings.slow_start_step).min(start + settings.slow_start))
    }

    /// Ends an ejection and begins a slow start.
    pub fn readmit(&mut self, now: Duration) {
        self.ejected_until = None;
        self.failures = 0;
        self.slow_start = Some(now);
    }

    /// Begins a slow start at the share of the slots that is in use; an ejection goes on.
    pub fn begin_slow_start(&mut self, now: Duration, running: u32, settings: &PlacementSettings) {
        let limit = self.concurrency_limit.max(1);
        let used = settings.slow_start * running.min(limit) / limit;
        self.slow_start = Some(now.saturating_sub(used));
    }

    /// Ejects the upstream for a time that doubles with each ejection, up to
    /// `longest_ejection`.
    pub fn eject(&mut self, now: Duration, settings: &PlacementSettings) {
        let factor = 2_u32.saturating_pow(self.ejections.min(16));
        let time = settings.first_ejection.saturating_mul(factor).min(settings.longest_ejection);
        self.ejections += 1;
        self.ejected_until = Some(now + time);
    }

    /// Time at which the current ejection ends; `None` when not ejected.
    pub fn ejected_until(&self) -> Option<Duration> {
        self.ejected_until
    }

    /// True when the upstream is not ejected and its consecutive failures reach
    /// `ejection_failures`.
    pub fn is_failing(&self, settings: &PlacementSettings) -> bool {
        !self.is_ejected() && self.failures >= settings.ejection_failures
    }

    /// Records how a lease on this upstream ended. Failures count towards an ejection,
    /// a refusal lowers the concurrency limit, and a success may raise it.
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

    /// Records the number of leases of this dispatcher that run on the upstream.
    pub fn record_running(&mut self, running: u32) {
        self.peak_running = self.peak_running.max(running);
    }

    /// Records the number of requests that the upstream reports as running. The report
    /// lags behind, so it counts as overload only when it exceeds every recent count
    /// of this dispatcher's own leases: then other callers use the upstream as well.
    pub fn record_load(
        &mut self,
        now: Duration,
        settings: &PlacementSettings,
        reported: u32,
        running: u32,
    ) {
        let peak = self.peak_running.max(self.previous_peak_running).max(running);
        self.previous_peak_running = self.peak_running;
        self.peak_running = running;
        if reported > peak && reported >= self.concurrency_limit {
            self.decrease(now, settings);
        }
    }

    /// Records a first-token time in milliseconds. A short-term mean more than
    /// `slow_factor` times the long-term mean counts as overload.
    pub fn record_first_token(&mut self, now: Duration, settings: &PlacementSettings, millis: u32) {
        let sample = u64::from(millis) * FRACTION;
        if self.long_mean == 0 {
            (self.short_mean, self.long_mean) = (sample, sample);
            return;
        }
        self.short_mean = update_mean(self.short_mean, sample, SHORT_MEAN_DIVISOR);
        self.long_mean = update_mean(self.long_mean, sample, LONG_MEAN_DIVISOR);
        let slow =
            self.short_mean > self.long_mean.saturating_mul(settings.slow_first_token_factor);
        if slow && self.short_mean > settings.min_slow_first_token_ms * FRACTION {
            self.decrease(now, settings);
        }
    }

    fn decrease(&mut self, now: Duration, settings: &PlacementSettings) {
        if self.decreased_at.is_some_and(|at| now < at + settings.decrease_interval) {
            return;
        }
        self.decreased_at = Some(now);
        self.concurrency_limit =
            (self.concurrency_limit * settings.quarters_after_decrease / 4).max(1);
    }

    fn increase(&mut self, now: Duration, settings: &PlacementSettings) {
        let last = self.increased_at.max(self.decreased_at);
        if self.concurrency_limit >= self.announced
            || last.is_some_and(|at| now < at + settings.increase_interval)
        {
            return;
        }
        self.increased_at = Some(now);
        self.concurrency_limit += 1;
    }
}

fn update_mean(mean: u64, sample: u64, divisor: u64) -> u64 {
    mean - mean / divisor + sample / divisor
}

/// Largest number of upstreams that may be ejected at once in a pool of `members`.
///
/// ```
/// use baobabfall_core::placement::ejection_limit;
/// assert_eq!(ejection_limit(5), 2);
/// assert_eq!(ejection_limit(1), 0);
/// ```
pub fn ejection_limit(members: usize) -> usize {
    members / 2
}

/// Current work of an upstream and the limits of that work.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotLoad {
    /// Requests that run now.
    pub running: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Prompt tokens that await prefill.
    pub prefill: u64,
    /// Prompt tokens that may await prefill at once.
    pub prefill_window: u64,
    /// True when the upstream is chosen by its load only if no other one is free.
    pub last_choice: bool,
}

impl SlotLoad {
    fn is_free(&self) -> bool {
        self.running < self.slots && (self.prefill == 0 || self.prefill < self.prefill_window)
    }

    /// Utilisation of the slots or of the prefill window, whichever is higher.
    /// [`FRACTION`] means full, or more for an upstream of last choice.
    fn fraction(&self) -> u64 {
        let slots = u64::from(self.running) * FRACTION / u64::from(self.slots.max(1));
        let load = slots.max(self.prefill * FRACTION / self.prefill_window.max(1));
        if self.last_choice { FRACTION + load } else { load }
    }
}

/// Upstreams with free slots that serve one target, ordered by load within
/// each availability zone.
#[derive(Clone, Debug, Default)]
pub struct FreeSlots {
    /// Heap of upstreams by load, one per zone index.
    zones: Vec<IndexedHeap<u64>>,
    /// Number of upstreams in all zones.
    len: usize,
}

/// Preferences of one request for the upstream that serves it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotPreference<'a> {
    /// Index of the router's availability zone.
    pub zone: usize,
    /// Upstream that is likely to have the prompt prefix in its cache.
    pub affine: Option<usize>,
    /// Upstream to use only when no other upstream is free.
    pub avoid: Option<usize>,
    /// Upstreams that must not be used.
    pub excluded: &'a [usize],
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

    /// Sets the load of an upstream, or removes the upstream when it has no free slot.
    pub fn set(&mut self, zone: usize, upstream: usize, load: SlotLoad) {
        if self.zones.len() <= zone {
            self.zones.resize_with(zone + 1, IndexedHeap::new);
        }
        let heap = &mut self.zones[zone];
        let old_len = heap.len();
        if load.is_free() {
            heap.set(upstream, load.fraction());
        } else {
            heap.remove(upstream);
        }
        self.len = self.len + heap.len() - old_len;
    }

    /// Chooses an upstream. The affine upstream comes first unless it is to be
    /// avoided; then the least loaded one, with ties going to the router's zone.
    /// The avoided upstream is chosen only when no other is free, excluded ones never.
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
    pub fn choose(&self, preference: &SlotPreference<'_>) -> Option<usize> {
        let allowed = |upstream: &usize| !preference.excluded.contains(upstream);
        let affine = preference.affine.filter(|upstream| Some(*upstream) != preference.avoid);
        if let Some(affine) = affine.filter(allowed) {
            return Some(affine);
        }
        let best = self.zones.iter().enumerate().filter_map(|(zone, heap)| {
            let (load, upstream) = match preference.avoid {
                _ if !preference.excluded.is_empty() => heap.lowest_where(|upstream| {
                    allowed(&upstream) && Some(upstream) != preference.avoid
                }),
                Some(avoid) => heap.peek_other(avoid),
                None => heap.peek(),
            }?;
            Some((load, zone != preference.zone, upstream))
        });
        match best.min() {
            Some((_, _, upstream)) => Some(upstream),
            None => preference.avoid.filter(allowed).filter(|avoid| self.contains(*avoid)),
        }
    }

    fn contains(&self, upstream: usize) -> bool {
        self.zones.iter().any(|heap| heap.contains(upstream))
    }
}

/// Most upstreams remembered per prefix. Each further copy of a prefix takes engine
/// memory from other prefixes.
const HOLDER_LIMIT: usize = 4;

/// Fixed-size hash table from a prompt prefix to the upstreams that most recently
/// processed it and so probably have it in their cache.
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
/// hints.record(now, 13, 1); // maps to the same slot as prefix 5
/// assert!(hints.find(now, lifetime, 5).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct PrefixHints {
    slots: Vec<PrefixSlot>,
}

#[derive(Clone, Debug, Default)]
struct PrefixSlot {
    prefix: u64,
    /// Upstreams with the time of their last use of the prefix, the latest first.
    holders: Vec<(usize, Duration)>,
}

impl PrefixHints {
    /// Creates a table with `slots` entries; prefixes with the same entry displace
    /// each other.
    pub fn new(slots: usize) -> Self {
        Self { slots: vec![PrefixSlot::default(); slots.max(1)] }
    }

    /// Records that an upstream processes a prompt with this prefix.
    pub fn record(&mut self, now: Duration, prefix: u64, upstream: usize) {
        let slot = self.slot(prefix);
        let slot = &mut self.slots[slot];
        if slot.prefix != prefix {
            slot.prefix = prefix;
            slot.holders.clear();
        }
        slot.holders.retain(|(holder, _)| *holder != upstream);
        slot.holders.truncate(HOLDER_LIMIT - 1);
        slot.holders.insert(0, (upstream, now));
    }

    /// Upstreams that processed the prefix within `lifetime`, the latest first.
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
