//! Reports to the dispatcher and grants from it.
//!
//! One report is outstanding as a long poll; changes are reported beside it
//! and answered at once.

use crate::leader_link::LeaderLink;
use crate::request_queue::SharedQueue;
use baobabfall_core::dispatch_messages::{DispatchAnswer, NodeIdentity};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_node::messages::REPORT_PATH;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Silence of the dispatcher after which it counts as lost.
pub const LOST_SILENCE: Duration = Duration::from_millis(700);
/// The same when the leader is known to be gone: waiting longer would leave
/// slots idle, of which 90% must serve until the next leader grants.
const REFUSED_SILENCE: Duration = Duration::from_millis(60);
/// A failure that comes sooner is no timeout.
const REFUSAL_TIME: Duration = Duration::from_millis(400);
/// How often charges of running streams are reported.
const CHARGE_INTERVAL: Duration = Duration::from_millis(100);
/// How long the dispatcher may hold a long poll, in milliseconds.
const POLL_WAIT_MS: u32 = 200;
/// Time in which a report must be answered, beyond the time it may be held.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a refusal that the next leader would repeat.
const REFUSAL_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a failed report.
const FAILURE_PAUSE: Duration = Duration::from_millis(25);

/// Exchange of reports and grants with the dispatcher.
#[derive(Debug)]
pub struct DispatchClient {
    queue: Arc<SharedQueue>,
    link: Arc<LeaderLink>,
    identity: NodeIdentity,
    zone: String,
    started: Instant,
    answered_ms: AtomicU64,
    refused_ms: AtomicU64,
}

impl DispatchClient {
    /// A client that reports the content of `queue`.
    pub fn new(
        queue: Arc<SharedQueue>,
        link: Arc<LeaderLink>,
        identity: NodeIdentity,
        zone: String,
    ) -> Self {
        let started = Instant::now();
        Self {
            queue,
            link,
            identity,
            zone,
            started,
            answered_ms: AtomicU64::new(0),
            refused_ms: AtomicU64::new(0),
        }
    }

    /// Time since the dispatcher answered last, or since the start.
    pub fn silence(&self) -> Duration {
        self.elapsed().saturating_sub(self.last_answer())
    }

    /// True when no dispatcher answers: after a long silence, or after a short
    /// one when the leader's connection broke or it said that it does not lead.
    pub fn is_lost(&self) -> bool {
        let answered = self.answered_ms.load(Ordering::Relaxed);
        let refused = answered > 0 && self.refused_ms.load(Ordering::Relaxed) > answered;
        let limit = if refused { REFUSED_SILENCE } else { LOST_SILENCE };
        self.silence() >= limit
    }

    /// When the dispatcher answered last, since the start of the client.
    pub fn last_answer(&self) -> Duration {
        Duration::from_millis(self.answered_ms.load(Ordering::Relaxed))
    }

    /// Time since the start of the client.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Keeps one long poll outstanding.
    pub async fn run_poll(&self) {
        loop {
            if !self.report(POLL_WAIT_MS).await {
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }

    /// Reports a change at once; changes that follow before the answer share
    /// the next report.
    pub async fn run_changes(&self) {
        loop {
            let _ = tokio::time::timeout(CHARGE_INTERVAL, self.queue.changed()).await;
            let needed = {
                let book = self.queue.book();
                book.is_changed() || book.has_new_charges()
            };
            if !needed {
                continue;
            }
            if !self.report(0).await {
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }

    async fn report(&self, wait_ms: u32) -> bool {
        let report = self.queue.book().build_report(&self.identity, &self.zone, wait_ms);
        let full = report.full;
        let timeout = ANSWER_TIMEOUT + Duration::from_millis(wait_ms.into());
        let leader = self.link.leader();
        let sent = Instant::now();
        match self.link.call_leader(REPORT_PATH, &report, timeout).await {
            Ok(answer) => {
                let applied = self.apply(answer);
                if !applied {
                    self.link.leader_failed(leader);
                }
                applied
            }
            Err(error) => {
                log::debug!("dispatch report not answered: {error}");
                self.queue.book().report_lost(full);
                let kind = error.kind();
                if !matches!(kind, ErrorKind::NotLeader | ErrorKind::PeerUnreachable) {
                    tokio::time::sleep(REFUSAL_PAUSE).await;
                } else if sent.elapsed() < REFUSAL_TIME {
                    self.refused_ms.fetch_max(self.elapsed_ms(), Ordering::Relaxed);
                }
                false
            }
        }
    }

    fn apply(&self, answer: DispatchAnswer) -> bool {
        let (term, resync) = (answer.term, answer.resync);
        let Some(verdicts) = self.queue.book().apply_answer(answer) else {
            log::warn!(event = "dispatch_answer_stale", term = term; "dispatch answer of an older term rejected");
            return false;
        };
        self.answered_ms.fetch_max(self.elapsed_ms(), Ordering::Relaxed);
        self.queue.deliver(verdicts);
        if resync {
            self.queue.notify();
        }
        true
    }
}
