//! The region's record in the actor: every change is stored before it is answered.

use super::actor::ConfigurationActor;
use super::messages::{ConfigurationResponse, UnavailableReason};
use super::records::{self, LoadError, REGION_KEY, StoredRecord};
use crate::control::partition::CommitOutcome;
use crate::runtime::clock;
use crate::wire;
use badgerdrift_fleet_config::{RegionRecord, Request};

/// Attempts to store a record that others change.
const STORE_ATTEMPTS: usize = 3;

impl ConfigurationActor {
    /// Handles a request of a proposer. Its answer is given only once the new record is stored.
    pub(super) async fn agree(&mut self, request: &Request) -> ConfigurationResponse {
        for _ in 0..STORE_ATTEMPTS {
            let Some(stored) = &self.stored else {
                return ConfigurationResponse::Unavailable(UnavailableReason::NotStarted);
            };
            let (next, reply) = stored.record.handle(request);
            let Some(next) = next else { return ConfigurationResponse::Agreement(reply) };
            let batch = match request {
                Request::Learn { batch, .. } => Some(batch),
                _ => None,
            };
            let changes = records::changes(Some(&stored.record), &next, batch, self.genesis);
            match self.store(next, &changes).await {
                Ok(true) => return ConfigurationResponse::Agreement(reply),
                Ok(false) => {
                    if self.reload().await.is_err() {
                        break;
                    }
                }
                Err(LoadError::Unanswered | LoadError::Unreadable) => {
                    // Whether the write applied is indeterminate; the next request reads again if this fails.
                    let _ = self.reload().await;
                    break;
                }
            }
        }
        ConfigurationResponse::Unavailable(UnavailableReason::StateService)
    }

    /// Stores a record; false if the stored one is another meanwhile.
    async fn store(&mut self, next: RegionRecord, changes: &[wire::Write]) -> Result<bool, LoadError> {
        let now = clock::now_ms();
        if self.writes.available_tokens(now) == 0 {
            return Err(LoadError::Unanswered);
        }
        self.writes.spend(changes.len());
        let condition = wire::condition(REGION_KEY, self.stored.as_ref().map_or(0, |stored| stored.stamp));
        match self.state.commit(&[condition], changes).await {
            CommitOutcome::Done { revision } => {
                self.stored = Some(StoredRecord { record: next, stamp: revision });
                Ok(true)
            }
            CommitOutcome::Conflict { .. } => Ok(false),
            _ => Err(LoadError::Unanswered),
        }
    }

    /// Reads the region's record, if it is another than the one known.
    pub(super) async fn reload(&mut self) -> Result<(), LoadError> {
        let version = self.state.get(REGION_KEY).await?.0.map_or(0, |item| item.version);
        if self.stored.as_ref().map_or(0, |stored| stored.stamp) != version {
            let followed = match &self.stored {
                Some(stored) => records::follow(&self.state, stored, self.genesis).await?,
                None => None,
            };
            self.stored = match followed {
                Some(stored) => Some(stored),
                None => records::load(&self.state, &self.initial, self.genesis).await?,
            };
        }
        self.applied_configuration = records::load_applied(&self.state).await?;
        Ok(())
    }

    /// Creates the region's record: a first one if no region has taken part in any agreement, else
    /// one that votes only where it can't have voted before.
    pub(super) async fn begin(&mut self) {
        let others = self.initial.regions.len() - 1;
        let untouched = self.contacts.values().all(|contact| contact.digest.untouched);
        let record = if self.contacts.len() == others && untouched {
            RegionRecord::new(self.initial.clone())
        } else if !untouched && self.contacts.len() > others / 2 {
            RegionRecord::rejoin(self.initial.clone(), self.latest(0))
        } else {
            return;
        };
        let changes = records::changes(None, &record, None, self.genesis);
        if self.store(record, &changes).await != Ok(true) {
            // Tried again with the next contact if this fails.
            let _ = self.reload().await;
        }
    }
}
