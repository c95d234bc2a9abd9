//! Claims of protected actions, so that each runs at most once.
//!
//! A record takes 216 bytes ([`RECORD_BYTES`], checked at build time) plus the
//! text it holds (workspace, service, key, path and router name) and, once an
//! operator resolved it, the resolution. A running claim takes another copy of
//! its key.

use crate::dispatch_messages::NodeIdentity;
use crate::error_kind::ErrorKind;
use crate::phase_chart::PhaseChart;
use crate::sorted_map::SortedMap;
use crate::state_chart::ACTION_CHART;
use crate::upstream_registry::is_valid_name;
use serde::{Deserialize, Serialize};
use std::sync::LazyLock;

/// Time from the claim in which its router may dispatch the action, on the
/// router's clock from before it sent the claim.
pub const CLAIM_LEASE_MS: u64 = 10_000;
/// Log time added to the lease before a claim without an outcome counts as
/// unknown. It covers the time of the commit and of the outcome's way back.
pub const CLAIM_MARGIN_MS: u64 = 5_000;
/// Days for which a key is remembered, by log time.
pub const RETENTION_DAYS: u32 = 7;
/// Days for which an unresolved action stays listed; its key is refused as
/// expired long before.
pub const UNRESOLVED_DAYS: u32 = 30;
/// Most records, about 150 MB with 80 bytes of text each; further claims are refused.
pub const RECORD_LIMIT: usize = 500_000;
/// Longest path of an action in bytes.
pub const PATH_LIMIT_BYTES: usize = 1024;
/// Bytes that a record takes besides its text.
pub const RECORD_BYTES: usize = size_of::<(ActionKey, ActionRecord)>() + size_of::<ClaimHolder>();
const _: () = assert!(RECORD_BYTES == 216, "the module documentation states the record size");

const DAY_MS: u64 = 86_400_000;

/// Fencing token of a claim; it only grows.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken {
    /// Term of the leader that granted the claim.
    pub term: u64,
    /// Number of the claim; grows over all terms.
    pub number: u64,
}

/// What identifies a protected action.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ActionKey {
    /// Workspace of the caller.
    pub workspace: Box<str>,
    /// Service that is called.
    pub service: Box<str>,
    /// Idempotency key of the caller: `YYYYMMDD-` and 1 to 100 characters.
    pub key: Box<str>,
}

/// Claim of one protected action by a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionClaim {
    /// The action.
    pub key: ActionKey,
    /// Digest of the request body.
    pub body_digest: [u8; 32],
    /// Router that will dispatch it.
    pub router: NodeIdentity,
    /// Number of the attempt, never reused by this incarnation. A claim that
    /// is sent again under its number gets the same token while it runs.
    pub attempt: u64,
    /// Path of the request, for the operator.
    pub path: Box<str>,
}

/// How an action ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionOutcome {
    /// Status code of the upstream's response.
    pub status: u16,
    /// Digest of the upstream's response.
    pub digest: [u8; 32],
}

/// Outcome of a claimed action as its router reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// The action.
    pub key: ActionKey,
    /// Token of the claim.
    pub token: FencingToken,
    /// How it ended.
    pub outcome: ActionOutcome,
}

/// Statement of a claim's holder that it sent no byte of the action and never
/// will under this token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseReport {
    /// The action.
    pub key: ActionKey,
    /// Token of the claim; zero when its answer was lost.
    pub token: FencingToken,
    /// Router that claimed it.
    pub router: NodeIdentity,
    /// Attempt under which it claimed it.
    pub attempt: u64,
}

/// What an operator found out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionResolution {
    /// Who.
    pub operator: String,
    /// Log time in milliseconds.
    pub time_ms: u64,
    /// True when the action ran.
    pub ran: bool,
    /// How the operator knows.
    pub note: String,
}

