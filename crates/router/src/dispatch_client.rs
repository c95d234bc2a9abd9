//! Client that sends reports to the dispatcher and applies its grants.
//!
//! Reports and grants are messages on one long-lived channel to the leader. With a
//! controller that has no channels, one report is always outstanding as a long poll, and
//! changes are sent in separate reports, which the dispatcher answers at once.

use crate::leader_link::LeaderLink;
use crate::request_queue::SharedQueue;
use baobabfall_core::dispatch_messages::{DispatchAnswer, NodeIdentity, PartList};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_node::frame_channel::{ChannelError, FrameChannel};
use baobabfall_node::http_client::PeerError;
use baobabfall_node::messages::{ChannelAnswer, DISPATCH_PATH, DISPATCH_PROTOCOL, REPORT_PATH};
use std::collections::VecDeque;
use std::net::SocketAddr;
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
/// Most reports on a channel that are not answered. The dispatcher acknowledges sooner.
const UNANSWERED_LIMIT: usize = 8;
/// Longest time without a report on a channel, well below [`LOST_SILENCE`].
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(200);
/// How long the dispatcher may hold a long poll, in milliseconds.
const POLL_WAIT_MS: u32 = 200;
/// Time in which a report must be answered, in addition to the long-poll wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after an error that another leader would return as well.
const REFUSAL_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a channel that ended or was not opened.
const FAILURE_PAUSE: Duration = Duration::from_millis(25);
/// Upper bound to which the pause grows while no controller accepts a channel. The attempts of a
/// whole fleet would otherwise keep the controllers from electing a leader.
const MAX_FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// A report on a channel that is not answered yet.
#[derive(Debug)]
struct SentReport {
    sequence: u64,
    at: Instant,
    full: bool,
    awaits_answer: bool,
}

/// The reports on a channel that are not answered yet, oldest first.
#[derive(Debug, Default)]
struct SentReports {
    unanswered: VecDeque<SentReport>,
    /// Time of the last report.
    last: Option<Instant>,
}

impl SentReports {
    fn push(&mut self, report: SentReport) {
        self.last = Some(report.at);
        self.unanswered.push_back(report);
    }

    fn has_room(&self) -> bool {
        self.unanswered.len() < UNANSWERED_LIMIT
    }

    fn has_full(&self) -> bool {
        self.unanswered.iter().any(|report| report.full)
    }

    fn oldest(&self) -> Option<Instant> {
        self.unanswered.front().map(|report| report.at)
    }

