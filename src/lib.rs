//! badgerdrift: a scheduler for fleets that serve language models.
//!
//! `docs/architecture.md` shows the programs, who owns which state, and how requests travel;
//! `docs/design.md` gives the reasons.

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