/// An action that an operator resolved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResolvedAction {
    /// The action.
    pub key: ActionKey,
    /// True when it ran.
    pub ran: bool,
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// The router may dispatch the action within the lease.
    Granted(FencingToken),
    /// Another claim of the action is running.
    Running,
    /// The action ended with this outcome.
    Known(ActionOutcome),
    /// It is not known whether the action ran.
    Unknown {
        /// What an operator found out, if anything.
        ran: Option<bool>,
    },
    /// The claim is refused: `KeyReused`, `KeyExpired`, `MalformedRequest`,
    /// `StaleIncarnation` or `LimitReached`.
    Refused(ErrorKind),
}

/// Answer to a reported outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeAnswer {
    /// The outcome is recorded.
    Recorded,
    /// An outcome was recorded before; it stays.
    Repeated(ActionOutcome),
    /// The outcome is refused: `NotFound` or `StaleToken`.
    Refused(ErrorKind),
}

/// State of a claimed action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ActionPhase {
    /// A router holds the claim.
    Running,
    /// The lease ended without an outcome.
    OutcomeUnknown,
    /// An operator recorded what happened.
    Resolved,
    /// The outcome is recorded.
    OutcomeKnown,
    /// The holder never sent it; the record is removed.
    Released,
}

/// Names of the phases in `charts/action.scxml`.
pub const ACTION_PHASES: [(ActionPhase, &str); 5] = [
    (ActionPhase::Running, "running"),
    (ActionPhase::OutcomeUnknown, "outcome_unknown"),
    (ActionPhase::Resolved, "resolved"),
    (ActionPhase::OutcomeKnown, "outcome_known"),
    (ActionPhase::Released, "released"),
];

static CHART: LazyLock<PhaseChart<ActionPhase>> = LazyLock::new(|| {
    PhaseChart::parse(ACTION_CHART, &ACTION_PHASES).expect("a test parses the embedded chart")
});

/// A claimed action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionRecord {
    /// Digest of the request body.
    pub body_digest: [u8; 32],
    /// Token of the claim.
    pub token: FencingToken,
    /// Router that holds the claim, its attempt and the path.
    pub holder: Box<ClaimHolder>,
    /// Where the action is in its life cycle.
    pub phase: ActionPhase,
    /// The outcome, once known.
    pub outcome: Option<ActionOutcome>,
    /// What an operator found out.
    pub resolution: Option<Box<ActionResolution>>,
}

/// Who holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// The router.
    pub router: NodeIdentity,
    /// Its attempt.
    pub attempt: u64,
    /// Path of the request.
    pub path: Box<str>,
    /// Log time of the claim in milliseconds.
    pub claimed_ms: u64,
}

/// All claimed actions within the retention.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionLedger {
    shards: SortedMap<(u32, u8), SortedMap<ActionKey, ActionRecord>>,
    records: usize,
    running: SortedMap<(u64, u64), ActionKey>,
    routers: SortedMap<String, SeenRouter>,
    last_number: u64,
    time_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SeenRouter {
    incarnation: u64,
    seen_ms: u64,
}

impl ActionKey {
    /// Builds a key from its parts.
    pub fn new(workspace: &str, service: &str, key: &str) -> Self {
        Self { workspace: workspace.into(), service: service.into(), key: key.into() }
    }

    /// Spreads the records of a day over 256 maps, so that an insertion moves
    /// few records.
    fn shard(&self, day: u32) -> (u32, u8) {
        (day, blake3::hash(self.key.as_bytes()).as_bytes()[0])
    }

    /// UTC day of issue in days since 1970, if the key is well formed.
    ///
    /// ```
    /// use baobabfall_core::action_ledger::ActionKey;
    /// assert_eq!(ActionKey::new("team-a", "payout", "19700102-x").issue_day(), Some(1));
    /// assert_eq!(ActionKey::new("team-a", "payout", "20261301-x").issue_day(), None);
    /// ```
    pub fn issue_day(&self) -> Option<u32> {
        let (day, rest) = self.key.split_at_checked(9)?;
        let digits = day.strip_suffix('-')?;
        if !digits.bytes().all(|b| b.is_ascii_digit()) || !(1..=100).contains(&rest.len()) {
            return None;
        }
        if !rest.bytes().all(|b| b.is_ascii_graphic()) {
            return None;
        }
        let number: u32 = digits.parse().ok()?;
        day_number(number / 10_000, number / 100 % 100, number % 100)
    }
}

