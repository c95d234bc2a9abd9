//! The program as a whole: exit codes, scraping, recording and the outputs.

#![allow(clippy::unwrap_used, reason = "the helpers here belong to tests")]

use baobabfall_burn::sample_generator::{FleetShape, SampleForm, SampleGenerator, thinned_times};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Command, Output};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

const NOW: u64 = 1_796_300_000_000;
const OBJECTIVES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/objectives.toml");
const PERIOD: Duration = Duration::from_secs(30 * 86_400);

fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let program = env!("CARGO_BIN_EXE_baobabfall-burn");
    let Output { status, stdout, stderr } = Command::new(program).args(arguments).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (status.code(), text(stdout), text(stderr))
}

fn write_samples(file: &Path, slow: f64) {
    let shape = FleetShape { nodes: 3, workspaces: 4, models: 2, ..FleetShape::target_size() };
    let mut generator = SampleGenerator::new(shape, NOW - 31 * 86_400_000);
    let mut out = Vec::new();
    for time in thinned_times(NOW, Duration::from_secs(60), PERIOD) {
        generator.faults.slow = if NOW - time < 3_600_000 { slow } else { 0.0 };
        generator.write_round(time, SampleForm::Series, &mut out).unwrap();
    }
    std::fs::write(file, out).unwrap();
}

/// Answers `count` requests with `body` and passes the request heads on.
fn serve(body: &'static str, count: usize) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, heads) = channel();
    std::thread::spawn(move || {
        for _ in 0..count {
            let (mut stream, _) = listener.accept().unwrap();
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).unwrap();
                head.push(byte[0]);
            }
            sender.send(String::from_utf8(head).unwrap()).unwrap();
            let length = body.len();
            write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}").unwrap();
        }
    });
    (address, heads)
}

/// Guards against exit codes that differ from `--help`, JSON over several
/// lines, and a page that needs anything from elsewhere or hides the state.
#[test]
fn report_exit_codes_and_outputs() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("s.jsonl");
    let page = folder.path().join("burn.html");
    let (samples, page_name) = (folder.path().to_str().unwrap(), page.to_str().unwrap());
    let base = ["--objectives", OBJECTIVES, "--samples", samples, "--at"];
    write_samples(&file, 0.0);
    let (code, out, _) = run(&[&base[..], &["last"]].concat());
    assert_eq!(code, Some(0), "{out}");
    write_samples(&file, 0.9);
    let (code, out, _) = run(&[&base[..], &["last", "--json", "--html", page_name]].concat());
    assert_eq!((code, out.matches('\n').count()), (Some(1), 1));
    let json: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(json["verdict"], "burning");
    assert_eq!(json["objectives"][0]["windows"][0]["window_ms"], 300_000);
    let html = std::fs::read_to_string(&page).unwrap();
    assert!(html.find("class=\"verdict").unwrap() < html.find("<svg").unwrap());
    assert_eq!(html.matches("<svg").count(), 12);
    assert!(html.contains("<polyline") && html.contains("<text"));
    let outside = ["src=", "url(", "@import", "<script", "href=\"http"];
    assert!(outside.iter().all(|word| !html.contains(word)));
    let (code, out, _) = run(&[&base[..], &["now"]].concat());
    assert_eq!(code, Some(3), "{out}");
    assert!(out.contains("NO DATA"));
    let (code, _, errors) = run(&["--objectives", OBJECTIVES]);
    assert_eq!(code, Some(2));
    assert!(errors.contains("--samples"), "{errors}");
    let (code, help, _) = run(&["--help"]);
    assert_eq!(code, Some(0));
    assert!(help.contains("Exit codes") && help.contains("--objectives examples/objectives.toml"));
}

/// Guards against a recording that a report cannot read, and against a
/// credential that is not sent or is printed.
#[test]
fn record_and_scrape_use_the_credential() {
    let folder = tempfile::tempdir().unwrap();
    let key = folder.path().join("operator.key");
    std::fs::write(&key, "s3cret-word\n").unwrap();
    let body = "baobabfall_node_start_time_seconds 1796300000\nbaobabfall_requests_total{workspace=\"a\",model=\"m\",outcome=\"finished\"} 5\n";
    let (address, heads) = serve(body, 2);
    let address = address.to_string();
    let out = folder.path().join("s.jsonl");
    let (key, out) = (key.to_str().unwrap(), out.to_str().unwrap());
    let (code, printed, errors) =
        run(&["record", "--scrape", &address, "--credential", key, "--out", out, "--rounds", "1"]);
    assert_eq!(code, Some(0), "{errors}");
    let recorded = std::fs::read_to_string(out).unwrap();
    assert!(recorded.contains("\"series\":\"r a m 5 0 0 0;\""), "{recorded}");
    let scrape = ["--objectives", OBJECTIVES, "--scrape", &address, "--credential", key];
    let (code, report, more) = run(&scrape);
    assert_eq!(code, Some(3), "{report}{more}");
    assert!(report.contains("Nodes: 1 of 1"), "{report}");
    for _ in 0..2 {
        let head = heads.recv().unwrap().to_ascii_lowercase();
        assert!(
            head.starts_with("get /metrics ") && head.contains("authorization: bearer s3cret-word")
        );
    }
    let everything = [printed, errors, recorded, report, more].concat();
    assert!(!everything.contains("s3cret-word"));
}

/// Guards against a router that cannot be reached and is left out of the report.
#[test]
fn scrape_unreachable_router_is_expected() {
    // Bound and not listening: connections are refused, and no process beside the test gets the port.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let (code, out, _) = run(&["--objectives", OBJECTIVES, "--scrape", &address]);
    assert_eq!(code, Some(3));
    assert!(out.contains("Nodes: 0 of 1") && out.contains("The connection failed"), "{out}");
}
