//! Starts the programs of the deploy file on loopback addresses, in the place of the platform.

use crate::http;
use crate::record::Record;
use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Machines that have a disk and therefore run a controller, one in each zone.
const CONTROLLERS: usize = 3;
pub const ZONES: [&str; 3] = ["se-mitt-a", "se-mitt-b", "se-mitt-c"];
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Processes of a test. Dropping the list ends all of them.
#[derive(Clone, Default)]
pub struct ProcessList(Arc<Mutex<Vec<Child>>>);

impl ProcessList {
    pub fn add(&self, child: Child) -> u32 {
        let id = child.id();
        self.0.lock().unwrap().push(child);
        id
    }

    /// Kills the process with this id and waits for its end.
    pub fn kill(&self, id: u32) {
        let mut children = self.0.lock().unwrap();
        if let Some(position) = children.iter().position(|child| child.id() == id) {
            let mut child = children.remove(position);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// True while the process with this id runs.
    pub fn is_running(&self, id: u32) -> bool {
        let mut children = self.0.lock().unwrap();
        let child = children.iter_mut().find(|child| child.id() == id);
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn kill_all(&self) {
        for mut child in self.0.lock().unwrap().drain(..) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
    pub has_disk: bool,
}

/// A small deployment: three machines with both roles, and others with a router only.
pub struct Fleet {
    pub machines: Vec<Machine>,
    pub folder: PathBuf,
    pub processes: ProcessList,
    /// Ids of the router processes, in the order of the machines.
    pub routers: Vec<u32>,
    base_port: u16,
    network: [u8; 2],
}

impl Fleet {
    /// Starts all processes and waits until the controllers take the configuration and every
    /// router is ready.
    pub fn start(
        machines: usize,
        processes: ProcessList,
        config: &str,
        record: &Record,
    ) -> Result<Self, String> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("baobabfall-review-{pid}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let network =
            [10 + u8::try_from(pid / 251 % 200).unwrap(), u8::try_from(pid % 251).unwrap()];
        let machines: Vec<Machine> = (0..machines)
            .map(|index| Machine {
                name: format!("edge-{}-{}", ZONES[index % 3], index / 3 + 1),
                zone: ZONES[index % 3],
                ip: Ipv4Addr::new(127, network[0], network[1], 10 + u8::try_from(index).unwrap()),
                has_disk: index < CONTROLLERS,
            })
            .collect();
        let base_port = free_base_port(&machines).ok_or("no free ports")?;
        let mut fleet =
            Self { machines, folder, processes, routers: Vec::new(), base_port, network };
        for machine in fleet.machines.clone() {
            if machine.has_disk {
                fleet.start_role("controller", &machine)?;
            }
            let router = fleet.start_role("router", &machine)?;
            fleet.routers.push(router);
        }
        fleet.put_config(config, Duration::from_secs(20))?;
        record.note("operator: the configuration was acknowledged");
        let deadline = Instant::now() + Duration::from_secs(20);
        while !fleet.machines.iter().all(|machine| fleet.is_ready(machine)) {
            if Instant::now() > deadline {
                return Err("a router did not become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        record.note("platform: every router is ready");
        Ok(fleet)
    }

    /// Starts one role as the deploy file says, with its template filled in.
    fn start_role(&self, role: &str, machine: &Machine) -> Result<u32, String> {
        let read =
            |path: &str| fs::read_to_string(path).map_err(|error| format!("{path}: {error}"));
        let system = read("deploy/system.toml")?;
        let section = system.split(&format!("[roles.{role}]")).nth(1).ok_or("no such role")?;
        let field = |name: &str| {
            let line = section.lines().find(|line| line.starts_with(&format!("{name} = ")));
            line.and_then(|line| line.split('"').nth(1)).map(str::to_owned)
        };
        let run = field("run").ok_or("the role has no program")?;
        let template = read(&field("template").ok_or("the role has no template")?)?;
        let path = self.folder.join(format!("{}-{role}.toml", machine.name));
        fs::write(&path, self.render(&template, role, machine)).map_err(|e| e.to_string())?;
        let log = File::create(self.folder.join(format!("{}-{role}.log", machine.name)))
            .map_err(|error| error.to_string())?;
        let mut words = run.split(' ');
        let child = Command::new(words.next().unwrap_or_default())
            .args(words)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env("BAOBABFALL_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{run}: {error}"))?;
        Ok(self.processes.add(child))
    }

    /// Fills in a template as DEPLOY.md describes, as far as the two templates need it.
    fn render(&self, template: &str, role: &str, machine: &Machine) -> String {
        let quoted = |text: String| format!("\"{text}\"");
        let port = |offset: u16| self.base_port + offset;
        let address = |offset: u16| quoted(format!("{}:{}", machine.ip, port(offset)));
        let seeds: Vec<String> =
            self.control_plane().iter().map(|address| quoted(address.to_string())).collect();
        let data = self.folder.join(format!("{}-{role}-data", machine.name));
        let data = data.display().to_string();
        let values = [
            ("{{node|json}}", quoted(machine.name.clone())),
            ("{{zone|json}}", quoted(machine.zone.to_owned())),
            ("{{ip|json}}", quoted(machine.ip.to_string())),
            ("{{ip}}", machine.ip.to_string()),
            ("{{port_range|json}}", format!("[{}, {}]", port(10), port(25))),
            ("{{listen.frontend|json}}", address(0)),
            ("{{listen.readiness|json}}", address(1)),
            ("{{listen.control_plane|json}}", address(2)),
            ("{{seeds|json}}", format!("[{}]", seeds.join(", "))),
            ("{{bootstrap|json}}", "true".to_owned()),
            ("{{fault_tolerance.machines|json}}", "1".to_owned()),
            ("{{#data_dir}}", String::new()),
            ("{{/data_dir}}", String::new()),
            ("{{data_dir|json}}", quoted(data)),
            ("{{limits.memory_mb|json}}", "110".to_owned()),
            ("{{limits.max_fds|json}}", "4100".to_owned()),
            ("{{bounds.grace_s|json}}", "8".to_owned()),
            ("{{bounds.retry_budget_ratio|json}}", "0.2".to_owned()),
            ("{{bounds.retry_slack|json}}", "62".to_owned()),
            ("{{bounds.retry_window_s|json}}", "10".to_owned()),
            ("{{heartbeat_ms|json}}", "1200".to_owned()),
        ];
        let fill = |text: String, (name, value): &(&str, String)| text.replace(name, value);
        values.iter().fold(template.to_owned(), fill)
    }

    /// Addresses at which operators and workers reach the system.
    pub fn control_plane(&self) -> Vec<SocketAddr> {
        let served = self.machines.iter().filter(|machine| machine.has_disk);
        served.map(|machine| (machine.ip, self.base_port + 2).into()).collect()
    }

    /// Address at which clients reach the machine with this index.
    pub fn frontend(&self, index: usize) -> SocketAddr {
        (self.machines[index % self.machines.len()].ip, self.base_port).into()
    }

    /// Address for a worker.
    pub fn worker_address(&self, index: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.network[0], self.network[1], 100 + index);
        (ip, self.base_port + 30).into()
    }

    /// Address for a proxy before the node with this index.
    pub fn proxy_address(&self, index: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.network[0], self.network[1], 150 + index);
        (ip, self.base_port + 31).into()
    }

    fn is_ready(&self, machine: &Machine) -> bool {
        let address = (machine.ip, self.base_port + 1).into();
        let answer = http::call(address, "GET", "/api/readyz", &[], &[], CALL_TIMEOUT);
        answer.is_ok_and(|(head, _)| head.status() == 200)
    }

    /// Sends a configuration until it is acknowledged, as the operator does.
    pub fn put_config(&self, config: &str, patience: Duration) -> Result<(), String> {
        let deadline = Instant::now() + patience;
        let headers = [("Content-Type", "application/json")];
        while Instant::now() < deadline {
            for mut address in self.control_plane() {
                for _ in 0..3 {
                    let body = config.as_bytes();
                    let put =
                        http::call(address, "PUT", "/api/config", &headers, body, CALL_TIMEOUT);
                    let Ok((head, body)) = put else { break };
                    match (head.status(), redirect_target(&head)) {
                        (200, _) => return Ok(()),
                        (307, Some(leader)) => address = leader,
                        (400 | 409 | 412 | 413 | 422, _) => {
                            return Err(String::from_utf8_lossy(&body).into_owned());
                        }
                        _ => break,
                    }
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err("the configuration was not acknowledged".to_owned())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.kill_all();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn redirect_target(head: &http::Head) -> Option<SocketAddr> {
    let location = head.get("location")?.strip_prefix("http://")?;
    location.split('/').next()?.parse().ok()
}

fn free_base_port(machines: &[Machine]) -> Option<u16> {
    let start = 21_000 + u16::try_from(std::process::id() % 300).unwrap_or(0) * 32;
    let is_free = |base: u16| {
        machines.iter().all(|machine| {
            let mut ports = base..base + 32;
            ports.all(|port| TcpListener::bind((IpAddr::V4(machine.ip), port)).is_ok())
        })
    };
    (start..32_000).step_by(32).find(|base| is_free(*base))
}

/// A worker process and what it must be told to start again.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub version: &'static str,
    pub slots: u32,
    /// Nodes to which it sends its heartbeats first.
    pub control: Vec<SocketAddr>,
    /// Further arguments of the stand-in.
    pub extra: Vec<String>,
}

/// Starts a worker stand-in. What it prints goes to the record.
pub fn start_worker(fleet: &Fleet, spec: &WorkerSpec, record: &Record) -> Result<u32, String> {
    let control: Vec<String> = spec.control.iter().map(SocketAddr::to_string).collect();
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let mut child = Command::new(program)
        .args(["worker", &spec.id, spec.service, &spec.address.to_string(), spec.zone])
        .args([spec.version, &spec.slots.to_string(), &control.join(",")])
        .args(&spec.extra)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .map_err(|error| error.to_string())?;
    let output = child.stdout.take().ok_or("no output")?;
    let (record, id) = (record.clone(), spec.id.clone());
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            record.note(&format!("worker {id}: {line}"));
        }
    });
    Ok(fleet.processes.add(child))
}
