//! Agents that came back without the fencing token and the number of their last heartbeat.
//!
//! Such an agent carries out commands that it must refuse, and its heartbeats look older than those that were applied.
//! Nothing is placed on its machine, and the attempts that were on it count as being there, until the cloud has
//! confirmed that the machine is terminated.

use super::{DirectCommand, Partition};
use crate::model::HostIndex;
use crate::wire::Heartbeat;

impl Partition {
    /// Checks the answer to a direct command: its number must be above that of each heartbeat from before the command.
    pub(super) fn check_memory_of_answer(&mut self, command: &DirectCommand, answer: &Heartbeat) {
        let before = (command.agent_epoch, command.last_sequence);
        if (answer.agent_epoch, answer.sequence) <= before {
            self.record_lost_memory(command.host, answer);
        }
    }

    /// Returns whether the agent has lost its memory, which a token below that of its last heartbeat shows, too.
    pub(super) fn has_lost_memory(&mut self, host_index: HostIndex, heartbeat: &Heartbeat) -> bool {
        let Some(host) = self.cluster.host(host_index) else { return false };
        if heartbeat.agent_epoch == host.agent_epoch && heartbeat.seen_token < host.reported_token {
            self.record_lost_memory(host_index, heartbeat);
        }
        self.cluster.host(host_index).is_some_and(|host| host.lost_memory)
    }

    /// Marks the host for termination.
    fn record_lost_memory(&mut self, host_index: HostIndex, heartbeat: &Heartbeat) {
        let Some(host) = self.cluster.host_mut(host_index).filter(|host| !host.lost_memory) else { return };
        host.lost_memory = true;
        self.metrics.count("agents_without_memory", "all");
        tracing::warn!(
            host = host.id,
            agent_epoch = heartbeat.agent_epoch,
            sequence = heartbeat.sequence,
            last_agent_epoch = host.agent_epoch,
            last_sequence = host.sequence,
            seen_token = %heartbeat.seen_token,
            last_token = %host.reported_token,
            "agent has lost its memory"
        );
    }
}
