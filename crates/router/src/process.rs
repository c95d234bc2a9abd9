//! The router as a process of its own.

use crate::cli::BaobabfallRouter;
use crate::error::RouterError;
use crate::options::{RouterListeners, RouterOptions};
use crate::router::Router;
use baobabfall_node::json_log;
use baobabfall_node::stop_signal::terminate_requested;
use log::LevelFilter;

/// Runs the router until it is asked to stop; a second signal ends it at once.
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
    let setup = |error: std::io::Error| RouterError::Setup(error.to_string());
    let listeners = RouterListeners::bind(&options.settings).await?;
    let handle = Router::start(options, listeners).await?;
    terminate_requested().await.map_err(setup)?;
    handle.begin_stop();
    tokio::select! {
        () = handle.join() => Ok(()),
        result = terminate_requested() => {
            handle.abort();
            handle.join().await;
            result.map_err(setup)
        }
    }
}
