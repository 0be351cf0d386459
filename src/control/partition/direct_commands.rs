//! Direct commands: orders sent to a worker without waiting for its next heartbeat.
//!
//! A command may be carried out minutes later, or once more after its answer. The attempts that it starts keep its
//! token (`start_token`), and `fencing` decides when it can start them no more.
//!
//! The parameter `now` is steady time in milliseconds.

use super::heartbeats::MAX_ORDERS_PER_REPLY;
use super::{DirectCommand, DirectCommandOutcome, Partition, StatusSource, fencing, task_orders};
use crate::model::{Host, HostIndex};

/// Divisor of the reaction time that gives the pause after a command without an answer.
const RETRY_DIVISOR: u64 = 4;
/// Divisor of the reaction time that gives the pause after an answer that leaves orders due.
const FOLLOW_UP_DIVISOR: u64 = 20;

impl Partition {
    /// Returns whether no command may be sent to the host now, because one is in flight or a pause has not
    /// elapsed.
    pub fn is_command_delayed(&self, host_index: HostIndex, now: u64) -> bool {
        self.cluster.host(host_index).is_some_and(|host| host.command_in_flight || now < host.next_command_ms)
    }

    /// Takes the direct command that is due for a host and marks it and its starts as in flight. A command
    /// without orders is due only if `probe` is true or the host has not confirmed this leader's token.
    /// Returns `None` if no command is due or may be sent now, or if the host or its address is unknown.
    pub fn take_direct_command(&mut self, host_index: HostIndex, now: u64, probe: bool) -> Option<DirectCommand> {
        // Slot orders come first: a task may need the capacity of a slot that is to be unloaded.
        let slot_orders = self.slot_orders(host_index);
        let host = self.cluster.hosts.get_mut(host_index)?.as_mut()?;
        let addr = host.addr?;
        if host.command_in_flight || now < host.next_command_ms {
            return None;
        }
        let token = self.epoch.token_of(host);
        if host.attempts.iter().any(|attempt| fencing::is_stop_of_unseen_start_due(attempt, token)) {
            self.fence_earlier_starts(host_index);
        }
        let host = self.cluster.hosts.get_mut(host_index)?.as_mut()?;
        let fencing_token = self.epoch.token_of(host);
        // A host that has not confirmed this leader's token is sent the token, and its tasks are read
        // from the answer. The answer also contains its agent epoch, which may not be known yet.
        let probe = probe || !host.token_confirmed();
        let mut orders = slot_orders;
        for attempt in host.attempts.iter_mut().filter(|_| host.reconciled) {
            if orders.len() >= MAX_ORDERS_PER_REPLY {
                break;
            }
            let id = &self.cluster.jobs[attempt.key.job].spec.id;
            if let Some(order) = task_orders::start_or_stop(id, attempt) {
                if order.is_start() {
                    attempt.in_flight = true;
                    host.start_token = fencing_token;
                }
                orders.push(order);
            }
        }
        if orders.is_empty() && !probe {
            return None;
        }
        host.command_in_flight = true;
        Some(DirectCommand {
            host: host_index,
            id: host.id.clone(),
            addr,
            fencing_token,
            agent_epoch: host.agent_epoch,
            last_sequence: host.sequence,
            orders,
        })
    }

    /// Applies the outcome of a direct command.
    pub fn apply_direct_command_outcome(&mut self, command: &DirectCommand, result: DirectCommandOutcome, now: u64) {
        let retry_at_ms = now + self.policy.react_ms / RETRY_DIVISOR;
        let Some(host) = self.cluster.host_mut(command.host).filter(|host| host.id == command.id) else { return };
        record_starts(host, command, &result);
        if let DirectCommandOutcome::Refused(heartbeat) = &result {
            self.record_refused_command(command, heartbeat);
        }
        match result {
            DirectCommandOutcome::Answered(heartbeat) | DirectCommandOutcome::Refused(heartbeat) => {
                if heartbeat.host == command.id {
                    self.check_memory_of_answer(command, &heartbeat);
                    self.heartbeat(&heartbeat, StatusSource::DirectCommandReply, now);
                }
                self.queue_follow_up_command(command.host, now);
            }
            DirectCommandOutcome::NotSent | DirectCommandOutcome::Indeterminate => {
                if let Some(host) = self.cluster.host_mut(command.host) {
                    host.next_command_ms = retry_at_ms;
                    host.unanswered_commands = host.unanswered_commands.saturating_add(1);
                }
            }
        }
    }

    /// Queues another command after a pause if the host has not confirmed this leader's token or if starts
    /// or stops of attempts are due, because they must not wait for the next heartbeat.
    fn queue_follow_up_command(&mut self, host_index: HostIndex, now: u64) {
        let pause = self.policy.react_ms / FOLLOW_UP_DIVISOR;
        if let Some(host) = self.cluster.host_mut(host_index)
            && (!host.token_confirmed() || host.attempts.iter().any(task_orders::is_start_or_stop_due))
        {
            host.next_command_ms = now + pause;
            self.dispatch_queue.insert(host_index);
        }
    }
}

/// Ends the flight of a direct command. If a copy of it may still be carried out, its token is recorded as that of its
/// starts.
fn record_starts(host: &mut Host, command: &DirectCommand, result: &DirectCommandOutcome) {
    let may_arrive_again = match result {
        DirectCommandOutcome::Answered(_) | DirectCommandOutcome::Indeterminate => true,
        // A worker that refused the command refuses each copy of it.
        DirectCommandOutcome::Refused(heartbeat) => {
            heartbeat.seen_token <= command.fencing_token && heartbeat.agent_epoch <= command.agent_epoch
        }
        DirectCommandOutcome::NotSent => false,
    };
    host.command_in_flight = false;
    for attempt in host.attempts.iter_mut().filter(|attempt| attempt.in_flight) {
        attempt.in_flight = false;
        if may_arrive_again {
            attempt.start_token = attempt.start_token.max(Some(command.fencing_token));
        }
    }
}
