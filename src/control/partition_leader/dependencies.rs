//! Reads of the records of dependencies: those that a submission names and the partition does not
//! know, and external dependencies, which belong to other partitions.

use super::leader::PartitionLeader;
use super::leadership::{ExternalDependencies, KnownExternalDependencies, Leadership};
use super::messages::BackgroundEvent;
use super::stored_records::ExternalDependencyRecords;
use crate::clients::{RequestError, StateStore};
use crate::control::partition::{DependencyLookup, JOB_PREFIX, job_key};
use crate::runtime::task;
use crate::wire::KeyValue;
use std::collections::HashSet;

impl PartitionLeader {
    /// Starts the lookups of dependencies that submissions wait for.
    pub(super) fn look_up_dependencies(&self, leadership: &mut Leadership) {
        for lookup in leadership.partition.take_lookups() {
            let (state, sender) = (self.state.clone(), self.sender(leadership.epoch));
            task::spawn(async move {
                let submission = lookup.submission;
                let found = read_lookup_records(&state, lookup).await;
                sender.send(BackgroundEvent::DependenciesRead { submission, found }).await;
            });
        }
    }

    /// Reads the jobs of other partitions that jobs of this one depend on. Once each has been read, one
    /// request reads the changes of all of them.
    pub(super) fn read_external_dependencies(&self, leadership: &mut Leadership, now: u64) {
        let ExternalDependencies::Idle { known, next_read_ms } = &mut leadership.external_dependencies else { return };
        if now < *next_read_ms {
            return;
        }
        let ids = leadership.partition.external_dependency_ids();
        if ids.is_empty() {
            *known = None;
            return;
        }
        let known = known.take();
        leadership.external_dependencies = ExternalDependencies::Reading;
        let (state, sender) = (self.state.clone(), self.sender(leadership.epoch));
        task::spawn(async move {
            let mut records = Vec::new();
            let known = read_changes(&state, ids, known, &mut records).await.ok();
            sender.send(BackgroundEvent::ExternalDependenciesRead(ExternalDependencyRecords { records, known })).await;
        });
    }

    /// Handles the records of jobs of other partitions.
    pub(super) fn external_dependencies_read(
        &self,
        leadership: &mut Leadership,
        read: ExternalDependencyRecords,
        now: u64,
    ) {
        let next_read_ms = now + self.settings.react_ms() / 2;
        leadership.external_dependencies = ExternalDependencies::Idle { known: read.known, next_read_ms };
        for item in read.records {
            if let Some(id) = item.key.strip_prefix(JOB_PREFIX).map(String::from) {
                leadership.partition.add_dependency_record(&id, item, now);
            }
        }
    }
}

/// Reads the records of the jobs of a lookup; returns `None` if one could not be read.
async fn read_lookup_records(state: &StateStore, lookup: DependencyLookup) -> Option<Vec<(String, Option<KeyValue>)>> {
    let mut found = Vec::new();
    for id in lookup.ids {
        let (item, _) = state.get(&job_key(&id)).await.ok()?;
        found.push((id, item));
    }
    Some(found)
}

/// Reads the jobs that were not read before, and the changes of the others since the last read. A
/// change from before the read of a job may be reported after it. This is harmless, because the end of
/// a job never changes.
async fn read_changes(
    state: &StateStore,
    ids: Vec<String>,
    known: Option<KnownExternalDependencies>,
    records: &mut Vec<KeyValue>,
) -> Result<KnownExternalDependencies, RequestError> {
    let mut known = match known {
        Some(known) => known,
        // No key equals the prefix: the request only returns the present revision.
        None => KnownExternalDependencies { revision: state.get(JOB_PREFIX).await?.1, ids: HashSet::new() },
    };
    known.ids.retain(|id| ids.contains(id));
    let changes = state.changes(JOB_PREFIX, known.revision, 0).await?;
    for change in changes.events {
        let id = change.key().strip_prefix(JOB_PREFIX).unwrap_or_default();
        if known.ids.contains(id)
            && let Some(value) = change.value.clone()
        {
            records.push(KeyValue { key: change.key().to_string(), value, version: change.version });
        }
    }
    known.revision = changes.revision;
    for id in ids {
        if !known.ids.contains(&id) {
            records.extend(state.get(&job_key(&id)).await?.0);
            known.ids.insert(id);
        }
    }
    Ok(known)
}
