//! Tests of protected actions: at most one dispatch, only after a claim.

#![allow(clippy::unwrap_used)]

mod support;

use baobabfall_node::messages::{ActionOutcome, ClaimAnswer, FencingToken};
use support::fake_controller::FakeController;
use support::fake_upstream::{FakeUpstream, Step, header_of, not_run, whole, whole_with};
use support::{Answer, TestRouter, service_announcement, wait_for};

const PATH: &str = "/services/cases/decisions";
const KEY_HEADER: (&str, &str) = ("idempotency-key", "20261203-order-7");

struct ActionFleet {
    upstream: FakeUpstream,
    controller: FakeController,
    router: TestRouter,
}

async fn fleet(scripts: Vec<Vec<Step>>, limits: &str) -> ActionFleet {
    let upstream = FakeUpstream::start(scripts).await;
    let upstreams = vec![service_announcement("cases-1", upstream.address)];
    let controller = FakeController::start(upstreams).await;
    let router = TestRouter::ready(&controller, limits).await;
    ActionFleet { upstream, controller, router }
}

impl ActionFleet {
    async fn decide(&self) -> Answer {
        self.router.post(PATH, &[KEY_HEADER], r#"{"sum":7}"#).await
    }

    async fn outcome(&self) -> (FencingToken, ActionOutcome) {
        wait_for("outcome", || !self.controller.script().outcomes.is_empty()).await;
        let script = self.controller.script();
        assert_eq!(script.outcomes.len(), 1, "an outcome is reported once");
        (script.outcomes[0].token, script.outcomes[0].outcome)
    }
}

/// Guards against an action without its fencing token or with a wrong record
/// of its outcome.
#[tokio::test]
async fn granted_action_carries_its_token_and_settles() {
    let fleet = fleet(vec![vec![Step::Write(whole(201, "{\"done\":1}"))]], "").await;
    let answer = fleet.decide().await;
    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (201, "{\"done\":1}"));
    let (token, outcome) = fleet.outcome().await;
    let digest = *blake3::hash(b"{\"done\":1}").as_bytes();
    assert_eq!(outcome, ActionOutcome::Answered { status: 201, digest });
    let log = fleet.upstream.log();
    let sent = format!("{}.{}", token.term, token.number);
    assert_eq!(header_of(&log.requests[0].0, "baobabfall-fencing-token"), sent);
    assert_eq!(header_of(&log.requests[0].0, KEY_HEADER.0), KEY_HEADER.1);
    let script = fleet.controller.script();
    let claim = &script.claims[0].claims[0];
    assert_eq!((claim.workspace.as_str(), claim.key.as_str()), ("team-a", KEY_HEADER.1));
    assert_eq!((claim.service.as_str(), claim.path.as_str()), ("cases", "/decisions"));
}

/// Guards against a dispatch without a grant, and against a wrong statement
/// about an action that another request claimed.
#[tokio::test]
async fn ungranted_action_is_not_dispatched() {
    let fleet = fleet(vec![], "").await;
    let digest = [7; 32];
    let known = |outcome| ClaimAnswer::Known(outcome);
    let cases = [
        (ClaimAnswer::Running, 409, "action_running", "false"),
        (ClaimAnswer::OutcomeUnknown, 409, "outcome_unknown", "false"),
        (ClaimAnswer::KeyReused, 422, "key_reused", "true"),
        (ClaimAnswer::KeyExpired, 422, "key_expired", "true"),
        (ClaimAnswer::KeyMalformed, 400, "malformed_request", "true"),
        (known(ActionOutcome::NotRun), 503, "upstream_refused", "true"),
        (known(ActionOutcome::Unknown), 409, "outcome_unknown", "false"),
        (known(ActionOutcome::Answered { status: 201, digest }), 201, "", ""),
    ];
    for (answer, status, code, not_run) in cases {
        fleet.controller.script().claim_answers = vec![answer];
        let answer = fleet.decide().await;
        assert_eq!((answer.status.as_u16(), answer.code().as_str()), (status, code));
        assert_eq!(answer.header("baobabfall-not-run"), not_run);
        if code.is_empty() {
            let hex = "07".repeat(32);
            let expected =
                format!("{{\"outcome\":\"answered\",\"status\":201,\"digest\":\"{hex}\"}}");
            assert_eq!(answer.body, expected);
        }
    }
    assert!(fleet.upstream.log().requests.is_empty());
    assert!(fleet.controller.script().outcomes.is_empty(), "nothing was claimed");
}

