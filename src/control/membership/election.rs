//! State machine of the leader election of a partition, without I/O.

use super::leader_state::{LeaderState, PeerPledges, lengthened_by_drift};
use super::messages::{AcquiredLeadership, PledgeRequest};
use super::records::PartitionRecord;
use crate::model::FencingToken;

/// Role of this node in the election.
#[derive(Debug)]
pub(super) enum Role {
    /// The node does not lead and may give pledges.
    Follower,
    /// The node campaigns for the leadership.
    Candidate,
    /// The node leads the partition, and may act while its lease is valid.
    Leader(LeaderState),
}

/// State of the election on this node. Times are milliseconds of the steady clock.
#[derive(Debug)]
pub struct Election {
    pub(super) node: String,
    leader_lease_ttl_ms: u64,
    peer_count: usize,
    pub(super) role: Role,
    /// Instant at which the pledges that this node has given expire.
    pledged_until_ms: u64,
    /// Highest fencing token that this node has given a pledge for.
    pledged_token: FencingToken,
    /// Earliest instant at which leadership may be yielded again: if no node receives heartbeats,
    /// another change of leader does not help.
    next_yield_ms: u64,
    /// Instant until which pledges that this node may have given before a restart bind it.
    earlier_pledges_until_ms: u64,
    /// Whether the records of the previous leader have been read after the start.
    pub(super) startup_read_done: bool,
    /// Highest fencing token of the partition that this node knows.
    pub(super) latest_token: FencingToken,
    /// Record of the partition's leader, if one is known.
    pub(super) record: Option<PartitionRecord>,
    /// Earliest instant of the next campaign.
    pub(super) next_campaign_ms: u64,
}

impl Election {
    /// Creates the election at the start of a node that may have given pledges before a restart.
    pub fn new(node: &str, leader_lease_ttl_ms: u64, peer_count: usize, now_ms: u64) -> Election {
        Election {
            node: node.into(),
            leader_lease_ttl_ms,
            peer_count,
            role: Role::Follower,
            pledged_until_ms: 0,
            pledged_token: FencingToken::NONE,
            next_yield_ms: 0,
            earlier_pledges_until_ms: now_ms + lengthened_by_drift(leader_lease_ttl_ms),
            startup_read_done: true,
            latest_token: FencingToken::NONE,
            record: None,
            next_campaign_ms: 0,
        }
    }

    /// Returns the state of the leadership if this node leads.
    pub(super) fn leader(&self) -> Option<&LeaderState> {
        match &self.role {
            Role::Leader(leader) => Some(leader),
            Role::Follower | Role::Candidate => None,
        }
    }

