//! Checked options of the local fleet.

use crate::cli::BaobabfallLocal;
use crate::deployment::{DEPLOYMENTS, ExampleDeployment, ZONES, find_deployment};
use crate::error::LocalError;
use log::LevelFilter;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// First port when none is given.
const PORT_DEFAULT: u16 = 7400;
/// Ports that the roles use.
const PORT_COUNT: u16 = 100;
/// Distance of the callers' ports from the first port.
const CALLER_OFFSET: u16 = 80;
/// Distance of the routers' fleet ports from the first port.
const FLEET_OFFSET: u16 = 50;

/// What runs and where.
#[derive(Clone, Debug)]
pub struct LocalOptions {
    /// The example deployment.
    pub deployment: &'static ExampleDeployment,
    /// Data folder.
    pub folder: PathBuf,
    /// Level of the log.
    pub level: LevelFilter,
    port: u16,
}

impl LocalOptions {
    /// Checks the arguments.
    pub fn build(args: &BaobabfallLocal) -> Result<Self, LocalError> {
        let name = args.deployment.as_deref().unwrap_or(DEPLOYMENTS[0].name);
        let deployment = find_deployment(name).ok_or_else(|| {
            let names: Vec<&str> = DEPLOYMENTS.iter().map(|deployment| deployment.name).collect();
            LocalError::Usage(format!(
                "{name:?} is not a deployment; {} are accepted.",
                names.join(" and ")
            ))
        })?;
        let port = args.port.unwrap_or(PORT_DEFAULT);
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
        let index = u16::try_from(index).expect("the deployments have a few nodes");
        (Ipv4Addr::LOCALHOST, self.port + offset + index).into()
    }

    /// Addresses of the controllers.
    pub fn controllers(&self) -> [SocketAddr; ZONES] {
        std::array::from_fn(|index| self.address(1, index))
    }

    /// Addresses of the routers' fleet listeners.
    pub fn fleets(&self) -> [SocketAddr; ZONES] {
        std::array::from_fn(|index| self.address(FLEET_OFFSET, index))
    }

    /// Addresses of the routers' caller listeners.
    pub fn callers(&self) -> [SocketAddr; ZONES] {
        std::array::from_fn(|index| self.address(CALLER_OFFSET, index))
    }
}
