//! Clients whose requests are answered after a commit.

use super::{UserAnswer, Waiter};
use crate::model::JobIndex;
use std::collections::HashMap;

/// Sends an answer to a client. A failure is ignored: it means that the client has closed its
/// connection.
pub(super) fn reply(waiter: Waiter, answer: UserAnswer) {
    let _ = waiter.send(answer);
}

/// Clients that wait for a job to be accepted or to end.
///
/// Acceptance and ends are answered only from here, after the commit that records them.
#[derive(Debug, Default)]
pub(super) struct WaitingClients {
    /// Clients that wait for a job to be accepted.
    submitters: HashMap<JobIndex, Vec<Waiter>>,
    /// Clients that wait for a job to end after a cancellation.
    cancellers: HashMap<JobIndex, Vec<Waiter>>,
}

impl WaitingClients {
    /// Adds a client that waits for the job to be accepted.
    pub(super) fn await_acceptance(&mut self, job: JobIndex, waiter: Waiter) {
        self.submitters.entry(job).or_default().push(waiter);
    }

    /// Adds a client that waits for the job to end. Waiters whose connections are closed are removed, so
    /// that repeated requests during a long cancellation do not accumulate.
    pub(super) fn await_end(&mut self, job: JobIndex, waiter: Waiter) {
        let waiters = self.cancellers.entry(job).or_default();
        waiters.retain(|waiter| !waiter.is_closed());
        waiters.push(waiter);
    }

    /// Removes and returns the clients that wait for the job to be accepted.
    pub(super) fn take_submitters(&mut self, job: JobIndex) -> Vec<Waiter> {
        self.submitters.remove(&job).unwrap_or_default()
    }

    /// Answers all clients that wait for the job, after it has ended.
    pub(super) fn answer_all(&mut self, job: JobIndex, answer: &UserAnswer) {
        let submitters = self.take_submitters(job);
        for waiter in self.cancellers.remove(&job).unwrap_or_default().into_iter().chain(submitters) {
            reply(waiter, answer.clone());
        }
    }
}
