//! The whole system starts for the first time. The machine that founds the group of controllers
//! loses its disk 0.6 s later, before the others have joined. Once it is back, the system must
//! start: one disk was lost, as many as `fault_tolerance` allows.

use crate::site::{Record, Site, document};
use crate::{EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN, http};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The group is founded by the seed with the lowest address.
const FOUNDER: usize = 1;
/// Time after the start at which the disk is lost, unless `AFTER_MS` says another one.
const LOST_AFTER_MS: u64 = 600;
/// `recovery_s` is 12.
const PATIENCE: Duration = Duration::from_secs(60);

pub fn run(folder: PathBuf, trouble: bool) -> i32 {
    let mut record = Record::new(&folder.join("record.txt"));
    record.line(format!("TROUBLE={}", i32::from(trouble)));
    let after = std::env::var("AFTER_MS").ok().and_then(|text| text.parse().ok());
    let after = Duration::from_millis(after.unwrap_or(LOST_AFTER_MS));
    let mut site = Site::new(3, 3);
    let begun = Instant::now();
    for host in 1..=3 {
        site.start("controller", host, true);
        site.start("router", host, true);
    }
    record.line("machines 1 to 3 start for the first time, bootstrap is true");
    if trouble {
        std::thread::sleep(after.saturating_sub(begun.elapsed()));
        site.kill(&format!("controller-{FOUNDER}"));
        site.kill(&format!("router-{FOUNDER}"));
        std::fs::remove_dir_all(site.data_folder(FOUNDER)).expect("data folder");
        record.line(format!(
            "machine {FOUNDER} loses power and its disk, {} ms after the start",
            begun.elapsed().as_millis()
        ));
        std::thread::sleep(Duration::from_secs(1));
        site.start("controller", FOUNDER, false);
        site.start("router", FOUNDER, false);
        record.line(format!(
            "machine {FOUNDER} is back at its address with an empty disk, bootstrap is false"
        ));
    }
    let control = site.control();
    let routes = "{\"name\":\"r-get\",\"host\":\"ficu95.example\",\"path_prefix\":\"/get/\",\"type\":\"idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":2,\"service\":\"plain\",\"max_attempts\":2,\"public\":false,\"session_affinity\":false,\"stream_resume\":false}";
    let services = "{\"name\":\"plain\",\"health_path\":\"/healthz\",\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false}";
    let body = document(7, routes, services);
    let asked = Instant::now();
    let put = http::call_control(&control, "PUT", "/api/config", body.as_bytes(), PATIENCE);
    let put = put.map(|put| put.0);
    record.line(format!(
        "operator: PUT version 7, sent again for up to {} s: {put:?} after {} ms",
        PATIENCE.as_secs(),
        asked.elapsed().as_millis()
    ));
    match put {
        Some(200) => {}
        Some(_) => return EXIT_NOT_RUN,
        None => {
            let ready = (1..=3).filter(|host| site.is_ready(*host)).count();
            record.line(format!("no configuration was ever accepted; routers ready: {ready} of 3"));
            return EXIT_BROKEN;
        }
    }
    let is_ready = site.await_ready(Duration::from_secs(20));
    record.line(format!("all routers are ready: {is_ready}"));
    if is_ready { EXIT_HELD } else { EXIT_BROKEN }
}
