//! The gateway: one pipeline from a caller's request to a backend server.
//!
//! A request goes through these modules in order:
//!
//! 1. [`call_service`] receives the request and builds the response.
//! 2. [`call_head`] is the decoded head of the request.
//! 3. [`call_admission`] finds the route and the client account in
//!    [`site_config`], reads the body with [`call_body`] and charges the account
//!    with [`account_limits`].
//! 4. [`call_dispatch`] sends the request, and retries it where that is safe.
//!    [`send_choice`] chooses the backend server by the costs of [`backend_choice`],
//!    [`single_send`] sends the request there, and [`backend_pool`] provides the
//!    connection.
//! 5. One of three modules handles the response: [`event_relay`] relays event
//!    streams, [`response_body`] buffers a response until it is complete, and
//!    [`response_passthrough`] passes on a response that cannot be buffered.
//!
//! A request that is refused ends with a [`call_refusal`]. Buffered bodies of
//! requests and responses count in the [`byte_budget`].
//!
//! Background tasks keep the state of the entry up to date:
//!
//! - [`config_log`] follows the configuration in the log store and [`store_task`] the
//!   backend servers, and [`entry_discovery`] finds the other entries there.
//! - [`gossip_task`] exchanges gossip with other entries and fetches the
//!   configuration from them with [`document_transfer`].
//! - [`lease_task`] claims and renews the lease ([`lease_state`], [`duty_log`]).
//! - [`duty_task`] reports usage and orders replicas with [`replica_scaler`] while
//!   this entry holds a valid lease.
//!
//! Requests that crash backend servers are refused: [`crash_detector`] records
//! which requests ran on a crashed server, [`crash_ledger`] stores these runs,
//! [`crash_verdict`] finds the cause, and [`crash_trials`] lets single requests run.
//!
//! [`report_handler`] reads what backend servers report of themselves in
//! responses. [`server_limits`] stores the limits that they report, and
//! [`limit_exchange`] sends them to all entries. The [`permit_issuer`] of a hub
//! divides each limit among the entries by permits.
//!
//! The [`retry_budget`] bounds the retries of all entries together. The [`retry_pool`] of a
//! hub gives entries a credit for retries beyond their own part, and [`retry_exchange`]
//! joins both to requests and gossip.
//!
//! The decisions of a roll-out: [`rollout_state`] has its states, [`rollout_exposure`]
//! bounds what the new version gets, [`rollout_evidence`] counts answers by version, and
//! [`rollout_judge`] compares the versions. [`rollout_task`] makes them while this entry
//! holds the lease, [`rollout_table`] has what every entry knows, and [`rollout_routing`]
//! applies it to requests.
//!
//! A stream goes on only at servers of the service and the version that began it:
//! [`takeup_binding`] finds them, [`version_binding`] decides by [`stream_versions`] and
//! [`version_history`], [`weight_history`] tells whether a service can be drawn again, and
//! [`stream_exchange`] shares what an entry knows with others, and [`history_sync`] keeps in
//! the store what has to outlive them; [`stream_store`] does so with streams, in [`stream_records`],
//! and [`stream_rereads`] reads them when hubs are lost.
//!
//! An entry that is cut off from backend servers has others relay its requests:
//! [`path_monitor`] observes the [`server_paths`], which decide by the [`path_evidence`],
//! [`relay_client`] sends on the path that they name, to one of the [`relay_helpers`], and
//! [`relay_server`] relays at the other entry.
//!
//! The traits in [`platform_interface`] hide the formats of the platform.
//!
//! Lock order in [`gateway_context`]: `config`, `transfer`, `backends`,
//! `server_limits`, `account_limits`, `usage`, `peers`, `lease`, `crashes`,
//! `work`, `work_history`, `promises`, `admission`, `rollouts`, `retry_budget`,
//! `retry_pool`, `paths`, `helpers`, `streams`, `version_history`,
//! `weight_history`. No lock is held across an await.

pub mod account_demand;
pub mod account_limits;
pub mod account_share;
pub mod account_use;
pub mod address_translation;
pub mod admission_exchange;
pub mod admission_level;
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
pub mod call_feature;
pub mod call_head;
pub mod call_log;
pub mod call_refusal;
pub mod call_return;
pub mod call_service;
pub mod call_shedding;
pub mod call_work;
pub mod change_counts;
pub mod config_follower;
pub mod config_log;
pub mod crash_detector;
pub mod crash_frames;
pub mod crash_ledger;
pub mod crash_trials;
pub mod crash_verdict;
pub mod dependency_monitor;
pub mod document_parts;
pub mod document_transfer;
pub mod draining_backends;
pub mod duty_call;
pub mod duty_log;
pub mod duty_record;
pub mod duty_task;
pub mod earned_retries;
pub mod ended_incarnations;
pub mod entry_discovery;
pub mod entry_queue;
pub mod entry_wait;
pub mod event_pauses;
pub mod event_relay;
pub mod event_splitter;
pub mod fatal_sync;
pub mod gateway_context;
pub mod gateway_daemon;
pub mod gateway_settings;
pub mod gossip_frame;
pub mod gossip_receiver;
pub mod gossip_task;
pub mod history_sync;
pub mod hub_capacity;
pub mod incarnation_tracker;
pub mod interim_counts;
pub mod late_bytes;
pub mod lease_state;
pub mod lease_task;
pub mod lease_timings;
pub mod limit_exchange;
pub mod list_exchange;
pub mod list_frames;
pub mod list_history;
pub mod list_update_cache;
pub mod load_shedding;
pub mod log_budget;
pub mod log_position;
pub mod packed_document;
pub mod path_evidence;
pub mod path_monitor;
pub mod peer_gossip;
pub mod peer_table;
pub mod permit_issuer;
pub mod platform_interface;
pub mod prefill_speed;
pub mod promise_frames;
pub mod prompt_pacing;
pub mod published_config;
pub mod read_schedule;
pub mod relay_client;
pub mod relay_helpers;
pub mod relay_server;
pub mod replica_planner;
pub mod replica_scaler;
pub mod report_frames;
pub mod report_handler;
pub mod report_table;
pub mod response_body;
pub mod response_framing;
pub mod response_passthrough;
pub mod retry_budget;
pub mod retry_exchange;
pub mod retry_pool;
pub mod retry_state;
pub mod return_promises;
pub mod return_schedule;
pub mod rollout_evidence;
pub mod rollout_exposure;
pub mod rollout_frames;
pub mod rollout_judge;
pub mod rollout_routing;
pub mod rollout_state;
pub mod rollout_table;
pub mod rollout_task;
pub mod room_shares;
pub mod send_choice;
pub mod send_guard;
pub mod send_permits;
pub mod sent_work;
pub mod server_connection;
pub mod server_labels;
pub mod server_limits;
pub mod server_pace;
pub mod server_paths;
pub mod server_report;
pub mod service_room;
pub mod service_times;
pub mod shared_admission;
pub mod single_send;
pub mod site_config;
pub mod slot_forecast;
pub mod stall_detector;
pub mod start_debt;
pub mod state_sizes;
pub mod store_task;
pub mod stream_exchange;
pub mod stream_frames;
pub mod stream_records;
pub mod stream_rereads;
pub mod stream_store;
pub mod stream_versions;
pub mod takeup_binding;
pub mod time_estimate;
pub mod usage_table;
pub mod version_binding;
pub mod version_history;
pub mod weight_history;
pub mod window_decisions;
pub mod work_meter;
