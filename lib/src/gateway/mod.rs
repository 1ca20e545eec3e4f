//! The gateway: one pipeline from a caller's request to a backend server.
//!
//! A request passes the modules in this order: [`call_service`] (begins and
//! ends it), [`call_head`] (what the caller asked), [`call_admission`] with
//! [`site_config`] (its route, its client account), [`call_body`] and
//! [`account_limits`] (its account's rate), [`call_dispatch`] (sending, and
//! sending again where that is safe) with [`backend_choice`] (which backend
//! server) and [`backend_pool`] (a connection), and then one of three:
//! [`event_relay`] (passing events on), [`response_body`] (holding an answer
//! until it is whole) or [`response_passthrough`] (passing on one that can't be
//! held). What is refused on the way ends as a [`call_refusal`]. What is held
//! of bodies and answers is taken from the budget of [`held_bytes`].
//!
//! Beside it run tasks that keep beliefs fresh: [`store_task`] follows the
//! configuration and the backend servers, [`gossip_task`] exchanges news with
//! other entries and gets the configuration from them with
//! [`document_transfer`], [`lease_task`] takes and keeps the lease of the duties
//! ([`lease_state`], [`duty_log`]), and [`duty_task`] reports usage and orders replicas with
//! [`replica_scaler`] while this entry has the right to.
//!
//! What crashes the servers that run it is refused: [`crash_detector`] notes which requests ran
//! where a server crashed, [`crash_ledger`] keeps it and [`crash_verdict`] finds the cause.
//!
//! What servers say of themselves in answers is read by [`report_handler`]. Limits that they name are
//! kept in [`server_limits`], told to all by [`limit_exchange`], and kept by permits that the
//! [`permit_issuer`] of a hub gives out.
//!
//! The formats of the platform stand behind the traits of [`edge`].
//!
//! Lock order: `config`, `transfer`, `backends`, `server_limits`, `limits`, `usage`, `peers`, `duties`, `crashes`.
//! None is held across an await.

pub mod account_limits;
pub mod account_use;
pub mod backend_choice;
pub mod backend_pool;
pub mod backend_record;
pub mod backend_set;
pub mod backend_state;
pub mod byte_budget;
pub mod call_admission;
pub mod call_body;
pub mod call_digest;
pub mod call_dispatch;
pub mod call_head;
pub mod call_log;
pub mod call_refusal;
pub mod call_service;
pub mod change_counts;
pub mod config_follower;
pub mod crash_detector;
pub mod crash_frames;
pub mod crash_ledger;
pub mod crash_verdict;
pub mod document_parts;
pub mod document_transfer;
pub mod draining_backends;
pub mod duty_call;
pub mod duty_log;
pub mod duty_record;
pub mod duty_task;
pub mod ended_incarnations;
pub mod event_relay;
pub mod event_splitter;
pub mod fatal_sync;
pub mod gateway_context;
pub mod gateway_daemon;
pub mod gateway_settings;
pub mod gossip_frame;
pub mod gossip_task;
pub mod hub_capacity;
pub mod incarnation_tracker;
pub mod lease_state;
pub mod lease_task;
pub mod lease_timings;
pub mod limit_exchange;
pub mod list_history;
pub mod load_shedding;
pub mod log_budget;
pub mod packed_document;
pub mod peer_gossip;
pub mod peer_table;
pub mod permit_issuer;
pub mod platform_interface;
pub mod prefill_speed;
pub mod read_schedule;
pub mod replica_planner;
pub mod replica_scaler;
pub mod report_frames;
pub mod report_handler;
pub mod report_table;
pub mod response_body;
pub mod response_passthrough;
pub mod retry_budget;
pub mod send_guard;
pub mod send_permits;
pub mod server_labels;
pub mod server_limits;
pub mod server_report;
pub mod service_times;
pub mod site_config;
pub mod stall_detector;
pub mod state_sizes;
pub mod store_task;
pub mod usage_table;
pub mod window_decisions;
pub mod work_meter;
