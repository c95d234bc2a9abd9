//! Client that sends reports to the dispatcher and applies its grants.
//!
//! One report is always outstanding as a long poll. Changes are sent in separate
//! reports, which the dispatcher answers at once.

use crate::leader_link::LeaderLink;
use crate::request_queue::SharedQueue;
use baobabfall_core::dispatch_messages::{DispatchAnswer, NodeIdentity, PartList};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_node::messages::REPORT_PATH;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Time without an answer after which the dispatcher is considered unreachable.
pub const LOST_SILENCE: Duration = Duration::from_millis(700);
/// Value used instead of [`LOST_SILENCE`] once the leader is known to be gone. A
/// longer wait would leave slots idle, of which 90% must stay in use until the next
/// leader grants slots.
const REFUSED_SILENCE: Duration = Duration::from_millis(60);
/// A call that fails sooner than this was refused and did not time out.
const REFUSAL_THRESHOLD: Duration = Duration::from_millis(400);
/// Interval at which the charges of running requests are reported.
const CHARGE_INTERVAL: Duration = Duration::from_millis(100);
/// How long the dispatcher may hold a long poll, in milliseconds.
const POLL_WAIT_MS: u32 = 200;
/// Time in which a report must be answered, in addition to the long-poll wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after an error that another leader would return as well.
const REFUSAL_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a failed report.
const FAILURE_PAUSE: Duration = Duration::from_millis(25);

/// Exchanges reports and grants with the dispatcher, which runs at the leader.
#[derive(Debug)]
pub struct DispatchClient {
    queue: Arc<SharedQueue>,
    link: Arc<LeaderLink>,
    identity: NodeIdentity,
    zone: String,
    started: Instant,
    /// Time of the last answer, in milliseconds since the start; 0 before the first.
    answered_ms: AtomicU64,
    /// Time of the last refusal, in milliseconds since the start; 0 before the first.
    refused_ms: AtomicU64,
}

impl DispatchClient {
    /// Creates a client that reports the content of `queue`.
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

    /// Time since the dispatcher's last answer, or since the start of the client if
    /// there was none.
    pub fn silence(&self) -> Duration {
        self.elapsed().saturating_sub(self.last_answer())
    }

    /// True if the dispatcher is considered unreachable. The time without an answer
    /// until then is shorter if the connection to the leader failed or the leader
    /// answered that it no longer leads.
    pub fn is_lost(&self) -> bool {
        let answered = self.answered_ms.load(Ordering::Relaxed);
        let refused = answered > 0 && self.refused_ms.load(Ordering::Relaxed) > answered;
        let limit = if refused { REFUSED_SILENCE } else { LOST_SILENCE };
        self.silence() >= limit
    }

    /// Time of the dispatcher's last answer, measured from the start of the client;
    /// zero before the first answer.
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

    /// Keeps one long poll outstanding. Runs until the task is dropped.
    pub async fn run_poll(&self) {
        loop {
            if !self.report(POLL_WAIT_MS).await {
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }

    /// Reports changes at once. Changes that occur before the answer arrives are
    /// combined in the next report. Runs until the task is dropped.
    pub async fn run_changes(&self) {
        loop {
            let _ = tokio::time::timeout(CHARGE_INTERVAL, self.queue.changed()).await;
            let report_needed = {
                let book = self.queue.book();
                book.is_changed() || book.has_new_charges()
            };
            if !report_needed {
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
                if wait_ms == 0 {
                    self.queue.tally().count_report(sent.elapsed());
                }
                applied
            }
            Err(error) => {
                log::debug!("dispatch report failed: {error}");
                self.queue.book().report_lost(full);
                let kind = error.kind();
                if !matches!(kind, ErrorKind::NotLeader | ErrorKind::PeerUnreachable) {
                    tokio::time::sleep(REFUSAL_PAUSE).await;
                } else if sent.elapsed() < REFUSAL_THRESHOLD {
                    self.refused_ms.fetch_max(self.elapsed_ms(), Ordering::Relaxed);
                }
                false
            }
        }
    }

    fn apply(&self, answer: DispatchAnswer) -> bool {
        let (term, resync, parts) = (answer.term, answer.resync, answer.parts.clone());
        let Some(decisions) = self.queue.book().apply_answer(answer) else {
            log::warn!(event = "dispatch_answer_stale", term = term; "ignoring a dispatch answer from an older term");
            return false;
        };
        self.answered_ms.fetch_max(self.elapsed_ms(), Ordering::Relaxed);
        self.queue.deliver(decisions);
        if let Some(list) = parts {
            self.apply_part_list(&list);
        }
        if resync {
            self.queue.notify();
        }
        true
    }

    fn apply_part_list(&self, list: &PartList) {
        let added = self.queue.book().apply_part_list(list);
        // The next report confirms the list, and tells which listed parts were answered here.
        self.queue.notify();
        for part in added {
            let part = format!("{part:016x}");
            log::warn!(event = "prompt_part_quarantined", part = part; "upstreams crashed on requests with this part of a prompt; refusing them");
        }
    }
}
