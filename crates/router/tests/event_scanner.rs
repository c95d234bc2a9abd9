//! Tests of the event scanner, without sockets.

use baobabfall_router::event_scanner::{EVENT_LIMIT, EventScanner, ScanError};
use bytes::Bytes;
use quickcheck::{Arbitrary, Gen};

const STREAM: &str = ": note\n\ndata: {\"position\":0}\r\n\r\nevent: x\ndata: {\"position\":1}\n\n\
                      data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";

/// Guards against events that are lost, doubled or counted twice because of
/// where the network cuts a stream into frames.
#[test]
fn feed_any_cuts_gives_the_same_stream() {
    let mut source = Gen::from_size_and_seed(30, 3);
    for _ in 0..2000 {
        let mut scanner = EventScanner::new();
        let (mut relayed, mut events, mut rest) = (Vec::new(), 0, STREAM.as_bytes());
        for cut in Vec::<u8>::arbitrary(&mut source) {
            let (frame, tail) = rest.split_at(usize::from(cut % 16).min(rest.len()));
            let result = scanner.feed(Bytes::copy_from_slice(frame)).unwrap();
            relayed.extend_from_slice(&result.ready);
            events += result.events;
            rest = tail;
            assert!(relayed.is_empty() || relayed.ends_with(b"\n"), "an event was cut");
        }
        let result = scanner.feed(Bytes::copy_from_slice(rest)).unwrap();
        relayed.extend_from_slice(&result.ready);
        assert_eq!(String::from_utf8(relayed).unwrap(), STREAM);
        assert_eq!((events + result.events, scanner.position()), (2, 2));
        assert_eq!((scanner.is_complete(), scanner.completion_tokens()), (true, Some(2)));
    }
}

/// Guards against a resumed stream that doubles or skips an event at any
/// position, and against one whose position cannot be checked.
#[test]
fn begin_resume_cuts_overlap_and_finds_gaps() {
    let event = |position: u64| format!("data: {{\"position\":{position}}}\n\n");
    for held in 0..4_u64 {
        for from in 0..6_u64 {
            let mut scanner = EventScanner::new();
            let first: String = (0..held).map(event).collect();
            scanner.feed(first.into()).unwrap();
            scanner.feed("data: {\"posi".into()).unwrap();
            scanner.begin_resume();
            let rest: String = (from..6).map(event).collect();
            let result = scanner.feed(rest.into());
            if from > held {
                assert_eq!(result, Err(ScanError::Gap));
                continue;
            }
            let expected: String = (held..6).map(event).collect();
            assert_eq!(result.unwrap().ready, expected);
        }
    }
    let mut scanner = EventScanner::new();
    scanner.begin_resume();
    assert_eq!(scanner.feed("data: {}\n\n".into()), Err(ScanError::Gap));
}

/// Guards against unbounded memory for an event without end, and against
/// content after the end marker that would reach the caller.
#[test]
fn feed_endless_event_or_trailing_content_is_refused() {
    let mut scanner = EventScanner::new();
    let part = Bytes::from(vec![b'x'; EVENT_LIMIT / 2]);
    let results: Vec<_> = (0..5).map(|_| scanner.feed(part.clone())).collect();
    assert!(results.contains(&Err(ScanError::Oversized)));
    let mut scanner = EventScanner::new();
    scanner.feed("data: [DONE]\n\n".into()).unwrap();
    assert_eq!(scanner.feed("data: {}\n\n".into()), Err(ScanError::Trailing));
}
