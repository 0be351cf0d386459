//! Reads and writes of the region's record. Every change is stored before the actor answers the request.

use super::actor::ConfigurationActor;
use super::messages::{ConfigurationResponse, UnavailableReason};
use super::records::{self, REGION_KEY, RecordError, StoredRecord};
use crate::control::partition::CommitOutcome;
use crate::runtime::clock;
use crate::wire;
use badgerdrift_fleet_config::{RegionRecord, Request};

/// Number of attempts to store a record that other controllers change at the same time.
const STORE_ATTEMPTS: usize = 3;

impl ConfigurationActor {
    /// Handles a request of a proposer. Returns the acceptor's reply only once the new record is stored.
    pub(super) async fn handle_agreement_request(&mut self, request: &Request) -> ConfigurationResponse {
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
            let writes = records::record_writes(Some(&stored.record), &next, batch, self.genesis);
            match self.store(next, &writes).await {
                Ok(true) => return ConfigurationResponse::Agreement(reply),
                Ok(false) => {
                    if self.reload().await.is_err() {
                        break;
                    }
                }
                Err(RecordError::Unanswered | RecordError::Unreadable) => {
                    // It is unknown whether the write was applied. If this read fails too, the next request rereads.
                    let _ = self.reload().await;
                    break;
                }
            }
        }
        ConfigurationResponse::Unavailable(UnavailableReason::StateService)
    }

    /// Stores a record; false if another controller has changed the stored one since it was read.
    ///
    /// # Errors
    ///
    /// [`RecordError::Unanswered`] if the write limit is used up or the outcome of the write is unknown.
    async fn store(&mut self, next: RegionRecord, writes: &[wire::Write]) -> Result<bool, RecordError> {
        let now = clock::now_ms();
        if self.write_limit.available_tokens(now) == 0 {
            return Err(RecordError::Unanswered);
        }
        self.write_limit.spend(writes.len());
        let condition = wire::condition(REGION_KEY, self.stored.as_ref().map_or(0, |stored| stored.key_version));
        match self.state.commit(&[condition], writes).await {
            CommitOutcome::Done { revision } => {
                self.stored = Some(StoredRecord { record: next, key_version: revision });
                Ok(true)
            }
            CommitOutcome::Conflict { .. } => Ok(false),
            _ => Err(RecordError::Unanswered),
        }
    }

    /// Rereads the region's record if its key has changed, and the versions that the leader has applied.
    ///
    /// # Errors
    ///
    /// The state service does not answer, or a value is unreadable or of other settings.
    pub(super) async fn reload(&mut self) -> Result<(), RecordError> {
        let version = self.state.get(REGION_KEY).await?.0.map_or(0, |item| item.version);
        if self.stored.as_ref().map_or(0, |stored| stored.key_version) != version {
            let caught_up = match &self.stored {
                Some(stored) => records::catch_up_from_log(&self.state, stored, self.genesis).await?,
                None => None,
            };
            self.stored = match caught_up {
                Some(stored) => Some(stored),
                None => records::load_record(&self.state, &self.initial, self.genesis).await?,
            };
        }
        self.applied_configuration = records::load_applied(&self.state).await?;
        Ok(())
    }

    /// Creates the region's record if the contacts suffice: an initial one if all other regions have
    /// answered and none has taken part in an agreement, or one that votes only on versions on which
    /// this region cannot have voted if more than half of the others have answered.
    pub(super) async fn create_record(&mut self) {
        let others = self.initial.regions.len() - 1;
        let untouched = self.contacts.values().all(|contact| contact.digest.untouched);
        let record = if self.contacts.len() == others && untouched {
            RegionRecord::new(self.initial.clone())
        } else if !untouched && self.contacts.len() > others / 2 {
            RegionRecord::recover(self.initial.clone(), self.latest_version(0))
        } else {
            return;
        };
        let writes = records::record_writes(None, &record, None, self.genesis);
        if self.store(record, &writes).await != Ok(true) {
            // If this fails too, the next contact tries again.
            let _ = self.reload().await;
        }
    }
}
