//! Submissions of jobs with dependencies, which are decided once all dependencies have been looked up.

use super::dependencies::DependencyState;
use super::waiting_clients::reply;
use super::{Partition, UserAnswer, Waiter};
use crate::api::refusal::RefusalReason;
use crate::model::Spec;
use crate::wire::KeyValue;
use std::collections::BTreeMap;

/// Records that must be read before a submission is decided.
#[derive(Debug, PartialEq, Eq)]
pub struct DependencyLookup {
    /// Number of the submission.
    pub submission: u64,
    /// Ids of the jobs to look up.
    pub ids: Vec<String>,
}

/// A submission that waits for its lookup.
pub(super) struct PendingSubmission {
    spec: Spec,
    waiter: Waiter,
}

/// Submissions that wait for lookups, and the lookups that are due.
#[derive(Default)]
pub(super) struct DependencyLookups {
    submissions: BTreeMap<u64, PendingSubmission>,
    /// Number of the last submission that needed a lookup.
    last_submission: u64,
    /// Lookups that are to be sent.
    due: Vec<DependencyLookup>,
}

impl DependencyLookups {
    /// Queues a lookup of these jobs and holds the submission until it has completed.
    fn request(&mut self, spec: Spec, waiter: Waiter, ids: Vec<String>) {
        self.last_submission += 1;
        let submission = self.last_submission;
        self.due.push(DependencyLookup { submission, ids });
        self.submissions.insert(submission, PendingSubmission { spec, waiter });
    }

    /// Removes and returns the lookups that are due.
    fn take_due(&mut self) -> Vec<DependencyLookup> {
        std::mem::take(&mut self.due)
    }

    /// Removes and returns the submission whose lookup has completed; `None` if it is unknown.
    fn complete(&mut self, submission: u64) -> Option<PendingSubmission> {
        self.submissions.remove(&submission)
    }
}

impl Partition {
    /// Handles the submission of a job with dependencies. Dependencies that are not known are looked up
    /// with reads sent after the submission, because memory alone cannot show that a job was never
    /// accepted.
    pub(super) fn submit_waiting(&mut self, spec: Spec, now: u64, wall: u64, waiter: Waiter) {
        if spec.dependencies.contains(&spec.id) {
            reply(waiter, UserAnswer::Unschedulable(format!("waits_on: {} names itself", spec.id)));
            return;
        }
        let unknown: Vec<String> =
            spec.dependencies.iter().filter(|id| !self.dependency_is_known(id)).map(String::from).collect();
        if unknown.is_empty() {
            self.accept_waiting(spec, now, wall, waiter);
            return;
        }
        self.dependency_lookups.request(spec, waiter, unknown);
    }

    /// Removes and returns the lookups that are due.
    pub fn take_lookups(&mut self) -> Vec<DependencyLookup> {
        self.dependency_lookups.take_due()
    }

    /// Applies the records found by a lookup, or `None` if it failed, and then answers the submission or
    /// continues with it.
    pub fn complete_dependency_lookup(
        &mut self,
        submission: u64,
        found: Option<Vec<(String, Option<KeyValue>)>>,
        now: u64,
        wall: u64,
    ) {
        let Some(PendingSubmission { spec, waiter }) = self.dependency_lookups.complete(submission) else {
            return;
        };
        let Some(found) = found else {
            reply(waiter, UserAnswer::RetryLater(RefusalReason::StateServiceSilent));
            return;
        };
        for (id, item) in found {
            match item {
                Some(item) => self.add_dependency_record(&id, item, now),
                None if self.dependency_is_known(&id) => {}
                // The dependency's own creation may have been carried out since the read, or may still
                // be.
                None if self.cluster.job_index.contains_key(&id) => {
                    reply(waiter, UserAnswer::RetryLater(RefusalReason::DependencyIndeterminate));
                    return;
                }
                None => {
                    reply(waiter, UserAnswer::Unschedulable(format!("waits_on: {id} was never accepted")));
                    return;
                }
            }
        }
        // The same job may have been submitted again and accepted in the meantime.
        if let Some(&job_index) = self.cluster.job_index.get(&spec.id) {
            self.answer_resubmission(job_index, waiter);
        } else {
            self.accept_waiting(spec, now, wall, waiter);
        }
    }

    /// Accepts a job whose dependencies are all known, unless one of them is a service.
    fn accept_waiting(&mut self, mut spec: Spec, now: u64, wall: u64, waiter: Waiter) {
        if let Some(id) = spec.dependencies.iter().find(|id| self.is_service(id)) {
            reply(waiter, UserAnswer::Unschedulable(format!("waits_on: {id} is a service")));
            return;
        }
        // Dependencies that are known to be done need not be stored.
        let open = |id: &str| self.dependency_state(id) != DependencyState::Done;
        spec.dependencies.retain(open);
        self.accept(spec, now, wall, waiter);
    }
}
