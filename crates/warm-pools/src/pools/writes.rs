//! Changes of records: which are due, and what their outcome means.
//!
//! A slot's record and the bills that its charges go to change in one commit. A commit without an
//! answer may have been made or may still be: its records are read, and each names the commit that
//! wrote it. If it was not made, the next commit writes the same records again, so that both can't
//! be made. The first record of a slot comes with a write of its payer's bill: that the record is
//! not there would not keep a late write out once the slot has been and gone.

use super::WarmPools;
use crate::bill::{BillRecord, day_of};
use crate::records::{ClaimRecord, RecordChanges, RecordKey, RecordWrite, SlotRecord, StoredRecord, WriteId};
use crate::settings::TeamName;
use crate::slot::{Claim, Slot, SlotId, SlotState, Transition};
use jiff::civil::Date;
use std::collections::{BTreeMap, BTreeSet};

/// A bill as recorded, and the version of its record; 0 if there is none.
#[derive(Debug, Clone, Default)]
pub(super) struct BillVersion {
    pub(super) record: BillRecord,
    pub(super) version: u64,
}

/// What a commit tells of a slot.
#[derive(Debug, Clone)]
struct Snapshot {
    claim: Option<Claim>,
    deleted: bool,
    /// So many of its charges, the first ones, are in the bills.
    charges: usize,
}

/// A commit whose outcome is not known.
#[derive(Debug, Clone)]
pub(super) struct InFlight {
    id: WriteId,
    slots: BTreeMap<SlotId, Snapshot>,
    bills: BTreeMap<(Date, TeamName), BillRecord>,
    /// Its records were read since it had no answer.
    read: bool,
}

impl InFlight {
    fn keys(&self) -> Vec<RecordKey> {
        let slots = self.slots.keys().map(|id| RecordKey::Slot(*id));
        slots.chain(self.bills.keys().map(|(day, team)| RecordKey::Bill(*day, team.clone()))).collect()
    }

    /// Do the records say that it was made? One that deletes, and writes no bill, leaves no record.
    fn was_made(&self, found: &BTreeMap<RecordKey, Option<(StoredRecord, u64)>>) -> bool {
        let written_by_it =
            |key: RecordKey| matches!(found.get(&key), Some(Some((record, _))) if record.write() == self.id);
        let only_deletes = self.bills.is_empty() && self.slots.values().all(|snapshot| snapshot.deleted);
        let is_missing = |id: &SlotId| found.get(&RecordKey::Slot(*id)).is_some_and(Option::is_none);
        self.keys().into_iter().any(written_by_it) || (only_deletes && self.slots.keys().all(is_missing))
    }
}

/// What follows from a commit that was made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolEvent {
    /// A slot is recorded: it may be loaded.
    SlotRecorded(SlotId),
    /// A claim is recorded: its task may be ordered.
    ClaimRecorded(SlotId, Claim),
    /// A slot that was not free is nobody's again.
    SlotFree(SlotId),
}

/// Which slots are written first; lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Priority {
    Claim,
    New,
    Ended,
    Charges,
}

