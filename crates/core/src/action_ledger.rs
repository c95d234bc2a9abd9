//! Ledger of claimed protected actions. A router must claim an action here
//! before it dispatches it, so that each action runs at most once.
//!
//! A record takes 216 bytes ([`RECORD_BYTES`], checked at build time) plus its
//! text (workspace, service, key, path and router name) and, once an operator
//! resolved it, the resolution. A running claim stores a second copy of its key.

use crate::dispatch_messages::NodeIdentity;
use crate::error_kind::ErrorKind;
use crate::phase_chart::PhaseChart;
use crate::sorted_map::SortedMap;
use crate::state_chart::ACTION_CHART;
use crate::upstream_registry::is_valid_name;
use serde::{Deserialize, Serialize};
use std::sync::LazyLock;

/// Time in which a router may dispatch an action that it claimed, in
/// milliseconds. The router measures it on its own clock, starting before it
/// sends the claim.
pub const CLAIM_LEASE_MS: u64 = 10_000;
/// Log time in milliseconds that passes after the lease before a claim without
/// an outcome counts as unknown. It covers the commit of the claim and the
/// delivery of the outcome.
pub const CLAIM_MARGIN_MS: u64 = 5_000;
/// Days after a key's day of issue, by log time, for which the key is accepted
/// and its record is kept.
pub const RETENTION_DAYS: u32 = 7;
/// Days after its key's day of issue for which an unresolved action stays listed
/// for operators. Its key is rejected as expired after [`RETENTION_DAYS`].
pub const UNRESOLVED_DAYS: u32 = 30;
/// Maximum number of records, about 150 MB with 80 bytes of text each. Further
/// claims are rejected.
pub const RECORD_LIMIT: usize = 500_000;
/// Maximum length of an action's request path, in bytes.
pub const PATH_LIMIT_BYTES: usize = 1024;
/// Size of a record in bytes without its text.
pub const RECORD_BYTES: usize = size_of::<(ActionKey, ActionRecord)>() + size_of::<ClaimHolder>();
const _: () = assert!(RECORD_BYTES == 216, "the module documentation states the record size");

const DAY_MS: u64 = 86_400_000;

/// Fencing token of a claim. Each granted token is higher than all earlier ones,
/// so an upstream can reject a request that carries an older token.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken {
    /// Term of the leader that granted the claim.
    pub term: u64,
    /// Number of the claim; it keeps increasing across terms.
    pub number: u64,
}

/// Identity of a protected action.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ActionKey {
    /// Name of the caller's workspace.
    pub workspace: Box<str>,
    /// Name of the called service.
    pub service: Box<str>,
    /// Idempotency key that the caller chose: its UTC day of issue as `YYYYMMDD-`,
    /// then 1 to 100 printable ASCII characters.
    pub key: Box<str>,
}

/// A router's claim of one protected action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionClaim {
    /// The action to claim.
    pub key: ActionKey,
    /// Hash of the request body, to detect a key that is reused for another request.
    pub body_digest: [u8; 32],
    /// Router that will dispatch the action.
    pub router: NodeIdentity,
    /// Number of the attempt, which this incarnation of the router never reuses.
    /// A claim that is resent with the same number gets the same token while it
    /// is running.
    pub attempt: u64,
    /// Path of the request, shown to operators.
    pub path: Box<str>,
}

/// Outcome of an action: the upstream's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionOutcome {
    /// Status code of the upstream's response.
    pub status: u16,
    /// Hash of the upstream's response.
    pub digest: [u8; 32],
}

/// A router's report of the outcome of an action that it claimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// The claimed action.
    pub key: ActionKey,
    /// Token that the claim was granted.
    pub token: FencingToken,
    /// The upstream's response.
    pub outcome: ActionOutcome,
}

/// A router's report that it has sent no byte of an action that it claimed and
/// will never send it under this token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseReport {
    /// The claimed action.
    pub key: ActionKey,
    /// Token that the claim was granted; zero when the answer to the claim was lost.
    pub token: FencingToken,
    /// Router that claimed the action.
    pub router: NodeIdentity,
    /// Attempt number of the claim; identifies it when the token is zero.
    pub attempt: u64,
}

/// An operator's finding about an action with an unknown outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionResolution {
    /// Name of the operator.
    pub operator: String,
    /// Log time of the resolution in milliseconds.
    pub time_ms: u64,
    /// True when the operator found that the action ran.
    pub ran: bool,
    /// How the operator found out.
    pub note: String,
}

