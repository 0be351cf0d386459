//! Restoring the pools from the records of the previous leader.

use super::writes::VersionedBill;
use super::{ClockReading, WarmPools};
use crate::records::{RecordKey, SlotRecord, StoredRecord};
use crate::slot::{Slot, SlotId, SlotState};

const MS_PER_S: f64 = 1000.0;

impl WarmPools {
    /// Restores slots and bills from the records of the previous leader. The time since a slot's
    /// last record is charged according to that record and marked as estimated, up to
    /// `estimate_at_most_s`. A claimed slot is charged only once it is known whether its task was
    /// ever ordered, as this determines the paying team.
    pub fn restore(&mut self, records: impl IntoIterator<Item = (RecordKey, StoredRecord, u64)>, now: ClockReading) {
        for (key, record, version) in records {
            match (key, record) {
                (RecordKey::Slot(id), StoredRecord::Slot(record)) => {
                    self.slots.insert(id, slot_from_record(id, *record, version, now));
                }
                (RecordKey::Bill(day, team), StoredRecord::Bill(record)) => {
                    self.bills.insert((day, team), VersionedBill { record, version });
                }
                _ => {}
            }
        }
        let recorded_ms = self.slots.values().map(|slot| slot.charged_until_ms).max().unwrap_or(0);
        // If this clock is behind that of the previous leader, billing time starts at the latest
        // recorded charge, so that no interval is charged twice.
        self.started_at = ClockReading { wall_ms: now.wall_ms.max(recorded_ms), ..now };
        let max_estimate_ms = (self.settings.estimate_at_most_s * MS_PER_S) as u64;
        let bill_ms = self.started_at.wall_ms;
        for slot in self.slots.values_mut() {
            slot.charged_until_ms = slot.charged_until_ms.max(bill_ms.saturating_sub(max_estimate_ms));
            if !slot.has_indeterminate_claim() {
                slot.charge_until(bill_ms);
            }
            slot.changed = !slot.charges.is_empty();
        }
    }
}

/// Returns the slot of a record, as not reported since the failover.
fn slot_from_record(id: SlotId, record: SlotRecord, version: u64, now: ClockReading) -> Slot {
    let state = match record.claim {
        Some(claim) => SlotState::Claimed(claim.into()),
        None if record.warm => SlotState::Idle,
        None => SlotState::Loading,
    };
    Slot {
        id,
        pool: record.pool,
        identity: record.identity,
        image: record.image,
        size_gb: record.size_gb,
        keep: record.keep,
        host: record.host,
        agent_epoch: record.agent_epoch,
        amounts: record.amounts,
        payer: record.payer,
        price_per_hour: record.price_per_hour,
        state,
        reported_since_failover: false,
        since_ms: now.steady_ms,
        charged_until_ms: record.charged_until_ms,
        charges: Vec::new(),
        version,
        changed: false,
    }
}
