//! Tests of how far a router reads ahead of slow callers.

use baobabfall_core::reader_pace::{ANSWER_BYTES, FREE_BYTES, PAUSE_LIMIT, ReadStep, ReaderPace};
use quickcheck::{Gen, QuickCheck};
use std::time::Duration;

const FRAME_BYTES: usize = 4 << 10;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a slow but sound caller that is cut off. Load: an answer of 4 MiB without room in
/// the account, of which the caller reads a frame every two seconds.
#[test]
fn step_slow_caller_is_never_given_up() {
    let mut pace = ReaderPace::default();
    let mut now = ms(10);
    for _ in 0..1_000 {
        let mut step = pace.step(now);
        while step == ReadStep::Read {
            pace.record_sent(FRAME_BYTES, pace.unread() + FRAME_BYTES <= FREE_BYTES);
            step = pace.step(now);
        }
        assert!(matches!(step, ReadStep::Pause(_)), "{step:?} at {now:?}");
        now += ms(2_000);
        pace.record_read(now, FRAME_BYTES);
    }
}

/// Guards against a caller that reads nothing and keeps its upstream's slot until the deadline.
#[test]
fn step_stalled_caller_is_given_up() {
    let mut pace = ReaderPace::default();
    pace.record_sent(ANSWER_BYTES, true);
    assert_eq!(pace.step(ms(500)), ReadStep::Pause(PAUSE_LIMIT));
    assert_eq!(pace.step(ms(500) + PAUSE_LIMIT - ms(1)), ReadStep::Pause(ms(1)));
    assert_eq!(pace.step(ms(500) + PAUSE_LIMIT), ReadStep::GiveUp);
}

/// Guards against small frames that each let in a large one for which the account has no room.
#[test]
fn step_refused_caller_reads_down_before_more_is_held() {
    let mut pace = ReaderPace::default();
    pace.record_sent(100 * 256, true);
    pace.record_sent(64 << 10, false);
    for read in 1..=37 {
        assert!(matches!(pace.step(ms(read)), ReadStep::Pause(_)), "{read} small frames read");
        pace.record_read(ms(read), 256);
    }
    pace.record_read(ms(50), 63 * 256 + (64 << 10));
    assert_eq!(pace.step(ms(50)), ReadStep::Read);
}

/// Guards against an upstream that cuts off an answer because the router left it unread, and is
/// then taken for crashed.
#[test]
fn was_left_unread_counts_pauses_of_seconds_only() {
    let mut pace = ReaderPace::default();
    let mut unread_after = |pause: Duration| {
        pace = ReaderPace::default();
        pace.record_sent(ANSWER_BYTES, true);
        pace.step(ms(100));
        // The caller reads a little now and then, but too little for a further read.
        pace.record_read(ms(100) + pause / 2, 0);
        pace.step(ms(100) + pause / 2);
        pace.record_read(ms(100) + pause, ANSWER_BYTES);
        assert_eq!(pace.step(ms(100) + pause), ReadStep::Read);
        pace.was_left_unread()
    };
    assert!(!unread_after(ms(300)));
    assert!(unread_after(ms(1_800)));
}

/// Guards against more held bytes than the bound of one answer and one frame, whatever callers and
/// account do.
#[test]
fn step_unread_bytes_stay_bounded() {
    fn is_bounded(moves: Vec<(u16, bool, bool)>) -> bool {
        let mut pace = ReaderPace::default();
        let mut now = Duration::ZERO;
        let mut uncounted = 0_usize;
        moves.into_iter().all(|(size, reads, has_room)| {
            let size = usize::from(size);
            now += ms(100);
            if reads {
                pace.record_read(now, size.min(pace.unread()));
            }
            if pace.unread() <= FREE_BYTES {
                uncounted = pace.unread();
            }
            if pace.step(now) == ReadStep::Read {
                pace.record_sent(size, has_room);
                uncounted += if has_room { 0 } else { size };
            }
            let frame = usize::from(u16::MAX);
            pace.unread() <= ANSWER_BYTES + frame && uncounted <= FREE_BYTES + frame
        })
    }
    QuickCheck::new()
        .rng(Gen::new(400))
        .quickcheck(is_bounded as fn(Vec<(u16, bool, bool)>) -> bool);
}
