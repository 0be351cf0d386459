//! The ways to the controllers of other regions, and of this one.

use super::messages::{ConfigurationRequest, ConfigurationResponse};
use super::settings::FleetSettings;
use crate::transport::network::Net;
use crate::transport::peer::{Peer, PeerRequest, PeerResponse, PeerTimeouts};
use badgerdrift_fleet_config::RegionName;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// What needs an agreement may take so many times as long as other requests.
const LENGTHY: u32 = 4;

/// The ways to the other regions; cheap to clone.
#[derive(Clone)]
pub(super) struct Regions {
    regions: Arc<BTreeMap<RegionName, Region>>,
    limit: Duration,
}

struct Region {
    controllers: Vec<Peer>,
    /// The controller that answered last.
    at: AtomicUsize,
}

impl Regions {
    /// The ways to all regions but the fleet's own one.
    pub(super) fn start(net: &Net, fleet: &FleetSettings, limits: PeerTimeouts, limit: Duration) -> Regions {
        let others = fleet.regions.iter().filter(|(name, _)| **name != fleet.region);
        let start = |(name, region): (&RegionName, &super::RegionAddresses)| {
            let peer = |address| Peer::start_on(net.clone(), format!("{name} {address}"), address, limits);
            let controllers = region.controllers.iter().copied().map(peer).collect();
            (name.clone(), Region { controllers, at: AtomicUsize::new(0) })
        };
        Regions { regions: Arc::new(others.map(start).collect()), limit }
    }

    /// Names of the other regions.
    pub(super) fn names(&self) -> Vec<RegionName> {
        self.regions.keys().cloned().collect()
    }

    /// Asks a region: the controller that answered last, then the next ones.
    pub(super) async fn ask(&self, region: &str, request: &ConfigurationRequest) -> Option<ConfigurationResponse> {
        self.ask_within(region, request, self.limit).await
    }

    /// The same for what takes a while to answer.
    pub(super) async fn ask_at_length(
        &self,
        region: &str,
        request: &ConfigurationRequest,
    ) -> Option<ConfigurationResponse> {
        self.ask_within(region, request, self.limit * LENGTHY).await
    }

    async fn ask_within(
        &self,
        region: &str,
        request: &ConfigurationRequest,
        limit: Duration,
    ) -> Option<ConfigurationResponse> {
        let region = self.regions.get(region)?;
        let count = region.controllers.len();
        let first = region.at.load(Ordering::Relaxed);
        for turn in 0..count {
            let number = (first + turn) % count;
            if let Some(response) = ask(&region.controllers[number], request, limit).await {
                region.at.store(number, Ordering::Relaxed);
                return Some(response);
            }
        }
        None
    }
}

/// Asks one controller.
pub(super) async fn ask(peer: &Peer, request: &ConfigurationRequest, limit: Duration) -> Option<ConfigurationResponse> {
    match peer.request(PeerRequest::Configuration(request.clone()), limit).await? {
        PeerResponse::Configuration(response) => Some(response),
        _ => None,
    }
}
