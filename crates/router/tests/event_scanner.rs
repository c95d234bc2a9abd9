//! Tests of the event scanner on frames in memory.

use baobabfall_router::event_scanner::{EVENT_LIMIT, EventScanner, ScanError};
use bytes::Bytes;
use quickcheck::{Arbitrary, Gen};

const STREAM: &str = ": note\n\ndata: {\"position\":0}\r\n\r\nevent: x\ndata: {\"position\":1}\n\n\
                      data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";

/// Guards against events that are lost, duplicated or counted twice because a frame ends in the
/// middle of an event or of a line ending.
#[test]
fn feed_any_frame_split_gives_the_same_stream() {
    let mut generator = Gen::from_size_and_seed(30, 3);
    for _ in 0..2000 {
        let mut scanner = EventScanner::new();
        let (mut relayed, mut events, mut remaining) = (Vec::new(), 0, STREAM.as_bytes());
        for cut in Vec::<u8>::arbitrary(&mut generator) {
            let (frame, next_remaining) =
                remaining.split_at(usize::from(cut % 16).min(remaining.len()));
            let result = scanner.feed(Bytes::copy_from_slice(frame)).unwrap();
            relayed.extend_from_slice(&result.ready);
            events += result.events;
            remaining = next_remaining;
            assert!(
                relayed.is_empty() || relayed.ends_with(b"\n"),
                "the relayed bytes must end with a whole event"
            );
        }
        let result = scanner.feed(Bytes::copy_from_slice(remaining)).unwrap();
        relayed.extend_from_slice(&result.ready);
        assert_eq!(String::from_utf8(relayed).unwrap(), STREAM);
        assert_eq!((events + result.events, scanner.position()), (2, 2));
        assert_eq!((scanner.is_complete(), scanner.completion_tokens()), (true, Some(2)));
    }
}

/// Guards against a resumed stream that repeats or skips events. The upstream may resume at any
/// position: an overlap has to be cut off, and a gap or a missing position is an error.
#[test]
fn begin_resume_cuts_overlap_and_detects_gaps() {
    let event_text = |position: u64| format!("data: {{\"position\":{position}}}\n\n");
    for complete_count in 0..4_u64 {
        for resumed_from in 0..6_u64 {
            let mut scanner = EventScanner::new();
            let first: String = (0..complete_count).map(event_text).collect();
            scanner.feed(first.into()).unwrap();
            scanner.feed("data: {\"posi".into()).unwrap();
            scanner.begin_resume();
            let remaining: String = (resumed_from..6).map(event_text).collect();
            let result = scanner.feed(remaining.into());
            if resumed_from > complete_count {
                assert_eq!(result, Err(ScanError::Gap));
                continue;
            }
            let expected: String = (complete_count..6).map(event_text).collect();
            assert_eq!(result.unwrap().ready, expected);
        }
    }
    let mut scanner = EventScanner::new();
    scanner.begin_resume();
    assert_eq!(scanner.feed("data: {}\n\n".into()), Err(ScanError::Gap));
}

/// Guards against unbounded memory use by an event that never ends, and against content after the
/// end marker that is relayed to the caller.
#[test]
fn feed_endless_event_or_trailing_content_is_refused() {
    let mut scanner = EventScanner::new();
    let half_event = Bytes::from(vec![b'x'; EVENT_LIMIT / 2]);
    let results: Vec<_> = (0..5).map(|_| scanner.feed(half_event.clone())).collect();
    assert!(results.contains(&Err(ScanError::Oversized)));
    let mut scanner = EventScanner::new();
    scanner.feed("data: [DONE]\n\n".into()).unwrap();
    assert_eq!(scanner.feed("data: {}\n\n".into()), Err(ScanError::Trailing));
}