    /// Removes the reports up to the sequence number `received`.
    fn take_answered(&mut self, received: u64) -> impl Iterator<Item = SentReport> {
        let count = self.unanswered.partition_point(|report| report.sequence <= received);
        self.unanswered.drain(..count)
    }
}

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

    /// Exchanges reports and grants with the leader, whichever controller that is. Runs until
    /// the task is dropped.
    pub async fn run(&self) {
        let mut pause = FAILURE_PAUSE;
        loop {
            let leader = self.link.leader();
            let (begun, answered) = (Instant::now(), self.last_answer());
            match self.link.open_channel(leader, DISPATCH_PATH, DISPATCH_PROTOCOL).await {
                Ok(channel) => self.run_channel(leader, channel).await,
                Err(error) if error.kind() == ErrorKind::NotFound => self.run_exchanges().await,
                Err(error) => self.record_failure(leader, &error, begun).await,
            }
            if self.last_answer() > answered {
                pause = FAILURE_PAUSE;
            }
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.link.leader_changed() => pause = FAILURE_PAUSE,
            }
            pause = (pause * 2).min(MAX_FAILURE_PAUSE);
        }
    }

    /// Reports changes at once, with a bounded number of reports that are not answered, so that
    /// changes are combined while the leader is late. Grants arrive at any time. Returns when the
    /// channel has ended.
    async fn run_channel(&self, leader: SocketAddr, mut channel: FrameChannel) {
        let mut sent = SentReports::default();
        let mut is_due = true;
        let mut next_check = Instant::now();
        let ended = loop {
            if is_due && sent.has_room() {
                is_due = false;
                next_check = Instant::now() + CHARGE_INTERVAL;
                if let Err(error) = self.send_report(&mut channel, &mut sent).await {
                    log::debug!("dispatch report failed: {error}");
                    break ErrorKind::PeerUnreachable;
                }
            }
            let timeout = sent.oldest().map(|oldest| oldest + ANSWER_TIMEOUT);
            let wake_at = match timeout {
                Some(timeout) if !sent.has_room() => timeout,
                Some(timeout) => timeout.min(next_check),
                None => next_check,
            };
            tokio::select! {
                answer = channel.read::<ChannelAnswer>() => match answer {
                    Ok((answer, length)) => {
                        self.link.count_bytes("in", length);
                        if let Err(kind) = self.apply_channel_answer(answer, &mut sent) {
                            break kind;
                        }
                    }
                    Err(error) => {
                        log::debug!("dispatch channel ended: {error}");
                        break ErrorKind::PeerUnreachable;
                    }
                },
                () = self.queue.changed(), if sent.has_room() => {
                    let hold = {
                        let book = self.queue.book();
                        book.has_unsent_changes().then(|| book.report_hold())
                    };
                    if let Some(hold) = hold {
                        let due_at = sent.last.map_or_else(Instant::now, |last| last + hold);
                        is_due = due_at <= Instant::now();
                        next_check = next_check.min(due_at);
                    }
                }
                () = tokio::time::sleep_until(wake_at) => {
                    let now = Instant::now();
                    if timeout.is_some_and(|timeout| timeout <= now) {
                        log::debug!("the dispatcher did not answer in time");
                        break ErrorKind::DeadlineAfterDispatch;
                    }
                    let is_silent = sent.last.is_none_or(|last| now >= last + KEEPALIVE_INTERVAL);
                    is_due = is_silent || self.queue.book().has_unsent_changes();
                    next_check = now + CHARGE_INTERVAL;
                }
            }
        };
        self.queue.book().record_channel_end(sent.has_full());
        match ended {
            // The leader may only be slow, so that its absence is not taken for known.
            ErrorKind::DeadlineAfterDispatch => self.link.leader_failed(leader),
            ErrorKind::NotLeader | ErrorKind::PeerUnreachable => {
                self.refused_ms.fetch_max(self.elapsed_ms(), Ordering::Relaxed);
                self.link.leader_failed(leader);
            }
            _ => tokio::time::sleep(REFUSAL_PAUSE).await,
        }
    }

    async fn send_report(
        &self,
        channel: &mut FrameChannel,
        sent: &mut SentReports,
    ) -> Result<(), ChannelError> {
        let report = {
            let mut book = self.queue.book();
            let report = book.build_report(&self.identity, &self.zone, 0);
            book.record_delivery();
            report
        };
        sent.push(SentReport {
            sequence: report.sequence,
            at: Instant::now(),
            full: report.full,
            awaits_answer: report.awaits_answer(),
        });
        let length = channel.write(&report).await?;
        self.link.count_bytes("out", length);
        Ok(())
    }

    /// True if there is anything that the dispatcher does not know yet.
    fn has_changes(&self) -> bool {
        let book = self.queue.book();
        book.is_changed() || book.has_new_charges()
    }

    fn apply_channel_answer(
        &self,
        message: ChannelAnswer,
        sent: &mut SentReports,
    ) -> Result<(), ErrorKind> {
        if let Some(code) = message.refusal {
            return Err(ErrorKind::from_code(&code).unwrap_or(ErrorKind::Internal));
        }
        let applied = message.answer.is_none_or(|answer| self.apply(answer));
        if !applied {
            return Err(ErrorKind::NotLeader);
        }
        for report in sent.take_answered(message.received) {
            if report.awaits_answer {
                self.queue.tally().count_report(report.at.elapsed());
            }
        }
        Ok(())
    }

    /// Exchanges reports one by one with a controller of a release without channels. Returns
    /// after a failure.
    async fn run_exchanges(&self) {
        tokio::select! {
            () = self.run_poll() => {}
            () = self.run_changes() => {}
        }
        // The report of the other task may have been lost.
        self.queue.book().report_lost(true);
    }

    /// Keeps one long poll outstanding until one fails.
    async fn run_poll(&self) {
        while self.report(POLL_WAIT_MS).await {}
    }

    /// Reports changes at once until a report fails. Changes that occur before the answer
    /// arrives are combined in the next report.
    async fn run_changes(&self) {
        loop {
            let _ = tokio::time::timeout(CHARGE_INTERVAL, self.queue.changed()).await;
            if self.has_changes() && !self.report(0).await {
                return;
            }
        }
    }

    async fn report(&self, wait_ms: u32) -> bool {
        let report = self.queue.book().build_report(&self.identity, &self.zone, wait_ms);
        let full = report.full;
        let timeout = ANSWER_TIMEOUT + Duration::from_millis(wait_ms.into());
        let leader = self.link.leader();
        let sent = Instant::now();
        match self.link.call(leader, REPORT_PATH, &report, timeout).await {
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
                self.queue.book().report_lost(full);
                self.record_failure(leader, &error, sent).await;
                false
            }
        }
    }

    /// Records the failure of a call that began at `begun`. Another leader is tried next,
    /// unless it would return the same error.
    async fn record_failure(&self, leader: SocketAddr, error: &PeerError, begun: Instant) {
        log::debug!("dispatcher not reached: {error}");
        if !matches!(error.kind(), ErrorKind::NotLeader | ErrorKind::PeerUnreachable) {
            tokio::time::sleep(REFUSAL_PAUSE).await;
            return;
        }
        self.link.leader_failed(leader);
        if begun.elapsed() < REFUSAL_THRESHOLD {
            self.refused_ms.fetch_max(self.elapsed_ms(), Ordering::Relaxed);
        }
    }

    fn apply(&self, mut answer: DispatchAnswer) -> bool {
        let neighbours = answer.neighbours.take();
        let (term, resync, parts) = (answer.term, answer.resync, answer.parts.clone());
        let Some(decisions) = self.queue.book().apply_answer(answer) else {
            log::warn!(event = "dispatch_answer_stale", term = term; "ignoring a dispatch answer from an older term");
            return false;
        };
        self.answered_ms.fetch_max(self.elapsed_ms(), Ordering::Relaxed);
        self.queue.deliver(decisions);
        if let Some(list) = neighbours {
            self.queue.with_neighbours(|book, now| book.replace(now, list));
        }
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
