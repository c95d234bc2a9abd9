//! Clients on kept connections send bodies of the largest size that the configuration allows. The
//! platform kills a process that uses more memory than its settings say.

use crate::Verdict;
use crate::fleet::{Fleet, ProcessList, start_worker};
use crate::http::{request_bytes, status_of};
use crate::record::Record;
use crate::site::{config, stream_call, worker_specs};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const MACHINES: usize = 5;
const WORKERS: u8 = 9;
const CLIENTS: u32 = 36;
/// `max_body_bytes` of the configuration.
const LARGE_BODY: usize = 4 << 20;
/// Mean size of a request of the sheet's `dossier-review`.
const USUAL_BODY: usize = 18_000;
/// `memory_mb` of the settings.
const MEMORY_LIMIT_KB: u64 = 110 * 1024;
/// Requests without an answer that the rule allows.
const ALLOWED: usize = 3;
const DEADLINE: Duration = Duration::from_secs(6);

pub fn run(trouble: bool, processes: &ProcessList, record: &Record) -> Result<Verdict, String> {
    let fleet = Fleet::start(MACHINES, processes.clone(), &config(), record)?;
    for spec in worker_specs(&fleet, WORKERS) {
        start_worker(&fleet, &spec, record)?;
    }
    thread::sleep(Duration::from_secs(3));
    record.note("traffic begins");
    let router = fleet.routers[0];
    let peak = Arc::new(AtomicU64::new(0));
    watch_memory(router, processes, record, &peak);
    let size = if trouble { LARGE_BODY } else { USUAL_BODY };
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|number| {
            thread::sleep(Duration::from_millis(40));
            let (record, address) = (record.clone(), fleet.frontend(0));
            thread::spawn(move || run_client(&record, number, address, size))
        })
        .collect();
    let outcomes: Vec<Outcome> =
        clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let lines = record.lines();
    let was_run = |number: &u32| {
        lines.iter().any(|(_, line)| line.contains(&format!(": run {}", attempt_id(*number, 1))))
    };
    let numbers: Vec<u32> = (1..=CLIENTS).collect();
    let lost = numbers
        .iter()
        .zip(&outcomes)
        .filter(|(number, outcome)| **outcome == Outcome::Unanswered && was_run(number));
    let lost = lost.count();
    record.note(&format!(
        "check: the router used {} KB at most, of {MEMORY_LIMIT_KB}; {lost} of {CLIENTS} requests on kept connections were passed on to a worker and got no answer, at most {ALLOWED} may",
        peak.load(Ordering::SeqCst)
    ));
    Ok(if lost > ALLOWED { Verdict::Broken } else { Verdict::Held })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Answered(u16),
    /// The connection ended without an answer.
    Unanswered,
    /// The connection was not there for the second request.
    NotSent,
}

fn attempt_id(client: u32, request: u32) -> String {
    format!("{:016x}", u64::from(client) << 8 | u64::from(request))
}

/// Kills the process once it uses more memory than the platform allows.
fn watch_memory(process: u32, processes: &ProcessList, record: &Record, peak: &Arc<AtomicU64>) {
    let (processes, record, peak) = (processes.clone(), record.clone(), Arc::clone(peak));
    thread::spawn(move || {
        while processes.is_running(process) {
            let status = std::fs::read_to_string(format!("/proc/{process}/status"));
            let status = status.unwrap_or_default();
            let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
            let number = line.split_whitespace().nth(1).and_then(|text| text.parse().ok());
            let used: u64 = number.unwrap_or(0);
            peak.fetch_max(used, Ordering::SeqCst);
            if used > MEMORY_LIMIT_KB {
                record.note(&format!("platform: a router uses {used} KB and is killed"));
                processes.kill(process);
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
    });
}

/// Sends a small request and, on the same connection, one with a body of `size` bytes.
fn run_client(record: &Record, number: u32, address: SocketAddr, size: usize) -> Outcome {
    let Ok(mut stream) = TcpStream::connect(address) else { return Outcome::NotSent };
    let _ = stream.set_read_timeout(Some(DEADLINE));
    if send(&mut stream, address, number, 0, 100, 5).is_err() {
        return Outcome::NotSent;
    }
    let first = read_answer(&mut stream);
    if first != Some(200) {
        record.note(&format!("client {number}: the first request got {first:?}"));
        return Outcome::NotSent;
    }
    record.note(&format!("client {number}: sends {size} bytes on its connection"));
    // A router that refuses the request may answer before it has read the body.
    let sent = send(&mut stream, address, number, 1, size, 1500);
    let answer = read_answer(&mut stream);
    record.note(&format!("client {number}: sent {}, got {answer:?}", sent.is_ok()));
    answer.map_or(Outcome::Unanswered, Outcome::Answered)
}

fn send(
    stream: &mut TcpStream,
    address: SocketAddr,
    client: u32,
    request: u32,
    size: usize,
    first_ms: u32,
) -> std::io::Result<()> {
    let attempt = attempt_id(client, request);
    let path = format!("/dossier/{client}?first={first_ms}&gap=20&events=10");
    let call = stream_call(address, &path, &attempt, &format!("a{client:07x}:341"), DEADLINE);
    let headers: Vec<(&str, &str)> =
        call.headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
    stream.write_all(&request_bytes("POST", &path, address, &headers, &vec![b'x'; size]))
}

/// Status of a complete answer; `None` if the connection ends or is silent before.
fn read_answer(stream: &mut TcpStream) -> Option<u16> {
    let (mut input, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        let length = stream.read(&mut buffer).ok().filter(|length| *length > 0)?;
        input.extend_from_slice(&buffer[..length]);
        let text = String::from_utf8_lossy(&input);
        let is_chunked = text.to_ascii_lowercase().contains("transfer-encoding: chunked");
        if text.contains("\r\n\r\n") && (!is_chunked || text.ends_with("0\r\n\r\n")) {
            return Some(status_of(&text));
        }
    }
}
