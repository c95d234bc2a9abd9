//! A small HTTP/1.1 client: one request on a new connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A response whose body is read by the caller.
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub reader: BufReader<TcpStream>,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(held, _)| held.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Next bytes of the body: `Ok(None)` at its proper end.
    pub fn next_chunk(&mut self) -> std::io::Result<Option<Vec<u8>>> {
        let broken = || std::io::Error::other("the answer was broken off");
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(broken());
        }
        let size = line.trim().split(';').next().unwrap_or("");
        let size = usize::from_str_radix(size, 16).map_err(|_| broken())?;
        let mut bytes = vec![0; size + 2];
        self.reader.read_exact(&mut bytes)?;
        bytes.truncate(size);
        Ok((size > 0).then_some(bytes))
    }

    /// The whole body. Fails if the answer is broken off.
    pub fn body(&mut self) -> std::io::Result<Vec<u8>> {
        let mut all = Vec::new();
        if self.header("transfer-encoding").is_some() {
            while let Some(bytes) = self.next_chunk()? {
                all.extend(bytes);
            }
        } else if let Some(length) = self.header("content-length").and_then(|l| l.parse().ok()) {
            all = vec![0; length];
            self.reader.read_exact(&mut all)?;
        } else {
            self.reader.read_to_end(&mut all)?;
        }
        Ok(all)
    }
}

/// Sends a request and returns its response once the head has arrived.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> std::io::Result<Reply> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    send_on(stream, method, path, headers, body, timeout)
}

/// Like [`send`], on a connection that is open already.
pub fn send_on(
    mut stream: TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> std::io::Result<Reply> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_reply(stream)
}

fn read_reply(stream: TcpStream) -> std::io::Result<Reply> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(std::io::Error::other("closed without an answer"));
    }
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::Error::other("broken off in the head"));
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    Ok(Reply { status, headers, reader })
}

/// A call of the operator or a server to the control plane: follows redirects twice, and moves on
/// to the next address after a failure, a 5xx, a 408 or 429, or a second without a response.
/// Returns the status and the body of a clear response.
pub fn call_control(
    addresses: &[SocketAddr],
    method: &str,
    path: &str,
    body: &[u8],
    patience: Duration,
) -> Option<(u16, Vec<u8>)> {
    let end = Instant::now() + patience;
    let mut pause = Duration::from_millis(50);
    let mut next = 0;
    while Instant::now() < end {
        let mut address = addresses[next % addresses.len()];
        next += 1;
        for _ in 0..3 {
            let headers =
                [("Host", address.to_string()), ("Content-Type", "application/json".to_owned())];
            let sent = send(address, method, path, &headers, body, Duration::from_secs(1));
            let Ok(mut reply) = sent else { break };
            if reply.status == 307 {
                let location = reply.header("location").unwrap_or_default().to_owned();
                let host = location.trim_start_matches("http://").split('/').next().unwrap_or("");
                match host.parse() {
                    Ok(leader) => address = leader,
                    Err(_) => break,
                }
                continue;
            }
            if reply.status >= 500 || reply.status == 408 || reply.status == 429 {
                break;
            }
            let status = reply.status;
            return reply.body().ok().map(|body| (status, body));
        }
        std::thread::sleep(pause);
        pause = (pause * 2).min(Duration::from_millis(800));
    }
    None
}
