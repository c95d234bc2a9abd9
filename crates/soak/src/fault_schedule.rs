//! Schedule of the faults of one run, derived only from the seed, the length of the run and the
//! number of processes.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Percentage of a run in which faults begin. The rest is left for recovery,
/// for planned router stops without other faults, and for the final checks.
const FAULT_WINDOW_PERCENT: u64 = 55;
/// Shortest and longest duration of a fault in the dense style, in milliseconds.
const DENSE_DURATION_MS: (u64, u64) = (200, 3_500);
/// Mean time between the starts of two faults in the dense style, in milliseconds.
/// Most faults last longer than that, so most of them overlap.
const MEAN_START_INTERVAL_MS: u64 = 700;

/// Number of processes of each role and of stand-in upstreams in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SiteSize {
    /// Number of controller processes.
    pub controllers: usize,
    /// Number of router processes.
    pub routers: usize,
    /// Number of stand-in upstreams, alternating model engines and plain services.
    pub upstreams: usize,
}

/// Shortest and longest duration of a fault in the lasting style, in milliseconds.
/// The in-force check exempts a router for 3 s after a controller fault, so only a
/// longer fault shows what the router does while the controller is lost.
const LASTING_DURATION_MS: (u64, u64) = (5_000, 6_500);
/// Shortest and longest pause between two faults in the lasting style, in milliseconds.
/// It exceeds 3 s because a second fault within that time would exempt the router again.
const LASTING_PAUSE_MS: (u64, u64) = (3_200, 4_500);

/// Fewest and most controllers that are stopped in one series.
const SERIES_LENGTH: (usize, usize) = (2, 3);
/// Longest time between two stops of a series, in milliseconds. A silent voter is removed after
/// 3 s, which must not be what saves the group.
const SERIES_GAP_MS: u64 = 1_000;
/// Shortest and longest time until a controller of a series is started again, in milliseconds.
const SERIES_DOWN_MS: (u64, u64) = (1_500, 4_000);
/// Shortest and longest pause between two series, in milliseconds. In a short one, not all
/// controllers have joined the group again.
const SERIES_PAUSE_MS: (u64, u64) = (500, 4_000);

/// Style of a fault schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultStyle {
    /// Short, overlapping faults of every kind.
    Dense,
    /// Loss of one controller at a time, for several seconds.
    Lasting,
    /// Planned stops of several controllers of an open group, one after the other.
    Series,
}

/// Network fault that a proxy applies to the connections that pass through it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Each chunk of bytes is forwarded after this delay.
    Delay(Duration),
    /// Open connections are closed, and new ones are closed immediately.
    Reset,
    /// Connections stay open, but no byte is forwarded in either direction.
    Silence,
    /// No byte is forwarded to the controller; bytes that it sends are.
    OneWay,
}

/// Misbehaviour of an upstream. All but `Crash` affect only a fraction of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamFault {
    /// It is killed and restarts with a higher incarnation number.
    Crash,
    /// It closes connections in the middle of responses.
    Break,
    /// It rejects requests and states that they were not run.
    Refuse,
    /// It delays its responses.
    Late,
    /// It labels its responses with the id of another request.
    Mislabel,
    /// It ends responses before their declared length.
    Short,
}

/// Kind of a fault, with the index of the process or link that it affects, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A controller receives SIGKILL and is restarted when the fault ends.
    KillController(usize),
    /// A controller receives SIGKILL; a partial record is appended to its log before the restart.
    TearLog(usize),
    /// A controller receives SIGSTOP, then SIGCONT.
    PauseController(usize),
    /// A controller receives SIGTERM and is restarted.
    StopController(usize),
    /// A router receives SIGKILL and is restarted.
    KillRouter(usize),
    /// A router receives SIGSTOP, then SIGCONT.
    PauseRouter(usize),
    /// A router receives SIGTERM and is restarted.
    StopRouter(usize),
    /// A network fault affects all connections from routers and other controllers to a controller.
    Link(usize, LinkFault),
    /// An upstream misbehaves as described by the `UpstreamFault`.
    Upstream(usize, UpstreamFault),
}

