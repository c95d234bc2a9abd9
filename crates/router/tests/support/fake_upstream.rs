//! A fake upstream that sends scripted bytes over plain TCP.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Size of one write of [`Step::Endless`].
const ENDLESS_BLOCK_BYTES: usize = 4 << 10;

/// One step of a scripted answer; `{id}` in its text is replaced by the request id.
#[derive(Clone, Debug)]
pub enum Step {
    Write(String),
    /// Waits for one call of [`FakeUpstream::open_gate`].
    Gate,
    /// Sends nothing more until the router closes the connection.
    Hang,
    /// Sends the text again and again until the router closes the connection.
    Endless(String),
    Close,
    /// Ends the connection with a TCP reset.
    Reset,
}

#[derive(Default)]
pub struct UpstreamLog {
    /// Head and body of each request received, health checks included.
    pub requests: Vec<(String, String)>,
    pub connections: usize,
    /// Connections that ended because the router closed them.
    pub closed: usize,
    /// Value of `leaving` in answers to health checks.
    pub leaving: bool,
    /// Never answers health checks, as after a loss of the network.
    pub ignores_health_checks: bool,
    scripts: VecDeque<Vec<Step>>,
}

impl UpstreamLog {
    /// Requests other than health checks.
    pub fn non_health_requests(&self) -> Vec<&(String, String)> {
        self.requests.iter().filter(|(head, _)| !head.starts_with("GET /health ")).collect()
    }
}

pub struct FakeUpstream {
    pub address: SocketAddr,
    log: Arc<Mutex<UpstreamLog>>,
    gate: Arc<tokio::sync::Semaphore>,
}

impl FakeUpstream {
    /// Answers one request per script, in order, and every further one with
    /// `complete_stream(3)`.
    pub async fn start(scripts: Vec<Vec<Step>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let log =
            Arc::new(Mutex::new(UpstreamLog { scripts: scripts.into(), ..Default::default() }));
        let gate = Arc::new(tokio::sync::Semaphore::new(0));
        let (shared_log, shared_gate) = (Arc::clone(&log), Arc::clone(&gate));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared_log.lock().unwrap().connections += 1;
                let log = Arc::clone(&shared_log);
                tokio::spawn(serve_connection(stream, log, Arc::clone(&shared_gate)));
            }
        });
        Self { address, log, gate }
    }

    pub fn log(&self) -> MutexGuard<'_, UpstreamLog> {
        self.log.lock().unwrap()
    }

    /// Answers the next requests with `scripts`.
    pub fn replace_scripts(&self, scripts: Vec<Vec<Step>>) {
        self.log().scripts = scripts.into();
    }

    pub fn open_gate(&self) {
        self.gate.add_permits(1);
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    log: Arc<Mutex<UpstreamLog>>,
    gate: Arc<tokio::sync::Semaphore>,
) {
    while let Some((head, body)) = read_request(&mut stream).await {
        let id = header_of(&head, "baobabfall-request-id");
        let is_health_check = head.starts_with("GET /health ");
        let steps = {
            let mut log = log.lock().unwrap();
            log.requests.push((head, body));
            match is_health_check {
                true if log.ignores_health_checks => vec![Step::Hang],
                true => {
                    let body = format!("{{\"incarnation\":1,\"leaving\":{}}}", log.leaving);
                    vec![Step::Write(complete_answer(200, &body))]
                }
                false => log.scripts.pop_front().unwrap_or_else(|| complete_stream(3)),
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
                Step::Endless(text) => {
                    // A system call for each byte would need seconds to reach a limit.
                    let block = text.repeat(ENDLESS_BLOCK_BYTES / text.len());
                    while stream.write_all(block.as_bytes()).await.is_ok() {}
                    break;
                }
                Step::Close => return,
                Step::Reset => return stream.set_zero_linger().unwrap(),
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
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    };
    let head = String::from_utf8(bytes[..head_end].to_vec()).unwrap();
    let length: usize = header_of(&head, "content-length").parse().unwrap_or(0);
    let mut body = bytes[head_end..].to_vec();
    while body.len() < length {
        let mut buffer = vec![0; length - body.len()];
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => body.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
    Some((head, String::from_utf8(body).unwrap()))
}

/// Value of the first header called `name` in `head`, or an empty string.
pub fn header_of(head: &str, name: &str) -> String {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut matching = lines.filter(|(header, _)| header.eq_ignore_ascii_case(name));
    matching.next().map(|(_, value)| value.trim().to_owned()).unwrap_or_default()
}

/// One chunk of the chunked transfer coding.
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

/// Chunks with the events from `from` up to but excluding `to`, without the end marker and the
/// last chunk.
pub fn event_chunks(from: u64, to: u64) -> String {
    (from..to).map(|position| chunk(&event(position))).collect()
}

/// End marker of a stream.
pub const END_EVENT: &str = "data: [DONE]\n\n";

/// A stream of `count` events with end marker and last chunk.
pub fn complete_stream(count: u64) -> Vec<Step> {
    let text = format!("{}{}{}0\r\n\r\n", stream_head(), event_chunks(0, count), chunk(END_EVENT));
    vec![Step::Write(text)]
}

/// A JSON answer of known length with the request id.
pub fn complete_answer(status: u16, body: &str) -> String {
    complete_answer_with(status, "", body)
}

/// Like [`complete_answer`] with further header lines, each ended by CRLF.
pub fn complete_answer_with(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         baobabfall-request-id: {{id}}\r\n{headers}\r\n{body}",
        body.len()
    )
}

/// A refusal which states that the request did not run.
pub fn not_run_answer() -> Vec<Step> {
    vec![Step::Write(complete_answer_with(503, "baobabfall-not-run: true\r\n", "{}"))]
}
