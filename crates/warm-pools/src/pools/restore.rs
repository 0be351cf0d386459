//! Going on from the records of the leader before.

use super::writes::BillVersion;
use super::{Moment, WarmPools};
use crate::records::{RecordKey, SlotRecord, StoredRecord};
use crate::slot::{Slot, SlotId, SlotState};

const MS_PER_S: f64 = 1000.0;

impl WarmPools {
    /// Takes the records of the leader before. What it did not record until now is charged by its
    /// last record and marked as estimated, up to `estimate_at_most_s`. Whose time a claimed slot's
    /// was is told once it is known whether its task was ever ordered.
    pub fn restore(&mut self, records: impl IntoIterator<Item = (RecordKey, StoredRecord, u64)>, now: Moment) {
        for (key, record, version) in records {
            match (key, record) {
                (RecordKey::Slot(id), StoredRecord::Slot(record)) => {
                    self.slots.insert(id, restored(id, *record, version, now));
                }
                (RecordKey::Bill(day, team), StoredRecord::Bill(record)) => {
                    self.bills.insert((day, team), BillVersion { record, version });
                }
                _ => {}
            }
        }
        let recorded_ms = self.slots.values().map(|slot| slot.charged_until_ms).max().unwrap_or(0);
        // A clock that is behind the last leader's must not charge again what that one did.
        self.began = Moment { wall_ms: now.wall_ms.max(recorded_ms), ..now };
        let most_ms = (self.settings.estimate_at_most_s * MS_PER_S) as u64;
        let bill_ms = self.began.wall_ms;
        for slot in self.slots.values_mut() {
            slot.charged_until_ms = slot.charged_until_ms.max(bill_ms.saturating_sub(most_ms));
            if !slot.has_indeterminate_claim() {
                slot.charge_until(bill_ms);
            }
            slot.changed = !slot.charges.is_empty();
        }
    }
}

fn restored(id: SlotId, record: SlotRecord, version: u64, now: Moment) -> Slot {
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
