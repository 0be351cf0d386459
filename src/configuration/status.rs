//! Queries of the configuration, the contact times of other regions, and the published configuration.

use super::actor::{ConfigurationActor, LastContact};
use super::handle::PublishedConfiguration;
use super::messages::{
    ConfigurationRequest, ConfigurationResponse, RegionCondition, RegionDigest, RegionStatus, UnavailableReason,
};
use super::records::StoredRecord;
use crate::runtime::clock;
use badgerdrift_fleet_config::{Acceptor, RegionName};

impl ConfigurationActor {
    /// Returns the response to a request that only reads.
    pub(super) fn answer_query(&self, request: &ConfigurationRequest) -> ConfigurationResponse {
        let Some(StoredRecord { record, .. }) = &self.stored else {
            return ConfigurationResponse::Unavailable(UnavailableReason::NotStarted);
        };
        let state = &record.state;
        match request {
            ConfigurationRequest::Outcome(id) => ConfigurationResponse::Outcome(state.outcome(id).cloned()),
            ConfigurationRequest::Document(name) => ConfigurationResponse::Document(state.documents.get(name).cloned()),
            ConfigurationRequest::Documents => {
                let names = state.documents.iter().map(|(name, versioned)| (name.clone(), versioned.version));
                ConfigurationResponse::Documents(names.collect())
            }
            ConfigurationRequest::History => ConfigurationResponse::History(state.history.iter().cloned().collect()),
            _ => ConfigurationResponse::Status(self.status(state.version)),
        }
    }

    /// Returns the digest of this region for other regions.
    pub(super) fn digest(&self) -> RegionDigest {
        let record = self.stored.as_ref().map(|stored| &stored.record);
        RegionDigest {
            region: self.fleet.region.clone(),
            genesis: self.genesis,
            version: record.map(|record| record.acceptor.applied),
            untouched: record.is_none_or(|record| record.acceptor == Acceptor::default()),
            applied_configuration: self.applied_configuration.version,
        }
    }

    /// Returns the versions and conditions of all regions; `own_version` is the version of this one.
    fn status(&self, own_version: u64) -> Vec<RegionStatus> {
        let latest_version = self.latest_version(own_version);
        let now = clock::now_ms();
        let status = |region: &RegionName| {
            if *region == self.fleet.region {
                return region_status(region, own_version, self.applied_configuration.version, latest_version);
            }
            let Some(contact) = self.contacts.get(region) else {
                let condition = RegionCondition::UnreachableSince { seconds: None };
                return RegionStatus { region: region.clone(), version: 0, applied_configuration: 0, condition };
            };
            let mut status = region_status(
                region,
                contact.digest.version.unwrap_or(0),
                contact.digest.applied_configuration,
                latest_version,
            );
            let unreachable_ms = now.saturating_sub(contact.answered_at_ms);
            if unreachable_ms > self.contact_ttl_ms {
                status.condition = RegionCondition::UnreachableSince { seconds: Some(unreachable_ms / 1000) };
            }
            status
        };
        self.initial.regions.iter().map(status).collect()
    }

    /// Returns the last version that any region is known to have applied; `own_version` is the version of this one.
    pub(super) fn latest_version(&self, own_version: u64) -> u64 {
        self.contacts.values().filter_map(|contact| contact.digest.version).fold(own_version, u64::max)
    }

    /// Records the answer of another region. Creates this region's record if enough regions have now
    /// answered. A region with another version 0 is not recorded.
    pub(super) async fn record_contact(&mut self, digest: RegionDigest) {
        if digest.genesis != self.genesis {
            tracing::error!(
                region = digest.region,
                "region has a different initial configuration: its version 0 differs from this region's"
            );
            return;
        }
        self.contacts.insert(digest.region.clone(), LastContact { digest, answered_at_ms: clock::now_ms() });
        if self.stored.is_none() && self.peers_capable && self.reload().await.is_ok() && self.stored.is_none() {
            self.create_record().await;
        }
    }

    /// Publishes the configuration to the other tasks of this node.
    pub(super) fn publish(&self) {
        let now = clock::now_ms();
        let reachable =
            self.contacts.values().filter(|contact| now <= contact.answered_at_ms + self.contact_ttl_ms).count();
        let published = self.stored.as_ref().map(|stored| PublishedConfiguration {
            state: stored.record.state.clone(),
            may_start_tasks: stored.record.may_start_tasks(),
            latest: self.latest_version(stored.record.state.version),
            reachable_regions: reachable + 1,
            applied_configuration: self.applied_configuration.version,
        });
        self.published.send_replace(published);
    }
}

/// Returns the status of a reachable region.
fn region_status(region: &RegionName, version: u64, applied_configuration: u64, latest_version: u64) -> RegionStatus {
    let condition =
        if applied_configuration >= latest_version { RegionCondition::InForce } else { RegionCondition::Pending };
    RegionStatus { region: region.clone(), version, applied_configuration, condition }
}
