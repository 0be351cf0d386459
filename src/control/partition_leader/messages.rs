//! Messages to the actor of a partition, and its replies.

use super::stored_records::{ExternalDependencyRecords, StoredRecords};
use crate::borrowing::BorrowingResponse;
use crate::clients::RentResult;
use crate::configuration::AppliedConfiguration;
use crate::control::membership::RaisedFencingToken;
use crate::control::partition::{CommitOutcome, DirectCommand, DirectCommandOutcome, Waiter};
use crate::model::{FencingToken, HostRecord, InstanceType};
use crate::transport::peer::{CapacityReport, MachineGroup, PeerResponse, UserCall};
use crate::warm_pools::WarmPoolsResponse;
use crate::wire::{Heartbeat, KeyValue, ListedInstance, Order};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, oneshot};

/// Message to the actor of a partition.
pub enum PartitionMessage {
    /// A worker sends a heartbeat.
    Heartbeat {
        /// Heartbeat of the worker.
        heartbeat: Arc<Heartbeat>,
        /// Instant at which the message was queued, in milliseconds of the steady clock.
        queued_ms: u64,
        /// Receives the reply to the heartbeat.
        reply: oneshot::Sender<HeartbeatReply>,
    },
    /// A user sends a request.
    User {
        /// Request of the user.
        call: UserCall,
        /// Instant at which the message was queued, in milliseconds of the steady clock.
        queued_ms: u64,
        /// Receives the answer.
        reply: Waiter,
    },
    /// Another partition reports to the provisioner which machines it needs.
    CapacityReport {
        /// Report of the needed machines.
        capacity_report: CapacityReport,
        /// Receives the provisioner's answer.
        reply: oneshot::Sender<PeerResponse>,
    },
    /// The provisioner requests the transfer of a machine to another partition.
    TransferHost {
        /// Id of the machine.
        host: String,
        /// Number of the partition that is to get the machine.
        to: u32,
        /// Receives the confirmation.
        reply: oneshot::Sender<PeerResponse>,
    },
    /// An operator requests the status of the warm pools.
    PoolStatus(oneshot::Sender<WarmPoolsResponse>),
    /// An operator requests the status of the loans.
    LoanStatus(oneshot::Sender<BorrowingResponse>),
    /// The node collects the metrics of the partition.
    Metrics(oneshot::Sender<String>),
    /// A background task reports. The message is dropped unless its leadership is current.
    Background {
        /// Epoch of the leadership that the task belongs to.
        leadership_epoch: u64,
        /// Content of the report.
        event: BackgroundEvent,
    },
}

/// Report of a background task of a leadership.
pub enum BackgroundEvent {
    /// The provisioner has answered a capacity report.
    PendingMachines {
        /// Machines on their way to this partition.
        pending_machines: Vec<MachineGroup>,
        /// Kinds of machines that the cloud refuses to provide at present.
        refused: Vec<MachineGroup>,
    },
    /// The record of a machine has been read from the state service.
    HostRecordRead {
        /// Id of the machine.
        host: String,
        /// Record of the machine; `None` if there is none.
        record: Option<HostRecord>,
    },
    /// The partition's records have been read.
    RecordsLoaded {
        /// Records that were read.
        records: StoredRecords,
        /// Number of attempts, the successful one included.
        attempts: u32,
    },
    /// A direct command has ended.
    DirectCommandEnded {
        /// Command that has ended.
        command: DirectCommand,
        /// Outcome of the request.
        result: DirectCommandOutcome,
    },
    /// A commit has ended.
    CommitEnded(CommitOutcome),
    /// Records have been read again after a conflict of a commit.
    RecordsReread(Vec<KeyValue>),
    /// Jobs that other nodes accepted for this partition have been read.
    InboxRead(Vec<KeyValue>),
    /// The records of the jobs that a submission depends on have been read.
    DependenciesRead {
        /// Number of the submission.
        submission: u64,
        /// Records by id of the job, each `None` if there is none; `None` if they could not be read.
        found: Option<Vec<(String, Option<KeyValue>)>>,
    },
    /// Records of jobs of other partitions that jobs of this one depend on have been read.
    ExternalDependenciesRead(ExternalDependencyRecords),
    /// Indeterminate records of warm pools and loans have been read, by key; `None` where there is
    /// none.
    IndeterminateRecordsRead(Vec<(String, Option<KeyValue>)>),
    /// A raise of the fencing token has ended; `None` if it failed.
    TokenRaiseEnded(Option<RaisedFencingToken>),
    /// A write of the applied configuration version has ended; `None` if it failed.
    ConfigurationRecorded(Option<AppliedConfiguration>),
    /// The partition's key no longer belongs to this leadership: another node leads the partition, or
    /// none does.
    LeadershipLost,
    /// A scale-out request to the cloud has ended.
    ScaleOutEnded {
        /// Name of the request.
        name: String,
        /// Outcome of the request.
        result: RentResult,
    },
    /// A request to terminate machines has ended.
    TerminationEnded {
        /// Ids of the machines.
        hosts: Vec<String>,
        /// Whether the cloud has confirmed their termination.
        confirmed: bool,
    },
    /// The cloud's list of machines has been read.
    InstancesListed(Vec<ListedInstance>),
    /// The cloud's machine types have been read.
    InstanceTypesRead(Vec<InstanceType>),
}

/// Reply to a heartbeat.
#[derive(Debug)]
pub enum HeartbeatReply {
    /// The machine belongs to this partition and receives its orders.
    Orders {
        /// Fencing token of the leader.
        fencing_token: FencingToken,
        /// Orders that the worker has to carry out.
        orders: Vec<Order>,
    },
    /// This node may not act for the machine now, because it does not lead the partition or may have
    /// lost the leadership. The worker is referred to the leader or asked to retry. It never gets an
    /// answer that it would have to discard.
    NotLeader,
    /// The machine belongs to the partition of this number.
    OtherPartition(u32),
    /// The machine does not belong to this partition, and no other partition of it is known.
    Unknown,
}

/// Sender for the reports of background tasks of one leadership to the actor.
#[derive(Clone)]
pub(super) struct BackgroundSender {
    pub(super) leadership_epoch: u64,
    pub(super) actor: mpsc::Sender<PartitionMessage>,
    pub(super) current_epoch: Arc<AtomicU64>,
}

impl BackgroundSender {
    /// Sends a report to the actor; returns false if the actor has ended.
    pub(super) async fn send(&self, event: BackgroundEvent) -> bool {
        self.actor.send(PartitionMessage::Background { leadership_epoch: self.leadership_epoch, event }).await.is_ok()
    }

    /// Returns whether the leadership is current. A task that repeats requests ends once it is not.
    pub(super) fn is_current(&self) -> bool {
        self.current_epoch.load(Ordering::Relaxed) == self.leadership_epoch
    }
}
