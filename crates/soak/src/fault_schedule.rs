//! The faults of one run, which follow from its seed alone.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Part of a run, in percent, in which faults begin. The rest is left for
/// recovery, planned stops without other faults, and the last checks.
const FAULT_PERCENT: u64 = 55;
/// Shortest and longest time that a fault lasts, in milliseconds.
const LASTING_MS: (u64, u64) = (200, 3_500);
/// Mean time between the beginnings of two faults, in milliseconds. Faults last
/// longer than that, so most overlap.
const MEAN_PAUSE_MS: u64 = 700;

/// How many of each role and stand-in a run has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SiteSize {
    /// Controllers.
    pub controllers: usize,
    /// Routers.
    pub routers: usize,
    /// Stand-in upstreams.
    pub upstreams: usize,
}

/// Lasting faults: a loss that ends sooner than the contact time hides what a
/// router does meanwhile, and a second fault at once excuses it.
const LONG_MS: (u64, u64) = (5_000, 6_500);
/// Time between the end of a lasting fault and the next one, in milliseconds.
const LONG_PAUSE_MS: (u64, u64) = (3_200, 4_500);

/// How the faults of a run follow one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultStyle {
    /// Short ones of every kind that overlap.
    Dense,
    /// The loss of one controller at a time, for seconds.
    Lasting,
}

/// What happens to a connection that passes a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes arrive later.
    Delay(Duration),
    /// Connections break, and new ones break at once.
    Reset,
    /// Connections stay open and no byte arrives, in either direction.
    Silence,
    /// No byte arrives at the controller; its answers pass.
    OneWay,
}

/// What an upstream does wrong with a part of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamFault {
    /// It ends and starts again as a new incarnation.
    Crash,
    /// It breaks connections within answers.
    Break,
    /// It refuses requests as not run.
    Refuse,
    /// It answers late.
    Late,
    /// It names another request in its answers.
    Mislabel,
    /// It ends answers short of their length.
    Short,
}

/// One kind of fault with what it hits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A controller gets SIGKILL and starts again afterwards.
    KillController(usize),
    /// A controller gets SIGKILL, its log gets a torn tail, and it starts again.
    TearLog(usize),
    /// A controller gets SIGSTOP, then SIGCONT.
    PauseController(usize),
    /// A controller gets SIGTERM and starts again.
    StopController(usize),
    /// A router gets SIGKILL and starts again.
    KillRouter(usize),
    /// A router gets SIGSTOP, then SIGCONT.
    PauseRouter(usize),
    /// A router gets SIGTERM and starts again.
    StopRouter(usize),
    /// The connections of routers and other controllers to a controller suffer.
    Link(usize, LinkFault),
    /// An upstream misbehaves.
    Upstream(usize, UpstreamFault),
}

impl FaultKind {
    /// Name for the report.
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

    /// What the fault occupies: a process or link suffers one fault at a time.
    fn place(self) -> (u8, usize) {
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

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Beginning, since the start of the load.
    pub at: Duration,
    /// How long it lasts.
    pub lasting: Duration,
    /// What happens.
    pub kind: FaultKind,
}

/// The lasting faults of a run: one controller at a time is lost, each in its
/// turn, so that one of the losses is that of the leader.
///
/// ```
/// use baobabfall_soak::fault_schedule::{SiteSize, plan_lasting_faults};
/// use std::time::Duration;
/// let size = SiteSize { controllers: 3, routers: 3, upstreams: 4 };
/// let faults = plan_lasting_faults(7, Duration::from_secs(40), size);
/// assert!(faults.windows(2).all(|pair| pair[0].at + pair[0].lasting < pair[1].at));
/// ```
pub fn plan_lasting_faults(seed: u64, span: Duration, size: SiteSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let last = span_ms(span) * FAULT_PERCENT / 100;
    let mut faults = Vec::new();
    let mut at = random.random_range(800..2_000);
    let first = random.random_range(0..size.controllers);
    while at < last {
        let controller = (first + faults.len()) % size.controllers;
        let kind = match random.random_range(0..6) {
            0 => FaultKind::KillController(controller),
            1 | 2 => FaultKind::PauseController(controller),
            3 => FaultKind::Link(controller, LinkFault::OneWay),
            4 => FaultKind::Link(controller, LinkFault::Reset),
            _ => FaultKind::Link(controller, LinkFault::Silence),
        };
        let lasting = random.random_range(LONG_MS.0..LONG_MS.1);
        faults.push(PlannedFault {
            at: Duration::from_millis(at),
            lasting: Duration::from_millis(lasting),
            kind,
        });
        at += lasting + random.random_range(LONG_PAUSE_MS.0..LONG_PAUSE_MS.1);
    }
    faults
}

/// The faults of a run in the order of their beginnings.
///
/// ```
/// use baobabfall_soak::fault_schedule::{SiteSize, plan_faults};
/// use std::time::Duration;
/// let size = SiteSize { controllers: 3, routers: 3, upstreams: 4 };
/// let span = Duration::from_secs(20);
/// assert_eq!(plan_faults(7, span, size), plan_faults(7, span, size));
/// ```
pub fn plan_faults(seed: u64, span: Duration, size: SiteSize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let last = span_ms(span) * FAULT_PERCENT / 100;
    let mut faults: Vec<PlannedFault> = Vec::new();
    let mut at = random.random_range(0..MEAN_PAUSE_MS);
    while at < last {
        let kind = draw_kind(&mut random, size);
        let lasting = random.random_range(LASTING_MS.0..LASTING_MS.1).min(last - at);
        let fault = PlannedFault {
            at: Duration::from_millis(at),
            lasting: Duration::from_millis(lasting),
            kind,
        };
        let occupied = faults
            .iter()
            .any(|held| held.kind.place() == kind.place() && held.at + held.lasting >= fault.at);
        if !occupied {
            faults.push(fault);
        }
        at += random.random_range(0..2 * MEAN_PAUSE_MS);
    }
    faults
}

fn span_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn draw_kind(random: &mut StdRng, size: SiteSize) -> FaultKind {
    let controller = random.random_range(0..size.controllers);
    let router = random.random_range(0..size.routers);
    let upstream = random.random_range(0..size.upstreams);
    match random.random_range(0..17) {
        0 => FaultKind::KillController(controller),
        1 => FaultKind::TearLog(controller),
        2 => FaultKind::PauseController(controller),
        3 => FaultKind::StopController(controller),
        4 => FaultKind::KillRouter(router),
        5 => FaultKind::PauseRouter(router),
        6 | 7 => FaultKind::StopRouter(router),
        8 => {
            let delay = Duration::from_millis(random.random_range(5..200));
            FaultKind::Link(controller, LinkFault::Delay(delay))
        }
        9 => FaultKind::Link(controller, LinkFault::Reset),
        10 => FaultKind::Link(controller, LinkFault::Silence),
        11 => FaultKind::Link(controller, LinkFault::OneWay),
        12 => FaultKind::Upstream(upstream, UpstreamFault::Crash),
        13 => FaultKind::Upstream(upstream, UpstreamFault::Break),
        14 => FaultKind::Upstream(upstream, UpstreamFault::Refuse),
        15 => FaultKind::Upstream(upstream, UpstreamFault::Late),
        _ => match random.random_bool(0.5) {
            true => FaultKind::Upstream(upstream, UpstreamFault::Mislabel),
            false => FaultKind::Upstream(upstream, UpstreamFault::Short),
        },
    }
}
