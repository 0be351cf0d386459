//! The protocols' spellings; no other module knows them.

mod cloud;
mod state_service;
mod user;
mod worker;

pub use cloud::{ListedInstance, list_path, parse_flavors, parse_list, parse_rented, release_body, rent_body};
pub use state_service::{
    Change, Changes, Condition, Item, Page, Revision, StateLease, Write, commit_body, condition, delete, grant_body,
    put, store,
};
pub use user::{MAX_TASKS, Malformed, is_job_id, job_answer, parse_submission, told_end};
pub use worker::{DO_PATH, Heartbeat, Order, SlotStatus, TaskStatus, direct, orders, redirect};

#[cfg(test)]
pub mod tests;
