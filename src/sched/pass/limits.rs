//! The limits and guarantees of teams.

use super::Pass;
use crate::model::{Job, Shape, Spec, Urgency};

/// Sums of decimal amounts may be off by rounding.
const ROUNDING: f64 = 1e-6;

impl Pass<'_> {
    /// Would the job's team be within its limit with `n` more tasks?
    pub(super) fn within_limit(&self, spec: &Spec, n: f64) -> bool {
        let Some(team) = self.policy.teams.get(&spec.team) else { return false };
        let mut total = self.index.usage.get(&spec.team).copied().unwrap_or_default();
        total.add(&spec.demand.times(n));
        // Machines that are not accounted for may hold what was not seen of the team's tasks.
        if let Some(unseen) = self.unseen.get(&spec.team) {
            total.add(unseen);
        }
        total.fits(&team.limit)
    }

    /// Do the attempts on all machines leave no more to this work? An array of thousands of
    /// short tasks would use up the owner's processor time and memory with its reports.
    pub(super) fn too_many_attempts(&self, job: &Job) -> bool {
        let attempts = self.attempts_before + self.out.starts.len();
        job.urgency == Urgency::Low && job.spec.shape == Shape::Batch && attempts >= self.policy.max_attempts
    }

    /// Would the job's team be within its guarantee with one more task?
    pub(super) fn within_guarantee(&self, spec: &Spec) -> bool {
        let Some(team) = self.policy.teams.get(&spec.team) else { return false };
        if !team.guarantees(&spec.demand) {
            return false;
        }
        let mut total = self.index.staying.get(&spec.team).copied().unwrap_or_default();
        total.add(&spec.demand);
        total.gpus <= team.guarantee.gpus + ROUNDING
            && (team.guarantee.cpus <= 0.0 || total.cpus <= team.guarantee.cpus + ROUNDING)
    }

    /// Would the victim's team be beyond its guarantee even without it? Else
    /// two teams would go on taking the same room from each other.
    pub(super) fn beyond_guarantee(&self, victim: &Spec) -> bool {
        let used = self.index.staying.get(&victim.team).copied().unwrap_or_default();
        self.policy
            .teams
            .get(&victim.team)
            .is_some_and(|t| used.gpus - victim.demand.gpus >= t.guarantee.gpus - ROUNDING)
    }
}
