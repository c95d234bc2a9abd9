//! Settings of a controller, checked once before start.

use crate::error::ControllerError;
use baobabfall_core::upstream_registry::is_valid_name;
use baobabfall_node::credentials::CredentialFile;
use baobabfall_node::settings::{CheckedSettings, SettingsFault};
use baobabfall_node::units::TimeSpan;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Default time after which an announcement lapses. With the 500 ms after
/// which a router drops an upstream that it cannot confirm, a gone upstream
/// gets no new work after 3 s.
const LAPSE_DEFAULT: Duration = Duration::from_millis(2500);
/// Range of the lapse time.
const LAPSE_RANGE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(60));

/// Settings file of a controller.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerSettings {
    /// Identity of the process.
    pub node: NodeSection,
    /// Listener for nodes, upstreams and operators.
    pub control: ControlSection,
    /// All controllers of the first start, this one included.
    pub peers: Vec<PeerSection>,
    /// Where state is kept.
    pub storage: StorageSection,
    /// Credential files.
    pub credentials: CredentialsSection,
    /// Makes the group open: it forms from the peers as seeds, takes in any
    /// controller and removes lost ones by itself.
    #[serde(default)]
    pub group: Option<GroupSection>,
}

/// Settings of an open group of controllers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSection {
    /// True only when the whole site starts for the first time: the seed with
    /// the lowest address then founds the group.
    pub found: bool,
    /// Controllers whose disks may be lost at the same time.
    pub tolerated: usize,
}

/// Identity of a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSection {
    /// Name, unique in the fleet.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Host, for planned stops of whole hosts; the name when absent.
    #[serde(default)]
    pub host: Option<String>,
}

/// Listener of a controller.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSection {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Time after which an announcement that is not renewed lapses.
    #[serde(default)]
    pub announcement_lapse: Option<TimeSpan>,
    /// Where other processes connect to, when it is not `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
}

/// One controller of the first start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSection {
    /// Name of the controller.
    pub name: String,
    /// Address of its listener.
    pub address: SocketAddr,
}

/// Where state is kept.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StorageSection {
    /// Data folder; it must exist.
    pub folder: PathBuf,
    /// True for a controller that must never found a group, even when it is the
    /// first of the peers and its folder is empty.
    #[serde(default)]
    pub join: bool,
}

/// Credential files.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CredentialsSection {
    /// Shared by the system's own processes.
    pub process: PathBuf,
    /// Of operators.
    pub operator: PathBuf,
    /// Of upstreams.
    pub upstream: PathBuf,
    /// Of readers of metrics.
    pub metrics: PathBuf,
}

impl CheckedSettings for ControllerSettings {
    fn check(&self) -> Result<(), SettingsFault> {
        for (key, name) in [("node.name", &self.node.name), ("node.zone", &self.node.zone)] {
            if !is_valid_name(name) {
                return Err(SettingsFault::new(key, "1 to 64 of a-z 0-9 - . _ are accepted."));
            }
        }
        if let Some(lapse) = self.control.announcement_lapse
            && !(LAPSE_RANGE.0..=LAPSE_RANGE.1).contains(&lapse.0)
        {
            let message = "500ms to 60s are accepted.";
            return Err(SettingsFault::new("control.announcement_lapse", message));
        }
        match self.group {
            None => self.check_peers(),
            Some(_) if self.peers.is_empty() => {
                Err(SettingsFault::new("peers.name", "an open group needs at least one seed."))
            }
            Some(_) => Ok(()),
        }
    }
}

impl ControllerSettings {
    fn check_peers(&self) -> Result<(), SettingsFault> {
        let refuse = |key: &str, message: String| Err(SettingsFault::new(key, message));
        if self.peers.len().is_multiple_of(2) || self.peers.len() > 5 {
            return refuse("peers.name", "one, three or five controllers are accepted.".to_owned());
        }
        for (index, peer) in self.peers.iter().enumerate() {
            if !is_valid_name(&peer.name) {
                return refuse("peers.name", format!("{:?} is not a valid name.", peer.name));
            }
            for other in &self.peers[..index] {
                if other.name == peer.name {
                    return refuse("peers.name", format!("{} stands twice.", peer.name));
                }
                if other.address == peer.address {
                    let message =
                        format!("{} and {} have the same address.", other.name, peer.name);
                    return refuse("peers.address", message);
                }
            }
        }
        if !self.peers.iter().any(|peer| peer.name == self.node.name) {
            let message = format!("{} must be among the peers.", self.node.name);
            return refuse("peers.name", message);
        }
        Ok(())
    }
}

/// Checked options of a controller.
#[derive(Clone, Debug)]
pub struct ControllerOptions {
    /// The settings.
    pub settings: ControllerSettings,
    /// Time after which an announcement lapses.
    pub announcement_lapse: Duration,
    /// Credential of the system's own processes.
    pub process: CredentialFile,
    /// Credential of operators.
    pub operator: CredentialFile,
    /// Credential of upstreams.
    pub upstream: CredentialFile,
    /// Credential of readers of metrics.
    pub metrics: CredentialFile,
    /// Addresses of the peers, which may change while the process runs.
    pub seeds: SeedList,
}

/// Addresses of some controllers, replaced when the settings change.
#[derive(Clone, Debug, Default)]
pub struct SeedList(Arc<Mutex<Vec<SocketAddr>>>);

impl SeedList {
    /// Replaces the addresses.
    pub fn replace(&self, addresses: Vec<SocketAddr>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// The addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl ControllerOptions {
    /// Voters that the group keeps, so that a quorum outlives the tolerated
    /// losses.
    pub fn least_voters(&self) -> usize {
        self.settings.group.as_ref().map_or(usize::MAX, |group| 2 * group.tolerated + 1)
    }

    /// Opens what the settings name; relative paths start at `base`.
    pub fn build(settings: ControllerSettings, base: &Path) -> Result<Self, ControllerError> {
        let open = |path: &Path| CredentialFile::open(&base.join(path));
        let credentials = &settings.credentials;
        let process = open(&credentials.process)?;
        let operator = open(&credentials.operator)?;
        let upstream = open(&credentials.upstream)?;
        let metrics = open(&credentials.metrics)?;
        let folder = base.join(&settings.storage.folder);
        if !folder.is_dir() {
            return Err(ControllerError::MissingFolder { folder });
        }
        let announcement_lapse =
            settings.control.announcement_lapse.map_or(LAPSE_DEFAULT, |span| span.0);
        let mut settings = settings;
        settings.storage.folder = folder;
        let seeds = SeedList::default();
        seeds.replace(settings.peers.iter().map(|peer| peer.address).collect());
        Ok(Self { settings, announcement_lapse, process, operator, upstream, metrics, seeds })
    }
}
