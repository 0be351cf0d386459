//! Placement of gangs, whose tasks all start together or not at all.

use super::SchedulingCycle;
use super::candidates::Candidate;
use super::request::PlacementRequest;
use crate::model::{HostIndex, TaskKey};
use crate::scheduling::task_requirements::ZoneCounts;

impl SchedulingCycle<'_> {
    /// Starts all tasks of a gang or none. Returns `false` if there was not enough capacity.
    pub(super) fn place_gang(&mut self, request: &PlacementRequest, next_attempt: &mut impl FnMut() -> u64) -> bool {
        let job_index = request.job_index;
        let job = &self.cluster.jobs[job_index];
        // The next attempt waits until every task of the previous one has ended.
        let placeable = self.cluster.placeable_tasks(job);
        let must_wait = job.tasks.any(|task| task.retry_after_ms > self.now || !placeable.includes(task));
        if must_wait || self.index.hosts_of(job_index).next().is_some() {
            return true;
        }
        if !self.within_limit(&job.spec, f64::from(job.spec.tasks)) {
            return true;
        }
        let zones = self.zones_to_try(request);
        let candidates = self.candidates(request);
        for zone in zones {
            if let Some(hosts) = self.gang_hosts(request, &candidates, zone) {
                self.start_gang(request, hosts, next_attempt());
                return true;
            }
        }
        false
    }

    /// Returns the zones to try one after the other for the whole gang; a single `None` stands for all
    /// zones together.
    pub(super) fn zones_to_try(&self, request: &PlacementRequest) -> Vec<Option<usize>> {
        let one_zone = self.cluster.jobs[request.job_index].spec.one_zone;
        if one_zone { self.index.zones().map(Some).collect() } else { vec![None] }
    }

    /// Returns whether the candidate is in the zone; `None` stands for any zone.
    pub(super) fn is_in_zone(&self, candidate: &Candidate, zone: Option<usize>) -> bool {
        zone.is_none_or(|zone| zone == self.index.hosts[candidate.host].zone)
    }

    /// Selects a machine for each task of a gang, within `zone` if one is given. Returns `None` unless all
    /// tasks fit.
    fn gang_hosts(
        &mut self,
        request: &PlacementRequest,
        candidates: &[Candidate],
        zone: Option<usize>,
    ) -> Option<Vec<HostIndex>> {
        let tasks = self.cluster.jobs[request.job_index].spec.tasks as usize;
        let saved_hosts = self.index.hosts.clone();
        let in_zone = |candidate: &Candidate| self.is_in_zone(candidate, zone);
        let mut candidates: Vec<_> = candidates.iter().copied().filter(in_zone).collect();
        let mut counts = ZoneCounts::default();
        let mut hosts = Vec::new();
        while hosts.len() < tasks {
            let Some(host) = self.best_candidate(request, &candidates, &counts) else { break };
            self.index.hosts[host].free.sub(&request.requirements.demand);
            counts.add(self.index.hosts[host].zone);
            self.refresh_candidate(request, &mut candidates, host);
            hosts.push(host);
        }
        self.index.hosts = saved_hosts;
        (hosts.len() == tasks).then_some(hosts)
    }

    fn start_gang(&mut self, request: &PlacementRequest, hosts: Vec<HostIndex>, attempt: u64) {
        self.cluster.jobs[request.job_index].gang_attempt = attempt;
        for (task, host) in (0u32..).zip(hosts) {
            self.start(TaskKey { job: request.job_index, task }, host, attempt);
        }
        self.release_reservations(request.job_index);
    }
}
