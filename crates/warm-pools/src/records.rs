//! Records of slots and bills in the state service, and changes that are committed together.

use crate::bill::BillRecord;
use crate::money::MicroUnits;
use crate::settings::{Amounts, HoldKind, ModelIdentity, PoolName, TeamName};
use crate::slot::{Claim, SlotId};
use jiff::civil::Date;
use serde::{Deserialize, Serialize};

/// Id of a commit of records. Each record names the commit that wrote it last, which shows whether
/// a commit without an answer was applied.
pub type WriteId = u64;

/// Recorded form of a [`Claim`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Id of the job.
    pub job: String,
    /// Number of the task within the job.
    pub task: u32,
    /// Number of the task attempt.
    pub attempt: u64,
    /// Team that pays.
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

/// Recorded form of a [`Slot`](crate::Slot).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlotRecord {
    /// Id of the commit that wrote the record.
    pub write: WriteId,
    /// Pool of the slot.
    pub pool: PoolName,
    /// Model and version that the slot was loaded with.
    pub identity: ModelIdentity,
    /// Name of the image of that version.
    pub image: String,
    /// Size of the image in gigabytes.
    pub size_gb: f64,
    /// Method by which the replica is kept warm.
    pub keep: HoldKind,
    /// Id of the machine.
    pub host: String,
    /// Session of the machine's worker in which the slot began; 0 if unknown.
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    /// Resources that the slot uses on the machine.
    pub amounts: Amounts,
    /// Team that pays while the slot is idle.
    pub payer: TeamName,
    /// Price per hour in micro-units.
    pub price_per_hour: MicroUnits,
    /// Billing time, in milliseconds since 1970 (UTC), up to which the bills contain the slot's
    /// charges.
    pub charged_until_ms: u64,
    /// Whether the slot had left the state [`Loading`](crate::SlotState::Loading).
    pub warm: bool,
    /// Claim of the slot; `None` if it is not claimed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub claim: Option<ClaimRecord>,
}

/// Key of a record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKey {
    /// Record of a slot.
    Slot(SlotId),
    /// Bill of a team for a UTC day.
    Bill(Date, TeamName),
}

impl RecordKey {
    /// Prefix of the keys of all slots in the state service.
    pub const SLOT_PREFIX: &str = "pool/slot/";
    /// Prefix of the keys of all bills in the state service.
    pub const BILL_PREFIX: &str = "pool/bill/";

    /// Returns the key in the state service.
    pub fn path(&self) -> String {
        match self {
            RecordKey::Slot(id) => format!("{}{id}", RecordKey::SLOT_PREFIX),
            RecordKey::Bill(day, team) => format!("{}{day}/{team}", RecordKey::BILL_PREFIX),
        }
    }

    /// Parses a key of the state service. Returns `None` if it is not the key of a slot or a bill.
    pub fn parse(path: &str) -> Option<RecordKey> {
        if let Some(id) = path.strip_prefix(RecordKey::SLOT_PREFIX) {
            return Some(RecordKey::Slot(id.parse().ok()?));
        }
        let (day, team) = path.strip_prefix(RecordKey::BILL_PREFIX)?.split_once('/')?;
        Some(RecordKey::Bill(day.parse().ok()?, team.into()))
    }
}

/// Value of a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StoredRecord {
    /// Record of a slot.
    Slot(Box<SlotRecord>),
    /// Record of a bill.
    Bill(BillRecord),
}

impl StoredRecord {
    /// Returns the id of the commit that wrote the record.
    pub fn write(&self) -> WriteId {
        match self {
            StoredRecord::Slot(record) => record.write,
            StoredRecord::Bill(record) => record.write,
        }
    }
}

/// Conditional write or deletion of one record.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordWrite {
    /// Key of the record.
    pub key: RecordKey,
    /// Version that the record must have; 0 if it must not exist.
    pub version: u64,
    /// New value; `None` deletes the record.
    pub value: Option<StoredRecord>,
}

/// Changes of records that are committed atomically.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordChanges {
    /// Id of this commit.
    pub id: WriteId,
    /// Writes and deletions of the commit.
    pub writes: Vec<RecordWrite>,
}
