//! The part of HTTP/1.1 that the stand-ins need, on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Start line and headers of a message. Header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status code of a response; 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    fn push_line(&mut self, line: &str) {
        if self.start.is_empty() {
            self.start = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            self.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// Parses a head from its text, without the empty line at the end.
    pub fn parse(text: &str) -> Self {
        let mut head = Self::default();
        text.split("\r\n").for_each(|line| head.push_line(line));
        head
    }
}

/// Reads a head. `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((!head.start.is_empty()).then_some(head));
        }
        head.push_line(line);
    }
}

/// Reads a body that has a length or is sent in chunks.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    if let Some(length) = head.get("content-length") {
        let mut body = vec![0; length.parse().map_err(io::Error::other)?];
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_none() {
        return Ok(body);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        reader.read_line(&mut String::new())?;
        if size == 0 {
            return Ok(body);
        }
    }
}

/// Sends one request on a new connection and reads the whole response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<(Head, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(&request_bytes(method, path, address, headers, body))?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &head)?;
    Ok((head, body))
}

/// Bytes of a request with a body of known length. `headers` may contain `Host`.
pub fn request_bytes(
    method: &str,
    path: &str,
    address: SocketAddr,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Decodes a chunked body from pieces of any size.
#[derive(Debug, Default)]
pub struct ChunkDecoder {
    input: Vec<u8>,
    pub finished: bool,
}

impl ChunkDecoder {
    /// Returns the content that the received bytes complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.input.extend_from_slice(bytes);
        let mut content = Vec::new();
        while !self.finished {
            let Some(end) = self.input.windows(2).position(|pair| pair == b"\r\n") else { break };
            let line = String::from_utf8_lossy(&self.input[..end]).into_owned();
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { break };
            if self.input.len() < end + 2 + size + 2 {
                break;
            }
            content.extend_from_slice(&self.input[end + 2..end + 2 + size]);
            self.input.drain(..end + 2 + size + 2);
            self.finished = size == 0;
        }
        content
    }
}

/// Status code of a response, from its text.
pub fn status_of(text: &str) -> u16 {
    Head::parse(text.split("\r\n\r\n").next().unwrap_or("")).status()
}
