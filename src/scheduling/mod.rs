//! Decisions: bins, the scheduling cycle over them, placement, gangs, preemption and the
//! rental plan. Pure and synchronous: no I/O, no clock.

pub mod dependency_graph;
pub mod task_locations;

mod cycle;
mod index;
mod plan;
mod policy;
#[cfg(test)]
mod tests;

pub use cycle::{Assignment, CycleDecisions, Preemption, RefusedLoan, StopCause, schedule};
pub use index::Index;
pub use plan::{ClassFlow, Drain, ExpectedWork, PendingMachine, Plan, Rental, Supply, SupplyOf, plan, reserves};
pub use policy::{Policy, TeamRule};

use crate::model::{Host, InstanceType, Shape, Spec, UNREACHABLE_AFTER_MISSES};
use std::fmt;

/// Why a submission can never run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unschedulable {
    /// There is no such team, or it takes no new jobs.
    UnknownTeam(String),
    /// A task fits no machine type that the job allows.
    FitsNoMachineType,
    /// The job needs more at a time than its team may use.
    BeyondLimit {
        /// The team.
        team: String,
        /// False if the limit is about to grow.
        settled: bool,
    },
}

impl Unschedulable {
    /// Could a newer configuration say otherwise?
    pub fn depends_on_configuration(&self) -> bool {
        !matches!(self, Unschedulable::FitsNoMachineType)
    }

    /// Is the refusal to be told as one for now, where the configuration is or is not known to be
    /// up to date?
    pub fn is_for_now(&self, up_to_date: bool) -> bool {
        let unsettled = matches!(self, Unschedulable::BeyondLimit { settled: false, .. });
        unsettled || (self.depends_on_configuration() && !up_to_date)
    }
}

impl fmt::Display for Unschedulable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unschedulable::UnknownTeam(team) => write!(f, "owner: no team {team}"),
            Unschedulable::FitsNoMachineType => write!(f, "a task fits no allowed machine type"),
            Unschedulable::BeyondLimit { team, .. } => write!(f, "the job needs more than the limit of {team}"),
        }
    }
}

/// Why a submission can never run, if so.
pub fn unschedulable_reason(spec: &Spec, policy: &Policy, instance_types: &[InstanceType]) -> Option<Unschedulable> {
    let Some(team) = policy.teams.get(&spec.team).filter(|team| !team.removed) else {
        return Some(Unschedulable::UnknownTeam(spec.team.clone()));
    };
    let fits =
        instance_types.iter().any(|f| spec.allows_instance_type(f) && f.zones.iter().any(|z| spec.allows_zone(z)));
    if !fits {
        return Some(Unschedulable::FitsNoMachineType);
    }
    let together = if spec.shape == Shape::Batch { 1.0 } else { f64::from(spec.tasks) };
    if !spec.demand.times(together).fits(&team.limit) {
        return Some(Unschedulable::BeyondLimit { team: spec.team.clone(), settled: team.settled });
    }
    None
}

/// Is it a new machine that has reported, and may be used once it is registered and has
/// confirmed the leader's token? It is room that needs not be rented again.
pub fn joining(h: &Host) -> bool {
    !h.registered
        && h.addr.is_some()
        && !h.preemption_notice
        && !h.terminating
        && h.transferring_to.is_none()
        && h.unanswered_probes < UNREACHABLE_AFTER_MISSES
}

/// May tasks be placed on the machine now?
pub fn usable(h: &Host, now: u64) -> bool {
    h.registered
        && !h.has_unknown_tasks
        && !h.preemption_notice
        && !h.terminating
        && !h.draining
        && h.transferring_to.is_none()
        && h.token_confirmed()
        && h.blocked_until_ms <= now
        && !h.faulty()
        && h.addr.is_some()
        && h.unanswered_probes < UNREACHABLE_AFTER_MISSES
}
