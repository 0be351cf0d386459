//! Where tasks may be: the one place that decides it, for placement, for limits and
//! for what users are told.
//!
//! A task may be on a machine that has an attempt of it which has not ended, and on any
//! machine of the last leader that is not reconciled and that its job allows, unless
//! it was located: then it was on a machine that is.

use crate::model::{ClusterState, Demand, HostIndex, InstanceKind, Job, JobIndex, Place, Task, TaskAttempt};
use std::collections::{HashMap, HashSet};

/// Which idle tasks of a job may be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placeable {
    /// Every idle task.
    All,
    /// Only tasks that were located.
    Located,
    /// No task.
    None,
}

impl Placeable {
    /// Is this task idle, and may it be placed?
    pub fn open(self, t: &Task) -> bool {
        t.place == Place::Idle
            && match self {
                Placeable::All => true,
                Placeable::Located => t.located,
                Placeable::None => false,
            }
    }
}

impl ClusterState {
    /// Can none of the job's tasks be on a machine that is not reconciled?
    pub fn clear(&self, job: &Job) -> bool {
        let spec = &job.spec;
        let may_hold = |kind: &InstanceKind| {
            kind.instance_type.is_none_or(|f| spec.allows_instance_type(&self.instance_types[f]))
                && spec.allows_zone(&kind.zone)
                && (spec.spot || !kind.spot)
        };
        self.all_reconciled || job.fresh || !self.unreconciled_kinds.iter().any(may_hold)
    }

    /// Which of a job's idle tasks may be placed as far as machines that are not
    /// reconciled go: all, those that were located, or none. Where zones bind the
    /// tasks to one another, the places of all must be known: an order that was held
    /// back may still start one.
    pub fn placeable(&self, job: &Job) -> Placeable {
        if self.clear(job) {
            return Placeable::All;
        }
        let bound = job.spec.spread || job.spec.one_zone;
        if bound && !job.tasks.iter().all(|t| t.located || t.place == Place::Done) {
            return Placeable::None;
        }
        Placeable::Located
    }

    /// Tasks of the job that are placed nowhere and have an attempt on one of `hosts` all
    /// the same, which has not ended: one that a late order started, or that was not
    /// wanted when it was first seen. Started elsewhere, the task would run twice.
    pub fn lingering(&self, job_index: JobIndex, hosts: impl Iterator<Item = HostIndex>) -> HashSet<u32> {
        let idle = |c: &&TaskAttempt| {
            c.key.job == job_index && !c.ended() && self.jobs[job_index].tasks[c.key.task as usize].place == Place::Idle
        };
        let attempts = hosts.filter_map(|h| self.host(h)).flat_map(|h| h.attempts.iter());
        attempts.filter(idle).map(|c| c.key.task).collect()
    }

    /// Jobs with an attempt on a machine, or on its way there, that has not ended.
    pub fn jobs_on_machines(&self) -> HashSet<JobIndex> {
        self.each_host().flat_map(|(_, h)| h.attempts.iter()).filter(|c| !c.ended()).map(|c| c.key.job).collect()
    }

    /// Is no task of the job on any machine, nor can one be started by an order that
    /// is still on its way? `on_machines` is as `jobs_on_machines` told.
    pub fn gone(&self, job_index: JobIndex, on_machines: &HashSet<JobIndex>) -> bool {
        let job = &self.jobs[job_index];
        let clear = self.clear(job);
        !on_machines.contains(&job_index)
            && job.tasks.iter().all(|t| match t.place {
                Place::On(..) => false,
                Place::Idle => clear || t.located,
                Place::Done => true,
            })
    }

    /// What machines that are not reconciled may hold of each team's tasks: no more
    /// than the tasks that were not seen, and no more than fits there.
    pub fn unlocated_demand(&self) -> HashMap<String, Demand> {
        let mut sums: HashMap<String, Demand> = HashMap::new();
        if self.all_reconciled {
            return sums;
        }
        for job in self.live.iter().map(|job_index| &self.jobs[*job_index]).filter(|j| !self.clear(j)) {
            let n = job.tasks.iter().filter(|t| t.place == Place::Idle && !t.located).count();
            sums.entry(job.spec.team.clone()).or_default().add(&job.spec.demand.times(n as f64));
        }
        let most = self.unreconciled;
        for d in sums.values_mut() {
            *d = Demand { cpus: d.cpus.min(most.cpus), gpus: d.gpus.min(most.gpus), mem: d.mem.min(most.mem) };
        }
        sums
    }
}
