//! Admission control: detects submissions that can never run.

use super::Policy;
use crate::model::{InstanceType, Shape, Spec};
use std::fmt;

/// Reason why a submission can never run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unschedulable {
    /// The named team does not exist or takes no new jobs.
    UnknownTeam(String),
    /// A task of the job fits no instance type that the job allows, or none in an allowed zone.
    FitsNoInstanceType,
    /// The job needs more capacity at a time than the limit of its team.
    BeyondLimit {
        /// Name of the team.
        team: String,
        /// False if the limit may grow soon, as [`TeamRule::limit_is_final`](super::TeamRule::limit_is_final) is false.
        limit_is_final: bool,
    },
}

impl Unschedulable {
    /// Returns whether a newer configuration could admit the submission.
    pub fn depends_on_configuration(&self) -> bool {
        !matches!(self, Unschedulable::FitsNoInstanceType)
    }

    /// Returns whether the refusal is temporary. `up_to_date` says whether the configuration is known to be
    /// the latest one.
    pub fn is_temporary(&self, up_to_date: bool) -> bool {
        let limit_may_grow = matches!(self, Unschedulable::BeyondLimit { limit_is_final: false, .. });
        limit_may_grow || (self.depends_on_configuration() && !up_to_date)
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

/// Returns the reason why a submission can never run, or `None` if it can run.
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
    let tasks_at_once = if spec.shape == Shape::Batch { 1.0 } else { f64::from(spec.tasks) };
    if !spec.demand.times(tasks_at_once).fits(&team.limit) {
        return Some(Unschedulable::BeyondLimit { team: spec.team.clone(), limit_is_final: team.limit_is_final });
    }
    None
}
