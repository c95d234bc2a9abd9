//! What a router knows about the request rates that upstreams name.

use crate::dispatch_messages::{LimitList, LimitReport, UpstreamLimit};
use crate::sorted_map::SortedMap;
use crate::upstream_limits::{RequestRate, read_rate};
use std::time::Duration;

/// What one answer states about the request rate of the upstream that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateStatement {
    /// The upstream names no rate, so an earlier one has ended.
    #[default]
    Unlimited,
    /// The upstream names a rate that cannot be read; an earlier one stays in force.
    Unreadable,
    /// The upstream takes this many requests from all routers together.
    Limited(RequestRate),
}

impl RateStatement {
    /// Reads the value of the header in which an upstream names its rate, in requests per
    /// second; `None` when the answer has no such header.
    ///
    /// ```
    /// use baobabfall_core::limit_book::RateStatement;
    /// assert_eq!(RateStatement::read(None), RateStatement::Unlimited);
    /// assert_eq!(RateStatement::read(Some(b"a few")), RateStatement::Unreadable);
    /// assert!(matches!(RateStatement::read(Some(b"10.2")), RateStatement::Limited(_)));
    /// ```
    pub fn read(value: Option<&[u8]>) -> Self {
        let Some(value) = value else { return Self::Unlimited };
        let rate = std::str::from_utf8(value).ok().and_then(read_rate);
        rate.map_or(Self::Unreadable, Self::Limited)
    }
}

/// When a request was sent and its answer arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTiming {
    /// Time at which the request was sent.
    pub sent_at: Duration,
    /// Time at which the head of the answer arrived.
    pub received_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct RateRecord {
    incarnation: u64,
    /// `None` after the end of a rate, until that is acknowledged.
    rate: Option<RequestRate>,
    /// Time at which the router last learned of the rate.
    known_at: Duration,
    /// Sequence number of the first report that carries the change; `None` once it is
    /// acknowledged.
    sequence: Option<u64>,
}

/// Request rates of upstreams at one router. Each change is reported from the report with
/// the sequence number `sequence` on, until it is acknowledged.
///
/// ```
/// use baobabfall_core::limit_book::{AnswerTiming, LimitBook, RateStatement};
/// use baobabfall_core::upstream_limits::read_rate;
/// use std::time::Duration;
/// let at = |sent: u64, received: u64| AnswerTiming {
///     sent_at: Duration::from_millis(sent),
///     received_at: Duration::from_millis(received),
/// };
/// let mut book = LimitBook::default();
/// let limited = RateStatement::Limited(read_rate("2").unwrap());
/// assert!(book.record(at(10, 20), "e", 1, limited, 1).is_some());
/// let early = book.record(at(15, 25), "e", 1, RateStatement::Unlimited, 1);
/// assert!(early.is_none(), "the request was sent before the rate was known");
/// let later = book.record(at(30, 40), "e", 1, RateStatement::Unlimited, 1);
/// assert_eq!(later.unwrap().rate, None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LimitBook {
    records: SortedMap<String, RateRecord>,
    version: u64,
}

impl LimitBook {
    /// Records what an answer states, and returns the change that follows from it.
    ///
    /// An answer without a rate ends an earlier one only if its request was sent after
    /// the rate was known. Answers on different connections may overtake each other.
    pub fn record(
        &mut self,
        timing: AnswerTiming,
        upstream: &str,
        incarnation: u64,
        statement: RateStatement,
        sequence: u64,
    ) -> Option<UpstreamLimit> {
        let known = self.records.get_mut(upstream);
        if known.as_ref().is_some_and(|known| known.incarnation > incarnation) {
            return None;
        }
        let known = known.filter(|known| known.incarnation == incarnation);
        let rate = match (statement, &known) {
            (RateStatement::Limited(rate), _) => Some(rate),
            (RateStatement::Unlimited, Some(known)) if timing.sent_at > known.known_at => None,
            _ => return None,
        };
        if let Some(known) = known
            && known.rate == rate
        {
            known.known_at = timing.received_at;
            return None;
        }
        let known_at = timing.received_at;
        let record = RateRecord { incarnation, rate, known_at, sequence: Some(sequence) };
        self.records.insert(upstream.to_owned(), record);
        Some(UpstreamLimit { upstream: upstream.to_owned(), incarnation, rate })
    }

    /// Applies the dispatcher's list. Changes that it has not acknowledged stay.
    pub fn apply_list(&mut self, now: Duration, list: &LimitList) {
        if list.version < self.version {
            return;
        }
        self.version = list.version;
        let listed = |name: &str| list.limits.iter().any(|limit| limit.upstream == name);
        self.records.retain(|name, record| record.sequence.is_some() || listed(name));
        for limit in &list.limits {
            let known = self.records.get(&limit.upstream);
            let is_kept = known.is_some_and(|known| {
                known.sequence.is_some()
                    || (known.incarnation, known.rate) == (limit.incarnation, limit.rate)
            });
            if !is_kept {
                let (incarnation, rate) = (limit.incarnation, limit.rate);
                let record = RateRecord { incarnation, rate, known_at: now, sequence: None };
                self.records.insert(limit.upstream.clone(), record);
            }
        }
    }

    /// The rate of this incarnation of an upstream, if it has named one.
    pub fn rate(&self, upstream: &str, incarnation: u64) -> Option<RequestRate> {
        let record = self.records.get(upstream);
        record.filter(|record| record.incarnation == incarnation).and_then(|record| record.rate)
    }

    /// True when the router knows of no rate.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All rates that the router knows.
    pub fn limits(&self) -> Vec<UpstreamLimit> {
        self.select(|record| record.rate.is_some())
    }

    /// Forgets which list the dispatcher has sent, for a new dispatcher.
    pub fn forget_version(&mut self) {
        self.version = 0;
    }

    /// What a report contains: every change that is not acknowledged, and in a full report
    /// also the other rates, for a new dispatcher.
    pub fn report(&self, full: bool, since: u64) -> LimitReport {
        let is_new = |sequence: u64| full || sequence > since;
        let known = self.select(|record| record.sequence.is_none() && record.rate.is_some());
        LimitReport {
            version: self.version,
            changes: self.select(|record| record.sequence.is_some_and(is_new)),
            known: if full { known } else { Vec::new() },
        }
    }

    /// Records that the dispatcher has acknowledged the reports up to `since`.
    pub fn acknowledge(&mut self, since: u64) {
        for record in self.records.values_mut() {
            record.sequence = record.sequence.filter(|sequence| *sequence > since);
        }
        self.records.retain(|_, record| record.sequence.is_some() || record.rate.is_some());
    }

    /// True when there is something that the dispatcher has not acknowledged.
    pub fn is_changed(&self, since: u64) -> bool {
        self.records.values().any(|record| record.sequence.is_some_and(|first| first > since))
    }

    fn select(&self, is_selected: impl Fn(&RateRecord) -> bool) -> Vec<UpstreamLimit> {
        let selected = self.records.iter().filter(|(_, record)| is_selected(record));
        let limit = |(name, record): (&String, &RateRecord)| UpstreamLimit {
            upstream: name.clone(),
            incarnation: record.incarnation,
            rate: record.rate,
        };
        selected.map(limit).collect()
    }
}
