//! Worker stand-in, as PROTOCOL.md describes workers. Runs as a process of its own.
//!
//! The query of a request's path says what it costs: `first` is the time to the first event of a
//! stream, `gap` the time between events and `events` their number; `work` is the time of a
//! request that is no stream.

use crate::http::{self, Head};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

const HEARTBEAT: Duration = Duration::from_millis(1200);
/// A worker moves on to the next node after this time without an answer.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Longest time for which a worker is at work on a request that hangs.
const HANG_LIMIT: Duration = Duration::from_secs(30);

struct Worker {
    id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    version: String,
    slots: u32,
    control: Vec<SocketAddr>,
    born: u128,
    active: AtomicU32,
    /// Part of a prompt that crashes the worker, and how many events it writes before.
    crash_part: Option<String>,
    crash_after: u64,
    /// Time for which it does not reach the nodes that serve `control_plane`.
    cut: Duration,
    /// Time after its start from which it lets a part of its requests hang, and for how long.
    hang: Option<(Duration, Duration)>,
    started: Instant,
    requests: AtomicU32,
    /// Time after its start at which it leaves, without a heartbeat that says so.
    leave_after: Option<Duration>,
}

fn say(text: &str) {
    let mut output = std::io::stdout().lock();
    let _ = writeln!(output, "{text}");
    let _ = output.flush();
}

/// Runs a worker until it is killed or crashes.
pub fn run(arguments: &[String]) -> Result<(), String> {
    let [id, service, address, zone, version, slots, control, flags @ ..] = arguments else {
        return Err("worker: arguments are missing".to_owned());
    };
    let flag = |name: &str| {
        let position = flags.iter().position(|known| known == name);
        position.and_then(|position| flags.get(position + 1)).cloned()
    };
    let number = |name: &str| flag(name).and_then(|text| text.parse::<u64>().ok());
    let control = control.split(',').filter_map(|address| address.parse().ok()).collect();
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let worker = Arc::new(Worker {
        id: id.clone(),
        service: service.clone(),
        address: address.parse().map_err(|_| "worker: bad address")?,
        zone: zone.clone(),
        version: version.clone(),
        slots: slots.parse().map_err(|_| "worker: bad slots")?,
        control,
        born: since_epoch.map_err(|error| error.to_string())?.as_millis(),
        active: AtomicU32::new(0),
        crash_part: flag("--crash-part"),
        crash_after: number("--crash-after").unwrap_or(0),
        cut: Duration::from_millis(number("--cut-ms").unwrap_or(0)),
        hang: number("--hang-from-ms").map(|from| {
            let length = number("--hang-for-ms").unwrap_or(0);
            (Duration::from_millis(from), Duration::from_millis(length))
        }),
        started: Instant::now(),
        requests: AtomicU32::new(0),
        leave_after: number("--leave-after-ms").map(Duration::from_millis),
    });
    let listener = TcpListener::bind(worker.address).map_err(|error| error.to_string())?;
    say(&format!("started, version {}", worker.version));
    let sender = Arc::clone(&worker);
    thread::spawn(move || sender.send_heartbeats());
    if let Some(time) = worker.leave_after {
        let leaver = Arc::clone(&worker);
        thread::spawn(move || {
            thread::sleep(time);
            leaver.leave();
        });
    }
    for stream in listener.incoming().flatten() {
        let worker = Arc::clone(&worker);
        thread::spawn(move || worker.serve(stream));
    }
    Ok(())
}

fn query_number(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    fields.find(|(known, _)| *known == name)?.1.parse().ok()
}

/// True if the peer has closed or reset the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let closed = match stream.peek(&mut byte) {
        Ok(length) => length == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).is_err() || closed
}

/// Waits, and returns false at once if the caller leaves meanwhile.
fn work(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    while Instant::now() < end {
        if is_closed(stream) {
            return false;
        }
        let left = end.saturating_duration_since(Instant::now());
        thread::sleep(left.min(Duration::from_millis(5)));
    }
    true
}

