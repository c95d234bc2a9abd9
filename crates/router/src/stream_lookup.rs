//! Finds out which software version began a stream that a caller resumes.

use crate::request_queue::SharedQueue;
use baobabfall_core::dispatch_messages::{OriginAnswer, StreamKey, StreamOrigin};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::sorted_map::SortedMap;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Most streams that a router asks for at once.
const LOOKUP_LIMIT: usize = 1024;
/// Longest wait for the dispatcher's answer: the time in which another leader takes over.
pub(crate) const ANSWER_WAIT: Duration = Duration::from_secs(1);
/// Time in which the router that began a stream has reported it. A caller whose connection
/// broke may be faster at another router.
const REPORT_DELAY: Duration = Duration::from_millis(200);
/// Pause before the dispatcher is asked again for a stream that it does not know.
const REPEAT_PAUSE: Duration = Duration::from_millis(40);

/// Lookups of streams that the dispatcher has not answered.
#[derive(Debug, Default)]
pub struct LookupBook {
    waiting: SortedMap<StreamKey, StreamLookup>,
}

#[derive(Debug)]
struct StreamLookup {
    /// Sequence number of the first report with the latest request for the lookup.
    sequence: u64,
    senders: Vec<oneshot::Sender<Option<StreamOrigin>>>,
}

impl LookupBook {
    /// Adds a lookup that is sent from the report `sequence` on. `None` when too many wait.
    pub fn add(
        &mut self,
        key: StreamKey,
        sequence: u64,
    ) -> Option<oneshot::Receiver<Option<StreamOrigin>>> {
        self.drop_abandoned();
        if self.waiting.len() >= LOOKUP_LIMIT && !self.waiting.contains_key(&key) {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        let new_lookup = || StreamLookup { sequence, senders: Vec::new() };
        let lookup = self.waiting.get_or_insert_with(key, new_lookup);
        lookup.sequence = sequence;
        lookup.senders.push(sender);
        Some(receiver)
    }

    /// Streams to ask for in the next report.
    pub fn keys(&self) -> Vec<StreamKey> {
        self.waiting.keys().copied().collect()
    }

    /// True when a lookup has not been in an acknowledged report.
    pub fn is_changed(&self, since: u64) -> bool {
        self.waiting.values().any(|lookup| lookup.sequence > since)
    }

    /// Passes an answer of the dispatcher on to those who wait for it.
    pub fn resolve(&mut self, answer: &OriginAnswer) {
        let lookup = self.waiting.remove(&answer.key);
        for sender in lookup.into_iter().flat_map(|lookup| lookup.senders) {
            // The caller may have given up.
            let _ = sender.send(answer.origin.clone());
        }
    }

    fn drop_abandoned(&mut self) {
        self.waiting.retain(|_, lookup| {
            lookup.senders.retain(|sender| !sender.is_closed());
            !lookup.senders.is_empty()
        });
    }
}

/// What a caller says about the stream that it resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamReference {
    /// The request that began it, which began no other.
    Request(StreamKey),
    /// Only the content of the request. Other routers may have begun streams of requests with
    /// the same content, at other versions.
    Content(StreamKey),
}

/// Returns the origin of a stream, from this router's own streams or from the dispatcher.
pub async fn find_origin(
    queue: &SharedQueue,
    stream: StreamReference,
    deadline: Instant,
) -> Result<StreamOrigin, ErrorKind> {
    let asked = Instant::now();
    let limit = deadline.min(asked + ANSWER_WAIT);
    loop {
        let key = match stream {
            StreamReference::Content(key) => key,
            StreamReference::Request(key) => {
                if let Some(origin) = queue.book().known_origin(key) {
                    return Ok(origin);
                }
                key
            }
        };
        let receiver = queue.book().look_up_origin(key).ok_or(ErrorKind::LimitReached)?;
        queue.notify();
        match tokio::time::timeout_at(limit, receiver).await {
            Ok(Ok(Some(origin))) => return Ok(origin),
            Ok(Ok(None)) if asked.elapsed() < REPORT_DELAY => {
                tokio::time::sleep(REPEAT_PAUSE).await;
            }
            Ok(Ok(None)) => return Err(ErrorKind::StreamUnknown),
            Ok(Err(_)) | Err(_) => return Err(ErrorKind::PeerUnreachable),
        }
    }
}
