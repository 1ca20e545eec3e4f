//! Coordination parts of cloverbend, a serving system on reclaimable VMs.
//!
//! The decisions are pure and can be embedded one by one: [`holder`] and
//! [`mirror`] run calls at most once, [`answer`] assembles streams,
//! [`revision`] follows a configuration, [`membership`] knows who is there,
//! [`routing`] and [`limits`] decide under load, [`lease`] and [`planner`]
//! choose VMs. [`entry`] puts them together as a daemon.
//!
//! # Example
//!
//! Routing, embedded by itself: two engines, of which one has a long queue.
//!
//! ```
//! use cloverbend::quantity::{HourlyPrice, Timestamp, TokenCount};
//! use cloverbend::route_strategy::RouteStrategy;
//! use cloverbend::routing::{CostWeights, EngineInfo, EngineLoad, EngineTable, RouteQuery};
//!
//! # fn main() -> Result<(), cloverbend::id::IdError> {
//! let mut table = EngineTable::new(RouteStrategy::FullCost, CostWeights::default(), 1);
//! for vm in ["engine-1", "engine-2"] {
//!     table.add(EngineInfo {
//!         vm: vm.parse()?,
//!         zone: "dakar-a".parse()?,
//!         price: HourlyPrice(1.0),
//!         prefill_rate: 4_000.0,
//!         slots: 16,
//!     });
//! }
//! let queue = EngineLoad { waiting_tokens: 20_000, ..EngineLoad::default() };
//! table.report_load(&"engine-1".parse()?, queue);
//! let query = RouteQuery {
//!     blocks: &[],
//!     prompt: TokenCount(500),
//!     zones: None,
//!     max_price: None,
//!     avoid: None,
//! };
//! let choice = table.choose(Timestamp(0), &query);
//! assert_eq!(choice.map(|choice| choice.vm.to_string()).as_deref(), Some("engine-2"));
//! # Ok(())
//! # }
//! ```

pub mod abortable_socket;
pub mod answer;
pub mod answer_delivery;
pub mod answer_follower;
pub mod api;
pub mod backend_table;
pub mod boot_clock;
pub mod call_api;
pub mod caller;
pub mod caller_client;
pub mod chat_api;
pub mod chat_runner;
pub mod chat_stream;
pub mod config_pull;
pub mod config_task;
pub mod configuration;
pub mod engine_client;
pub mod entry;
pub mod entry_context;
pub mod finding;
pub mod frame_reader;
pub mod gateway;
pub mod gossip_wire;
pub mod holder;
pub mod holder_action;
pub mod http_client;
pub mod http_server;
pub mod id;
pub mod lease;
pub mod limits;
pub mod link_queue;
pub mod log_client;
pub mod log_reader;
pub mod logging;
pub mod loss_report;
pub mod member_record;
pub mod member_task;
pub mod membership;
pub mod metrics_export;
pub mod mirror;
pub mod pair;
pub mod peer_link;
pub mod plain_runner;
pub mod plan_task;
pub mod planner;
pub mod platform_client;
pub mod platform_task;
pub mod policy;
pub mod prefix;
pub mod publisher;
pub mod quantity;
pub mod query_api;
pub mod refusal;
pub mod request;
pub mod request_socket;
pub mod request_table;
pub mod request_work;
pub mod reset_call;
pub mod resident_memory;
pub mod revision;
pub mod route_strategy;
pub mod routing;
pub mod setting_reader;
pub mod settings;
pub mod ticket_route;
pub mod trace;
pub mod vm_roster;
pub mod wire;
pub mod wire_error;
