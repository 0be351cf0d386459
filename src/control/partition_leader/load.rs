//! Reads of the partition's records from the state service.

use super::leader::PartitionLeader;
use super::leadership::Leadership;
use super::messages::BackgroundEvent;
use super::stored_records::{OptionalRecords, StoredRecords, read_keys};
use crate::clients::StateStore;
use crate::control::partition;
use crate::runtime::task;
use crate::wire::KeyValue;
use std::time::Duration;
use tokio::time::sleep;

impl PartitionLeader {
    /// Starts a read of the stored records, which is retried until it succeeds or leadership ends.
    pub(super) fn load(&self, leadership_epoch: u64) {
        let (state, sender) = (self.state.clone(), self.sender(leadership_epoch));
        let configuration = self.router.configuration.clone();
        let optional = OptionalRecords { pools: self.pools.is_some(), loans: self.borrowing.is_some() };
        task::spawn(async move {
            let mut attempts = 0;
            while sender.is_current() {
                attempts += 1;
                match StoredRecords::read(&state, configuration.as_ref(), optional).await {
                    Ok(records) => {
                        sender.send(BackgroundEvent::RecordsLoaded { records, attempts }).await;
                        return;
                    }
                    Err(error) if is_logged_attempt(attempts) => {
                        tracing::info!(attempts, %error, "failed to read the partition's records, retrying");
                    }
                    Err(_) => {}
                }
                sleep(state.retry_delay()).await;
            }
        });
    }

    /// Reads the records again that a commit has found changed.
    pub(super) fn reread(&self, leadership_epoch: u64, keys: Vec<String>) {
        let (state, sender) = (self.state.clone(), self.sender(leadership_epoch));
        task::spawn(async move {
            let mut items = Vec::new();
            for key in keys {
                if let Ok((Some(item), _)) = state.get(&key).await {
                    items.push(item);
                }
            }
            sender.send(BackgroundEvent::RecordsReread(items)).await;
        });
    }

    /// Starts a read of the indeterminate records of pools and loans, which is retried until it
    /// succeeds or leadership ends.
    pub(super) fn read_indeterminate_records(&self, leadership: &mut Leadership) {
        let keys = leadership.partition.reservation_keys_to_read();
        if leadership.reading_indeterminate || keys.is_empty() {
            return;
        }
        leadership.reading_indeterminate = true;
        let (state, sender) = (self.state.clone(), self.sender(leadership.epoch));
        task::spawn(async move {
            while sender.is_current() {
                if let Some(found) = read_keys(&state, &keys).await {
                    sender.send(BackgroundEvent::IndeterminateRecordsRead(found)).await;
                    return;
                }
                sleep(state.retry_delay()).await;
            }
        });
    }

    /// Handles the indeterminate records that were read.
    pub(super) fn indeterminate_read(&self, leadership: &mut Leadership, found: Vec<(String, Option<KeyValue>)>) {
        leadership.reading_indeterminate = false;
        leadership.partition.apply_reservation_records(found);
    }

    /// Reads the record of a machine that may now belong to another partition.
    pub(super) fn read_host_record(&self, leadership_epoch: u64, host: String) {
        let (state, sender) = (self.state.clone(), self.sender(leadership_epoch));
        task::spawn(async move {
            if let Ok((item, _)) = state.get(&partition::host_key(&host)).await {
                match item.map(|item| serde_json::from_value(item.value)).transpose() {
                    Ok(record) => _ = sender.send(BackgroundEvent::HostRecordRead { host, record }).await,
                    // The machine stays without an answer: the record may assign it to any partition.
                    Err(error) => {
                        tracing::error!(key = partition::host_key(&host), %error, "failed to decode host record");
                    }
                }
            }
        });
    }

    /// Starts periodic reads of the jobs that other nodes accept for this partition, until leadership
    /// ends.
    pub(super) fn watch_inbox(&self, leadership_epoch: u64) {
        let (state, sender) = (self.state.clone(), self.sender(leadership_epoch));
        let prefix = partition::inbox_key(self.id, "");
        let (wait_ms, retry_delay) = (self.settings.lease_ms(), Duration::from_millis(self.settings.react_ms()));
        task::spawn(async move {
            while sender.is_current() {
                let read = async {
                    let (_, revision) = state.get(&prefix).await.ok()?;
                    let items = accepted_jobs(&state, &prefix).await?;
                    let has_entries = !items.is_empty();
                    if !sender.send(BackgroundEvent::InboxRead(items)).await {
                        return None;
                    }
                    // While there are entries the list is read again after a delay: an entry stays listed
                    // until it is deleted.
                    if has_entries { None } else { state.changes(&prefix, revision, wait_ms).await.ok() }
                };
                if read.await.is_none() {
                    sleep(retry_delay).await;
                }
            }
        });
    }
}

/// Returns whether the failure of this attempt is logged: those whose number is a power of two, so that a long series
/// takes few lines.
fn is_logged_attempt(attempt: u32) -> bool {
    attempt.is_power_of_two()
}

/// Reads the records of the jobs that are listed under the prefix; returns `None` if a read failed.
async fn accepted_jobs(state: &StateStore, prefix: &str) -> Option<Vec<KeyValue>> {
    let mut items = Vec::new();
    for entry in state.list(prefix).await.ok()? {
        let id = entry.key.strip_prefix(prefix)?;
        items.extend(state.get(&partition::job_key(id)).await.ok()?.0);
    }
    Some(items)
}
