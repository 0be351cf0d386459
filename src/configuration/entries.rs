//! Entries for the log: where they are proposed, and what this region confirms.

use super::actor::ConfigurationActor;
use super::messages::{ConfigurationRequest, ConfigurationResponse, UnavailableReason};
use super::proposals::Proposed;
use super::records::{AppliedConfiguration, StoredRecord};
use crate::runtime::sync::reply;
use crate::runtime::{clock, task};
use badgerdrift_fleet_config::{Confirmation, Entry, RegionName};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};

impl ConfigurationActor {
    /// Has an entry proposed: in the first reachable region, by name, so that proposers seldom
    /// conflict. Where that gives no answer it is proposed here: what is in the log already is not
    /// taken twice.
    pub(super) fn submit_entry(&self, proposed: Proposed) {
        let now = clock::now_ms();
        let is_reachable = |region: &&RegionName| {
            let contact = self.contacts.get(*region);
            **region == self.fleet.region || contact.is_some_and(|contact| now <= contact.at_ms + self.contact_ttl_ms)
        };
        match self.initial.regions.iter().find(is_reachable) {
            Some(region) if *region != self.fleet.region => {
                let (regions, proposals, region) = (self.regions.clone(), self.proposals.clone(), region.clone());
                task::spawn(async move {
                    let request = ConfigurationRequest::Propose(proposed.entry.clone());
                    match regions.ask_for_agreement(&region, &request).await {
                        Some(response @ ConfigurationResponse::Outcome(_)) => respond(proposed.reply, response),
                        _ => propose(&proposals, proposed),
                    }
                });
            }
            _ => self.propose(proposed),
        }
    }

    /// Proposes an entry here.
    pub(super) fn propose(&self, proposed: Proposed) {
        if self.may_propose() {
            propose(&self.proposals, proposed);
        } else {
            respond(proposed.reply, ConfigurationResponse::Unavailable(UnavailableReason::NotStarted));
        }
    }

    /// Before version 1 all regions must have begun: one that has not does not know whether it has
    /// lost a vote.
    fn may_propose(&self) -> bool {
        let Some(stored) = &self.stored else { return false };
        let others_began = self.contacts.len() + 1 == self.initial.regions.len()
            && self.contacts.values().all(|contact| contact.digest.version.is_some());
        stored.record.acceptor.applied > 0 || others_began
    }

    /// This node's leader has recorded that it has applied a version.
    pub(super) fn record_applied(&mut self, applied_configuration: AppliedConfiguration) {
        self.applied_configuration = applied_configuration;
        self.recorded_here = applied_configuration;
        self.confirm_after_ms = 0;
        self.confirm();
    }

    /// Has the version confirmed that this node's leader has recorded as applied, where other regions
    /// wait for that; again after a while if the confirmation did not come into the log.
    pub(super) fn confirm(&mut self) {
        let now = clock::now_ms();
        let Some(StoredRecord { record, .. }) = &self.stored else { return };
        let confirmed = record.state.confirmations.get(&self.fleet.region).copied().unwrap_or(0);
        let (version, own) = (self.recorded_here.kept, self.recorded_here == self.applied_configuration);
        if !own || version <= confirmed || now < self.confirm_after_ms || !record.state.waits_for(&self.fleet.region) {
            return;
        }
        self.confirm_after_ms = now + self.contact_ttl_ms;
        let confirmation = Confirmation { region: self.fleet.region.clone(), version };
        self.submit_entry(Proposed { entry: Entry::Confirmation(confirmation), reply: None });
    }
}

fn respond(sender: Option<oneshot::Sender<ConfigurationResponse>>, response: ConfigurationResponse) {
    if let Some(sender) = sender {
        reply(sender, response);
    }
}

fn propose(proposals: &mpsc::Sender<Proposed>, proposed: Proposed) {
    if let Err(TrySendError::Full(proposed) | TrySendError::Closed(proposed)) = proposals.try_send(proposed) {
        respond(proposed.reply, ConfigurationResponse::Unavailable(UnavailableReason::Busy));
    }
}