/// Days since 1970 of a calendar day of 1970 to 9999.
fn day_number(year: u32, month: u32, day: u32) -> Option<u32> {
    let leap = year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400));
    let february = if leap { 29 } else { 28 };
    let lengths = [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let length = *lengths.get(usize::try_from(month.checked_sub(1)?).ok()?)?;
    if year < 1970 || !(1..=length).contains(&day) {
        return None;
    }
    let past = year - 1;
    let days = past * 365 + past / 4 - past / 100 + past / 400 - 719_162;
    let months: u32 = lengths.iter().zip(1..month).map(|(length, _)| *length).sum();
    Some(days + months + day - 1)
}

fn day_of(time_ms: u64) -> u32 {
    u32::try_from(time_ms / DAY_MS).unwrap_or(u32::MAX)
}

impl ActionLedger {
    /// Number of records.
    pub fn len(&self) -> usize {
        self.records
    }

    /// True when there is no record.
    pub fn is_empty(&self) -> bool {
        self.records == 0
    }

    /// The record of an action.
    pub fn get(&self, key: &ActionKey) -> Option<&ActionRecord> {
        self.shards.get(&key.shard(key.issue_day()?))?.get(key)
    }

    fn get_mut(&mut self, key: &ActionKey) -> Option<&mut ActionRecord> {
        self.shards.get_mut(&key.shard(key.issue_day()?))?.get_mut(key)
    }

    /// Log time at which the next running claim becomes unknown.
    pub fn next_deadline_ms(&self) -> Option<u64> {
        self.running.first().map(|(key, _)| key.0)
    }

    /// Actions whose outcome is unknown and that no operator resolved.
    pub fn unresolved(&self) -> impl Iterator<Item = (&ActionKey, &ActionRecord)> {
        let records = self.shards.values().flat_map(SortedMap::iter);
        records.filter(|(_, record)| record.phase == ActionPhase::OutcomeUnknown)
    }

    /// Moves log time on: ends leases and, once a day, trims old records.
    pub fn advance(&mut self, time_ms: u64) {
        let before = self.time_ms;
        self.time_ms = before.max(time_ms);
        while let Some((&(deadline, number), _)) = self.running.first() {
            if deadline > self.time_ms {
                break;
            }
            if let Some(key) = self.running.remove(&(deadline, number)) {
                self.lose(&key, "lease_end");
            }
        }
        if day_of(before) != day_of(self.time_ms) {
            self.trim();
        }
    }

    fn lose(&mut self, key: &ActionKey, event: &str) {
        if let Some(record) = self.get_mut(key)
            && let Ok(phase) = CHART.step(record.phase, event)
        {
            record.phase = phase;
        }
    }

    fn trim(&mut self) {
        let today = day_of(self.time_ms);
        self.shards.retain(|(day, _), records| {
            if day + RETENTION_DAYS < today {
                let listed = day + UNRESOLVED_DAYS >= today;
                records.retain(|_, r| listed && r.phase == ActionPhase::OutcomeUnknown);
            }
            !records.is_empty()
        });
        self.records = self.shards.values().map(SortedMap::len).sum();
        let oldest = self.time_ms.saturating_sub(u64::from(RETENTION_DAYS) * DAY_MS);
        self.routers.retain(|_, router| router.seen_ms >= oldest);
    }

