//! Task that proposes entries for the configuration log, one version at a time.

use super::handle::ConfigurationHandle;
use super::messages::{ConfigurationRequest, ConfigurationResponse, UnavailableReason};
use super::regions::RegionClients;
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

/// Capacity of the queue of entries to be proposed.
const MAX_QUEUED_ENTRIES: usize = 512;
/// Number of attempts at one batch after which its outcome is reported as indeterminate.
const MAX_ATTEMPTS: u32 = 8;
/// Factor from the size of a batch to the size of a record: a record may hold the batch twice, besides
/// the documents as they were before it.
const RECORD_SIZE_FACTOR: usize = 3;
/// Changes of a commit that are not documents: the region's record, the new log entry and the deletion
/// of an old one.
const NON_DOCUMENT_CHANGES: usize = 3;

/// An entry to be proposed, with the channel for its outcome.
pub(super) struct ProposedEntry {
    pub(super) entry: Entry,
    /// Channel for the outcome of a change; `None` if no caller waits for it.
    pub(super) reply: Option<oneshot::Sender<ConfigurationResponse>>,
}

/// State of the task that proposes entries on this node.
pub(super) struct ProposalTask {
    proposer: ProposerId,
    genesis: u64,
    handle: ConfigurationHandle,
    regions: RegionClients,
    limits: WriteLimits,
    /// Base of the delay between two attempts.
    retry_delay: Duration,
    metrics: SharedMetrics,
    /// Largest ballot round seen so far.
    round: u64,
}

/// Result of one attempt to reach agreement on a version.
enum Attempt {
    /// The batch that was agreed on, which may differ from the proposed one.
    Decided(Batch),
    /// A larger ballot or a later version was found.
    Conflict,
    /// Too few regions answered for a majority.
    NoMajority,
}

