//! Controller of a baobabfall fleet. A group of controllers replicates the workspace table; its
//! leader keeps the registry of upstreams and grants routers slots on them.

pub mod action_service;
pub mod cli;
pub mod control_api;
pub mod controller;
pub mod disk_folder;
pub mod dispatch_channel;
pub mod dispatch_service;
pub mod error;
pub mod evacuation_orders;
pub mod founding;
pub mod founding_witness;
pub mod group_directory;
pub mod log_store;
pub mod membership;
pub mod node_tracker;
pub mod operator_api;
pub mod operator_views;
pub mod options;
pub mod origin_service;
pub mod peer_links;
pub mod planned_stop;
pub mod record_codec;
pub mod registry_service;
pub mod replica_driver;
pub mod seed_service;
pub mod storage_worker;
pub mod store_error;
pub mod sync_service;

use crate::cli::BaobabfallController;
use crate::error::ControllerError;
use crate::options::{ControllerOptions, ControllerSettings};
use baobabfall_node::control_runtime::ControlRuntime;
use baobabfall_node::settings::load_settings;
use baobabfall_node::stop_signal::terminate_requested;
use std::path::Path;

/// Loads the settings and runs the controller until it receives a termination signal or its
/// storage fails.
pub async fn run(args: BaobabfallController) -> Result<(), ControllerError> {
    let level = args.log_level.as_deref().unwrap_or("info");
    baobabfall_node::json_log::install_queued(level.parse().unwrap_or(log::LevelFilter::Info));
    let settings: ControllerSettings = load_settings(&args.settings)?;
    if args.check {
        println!("{}: settings are valid", args.settings.display());
        return Ok(());
    }
    let base = args.settings.parent().unwrap_or(Path::new("."));
    let group = ControlRuntime::start().map_err(|error| ControllerError::Storage {
        kind: baobabfall_core::error_kind::ErrorKind::Internal,
        message: format!("The thread of the group cannot start: {error}."),
    })?;
    let options = ControllerOptions {
        group_runtime: Some(group.handle().clone()),
        ..ControllerOptions::build(settings, base)?
    };
    let handle = controller::start(options).await?;
    let failure = tokio::select! {
        _ = terminate_requested() => None,
        message = handle.failed() => Some(message),
    };
    handle.stop().await;
    match failure {
        None => Ok(()),
        Some(message) => Err(ControllerError::Storage {
            kind: baobabfall_core::error_kind::ErrorKind::StorageFailed,
            message,
        }),
    }
}
