//! Resumption of a broken stream at its upstream.

use crate::request_order::UpstreamCall;
use crate::upstream_pool::{UpstreamConnection, UpstreamPool};
use baobabfall_core::dispatch_messages::UpstreamRoute;
use http::HeaderValue;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Header with the number of events that the caller has.
pub const RESUME_HEADER: &str = "baobabfall-resume-from";
/// Pause before the first resumption; each later one waits four times as long,
/// so an upstream that restarts its listener is met and not flooded.
const RESUME_PAUSE: Duration = Duration::from_millis(10);
const PAUSE_FACTOR: u32 = 4;
const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// The rest of a stream.
#[derive(Debug)]
pub struct ResumedStream {
    /// The connection that carries it.
    pub connection: UpstreamConnection,
    /// Its body.
    pub incoming: Incoming,
}

/// How a stream is resumed.
#[derive(Clone, Debug)]
pub struct ResumePlan {
    /// The call that began the stream.
    pub call: Arc<UpstreamCall>,
    /// Connections to upstreams.
    pub pool: Arc<UpstreamPool>,
    /// The upstream that holds the stream.
    pub route: UpstreamRoute,
    /// Resumptions left.
    pub left: u32,
    /// Resumptions made.
    pub made: u32,
}

impl ResumePlan {
    /// Name of the upstream.
    pub fn upstream(&self) -> &str {
        &self.route.name
    }

    /// Begins a resumption; `None` when none is left.
    pub fn begin(
        &mut self,
        position: u64,
        deadline: Instant,
    ) -> Option<JoinHandle<Result<ResumedStream, String>>> {
        self.left = self.left.checked_sub(1)?;
        let pause = RESUME_PAUSE.saturating_mul(PAUSE_FACTOR.saturating_pow(self.made));
        self.made += 1;
        let plan = self.clone();
        Some(tokio::spawn(async move {
            tokio::time::sleep(pause.min(PAUSE_LIMIT)).await;
            tokio::time::timeout_at(deadline, plan.run(position))
                .await
                .unwrap_or_else(|_| Err("the deadline passed".to_owned()))
        }))
    }

    async fn run(self, position: u64) -> Result<ResumedStream, String> {
        let mut request = self.call.request(&self.route, None)?;
        request.headers_mut().insert(RESUME_HEADER, HeaderValue::from(position));
        let answer = self.pool.exchange(&self.route, request, true).await;
        let (response, connection) = answer.map_err(|error| error.to_string())?;
        self.call.check_answer(&response)?;
        if !response.status().is_success() {
            return Err(format!("the resumption was answered with {}", response.status()));
        }
        Ok(ResumedStream { connection, incoming: response.into_body() })
    }
}
