//! Answers to users about jobs.

use crate::model::{JobEnd, JobPhase};
use serde::Deserialize;
use serde_json::{Value, json};

/// The answer to a user about a job.
pub fn job_answer(id: &str, phase: JobPhase, done: u32, running: u32) -> Value {
    json!({ "id": id, "phase": phase_name(phase), "done": done, "running": running })
}

/// The end of the job that an answer states, and how many tasks were done by then; `None`
/// if the job has not ended.
pub fn stated_end(answer: &[u8]) -> Option<(JobEnd, u32)> {
    #[derive(Deserialize)]
    struct Answer {
        phase: String,
        done: u32,
    }
    let answer: Answer = serde_json::from_slice(answer).ok()?;
    let end = [JobEnd::Done, JobEnd::Cancelled].into_iter().find(|end| phase_name(end.phase()) == answer.phase)?;
    Some((end, answer.done))
}

fn phase_name(phase: JobPhase) -> &'static str {
    match phase {
        JobPhase::Pending => "pending",
        JobPhase::Running => "running",
        JobPhase::Done => "done",
        JobPhase::Cancelled => "cancelled",
    }
}