    /// Like [`Election::leader`], but mutable.
    fn leader_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(leader) => Some(leader),
            Role::Follower | Role::Candidate => None,
        }
    }

    /// Returns whether this node leads the partition.
    pub(super) fn is_leader(&self) -> bool {
        self.leader().is_some()
    }

    /// Releases this node from pledges from before a restart: the deployment is new, or this node was
    /// the last leader, so that no leader relied on its pledges.
    pub fn clear_earlier_pledges(&mut self) {
        self.earlier_pledges_until_ms = 0;
    }

    /// Returns whether this node may campaign now. It may not while a pledge binds it: during an
    /// outage of the state service, the leader relies on the pledges alone.
    pub fn may_campaign(&self, now_ms: u64) -> bool {
        matches!(self.role, Role::Follower)
            && self.startup_read_done
            && self.record.is_none()
            && now_ms >= self.earlier_pledges_until_ms
            && now_ms >= self.pledged_until_ms
            && now_ms >= self.next_campaign_ms
    }

    /// Handles a request for a pledge; returns whether the pledge is given.
    ///
    /// The pledge is refused while this node campaigns or leads, if it knows a later leader, or if
    /// only the requester has lost the state service. `store_responsive` is whether the state service
    /// answers this node. A pledge binds this node for longer than the requester relies on it, by
    /// the drift of both clocks.
    pub fn pledge(&mut self, now_ms: u64, request: &PledgeRequest, store_responsive: bool) -> bool {
        let is_later =
            |record: &PartitionRecord| record.leader != request.leader && record.fencing_token > request.fencing_token;
        let given = matches!(self.role, Role::Follower)
            && (request.store_responsive || !store_responsive)
            && request.for_ms <= self.leader_lease_ttl_ms
            && !self.record.as_ref().is_some_and(is_later);
        if given {
            self.pledged_until_ms = self.pledged_until_ms.max(now_ms + lengthened_by_drift(request.for_ms));
            self.pledged_token = self.pledged_token.max(request.fencing_token);
        }
        given
    }

    /// Releases the pledge for a fencing token. Only the latest pledge can be released: a delayed
    /// release of an earlier pledge must not cancel a pledge to another leader.
    pub fn release_pledge(&mut self, now_ms: u64, fencing_token: FencingToken) {
        if self.pledged_token == fencing_token {
            self.pledged_until_ms = self.pledged_until_ms.min(now_ms);
        }
    }

    /// Returns whether a leader that receives no heartbeats may yield its leadership. If so, it may not
    /// yield again for twice `pause_ms` milliseconds.
    pub fn may_yield_leadership(&mut self, now_ms: u64, pause_ms: u64) -> bool {
        let may_yield = self.peer_count > 0 && self.is_leader() && now_ms >= self.next_yield_ms;
        if may_yield {
            self.next_yield_ms = now_ms + 2 * pause_ms;
        }
        may_yield
    }

    /// Returns the instant until which this node may act for the partition; 0 if it does not lead it.
    pub fn lease_valid_until(&self) -> u64 {
        self.leader().map_or(0, LeaderState::lease_valid_until)
    }

    /// Updates the highest known fencing token.
    pub(super) fn update_latest_token(&mut self) {
        let own_token = self.leader().map_or(FencingToken::NONE, |leader| leader.fencing_token);
        let recorded = self.record.as_ref().map_or(FencingToken::NONE, |record| record.fencing_token);
        self.latest_token = self.latest_token.max(recorded).max(own_token).max(self.pledged_token);
    }

    /// Returns the instant until which this node must not prolong workers' leases on its own, because
    /// a leader relies on their expiry; `u64::MAX` during a campaign.
    pub(super) fn pledged_until_ms(&self) -> u64 {
        match &self.role {
            Role::Follower => self.pledged_until_ms.max(self.earlier_pledges_until_ms),
            Role::Candidate => u64::MAX,
            Role::Leader(leader) => leader.lease_valid_until().max(self.earlier_pledges_until_ms),
        }
    }

    /// Returns the summary of the peers' pledges to this node; all zero if it does not lead.
    pub(super) fn peer_pledges(&self) -> PeerPledges {
        self.leader().map_or_else(PeerPledges::default, LeaderState::peer_pledges)
    }

    /// Returns whether this node leads but is superseded by a node that requests a pledge for
    /// `other_token`: that token is higher, and the lease here is no longer valid. The other node
    /// then leads the partition. This is true even while the state service is unavailable.
    pub(super) fn is_superseded_by(&self, now_ms: u64, other_token: FencingToken) -> bool {
        self.leader().is_some_and(|leader| leader.fencing_token < other_token && now_ms >= leader.lease_valid_until())
    }

    /// Begins the leadership of this node, whose first request was sent at `sent_ms`.
    pub(super) fn begin_leadership(&mut self, acquired: &AcquiredLeadership, sent_ms: u64) {
        self.role = Role::Leader(LeaderState::new(acquired, sent_ms, self.leader_lease_ttl_ms, self.peer_count));
    }

    /// See [`LeaderState::lease_renewed`].
    pub(super) fn lease_renewed(&mut self, lease_id: u64, sent_ms: u64, now_ms: u64) {
        if let Some(leader) = self.leader_mut() {
            leader.lease_renewed(lease_id, sent_ms, now_ms);
        }
    }

    /// See [`LeaderState::record_lapse`].
    pub(super) fn record_lapse(&mut self, now_ms: u64) {
        if let Some(leader) = self.leader_mut() {
            leader.record_lapse(now_ms);
        }
    }

    /// See [`LeaderState::pledge_received`].
    pub(super) fn pledge_received(&mut self, peer: usize, sent_ms: u64, now_ms: u64) {
        if let Some(leader) = self.leader_mut() {
            leader.pledge_received(peer, sent_ms, now_ms);
        }
    }
}
