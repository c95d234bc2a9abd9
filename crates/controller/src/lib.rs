//! See `docs/design.md`.
