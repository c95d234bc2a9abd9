//! Scrapes the metrics of routers over HTTP.

use crate::error::BurnError;
use crate::metric_text::TEXT_LIMIT;
use crate::options::ScrapeTargets;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::header::{AUTHORIZATION, HOST, HeaderValue};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// Longest time for one scrape.
pub const SCRAPE_TIMEOUT: Duration = Duration::from_secs(5);
/// Scrapes that run at once; bounds memory to this many texts.
const PARALLEL_SCRAPES: usize = 16;
/// Longest credential in bytes.
const CREDENTIAL_LIMIT: usize = 4096;

/// A bearer credential, never printed.
#[derive(Clone)]
pub struct Credential(HeaderValue);

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential(hidden)")
    }
}

impl Credential {
    /// Reads the credential from a file with one word.
    pub fn load(file: &Path) -> Result<Self, BurnError> {
        let text = std::fs::read_to_string(file).map_err(|reason| BurnError::File {
            file: file.to_path_buf(),
            action: "read",
            reason,
        })?;
        let word = text.trim();
        let plain = !word.is_empty() && word.bytes().all(|byte| byte.is_ascii_graphic());
        let value = HeaderValue::from_str(&format!("Bearer {word}"));
        let (true, true, Ok(mut value)) = (plain, word.len() <= CREDENTIAL_LIMIT, value) else {
            let message = format!(
                "{} must hold one word of printable ASCII of at most {CREDENTIAL_LIMIT} bytes.",
                file.display()
            );
            return Err(BurnError::Usage { argument: "--credential", message });
        };
        value.set_sensitive(true);
        Ok(Self(value))
    }
}

/// Result of scraping one router: the text, or a sentence on what failed.
pub type ScrapeResult = (SocketAddr, Result<String, String>);

/// Scrapes every router, a bounded number at once, and passes each result
/// to `take` as it arrives.
pub async fn scrape_all(targets: &ScrapeTargets, mut take: impl FnMut(ScrapeResult)) {
    let permits = Arc::new(Semaphore::new(PARALLEL_SCRAPES));
    let mut tasks = JoinSet::new();
    for address in targets.addresses.iter().copied() {
        let permits = Arc::clone(&permits);
        let credential = targets.credential.clone();
        tasks.spawn(async move {
            let permit = permits.acquire_owned().await;
            let scrape = tokio::time::timeout(SCRAPE_TIMEOUT, scrape(address, credential)).await;
            let result = scrape.unwrap_or_else(|_| {
                Err(format!("It did not answer within {} s.", SCRAPE_TIMEOUT.as_secs()))
            });
            (address, result, permit)
        });
    }
    while let Some(joined) = tasks.join_next().await {
        if let Ok((address, result, _permit)) = joined {
            take((address, result));
        }
    }
}

async fn scrape(address: SocketAddr, credential: Option<Credential>) -> Result<String, String> {
    let failed = |error: &dyn fmt::Display| format!("The connection failed: {error}.");
    let stream = TcpStream::connect(address).await.map_err(|error| failed(&error))?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| failed(&error))?;
    let connection = tokio::spawn(connection);
    let mut request = Request::get(METRICS_PATH).header(HOST, address.to_string());
    if let Some(Credential(value)) = credential {
        request = request.header(AUTHORIZATION, value);
    }
    let request = request.body(Empty::<Bytes>::new()).map_err(|error| failed(&error))?;
    let answer = sender.send_request(request).await.map_err(|error| failed(&error));
    let text = match answer {
        Ok(answer) if answer.status() == StatusCode::OK => {
            let body = Limited::new(answer.into_body(), TEXT_LIMIT).collect().await;
            body.map_err(|error| failed(&error)).and_then(|body| {
                String::from_utf8(body.to_bytes().into())
                    .map_err(|_| "The metrics are not UTF-8.".to_owned())
            })
        }
        Ok(answer) => Err(format!("It answered {}.", answer.status())),
        Err(message) => Err(message),
    };
    connection.abort();
    text
}
