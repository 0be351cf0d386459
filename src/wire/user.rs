//! Answers to users.

use crate::model::{JobEnd, JobPhase};
use serde::Deserialize;
use serde_json::{Value, json};

/// Returns the body of the answer to a user about a job, with its numbers of done and running tasks.
pub fn job_answer(id: &str, phase: JobPhase, done: u32, running: u32) -> Value {
    json!({ "id": id, "phase": phase_name(phase), "done": done, "running": running })
}

/// Reads the end of the job that the body of an answer states, and the number of tasks that were done
/// by then; `None` if the answer states no end or can't be parsed.
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

/// Returns the name of a phase in answers.
fn phase_name(phase: JobPhase) -> &'static str {
    match phase {
        JobPhase::Pending => "pending",
        JobPhase::Running => "running",
        JobPhase::Done => "done",
        JobPhase::Cancelled => "cancelled",
    }
}
