//! Configuration requests to the controllers of other regions and of this one.

use super::messages::{ConfigurationRequest, ConfigurationResponse};
use super::settings::FleetSettings;
use crate::transport::network::Net;
use crate::transport::peer::{Peer, PeerRequest, PeerResponse, PeerTimeouts};
use badgerdrift_fleet_config::RegionName;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Factor on the time limit of a request that needs an agreement.
const AGREEMENT_TIMEOUT_FACTOR: u32 = 4;

/// Connections to the controllers of the other regions; cheap to clone.
#[derive(Clone)]
pub(super) struct RegionClients {
    regions: Arc<BTreeMap<RegionName, RegionClient>>,
    /// Time limit of a request to one controller.
    request_timeout: Duration,
}

/// Connections to the controllers of one region.
struct RegionClient {
    controllers: Vec<Peer>,
    /// Index of the controller that answered last.
    last_answered: AtomicUsize,
}

impl RegionClients {
    /// Opens the connections to all regions of the fleet but this node's own.
    pub(super) fn start(
        net: &Net,
        fleet: &FleetSettings,
        timeouts: PeerTimeouts,
        request_timeout: Duration,
    ) -> RegionClients {
        let others = fleet.regions.iter().filter(|(name, _)| **name != fleet.region);
        let start = |(name, region): (&RegionName, &super::RegionAddresses)| {
            let peer = |address| Peer::start_on(net.clone(), format!("{name} {address}"), address, timeouts);
            let controllers = region.controllers.iter().copied().map(peer).collect();
            (name.clone(), RegionClient { controllers, last_answered: AtomicUsize::new(0) })
        };
        RegionClients { regions: Arc::new(others.map(start).collect()), request_timeout }
    }

    /// Returns the names of the other regions.
    pub(super) fn names(&self) -> Vec<RegionName> {
        self.regions.keys().cloned().collect()
    }

    /// Sends a request to a region: first to the controller that answered last, then to the others in order.
    /// Returns `None` if no controller answers.
    pub(super) async fn ask(&self, region: &str, request: &ConfigurationRequest) -> Option<ConfigurationResponse> {
        self.ask_within(region, request, self.request_timeout).await
    }

    /// Sends a request that needs an agreement, as [`Self::ask`] but with a longer time limit.
    pub(super) async fn ask_for_agreement(
        &self,
        region: &str,
        request: &ConfigurationRequest,
    ) -> Option<ConfigurationResponse> {
        self.ask_within(region, request, self.request_timeout * AGREEMENT_TIMEOUT_FACTOR).await
    }

    async fn ask_within(
        &self,
        region: &str,
        request: &ConfigurationRequest,
        request_timeout: Duration,
    ) -> Option<ConfigurationResponse> {
        let region = self.regions.get(region)?;
        let count = region.controllers.len();
        let first = region.last_answered.load(Ordering::Relaxed);
        for offset in 0..count {
            let index = (first + offset) % count;
            if let Some(response) = ask(&region.controllers[index], request, request_timeout).await {
                region.last_answered.store(index, Ordering::Relaxed);
                return Some(response);
            }
        }
        None
    }
}

/// Sends a request to one controller; `None` if it does not answer in time or answers another request.
pub(super) async fn ask(
    peer: &Peer,
    request: &ConfigurationRequest,
    request_timeout: Duration,
) -> Option<ConfigurationResponse> {
    match peer.request(PeerRequest::Configuration(request.clone()), request_timeout).await? {
        PeerResponse::Configuration(response) => Some(response),
        _ => None,
    }
}
