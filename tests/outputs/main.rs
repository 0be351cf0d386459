//! Checks that external output does not change: metrics, the command line, the output of commands and the names of
//! settings. The golden files are in `tests/data/v0.2.0/outputs`.

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