/// An action that an operator resolved, as returned to the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResolvedAction {
    /// The resolved action.
    pub key: ActionKey,
    /// True when the operator found that the action ran.
    pub ran: bool,
}

/// Answer of the ledger to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// The router may dispatch the action with this token until the lease expires.
    Granted(FencingToken),
    /// Another claim of the action is running and has no outcome yet.
    Running,
    /// The action has already run, with this outcome.
    Known(ActionOutcome),
    /// It is not known whether the action ran.
    Unknown {
        /// Whether the action ran, as an operator found out; `None` while unresolved.
        ran: Option<bool>,
    },
    /// The claim is rejected: `KeyReused`, `KeyExpired`, `MalformedRequest`,
    /// `StaleIncarnation` or `LimitReached`.
    Refused(ErrorKind),
}

/// Answer of the ledger to a reported outcome or release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeAnswer {
    /// The outcome or release was applied.
    Recorded,
    /// An outcome was already recorded; the new one is ignored.
    Repeated(ActionOutcome),
    /// The report is rejected: `NotFound`, `StaleToken` or `Internal`.
    Refused(ErrorKind),
}

/// Phase of a claimed action, a state of `charts/action.scxml`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ActionPhase {
    /// A router holds the claim and may dispatch the action.
    Running,
    /// The lease and its margin expired, or the router restarted, without an outcome.
    OutcomeUnknown,
    /// An operator recorded whether the action ran.
    Resolved,
    /// The router reported the outcome.
    OutcomeKnown,
    /// The router never dispatched the action; the record is removed.
    Released,
}

/// State name in `charts/action.scxml` of each phase.
pub const ACTION_PHASES: [(ActionPhase, &str); 5] = [
    (ActionPhase::Running, "running"),
    (ActionPhase::OutcomeUnknown, "outcome_unknown"),
    (ActionPhase::Resolved, "resolved"),
    (ActionPhase::OutcomeKnown, "outcome_known"),
    (ActionPhase::Released, "released"),
];

static CHART: LazyLock<PhaseChart<ActionPhase>> = LazyLock::new(|| {
    PhaseChart::parse(ACTION_CHART, &ACTION_PHASES)
        .expect("the embedded chart is valid, as a test checks")
});

/// Record of a claimed action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionRecord {
    /// Hash of the request body of the first claim.
    pub body_digest: [u8; 32],
    /// Token of the granted claim.
    pub token: FencingToken,
    /// Router that made the claim, and details of its request.
    pub holder: Box<ClaimHolder>,
    /// Current phase of the action.
    pub phase: ActionPhase,
    /// The outcome that the router reported, if any.
    pub outcome: Option<ActionOutcome>,
    /// The operator's finding, if the action was resolved.
    pub resolution: Option<Box<ActionResolution>>,
}

/// Router that made a claim, and details of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// Name and incarnation of the router.
    pub router: NodeIdentity,
    /// The router's attempt number.
    pub attempt: u64,
    /// Path of the request.
    pub path: Box<str>,
    /// Log time of the claim in milliseconds.
    pub claimed_ms: u64,
}

/// All claimed actions within the retention period, with their state.
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
    /// Builds a key without checking the format of its parts.
    pub fn new(workspace: &str, service: &str, key: &str) -> Self {
        Self { workspace: workspace.into(), service: service.into(), key: key.into() }
    }

    /// Day and hash byte that select the map of this key. The records of a day are
    /// spread over 256 sorted maps, so that an insertion moves few records.
    fn shard(&self, day: u32) -> (u32, u8) {
        (day, blake3::hash(self.key.as_bytes()).as_bytes()[0])
    }

    /// UTC day of issue in days since 1970; `None` when the key is malformed.
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

/// Converts a date of the years 1970 to 9999 to days since 1970. The offset is the
/// number of days from 0001-01-01 to 1970-01-01.
fn day_number(year: u32, month: u32, day: u32) -> Option<u32> {
    let leap = year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400));
    let february = if leap { 29 } else { 28 };
    let lengths = [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let length = *lengths.get(usize::try_from(month.checked_sub(1)?).ok()?)?;
    if year < 1970 || !(1..=length).contains(&day) {
        return None;
    }
    let years = year - 1;
    let year_start = years * 365 + years / 4 - years / 100 + years / 400 - 719_162;
    let month_start: u32 = lengths.iter().zip(1..month).map(|(length, _)| *length).sum();
    Some(year_start + month_start + day - 1)
}

fn day_of(time_ms: u64) -> u32 {
    u32::try_from(time_ms / DAY_MS).unwrap_or(u32::MAX)
}

