//! Commits of records: selection of the changes that are due, and handling of the outcome.
//!
//! A slot's record and the bills that contain its charges change in one commit. A commit without an
//! answer may have been carried out, or may still be. Its records are then read, and each names the
//! commit that wrote it. If the commit was not carried out, the next one writes the same records
//! again, so that at most one of the two succeeds. The first record of a slot is written together
//! with its payer's bill. The condition that the slot's record does not exist would not reject a
//! late write after the slot has ended and its record is deleted; the version of the bill does.

use super::WarmPools;
use crate::bill::{BillRecord, day_of};
use crate::records::{ClaimRecord, RecordChanges, RecordKey, RecordWrite, SlotRecord, StoredRecord, WriteId};
use crate::settings::TeamName;
use crate::slot::{Claim, Slot, SlotId, SlotState, Transition};
use jiff::civil::Date;
use std::collections::{BTreeMap, BTreeSet};

/// Recorded bill with the version of its record; 0 if there is none.
#[derive(Debug, Clone, Default)]
pub(super) struct VersionedBill {
    pub(super) record: BillRecord,
    pub(super) version: u64,
}

/// State of a slot as written by a commit.
#[derive(Debug, Clone)]
struct WrittenSlot {
    claim: Option<Claim>,
    deleted: bool,
    /// Number of charges, counted from the oldest, that the bills of the commit contain.
    charge_count: usize,
}

/// Commit whose outcome is unknown.
#[derive(Debug, Clone)]
pub(super) struct PoolCommit {
    id: WriteId,
    slots: BTreeMap<SlotId, WrittenSlot>,
    bills: BTreeMap<(Date, TeamName), BillRecord>,
    /// Whether its records were read after it had no answer.
    records_read: bool,
}

impl PoolCommit {
    /// Returns the keys of all records that the commit writes or deletes.
    fn keys(&self) -> Vec<RecordKey> {
        let slots = self.slots.keys().map(|id| RecordKey::Slot(*id));
        slots.chain(self.bills.keys().map(|(day, team)| RecordKey::Bill(*day, team.clone()))).collect()
    }

    /// Returns whether the records show that the commit was carried out. A commit that only deletes
    /// slots and writes no bill leaves no record; it counts as carried out once all its slots are
    /// absent.
    fn was_committed(&self, found: &BTreeMap<RecordKey, Option<(StoredRecord, u64)>>) -> bool {
        let names_this_commit =
            |key: RecordKey| matches!(found.get(&key), Some(Some((record, _))) if record.write() == self.id);
        let only_deletes = self.bills.is_empty() && self.slots.values().all(|snapshot| snapshot.deleted);
        let is_absent = |id: &SlotId| found.get(&RecordKey::Slot(*id)).is_some_and(Option::is_none);
        self.keys().into_iter().any(names_this_commit) || (only_deletes && self.slots.keys().all(is_absent))
    }
}

/// Consequence of a successful commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolEvent {
    /// A new slot is recorded, so its replica may be loaded.
    SlotRecorded(SlotId),
    /// A claim is recorded, so its task may be ordered.
    ClaimRecorded(SlotId, Claim),
    /// A slot whose claim was abandoned is recorded as unclaimed and free again.
    SlotFree(SlotId),
}

/// Order in which slots are written, lowest value first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Priority {
    Claim,
    New,
    Ended,
    Charges,
}

impl WarmPools {
    /// Returns the changes for the next commit, with at most `max_writes` writes, or `None` if none
    /// are due or the outcome of an earlier commit is open. The caller has to report the outcome by
    /// [`Self::written`], [`Self::not_written`] or [`Self::indeterminate`].
    pub fn next_changes(&mut self, id: WriteId, max_writes: usize) -> Option<RecordChanges> {
        if self.in_flight.is_some() || !self.unresolved_are_read() {
            return None;
        }
        let chosen = self.select_slots(max_writes);
        if chosen.is_empty() {
            return None;
        }
        let mut in_flight = PoolCommit { id, slots: BTreeMap::new(), bills: BTreeMap::new(), records_read: false };
        let mut writes = Vec::new();
        for slot_id in chosen {
            let Some(slot) = self.slots.get_mut(&slot_id) else { continue };
            for key in slot.bill_keys() {
                let recorded = self.bills.get(&key).map(|bill| bill.record.clone()).unwrap_or_default();
                in_flight.bills.entry(key).or_insert(BillRecord { write: id, ..recorded });
            }
            for charge in &slot.charges {
                if let Some(bill) = in_flight.bills.get_mut(&(charge.day, charge.team.clone())) {
                    bill.pools.entry(slot.pool.clone()).or_default().add(charge);
                }
            }
            let record = slot.record(id);
            let snapshot = WrittenSlot {
                claim: slot.claim().cloned(),
                deleted: record.is_none(),
                charge_count: slot.charges.len(),
            };
            in_flight.slots.insert(slot_id, snapshot);
            writes.push(RecordWrite {
                key: RecordKey::Slot(slot_id),
                version: slot.version,
                value: record.map(|record| StoredRecord::Slot(Box::new(record))),
            });
            slot.changed = false;
        }
        for key in self.unresolved.iter().flat_map(|commit| commit.bills.keys()) {
            let recorded = self.bills.get(key).map(|bill| bill.record.clone()).unwrap_or_default();
            in_flight.bills.entry(key.clone()).or_insert(BillRecord { write: id, ..recorded });
        }
        for ((day, team), record) in &in_flight.bills {
            let version = self.bills.get(&(*day, team.clone())).map_or(0, |bill| bill.version);
            let value = Some(StoredRecord::Bill(record.clone()));
            writes.push(RecordWrite { key: RecordKey::Bill(*day, team.clone()), version, value });
        }
        self.in_flight = Some(in_flight);
        Some(RecordChanges { id, writes })
    }

