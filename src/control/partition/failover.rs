//! Taking a partition over: its records, its fencing tokens and the machines of the last leader.

use super::Partition;
use super::keys::{HOST_PREFIX, inbox_key};
use crate::model::FencingToken;
use crate::model::{Demand, Host, HostIndex, HostRecord, InstanceKind, InstanceType, JobRecord};
use crate::wire::Item;

/// Bits of an attempt's number below the fencing token that it began in.
const ATTEMPT_BITS: u32 = 32;

/// What a machine of unknown type may hold.
const UNBOUNDED: Demand = Demand { cpus: f64::INFINITY, gpus: f64::INFINITY, mem: f64::INFINITY };

impl Partition {
    /// Begins a fencing token with what the state service holds. Nothing is known of
    /// the machines until they report under this fencing token.
    pub fn begin(
        &mut self,
        fencing_token: FencingToken,
        version: u64,
        jobs: Vec<Item>,
        hosts: Vec<Item>,
        instance_types: Vec<InstanceType>,
        now: u64,
    ) {
        self.set_fencing_token(fencing_token, version);
        self.first_token = fencing_token;
        self.begun_ms = now;
        self.last_failure_detection_ms = now;
        self.cluster.instance_types = instance_types;
        for item in jobs {
            self.load_job(item, now);
        }
        // Once all are there that they may wait for.
        for job_index in 0..self.cluster.jobs.len() {
            self.enter_dependencies(job_index);
        }
        for item in hosts {
            self.load_host(item, now);
        }
        self.refresh_reconciliation();
    }

    /// Do the jobs of this team belong to this partition?
    pub(super) fn owns_team(&self, team: &str) -> bool {
        self.teams.get(team).is_none_or(|partition| *partition == self.id)
    }

    /// Takes a job of this partition from its record.
    fn load_job(&mut self, item: Item, now: u64) {
        match serde_json::from_value::<JobRecord>(item.value) {
            Ok(record) => {
                if self.owns_team(&record.spec.team) {
                    self.cluster.add_job(record.into_job(item.version, now));
                }
            }
            Err(e) => tracing::error!(key = item.key, error = %e, "unreadable job record"),
        }
    }

    /// Takes a machine from its record: as one of this partition, or as another's.
    fn load_host(&mut self, item: Item, now: u64) {
        let Some(id) = item.key.strip_prefix(HOST_PREFIX) else { return };
        match serde_json::from_value::<HostRecord>(item.value) {
            Ok(record) if record.partition == self.id => {
                self.add_registered(id.to_string(), record, now);
            }
            Ok(record) => {
                self.hosts_of_other_partitions.insert(id.to_string(), record.partition);
            }
            Err(e) => tracing::error!(key = item.key, error = %e, "unreadable machine record"),
        }
    }

    /// Adds a machine that the registry assigns to this partition.
    pub(super) fn add_registered(&mut self, id: String, r: HostRecord, now: u64) -> HostIndex {
        let instance_type = self.cluster.instance_type(&r.instance_type);
        let mut h = Host::new(id, r.zone, r.spot, instance_type, now);
        h.addr = r.addr;
        h.registered = true;
        h.required_token = self.first_token;
        self.cluster.add_host(h)
    }

    /// A job that another node accepted while it could not reach this one. It
    /// was not there when the records were read, so no earlier leader has
    /// started any of it.
    pub fn adopt_job(&mut self, item: Item, now: u64) {
        let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else { return };
        self.obsolete_keys.insert(inbox_key(self.id, &record.spec.id));
        if !self.cluster.job_index.contains_key(&record.spec.id) {
            tracing::info!(job = record.spec.id, "job accepted by another node");
            let mut job = record.into_job(item.version, now);
            job.fresh = true;
            let job_index = self.cluster.add_job(job);
            self.job_added(job_index);
            self.cycle_due = true;
        }
    }

    /// A new fencing token: attempts count on from it, so that none repeats. The same one again,
    /// with the key's version as it is now, begins no count anew.
    pub fn set_fencing_token(&mut self, fencing_token: FencingToken, version: u64) {
        if fencing_token > self.fencing_token {
            self.next_attempt = fencing_token.0 << ATTEMPT_BITS;
        }
        self.fencing_token = fencing_token;
        self.partition_version = version;
    }

    /// Takes the machine types as the cloud tells them now. Places in the list
    /// stay, for machines refer to them.
    pub fn set_instance_types(&mut self, instance_types: Vec<InstanceType>) {
        for f in instance_types {
            match self.cluster.instance_types.iter_mut().find(|o| o.name == f.name) {
                Some(old) => *old = f,
                None => self.cluster.instance_types.push(f),
            }
        }
        self.cycle_due = true;
    }

    /// The same if one was reconciled since. Until then it counts as one that is not, which
    /// holds back more and never less. After a failover thousands are reconciled within a
    /// second: a look at all machines for each of them would take longer than all else.
    pub fn refresh_unreconciled(&mut self) {
        if self.reconciliation_due {
            self.refresh_reconciliation();
        }
    }

    /// Looks again which machines of the last leader are still unreconciled.
    pub(super) fn refresh_reconciliation(&mut self) {
        self.reconciliation_due = false;
        let mut open = Demand::default();
        let mut kinds = Vec::new();
        let mut all = true;
        for (_, h) in self.cluster.each_host().filter(|(_, h)| h.registered && !h.reconciled) {
            all = false;
            let kind = InstanceKind { instance_type: h.instance_type, zone: h.zone.clone(), spot: h.spot };
            if !kinds.contains(&kind) {
                kinds.push(kind);
            }
            match h.instance_type {
                Some(f) => open.add(&self.cluster.instance_types[f].cap),
                None => open.add(&UNBOUNDED),
            }
        }
        if all && !self.cluster.all_reconciled {
            tracing::info!(fencing_token = %self.fencing_token, "all machines accounted for");
            self.cycle_due = true;
        }
        self.cluster.unreconciled = open;
        self.cluster.unreconciled_kinds = kinds;
        self.cluster.all_reconciled = all;
    }
}
