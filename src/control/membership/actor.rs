//! The actor of a partition's membership: carries out what the rules say.

use super::failover::{read_previous_leader, take};
use super::leader_lease::{LeaderLease, PledgeStatus};
use super::messages::{AcquiredLeadership, LeaderStatus, LeadershipChange, Message};
use super::records::PartitionRecord;
use super::rules::{MembershipRules, Role};
use super::succession::Succession;
use super::watch::watch_partition;
use crate::clients::{RequestError, StateStore};
use crate::model::FencingToken;
use crate::runtime::clock;
use crate::runtime::metrics::SharedMetrics;
use crate::runtime::task;
use crate::transport::peer::{Peer, PeerRequest, PeerResponse};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// What a membership actor works with.
pub struct Membership {
    /// Number of the partition.
    pub partition: u32,
    /// Name of this node.
    pub node: String,
    /// Life of leases and pledges.
    pub leader_lease_ttl_ms: u64,
    /// Length of the leases of workers.
    pub lease_ms: u64,
    /// The state service.
    pub state: StateStore,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// Which of them succeeds whom.
    pub succession: Succession,
    /// Published: until when this node may act.
    pub leader_lease: LeaderLease,
    /// Published: the pledges given and had.
    pub pledge_status: PledgeStatus,
    /// Published: who holds the partition.
    pub leader_status: watch::Sender<LeaderStatus>,
    /// The way to the partition's actor.
    pub leadership_changes: mpsc::Sender<LeadershipChange>,
    /// Partitions that this node holds, so that partitions spread over the nodes.
    pub held: Arc<AtomicUsize>,
    /// Counts of the partitions taken and lost.
    pub metrics: SharedMetrics,
    /// Pause before a first take, for a partition that is rather another node's.
    pub initial_delay_ms: u64,
}

