//! Runs the router as a standalone process.

use crate::cli::BaobabfallRouter;
use crate::error::RouterError;
use crate::options::{RouterListeners, RouterOptions};
use crate::router::Router;
use baobabfall_node::control_runtime::ControlRuntime;
use baobabfall_node::json_log;
use baobabfall_node::stop_signal::terminate_requested;
use log::LevelFilter;

/// Runs the router until SIGINT or SIGTERM starts a graceful shutdown; a second
/// signal aborts the router. With `--check` only the settings are validated.
pub fn run_process(flags: &BaobabfallRouter) -> Result<(), RouterError> {
    json_log::install_queued(flags.log_level.unwrap_or(LevelFilter::Info));
    let options = RouterOptions::load(&flags.settings)?;
    if flags.check {
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| RouterError::Setup(error.to_string()))?;
    runtime.block_on(run(options))
}

async fn run(options: RouterOptions) -> Result<(), RouterError> {
    let setup_error = |error: std::io::Error| RouterError::Setup(error.to_string());
    let listeners = RouterListeners::bind(&options.settings).await?;
    let control = ControlRuntime::start().map_err(setup_error)?;
    let options = RouterOptions { control: Some(control.handle().clone()), ..options };
    let handle = Router::start(options, listeners).await?;
    terminate_requested().await.map_err(setup_error)?;
    handle.begin_stop();
    tokio::select! {
        () = handle.join() => Ok(()),
        result = terminate_requested() => {
            handle.abort();
            handle.join().await;
            result.map_err(setup_error)
        }
    }
}
