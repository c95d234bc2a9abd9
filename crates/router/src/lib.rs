//! The router of baobabfall: accepts requests from callers, queues them until the
//! dispatcher grants a slot, sends them to upstreams and relays the answers.
//!
//! See `docs/design.md`.

pub mod action_client;
mod answer_evidence;
pub mod caller_api;
pub mod caller_window;
pub mod cancel_guard;
#[allow(missing_docs)]
pub mod cli;
pub mod demand_tally;
pub mod direct_slots;
pub mod dispatch_client;
pub mod drain;
pub mod error;
pub mod event_scanner;
pub mod event_splitter;
pub mod exchange_api;
pub mod exchange_body;
mod exchange_hedge;
mod exchange_meter;
pub mod exchange_protocol;
pub mod exchange_run;
mod exchange_send;
pub mod exchange_state;
mod exchange_stream;
pub mod fleet_api;
pub mod handover;
mod handover_relay;
mod handover_watch;
pub mod health_probe;
pub mod held_bytes;
pub mod leader_link;
pub mod lease_book;
mod load_notice;
pub mod load_tally;
mod load_watch;
pub mod local_mode;
pub mod options;
pub mod process;
pub mod relay;
pub mod relay_watch;
pub mod request_fingerprint;
pub mod request_order;
pub mod request_queue;
pub mod request_record;
pub mod request_run;
pub mod resume;
pub mod retry;
pub mod router;
pub mod router_state;
pub mod settings;
pub mod stream_lookup;
pub mod table_sync;
pub mod table_view;
pub mod takeover;
pub mod upload_gate;
pub mod upstream_directory;
pub mod upstream_pool;

pub use error::RouterError;
pub use options::{RouterListeners, RouterOptions};
pub use process::run_process;
pub use router::{Router, RouterHandle};
pub use settings::RouterSettings;
