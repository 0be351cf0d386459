//! Commits of the partition's records, and raises of its fencing token.

use super::leader::{PartitionLeader, WRITE_BURST_S};
use super::leadership::{Leadership, TokenRaise};
use super::messages::BackgroundEvent;
use crate::clients::{StateStore, TokenBucket};
use crate::control::membership::{self, AcquireError, PartitionKeyUpdate, PartitionRecord, RaisedToken};
use crate::control::partition::{CommitOutcome, Superseded};
use crate::runtime::task;
use tokio::time::sleep;

impl PartitionLeader {
    /// Commits what has changed, or raises the fencing token if that must come first.
    ///
    /// Writes to the state store are scarce: at most one commit is under way, with as many writes
    /// as the budget has, and the partition puts the urgent ones first.
    pub(super) fn commit(&self, leadership: &mut Leadership, now: u64) {
        let TokenRaise::Idle { not_before_ms } = leadership.token_raise else { return };
        if leadership.partition.is_committing() || now < leadership.next_commit_ms {
            return;
        }
        if leadership.token_check_due && now >= not_before_ms {
            leadership.token_check_due = false;
            if leadership.partition.needs_higher_token() {
                self.raise_fencing_token(leadership);
                return;
            }
        }
        let most_writes = leadership.write_budget.available_tokens(now);
        if most_writes == 0 {
            return;
        }
        if let Some(commit) = leadership.partition.next_commit(now, most_writes) {
            leadership.write_budget.spend(commit.writes.len());
            let (state, sender) = (self.state.clone(), self.sender(leadership.epoch));
            task::spawn(async move {
                let result = state.commit(&commit.conditions, &commit.writes).await;
                sender.send(BackgroundEvent::CommitEnded(result)).await;
            });
        }
    }

    fn raise_fencing_token(&self, leadership: &mut Leadership) {
        leadership.token_raise = TokenRaise::UnderWay;
        let (state, sender) = (self.state.clone(), self.sender(leadership.epoch));
        let (id, node, version, lease_id) =
            (self.id, self.settings.node.clone(), leadership.key_version, leadership.lease_id);
        task::spawn(async move {
            let update = PartitionKeyUpdate { partition: id, node: &node, version, lease_id };
            let event = match membership::raise_fencing_token(&state, &update).await {
                Ok(raised) => BackgroundEvent::TokenRaiseEnded(Some(raised)),
                Err(AcquireError::Commit(CommitOutcome::Conflict { .. })) => {
                    read_partition_record(&state, id, lease_id).await
                }
                Err(_) => BackgroundEvent::TokenRaiseEnded(None),
            };
            sender.send(event).await;
        });
    }

    /// Handles the outcome of a commit.
    pub(super) fn commit_ended(&self, leadership: &mut Leadership, result: CommitOutcome, now: u64) {
        if !matches!(result, CommitOutcome::Done { .. } | CommitOutcome::Conflict { .. }) {
            leadership.next_commit_ms = now + self.settings.react_ms() / 5;
        }
        if matches!(result, CommitOutcome::Throttled) {
            self.slow_down(leadership, now);
        }
        match leadership.partition.committed(result) {
            Ok(keys) if !keys.is_empty() => self.reread(leadership.epoch, keys),
            Ok(_) => {}
            // It may be this leadership's own raise of the fencing token that was applied late.
            Err(Superseded) => {
                leadership.token_raise = TokenRaise::UnderWay;
                let (state, sender, id, lease_id) =
                    (self.state.clone(), self.sender(leadership.epoch), self.id, leadership.lease_id);
                task::spawn(async move { sender.send(read_partition_record(&state, id, lease_id).await).await });
            }
        }
    }

    /// The state store has refused the rate of writes: the lower one that was announced applies now.
    fn slow_down(&self, leadership: &mut Leadership, now: u64) {
        leadership.partition.metrics_mut().count("limits_met", "write_rate");
        let limits = self.settings.write_limits();
        if leadership.partition.policy().writes_per_s > limits.lower_changes_per_s {
            tracing::info!(per_s = limits.lower_changes_per_s, "the state store accepts fewer writes");
            leadership.partition.policy_mut().writes_per_s = limits.lower_changes_per_s;
            leadership.write_budget = TokenBucket::new(limits.lower_changes_per_s, WRITE_BURST_S, now);
            let burst = leadership.write_budget.available_tokens(now);
            leadership.write_budget.spend(burst);
        }
    }

    /// Handles the outcome of a raise of the fencing token.
    pub(super) fn token_raise_ended(&self, leadership: &mut Leadership, raised: Option<RaisedToken>, now: u64) {
        leadership.token_raise = TokenRaise::Idle { not_before_ms: now + self.settings.react_ms() };
        if let Some(RaisedToken { fencing_token, version }) = raised {
            tracing::info!(%fencing_token, "raised the fencing token");
            leadership.partition.set_fencing_token(fencing_token, version);
            leadership.key_version = version;
        }
    }

    /// Another node leads the partition, or none: nothing more may be done for it here.
    pub(super) fn leadership_lost(&self, leadership: &mut Leadership) {
        leadership.loaded = false;
        self.leader_lease.set_valid_until(0);
        // If its queue is full, the election actor steps down once a renewal finds that the lease has ended.
        let _ = self.election.try_send(membership::Message::LeadershipLost);
    }
}

/// Reads the partition's key, which was found changed. A raise of the fencing token that had no
/// answer may have been applied late: then the key is still attached to this leadership's lease,
/// and the leadership goes on under the higher token. Otherwise it is lost.
async fn read_partition_record(state: &StateStore, partition: u32, lease_id: u64) -> BackgroundEvent {
    let found = loop {
        match state.get(&membership::partition_key(partition)).await {
            Ok((item, _)) => break item,
            // While this has no answer nothing can be committed either.
            Err(_) => sleep(state.retry_delay()).await,
        }
    };
    let own_key = found.and_then(|item| {
        let record: PartitionRecord = serde_json::from_value(item.value).ok()?;
        (record.lease_id == lease_id)
            .then_some(RaisedToken { fencing_token: record.fencing_token, version: item.version })
    });
    own_key.map_or(BackgroundEvent::LeadershipLost, |raised| BackgroundEvent::TokenRaiseEnded(Some(raised)))
}
