//! The processes, proxies and stand-ins of one run.

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

/// Model that the engines serve.
pub const MODEL: &str = "soak-model";
/// Service that the other upstreams serve.
pub const SERVICE: &str = "ledger";
/// Workspaces and the keys of their callers.
pub const WORKSPACES: [(&str, &str); 2] = [("soak-a", "key-soak-a"), ("soak-b", "key-soak-b")];
/// Ports that processes of the site listen on.
const PORT_START: u16 = 20_000;
/// Number of those ports.
const PORT_COUNT: u16 = 12_000;
/// Distance of the first ports of two runs.
const PORT_STEP: u16 = 40;
/// Credentials of the site.
const CREDENTIALS: [&str; 4] = ["process", "operator", "upstream", "metrics"];
/// Part of its requests that a misbehaving upstream spoils.
const FAULT_SHARE: f64 = 0.3;
/// Delay of a late upstream.
const LATE_DELAY: Duration = Duration::from_millis(400);
/// Time in which a process ends after SIGTERM: the limits of a stop in the
/// settings below, and a second.
pub const STOP_TIME: Duration = Duration::from_secs(9);
/// Times of a planned stop of a router, and the longest time of a request.
const ROUTER_LIMITS: &str = "stop_notice = \"500ms\"\nstop_queue = \"500ms\"\n\
     stop_running = \"7s\"\ndeadline = \"6s\"\nqueue_wait = \"3s\"\n";

/// One stand-in with what its earlier incarnations ran.
#[derive(Debug)]
struct UpstreamSlot {
    incarnation: u64,
    handle: UpstreamHandle,
    earlier: Vec<ExecutionRecord>,
}

/// A site of real processes on loopback.
#[derive(Debug)]
pub struct SoakSite {
    folder: PathBuf,
    controllers: Vec<RoleProcess>,
    routers: Vec<RoleProcess>,
    links: Vec<FaultProxy>,
    upstreams: Vec<UpstreamSlot>,
    /// Where controllers really listen.
    pub operators: Vec<SocketAddr>,
    /// Where routers take callers.
    pub callers: Vec<SocketAddr>,
    /// Where routers tell their status.
    pub fleets: Vec<SocketAddr>,
}

/// Credential of one kind, the same in every run.
pub fn credential(kind: &str) -> String {
    format!("{kind}-credential-of-the-soak")
}

impl SoakSite {
    /// Writes the settings to `folder` and starts everything.
    pub async fn start(folder: &Path, programs: &Path, size: SiteSize) -> Result<Self, SoakError> {
        for kind in CREDENTIALS {
            fs::write(folder.join(kind), credential(kind))?;
        }
        let mut free = free_addresses(size.controllers + 2 * size.routers)?;
        let fleets = free.split_off(size.controllers + size.routers);
        let callers = free.split_off(size.controllers);
        let operators = free;
        let mut links = Vec::new();
        for address in &operators {
            links.push(FaultProxy::start(*address).await?);
        }
        let reached: Vec<SocketAddr> = links.iter().map(FaultProxy::address).collect();
        let mut controllers = Vec::new();
        for (index, listen) in operators.iter().enumerate() {
            let name = format!("controller-{}", index + 1);
            fs::create_dir_all(folder.join(format!("state-{}", index + 1)))?;
            let text = controller_text(index, *listen, &reached);
            controllers.push(start_role(folder, programs, "baobabfall-controller", &name, &text)?);
        }
        let mut routers = Vec::new();
        for (index, caller) in callers.iter().enumerate() {
            let name = format!("router-{}", index + 1);
            let text = router_text(index, *caller, fleets[index], &reached);
            routers.push(start_role(folder, programs, "baobabfall-router", &name, &text)?);
        }
        let mut site = Self {
            folder: folder.to_owned(),
            controllers,
            routers,
            links,
            upstreams: Vec::new(),
            operators,
            callers,
            fleets,
        };
        for index in 0..size.upstreams {
            let handle = site.start_upstream(index, 1).await?;
            let slot = UpstreamSlot { incarnation: 1, handle, earlier: Vec::new() };
            site.upstreams.push(slot);
        }
        Ok(site)
    }

