//! What the actor of a partition works with.

use super::messages::{BackgroundSender, Message};
use crate::borrowing::BorrowingResponse;
use crate::clients::{Cloud, State, Worker};
use crate::control::membership::{self, LeaderLease, PledgeStatus};
use crate::control::router::Router;
use crate::settings::{Operator, Settings};
use crate::warm_pools::WarmPoolsResponse;
use badgerdrift_borrowing::BorrowingSettings;
use badgerdrift_warm_pools::PoolSettings;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use tokio::sync::mpsc;

/// The answer about pools of a leader that has not read its records.
pub(super) const RETRY_POOLS: WarmPoolsResponse = WarmPoolsResponse::RetryLater(1);
/// Writes may come in bursts of so many seconds' worth.
pub(super) const WRITE_BURST_S: f64 = 0.8;
/// The answer about loans of a leader that has not read its records.
pub(super) const RETRY_LOANS: BorrowingResponse = BorrowingResponse::RetryLater(1);

/// What the actor works with.
pub struct PartitionLeader {
    /// Number of the partition.
    pub id: u32,
    /// What the platform prescribes.
    pub settings: Settings,
    /// What the operator chooses.
    pub operator: Operator,
    /// Pools of warm replicas; none are kept if absent.
    pub pools: Option<Arc<PoolSettings>>,
    /// Who lends to whom; nothing is lent if absent.
    pub borrowing: Option<Arc<BorrowingSettings>>,
    /// The state service.
    pub state: State,
    /// The cloud.
    pub cloud: Cloud,
    /// The way to the workers.
    pub worker: Worker,
    /// Until when this node may act for the partition.
    pub leader_lease: LeaderLease,
    /// Promises between the controllers.
    pub pledge_status: PledgeStatus,
    /// The way to the partition's membership actor.
    pub members: mpsc::Sender<membership::Message>,
    /// The ways to the other partitions.
    pub router: Router,
    /// The way to this actor, for its background tasks.
    pub tx: mpsc::Sender<Message>,
    /// Number of the leadership epoch under way; 0 if none.
    pub current: Arc<AtomicU64>,
}

impl PartitionLeader {
    /// The way back to this actor for background tasks of a session.
    pub(super) fn sender(&self, leadership_epoch: u64) -> BackgroundSender {
        BackgroundSender { leadership_epoch, tx: self.tx.clone(), current: self.current.clone() }
    }

    /// How long what one partition told another counts.
    pub(super) fn patience(&self) -> u64 {
        3 * self.settings.report_ms()
    }
}
