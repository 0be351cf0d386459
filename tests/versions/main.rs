//! What the version in production and this one store and say to each other.

#![expect(clippy::disallowed_methods, reason = "only a controller's own tasks are kept together")]

mod frames;
#[allow(dead_code, reason = "declared as they are in production")]
#[path = "../stand_ins/production_format.rs"]
mod production_format;
mod records;
