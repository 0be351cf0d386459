//! Handling of heartbeats, and the orders in reply.
//!
//! Heartbeats are ordered by agent epoch and sequence number: a late copy of an older one is ignored. A
//! worker discards an ended attempt (`reap`) only once its outcome is recorded and no direct command can
//! start it any more (`fencing`).

use super::{Partition, StatusSource, task_orders};
use crate::model::{ClusterState, Host, HostIndex, Shape, TaskKey, TaskPhase};
use crate::wire::{Heartbeat, Order, TaskStatus};

/// Maximum number of orders in one reply, which keeps a line under 64 KiB.
pub(in crate::control::partition) const MAX_ORDERS_PER_REPLY: usize = 400;

/// Position of a heartbeat in the order in which its host sent them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HeartbeatNumber {
    agent_epoch: u64,
    sequence: u64,
}

impl HeartbeatNumber {
    /// Returns the number of a heartbeat.
    fn of(heartbeat: &Heartbeat) -> HeartbeatNumber {
        HeartbeatNumber { agent_epoch: heartbeat.agent_epoch, sequence: heartbeat.sequence }
    }

    /// Returns the number of the latest heartbeat of the host that was applied.
    fn last_of(host: &Host) -> HeartbeatNumber {
        HeartbeatNumber { agent_epoch: host.agent_epoch, sequence: host.sequence }
    }
}

/// New information about a host from a heartbeat.
struct HostStatusChange {
    /// Whether the heartbeat was sent under a fencing token of this leader.
    is_current: bool,
    /// Seconds until the host is preempted; `None` if there is no notice or it is already known.
    notice_s: Option<f64>,
}

impl Partition {
    /// Applies a heartbeat and returns the orders of its reply.
    pub fn heartbeat(&mut self, heartbeat: &Heartbeat, source: StatusSource, now: u64) -> Vec<Order> {
        if self.host_directory.is_terminated(&heartbeat.host) {
            return Vec::new();
        }
        let host_index = self.host_of_heartbeat(heartbeat, now);
        let Some(host) = self.cluster.host_mut(host_index) else { return Vec::new() };
        if source == StatusSource::Heartbeat {
            host.lease_renewed_ms = now;
        }
        self.heartbeat_load.record(heartbeat.tasks.len());
        // Late copies of older heartbeats are ignored.
        if HeartbeatNumber::of(heartbeat) <= HeartbeatNumber::last_of(host) {
            return Vec::new();
        }
        if self.has_lost_memory(host_index, heartbeat) {
            return Vec::new();
        }
        self.apply_agent_epoch(host_index, heartbeat, now);
        let Some(change) = self.apply_host_status(host_index, heartbeat, source, now) else { return Vec::new() };
        if !change.is_current {
            self.deliver_fencing_token(host_index, source, now);
            return Vec::new();
        }
        self.mark_reconciled(host_index, heartbeat);
        let mut orders = Vec::new();
        orders.extend(self.orders_for_unknown_slots(heartbeat));
        self.apply_task_statuses(host_index, heartbeat, &mut orders, now);
        self.remove_unlisted_attempts(host_index, heartbeat, source);
        self.apply_slot_statuses(host_index, heartbeat, now);
        self.release_ended_claims(now);
        if let Some(remaining_s) = change.notice_s {
            self.stop_tasks_before_preemption(host_index, remaining_s, now);
        }
        if source == StatusSource::Heartbeat {
            orders.extend(self.slot_orders(host_index));
            self.pending_orders(host_index, &mut orders);
            // The others are found due again with the next heartbeat.
            orders.truncate(MAX_ORDERS_PER_REPLY);
            self.fence_discards(host_index, &mut orders);
            self.record_reaps(heartbeat, &orders);
        }
        if let Some(host) = self.cluster.host_mut(host_index).filter(|host| !host.attempts.is_empty()) {
            host.last_busy_ms = now;
        }
        orders
    }

    /// Makes sure that a worker that has not seen this leader's token receives it. A host of the
    /// previous leader reads the token from the reply to its heartbeat and then sends another heartbeat;
    /// a direct command to each host would double the work of a failover. A new host is sent the token
    /// by a direct command so that it is usable at once, and so is a host that did not react to the
    /// reply.
    fn deliver_fencing_token(&mut self, host_index: HostIndex, source: StatusSource, now: u64) {
        let Some(host) = self.cluster.host_mut(host_index) else { return };
        if source == StatusSource::Heartbeat && host.registered && host.token_shown_ms == 0 {
            host.token_shown_ms = now;
        } else {
            self.dispatch_queue.insert(host_index);
        }
    }

