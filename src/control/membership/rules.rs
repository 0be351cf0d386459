//! The rules of membership as a state machine, without I/O.

use super::messages::AcquiredLeadership;
use super::records::PartitionRecord;
use crate::model::FencingToken;
use crate::runtime::clock::DRIFT;

/// What this node is to the partition.
#[derive(Debug)]
pub(super) enum Role {
    Follower,
    Candidate,
    Leader {
        lease_id: u64,
        fencing_token: FencingToken,
        state_lease_until: u64,
        pledged_until: Vec<u64>,
        gap_ms: u64,
        /// There was a time in which neither the lease nor the pledges held. Another may
        /// have held the partition since, and ended: only the state service can tell.
        expired: bool,
    },
}

/// The rules of membership, without I/O.
#[derive(Debug)]
pub struct MembershipRules {
    pub(super) node: String,
    leader_lease_ttl_ms: u64,
    peers: usize,
    pub(super) role: Role,
    /// Promises that this node has given end then, and the fencing token they were for.
    pledged_until: u64,
    pledged_token: FencingToken,
    /// Not again before then: if nobody hears the workers, it is not our fault.
    yield_after: u64,
    /// A restarted node waits out the pledges of its earlier life.
    act_after: u64,
    /// False until the first look at the state service.
    pub(super) record_read: bool,
    /// The last fencing token that this node knows of.
    pub(super) last_token: FencingToken,
    pub(super) record: Option<PartitionRecord>,
    pub(super) retry_after: u64,
}

/// A duration as the other side's clock may measure it at the shortest.
fn shorter(ms: u64) -> u64 {
    (ms as f64 * (1.0 - DRIFT)) as u64
}

/// A duration as the other side's clock may measure it at the longest.
fn longer(ms: u64) -> u64 {
    (ms as f64 * (1.0 + DRIFT)).ceil() as u64 + 1
}

impl MembershipRules {
    /// The rules at the start of a node that may have given pledges in an earlier life.
    pub fn new(node: &str, leader_lease_ttl_ms: u64, peers: usize, now: u64) -> MembershipRules {
        MembershipRules {
            node: node.into(),
            leader_lease_ttl_ms,
            peers,
            role: Role::Follower,
            pledged_until: 0,
            pledged_token: FencingToken::NONE,
            yield_after: 0,
            act_after: now + longer(leader_lease_ttl_ms),
            record_read: true,
            last_token: FencingToken::NONE,
            record: None,
            retry_after: 0,
        }
    }

    /// No pledge of an earlier life binds: the system is new, or this node
    /// itself was the last leader, so that nobody relied on its pledges.
    pub fn unbound(&mut self) {
        self.act_after = 0;
    }

    /// May this node try to take the partition now?
    pub fn may_campaign(&self, now: u64) -> bool {
        matches!(self.role, Role::Follower)
            && self.record_read
            && self.record.is_none()
            && now >= self.act_after
            && now >= self.pledged_until
            && now >= self.retry_after
    }

    /// A leader asks not to be superseded for a while. Refused while this node
    /// itself takes or holds the partition, or sees that only the asker has lost
    /// the state service.
    pub fn pledge(
        &mut self,
        now: u64,
        (leader, fencing_token): (&str, FencingToken),
        for_ms: u64,
        asker_state_ok: bool,
        own_state_ok: bool,
    ) -> bool {
        let later = |r: &PartitionRecord| r.leader != leader && r.fencing_token > fencing_token;
        let ok = matches!(self.role, Role::Follower)
            && (asker_state_ok || !own_state_ok)
            && for_ms <= self.leader_lease_ttl_ms
            && !self.record.as_ref().is_some_and(later);
        if ok {
            self.pledged_until = self.pledged_until.max(now + longer(for_ms));
            self.pledged_token = self.pledged_token.max(fencing_token);
        }
        ok
    }

    /// A release counts for the latest pledge only: a late copy of an older
    /// one must not undo what binds this node to another leader.
    pub fn release_pledge(&mut self, now: u64, fencing_token: FencingToken) {
        if self.pledged_token == fencing_token {
            self.pledged_until = self.pledged_until.min(now);
        }
    }

