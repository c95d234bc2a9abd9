//! Runs controllers, routers and simulated upstreams in one process, for development and for
//! trying out baobabfall.

pub mod cli;
pub mod deployment;
pub mod error;
pub mod local_fleet;
pub mod options;
pub mod role_settings;

use crate::cli::BaobabfallLocal;
use crate::error::LocalError;
use crate::local_fleet::LocalFleet;
use crate::options::LocalOptions;
use crate::role_settings::credential_path;
use baobabfall_node::stop_signal::terminate_requested;

/// Runs the fleet until a termination signal, then stops it gracefully. A second signal ends the
/// process without waiting for requests in progress.
pub async fn run(args: BaobabfallLocal) -> Result<(), LocalError> {
    let options = LocalOptions::build(&args)?;
    baobabfall_node::json_log::install(options.level);
    let fleet = LocalFleet::start(&options).await?;
    let revision = fleet.make_ready(&options).await?;
    println!("{}", welcome(&options, revision));
    let _ = terminate_requested().await;
    println!("stopping: requests in progress finish first; press Ctrl-C again to end at once");
    tokio::select! {
        () = fleet.stop() => {}
        _ = terminate_requested() => {}
    }
    Ok(())
}

/// Text printed once the fleet is ready: addresses, example requests and operator commands.
pub fn welcome(options: &LocalOptions, revision: u64) -> String {
    let deployment = options.deployment;
    let [caller, ..] = options.callers();
    let controllers: Vec<String> =
        options.controllers().iter().map(|address| format!("-c {address}")).collect();
    let callers: Vec<String> =
        options.callers().iter().map(|address| format!("http://{address}")).collect();
    let key = format!("example-key-{}", deployment.workspace);
    let model = deployment.models[0];
    let service = deployment.service;
    let credential = credential_path(&options.folder, "operator");
    format!(
        "baobabfall {name}: table revision {revision}, {engines} engines, {workers} workers\n\
         callers:     {callers}\n\
         controllers: {controllers}\n\
         data folder: {folder}\n\
         \n\
         curl -N http://{caller}/v1/chat/completions -H 'authorization: Bearer {key}' -H 'content-type: application/json' -d '{{\"model\":\"{model}\",\"stream\":true,\"max_tokens\":20,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'\n\
         curl http://{caller}/v1/models -H 'authorization: Bearer {key}'\n\
         curl http://{caller}/services/{service}/status/1 -H 'authorization: Bearer {key}'\n\
         \n\
         cargo run -q --release --bin baobabctl -- {flags} --credential {credential} status\n\
         \n\
         Ctrl-C stops the fleet gracefully.",
        name = deployment.name,
        engines = deployment.engines,
        workers = deployment.workers,
        callers = callers.join(" "),
        controllers = options.controllers().map(|address| address.to_string()).join(" "),
        folder = options.folder.display(),
        flags = controllers.join(" "),
        credential = credential.display(),
    )
}
