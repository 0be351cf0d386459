//! A slot, which is one replica of a pool on one machine, and its states.

use crate::bill::Charge;
use crate::money::MicroUnits;
use crate::settings::{Amounts, HoldKind, ModelIdentity, PoolName, TeamName};

/// Number of a slot. It is never reused.
pub type SlotId = u64;

/// Claim of a slot by a task of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Id of the job.
    pub job: String,
    /// Number of the task within the job.
    pub task: u32,
    /// Number of the task attempt that starts with the claim.
    pub attempt: u64,
    /// Team of the job. It pays for the slot from the claim on.
    pub team: TeamName,
}

/// Reason for which a slot ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCause {
    /// The pool wants fewer replicas.
    FewerWanted,
    /// Idle replicas would exceed the pool's hourly cost limit or daily budget.
    CostLimit,
    /// The capacity is needed by work that would miss its guarantee otherwise, or is more urgent.
    CapacityNeeded,
    /// The pool loads another model or version now, or is no longer declared.
    Replaced,
    /// The machine is lost, or is about to be returned.
    MachineLost,
    /// The worker lost its lease and with it all its slots.
    SessionLost,
    /// The worker no longer reports the slot.
    NotReported,
    /// The task that claimed the slot has ended.
    ClaimEnded,
}

impl EndCause {
    /// Returns the name of the cause in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            EndCause::FewerWanted => "fewer_wanted",
            EndCause::CostLimit => "cost_limit",
            EndCause::CapacityNeeded => "room_needed",
            EndCause::Replaced => "replaced",
            EndCause::MachineLost => "machine_lost",
            EndCause::SessionLost => "session_lost",
            EndCause::NotReported => "not_reported",
            EndCause::ClaimEnded => "claim_ended",
        }
    }
}

/// State of a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotState {
    /// The capacity is reserved, and the model or its image is not present yet.
    Loading,
    /// The replica is warm and unclaimed.
    Idle,
    /// A task has claimed the slot. The claim is not recorded yet, so the task must not be ordered.
    Claiming(Claim),
    /// An unrecorded claim was abandoned. It may nevertheless have been recorded, or may still be.
    Abandoned,
    /// A task has claimed the slot, and the claim is recorded.
    Claimed(Claim),
    /// The replica is being unloaded, for this reason.
    Draining(EndCause),
    /// The slot has ended, for this reason. Its record has to be deleted.
    Ended(EndCause),
}

impl SlotState {
    /// Returns the name of the state in tables, logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            SlotState::Loading => "loading",
            SlotState::Idle => "idle",
            SlotState::Claiming(_) | SlotState::Abandoned => "claiming",
            SlotState::Claimed(_) => "claimed",
            SlotState::Draining(_) => "draining",
            SlotState::Ended(_) => "ended",
        }
    }
}

/// A change of a slot's state, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transition {
    /// Number of the slot.
    pub slot: SlotId,
    /// Pool of the slot.
    pub pool: PoolName,
    /// Previous state; `None` for a new slot.
    pub from: Option<SlotState>,
    /// New state.
    pub to: SlotState,
}

/// One replica of a pool on one machine.
#[derive(Debug, Clone)]
pub struct Slot {
    /// Number of the slot.
    pub id: SlotId,
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
    pub agent_epoch: u64,
    /// Resources that the slot uses on the machine.
    pub amounts: Amounts,
    /// Team that pays while the slot is idle.
    pub payer: TeamName,
    /// Current price per hour.
    pub price_per_hour: MicroUnits,
    /// Current state.
    pub state: SlotState,
    /// Whether this leader has created the slot or received a report of it. A restored slot that
    /// was not reported since the failover may no longer exist.
    pub reported_since_failover: bool,
    /// Time, in milliseconds of the steady clock, at which the slot was created, restored from its
    /// record, claimed, released by [`WarmPools::void_claim`](crate::WarmPools::void_claim) or began
    /// to drain, whichever came last.
    pub since_ms: u64,
    /// Billing time, in milliseconds, up to which the slot is charged in `charges` or in recorded
    /// bills.
    pub(crate) charged_until_ms: u64,
    /// Charges that are not in a recorded bill yet.
    pub(crate) charges: Vec<Charge>,
    /// Version of the slot's record; 0 if there is none.
    pub(crate) version: u64,
    /// Whether the slot's record has to be written or deleted.
    pub(crate) changed: bool,
}

impl Slot {
    /// Changes the state and appends the transition.
    pub(crate) fn set_state(&mut self, to: SlotState, transitions: &mut Vec<Transition>) {
        let from = Some(std::mem::replace(&mut self.state, to.clone()));
        transitions.push(Transition { slot: self.id, pool: self.pool.clone(), from, to });
    }

    /// Returns whether the slot is idle or loading, and so counts towards the pool's target.
    pub fn is_available(&self) -> bool {
        matches!(self.state, SlotState::Loading | SlotState::Idle)
    }

    /// Returns whether a task may claim the slot now. Capacity that is reserved for an image may be
    /// claimed before the image is present.
    pub fn is_claimable(&self) -> bool {
        self.version > 0
            && match self.state {
                SlotState::Idle => true,
                SlotState::Loading => self.keep == HoldKind::Image,
                _ => false,
            }
    }

    /// Returns whether the slot reserves capacity that no task attempt accounts for.
    pub fn reserves_capacity(&self) -> bool {
        matches!(self.state, SlotState::Loading | SlotState::Idle | SlotState::Abandoned | SlotState::Draining(_))
    }

    /// Returns whether the slot has a record, from which the next leader learns of orders for it.
    pub fn is_recorded(&self) -> bool {
        self.version > 0
    }

    /// Returns the claim, recorded or not; `None` if the slot is not claimed.
    pub fn claim(&self) -> Option<&Claim> {
        match &self.state {
            SlotState::Claiming(claim) | SlotState::Claimed(claim) => Some(claim),
            _ => None,
        }
    }
}
