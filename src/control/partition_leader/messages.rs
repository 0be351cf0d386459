//! Messages to the actor of a partition, and its answers.

use super::stored_records::{ExternalRecords, Loaded};
use crate::borrowing::BorrowingResponse;
use crate::clients::RentResult;
use crate::configuration::AppliedConfiguration;
use crate::control::membership::RaisedToken;
use crate::control::partition::{CommitOutcome, DirectCommand, DirectCommandOutcome, Waiter};
use crate::model::FencingToken;
use crate::model::{HostRecord, InstanceType};
use crate::transport::peer::{CapacityReport, Machines, PeerResponse, UserCall};
use crate::warm_pools::WarmPoolsResponse;
use crate::wire::{Heartbeat, Item, ListedInstance, Order};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, oneshot};

/// Messages to the actor of a partition.
pub enum Message {
    /// A worker reports.
    Heartbeat {
        /// The report.
        heartbeat: Arc<Heartbeat>,
        /// Takes the reply to it.
        reply: oneshot::Sender<HeartbeatReply>,
    },
    /// A user asks.
    User {
        /// What the user asks.
        call: UserCall,
        /// Takes the answer.
        reply: Waiter,
    },
    /// Another partition tells the provisioner which machines it needs.
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
    /// An operator asks how the warm pools are.
    Pools(oneshot::Sender<WarmPoolsResponse>),
    /// An operator asks how the loans are.
    Loans(oneshot::Sender<BorrowingResponse>),
    /// The figures of the partition are asked for.
    Metrics(oneshot::Sender<String>),
    /// What a background task reports; dropped if its session is over.
    Background {
        /// Number of the session that the task belongs to.
        leadership_epoch: u64,
        /// The report.
        event: BackgroundEvent,
    },
}

/// What background tasks of a session report.
pub enum BackgroundEvent {
    /// The provisioner's answer: machines on their way here, and those that the cloud has refused.
    PendingMachine {
        /// Machines on their way to this partition.
        pending_machines: Vec<Machines>,
        /// Kinds of machines that cannot be had now.
        refused: Vec<Machines>,
    },
    /// The record of a machine as the state service has it now.
    Rechecked {
        /// Id of the machine.
        host: String,
        /// Its record; `None` if there is none.
        record: Option<HostRecord>,
    },
    /// The partition's records have been read.
    Loaded(Loaded),
    /// A direct command has ended.
    DirectDone {
        /// The command.
        command: DirectCommand,
        /// How it ended.
        result: DirectCommandOutcome,
    },
    /// A commit has ended.
    Committed(CommitOutcome),
    /// Records that were read again after a conflict.
    Reread(Vec<Item>),
    /// Jobs that other nodes accepted.
    Inbox(Vec<Item>),
    /// The records of jobs that a submission names, by id; `None` if they could not be read.
    DependenciesRead {
        /// Number of the submission.
        submission: u64,
        /// The records; `None` where there is none.
        found: Option<Vec<(String, Option<Item>)>>,
    },
    /// Records of jobs of other partitions that are waited for.
    ExternalDependenciesRead(ExternalRecords),
    /// Records of warm pools and loans that were unclear, by key; `None` where there is none.
    IndeterminateRead(Vec<(String, Option<Item>)>),
    /// The fencing token was raised; none if that failed.
    Raised(Option<RaisedToken>),
    /// It was recorded that this leader obeys a version of the configuration; `None` if that failed.
    ConfigurationRecorded(Option<AppliedConfiguration>),
    /// The partition has another leader, or none.
    Superseded,
    /// A rental request has ended.
    Rented {
        /// Name of the request.
        name: String,
        /// How it ended.
        result: RentResult,
    },
    /// A request to release machines has ended.
    Released {
        /// Ids of the machines.
        hosts: Vec<String>,
        /// True if the cloud has confirmed that they are gone.
        confirmed: bool,
    },
    /// The cloud's list of machines.
    ListedInstance(Vec<ListedInstance>),
    /// The cloud's machine types.
    InstanceTypes(Vec<InstanceType>),
}

/// What becomes of a report.
#[derive(Debug)]
pub enum HeartbeatReply {
    /// The token and the orders.
    Orders {
        /// The fencing token: the leader's fencing token.
        fencing_token: FencingToken,
        /// What the worker is to do.
        orders: Vec<Order>,
    },
    /// This node may not act for the machine now.
    NotEntitled,
    /// The machine belongs to that partition.
    Elsewhere(u32),
    /// The machine is not this partition's.
    Unknown,
}

/// The way back to the actor for the background tasks of one session.
#[derive(Clone)]
pub(super) struct BackgroundSender {
    pub(super) leadership_epoch: u64,
    pub(super) tx: mpsc::Sender<Message>,
    pub(super) current: Arc<AtomicU64>,
}

impl BackgroundSender {
    /// Reports to the actor; false if it has ended.
    pub(super) async fn send(&self, event: BackgroundEvent) -> bool {
        self.tx.send(Message::Background { leadership_epoch: self.leadership_epoch, event }).await.is_ok()
    }

    /// True while the session is under way.
    pub(super) fn is_current(&self) -> bool {
        self.current.load(Ordering::Relaxed) == self.leadership_epoch
    }
}
