//! A worker crashes behind a cut and starts again under its id. After the cut it deregisters, and
//! then a heartbeat that it sent before arrives late.

use crate::Verdict;
use crate::fleet::{Fleet, ProcessList, start_worker};
use crate::proxy::{self, Link};
use crate::record::Record;
use crate::site::{config, stream_call, worker_specs};
use std::thread;
use std::time::{Duration, Instant};

const MACHINES: usize = 5;
const WORKERS: u8 = 5;
/// `drain_ms` of the small site.
const DRAIN: Duration = Duration::from_millis(2000);
/// Length of the cut; `for_s` where an entry names none.
const CUT: Duration = Duration::from_secs(5);
const RESTART: Duration = Duration::from_secs(1);
/// Time after the cut at which the worker leaves.
const LEAVE_DELAY: Duration = Duration::from_millis(500);
/// How late its heartbeats arrive after the cut.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(900);
/// Time for which the worker serves after it has left.
const LINGER: Duration = Duration::from_secs(7);
const PAUSE: Duration = Duration::from_millis(40);

pub fn run(trouble: bool, processes: &ProcessList, record: &Record) -> Result<Verdict, String> {
    let fleet = Fleet::start(MACHINES, processes.clone(), &config(), record)?;
    let link = Link::default();
    let mut specs = worker_specs(&fleet, WORKERS);
    let nodes = fleet.control_plane();
    let proxies: Vec<_> =
        (0u8..).take(nodes.len()).map(|index| fleet.proxy_address(index)).collect();
    for (address, node) in proxies.iter().zip(&nodes) {
        proxy::start(*address, *node, &link).map_err(|error| error.to_string())?;
    }
    specs[0].control = proxies;
    let leave_at = Duration::from_secs(3) + CUT + LEAVE_DELAY;
    if !trouble {
        specs[0].extra = vec!["--leave-after-ms".to_owned(), leave_at.as_millis().to_string()];
    }
    let mut workers = Vec::new();
    for spec in &specs {
        workers.push(start_worker(&fleet, spec, record)?);
    }
    thread::sleep(Duration::from_secs(3));
    record.note("traffic begins");
    let begun = Instant::now();
    let (mut restarted, mut healed, mut number) = (false, false, 0u32);
    if trouble {
        record.note("worker i-00 is cut off from the core and crashes");
        link.cut();
        fleet.processes.kill(workers[0]);
    }
    let mut clients = Vec::new();
    while begun.elapsed() < CUT + LINGER {
        if trouble && !restarted && begun.elapsed() >= RESTART {
            restarted = true;
            let leave = CUT + LEAVE_DELAY - begun.elapsed();
            if std::env::var_os("NEW_ID").is_some() {
                specs[0].id.push_str("-1");
            }
            specs[0].extra = vec!["--leave-after-ms".to_owned(), leave.as_millis().to_string()];
            workers[0] = start_worker(&fleet, &specs[0], record)?;
        }
        if trouble && !healed && begun.elapsed() >= CUT {
            healed = true;
            record.note("the cut heals");
            link.heal(HEARTBEAT_DELAY);
        }
        number += 1;
        let (address, record) = (fleet.frontend(number as usize), record.clone());
        clients.push(thread::spawn(move || {
            let attempt = format!("{number:016x}");
            let path = "/dossier/1?first=40&gap=20&events=5";
            let parts = format!("a{number:07x}:341");
            record.note(&format!("client: sent {attempt} to {address}"));
            let answer = stream_call(address, path, &attempt, &parts, Duration::from_secs(6)).run();
            record.note(&format!("client: {attempt} got {}, {:?}", answer.status, answer.end));
        }));
        thread::sleep(PAUSE);
    }
    for client in clients {
        let _ = client.join();
    }
    let lines = record.lines();
    let acknowledged = lines.iter().find(|(_, line)| line.ends_with("its DELETE was acknowledged"));
    let acknowledged = acknowledged.ok_or("the worker's DELETE was not acknowledged")?.0;
    let reached = lines.iter().filter(|(at, line)| {
        let is_run = line.starts_with("worker i-00") && line.contains(": run ");
        *at > acknowledged + DRAIN && is_run
    });
    let reached = reached.count();
    record.note(&format!(
        "check: {reached} requests reached worker i-00 later than drain_ms after its DELETE was acknowledged, none may"
    ));
    Ok(if reached > 0 { Verdict::Broken } else { Verdict::Held })
}
