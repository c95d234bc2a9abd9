//! Command line of the router.

use log::LevelFilter;
use std::path::PathBuf;

xflags::xflags! {
    /// Accepts requests from callers and relays them to upstreams.
    cmd baobabfall-router {
        /// Path of the TOML settings file.
        required --settings file: PathBuf
        /// Validates the settings and the credentials, then exits.
        optional --check
        /// Minimum level of logged messages: error, warn, info, debug or trace.
        optional --log-level level: LevelFilter
    }
}
