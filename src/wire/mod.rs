//! The messages of the protocols with users, workers, the cloud and the state service. Their spellings
//! occur here alone; the rest of the code uses the names of the model.

mod cloud;
mod state_service;
mod submission;
mod user;
mod worker;

pub use cloud::{ListedInstance, list_path, parse_flavors, parse_list, parse_rented, release_body, rent_body};
pub use state_service::{
    Change, Changes, Condition, Item, Page, Revision, StateLease, Write, commit_body, condition, delete, grant_body,
    put, store,
};
pub use submission::{FieldFault, MAX_TASKS, Malformed, SubmissionError, is_job_id, parse_submission};
pub use user::{job_answer, stated_end};
pub use worker::{DO_PATH, Heartbeat, Order, SlotStatus, TaskStatus, direct, orders, redirect};

#[cfg(test)]
pub mod tests;