    /// Returns the host that sent the heartbeat, adding it if it is new.
    fn host_of_heartbeat(&mut self, heartbeat: &Heartbeat, now: u64) -> HostIndex {
        if let Some(&host_index) = self.cluster.host_index.get(&heartbeat.host) {
            return host_index;
        }
        let instance_type = self.cluster.instance_type(&heartbeat.instance_type);
        let mut host = Host::new(heartbeat.host.clone(), heartbeat.zone.clone(), heartbeat.spot, instance_type, now);
        host.required_token = self.epoch.first_token();
        // The host was rented for another partition and is transferred once it is registered.
        host.transferring_to =
            self.host_directory.take_pending_transfer(&heartbeat.host).filter(|to| *to != self.teams.partition());
        self.cluster.add_host(host)
    }

    /// Handles a new agent epoch: the lease of the previous epoch has ended, and all its attempts are
    /// gone.
    fn apply_agent_epoch(&mut self, host_index: HostIndex, heartbeat: &Heartbeat, now: u64) {
        let Some(host) = self.cluster.host_mut(host_index).filter(|host| heartbeat.agent_epoch > host.agent_epoch)
        else {
            return;
        };
        // The lease of an agent epoch counts from its beginning, whenever the answer was sent.
        host.lease_renewed_ms = host.lease_renewed_ms.max(now);
        if host.agent_epoch > 0 {
            tracing::info!(
                host = host.id,
                agent_epoch = heartbeat.agent_epoch,
                "agent epoch changed, attempts of the previous epoch removed"
            );
            self.remove_all_attempts(host_index);
        }
    }

    /// Applies the status of the host itself. Returns `None` if the host is unknown.
    fn apply_host_status(
        &mut self,
        host_index: HostIndex,
        heartbeat: &Heartbeat,
        source: StatusSource,
        now: u64,
    ) -> Option<HostStatusChange> {
        let instance_type = self.cluster.instance_type(&heartbeat.instance_type);
        let host = self.cluster.host_mut(host_index)?;
        // The first heartbeat that this leader receives from a host may be a late copy from before its
        // leadership. The host may be gone since, and its tasks may run elsewhere.
        let is_current = heartbeat.seen_token >= host.required_token;
        host.agent_epoch = heartbeat.agent_epoch;
        host.sequence = heartbeat.sequence;
        host.seen_token = host.seen_token.max(heartbeat.seen_token);
        host.reported_token = heartbeat.seen_token;
        host.addr = Some(heartbeat.addr);
        host.can_load_models = heartbeat.slots.is_some();
        host.instance_type = instance_type;
        host.last_heartbeat_ms = now;
        if source == StatusSource::DirectCommandReply {
            host.unanswered_commands = 0;
        }
        let notice_s = heartbeat.warning_s.filter(|_| !host.preemption_notice);
        if notice_s.is_some() {
            host.preemption_notice = true;
            tracing::info!(host = host.id, "preemption notice received");
        }
        Some(HostStatusChange { is_current, notice_s })
    }

    /// Marks a host that has reported under a token of this leader as reconciled: its attempts are
    /// known, and no order of an earlier leader can start anything on it.
    fn mark_reconciled(&mut self, host_index: HostIndex, heartbeat: &Heartbeat) {
        let Some(host) = self.cluster.host_mut(host_index) else { return };
        if !host.certainly_exists() {
            // The host has no record in the registry, so no earlier leader has placed anything on it.
            tracing::info!(
                host = heartbeat.host,
                instance_type = heartbeat.instance_type,
                zone = heartbeat.zone,
                spot = heartbeat.spot,
                "new host reported"
            );
            self.commit_queue.mark_host(host_index);
        }
        if !host.reconciled {
            host.reconciled = true;
            if host.registered {
                self.reconciliation.request_count();
            }
        }
    }

    /// Stops the array tasks that would probably not end before the preemption of the host, so that they
    /// restart elsewhere now rather than after its loss.
    pub(super) fn stop_tasks_before_preemption(&mut self, host_index: HostIndex, remaining_s: f64, now: u64) {
        let ClusterState { jobs, hosts, .. } = &mut self.cluster;
        let Some(host) = hosts[host_index].as_mut() else { return };
        for attempt in host.attempts.iter_mut().filter(|attempt| !attempt.ended() && attempt.stop.is_none()) {
            let spec = &jobs[attempt.key.job].spec;
            let ran_s = now.saturating_sub(attempt.since_ms) as f64 / 1000.0;
            if spec.shape == Shape::Batch && spec.expected_s - ran_s > remaining_s {
                attempt.stop = Some(spec.grace_s());
                self.dispatch_queue.insert(host_index);
            }
        }
    }

