//! Decision logic of baobabfall, without I/O.
//!
//! Nothing in this crate performs I/O or reads a clock. The caller passes the
//! time as a [`std::time::Duration`] since an arbitrary start, so that the same
//! code runs in production and, with simulated time, in tests.

mod account_carryover;
pub mod account_statement;
pub mod action_ledger;
pub mod admission_limit;
pub mod backlog_queue;
pub mod close_pace;
pub mod cold_tracker;
pub mod control_command;
pub mod control_state;
pub mod cost_estimate;
pub mod crash_tracker;
pub mod decision_workload;
pub mod departure_set;
pub mod direct_placement;
pub mod dispatch_cold;
pub mod dispatch_fairness;
mod dispatch_intake;
mod dispatch_ledger;
pub mod dispatch_load;
pub mod dispatch_messages;
mod dispatch_neighbours;
pub mod dispatch_settings;
pub mod dispatch_state;
mod dispatch_upstreams;
pub mod error_kind;
pub mod fair_order;
pub mod hedge_policy;
pub mod limit_book;
pub mod local_dispatcher;
pub mod naive_dispatcher;
pub mod neighbour_book;
pub mod part_book;
pub mod phase_chart;
pub mod placement;
pub mod queue_gate;
pub mod rate_limit;
pub mod replica_append;
pub mod replica_core;
pub mod replica_election;
pub mod replica_events;
pub mod replica_log;
pub mod replica_members;
pub mod replica_messages;
pub mod replica_proposal;
pub mod replica_snapshot;
pub mod report_pace;
pub mod request_life;
pub mod retry_budget;
pub mod retry_window;
pub mod rotation_leave;
pub mod route_table;
pub mod send_barrier;
pub mod slot_dispatcher;
pub mod software_version;
pub mod sorted_map;
pub mod state_chart;
pub mod stream_origins;
pub mod table_history;
pub mod upstream_limits;
pub mod upstream_notices;
pub mod upstream_registry;
pub mod workspace_table;
pub mod zone_evacuations;
