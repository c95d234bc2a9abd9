//! The platform's part: renders the settings from the templates of the deploy file, starts the
//! programs that it names, one process each, and ends them.

use crate::http;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub const FRONTEND: u16 = 8783;
pub const READINESS: u16 = 8780;
pub const CONTROL: u16 = 8785;
const RANGE: (u16, u16) = (7400, 7415);
pub const HEARTBEAT_MS: u64 = 1200;

/// Lines for `record.txt`, with the milliseconds since the start.
pub struct Record {
    file: File,
    start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        Self { file: File::create(path).expect("record.txt"), start: Instant::now() }
    }

    pub fn line(&mut self, text: impl AsRef<str>) {
        let line = format!("{:7} {}\n", self.start.elapsed().as_millis(), text.as_ref());
        print!("{line}");
        let _ = self.file.write_all(line.as_bytes());
    }
}

/// Machines 1 to `hosts` with the limits and bounds of the site pbg-harga; those up to `disks` have a disk and run a controller.
pub struct Site {
    pub network: [u8; 2],
    pub hosts: usize,
    pub disks: usize,
    /// Machines that serve the control plane without a disk.
    pub diskless: Vec<usize>,
    /// The seeds, if they aren't the first three machines.
    pub seeds: Vec<usize>,
    /// What may be lost at the same time.
    pub tolerated: usize,
    pub folder: PathBuf,
    root: PathBuf,
    pub processes: BTreeMap<String, Child>,
}

