//! Site of one run: the controller and router processes, the proxies in front of the controllers,
//! and the stand-in upstreams.

use crate::error::SoakError;
use crate::fault_proxy::FaultProxy;
use crate::fault_schedule::{FaultKind, SiteSize, UpstreamFault};
use crate::role_process::RoleProcess;
use baobabfall_core::workspace_table::hash_key;
use baobabfall_standin::announcer::AnnounceOptions;
use baobabfall_standin::faults::FaultKind as AnswerFault;
use baobabfall_standin::model_engine::{self, EngineOptions};
use baobabfall_standin::plain_service::{self, ServiceOptions};
use baobabfall_standin::upstream_state::ExecutionRecord;
use baobabfall_standin::{UpstreamHandle, UpstreamOptions};
use rustix::process::Signal;
use std::fmt::Write as _;
use std::fs;
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Model that the stand-in engines serve.
pub const MODEL: &str = "soak-model";
/// Service that the other stand-in upstreams provide.
pub const SERVICE: &str = "ledger";
/// Workspaces and the API keys of their callers.
pub const WORKSPACES: [(&str, &str); 2] = [("soak-a", "key-soak-a"), ("soak-b", "key-soak-b")];
/// First port of the range on which controllers and routers listen.
const FIRST_PORT: u16 = 20_000;
/// Number of ports in that range.
const PORT_COUNT: u16 = 12_000;
/// Distance between the first ports that concurrent soak processes try.
const PORT_STEP: u16 = 40;
/// Kinds of credentials; each is also the name of its file.
const CREDENTIALS: [&str; 4] = ["process", "operator", "upstream", "metrics"];
/// Fraction of its requests that a misbehaving upstream handles wrongly.
const FAULT_FRACTION: f64 = 0.3;
/// Delay of the responses of an upstream with the fault `Late`.
const LATE_DELAY: Duration = Duration::from_millis(400);
/// Time within which a process must exit after SIGTERM: the stop limits in the
/// settings below add up to 8 s, plus a margin of 1 s.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(9);
/// Router settings for the phases of a planned stop and the limits of a request.
const ROUTER_LIMIT_SETTINGS: &str = "stop_notice = \"500ms\"\nstop_queue = \"500ms\"\n\
     stop_running = \"7s\"\ndeadline = \"6s\"\nqueue_wait = \"3s\"\n";

/// Number of controllers of an open group that the settings name as seeds.
const SEED_COUNT: usize = 3;
/// Settings of an open group that survives the loss of one disk, at the first start of the site.
const FIRST_START_SETTINGS: &str = "[group]\nfound = true\ntolerated = 1\n";
/// The same at later starts.
const LATER_START_SETTINGS: &str = "[group]\nfound = false\ntolerated = 1\n";

/// A stand-in upstream with the execution records of its earlier incarnations.
#[derive(Debug)]
struct UpstreamSlot {
    incarnation: u64,
    handle: UpstreamHandle,
    earlier_executions: Vec<ExecutionRecord>,
}

/// A set of real processes and stand-in upstreams that communicate over loopback.
#[derive(Debug)]
pub struct SoakSite {
    folder: PathBuf,
    is_open: bool,
    controllers: Vec<RoleProcess>,
    routers: Vec<RoleProcess>,
    links: Vec<FaultProxy>,
    upstreams: Vec<UpstreamSlot>,
    /// Addresses on which the controllers listen, behind the proxies.
    pub controller_addresses: Vec<SocketAddr>,
    /// Addresses on which the routers accept callers.
    pub caller_addresses: Vec<SocketAddr>,
    /// Addresses on which the routers accept upstream announcements and report their status.
    pub fleet_addresses: Vec<SocketAddr>,
}

/// Number of availability zones over which the upstreams are spread.
pub const ZONE_COUNT: usize = 3;

/// Name of an availability zone of the upstreams, by its index from 0.
pub fn zone_name(index: usize) -> String {
    format!("zone-{}", index + 1)
}

/// Returns the credential of one kind, which is the same in every run.
pub fn credential(kind: &str) -> String {
    format!("{kind}-credential-of-the-soak")
}

