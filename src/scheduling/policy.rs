//! The scheduling policy: the parameters of decisions, and the deadlines and deadline bins that follow
//! from them.

use crate::model::{Demand, Job};
use crate::settings::bounds::{AttemptBounds, Bounds, MAX_ENTRIES_PER_S};
use crate::settings::{OperatorSettings, Settings};
use std::collections::HashMap;

/// Share of starts that must meet a start objective that sets no share of its own.
const DEFAULT_SHARE: f64 = 0.9;

/// Parameters of scheduling decisions that are not part of the cluster state.
#[derive(Debug, Clone)]
pub struct Policy {
    /// Width of a bin of soft deadlines, in seconds. Jobs are ordered by bin.
    pub bin_width_s: f64,
    /// Soft deadline, in seconds from readiness, of a job that has neither `due_s` nor a start objective.
    pub default_deadline_s: f64,
    /// Factor on the capacity that is kept free for arrivals during a machine boot; 0 keeps none.
    pub headroom: f64,
    /// Time for which an idle machine is kept, as a multiple of its boot time.
    pub idle_keep: f64,
    /// Guarantee and limit of each team, by team name.
    pub teams: HashMap<String, TeamRule>,
    /// Start objective of each class that has one, by class name.
    pub start_objectives: HashMap<String, StartObjective>,
    /// Time in seconds within which work within a guarantee is to start; `None` without such an objective.
    pub guarantee_s: Option<f64>,
    /// Time for which capacity is reserved for the first gang in the queue, in milliseconds.
    pub gang_reservation_ms: u64,
    /// Lifetime of the lease of a worker, in milliseconds.
    pub lease_ms: u64,
    /// Interval between two reports of a worker, in milliseconds.
    pub report_ms: u64,
    /// Time in milliseconds within which an order that is sent directly takes effect.
    pub react_ms: u64,
    /// Number of records that can be written per second.
    pub writes_per_s: f64,
    /// Bounds on the number of attempts that a leader can track.
    pub attempt_bounds: AttemptBounds,
    /// Number of preemption plans in a scheduling cycle; further ones are left to the next cycles.
    pub preemption_plans_per_cycle: u64,
    /// Number of attempts on machines from which on no work of the lowest urgency is started. Each attempt
    /// is listed in heartbeats, which cost the leader processor time and memory.
    pub max_attempts: usize,
    /// Wall time of the start of the system, in milliseconds, as recorded by the state service.
    pub start_ms: u64,
}

/// Objective for the time within which the tasks of a class start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartObjective {
    /// Time in seconds from the readiness of the job.
    pub within_s: f64,
    /// Share of starts that must meet the objective, from 0 to 1.
    pub share: f64,
}

/// Guarantee and limit of a team.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamRule {
    /// Guaranteed amounts; 0 where nothing is guaranteed. Memory is unrestricted.
    pub guarantee: Demand,
    /// Largest amounts that the team may use at a time; infinite where there is no limit.
    pub limit: Demand,
    /// True if the limit is the full share of this region. The limit is lower than that while another region
    /// has not yet confirmed that its share was reduced.
    pub limit_is_final: bool,
    /// True if the team takes no new jobs; its present jobs continue.
    pub removed: bool,
}

impl TeamRule {
    /// Returns whether the guarantee covers any resource that a task with this demand takes. Without this
    /// check a team without a guarantee would always be within it with tasks that take no accelerator, and
    /// could preempt the work of all other teams.
    pub fn guarantees(&self, demand: &Demand) -> bool {
        let covers = |guaranteed: f64, taken: f64| guaranteed > 0.0 && taken > 0.0;
        covers(self.guarantee.gpus, demand.gpus) || covers(self.guarantee.cpus, demand.cpus)
    }
}

fn milliseconds(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}

/// Returns the limit set by a settings value, where 0 means no limit.
fn limit(setting: f64) -> f64 {
    if setting > 0.0 { setting } else { f64::INFINITY }
}