impl Membership {
    /// Runs until nobody can send messages any more.
    pub async fn run(self, tx: mpsc::Sender<Message>, mut rx: mpsc::Receiver<Message>) {
        let mut rules = MembershipRules::new(&self.node, self.leader_lease_ttl_ms, self.peers.len(), clock::now_ms());
        rules.record_read = false;
        self.pledge_status.set(&rules);
        // Promises are given meanwhile: in an outage the look takes as long as that.
        task::spawn(read_previous_leader(
            self.state.clone(),
            self.partition,
            self.node.clone(),
            self.leader_lease_ttl_ms,
            tx.clone(),
        ));
        task::spawn(watch_partition(self.state.clone(), self.partition, self.leader_lease_ttl_ms, tx.clone()));
        let mut tick = tokio::time::interval(Duration::from_millis(self.leader_lease_ttl_ms / 5));
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                m = rx.recv() => match m {
                    Some(m) => self.handle(&mut rules, m).await,
                    None => return,
                },
                _ = tick.tick() => self.renew(&mut rules, &tx),
            }
            self.publish(&mut rules);
            if rules.may_campaign(clock::now_ms()) {
                rules.role = Role::Candidate;
                task::spawn(take(
                    self.state.clone(),
                    self.partition,
                    self.node.clone(),
                    self.leader_lease_ttl_ms,
                    tx.clone(),
                ));
            }
        }
    }

    /// Lets the rest of the node know how things stand.
    fn publish(&self, rules: &mut MembershipRules) {
        self.leader_lease.set(rules.lease_valid_until());
        rules.note_token();
        self.pledge_status.set(rules);
        let is_self = matches!(rules.role, Role::Leader { .. });
        let leader = if is_self { Some(self.node.clone()) } else { rules.record.as_ref().map(|r| r.leader.clone()) };
        let leader_status = LeaderStatus { leader, is_self };
        self.leader_status.send_if_modified(|s| std::mem::replace(s, leader_status.clone()) != leader_status);
    }

    /// Renews the lease and the pledges of the partition that this node holds.
    fn renew(&self, rules: &mut MembershipRules, tx: &mpsc::Sender<Message>) {
        let sent = clock::now_ms();
        rules.note_expiry(sent);
        let Role::Leader { lease_id, fencing_token, expired, .. } = rules.role else { return };
        self.renew_grant(lease_id, sent, tx);
        // Promises would only keep the others from keeping leases alive.
        if !expired {
            self.renew_promises(fencing_token, sent, tx);
        }
    }

    fn renew_grant(&self, lease_id: u64, sent: u64, tx: &mpsc::Sender<Message>) {
        let (state, life, tx) = (self.state.clone(), self.leader_lease_ttl_ms, tx.clone());
        task::spawn(async move {
            let result = state.renew_lease(lease_id, life).await;
            let _ = tx.send(Message::Extended { lease_id, sent, result }).await;
        });
    }

    fn renew_promises(&self, fencing_token: FencingToken, sent: u64, tx: &mpsc::Sender<Message>) {
        let request = PeerRequest::Pledge {
            partition: self.partition,
            leader: self.node.clone(),
            fencing_token,
            for_ms: self.leader_lease_ttl_ms,
            state_ok: self.state.is_responsive(self.leader_lease_ttl_ms),
        };
        for (i, p) in self.peers.iter().enumerate() {
            let (p, request, tx) = (p.clone(), request.clone(), tx.clone());
            let limit = Duration::from_millis(self.leader_lease_ttl_ms / 2);
            task::spawn(async move {
                let ok = p.request(request, limit).await == Some(PeerResponse::Accepted);
                let _ = tx.send(Message::Pledged { peer: i, sent, ok }).await;
            });
        }
    }

    async fn handle(&self, rules: &mut MembershipRules, m: Message) {
        let now = clock::now_ms();
        match m {
            Message::Pledge { leader, fencing_token, for_ms, state_ok, reply } => {
                let ok = self.pledge(rules, now, leader, fencing_token, for_ms, state_ok).await;
                let _ = reply.send(ok);
            }
            Message::RecordRead { record, unbound } => self.previous_owner_read(rules, now, record, unbound),
            Message::Seen(record) => self.seen(rules, now, record),
            Message::Extended { lease_id, sent, result } => self.extended(rules, now, lease_id, sent, result).await,
            Message::Pledged { peer, sent, ok: true } => rules.pledged(peer, sent, now),
            Message::Pledged { ok: false, .. } => {}
            Message::ReleasePledge { fencing_token } => rules.release_pledge(now, fencing_token),
            Message::YieldLeadership => self.yield_leadership(rules, now).await,
            Message::Superseded => {
                if matches!(rules.role, Role::Leader { .. }) {
                    self.step_down(rules, "superseded").await;
                }
            }
            Message::AcquiredLeadership { sent, result: Some(taken) } => self.taken(rules, &taken, sent).await,
            Message::AcquiredLeadership { result: None, .. } => {
                rules.role = Role::Follower;
                rules.retry_after = now + self.leader_lease_ttl_ms / 10;
            }
        }
    }

    /// Answers a leader that asks for a pledge.
    async fn pledge(
        &self,
        rules: &mut MembershipRules,
        now: u64,
        leader: String,
        fencing_token: FencingToken,
        for_ms: u64,
        state_ok: bool,
    ) -> bool {
        if rules.superseded_by(now, fencing_token) {
            self.step_down(rules, "another holds it").await;
        }
        let own_state_ok = self.state.is_responsive(self.leader_lease_ttl_ms);
        let ok = rules.pledge(now, (&leader, fencing_token), for_ms, state_ok, own_state_ok);
        // Without the state service, who asks is the only news of who holds the partition.
        if ok && !own_state_ok {
            rules.record = Some(PartitionRecord { leader, fencing_token, lease_id: 0 });
        }
        ok
    }

    fn previous_owner_read(
        &self,
        rules: &mut MembershipRules,
        now: u64,
        record: Option<PartitionRecord>,
        unbound: bool,
    ) {
        rules.record_read = true;
        rules.record = record;
        if unbound {
            rules.unbound();
        }
        rules.retry_after = now + self.initial_delay_ms;
    }

    fn seen(&self, rules: &mut MembershipRules, now: u64, record: Option<PartitionRecord>) {
        // What a leader sees of itself is no news, and may be old.
        if matches!(rules.role, Role::Leader { .. }) {
            return;
        }
        if let (None, Some(lost)) = (&record, &rules.record) {
            rules.retry_after = rules.retry_after.max(now + self.failover_delay_ms(&lost.leader));
        }
        rules.record = record;
    }

    /// How long this node leaves the partition of a lost leader to others: who holds less
    /// goes first, then whom the workers try next.
    fn failover_delay_ms(&self, lost_owner: &str) -> u64 {
        let held = self.held.load(Ordering::Relaxed) as u64;
        let nodes_before = self.succession.nodes_before(lost_owner) as u64;
        held * self.leader_lease_ttl_ms / 10 + nodes_before * self.leader_lease_ttl_ms / 5
    }

    async fn extended(
        &self,
        rules: &mut MembershipRules,
        now: u64,
        of: u64,
        sent: u64,
        result: Result<(), RequestError>,
    ) {
        match result {
            Ok(()) => rules.extended(of, sent, now),
            Err(RequestError::NotFound) => {
                if matches!(rules.role, Role::Leader { lease_id, .. } if lease_id == of) {
                    self.step_down(rules, "the grant has ended").await;
                }
            }
            Err(_) => {}
        }
    }

    /// Leaves the partition to the others, and lets them know at once.
    async fn yield_leadership(&self, rules: &mut MembershipRules, now: u64) {
        let pause_ms = 2 * self.lease_ms;
        let Role::Leader { fencing_token, .. } = rules.role else { return };
        if !rules.may_yield_leadership(now, pause_ms) {
            return;
        }
        self.step_down(rules, "its workers are not heard").await;
        rules.retry_after = now + pause_ms;
        for p in &self.peers {
            let (p, request) = (p.clone(), PeerRequest::ReleasePledge { partition: self.partition, fencing_token });
            let limit = Duration::from_millis(self.leader_lease_ttl_ms / 2);
            task::spawn(async move { p.request(request, limit).await });
        }
    }

    async fn taken(&self, rules: &mut MembershipRules, t: &AcquiredLeadership, sent: u64) {
        tracing::info!(partition = self.partition, fencing_token = %t.fencing_token, "partition taken");
        self.metrics.count("partitions_taken", &self.partition.to_string());
        self.held.fetch_add(1, Ordering::Relaxed);
        rules.begin(t, sent);
        rules.record =
            Some(PartitionRecord { leader: rules.node.clone(), fencing_token: t.fencing_token, lease_id: t.lease_id });
        let (fencing_token, version, lease_id, start_ms) = (t.fencing_token, t.version, t.lease_id, t.start_ms);
        let _ =
            self.leadership_changes.send(LeadershipChange::Begin { fencing_token, version, lease_id, start_ms }).await;
    }

    async fn step_down(&self, rules: &mut MembershipRules, why: &str) {
        tracing::warn!(partition = self.partition, why, "partition lost");
        self.metrics.count("partitions_lost", why);
        self.held.fetch_sub(1, Ordering::Relaxed);
        if let Role::Leader { lease_id, .. } = rules.role {
            let state = self.state.clone();
            task::spawn(async move { state.revoke_lease(lease_id).await });
        }
        rules.role = Role::Follower;
        rules.record = None;
        rules.retry_after = clock::now_ms() + self.leader_lease_ttl_ms / 5;
        self.leader_lease.set(0);
        let _ = self.leadership_changes.send(LeadershipChange::End).await;
    }
}
