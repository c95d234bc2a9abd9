//! Tests of the check of streamed answers.

use baobabfall_bench::answer_check::{CallVerdict, StreamCheck};
use baobabfall_standin::answer_text::expected_answer;

const ID: &str = "request-1";
const TAIL: &str = "data: {\"usage\":{}}\n\ndata: [DONE]\n\n";

fn events(id: &str, tokens: u64) -> Vec<String> {
    let answer = expected_answer(id, tokens);
    let words = answer.as_bytes().chunks(6).map(|word| String::from_utf8_lossy(word).into_owned());
    words.map(|word| format!("data: {{\"delta\":{{\"content\":\"{word}\"}}}}\n\n")).collect()
}

fn verdict(body: &str, piece: usize) -> CallVerdict {
    let mut check = StreamCheck::new(ID, 5);
    body.as_bytes().chunks(piece).for_each(|bytes| check.feed(bytes));
    check.verdict(false)
}

/// Guards against a check whose verdict depends on how the network splits the body.
#[test]
fn feed_split_anywhere_is_complete() {
    let body = events(ID, 5).concat() + TAIL;
    for piece in 1..=body.len() {
        assert_eq!(verdict(&body, piece), CallVerdict::Complete, "pieces of {piece}");
    }
}

/// Guards against wrong or short answers that count as complete.
#[test]
fn feed_faulty_is_not_complete() {
    let right = events(ID, 5);
    let missing = right[..4].concat();
    let swapped = [&right[1..2], &right[..1], &right[2..]].concat().concat();
    let repeated = right.concat() + &right[4];
    let cases = [
        (missing.clone() + TAIL, CallVerdict::SilentlyShort),
        (right.concat(), CallVerdict::SilentlyShort),
        (right.concat() + "data: [DONE]\n\n", CallVerdict::SilentlyShort),
        (right.concat() + TAIL + "data: {", CallVerdict::SilentlyShort),
        (swapped + TAIL, CallVerdict::Wrong),
        (repeated + TAIL, CallVerdict::Wrong),
        (events("request-2", 5).concat() + TAIL, CallVerdict::Wrong),
        (right.concat() + TAIL + TAIL, CallVerdict::Wrong),
        (missing + "data: {\"error\":{}}\n\n", CallVerdict::ErrorEvent),
    ];
    for (body, expected) in cases {
        assert_eq!(verdict(&body, 16), expected, "{body}");
    }
}