impl Policy {
    /// Returns the policy that follows from the settings of the service and of the operator. `start_ms` is
    /// the wall time of the start of the system, in milliseconds.
    pub fn new(settings: &Settings, operator: &OperatorSettings, start_ms: u64) -> Policy {
        let params = &settings.params;
        let teams = params.teams.iter().map(|team| {
            let rule = TeamRule {
                guarantee: Demand { cpus: team.cpus, gpus: team.gpus, mem: f64::INFINITY },
                limit: Demand { cpus: limit(team.cpus_max), gpus: limit(team.gpus_max), mem: f64::INFINITY },
                limit_is_final: true,
                removed: false,
            };
            (team.name.clone(), rule)
        });
        let bounds = Bounds::new(settings);
        let attempt_bounds = bounds.attempts;
        let guarantee = params.objectives.iter().find(|objective| objective.kind == "guarantee");
        let start_objectives = params.objectives.iter().filter(|objective| objective.kind == "wait");
        let start_objectives = start_objectives.filter_map(|objective| {
            let share = objective.share.unwrap_or(DEFAULT_SHARE);
            Some((objective.class.clone()?, StartObjective { within_s: objective.within_s?, share }))
        });
        Policy {
            bin_width_s: operator.bin_width_s,
            default_deadline_s: operator.default_deadline_s,
            headroom: operator.headroom,
            idle_keep: operator.idle_keep,
            teams: teams.collect(),
            start_objectives: start_objectives.collect(),
            guarantee_s: guarantee.and_then(|objective| objective.within_s),
            gang_reservation_ms: (params.workers.gang_wait_s * 1000.0) as u64,
            lease_ms: settings.lease_ms(),
            report_ms: settings.report_ms(),
            react_ms: settings.react_ms(),
            writes_per_s: settings.write_limits().changes_per_s,
            attempt_bounds,
            preemption_plans_per_cycle: bounds.preemption_plans_per_cycle,
            max_attempts: attempt_bounds.max_attempts(MAX_ENTRIES_PER_S),
            start_ms,
        }
    }

    /// Returns the soft deadline of the job, in milliseconds of wall time: the earlier of its own deadline
    /// and the instant by which its dependents need it. For a job without `due_s` the time counts from
    /// readiness.
    pub fn soft_deadline_ms(&self, job: &Job) -> u64 {
        let own = match job.spec.due_s {
            Some(due_s) => job.accepted_ms + milliseconds(due_s),
            None => {
                let objective_s = self.start_objectives.get(&job.spec.class).map(|objective| objective.within_s);
                job.ready_ms + milliseconds(objective_s.unwrap_or(self.default_deadline_s))
            }
        };
        job.needed_by_ms.map_or(own, |needed_by| needed_by.min(own))
    }

    /// Returns the deadline by which the job is ordered at wall time `wall`, both in milliseconds. A job that
    /// can no longer meet its deadline is postponed in two steps, so that it does not starve jobs that can.
    pub fn effective_deadline_ms(&self, job: &Job, wall: u64) -> u64 {
        let soft = self.soft_deadline_ms(job);
        let Some(due) = job.due_ms() else { return soft };
        let remaining_ms = (job.spec.expected_s * 500.0) as u64;
        let postponement = due.saturating_sub(job.accepted_ms) / 2;
        if wall + remaining_ms <= due {
            soft
        } else if wall + remaining_ms <= due + postponement {
            due + postponement
        } else {
            due + postponement + milliseconds(self.default_deadline_s)
        }
    }

    /// Returns the number of the bin that contains a deadline, given in milliseconds of wall time.
    pub fn deadline_bin(&self, deadline_ms: u64) -> u64 {
        let width_ms = (self.bin_width_s * 1000.0).max(1.0) as u64;
        deadline_ms.saturating_sub(self.start_ms) / width_ms
    }
}
