//! HTTP client for the tests.

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::net::SocketAddr;

/// Sends a request on a new connection and returns the response once its headers arrived; the body
/// is still unread.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response<Incoming>, Box<dyn Error>> {
    let stream = tokio::net::TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path).header("host", "standin");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_owned())))?;
    Ok(sender.send_request(request).await?)
}

/// Status, headers and body of a response; the body is `Err` if the connection broke while it was
/// read.
pub type Exchange = (u16, HeaderMap, Result<String, hyper::Error>);

/// Sends a request and reads the whole response.
pub async fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Exchange, Box<dyn Error>> {
    let (parts, body) = send(address, method, path, headers, body).await?.into_parts();
    let body = body.collect().await;
    let body = body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned());
    Ok((parts.status.as_u16(), parts.headers, body))
}

/// Concatenated token text of a chat stream's events.
#[allow(dead_code)]
pub fn streamed_text(body: &str) -> String {
    let events = body.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let values = events.filter_map(|event| serde_json::from_str::<serde_json::Value>(event).ok());
    values
        .filter_map(|value| value["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect()
}