impl ActionLedger {
    /// Number of records in all phases.
    pub fn len(&self) -> usize {
        self.records
    }

    /// True when the ledger has no record.
    pub fn is_empty(&self) -> bool {
        self.records == 0
    }

    /// The record of an action; `None` also when the key is malformed.
    pub fn get(&self, key: &ActionKey) -> Option<&ActionRecord> {
        self.shards.get(&key.shard(key.issue_day()?))?.get(key)
    }

    fn get_mut(&mut self, key: &ActionKey) -> Option<&mut ActionRecord> {
        self.shards.get_mut(&key.shard(key.issue_day()?))?.get_mut(key)
    }

    /// Log time in milliseconds at which the outcome of the next running claim
    /// becomes unknown; `None` when no claim is running.
    pub fn next_deadline_ms(&self) -> Option<u64> {
        self.running.first().map(|(key, _)| key.0)
    }

    /// Actions whose outcome is unknown and that no operator resolved.
    pub fn unresolved(&self) -> impl Iterator<Item = (&ActionKey, &ActionRecord)> {
        let records = self.shards.values().flat_map(SortedMap::iter);
        records.filter(|(_, record)| record.phase == ActionPhase::OutcomeUnknown)
    }

    /// Advances log time to `time_ms`: marks claims past their lease and margin as
    /// unknown and, when the day changes, drops old records.
    pub fn advance(&mut self, time_ms: u64) {
        let before = self.time_ms;
        self.time_ms = before.max(time_ms);
        while let Some((&(deadline, number), _)) = self.running.first() {
            if deadline > self.time_ms {
                break;
            }
            if let Some(key) = self.running.remove(&(deadline, number)) {
                self.mark_unknown(&key, "lease_end");
            }
        }
        if day_of(before) != day_of(self.time_ms) {
            self.trim();
        }
    }

    fn mark_unknown(&mut self, key: &ActionKey, event: &str) {
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
                let recent = day + UNRESOLVED_DAYS >= today;
                records.retain(|_, r| recent && r.phase == ActionPhase::OutcomeUnknown);
            }
            !records.is_empty()
        });
        self.records = self.shards.values().map(SortedMap::len).sum();
        let oldest = self.time_ms.saturating_sub(u64::from(RETENTION_DAYS) * DAY_MS);
        self.routers.retain(|_, router| router.seen_ms >= oldest);
    }

    /// Records the current incarnation of a router. Running claims of its earlier
    /// incarnations get an unknown outcome.
    pub fn router_seen(&mut self, router: &NodeIdentity) {
        let seen = SeenRouter { incarnation: router.incarnation, seen_ms: self.time_ms };
        match self.routers.get_mut(&router.name) {
            Some(known) if known.incarnation > router.incarnation => return,
            Some(known) if known.incarnation == router.incarnation => {
                known.seen_ms = self.time_ms;
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
                self.mark_unknown(&key, "holder_restart");
            }
        }
    }

    /// Claims an action for a router, in the `term` of the leader that appended the
    /// claim.
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

    /// Records the outcome of an action, reported with the token of its claim. An
    /// outcome is accepted also after the claim became unknown or was resolved.
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

    /// Removes the record of an action that was claimed but never dispatched, so
    /// that its key can be claimed again with a higher token.
    pub fn release(&mut self, report: &ReleaseReport) -> OutcomeAnswer {
        let Some(record) = self.get(&report.key) else {
            return OutcomeAnswer::Refused(ErrorKind::NotFound);
        };
        let same_attempt = record.holder.router == report.router
            && record.holder.attempt == report.attempt
            && report.token == FencingToken::default();
        let matches_claim = record.token == report.token || same_attempt;
        if !matches_claim || CHART.step(record.phase, "release").is_err() {
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

    /// Records an operator's finding about an action with an unknown outcome.
    ///
    /// # Errors
    ///
    /// `NotFound` when there is no record, `ActionRunning` while the claim is
    /// running, `RevisionConflict` when the outcome is known or already resolved.
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
        let same_attempt =
            self.holder.router == claim.router && self.holder.attempt == claim.attempt;
        match (self.phase, self.outcome) {
            (_, Some(outcome)) => ClaimAnswer::Known(outcome),
            (ActionPhase::Running, None) if same_attempt => ClaimAnswer::Granted(self.token),
            (ActionPhase::Running, None) => ClaimAnswer::Running,
            (_, None) => {
                ClaimAnswer::Unknown { ran: self.resolution.as_ref().map(|finding| finding.ran) }
            }
        }
    }
}
