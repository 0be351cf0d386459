//! Fencing of starts: whether a direct command can still start an attempt on a worker.
//!
//! A direct command may arrive minutes late, or once more after its answer, until the worker has seen a higher fencing
//! token, has a later agent epoch, or its machine is terminated. A worker that no longer knows an attempt starts it
//! again. Therefore (safety invariants 5 and 6):
//!
//! - A worker is told to discard attempts only with a token above that of each direct command with a start that it was
//!   sent. The message that discards carries this token itself.
//! - An attempt that a worker does not list counts as gone only once the worker has seen a higher token than that of
//!   each direct command with its start.

use super::Partition;
use crate::model::{FencingToken, Host, HostIndex, TaskAttempt, TaskPhase, UNREACHABLE_AFTER_UNANSWERED};
use crate::wire::{Heartbeat, Order};

impl Partition {
    /// Returns the fencing token of the reply to a heartbeat.
    pub fn reply_token(&self, heartbeat: &Heartbeat) -> FencingToken {
        let host_index = self.cluster.host_index.get(&heartbeat.host);
        match host_index.and_then(|host_index| self.cluster.host(*host_index)) {
            Some(host) => self.epoch.token_of(host),
            None => self.epoch.fencing_token().max(heartbeat.seen_token.min(self.epoch.last_token())),
        }
    }

    /// Makes sure that the worker refuses all earlier starts before it carries out these orders in the reply to its
    /// heartbeat. If that is not possible now, leaves out the orders to discard attempts.
    pub(super) fn fence_discards(&mut self, host_index: HostIndex, orders: &mut Vec<Order>) {
        let discards = orders.iter().any(|order| matches!(order, Order::Reap { .. }));
        let has_vanished = self.cluster.host(host_index).is_some_and(|host| {
            host.attempts.iter().any(|attempt| {
                awaits_fence(host, attempt) && !attempt.ended() && attempt.may_start_after(host.seen_token)
            })
        });
        if (discards || has_vanished) && !self.fence_earlier_starts(host_index) {
            self.metrics.count("discards_deferred", "all");
            orders.retain(|order| !matches!(order, Order::Reap { .. }));
        }
    }

    /// Raises the token of the orders to a host if needed, so that all direct commands with a start that it was sent
    /// have a lower one. Returns `false` if a direct command is in flight, which the worker would refuse, or if the
    /// leader has no higher token.
    pub(super) fn fence_earlier_starts(&mut self, host_index: HostIndex) -> bool {
        let Some(host) = self.cluster.hosts.get_mut(host_index).and_then(Option::as_mut) else { return false };
        let token = self.epoch.token_of(host);
        if host.start_token < token {
            return true;
        }
        if host.command_in_flight {
            return false;
        }
        let Some(higher) = self.epoch.token_after(token) else { return false };
        host.raised_token = higher;
        self.metrics.count("worker_tokens_raised", "all");
        true
    }

    /// Returns whether this leader needs higher fencing tokens: the transfer of a host is indeterminate, a host has
    /// seen a higher token, or the tokens for a host with starts to be refused are nearly used up.
    pub fn needs_higher_token(&self) -> bool {
        let threshold = self.epoch.tokens().renewal_threshold();
        self.is_transfer_indeterminate()
            || self
                .cluster
                .each_host()
                .any(|(_, host)| host.seen_token > self.epoch.last_token() || nearly_used_up(host, threshold))
    }
}

/// Returns whether the host needs a token above this threshold for starts that it must refuse.
fn nearly_used_up(host: &Host, threshold: FencingToken) -> bool {
    // A host that answers nothing would not confirm the higher token either.
    host.unanswered_commands < UNREACHABLE_AFTER_UNANSWERED
        && host.start_token >= threshold
        && (host.has_unknown_tasks
            || host.attempts.iter().any(|attempt| {
                awaits_fence(host, attempt) && attempt.start_token.is_some_and(|token| token >= threshold)
            }))
}

/// Returns whether the attempt is to be forgotten once no direct command can start it: it has ended, it is to be stopped
/// before it was seen, or the host's last report does not list it any more.
fn awaits_fence(host: &Host, attempt: &TaskAttempt) -> bool {
    match attempt.phase {
        TaskPhase::Ended(_) => true,
        TaskPhase::Sent => attempt.stop.is_some(),
        _ => attempt.listed_sequence != host.sequence,
    }
}

/// Returns whether a start of the attempt, which is to be stopped before it was seen, may arrive at a worker that is sent
/// this token.
pub(super) fn is_stop_of_unseen_start_due(attempt: &TaskAttempt, token: FencingToken) -> bool {
    attempt.phase == TaskPhase::Sent && attempt.stop.is_some() && attempt.may_start_after(token)
}
