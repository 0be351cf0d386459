//! Main loop of the actor, and the handling of its messages.

use super::activity::{RequestKind, Step};
use super::leader::{LOANS_RETRY_LATER, POOLS_RETRY_LATER, PROVISIONER_PARTITION, PartitionLeader, WRITE_BURST_S};
use super::leadership::{Leadership, NewLeadership};
use super::messages::{BackgroundEvent, HeartbeatReply, PartitionMessage};
use super::requests::handle_while_follower;
use super::stored_records::StoredRecords;
use crate::api::refusal::RefusalReason;
use crate::clients::TokenBucket;
use crate::control::membership::{AcquiredLeadership, LeadershipChange};
use crate::control::partition::{Partition, UserAnswer};
use crate::provisioning::provisioner::Provisioner;
use crate::runtime::clock;
use crate::runtime::metrics::{Metrics, labelled_gauge_line};
use crate::scheduling::Policy;
use crate::settings::bounds::Bounds;
use crate::transport::peer::PeerResponse;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Largest number of messages that are handled in a batch after the first one.
const MAX_FURTHER_MESSAGES_PER_BATCH: usize = 64;

/// Largest burst of probes of machines, in seconds of their rate.
const PROBE_BURST_S: f64 = 1.0;

impl PartitionLeader {
    /// Runs the actor until all senders of one of the channels are dropped. Changes of leadership are
    /// handled first, so that nothing is done for a leadership that is known to have ended.
    pub async fn run(
        self,
        mut leadership_changes: mpsc::Receiver<LeadershipChange>,
        mut messages: mpsc::Receiver<PartitionMessage>,
    ) {
        let mut active: Option<Leadership> = None;
        let mut last_epoch = 0;
        // The metrics are counted across all leaderships of this node.
        let mut metrics = Metrics::default();
        loop {
            let sleep_duration = self.time_to_next_work(active.as_ref());
            tokio::select! {
                biased;
                change = leadership_changes.recv() => match change {
                    Some(LeadershipChange::Begin(acquired)) => {
                        last_epoch += 1;
                        let mut leadership = self.begin_leadership(last_epoch, acquired);
                        *leadership.partition.metrics_mut() = std::mem::take(&mut metrics);
                        active = Some(leadership);
                    }
                    Some(LeadershipChange::End) => {
                        // Ends the background tasks of the leadership.
                        self.current_epoch.store(0, Ordering::Relaxed);
                        if let Some(mut leadership) = active.take() {
                            metrics = std::mem::take(leadership.partition.metrics_mut());
                        }
                    }
                    None => return,
                },
                message = messages.recv() => match message {
                    Some(message) => self.handle_batch(active.as_mut(), message, &mut messages),
                    None => return,
                },
                () = sleep(sleep_duration) => {}
            }
            if let Some(leadership) = active.as_mut() {
                self.log_summary(leadership, clock::now_ms());
            }
            if let Some(leadership) = active.as_mut().filter(|leadership| leadership.loaded) {
                self.run_due_work(leadership);
            }
        }
    }

    /// Handles a message and further queued ones, before the work that is due.
    fn handle_batch(
        &self,
        active: Option<&mut Leadership>,
        first: PartitionMessage,
        messages: &mut mpsc::Receiver<PartitionMessage>,
    ) {
        let further = std::iter::from_fn(|| messages.try_recv().ok()).take(MAX_FURTHER_MESSAGES_PER_BATCH);
        let batch = std::iter::once(first).chain(further);
        match active {
            Some(leadership) => self.measure(leadership, Step::Messages, |leadership| {
                batch.for_each(|message| self.handle(leadership, message));
            }),
            None => batch.for_each(handle_while_follower),
        }
    }

    /// Returns how long the actor may sleep if no message comes.
    fn time_to_next_work(&self, active: Option<&Leadership>) -> Duration {
        let max_sleep_ms = self.settings.react_ms() / 2;
        let Some(leadership) = active.filter(|leadership| leadership.loaded) else {
            return Duration::from_millis(max_sleep_ms);
        };
        let now = clock::now_ms();
        let mut due_ms = leadership.timers.next_failure_detection_ms;
        if leadership.partition.is_cycle_due() {
            due_ms = due_ms.min(leadership.timers.next_cycle_ms);
        }
        if leadership.partition.is_urgent_cycle_due() {
            due_ms = due_ms.min(leadership.timers.next_urgent_cycle_ms);
        }
        Duration::from_millis(due_ms.saturating_sub(now).clamp(1, max_sleep_ms))
    }

