//! Clients of streams, as the pages describe them.

use crate::http;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

static LAST_ATTEMPT: AtomicU64 = AtomicU64::new(0);

pub fn attempt_id() -> String {
    let number = LAST_ATTEMPT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// One event that a client got.
#[derive(Clone, Debug)]
pub struct Event {
    pub id: u64,
    pub version: String,
    pub worker: String,
}

/// What a client saw of one attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub status: u16,
    pub events: Vec<Event>,
    pub is_complete: bool,
}

/// Sends one attempt for a stream and reads it to its end. `resumes` is the attempt that brought the
/// first event, with the id of the last event.
pub fn read_stream(
    router: SocketAddr,
    path: &str,
    deadline: Duration,
    resumes: Option<(&str, u64)>,
) -> Attempt {
    read_patiently(router, path, deadline, deadline, resumes, || {})
}

/// Like [`read_stream`], for a client that leaves after a gap of `patience`. Calls `on_event` at each
/// event.
pub fn read_patiently(
    router: SocketAddr,
    path: &str,
    deadline: Duration,
    patience: Duration,
    resumes: Option<(&str, u64)>,
    on_event: impl Fn(),
) -> Attempt {
    let id = attempt_id();
    let mut headers = vec![
        ("Host", "ficu95.example".to_owned()),
        ("Attempt-Id", id.clone()),
        ("Model", "m".to_owned()),
        ("Token-Usage", "1460,80".to_owned()),
        // Prompts of different things, so that the requests are spread over the servers.
        ("Prefix-Hash", format!("5c1e{id}:800,{id}:250")),
        ("Deadline-Ms", deadline.as_millis().to_string()),
        ("Authorization", "Bearer key-of-a-tenant".to_owned()),
    ];
    if let Some((first, last)) = resumes {
        headers.push(("Resumes", first.to_owned()));
        headers.push(("Last-Event-Id", last.to_string()));
    }
    let mut attempt = Attempt { id, status: 0, events: Vec::new(), is_complete: false };
    let end = Instant::now() + deadline;
    // The body of a stream stays the same when it is taken up.
    let body = format!("a prompt for {path}");
    let sent = http::send(router, "POST", path, &headers, body.as_bytes(), patience);
    let Ok(mut reply) = sent else { return attempt };
    attempt.status = reply.status;
    if reply.status != 200 {
        return attempt;
    }
    let mut text = String::new();
    while Instant::now() < end {
        match reply.next_chunk() {
            Ok(Some(bytes)) => text.push_str(&String::from_utf8_lossy(&bytes)),
            Ok(None) => {
                attempt.is_complete = true;
                break;
            }
            Err(_) => break,
        }
        while let Some((event, rest)) = text.split_once("\n\n") {
            attempt.events.extend(parse_event(event));
            text = rest.to_owned();
            on_event();
        }
    }
    attempt
}

fn parse_event(event: &str) -> Option<Event> {
    let id = event.lines().find_map(|line| line.strip_prefix("id: "))?.parse().ok()?;
    let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
    let (version, worker) = data.split_once(' ')?;
    Some(Event { id, version: version.to_owned(), worker: worker.to_owned() })
}

impl Attempt {
    /// Server and number of events of each stretch, such as `w1(v1):1-7 w2(v2):8-20`.
    pub fn summary(&self) -> String {
        let mut stretches: Vec<(String, u64, u64)> = Vec::new();
        for event in &self.events {
            let name = format!("{}({})", event.worker, event.version);
            match stretches.last_mut().filter(|held| held.0 == name) {
                Some(held) => held.2 = event.id,
                None => stretches.push((name, event.id, event.id)),
            }
        }
        let text = stretches.iter().map(|(name, first, last)| format!("{name}:{first}-{last}"));
        text.collect::<Vec<_>>().join(" ")
    }

    pub fn versions(&self) -> Vec<String> {
        let mut versions: Vec<String> =
            self.events.iter().map(|event| event.version.clone()).collect();
        versions.sort();
        versions.dedup();
        versions
    }
}
