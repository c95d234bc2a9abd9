//! Settings of a controller. They are validated once, before the controller starts.

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
use tokio::runtime::Handle;

/// Default time after which an announcement lapses unless renewed. A router drops an upstream that
/// it can't confirm after another 500 ms, so a crashed upstream gets no new work after 3 s.
const DEFAULT_ANNOUNCEMENT_LAPSE: Duration = Duration::from_millis(2500);
/// Shortest and longest accepted value of `control.announcement_lapse`.
const ANNOUNCEMENT_LAPSE_RANGE: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(60));

/// Content of a controller's settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerSettings {
    /// Name and location of the process.
    pub node: NodeSection,
    /// Listener for other processes, upstreams and operators.
    pub control: ControlSection,
    /// All controllers that form the group at its first start, including this one.
    pub peers: Vec<PeerSection>,
    /// Location of the persistent state.
    pub storage: StorageSection,
    /// Files with the credentials for each kind of client.
    pub credentials: CredentialsSection,
    /// If present, the group is open: `peers` only serve as seeds, any controller may join, and
    /// the leader removes unreachable ones automatically.
    #[serde(default)]
    pub group: Option<GroupSection>,
}

/// Settings of an open group of controllers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSection {
    /// True only at the first start of the whole site. The controllers then agree on the first
    /// members of the group.
    pub found: bool,
    /// Number of controllers whose disks may be lost at the same time without losing data.
    pub tolerated: usize,
}

/// Name and location of a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSection {
    /// Name of the process, unique in the fleet: 1 to 64 of `a-z 0-9 - . _`.
    pub name: String,
    /// Availability zone in which the process runs.
    pub zone: String,
    /// Host on which the process runs, for planned stops of whole hosts. Defaults to `name`.
    #[serde(default)]
    pub host: Option<String>,
}

/// Listener of a controller.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSection {
    /// Address that the listener binds to.
    pub listen: SocketAddr,
    /// Time after which an announcement lapses unless it is renewed; 500 ms to 60 s.
    #[serde(default)]
    pub announcement_lapse: Option<TimeSpan>,
    /// Address at which other processes reach this controller; defaults to `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
}

/// A controller of the group at its first start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSection {
    /// Name of the controller, equal to its `node.name`.
    pub name: String,
    /// Address at which the controller is reached.
    pub address: SocketAddr,
}

/// Location of the persistent state.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StorageSection {
    /// Data folder. It must exist; a relative path starts at the folder of the settings file.
    pub folder: PathBuf,
    /// True for a controller that must never create a group, even if it is the first of the peers
    /// and its data folder is empty.
    #[serde(default)]
    pub join: bool,
}

/// Paths of the credential files.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CredentialsSection {
    /// Credential that routers and controllers present to each other.
    pub process: PathBuf,
    /// Credential of operators.
    pub operator: PathBuf,
    /// Credential of upstreams that announce themselves.
    pub upstream: PathBuf,
    /// Credential of clients that read the metrics.
    pub metrics: PathBuf,
}

impl CheckedSettings for ControllerSettings {
    fn check(&self) -> Result<(), SettingsFault> {
        for (key, name) in [("node.name", &self.node.name), ("node.zone", &self.node.zone)] {
            if !is_valid_name(name) {
                return Err(SettingsFault::new(
                    key,
                    "must consist of 1 to 64 characters out of a-z 0-9 - . _.",
                ));
            }
        }
        if let Some(lapse) = self.control.announcement_lapse
            && !(ANNOUNCEMENT_LAPSE_RANGE.0..=ANNOUNCEMENT_LAPSE_RANGE.1).contains(&lapse.0)
        {
            let message = "must be between 500ms and 60s.";
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
        let fault = |key: &str, message: String| Err(SettingsFault::new(key, message));
        if self.peers.len().is_multiple_of(2) || self.peers.len() > 5 {
            return fault("peers.name", "must list one, three or five controllers.".to_owned());
        }
        for (index, peer) in self.peers.iter().enumerate() {
            if !is_valid_name(&peer.name) {
                return fault("peers.name", format!("{:?} is not a valid name.", peer.name));
            }
            for other in &self.peers[..index] {
                if other.name == peer.name {
                    return fault("peers.name", format!("{} is listed twice.", peer.name));
                }
                if other.address == peer.address {
                    let message =
                        format!("{} and {} have the same address.", other.name, peer.name);
                    return fault("peers.address", message);
                }
            }
        }
        if !self.peers.iter().any(|peer| peer.name == self.node.name) {
            let message = format!("{} must be among the peers.", self.node.name);
            return fault("peers.name", message);
        }
        Ok(())
    }
}

/// Validated settings of a controller, with the credentials that they name.
#[derive(Clone, Debug)]
pub struct ControllerOptions {
    /// Validated settings, with the data folder resolved against the base folder.
    pub settings: ControllerSettings,
    /// Time after which an announcement lapses unless it is renewed.
    pub announcement_lapse: Duration,
    /// Credential that routers and controllers present to each other.
    pub process: CredentialFile,
    /// Credential of operators.
    pub operator: CredentialFile,
    /// Credential of upstreams that announce themselves.
    pub upstream: CredentialFile,
    /// Credential of clients that read the metrics.
    pub metrics: CredentialFile,
    /// Addresses of the peers. They may be replaced while the process runs.
    pub seeds: SeedList,
    /// Runtime for the messages and the log of the group, so that heartbeats and commits do not
    /// wait behind dispatch and polls; the caller's runtime if `None`.
    pub group_runtime: Option<Handle>,
}

/// Shared list of controller addresses, which is replaced when the settings change.
#[derive(Clone, Debug, Default)]
pub struct SeedList(Arc<Mutex<Vec<SocketAddr>>>);

impl SeedList {
    /// Replaces the addresses for all clones of this list.
    pub fn replace(&self, addresses: Vec<SocketAddr>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// A copy of the current addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl ControllerOptions {
    /// Number of voters that automatic removal leaves in the group, so that a quorum survives the
    /// tolerated losses. Unlimited if the group isn't open, which disables automatic removal.
    pub fn min_voters(&self) -> usize {
        self.settings.group.as_ref().map_or(usize::MAX, |group| 2 * group.tolerated + 1)
    }

    /// Opens the credential files and checks that the data folder exists. Relative paths start at
    /// `base`.
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
            settings.control.announcement_lapse.map_or(DEFAULT_ANNOUNCEMENT_LAPSE, |span| span.0);
        let mut settings = settings;
        settings.storage.folder = folder;
        let seeds = SeedList::default();
        seeds.replace(settings.peers.iter().map(|peer| peer.address).collect());
        Ok(Self {
            settings,
            announcement_lapse,
            process,
            operator,
            upstream,
            metrics,
            seeds,
            group_runtime: None,
        })
    }
}
