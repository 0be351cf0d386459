//! Current use and runnable demand of each team's jobs, as the calculation of floors needs them.

use crate::model::{ClusterState, HostOffering, Job, JobIndex, Place, PlacedTask, Shape};
use crate::scheduling::{self, TeamRule};
use badgerdrift_borrowing::{Amounts, BorrowingSettings, JobDemand, Priority, TeamShare};
use std::collections::{BTreeMap, HashMap};

/// Numbers of a job's attempts that have not ended.
#[derive(Debug, Clone, Copy, Default)]
struct JobAttempts {
    /// Number of attempts that are not being stopped.
    running: u32,
    /// Number of attempts that are being stopped. Their tasks start again once the attempts have ended.
    stopping: u32,
}

/// Use and demand of each team.
#[derive(Debug, Clone, Default)]
pub(super) struct TeamDemands {
    /// Guarantee, use and runnable demand by team.
    pub(super) shares: BTreeMap<String, TeamShare>,
    /// Amounts that each borrowing team could use beyond its guarantee, counting only jobs whose priority
    /// allows borrowing.
    pub(super) needs: BTreeMap<String, Amounts>,
}

impl TeamDemands {
    /// Computes use and demand from the jobs and attempts of all teams.
    pub(super) fn count(
        cluster: &ClusterState,
        rules: &HashMap<String, TeamRule>,
        settings: &BorrowingSettings,
        now: u64,
    ) -> TeamDemands {
        let mut demands = TeamDemands::default();
        for (team, rule) in rules {
            let share = TeamShare { guarantee: Amounts::from(rule.guarantee), ..TeamShare::default() };
            demands.shares.insert(team.clone(), share);
        }
        let attempts = attempts_by_job(cluster);
        let offerings = usable_offerings(cluster, now);
        for (job_index, attempts) in &attempts {
            let spec = &cluster.jobs[*job_index].spec;
            let share = demands.shares.entry(spec.team.clone()).or_default();
            share.in_use = share.in_use.sum_with(Amounts::from(spec.demand).times(f64::from(attempts.running)));
        }
        for job_index in &cluster.runnable_jobs {
            let job = &cluster.jobs[*job_index];
            let attempts = attempts.get(job_index).copied().unwrap_or_default();
            let amounts = job_demand(cluster, job, attempts, &offerings, now).amounts();
            demands.add_runnable(job, amounts, settings);
        }
        for (team, need) in &mut demands.needs {
            let guarantee = demands.shares.get(team).map(|share| share.guarantee).unwrap_or_default();
            *need = need.saturating_sub(guarantee);
        }
        demands
    }

    /// Adds a job's amounts to its team's runnable demand and, if its priority allows borrowing, to the
    /// team's need.
    fn add_runnable(&mut self, job: &Job, amounts: Amounts, settings: &BorrowingSettings) {
        let team = &job.spec.team;
        let share = self.shares.entry(team.clone()).or_default();
        share.runnable = share.runnable.sum_with(amounts);
        if settings.borrowers.get(team).is_some_and(|borrower| Priority::from(job.urgency) >= borrower.from) {
            let need = self.needs.entry(team.clone()).or_default();
            *need = need.sum_with(amounts);
        }
    }
}

/// Returns the number of a job's tasks that are neither running nor done. Tasks that are being stopped are
/// included.
pub(super) fn missing_tasks(cluster: &ClusterState, job_index: JobIndex) -> u32 {
    let job = &cluster.jobs[job_index];
    let is_running =
        |task: &PlacedTask| task.attempt_in(cluster, job_index).is_some_and(|attempt| attempt.stop.is_none());
    let running = job.tasks.on_hosts().filter(is_running).count() as u32;
    job.tasks.count(|task| task.place != Place::Done) - running
}

/// Returns the numbers of attempts of each job that has any.
fn attempts_by_job(cluster: &ClusterState) -> HashMap<JobIndex, JobAttempts> {
    let mut by_job: HashMap<JobIndex, JobAttempts> = HashMap::new();
    for (_, host) in cluster.each_host() {
        for attempt in host.attempts.iter().filter(|attempt| !attempt.ended()) {
            let counts = by_job.entry(attempt.key.job).or_default();
            if attempt.stop.is_some() {
                counts.stopping += 1;
            } else {
                counts.running += 1;
            }
        }
    }
    by_job
}

/// Returns the offerings of the usable machines, without duplicates.
fn usable_offerings(cluster: &ClusterState, now: u64) -> Vec<HostOffering> {
    let mut offerings = Vec::new();
    for (_, host) in cluster.each_host().filter(|(_, host)| scheduling::is_usable(host, now)) {
        let offering = HostOffering { instance_type: host.instance_type, zone: host.zone.clone(), spot: host.spot };
        if !offerings.contains(&offering) {
            offerings.push(offering);
        }
    }
    offerings
}

/// Returns the demand that a job could use now.
fn job_demand(
    cluster: &ClusterState,
    job: &Job,
    attempts: JobAttempts,
    offerings: &[HostOffering],
    now: u64,
) -> JobDemand {
    let spec = &job.spec;
    let fits = |offering: &HostOffering| {
        offering
            .instance_type
            .is_some_and(|instance_type| spec.allows_instance_type(&cluster.instance_types[instance_type]))
            && spec.allows_zone(&offering.zone)
            && (spec.spot || !offering.spot)
    };
    let may_start = job.active() && offerings.iter().any(fits);
    let placeable = cluster.placeable_tasks(job);
    let idle = || job.tasks.count(|task| task.retry_after_ms <= now && placeable.includes(task));
    let waiting = if may_start { idle() + attempts.stopping } else { 0 };
    JobDemand {
        per_task: Amounts::from(spec.demand),
        running: attempts.running,
        // The task of an attempt that is being stopped may already be placed on another machine.
        waiting: waiting.min(spec.tasks.saturating_sub(attempts.running)),
        gang_size: (spec.shape == Shape::Gang).then_some(spec.tasks),
    }
}
