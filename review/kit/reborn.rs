//! Workers of version 1 that are cut off from the core crash and start again under their ids with
//! version 2. Clients take up the streams that version 1 began.

use crate::Verdict;
use crate::client::StreamEnd;
use crate::fleet::{Fleet, ProcessList, start_worker};
use crate::record::Record;
use crate::site::{config, stream_call, worker_specs};
use std::thread;
use std::time::{Duration, Instant};

const MACHINES: usize = 5;
/// Streams that hold events of two versions which the rule allows.
const ALLOWED: usize = 2;
/// Length of the cut; `for_s` where an entry names none.
const CUT: Duration = Duration::from_secs(5);
/// Time until a crashed worker runs again.
const RESTART: Duration = Duration::from_millis(1000);
/// Pause between the crashes of the two workers.
const STAGGER: Duration = Duration::from_millis(1800);
const STREAMS: u32 = 20;
/// Workers of the service, those of version 1 among them, and those that are cut off: a share of
/// 0.2, which is what an entry without a share means.
const WORKERS: u8 = 10;
const OLD_WORKERS: usize = 2;
const CUT_WORKERS: usize = 2;
const DEADLINE: Duration = Duration::from_secs(15);
/// Attempts of a client after the first.
const RETRIES: u32 = 3;

pub fn run(trouble: bool, processes: &ProcessList, record: &Record) -> Result<Verdict, String> {
    let fleet = Fleet::start(MACHINES, processes.clone(), &config(), record)?;
    let mut workers = Vec::new();
    for (index, mut spec) in worker_specs(&fleet, WORKERS).into_iter().enumerate() {
        if index >= OLD_WORKERS {
            spec.version = "v2";
        }
        workers.push((start_worker(&fleet, &spec, record)?, spec));
    }
    thread::sleep(Duration::from_secs(3));
    record.note("traffic begins");
    let clients: Vec<_> = (1..=STREAMS)
        .map(|number| {
            thread::sleep(Duration::from_millis(12));
            let addresses: Vec<_> =
                (0..=RETRIES).map(|retry| fleet.frontend((number + retry) as usize)).collect();
            let record = record.clone();
            thread::spawn(move || run_client(&record, number, &addresses))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    if trouble {
        let cut_ms = std::env::var("CUT_MS").ok().and_then(|text| text.parse().ok());
        let cut = cut_ms.map_or(CUT, Duration::from_millis);
        let cut_begun = Instant::now();
        record.note("workers i-00 and i-01 are cut off from the core");
        for (process, spec) in workers.iter_mut().take(CUT_WORKERS) {
            record.note(&format!("worker {} crashes", spec.id));
            fleet.processes.kill(*process);
            thread::sleep(RESTART);
            spec.version = "v2";
            let left = cut.saturating_sub(cut_begun.elapsed());
            spec.extra = vec!["--cut-ms".to_owned(), left.as_millis().to_string()];
            *process = start_worker(&fleet, spec, record)?;
            thread::sleep(STAGGER.saturating_sub(RESTART));
        }
    }
    let results: Vec<Vec<String>> =
        clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let mixed = results.iter().filter(|versions| versions.len() > 1).count();
    record.note(&format!(
        "check: {mixed} of {} streams hold events of two versions, at most {ALLOWED} may",
        results.len()
    ));
    Ok(if mixed > ALLOWED { Verdict::Broken } else { Verdict::Held })
}

/// Reads one stream, over several attempts if it is cut, and returns the versions in it.
fn run_client(record: &Record, number: u32, addresses: &[std::net::SocketAddr]) -> Vec<String> {
    let begun = Instant::now();
    let path = format!("/case/{number}?first=60&gap=100&events=70");
    let mut versions: Vec<String> = Vec::new();
    let (mut last, mut origin) = (0, None::<String>);
    for (retry, address) in addresses.iter().enumerate() {
        let left = DEADLINE.saturating_sub(begun.elapsed());
        let attempt = format!("{:016x}", u64::from(number) << 8 | retry as u64);
        let mut call = stream_call(*address, &path, &attempt, &format!("a{number:07x}:341"), left);
        if let Some(origin) = &origin {
            call.headers.push(("Last-Event-Id".to_owned(), last.to_string()));
            call.headers.push(("Resumes".to_owned(), origin.clone()));
        }
        record.note(&format!("client: sent {attempt} to {address}, last event {last}"));
        let answer = call.run();
        if let Some((id, _)) = answer.events.last() {
            last = *id;
            origin.get_or_insert(attempt.clone());
        }
        for (_, data) in &answer.events {
            let version = data.split(' ').next().unwrap_or("").to_owned();
            if !versions.contains(&version) {
                versions.push(version);
            }
        }
        record.note(&format!(
            "client: {attempt} got {} with {} events, last {last}, versions {versions:?}, {:?}",
            answer.status,
            answer.events.len(),
            answer.end
        ));
        if answer.status == 200 && answer.end == StreamEnd::Complete {
            break;
        }
        let left = DEADLINE.saturating_sub(begun.elapsed());
        let pause = answer.retry_after.unwrap_or(0.1).min(left.as_secs_f64() / 3.0);
        thread::sleep(Duration::from_secs_f64(pause));
    }
    versions
}