impl SoakSite {
    /// Writes the settings to `folder` and starts the proxies, processes and upstreams.
    ///
    /// With `is_open`, the first controllers are the seeds of an open group that all join.
    pub async fn start(
        folder: &Path,
        programs: &Path,
        size: SiteSize,
        is_open: bool,
    ) -> Result<Self, SoakError> {
        for kind in CREDENTIALS {
            fs::write(folder.join(kind), credential(kind))?;
        }
        let mut free = free_addresses(size.controllers + 2 * size.routers)?;
        let fleet_addresses = free.split_off(size.controllers + size.routers);
        let caller_addresses = free.split_off(size.controllers);
        let controller_addresses = free;
        let mut links = Vec::new();
        for address in &controller_addresses {
            links.push(FaultProxy::start(*address).await?);
        }
        let proxy_addresses: Vec<SocketAddr> = links.iter().map(FaultProxy::address).collect();
        let mut controllers = Vec::new();
        for (index, listen) in controller_addresses.iter().enumerate() {
            let name = format!("controller-{}", index + 1);
            fs::create_dir_all(folder.join(format!("state-{}", index + 1)))?;
            let mut text = controller_settings(index, *listen, &proxy_addresses, is_open);
            if is_open {
                text.push_str(FIRST_START_SETTINGS);
            }
            controllers.push(start_role(folder, programs, "baobabfall-controller", &name, &text)?);
        }
        let mut routers = Vec::new();
        for (index, caller) in caller_addresses.iter().enumerate() {
            let name = format!("router-{}", index + 1);
            let text = router_settings(index, *caller, fleet_addresses[index], &proxy_addresses);
            routers.push(start_role(folder, programs, "baobabfall-router", &name, &text)?);
        }
        let mut site = Self {
            is_open,
            folder: folder.to_owned(),
            controllers,
            routers,
            links,
            upstreams: Vec::new(),
            controller_addresses,
            caller_addresses,
            fleet_addresses,
        };
        for index in 0..size.upstreams {
            let handle = site.start_upstream(index, 1).await?;
            let slot = UpstreamSlot { incarnation: 1, handle, earlier_executions: Vec::new() };
            site.upstreams.push(slot);
        }
        Ok(site)
    }

    /// Changes the settings of controllers in an open group, which has formed, for their next start.
    pub fn end_first_start(&self) -> Result<(), SoakError> {
        if !self.is_open {
            return Ok(());
        }
        for role in &self.controllers {
            let path = self.folder.join(format!("{}.toml", role.name()));
            let text = fs::read_to_string(&path)?;
            fs::write(path, text.replace(FIRST_START_SETTINGS, LATER_START_SETTINGS))?;
        }
        Ok(())
    }

    /// Starts an engine for an even `index` and a service for an odd one.
    async fn start_upstream(
        &self,
        index: usize,
        incarnation: u64,
    ) -> Result<UpstreamHandle, SoakError> {
        let name = format!("upstream-{}", index + 1);
        let configure = |upstream: &mut UpstreamOptions| {
            upstream.incarnation = incarnation;
            upstream.zone = zone_name(index % ZONE_COUNT);
            upstream.announce =
                Some(AnnounceOptions::new(self.fleet_addresses.clone(), credential("upstream")));
        };
        let started = if index.is_multiple_of(2) {
            let mut engine = EngineOptions::new(&name, MODEL);
            configure(&mut engine.upstream);
            engine.resume = true;
            engine.cancel = true;
            engine.token_interval = Duration::from_millis(10);
            model_engine::start(engine).await
        } else {
            let mut service = ServiceOptions::new(&name, SERVICE);
            configure(&mut service.upstream);
            // One service ignores fencing tokens, as some real upstreams do.
            service.honours_fencing = index != 1;
            service.service_time = Duration::from_millis(10);
            plain_service::start(service).await
        };
        Ok(started?)
    }