impl Worker {
    fn send_heartbeats(&self) {
        thread::sleep(self.cut);
        let mut assigned: Option<SocketAddr> = None;
        for sequence in 1u64.. {
            let begun = Instant::now();
            if self.is_leaving() {
                return;
            }
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"phase\":\"mixed\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{}}}",
                self.service, self.address, self.zone, self.version, self.slots, self.born
            );
            let nodes = assigned.into_iter().chain(self.control.iter().copied());
            let path = format!("/api/instances/{}", self.id);
            let headers = [("Content-Type", "application/json")];
            for node in nodes {
                let put =
                    http::call(node, "PUT", &path, &headers, body.as_bytes(), HEARTBEAT_TIMEOUT);
                if let Ok((head, answer)) = put
                    && head.status() == 200
                {
                    if self.is_leaving() {
                        say("a heartbeat that was late has been acknowledged");
                    }
                    assigned = heartbeat_address(&answer);
                    break;
                }
                assigned = None;
                if self.is_leaving() {
                    return;
                }
            }
            if sequence == 1 {
                say("first heartbeat sent");
            }
            thread::sleep(HEARTBEAT.saturating_sub(begun.elapsed()));
        }
    }

    /// True once it leaves; it sends no heartbeats then.
    fn is_leaving(&self) -> bool {
        self.leave_after.is_some_and(|time| self.started.elapsed() >= time)
    }

    /// Deregisters at the first node that answers. It goes on serving.
    fn leave(&self) {
        let path = format!("/api/instances/{}", self.id);
        for node in self.control.iter().cycle().take(9) {
            let answer = http::call(*node, "DELETE", &path, &[], &[], HEARTBEAT_TIMEOUT);
            if answer.is_ok_and(|(head, _)| head.status() == 200) {
                say("its DELETE was acknowledged");
                return;
            }
        }
        say("its DELETE was not acknowledged");
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(IDLE_LIMIT));
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head) else { return };
            if !self.answer(&stream, &head, &body) {
                return;
            }
        }
    }

    /// Answers one request. Returns false when the connection is to be closed.
    fn answer(&self, stream: &TcpStream, head: &Head, body: &[u8]) -> bool {
        let mut words = head.start.split(' ');
        let (_, path) = (words.next(), words.next().unwrap_or("/"));
        let attempt = head.get("attempt-id").unwrap_or("");
        if path == "/healthz" {
            let text =
                format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            return (&mut &*stream).write_all(text.as_bytes()).is_ok();
        }
        if head.get("target-instance").is_some_and(|target| target != self.id) {
            return self.refuse(stream, attempt, "421 Misdirected Request");
        }
        if self.active.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.active.fetch_sub(1, Ordering::SeqCst);
            return self.refuse(stream, attempt, "503 Service Unavailable");
        }
        let parts = head.get("prefix-hash").unwrap_or("");
        say(&format!("run {attempt} {path} body={} parts={parts}", body.len()));
        let kept = match query_number(path, "events") {
            Some(events) => self.stream_events(stream, head, path, attempt, events),
            None => self.answer_whole(stream, path, attempt),
        };
        self.active.fetch_sub(1, Ordering::SeqCst);
        kept
    }

    fn refuse(&self, mut stream: &TcpStream, attempt: &str, status: &str) -> bool {
        say(&format!("refused {attempt} {status}"));
        let text = format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(text.as_bytes()).is_ok()
    }

    fn answer_whole(&self, mut stream: &TcpStream, path: &str, attempt: &str) -> bool {
        let time = Duration::from_millis(query_number(path, "work").unwrap_or(30));
        if !work(stream, time) {
            say(&format!("left {attempt}"));
            return false;
        }
        let text = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {}.{attempt}\r\nContent-Length: 3\r\n\r\nok\n",
            self.id
        );
        say(&format!("done {attempt}"));
        stream.write_all(text.as_bytes()).is_ok()
    }

    /// True for 9 of 20 requests while the worker lets requests hang.
    fn hangs(&self) -> bool {
        let number = self.requests.fetch_add(1, Ordering::SeqCst);
        let age = self.started.elapsed();
        let is_due = self.hang.is_some_and(|(from, length)| age >= from && age < from + length);
        is_due && number * 9 % 20 < 9
    }

    fn stream_events(
        &self,
        mut stream: &TcpStream,
        head: &Head,
        path: &str,
        attempt: &str,
        events: u64,
    ) -> bool {
        let last: u64 = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let first = query_number(path, "first").unwrap_or(50);
        let gap = Duration::from_millis(query_number(path, "gap").unwrap_or(50));
        let parts = head.get("prefix-hash").unwrap_or("");
        let crashes = self.crash_part.as_ref().is_some_and(|part| parts.contains(part.as_str()));
        let hangs = self.hangs();
        let first = if hangs { HANG_LIMIT } else { Duration::from_millis(first) };
        if !work(stream, first) || hangs {
            say(&format!("left {attempt}"));
            return false;
        }
        let mut written = 0;
        for id in last + 1..=events {
            if crashes && written >= self.crash_after {
                say(&format!("crash {attempt} after {written} events"));
                std::process::exit(1);
            }
            let mut text = String::new();
            if written == 0 {
                text = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {}.{attempt}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                    self.id
                );
            }
            let event = format!("id: {id}\ndata: {} {}\n\n", self.version, self.id);
            text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
            if stream.write_all(text.as_bytes()).is_err() || (id < events && !work(stream, gap)) {
                say(&format!("left {attempt}"));
                return false;
            }
            written += 1;
        }
        say(&format!("done {attempt}"));
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

fn heartbeat_address(answer: &[u8]) -> Option<SocketAddr> {
    let text = String::from_utf8_lossy(answer);
    let (_, rest) = text.split_once("\"heartbeat_address\":\"")?;
    rest.split('"').next()?.parse().ok()
}
