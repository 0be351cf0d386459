//! The policy: what decisions depend on besides the state of the cluster, and deadlines and bins by it.

use crate::model::{Demand, Job};
use crate::settings::bounds::{AttemptBounds, Bounds, MOST_ENTRIES_PER_S};
use crate::settings::{Operator, Settings};
use std::collections::HashMap;

/// The share of starts that must meet an objective that names none.
const DEFAULT_SHARE: f64 = 0.9;

/// What decisions depend on besides the state of the cluster.
#[derive(Debug, Clone)]
pub struct Policy {
    /// Width of a bin of soft deadlines, in seconds.
    pub bin_width_s: f64,
    /// Soft deadline in seconds of a job that has neither `due_s` nor an objective.
    pub default_deadline_s: f64,
    /// Scales the capacity that is kept for arrivals during a boot; 0 keeps none.
    pub headroom: f64,
    /// Idle machines are kept for this many of their boot times.
    pub idle_keep: f64,
    /// Guarantee and limit of each team, by its name.
    pub teams: HashMap<String, TeamRule>,
    /// Start objective of each class that has one.
    pub start_objectives: HashMap<String, StartObjective>,
    /// Within how many seconds work within a guarantee is to start; `None` without such an objective.
    pub guarantee_s: Option<f64>,
    /// How long capacity is reserved for the leading gang, in milliseconds.
    pub hold_ms: u64,
    /// Life of a worker's lease in milliseconds.
    pub lease_ms: u64,
    /// Interval between two reports of a worker in milliseconds.
    pub report_ms: u64,
    /// Within how many milliseconds an order that is sent directly shows its effect.
    pub react_ms: u64,
    /// Records that can be written in a second.
    pub writes_per_s: f64,
    /// How many attempts a leader can follow.
    pub attempt_bounds: AttemptBounds,
    /// Attempts on machines beyond which no work of the lowest urgency is started: what the
    /// heartbeats list costs the leader processor time and memory.
    pub max_attempts: usize,
    /// Wall time of the system's start, from the state service.
    pub start_ms: u64,
}

/// Within how long the tasks of a class are to start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartObjective {
    /// Seconds from when the job is ready.
    pub within_s: f64,
    /// The share of starts that must meet it.
    pub share: f64,
}

/// What a team is guaranteed, and what it may use at most.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamRule {
    /// Guaranteed amounts; 0 where nothing is guaranteed. Memory is not restricted.
    pub guarantee: Demand,
    /// Largest amounts in use at a time; infinite where there is no limit.
    pub limit: Demand,
    /// The limit is all that the region is to have. It may be less for a while where another
    /// region has not confirmed yet that it gave a part away.
    pub settled: bool,
    /// The team takes no new jobs; what it has goes on.
    pub removed: bool,
}

impl TeamRule {
    /// Does the guarantee cover anything that such a task takes? Without this check a team
    /// that is guaranteed nothing would always be within its guarantee with tasks that take
    /// no accelerator, and could stop the work of all others.
    pub fn guarantees(&self, demand: &Demand) -> bool {
        let covers = |guaranteed: f64, taken: f64| guaranteed > 0.0 && taken > 0.0;
        covers(self.guarantee.gpus, demand.gpus) || covers(self.guarantee.cpus, demand.cpus)
    }
}

fn milliseconds(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}

/// 0 in the settings means no limit.
fn limit(setting: f64) -> f64 {
    if setting > 0.0 { setting } else { f64::INFINITY }
}

impl Policy {
    /// The policy by the settings of the service and of the operator. `start_ms` is the wall time of the
    /// system's start.
    pub fn new(settings: &Settings, operator: &Operator, start_ms: u64) -> Policy {
        let params = &settings.params;
        let teams = params.teams.iter().map(|team| {
            let rule = TeamRule {
                guarantee: Demand { cpus: team.cpus, gpus: team.gpus, mem: f64::INFINITY },
                limit: Demand { cpus: limit(team.cpus_max), gpus: limit(team.gpus_max), mem: f64::INFINITY },
                settled: true,
                removed: false,
            };
            (team.name.clone(), rule)
        });
        let attempt_bounds = Bounds::new(settings).attempts;
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
            hold_ms: (params.workers.gang_wait_s * 1000.0) as u64,
            lease_ms: settings.lease_ms(),
            report_ms: settings.report_ms(),
            react_ms: settings.react_ms(),
            writes_per_s: settings.write_limits().changes_per_s,
            attempt_bounds,
            max_attempts: attempt_bounds.most(MOST_ENTRIES_PER_S),
            start_ms,
        }
    }

    /// The job's soft deadline, as wall time: the earlier one of its own and of that which the
    /// jobs that need it leave it. Without a deadline of its own its time begins once it may start.
    pub fn soft_deadline_ms(&self, job: &Job) -> u64 {
        let own = match job.spec.due_s {
            Some(due_s) => job.accepted_ms + milliseconds(due_s),
            None => {
                let objective_s = self.start_objectives.get(&job.spec.class).map(|objective| objective.within_s);
                job.ready_ms + milliseconds(objective_s.unwrap_or(self.default_deadline_s))
            }
        };
        job.needed_by_ms.map_or(own, |needed| needed.min(own))
    }

    /// The deadline that counts at this wall time. Work that can't meet its deadline any more is put off
    /// in two steps, so that it doesn't starve what can.
    pub fn effective_deadline_ms(&self, job: &Job, wall: u64) -> u64 {
        let soft = self.soft_deadline_ms(job);
        let Some(due) = job.due_ms() else { return soft };
        let remaining_ms = (job.spec.expected_s * 500.0) as u64;
        let stride = due.saturating_sub(job.accepted_ms) / 2;
        if wall + remaining_ms <= due {
            soft
        } else if wall + remaining_ms <= due + stride {
            due + stride
        } else {
            due + stride + milliseconds(self.default_deadline_s)
        }
    }

    /// The bin of a deadline given as wall time.
    pub fn bin(&self, deadline_ms: u64) -> u64 {
        let width = (self.bin_width_s * 1000.0).max(1.0) as u64;
        deadline_ms.saturating_sub(self.start_ms) / width
    }
}
