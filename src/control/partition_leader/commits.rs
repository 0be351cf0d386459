//! Commits of the partition's records, and raises of its fencing token.

use super::context::{PartitionLeader, WRITE_BURST_S};
use super::leadership::Leadership;
use super::messages::BackgroundEvent;
use crate::clients::{State, TokenBucket};
use crate::control::membership::{self, PartitionRecord, RaisedToken};
use crate::control::partition::{CommitOutcome, Superseded};
use crate::runtime::task;
use tokio::time::sleep;

impl PartitionLeader {
    /// Commits what has changed, or raises the fencing token if that must come first.
    pub(super) fn commit(&self, leadership: &mut Leadership, now: u64) {
        if leadership.raising || leadership.partition.is_committing() || now < leadership.commit_after_ms {
            return;
        }
        if leadership.token_check_due && now >= leadership.raise_after_ms {
            leadership.token_check_due = false;
            if leadership.partition.needs_higher_token() {
                self.raise_fencing_token(leadership);
                return;
            }
        }
        let ops = leadership.writes.available_tokens(now);
        if ops == 0 {
            return;
        }
        if let Some(c) = leadership.partition.next_commit(now, ops) {
            leadership.writes.spend(c.writes.len());
            let (state, sender) = (self.state.clone(), self.sender(leadership.n));
            task::spawn(async move {
                let result = state.commit(&c.conditions, &c.writes).await;
                sender.send(BackgroundEvent::Committed(result)).await;
            });
        }
    }

    fn raise_fencing_token(&self, leadership: &mut Leadership) {
        leadership.raising = true;
        let (state, sender) = (self.state.clone(), self.sender(leadership.n));
        let (id, node, version, lease_id) =
            (self.id, self.settings.node.clone(), leadership.version, leadership.lease_id);
        task::spawn(async move {
            let event = match membership::raise_fencing_token(&state, id, &node, version, lease_id).await {
                Ok(raised) => BackgroundEvent::Raised(Some(raised)),
                Err(CommitOutcome::Conflict { .. }) => read_partition_record(&state, id, lease_id).await,
                Err(_) => BackgroundEvent::Raised(None),
            };
            sender.send(event).await;
        });
    }

    /// Takes in how a commit ended.
    pub(super) fn committed(&self, leadership: &mut Leadership, result: CommitOutcome, now: u64) {
        let in_vain = |r: &CommitOutcome| !matches!(r, CommitOutcome::Done { .. } | CommitOutcome::Conflict { .. });
        if in_vain(&result) {
            leadership.commit_after_ms = now + self.settings.react_ms() / 5;
        }
        if matches!(result, CommitOutcome::Throttled) {
            self.slow_down(leadership, now);
        }
        match leadership.partition.committed(result) {
            Ok(keys) if !keys.is_empty() => self.reread(leadership.n, keys),
            Ok(_) => {}
            // It may be our own raise of the fencing token that came late.
            Err(Superseded) => {
                leadership.raising = true;
                let (state, sender, id, lease_id) =
                    (self.state.clone(), self.sender(leadership.n), self.id, leadership.lease_id);
                task::spawn(async move { sender.send(read_partition_record(&state, id, lease_id).await).await });
            }
        }
    }

    /// The service has refused the rate of changes: the lower one that was announced holds now.
    fn slow_down(&self, leadership: &mut Leadership, now: u64) {
        leadership.partition.metrics_mut().count("limits_met", "write_rate");
        let limits = self.settings.write_limits();
        if leadership.partition.policy().writes_per_s > limits.lower_changes_per_s {
            tracing::info!(per_s = limits.lower_changes_per_s, "the state service takes fewer changes");
            leadership.partition.policy_mut().writes_per_s = limits.lower_changes_per_s;
            leadership.writes = TokenBucket::new(limits.lower_changes_per_s, WRITE_BURST_S, now);
            let burst = leadership.writes.available_tokens(now);
            leadership.writes.spend(burst);
        }
    }

    /// Takes in how a raise of the fencing token ended.
    pub(super) fn raised(&self, leadership: &mut Leadership, raised: Option<RaisedToken>, now: u64) {
        leadership.raising = false;
        leadership.raise_after_ms = now + self.settings.react_ms();
        if let Some(RaisedToken { fencing_token, version }) = raised {
            tracing::info!(%fencing_token, "raised the fencing token");
            leadership.partition.set_fencing_token(fencing_token, version);
            leadership.version = version;
        }
    }

    /// Another node has the partition: nothing more may be done for it here.
    pub(super) fn superseded(&self, leadership: &mut Leadership) {
        leadership.loaded = false;
        self.leader_lease.set(0);
        let _ = self.members.try_send(membership::Message::Superseded);
    }
}

/// The partition's key is not as it was: what to tell its actor. A raise of the fencing token that had
/// no answer may have been carried out late: then the key's lease is still ours, and the
/// partition goes on under the later fencing token.
async fn read_partition_record(state: &State, partition: u32, lease_id: u64) -> BackgroundEvent {
    let found = loop {
        match state.get(&membership::partition_key(partition)).await {
            Ok((item, _)) => break item,
            // While this has no answer nothing can be committed either.
            Err(_) => sleep(state.pause()).await,
        }
    };
    let ours = found.and_then(|i| {
        let r: PartitionRecord = serde_json::from_value(i.value).ok()?;
        (r.lease_id == lease_id).then_some(RaisedToken { fencing_token: r.fencing_token, version: i.version })
    });
    ours.map_or(BackgroundEvent::Superseded, |raised| BackgroundEvent::Raised(Some(raised)))
}
