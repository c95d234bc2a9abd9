//! Infrastructure shared by the processes of baobabfall: HTTP, logging, metrics,
//! settings, and the messages that the processes exchange.

pub mod accept_gate;
pub mod bounded_stream;
pub mod codec;
pub mod control_runtime;
pub mod counted_stream;
pub mod credentials;
pub mod frame_channel;
pub mod http_client;
pub mod http_server;
pub mod json_log;
pub mod log_events;
pub mod log_queue;
pub mod loop_watch;
pub mod message_body;
pub mod messages;
pub mod node_metrics;
pub mod opening_stream;
pub mod operator_messages;
pub mod settings;
pub mod stop_signal;
pub mod tcp_options;
pub mod thread_clock;
pub mod units;
