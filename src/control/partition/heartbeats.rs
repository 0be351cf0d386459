//! What reports mean, and which orders follow.

use super::{Partition, StatusSource};
use crate::model::{ClusterState, ExitReason, Host, HostIndex, Shape, TaskKey, TaskPhase, UnsavedChange};
use crate::wire::{Heartbeat, Order, TaskStatus};

/// Most orders in one reply, so that a line stays under 64 KiB.
pub(super) const REPLY_ORDERS: usize = 400;

/// What a report says that is new.
struct StatusChange {
    /// It was made under a token of this leader.
    current: bool,
    /// Seconds left until the machine is taken back, if that was not known.
    notice_s: Option<f64>,
}

impl Partition {
    /// Takes a report and returns the orders of its reply.
    pub fn heartbeat(&mut self, r: &Heartbeat, source: StatusSource, now: u64) -> Vec<Order> {
        if self.host_directory.is_terminated(&r.host) {
            return Vec::new();
        }
        let host_index = self.host_of_heartbeat(r, now);
        let Some(h) = self.cluster.host_mut(host_index) else { return Vec::new() };
        if source == StatusSource::Heartbeat {
            h.lease_renewed_ms = now;
        }
        self.heartbeat_load.record(r.tasks.len());
        // Late copies of older reports change nothing.
        if (r.agent_epoch, r.sequence) <= (h.agent_epoch, h.sequence) {
            return Vec::new();
        }
        self.session_seen(host_index, r, now);
        let Some(news) = self.state_seen(host_index, r, source, now) else { return Vec::new() };
        if !news.current {
            self.show_token(host_index, source, now);
            return Vec::new();
        }
        self.mark_reconciled(host_index, r);
        let mut orders = Vec::new();
        orders.extend(self.unknown_slots(r));
        self.apply_task_statuses(host_index, r, &mut orders, now);
        self.missing_tasks(host_index, r, source);
        self.slots_reported(host_index, r, now);
        self.end_claims(now);
        if let Some(left_s) = news.notice_s {
            self.stop_doomed_tasks(host_index, left_s, now);
        }
        if source == StatusSource::Heartbeat {
            orders.extend(self.slot_orders(host_index));
            self.pending_orders(host_index, &mut orders);
        }
        if let Some(h) = self.cluster.host_mut(host_index).filter(|h| !h.attempts.is_empty()) {
            h.idle_since_ms = now;
        }
        orders
    }

    /// The worker has not seen this leader's token yet. A machine of the last leader learns it from
    /// the answer to its report, and reports again for that: a direct command to each of them
    /// would double the work of a failover. A new machine is told directly, to be of use at once,
    /// and so is one to which the answer made no difference.
    fn show_token(&mut self, host_index: HostIndex, source: StatusSource, now: u64) {
        let Some(h) = self.cluster.host_mut(host_index) else { return };
        if source == StatusSource::Heartbeat && h.registered && h.token_shown_ms == 0 {
            h.token_shown_ms = now;
        } else {
            self.dispatch_queue.insert(host_index);
        }
    }

    /// The machine that reports, added if it is new.
    fn host_of_heartbeat(&mut self, r: &Heartbeat, now: u64) -> HostIndex {
        if let Some(&host_index) = self.cluster.host_index.get(&r.host) {
            return host_index;
        }
        let instance_type = self.cluster.instance_type(&r.instance_type);
        let mut h = Host::new(r.host.clone(), r.zone.clone(), r.spot, instance_type, now);
        h.required_token = self.epoch.first_token();
        // Rented for another partition: it is given away once it is registered.
        h.transferring_to =
            self.host_directory.take_pending_transfer(&r.host).filter(|to| *to != self.teams.partition());
        self.cluster.add_host(h)
    }

    /// A session that is new to us: a lease that was before it has ended.
    fn session_seen(&mut self, host_index: HostIndex, r: &Heartbeat, now: u64) {
        let Some(h) = self.cluster.host_mut(host_index).filter(|h| r.agent_epoch > h.agent_epoch) else { return };
        // A session's lease counts from its beginning, whenever we answered.
        h.lease_renewed_ms = h.lease_renewed_ms.max(now);
        if h.agent_epoch > 0 {
            tracing::info!(host = h.id, agent_epoch = r.agent_epoch, "machine lost its lease");
            self.remove_all_attempts(host_index);
        }
    }

