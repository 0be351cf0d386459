//! The task that proposes: it brings entries into the log, one version after the other.

use super::handle::ConfigurationHandle;
use super::messages::{ConfigurationRequest, ConfigurationResponse, UnavailableReason};
use super::regions::Regions;
use crate::clients::write_limits::{WriteLimits, json_bytes};
use crate::runtime::metrics::SharedMetrics;
use crate::runtime::{sync, task};
use badgerdrift_fleet_config::{
    Ballot, Batch, ChangeOutcome, Entry, Proposer, ProposerId, Rejection, Reply, Request, Step,
};
use rand::RngExt;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

/// Entries that wait to be proposed, at the most.
const MAX_QUEUED: usize = 512;
/// Attempts at one batch before its outcome is answered as indeterminate.
const MOST_ATTEMPTS: u32 = 8;
/// A record holds a batch twice, with the documents before it.
const BATCH_SHARE: usize = 3;
/// Changes of a commit that are not documents: the region's record, and the log.
const OTHER_CHANGES: usize = 3;

/// An entry to be proposed.
pub(super) struct Proposed {
    pub(super) entry: Entry,
    /// Takes the outcome of a change.
    pub(super) reply: Option<oneshot::Sender<ConfigurationResponse>>,
}

/// Proposes what this node is asked for.
pub(super) struct Proposals {
    proposer: ProposerId,
    genesis: u64,
    handle: ConfigurationHandle,
    regions: Regions,
    limits: WriteLimits,
    pause: Duration,
    metrics: SharedMetrics,
    /// The largest round seen so far.
    round: u64,
}

/// What became of an attempt.
enum Attempt {
    /// This batch is in the log now; it may be another one than was proposed.
    Decided(Batch),
    /// Another attempt conflicts.
    Conflict,
    /// Too few regions answered.
    NoMajority,
}

impl Proposals {
    /// Starts the task; the sender of its queue.
    pub(super) fn start(
        node: String,
        genesis: u64,
        handle: ConfigurationHandle,
        regions: Regions,
        limits: WriteLimits,
        react: Duration,
        metrics: SharedMetrics,
    ) -> mpsc::Sender<Proposed> {
        let (tx, rx) = mpsc::channel(MAX_QUEUED);
        let proposer = ProposerId { node, incarnation: rand::rng().random() };
        let proposals = Proposals { proposer, genesis, handle, regions, limits, pause: react / 10, metrics, round: 0 };
        task::spawn(proposals.run(rx));
        tx
    }

    async fn run(mut self, mut rx: mpsc::Receiver<Proposed>) {
        let mut next = None;
        loop {
            let first = match next.take() {
                Some(proposed) => proposed,
                None => match rx.recv().await {
                    Some(proposed) => proposed,
                    None => return,
                },
            };
            let mut taken = vec![first];
            // What has come meanwhile goes into the same version, as far as that takes it.
            while let Ok(proposed) = rx.try_recv() {
                if !self.fits(taken.iter().chain([&proposed]).map(|proposed| &proposed.entry)) {
                    next = Some(proposed);
                    break;
                }
                taken.push(proposed);
            }
            if self.fits(taken.iter().map(|proposed| &proposed.entry)) {
                self.propose(taken).await;
            } else {
                self.refuse(taken, UnavailableReason::TooLarge);
            }
        }
    }

