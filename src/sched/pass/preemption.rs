//! Which work may be stopped for other work.

use super::Pass;
use super::cost::late;
use super::need::Need;
use crate::model::{Copy, HostIx, Shape, Spec, Urgency};

/// A replica has settled after so many times what an order takes to show.
const SETTLED: u64 = 30;

/// Work that has run for less than this share of its estimate has hardly begun.
const HARDLY_BEGUN: f64 = 0.25;

/// A start is in time for a guarantee if it is late with less than this probability.
const LIKELY_LATE: f64 = 0.5;

/// Which work of its own urgency a job may stop for its team's guarantee.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(super) enum Reach {
    None,
    Begun,
    Any,
}

impl Pass<'_> {
    /// How far a job may go to get its team's guarantee from work that is no
    /// less urgent: while that is in time, work that has hardly begun; once it
    /// has waited as long as room is held for a gang, any. Without bounds two
    /// teams' arrays stop each other over and over, and none is in time.
    pub(super) fn reach(&self, need: &Need) -> Reach {
        let job = &self.world.jobs[need.ix];
        if !self.within_guarantee(&job.spec) {
            Reach::None
        } else if self.wall.saturating_sub(job.accepted_ms) >= self.policy.hold_ms {
            Reach::Any
        } else if need.guarantee_s.is_some() {
            Reach::Begun
        } else {
            Reach::None
        }
    }

    /// The same on one machine: nothing is stopped where the start would be
    /// late for the guarantee all the same.
    pub(super) fn reach_on(&self, reach: Reach, need: &Need, hix: HostIx) -> Reach {
        let in_time = || need.guarantee_s.is_some_and(|left| late(self.fetch_s(need, hix), left) < LIKELY_LATE);
        if reach == Reach::Begun && !in_time() { Reach::None } else { reach }
    }

    /// Has it run for only a small share of its estimate?
    pub(super) fn hardly_begun(&self, c: &Copy) -> bool {
        let expected_s = self.world.jobs[c.key.job].spec.expected_s;
        self.now.saturating_sub(c.since_ms) as f64 <= expected_s * 1000.0 * HARDLY_BEGUN
    }

    /// Has it been there for long? What is stopped sooner was hardly started.
    pub(super) fn settled(&self, c: &Copy) -> bool {
        self.now.saturating_sub(c.since_ms) >= SETTLED * self.policy.react_ms
    }

    /// Could the copy's job still be in time if it began anew?
    pub(super) fn second_chance(&self, c: &Copy) -> bool {
        let job = &self.world.jobs[c.key.job];
        let needs = (job.spec.expected_s * 1000.0) as u64;
        job.spec.due_s.is_none() || self.wall + needs < self.policy.soft_deadline_ms(job)
    }

    /// May a task of `spec` push this copy off its machine?
    pub(super) fn may_evict(&self, spec: &Spec, reach: Reach, c: &Copy) -> bool {
        let victim = &self.world.jobs[c.key.job].spec;
        if c.stop.is_some() || c.ended() {
            return false;
        }
        if victim.urgency < spec.urgency {
            return true;
        }
        let far_enough = match reach {
            Reach::None => false,
            Reach::Begun => self.hardly_begun(c),
            Reach::Any => true,
        };
        far_enough
            && (reach == Reach::Any || self.second_chance(c))
            && victim.team != spec.team
            && victim.shape != Shape::Service
            && victim.urgency <= spec.urgency.max(Urgency::Normal)
            && self.beyond_guarantee(victim)
    }
}
