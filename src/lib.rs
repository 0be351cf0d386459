//! Scheduler for fleets of machines that serve language models.
//!
//! `docs/architecture.md` describes the programs, the owner of each kind of state and the paths of requests;
//! `docs/design.md` gives the reasons for the design.

#![warn(missing_docs)]

pub mod api;
pub mod borrowing;
pub mod clients;
pub mod commands;
pub mod configuration;
pub mod control;
pub mod model;
pub mod provisioning;
pub mod runtime;
pub mod scheduling;
pub mod settings;
pub mod transport;
pub mod warm_pools;
pub mod wire;
