//! Counts and logs that tell why orders were allowed, and what contradicts them.
//!
//! An attempt that this leader started and removed must never appear again on its machine: a late copy of its start
//! would have been carried out. Such an attempt is counted and logged as an error.

use super::{DirectCommand, Partition};
use crate::model::HostIndex;
use crate::wire::{Heartbeat, Order, TaskStatus};

/// Number of attempts that appeared again and are logged between two summaries.
const MAX_LOGGED_PER_SUMMARY: u64 = 10;

/// Orders since the last summary in the log.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct OrderCounts {
    /// Attempts that workers were told to discard.
    pub reaps: u64,
    /// Direct commands that workers refused for their fencing token or agent epoch.
    pub refused_commands: u64,
    /// Attempts that appeared again after this leader had removed them.
    pub reappeared: u64,
}

impl Partition {
    /// Returns the counts since the last call.
    pub fn take_order_counts(&mut self) -> OrderCounts {
        std::mem::take(&mut self.order_counts)
    }

    /// Records a direct command that its worker refused.
    pub(super) fn record_refused_command(&mut self, command: &DirectCommand, heartbeat: &Heartbeat) {
        let reason = if heartbeat.seen_token > command.fencing_token {
            "token"
        } else if heartbeat.agent_epoch != command.agent_epoch {
            "agent_epoch"
        } else {
            "unknown"
        };
        self.metrics.count("commands_refused", reason);
        self.order_counts.refused_commands += 1;
        tracing::debug!(
            host = command.id,
            reason,
            fencing_token = %command.fencing_token,
            seen_token = %heartbeat.seen_token,
            agent_epoch = command.agent_epoch,
            "direct command refused"
        );
    }

    /// Records the orders to discard ended attempts in the reply to a heartbeat.
    pub(super) fn record_reaps(&mut self, heartbeat: &Heartbeat, orders: &[Order]) {
        for order in orders {
            let Order::Reap { task, attempt } = order else { continue };
            self.order_counts.reaps += 1;
            tracing::debug!(
                host = heartbeat.host,
                task,
                attempt,
                fencing_token = %self.epoch.fencing_token(),
                seen_token = %heartbeat.seen_token,
                "attempt discarded"
            );
        }
    }

    /// Checks that an attempt that is reported and not known here was not started by this leader.
    pub(super) fn check_not_removed_before(
        &mut self,
        host_index: HostIndex,
        heartbeat: &Heartbeat,
        status: &TaskStatus,
    ) {
        if !self.epoch.has_assigned(status.attempt) || self.cluster.host(host_index).is_none() {
            return;
        }
        self.metrics.count("attempts_reappeared", "all");
        self.order_counts.reappeared += 1;
        // A machine lists the attempt in every report until it is removed again.
        if self.order_counts.reappeared <= MAX_LOGGED_PER_SUMMARY {
            tracing::error!(
                host = heartbeat.host,
                task = status.task,
                attempt = status.attempt,
                phase = ?status.phase(),
                fencing_token = %self.epoch.fencing_token(),
                seen_token = %heartbeat.seen_token,
                agent_epoch = heartbeat.agent_epoch,
                "an attempt appeared again after its removal"
            );
        }
    }
}
