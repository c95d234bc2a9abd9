//! Command line of `baobabfall-local`.

#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    src "./src/cli.rs"

    /// Every role of baobabfall and its stand-in upstreams in one process on loopback.
    ///
    /// Example: baobabfall-local --deployment pasar-bersama
    cmd baobabfall-local {
        /// Example deployment: lindqvist or pasar-bersama; lindqvist when absent.
        optional --deployment name: String
        /// Data folder; data/local-DEPLOYMENT when absent.
        optional --data folder: PathBuf
        /// First port; the roles use the 100 ports from it on. 7400 when absent.
        optional --port port: u16
        /// Log level: error, warn, info, debug or trace; warn when absent.
        optional --log-level level: String
    }
}
