//! Reading the records of jobs that others wait for: of those that a submission names and the
//! partition does not know, and of those that belong to other partitions.

use super::context::PartitionLeader;
use super::followed::KnownExternalDependencies;
use super::leadership::Leadership;
use super::messages::BackgroundEvent;
use super::stored_records::ExternalRecords;
use crate::clients::{RequestError, State};
use crate::control::partition::{DependencyLookup, JOB_PREFIX, job_key};
use crate::runtime::task;
use crate::wire::Item;
use std::collections::HashSet;

impl PartitionLeader {
    /// Makes the lookups that submissions wait for.
    pub(super) fn look_up_dependencies(&self, leadership: &mut Leadership) {
        for lookup in leadership.partition.take_lookups() {
            let (state, sender) = (self.state.clone(), self.sender(leadership.n));
            task::spawn(async move {
                let submission = lookup.submission;
                let found = read_all(&state, lookup).await;
                sender.send(BackgroundEvent::DependenciesRead { submission, found }).await;
            });
        }
    }

    /// Learns what became of jobs of other partitions that are waited for: with one request a
    /// round for all of them together, once each was read.
    pub(super) fn read_externals(&self, leadership: &mut Leadership, now: u64) {
        if leadership.external_reads_under_way || now < leadership.next_external_read_ms {
            return;
        }
        let ids = leadership.partition.external_dependencies();
        if ids.is_empty() {
            leadership.known_external_dependencies = None;
            return;
        }
        leadership.external_reads_under_way = true;
        let (state, sender, known) =
            (self.state.clone(), self.sender(leadership.n), leadership.known_external_dependencies.take());
        task::spawn(async move {
            let mut records = Vec::new();
            let known = read_changes(&state, ids, known, &mut records).await.ok();
            sender.send(BackgroundEvent::ExternalDependenciesRead(ExternalRecords { records, known })).await;
        });
    }

    /// Takes in what was read of jobs of other partitions.
    pub(super) fn external_dependencies_read(&self, leadership: &mut Leadership, read: ExternalRecords, now: u64) {
        leadership.external_reads_under_way = false;
        leadership.next_external_read_ms = now + self.settings.react_ms() / 2;
        leadership.known_external_dependencies = read.known;
        for item in read.records {
            if let Some(id) = item.key.strip_prefix(JOB_PREFIX).map(String::from) {
                leadership.partition.add_dependency_record(&id, item, now);
            }
        }
    }
}

/// The records that a lookup asks for; `None` if one could not be read.
async fn read_all(state: &State, lookup: DependencyLookup) -> Option<Vec<(String, Option<Item>)>> {
    let mut found = Vec::new();
    for id in lookup.ids {
        let (item, _) = state.get(&job_key(&id)).await.ok()?;
        found.push((id, item));
    }
    Some(found)
}

/// Reads the jobs that were not read before, and the changes of all of them since. A change
/// that came before the reading of a job may be told after it: ends never change.
async fn read_changes(
    state: &State,
    ids: Vec<String>,
    known: Option<KnownExternalDependencies>,
    records: &mut Vec<Item>,
) -> Result<KnownExternalDependencies, RequestError> {
    let mut known = match known {
        Some(known) => known,
        // No key has the prefix alone as its name: the answer tells the present revision.
        None => KnownExternalDependencies { revision: state.get(JOB_PREFIX).await?.1, ids: HashSet::new() },
    };
    known.ids.retain(|id| ids.contains(id));
    let changes = state.changes(JOB_PREFIX, known.revision, 0).await?;
    for change in changes.events {
        let id = change.key().strip_prefix(JOB_PREFIX).unwrap_or_default();
        if known.ids.contains(id)
            && let Some(value) = change.value.clone()
        {
            records.push(Item { key: change.key().to_string(), value, version: change.version });
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
