//! Admission: submissions that can never run.

use super::Policy;
use crate::model::{InstanceType, Shape, Spec};
use std::fmt;

/// Why a submission can never run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unschedulable {
    /// There is no such team, or it takes no new jobs.
    UnknownTeam(String),
    /// A task fits no instance type that the job allows.
    FitsNoInstanceType,
    /// The job needs more at a time than its team may use.
    BeyondLimit {
        /// The team.
        team: String,
        /// False if the limit is about to grow.
        settled: bool,
    },
}

impl Unschedulable {
    /// Could a newer configuration allow the submission?
    pub fn depends_on_configuration(&self) -> bool {
        !matches!(self, Unschedulable::FitsNoInstanceType)
    }

    /// Is the refusal a temporary one, where the configuration is or is not known to be up to date?
    pub fn is_temporary(&self, up_to_date: bool) -> bool {
        let unsettled = matches!(self, Unschedulable::BeyondLimit { settled: false, .. });
        unsettled || (self.depends_on_configuration() && !up_to_date)
    }
}

impl fmt::Display for Unschedulable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unschedulable::UnknownTeam(team) => write!(formatter, "owner: no team {team}"),
            Unschedulable::FitsNoInstanceType => write!(formatter, "a task fits no allowed machine type"),
            Unschedulable::BeyondLimit { team, .. } => {
                write!(formatter, "the job needs more than the limit of {team}")
            }
        }
    }
}

impl std::error::Error for Unschedulable {}

/// Why a submission can never run; `None` if it can.
pub fn unschedulable_reason(spec: &Spec, policy: &Policy, instance_types: &[InstanceType]) -> Option<Unschedulable> {
    let Some(team) = policy.teams.get(&spec.team).filter(|team| !team.removed) else {
        return Some(Unschedulable::UnknownTeam(spec.team.clone()));
    };
    let fits = instance_types.iter().any(|instance_type| {
        spec.allows_instance_type(instance_type) && instance_type.zones.iter().any(|zone| spec.allows_zone(zone))
    });
    if !fits {
        return Some(Unschedulable::FitsNoInstanceType);
    }
    let together = if spec.shape == Shape::Batch { 1.0 } else { f64::from(spec.tasks) };
    if !spec.demand.times(together).fits(&team.limit) {
        return Some(Unschedulable::BeyondLimit { team: spec.team.clone(), settled: team.settled });
    }
    None
}
