//! Entries for the configuration log: the region that proposes them, and this region's confirmations.

use super::actor::ConfigurationActor;
use super::messages::{ConfigurationRequest, ConfigurationResponse, UnavailableReason};
use super::proposals::ProposedEntry;
use super::records::{AppliedConfiguration, StoredRecord};
use crate::runtime::sync::reply;
use crate::runtime::{clock, task};
use badgerdrift_fleet_config::{Confirmation, Entry, RegionName};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};

impl ConfigurationActor {
    /// Submits an entry to the first reachable region in the order of names, so that proposers seldom
    /// conflict. Without an outcome from there, the entry is proposed by this region: an entry that is
    /// in the log already is not applied twice.
    pub(super) fn submit_entry(&self, proposed: ProposedEntry) {
        let now = clock::now_ms();
        let is_reachable = |region: &&RegionName| {
            let contact = self.contacts.get(*region);
            **region == self.fleet.region
                || contact.is_some_and(|contact| now <= contact.answered_at_ms + self.contact_ttl_ms)
        };
        match self.initial.regions.iter().find(is_reachable) {
            Some(region) if *region != self.fleet.region => {
                let (regions, proposals, region) = (self.regions.clone(), self.proposals.clone(), region.clone());
                task::spawn(async move {
                    let request = ConfigurationRequest::Propose(proposed.entry.clone());
                    match regions.ask_for_agreement(&region, &request).await {
                        Some(response @ ConfigurationResponse::Outcome(_)) => send_response(proposed.reply, response),
                        _ => enqueue_entry(&proposals, proposed),
                    }
                });
            }
            _ => self.propose(proposed),
        }
    }

    /// Proposes an entry from this region, or replies [`UnavailableReason::NotStarted`] if it may not propose yet.
    pub(super) fn propose(&self, proposed: ProposedEntry) {
        if self.may_propose() {
            enqueue_entry(&self.proposals, proposed);
        } else {
            send_response(proposed.reply, ConfigurationResponse::Unavailable(UnavailableReason::NotStarted));
        }
    }

    /// Returns whether this region may propose. Before version 1, all regions must have a record: a
    /// region without one does not know whether it has voted and lost its record.
    fn may_propose(&self) -> bool {
        let Some(stored) = &self.stored else { return false };
        let others_have_records = self.contacts.len() + 1 == self.initial.regions.len()
            && self.contacts.values().all(|contact| contact.digest.version.is_some());
        stored.record.acceptor.applied > 0 || others_have_records
    }

    /// Handles the message that this node's leader has recorded an applied version.
    pub(super) fn handle_applied_version(&mut self, applied_configuration: AppliedConfiguration) {
        self.applied_configuration = applied_configuration;
        self.recorded_by_this_node = applied_configuration;
        self.next_confirmation_ms = 0;
        self.confirm_applied_version();
    }

    /// Submits a confirmation of the version that this node's leader has recorded as applied, if other
    /// regions wait for it. Submits it again after the contact time if it has not reached the log.
    pub(super) fn confirm_applied_version(&mut self) {
        let now = clock::now_ms();
        let Some(StoredRecord { record, .. }) = &self.stored else { return };
        let confirmed = record.state.confirmations.get(&self.fleet.region).copied().unwrap_or(0);
        let (version, is_current) =
            (self.recorded_by_this_node.enforced_version, self.recorded_by_this_node == self.applied_configuration);
        if !is_current
            || version <= confirmed
            || now < self.next_confirmation_ms
            || !record.state.has_unconfirmed_reduction(&self.fleet.region)
        {
            return;
        }
        self.next_confirmation_ms = now + self.contact_ttl_ms;
        let confirmation = Confirmation { region: self.fleet.region.clone(), version };
        self.submit_entry(ProposedEntry { entry: Entry::Confirmation(confirmation), reply: None });
    }
}

fn send_response(sender: Option<oneshot::Sender<ConfigurationResponse>>, response: ConfigurationResponse) {
    if let Some(sender) = sender {
        reply(sender, response);
    }
}

fn enqueue_entry(proposals: &mpsc::Sender<ProposedEntry>, proposed: ProposedEntry) {
    if let Err(TrySendError::Full(proposed) | TrySendError::Closed(proposed)) = proposals.try_send(proposed) {
        send_response(proposed.reply, ConfigurationResponse::Unavailable(UnavailableReason::Busy));
    }
}
