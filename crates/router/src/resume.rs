//! Resumes an interrupted event stream at the same upstream.

use crate::request_order::UpstreamCall;
use crate::table_view::FleetView;
use crate::upstream_pool::{UpstreamConnection, UpstreamPool};
use baobabfall_core::dispatch_messages::UpstreamRoute;
use baobabfall_core::software_version::SoftwareVersion;
use http::HeaderValue;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Header with the number of events that were relayed; the upstream continues after
/// them.
pub const RESUME_HEADER: &str = "baobabfall-resume-from";
/// Header with the software version that began the stream. An upstream with another one refuses
/// the resumption; the router may not have learned yet that it came back with it.
pub const SOFTWARE_HEADER: &str = "baobabfall-software";
/// Delay before the first resumption. Each further one waits four times as long, up
/// to [`DELAY_LIMIT`], which reaches an upstream that restarts its listener without
/// flooding it.
const FIRST_DELAY: Duration = Duration::from_millis(10);
const DELAY_FACTOR: u32 = 4;
const DELAY_LIMIT: Duration = Duration::from_secs(1);

/// Response of the upstream that continues a stream.
#[derive(Debug)]
pub struct ResumedStream {
    /// The connection that carries the response.
    pub connection: UpstreamConnection,
    /// Body of the response: the remaining events.
    pub incoming: Incoming,
}

/// What is needed to resume one stream, and how often it may be resumed.
#[derive(Clone, Debug)]
pub struct ResumePlan {
    /// The request that started the stream; sent again with [`RESUME_HEADER`].
    pub call: Arc<UpstreamCall>,
    /// Pool that the connection is taken from.
    pub pool: Arc<UpstreamPool>,
    /// The upstream that runs the request.
    pub route: UpstreamRoute,
    /// Upstreams as announced, to notice that this one came back with other software.
    pub fleet: Arc<FleetView>,
    /// Resumptions that are still allowed.
    pub attempts_left: u32,
    /// Resumptions started so far.
    pub attempts_made: u32,
}

impl ResumePlan {
    /// Name of the upstream, for the log.
    pub fn upstream(&self) -> &str {
        &self.route.name
    }

    /// Starts a resumption after `position` events in a task of its own; `None` when
    /// none is left. The error of the task explains the failure.
    pub fn begin(
        &mut self,
        position: u64,
        deadline: Instant,
    ) -> Option<JoinHandle<Result<ResumedStream, String>>> {
        self.attempts_left = self.attempts_left.checked_sub(1)?;
        let delay = FIRST_DELAY.saturating_mul(DELAY_FACTOR.saturating_pow(self.attempts_made));
        self.attempts_made += 1;
        let plan = self.clone();
        Some(tokio::spawn(async move {
            tokio::time::sleep(delay.min(DELAY_LIMIT)).await;
            tokio::time::timeout_at(deadline, plan.run(position))
                .await
                .unwrap_or_else(|_| Err("the deadline passed".to_owned()))
        }))
    }

    /// True unless the upstream came back with another or an unknown software version, whose
    /// events do not fit those that were relayed.
    fn has_same_software(&self) -> bool {
        let upstreams = self.fleet.directory().upstreams();
        let known = upstreams.iter().find(|upstream| upstream.name == self.route.name);
        known.is_none_or(|upstream| {
            upstream.incarnation == self.route.incarnation
                || (upstream.software.is_some() && upstream.software == self.route.software)
        })
    }

    /// True unless the upstream has left or its zone is evacuated. One that came back under its name and address may resume
    /// the stream.
    fn may_resume(&self) -> bool {
        let directory = self.fleet.directory();
        if directory.is_evacuated(&self.route.name) {
            return false;
        }
        !directory.has_left(&self.route.name, self.route.incarnation)
            || directory.upstreams().iter().any(|upstream| {
                upstream.name == self.route.name && upstream.address == self.route.address
            })
    }

    async fn run(self, position: u64) -> Result<ResumedStream, String> {
        if !self.has_same_software() {
            return Err("the upstream came back with other software".to_owned());
        }
        let mut request = self.call.request(&self.route, None)?;
        request.headers_mut().insert(RESUME_HEADER, HeaderValue::from(position));
        let software = self.route.software.as_ref().map(SoftwareVersion::as_str);
        if let Some(value) = software.and_then(|text| HeaderValue::from_str(text).ok()) {
            request.headers_mut().insert(SOFTWARE_HEADER, value);
        }
        let answer = self.pool.exchange(&self.route, request, true, || self.may_resume()).await;
        let (response, connection) = answer.map_err(|error| error.to_string())?;
        self.call.check_answer(&response)?;
        if !response.status().is_success() {
            return Err(format!(
                "the upstream responded to the resumption with {}",
                response.status()
            ));
        }
        Ok(ResumedStream { connection, incoming: response.into_body() })
    }
}
