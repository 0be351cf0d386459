//! Scheduling cycles over the pending work, and their log output.

use super::{Partition, critical_path};
use crate::model::{JobIndex, Urgency};
use crate::scheduling::{self, Assignment, CycleDecisions, Preemption};

impl Partition {
    /// Runs a scheduling cycle. Hosts with new orders are added to `dispatch_queue`.
    pub fn schedule(&mut self, now: u64, wall: u64) {
        self.run_scheduling_cycle(Urgency::Low, now, wall);
    }

    /// Runs a scheduling cycle for urgent work only, between cycles for all work.
    pub fn schedule_urgent(&mut self, now: u64, wall: u64) {
        self.run_scheduling_cycle(Urgency::High, now, wall);
    }

    /// Runs a scheduling cycle for work of at least this urgency.
    fn run_scheduling_cycle(&mut self, min_urgency: Urgency, now: u64, wall: u64) {
        self.scheduling_triggers.begin_cycle(min_urgency);
        self.recount_unreconciled();
        self.set_ready_times(wall);
        self.stop_attempts_of_done_tasks();
        self.limit_attempts(now);
        self.wall_ms = wall;
        self.reserve_warm_capacity();
        self.update_borrowing_state(now, wall);
        let epoch = &mut self.epoch;
        let decisions =
            scheduling::schedule(&mut self.cluster, &self.policy, now, wall, min_urgency, || epoch.next_number());
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
            least = ?min_urgency,
            hosts_examined = decisions.hosts_examined,
            preemption_plans = decisions.preemption_plans,
            interrupted = decisions.interrupted,
            starts = decisions.starts.len(),
            stops = decisions.stops.len(),
            pending_jobs = decisions.pending_jobs.len(),
            "scheduling cycle"
        );
        if decisions.interrupted {
            self.metrics.count("cycles_interrupted", "preemption_plans");
            self.scheduling_triggers.request_cycle();
        }
        self.update_pending_jobs(min_urgency, decisions);
    }

    /// Reserves capacity for work that is expected to arrive at these rates.
    pub fn reserve_expected_demand(&mut self, arrivals: &[scheduling::ClassArrivals]) {
        self.cluster.expected_demands = scheduling::expected_demands(&self.cluster, &self.policy, arrivals);
    }

    /// Replaces the list of instance types that cannot be rented at present.
    pub fn set_exhausted_instance_types(&mut self, exhausted: Vec<usize>) {
        self.cluster.exhausted_instance_types = exhausted;
    }

    /// Limits the number of attempts by the measured cost of tracking the current ones.
    fn limit_attempts(&mut self, now: u64) {
        let attempts = self.cluster.each_host().map(|(_, host)| host.attempts.len()).sum();
        self.policy.max_attempts = self.heartbeat_load.max_attempts(&self.policy.attempt_bounds, attempts, now);
    }

    /// Records a start in metrics and log, and queues its host for dispatch.
    fn record_start(&mut self, start: &Assignment, wall: u64) {
        let job = &self.cluster.jobs[start.key.job];
        let waited_ms = wall.saturating_sub(job.ready_ms);
        self.metrics.observe("decision_ms", &job.spec.class, waited_ms);
        self.log_start(start, waited_ms);
        self.dispatch_queue.insert(start.host);
    }

    /// Logs a start with its waiting time and the expected time to fetch the image.
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

    /// Records a preemption in metrics and log, and queues its host for dispatch.
    fn record_preemption(&mut self, stop: &Preemption) {
        let spec = &self.cluster.jobs[stop.key.job].spec;
        let preemptor = &self.cluster.jobs[stop.preempting_job].spec;
        tracing::debug!(
            job = spec.id,
            class = spec.class,
            task = stop.key.task,
            attempt = stop.attempt,
            by = preemptor.id,
            by_class = preemptor.class,
            "preempted"
        );
        self.metrics.count("tasks_preempted", &spec.class);
        // For lent capacity, the stop order is sent once the loan is recorded.
        self.dispatch_queue.insert(stop.host);
    }

    /// Stores the jobs that found no capacity. Jobs below `min_urgency` were not considered.
    fn update_pending_jobs(&mut self, min_urgency: Urgency, decisions: CycleDecisions) {
        self.scheduling_triggers.end_cycle(
            &self.cluster.jobs,
            min_urgency,
            decisions.pending_jobs,
            decisions.hosts_examined,
        );
        if !self.scheduling_triggers.pending_jobs().is_empty() {
            self.cancel_drain();
        }
    }

    /// Returns whether all teams are within their limits, including everything that unreconciled hosts
    /// may hold.
    pub fn teams_within_limits(&self, now: u64) -> bool {
        let mut used = scheduling::CapacityIndex::new(&self.cluster, now).usage;
        for (team, unlocated) in self.cluster.unlocated_demand() {
            used.entry(team).or_default().add(&unlocated);
        }
        let unlimited = scheduling::TeamRule::default();
        used.iter().all(|(team, used)| used.fits(&self.policy.teams.get(team).unwrap_or(&unlimited).limit))
    }

    /// Returns the lowest deadline bin among the pending jobs; `None` if no jobs are pending.
    pub fn lowest_deadline_bin(&self, wall: u64) -> Option<u64> {
        let deadline_bin = |job_index: &JobIndex| {
            self.policy.deadline_bin(self.policy.effective_deadline_ms(&self.cluster.jobs[*job_index], wall))
        };
        self.scheduling_triggers.pending_jobs().iter().map(deadline_bin).min()
    }
}
