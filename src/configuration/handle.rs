//! Handle of this node's configuration actor, and the configuration that the actor publishes.

use super::messages::{ConfigurationRequest, ConfigurationResponse, UnavailableReason};
use super::records::AppliedConfiguration;
use super::region_policy::policy_for_region;
use crate::runtime::metrics::gauge_line;
use crate::scheduling::Policy;
use badgerdrift_fleet_config::{ConfigState, RegionName};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

/// Messages to the actor.
pub(super) enum Message {
    /// A request from another controller, an operator or a task of this node, with its reply channel.
    Request(ConfigurationRequest, oneshot::Sender<ConfigurationResponse>),
    /// The region's record may have changed in the state service. The reply says whether it was reread.
    RecordMayHaveChanged(oneshot::Sender<bool>),
    /// Another region has reported the versions that it and its leader have applied.
    RegionDigest(super::messages::RegionDigest),
    /// All other controllers of the region support the shared configuration.
    PeersCapable,
    /// This node's leader has recorded that it has applied a version.
    AppliedConfiguration(AppliedConfiguration),
}

/// The configuration as this node's actor publishes it to other tasks.
#[derive(Debug, Clone)]
pub struct PublishedConfiguration {
    /// Configuration in the last version that the region has applied.
    pub state: Arc<ConfigState>,
    /// Whether the region's leader may start tasks.
    pub may_start_tasks: bool,
    /// Last version that any region is known to have applied.
    pub latest: u64,
    /// Number of regions, including this one, that answered within the contact time.
    pub reachable_regions: usize,
    /// Version that the region's leader has recorded as applied.
    pub applied_configuration: u64,
}

impl PublishedConfiguration {
    /// Returns whether no later version is known and a majority of the regions answered within the contact
    /// time.
    pub fn is_up_to_date(&self) -> bool {
        let majority = self.state.regions.len() / 2 + 1;
        self.latest <= self.state.version && self.reachable_regions >= majority
    }
}

/// Handle of a node's configuration actor; cheap to clone.
#[derive(Clone)]
pub struct ConfigurationHandle {
    pub(super) region: RegionName,
    pub(super) tx: mpsc::Sender<Message>,
    pub(super) published: watch::Receiver<Option<PublishedConfiguration>>,
}

impl ConfigurationHandle {
    /// Returns the published configuration of this region; `None` while the region has no record.
    pub fn published(&self) -> Option<PublishedConfiguration> {
        self.published.borrow().clone()
    }

    /// Sends a request to the actor and returns its response; [`UnavailableReason::Busy`] if the actor's
    /// queue is full.
    pub async fn request(&self, request: ConfigurationRequest) -> ConfigurationResponse {
        let (reply, response) = oneshot::channel();
        if self.tx.try_send(Message::Request(request, reply)).is_err() {
            return ConfigurationResponse::Unavailable(UnavailableReason::Busy);
        }
        response.await.unwrap_or(ConfigurationResponse::Unavailable(UnavailableReason::Busy))
    }

    /// Makes the actor reload the region's record from the state service; false if that failed.
    pub async fn reload_record(&self) -> bool {
        let (reply, done) = oneshot::channel();
        self.tx.send(Message::RecordMayHaveChanged(reply)).await.is_ok() && done.await == Ok(true)
    }

    /// Informs the actor that this node's leader has recorded an applied version.
    pub fn applied_configuration(&self, applied_configuration: AppliedConfiguration) {
        // Dropped if the queue is full: the leader records it again, and the next change rereads the record.
        let _ = self.tx.try_send(Message::AppliedConfiguration(applied_configuration));
    }

    /// Returns `policy` with the published configuration applied; `None` while there is no configuration.
    pub fn policy(&self, policy: &Policy) -> Option<Policy> {
        Some(policy_for_region(policy, &self.published()?.state, &self.region))
    }

    /// Returns the name of this node's region.
    pub fn region(&self) -> &str {
        &self.region
    }

    /// Returns the metrics of the configuration in the text format of `GET /metrics`; empty while there is
    /// no configuration.
    pub fn metrics_text(&self) -> String {
        let Some(published) = self.published() else { return String::new() };
        let gauges = [
            ("configuration_version", published.state.version),
            ("configuration_obeyed", published.applied_configuration),
            ("configuration_latest", published.latest),
            ("configuration_regions_heard", published.reachable_regions as u64),
        ];
        gauges.iter().map(|(name, value)| gauge_line(name, *value as usize)).collect()
    }
}
