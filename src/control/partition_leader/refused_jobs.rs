//! Jobs whose polls this leader refuses, to find those that it never answers.

use crate::api::refusal::RefusalReason;
use std::collections::HashMap;

/// Refusals of a job since it was last answered.
#[derive(Debug)]
struct Refusals {
    since_ms: u64,
    reported: bool,
}

/// Jobs whose last poll was refused. A leader with a valid lease answers each job soon while the state service
/// responds; one that it refuses for longer is reported once.
#[derive(Debug, Default)]
pub(super) struct RefusedJobs {
    jobs: HashMap<String, Refusals>,
}

impl RefusedJobs {
    /// Records the answer to a poll; `refusal` is its reason if it was refused. Returns for how many milliseconds the
    /// job has been refused if that is more than `limit_ms` and was not reported yet.
    pub(super) fn record(
        &mut self,
        id: &str,
        refusal: Option<RefusalReason>,
        now_ms: u64,
        limit_ms: u64,
    ) -> Option<u64> {
        if refusal.is_none() {
            self.jobs.remove(id);
            return None;
        }
        let refusals = self.jobs.entry(id.to_string()).or_insert(Refusals { since_ms: now_ms, reported: false });
        let refused_ms = now_ms.saturating_sub(refusals.since_ms);
        let is_new = refused_ms > limit_ms && !std::mem::replace(&mut refusals.reported, refused_ms > limit_ms);
        is_new.then_some(refused_ms)
    }

    /// Forgets all refusals: while the state service does not respond, they are no fault of this leader.
    pub(super) fn clear(&mut self) {
        self.jobs.clear();
    }
}
