//! Pure decision logic of baobabfall.
//!
//! Nothing in this crate performs I/O or reads a clock. Time enters as a
//! [`std::time::Duration`] since an arbitrary start, so the same code runs in
//! tests and in production.

pub mod dispatch_messages;
pub mod error_kind;
pub mod request_life;
pub mod sorted_map;
pub mod state_chart;
pub mod upstream_registry;
pub mod workspace_table;
