//! Generates the settings and credentials of the local roles and writes them to the data folder.

use crate::deployment::ExampleDeployment;
use crate::error::LocalError;
use crate::options::LocalOptions;
use std::fmt::Write as _;
use std::fs;
use std::path::{Path, PathBuf};

const CREDENTIAL_NAMES: [&str; 4] = ["process", "operator", "upstream", "metrics"];

/// Writes the settings of all roles, replacing existing ones, and creates missing credentials.
/// Existing credentials are kept.
pub fn write_all(options: &LocalOptions) -> Result<(), LocalError> {
    let folder = &options.folder;
    create_folder(&folder.join("credentials"))?;
    for name in CREDENTIAL_NAMES {
        let path = credential_path(folder, name);
        if !path.exists() {
            write_private(&path, &format!("{name}-{}\n", uuid::Uuid::new_v4()))?;
        }
    }
    for index in 0..options.controllers().len() {
        create_folder(&folder.join(format!("state-{}", index + 1)))?;
        write_file(&controller_path(folder, index), &controller_toml(options, index))?;
        write_file(&router_path(folder, index), &router_toml(options, index))?;
    }
    Ok(())
}

/// Path of the credential file `name` in the data folder.
pub fn credential_path(folder: &Path, name: &str) -> PathBuf {
    folder.join("credentials").join(name)
}

/// Path of a controller's settings file; `index` counts from 0, file names from 1.
pub fn controller_path(folder: &Path, index: usize) -> PathBuf {
    folder.join(format!("controller-{}.toml", index + 1))
}

/// Path of a router's settings file; `index` counts from 0, file names from 1.
pub fn router_path(folder: &Path, index: usize) -> PathBuf {
    folder.join(format!("router-{}.toml", index + 1))
}

fn controller_toml(options: &LocalOptions, index: usize) -> String {
    let zone = options.deployment.zones[index];
    let number = index + 1;
    let listen = options.controllers()[index];
    let mut text = format!(
        "[node]\nname = \"controller-{number}\"\nzone = \"{zone}\"\nhost = \"host-{number}\"\n\n\
         [control]\nlisten = \"{listen}\"\n\n[storage]\nfolder = \"state-{number}\"\n\n\
         [credentials]\nprocess = \"credentials/process\"\noperator = \"credentials/operator\"\n\
         upstream = \"credentials/upstream\"\nmetrics = \"credentials/metrics\"\n"
    );
    for (index, address) in options.controllers().iter().enumerate() {
        let number = index + 1;
        let _ =
            write!(text, "\n[[peers]]\nname = \"controller-{number}\"\naddress = \"{address}\"\n");
    }
    text
}

fn router_toml(options: &LocalOptions, index: usize) -> String {
    let ExampleDeployment { zones, service, protected, .. } = options.deployment;
    let zone = zones[index];
    let number = index + 1;
    let (caller, fleet) = (options.callers()[index], options.fleets()[index]);
    let controllers: Vec<String> =
        options.controllers().iter().map(|address| format!("\"{address}\"")).collect();
    let controllers = controllers.join(", ");
    format!(
        "[node]\nname = \"router-{number}\"\nzone = \"{zone}\"\nhost = \"host-{number}\"\n\n\
         [caller]\nlisten = \"{caller}\"\n\n[fleet]\nlisten = \"{fleet}\"\n\n\
         [controllers]\naddresses = [{controllers}]\n\n\
         [credentials]\nprocess = \"credentials/process\"\nupstream = \"credentials/upstream\"\n\
         metrics = \"credentials/metrics\"\n\n\
         [[service]]\nname = \"{service}\"\nidempotent = [\"GET /status/*\"]\n\
         protected = {protected:?}\n"
    )
}

fn create_folder(path: &Path) -> Result<(), LocalError> {
    fs::create_dir_all(path).map_err(|error| unwritable(path, &error))
}

fn write_file(path: &Path, text: &str) -> Result<(), LocalError> {
    fs::write(path, text).map_err(|error| unwritable(path, &error))
}

fn write_private(path: &Path, text: &str) -> Result<(), LocalError> {
    use std::os::unix::fs::PermissionsExt;
    write_file(path, text)?;
    fs::set_permissions(path, fs::Permissions::from_mode(0o600))
        .map_err(|error| unwritable(path, &error))
}

fn unwritable(path: &Path, error: &std::io::Error) -> LocalError {
    LocalError::Unwritable { path: path.to_owned(), reason: error.to_string() }
}
