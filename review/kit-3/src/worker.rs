//! A server as the pages describe it, in a process of its own.
//!
//! It takes one request at a time on a connection, echoes `Attempt-Id`, signs its answers, answers
//! 421 to a request for another instance, and sends heartbeats with `born` and `sequence`. On a
//! request for a stream it sends numbered events, from the one after `Last-Event-Id` on.

use crate::http;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub struct Options {
    pub id: String,
    pub listen: SocketAddr,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub slots: u32,
    pub control: Vec<SocketAddr>,
    pub heartbeat: Duration,
    /// Events of a stream; 0 for a plain service.
    pub events: u64,
    pub gap: Duration,
    /// While this file exists, the server does not reach the control plane.
    pub cut: PathBuf,
    /// One line for each request that began to run.
    pub record: PathBuf,
}

pub fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

pub fn run(options: Options) -> std::io::Result<()> {
    let listener = TcpListener::bind(options.listen)?;
    let born = now_ms();
    let record = OpenOptions::new().create(true).append(true).open(&options.record)?;
    let record = Arc::new(Mutex::new(record));
    let options = Arc::new(options);
    let beats = Arc::clone(&options);
    std::thread::spawn(move || send_heartbeats(&beats, born));
    for stream in listener.incoming() {
        let (options, record) = (Arc::clone(&options), Arc::clone(&record));
        let stream = stream?;
        std::thread::spawn(move || {
            let _ = serve(stream, &options, &record);
        });
    }
    Ok(())
}

/// The first heartbeat is sent at the start, the others one interval apart.
fn send_heartbeats(options: &Options, born: u128) {
    let path = format!("/api/instances/{}", options.id);
    let mut sequence = 0;
    loop {
        sequence += 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"phase\":\"mixed\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"sequence\":{sequence},\"born\":{born}}}",
            options.service, options.listen, options.zone, options.version, options.slots,
        );
        if !options.cut.exists() {
            http::call_control(&options.control, "PUT", &path, body.as_bytes(), options.heartbeat);
        }
        std::thread::sleep(options.heartbeat);
    }
}

struct Request {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
}

impl Request {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(held, _)| held.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let path = words.next().unwrap_or_default().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let request = Request { method, path, headers };
    let length = request.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(request))
}

fn serve(stream: TcpStream, options: &Options, record: &Mutex<File>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let path = request.path.as_str();
        if request.method == "GET" && path == "/healthz" {
            let head = format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\n", options.id);
            writer.write_all(format!("{head}Content-Length: 0\r\n\r\n").as_bytes())?;
            continue;
        }
        if request.method == "GET" && path == "/api/report" {
            let body = "{\"phase\":\"mixed\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":1,\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":600000,\"kv_handles\":0}";
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            writer.write_all(format!("{head}{body}").as_bytes())?;
            continue;
        }
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        if request.header("target-instance").is_some_and(|target| target != options.id) {
            let head =
                format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\n", options.id);
            writer.write_all(format!("{head}Content-Length: 0\r\n\r\n").as_bytes())?;
            continue;
        }
        let last: u64 = request.header("last-event-id").and_then(|l| l.parse().ok()).unwrap_or(0);
        let line = format!("{} {} {} {attempt} {last}\n", now_ms(), options.id, options.version);
        record.lock().map_err(|_| std::io::Error::other("lock"))?.write_all(line.as_bytes())?;
        let signed =
            format!("Attempt-Id: {attempt}\r\nResponse-Signature: {}.{attempt}\r\n", options.id);
        if options.events == 0 {
            std::thread::sleep(options.gap);
            let body = format!("done by {} {}", options.id, options.version);
            let head = format!("HTTP/1.1 200 OK\r\n{signed}Content-Length: {}\r\n\r\n", body.len());
            writer.write_all(format!("{head}{body}").as_bytes())?;
            continue;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for number in last + 1..=options.events {
            let event = format!("id: {number}\ndata: {} {}\n\n", options.version, options.id);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            writer.write_all(chunk.as_bytes())?;
            std::thread::sleep(options.gap);
        }
        writer.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}
