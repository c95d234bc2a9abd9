//! Sends a request to a second upstream when the first one answers slowly.

use crate::exchange_protocol::ExchangeProtocol;
use crate::exchange_run::ExchangeRun;
use crate::exchange_send::{OpenExchange, SendFailure, send_call};
use crate::request_queue::SlotLease;
use baobabfall_core::dispatch_messages::LeaseEnd;
use baobabfall_node::units::millis;
use opentelemetry::KeyValue;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time that a second attempt waits for a slot: a round trip to the dispatcher. A longer
/// wait means that the upstreams are full.
const SLOT_WAIT: Duration = Duration::from_millis(30);
/// Queue wait of the first attempt above which the upstreams count as full.
const FREE_QUEUE_WAIT: Duration = Duration::from_millis(15);

/// How a request with a second attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HedgeOutcome {
    /// The first upstream answered first.
    FirstAnswered,
    /// The second upstream answered first.
    SecondAnswered,
    /// Neither gave an answer that could be forwarded.
    Failed,
}

impl HedgeOutcome {
    fn label(self) -> &'static str {
        match self {
            Self::FirstAnswered => "first",
            Self::SecondAnswered => "second",
            Self::Failed => "failed",
        }
    }
}

type SendResult = Result<OpenExchange, SendFailure>;

/// True for an answer that ends the wait for the other upstream.
fn is_preferred(result: &SendResult) -> bool {
    result.as_ref().is_ok_and(|opened| !opened.parts.status.is_server_error())
}

impl<P: ExchangeProtocol> ExchangeRun<P> {
    /// Sends the request on `lease` and waits for the head of the answer. When that takes longer
    /// than for nearly all other requests of the route, sends it to another upstream as well and
    /// takes the first answer; the other attempt is cancelled by closing its connection.
    pub(crate) async fn send_attempt(
        &mut self,
        lease: SlotLease,
        last_event: Option<u64>,
    ) -> SendResult {
        let (state, call) = (Arc::clone(&self.state), Arc::clone(&self.call));
        let hedges = last_event.is_none() && call.route.kind.is_repeatable();
        if !hedges || !state.hedges_enabled() {
            return send_call(&state, &call, lease, last_event).await;
        }
        state.record_hedgeable(self.is_first_attempt());
        let sent_at = Instant::now();
        let first_upstream = lease.route().name.clone();
        let mut first = pin!(send_call(&state, &call, lease, None));
        let Some(delay) = state.hedge_delay(&call.route.name) else {
            let result = first.await;
            self.record_answer_time(sent_at, &result);
            return result;
        };
        tokio::select! {
            biased;
            result = &mut first => {
                self.record_answer_time(sent_at, &result);
                return result;
            }
            () = tokio::time::sleep(delay) => {}
        }
        let slot = tokio::select! {
            biased;
            result = &mut first => {
                self.record_answer_time(sent_at, &result);
                return result;
            }
            slot = self.take_hedge_slot(&first_upstream) => slot,
        };
        let Some(lease) = slot else {
            let result = first.await;
            self.record_answer_time(sent_at, &result);
            return result;
        };
        let second_upstream = lease.route().name.clone();
        let mut second = pin!(send_call(&state, &call, lease, None));
        self.count_attempt();
        let (mut outcome, result) = tokio::select! {
            biased;
            result = &mut first => match is_preferred(&result) {
                true => (HedgeOutcome::FirstAnswered, result),
                false => (HedgeOutcome::SecondAnswered, self.prefer(second.await, result)),
            },
            result = &mut second => match is_preferred(&result) {
                true => (HedgeOutcome::SecondAnswered, result),
                false => (HedgeOutcome::FirstAnswered, self.prefer(first.await, result)),
            },
        };
        if !is_preferred(&result) {
            outcome = HedgeOutcome::Failed;
        }
        if outcome == HedgeOutcome::FirstAnswered {
            self.record_answer_time(sent_at, &result);
        } else {
            // The first upstream took at least this long.
            state.record_answer_time(&call.route.name, sent_at.elapsed());
        }
        self.meter.count_hedge(KeyValue::new("outcome", outcome.label()));
        log::info!(
            event = "hedge_ended", request_id = call.head.request_id.as_str(),
            route = call.route.name.as_str(), first = first_upstream.as_str(),
            second = second_upstream.as_str(), answered = outcome.label(),
            delay_ms = millis(delay), elapsed_ms = millis(sent_at.elapsed());
            "a slow request was sent to a second upstream"
        );
        result
    }

    /// Returns the later of two results unless only the earlier one is an answer, and records
    /// the attempt whose result is dropped.
    fn prefer(&mut self, later: SendResult, earlier: SendResult) -> SendResult {
        let (kept, dropped) = match is_preferred(&later) || earlier.is_err() {
            true => (later, earlier),
            false => (earlier, later),
        };
        match dropped {
            Ok(opened) => opened.lease.finish(LeaseEnd::Finished),
            Err(failure) => self.record_lost_attempt(&failure),
        }
        kept
    }

    fn record_answer_time(&self, sent_at: Instant, result: &SendResult) {
        if result.is_ok() {
            self.state.record_answer_time(&self.call.route.name, sent_at.elapsed());
        }
    }

    /// Takes a slot of another upstream than `first` for a second attempt, if one is free now and
    /// the limits allow the attempt.
    async fn take_hedge_slot(&self, first: &str) -> Option<SlotLease> {
        if !self.allows_hedge(FREE_QUEUE_WAIT) {
            return None;
        }
        let lease = self.take_slot_beside(first, SLOT_WAIT).await?;
        let is_allowed = lease.route().name != first
            && self.state.router.may_send(lease.route())
            && self.state.take_hedge(&self.call.service);
        if is_allowed {
            return Some(lease);
        }
        lease.finish(LeaseEnd::Unused);
        None
    }
}
