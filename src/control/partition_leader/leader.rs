//! The actor's settings, clients and channels.

use super::messages::{BackgroundSender, Message};
use crate::borrowing::BorrowingResponse;
use crate::clients::{Cloud, StateStore, Worker};
use crate::control::membership::{self, LeaderLease, PledgeStatus};
use crate::control::router::Router;
use crate::settings::{Operator, Settings};
use crate::warm_pools::WarmPoolsResponse;
use badgerdrift_borrowing::BorrowingSettings;
use badgerdrift_warm_pools::PoolSettings;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use tokio::sync::mpsc;

/// The partition whose leader is the provisioner of all.
pub(super) const PROVISIONER_PARTITION: u32 = 0;
/// The answer about pools of a leader that has not read its records.
pub(super) const POOLS_RETRY_LATER: WarmPoolsResponse = WarmPoolsResponse::RetryLater(1);
/// Writes may come in bursts of so many seconds.
pub(super) const WRITE_BURST_S: f64 = 0.8;
/// The answer about loans of a leader that has not read its records.
pub(super) const LOANS_RETRY_LATER: BorrowingResponse = BorrowingResponse::RetryLater(1);

/// The actor of a partition: its settings, clients and channels. What it keeps while this node
/// leads is a `Leadership`.
pub struct PartitionLeader {
    /// Number of the partition.
    pub id: u32,
    /// The settings of the platform.
    pub settings: Settings,
    /// The settings of the operator.
    pub operator: Operator,
    /// Pools of warm replicas; none are kept if absent.
    pub pools: Option<Arc<PoolSettings>>,
    /// Which teams lend to which; nothing is lent if absent.
    pub borrowing: Option<Arc<BorrowingSettings>>,
    /// The state store.
    pub state: StateStore,
    /// The cloud.
    pub cloud: Cloud,
    /// Sends direct commands to workers.
    pub worker: Worker,
    /// Until when this node may act for the partition.
    pub leader_lease: LeaderLease,
    /// The pledges between the controllers.
    pub pledge_status: PledgeStatus,
    /// Mailbox of the partition's election actor.
    pub election: mpsc::Sender<membership::Message>,
    /// Routes requests to the other partitions.
    pub router: Router,
    /// Mailbox of this actor, for its background tasks.
    pub own_messages: mpsc::Sender<Message>,
    /// Number of the leadership under way; 0 if none.
    pub current_epoch: Arc<AtomicU64>,
}

impl PartitionLeader {
    /// The sender for background tasks of a leadership.
    pub(super) fn sender(&self, leadership_epoch: u64) -> BackgroundSender {
        BackgroundSender {
            leadership_epoch,
            actor: self.own_messages.clone(),
            current_epoch: self.current_epoch.clone(),
        }
    }

    /// For how many milliseconds a report of one partition to another counts.
    pub(super) fn report_validity_ms(&self) -> u64 {
        3 * self.settings.report_ms()
    }
}
