//! Scheduling cycles over the pending work, and what is logged of them.

use super::{Partition, critical_path};
use crate::model::{JobIndex, Urgency};
use crate::scheduling::{self, Assignment, CycleDecisions, Preemption};

impl Partition {
    /// One scheduling cycle; the machines with new orders are in `dispatch_queue`.
    pub fn schedule(&mut self, now: u64, wall: u64) {
        self.run_scheduling_cycle(Urgency::Low, now, wall);
    }

    /// A scheduling cycle for what is urgent alone, while the next one for all is not due.
    pub fn schedule_urgent(&mut self, now: u64, wall: u64) {
        self.run_scheduling_cycle(Urgency::High, now, wall);
    }

    fn run_scheduling_cycle(&mut self, least: Urgency, now: u64, wall: u64) {
        self.scheduling_triggers.begin_cycle(least);
        self.refresh_unreconciled();
        self.set_ready_times(wall);
        self.stop_attempts_of_done_tasks();
        self.bound_attempts(now);
        self.wall_ms = wall;
        self.reserve_warm_capacity();
        self.describe_borrowing(now, wall);
        let epoch = &mut self.epoch;
        let decisions = scheduling::schedule(&mut self.cluster, &self.policy, now, wall, least, || epoch.next_number());
        for start in &decisions.starts {
            self.record_start(start, wall);
        }
        for stop in &decisions.stops {
            self.record_preemption(stop);
        }
        self.apply_warm_decisions(&decisions, now);
        self.apply_loan_decisions(&decisions, now, wall);
        self.report_slot_transitions();
        tracing::debug!(
            least = ?least,
            hosts_examined = decisions.hosts_examined,
            starts = decisions.starts.len(),
            stops = decisions.stops.len(),
            pending_jobs = decisions.pending_jobs.len(),
            "scheduling cycle"
        );
        self.update_pending_jobs(least, decisions);
    }

    /// Sets aside capacity for work that is expected to arrive at these rates.
    pub fn reserve_for_flows(&mut self, flows: &[scheduling::ClassFlow]) {
        self.cluster.reserves = scheduling::reserves(&self.cluster, &self.policy, flows);
    }

    /// Replaces the machine types of which no more can be rented now.
    pub fn set_exhausted(&mut self, exhausted: Vec<usize>) {
        self.cluster.exhausted = exhausted;
    }

    /// Limits the attempts by the measured cost of following those on the machines.
    fn bound_attempts(&mut self, now: u64) {
        let attempts = self.cluster.each_host().map(|(_, host)| host.attempts.len()).sum();
        self.policy.max_attempts = self.heartbeat_load.most_attempts(&self.policy.attempt_bounds, attempts, now);
    }

    /// Measures and logs a start; its machine has an order to get.
    fn record_start(&mut self, start: &Assignment, wall: u64) {
        let job = &self.cluster.jobs[start.key.job];
        let waited_ms = wall.saturating_sub(job.ready_ms);
        self.metrics.observe("decision_ms", &job.spec.class, waited_ms);
        self.log_start(start, waited_ms);
        self.dispatch_queue.insert(start.host);
    }

    fn log_start(&self, start: &Assignment, waited_ms: u64) {
        let Some(host) = self.cluster.host(start.host) else { return };
        let spec = &self.cluster.jobs[start.key.job].spec;
        let fetch_s = host.instance_type.map_or(0.0, |index| {
            critical_path::fetch_s(spec.image_gb, self.cluster.instance_types[index].fetch_gb_per_s)
        });
        let cached = host.images.iter().any(|image| image.ready && image.name == spec.image);
        tracing::debug!(
            job = spec.id,
            class = spec.class,
            task = start.key.task,
            attempt = start.attempt,
            host = host.id,
            fencing_token = %self.epoch.fencing_token(),
            waited_ms,
            cached,
            fetch_s,
            spot = host.spot,
            "start"
        );
    }

    /// Counts and logs a preemption; its machine has an order to get.
    fn record_preemption(&mut self, stop: &Preemption) {
        let spec = &self.cluster.jobs[stop.key.job].spec;
        let by = &self.cluster.jobs[stop.by].spec;
        tracing::debug!(
            job = spec.id,
            class = spec.class,
            task = stop.key.task,
            attempt = stop.attempt,
            by = by.id,
            by_class = by.class,
            "preempted"
        );
        self.metrics.count("tasks_preempted", &spec.class);
        // What is lent is stopped once that is recorded.
        self.dispatch_queue.insert(stop.host);
    }

    /// Keeps which work found no capacity. What is less urgent than `least` was not tried.
    fn update_pending_jobs(&mut self, least: Urgency, decisions: CycleDecisions) {
        self.scheduling_triggers.end_cycle(&self.cluster.jobs, least, decisions.pending_jobs, decisions.hosts_examined);
        if !self.scheduling_triggers.pending_jobs().is_empty() {
            self.cancel_drain();
        }
    }

    /// Do all teams keep to their limits, whatever machines that are not reconciled may hold?
    pub fn teams_within_limits(&self, now: u64) -> bool {
        let mut used = scheduling::Index::new(&self.cluster, now).usage;
        for (team, unseen) in self.cluster.unlocated_demand() {
            used.entry(team).or_default().add(&unseen);
        }
        let none = scheduling::TeamRule::default();
        used.iter().all(|(team, used)| used.fits(&self.policy.teams.get(team).unwrap_or(&none).limit))
    }

    /// The lowest deadline bin of the pending jobs.
    pub fn lowest_bin(&self, wall: u64) -> Option<u64> {
        let bin = |job_index: &JobIndex| {
            self.policy.bin(self.policy.effective_deadline_ms(&self.cluster.jobs[*job_index], wall))
        };
        self.scheduling_triggers.pending_jobs().iter().map(bin).min()
    }
}
