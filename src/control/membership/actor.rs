//! Election actor of a partition: performs the I/O of the [`Election`] state machine, and publishes
//! its state.

use super::campaign::{CampaignParameters, campaign, check_earlier_pledges};
use super::election::{Election, Role};
use super::failover_order::FailoverOrder;
use super::leader_lease::{LeaderLease, PledgeStatus};
use super::leader_state::LeaderState;
use super::messages::{
    AcquiredLeadership, EarlierPledges, ElectionMessage, LeaderStatus, LeadershipChange, PledgeRequest,
};
use super::partition_watch::watch_partition;
use super::records::PartitionRecord;
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
use tokio::time::{MissedTickBehavior, interval};

/// Number of renewals of the lease and of the pledges within the duration of a lease.
const RENEWALS_PER_LEASE: u64 = 5;

/// Election actor of a partition, with its settings, clients and channels.
pub struct ElectionActor {
    /// Number of the partition.
    pub partition: u32,
    /// Name of this node.
    pub node: String,
    /// Duration of leader leases and pledges in milliseconds.
    pub leader_lease_ttl_ms: u64,
    /// Duration of the leases of workers in milliseconds.
    pub lease_ms: u64,
    /// Client of the state service.
    pub state: StateStore,
    /// Clients of the other controllers.
    pub peers: Vec<Peer>,
    /// Order in which the controllers take over from a failed leader.
    pub failover_order: FailoverOrder,
    /// Published instant until which this node may act.
    pub leader_lease: LeaderLease,
    /// Published state of the pledges given and received.
    pub pledge_status: PledgeStatus,
    /// Published leader of the partition.
    pub leader_status: watch::Sender<LeaderStatus>,
    /// Sends changes of leadership to the partition's actor.
    pub leadership_changes: mpsc::Sender<LeadershipChange>,
    /// Number of partitions that this node leads. A node that leads fewer partitions campaigns
    /// earlier, so that the partitions spread over the nodes.
    pub led_partitions: Arc<AtomicUsize>,
    /// Metrics; they count the leaderships acquired and lost.
    pub metrics: SharedMetrics,
    /// Delay of the first campaign after a start, in milliseconds. It is above 0 for a partition
    /// that another node should preferably lead.
    pub first_campaign_delay_ms: u64,
}

