//! The election of a partition's leader as a state machine, without I/O.

use super::leader_state::{LeaderState, PeerPledges, lengthened_by_drift};
use super::messages::{AcquiredLeadership, PledgeRequest};
use super::records::PartitionRecord;
use crate::model::FencingToken;

/// The role of this node in the election.
#[derive(Debug)]
pub(super) enum Role {
    /// Does not lead, and may give pledges.
    Follower,
    /// Tries to acquire the partition.
    Candidate,
    /// Leads the partition for as long as its lease is valid.
    Leader(LeaderState),
}

/// The election as this node sees it. Times are milliseconds of the steady clock.
#[derive(Debug)]
pub struct Election {
    pub(super) node: String,
    leader_lease_ttl_ms: u64,
    peer_count: usize,
    pub(super) role: Role,
    /// The pledges that this node has given end then.
    pledged_until_ms: u64,
    /// The highest fencing token that they were for.
    pledged_token: FencingToken,
    /// Leadership is not yielded again before then: if no node receives heartbeats, another
    /// leader would not help.
    next_yield_ms: u64,
    /// A restarted node keeps to pledges that it may have given before the restart until then.
    earlier_pledges_until_ms: u64,
    /// False until the records of the previous leader have been read after the start.
    pub(super) startup_read_done: bool,
    /// The highest fencing token that this node knows of.
    pub(super) latest_token: FencingToken,
    /// The record of the partition's leader, if one is known.
    pub(super) record: Option<PartitionRecord>,
    /// No campaign begins before then.
    pub(super) next_campaign_ms: u64,
}

impl Election {
    /// The election at the start of a node that may have given pledges before a restart.
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

    /// The state of the leader, if that is this node.
    pub(super) fn leader(&self) -> Option<&LeaderState> {
        match &self.role {
            Role::Leader(leader) => Some(leader),
            Role::Follower | Role::Candidate => None,
        }
    }

    fn leader_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(leader) => Some(leader),
            Role::Follower | Role::Candidate => None,
        }
    }

    /// True if this node is the partition's leader.
    pub(super) fn is_leader(&self) -> bool {
        self.leader().is_some()
    }

    /// No pledge from before a restart binds: the system is new, or this node itself was the
    /// last leader, so that nobody relied on its pledges.
    pub fn clear_earlier_pledges(&mut self) {
        self.earlier_pledges_until_ms = 0;
    }

    /// Whether this node may campaign now. It may not while it is bound by a pledge: the leader
    /// may rely on that alone while the state store is unavailable.
    pub fn may_campaign(&self, now_ms: u64) -> bool {
        matches!(self.role, Role::Follower)
            && self.startup_read_done
            && self.record.is_none()
            && now_ms >= self.earlier_pledges_until_ms
            && now_ms >= self.pledged_until_ms
            && now_ms >= self.next_campaign_ms
    }

    /// Answers a leader that asks this node not to campaign for a while; true if the pledge is
    /// given. Refused while this node itself campaigns or leads, if it knows a later leader, or
    /// if only the asker has lost the state store: `store_responsive` is whether the store
    /// answers this node.
    ///
    /// A pledge binds for longer than the asker counts on it, by the drift of both clocks.
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

    /// Releases the pledge for a fencing token. Only the latest pledge can be released: a late
    /// copy of an earlier release must not undo a pledge to another leader.
    pub fn release_pledge(&mut self, now_ms: u64, fencing_token: FencingToken) {
        if self.pledged_token == fencing_token {
            self.pledged_until_ms = self.pledged_until_ms.min(now_ms);
        }
    }

    /// Whether a leader that receives no heartbeats may leave the partition to another node; if
    /// so, it may not again for twice `pause_ms`.
    pub fn may_yield_leadership(&mut self, now_ms: u64, pause_ms: u64) -> bool {
        let may_yield = self.peer_count > 0 && self.is_leader() && now_ms >= self.next_yield_ms;
        if may_yield {
            self.next_yield_ms = now_ms + 2 * pause_ms;
        }
        may_yield
    }

    /// Until when this node may act for the partition; 0 if it does not lead it.
    pub fn lease_valid_until(&self) -> u64 {
        self.leader().map_or(0, LeaderState::lease_valid_until)
    }

    /// Notes the highest fencing token that is known.
    pub(super) fn note_token(&mut self) {
        let led_under = self.leader().map_or(FencingToken::NONE, |leader| leader.fencing_token);
        let recorded = self.record.as_ref().map_or(FencingToken::NONE, |record| record.fencing_token);
        self.latest_token = self.latest_token.max(recorded).max(led_under).max(self.pledged_token);
    }

    /// Until when this node must not keep workers' leases alive by itself, as a leader counts on
    /// their expiry.
    pub(super) fn pledged_until_ms(&self) -> u64 {
        match &self.role {
            Role::Follower => self.pledged_until_ms.max(self.earlier_pledges_until_ms),
            Role::Candidate => u64::MAX,
            Role::Leader(leader) => leader.lease_valid_until().max(self.earlier_pledges_until_ms),
        }
    }

    /// The pledges of all peers to this node; none if it does not lead.
    pub(super) fn peer_pledges(&self) -> PeerPledges {
        self.leader().map_or_else(PeerPledges::default, LeaderState::peer_pledges)
    }

    /// Whether this node, as the leader, is deposed by another that asks for a pledge: its token
    /// is higher, and the lease here is no longer valid. So the other leads the partition now,
    /// even if the state store can't be asked.
    pub(super) fn is_deposed_by(&self, now_ms: u64, other_token: FencingToken) -> bool {
        self.leader().is_some_and(|leader| leader.fencing_token < other_token && now_ms >= leader.lease_valid_until())
    }

    /// This node leads from now on, by requests of which the first was sent at `sent_ms`.
    pub(super) fn begin_leadership(&mut self, acquired: &AcquiredLeadership, sent_ms: u64) {
        self.role = Role::Leader(LeaderState::new(acquired, sent_ms, self.leader_lease_ttl_ms, self.peer_count));
    }

    /// See [`LeaderState::lease_renewed`].
    pub(super) fn lease_renewed(&mut self, lease_id: u64, sent_ms: u64, now_ms: u64) {
        if let Some(leader) = self.leader_mut() {
            leader.lease_renewed(lease_id, sent_ms, now_ms);
        }
    }

    /// See [`LeaderState::note_lapse`].
    pub(super) fn note_lapse(&mut self, now_ms: u64) {
        if let Some(leader) = self.leader_mut() {
            leader.note_lapse(now_ms);
        }
    }

    /// See [`LeaderState::pledge_received`].
    pub(super) fn pledge_received(&mut self, peer: usize, sent_ms: u64, now_ms: u64) {
        if let Some(leader) = self.leader_mut() {
            leader.pledge_received(peer, sent_ms, now_ms);
        }
    }
}