    /// Takes what the report says of the machine itself.
    fn state_seen(
        &mut self,
        host_index: HostIndex,
        r: &Heartbeat,
        source: StatusSource,
        now: u64,
    ) -> Option<StatusChange> {
        let instance_type = self.cluster.instance_type(&r.instance_type);
        let h = self.cluster.host_mut(host_index)?;
        // A late copy of a report from before this leader's time may be the first that
        // it sees of a machine, which may be gone, and its tasks elsewhere.
        let current = r.seen_token >= h.required_token;
        h.agent_epoch = r.agent_epoch;
        h.sequence = r.sequence;
        h.seen_token = h.seen_token.max(r.seen_token);
        h.addr = Some(r.addr);
        h.loads_models = r.slots.is_some();
        h.instance_type = instance_type;
        h.last_heartbeat_ms = now;
        if source == StatusSource::DirectCommandReply {
            h.unanswered_probes = 0;
        }
        let notice_s = r.warning_s.filter(|_| !h.preemption_notice);
        if notice_s.is_some() {
            h.preemption_notice = true;
            tracing::info!(host = h.id, "machine will be taken back");
        }
        // A worker that has seen a higher token refuses older direct commands.
        for c in &mut h.attempts {
            if c.risk.is_some_and(|t| r.seen_token > t) {
                c.risk = None;
            }
        }
        Some(StatusChange { current, notice_s })
    }

    /// The machine has reported under a token of this leader.
    fn mark_reconciled(&mut self, host_index: HostIndex, r: &Heartbeat) {
        let Some(h) = self.cluster.host_mut(host_index) else { return };
        if !h.confirmed() {
            // Not in the registry: no leader before us placed anything on it.
            tracing::info!(
                host = r.host,
                instance_type = r.instance_type,
                zone = r.zone,
                spot = r.spot,
                "machine is up"
            );
            self.commit_queue.mark_host(host_index);
        }
        if !h.reconciled {
            h.reconciled = true;
            if h.registered {
                self.reconciliation.note_reconciled();
            }
        }
    }

    /// Stops the array tasks that would hardly end before the machine is taken:
    /// they begin anew elsewhere now, and not when its loss is certain.
    pub(super) fn stop_doomed_tasks(&mut self, host_index: HostIndex, left_s: f64, now: u64) {
        let ClusterState { jobs, hosts, .. } = &mut self.cluster;
        let Some(h) = hosts[host_index].as_mut() else { return };
        for c in h.attempts.iter_mut().filter(|c| !c.ended() && c.stop.is_none()) {
            let spec = &jobs[c.key.job].spec;
            let ran_s = now.saturating_sub(c.since_ms) as f64 / 1000.0;
            if spec.shape == Shape::Batch && spec.expected_s - ran_s > left_s {
                c.stop = Some(spec.grace_s());
                self.dispatch_queue.insert(host_index);
            }
        }
    }

    /// Takes what the report says of tasks.
    pub(super) fn apply_task_statuses(
        &mut self,
        host_index: HostIndex,
        r: &Heartbeat,
        orders: &mut Vec<Order>,
        now: u64,
    ) {
        let mut has_unknown_tasks = false;
        let mut position = 0;
        for t in &r.tasks {
            let Some((job, task)) = t.key() else { continue };
            let known =
                self.cluster.job_index.get(job).filter(|job_index| task < self.cluster.jobs[**job_index].spec.tasks);
            match known {
                Some(&job) => {
                    position = self.apply_task_status(host_index, TaskKey { job, task }, t, position, now) + 1;
                    self.note_listed(host_index, position - 1, r.sequence);
                }
                None => {
                    has_unknown_tasks = true;
                    orders.push(removal(t));
                }
            }
        }
        if let Some(h) = self.cluster.host_mut(host_index) {
            if h.has_unknown_tasks && !has_unknown_tasks {
                self.scheduling_triggers.request_cycle();
            }
            h.has_unknown_tasks = has_unknown_tasks;
        }
    }

