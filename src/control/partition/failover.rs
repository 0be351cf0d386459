//! Failover: initialisation of a new leader from the stored records and the hosts of the previous
//! leader.

use super::Partition;
use super::keys::{HOST_PREFIX, inbox_key};
use crate::model::FencingTokenRange;
use crate::model::{Host, HostIndex, HostRecord, InstanceType, JobRecord};
use crate::wire::KeyValue;

impl Partition {
    /// Starts the leadership with these fencing tokens and the records of the state service. The state of
    /// the hosts is unknown until they report under this token. Until then, nothing is placed that an
    /// unreconciled host may hold or may still start.
    pub fn begin_leadership(
        &mut self,
        tokens: FencingTokenRange,
        version: u64,
        jobs: Vec<KeyValue>,
        hosts: Vec<KeyValue>,
        instance_types: Vec<InstanceType>,
        now: u64,
    ) {
        self.epoch.begin(tokens, version, now);
        self.failure_detector.begin(now);
        self.cluster.instance_types = instance_types;
        for item in jobs {
            self.load_job(item, now);
        }
        // Dependencies are registered once all jobs are loaded.
        for job_index in 0..self.cluster.jobs.len() {
            self.register_dependencies(job_index);
        }
        for item in hosts {
            self.load_host(item, now);
        }
        self.count_unreconciled();
    }

    /// Loads a job of this partition from its record.
    fn load_job(&mut self, item: KeyValue, now: u64) {
        match serde_json::from_value::<JobRecord>(item.value) {
            Ok(record) => {
                if self.teams.owns_team(&record.spec.team) {
                    self.cluster.add_job(record.into_job(item.version, now));
                }
            }
            Err(error) => {
                tracing::error!(key = item.key, %error, "failed to decode job record");
                self.metrics.count("unreadable_records", "job");
            }
        }
    }

    /// Loads a host from its record, as one of this partition or of another. A record that cannot be read is
    /// never taken for absent: its host may hold tasks of this partition.
    fn load_host(&mut self, item: KeyValue, now: u64) {
        let Some(id) = item.key.strip_prefix(HOST_PREFIX) else { return };
        match serde_json::from_value::<HostRecord>(item.value) {
            Ok(record) if record.partition == self.id() => {
                self.add_registered(id.to_string(), record, now);
            }
            Ok(record) => {
                self.host_directory.assign(id.to_string(), record.partition);
            }
            Err(error) => {
                tracing::error!(key = item.key, %error, "failed to decode host record");
                self.metrics.count("unreadable_records", "host");
                self.reconciliation.add_unreadable_host(id.to_string());
            }
        }
    }

    /// Adds a host that the registry assigns to this partition.
    pub(super) fn add_registered(&mut self, id: String, record: HostRecord, now: u64) -> HostIndex {
        let instance_type = self.cluster.instance_type(&record.instance_type);
        let mut host = Host::new(id, record.zone, record.spot, instance_type, now);
        host.addr = record.addr;
        host.registered = true;
        host.required_token = self.epoch.first_token();
        self.cluster.add_host(host)
    }

    /// Adds a job that another node accepted while it could not reach this one. Its record did not exist
    /// when this leader read the records, so no earlier leader has started any of its tasks.
    pub fn add_job_accepted_elsewhere(&mut self, item: KeyValue, now: u64) {
        let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else { return };
        self.commit_queue.mark_obsolete(inbox_key(self.id(), &record.spec.id));
        if !self.cluster.job_index.contains_key(&record.spec.id) {
            tracing::info!(job = record.spec.id, "added job accepted by another node");
            let mut job = record.into_job(item.version, now);
            job.unknown_to_earlier_leaders = true;
            let job_index = self.cluster.add_job(job);
            self.register_job(job_index);
            self.scheduling_triggers.request_cycle();
        }
    }

    /// Updates the instance types from the current list of the cloud. Positions in the list do not
    /// change, because hosts refer to them by index.
    pub fn set_instance_types(&mut self, instance_types: Vec<InstanceType>) {
        for instance_type in instance_types {
            match self.cluster.instance_types.iter_mut().find(|known| known.name == instance_type.name) {
                Some(old) => *old = instance_type,
                None => self.cluster.instance_types.push(instance_type),
            }
        }
        self.scheduling_triggers.request_cycle();
    }

    /// Recounts the unreconciled hosts if one was reconciled since the last count.
    pub fn recount_unreconciled(&mut self) {
        if self.reconciliation.is_count_due() {
            self.count_unreconciled();
        }
    }

    /// Counts the hosts of the previous leader that are still unreconciled.
    pub(super) fn count_unreconciled(&mut self) {
        if self.reconciliation.count(&mut self.cluster) {
            tracing::info!(fencing_token = %self.epoch.fencing_token(), "all hosts reconciled");
            self.scheduling_triggers.request_cycle();
        }
    }
}
