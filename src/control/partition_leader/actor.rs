//! The actor: its loop, and where each message goes.

use super::answers::handle_while_follower;
use super::context::{PartitionLeader, RETRY_LOANS, RETRY_POOLS, WRITE_BURST_S};
use super::followed::FollowedConfiguration;
use super::leadership::Leadership;
use super::messages::{BackgroundEvent, HeartbeatReply, Message};
use super::stored_records::Loaded;
use crate::api::refusal::RefusalReason;
use crate::clients::TokenBucket;
use crate::control::membership::LeadershipChange;
use crate::control::partition::{Partition, UserAnswer};
use crate::model::FencingToken;
use crate::provisioning::provisioner::Provisioner;
use crate::runtime::clock;
use crate::runtime::metrics::labelled_gauge_line;
use crate::scheduling::Policy;
use crate::settings::bounds::Bounds;
use crate::transport::peer::PeerResponse;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Messages that are taken into a round beside the first one, at the most.
const MORE_PER_ROUND: usize = 64;

/// Questions to machines may come in bursts of so many seconds' worth.
const PROBE_BURST_S: f64 = 1.0;

impl PartitionLeader {
    /// Runs until nobody can send messages any more.
    pub async fn run(self, mut leadership_changes: mpsc::Receiver<LeadershipChange>, mut rx: mpsc::Receiver<Message>) {
        let mut active: Option<Leadership> = None;
        let mut n = 0;
        let mut metrics = Default::default();
        loop {
            let wake = self.next_wake(active.as_ref());
            tokio::select! {
                biased;
                t = leadership_changes.recv() => match t {
                    Some(LeadershipChange::Begin { fencing_token, version, lease_id, start_ms }) => {
                        n += 1;
                        self.current.store(n, Ordering::Relaxed);
                        let mut leadership = self.begin(n, fencing_token, version, lease_id, start_ms);
                        *leadership.partition.metrics_mut() = std::mem::take(&mut metrics);
                        active = Some(leadership);
                    }
                    Some(LeadershipChange::End) => {
                        self.current.store(0, Ordering::Relaxed);
                        if let Some(mut leadership) = active.take() {
                            metrics = std::mem::take(leadership.partition.metrics_mut());
                        }
                    }
                    None => return,
                },
                m = rx.recv() => match m {
                    Some(m) => {
                        self.handle(active.as_mut(), m);
                        // What has come meanwhile is taken into the same round.
                        for _ in 0..MORE_PER_ROUND {
                            let Ok(m) = rx.try_recv() else { break };
                            self.handle(active.as_mut(), m);
                        }
                    }
                    None => return,
                },
                () = sleep(wake) => {}
            }
            if let Some(leadership) = active.as_mut().filter(|leadership| leadership.loaded) {
                self.drive(leadership);
            }
        }
    }

    /// How long the actor may sleep if nothing comes.
    fn next_wake(&self, active: Option<&Leadership>) -> Duration {
        let most = self.settings.react_ms() / 2;
        let Some(leadership) = active.filter(|leadership| leadership.loaded) else {
            return Duration::from_millis(most);
        };
        let now = clock::now_ms();
        let mut at = leadership.next_failure_detection_ms;
        if leadership.partition.is_cycle_due() {
            at = at.min(leadership.next_cycle_ms);
        }
        if leadership.partition.is_urgent_cycle_due() {
            at = at.min(leadership.next_urgent_cycle_ms);
        }
        Duration::from_millis(at.saturating_sub(now).clamp(1, most))
    }

    fn begin(&self, n: u64, fencing_token: FencingToken, version: u64, lease_id: u64, start_ms: u64) -> Leadership {
        let now = clock::now_ms();
        let limits = self.settings.write_limits();
        let policy = Policy::new(&self.settings, &self.operator, start_ms);
        let teams = self.settings.partitions_of_teams(self.operator.partitions);
        let mut partition = Partition::new(policy, self.id, teams, limits);
        partition.set_fencing_token(fencing_token, version);
        if let Some(pools) = &self.pools {
            partition.enable_pools(pools.as_ref().clone(), now, clock::wall_ms());
        }
        if let Some(borrowing) = &self.borrowing {
            partition.enable_borrowing(borrowing.clone());
        }
        self.load(n);
        Leadership {
            partition,
            provisioner: Provisioner::new(self.settings.params.cloud.list_lag_s),
            n,
            lease_id,
            version,
            loaded: false,
            writes: TokenBucket::new(limits.changes_per_s, WRITE_BURST_S, now),
            raising: false,
            raise_after_ms: 0,
            token_check_due: true,
            commit_after_ms: 0,
            next_cycle_ms: 0,
            next_urgent_cycle_ms: 0,
            next_failure_detection_ms: 0,
            last_failure_detection_ms: now,
            probes: Bounds::new(&self.settings).probes_per_s.map(|rate| TokenBucket::new(rate, PROBE_BURST_S, now)),
            next_plan_ms: 0,
            known_external_dependencies: None,
            external_reads_under_way: false,
            next_external_read_ms: 0,
            followed: FollowedConfiguration::default(),
            reading_indeterminate: false,
            pending_machines: Vec::new(),
        }
    }

