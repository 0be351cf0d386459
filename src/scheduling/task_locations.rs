//! Where tasks may be running: the one place that decides it, for placement, for limits and for
//! what is answered to users.
//!
//! A task may run on a machine that has an attempt of it which has not ended, and on any machine
//! of the last leader that is unreconciled and that its job allows, unless the task was located:
//! then it was on a machine that is reconciled.

use crate::model::{ClusterState, Demand, HostIndex, InstanceKind, Job, JobIndex, Place, Task, TaskAttempt};
use std::collections::{HashMap, HashSet};

/// Which idle tasks of a job may be placed.
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
    /// Is this task idle, and may it be placed?
    pub fn includes(self, task: &Task) -> bool {
        task.place == Place::Idle
            && match self {
                PlaceableTasks::All => true,
                PlaceableTasks::Located => task.located,
                PlaceableTasks::None => false,
            }
    }
}

impl ClusterState {
    /// Can no unreconciled machine hold a task of the job?
    pub fn reconciled_for(&self, job: &Job) -> bool {
        let spec = &job.spec;
        let may_hold = |kind: &InstanceKind| {
            kind.instance_type.is_none_or(|index| spec.allows_instance_type(&self.instance_types[index]))
                && spec.allows_zone(&kind.zone)
                && (spec.spot || !kind.spot)
        };
        self.all_reconciled || job.fresh || !self.unreconciled_kinds.iter().any(may_hold)
    }

    /// Which of a job's idle tasks may be placed.
    ///
    /// Invariant: after a failover no task is placed that an unreconciled machine may hold or may yet
    /// start. So as long as there are such machines for the job, only located tasks are placed. Where
    /// zones bind the tasks to one another, the places of all must be known: an order that was delayed
    /// may still start one.
    pub fn placeable_tasks(&self, job: &Job) -> PlaceableTasks {
        if self.reconciled_for(job) {
            return PlaceableTasks::All;
        }
        let bound_by_zones = job.spec.spread || job.spec.one_zone;
        if bound_by_zones && !job.tasks.iter().all(|task| task.located || task.place == Place::Done) {
            return PlaceableTasks::None;
        }
        PlaceableTasks::Located
    }

    /// Tasks of the job that are placed nowhere and have an attempt on one of `hosts` all the same,
    /// which has not ended: one that a late order started, or that was not wanted when it was first
    /// seen. Started elsewhere, the task would run twice.
    pub fn tasks_with_stray_attempts(
        &self,
        job_index: JobIndex,
        hosts: impl Iterator<Item = HostIndex>,
    ) -> HashSet<u32> {
        let tasks = &self.jobs[job_index].tasks;
        let stray = |attempt: &&TaskAttempt| {
            let key = attempt.key;
            key.job == job_index && !attempt.ended() && tasks[key.task as usize].place == Place::Idle
        };
        let attempts = hosts.filter_map(|host_index| self.host(host_index)).flat_map(|host| host.attempts.iter());
        attempts.filter(stray).map(|attempt| attempt.key.task).collect()
    }

    /// Jobs with an attempt on a machine, or ordered there, that has not ended.
    pub fn jobs_on_machines(&self) -> HashSet<JobIndex> {
        let attempts = self.each_host().flat_map(|(_, host)| host.attempts.iter());
        attempts.filter(|attempt| !attempt.ended()).map(|attempt| attempt.key.job).collect()
    }

    /// Is no task of the job on any machine, and can none be started by an order that may still
    /// arrive? Only then is a job `cancelled`. `on_machines` is what `jobs_on_machines` returned.
    pub fn no_task_can_run(&self, job_index: JobIndex, on_machines: &HashSet<JobIndex>) -> bool {
        let job = &self.jobs[job_index];
        let reconciled = self.reconciled_for(job);
        !on_machines.contains(&job_index)
            && job.tasks.iter().all(|task| match task.place {
                Place::On(..) => false,
                Place::Idle => reconciled || task.located,
                Place::Done => true,
            })
    }

    /// By team, what unreconciled machines may hold of its tasks: no more than the tasks that were not
    /// located, and no more than fits on these machines.
    pub fn unlocated_demand(&self) -> HashMap<String, Demand> {
        let mut by_team: HashMap<String, Demand> = HashMap::new();
        if self.all_reconciled {
            return by_team;
        }
        let live = self.live.iter().map(|job_index| &self.jobs[*job_index]);
        for job in live.filter(|job| !self.reconciled_for(job)) {
            let unlocated = job.tasks.iter().filter(|task| task.place == Place::Idle && !task.located).count();
            by_team.entry(job.spec.team.clone()).or_default().add(&job.spec.demand.times(unlocated as f64));
        }
        let most = self.unreconciled;
        for demand in by_team.values_mut() {
            *demand = Demand {
                cpus: demand.cpus.min(most.cpus),
                gpus: demand.gpus.min(most.gpus),
                mem: demand.mem.min(most.mem),
            };
        }
        by_team
    }
}
