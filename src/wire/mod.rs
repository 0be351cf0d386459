//! Messages of the protocols with users, workers, the cloud and the state service. The field names and
//! values of these protocols occur in this module only; the rest of the code uses the names of the
//! model.

mod cloud;
mod state_service;
mod submission;
mod user;
mod worker;

pub use cloud::{
    ListedInstance, machine_list_path, parse_instance_types, parse_machine_list, parse_rented_machines, release_body,
    rent_body,
};
pub use state_service::{
    Change, Changes, Condition, KeyValue, LeaseReply, Page, RevisionReply, Write, commit_body, condition, delete,
    lease_body, put, store,
};
pub use submission::{FieldFault, MAX_TASKS, Malformed, SubmissionError, is_job_id, parse_submission};
pub use user::{job_answer, stated_end};
pub use worker::{
    DIRECT_COMMAND_PATH, Heartbeat, Order, SlotStatus, TaskStatus, direct_command_body, heartbeat_reply,
    leader_redirect,
};

#[cfg(test)]
pub mod tests;
