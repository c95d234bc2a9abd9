//! At the first start one of the three machines of the core loses power at once and is down for
//! 5 s. The configuration is acknowledged meanwhile, and the machine that acknowledged it loses its
//! disk.
//! CONFIG, LOST: once all are back, what was acknowledged must be read back.

use crate::site::{Record, Site, document};
use crate::{EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN, http};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The machine that is down, and the one that loses its disk.
const LATE: usize = 3;
const WIPED: usize = 1;
/// Time after the start at which the machine that was down is back.
const DOWN: Duration = Duration::from_secs(5);
/// `recovery_s` is 12, and the operator reads for `contact_ms`, 3 s, at least.
const READ_TIME: Duration = Duration::from_secs(30);

pub fn run(folder: PathBuf, trouble: bool) -> i32 {
    let mut record = Record::new(&folder.join("record.txt"));
    record.line(format!("TROUBLE={}", i32::from(trouble)));
    let mut site = Site::new(3, 3);
    for host in 1..=3 {
        site.start("controller", host, true);
        site.start("router", host, true);
    }
    let begun = Instant::now();
    record.line("machines 1 to 3 start for the first time, bootstrap is true");
    if trouble {
        std::thread::sleep(Duration::from_millis(50));
        site.kill(&format!("controller-{LATE}"));
        site.kill(&format!("router-{LATE}"));
        record.line(format!("machine {LATE} loses power"));
    }
    let control = site.control();
    let routes = "{\"name\":\"r-get\",\"host\":\"ficu95.example\",\"path_prefix\":\"/get/\",\"type\":\"idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":2,\"service\":\"plain\",\"max_attempts\":2,\"public\":false,\"session_affinity\":false,\"stream_resume\":false}";
    let services = "{\"name\":\"plain\",\"health_path\":\"/healthz\",\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false}";
    let body = document(7, routes, services);
    let send = |patience| {
        let answer = http::call_control(&control, "PUT", "/api/config", body.as_bytes(), patience);
        answer.map(|answer| answer.0)
    };
    let mut put = send(DOWN.saturating_sub(begun.elapsed()));
    record.line(format!("operator: PUT version 7: {put:?}"));
    if trouble {
        if put == Some(200) {
            site.kill(&format!("controller-{WIPED}"));
            site.kill(&format!("router-{WIPED}"));
            std::fs::remove_dir_all(site.data_folder(WIPED)).expect("data folder");
            record.line(format!(
                "machine {WIPED} loses power and its disk after the acknowledgement"
            ));
            std::thread::sleep(Duration::from_secs(1));
            site.start("controller", WIPED, false);
            site.start("router", WIPED, false);
            record.line(format!("machine {WIPED} is back at its address, bootstrap is false"));
        } else {
            // A system may wait for its third machine: it then acknowledges nothing that it loses.
            record.line("nothing was acknowledged while the machine was down, so no disk is lost");
        }
        std::thread::sleep(DOWN.saturating_sub(begun.elapsed()));
        site.start("controller", LATE, false);
        site.start("router", LATE, false);
        record.line(format!("machine {LATE} is back at its address, bootstrap is false"));
    }
    if put != Some(200) {
        put = send(Duration::from_secs(20));
        record.line(format!("operator: PUT version 7 again: {put:?}"));
    }
    let end = Instant::now() + READ_TIME;
    let mut read = None;
    while read.is_none() && Instant::now() < end {
        let answer =
            http::call_control(&control, "GET", "/api/config", b"", Duration::from_secs(3));
        record.line(format!("operator: GET: {:?}", answer.as_ref().map(|answer| answer.0)));
        read = answer.filter(|answer| answer.0 == 200);
    }
    let ready = (1..=3).filter(|host| site.is_ready(*host)).count();
    let is_read =
        read.is_some_and(|read| String::from_utf8_lossy(&read.1).contains("\"version\":7,"));
    record.line(format!(
        "version 7 acknowledged {}, read back {is_read}; routers ready: {ready} of 3",
        put == Some(200)
    ));
    match (put, is_read) {
        (Some(200), false) => EXIT_BROKEN,
        (Some(200), true) => EXIT_HELD,
        _ => EXIT_NOT_RUN,
    }
}