    /// Notes the incarnation of a router; claims of older ones become unknown.
    pub fn router_seen(&mut self, router: &NodeIdentity) {
        let seen = SeenRouter { incarnation: router.incarnation, seen_ms: self.time_ms };
        match self.routers.get_mut(&router.name) {
            Some(held) if held.incarnation > router.incarnation => return,
            Some(held) if held.incarnation == router.incarnation => {
                held.seen_ms = self.time_ms;
                return;
            }
            _ => self.routers.insert(router.name.clone(), seen),
        };
        let stale = self.running.iter().filter(|(_, key)| {
            self.get(key).is_some_and(|record| {
                record.holder.router.name == router.name
                    && record.holder.router.incarnation < router.incarnation
            })
        });
        let stale: Vec<(u64, u64)> = stale.map(|(id, _)| *id).collect();
        for id in stale {
            if let Some(key) = self.running.remove(&id) {
                self.lose(&key, "holder_restart");
            }
        }
    }

    /// Claims an action for a router in the leader's `term`.
    ///
    /// ```
    /// use baobabfall_core::action_ledger::*;
    /// use baobabfall_core::dispatch_messages::NodeIdentity;
    /// let mut ledger = ActionLedger::default();
    /// ledger.advance(86_400_000);
    /// let claim = ActionClaim {
    ///     key: ActionKey::new("team-a", "payout", "19700102-order-7"),
    ///     body_digest: [1; 32],
    ///     router: NodeIdentity { name: "router-1".into(), incarnation: 1 },
    ///     attempt: 1,
    ///     path: "/payout".into(),
    /// };
    /// let token = FencingToken { term: 3, number: 1 };
    /// assert_eq!(ledger.claim(3, &claim), ClaimAnswer::Granted(token));
    /// let second = ActionClaim { attempt: 2, ..claim };
    /// assert_eq!(ledger.claim(3, &second), ClaimAnswer::Running);
    /// ```
    pub fn claim(&mut self, term: u64, claim: &ActionClaim) -> ClaimAnswer {
        let day = match self.check_claim(claim) {
            Ok(day) => day,
            Err(kind) => return ClaimAnswer::Refused(kind),
        };
        self.router_seen(&claim.router);
        let seen = self.routers.get(&claim.router.name).map_or(0, |router| router.incarnation);
        if seen > claim.router.incarnation {
            return ClaimAnswer::Refused(ErrorKind::StaleIncarnation);
        }
        if let Some(record) = self.get(&claim.key) {
            return record.answer(claim);
        }
        if self.records >= RECORD_LIMIT {
            return ClaimAnswer::Refused(ErrorKind::LimitReached);
        }
        self.last_number += 1;
        let token = FencingToken { term, number: self.last_number };
        let record = ActionRecord::new(claim, token, self.time_ms);
        let deadline = self.time_ms + CLAIM_LEASE_MS + CLAIM_MARGIN_MS;
        self.running.insert((deadline, token.number), claim.key.clone());
        self.records += 1;
        let shard = self.shards.get_or_insert_with(claim.key.shard(day), SortedMap::new);
        shard.insert(claim.key.clone(), record);
        ClaimAnswer::Granted(token)
    }

    fn check_claim(&self, claim: &ActionClaim) -> Result<u32, ErrorKind> {
        let key = &claim.key;
        let day = key.issue_day().ok_or(ErrorKind::MalformedRequest)?;
        let today = day_of(self.time_ms);
        let names = [&*key.workspace, &*key.service, &claim.router.name];
        if !names.into_iter().all(is_valid_name)
            || claim.path.len() > PATH_LIMIT_BYTES
            || day > today + 1
        {
            return Err(ErrorKind::MalformedRequest);
        }
        if day + RETENTION_DAYS < today {
            return Err(ErrorKind::KeyExpired);
        }
        Ok(day)
    }

