//! Stand-ins for the platform and the backend servers, the demonstration, the
//! load tool and the experiments. Nothing here is part of the daemon.

pub mod cloud_standin;
pub mod cluster;
pub mod demo;
pub mod engine_model;
pub mod engine_standin;
pub mod fault;
pub mod gossip_sample;
pub mod histories;
pub mod lease_histories;
pub mod lease_model;
pub mod lease_step;
pub mod lease_store;
pub mod limit_day;
pub mod limit_model;
pub mod linear_fit;
pub mod load_model;
pub mod load_run;
pub mod log_standin;
pub mod member_world;
pub mod pair_model;
pub mod pair_step;
pub mod plain_standin;
pub mod processes;
pub mod retry_model;
pub mod rollout_model;
pub mod sample;
pub mod standin_server;
pub mod weight_standin;
pub mod world_explorer;