    /// Engines and services take turns.
    async fn start_upstream(
        &self,
        index: usize,
        incarnation: u64,
    ) -> Result<UpstreamHandle, SoakError> {
        let name = format!("upstream-{}", index + 1);
        let prepare = |upstream: &mut UpstreamOptions| {
            upstream.incarnation = incarnation;
            upstream.zone = format!("zone-{}", index % 3 + 1);
            upstream.announce =
                Some(AnnounceOptions::new(self.fleets.clone(), credential("upstream")));
        };
        let started = if index.is_multiple_of(2) {
            let mut engine = EngineOptions::new(&name, MODEL);
            prepare(&mut engine.upstream);
            engine.resume = true;
            engine.cancel = true;
            engine.token_interval = Duration::from_millis(10);
            model_engine::start(engine).await
        } else {
            let mut service = ServiceOptions::new(&name, SERVICE);
            prepare(&mut service.upstream);
            // One service ignores fencing tokens, as some upstreams do.
            service.honours_fencing = index != 1;
            service.service_time = Duration::from_millis(10);
            plain_service::start(service).await
        };
        Ok(started?)
    }

    /// Begins a fault.
    pub async fn begin(&mut self, kind: FaultKind) {
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
                slot.earlier.extend(slot.handle.execution_records());
            }
            FaultKind::Upstream(index, fault) => {
                let faults = self.upstreams[index].handle.faults();
                faults.set_delay(LATE_DELAY);
                faults.set(answer_fault(fault), FAULT_SHARE);
            }
        }
    }

    /// Ends a fault. False when a process that was asked to stop did not end.
    pub async fn end(&mut self, kind: FaultKind) -> Result<bool, SoakError> {
        match kind {
            FaultKind::KillController(index) => self.controllers[index].start_again()?,
            FaultKind::TearLog(index) => {
                tear_newest_file(&self.folder.join(format!("state-{}", index + 1)))?;
                self.controllers[index].start_again()?;
            }
            FaultKind::KillRouter(index) => self.routers[index].start_again()?,
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

    /// Names of processes that ended although nothing asked them to.
    pub fn ended_by_themselves(&mut self) -> Vec<String> {
        let roles = self.controllers.iter_mut().chain(&mut self.routers);
        let ended = roles.filter_map(|role| {
            role.take_unasked_end().map(|status| format!("{} ended with {status}", role.name()))
        });
        ended.collect()
    }

    /// Every execution at the stand-ins.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        let mut all = Vec::new();
        for slot in &self.upstreams {
            all.extend(slot.earlier.iter().cloned());
            all.extend(slot.handle.execution_records());
        }
        all
    }
}

async fn restart_stopped(role: &mut RoleProcess) -> Result<bool, SoakError> {
    let ended = role.ended(STOP_TIME).await;
    if !ended {
        role.kill().await;
    }
    role.start_again()?;
    Ok(ended)
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

/// Loopback addresses that are free at this moment.
///
/// They lie below the range from which the system takes ports of outgoing
/// connections: one of those could hold a port while its process restarts. Runs
/// that go on at the same time begin at different ports.
fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let process = u16::try_from(std::process::id() % u32::from(PORT_COUNT / PORT_STEP));
    let first = process.unwrap_or_default() * PORT_STEP;
    let ports = (0..PORT_COUNT).map(|step| PORT_START + (first + step) % PORT_COUNT);
    let free = ports
        .map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
        .filter(|address| TcpListener::bind(address).is_ok());
    let free: Vec<SocketAddr> = free.take(count).collect();
    match free.len() == count {
        true => Ok(free),
        false => Err(std::io::Error::other("too few free ports")),
    }
}

/// Appends a part of a record to the file that was written last, as a loss of
/// power within a write leaves it.
fn tear_newest_file(folder: &Path) -> Result<(), SoakError> {
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

fn controller_text(index: usize, listen: SocketAddr, reached: &[SocketAddr]) -> String {
    let number = index + 1;
    let mut text = format!(
        "[node]\nname = \"controller-{number}\"\nzone = \"zone-{number}\"\n\
         [control]\nlisten = \"{listen}\"\nadvertise = \"{}\"\n\
         [storage]\nfolder = \"state-{number}\"\n{}",
        reached[index],
        credential_section(true)
    );
    for (index, address) in reached.iter().enumerate() {
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

fn router_text(
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
         [controllers]\naddresses = [{}]\n{}[limits]\n{ROUTER_LIMITS}\
         [[service]]\nname = \"{SERVICE}\"\nidempotent = [\"GET /status/*\"]\n\
         protected = [\"POST /payouts\"]\n",
        addresses.join(", "),
        credential_section(false)
    )
}

/// The first table: two workspaces whose only difference is their name.
pub fn first_table() -> String {
    let mut text = "workspace,key_hash,weight,concurrency,requests_per_minute,tokens_per_minute,\
                    queue_length,request_kib,protected\n"
        .to_owned();
    for (name, key) in WORKSPACES {
        let _ = writeln!(text, "{name},{},10,64,600000,40000000,400,1024,yes", hash_key(key));
    }
    text
}