impl FaultKind {
    /// Short description that the report prints.
    pub fn label(self) -> &'static str {
        match self {
            Self::KillController(_) => "controller killed",
            Self::TearLog(_) => "log torn",
            Self::PauseController(_) => "controller paused",
            Self::StopController(_) => "controller stopped",
            Self::KillRouter(_) => "router killed",
            Self::PauseRouter(_) => "router paused",
            Self::StopRouter(_) => "router stopped",
            Self::Link(_, LinkFault::Delay(_)) => "link delayed",
            Self::Link(_, LinkFault::Reset) => "link reset",
            Self::Link(_, LinkFault::Silence) => "link silent",
            Self::Link(_, LinkFault::OneWay) => "link one-way",
            Self::Upstream(_, UpstreamFault::Crash) => "upstream crashed",
            Self::Upstream(_, UpstreamFault::Break) => "upstream breaks answers",
            Self::Upstream(_, UpstreamFault::Refuse) => "upstream refuses",
            Self::Upstream(_, UpstreamFault::Late) => "upstream late",
            Self::Upstream(_, UpstreamFault::Mislabel) => "upstream mislabels",
            Self::Upstream(_, UpstreamFault::Short) => "upstream cuts answers",
        }
    }

    /// The process or link that the fault affects, as a number per kind and an index.
    /// Each one is subject to at most one fault at a time.
    fn target(self) -> (u8, usize) {
        match self {
            Self::KillController(index)
            | Self::TearLog(index)
            | Self::PauseController(index)
            | Self::StopController(index) => (0, index),
            Self::KillRouter(index) | Self::PauseRouter(index) | Self::StopRouter(index) => {
                (1, index)
            }
            Self::Link(index, _) => (2, index),
            Self::Upstream(index, _) => (3, index),
        }
    }
}

/// A fault with its scheduled start and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Start of the fault, measured from the start of the load.
    pub at: Duration,
    /// Time from the start of the fault to its end.
    pub duration: Duration,
    /// Kind of the fault and its target.
    pub kind: FaultKind,
}

/// Schedule of a run in the lasting style, in which one controller at a time is lost.
/// The controllers take turns, so that the leader is among those that are lost.
///
/// ```
/// use baobabfall_soak::fault_schedule::{SiteSize, plan_lasting_faults};
/// use std::time::Duration;
/// let size = SiteSize { controllers: 3, routers: 3, upstreams: 4 };
/// let faults = plan_lasting_faults(7, Duration::from_secs(40), size);
/// assert!(faults.windows(2).all(|pair| pair[0].at + pair[0].duration < pair[1].at));
/// ```
pub fn plan_lasting_faults(seed: u64, span: Duration, size: SiteSize) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let window_end = duration_ms(span) * FAULT_WINDOW_PERCENT / 100;
    let mut faults = Vec::new();
    let mut at = rng.random_range(800..2_000);
    let first = rng.random_range(0..size.controllers);
    while at < window_end {
        let controller = (first + faults.len()) % size.controllers;
        let kind = match rng.random_range(0..6) {
            0 => FaultKind::KillController(controller),
            1 | 2 => FaultKind::PauseController(controller),
            3 => FaultKind::Link(controller, LinkFault::OneWay),
            4 => FaultKind::Link(controller, LinkFault::Reset),
            _ => FaultKind::Link(controller, LinkFault::Silence),
        };
        let duration = rng.random_range(LASTING_DURATION_MS.0..LASTING_DURATION_MS.1);
        faults.push(PlannedFault {
            at: Duration::from_millis(at),
            duration: Duration::from_millis(duration),
            kind,
        });
        at += duration + rng.random_range(LASTING_PAUSE_MS.0..LASTING_PAUSE_MS.1);
    }
    faults
}

