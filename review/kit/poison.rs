//! A part of a prompt crashes each worker that begins to write an answer on it: the worker writes
//! the first event and ends.

use crate::Verdict;
use crate::client::StreamEnd;
use crate::fleet::{Fleet, ProcessList, start_worker};
use crate::record::Record;
use crate::site::{config, stream_call, worker_specs};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const MACHINES: usize = 5;
const WORKERS: u8 = 6;
const DEADLY_PART: &str = "dead0001";
/// `contact_ms` of the small site.
const CONTACT: Duration = Duration::from_millis(3000);
/// Crashes after which the rule bounds the requests with the part.
const CRASHES: usize = 5;
/// Most such requests that the rule allows.
const ALLOWED: usize = 3;
/// Time until a crashed worker is back.
const RESTART: Duration = Duration::from_secs(3);
const TRAFFIC: Duration = Duration::from_secs(45);
const SOUND_PAUSE: Duration = Duration::from_millis(125);
const DEADLY_PAUSE: Duration = Duration::from_millis(800);
const DEADLINE: Duration = Duration::from_secs(6);

pub fn run(trouble: bool, processes: &ProcessList, record: &Record) -> Result<Verdict, String> {
    let fleet = Fleet::start(MACHINES, processes.clone(), &config(), record)?;
    let events_before = std::env::var("EVENTS_BEFORE_CRASH").unwrap_or_else(|_| "1".to_owned());
    let mut extra = Vec::new();
    if trouble {
        extra = ["--crash-part", DEADLY_PART, "--crash-after", &events_before]
            .map(str::to_owned)
            .to_vec();
    }
    let mut workers = Vec::new();
    for mut spec in worker_specs(&fleet, WORKERS) {
        spec.id.push_str("-0");
        spec.extra = extra.clone();
        workers.push((start_worker(&fleet, &spec, record)?, spec, None::<Instant>));
    }
    thread::sleep(Duration::from_secs(3));
    record.note("traffic begins");
    let broken = Arc::new(AtomicU32::new(0));
    let sound = Arc::new(AtomicU32::new(0));
    let begun = Instant::now();
    let (mut next_sound, mut next_deadly, mut number) = (begun, begun, 0u32);
    let mut clients = Vec::new();
    while begun.elapsed() < TRAFFIC {
        let now = Instant::now();
        if now >= next_sound {
            next_sound += SOUND_PAUSE;
            number += 1;
            let parts = format!("a0000001:341,b{:07x}:227", number % 60);
            clients.push(spawn_client(&fleet, record, number, parts, Some((&sound, &broken))));
        }
        if now >= next_deadly {
            next_deadly += DEADLY_PAUSE;
            number += 1;
            let parts = format!("a0000001:341,{DEADLY_PART}:227");
            clients.push(spawn_client(&fleet, record, number, parts, None));
        }
        for (process, spec, down_since) in &mut workers {
            match *down_since {
                None if !fleet.processes.is_running(*process) => *down_since = Some(now),
                Some(since) if since.elapsed() >= RESTART => {
                    let (name, life) = spec.id.rsplit_once('-').unwrap_or(("i", "0"));
                    spec.id = format!("{name}-{}", life.parse::<u32>().unwrap_or(0) + 1);
                    *process = start_worker(&fleet, spec, record)?;
                    *down_since = None;
                }
                _ => {}
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    for client in clients {
        let _ = client.join();
    }
    let lines = record.lines();
    let crashes: Vec<Duration> =
        lines.iter().filter(|(_, line)| line.contains(": crash ")).map(|(at, _)| *at).collect();
    let reached = match crashes.get(CRASHES - 1) {
        Some(fifth) => {
            let late = lines.iter().filter(|(at, _)| *at > *fifth + CONTACT);
            late.filter(|(_, line)| line.contains(": run ") && line.contains(DEADLY_PART)).count()
        }
        None => 0,
    };
    record.note(&format!(
        "check: {} crashes; {reached} requests with the part reached workers later than contact_ms after the fifth, at most {ALLOWED} may; {} of {} sound streams were cut",
        crashes.len(), broken.load(Ordering::SeqCst), sound.load(Ordering::SeqCst)
    ));
    Ok(if reached > ALLOWED { Verdict::Broken } else { Verdict::Held })
}

/// Sends one stream on the route `/dossier/`. Counts sound streams and those that were cut.
fn spawn_client(
    fleet: &Fleet,
    record: &Record,
    number: u32,
    parts: String,
    counts: Option<(&Arc<AtomicU32>, &Arc<AtomicU32>)>,
) -> thread::JoinHandle<()> {
    let counts = counts.map(|(sound, broken)| (Arc::clone(sound), Arc::clone(broken)));
    let attempt = format!("{number:016x}");
    let address = fleet.frontend(usize::try_from(number).unwrap());
    let path = format!("/dossier/{number}?first=60&gap=50&events=40");
    let record = record.clone();
    thread::spawn(move || {
        record.note(&format!("client: sent {attempt} to {address} parts={parts}"));
        let answer = stream_call(address, &path, &attempt, &parts, DEADLINE).run();
        record.note(&format!(
            "client: {attempt} got {} with {} events, {:?}",
            answer.status,
            answer.events.len(),
            answer.end
        ));
        if let Some((sound, broken)) = counts {
            sound.fetch_add(1, Ordering::SeqCst);
            let cut = answer.status == 200 && answer.end != StreamEnd::Complete;
            broken.fetch_add(u32::from(cut), Ordering::SeqCst);
        }
    })
}