    fn handle(&self, active: Option<&mut Leadership>, m: Message) {
        let Some(leadership) = active else {
            handle_while_follower(m);
            return;
        };
        let now = clock::now_ms();
        let leader_lease = self.leader_lease.holds(now);
        match m {
            Message::Heartbeat { heartbeat, reply } => {
                let answer = if leader_lease {
                    self.heartbeat(leadership, &heartbeat, now)
                } else {
                    HeartbeatReply::NotEntitled
                };
                let _ = reply.send(answer);
            }
            Message::CapacityReport { capacity_report, reply } => {
                let known = leader_lease && leadership.loaded && self.id == 0;
                let _ = reply.send(if known {
                    self.capacity_report(leadership, capacity_report, now)
                } else {
                    PeerResponse::Rejected
                });
            }
            Message::TransferHost { host, to, reply } => {
                let given = leader_lease && leadership.loaded && leadership.partition.transfer_host(&host, to);
                let _ = reply.send(if given { PeerResponse::Accepted } else { PeerResponse::Rejected });
            }
            Message::User { call, reply } if leader_lease && leadership.loaded => {
                self.user(leadership, call, reply, now)
            }
            Message::User { reply, .. } => {
                let _ = reply.send(UserAnswer::RetryLater(RefusalReason::FailoverUnderWay));
            }
            Message::Pools(reply) => {
                let answer = if leader_lease && leadership.loaded { self.pool_status(leadership) } else { RETRY_POOLS };
                let _ = reply.send(answer);
            }
            Message::Loans(reply) => {
                let answer =
                    if leader_lease && leadership.loaded { self.loans_status(leadership, now) } else { RETRY_LOANS };
                let _ = reply.send(answer);
            }
            Message::Metrics(reply) => {
                let label = self.id.to_string();
                let waiting = leadership.partition.waiting_jobs();
                let gauge = labelled_gauge_line("jobs_waiting_for_others", "partition", &label, waiting);
                let loans = if leadership.loaded { leadership.partition.loan_gauges(now) } else { String::new() };
                let _ = reply.send(leadership.partition.metrics().text() + &gauge + &loans);
            }
            // One of an earlier session must not cycle for the one that is under way.
            Message::Background { leadership_epoch, event } if leadership_epoch == leadership.n => {
                self.handle_event(leadership, event, now)
            }
            Message::Background { .. } => {}
        }
    }

    fn handle_event(&self, leadership: &mut Leadership, event: BackgroundEvent, now: u64) {
        match event {
            BackgroundEvent::PendingMachine { pending_machines, refused } => {
                self.pending_machines(leadership, pending_machines, &refused, now)
            }
            BackgroundEvent::Rechecked { host, record } => leadership.partition.host_record_read(&host, record, now),
            BackgroundEvent::Loaded(loaded) => self.loaded(leadership, loaded, now),
            BackgroundEvent::DirectDone { command, result } => {
                leadership.partition.direct_command_done(&command, result, now)
            }
            BackgroundEvent::Committed(result) => self.committed(leadership, result, now),
            BackgroundEvent::Reread(items) => {
                for i in items {
                    leadership.partition.reread(i);
                }
            }
            BackgroundEvent::Inbox(items) => {
                for i in items {
                    leadership.partition.add_job_of_other_node(i, now);
                }
            }
            BackgroundEvent::DependenciesRead { submission, found } => {
                leadership.partition.dependencies_read(submission, found, now, clock::wall_ms());
            }
            BackgroundEvent::ExternalDependenciesRead(read) => self.external_dependencies_read(leadership, read, now),
            BackgroundEvent::IndeterminateRead(found) => self.indeterminate_read(leadership, found),
            BackgroundEvent::Raised(raised) => self.raised(leadership, raised, now),
            BackgroundEvent::ConfigurationRecorded(applied_configuration) => {
                self.configuration_recorded(leadership, applied_configuration)
            }
            BackgroundEvent::Superseded => self.superseded(leadership),
            BackgroundEvent::Rented { name, result } => self.rented(leadership, &name, result, now),
            BackgroundEvent::Released { hosts, confirmed } => self.released(leadership, hosts, confirmed),
            BackgroundEvent::ListedInstance(list) => {
                for op in leadership.provisioner.listed(&list, &leadership.partition, now) {
                    self.cloud_request(leadership, op);
                }
            }
            BackgroundEvent::InstanceTypes(instance_types) => {
                self.check_pool_machines(&instance_types);
                leadership.partition.set_instance_types(instance_types);
            }
        }
    }

    fn loaded(&self, leadership: &mut Leadership, l: Loaded, now: u64) {
        // Once: begun anew, the partition would forget what it has ordered since.
        if leadership.loaded {
            return;
        }
        let (fencing_token, version) = (leadership.partition.fencing_token(), leadership.version);
        leadership.partition.begin(fencing_token, version, l.jobs, l.hosts, l.instance_types, now);
        leadership.partition.begin_pools(l.pool_records, now);
        leadership.partition.begin_loans(l.loan_records);
        leadership.loaded = true;
        tracing::info!(
            %fencing_token,
            jobs = leadership.partition.cluster().live.len(),
            hosts = leadership.partition.cluster().host_index.len(),
            "loaded"
        );
        self.watch_cloud(leadership.n, leadership.partition.cluster().instance_types.clone());
        self.watch_inbox(leadership.n);
    }
}
