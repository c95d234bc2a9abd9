//! Client stand-in for event streams.

use crate::http::{ChunkDecoder, Head, request_bytes};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const READ_TICK: Duration = Duration::from_millis(20);

/// One attempt of a client.
#[derive(Clone, Debug)]
pub struct StreamCall {
    pub address: SocketAddr,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub deadline: Instant,
    /// The client leaves after a pause of this length, also before the first event.
    pub patience: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    Complete,
    /// The connection ended before the answer was complete.
    Broken,
    /// The client closed the connection.
    Left,
}

#[derive(Clone, Debug)]
pub struct StreamAnswer {
    pub status: u16,
    pub retry_after: Option<f64>,
    /// Id and data of each event.
    pub events: Vec<(u64, String)>,
    pub end: StreamEnd,
}

impl StreamCall {
    /// Sends the request on a new connection and reads events until the answer ends.
    pub fn run(&self) -> StreamAnswer {
        let mut answer = StreamAnswer {
            status: 0,
            retry_after: None,
            events: Vec::new(),
            end: StreamEnd::Broken,
        };
        let Ok(mut stream) = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))
        else {
            return answer;
        };
        let headers: Vec<(&str, &str)> =
            self.headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        let bytes = request_bytes("POST", &self.path, self.address, &headers, &self.body);
        if stream.set_read_timeout(Some(READ_TICK)).is_err() || stream.write_all(&bytes).is_err() {
            return answer;
        }
        let (mut input, mut text) = (Vec::new(), Vec::new());
        let mut head: Option<Head> = None;
        let mut chunks = ChunkDecoder::default();
        let mut last_event = Instant::now();
        let mut buffer = [0; 16 << 10];
        loop {
            let length = match stream.read(&mut buffer) {
                Ok(0) => return answer,
                Ok(length) => length,
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
                {
                    0
                }
                Err(_) => return answer,
            };
            input.extend_from_slice(&buffer[..length]);
            if head.is_none()
                && let Some(end) = input.windows(4).position(|window| window == b"\r\n\r\n")
            {
                let parsed = Head::parse(&String::from_utf8_lossy(&input[..end]));
                input.drain(..end + 4);
                answer.status = parsed.status();
                answer.retry_after = parsed.get("retry-after").and_then(|text| text.parse().ok());
                head = Some(parsed);
            }
            if let Some(head) = &head {
                if head.get("transfer-encoding").is_none() {
                    let length = head.get("content-length").and_then(|text| text.parse().ok());
                    if input.len() >= length.unwrap_or(0) {
                        answer.end = StreamEnd::Complete;
                        return answer;
                    }
                } else {
                    text.extend(chunks.feed(&input));
                    input.clear();
                    let before = answer.events.len();
                    take_events(&mut text, &mut answer.events);
                    if answer.events.len() > before {
                        last_event = Instant::now();
                    }
                    if chunks.finished {
                        answer.end = StreamEnd::Complete;
                        return answer;
                    }
                }
            }
            if last_event.elapsed() > self.patience || Instant::now() > self.deadline {
                answer.end = StreamEnd::Left;
                return answer;
            }
        }
    }
}

fn take_events(text: &mut Vec<u8>, events: &mut Vec<(u64, String)>) {
    while let Some(end) = text.windows(2).position(|pair| pair == b"\n\n") {
        let event = String::from_utf8_lossy(&text[..end]).into_owned();
        text.drain(..end + 2);
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        let id = field("id: ").and_then(|id| id.parse().ok()).unwrap_or(0);
        events.push((id, field("data: ").unwrap_or("").to_owned()));
    }
}