    /// Selects the slots of the next commit. These are all slots of unresolved commits, if there are
    /// any, or else as many changed slots as fit, in order of priority.
    fn select_slots(&self, max_writes: usize) -> Vec<SlotId> {
        let mut due: Vec<(Priority, SlotId)> = if self.must_rewrite.is_empty() {
            let changed = self.slots.values().filter(|slot| slot.changed);
            changed.map(|slot| (slot.priority(), slot.id)).collect()
        } else {
            self.must_rewrite.iter().map(|id| (Priority::Claim, *id)).collect()
        };
        due.sort_unstable();
        let mut chosen = Vec::new();
        let mut bills: BTreeSet<(Date, TeamName)> =
            self.unresolved.iter().flat_map(|commit| commit.bills.keys().cloned()).collect();
        for (_, id) in due {
            let Some(slot) = self.slots.get(&id) else { continue };
            let mut bills_with_slot = bills.clone();
            bills_with_slot.extend(slot.bill_keys());
            if chosen.len() + 1 + bills_with_slot.len() > max_writes {
                // The slots of unresolved commits are written all together or not at all.
                return if self.must_rewrite.is_empty() { chosen } else { Vec::new() };
            }
            bills = bills_with_slot;
            chosen.push(id);
        }
        chosen
    }

    /// Handles the success of the commit in flight, at this revision, and returns what follows.
    pub fn written(&mut self, revision: u64) -> Vec<PoolEvent> {
        let Some(in_flight) = self.in_flight.take() else { return Vec::new() };
        let keys = in_flight.keys();
        self.apply_commit(in_flight, &keys.into_iter().map(|key| (key, revision)).collect())
    }

    /// Handles the failure of the commit in flight, which certainly was not and never will be carried
    /// out.
    pub fn not_written(&mut self) {
        let Some(in_flight) = self.in_flight.take() else { return };
        self.mark_changed(&in_flight);
    }

    /// Handles an unknown outcome of the commit in flight, or a record without the expected version.
    /// The records of the commit have to be read next, see [`Self::keys_to_read`].
    pub fn indeterminate(&mut self) {
        let Some(in_flight) = self.in_flight.take() else { return };
        self.mark_changed(&in_flight);
        self.must_rewrite.extend(in_flight.slots.keys());
        self.unresolved.push(in_flight);
    }

    /// Returns the keys of the records that have to be read before the next commit; empty if the
    /// outcome of no commit is unknown.
    pub fn keys_to_read(&self) -> Vec<RecordKey> {
        if self.unresolved_are_read() {
            return Vec::new();
        }
        let keys: BTreeSet<RecordKey> = self.unresolved.iter().flat_map(PoolCommit::keys).collect();
        keys.into_iter().collect()
    }

    /// Applies the current values and versions of all records of [`Self::keys_to_read`], and returns
    /// what follows if they show that an unresolved commit was carried out.
    pub fn reread(&mut self, found: Vec<(RecordKey, Option<(StoredRecord, u64)>)>) -> Vec<PoolEvent> {
        let found: BTreeMap<RecordKey, Option<(StoredRecord, u64)>> = found.into_iter().collect();
        let committed = self.unresolved.iter().position(|commit| commit.was_committed(&found));
        if let Some(position) = committed {
            let commit = self.unresolved.swap_remove(position);
            let versions = found.iter().map(|(key, item)| (key.clone(), item.as_ref().map_or(0, |item| item.1)));
            return self.apply_commit(commit, &versions.collect());
        }
        for (key, item) in found {
            let version = item.as_ref().map_or(0, |item| item.1);
            match (key, item) {
                (RecordKey::Slot(id), _) => {
                    if let Some(slot) = self.slots.get_mut(&id) {
                        slot.version = version;
                    }
                }
                (RecordKey::Bill(day, team), Some((StoredRecord::Bill(record), version))) => {
                    self.bills.insert((day, team), VersionedBill { record, version });
                }
                _ => {}
            }
        }
        self.unresolved.iter_mut().for_each(|commit| commit.records_read = true);
        Vec::new()
    }

