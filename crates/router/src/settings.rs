//! Settings of a router, as its TOML file writes them.

use baobabfall_core::upstream_registry::is_valid_name;
use baobabfall_node::settings::{CheckedSettings, SettingsFault};
use baobabfall_node::units::{ByteSize, TimeSpan};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Largest accepted `limits.request_size` in bytes.
pub const REQUEST_SIZE_LIMIT: u64 = 1 << 30;
/// Longest accepted time in `[limits]`.
pub const TIME_LIMIT: Duration = Duration::from_secs(24 * 3600);
/// Shortest `limits.caller_gap`: a relay that waits for its upstream is polled
/// every 500 ms, which must never look like a stalled caller.
const CALLER_GAP_MINIMUM: Duration = Duration::from_secs(2);
const CONTROLLERS_LIMIT: usize = 9;

/// All settings of a router.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Who and where the router is.
    pub node: NodeSettings,
    /// Listener for callers.
    pub caller: ListenSettings,
    /// Listener for upstreams, metric readers and operators.
    pub fleet: ListenSettings,
    /// The controllers.
    pub controllers: ControllerSettings,
    /// Files with credentials.
    pub credentials: CredentialSettings,
    /// Bounds of sizes, numbers and times.
    #[serde(default)]
    pub limits: LimitSettings,
    /// How calls of plain services are treated.
    #[serde(default, rename = "service")]
    pub services: Vec<ServiceSettings>,
}

/// Who and where the router is.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name, unique in the fleet.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Host; a planned stop of the host drains the router.
    pub host: String,
}

/// Address of one listener.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address and port; port 0 lets the system choose.
    pub listen: SocketAddr,
}

/// The controllers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerSettings {
    /// Addresses of every controller.
    pub addresses: Vec<SocketAddr>,
}

/// Files with one or two tokens each.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CredentialSettings {
    /// Token between the system's processes.
    pub process: PathBuf,
    /// Token that upstreams present.
    pub upstream: PathBuf,
    /// Token that metric readers present.
    pub metrics: PathBuf,
}

/// Bounds of sizes, numbers and times.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Caller connections served at once.
    pub connections: usize,
    /// Headers of one request.
    pub headers: usize,
    /// Bytes of the headers of one request.
    pub header_size: ByteSize,
    /// Time in which the headers of a request must arrive.
    pub header_time: TimeSpan,
    /// Time in which the body of a request must arrive.
    pub body_time: TimeSpan,
    /// Largest request body; the workspace's own limit may be lower.
    pub request_size: ByteSize,
    /// Longest wait in the queue.
    pub queue_wait: TimeSpan,
    /// Deadline of a request that names none.
    pub deadline: TimeSpan,
    /// Longest deadline that a request may name.
    pub deadline_maximum: TimeSpan,
    /// Time in which a connection to an upstream must be established.
    pub connect_time: TimeSpan,
    /// Longest silence of an upstream in the middle of an answer.
    pub answer_gap: TimeSpan,
    /// Longest time in which a caller may read nothing of an answer.
    pub caller_gap: TimeSpan,
    /// Dispatches of one request, retries included.
    pub attempts: u32,
    /// Resumptions of one broken stream.
    pub resumptions: u32,
    /// Time in which the claim of a protected action must be answered.
    pub claim_time: TimeSpan,
    /// How long the health path announces a stop before new work is refused.
    pub stop_notice: TimeSpan,
    /// How long queued requests may still start during a stop.
    pub stop_queue: TimeSpan,
    /// How long running requests may still take during a stop; no bound when absent.
    pub stop_running: Option<TimeSpan>,
}

impl Default for LimitSettings {
    fn default() -> Self {
        let seconds = |count| TimeSpan(Duration::from_secs(count));
        Self {
            connections: 4096,
            headers: 64,
            header_size: ByteSize(32 << 10),
            header_time: seconds(10),
            body_time: seconds(30),
            request_size: ByteSize(32 << 20),
            queue_wait: seconds(60),
            deadline: seconds(600),
            deadline_maximum: seconds(3600),
            connect_time: seconds(1),
            answer_gap: seconds(30),
            caller_gap: seconds(30),
            attempts: 3,
            resumptions: 3,
            claim_time: seconds(2),
            stop_notice: seconds(2),
            stop_queue: seconds(10),
            stop_running: None,
        }
    }
}

