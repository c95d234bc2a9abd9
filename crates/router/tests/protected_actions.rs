//! Tests of protected actions, which are dispatched at most once and only after a granted claim.

#![allow(clippy::unwrap_used)]

mod support;

use baobabfall_node::messages::{ActionOutcome, ClaimAnswer, FencingToken};
use support::fake_controller::FakeController;
use support::fake_upstream::{
    FakeUpstream, Step, complete_answer, complete_answer_with, header_of, not_run_answer,
};
use support::{Answer, TestRouter, service_announcement, wait_for};

const PATH: &str = "/services/cases/decisions";
const KEY_HEADER: (&str, &str) = ("idempotency-key", "20261203-order-7");

struct ActionFleet {
    upstream: FakeUpstream,
    controller: FakeController,
    router: TestRouter,
}

async fn start_fleet(scripts: Vec<Vec<Step>>, limits: &str) -> ActionFleet {
    let upstream = FakeUpstream::start(scripts).await;
    let upstreams = vec![service_announcement("cases-1", upstream.address)];
    let controller = FakeController::start(upstreams).await;
    let router = TestRouter::ready(&controller, limits).await;
    ActionFleet { upstream, controller, router }
}

impl ActionFleet {
    async fn post_decision(&self) -> Answer {
        self.router.post(PATH, &[KEY_HEADER], r#"{"sum":7}"#).await
    }

    /// The reported outcome with the fencing token of its claim.
    async fn outcome(&self) -> (FencingToken, ActionOutcome) {
        wait_for("the report of the outcome", || !self.controller.script().outcomes.is_empty())
            .await;
        let script = self.controller.script();
        assert_eq!(script.outcomes.len(), 1, "an outcome must be reported once");
        (script.outcomes[0].token, script.outcomes[0].outcome)
    }
}

/// Guards against an action that is dispatched without the fencing token of its claim, and against
/// a wrong record of its outcome.
#[tokio::test]
async fn granted_action_carries_its_token_and_reports_outcome() {
    let fleet =
        start_fleet(vec![vec![Step::Write(complete_answer(201, "{\"done\":1}"))]], "").await;
    let answer = fleet.post_decision().await;
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

/// Guards against a dispatch although the claim was not granted, and against a wrong answer about
/// an action that another request claimed with the same key.
#[tokio::test]
async fn ungranted_action_is_not_dispatched() {
    let fleet = start_fleet(vec![], "").await;
    let digest = [7; 32];
    let known_outcome = |outcome| ClaimAnswer::Known(outcome);
    let cases = [
        (ClaimAnswer::Running, 409, "action_running", "false"),
        (ClaimAnswer::OutcomeUnknown, 409, "outcome_unknown", "false"),
        (ClaimAnswer::KeyReused, 422, "key_reused", "true"),
        (ClaimAnswer::KeyExpired, 422, "key_expired", "true"),
        (ClaimAnswer::KeyMalformed, 400, "malformed_request", "true"),
        (known_outcome(ActionOutcome::NotRun), 503, "upstream_refused", "true"),
        (known_outcome(ActionOutcome::Unknown), 409, "outcome_unknown", "false"),
        (known_outcome(ActionOutcome::Answered { status: 201, digest }), 201, "", ""),
    ];
    for (answer, status, code, not_run) in cases {
        fleet.controller.script().claim_answers = vec![answer];
        let answer = fleet.post_decision().await;
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
    assert!(
        fleet.controller.script().outcomes.is_empty(),
        "no claim was granted, so there is no outcome to report"
    );
}

/// Guards against a dispatch after a claim whose answer was lost, and against such a claim that
/// stays open in the controllers although nothing ran.
#[tokio::test]
async fn lost_claim_is_not_dispatched_and_settled_as_not_run() {
    let fleet = start_fleet(vec![], "claim_time = \"150ms\"").await;
    fleet.controller.script().lost_claim_answers = usize::MAX;
    let answer = fleet.post_decision().await;
    assert_eq!((answer.status.as_u16(), answer.code().as_str()), (503, "no_quorum"));
    assert_eq!(answer.header("baobabfall-not-run"), "true");
    assert_eq!(fleet.outcome().await.1, ActionOutcome::NotRun);
    assert!(fleet.upstream.log().requests.is_empty());
}

/// Guards against an action that fails because a single answer to its claim was lost, and against
/// a caller who is told that the action is running when the earlier claim was this router's own.
#[tokio::test]
async fn claim_after_lost_answer_is_retried() {
    let fleet = start_fleet(vec![vec![Step::Write(complete_answer(200, "{}"))]], "").await;
    fleet.controller.script().lost_claim_answers = 1;
    assert_eq!(fleet.post_decision().await.status, 200);
    assert_eq!(fleet.controller.script().claims.len(), 2);
    fleet.controller.script().lost_claim_answers = 1;
    let token = FencingToken { term: 3, number: 9 };
    fleet.controller.script().claim_answers =
        vec![ClaimAnswer::Granted(token), ClaimAnswer::Running];
    let answer = fleet.post_decision().await;
    assert_eq!(
        (answer.code().as_str(), answer.header("baobabfall-not-run")),
        ("no_quorum", "true")
    );
    assert_eq!(fleet.upstream.log().requests.len(), 1);
}

/// Guards against a second dispatch after a failure, and against an outcome that is recorded as
/// "not run" or "answered" although it is unknown.
#[tokio::test]
async fn dispatched_action_is_never_retried() {
    let stale_token_refusal = complete_answer_with(409, "baobabfall-not-run: true\r\n", "{}");
    let cut_answer = complete_answer(200, "{\"done\":1}");
    let cut_answer = cut_answer[..cut_answer.len() - 2].to_owned();
    let cases = [
        (vec![Step::Close], 502, "false", ActionOutcome::Unknown),
        (vec![Step::Write(cut_answer), Step::Close], 200, "", ActionOutcome::Unknown),
        (not_run_answer(), 503, "true", ActionOutcome::NotRun),
        (vec![Step::Write(stale_token_refusal)], 409, "true", ActionOutcome::NotRun),
    ];
    for (script, status, not_run, outcome) in cases {
        let fleet = start_fleet(vec![script], "").await;
        for _ in 0..40 {
            fleet.router.handle.state().retries.record_request("team-a");
        }
        let answer = fleet.post_decision().await;
        assert_eq!(answer.status, status, "{answer:?}");
        assert_eq!(answer.header("baobabfall-not-run"), not_run);
        assert_eq!(fleet.outcome().await.1, outcome);
        assert_eq!(fleet.upstream.log().requests.len(), 1);
    }
}

/// Guards against one call to the controllers for each of many concurrent claims. The router has to
/// send them in batches.
#[tokio::test]
async fn concurrent_claims_share_calls() {
    let script = vec![Step::Write(complete_answer(200, "{}"))];
    let fleet = start_fleet(vec![script; 20], "").await;
    let keys: Vec<String> = (0..20).map(|index| format!("20261203-{index}")).collect();
    let calls = keys.iter().map(|key| {
        let headers = [("idempotency-key", key.as_str())];
        let router = &fleet.router;
        async move { router.post(PATH, &headers, "{}").await.status }
    });
    let statuses = futures_util::future::join_all(calls).await;
    assert!(statuses.iter().all(|status| status.is_success()), "{statuses:?}");
    let all_settled = || fleet.controller.script().outcomes.len() == 20;
    wait_for("all outcomes to be reported", all_settled).await;
    let script = fleet.controller.script();
    let claims: usize = script.claims.iter().map(|request| request.claims.len()).sum();
    assert_eq!(claims, 20);
    assert!(script.claims.len() < 20, "{} calls for 20 claims", script.claims.len());
}

/// Guards against an action that is said not to have run because an earlier refusal arrives once
/// more, without an id, on a connection that was kept.
#[tokio::test]
async fn action_refusal_without_id_on_kept_connection_is_not_trusted() {
    let own = complete_answer(201, "{}");
    let stale = "HTTP/1.1 503 X\r\ncontent-length: 2\r\nbaobabfall-not-run: true\r\n\r\n{}";
    let scripts = vec![vec![Step::Write(own.clone())], vec![Step::Write(format!("{stale}{own}"))]];
    let fleet = start_fleet(scripts, "").await;
    assert_eq!(fleet.post_decision().await.status.as_u16(), 201);
    let next_key = ("idempotency-key", "20261203-order-8");
    let answer = fleet.router.post(PATH, &[next_key], r#"{"sum":7}"#).await;
    assert_eq!(fleet.upstream.log().connections, 1, "the connection is kept");
    assert_ne!(answer.header("baobabfall-not-run"), "true", "{}", answer.body);
}
