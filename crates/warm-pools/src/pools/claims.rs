//! Claims of slots by tasks. A slot has at most one claimant.

use super::{ClockReading, WarmPools};
use crate::settings::HoldKind;
use crate::slot::{Claim, EndCause, Slot, SlotId, SlotState};
use std::fmt;

/// Reason for which a slot cannot be claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimError {
    /// The slot does not exist or is not free.
    NotFree,
    /// The team may not claim from this pool.
    NotAllowed,
    /// The job's image refers to another model or another version.
    AnotherModel,
}

impl fmt::Display for ClaimError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ClaimError::NotFree => "the slot is not free",
            ClaimError::NotAllowed => "the team may not claim from the pool",
            ClaimError::AnotherModel => "the image refers to another model or version than the slot",
        })
    }
}

impl WarmPools {
    /// Checks whether a job of this team may claim the slot with an image of this name.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the job may not claim the slot.
    pub fn may_claim(&self, slot: &Slot, image: &str, team: &str) -> Result<(), ClaimError> {
        if !slot.is_claimable() {
            return Err(ClaimError::NotFree);
        }
        if !self.settings.pools.get(&slot.pool).is_some_and(|pool| pool.may_be_claimed_by(team)) {
            return Err(ClaimError::NotAllowed);
        }
        // A worker without the model-loading extension knows an image only by the name that the job
        // gives, so an alias does not match its image.
        let is_same_model = match slot.keep {
            HoldKind::Image => {
                slot.image == image && self.settings.resolve_name(image).as_ref() == Some(&slot.identity)
            }
            HoldKind::Loaded => self.settings.resolve_name(image).as_ref() == Some(&slot.identity),
        };
        if is_same_model { Ok(()) } else { Err(ClaimError::AnotherModel) }
    }

    /// Claims a slot for a task of a job whose image has this name. The task must not be ordered
    /// before the claim is recorded.
    ///
    /// # Errors
    ///
    /// Returns the reason given by [`WarmPools::may_claim`].
    pub fn claim(&mut self, id: SlotId, image: &str, claim: Claim, now: ClockReading) -> Result<(), ClaimError> {
        let slot = self.slots.get(&id).ok_or(ClaimError::NotFree)?;
        self.may_claim(slot, image, &claim.team)?;
        let bill_ms = self.bill_ms(now);
        let slot = self.slots.get_mut(&id).ok_or(ClaimError::NotFree)?;
        slot.charge_until(bill_ms);
        slot.set_state(SlotState::Claiming(claim), &mut self.transitions);
        slot.since_ms = now.steady_ms;
        slot.changed = true;
        Ok(())
    }

    /// Returns the unrecorded claims that were made at or before this steady time in milliseconds.
    pub fn claims_unrecorded_since(&self, steady_ms: u64) -> Vec<(SlotId, Claim)> {
        let unrecorded_claim = |slot: &Slot| match &slot.state {
            SlotState::Claiming(claim) if slot.since_ms <= steady_ms => Some((slot.id, claim.clone())),
            _ => None,
        };
        self.slots.values().filter_map(unrecorded_claim).collect()
    }

    /// Abandons a claim that is not recorded and whose task was therefore never ordered. The claim
    /// may still be recorded late, so the slot becomes free only once it is recorded as unclaimed.
    pub fn abandon_claim(&mut self, id: SlotId) {
        if let Some(slot) = self.slots.get_mut(&id)
            && matches!(slot.state, SlotState::Claiming(_))
        {
            slot.set_state(SlotState::Abandoned, &mut self.transitions);
            slot.changed = true;
        }
    }

    /// Releases a recorded claim whose task was never carried out. The caller must be certain that
    /// the task, claimed under a previous leader, is not on the machine and cannot start there.
    pub fn void_claim(&mut self, id: SlotId, now: ClockReading) {
        let bill_ms = self.bill_ms(now);
        if let Some(slot) = self.slots.get_mut(&id)
            && matches!(slot.state, SlotState::Claimed(_))
        {
            // The claimant never used the slot, so the payer is charged for the time since the claim.
            slot.set_state(SlotState::Idle, &mut self.transitions);
            slot.charge_until(bill_ms);
            slot.since_ms = now.steady_ms;
            slot.changed = true;
        }
    }

    /// Handles the end of the task that claimed a slot. The slot ends if the claim is recorded; an
    /// unrecorded claim is abandoned.
    pub fn claim_ended(&mut self, id: SlotId, now: ClockReading) {
        match self.slots.get(&id).map(|slot| &slot.state) {
            Some(SlotState::Claimed(_)) => self.end(id, EndCause::ClaimEnded, now),
            Some(SlotState::Claiming(_)) => self.abandon_claim(id),
            _ => {}
        }
    }
}
