//! Validated options of the local fleet and the addresses derived from them.

use crate::cli::BaobabfallLocal;
use crate::deployment::{DEPLOYMENTS, ExampleDeployment, ZONES, find_deployment};
use crate::error::LocalError;
use log::LevelFilter;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// First port if `--port` is not given.
const DEFAULT_PORT: u16 = 7400;
/// Number of consecutive ports reserved for the roles, starting at the first port.
const PORT_COUNT: u16 = 100;
/// Offset of the routers' caller listeners from the first port.
const CALLER_OFFSET: u16 = 80;
/// Offset of the routers' fleet listeners from the first port.
const FLEET_OFFSET: u16 = 50;

/// Validated command-line options of the local fleet.
#[derive(Clone, Debug)]
pub struct LocalOptions {
    /// Example deployment to run.
    pub deployment: &'static ExampleDeployment,
    /// Data folder for settings, credentials and controller state.
    pub folder: PathBuf,
    /// Most detailed level that is logged.
    pub level: LevelFilter,
    port: u16,
}

impl LocalOptions {
    /// Validates the arguments and fills in defaults; invalid arguments give
    /// [`LocalError::Usage`].
    pub fn build(args: &BaobabfallLocal) -> Result<Self, LocalError> {
        let name = args.deployment.as_deref().unwrap_or(DEPLOYMENTS[0].name);
        let deployment = find_deployment(name).ok_or_else(|| {
            let names: Vec<&str> = DEPLOYMENTS.iter().map(|deployment| deployment.name).collect();
            LocalError::Usage(format!(
                "{name:?} is not a deployment; {} are accepted.",
                names.join(" and ")
            ))
        })?;
        let port = args.port.unwrap_or(DEFAULT_PORT);
        if port == 0 || port.checked_add(PORT_COUNT).is_none() {
            let highest = u16::MAX - PORT_COUNT;
            return Err(LocalError::Usage(format!("--port accepts 1 to {highest}.")));
        }
        let level = args.log_level.as_deref().unwrap_or("warn").parse().map_err(|_| {
            LocalError::Usage("--log-level accepts error, warn, info, debug and trace.".to_owned())
        })?;
        let folder = args
            .data
            .clone()
            .unwrap_or_else(|| PathBuf::from("data").join(format!("local-{name}")));
        Ok(Self { deployment, folder, level, port })
    }

    fn address(&self, offset: u16, index: usize) -> SocketAddr {
        let index =
            u16::try_from(index).expect("the number of nodes in a deployment fits into u16");
        (Ipv4Addr::LOCALHOST, self.port + offset + index).into()
    }

    /// Listen addresses of the controllers, one per availability zone.
    pub fn controllers(&self) -> [SocketAddr; ZONES] {
        std::array::from_fn(|index| self.address(1, index))
    }

    /// Listen addresses of the routers for other fleet members and upstreams, one per availability
    /// zone.
    pub fn fleets(&self) -> [SocketAddr; ZONES] {
        std::array::from_fn(|index| self.address(FLEET_OFFSET, index))
    }

    /// Listen addresses of the routers for callers, one per availability zone.
    pub fn callers(&self) -> [SocketAddr; ZONES] {
        std::array::from_fn(|index| self.address(CALLER_OFFSET, index))
    }
}
