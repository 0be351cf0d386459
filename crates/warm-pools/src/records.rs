//! What is recorded of slots and bills, and changes of records that are made together.

use crate::bill::BillRecord;
use crate::money::MicroUnits;
use crate::settings::{Amounts, HoldKind, ModelIdentity, PoolName, TeamName};
use crate::slot::{Claim, SlotId};
use jiff::civil::Date;
use serde::{Deserialize, Serialize};

/// Identifies a commit of records: each record names the one that wrote it last, so that it can be
/// told whether a commit without an answer was made.
pub type WriteId = u64;

/// A claim, as it is recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Id of the job.
    pub job: String,
    /// Number of the task in it.
    pub task: u32,
    /// Number of the attempt.
    pub attempt: u64,
    /// The team that pays.
    pub team: TeamName,
}

impl From<&Claim> for ClaimRecord {
    fn from(claim: &Claim) -> ClaimRecord {
        let Claim { job, task, attempt, team } = claim.clone();
        ClaimRecord { job, task, attempt, team }
    }
}

impl From<ClaimRecord> for Claim {
    fn from(record: ClaimRecord) -> Claim {
        let ClaimRecord { job, task, attempt, team } = record;
        Claim { job, task, attempt, team }
    }
}

/// A slot, as it is recorded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlotRecord {
    /// The write that made it so.
    pub write: WriteId,
    /// Its pool.
    pub pool: PoolName,
    /// What it was loaded with.
    pub identity: ModelIdentity,
    /// The image of that.
    pub image: String,
    /// Size of the image in gigabytes.
    pub size_gb: f64,
    /// How it is kept.
    pub keep: HoldKind,
    /// Id of its machine.
    pub host: String,
    /// Session of the worker in which it began.
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    /// What it takes of the machine.
    pub amounts: Amounts,
    /// The team that pays while it is idle.
    pub payer: TeamName,
    /// What it costs in an hour, in micro-units.
    pub price_per_hour: MicroUnits,
    /// Wall time until which it is charged in the bills.
    pub charged_until_ms: u64,
    /// It was warm.
    pub warm: bool,
    /// Who has claimed it, if anybody.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub claim: Option<ClaimRecord>,
}

/// Which record it is.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKey {
    /// That of a slot.
    Slot(SlotId),
    /// The bill of a team for a day.
    Bill(Date, TeamName),
}

impl RecordKey {
    /// What the keys of all slots begin with.
    pub const SLOT_PREFIX: &str = "pool/slot/";
    /// What the keys of all bills begin with.
    pub const BILL_PREFIX: &str = "pool/bill/";

    /// The key in the state service.
    pub fn path(&self) -> String {
        match self {
            RecordKey::Slot(id) => format!("{}{id}", RecordKey::SLOT_PREFIX),
            RecordKey::Bill(day, team) => format!("{}{day}/{team}", RecordKey::BILL_PREFIX),
        }
    }

    /// The record of a key in the state service, if it is one of a pool's.
    pub fn parse(path: &str) -> Option<RecordKey> {
        if let Some(id) = path.strip_prefix(RecordKey::SLOT_PREFIX) {
            return Some(RecordKey::Slot(id.parse().ok()?));
        }
        let (day, team) = path.strip_prefix(RecordKey::BILL_PREFIX)?.split_once('/')?;
        Some(RecordKey::Bill(day.parse().ok()?, team.into()))
    }
}

/// The value of a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StoredRecord {
    /// Of a slot.
    Slot(Box<SlotRecord>),
    /// Of a bill.
    Bill(BillRecord),
}

impl StoredRecord {
    /// The commit that wrote it.
    pub fn write(&self) -> WriteId {
        match self {
            StoredRecord::Slot(record) => record.write,
            StoredRecord::Bill(record) => record.write,
        }
    }
}

/// A change of one record.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordWrite {
    /// Which record.
    pub key: RecordKey,
    /// The version that it must have; 0 if there must be none.
    pub version: u64,
    /// Its new value; `None` deletes it.
    pub value: Option<StoredRecord>,
}

/// Changes of records that are made all or not at all.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordChanges {
    /// Identifies this commit.
    pub id: WriteId,
    /// The changes.
    pub writes: Vec<RecordWrite>,
}
