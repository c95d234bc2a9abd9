//! Simulated upstreams for tests, the local fleet and the bench.
//!
//! A model engine and a plain service speak HTTP/1.1 on loopback, announce
//! themselves and fail on request. Every answer follows from the request id,
//! so a consumer can check it as a whole.

pub mod announcer;
pub mod answer_body;
pub mod answer_text;
pub mod faults;
pub mod model_engine;
pub mod plain_service;
pub mod upstream_handle;
pub mod upstream_state;

pub use upstream_handle::{UpstreamHandle, UpstreamOptions};