impl Drop for Site {
    fn drop(&mut self) {
        let names: Vec<String> = self.processes.keys().cloned().collect();
        names.iter().for_each(|name| self.kill(name));
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Site {
    pub fn new(hosts: usize, disks: usize) -> Self {
        let root = std::env::current_dir().expect("current folder");
        let id = std::process::id();
        // The folder in which `run.sh` looks for the ids of processes that are left.
        let folder = std::env::var_os("REVIEW_FOLDER").map(PathBuf::from);
        let folder = folder.unwrap_or_else(|| std::env::temp_dir().join(format!("review-{id}")));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        let mut site = Self {
            network: [0, 0],
            hosts,
            disks,
            diskless: Vec::new(),
            seeds: vec![1, 2, 3],
            tolerated: 1,
            folder,
            root,
            processes: BTreeMap::new(),
        };
        let free = (0..200u32).find_map(|step| {
            let number = id.wrapping_add(step * 37);
            let network =
                [64 + u8::try_from(number / 251 % 60).ok()?, u8::try_from(number % 251).ok()?];
            site.network = network;
            let ports = [FRONTEND, READINESS, CONTROL, RANGE.0, RANGE.0 + 1, 9464, 9465];
            let is_free = |host: usize| {
                ports.iter().all(|port| TcpListener::bind((site.ip(host), *port)).is_ok())
            };
            (1..=hosts).all(is_free).then_some(network)
        });
        site.network = free.expect("free loopback addresses");
        site
    }

    pub fn ip(&self, host: usize) -> IpAddr {
        let last = u8::try_from(host).expect("few hosts");
        IpAddr::V4(Ipv4Addr::new(127, self.network[0], self.network[1], last))
    }

    pub fn address(&self, host: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }

    /// Addresses of all hosts that serve the control plane.
    pub fn control(&self) -> Vec<SocketAddr> {
        (1..=self.disks).map(|host| self.address(host, CONTROL)).collect()
    }

    fn fields(&self, role: &str, host: usize, bootstrap: bool) -> BTreeMap<&'static str, String> {
        let quoted = |text: String| format!("\"{text}\"");
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| quoted(self.address(*seed, CONTROL).to_string()))
            .collect();
        let mut fields = BTreeMap::from([
            ("node", quoted(format!("edge-{host}"))),
            ("zone", quoted(format!("zone-{}", host % 3))),
            ("ip", quoted(self.ip(host).to_string())),
            ("port_range", format!("[{}, {}]", RANGE.0, RANGE.1)),
            ("seeds", format!("[{}]", seeds.join(", "))),
            ("bootstrap", bootstrap.to_string()),
            ("fault_tolerance.machines", self.tolerated.to_string()),
            ("limits.memory_mb", "260".to_owned()),
            ("limits.max_fds", "4100".to_owned()),
            ("limits.cpu_share", "0.45".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_slack", "60".to_owned()),
            ("bounds.retry_window_s", "10".to_owned()),
            ("heartbeat_ms", HEARTBEAT_MS.to_string()),
        ]);
        let listen = |port| quoted(self.address(host, port).to_string());
        if role == "controller" {
            fields.insert("listen.control_plane", listen(CONTROL));
            if !self.diskless.contains(&host) {
                let folder = self.data_folder(host);
                fields.insert("data_dir", quoted(folder.display().to_string()));
            }
        } else {
            fields.insert("listen.frontend", listen(FRONTEND));
            fields.insert("listen.readiness", listen(READINESS));
        }
        fields
    }

    pub fn data_folder(&self, host: usize) -> PathBuf {
        self.folder.join(format!("data-{host}"))
    }

    /// Fills in a template: values, as text or JSON, and sections for a value that is there.
    fn render(&self, role: &str, host: usize, bootstrap: bool) -> String {
        let template = std::fs::read_to_string(self.root.join(format!("deploy/{role}.toml")));
        let mut text = template.expect("template of the deploy file");
        let fields = self.fields(role, host, bootstrap);
        for (name, value) in &fields {
            let bare = value.trim_matches('"');
            text = text.replace(&format!("{{{{{name}|json}}}}"), value);
            text = text.replace(&format!("{{{{{name}}}}}"), bare);
            text = text.replace(&format!("{{{{#{name}}}}}"), "");
            text = text.replace(&format!("{{{{/{name}}}}}"), "");
        }
        // A section without a value is left out.
        while let (Some(begin), Some(end)) = (text.find("{{#"), text.find("{{/")) {
            let after = text[end..].find("}}").map_or(text.len(), |length| end + length + 2);
            text.replace_range(begin..after, "");
        }
        assert!(!text.contains("{{"), "a field of the template is not known: {text}");
        text
    }

    /// Starts a role on a host with the command of the deploy file.
    pub fn start(&mut self, role: &str, host: usize, bootstrap: bool) {
        if role == "controller" && !self.diskless.contains(&host) {
            std::fs::create_dir_all(self.data_folder(host)).expect("data folder");
        }
        let settings = self.folder.join(format!("{role}-{host}.toml"));
        std::fs::write(&settings, self.render(role, host, bootstrap)).expect("settings");
        let name = format!("{role}-{host}");
        let log = self.log(&name);
        let target = std::env::var("REVIEW_TARGET").unwrap_or_else(|_| "target/release".to_owned());
        let program = self.root.join(target).join(format!("baobabfall-site-{role}"));
        let child = Command::new(program)
            .current_dir(&self.root)
            .env("BAOBABFALL_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file starts");
        self.keep(name, child);
    }

    pub fn log(&self, name: &str) -> File {
        let path = self.folder.join(format!("{name}.log"));
        File::options().create(true).append(true).open(path).expect("log")
    }

    pub fn keep(&mut self, name: String, child: Child) {
        let mut ids = File::options().create(true).append(true).open(self.folder.join("ids"));
        if let Ok(ids) = &mut ids {
            let _ = writeln!(ids, "{}", child.id());
        }
        self.processes.insert(name, child);
    }

    /// SIGKILL.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.processes.remove(name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal such as STOP, CONT or TERM.
    pub fn signal(&self, name: &str, signal: &str) {
        if let Some(child) = self.processes.get(name) {
            let _ =
                Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    pub fn is_ready(&self, host: usize) -> bool {
        let headers = [("Host", "platform".to_owned())];
        let address = self.address(host, READINESS);
        let second = Duration::from_secs(1);
        http::send(address, "GET", "/api/readyz", &headers, b"", second)
            .is_ok_and(|reply| reply.status == 200)
    }

    /// Waits until all hosts are ready; false after `limit`.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while !(1..=self.hosts).all(|host| self.is_ready(host)) {
            if Instant::now() > end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        true
    }
}

/// A configuration document with one tenant, whose key is `key-of-a-tenant`.
pub fn document(version: u64, routes: &str, services: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":950000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"key-of-a-tenant\"],\"priority\":1}}]}}"
    )
}
