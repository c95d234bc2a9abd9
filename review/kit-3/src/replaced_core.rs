//! The three machines of the core are replaced as planned: three successors start and are given
//! more than `catch_up_s`, then the old machines get SIGTERM, one a second, and leave for good.
//! No disk is lost but those of machines whose successors have had their time. CONFIG: what was
//! acknowledged must still be read back.

use crate::site::{Record, Site, document};
use crate::{EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN, http};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// `catch_up_s` is 4.
const SUCCESSOR_TIME: Duration = Duration::from_secs(8);
/// Time between the stops of two machines, unless `GAP_MS` says another one.
const GAP_MS: u64 = 1000;
/// `recovery_s` is 12, and the operator reads for `contact_ms`, 3 s, at least.
const READ_TIME: Duration = Duration::from_secs(30);

fn table(version: u64) -> String {
    let routes = "{\"name\":\"r-get\",\"host\":\"ficu95.example\",\"path_prefix\":\"/get/\",\"type\":\"idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":2,\"service\":\"plain\",\"max_attempts\":2,\"public\":false,\"session_affinity\":false,\"stream_resume\":false}";
    let services = "{\"name\":\"plain\",\"health_path\":\"/healthz\",\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false}";
    document(version, routes, services)
}

pub fn run(folder: PathBuf, trouble: bool) -> i32 {
    let mut record = Record::new(&folder.join("record.txt"));
    record.line(format!("TROUBLE={}", i32::from(trouble)));
    let gap = std::env::var("GAP_MS").ok().and_then(|text| text.parse().ok()).unwrap_or(GAP_MS);
    let mut site = Site::new(6, 6);
    for host in 1..=3 {
        site.start("controller", host, true);
        site.start("router", host, true);
    }
    let all = site.control();
    let put = |addresses: &[SocketAddr], version, patience| {
        let body = table(version);
        let answer = http::call_control(addresses, "PUT", "/api/config", body.as_bytes(), patience);
        answer.map(|answer| answer.0)
    };
    let accepted = put(&all[..3], 7, Duration::from_secs(30));
    record.line(format!("operator: PUT version 7: {accepted:?}"));
    std::thread::sleep(Duration::from_secs(6));
    for host in 4..=6 {
        site.start("controller", host, false);
        site.start("router", host, false);
        record.line(format!(
            "machine {host}, the successor of machine {}, starts with an empty disk",
            host - 3
        ));
    }
    std::thread::sleep(SUCCESSOR_TIME);
    let accepted = put(&all[3..], 8, Duration::from_secs(10));
    record.line(format!("operator: PUT version 8: {accepted:?}"));
    if accepted != Some(200) {
        return EXIT_NOT_RUN;
    }
    if trouble {
        for host in 1..=3 {
            site.signal(&format!("controller-{host}"), "TERM");
            site.signal(&format!("router-{host}"), "TERM");
            record.line(format!("machine {host} gets SIGTERM and leaves for good"));
            std::thread::sleep(Duration::from_millis(gap));
        }
        std::thread::sleep(Duration::from_secs(8));
        for host in 1..=3 {
            site.kill(&format!("controller-{host}"));
            site.kill(&format!("router-{host}"));
        }
        record.line("machines 1 to 3 are gone: SIGKILL after grace_s");
    }
    let end = Instant::now() + READ_TIME;
    let mut read = None;
    while read.is_none() && Instant::now() < end {
        let answer =
            http::call_control(&all[3..], "GET", "/api/config", b"", Duration::from_secs(3));
        record.line(format!("operator: GET: {:?}", answer.as_ref().map(|answer| answer.0)));
        read = answer.filter(|answer| answer.0 == 200);
    }
    let Some((_, body)) = read else {
        record.line(format!(
            "version 8 was acknowledged and could not be read for {} s",
            READ_TIME.as_secs()
        ));
        let accepted = put(&all[3..], 9, Duration::from_secs(10));
        record.line(format!("operator: PUT version 9: {accepted:?}"));
        return EXIT_BROKEN;
    };
    let is_newest = String::from_utf8_lossy(&body).contains("\"version\":8,");
    record.line(format!("operator: read version 8 back: {is_newest}"));
    if is_newest { EXIT_HELD } else { EXIT_BROKEN }
}
