//! Settings, clients and channels of the actor.

use super::messages::{BackgroundSender, PartitionMessage};
use crate::borrowing::BorrowingResponse;
use crate::clients::{Cloud, StateStore, Worker};
use crate::control::membership::{self, LeaderLease, PledgeStatus};
use crate::control::router::Router;
use crate::settings::{OperatorSettings, Settings};
use crate::warm_pools::WarmPoolsResponse;
use badgerdrift_borrowing::BorrowingSettings;
use badgerdrift_warm_pools::PoolSettings;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use tokio::sync::mpsc;

/// Partition whose leader is the provisioner for all partitions.
pub(super) const PROVISIONER_PARTITION: u32 = 0;
/// Answer to a request about warm pools while the leader has not read its records.
pub(super) const POOLS_RETRY_LATER: WarmPoolsResponse = WarmPoolsResponse::RetryLater(1);
/// Largest burst of writes, in seconds of their rate.
pub(super) const WRITE_BURST_S: f64 = 0.8;
/// Answer to a request about loans while the leader has not read its records.
pub(super) const LOANS_RETRY_LATER: BorrowingResponse = BorrowingResponse::RetryLater(1);

/// Actor of a partition: its settings, clients and channels. A `Leadership` has the state that it
/// keeps while this node leads.
pub struct PartitionLeader {
    /// Number of the partition.
    pub id: u32,
    /// Settings of the platform.
    pub settings: Settings,
    /// Settings of the operator.
    pub operator: OperatorSettings,
    /// Settings of the warm pools; `None` without pools.
    pub pools: Option<Arc<PoolSettings>>,
    /// Settings of the loans between teams; `None` without borrowing.
    pub borrowing: Option<Arc<BorrowingSettings>>,
    /// Client of the state service.
    pub state: StateStore,
    /// Client of the cloud.
    pub cloud: Cloud,
    /// Client for direct commands to workers.
    pub worker: Worker,
    /// Lease that decides whether this node may act for the partition now.
    pub leader_lease: LeaderLease,
    /// Pledges for the partition that this node has given and received.
    pub pledge_status: PledgeStatus,
    /// Mailbox of the partition's election actor.
    pub election: mpsc::Sender<membership::ElectionMessage>,
    /// Router for requests to the other partitions.
    pub router: Router,
    /// Mailbox of this actor, for the reports of its background tasks.
    pub own_messages: mpsc::Sender<PartitionMessage>,
    /// Epoch of the current leadership; 0 if there is none.
    pub current_epoch: Arc<AtomicU64>,
}

impl PartitionLeader {
    /// Returns the sender for background tasks of a leadership.
    pub(super) fn sender(&self, leadership_epoch: u64) -> BackgroundSender {
        BackgroundSender {
            leadership_epoch,
            actor: self.own_messages.clone(),
            current_epoch: self.current_epoch.clone(),
        }
    }

    /// Returns for how many milliseconds a report of one partition to another is valid.
    pub(super) fn report_validity_ms(&self) -> u64 {
        3 * self.settings.report_ms()
    }
}
