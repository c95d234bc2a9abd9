//! A worker crashes while others let a part of their requests hang. Streams go on at such a
//! worker, and their clients leave and take them up at another machine.

use crate::Verdict;
use crate::client::StreamEnd;
use crate::fleet::{Fleet, ProcessList, start_worker};
use crate::record::Record;
use crate::site::{config, stream_call, worker_specs};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const MACHINES: usize = 5;
const WORKERS: u8 = 9;
/// Streams that run when the worker crashes, twelve on each worker.
const STREAMS: u32 = 108;
/// Streams that begin while requests hang, and the pause between them.
const LATER_STREAMS: u32 = 8;
const LATER_PAUSE: Duration = Duration::from_millis(450);
/// Time of the workers' life from which requests hang, and for how long.
const HANG_FROM: Duration = Duration::from_millis(6000);
const HANG_FOR: Duration = Duration::from_millis(4000);
const DEADLINE: Duration = Duration::from_secs(15);
/// Time after the close in which a worker may still be at work.
const GRACE: Duration = Duration::from_millis(500);

/// An attempt that its client left.
struct Leaver {
    attempt: String,
    left_at: Duration,
}

pub fn run(trouble: bool, processes: &ProcessList, record: &Record) -> Result<Verdict, String> {
    let fleet = Fleet::start(MACHINES, processes.clone(), &config(), record)?;
    let mut extra = Vec::new();
    if trouble {
        let millis = |time: Duration| time.as_millis().to_string();
        extra = vec![
            "--hang-from-ms".into(),
            millis(HANG_FROM),
            "--hang-for-ms".into(),
            millis(HANG_FOR),
        ];
    }
    let begun = Instant::now();
    let mut workers = Vec::new();
    for mut spec in worker_specs(&fleet, WORKERS) {
        spec.extra = extra.clone();
        workers.push(start_worker(&fleet, &spec, record)?);
    }
    thread::sleep(Duration::from_secs(3));
    record.note("traffic begins");
    let spawn = |number: u32| {
        let addresses = [fleet.frontend(number as usize), fleet.frontend(number as usize + 1)];
        let record = record.clone();
        thread::spawn(move || run_client(&record, number, addresses))
    };
    let mut clients = Vec::new();
    for number in 1..=STREAMS {
        clients.push(spawn(number));
        thread::sleep(Duration::from_millis(15));
    }
    thread::sleep(
        (begun + HANG_FROM + Duration::from_millis(200)).saturating_duration_since(Instant::now()),
    );
    if trouble {
        record.note("worker i-00 crashes");
        fleet.processes.kill(workers[0]);
    }
    for number in STREAMS + 1..=STREAMS + LATER_STREAMS {
        clients.push(spawn(number));
        thread::sleep(LATER_PAUSE);
    }
    let leavers: Vec<Leaver> =
        clients.into_iter().filter_map(|client| client.join().ok()).flatten().collect();
    thread::sleep(Duration::from_secs(2));
    let lines = record.lines();
    let ended_late = |leaver: &&Leaver| {
        let end = format!(": left {}", leaver.attempt);
        let ended = lines.iter().rev().find(|(_, line)| line.ends_with(&end));
        ended.is_some_and(|(at, _)| *at > leaver.left_at + GRACE)
    };
    let late = leavers.iter().filter(ended_late).count();
    record.note(&format!(
        "check: clients left {} streams; workers were still at work half a second later on {late} of these, at most a quarter may",
        leavers.len()
    ));
    Ok(if late * 4 > leavers.len() { Verdict::Broken } else { Verdict::Held })
}

/// Reads a stream. If it pauses for longer than the client waits, the client leaves and takes it
/// up at the other machine. Returns the attempts that the client left.
fn run_client(record: &Record, number: u32, addresses: [SocketAddr; 2]) -> Vec<Leaver> {
    let begun = Instant::now();
    let path = format!("/case/{number}?first=60&gap=100&events=75");
    let parts = format!("a{number:07x}:341");
    let first_attempt = format!("{:016x}", u64::from(number) << 8);
    let (mut last, mut leavers) = (0, Vec::new());
    for (retry, address) in addresses.iter().enumerate() {
        let attempt = format!("{:016x}", u64::from(number) << 8 | retry as u64);
        let left = DEADLINE.saturating_sub(begun.elapsed());
        let mut call = stream_call(*address, &path, &attempt, &parts, left);
        if last > 0 {
            call.headers.push(("Last-Event-Id".to_owned(), last.to_string()));
            call.headers.push(("Resumes".to_owned(), first_attempt.clone()));
        }
        record.note(&format!("client: sent {attempt} to {address}, last event {last}"));
        let answer = call.run();
        let left_at = record.elapsed();
        last = answer.events.last().map_or(last, |(id, _)| *id);
        record.note(&format!(
            "client: {attempt} got {} to event {last}, {:?}",
            answer.status, answer.end
        ));
        if answer.end != StreamEnd::Left {
            break;
        }
        leavers.push(Leaver { attempt, left_at });
    }
    leavers
}
