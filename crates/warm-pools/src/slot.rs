//! One replica of a pool on one machine.

use crate::bill::Charge;
use crate::money::MicroUnits;
use crate::settings::{Amounts, HoldKind, ModelIdentity, PoolName, TeamName};

/// Number of a slot, which is not used again.
pub type SlotId = u64;

/// A job's task that has a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Id of the job.
    pub job: String,
    /// Number of the task in it.
    pub task: u32,
    /// Number of the attempt that begins with the claim.
    pub attempt: u64,
    /// The job's team, which pays from the claim on.
    pub team: TeamName,
}

/// Why a slot ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCause {
    /// Fewer are wanted now.
    FewerWanted,
    /// Idle replicas would cost more than the pool's ceiling or budget.
    CostLimit,
    /// Its room is given to work that would miss its guarantee, or is more urgent.
    CapacityNeeded,
    /// Its pool loads another version now, or another model, or is not declared any more.
    Replaced,
    /// The machine is gone, or is to be returned.
    MachineLost,
    /// The worker has lost its lease and all it had.
    SessionLost,
    /// The worker does not have it any more.
    NotReported,
    /// The task that claimed it is gone.
    ClaimEnded,
}

impl EndCause {
    /// Its name in logs and metrics.
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

/// Where a slot stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotState {
    /// Its room is held; the model is not there yet.
    Loading,
    /// Warm, and nobody's.
    Idle,
    /// Claimed by a task; the claim is not recorded yet, so that the task must not be ordered.
    Claiming(Claim),
    /// The same after the claim was given up: it may have been recorded, or may still be.
    Abandoned,
    /// Claimed by a task, as recorded.
    Claimed(Claim),
    /// Being unloaded, for this reason.
    Draining(EndCause),
    /// Gone, for this reason; its record is to be deleted.
    Ended(EndCause),
}

impl SlotState {
    /// Its name in tables, logs and metrics.
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

/// A change of a slot's state, to be logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transition {
    /// The slot.
    pub slot: SlotId,
    /// Its pool.
    pub pool: PoolName,
    /// The state that it left; `None` for a new one.
    pub from: Option<SlotState>,
    /// The state that it is in.
    pub to: SlotState,
}

/// One replica of a pool on one machine.
#[derive(Debug, Clone)]
pub struct Slot {
    /// Its number.
    pub id: SlotId,
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
    /// Session of the machine's worker in which it began; 0 if it is not known.
    pub agent_epoch: u64,
    /// What it takes of the machine.
    pub amounts: Amounts,
    /// The team that pays while it is idle.
    pub payer: TeamName,
    /// What it costs in an hour now.
    pub price_per_hour: MicroUnits,
    /// Where it stands.
    pub state: SlotState,
    /// Seen since this leader began; else it may be gone for a while already.
    pub reported_since_failover: bool,
    /// Steady time at which it began, or was taken over.
    pub since_ms: u64,
    /// Time of the bill until which its charges are in `charges` or recorded.
    pub(crate) charged_until_ms: u64,
    /// Charges that are not recorded yet.
    pub(crate) charges: Vec<Charge>,
    /// Version of its record; 0 if there is none.
    pub(crate) version: u64,
    /// Its record is to be written or deleted.
    pub(crate) changed: bool,
}

impl Slot {
    /// Changes its state.
    pub(crate) fn enter(&mut self, to: SlotState, transitions: &mut Vec<Transition>) {
        let from = Some(std::mem::replace(&mut self.state, to.clone()));
        transitions.push(Transition { slot: self.id, pool: self.pool.clone(), from, to });
    }

    /// Does it count as one of the pool's replicas, idle or about to be?
    pub fn is_available(&self) -> bool {
        matches!(self.state, SlotState::Loading | SlotState::Idle)
    }

    /// May a task claim it now? Room that is held without a model may be claimed before the image
    /// is there.
    pub fn is_claimable(&self) -> bool {
        self.version > 0
            && match self.state {
                SlotState::Idle => true,
                SlotState::Loading => self.keep == HoldKind::Image,
                _ => false,
            }
    }

    /// Does it hold room that no attempt of a task takes?
    pub fn reserves_capacity(&self) -> bool {
        matches!(self.state, SlotState::Loading | SlotState::Idle | SlotState::Abandoned | SlotState::Draining(_))
    }

    /// Is there a record of it, so that a successor knows of what is ordered for it?
    pub fn is_recorded(&self) -> bool {
        self.version > 0
    }

    /// The claim, recorded or not.
    pub fn claim(&self) -> Option<&Claim> {
        match &self.state {
            SlotState::Claiming(claim) | SlotState::Claimed(claim) => Some(claim),
            _ => None,
        }
    }
}