    /// Starts a fault and returns without waiting for its effect, except for kills.
    pub async fn begin_fault(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::KillController(index) | FaultKind::TearLog(index) => {
                self.controllers[index].kill().await;
            }
            FaultKind::KillRouter(index) => self.routers[index].kill().await,
            FaultKind::PauseController(index) => self.controllers[index].signal(Signal::STOP),
            FaultKind::PauseRouter(index) => self.routers[index].signal(Signal::STOP),
            FaultKind::StopController(index) => self.controllers[index].signal(Signal::TERM),
            FaultKind::StopRouter(index) => self.routers[index].signal(Signal::TERM),
            FaultKind::Link(index, fault) => self.links[index].set_fault(Some(fault)),
            FaultKind::Upstream(index, UpstreamFault::Crash) => {
                let slot = &mut self.upstreams[index];
                slot.handle.kill();
                slot.earlier_executions.extend(slot.handle.execution_records());
            }
            FaultKind::Upstream(index, fault) => {
                let faults = self.upstreams[index].handle.faults();
                faults.set_delay(LATE_DELAY);
                faults.set(answer_fault(fault), FAULT_FRACTION);
            }
        }
    }

    /// Ends a fault and restarts the process if the fault ended it. Returns false if a process
    /// that received SIGTERM did not exit in time and had to be killed.
    pub async fn end_fault(&mut self, kind: FaultKind) -> Result<bool, SoakError> {
        match kind {
            FaultKind::KillController(index) => self.controllers[index].spawn()?,
            FaultKind::TearLog(index) => {
                append_partial_record(&self.folder.join(format!("state-{}", index + 1)))?;
                self.controllers[index].spawn()?;
            }
            FaultKind::KillRouter(index) => self.routers[index].spawn()?,
            FaultKind::PauseController(index) => self.controllers[index].signal(Signal::CONT),
            FaultKind::PauseRouter(index) => self.routers[index].signal(Signal::CONT),
            FaultKind::StopController(index) => {
                return restart_stopped(&mut self.controllers[index]).await;
            }
            FaultKind::StopRouter(index) => return restart_stopped(&mut self.routers[index]).await,
            FaultKind::Link(index, _) => self.links[index].set_fault(None),
            FaultKind::Upstream(index, UpstreamFault::Crash) => {
                let incarnation = self.upstreams[index].incarnation + 1;
                let handle = self.start_upstream(index, incarnation).await?;
                let slot = &mut self.upstreams[index];
                (slot.incarnation, slot.handle) = (incarnation, handle);
            }
            FaultKind::Upstream(index, _) => self.upstreams[index].handle.faults().clear(),
        }
        Ok(true)
    }

    /// Describes the processes that exited unexpectedly since the last call.
    pub fn unexpected_exits(&mut self) -> Vec<String> {
        let roles = self.controllers.iter_mut().chain(&mut self.routers);
        let exited = roles.filter_map(|role| {
            role.take_unexpected_exit().map(|status| format!("{} ended with {status}", role.name()))
        });
        exited.collect()
    }

    /// Returns every request that the upstreams executed, over all incarnations.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        let mut all = Vec::new();
        for slot in &self.upstreams {
            all.extend(slot.earlier_executions.iter().cloned());
            all.extend(slot.handle.execution_records());
        }
        all
    }
}

async fn restart_stopped(role: &mut RoleProcess) -> Result<bool, SoakError> {
    let exited = role.wait_for_exit(STOP_TIMEOUT).await;
    if !exited {
        role.kill().await;
    }
    role.spawn()?;
    Ok(exited)
}

fn answer_fault(fault: UpstreamFault) -> AnswerFault {
    match fault {
        UpstreamFault::Break => AnswerFault::CloseMidAnswer,
        UpstreamFault::Refuse => AnswerFault::Refuse,
        UpstreamFault::Crash | UpstreamFault::Late => AnswerFault::LateAnswer,
        UpstreamFault::Mislabel => AnswerFault::WrongRequestId,
        UpstreamFault::Short => AnswerFault::WrongLength,
    }
}

fn start_role(
    folder: &Path,
    programs: &Path,
    program: &str,
    name: &str,
    settings: &str,
) -> Result<RoleProcess, SoakError> {
    let path = folder.join(format!("{name}.toml"));
    fs::write(&path, settings)?;
    let log = folder.join(format!("{name}.log"));
    RoleProcess::start(name, &programs.join(program), &path, &log)
}