/// How calls of one plain service are treated.
///
/// A pattern is a method, a space and a path; a trailing `*` accepts any rest.
/// Calls that match no pattern are never repeated.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: String,
    /// Calls that may be repeated.
    #[serde(default)]
    pub idempotent: Vec<String>,
    /// Calls that must run at most once.
    #[serde(default)]
    pub protected: Vec<String>,
}

impl CheckedSettings for RouterSettings {
    fn check(&self) -> Result<(), SettingsFault> {
        self.check_names()?;
        self.check_addresses()?;
        self.limits.check()?;
        for (index, service) in self.services.iter().enumerate() {
            service.check()?;
            if self.services[..index].iter().any(|other| other.name == service.name) {
                let message = format!("service {} stands twice; keep one entry.", service.name);
                return Err(SettingsFault::new("service.name", message));
            }
        }
        Ok(())
    }
}

impl RouterSettings {
    fn check_names(&self) -> Result<(), SettingsFault> {
        let node = &self.node;
        let names =
            [("node.name", &node.name), ("node.zone", &node.zone), ("node.host", &node.host)];
        match names.into_iter().find(|(_, name)| !is_valid_name(name)) {
            Some((key, name)) => {
                let message = format!("{name:?} is not a name of 1 to 64 of a-z 0-9 - . _.");
                Err(SettingsFault::new(key, message))
            }
            None => Ok(()),
        }
    }

    fn check_addresses(&self) -> Result<(), SettingsFault> {
        let (caller, fleet) = (self.caller.listen, self.fleet.listen);
        if clashes(caller, fleet) {
            let message = format!("{fleet} is also caller.listen; each listener needs its own.");
            return Err(SettingsFault::new("fleet.listen", message));
        }
        let key = "controllers.addresses";
        let controllers = &self.controllers.addresses;
        if controllers.is_empty() || controllers.len() > CONTROLLERS_LIMIT {
            let message = format!("1 to {CONTROLLERS_LIMIT} addresses are needed.");
            return Err(SettingsFault::new(key, message));
        }
        for (index, address) in controllers.iter().enumerate() {
            if address.port() == 0 || address.ip().is_unspecified() {
                let message = format!("{address} is not an address to connect to.");
                return Err(SettingsFault::new(key, message));
            }
            if controllers[..index].contains(address) {
                return Err(SettingsFault::new(key, format!("{address} stands twice.")));
            }
            if clashes(*address, caller) || clashes(*address, fleet) {
                let message = format!("{address} is a listener of this router.");
                return Err(SettingsFault::new(key, message));
            }
        }
        Ok(())
    }

    /// The treatment of a service call.
    pub fn service(&self, name: &str) -> Option<&ServiceSettings> {
        self.services.iter().find(|service| service.name == name)
    }
}

fn clashes(a: SocketAddr, b: SocketAddr) -> bool {
    let same_host = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && same_host
}

impl LimitSettings {
    fn check(&self) -> Result<(), SettingsFault> {
        let in_range = |key: &str, value: u64, low: u64, high: u64| {
            if (low..=high).contains(&value) {
                return Ok(());
            }
            let message = format!("{value} is not within {low} to {high}.");
            Err(SettingsFault::new(format!("limits.{key}"), message))
        };
        let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
        in_range("connections", count(self.connections), 1, 1_000_000)?;
        in_range("headers", count(self.headers), 8, 1000)?;
        in_range("header_size", self.header_size.0, 8 << 10, 1 << 20)?;
        in_range("request_size", self.request_size.0, 1 << 10, REQUEST_SIZE_LIMIT)?;
        in_range("attempts", self.attempts.into(), 1, 10)?;
        in_range("resumptions", self.resumptions.into(), 0, 100)?;
        self.check_times()?;
        if self.deadline > self.deadline_maximum {
            let message = "it must not exceed limits.deadline_maximum.";
            return Err(SettingsFault::new("limits.deadline", message));
        }
        Ok(())
    }

