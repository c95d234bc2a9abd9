//! See `docs/design.md`.
pub mod cli;