/// Schedule of a run in which controllers of an open group are stopped as planned, several within
/// three seconds, while routers and upstreams have faults of the dense style.
///
/// ```
/// use baobabfall_soak::fault_schedule::{FaultKind, SiteSize, plan_series_faults};
/// use std::time::Duration;
/// let size = SiteSize { controllers: 6, routers: 3, upstreams: 4 };
/// let faults = plan_series_faults(7, Duration::from_secs(16), size);
/// let stops = faults.iter().filter(|fault| matches!(fault.kind, FaultKind::StopController(_)));
/// assert!(stops.count() >= 2);
/// ```
pub fn plan_series_faults(seed: u64, span: Duration, size: SiteSize) -> Vec<PlannedFault> {
    let mut faults = plan_faults(seed, span, size);
    faults.retain(|fault| {
        !matches!(
            fault.kind,
            FaultKind::KillController(_)
                | FaultKind::TearLog(_)
                | FaultKind::PauseController(_)
                | FaultKind::StopController(_)
                | FaultKind::Link(..)
        )
    });
    let mut rng = StdRng::seed_from_u64(seed);
    let window_end = duration_ms(span) * FAULT_WINDOW_PERCENT / 100;
    let mut at = rng.random_range(800..2_000);
    while at < window_end {
        let count = rng.random_range(SERIES_LENGTH.0..=SERIES_LENGTH.1);
        let first = rng.random_range(0..size.controllers);
        let mut end = at;
        for number in 0..count {
            let duration = rng.random_range(SERIES_DOWN_MS.0..SERIES_DOWN_MS.1);
            faults.push(PlannedFault {
                at: Duration::from_millis(at),
                duration: Duration::from_millis(duration),
                kind: FaultKind::StopController((first + number) % size.controllers),
            });
            end = end.max(at + duration);
            at += rng.random_range(0..SERIES_GAP_MS);
        }
        at = end + rng.random_range(SERIES_PAUSE_MS.0..SERIES_PAUSE_MS.1);
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Schedule of a run in the dense style, ordered by the start of the faults.
///
/// ```
/// use baobabfall_soak::fault_schedule::{SiteSize, plan_faults};
/// use std::time::Duration;
/// let size = SiteSize { controllers: 3, routers: 3, upstreams: 4 };
/// let span = Duration::from_secs(20);
/// assert_eq!(plan_faults(7, span, size), plan_faults(7, span, size));
/// ```
pub fn plan_faults(seed: u64, span: Duration, size: SiteSize) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let window_end = duration_ms(span) * FAULT_WINDOW_PERCENT / 100;
    let mut faults: Vec<PlannedFault> = Vec::new();
    let mut at = rng.random_range(0..MEAN_START_INTERVAL_MS);
    while at < window_end {
        let kind = random_kind(&mut rng, size);
        let duration =
            rng.random_range(DENSE_DURATION_MS.0..DENSE_DURATION_MS.1).min(window_end - at);
        let fault = PlannedFault {
            at: Duration::from_millis(at),
            duration: Duration::from_millis(duration),
            kind,
        };
        let target_busy = faults
            .iter()
            .any(|prev| prev.kind.target() == kind.target() && prev.at + prev.duration >= fault.at);
        if !target_busy {
            faults.push(fault);
        }
        at += rng.random_range(0..2 * MEAN_START_INTERVAL_MS);
    }
    faults
}

fn duration_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn random_kind(rng: &mut StdRng, size: SiteSize) -> FaultKind {
    let controller = rng.random_range(0..size.controllers);
    let router = rng.random_range(0..size.routers);
    let upstream = rng.random_range(0..size.upstreams);
    match rng.random_range(0..17) {
        0 => FaultKind::KillController(controller),
        1 => FaultKind::TearLog(controller),
        2 => FaultKind::PauseController(controller),
        3 => FaultKind::StopController(controller),
        4 => FaultKind::KillRouter(router),
        5 => FaultKind::PauseRouter(router),
        6 | 7 => FaultKind::StopRouter(router),
        8 => {
            let delay = Duration::from_millis(rng.random_range(5..200));
            FaultKind::Link(controller, LinkFault::Delay(delay))
        }
        9 => FaultKind::Link(controller, LinkFault::Reset),
        10 => FaultKind::Link(controller, LinkFault::Silence),
        11 => FaultKind::Link(controller, LinkFault::OneWay),
        12 => FaultKind::Upstream(upstream, UpstreamFault::Crash),
        13 => FaultKind::Upstream(upstream, UpstreamFault::Break),
        14 => FaultKind::Upstream(upstream, UpstreamFault::Refuse),
        15 => FaultKind::Upstream(upstream, UpstreamFault::Late),
        _ => match rng.random_bool(0.5) {
            true => FaultKind::Upstream(upstream, UpstreamFault::Mislabel),
            false => FaultKind::Upstream(upstream, UpstreamFault::Short),
        },
    }
}
