//! Commands that are sent straight to a worker.
//!
//! A command without an answer may be carried out minutes later, until the worker has seen a higher
//! fencing token or begins a new agent epoch, or the machine is terminated. Until then its attempts keep
//! the token under which they may still start (`indeterminate_order_token`).

use super::heartbeats::REPLY_ORDERS;
use super::{DirectCommand, DirectCommandOutcome, Partition, StatusSource, task_orders};
use crate::model::{HostIndex, UNREACHABLE_AFTER_MISSES};
use crate::wire::Order;

/// After a command without an answer: the pause, as a fraction of the reaction time.
const RETRY_DIVISOR: u64 = 4;
/// After an answer that left orders due: the same.
const FOLLOW_UP_DIVISOR: u64 = 20;

impl Partition {
    /// Must the machine wait before it can be sent its next command?
    pub fn is_command_delayed(&self, host_index: HostIndex, now: u64) -> bool {
        self.cluster.host(host_index).is_some_and(|host| host.do_in_flight || now < host.do_after_ms)
    }

    /// The direct command that is due for a machine, if any; a mere `probe` may have no orders.
    pub fn next_direct_command(&mut self, host_index: HostIndex, now: u64, probe: bool) -> Option<DirectCommand> {
        let fencing_token = self.epoch.fencing_token();
        // Before the tasks: one may need the capacity of a slot that is unloaded.
        let slot_orders = self.slot_orders(host_index);
        let host = self.cluster.hosts.get_mut(host_index)?.as_mut()?;
        let addr = host.addr?;
        if host.do_in_flight || now < host.do_after_ms {
            return None;
        }
        // A machine that has not seen this leader's token is shown it, and its tasks are
        // read from the answer. Its agent epoch may not be known yet: then the answer
        // tells it.
        let probe = probe || !host.token_confirmed();
        let mut orders = slot_orders;
        for attempt in host.attempts.iter_mut().filter(|_| host.reconciled) {
            let id = &self.cluster.jobs[attempt.key.job].spec.id;
            if let Some(order) = task_orders::start_or_stop(id, attempt) {
                attempt.in_flight |= matches!(order, Order::Run { .. });
                orders.push(order);
            }
            if orders.len() >= REPLY_ORDERS {
                break;
            }
        }
        if orders.is_empty() && !probe {
            return None;
        }
        host.do_in_flight = true;
        Some(DirectCommand {
            host: host_index,
            id: host.id.clone(),
            addr,
            fencing_token,
            agent_epoch: host.agent_epoch,
            orders,
        })
    }

    /// Takes the result of a direct command.
    pub fn direct_command_done(&mut self, command: &DirectCommand, result: DirectCommandOutcome, now: u64) {
        let retry = now + self.policy.react_ms / RETRY_DIVISOR;
        let Some(host) = self.cluster.host_mut(command.host).filter(|host| host.id == command.id) else { return };
        host.do_in_flight = false;
        for attempt in host.attempts.iter_mut().filter(|attempt| attempt.in_flight) {
            attempt.in_flight = false;
            if matches!(result, DirectCommandOutcome::Indeterminate) {
                // It may be carried out minutes later.
                attempt.indeterminate_order_token =
                    Some(attempt.indeterminate_order_token.unwrap_or_default().max(command.fencing_token));
            }
        }
        match result {
            DirectCommandOutcome::Answered(heartbeat) => {
                if heartbeat.host == command.id {
                    self.heartbeat(&heartbeat, StatusSource::DirectCommandReply, now);
                }
                self.queue_follow_up_command(command.host, now);
            }
            DirectCommandOutcome::NotSent | DirectCommandOutcome::Indeterminate => {
                host.do_after_ms = retry;
                host.unanswered_probes = host.unanswered_probes.saturating_add(1);
            }
        }
    }

    /// What came up while a command was under way can't wait for the next heartbeat.
    fn queue_follow_up_command(&mut self, host_index: HostIndex, now: u64) {
        let pause = self.policy.react_ms / FOLLOW_UP_DIVISOR;
        if let Some(host) = self.cluster.host_mut(host_index)
            && (!host.token_confirmed() || host.attempts.iter().any(task_orders::is_start_or_stop_due))
        {
            host.do_after_ms = now + pause;
            self.dispatch_queue.insert(host_index);
        }
    }

    /// True if an attempt, or a record of a machine, can only be settled by a higher token.
    pub fn needs_higher_token(&self) -> bool {
        self.is_transfer_indeterminate()
            || self.cluster.each_host().any(|(_, host)| host.seen_token > self.epoch.fencing_token())
            || self.cluster.each_host().any(|(_, host)| {
                // One that answers nothing would not show that it has seen it.
                host.unanswered_probes < UNREACHABLE_AFTER_MISSES
                    && host.attempts.iter().any(|attempt| {
                        attempt.indeterminate_order_token.is_some_and(|token| token >= self.epoch.fencing_token())
                            && (attempt.stop.is_some() || attempt.ended())
                    })
            })
    }
}
