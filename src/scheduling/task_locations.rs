//! Possible locations of running tasks. Placement, limits and answers to users all use this module.
//!
//! A task may be running on each machine that has an attempt of it which has not ended. Unless the task
//! was located, it may also be running on any unreconciled machine of the previous leader that its job
//! allows. A located task was found on a machine that is reconciled.

use crate::model::{ClusterState, Demand, HostIndex, HostOffering, Job, JobIndex, Place, Task, TaskAttempt};
use std::collections::{HashMap, HashSet};

/// Set of the idle tasks of a job that may be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceableTasks {
    /// Every idle task.
    All,
    /// Only tasks that were located.
    Located,
    /// No task.
    None,
}

impl PlaceableTasks {
    /// Returns whether the task is idle and in the set.
    pub fn includes(self, task: &Task) -> bool {
        task.place == Place::Idle
            && match self {
                PlaceableTasks::All => true,
                PlaceableTasks::Located => task.located_by_leader,
                PlaceableTasks::None => false,
            }
    }
}

impl ClusterState {
    /// Returns whether no unreconciled machine can hold a task of the job.
    pub fn reconciled_for(&self, job: &Job) -> bool {
        let spec = &job.spec;
        let may_hold = |offering: &HostOffering| {
            offering.instance_type.is_none_or(|index| spec.allows_instance_type(&self.instance_types[index]))
                && spec.allows_zone(&offering.zone)
                && (spec.spot || !offering.spot)
        };
        let may_be_held = self.unknown_host_unreconciled || self.unreconciled_offerings.iter().any(may_hold);
        self.all_reconciled || job.unknown_to_earlier_leaders || !may_be_held
    }

    /// Returns which idle tasks of a job may be placed.
    ///
    /// Invariant: after a failover no task is placed that an unreconciled machine may hold or may still
    /// start. While the job allows such machines, only located tasks are placed. If zone constraints make
    /// the tasks depend on each other, none is placed until each one is located or done, as a delayed order
    /// may still start one of them.
    pub fn placeable_tasks(&self, job: &Job) -> PlaceableTasks {
        if self.reconciled_for(job) {
            return PlaceableTasks::All;
        }
        let has_zone_constraints = job.spec.spread || job.spec.one_zone;
        if has_zone_constraints && !job.tasks.all(|task| task.located_by_leader || task.place == Place::Done) {
            return PlaceableTasks::None;
        }
        PlaceableTasks::Located
    }

    /// Returns the idle tasks of the job that have an attempt on one of `hosts` which has not ended: an
    /// attempt that a delayed order started, or that was not wanted when it was first reported. If such a
    /// task were started elsewhere, it would run twice.
    pub fn tasks_with_stray_attempts(
        &self,
        job_index: JobIndex,
        hosts: impl Iterator<Item = HostIndex>,
    ) -> HashSet<u32> {
        let tasks = &self.jobs[job_index].tasks;
        let is_stray = |attempt: &&TaskAttempt| {
            let key = attempt.key;
            key.job == job_index && !attempt.ended() && tasks.get(key.task).place == Place::Idle
        };
        let attempts = hosts.filter_map(|host_index| self.host(host_index)).flat_map(|host| host.attempts.iter());
        attempts.filter(is_stray).map(|attempt| attempt.key.task).collect()
    }

    /// Returns the jobs with an attempt that has not ended, including attempts that are ordered and not yet
    /// reported.
    pub fn jobs_on_machines(&self) -> HashSet<JobIndex> {
        let attempts = self.each_host().flat_map(|(_, host)| host.attempts.iter());
        attempts.filter(|attempt| !attempt.ended()).map(|attempt| attempt.key.job).collect()
    }

    /// Returns whether no task of the job is on a machine and none can be started by an order that may
    /// still arrive. Only then is a job `cancelled`. `on_machines` is the result of `jobs_on_machines`.
    pub fn no_task_can_run(&self, job_index: JobIndex, on_machines: &HashSet<JobIndex>) -> bool {
        let job = &self.jobs[job_index];
        let reconciled = self.reconciled_for(job);
        !on_machines.contains(&job_index)
            && job.tasks.all(|task| match task.place {
                Place::OnHost(..) => false,
                Place::Idle => reconciled || task.located_by_leader,
                Place::Done => true,
            })
    }

    /// Returns an upper bound, by team, on the capacity that its tasks may take on unreconciled machines:
    /// the demand of its tasks that were not located, limited to the capacity of these machines.
    pub fn unlocated_demand(&self) -> HashMap<String, Demand> {
        let mut by_team: HashMap<String, Demand> = HashMap::new();
        if self.all_reconciled {
            return by_team;
        }
        let runnable = self.runnable_jobs.iter().map(|job_index| &self.jobs[*job_index]);
        for job in runnable.filter(|job| !self.reconciled_for(job)) {
            let unlocated = job.tasks.count(|task| task.place == Place::Idle && !task.located_by_leader);
            by_team.entry(job.spec.team.clone()).or_default().add(&job.spec.demand.times(f64::from(unlocated)));
        }
        let capacity = self.unreconciled;
        for demand in by_team.values_mut() {
            *demand = Demand {
                cpus: demand.cpus.min(capacity.cpus),
                gpus: demand.gpus.min(capacity.gpus),
                mem: demand.mem.min(capacity.mem),
            };
        }
        by_team
    }
}
