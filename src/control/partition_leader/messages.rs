//! Messages to the actor of a partition, and its answers.

use super::stored_records::{ExternalDependencyRecords, StoredRecords};
use crate::borrowing::BorrowingResponse;
use crate::clients::RentResult;
use crate::configuration::AppliedConfiguration;
use crate::control::membership::RaisedToken;
use crate::control::partition::{CommitOutcome, DirectCommand, DirectCommandOutcome, Waiter};
use crate::model::{FencingToken, HostRecord, InstanceType};
use crate::transport::peer::{CapacityReport, Machines, PeerResponse, UserCall};
use crate::warm_pools::WarmPoolsResponse;
use crate::wire::{Heartbeat, Item, ListedInstance, Order};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, oneshot};

/// Messages to the actor of a partition.
pub enum Message {
    /// A heartbeat of a worker.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Arc<Heartbeat>,
        /// Takes the reply to it.
        reply: oneshot::Sender<HeartbeatReply>,
    },
    /// A request of a user.
    User {
        /// The request.
        call: UserCall,
        /// Takes the answer.
        reply: Waiter,
    },
    /// Another partition reports to the provisioner which machines it needs.
    CapacityReport {
        /// The report.
        capacity_report: CapacityReport,
        /// Takes the provisioner's answer.
        reply: oneshot::Sender<PeerResponse>,
    },
    /// The provisioner asks that a machine be given to another partition.
    TransferHost {
        /// Id of the machine.
        host: String,
        /// The partition that is to get it.
        to: u32,
        /// Takes the confirmation.
        reply: oneshot::Sender<PeerResponse>,
    },
    /// An operator asks for the status of the warm pools.
    PoolStatus(oneshot::Sender<WarmPoolsResponse>),
    /// An operator asks for the status of the loans.
    LoanStatus(oneshot::Sender<BorrowingResponse>),
    /// The metrics of the partition are collected.
    Metrics(oneshot::Sender<String>),
    /// A background task reports; dropped unless its leadership is under way.
    Background {
        /// Number of the leadership that the task belongs to.
        leadership_epoch: u64,
        /// The report.
        event: BackgroundEvent,
    },
}

/// What background tasks of a leadership report.
pub enum BackgroundEvent {
    /// The provisioner's answer to a capacity report.
    PendingMachines {
        /// Machines on their way to this partition.
        pending_machines: Vec<Machines>,
        /// Kinds of machines that cannot be had now.
        refused: Vec<Machines>,
    },
    /// The record of a machine as the state store has it now.
    HostRecordRead {
        /// Id of the machine.
        host: String,
        /// Its record; `None` if there is none.
        record: Option<HostRecord>,
    },
    /// The partition's records have been read.
    RecordsLoaded(StoredRecords),
    /// A direct command has ended.
    DirectCommandEnded {
        /// The command.
        command: DirectCommand,
        /// How it ended.
        result: DirectCommandOutcome,
    },
    /// A commit has ended.
    CommitEnded(CommitOutcome),
    /// Records that were read again after a conflict.
    RecordsReread(Vec<Item>),
    /// Jobs that other nodes accepted.
    InboxRead(Vec<Item>),
    /// The records of jobs that a submission names, by id; `None` if they could not be read.
    DependenciesRead {
        /// Number of the submission.
        submission: u64,
        /// The records; `None` where there is none.
        found: Option<Vec<(String, Option<Item>)>>,
    },
    /// Records of jobs of other partitions that are waited for.
    ExternalDependenciesRead(ExternalDependencyRecords),
    /// Records of warm pools and loans that were indeterminate, by key; `None` where there is none.
    IndeterminateRecordsRead(Vec<(String, Option<Item>)>),
    /// A raise of the fencing token has ended; `None` if it failed.
    TokenRaiseEnded(Option<RaisedToken>),
    /// The version of the configuration that this leader applies was recorded; `None` if that failed.
    ConfigurationRecorded(Option<AppliedConfiguration>),
    /// The partition has another leader, or none: its key is not the one of this leadership.
    LeadershipLost,
    /// A rental request has ended.
    RentEnded {
        /// Name of the request.
        name: String,
        /// How it ended.
        result: RentResult,
    },
    /// A request to release machines has ended.
    ReleaseEnded {
        /// Ids of the machines.
        hosts: Vec<String>,
        /// True if the cloud has confirmed that they are gone.
        confirmed: bool,
    },
    /// The cloud's list of machines.
    InstancesListed(Vec<ListedInstance>),
    /// The cloud's machine types.
    InstanceTypesRead(Vec<InstanceType>),
}

/// The reply to a heartbeat.
#[derive(Debug)]
pub enum HeartbeatReply {
    /// The host is of this partition; with its orders.
    Orders {
        /// The leader's fencing token.
        fencing_token: FencingToken,
        /// What the worker has to do.
        orders: Vec<Order>,
    },
    /// This node may not act for the machine now: it does not lead the partition, or not surely. The
    /// worker is referred to the leader or asked to retry, and never gets an answer that it would
    /// have to discard.
    NotLeader,
    /// The machine belongs to that partition.
    Elsewhere(u32),
    /// The machine is not this partition's.
    Unknown,
}

/// Sends the reports of the background tasks of one leadership to the actor.
#[derive(Clone)]
pub(super) struct BackgroundSender {
    pub(super) leadership_epoch: u64,
    pub(super) actor: mpsc::Sender<Message>,
    pub(super) current_epoch: Arc<AtomicU64>,
}

impl BackgroundSender {
    /// Reports to the actor; false if it has ended.
    pub(super) async fn send(&self, event: BackgroundEvent) -> bool {
        self.actor.send(Message::Background { leadership_epoch: self.leadership_epoch, event }).await.is_ok()
    }

    /// True while the leadership is under way. A task that repeats requests ends once it is not.
    pub(super) fn is_current(&self) -> bool {
        self.current_epoch.load(Ordering::Relaxed) == self.leadership_epoch
    }
}