    /// Creates the state of a new leadership, and starts reading the partition's records.
    fn begin_leadership(&self, epoch: u64, acquired: AcquiredLeadership) -> Leadership {
        self.current_epoch.store(epoch, Ordering::Relaxed);
        let now = clock::now_ms();
        let limits = self.settings.write_limits();
        let policy = Policy::new(&self.settings, &self.operator, acquired.start_ms);
        let teams = self.settings.partitions_of_teams(self.operator.partitions);
        let mut partition = Partition::new(policy, self.id, teams, limits);
        partition.set_fencing_tokens(acquired.tokens, acquired.version);
        if let Some(pools) = &self.pools {
            partition.enable_pools(pools.as_ref().clone(), now, clock::wall_ms());
        }
        if let Some(borrowing) = &self.borrowing {
            partition.enable_borrowing(borrowing.clone());
        }
        self.load(epoch);
        let probes_per_s = Bounds::new(&self.settings).probes_per_s;
        let new_leadership = NewLeadership {
            partition,
            provisioner: Provisioner::new(self.settings.params.cloud.list_lag_s),
            epoch,
            acquired,
            write_budget: TokenBucket::new(limits.changes_per_s, WRITE_BURST_S, now),
            probe_budget: probes_per_s.map(|rate| TokenBucket::new(rate, PROBE_BURST_S, now)),
        };
        Leadership::new(new_leadership, now)
    }

    /// Handles a message. All answers except the metrics are given only while the lease is valid,
    /// because an answer of a former leader may be out of date.
    fn handle(&self, leadership: &mut Leadership, message: PartitionMessage) {
        let now = clock::now_ms();
        let lease_valid = self.leader_lease.holds(now);
        let serving = lease_valid && leadership.loaded;
        // Failures to send a reply are ignored: the requester no longer waits for it.
        match message {
            PartitionMessage::Heartbeat { heartbeat, queued_ms, reply } => {
                leadership.record_request(RequestKind::Heartbeat, queued_ms, reply.is_closed(), now);
                let answer =
                    if lease_valid { self.heartbeat(leadership, &heartbeat, now) } else { HeartbeatReply::NotLeader };
                let _ = reply.send(answer);
            }
            PartitionMessage::CapacityReport { capacity_report, reply } => {
                let answer = if serving && self.id == PROVISIONER_PARTITION {
                    self.capacity_report(leadership, capacity_report, now)
                } else {
                    PeerResponse::Rejected
                };
                let _ = reply.send(answer);
            }
            PartitionMessage::TransferHost { host, to, reply } => {
                let transferred = serving && leadership.partition.transfer_host(&host, to);
                let _ = reply.send(if transferred { PeerResponse::Accepted } else { PeerResponse::Rejected });
            }
            PartitionMessage::User { call, queued_ms, reply } => {
                leadership.record_request(RequestKind::of(&call), queued_ms, reply.is_closed(), now);
                if serving {
                    self.user(leadership, call, reply, now);
                } else {
                    let _ = reply.send(UserAnswer::RetryLater(RefusalReason::FailoverUnderWay));
                }
            }
            PartitionMessage::PoolStatus(reply) => {
                let _ = reply.send(if serving { self.pool_status(leadership) } else { POOLS_RETRY_LATER });
            }
            PartitionMessage::LoanStatus(reply) => {
                let _ = reply.send(if serving { self.loan_status(leadership, now) } else { LOANS_RETRY_LATER });
            }
            PartitionMessage::Metrics(reply) => {
                let _ = reply.send(self.metrics_text(leadership, now));
            }
            // Reports of an earlier leadership are dropped.
            PartitionMessage::Background { leadership_epoch, event } if leadership_epoch == leadership.epoch => {
                self.handle_event(leadership, event, now);
            }
            PartitionMessage::Background { .. } => {}
        }
    }

