//! Settings of a router, as read from its TOML file, with their defaults and checks.

use baobabfall_core::upstream_registry::is_valid_name;
use baobabfall_node::settings::{CheckedSettings, SettingsFault};
use baobabfall_node::units::{ByteSize, TimeSpan};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Maximum accepted value of `limits.request_size` in bytes.
pub const REQUEST_SIZE_LIMIT: u64 = 1 << 30;
/// Maximum accepted value of a duration in `[limits]`.
pub const TIME_LIMIT: Duration = Duration::from_secs(24 * 3600);
/// Minimum accepted value of `limits.caller_gap`. A relay that waits for its upstream
/// is polled only every 500 ms, which must not be mistaken for a stalled caller.
const CALLER_GAP_MINIMUM: Duration = Duration::from_secs(2);
/// Maximum number of controller addresses.
const CONTROLLERS_LIMIT: usize = 9;

/// Top level of a router's settings file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Name and location of the router.
    pub node: NodeSettings,
    /// Listener for requests of callers.
    pub caller: ListenSettings,
    /// Listener for upstreams, metrics scrapers and operators.
    pub fleet: ListenSettings,
    /// Controllers that the router connects to.
    pub controllers: ControllerSettings,
    /// Files with the credentials of other processes.
    pub credentials: CredentialSettings,
    /// Limits on sizes, counts and durations.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Retry rules for calls of plain services; `[[service]]` in the file.
    #[serde(default, rename = "service")]
    pub services: Vec<ServiceSettings>,
}

/// Name and location of the router.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the router, unique in the fleet.
    pub name: String,
    /// Availability zone of the router.
    pub zone: String,
    /// Host that the router runs on; a planned stop of the host drains the router.
    pub host: String,
}

/// Settings of one listener.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address and port to listen on; port 0 lets the operating system choose a port.
    pub listen: SocketAddr,
}

/// Controllers that the router connects to.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerSettings {
    /// Addresses of the controllers, 1 to 9. Controllers that join later are learnt
    /// from these.
    pub addresses: Vec<SocketAddr>,
}

/// Paths of the credential files. Each file contains one or two tokens.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CredentialSettings {
    /// Token that the processes of this system present to each other.
    pub process: PathBuf,
    /// Token that upstreams present.
    pub upstream: PathBuf,
    /// Token that metrics scrapers present.
    pub metrics: PathBuf,
}

/// Limits on sizes, counts and durations.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum number of concurrent caller connections.
    pub connections: usize,
    /// Maximum number of headers of one request.
    pub headers: usize,
    /// Maximum size of all headers of one request.
    pub header_size: ByteSize,
    /// Time in which the headers of a request must be received.
    pub header_time: TimeSpan,
    /// Time in which the body of a request must be received.
    pub body_time: TimeSpan,
    /// Maximum size of a request body; the limit of the workspace may be lower.
    pub request_size: ByteSize,
    /// Maximum time that a request waits in the queue.
    pub queue_wait: TimeSpan,
    /// Deadline of a request that does not specify one.
    pub deadline: TimeSpan,
    /// Maximum deadline that a request may specify.
    pub deadline_maximum: TimeSpan,
    /// Time in which a connection to an upstream must be established.
    pub connect_time: TimeSpan,
    /// Maximum time between two parts of an upstream's answer.
    pub answer_gap: TimeSpan,
    /// Maximum time for which a caller may not read from its answer.
    pub caller_gap: TimeSpan,
    /// Maximum number of dispatches of one request, including retries.
    pub attempts: u32,
    /// Maximum number of times that a broken stream is resumed.
    pub resumptions: u32,
    /// Time in which the claim of a protected action must be answered.
    pub claim_time: TimeSpan,
    /// How long the health path announces a shutdown before new requests are refused.
    pub stop_notice: TimeSpan,
    /// How long queued requests may still be started during a shutdown.
    pub stop_queue: TimeSpan,
    /// How long running requests may still take during a shutdown; unlimited if absent.
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

