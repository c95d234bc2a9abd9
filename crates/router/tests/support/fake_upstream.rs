//! An upstream that plays scripted answers byte by byte over plain TCP.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// One scripted answer; `{id}` stands for the request id.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes text.
    Write(String),
    /// Waits until the test opens the gate once.
    Gate,
    /// Waits without end.
    Hang,
    /// Closes the connection.
    Close,
}

#[derive(Default)]
pub struct UpstreamLog {
    /// Heads and bodies of the requests received.
    pub requests: Vec<(String, String)>,
    /// Connections accepted.
    pub connections: usize,
    /// Connections that the router closed.
    pub closed: usize,
    /// What health checks are told.
    pub leaving: bool,
    /// Leaves health checks unanswered.
    pub mute: bool,
    scripts: VecDeque<Vec<Step>>,
}

impl UpstreamLog {
    /// Requests other than health checks.
    pub fn work(&self) -> Vec<&(String, String)> {
        self.requests.iter().filter(|(head, _)| !head.starts_with("GET /health ")).collect()
    }
}

pub struct FakeUpstream {
    pub address: SocketAddr,
    log: Arc<Mutex<UpstreamLog>>,
    gate: Arc<tokio::sync::Semaphore>,
}

impl FakeUpstream {
    /// Plays the scripts in order, then answers `events(3)` for ever.
    pub async fn start(scripts: Vec<Vec<Step>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let log =
            Arc::new(Mutex::new(UpstreamLog { scripts: scripts.into(), ..Default::default() }));
        let gate = Arc::new(tokio::sync::Semaphore::new(0));
        let (shared, shared_gate) = (Arc::clone(&log), Arc::clone(&gate));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.lock().unwrap().connections += 1;
                let log = Arc::clone(&shared);
                tokio::spawn(play(stream, log, Arc::clone(&shared_gate)));
            }
        });
        Self { address, log, gate }
    }

    pub fn log(&self) -> MutexGuard<'_, UpstreamLog> {
        self.log.lock().unwrap()
    }

    pub fn open_gate(&self) {
        self.gate.add_permits(1);
    }
}

async fn play(
    mut stream: TcpStream,
    log: Arc<Mutex<UpstreamLog>>,
    gate: Arc<tokio::sync::Semaphore>,
) {
    while let Some((head, body)) = read_request(&mut stream).await {
        let id = header_of(&head, "baobabfall-request-id");
        let health = head.starts_with("GET /health ");
        let steps = {
            let mut log = log.lock().unwrap();
            log.requests.push((head, body));
            match health {
                true if log.mute => vec![Step::Hang],
                true => {
                    let body = format!("{{\"incarnation\":1,\"leaving\":{}}}", log.leaving);
                    vec![Step::Write(whole(200, &body))]
                }
                false => log.scripts.pop_front().unwrap_or_else(|| events(3)),
            }
        };
        for step in steps {
            match step {
                Step::Write(text) => {
                    if stream.write_all(text.replace("{id}", &id).as_bytes()).await.is_err() {
                        break;
                    }
                }
                Step::Gate => match gate.acquire().await {
                    Ok(permit) => permit.forget(),
                    Err(_) => return,
                },
                Step::Hang => {
                    let mut byte = [0; 1];
                    while stream.read(&mut byte).await.is_ok_and(|count| count > 0) {}
                    break;
                }
                Step::Close => return,
            }
        }
    }
    log.lock().unwrap().closed += 1;
}

async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(position) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break position + 4;
        }
        let mut part = [0; 4096];
        match stream.read(&mut part).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&part[..count]),
            _ => return None,
        }
    };
    let head = String::from_utf8(bytes[..head_end].to_vec()).unwrap();
    let length: usize = header_of(&head, "content-length").parse().unwrap_or(0);
    let mut body = bytes[head_end..].to_vec();
    while body.len() < length {
        let mut part = vec![0; length - body.len()];
        match stream.read(&mut part).await {
            Ok(count) if count > 0 => body.extend_from_slice(&part[..count]),
            _ => return None,
        }
    }
    Some((head, String::from_utf8(body).unwrap()))
}

pub fn header_of(head: &str, name: &str) -> String {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut found = lines.filter(|(held, _)| held.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim().to_owned()).unwrap_or_default()
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub fn event(position: u64) -> String {
    format!("data: {{\"position\":{position},\"choices\":[]}}\n\n")
}

pub fn stream_head() -> String {
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
     baobabfall-request-id: {id}\r\n\r\n"
        .to_owned()
}

/// The events of a complete stream from `from` to `to`, without the last chunk.
pub fn event_chunks(from: u64, to: u64) -> String {
    (from..to).map(|position| chunk(&event(position))).collect()
}

pub const END: &str = "data: [DONE]\n\n";

/// A complete stream of `count` events.
pub fn events(count: u64) -> Vec<Step> {
    let text = format!("{}{}{}0\r\n\r\n", stream_head(), event_chunks(0, count), chunk(END));
    vec![Step::Write(text)]
}

/// A whole answer.
pub fn whole(status: u16, body: &str) -> String {
    whole_with(status, "", body)
}

/// A whole answer with further header lines.
pub fn whole_with(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         baobabfall-request-id: {{id}}\r\n{headers}\r\n{body}",
        body.len()
    )
}

/// A refusal that did not run.
pub fn not_run() -> Vec<Step> {
    vec![Step::Write(whole_with(503, "baobabfall-not-run: true\r\n", "{}"))]
}
