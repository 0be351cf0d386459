//! Clients whose requests are answered after a commit.

use super::{UserAnswer, Waiter};
use crate::model::JobIndex;
use std::collections::HashMap;

/// Answers a client. Its connection may be closed by now: then nobody needs the answer.
pub(super) fn reply(waiter: Waiter, answer: UserAnswer) {
    let _ = waiter.send(answer);
}

/// Who waits for a job to be accepted, and for it to end.
///
/// Acceptance and ends are answered only from here, after the commit that records them.
#[derive(Debug, Default)]
pub(super) struct WaitingClients {
    submitters: HashMap<JobIndex, Vec<Waiter>>,
    cancellers: HashMap<JobIndex, Vec<Waiter>>,
}

impl WaitingClients {
    /// This client waits for the job to be accepted.
    pub(super) fn await_acceptance(&mut self, job: JobIndex, waiter: Waiter) {
        self.submitters.entry(job).or_default().push(waiter);
    }

    /// This client waits for the job to end. Those that have gone meanwhile are dropped, so that
    /// repeated requests for a cancellation that takes long don't add up.
    pub(super) fn await_end(&mut self, job: JobIndex, waiter: Waiter) {
        let waiters = self.cancellers.entry(job).or_default();
        waiters.retain(|waiter| !waiter.is_closed());
        waiters.push(waiter);
    }

    /// The clients that waited for the job to be accepted.
    pub(super) fn take_submitters(&mut self, job: JobIndex) -> Vec<Waiter> {
        self.submitters.remove(&job).unwrap_or_default()
    }

    /// Answers all who wait for the job: it has ended.
    pub(super) fn answer_all(&mut self, job: JobIndex, answer: &UserAnswer) {
        let submitters = self.take_submitters(job);
        for waiter in self.cancellers.remove(&job).unwrap_or_default().into_iter().chain(submitters) {
            reply(waiter, answer.clone());
        }
    }
}
