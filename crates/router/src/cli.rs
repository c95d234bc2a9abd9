//! Command line of the router.

use log::LevelFilter;
use std::path::PathBuf;

xflags::xflags! {
    /// Accepts callers' requests and relays them to upstreams.
    cmd baobabfall-router {
        /// Settings file, TOML.
        required --settings file: PathBuf
        /// Checks the settings and the credentials and exits.
        optional --check
        /// Least severe level that is logged: error, warn, info, debug or trace.
        optional --log-level level: LevelFilter
    }
}
