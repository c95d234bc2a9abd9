//! Checked options of a router, with its credentials opened.

use crate::error::RouterError;
use crate::settings::RouterSettings;
use baobabfall_core::dispatch_messages::NodeIdentity;
use baobabfall_node::credentials::CredentialFile;
use baobabfall_node::http_server::ServerLimits;
use baobabfall_node::node_metrics::start_incarnation;
use baobabfall_node::settings::load_settings;
use std::net::SocketAddr;
use std::path::Path;
use tokio::net::TcpListener;

/// Everything a router needs to start.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// The checked settings.
    pub settings: RouterSettings,
    /// Name and incarnation under which the router reports.
    pub identity: NodeIdentity,
    /// Token between the system's processes.
    pub process: CredentialFile,
    /// Token that upstreams present.
    pub upstream: CredentialFile,
    /// Token that metric readers present.
    pub metrics: CredentialFile,
    /// Whether upstreams are sent health checks.
    pub health_checks: bool,
    /// Whether a stop closes callers' connections once its notice is over. They
    /// otherwise stay open for refusals until no work is left.
    pub close_on_stop: bool,
}

impl RouterOptions {
    /// Opens the credentials that checked settings name.
    pub fn open(settings: RouterSettings) -> Result<Self, RouterError> {
        let files = &settings.credentials;
        let identity =
            NodeIdentity { name: settings.node.name.clone(), incarnation: start_incarnation() };
        Ok(Self {
            identity,
            process: CredentialFile::open(&files.process)?,
            upstream: CredentialFile::open(&files.upstream)?,
            metrics: CredentialFile::open(&files.metrics)?,
            settings,
            health_checks: true,
            close_on_stop: false,
        })
    }

    /// Reads and checks a settings file and opens the credentials; their
    /// relative paths start at the folder of the file.
    pub fn load(path: &Path) -> Result<Self, RouterError> {
        let mut settings: RouterSettings = load_settings(path)?;
        let base = path.parent().unwrap_or(Path::new("."));
        let files = &mut settings.credentials;
        for file in [&mut files.process, &mut files.upstream, &mut files.metrics] {
            *file = base.join(&*file);
        }
        Self::open(settings)
    }

    /// Bounds of both listeners.
    pub fn server_limits(&self) -> ServerLimits {
        let limits = &self.settings.limits;
        ServerLimits {
            connections: limits.connections,
            header_timeout: limits.header_time.0,
            // Up to twice the limit the caller gets a refusal with a stable code.
            headers: 2 * limits.headers,
            header_bytes: u32::try_from(limits.header_size.0).unwrap_or(u32::MAX),
            ..ServerLimits::default()
        }
    }
}

/// The two bound listeners of a router.
#[derive(Debug)]
pub struct RouterListeners {
    /// Listener for callers.
    pub caller: TcpListener,
    /// Listener for upstreams, metric readers and operators.
    pub fleet: TcpListener,
}

impl RouterListeners {
    /// Binds the addresses of the settings; port 0 lets the system choose.
    pub async fn bind(settings: &RouterSettings) -> Result<Self, RouterError> {
        Ok(Self {
            caller: bind("caller.listen", settings.caller.listen).await?,
            fleet: bind("fleet.listen", settings.fleet.listen).await?,
        })
    }
}

async fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, RouterError> {
    TcpListener::bind(address).await.map_err(|error| RouterError::Listen {
        key,
        address,
        reason: error.to_string(),
    })
}