    /// Do the records of these entries keep to the limits of the state service?
    fn fits<'a>(&self, entries: impl Iterator<Item = &'a Entry>) -> bool {
        let (mut documents, mut bytes) = (0, 0);
        for entry in entries {
            bytes += json_bytes(entry);
            if let Entry::Change(change) = entry {
                documents += change.writes.len();
            }
        }
        bytes * BATCH_SHARE <= self.limits.value_bytes && documents + OTHER_CHANGES <= self.limits.commit_changes
    }

    /// Proposes entries until they are in the log, or their outcome stays indeterminate.
    async fn propose(&mut self, taken: Vec<Proposed>) {
        let batch = Batch { entries: taken.iter().map(|proposed| proposed.entry.clone()).collect() };
        for attempt in 0..MOST_ATTEMPTS {
            match self.attempt(&batch).await {
                Attempt::Decided(decided) if decided == batch => return self.answer(taken).await,
                // The version went to somebody else: it is tried again with the next one.
                Attempt::Decided(_) => {}
                Attempt::Conflict | Attempt::NoMajority => {
                    let spread = rand::rng().random_range(0.5..1.5);
                    sleep(self.pause.mul_f64(spread * f64::from(attempt + 1))).await;
                }
            }
        }
        self.refuse(taken, UnavailableReason::Indeterminate);
    }

    /// One attempt at the next version.
    async fn attempt(&mut self, batch: &Batch) -> Attempt {
        let Some(published) = self.handle.published() else { return Attempt::NoMajority };
        let version = published.state.version + 1;
        self.round += 1;
        let ballot = Ballot { round: self.round, proposer: self.proposer.clone() };
        let mut proposer = Proposer::new(version, ballot.clone(), batch.clone(), published.state.regions.len());
        let prepare = Request::Prepare { version, ballot: ballot.clone() };
        let accept = match self.ask_all(&mut proposer, prepare).await {
            Ok(Step::Accept(batch)) => batch,
            Ok(_) => return Attempt::NoMajority,
            Err(()) => return Attempt::Conflict,
        };
        let request = Request::Accept { version, ballot, batch: accept };
        match self.ask_all(&mut proposer, request).await {
            Ok(Step::Decided(batch)) => {
                self.broadcast(&Request::Learn { version, batch: batch.clone() }).await;
                Attempt::Decided(batch)
            }
            Ok(_) => Attempt::NoMajority,
            Err(()) => Attempt::Conflict,
        }
    }

    /// Asks all regions at once until the proposer goes on; an error if a larger ballot or a later
    /// version was met.
    async fn ask_all(&mut self, proposer: &mut Proposer, request: Request) -> Result<Step, ()> {
        let mut replies = self.send_to_all(&request);
        let mut conflicting = false;
        while let Some((region, reply)) = replies.recv().await {
            let step = match reply {
                Reply::Promised(accepted) => proposer.promised(region, accepted),
                Reply::Accepted => proposer.accepted(region),
                Reply::Learned => Step::Wait,
                Reply::Rejected { rejection: Rejection::Outbid(ballot), .. } => {
                    self.round = self.round.max(ballot.round);
                    conflicting = true;
                    Step::Wait
                }
                Reply::Rejected { rejection, .. } => {
                    conflicting |= rejection == Rejection::Decided;
                    Step::Wait
                }
            };
            if step != Step::Wait {
                return Ok(step);
            }
        }
        if conflicting { Err(()) } else { Ok(Step::Wait) }
    }

    /// Sends a batch to all regions; returns once this one has it.
    async fn broadcast(&self, request: &Request) {
        let own = self.handle.region.clone();
        let mut replies = self.send_to_all(request);
        while let Some((region, _)) = replies.recv().await {
            if region == own {
                return;
            }
        }
    }

    /// Sends a request to all regions, this one included.
    fn send_to_all(&self, request: &Request) -> mpsc::Receiver<(String, Reply)> {
        let request = ConfigurationRequest::Agreement { genesis: self.genesis, request: request.clone() };
        let names = self.regions.names();
        let (tx, rx) = mpsc::channel(names.len() + 1);
        for name in names {
            let (regions, request, tx) = (self.regions.clone(), request.clone(), tx.clone());
            task::spawn(async move {
                if let Some(ConfigurationResponse::Agreement(reply)) = regions.ask(&name, &request).await {
                    // The proposer may have its majority without this reply.
                    let _ = tx.send((name, reply)).await;
                }
            });
        }
        let handle = self.handle.clone();
        task::spawn(async move {
            if let ConfigurationResponse::Agreement(reply) = handle.answer(request).await {
                // As above.
                let _ = tx.send((handle.region.clone(), reply)).await;
            }
        });
        rx
    }

    /// Answers with the outcomes, which this region knows once it has applied the version.
    async fn answer(&self, taken: Vec<Proposed>) {
        for Proposed { entry, reply } in taken {
            let Some(reply) = reply else { continue };
            let Entry::Change(change) = entry else {
                sync::reply(reply, ConfigurationResponse::Outcome(None));
                continue;
            };
            let response = match self.handle.answer(ConfigurationRequest::Outcome(change.id)).await {
                ConfigurationResponse::Outcome(None) => {
                    ConfigurationResponse::Unavailable(UnavailableReason::Indeterminate)
                }
                other => other,
            };
            self.count(&response);
            sync::reply(reply, response);
        }
    }

    fn refuse(&self, taken: Vec<Proposed>, reason: UnavailableReason) {
        for reply in taken.into_iter().filter_map(|proposed| proposed.reply) {
            let response = ConfigurationResponse::Unavailable(reason);
            self.count(&response);
            sync::reply(reply, response);
        }
    }

    /// Counts the outcome of a change, and logs it.
    fn count(&self, response: &ConfigurationResponse) {
        let label = match response {
            ConfigurationResponse::Outcome(Some(ChangeOutcome::Taken { .. })) => "taken",
            ConfigurationResponse::Unavailable(UnavailableReason::Indeterminate) => "unclear",
            _ => "refused",
        };
        self.metrics.count("configuration_changes", label);
        tracing::info!(outcome = label, ?response, "configuration change");
    }
}
