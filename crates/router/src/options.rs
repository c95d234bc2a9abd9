//! Startup options of a router: validated settings, loaded credentials and the
//! bound listeners.

use crate::error::RouterError;
use crate::settings::RouterSettings;
use baobabfall_core::dispatch_messages::NodeIdentity;
use baobabfall_node::credentials::CredentialFile;
use baobabfall_node::http_server::ServerLimits;
use baobabfall_node::node_metrics::start_incarnation;
use baobabfall_node::settings::load_settings;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::Handle;

/// Connections of callers that the kernel keeps until they are accepted. A crowded router serves
/// one that waited behind so many others while its caller still waits for it.
const CALLER_BACKLOG: u32 = 128;
/// Connections of upstreams and operators that the kernel keeps until they are accepted.
const FLEET_BACKLOG: u32 = 1024;

/// Everything a router needs to start.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// Validated settings.
    pub settings: RouterSettings,
    /// Name of the router and the incarnation of this start.
    pub identity: NodeIdentity,
    /// Token that the processes of this system present to each other.
    pub process: CredentialFile,
    /// Token that upstreams present.
    pub upstream: CredentialFile,
    /// Token that metrics scrapers present.
    pub metrics: CredentialFile,
    /// Whether the router sends health checks to upstreams.
    pub health_checks: bool,
    /// Whether a shutdown closes caller connections after its notice period.
    /// Otherwise they stay open, to refuse requests, until no request is left.
    pub close_on_stop: bool,
    /// Runtime for the exchange with the controllers; `None` for the runtime in which
    /// the router is started.
    pub control: Option<Handle>,
    /// Thousandths of a core that the router may use, if known.
    pub core_thousandths: Option<u32>,
    /// Address at which the router takes connections of crowded neighbours; `None` if it neither
    /// takes nor hands over any.
    pub handover_address: Option<SocketAddr>,
}

impl RouterOptions {
    /// Loads the credential files named in validated settings.
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
            control: None,
            core_thousandths: None,
            handover_address: None,
        })
    }

    /// Loads and validates a settings file, then loads the credential files. Their
    /// paths are relative to the directory of the settings file.
    pub fn load(path: &Path) -> Result<Self, RouterError> {
        let mut settings: RouterSettings = load_settings(path)?;
        let base = path.parent().unwrap_or(Path::new("."));
        let files = &mut settings.credentials;
        for file in [&mut files.process, &mut files.upstream, &mut files.metrics] {
            *file = base.join(&*file);
        }
        Self::open(settings)
    }

    /// HTTP server limits of both listeners.
    pub fn server_limits(&self) -> ServerLimits {
        let limits = &self.settings.limits;
        ServerLimits {
            connections: limits.connections,
            header_timeout: limits.header_time.0,
            // The HTTP server accepts twice the limit, so that the router itself can refuse
            // requests above the limit with a stable error code.
            headers: 2 * limits.headers,
            header_bytes: u32::try_from(limits.header_size.0).unwrap_or(u32::MAX),
            unread_timeout: Some(limits.caller_gap.0),
            ..ServerLimits::default()
        }
    }
}

/// The two bound listeners of a router.
#[derive(Debug)]
pub struct RouterListeners {
    /// Listener for requests of callers.
    pub caller: TcpListener,
    /// Listener for upstreams, metrics scrapers and operators.
    pub fleet: TcpListener,
}

impl RouterListeners {
    /// Binds the configured addresses; port 0 lets the operating system choose a port.
    pub async fn bind(settings: &RouterSettings) -> Result<Self, RouterError> {
        Ok(Self {
            caller: bind("caller.listen", settings.caller.listen, CALLER_BACKLOG)?,
            fleet: bind("fleet.listen", settings.fleet.listen, FLEET_BACKLOG)?,
        })
    }
}

fn bind(key: &'static str, address: SocketAddr, backlog: u32) -> Result<TcpListener, RouterError> {
    listen(address, backlog).map_err(|error| RouterError::Listen {
        key,
        address,
        reason: error.to_string(),
    })
}

fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A restarted router binds its address while connections of its predecessor are closing.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}