impl ElectionActor {
    /// Runs the actor until all senders of `messages` are dropped. `own_messages` is a sender to
    /// `messages`, for background tasks.
    pub async fn run(self, own_messages: mpsc::Sender<ElectionMessage>, mut messages: mpsc::Receiver<ElectionMessage>) {
        let mut election = Election::new(&self.node, self.leader_lease_ttl_ms, self.peers.len(), clock::now_ms());
        election.startup_read_done = false;
        self.pledge_status.publish(&election);
        self.start_reads(&own_messages);
        let mut renewals = interval(Duration::from_millis(self.leader_lease_ttl_ms / RENEWALS_PER_LEASE));
        renewals.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle(&mut election, message).await,
                    None => return,
                },
                _ = renewals.tick() => self.renew(&mut election, &own_messages),
            }
            self.publish(&mut election);
            self.campaign_if_due(&mut election, &own_messages);
        }
    }

    /// Starts the tasks that read and watch the partition's record. The actor gives pledges without
    /// waiting for them: during an outage of the state service the first read takes as long as the
    /// outage.
    fn start_reads(&self, own_messages: &mpsc::Sender<ElectionMessage>) {
        task::spawn(check_earlier_pledges(self.state.clone(), self.campaign_parameters(), own_messages.clone()));
        task::spawn(watch_partition(
            self.state.clone(),
            self.partition,
            self.leader_lease_ttl_ms,
            own_messages.clone(),
        ));
    }

    /// Returns the parameters of the campaigns of this node.
    fn campaign_parameters(&self) -> CampaignParameters {
        CampaignParameters {
            partition: self.partition,
            node: self.node.clone(),
            leader_lease_ttl_ms: self.leader_lease_ttl_ms,
        }
    }

    /// Starts a campaign if this node may campaign now.
    fn campaign_if_due(&self, election: &mut Election, own_messages: &mpsc::Sender<ElectionMessage>) {
        if election.may_campaign(clock::now_ms()) {
            election.role = Role::Candidate;
            task::spawn(campaign(self.state.clone(), self.campaign_parameters(), own_messages.clone()));
        }
    }

    /// Publishes the state of the election to the rest of the node.
    fn publish(&self, election: &mut Election) {
        self.leader_lease.set_valid_until(election.lease_valid_until());
        election.update_latest_token();
        self.pledge_status.publish(election);
        let is_local = election.is_leader();
        let leader = if is_local {
            Some(self.node.clone())
        } else {
            election.record.as_ref().map(|record| record.leader.clone())
        };
        let leader_status = LeaderStatus { leader, is_local };
        self.leader_status.send_if_modified(|last| std::mem::replace(last, leader_status.clone()) != leader_status);
    }

    /// Renews the lease and the pledges if this node leads.
    fn renew(&self, election: &mut Election, own_messages: &mpsc::Sender<ElectionMessage>) {
        let sent_ms = clock::now_ms();
        let had_lapsed = election.leader().is_some_and(LeaderState::has_lapsed);
        election.record_lapse(sent_ms);
        let Some(leader) = election.leader() else { return };
        if leader.has_lapsed() && !had_lapsed {
            let overdue_ms = sent_ms.saturating_sub(leader.lease_valid_until());
            tracing::info!(
                partition = self.partition,
                fencing_token = %leader.fencing_token,
                overdue_ms,
                "leader lease lapsed"
            );
            self.metrics.count("leader_lease_lapses", &self.partition.to_string());
        }
        self.renew_lease(leader.lease_id, sent_ms, own_messages);
        // A leader without a valid lease gains nothing from pledges; they would only keep the peers
        // from prolonging the leases of workers.
        if !leader.has_lapsed() {
            self.request_pledges(leader.fencing_token, sent_ms, own_messages);
        }
    }

    /// Renews the lease. Its duration counts from `sent_ms`, an instant before the request is sent.
    fn renew_lease(&self, lease_id: u64, sent_ms: u64, own_messages: &mpsc::Sender<ElectionMessage>) {
        let (state, ttl_ms, own_messages) = (self.state.clone(), self.leader_lease_ttl_ms, own_messages.clone());
        task::spawn(async move {
            let result = state.renew_lease(lease_id, ttl_ms).await;
            // Sending fails only while the node stops.
            let _ = own_messages.send(ElectionMessage::LeaseRenewalEnded { lease_id, sent_ms, result }).await;
        });
    }

    /// Requests pledges from all peers. Their duration counts from `sent_ms`, like that of the lease.
    fn request_pledges(&self, fencing_token: FencingToken, sent_ms: u64, own_messages: &mpsc::Sender<ElectionMessage>) {
        let request = PeerRequest::Pledge {
            partition: self.partition,
            leader: self.node.clone(),
            fencing_token,
            for_ms: self.leader_lease_ttl_ms,
            state_ok: self.state.is_responsive(self.leader_lease_ttl_ms),
        };
        let timeout = self.pledge_timeout();
        for (index, peer) in self.peers.iter().enumerate() {
            let (peer, request, own_messages) = (peer.clone(), request.clone(), own_messages.clone());
            task::spawn(async move {
                let answer = match peer.request(request, timeout).await {
                    Some(PeerResponse::Accepted) => ElectionMessage::PledgeReceived { peer: index, sent_ms },
                    _ => ElectionMessage::PledgeNotReceived,
                };
                // Sending fails only while the node stops.
                let _ = own_messages.send(answer).await;
            });
        }
    }

    /// Returns the timeout of a request for a pledge or for its release.
    fn pledge_timeout(&self) -> Duration {
        Duration::from_millis(self.leader_lease_ttl_ms / 2)
    }

    /// Handles a message.
    async fn handle(&self, election: &mut Election, message: ElectionMessage) {
        let now_ms = clock::now_ms();
        match message {
            ElectionMessage::Pledge { request, reply } => {
                let given = self.pledge(election, now_ms, request).await;
                // If the requester no longer waits, it does not rely on the pledge. The pledge still
                // binds this node.
                let _ = reply.send(given);
            }
            ElectionMessage::RecordUnreadable => self.metrics.count("unreadable_records", "leader"),
            ElectionMessage::StartupRead(earlier_pledges) => self.startup_read(election, now_ms, earlier_pledges),
            ElectionMessage::RecordObserved(record) => self.record_observed(election, now_ms, record),
            ElectionMessage::LeaseRenewalEnded { lease_id, sent_ms, result: Ok(()) } => {
                election.lease_renewed(lease_id, sent_ms, now_ms);
            }
            ElectionMessage::LeaseRenewalEnded { lease_id, result: Err(error), .. } => {
                self.lease_not_renewed(election, lease_id, error).await;
            }
            ElectionMessage::PledgeReceived { peer, sent_ms } => election.pledge_received(peer, sent_ms, now_ms),
            ElectionMessage::PledgeNotReceived => {}
            ElectionMessage::ReleasePledge { fencing_token } => election.release_pledge(now_ms, fencing_token),
            ElectionMessage::YieldLeadership => self.yield_leadership(election, now_ms).await,
            ElectionMessage::LeadershipLost { lease_id } => {
                if election.leader().is_some_and(|leader| leader.lease_id == lease_id) {
                    self.step_down(election, "superseded").await;
                }
            }
            ElectionMessage::CampaignEnded { sent_ms, acquired: Some(acquired) } => {
                self.leadership_acquired(election, acquired, sent_ms).await;
            }
            ElectionMessage::CampaignEnded { acquired: None, .. } => {
                election.role = Role::Follower;
                election.next_campaign_ms = now_ms + self.leader_lease_ttl_ms / 10;
            }
        }
    }

    /// Handles a request for a pledge; returns whether the pledge is given.
    async fn pledge(&self, election: &mut Election, now_ms: u64, request: PledgeRequest) -> bool {
        if election.is_superseded_by(now_ms, request.fencing_token) {
            self.step_down(election, "another holds it").await;
        }
        let store_responsive = self.state.is_responsive(self.leader_lease_ttl_ms);
        let given = election.pledge(now_ms, &request, store_responsive);
        // During an outage of the state service, these requests are the only source for who leads the
        // partition.
        if given && !store_responsive {
            let PledgeRequest { leader, fencing_token, .. } = request;
            election.record = Some(PartitionRecord { leader, fencing_token, lease_id: 0 });
        }
        given
    }

    /// Handles the first read of the records after the start.
    fn startup_read(&self, election: &mut Election, now_ms: u64, earlier_pledges: EarlierPledges) {
        election.startup_read_done = true;
        election.record = match earlier_pledges {
            EarlierPledges::NoneBinding => {
                election.clear_earlier_pledges();
                None
            }
            EarlierPledges::MayBind { record } => record,
        };
        election.next_campaign_ms = now_ms + self.first_campaign_delay_ms;
    }

    /// Handles a read of the partition's record.
    fn record_observed(&self, election: &mut Election, now_ms: u64, record: Option<PartitionRecord>) {
        // A leader knows its own record, and a read may be out of date.
        if election.is_leader() {
            return;
        }
        if let (None, Some(lost)) = (&record, &election.record) {
            let earliest_ms = now_ms + self.failover_delay_ms(&lost.leader);
            election.next_campaign_ms = election.next_campaign_ms.max(earliest_ms);
        }
        election.record = record;
    }

    /// Returns the delay, in milliseconds, before this node campaigns for the partition of a failed
    /// leader. Nodes that lead fewer partitions campaign first, and among them those that the
    /// workers try next.
    fn failover_delay_ms(&self, lost_leader: &str) -> u64 {
        let led_partitions = self.led_partitions.load(Ordering::Relaxed) as u64;
        let nodes_before = self.failover_order.nodes_before(lost_leader) as u64;
        led_partitions * self.leader_lease_ttl_ms / 10 + nodes_before * self.leader_lease_ttl_ms / 5
    }

    /// Handles a failed renewal: steps down if the lease no longer exists. After any other failure the
    /// lease may be valid until it expires.
    async fn lease_not_renewed(&self, election: &mut Election, lease_id: u64, error: RequestError) {
        let is_current = election.leader().is_some_and(|leader| leader.lease_id == lease_id);
        if error == RequestError::NotFound && is_current {
            self.step_down(election, "the grant has ended").await;
        }
    }

    /// Steps down in favour of the other nodes, and releases their pledges at once.
    async fn yield_leadership(&self, election: &mut Election, now_ms: u64) {
        let pause_ms = 2 * self.lease_ms;
        let Some(fencing_token) = election.leader().map(|leader| leader.fencing_token) else { return };
        if !election.may_yield_leadership(now_ms, pause_ms) {
            return;
        }
        self.step_down(election, "its workers are not heard").await;
        election.next_campaign_ms = now_ms + pause_ms;
        let timeout = self.pledge_timeout();
        for peer in &self.peers {
            let (peer, request) =
                (peer.clone(), PeerRequest::ReleasePledge { partition: self.partition, fencing_token });
            // A peer that does not receive the release is bound by its pledge until that expires.
            task::spawn(async move { peer.request(request, timeout).await });
        }
    }

    /// Begins the leadership that a campaign has acquired.
    async fn leadership_acquired(&self, election: &mut Election, acquired: AcquiredLeadership, sent_ms: u64) {
        let AcquiredLeadership { lease_id, tokens, .. } = acquired;
        tracing::info!(
            partition = self.partition,
            fencing_token = %tokens.first,
            last_token = %tokens.last,
            "leadership acquired"
        );
        self.metrics.count("partitions_taken", &self.partition.to_string());
        self.led_partitions.fetch_add(1, Ordering::Relaxed);
        election.begin_leadership(&acquired, sent_ms);
        election.record = Some(PartitionRecord { leader: election.node.clone(), fencing_token: tokens.last, lease_id });
        // Sending fails only while the node stops.
        let _ = self.leadership_changes.send(LeadershipChange::Begin(acquired)).await;
    }

    /// Ends the leadership of this node. The local lease is invalidated before the partition's actor
    /// is notified, and the lease in the state service is revoked, so that another node may lead at
    /// once. `reason` is a label of the metrics.
    async fn step_down(&self, election: &mut Election, reason: &str) {
        tracing::warn!(partition = self.partition, reason, "leadership lost");
        self.metrics.count("partitions_lost", reason);
        self.led_partitions.fetch_sub(1, Ordering::Relaxed);
        if let Some(leader) = election.leader() {
            let (state, lease_id) = (self.state.clone(), leader.lease_id);
            // A lease that cannot be revoked expires.
            task::spawn(async move { state.revoke_lease(lease_id).await });
        }
        election.role = Role::Follower;
        election.record = None;
        election.next_campaign_ms = clock::now_ms() + self.leader_lease_ttl_ms / 5;
        self.leader_lease.set_valid_until(0);
        // Sending fails only while the node stops.
        let _ = self.leadership_changes.send(LeadershipChange::End).await;
    }
}
