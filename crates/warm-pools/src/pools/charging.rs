//! Charges: every moment of a slot's life is one team's.

use super::{Moment, WarmPools};
use crate::bill::{DayTotal, Payment, charges, day_of};
use crate::money::{MicroUnits, micro};
use crate::slot::{Slot, SlotId, SlotState};

const MS_PER_S: f64 = 1000.0;

impl WarmPools {
    /// The time that bills go by: the time of day at which this leader began, and the steady time
    /// since.
    pub(super) fn bill_ms(&self, now: Moment) -> u64 {
        self.began.wall_ms + now.steady_ms.saturating_sub(self.began.steady_ms)
    }

    /// Closes the interval under way of slots that were not recorded for long.
    pub(super) fn charge_all(&mut self, now: Moment) {
        let bill_ms = self.bill_ms(now);
        let every_ms = (self.settings.bill_every_s * MS_PER_S) as u64;
        for slot in self.slots.values_mut() {
            let settled = !slot.changed && !matches!(slot.state, SlotState::Claiming(_) | SlotState::Ended(_));
            if settled && !slot.has_indeterminate_claim() && bill_ms >= slot.charged_until_ms + every_ms {
                slot.charge_until(bill_ms);
                slot.changed = true;
            }
        }
    }

    /// The price of a slot's part of its machine has changed.
    pub fn set_price(&mut self, id: SlotId, price_per_hour: MicroUnits, now: Moment) {
        let bill_ms = self.bill_ms(now);
        let Some(slot) = self.slots.get_mut(&id) else { return };
        let settled = !matches!(slot.state, SlotState::Ended(_)) && !slot.has_indeterminate_claim();
        if settled && slot.price_per_hour != price_per_hour {
            slot.charge_until(bill_ms);
            slot.price_per_hour = price_per_hour;
        }
    }

    /// What the idle replicas of a pool cost in an hour.
    pub(super) fn idle_cost_per_hour(&self, pool: &str) -> MicroUnits {
        let available = self.slots.values().filter(|slot| slot.pool == pool && slot.is_available());
        available.map(|slot| slot.price_per_hour).sum()
    }

    /// Has a pool used up what its idle replicas may cost today?
    pub(super) fn budget_is_used_up(&self, pool: &str, now: Moment) -> bool {
        let Some(declared) = self.settings.pools.get(pool) else { return true };
        let Some(budget) = declared.idle_budget_per_day else { return false };
        let (today, _) = day_of(self.bill_ms(now));
        let recorded = self.bill(today, &declared.payer).and_then(|bill| bill.pools.get(pool));
        let mut total = recorded.copied().unwrap_or_default();
        let unrecorded = self.slots.values().filter(|slot| slot.pool == pool).flat_map(|slot| &slot.charges);
        unrecorded.filter(|charge| charge.day == today && charge.payment == Payment::Idle).for_each(|c| total.add(c));
        let DayTotal { idle_amount, .. } = total;
        idle_amount >= micro(budget)
    }
}

impl Slot {
    /// Was it claimed under a leader before, and is it not known yet whether the claimant has it?
    pub(crate) fn has_indeterminate_claim(&self) -> bool {
        matches!(self.state, SlotState::Claimed(_)) && !self.reported_since_failover
    }

    /// Charges the interval since the last charge to whoever pays in the present state.
    pub(crate) fn charge_until(&mut self, bill_ms: u64) {
        let from_ms = self.charged_until_ms;
        if bill_ms <= from_ms {
            return;
        }
        let (team, payment) = match &self.state {
            SlotState::Claiming(claim) | SlotState::Claimed(claim) => (claim.team.clone(), Payment::Claimed),
            _ => (self.payer.clone(), Payment::Idle),
        };
        let interval_ms = (from_ms, bill_ms);
        self.charges.extend(charges(&team, payment, self.price_per_hour, interval_ms, !self.reported_since_failover));
        self.charged_until_ms = bill_ms;
    }
}