/// Guards against a dispatch after a claim whose answer was lost, and against
/// a lost claim that stays open.
#[tokio::test]
async fn lost_claim_is_never_dispatched_and_settled_as_not_run() {
    let fleet = fleet(vec![], "claim_time = \"150ms\"").await;
    fleet.controller.script().lose_claims = usize::MAX;
    let answer = fleet.decide().await;
    assert_eq!((answer.status.as_u16(), answer.code().as_str()), (503, "no_quorum"));
    assert_eq!(answer.header("baobabfall-not-run"), "true");
    assert_eq!(fleet.outcome().await.1, ActionOutcome::NotRun);
    assert!(fleet.upstream.log().requests.is_empty());
}

/// Guards against an action that fails although the next leader would grant
/// it, and against "running" for a claim that this router itself lost.
#[tokio::test]
async fn claim_after_lost_answer_is_sent_again() {
    let fleet = fleet(vec![vec![Step::Write(whole(200, "{}"))]], "").await;
    fleet.controller.script().lose_claims = 1;
    assert_eq!(fleet.decide().await.status, 200);
    assert_eq!(fleet.controller.script().claims.len(), 2);
    fleet.controller.script().lose_claims = 1;
    let token = FencingToken { term: 3, number: 9 };
    fleet.controller.script().claim_answers =
        vec![ClaimAnswer::Granted(token), ClaimAnswer::Running];
    let answer = fleet.decide().await;
    assert_eq!(
        (answer.code().as_str(), answer.header("baobabfall-not-run")),
        ("no_quorum", "true")
    );
    assert_eq!(fleet.upstream.log().requests.len(), 1);
}

/// Guards against a second dispatch, and against a claim that "not run" or
/// "answered" is recorded where the outcome is open.
#[tokio::test]
async fn dispatched_action_is_never_repeated() {
    let stale = whole_with(409, "baobabfall-not-run: true\r\n", "{}");
    let cut = whole(200, "{\"done\":1}");
    let cut = cut[..cut.len() - 2].to_owned();
    let cases = [
        (vec![Step::Close], 502, "false", ActionOutcome::Unknown),
        (vec![Step::Write(cut), Step::Close], 200, "", ActionOutcome::Unknown),
        (not_run(), 503, "true", ActionOutcome::NotRun),
        (vec![Step::Write(stale)], 409, "true", ActionOutcome::NotRun),
    ];
    for (script, status, not_run, outcome) in cases {
        let fleet = fleet(vec![script], "").await;
        for _ in 0..40 {
            fleet.router.handle.state().retries.record_request("team-a");
        }
        let answer = fleet.decide().await;
        assert_eq!(answer.status, status, "{answer:?}");
        assert_eq!(answer.header("baobabfall-not-run"), not_run);
        assert_eq!(fleet.outcome().await.1, outcome);
        assert_eq!(fleet.upstream.log().requests.len(), 1);
    }
}

/// Guards against concurrent actions that each need their own call.
#[tokio::test]
async fn concurrent_claims_share_calls() {
    let script = vec![Step::Write(whole(200, "{}"))];
    let fleet = fleet(vec![script; 20], "").await;
    let keys: Vec<String> = (0..20).map(|index| format!("20261203-{index}")).collect();
    let calls = keys.iter().map(|key| {
        let headers = [("idempotency-key", key.as_str())];
        let router = &fleet.router;
        async move { router.post(PATH, &headers, "{}").await.status }
    });
    let statuses = futures_util::future::join_all(calls).await;
    assert!(statuses.iter().all(|status| status.is_success()), "{statuses:?}");
    let settled = || fleet.controller.script().outcomes.len() == 20;
    wait_for("settlement", settled).await;
    let script = fleet.controller.script();
    let claims: usize = script.claims.iter().map(|request| request.claims.len()).sum();
    assert_eq!(claims, 20);
    assert!(script.claims.len() < 20, "{} calls for 20 claims", script.claims.len());
}
