//! Command-line program; see `docs/design.md`.
fn main() {}