    /// Records the outcome that the holder of a claim reports.
    pub fn record_outcome(&mut self, report: &OutcomeReport) -> OutcomeAnswer {
        let Some(record) = self.get_mut(&report.key) else {
            return OutcomeAnswer::Refused(ErrorKind::NotFound);
        };
        if record.token != report.token {
            return OutcomeAnswer::Refused(ErrorKind::StaleToken);
        }
        if let Some(outcome) = record.outcome {
            return OutcomeAnswer::Repeated(outcome);
        }
        let Ok(phase) = CHART.step(record.phase, "outcome") else {
            return OutcomeAnswer::Refused(ErrorKind::Internal);
        };
        record.phase = phase;
        record.outcome = Some(report.outcome);
        let deadline = record.holder.claimed_ms + CLAIM_LEASE_MS + CLAIM_MARGIN_MS;
        self.running.remove(&(deadline, report.token.number));
        OutcomeAnswer::Recorded
    }

    /// Removes the record of an action that was claimed and not sent, so that
    /// its key can be claimed again under a higher token.
    pub fn release(&mut self, report: &ReleaseReport) -> OutcomeAnswer {
        let Some(record) = self.get(&report.key) else {
            return OutcomeAnswer::Refused(ErrorKind::NotFound);
        };
        let holder = record.holder.router == report.router
            && record.holder.attempt == report.attempt
            && report.token == FencingToken::default();
        let held = record.token == report.token || holder;
        if !held || CHART.step(record.phase, "release").is_err() {
            return OutcomeAnswer::Refused(ErrorKind::StaleToken);
        }
        let deadline = record.holder.claimed_ms + CLAIM_LEASE_MS + CLAIM_MARGIN_MS;
        let number = record.token.number;
        self.running.remove(&(deadline, number));
        let shard = report.key.issue_day().map(|day| report.key.shard(day));
        if let Some(records) = shard.and_then(|shard| self.shards.get_mut(&shard))
            && records.remove(&report.key).is_some()
        {
            self.records -= 1;
        }
        OutcomeAnswer::Recorded
    }

    /// Records what an operator found out about an unknown outcome.
    ///
    /// # Errors
    ///
    /// `NotFound`, `ActionRunning` while the claim runs, `RevisionConflict`
    /// when the action is settled already.
    pub fn resolve(
        &mut self,
        key: &ActionKey,
        resolution: ActionResolution,
    ) -> Result<ResolvedAction, ErrorKind> {
        let record = self.get_mut(key).ok_or(ErrorKind::NotFound)?;
        record.phase = CHART.step(record.phase, "resolve").map_err(|_| match record.phase {
            ActionPhase::Running => ErrorKind::ActionRunning,
            _ => ErrorKind::RevisionConflict,
        })?;
        let resolved = ResolvedAction { key: key.clone(), ran: resolution.ran };
        record.resolution = Some(Box::new(resolution));
        Ok(resolved)
    }
}

impl ActionRecord {
    fn new(claim: &ActionClaim, token: FencingToken, claimed_ms: u64) -> Self {
        let holder = ClaimHolder {
            router: claim.router.clone(),
            attempt: claim.attempt,
            path: claim.path.clone(),
            claimed_ms,
        };
        Self {
            body_digest: claim.body_digest,
            token,
            holder: Box::new(holder),
            phase: ActionPhase::Running,
            outcome: None,
            resolution: None,
        }
    }

    fn answer(&self, claim: &ActionClaim) -> ClaimAnswer {
        if self.body_digest != claim.body_digest {
            return ClaimAnswer::Refused(ErrorKind::KeyReused);
        }
        let same = self.holder.router == claim.router && self.holder.attempt == claim.attempt;
        match (self.phase, self.outcome) {
            (_, Some(outcome)) => ClaimAnswer::Known(outcome),
            (ActionPhase::Running, None) if same => ClaimAnswer::Granted(self.token),
            (ActionPhase::Running, None) => ClaimAnswer::Running,
            (_, None) => {
                ClaimAnswer::Unknown { ran: self.resolution.as_ref().map(|found| found.ran) }
            }
        }
    }
}
