//! The actor: its loop, and where each message goes.

use super::active_term::ActiveTerm;
use super::answers::handle_idle;
use super::followed::FollowedConfiguration;
use super::messages::{HeartbeatReply, Message, SessionEvent};
use super::partition_owner::{PartitionOwner, RETRY_LOANS, RETRY_POOLS, WRITE_BURST_S};
use super::stored_records::Loaded;
use crate::bounds::Bounds;
use crate::clients::TokenBucket;
use crate::clock;
use crate::membership::OwnershipChange;
use crate::metrics::labelled_gauge_line;
use crate::partition::{Partition, UserAnswer};
use crate::peer::PeerResponse;
use crate::provisioner::Provisioner;
use crate::refusal::RefusalReason;
use crate::sched::Policy;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Messages that are taken into a round beside the first one, at the most.
const MORE_PER_ROUND: usize = 64;

/// Questions to machines may come in bursts of so many seconds' worth.
const PROBE_BURST_S: f64 = 1.0;

impl PartitionOwner {
    /// Runs until nobody can send messages any more.
    pub async fn run(self, mut ownership_changes: mpsc::Receiver<OwnershipChange>, mut rx: mpsc::Receiver<Message>) {
        let mut held: Option<ActiveTerm> = None;
        let mut n = 0;
        let mut metrics = Default::default();
        loop {
            let wake = self.next_wake(held.as_ref());
            tokio::select! {
                biased;
                t = ownership_changes.recv() => match t {
                    Some(OwnershipChange::Begin { term, version, grant, start_ms }) => {
                        n += 1;
                        self.current.store(n, Ordering::Relaxed);
                        let mut active_term = self.begin(n, term, version, grant, start_ms);
                        active_term.partition.metrics = std::mem::take(&mut metrics);
                        held = Some(active_term);
                    }
                    Some(OwnershipChange::End) => {
                        self.current.store(0, Ordering::Relaxed);
                        if let Some(h) = held.take() {
                            metrics = h.partition.metrics;
                        }
                    }
                    None => return,
                },
                m = rx.recv() => match m {
                    Some(m) => {
                        self.handle(held.as_mut(), m);
                        // What has come meanwhile is taken into the same round.
                        for _ in 0..MORE_PER_ROUND {
                            let Ok(m) = rx.try_recv() else { break };
                            self.handle(held.as_mut(), m);
                        }
                    }
                    None => return,
                },
                () = sleep(wake) => {}
            }
            if let Some(h) = held.as_mut().filter(|h| h.loaded) {
                self.drive(h);
            }
        }
    }

    /// How long the actor may sleep if nothing comes.
    fn next_wake(&self, held: Option<&ActiveTerm>) -> Duration {
        let most = self.settings.react_ms() / 2;
        let Some(h) = held.filter(|h| h.loaded) else { return Duration::from_millis(most) };
        let now = clock::now_ms();
        let mut at = h.next_upkeep_ms;
        if h.partition.pass_due {
            at = at.min(h.next_pass_ms);
        }
        if h.partition.urgent_pass_due {
            at = at.min(h.next_urgent_ms);
        }
        Duration::from_millis(at.saturating_sub(now).clamp(1, most))
    }

    fn begin(&self, n: u64, term: u64, version: u64, grant: u64, start_ms: u64) -> ActiveTerm {
        let now = clock::now_ms();
        let limits = self.settings.write_limits();
        let policy = Policy::new(&self.settings, &self.operator, start_ms);
        let teams = self.settings.partitions_of_teams(self.operator.partitions);
        let mut partition = Partition::new(policy, self.id, teams, limits);
        partition.set_term(term, version);
        if let Some(pools) = &self.pools {
            partition.enable_pools(pools.as_ref().clone(), now, clock::wall_ms());
        }
        if let Some(borrowing) = &self.borrowing {
            partition.enable_borrowing(borrowing.clone());
        }
        self.load(n);
        ActiveTerm {
            partition,
            provisioner: Provisioner::new(self.settings.params.cloud.list_lag_s),
            n,
            grant,
            version,
            loaded: false,
            writes: TokenBucket::new(limits.changes_per_s, WRITE_BURST_S, now),
            raising: false,
            raise_after_ms: 0,
            term_check_due: true,
            commit_after_ms: 0,
            next_pass_ms: 0,
            next_urgent_ms: 0,
            next_upkeep_ms: 0,
            upkeep_ms: now,
            probes: Bounds::new(&self.settings).probes_per_s.map(|rate| TokenBucket::new(rate, PROBE_BURST_S, now)),
            next_plan_ms: 0,
            known_externals: None,
            externals_under_way: false,
            next_externals_ms: 0,
            followed: FollowedConfiguration::default(),
            reading_unclear: false,
            pending_machines: Vec::new(),
        }
    }

