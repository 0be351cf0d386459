//! Pins what the program shows to the outside: metrics, the command line, the answers of its
//! commands and the names of its settings. Golden data is under `tests/data/v0.2.0/outputs`.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]
#![expect(clippy::disallowed_methods, reason = "only a controller's own tasks are kept together")]

mod command_line;
mod commands;
mod fake_controller;
#[path = "../common/fixed_randomness.rs"]
mod fixed_randomness;
mod golden;
mod labels;
mod metrics;
mod program;
mod regions;
mod settings;
