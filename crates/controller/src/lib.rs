//! See `docs/design.md`.

pub mod disk_folder;
pub mod log_store;
pub mod record_codec;
pub mod store_error;
