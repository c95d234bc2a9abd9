//! Credentials and settings of a fleet, in a temporary folder.

use crate::error::BenchError;
use baobabfall_controller::options::{ControllerOptions, ControllerSettings};
use baobabfall_node::settings::parse_settings;
use baobabfall_router::{RouterOptions, RouterSettings};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const CREDENTIALS: [&str; 4] = ["process", "operator", "upstream", "metrics"];
/// Availability zones, in turn.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Service of the plain-service stand-ins.
pub const SERVICE: &str = "cases";

/// Folder of a fleet; removed when dropped.
#[derive(Debug)]
pub struct FleetFiles {
    folder: tempfile::TempDir,
}

/// Availability zone of the node with this index.
pub fn zone_of(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

/// Token of one kind of credential.
pub fn token_of(name: &str) -> String {
    format!("{name}-token-of-the-bench")
}

fn setup_error(error: impl ToString) -> BenchError {
    BenchError::Fleet(error.to_string())
}

impl FleetFiles {
    /// Writes the credentials and one data folder per controller.
    pub fn create(controllers: usize) -> Result<Self, BenchError> {
        let folder = tempfile::tempdir()?;
        for name in CREDENTIALS {
            std::fs::write(folder.path().join(name), token_of(name))?;
        }
        let files = Self { folder };
        for index in 0..controllers {
            std::fs::create_dir(files.state_folder(index))?;
        }
        Ok(files)
    }

    /// The folder.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Path of a credential.
    pub fn credential(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Data folder of a controller.
    pub fn state_folder(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("state-{index}"))
    }

    /// Options of the controller with this index.
    pub fn controller(
        &self,
        index: usize,
        addresses: &[SocketAddr],
    ) -> Result<ControllerOptions, BenchError> {
        let mut text = format!(
            "[node]\nname = \"controller-{index}\"\nzone = \"{}\"\nhost = \"host-{index}\"\n\n\
             [control]\nlisten = \"{}\"\n\n[storage]\nfolder = \"state-{index}\"\n\n\
             [credentials]\nprocess = \"process\"\noperator = \"operator\"\n\
             upstream = \"upstream\"\nmetrics = \"metrics\"\n",
            zone_of(index),
            addresses[index],
        );
        for (peer, address) in addresses.iter().enumerate() {
            let _ = write!(
                text,
                "\n[[peers]]\nname = \"controller-{peer}\"\naddress = \"{address}\"\n"
            );
        }
        let settings: ControllerSettings =
            parse_settings(Path::new("controller.toml"), &text).map_err(setup_error)?;
        ControllerOptions::build(settings, self.folder()).map_err(setup_error)
    }

    /// Options of the router with this index.
    pub fn router(
        &self,
        index: usize,
        controllers: &[SocketAddr],
        limits: &str,
    ) -> Result<RouterOptions, BenchError> {
        let controllers: Vec<String> =
            controllers.iter().map(|address| format!("\"{address}\"")).collect();
        let path = |name: &str| self.credential(name).display().to_string();
        let text = format!(
            "[node]\nname = \"router-{index}\"\nzone = \"{}\"\nhost = \"host-{index}\"\n\n\
             [caller]\nlisten = \"127.0.0.1:0\"\n\n[fleet]\nlisten = \"127.0.0.1:0\"\n\n\
             [controllers]\naddresses = [{}]\n\n\
             [credentials]\nprocess = {:?}\nupstream = {:?}\nmetrics = {:?}\n\n\
             [limits]\n{limits}\n\n\
             [[service]]\nname = \"{SERVICE}\"\nidempotent = [\"GET /status/*\"]\n\
             protected = [\"POST /decisions\", \"POST /payouts\", \"POST /prices\", \"POST /credits\"]\n",
            zone_of(index),
            controllers.join(", "),
            path("process"),
            path("upstream"),
            path("metrics"),
        );
        let settings: RouterSettings =
            parse_settings(Path::new("router.toml"), &text).map_err(setup_error)?;
        RouterOptions::open(settings).map_err(setup_error)
    }
}
