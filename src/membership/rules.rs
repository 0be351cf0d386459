//! The rules of membership as a state machine, without I/O.

use super::messages::AcquiredLeadership;
use super::records::PartitionRecord;
use crate::clock::DRIFT;

/// What this node is to the partition.
#[derive(Debug)]
pub(super) enum Role {
    Follower,
    Candidate,
    Leader {
        grant: u64,
        term: u64,
        granted_until: u64,
        promised_until: Vec<u64>,
        gap_ms: u64,
        /// There was a time in which neither the grant nor the promises held. Another may
        /// have held the partition since, and ended: only the state service can tell.
        lapsed: bool,
    },
}

/// The rules of membership, without I/O.
#[derive(Debug)]
pub struct MembershipRules {
    pub(super) node: String,
    grant_ttl_ms: u64,
    peers: usize,
    pub(super) role: Role,
    /// Promises that this node has given end then, and the term they were for.
    promised_until: u64,
    promised_term: u64,
    /// Not again before then: if nobody hears the workers, it is not our fault.
    yield_after: u64,
    /// A restarted node waits out the promises of its earlier life.
    act_after: u64,
    /// False until the first look at the state service.
    pub(super) record_read: bool,
    /// The last term that this node knows of.
    pub(super) last_term: u64,
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
    /// The rules at the start of a node that may have given promises in an earlier life.
    pub fn new(node: &str, grant_ttl_ms: u64, peers: usize, now: u64) -> MembershipRules {
        MembershipRules {
            node: node.into(),
            grant_ttl_ms,
            peers,
            role: Role::Follower,
            promised_until: 0,
            promised_term: 0,
            yield_after: 0,
            act_after: now + longer(grant_ttl_ms),
            record_read: true,
            last_term: 0,
            record: None,
            retry_after: 0,
        }
    }

    /// No promise of an earlier life binds: the system is new, or this node
    /// itself was the last leader, so that nobody relied on its promises.
    pub fn unbound(&mut self) {
        self.act_after = 0;
    }

    /// May this node try to take the partition now?
    pub fn may_campaign(&self, now: u64) -> bool {
        matches!(self.role, Role::Follower)
            && self.record_read
            && self.record.is_none()
            && now >= self.act_after
            && now >= self.promised_until
            && now >= self.retry_after
    }

    /// A leader asks not to be superseded for a while. Refused while this node
    /// itself takes or holds the partition, or sees that only the asker has lost
    /// the state service.
    pub fn promise(
        &mut self,
        now: u64,
        (leader, term): (&str, u64),
        for_ms: u64,
        asker_state_ok: bool,
        own_state_ok: bool,
    ) -> bool {
        let later = |r: &PartitionRecord| r.leader != leader && r.term > term;
        let ok = matches!(self.role, Role::Follower)
            && (asker_state_ok || !own_state_ok)
            && for_ms <= self.grant_ttl_ms
            && !self.record.as_ref().is_some_and(later);
        if ok {
            self.promised_until = self.promised_until.max(now + longer(for_ms));
            self.promised_term = self.promised_term.max(term);
        }
        ok
    }

    /// A release counts for the latest promise only: a late copy of an older
    /// one must not undo what binds this node to another leader.
    pub fn release(&mut self, now: u64, term: u64) {
        if self.promised_term == term {
            self.promised_until = self.promised_until.min(now);
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
    pub fn entitled_until(&self) -> u64 {
        match &self.role {
            Role::Leader { granted_until, lapsed: true, .. } => *granted_until,
            Role::Leader { granted_until, promised_until, .. } => {
                let promised =
                    if self.peers == 0 { u64::MAX } else { promised_until.iter().copied().min().unwrap_or(0) };
                (*granted_until).max(promised)
            }
            _ => 0,
        }
    }

    /// Notes the latest term that is known.
    pub(super) fn note_term(&mut self) {
        let of_role = match self.role {
            Role::Leader { term, .. } => term,
            _ => 0,
        };
        let seen = self.record.as_ref().map_or(0, |r| r.term);
        self.last_term = self.last_term.max(seen).max(of_role).max(self.promised_term);
    }

    /// Until when this node is bound to leave leases to a leader.
    pub(super) fn bound_until(&self) -> u64 {
        match self.role {
            Role::Follower => self.promised_until.max(self.act_after),
            Role::Candidate => u64::MAX,
            Role::Leader { .. } => self.entitled_until().max(self.act_after),
        }
    }

    /// As a leader: the last known instant at which another controller was not
    /// bound to it, and until when all are.
    pub(super) fn bound_to_us(&self) -> (u64, u64) {
        match &self.role {
            Role::Leader { promised_until, gap_ms, .. } => {
                (*gap_ms, promised_until.iter().copied().min().unwrap_or(u64::MAX))
            }
            _ => (0, 0),
        }
    }

    /// Another controller asks for a promise under a later term, and ours is
    /// over: it holds the partition now, whatever we can learn from the state service.
    pub(super) fn superseded_by(&self, now: u64, asker_term: u64) -> bool {
        matches!(self.role, Role::Leader { term, .. } if term < asker_term) && now >= self.entitled_until()
    }

    /// The partition was taken by a request sent then.
    pub(super) fn begin(&mut self, t: &AcquiredLeadership, sent: u64) {
        self.role = Role::Leader {
            grant: t.grant,
            term: t.term,
            granted_until: sent + shorter(self.grant_ttl_ms),
            promised_until: vec![0; self.peers],
            gap_ms: 0,
            lapsed: false,
        };
    }

    /// The grant was renewed by a request sent then.
    pub(super) fn extended(&mut self, of: u64, sent: u64, now: u64) {
        self.note_lapse(now);
        let until = sent + shorter(self.grant_ttl_ms);
        if let Role::Leader { grant, granted_until, lapsed, .. } = &mut self.role
            && *grant == of
        {
            *granted_until = (*granted_until).max(until);
            // The grant lives, and the partition's key with it: nobody held the partition since.
            *lapsed &= now >= until;
        }
    }

    /// Promises go on from an entitlement that holds; they bring none back.
    pub(super) fn note_lapse(&mut self, now: u64) {
        let over = now >= self.entitled_until();
        if let Role::Leader { lapsed, .. } = &mut self.role {
            *lapsed |= over;
        }
    }

    /// Another controller has given the promise that was asked for then.
    pub(super) fn promised(&mut self, peer: usize, sent: u64, now: u64) {
        self.note_lapse(now);
        let until = sent + shorter(self.grant_ttl_ms);
        if let Role::Leader { promised_until, gap_ms, .. } = &mut self.role
            && let Some(p) = promised_until.get_mut(peer)
        {
            // Bound without a break only if this answer came while the last one held.
            if now > *p {
                *gap_ms = (*gap_ms).max(now);
            }
            *p = (*p).max(until);
        }
    }
}