    fn handle(&self, held: Option<&mut ActiveTerm>, m: Message) {
        let Some(h) = held else {
            handle_idle(m);
            return;
        };
        let now = clock::now_ms();
        let entitled = self.entitled.holds(now);
        match m {
            Message::Heartbeat { report, reply } => {
                let answer = if entitled { self.heartbeat(h, &report, now) } else { HeartbeatReply::NotEntitled };
                let _ = reply.send(answer);
            }
            Message::CapacityReport { capacity_report, reply } => {
                let known = entitled && h.loaded && self.id == 0;
                let _ =
                    reply.send(if known { self.capacity_report(h, capacity_report, now) } else { PeerResponse::No });
            }
            Message::TransferHost { host, to, reply } => {
                let given = entitled && h.loaded && h.partition.transfer_host(&host, to);
                let _ = reply.send(if given { PeerResponse::Promised } else { PeerResponse::No });
            }
            Message::User { call, reply } if entitled && h.loaded => self.user(h, call, reply, now),
            Message::User { reply, .. } => {
                let _ = reply.send(UserAnswer::RetryLater(RefusalReason::TakeoverUnderWay));
            }
            Message::Pools(reply) => {
                let answer = if entitled && h.loaded { self.pool_status(h) } else { RETRY_POOLS };
                let _ = reply.send(answer);
            }
            Message::Loans(reply) => {
                let answer = if entitled && h.loaded { self.loans_status(h, now) } else { RETRY_LOANS };
                let _ = reply.send(answer);
            }
            Message::Metrics(reply) => {
                let label = self.id.to_string();
                let waiting = h.partition.waiting_jobs();
                let gauge = labelled_gauge_line("jobs_waiting_for_others", "partition", &label, waiting);
                let loans = if h.loaded { h.partition.loan_gauges(now) } else { String::new() };
                let _ = reply.send(h.partition.metrics.text() + &gauge + &loans);
            }
            // One of an earlier session must not pass for the one that is under way.
            Message::Session { session, event } if session == h.n => self.handle_event(h, event, now),
            Message::Session { .. } => {}
        }
    }

    fn handle_event(&self, h: &mut ActiveTerm, event: SessionEvent, now: u64) {
        match event {
            SessionEvent::PendingMachine { pending_machines, refused } => {
                self.pending_machines(h, pending_machines, &refused, now)
            }
            SessionEvent::Rechecked { host, record } => h.partition.rechecked(&host, record, now),
            SessionEvent::Loaded(loaded) => self.loaded(h, loaded, now),
            SessionEvent::DirectDone { command, result } => h.partition.direct_done(&command, result, now),
            SessionEvent::Committed(result) => self.committed(h, result, now),
            SessionEvent::Reread(items) => {
                for i in items {
                    h.partition.reread(i);
                }
            }
            SessionEvent::Inbox(items) => {
                for i in items {
                    h.partition.adopt_job(i, now);
                }
            }
            SessionEvent::PredecessorsRead { submission, found } => {
                h.partition.looked_up(submission, found, now, clock::wall_ms());
            }
            SessionEvent::ExternalsRead(read) => self.externals_read(h, read, now),
            SessionEvent::UnclearRead(found) => self.unclear_read(h, found),
            SessionEvent::Raised(raised) => self.raised(h, raised, now),
            SessionEvent::ConfigurationRecorded(obeyed) => self.configuration_recorded(h, obeyed),
            SessionEvent::Superseded => self.superseded(h),
            SessionEvent::Rented { name, result } => self.rented(h, &name, result, now),
            SessionEvent::Released { hosts, confirmed } => self.released(h, hosts, confirmed),
            SessionEvent::Listed(list) => {
                for op in h.provisioner.listed(&list, &h.partition, now) {
                    self.cloud_request(h, op);
                }
            }
            SessionEvent::Flavors(flavors) => {
                self.check_pool_machines(&flavors);
                h.partition.set_flavors(flavors);
            }
        }
    }

    fn loaded(&self, h: &mut ActiveTerm, l: Loaded, now: u64) {
        // Once: begun anew, the partition would forget what it has ordered since.
        if h.loaded {
            return;
        }
        let (term, version) = (h.partition.term, h.version);
        h.partition.begin(term, version, l.jobs, l.hosts, l.flavors, now);
        h.partition.begin_pools(l.pool_records, now);
        h.partition.begin_loans(l.loan_records);
        h.loaded = true;
        tracing::info!(
            term,
            jobs = h.partition.cluster.live.len(),
            hosts = h.partition.cluster.host_index.len(),
            "loaded"
        );
        self.watch_cloud(h.n, h.partition.cluster.flavors.clone());
        self.watch_inbox(h.n);
    }
}