impl ProposalTask {
    /// Starts the task and returns the sender of its queue.
    pub(super) fn start(
        node: String,
        genesis: u64,
        handle: ConfigurationHandle,
        regions: RegionClients,
        limits: WriteLimits,
        reaction_time: Duration,
        metrics: SharedMetrics,
    ) -> mpsc::Sender<ProposedEntry> {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_ENTRIES);
        let proposer = ProposerId { node, incarnation: rand::rng().random() };
        let proposals = ProposalTask {
            proposer,
            genesis,
            handle,
            regions,
            limits,
            retry_delay: reaction_time / 10,
            metrics,
            round: 0,
        };
        task::spawn(proposals.run(rx));
        tx
    }

    async fn run(mut self, mut rx: mpsc::Receiver<ProposedEntry>) {
        let mut deferred = None;
        loop {
            let first = match deferred.take() {
                Some(proposed) => proposed,
                None => match rx.recv().await {
                    Some(proposed) => proposed,
                    None => return,
                },
            };
            let mut proposed_entries = vec![first];
            // Entries that are queued by now join the same version while they fit its limits.
            while let Ok(proposed) = rx.try_recv() {
                if !self.fits_record_limits(proposed_entries.iter().chain([&proposed]).map(|proposed| &proposed.entry))
                {
                    deferred = Some(proposed);
                    break;
                }
                proposed_entries.push(proposed);
            }
            if self.fits_record_limits(proposed_entries.iter().map(|proposed| &proposed.entry)) {
                self.propose(proposed_entries).await;
            } else {
                self.reply_unavailable(proposed_entries, UnavailableReason::TooLarge);
            }
        }
    }

    /// Returns whether the records of these entries keep within the limits of the state service.
    fn fits_record_limits<'a>(&self, entries: impl Iterator<Item = &'a Entry>) -> bool {
        let (mut documents, mut bytes) = (0, 0);
        for entry in entries {
            bytes += json_bytes(entry);
            if let Entry::Change(change) = entry {
                documents += change.writes.len();
            }
        }
        bytes * RECORD_SIZE_FACTOR <= self.limits.value_bytes
            && documents + NON_DOCUMENT_CHANGES <= self.limits.commit_changes
    }

    /// Proposes entries as one batch until it is in the log or the attempts are used up, and replies with
    /// the outcomes.
    async fn propose(&mut self, proposed_entries: Vec<ProposedEntry>) {
        let batch = Batch { entries: proposed_entries.iter().map(|proposed| proposed.entry.clone()).collect() };
        for attempt in 0..MAX_ATTEMPTS {
            match self.attempt_next_version(&batch).await {
                Attempt::Decided(decided) if decided == batch => return self.reply_outcomes(proposed_entries).await,
                // Another batch was agreed on for this version: the next attempt is for the version after it.
                Attempt::Decided(_) => {}
                Attempt::Conflict | Attempt::NoMajority => {
                    let jitter = rand::rng().random_range(0.5..1.5);
                    sleep(self.retry_delay.mul_f64(jitter * f64::from(attempt + 1))).await;
                }
            }
        }
        self.reply_unavailable(proposed_entries, UnavailableReason::Indeterminate);
    }

    /// Makes one attempt to reach agreement on the next version.
    async fn attempt_next_version(&mut self, batch: &Batch) -> Attempt {
        let Some(published) = self.handle.published() else { return Attempt::NoMajority };
        let version = published.state.version + 1;
        self.round += 1;
        let ballot = Ballot { round: self.round, proposer: self.proposer.clone() };
        let mut proposer = Proposer::new(version, ballot.clone(), batch.clone(), published.state.regions.len());
        let prepare = Request::Prepare { version, ballot: ballot.clone() };
        let batch_to_accept = match self.request_step(&mut proposer, prepare).await {
            Ok(Step::Accept(batch)) => batch,
            Ok(_) => return Attempt::NoMajority,
            Err(()) => return Attempt::Conflict,
        };
        let request = Request::Accept { version, ballot, batch: batch_to_accept };
        match self.request_step(&mut proposer, request).await {
            Ok(Step::Decided(batch)) => {
                self.broadcast_decided(&Request::Learn { version, batch: batch.clone() }).await;
                Attempt::Decided(batch)
            }
            Ok(_) => Attempt::NoMajority,
            Err(()) => Attempt::Conflict,
        }
    }

    /// Sends a request to all regions at once and returns the first step other than [`Step::Wait`], or
    /// [`Step::Wait`] if the replies do not suffice.
    ///
    /// # Errors
    ///
    /// The replies do not suffice and one of them names a larger ballot or a decided version.
    async fn request_step(&mut self, proposer: &mut Proposer, request: Request) -> Result<Step, ()> {
        let mut replies = self.send_to_all(&request);
        let mut conflict_found = false;
        while let Some((region, reply)) = replies.recv().await {
            let step = match reply {
                Reply::Promised(accepted) => proposer.handle_promise(region, accepted),
                Reply::Accepted => proposer.handle_acceptance(region),
                Reply::Learned => Step::Wait,
                Reply::Rejected { rejection: Rejection::BallotTooLow(ballot), .. } => {
                    self.round = self.round.max(ballot.round);
                    conflict_found = true;
                    Step::Wait
                }
                Reply::Rejected { rejection, .. } => {
                    conflict_found |= rejection == Rejection::Decided;
                    Step::Wait
                }
            };
            if step != Step::Wait {
                return Ok(step);
            }
        }
        if conflict_found { Err(()) } else { Ok(Step::Wait) }
    }

    /// Sends a decided batch to all regions; returns once this region has replied, or no reply is left.
    async fn broadcast_decided(&self, request: &Request) {
        let own = self.handle.region.clone();
        let mut replies = self.send_to_all(request);
        while let Some((region, _)) = replies.recv().await {
            if region == own {
                return;
            }
        }
    }

    /// Sends a request to all regions, including this one, and returns the receiver of their replies.
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
            if let ConfigurationResponse::Agreement(reply) = handle.request(request).await {
                // The proposer may have its majority without this reply.
                let _ = tx.send((handle.region.clone(), reply)).await;
            }
        });
        rx
    }

    /// Replies with the outcomes of the entries, which this region knows once it has applied the version.
    async fn reply_outcomes(&self, proposed_entries: Vec<ProposedEntry>) {
        for ProposedEntry { entry, reply } in proposed_entries {
            let Some(reply) = reply else { continue };
            let Entry::Change(change) = entry else {
                sync::reply(reply, ConfigurationResponse::Outcome(None));
                continue;
            };
            let response = match self.handle.request(ConfigurationRequest::Outcome(change.id)).await {
                ConfigurationResponse::Outcome(None) => {
                    ConfigurationResponse::Unavailable(UnavailableReason::Indeterminate)
                }
                other => other,
            };
            self.count_outcome(&response);
            sync::reply(reply, response);
        }
    }

    /// Replies to all waiting entries that the request was not carried out.
    fn reply_unavailable(&self, proposed_entries: Vec<ProposedEntry>, reason: UnavailableReason) {
        for reply in proposed_entries.into_iter().filter_map(|proposed| proposed.reply) {
            let response = ConfigurationResponse::Unavailable(reason);
            self.count_outcome(&response);
            sync::reply(reply, response);
        }
    }

    /// Counts and logs the outcome of a change.
    fn count_outcome(&self, response: &ConfigurationResponse) {
        let label = match response {
            ConfigurationResponse::Outcome(Some(ChangeOutcome::Taken { .. })) => "taken",
            ConfigurationResponse::Unavailable(UnavailableReason::Indeterminate) => "unclear",
            _ => "refused",
        };
        self.metrics.count("configuration_changes", label);
        tracing::info!(outcome = label, ?response, "configuration change answered");
    }
}