    /// May a leader that hears its workers no more leave the partition to others?
    pub fn may_yield_leadership(&mut self, now: u64, pause_ms: u64) -> bool {
        let ok = self.peers > 0 && matches!(self.role, Role::Leader { .. }) && now >= self.yield_after;
        if ok {
            self.yield_after = now + 2 * pause_ms;
        }
        ok
    }

    /// Until when this node may act.
    pub fn lease_valid_until(&self) -> u64 {
        match &self.role {
            Role::Leader { state_lease_until, expired: true, .. } => *state_lease_until,
            Role::Leader { state_lease_until, pledged_until, .. } => {
                let pledged = if self.peers == 0 { u64::MAX } else { pledged_until.iter().copied().min().unwrap_or(0) };
                (*state_lease_until).max(pledged)
            }
            _ => 0,
        }
    }

    /// Notes the latest fencing token that is known.
    pub(super) fn note_token(&mut self) {
        let of_role = match self.role {
            Role::Leader { fencing_token, .. } => fencing_token,
            _ => FencingToken::NONE,
        };
        let seen = self.record.as_ref().map_or(FencingToken::NONE, |r| r.fencing_token);
        self.last_token = self.last_token.max(seen).max(of_role).max(self.pledged_token);
    }

    /// Until when this node is bound to leave leases to a leader.
    pub(super) fn pledged_until_ms(&self) -> u64 {
        match self.role {
            Role::Follower => self.pledged_until.max(self.act_after),
            Role::Candidate => u64::MAX,
            Role::Leader { .. } => self.lease_valid_until().max(self.act_after),
        }
    }

    /// As a leader: the last known instant at which another controller was not
    /// bound to it, and until when all are.
    pub(super) fn bound_to_us(&self) -> (u64, u64) {
        match &self.role {
            Role::Leader { pledged_until, gap_ms, .. } => {
                (*gap_ms, pledged_until.iter().copied().min().unwrap_or(u64::MAX))
            }
            _ => (0, 0),
        }
    }

    /// Another controller asks for a pledge under a later fencing token, and ours is
    /// over: it holds the partition now, whatever we can learn from the state service.
    pub(super) fn superseded_by(&self, now: u64, asker_token: FencingToken) -> bool {
        matches!(self.role, Role::Leader { fencing_token, .. } if fencing_token < asker_token)
            && now >= self.lease_valid_until()
    }

    /// The partition was taken by a request sent then.
    pub(super) fn begin(&mut self, t: &AcquiredLeadership, sent: u64) {
        self.role = Role::Leader {
            lease_id: t.lease_id,
            fencing_token: t.fencing_token,
            state_lease_until: sent + shorter(self.leader_lease_ttl_ms),
            pledged_until: vec![0; self.peers],
            gap_ms: 0,
            expired: false,
        };
    }

    /// The lease was renewed by a request sent then.
    pub(super) fn extended(&mut self, of: u64, sent: u64, now: u64) {
        self.note_expiry(now);
        let until = sent + shorter(self.leader_lease_ttl_ms);
        if let Role::Leader { lease_id, state_lease_until, expired, .. } = &mut self.role
            && *lease_id == of
        {
            *state_lease_until = (*state_lease_until).max(until);
            // The lease lives, and the partition's key with it: nobody held the partition since.
            *expired &= now >= until;
        }
    }

    /// Promises go on from an leader lease that holds; they bring none back.
    pub(super) fn note_expiry(&mut self, now: u64) {
        let over = now >= self.lease_valid_until();
        if let Role::Leader { expired, .. } = &mut self.role {
            *expired |= over;
        }
    }

    /// Another controller has given the pledge that was asked for then.
    pub(super) fn pledged(&mut self, peer: usize, sent: u64, now: u64) {
        self.note_expiry(now);
        let until = sent + shorter(self.leader_lease_ttl_ms);
        if let Role::Leader { pledged_until, gap_ms, .. } = &mut self.role
            && let Some(p) = pledged_until.get_mut(peer)
        {
            // Bound without a break only if this answer came while the last one held.
            if now > *p {
                *gap_ms = (*gap_ms).max(now);
            }
            *p = (*p).max(until);
        }
    }
}
