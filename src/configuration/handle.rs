//! The handle of this node's configuration actor, for all that follow the configuration.

use super::messages::{ConfigurationRequest, ConfigurationResponse, UnavailableReason};
use super::records::AppliedConfiguration;
use super::region_policy::policy_of;
use crate::runtime::metrics::gauge_line;
use crate::scheduling::Policy;
use badgerdrift_fleet_config::{ConfigState, RegionName};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

/// Messages to the actor.
pub(super) enum Message {
    /// A request of another controller, an operator or a task of this one.
    Request(ConfigurationRequest, oneshot::Sender<ConfigurationResponse>),
    /// The region's record may have changed.
    Changed(oneshot::Sender<bool>),
    /// Another region has answered which version it has applied.
    RegionDigest(super::messages::RegionDigest),
    /// All controllers of the region know the shared configuration.
    AllCapable,
    /// This node's leader has recorded that it has applied a version.
    AppliedConfiguration(AppliedConfiguration),
}

/// The configuration that this node knows, as it is published to all that follow it.
#[derive(Debug, Clone)]
pub struct Published {
    /// The configuration in the region's last version.
    pub state: Arc<ConfigState>,
    /// May the region's leader start tasks?
    pub may_start_tasks: bool,
    /// The last version that is known of any region.
    pub latest: u64,
    /// Number of regions, this one included, that answered lately.
    pub reachable_regions: usize,
    /// The version that the region's leader has applied, as recorded.
    pub applied_configuration: u64,
}

impl Published {
    /// Whether no later version is known, while a majority of regions answered lately.
    pub fn is_up_to_date(&self) -> bool {
        let majority = self.state.regions.len() / 2 + 1;
        self.latest <= self.state.version && self.reachable_regions >= majority
    }
}

/// A handle of the configuration; cheap to clone.
#[derive(Clone)]
pub struct ConfigurationHandle {
    pub(super) region: RegionName,
    pub(super) tx: mpsc::Sender<Message>,
    pub(super) published: watch::Receiver<Option<Published>>,
}

impl ConfigurationHandle {
    /// The configuration of this region; `None` while it has none.
    pub fn published(&self) -> Option<Published> {
        self.published.borrow().clone()
    }

    /// Answers a request.
    pub async fn answer(&self, request: ConfigurationRequest) -> ConfigurationResponse {
        let (reply, response) = oneshot::channel();
        if self.tx.try_send(Message::Request(request, reply)).is_err() {
            return ConfigurationResponse::Unavailable(UnavailableReason::Busy);
        }
        response.await.unwrap_or(ConfigurationResponse::Unavailable(UnavailableReason::Busy))
    }

    /// Reads the region's record afresh; false if that failed.
    pub async fn refresh(&self) -> bool {
        let (reply, done) = oneshot::channel();
        self.tx.send(Message::Changed(reply)).await.is_ok() && done.await == Ok(true)
    }

    /// This node's leader has recorded that it has applied a version.
    pub fn applied_configuration(&self, applied_configuration: AppliedConfiguration) {
        // A full queue drops it: the leader records again, and the record is read with the next change.
        let _ = self.tx.try_send(Message::AppliedConfiguration(applied_configuration));
    }

    /// The policy under the configuration, where there is one.
    pub fn policy(&self, policy: &Policy) -> Option<Policy> {
        Some(policy_of(policy, &self.published()?.state, &self.region))
    }

    /// Name of this node's region.
    pub fn region(&self) -> &str {
        &self.region
    }

    /// Its metrics in the text format of `GET /metrics`.
    pub fn metrics_text(&self) -> String {
        let Some(published) = self.published() else { return String::new() };
        let figures = [
            ("configuration_version", published.state.version),
            ("configuration_obeyed", published.applied_configuration),
            ("configuration_latest", published.latest),
            ("configuration_regions_heard", published.reachable_regions as u64),
        ];
        figures.iter().map(|(name, value)| gauge_line(name, *value as usize)).collect()
    }
}
