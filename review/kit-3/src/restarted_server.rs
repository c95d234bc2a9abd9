//! A server that is cut off from the control plane crashes behind the cut and starts again under
//! its id, with the next version of its software. ORDER: no stream may hold events of two versions.

use crate::site::{CONTROL, FRONTEND, HEARTBEAT_MS, Record, Site, document};
use crate::streams::{Attempt, read_stream};
use crate::{EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN, http};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

const EVENTS: u64 = 22;
const EVENT_GAP_MS: u64 = 100;
const DEADLINE: Duration = Duration::from_millis(3000);
/// One server in trouble is the share .2 of srv_cut.
const SERVERS: usize = 5;
/// The server in trouble.
const CUT: usize = 5;
const CLIENTS: usize = 60;
/// Number of clients that have begun when the server crashes again.
const CRASH_AFTER: usize = 44;

pub struct Servers<'a> {
    pub site: &'a mut Site,
    pub events: u64,
    pub gap_ms: u64,
}

impl Servers<'_> {
    pub fn cut_file(&self, number: usize) -> PathBuf {
        self.site.folder.join(format!("cut-{number}"))
    }

    pub fn record_file(&self) -> PathBuf {
        self.site.folder.join("runs")
    }

    pub fn start(&mut self, number: usize, version: &str) {
        let control: Vec<String> = self.site.control().iter().map(ToString::to_string).collect();
        let listen = self.site.address(100 + number, 8080);
        let child = Command::new(std::env::current_exe().expect("own program"))
            .arg("server")
            .arg(format!("i-server-{number}"))
            .arg(listen.to_string())
            .arg("llm")
            .arg(version)
            .arg(format!("zone-{}", number % 3))
            .arg("96")
            .arg(control.join(","))
            .arg(HEARTBEAT_MS.to_string())
            .arg(self.events.to_string())
            .arg(self.gap_ms.to_string())
            .arg(self.cut_file(number))
            .arg(self.record_file())
            .stdin(Stdio::null())
            .stdout(self.site.log(&format!("server-{number}")))
            .stderr(self.site.log(&format!("server-{number}")))
            .spawn()
            .expect("server starts");
        self.site.keep(format!("server-{number}"), child);
    }

    pub fn kill(&mut self, number: usize) {
        self.site.kill(&format!("server-{number}"));
    }
}

pub fn run(folder: PathBuf, trouble: bool) -> i32 {
    let mut record = Record::new(&folder.join("record.txt"));
    record.line(format!("TROUBLE={}", i32::from(trouble)));
    let mut site = Site::new(3, 3);
    for host in 1..=3 {
        site.start("controller", host, true);
        site.start("router", host, true);
    }
    let routes = "{\"name\":\"r-sum\",\"host\":\"ficu95.example\",\"path_prefix\":\"/sum/\",\"type\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"llm\",\"max_attempts\":2,\"public\":false,\"session_affinity\":true,\"stream_resume\":true,\"target_gap_ms\":250}";
    let services = "{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_connections\":510,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":96,\"kv_capacity\":637085,\"kv_bytes\":96256,\"link_mbps\":1100000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"kv_handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}";
    let body = document(7, routes, services);
    let control = site.control();
    let put = http::call_control(
        &control,
        "PUT",
        "/api/config",
        body.as_bytes(),
        Duration::from_secs(30),
    );
    record.line(format!(
        "operator: PUT version 7 at {}: {:?}",
        site.address(1, CONTROL),
        put.as_ref().map(|p| p.0)
    ));
    if !put.is_some_and(|put| put.0 == 200) || !site.await_ready(Duration::from_secs(20)) {
        record.line("the site did not start");
        return EXIT_NOT_RUN;
    }
    let mut servers = Servers { site: &mut site, events: EVENTS, gap_ms: EVENT_GAP_MS };
    for number in 1..=SERVERS {
        servers.start(number, "v1");
    }
    std::thread::sleep(Duration::from_millis(5000));
    if trouble {
        std::fs::write(servers.cut_file(CUT), "").expect("cut");
        record.line(format!("server i-server-{CUT} is cut off from the control plane"));
        servers.kill(CUT);
        record.line(format!("server i-server-{CUT} (v1) crashes, no request runs there"));
        std::thread::sleep(Duration::from_millis(300));
        servers.start(CUT, "v2");
        record.line(format!("server i-server-{CUT} starts again as v2, still cut off"));
        std::thread::sleep(Duration::from_millis(300));
    } else {
        std::thread::sleep(Duration::from_millis(600));
    }
    let (sender, answers) = mpsc::channel::<Attempt>();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        if number == CRASH_AFTER && trouble {
            servers.kill(CUT);
            record.line(format!("server i-server-{CUT} (v2) crashes again behind the cut"));
        }
        let router = servers.site.address(1 + number % 3, FRONTEND);
        let sender = sender.clone();
        clients.push(std::thread::spawn(move || {
            let _ = sender.send(read_stream(router, &format!("/sum/{number}"), DEADLINE, None));
        }));
        std::thread::sleep(Duration::from_millis(45));
    }
    if trouble {
        let _ = std::fs::remove_file(servers.cut_file(CUT));
        record.line("the cut has healed");
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(sender);
    let (mut complete, mut mixed) = (0, 0);
    for attempt in answers {
        record.line(format!(
            "client: {} status {} complete {} {}",
            attempt.id,
            attempt.status,
            attempt.is_complete,
            attempt.summary()
        ));
        complete += usize::from(attempt.is_complete);
        mixed += usize::from(attempt.versions().len() > 1);
    }
    let runs = std::fs::read_to_string(servers.record_file()).unwrap_or_default();
    runs.lines().for_each(|run| record.line(format!("ran: {run}")));
    record.line(format!(
        "complete {complete} of {CLIENTS}; with events of two versions {mixed}, allowed 2"
    ));
    if complete < CLIENTS / 2 {
        return EXIT_NOT_RUN;
    }
    if mixed > 2 { EXIT_BROKEN } else { EXIT_HELD }
}