    /// Applies a successful commit with the current versions of its records. The unresolved commits
    /// before it can no longer be carried out, as it wrote all their slots.
    fn apply_commit(&mut self, commit: PoolCommit, versions: &BTreeMap<RecordKey, u64>) -> Vec<PoolEvent> {
        self.unresolved.clear();
        self.must_rewrite.clear();
        let mut events = Vec::new();
        for (id, snapshot) in commit.slots {
            if snapshot.deleted {
                self.slots.remove(&id);
            } else if let Some(slot) = self.slots.get_mut(&id) {
                let version = versions.get(&RecordKey::Slot(id)).copied().unwrap_or(0);
                events.extend(slot.apply_write(&snapshot, version, &mut self.transitions));
            }
        }
        for ((day, team), record) in commit.bills {
            let version = versions.get(&RecordKey::Bill(day, team.clone())).copied().unwrap_or(0);
            self.bills.insert((day, team), VersionedBill { record, version });
        }
        events
    }

    /// Marks the slots of a commit as changed, so that they are written again.
    fn mark_changed(&mut self, commit: &PoolCommit) {
        for id in commit.slots.keys() {
            if let Some(slot) = self.slots.get_mut(id) {
                slot.changed = true;
            }
        }
    }

    fn unresolved_are_read(&self) -> bool {
        self.unresolved.iter().all(|commit| commit.records_read)
    }

    /// Returns whether a commit in flight or an unresolved one may write the slot's record.
    pub(super) fn is_being_written(&self, id: SlotId) -> bool {
        let under_way = self.in_flight.as_ref().is_some_and(|commit| commit.slots.contains_key(&id));
        under_way || self.must_rewrite.contains(&id)
    }
}

impl Slot {
    /// Returns the bills that are written together with the slot's record.
    fn bill_keys(&self) -> BTreeSet<(Date, TeamName)> {
        let charged = self.charges.iter().map(|charge| (charge.day, charge.team.clone()));
        let first = (self.version == 0).then(|| (day_of(self.charged_until_ms).0, self.payer.clone()));
        charged.chain(first).collect()
    }

    fn priority(&self) -> Priority {
        match self.state {
            SlotState::Claiming(_) | SlotState::Abandoned => Priority::Claim,
            _ if self.version == 0 => Priority::New,
            SlotState::Ended(_) => Priority::Ended,
            _ => Priority::Charges,
        }
    }

    /// Returns the record to write, or `None` if the record has to be deleted. A slot that ended
    /// while its first record may still be written is written once before it is deleted, since a
    /// record that is written late would never be deleted.
    fn record(&self, write: WriteId) -> Option<SlotRecord> {
        if matches!(self.state, SlotState::Ended(_)) && self.version > 0 {
            return None;
        }
        Some(SlotRecord {
            write,
            pool: self.pool.clone(),
            identity: self.identity.clone(),
            image: self.image.clone(),
            size_gb: self.size_gb,
            keep: self.keep,
            host: self.host.clone(),
            agent_epoch: self.agent_epoch,
            amounts: self.amounts,
            payer: self.payer.clone(),
            price_per_hour: self.price_per_hour,
            charged_until_ms: self.charged_until_ms,
            warm: self.state != SlotState::Loading,
            claim: self.claim().map(ClaimRecord::from),
        })
    }

    /// Updates the slot after its record was written at this version, and returns what follows.
    fn apply_write(
        &mut self,
        snapshot: &WrittenSlot,
        version: u64,
        transitions: &mut Vec<Transition>,
    ) -> Option<PoolEvent> {
        let is_new = self.version == 0;
        self.version = version;
        self.charges.drain(..snapshot.charge_count.min(self.charges.len()));
        match self.state.clone() {
            SlotState::Claiming(claim) if snapshot.claim.as_ref() == Some(&claim) => {
                self.set_state(SlotState::Claimed(claim.clone()), transitions);
                Some(PoolEvent::ClaimRecorded(self.id, claim))
            }
            SlotState::Abandoned if snapshot.claim.is_none() => {
                self.set_state(SlotState::Idle, transitions);
                Some(PoolEvent::SlotFree(self.id))
            }
            SlotState::Ended(_) => {
                self.changed = true;
                None
            }
            _ => is_new.then_some(PoolEvent::SlotRecorded(self.id)),
        }
    }
}
