//! The machine whose controller leads stands still just after its router has begun some streams.
//! Their clients leave after the longest pause that the pages give them and take the streams up at
//! other machines. LOST: at least half as many of them go on as new streams begin.

use crate::restarted_server::Servers;
use crate::site::{FRONTEND, Record, Site, document};
use crate::streams::{Attempt, read_patiently};
use crate::{EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN, http};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A stream that lasts 5 s, with the deadline, the aim and the pauses of fault-diagnosis at
/// teranga-vend-grown.
const EVENTS: u64 = 25;
const EVENT_GAP_MS: u64 = 200;
const DEADLINE: Duration = Duration::from_millis(6000);
/// Eight times the longest pause of 400 ms.
const PATIENCE: Duration = Duration::from_millis(3200);
const STREAMS: usize = 24;
const NEW_STREAMS: usize = 16;
const FROZEN: Duration = Duration::from_secs(5);
const SERVERS: usize = 4;

/// The machine whose controller said last that it leads.
fn leader(site: &Site) -> Option<usize> {
    let mut found = None;
    for host in 1..=3 {
        let path = site.folder.join(format!("controller-{host}.log"));
        let log = std::fs::read_to_string(path).unwrap_or_default();
        let said = log.lines().rfind(|line| line.contains("\"leadership_changed\""));
        if said.is_some_and(|line| line.contains("\"leads\":true")) {
            found = Some(host);
        }
    }
    found
}

pub fn run(folder: PathBuf, trouble: bool) -> i32 {
    let mut record = Record::new(&folder.join("record.txt"));
    record.line(format!("TROUBLE={}", i32::from(trouble)));
    let mut site = Site::new(3, 3);
    for host in 1..=3 {
        site.start("controller", host, true);
        site.start("router", host, true);
    }
    let routes = "{\"name\":\"r-sum\",\"host\":\"ficu95.example\",\"path_prefix\":\"/sum/\",\"type\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":600,\"priority\":1,\"service\":\"llm\",\"max_attempts\":2,\"public\":false,\"session_affinity\":true,\"stream_resume\":true,\"target_gap_ms\":400}";
    let services = "{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_connections\":510,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":96,\"kv_capacity\":637085,\"kv_bytes\":96256,\"link_mbps\":1100000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"kv_handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}";
    let (body, control) = (document(7, routes, services), site.control());
    let patience = Duration::from_secs(30);
    let put = http::call_control(&control, "PUT", "/api/config", body.as_bytes(), patience);
    if !put.is_some_and(|put| put.0 == 200) || !site.await_ready(Duration::from_secs(20)) {
        record.line("the site did not start");
        return EXIT_NOT_RUN;
    }
    let mut servers = Servers { site: &mut site, events: EVENTS, gap_ms: EVENT_GAP_MS };
    for number in 1..=SERVERS {
        servers.start(number, "v1");
    }
    std::thread::sleep(Duration::from_millis(5000));
    let Some(leads) = leader(servers.site) else {
        record.line("no controller leads");
        return EXIT_NOT_RUN;
    };
    let others: Vec<usize> = (1..=3).filter(|host| *host != leads).collect();
    let begun = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (router, begun) = (servers.site.address(leads, FRONTEND), Arc::clone(&begun));
        let next = servers.site.address(others[number % 2], FRONTEND);
        clients.push(std::thread::spawn(move || {
            let (path, start) = (format!("/sum/{number}"), Instant::now());
            let is_first = std::sync::atomic::AtomicBool::new(true);
            let first = read_patiently(router, &path, DEADLINE, PATIENCE, None, || {
                if is_first.swap(false, Ordering::Relaxed) {
                    begun.fetch_add(1, Ordering::Relaxed);
                }
            });
            let last = first.events.last().map_or(0, |event| event.id);
            if first.is_complete || last == 0 {
                return (first, None, start.elapsed());
            }
            let (left, at) = (DEADLINE.saturating_sub(start.elapsed()), start.elapsed());
            let again = read_patiently(next, &path, left, left, Some((&first.id, last)), || {});
            (first, Some(again), at)
        }));
    }
    let wait = Instant::now();
    while begun.load(Ordering::Relaxed) < STREAMS && wait.elapsed() < Duration::from_secs(1) {
        std::thread::sleep(Duration::from_millis(2));
    }
    record.line(format!(
        "{} streams have begun at machine {leads}, {} ms after the first was sent",
        begun.load(Ordering::Relaxed),
        wait.elapsed().as_millis()
    ));
    let frozen = Instant::now();
    let names = [format!("controller-{leads}"), format!("router-{leads}")];
    if trouble {
        names.iter().for_each(|name| servers.site.signal(name, "STOP"));
        record.line(format!("machine {leads}, whose controller leads, stands still"));
    }
    std::thread::sleep((PATIENCE + Duration::from_millis(100)).saturating_sub(frozen.elapsed()));
    let mut new_clients = Vec::new();
    for number in 0..NEW_STREAMS {
        let router = servers.site.address(others[number % 2], FRONTEND);
        new_clients.push(std::thread::spawn(move || {
            read_patiently(router, &format!("/sum/new{number}"), DEADLINE, PATIENCE, None, || {})
        }));
    }
    std::thread::sleep(FROZEN.saturating_sub(frozen.elapsed()));
    if trouble {
        names.iter().for_each(|name| servers.site.signal(name, "CONT"));
        record.line(format!("machine {leads} wakes"));
    }
    let (mut taken_up, mut gone_on, mut complete) = (0, 0, 0);
    for client in clients {
        let Ok((first, again, at)) = client.join() else { continue };
        let text = |attempt: &Attempt| {
            format!(
                "{} status {} complete {} {}",
                attempt.id,
                attempt.status,
                attempt.is_complete,
                attempt.summary()
            )
        };
        record.line(format!("client: {}", text(&first)));
        complete += usize::from(first.is_complete);
        if let Some(again) = again {
            record.line(format!("client: taken up after {} ms: {}", at.as_millis(), text(&again)));
            taken_up += 1;
            gone_on += usize::from(!again.events.is_empty());
        }
    }
    let new = new_clients.into_iter().filter_map(|client| client.join().ok());
    let new_begun = new.filter(|attempt| !attempt.events.is_empty()).count();
    record.line(format!("taken up {taken_up}, gone on {gone_on}; new {NEW_STREAMS}, begun {new_begun}; complete at once {complete}"));
    if !trouble {
        return if complete == STREAMS { EXIT_HELD } else { EXIT_NOT_RUN };
    }
    if taken_up < 12 || new_begun == 0 {
        return EXIT_NOT_RUN;
    }
    // Shares: gone_on / taken_up against half of new_begun / NEW_STREAMS.
    let is_broken = gone_on * 2 * NEW_STREAMS < new_begun * taken_up;
    if is_broken { EXIT_BROKEN } else { EXIT_HELD }
}