    /// Returns the metrics of the partition in the text format of Prometheus.
    fn metrics_text(&self, leadership: &Leadership, now: u64) -> String {
        let label = self.id.to_string();
        let waiting = leadership.partition.waiting_jobs();
        let gauge = labelled_gauge_line("jobs_waiting_for_others", "partition", &label, waiting);
        let loans = if leadership.loaded { leadership.partition.loan_gauges(now) } else { String::new() };
        leadership.partition.metrics().text() + &gauge + &loans
    }

    /// Handles the report of a background task of the current leadership.
    fn handle_event(&self, leadership: &mut Leadership, event: BackgroundEvent, now: u64) {
        match event {
            BackgroundEvent::PendingMachines { pending_machines, refused } => {
                self.pending_machines(leadership, pending_machines, &refused, now);
            }
            BackgroundEvent::HostRecordRead { host, record } => {
                leadership.partition.apply_host_record(&host, record, now);
            }
            BackgroundEvent::RecordsLoaded { records, attempts } => {
                self.records_loaded(leadership, records, attempts, now);
            }
            BackgroundEvent::DirectCommandEnded { command, result } => {
                leadership.partition.apply_direct_command_outcome(&command, result, now);
            }
            BackgroundEvent::CommitEnded(result) => self.commit_ended(leadership, result, now),
            BackgroundEvent::RecordsReread(items) => {
                items.into_iter().for_each(|item| leadership.partition.apply_reread_record(item));
            }
            BackgroundEvent::InboxRead(items) => {
                items.into_iter().for_each(|item| leadership.partition.add_job_accepted_elsewhere(item, now));
            }
            BackgroundEvent::DependenciesRead { submission, found } => {
                leadership.partition.complete_dependency_lookup(submission, found, now, clock::wall_ms());
            }
            BackgroundEvent::ExternalDependenciesRead(read) => self.external_dependencies_read(leadership, read, now),
            BackgroundEvent::IndeterminateRecordsRead(found) => self.indeterminate_read(leadership, found),
            BackgroundEvent::TokenRaiseEnded(raised) => self.token_raise_ended(leadership, raised, now),
            BackgroundEvent::ConfigurationRecorded(applied_configuration) => {
                self.configuration_recorded(leadership, applied_configuration);
            }
            BackgroundEvent::LeadershipLost => self.leadership_lost(leadership),
            BackgroundEvent::ScaleOutEnded { name, result } => self.scale_out_ended(leadership, &name, result, now),
            BackgroundEvent::TerminationEnded { hosts, confirmed } => {
                self.termination_ended(leadership, hosts, confirmed);
            }
            BackgroundEvent::InstancesListed(list) => {
                for request in leadership.provisioner.process_list(&list, &leadership.partition, now) {
                    self.send_cloud_request(leadership, request);
                }
            }
            BackgroundEvent::InstanceTypesRead(instance_types) => {
                self.check_pool_machines(&instance_types);
                leadership.partition.set_instance_types(instance_types);
            }
        }
    }

    /// Begins the work of the leadership on the records that were read. Later calls have no effect: a
    /// second start would discard the orders that the partition has given since.
    fn records_loaded(&self, leadership: &mut Leadership, records: StoredRecords, attempts: u32, now: u64) {
        if leadership.loaded {
            return;
        }
        let took_ms = now.saturating_sub(leadership.began_ms);
        leadership.partition.metrics_mut().observe("record_load_ms", "all", took_ms);
        leadership.partition.metrics_mut().add("record_load_attempts", "all", u64::from(attempts));
        let (tokens, version) = (leadership.partition.fencing_tokens(), leadership.key_version);
        leadership.partition.begin_leadership(
            tokens,
            version,
            records.jobs,
            records.hosts,
            records.instance_types,
            now,
        );
        leadership.partition.restore_pools(records.pool_records, now);
        leadership.partition.restore_loans(records.loan_records);
        leadership.loaded = true;
        tracing::info!(
            fencing_token = %tokens.first,
            last_token = %tokens.last,
            jobs = leadership.partition.cluster().runnable_jobs.len(),
            hosts = leadership.partition.cluster().host_index.len(),
            attempts,
            took_ms,
            "partition records loaded"
        );
        self.watch_cloud(leadership.epoch, leadership.partition.cluster().instance_types.clone());
        self.watch_inbox(leadership.epoch);
    }
}
