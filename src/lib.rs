//! badgerdrift: a scheduler for fleets that serve language models.
//!
//! `docs/design.md` tells how it works and why.

#![warn(missing_docs)]

pub mod api;
pub mod boot_times;
pub mod borrowing;
pub mod borrowing_command;
pub mod bounds;
pub mod clients;
pub mod clock;
pub mod config;
pub mod config_command;
pub mod configuration;
pub mod controller_request;
pub mod dependency_graph;
pub mod ended_jobs;
pub mod frame_format;
pub mod http;
pub mod job_reads;
pub mod membership;
pub mod metrics;
pub mod model;
pub mod net;
pub mod node;
pub mod partition;
pub mod partition_leader;
pub mod peer;
pub mod peer_health;
pub mod provisioner;
pub mod refusal;
pub mod request_budget;
pub mod router;
pub mod sched;
pub mod task;
pub mod task_locations;
pub mod user_metrics;
pub mod warm_pools;
pub mod warm_pools_command;
pub mod wire;
pub mod write_limits;
