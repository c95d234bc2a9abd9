//! What the answers of upstreams tell the dispatcher about the requests and parts of prompts
//! that crash them.

use crate::request_queue::SharedQueue;
use baobabfall_core::crash_tracker::SOUND_ANSWER_TIME;
use baobabfall_core::part_book::{AnswerProgress, RequestSuspects};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response;
use tokio::time::Instant;

/// Progress of one upstream's answer to one request.
#[derive(Debug, Default)]
pub(crate) struct AnswerEvidence {
    begun_at: Option<Instant>,
    is_sound: bool,
}

impl AnswerEvidence {
    /// True once a part of the answer has arrived.
    pub(crate) fn is_begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// Records that a part of the answer has arrived.
    pub(crate) fn record_data(&mut self, queue: &SharedQueue, suspects: RequestSuspects<'_>) {
        let begun_at = *self.begun_at.get_or_insert_with(|| {
            queue.record_answer(suspects, AnswerProgress::Begun);
            Instant::now()
        });
        if !self.is_sound && begun_at.elapsed() >= SOUND_ANSWER_TIME {
            self.record_sound(queue, suspects);
        }
    }

    /// Records the end of a successful answer with the head `parts`. One that ends with its
    /// connection also ends like this if its upstream has crashed, so it shows only that it
    /// has begun.
    pub(crate) fn record_end(
        &mut self,
        parts: &response::Parts,
        queue: &SharedQueue,
        suspects: RequestSuspects<'_>,
    ) {
        match ends_with_connection(parts) {
            true => self.record_data(queue, suspects),
            false if self.is_sound => {}
            false => self.record_sound(queue, suspects),
        }
    }

    fn record_sound(&mut self, queue: &SharedQueue, suspects: RequestSuspects<'_>) {
        self.is_sound = true;
        queue.record_answer(suspects, AnswerProgress::Sound);
    }
}

/// True if an answer with this head has neither a length nor chunks.
pub(crate) fn ends_with_connection(parts: &response::Parts) -> bool {
    !parts.headers.contains_key(CONTENT_LENGTH) && !parts.headers.contains_key(TRANSFER_ENCODING)
}
