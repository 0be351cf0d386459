//! Commands that are sent straight to a worker.

use super::heartbeats::REPLY_ORDERS;
use super::{DirectCommand, DirectCommandOutcome, Partition, StatusSource};
use crate::model::{HostIndex, TaskAttempt, TaskPhase, UNREACHABLE_AFTER_MISSES};
use crate::wire::Order;

/// After a command without an answer: the pause, as a partition of the reaction time.
const RETRY_DIVISOR: u64 = 4;
/// After an answer that left something to be told: the same.
const FOLLOW_UP_DIVISOR: u64 = 20;

impl Partition {
    /// True if a machine must wait before it can be sent its next command.
    pub fn held_up(&self, host_index: HostIndex, now: u64) -> bool {
        self.cluster.host(host_index).is_some_and(|h| h.do_in_flight || now < h.do_after_ms)
    }

    /// The direct command that a machine is due, if any.
    pub fn direct(&mut self, host_index: HostIndex, now: u64, probe: bool) -> Option<DirectCommand> {
        let fencing_token = self.epoch.fencing_token();
        // Before the tasks: one may need the room of a slot that is unloaded.
        let slot_orders = self.slot_orders(host_index);
        let h = self.cluster.hosts.get_mut(host_index)?.as_mut()?;
        let addr = h.addr?;
        if h.do_in_flight || now < h.do_after_ms {
            return None;
        }
        // A machine that has not seen our token is shown it, and its tasks are
        // read from the answer. Its agent epoch may not be known yet: then the answer
        // tells it.
        let probe = probe || !h.token_confirmed();
        let mut orders = slot_orders;
        for c in h.attempts.iter_mut().filter(|_| h.reconciled) {
            let id = &self.cluster.jobs[c.key.job].spec.id;
            match (c.phase, c.stop) {
                (TaskPhase::Ended(_), _) => {}
                (TaskPhase::Saving, Some(grace)) if grace > 0.0 => {}
                (_, Some(_)) if c.stop_awaits_record => {}
                (_, Some(grace)) => orders.push(Order::stop(id, c, grace)),
                (TaskPhase::Sent, None) if c.awaits_record => {}
                (TaskPhase::Sent, None) => {
                    orders.push(Order::run(id, c));
                    c.in_flight = true;
                }
                _ => {}
            }
            if orders.len() >= REPLY_ORDERS {
                break;
            }
        }
        if orders.is_empty() && !probe {
            return None;
        }
        h.do_in_flight = true;
        Some(DirectCommand {
            host: host_index,
            id: h.id.clone(),
            addr,
            fencing_token,
            agent_epoch: h.agent_epoch,
            orders,
        })
    }

    /// Takes the result of a direct command.
    pub fn direct_command_done(&mut self, d: &DirectCommand, result: DirectCommandOutcome, now: u64) {
        let retry = now + self.policy.react_ms / RETRY_DIVISOR;
        let Some(h) = self.cluster.host_mut(d.host).filter(|h| h.id == d.id) else { return };
        h.do_in_flight = false;
        for c in h.attempts.iter_mut().filter(|c| c.in_flight) {
            c.in_flight = false;
            if matches!(result, DirectCommandOutcome::Indeterminate) {
                // It may be carried out minutes later.
                c.risk = Some(c.risk.unwrap_or_default().max(d.fencing_token));
            }
        }
        match result {
            DirectCommandOutcome::Answered(r) => {
                if r.host == d.id {
                    self.heartbeat(&r, StatusSource::DirectCommandReply, now);
                }
                self.follow_up(d.host, now);
            }
            DirectCommandOutcome::NotSent | DirectCommandOutcome::Indeterminate => {
                h.do_after_ms = retry;
                h.unanswered_probes = h.unanswered_probes.saturating_add(1);
            }
        }
    }

    /// What came up while a command was under way can't wait for the next report.
    fn follow_up(&mut self, host_index: HostIndex, now: u64) {
        let pause = self.policy.react_ms / FOLLOW_UP_DIVISOR;
        if let Some(h) = self.cluster.host_mut(host_index)
            && (!h.token_confirmed() || h.attempts.iter().any(order_due))
        {
            h.do_after_ms = now + pause;
            self.dispatch_queue.insert(host_index);
        }
    }

    /// True if an attempt, or a record of a machine, can only be settled by a higher token.
    pub fn needs_higher_token(&self) -> bool {
        self.moves_may_be_undone()
            || self.cluster.each_host().any(|(_, h)| h.seen_token > self.epoch.fencing_token())
            || self.cluster.each_host().any(|(_, h)| {
                // One that answers nothing would not show that it has seen it.
                h.unanswered_probes < UNREACHABLE_AFTER_MISSES
                    && h.attempts.iter().any(|c| {
                        c.risk.is_some_and(|t| t >= self.epoch.fencing_token()) && (c.stop.is_some() || c.ended())
                    })
            })
    }
}

/// Has the worker still to be told to start or stop it?
fn order_due(c: &TaskAttempt) -> bool {
    match (c.phase, c.stop) {
        (TaskPhase::Ended(_), _) => false,
        (TaskPhase::Saving, Some(grace)) => grace <= 0.0,
        (_, Some(_)) if c.stop_awaits_record => false,
        (phase, stop) => stop.is_some() || phase == TaskPhase::Sent,
    }
}