    fn check_times(&self) -> Result<(), SettingsFault> {
        let positive = [
            ("header_time", self.header_time),
            ("body_time", self.body_time),
            ("queue_wait", self.queue_wait),
            ("deadline", self.deadline),
            ("deadline_maximum", self.deadline_maximum),
            ("connect_time", self.connect_time),
            ("answer_gap", self.answer_gap),
            ("caller_gap", self.caller_gap),
            ("claim_time", self.claim_time),
        ];
        let bounded = [("stop_notice", self.stop_notice), ("stop_queue", self.stop_queue)];
        let fault = |key: &str, low: &str| {
            let message = format!("the time must be {low} to {} s.", TIME_LIMIT.as_secs());
            Err(SettingsFault::new(format!("limits.{key}"), message))
        };
        for (key, time) in positive {
            if time.0.is_zero() || time.0 > TIME_LIMIT {
                return fault(key, "above 0 and up");
            }
        }
        for (key, time) in bounded {
            if time.0 > TIME_LIMIT {
                return fault(key, "0");
            }
        }
        if self.stop_running.is_some_and(|time| time.0.is_zero() || time.0 > TIME_LIMIT) {
            return fault("stop_running", "above 0 and up");
        }
        if self.caller_gap.0 < CALLER_GAP_MINIMUM {
            let message = format!("it must be at least {} s.", CALLER_GAP_MINIMUM.as_secs());
            return Err(SettingsFault::new("limits.caller_gap", message));
        }
        if self.claim_time.0 >= Duration::from_secs(10) {
            let message = "it must be under 10s, the lease of a claim.";
            return Err(SettingsFault::new("limits.claim_time", message));
        }
        Ok(())
    }
}

impl ServiceSettings {
    fn check(&self) -> Result<(), SettingsFault> {
        if !is_valid_name(&self.name) {
            let message = format!("{:?} is not a name of 1 to 64 of a-z 0-9 - . _.", self.name);
            return Err(SettingsFault::new("service.name", message));
        }
        for (key, patterns) in
            [("service.idempotent", &self.idempotent), ("service.protected", &self.protected)]
        {
            for pattern in patterns {
                check_pattern(key, pattern)?;
            }
        }
        if let Some(pattern) = self.protected.iter().find(|text| !text.starts_with("POST ")) {
            let message = format!("{pattern:?} must begin with \"POST \".");
            return Err(SettingsFault::new("service.protected", message));
        }
        if let Some(pattern) = self.protected.iter().find(|text| self.idempotent.contains(text)) {
            let message = format!("{pattern:?} is also listed as idempotent; keep one.");
            return Err(SettingsFault::new("service.protected", message));
        }
        Ok(())
    }

    /// True when a call may be repeated.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        !self.is_protected(method, path) && matches_any(&self.idempotent, method, path)
    }

    /// True when a call must run at most once.
    pub fn is_protected(&self, method: &str, path: &str) -> bool {
        matches_any(&self.protected, method, path)
    }
}

fn check_pattern(key: &str, pattern: &str) -> Result<(), SettingsFault> {
    let valid = pattern.split_once(' ').is_some_and(|(method, path)| {
        let rest = path.strip_suffix('*').unwrap_or(path);
        !method.is_empty()
            && method.bytes().all(|byte| byte.is_ascii_uppercase())
            && path.starts_with('/')
            && !rest.contains(['*', ' ', '?'])
    });
    if valid {
        return Ok(());
    }
    let message =
        format!("{pattern:?} is not a method, a space and a path such as \"GET /status/*\".");
    Err(SettingsFault::new(key, message))
}

fn matches_any(patterns: &[String], method: &str, path: &str) -> bool {
    patterns.iter().filter_map(|pattern| pattern.split_once(' ')).any(|(held, pattern)| {
        held == method
            && match pattern.strip_suffix('*') {
                Some(prefix) => path.starts_with(prefix),
                None => path == pattern,
            }
    })
}