impl WarmPools {
    /// The next changes, with at most so many writes, if any are due. Their outcome has to be told
    /// before there are others.
    pub fn next_changes(&mut self, id: WriteId, most: usize) -> Option<RecordChanges> {
        if self.in_flight.is_some() || !self.unresolved_are_read() {
            return None;
        }
        let chosen = self.choose(most);
        if chosen.is_empty() {
            return None;
        }
        let mut in_flight = InFlight { id, slots: BTreeMap::new(), bills: BTreeMap::new(), read: false };
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
            let snapshot =
                Snapshot { claim: slot.claim().cloned(), deleted: record.is_none(), charges: slot.charges.len() };
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

    /// The slots that the next commit is about: those of a commit that may still be made, or the
    /// first ones that there is room for.
    fn choose(&self, most: usize) -> Vec<SlotId> {
        let mut due: Vec<(Priority, SlotId)> = if self.retried.is_empty() {
            let changed = self.slots.values().filter(|slot| slot.changed);
            changed.map(|slot| (slot.priority(), slot.id)).collect()
        } else {
            self.retried.iter().map(|id| (Priority::Claim, *id)).collect()
        };
        due.sort_unstable();
        let mut chosen = Vec::new();
        let mut bills: BTreeSet<(Date, TeamName)> =
            self.unresolved.iter().flat_map(|commit| commit.bills.keys().cloned()).collect();
        for (_, id) in due {
            let Some(slot) = self.slots.get(&id) else { continue };
            let mut with_this = bills.clone();
            with_this.extend(slot.bill_keys());
            if chosen.len() + 1 + with_this.len() > most {
                // All of a commit that may still be made, or nothing.
                return if self.retried.is_empty() { chosen } else { Vec::new() };
            }
            bills = with_this;
            chosen.push(id);
        }
        chosen
    }

    /// The changes were made, at this revision.
    pub fn written(&mut self, revision: u64) -> Vec<PoolEvent> {
        let Some(in_flight) = self.in_flight.take() else { return Vec::new() };
        let keys = in_flight.keys();
        self.made(in_flight, &keys.into_iter().map(|key| (key, revision)).collect())
    }

    /// The changes were certainly not made, and will not be.
    pub fn not_written(&mut self) {
        let Some(in_flight) = self.in_flight.take() else { return };
        self.mark_changed(&in_flight);
    }

    /// The changes may have been made or may still be, or did not meet the records as expected:
    /// these records must be read.
    pub fn indeterminate(&mut self) {
        let Some(in_flight) = self.in_flight.take() else { return };
        self.mark_changed(&in_flight);
        self.retried.extend(in_flight.slots.keys());
        self.unresolved.push(in_flight);
    }

    /// The records that must be read before there are further changes; none if nothing is indeterminate.
    pub fn keys_to_read(&self) -> Vec<RecordKey> {
        if self.unresolved_are_read() {
            return Vec::new();
        }
        let keys: BTreeSet<RecordKey> = self.unresolved.iter().flat_map(InFlight::keys).collect();
        keys.into_iter().collect()
    }

    /// Takes these records, all of [`Self::keys_to_read`], as they are now, with their versions.
    pub fn reread(&mut self, found: Vec<(RecordKey, Option<(StoredRecord, u64)>)>) -> Vec<PoolEvent> {
        let found: BTreeMap<RecordKey, Option<(StoredRecord, u64)>> = found.into_iter().collect();
        let made = self.unresolved.iter().position(|commit| commit.was_made(&found));
        if let Some(position) = made {
            let commit = self.unresolved.swap_remove(position);
            let versions = found.iter().map(|(key, item)| (key.clone(), item.as_ref().map_or(0, |item| item.1)));
            return self.made(commit, &versions.collect());
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
                    self.bills.insert((day, team), BillVersion { record, version });
                }
                _ => {}
            }
        }
        self.unresolved.iter_mut().for_each(|commit| commit.read = true);
        Vec::new()
    }

    /// A commit was made; these are the versions of its records now. Those before it that had no
    /// answer can't be made any more: it wrote all of their slots.
    fn made(&mut self, commit: InFlight, versions: &BTreeMap<RecordKey, u64>) -> Vec<PoolEvent> {
        self.unresolved.clear();
        self.retried.clear();
        let mut events = Vec::new();
        for (id, snapshot) in commit.slots {
            if snapshot.deleted {
                self.slots.remove(&id);
            } else if let Some(slot) = self.slots.get_mut(&id) {
                let version = versions.get(&RecordKey::Slot(id)).copied().unwrap_or(0);
                events.extend(slot.recorded(&snapshot, version, &mut self.transitions));
            }
        }
        for ((day, team), record) in commit.bills {
            let version = versions.get(&RecordKey::Bill(day, team.clone())).copied().unwrap_or(0);
            self.bills.insert((day, team), BillVersion { record, version });
        }
        events
    }

    fn mark_changed(&mut self, commit: &InFlight) {
        for id in commit.slots.keys() {
            if let Some(slot) = self.slots.get_mut(id) {
                slot.changed = true;
            }
        }
    }

    fn unresolved_are_read(&self) -> bool {
        self.unresolved.iter().all(|commit| commit.read)
    }

    /// Is, or may a record of the slot be written by a commit under way?
    pub(super) fn is_being_written(&self, id: SlotId) -> bool {
        let under_way = self.in_flight.as_ref().is_some_and(|commit| commit.slots.contains_key(&id));
        under_way || self.retried.contains(&id)
    }
}

impl Slot {
    /// The bills that are written with its record.
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

    /// Its record; `None` if that is to be deleted. One that ended while its first record may still
    /// be written is written first: a record that comes late would stay.
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

    /// Its record was written; what follows.
    fn recorded(&mut self, snapshot: &Snapshot, version: u64, transitions: &mut Vec<Transition>) -> Option<PoolEvent> {
        let is_new = self.version == 0;
        self.version = version;
        self.charges.drain(..snapshot.charges.min(self.charges.len()));
        match self.state.clone() {
            SlotState::Claiming(claim) if snapshot.claim.as_ref() == Some(&claim) => {
                self.enter(SlotState::Claimed(claim.clone()), transitions);
                Some(PoolEvent::ClaimRecorded(self.id, claim))
            }
            SlotState::Abandoned if snapshot.claim.is_none() => {
                self.enter(SlotState::Idle, transitions);
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
