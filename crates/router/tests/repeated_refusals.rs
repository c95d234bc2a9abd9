//! Tests with upstreams that write an earlier refusal or other answer once more on a kept connection.

#![allow(clippy::unwrap_used)]

mod support;

use http::Method;
use std::time::Duration;
use support::exchange_site::{ExchangeSite, answer_with, marked_answer};
use support::fake_upstream::Step;

const REFUSAL: &str = "HTTP/1.1 503 X\r\ncontent-length: 4\r\nx-not-run: 1\r\n";
const MISDIRECTED: &str = "HTTP/1.1 421 X\r\ncontent-length: 4\r\n";

fn text_of(steps: Vec<Step>) -> String {
    let texts = steps.into_iter().filter_map(|step| match step {
        Step::Write(text) => Some(text),
        _ => None,
    });
    texts.collect()
}

fn refusal(head: &str, headers: &str) -> String {
    format!("{head}{headers}\r\nfull")
}

/// Guards against a request that runs twice, or is said not to have run, because an earlier
/// refusal arrives before its own answer.
#[tokio::test]
async fn refusal_before_own_answer_is_not_trusted() {
    for head in [REFUSAL, MISDIRECTED] {
        for headers in ["", "x-request: r0\r\n"] {
            let stale_and_own =
                format!("{}{}", refusal(head, headers), text_of(marked_answer("own")));
            let script = vec![marked_answer("first"), vec![Step::Write(stale_and_own)]];
            let site = ExchangeSite::start(vec![script.clone(), script]).await;
            let first = site.call(Method::POST, "/once/x", &[("x-request", "r1")]).await;
            assert_eq!(first.body, "first");
            let counts = [site.request_count(0), site.request_count(1)];
            // The upstream that answered is asked again, on the kept connection or another one.
            for _ in 0..2 {
                let answer = site.call(Method::POST, "/once/x", &[("x-request", "r1")]).await;
                assert!(
                    [200, 502].contains(&answer.status.as_u16()),
                    "{head:?} {headers:?}: {}",
                    answer.status
                );
            }
            let total = site.request_count(0) + site.request_count(1);
            assert_eq!(total, counts[0] + counts[1] + 2, "{head:?} {headers:?}");
        }
    }
}

/// The same, with the refusal in the same packet as the end of the answer before it.
#[tokio::test]
async fn refusal_behind_an_answer_is_not_taken_for_the_next() {
    for pause in [Duration::ZERO, Duration::from_millis(20)] {
        let with_stale = format!("{}{}", text_of(marked_answer("first")), refusal(REFUSAL, ""));
        let script = vec![vec![Step::Write(with_stale)], marked_answer("own")];
        let site = ExchangeSite::start(vec![script]).await;
        assert_eq!(site.call(Method::POST, "/once/x", &[]).await.body, "first");
        tokio::time::sleep(pause).await;
        let answer = site.call(Method::POST, "/once/x", &[]).await;
        assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "own"));
        assert_eq!(site.request_count(0), 2);
    }
}

/// Guards against a second copy of a refusal on a kept connection: the id of the request could
/// not tell it from a refusal of its next attempt.
#[tokio::test]
async fn refusal_ends_its_connection() {
    let refused = || answer_with(503, "x-request: r1\r\nx-not-run: 1\r\n", "full");
    let site = ExchangeSite::start(vec![vec![refused(), refused(), marked_answer("own")]]).await;
    // The router sends the first request twice.
    for status in [503, 200] {
        let answer = site.call(Method::POST, "/once/x", &[]).await;
        assert_eq!(answer.status.as_u16(), status);
    }
    assert_eq!(site.upstreams[0].log().connections, 3);
}

/// Guards against a caller who gets a second copy of the answer to an earlier request, which
/// arrives when the connection is in use again.
#[tokio::test]
async fn late_copy_of_an_answer_is_not_taken_for_the_next() {
    for path in ["/once/x", "/stream/x"] {
        for copy in [
            answer_with(200, "x-request: r0\r\nx-mark: m\r\n", "copy"),
            answer_with(200, "x-mark: m\r\n", "copy"),
            answer_with(404, "x-request: r0\r\nx-mark: m\r\n", "copy"),
            answer_with(404, "x-mark: m\r\n", "copy"),
            answer_with(500, "x-mark: m\r\n", "copy"),
        ] {
            let first = answer_with(200, "x-request: r0\r\nx-mark: m\r\n", "first");
            let late = [copy.clone(), marked_answer("own")].concat();
            let site = ExchangeSite::start(vec![vec![first, late]]).await;
            let first = site.call(Method::POST, "/once/x", &[("x-request", "r0")]).await;
            assert_eq!(first.body, "first");
            let answer = site.call(Method::POST, path, &[]).await;
            assert_eq!(answer.status.as_u16(), 502, "{path}: {copy:?} {}", answer.body);
            assert_eq!(site.upstreams[0].log().connections, 1);
        }
    }
}
