//! Simulated upstreams for tests, the local fleet and the benchmarks.
//!
//! The model engine and the plain service serve HTTP/1.1 on loopback, announce
//! themselves to the fleet and inject faults on demand. Answer content is
//! computed from the request id, so a client can verify a whole answer.

pub mod announcer;
pub mod answer_body;
pub mod answer_text;
pub mod faults;
pub mod model_engine;
pub mod plain_service;
pub mod upstream_handle;
pub mod upstream_state;

pub use upstream_handle::{UpstreamHandle, UpstreamOptions};
