//! Clients of the state service, the cloud and the workers, with timeouts and rate limits derived
//! from the settings.

mod cloud;
pub mod job_reads;
pub mod request_budget;
mod request_error;
pub mod state_request_metrics;
mod state_store;
mod token_bucket;
mod worker;
pub mod write_limits;

pub use cloud::{Cloud, RentResult};
pub use request_error::RequestError;
pub use state_store::StateStore;
pub use token_bucket::TokenBucket;
pub use worker::Worker;

#[cfg(test)]
mod tests;
