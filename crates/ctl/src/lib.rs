//! Command-line tool for operators of a baobabfall fleet.

pub mod change_commands;
pub mod cli;
pub mod control_client;
pub mod error;
pub mod explain;
pub mod options;
pub mod output;
pub mod progress;
pub mod table_commands;
pub mod view_commands;
pub mod zone_commands;

use crate::cli::{Baobabctl, BaobabctlCmd};
use crate::error::CtlError;
use crate::options::CtlOptions;
use std::io::Read;

/// Maximum number of bytes of a key that are read from standard input.
const KEY_LIMIT: u64 = 4096;

/// Runs the subcommand that the arguments select.
pub async fn run(args: Baobabctl) -> Result<(), CtlError> {
    let options = CtlOptions::build(&args)?;
    match &args.subcommand {
        BaobabctlCmd::Table(table) => table_commands::run(&options, table).await,
        BaobabctlCmd::Key(_) => print_key_hash(),
        BaobabctlCmd::Status(_) => view_commands::status(&options).await,
        BaobabctlCmd::Workspaces(_) => view_commands::workspaces(&options).await,
        BaobabctlCmd::Upstreams(_) => view_commands::upstreams(&options).await,
        BaobabctlCmd::Fairness(_) => view_commands::fairness(&options).await,
        BaobabctlCmd::Stop(stop) => change_commands::stop(&options, stop).await,
        BaobabctlCmd::Zone(zone) => zone_commands::run(&options, zone).await,
        BaobabctlCmd::Actions(actions) => change_commands::actions(&options, actions).await,
        BaobabctlCmd::Explain(explain) => explain::run(&explain.id, &explain.file),
        BaobabctlCmd::Controllers(_) => change_commands::controllers(&options).await,
        BaobabctlCmd::RemoveController(remove) => {
            change_commands::remove_controller(&options, remove).await
        }
        BaobabctlCmd::RemoveNode(remove) => change_commands::remove_node(&options, remove).await,
    }
}

fn print_key_hash() -> Result<(), CtlError> {
    let mut key = String::new();
    let mut input = std::io::stdin().take(KEY_LIMIT);
    input
        .read_to_string(&mut key)
        .map_err(|error| CtlError::Usage(format!("Standard input cannot be read: {error}.")))?;
    let key = key.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return Err(CtlError::Usage("Write the key to standard input.".to_owned()));
    }
    println!("{}", baobabfall_core::workspace_table::hash_key(key));
    Ok(())
}
