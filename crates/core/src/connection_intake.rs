//! Decides what becomes of a new connection: it is served here, handed to a neighbour or closed
//! unread.
//!
//! It answers a flood of callers that a load balancer binds to one router. Handing over comes
//! before closing, because a connection that was handed over costs a fraction of one that is
//! served. A connection that no neighbour takes is only served here while the router keeps up with
//! what it serves already; otherwise each one that finds no place elsewhere would delay the
//! streams in progress, and those that are handed over.

use crate::admission_limit::{AdmissionLimit, LimitPace};
use std::time::Duration;

/// What a router does at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IntakeLoad {
    /// Requests that the router serves itself or is about to read.
    pub own: u32,
    /// Connections that were handed over, or are being offered, and have not ended.
    pub handed_over: u32,
}

impl IntakeLoad {
    /// All of them.
    pub fn total(self) -> u32 {
        self.own.saturating_add(self.handed_over)
    }
}

/// Limits of the connections that a router takes on.
///
/// ```
/// use baobabfall_core::connection_intake::{ConnectionIntake, IntakeLoad};
/// use std::time::Duration;
/// let mut intake = ConnectionIntake::new(500);
/// let load = IntakeLoad { own: 100, handed_over: 0 };
/// assert!(intake.admits(load) && !intake.diverts(load.own));
/// for late in 0..3 {
///     let now = Duration::from_millis(100 * late);
///     intake.observe_delay(now, Duration::from_millis(300), load);
/// }
/// assert!(intake.diverts(load.own));
/// assert!(intake.serves(load.own), "the event loop has not been late for long enough");
/// intake.observe_delay(Duration::from_millis(300), Duration::from_millis(300), load);
/// assert!(!intake.serves(load.own));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ConnectionIntake {
    /// Own requests from which on connections are offered to neighbours.
    work_limit: u32,
    /// True while neighbours have room for connections.
    has_takers: bool,
    /// Limit of the router's own requests while neighbours take the rest.
    own_work: AdmissionLimit,
    /// Limit of the router's own requests while no neighbour takes any.
    alone: AdmissionLimit,
    /// Limit of own requests and handed-over connections together while neighbours have room.
    passed_on: AdmissionLimit,
}

impl ConnectionIntake {
    /// Creates the limits of an idle router whose processor and memory carry `work_limit` requests.
    pub fn new(work_limit: u32) -> Self {
        Self {
            work_limit,
            has_takers: false,
            own_work: AdmissionLimit::new(LimitPace::OWN_WORK),
            alone: AdmissionLimit::new(LimitPace::ADMISSION),
            passed_on: AdmissionLimit::new(LimitPace::PASSED_ON),
        }
    }

    /// Records whether neighbours have room for connections.
    pub fn set_takers(&mut self, has_takers: bool) {
        self.has_takers = has_takers;
    }

    /// Records that the event loop ran a task `delay` after it was due.
    pub fn observe_delay(&mut self, now: Duration, delay: Duration, load: IntakeLoad) {
        self.own_work.observe_delay(now, delay, load.own);
        // Follows the load at all times, since neighbours may lose their room at any moment.
        self.alone.observe_delay(now, delay, load.own);
        // Handing over comes before closing, so that lateness first lowers the own requests, down
        // to the number that are served whatever neighbours take.
        let is_least = self.own_work.limit() <= LimitPace::ADMISSION.min_limit;
        let counted = if is_least { delay } else { Duration::ZERO };
        self.passed_on.observe_delay(now, counted, load.total());
    }

    /// True while the router serves fewer requests than callers ask for.
    pub fn is_saturated(&self) -> bool {
        !self.own_work.is_unbounded()
    }

    /// True while the event loop runs late, or did so lately.
    pub fn is_congested(&self, now: Duration) -> bool {
        self.alone.is_congested(now)
    }

    /// True if a new connection may be accepted. The others are closed unread.
    pub fn admits(&self, load: IntakeLoad) -> bool {
        match self.has_takers {
            true => self.passed_on.admits(load.total()),
            false => self.serves(load.own),
        }
    }

    /// True if the router should know its neighbours, because it may soon need them.
    pub fn nears_limit(&self, own: u32) -> bool {
        self.is_saturated() || own >= self.work_limit - self.work_limit / 4
    }

    /// True if an accepted connection should be offered to neighbours first.
    pub fn diverts(&self, own: u32) -> bool {
        // A request that is served here takes the time of several that are handed over.
        let sheds = || {
            let is_bounded = self.has_takers && !self.passed_on.is_unbounded();
            is_bounded && own >= LimitPace::OWN_WORK.min_limit
        };
        let is_full = || !self.own_work.admits(own) || sheds();
        own >= self.work_limit || (self.is_saturated() && is_full())
    }

    /// True if a connection that no neighbour takes is served here.
    pub fn serves(&self, own: u32) -> bool {
        let admits = match self.has_takers {
            true => own < LimitPace::ADMISSION.min_limit,
            false => self.alone.admits(own),
        };
        admits || self.own_work.admits(own)
    }
}
