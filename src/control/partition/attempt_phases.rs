//! Applies attempts and their phases, as reported in heartbeats, to the state of the partition.

use super::Partition;
use crate::model::{ClusterState, HostIndex, Place, Shape, TaskAttempt, TaskKey, TaskPhase};

impl Partition {
    /// Adds an attempt that the worker reports and this leader did not start. An earlier leader started
    /// it, or an order was carried out late.
    pub(super) fn add_reported_attempt(
        &mut self,
        host_index: HostIndex,
        key: TaskKey,
        attempt: u64,
        phase: TaskPhase,
        now: u64,
    ) {
        let job = &mut self.cluster.jobs[key.job];
        let idle = job.tasks.get(key.task).place == Place::Idle;
        let ended = matches!(phase, TaskPhase::Ended(_));
        // Attempts first reported after the user requested the job's cancellation must be stopped as
        // well.
        let mut should_run = job.active() && !ended && idle;
        if should_run && job.spec.shape == Shape::Gang {
            if attempt > job.gang_attempt {
                job.gang_attempt = attempt;
            }
            should_run = attempt == job.gang_attempt;
        }
        if should_run {
            job.tasks.update(key.task, |task| task.place = Place::OnHost(host_index, attempt));
        }
        let spec = &self.cluster.jobs[key.job].spec;
        let (image, image_gb, demand) = (spec.image.clone(), spec.image_gb, spec.demand);
        let cache_gb = self
            .cluster
            .host(host_index)
            .and_then(|host| host.instance_type)
            .map_or(0.0, |index| self.cluster.instance_types[index].cache_gb);
        if let Some(host) = self.cluster.host_mut(host_index) {
            host.use_image(&image, image_gb, cache_gb, now);
            let stop = (!should_run && !ended).then_some(0.0);
            host.attempts.push(TaskAttempt { stop, ..TaskAttempt::sent(key, attempt, demand, now) });
        }
    }

    /// Applies the reported `phase` to an attempt that was in phase `before`.
    pub(super) fn apply_phase(
        &mut self,
        host_index: HostIndex,
        key: TaskKey,
        attempt: u64,
        before: TaskPhase,
        phase: TaskPhase,
        now: u64,
    ) {
        let ClusterState { jobs, hosts, .. } = &mut self.cluster;
        let Some(host) = hosts[host_index].as_mut() else { return };
        let Some(known) = host.attempt_mut(key, attempt) else { return };
        known.phase = phase;
        let job = &mut jobs[key.job];
        if phase == TaskPhase::Saving && known.stop.is_none() && self.borrowing.is_some() {
            // An earlier leader has ordered this stop, and its team's usage is reduced accordingly.
            known.stop = Some(job.spec.grace_s().max(f64::MIN_POSITIVE));
        }
        if !known.ended() {
            job.tasks.update(key.task, |task| task.located_by_leader = true);
        }
        let after_order_ms = now.saturating_sub(known.since_ms);
        match phase {
            TaskPhase::Gathering | TaskPhase::Running => {
                host.image_ready(&job.spec.image);
                if before != phase && phase == TaskPhase::Running {
                    self.record_running(key, attempt, after_order_ms);
                }
            }
            TaskPhase::Ended(reason) if before != phase => self.attempt_ended(host_index, key, attempt, reason, now),
            _ => {}
        }
    }

    /// Logs that an attempt runs and records the delay since its start order in the metrics.
    fn record_running(&mut self, key: TaskKey, attempt: u64, after_order_ms: u64) {
        let spec = &self.cluster.jobs[key.job].spec;
        tracing::debug!(job = spec.id, class = spec.class, task = key.task, attempt, after_order_ms, "running");
        self.metrics.observe("start_after_order_ms", &spec.class, after_order_ms);
    }
}