    /// Takes what is said of one task. `expected` is where its attempt may be in the machine's
    /// list; where it is, is returned.
    fn apply_task_status(
        &mut self,
        host_index: HostIndex,
        key: TaskKey,
        t: &TaskStatus,
        expected: usize,
        now: u64,
    ) -> usize {
        let ClusterState { jobs, hosts, .. } = &mut self.cluster;
        let host = hosts[host_index].as_mut();
        let position = host.as_ref().and_then(|h| h.attempt_position(key, t.attempt, expected));
        let (Some(host), Some(position)) = (host, position) else {
            self.adopt(host_index, key, t.attempt, t.phase(), now);
            self.phase_seen(host_index, key, t.attempt, TaskPhase::Sent, t.phase(), now);
            return self.cluster.host(host_index).map_or(0, |h| h.attempts.len().saturating_sub(1));
        };
        let before = host.attempts[position].phase;
        let seen_before = jobs[key.job].tasks[key.task as usize].located;
        // Most of what a report lists is as it was.
        if before != t.phase() || !seen_before {
            self.phase_seen(host_index, key, t.attempt, before, t.phase(), now);
        }
        position
    }

    fn note_listed(&mut self, host_index: HostIndex, position: usize, sequence: u64) {
        let host = self.cluster.host_mut(host_index);
        if let Some(attempt) = host.and_then(|h| h.attempts.get_mut(position)) {
            attempt.listed_sequence = sequence;
        }
    }

    /// Attempts that we know of and the report does not list.
    pub(super) fn missing_tasks(&mut self, host_index: HostIndex, r: &Heartbeat, source: StatusSource) {
        let Some(h) = self.cluster.host(host_index) else { return };
        let gone: Vec<(TaskKey, u64)> = h
            .attempts
            .iter()
            .filter(|c| {
                if c.listed_sequence == r.sequence {
                    return false;
                }
                match c.phase {
                    // Its `run` may still come: from a direct command that had
                    // no answer, or from a reply that is not over yet.
                    TaskPhase::Sent => {
                        c.stop.is_some() && source == StatusSource::Heartbeat && c.risk.is_none() && !c.in_flight
                    }
                    _ => true,
                }
            })
            .map(|c| (c.key, c.attempt))
            .collect();
        for (key, attempt) in gone {
            self.remove_attempt(host_index, key, attempt);
        }
    }

    /// The orders of a reply: everything that the worker should have done and,
    /// by its report, has not.
    pub(super) fn pending_orders(&mut self, host_index: HostIndex, orders: &mut Vec<Order>) {
        let Some(h) = self.cluster.host(host_index) else { return };
        for c in &h.attempts {
            if orders.len() >= REPLY_ORDERS {
                break;
            }
            let job = &self.cluster.jobs[c.key.job];
            let id = &job.spec.id;
            match (c.phase, c.stop) {
                (TaskPhase::Ended(reason), _) => {
                    let safe = reason != ExitReason::Done
                        || job.end.is_some()
                        || job.recorded_as_done(c.key.task)
                        || (job.unsaved == UnsavedChange::Nothing && !job.saving);
                    if safe && c.risk.is_none() && !c.in_flight {
                        orders.push(Order::reap(id, c));
                    }
                }
                (TaskPhase::Saving, Some(grace)) if grace > 0.0 => {}
                (_, Some(_)) if c.stop_awaits_record => {}
                (_, Some(grace)) => orders.push(Order::stop(id, c, grace)),
                (TaskPhase::Sent, None) if c.awaits_record => {}
                (TaskPhase::Sent, None) => orders.push(Order::run(id, c)),
                _ => {}
            }
        }
    }
}

/// The order for a task that no job has: whatever it is must go.
fn removal(t: &TaskStatus) -> Order {
    match t.phase() {
        TaskPhase::Ended(_) => Order::Reap { task: t.task.clone(), attempt: t.attempt },
        _ => Order::Stop { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 },
    }
}
