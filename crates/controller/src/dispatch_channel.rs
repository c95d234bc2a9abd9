//! The leader's end of the dispatch channels: reads reports of routers and sends them grants.

use crate::dispatch_service::{ChannelSeat, DispatchService};
use baobabfall_core::dispatch_messages::{DispatchAnswer, DispatchReport, SlotGrant};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_node::frame_channel::{ChannelError, FrameChannel, PendingChannel};
use baobabfall_node::messages::ChannelAnswer;
use baobabfall_node::stop_signal::{StopPhase, StopSignal};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Time without a report after which a channel is closed. Routers report at least five times
/// a second.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// Time after which a report is acknowledged that needs no other answer.
const ACKNOWLEDGE_DELAY: Duration = Duration::from_millis(100);
/// Reports that are acknowledged together without a delay: half of those that a router may have
/// sent without an answer.
const UNACKNOWLEDGED_LIMIT: u32 = 4;

/// Serves one channel until it breaks, this controller stops dispatching, or the router opens
/// another one.
pub async fn serve_channel(
    service: DispatchService,
    pending: PendingChannel,
    mut signal: StopSignal,
) {
    let serving = async {
        let mut channel = pending.open().await?;
        let mut served = ServedChannel {
            service,
            received: 0,
            unanswered: 0,
            acknowledge_at: Instant::now(),
            silent_at: Instant::now() + SILENCE_LIMIT,
            sent: SentGrants::default(),
        };
        served.run(&mut channel).await
    };
    let result = tokio::select! {
        result = serving => result,
        () = signal.reached(StopPhase::Draining) => return,
    };
    if let Err(error) = result {
        log::debug!("dispatch channel ended: {error}");
    }
}

/// Grants that were sent on a channel. The connection delivers them or breaks, so that none is
/// sent twice on the same channel.
#[derive(Debug, Default)]
struct SentGrants {
    term: u64,
    number: u64,
}

impl SentGrants {
    fn keep_new(&mut self, term: u64, grants: &mut Vec<SlotGrant>) {
        if term != self.term {
            *self = Self { term, number: 0 };
        }
        grants.retain(|grant| grant.lease.number > self.number);
        self.number = grants.last().map_or(self.number, |grant| grant.lease.number);
    }
}

struct ServedChannel {
    service: DispatchService,
    /// Sequence number of the latest report.
    received: u64,
    /// Reports since the last answer.
    unanswered: u32,
    /// Time at which they are acknowledged, if no grant is sent before.
    acknowledge_at: Instant,
    /// Time at which the router counts as gone.
    silent_at: Instant,
    sent: SentGrants,
}

impl ServedChannel {
    async fn run(&mut self, channel: &mut FrameChannel) -> Result<(), ChannelError> {
        let reading = tokio::time::timeout(SILENCE_LIMIT, self.read_report(channel)).await;
        let first = reading.map_err(std::io::Error::from)??;
        let seat = match self.service.take_seat(&first) {
            Ok(seat) => seat,
            Err(kind) => return self.refuse(channel, kind).await,
        };
        let result = self.serve_seat(channel, &seat, &first).await;
        self.service.leave_seat(&seat);
        result
    }

    async fn serve_seat(
        &mut self,
        channel: &mut FrameChannel,
        seat: &ChannelSeat,
        first: &DispatchReport,
    ) -> Result<(), ChannelError> {
        let mut submitted = self.service.submit(seat, first);
        loop {
            if let Err(kind) = submitted {
                return self.refuse(channel, kind).await;
            }
            tokio::select! {
                () = seat.woken() => {}
                () = sleep_until(self.wake_at()) => {
                    if self.unanswered == 0 {
                        return Err(ChannelError::Closed);
                    }
                }
                report = self.read_report(channel) => {
                    submitted = self.service.submit(seat, &report?);
                    continue;
                }
            }
            match self.service.take_answer(seat) {
                Ok(Some(answer)) => self.send(channel, answer).await?,
                Ok(None) => {
                    // Asks again, since the wake-up has been used.
                    self.unanswered = self.unanswered.max(1);
                    self.acknowledge_at = Instant::now() + ACKNOWLEDGE_DELAY;
                }
                Err(kind) => return self.refuse(channel, kind).await,
            }
        }
    }

    async fn send(
        &mut self,
        channel: &mut FrameChannel,
        mut answer: DispatchAnswer,
    ) -> Result<(), ChannelError> {
        self.sent.keep_new(answer.term, &mut answer.grants);
        self.unanswered = 0;
        let received = self.received;
        channel.write(&ChannelAnswer { received, answer: Some(answer), refusal: None }).await?;
        Ok(())
    }

    /// Time at which the reports are acknowledged, or at which the channel is closed if there are
    /// none.
    fn wake_at(&self) -> Instant {
        if self.unanswered > 0 { self.acknowledge_at } else { self.silent_at }
    }

    async fn read_report(
        &mut self,
        channel: &mut FrameChannel,
    ) -> Result<DispatchReport, ChannelError> {
        let (report, _) = channel.read::<DispatchReport>().await?;
        self.received = report.sequence;
        let now = Instant::now();
        self.silent_at = now + SILENCE_LIMIT;
        if self.unanswered == 0 {
            self.acknowledge_at = now + ACKNOWLEDGE_DELAY;
        }
        self.unanswered += 1;
        if self.unanswered >= UNACKNOWLEDGED_LIMIT {
            self.acknowledge_at = now;
        }
        Ok(report)
    }

    /// Tells the router why the channel is closed.
    async fn refuse(
        &self,
        channel: &mut FrameChannel,
        kind: ErrorKind,
    ) -> Result<(), ChannelError> {
        let refusal = Some(kind.answer().code.to_owned());
        channel.write(&ChannelAnswer { received: self.received, answer: None, refusal }).await?;
        Ok(())
    }
}
