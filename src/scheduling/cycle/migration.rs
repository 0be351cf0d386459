//! Migration of replicas: a running replica that occupies needed capacity moves to a machine that has its
//! image.

use super::SchedulingCycle;
use super::candidates::Candidate;
use super::planned_stops::PlannedStops;
use crate::model::{Host, HostIndex, Shape, TaskAttempt};

impl SchedulingCycle<'_> {
    /// Returns a machine that has the image and free capacity for a running replica, given the `planned`
    /// stops, or `None` if there is none. There the replica is unavailable only briefly.
    pub(super) fn migration_target(
        &self,
        from: HostIndex,
        attempt: &TaskAttempt,
        planned: &PlannedStops,
    ) -> Option<HostIndex> {
        let job_index = attempt.key.job;
        let spec = &self.cluster.jobs[job_index].spec;
        if spec.shape != Shape::Service || !attempt.running() || attempt.stop.is_some() || !self.is_settled(attempt) {
            return None;
        }
        let has_capacity = |host_index: HostIndex| {
            let host = &self.index.hosts[host_index];
            let mut free = host.free;
            free.sub(&host.reserved);
            host.usable && host_index != from && spec.demand.fits(&planned.free_after_earmarks(free, host_index))
        };
        let hosts_with_image = self.index.hosts_with_image(self.cluster, &spec.image);
        let mut targets = hosts_with_image.iter().copied().filter(|host_index| has_capacity(*host_index)).peekable();
        targets.peek()?;
        let request = self.request(job_index);
        let mut counts = self.index.tasks_by_zone(job_index);
        counts.sub(self.index.hosts[from].zone);
        let mut best: Option<Candidate> = None;
        for host_index in targets {
            // The image may have been evicted from the cache since the index was built.
            let ready = |host: &Host| host.images.iter().any(|image| image.ready && image.name == spec.image);
            if !request.requirements.accepts(&self.index.hosts[host_index], &counts)
                || !self.cluster.host(host_index).is_some_and(ready)
            {
                continue;
            }
            let cost = self.cost(&request, host_index);
            if best.is_none_or(|best| cost < best.cost) {
                best = Some(Candidate { cost, host: host_index });
            }
        }
        best.map(|best| best.host)
    }
}