/// Returns loopback addresses whose ports are currently free.
///
/// The ports lie below the ephemeral port range of the system, because an outgoing
/// connection could otherwise occupy the port of a process while it restarts.
/// Concurrent soak processes begin their search at different ports.
fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let process_offset = u16::try_from(std::process::id() % u32::from(PORT_COUNT / PORT_STEP));
    let first = process_offset.unwrap_or_default() * PORT_STEP;
    let ports = (0..PORT_COUNT).map(|step| FIRST_PORT + (first + step) % PORT_COUNT);
    let free = ports
        .map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
        .filter(|address| TcpListener::bind(address).is_ok());
    let free: Vec<SocketAddr> = free.take(count).collect();
    match free.len() == count {
        true => Ok(free),
        false => Err(std::io::Error::other("too few free ports")),
    }
}

/// Appends a partial record to the log file that was written last, as a power loss
/// during a write would leave it.
fn append_partial_record(folder: &Path) -> Result<(), SoakError> {
    let mut files: Vec<_> = fs::read_dir(folder)?
        .filter_map(Result::ok)
        .filter(|entry| entry.path().extension().is_some_and(|kind| kind == "log"))
        .filter_map(|entry| Some((entry.metadata().ok()?.modified().ok()?, entry.path())))
        .collect();
    files.sort_unstable();
    if let Some((_, path)) = files.last() {
        fs::OpenOptions::new().append(true).open(path)?.write_all(&[0x5a; 11])?;
    }
    Ok(())
}

fn controller_settings(
    index: usize,
    listen: SocketAddr,
    proxy_addresses: &[SocketAddr],
    is_open: bool,
) -> String {
    let number = index + 1;
    let mut text = format!(
        "[node]\nname = \"controller-{number}\"\nzone = \"zone-{number}\"\n\
         [control]\nlisten = \"{listen}\"\nadvertise = \"{}\"\n\
         [storage]\nfolder = \"state-{number}\"\n{}",
        proxy_addresses[index],
        credential_section(true)
    );
    let peers = if is_open { SEED_COUNT } else { proxy_addresses.len() };
    for (index, address) in proxy_addresses.iter().enumerate().take(peers) {
        let _ = write!(
            text,
            "[[peers]]\nname = \"controller-{}\"\naddress = \"{address}\"\n",
            index + 1
        );
    }
    text
}

fn credential_section(operator: bool) -> String {
    let kinds = CREDENTIALS.iter().filter(|kind| operator || **kind != "operator");
    let lines: String = kinds.map(|kind| format!("{kind} = \"{kind}\"\n")).collect();
    format!("[credentials]\n{lines}")
}

fn router_settings(
    index: usize,
    caller: SocketAddr,
    fleet: SocketAddr,
    controllers: &[SocketAddr],
) -> String {
    let number = index + 1;
    let addresses: Vec<String> =
        controllers.iter().map(|address| format!("\"{address}\"")).collect();
    format!(
        "[node]\nname = \"router-{number}\"\nzone = \"zone-{number}\"\nhost = \"host-{number}\"\n\
         [caller]\nlisten = \"{caller}\"\n[fleet]\nlisten = \"{fleet}\"\n\
         [controllers]\naddresses = [{}]\n{}[limits]\n{ROUTER_LIMIT_SETTINGS}\
         [[service]]\nname = \"{SERVICE}\"\nidempotent = [\"GET /status/*\"]\n\
         protected = [\"POST /payouts\"]\n",
        addresses.join(", "),
        credential_section(false)
    )
}

/// Returns the initial workspace table as CSV. Its two workspaces differ only in name and key.
pub fn first_table() -> String {
    let mut text = "workspace,key_hash,weight,concurrency,requests_per_minute,tokens_per_minute,\
                    queue_length,request_kib,protected\n"
        .to_owned();
    for (name, key) in WORKSPACES {
        let _ = writeln!(text, "{name},{},10,64,600000,40000000,400,1024,yes", hash_key(key));
    }
    text
}