    /// Applies the statuses of the tasks that a heartbeat lists.
    pub(super) fn apply_task_statuses(
        &mut self,
        host_index: HostIndex,
        heartbeat: &Heartbeat,
        orders: &mut Vec<Order>,
        now: u64,
    ) {
        let mut has_unknown_tasks = false;
        let mut position = 0;
        for status in &heartbeat.tasks {
            let Some((job, task)) = status.key() else { continue };
            let known =
                self.cluster.job_index.get(job).filter(|job_index| task < self.cluster.jobs[**job_index].spec.tasks);
            match known {
                Some(&job) => {
                    let key = TaskKey { job, task };
                    position = self.apply_task_status(host_index, key, heartbeat, status, position, now) + 1;
                    self.mark_listed(host_index, position - 1, heartbeat.sequence);
                }
                None => {
                    has_unknown_tasks = true;
                    self.check_not_removed_before(host_index, heartbeat, status);
                    orders.push(order_for_unknown_task(status));
                }
            }
        }
        if let Some(host) = self.cluster.host_mut(host_index) {
            if host.has_unknown_tasks && !has_unknown_tasks {
                self.scheduling_triggers.request_cycle();
            }
            host.has_unknown_tasks = has_unknown_tasks;
        }
    }

    /// Applies the status of one task and returns the position of its attempt in the host's list.
    /// `expected` is the position at which the attempt is looked for first.
    fn apply_task_status(
        &mut self,
        host_index: HostIndex,
        key: TaskKey,
        heartbeat: &Heartbeat,
        status: &TaskStatus,
        expected: usize,
        now: u64,
    ) -> usize {
        let host = self.cluster.host_mut(host_index);
        let position = host.as_ref().and_then(|host| host.attempt_position(key, status.attempt, expected));
        let (Some(host), Some(position)) = (host, position) else {
            self.check_not_removed_before(host_index, heartbeat, status);
            self.add_reported_attempt(host_index, key, status.attempt, status.phase(), now);
            self.apply_phase(host_index, key, status.attempt, TaskPhase::Sent, status.phase(), now);
            return self.cluster.host(host_index).map_or(0, |host| host.attempts.len().saturating_sub(1));
        };
        let before = host.attempts[position].phase;
        // Most of the listed statuses are unchanged. An unchanged phase was applied before, and the task was located
        // then if the attempt had not ended.
        if before != status.phase() {
            self.apply_phase(host_index, key, status.attempt, before, status.phase(), now);
        }
        position
    }

    /// Marks the attempt at this position as listed by the heartbeat with this sequence number.
    fn mark_listed(&mut self, host_index: HostIndex, position: usize, sequence: u64) {
        let host = self.cluster.host_mut(host_index);
        if let Some(attempt) = host.and_then(|host| host.attempts.get_mut(position)) {
            attempt.listed_sequence = sequence;
        }
    }

    /// Removes attempts that are known here, are not listed in the heartbeat and can start no more.
    pub(super) fn remove_unlisted_attempts(
        &mut self,
        host_index: HostIndex,
        heartbeat: &Heartbeat,
        source: StatusSource,
    ) {
        let Some(host) = self.cluster.host(host_index) else { return };
        let unlisted: Vec<(TaskKey, u64)> = host
            .attempts
            .iter()
            .filter(|attempt| {
                if attempt.listed_sequence == heartbeat.sequence || attempt.may_start_after(heartbeat.seen_token) {
                    return false;
                }
                // The `run` order may still arrive with a reply that is being sent.
                attempt.phase != TaskPhase::Sent || (attempt.stop.is_some() && source == StatusSource::Heartbeat)
            })
            .map(|attempt| (attempt.key, attempt.attempt))
            .collect();
        for (key, attempt) in unlisted {
            self.remove_attempt(host_index, key, attempt);
        }
    }

    /// Adds the orders that the worker has not followed yet according to its heartbeat.
    pub(super) fn pending_orders(&mut self, host_index: HostIndex, orders: &mut Vec<Order>) {
        let Some(host) = self.cluster.host(host_index) else { return };
        for attempt in &host.attempts {
            if orders.len() >= MAX_ORDERS_PER_REPLY {
                break;
            }
            let job = &self.cluster.jobs[attempt.key.job];
            let order = match attempt.phase {
                TaskPhase::Ended(reason) => {
                    task_orders::is_outcome_safe(job, attempt, reason).then(|| Order::reap(&job.spec.id, attempt))
                }
                _ => task_orders::start_or_stop(&job.spec.id, attempt),
            };
            orders.extend(order);
        }
    }
}

/// Returns the order that removes a task that belongs to no known job.
fn order_for_unknown_task(status: &TaskStatus) -> Order {
    match status.phase() {
        TaskPhase::Ended(_) => Order::Reap { task: status.task.clone(), attempt: status.attempt },
        _ => Order::Stop { task: status.task.clone(), attempt: status.attempt, grace_s: 0.0 },
    }
}
