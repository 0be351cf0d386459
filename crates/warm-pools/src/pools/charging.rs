//! Charges of slots. Each interval of a slot's lifetime is charged to exactly one team.

use super::{ClockReading, WarmPools};
use crate::bill::{ChargeKind, DayTotal, charges, day_of};
use crate::money::{MicroUnits, to_micro_units};
use crate::slot::{Slot, SlotId, SlotState};

const MS_PER_S: f64 = 1000.0;

impl WarmPools {
    /// Returns the billing time in milliseconds since 1970 (UTC): the wall time at which this leader
    /// started, plus the steady time since then.
    pub(super) fn bill_ms(&self, now: ClockReading) -> u64 {
        self.started_at.wall_ms + now.steady_ms.saturating_sub(self.started_at.steady_ms)
    }

    /// Charges the slots that have no unrecorded change and whose last charge is at least
    /// `bill_every_s` ago. Slots that are being claimed, have ended or have an indeterminate claim are
    /// left out.
    pub(super) fn charge_due_slots(&mut self, now: ClockReading) {
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

    /// Sets the price per hour of a slot. The time until now is charged at the previous price. An
    /// ended slot, or one whose restored claim is not confirmed yet, keeps its price.
    pub fn set_price(&mut self, id: SlotId, price_per_hour: MicroUnits, now: ClockReading) {
        let bill_ms = self.bill_ms(now);
        let Some(slot) = self.slots.get_mut(&id) else { return };
        let settled = !matches!(slot.state, SlotState::Ended(_)) && !slot.has_indeterminate_claim();
        if settled && slot.price_per_hour != price_per_hour {
            slot.charge_until(bill_ms);
            slot.price_per_hour = price_per_hour;
        }
    }

    /// Returns the total price per hour of the loading and idle replicas of a pool, which no task has
    /// claimed.
    pub(super) fn unclaimed_cost_per_hour(&self, pool: &str) -> MicroUnits {
        let available_slots = self.slots.values().filter(|slot| slot.pool == pool && slot.is_available());
        available_slots.map(|slot| slot.price_per_hour).sum()
    }

    /// Returns whether the idle replicas of a pool have used up today's budget. A pool without a
    /// budget never has; a pool that is not declared always has.
    pub(super) fn daily_budget_exhausted(&self, pool: &str, now: ClockReading) -> bool {
        let Some(declared) = self.settings.pools.get(pool) else { return true };
        let Some(budget) = declared.idle_budget_per_day else { return false };
        let (today, _) = day_of(self.bill_ms(now));
        let recorded = self.bill(today, &declared.payer).and_then(|bill| bill.pools.get(pool));
        let mut total = recorded.copied().unwrap_or_default();
        let unrecorded = self.slots.values().filter(|slot| slot.pool == pool).flat_map(|slot| &slot.charges);
        unrecorded.filter(|charge| charge.day == today && charge.kind == ChargeKind::Idle).for_each(|c| total.add(c));
        let DayTotal { idle_amount, .. } = total;
        idle_amount >= to_micro_units(budget)
    }
}

impl Slot {
    /// Returns whether the slot is claimed according to a record of a previous leader and no worker has
    /// reported it since the failover, so that it is unknown whether the claimant uses it.
    pub(crate) fn has_indeterminate_claim(&self) -> bool {
        matches!(self.state, SlotState::Claimed(_)) && !self.reported_since_failover
    }

    /// Charges the interval from the last charge to this billing time, in milliseconds, to the team
    /// that pays in the current state.
    pub(crate) fn charge_until(&mut self, bill_ms: u64) {
        let from_ms = self.charged_until_ms;
        if bill_ms <= from_ms {
            return;
        }
        let (team, kind) = match &self.state {
            SlotState::Claiming(claim) | SlotState::Claimed(claim) => (claim.team.clone(), ChargeKind::Claimed),
            _ => (self.payer.clone(), ChargeKind::Idle),
        };
        let interval_ms = (from_ms, bill_ms);
        self.charges.extend(charges(&team, kind, self.price_per_hour, interval_ms, !self.reported_since_failover));
        self.charged_until_ms = bill_ms;
    }
}
