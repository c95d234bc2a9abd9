//! Finds out which software version began a stream that a caller resumes.

use crate::leader_link::LeaderLink;
use crate::request_queue::SharedQueue;
use baobabfall_core::dispatch_messages::{OriginAnswer, OriginLookup, StreamKey, StreamOrigin};
use baobabfall_core::error_kind::ErrorKind;
use baobabfall_core::sorted_map::SortedMap;
use baobabfall_node::messages::ORIGINS_PATH;
use baobabfall_node::units::millis;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
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
/// Wait for the dispatcher's answer after which the controllers' copies are asked as well.
const COPY_DELAY: Duration = Duration::from_millis(250);
/// Time in which a controller must say what its copies hold.
const COPY_TIMEOUT: Duration = Duration::from_millis(400);

/// Lookups of streams that the dispatcher has not answered.
#[derive(Debug, Default)]
pub struct LookupBook {
    waiting: SortedMap<StreamKey, StreamLookup>,
}

#[derive(Debug)]
struct StreamLookup {
    /// Sequence number of the first report with the latest request for the lookup.
    sequence: u64,
    senders: Vec<oneshot::Sender<OriginAnswer>>,
}

impl LookupBook {
    /// Adds a lookup that is sent from the report `sequence` on. `None` when too many wait.
    pub fn add(
        &mut self,
        key: StreamKey,
        sequence: u64,
    ) -> Option<oneshot::Receiver<OriginAnswer>> {
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
            let _ = sender.send(answer.clone());
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

/// Returns the origin of a stream: from this router's own streams, from the dispatcher, or from the
/// copies that other controllers hold if the dispatcher does not know the stream.
pub async fn find_origin(
    queue: &SharedQueue,
    link: &LeaderLink,
    stream: StreamReference,
    deadline: Instant,
) -> Result<StreamOrigin, ErrorKind> {
    let asked = Instant::now();
    let limit = deadline.min(asked + ANSWER_WAIT);
    let mut copies_asked = false;
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
        // The dispatcher alone knows whether other routers began streams with the same content, so
        // its answer is needed in that case.
        let may_skip = !copies_asked && matches!(stream, StreamReference::Request(_));
        let wait_end = if may_skip { limit.min(asked + COPY_DELAY) } else { limit };
        let receiver = queue.book().look_up_origin(key).ok_or(ErrorKind::LimitReached)?;
        queue.notify();
        let answer = tokio::time::timeout_at(wait_end, receiver).await.ok().and_then(Result::ok);
        match answer {
            Some(OriginAnswer { origin: Some(origin), .. }) => return Ok(origin),
            Some(OriginAnswer { ambiguous: true, .. }) => return Err(ErrorKind::StreamUnknown),
            None if !may_skip => return Err(ErrorKind::PeerUnreachable),
            Some(_) if copies_asked && asked.elapsed() >= REPORT_DELAY => {
                return Err(ErrorKind::StreamUnknown);
            }
            Some(_) | None => {}
        }
        if !copies_asked {
            copies_asked = true;
            if let Some(origin) = find_copy(link, stream, answer.is_some()).await {
                return Ok(origin);
            }
        }
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
}

/// Asks all controllers for their copies of the origin of a stream. Streams of requests with the
/// same content must have the same origin in all copies.
async fn find_copy(
    link: &LeaderLink,
    stream: StreamReference,
    dispatcher_answered: bool,
) -> Option<StreamOrigin> {
    let (key, is_content) = match stream {
        StreamReference::Request(key) => (key, false),
        StreamReference::Content(key) => (key, true),
    };
    let started = Instant::now();
    let members = link.members();
    let lookup = OriginLookup { keys: vec![key] };
    let calls = members.iter().map(|member| {
        link.call::<_, Vec<OriginAnswer>>(*member, ORIGINS_PATH, &lookup, COPY_TIMEOUT)
    });
    let mut calls: FuturesUnordered<_> = calls.collect();
    let (mut found, mut answered, mut ambiguous) = (None::<StreamOrigin>, 0, false);
    while let Some(result) = calls.next().await {
        let Ok(answers) = result else { continue };
        answered += 1;
        for answer in answers.into_iter().filter(|answer| answer.key == key) {
            let differs = |origin: &StreamOrigin| found.as_ref().is_some_and(|held| held != origin);
            ambiguous |= answer.ambiguous || answer.origin.as_ref().is_some_and(differs);
            found = found.or(answer.origin);
        }
        if found.is_some() && !is_content {
            break;
        }
    }
    let found = found.filter(|_| !ambiguous);
    let version = found.as_ref().map(|origin| origin.software.as_str().to_owned());
    log::info!(event = "stream_copies_asked", stream = format!("{key:016x}"), dispatcher_answered = dispatcher_answered, asked = members.len(), answered = answered, ambiguous = ambiguous, software = version, waited_ms = millis(started.elapsed()); "the dispatcher does not know a stream that a caller resumes; controllers were asked for their copies");
    found
}