/// Retry rules for the calls of one plain service.
///
/// A pattern is an HTTP method, a space and a path; a trailing `*` matches any suffix.
/// Calls that match no pattern are never repeated.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name of the service, as announced by its upstreams.
    pub name: String,
    /// Patterns of calls that may be repeated.
    #[serde(default)]
    pub idempotent: Vec<String>,
    /// Patterns of `POST` calls that must run at most once per idempotency key.
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
                let message =
                    format!("service {} is listed twice; remove one entry.", service.name);
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
                let message = format!(
                    "{name:?} is not a valid name: use 1 to 64 characters from a-z 0-9 - . _."
                );
                Err(SettingsFault::new(key, message))
            }
            None => Ok(()),
        }
    }

    fn check_addresses(&self) -> Result<(), SettingsFault> {
        let (caller, fleet) = (self.caller.listen, self.fleet.listen);
        if is_same_endpoint(caller, fleet) {
            let message =
                format!("{fleet} clashes with caller.listen; each listener needs its own address.");
            return Err(SettingsFault::new("fleet.listen", message));
        }
        let key = "controllers.addresses";
        let controllers = &self.controllers.addresses;
        if controllers.is_empty() || controllers.len() > CONTROLLERS_LIMIT {
            let message = format!("1 to {CONTROLLERS_LIMIT} addresses are required.");
            return Err(SettingsFault::new(key, message));
        }
        for (index, address) in controllers.iter().enumerate() {
            if address.port() == 0 || address.ip().is_unspecified() {
                let message = format!(
                    "{address} cannot be connected to; a specific IP address and port are required."
                );
                return Err(SettingsFault::new(key, message));
            }
            if controllers[..index].contains(address) {
                return Err(SettingsFault::new(key, format!("{address} is listed twice.")));
            }
            if is_same_endpoint(*address, caller) || is_same_endpoint(*address, fleet) {
                let message = format!("{address} is the address of a listener of this router.");
                return Err(SettingsFault::new(key, message));
            }
        }
        Ok(())
    }

    /// Settings of the service `name`, if it is listed.
    pub fn service(&self, name: &str) -> Option<&ServiceSettings> {
        self.services.iter().find(|service| service.name == name)
    }
}

fn is_same_endpoint(a: SocketAddr, b: SocketAddr) -> bool {
    let same_host = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && same_host
}

impl LimitSettings {
    fn check(&self) -> Result<(), SettingsFault> {
        let in_range = |key: &str, value: u64, low: u64, high: u64| {
            if (low..=high).contains(&value) {
                return Ok(());
            }
            let message = format!("{value} is out of range; {low} to {high} is accepted.");
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
            let message = "must not exceed limits.deadline_maximum.";
            return Err(SettingsFault::new("limits.deadline", message));
        }
        Ok(())
    }

    fn check_times(&self) -> Result<(), SettingsFault> {
        let above_zero = [
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
        let zero_allowed = [("stop_notice", self.stop_notice), ("stop_queue", self.stop_queue)];
        let out_of_range = |key: &str, range: &str| {
            let message = format!("the duration must be {range} {} s.", TIME_LIMIT.as_secs());
            Err(SettingsFault::new(format!("limits.{key}"), message))
        };
        for (key, time) in above_zero {
            if time.0.is_zero() || time.0 > TIME_LIMIT {
                return out_of_range(key, "greater than 0 and at most");
            }
        }
        for (key, time) in zero_allowed {
            if time.0 > TIME_LIMIT {
                return out_of_range(key, "at most");
            }
        }
        if self.stop_running.is_some_and(|time| time.0.is_zero() || time.0 > TIME_LIMIT) {
            return out_of_range("stop_running", "greater than 0 and at most");
        }
        if self.caller_gap.0 < CALLER_GAP_MINIMUM {
            let message = format!("must be at least {} s.", CALLER_GAP_MINIMUM.as_secs());
            return Err(SettingsFault::new("limits.caller_gap", message));
        }
        if self.claim_time.0 >= Duration::from_secs(10) {
            let message = "must be less than 10 s, the lease time of a claim.";
            return Err(SettingsFault::new("limits.claim_time", message));
        }
        Ok(())
    }
}

impl ServiceSettings {
    fn check(&self) -> Result<(), SettingsFault> {
        if !is_valid_name(&self.name) {
            let message = format!(
                "{:?} is not a valid name: use 1 to 64 characters from a-z 0-9 - . _.",
                self.name
            );
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
            let message =
                format!("{pattern:?} is also listed in service.idempotent; remove one of them.");
            return Err(SettingsFault::new("service.protected", message));
        }
        Ok(())
    }

    /// True if a call may be repeated: it matches an idempotent pattern and no
    /// protected one.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        !self.is_protected(method, path) && matches_any(&self.idempotent, method, path)
    }

    /// True if a call must run at most once per idempotency key.
    pub fn is_protected(&self, method: &str, path: &str) -> bool {
        matches_any(&self.protected, method, path)
    }
}

fn check_pattern(key: &str, pattern: &str) -> Result<(), SettingsFault> {
    let valid = pattern.split_once(' ').is_some_and(|(method, path)| {
        let literal = path.strip_suffix('*').unwrap_or(path);
        !method.is_empty()
            && method.bytes().all(|byte| byte.is_ascii_uppercase())
            && path.starts_with('/')
            && !literal.contains(['*', ' ', '?'])
    });
    if valid {
        return Ok(());
    }
    let message =
        format!("{pattern:?} is not a method, a space and a path, such as \"GET /status/*\".");
    Err(SettingsFault::new(key, message))
}

fn matches_any(patterns: &[String], method: &str, path: &str) -> bool {
    patterns.iter().filter_map(|pattern| pattern.split_once(' ')).any(
        |(pattern_method, pattern)| {
            pattern_method == method
                && match pattern.strip_suffix('*') {
                    Some(prefix) => path.starts_with(prefix),
                    None => path == pattern,
                }
        },
    )
}
