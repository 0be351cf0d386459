//! Commits of the partition's records, and raising of its fencing token.

use super::leader::{PartitionLeader, WRITE_BURST_S};
use super::leadership::{Leadership, TokenRaise};
use super::messages::BackgroundEvent;
use crate::clients::{StateStore, TokenBucket};
use crate::control::membership::{self, AcquireError, PartitionKeyUpdate, PartitionRecord, RaisedFencingToken};
use crate::control::partition::{CommitOutcome, Superseded};
use crate::model::FencingTokenRange;
use crate::runtime::task;
use tokio::time::sleep;

impl PartitionLeader {
    /// Commits the changed records, or first raises the fencing token if that is needed.
    ///
    /// The rate of writes to the state service is limited. At most one commit is under way, with as
    /// many writes as the budget allows, and the partition puts the urgent ones first.
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
        let max_writes = leadership.write_budget.available_tokens(now);
        if max_writes == 0 {
            return;
        }
        if let Some(commit) = leadership.partition.next_commit(now, max_writes) {
            leadership.write_budget.spend(commit.writes.len());
            let (state, sender) = (self.state.clone(), self.sender(leadership.epoch));
            task::spawn(async move {
                let result = state.commit(&commit.conditions, &commit.writes).await;
                sender.send(BackgroundEvent::CommitEnded(result)).await;
            });
        }
    }

    /// Starts a raise of the fencing token.
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
            self.apply_lower_write_rate(leadership, now);
        }
        match leadership.partition.apply_commit_outcome(result) {
            Ok(keys) if !keys.is_empty() => self.reread(leadership.epoch, keys),
            Ok(_) => {}
            // The cause may be a raise of the fencing token by this leadership that was applied late.
            Err(Superseded) => {
                leadership.token_raise = TokenRaise::UnderWay;
                let (state, sender, id, lease_id) =
                    (self.state.clone(), self.sender(leadership.epoch), self.id, leadership.lease_id);
                task::spawn(async move { sender.send(read_partition_record(&state, id, lease_id).await).await });
            }
        }
    }

    /// Applies the lower write rate from the announced limits, after the state service has refused the
    /// present rate.
    fn apply_lower_write_rate(&self, leadership: &mut Leadership, now: u64) {
        leadership.partition.metrics_mut().count("limits_met", "write_rate");
        let limits = self.settings.write_limits();
        if leadership.partition.policy().writes_per_s > limits.lower_changes_per_s {
            tracing::info!(
                per_s = limits.lower_changes_per_s,
                "state service refused the write rate, lower rate applied"
            );
            leadership.partition.policy_mut().writes_per_s = limits.lower_changes_per_s;
            leadership.write_budget = TokenBucket::new(limits.lower_changes_per_s, WRITE_BURST_S, now);
            let burst = leadership.write_budget.available_tokens(now);
            leadership.write_budget.spend(burst);
        }
    }

    /// Handles the outcome of a raise of the fencing token.
    pub(super) fn token_raise_ended(&self, leadership: &mut Leadership, raised: Option<RaisedFencingToken>, now: u64) {
        leadership.token_raise = TokenRaise::Idle { not_before_ms: now + self.settings.react_ms() };
        if let Some(RaisedFencingToken { tokens, version }) = raised {
            tracing::info!(fencing_token = %tokens.first, last_token = %tokens.last, "fencing token raised");
            leadership.partition.set_fencing_tokens(tokens, version);
            leadership.key_version = version;
        }
    }

    /// Stops all work for the partition, because another node leads it or none does.
    pub(super) fn leadership_lost(&self, leadership: &mut Leadership) {
        leadership.loaded = false;
        self.leader_lease.set_valid_until(0);
        let lost = membership::ElectionMessage::LeadershipLost { lease_id: leadership.lease_id };
        let election = self.election.clone();
        // This actor does not wait for room in the election actor's mailbox. Sending fails only while the node
        // stops.
        task::spawn(async move { election.send(lost).await });
    }
}

/// Reads the partition's key after a commit has found it changed. A raise of the fencing token without
/// an answer may have been applied late. The key is then still attached to the lease of this
/// leadership, which continues under the higher token. Otherwise the leadership is lost.
async fn read_partition_record(state: &StateStore, partition: u32, lease_id: u64) -> BackgroundEvent {
    let found = loop {
        match state.get(&membership::partition_key(partition)).await {
            Ok((item, _)) => break item,
            // Retries until there is an answer: nothing can be committed before then either.
            Err(_) => sleep(state.retry_delay()).await,
        }
    };
    let own_key = found.and_then(|item| {
        let record: PartitionRecord = serde_json::from_value(item.value).ok()?;
        let tokens = FencingTokenRange::ending_at(record.fencing_token);
        (record.lease_id == lease_id).then_some(RaisedFencingToken { tokens, version: item.version })
    });
    own_key.map_or(BackgroundEvent::LeadershipLost, |raised| BackgroundEvent::TokenRaiseEnded(Some(raised)))
}
