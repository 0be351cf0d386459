//! Claims: one slot, one claimant.

use super::{Moment, WarmPools};
use crate::settings::HoldKind;
use crate::slot::{Claim, EndCause, Slot, SlotId, SlotState};
use std::fmt;

/// Why a slot can't be claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimError {
    /// There is no such slot, or it is not free.
    NotFree,
    /// The team may not claim from this pool.
    NotAllowed,
    /// The job's image stands for another model, or another version of it.
    AnotherModel,
}

impl fmt::Display for ClaimError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ClaimError::NotFree => "the slot is not free",
            ClaimError::NotAllowed => "the team may not claim from the pool",
            ClaimError::AnotherModel => "the image stands for another model or version",
        })
    }
}

impl WarmPools {
    /// Checks that a job of this team whose image has this name may claim the slot.
    ///
    /// # Errors
    ///
    /// Why it may not.
    pub fn may_claim(&self, slot: &Slot, image: &str, team: &str) -> Result<(), ClaimError> {
        if !slot.is_claimable() {
            return Err(ClaimError::NotFree);
        }
        if !self.settings.pools.get(&slot.pool).is_some_and(|pool| pool.may_be_claimed_by(team)) {
            return Err(ClaimError::NotAllowed);
        }
        // An ordinary worker knows the image by the name that the job gives, and by no other.
        let same = match slot.keep {
            HoldKind::Image => slot.image == image && self.settings.resolve(image).as_ref() == Some(&slot.identity),
            HoldKind::Loaded => self.settings.resolve(image).as_ref() == Some(&slot.identity),
        };
        if same { Ok(()) } else { Err(ClaimError::AnotherModel) }
    }

    /// Gives a slot to a task of a job whose image has this name. The task must not be ordered
    /// before the claim is recorded.
    ///
    /// # Errors
    ///
    /// Why the slot cannot be claimed, as [`WarmPools::may_claim`] tells.
    pub fn claim(&mut self, id: SlotId, image: &str, claim: Claim, now: Moment) -> Result<(), ClaimError> {
        let slot = self.slots.get(&id).ok_or(ClaimError::NotFree)?;
        self.may_claim(slot, image, &claim.team)?;
        let bill_ms = self.bill_ms(now);
        let slot = self.slots.get_mut(&id).ok_or(ClaimError::NotFree)?;
        slot.charge_until(bill_ms);
        slot.enter(SlotState::Claiming(claim), &mut self.transitions);
        slot.since_ms = now.steady_ms;
        slot.changed = true;
        Ok(())
    }

    /// Claims that wait to be recorded since before this steady time.
    pub fn claims_unrecorded_since(&self, steady_ms: u64) -> Vec<(SlotId, Claim)> {
        let waits = |slot: &Slot| match &slot.state {
            SlotState::Claiming(claim) if slot.since_ms <= steady_ms => Some((slot.id, claim.clone())),
            _ => None,
        };
        self.slots.values().filter_map(waits).collect()
    }

    /// Gives up a claim that is not recorded; its task was never ordered. The slot is nobody's
    /// again once it is recorded so: the claim may still be.
    pub fn abandon_claim(&mut self, id: SlotId) {
        if let Some(slot) = self.slots.get_mut(&id)
            && matches!(slot.state, SlotState::Claiming(_))
        {
            slot.enter(SlotState::Abandoned, &mut self.transitions);
            slot.changed = true;
        }
    }

    /// The leader before this one has recorded a claim, and its task is certainly not on the
    /// machine and can't come to it any more: the slot is nobody's again.
    pub fn void_claim(&mut self, id: SlotId, now: Moment) {
        let bill_ms = self.bill_ms(now);
        if let Some(slot) = self.slots.get_mut(&id)
            && matches!(slot.state, SlotState::Claimed(_))
        {
            // Nobody has used it since it was claimed.
            slot.enter(SlotState::Idle, &mut self.transitions);
            slot.charge_until(bill_ms);
            slot.since_ms = now.steady_ms;
            slot.changed = true;
        }
    }

    /// The task that claimed a slot is gone, and the slot with it.
    pub fn claim_ended(&mut self, id: SlotId, now: Moment) {
        match self.slots.get(&id).map(|slot| &slot.state) {
            Some(SlotState::Claimed(_)) => self.end(id, EndCause::ClaimEnded, now),
            Some(SlotState::Claiming(_)) => self.abandon_claim(id),
            _ => {}
        }
    }
}
