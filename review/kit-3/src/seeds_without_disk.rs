//! A site starts for the first time, and none of the three machines that the settings name as seeds
//! has a disk. Machines with a disk serve the control plane beside them. Nothing fails: the site
//! must start.

use crate::restarted_server::Servers;
use crate::site::{FRONTEND, Record, Site, document};
use crate::streams::read_stream;
use crate::{EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN, http};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Five zones with three machines each that serve the control plane, of which the first has a disk,
/// as the deploy file places them on elvan-bidrag-large.
const ZONES: usize = 5;
const IN_ZONE: usize = 3;
const PATIENCE: Duration = Duration::from_secs(60);
const SERVERS: usize = 4;
const REQUESTS: usize = 60;
const DEADLINE: Duration = Duration::from_millis(3000);

pub fn run(folder: PathBuf, trouble: bool) -> i32 {
    let mut record = Record::new(&folder.join("record.txt"));
    record.line(format!("TROUBLE={}", i32::from(trouble)));
    let machines = ZONES * IN_ZONE;
    let mut site = Site::new(machines, machines);
    site.tolerated = 2;
    site.diskless = (1..=machines).filter(|machine| machine % IN_ZONE != 1).collect();
    // The second machines of three zones; without the trouble, the third seed has a disk.
    site.seeds = if trouble { vec![2, 5, 8] } else { vec![2, 5, 7] };
    record.line(format!("seeds {:?}; machines without a disk {:?}", site.seeds, site.diskless));
    for host in 1..=machines {
        site.start("controller", host, true);
        site.start("router", host, true);
    }
    record.line("all machines start for the first time, bootstrap is true");
    let routes = "{\"name\":\"r-sum\",\"host\":\"ficu95.example\",\"path_prefix\":\"/sum/\",\"type\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"llm\",\"max_attempts\":2,\"public\":false,\"session_affinity\":true,\"stream_resume\":true,\"target_gap_ms\":250}";
    let services = "{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_connections\":510,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":96,\"kv_capacity\":637085,\"kv_bytes\":96256,\"link_mbps\":1100000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"kv_handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}";
    let body = document(7, routes, services);
    let mut servers = Servers { site: &mut site, events: 5, gap_ms: 50 };
    for number in 1..=SERVERS {
        servers.start(number, "v1");
    }
    let (control, asked) = (site.control(), Instant::now());
    let put = http::call_control(&control, "PUT", "/api/config", body.as_bytes(), PATIENCE);
    let put = put.map(|put| put.0);
    record.line(format!(
        "operator: PUT version 7, sent again for up to {} s: {put:?} after {} ms",
        PATIENCE.as_secs(),
        asked.elapsed().as_millis()
    ));
    if put.is_some_and(|status| status != 200) {
        return EXIT_NOT_RUN;
    }
    if put.is_some() {
        let is_ready = site.await_ready(Duration::from_secs(20));
        record.line(format!("all routers are ready: {is_ready}"));
        std::thread::sleep(Duration::from_secs(5));
    }
    let ready = (1..=machines).filter(|host| site.is_ready(*host)).count();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let router = site.address(1 + number % machines, FRONTEND);
            std::thread::spawn(move || {
                read_stream(router, &format!("/sum/{number}"), DEADLINE, None)
            })
        })
        .collect();
    let mut served = 0;
    for client in clients {
        let Ok(attempt) = client.join() else { continue };
        served += usize::from(attempt.is_complete);
        let (id, status, is_complete) = (&attempt.id, attempt.status, attempt.is_complete);
        record.line(format!(
            "client: {id} status {status} complete {is_complete} {}",
            attempt.summary()
        ));
    }
    record.line(format!(
        "routers ready: {ready} of {machines}; requests served: {served} of {REQUESTS}"
    ));
    if put.is_none() && served == 0 {
        return EXIT_BROKEN;
    }
    if served == REQUESTS { EXIT_HELD } else { EXIT_NOT_RUN }
}
