//! Subcommands of the program that send requests to a running controller.

pub mod borrowing;
pub mod configuration;
pub mod controller_client;
pub mod errors;
pub mod warm_pools;
