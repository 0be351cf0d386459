//! Requests to the controllers of other regions, and of this one.

use super::messages::{ConfigurationRequest, ConfigurationResponse};
use super::settings::FleetSettings;
use crate::transport::network::Net;
use crate::transport::peer::{Peer, PeerRequest, PeerResponse, PeerTimeouts};
use badgerdrift_fleet_config::RegionName;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// A request that needs an agreement may take so many times as long as another one.
const AGREEMENT_FACTOR: u32 = 4;

/// Connections to the other regions; cheap to clone.
#[derive(Clone)]
pub(super) struct Regions {
    regions: Arc<BTreeMap<RegionName, Region>>,
    limit: Duration,
}

struct Region {
    controllers: Vec<Peer>,
    /// Index of the controller that answered last.
    last_answered: AtomicUsize,
}

impl Regions {
    /// Connects to all regions but the fleet's own one.
    pub(super) fn start(net: &Net, fleet: &FleetSettings, limits: PeerTimeouts, limit: Duration) -> Regions {
        let others = fleet.regions.iter().filter(|(name, _)| **name != fleet.region);
        let start = |(name, region): (&RegionName, &super::RegionAddresses)| {
            let peer = |address| Peer::start_on(net.clone(), format!("{name} {address}"), address, limits);
            let controllers = region.controllers.iter().copied().map(peer).collect();
            (name.clone(), Region { controllers, last_answered: AtomicUsize::new(0) })
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

    /// The same for a request that needs an agreement.
    pub(super) async fn ask_for_agreement(
        &self,
        region: &str,
        request: &ConfigurationRequest,
    ) -> Option<ConfigurationResponse> {
        self.ask_within(region, request, self.limit * AGREEMENT_FACTOR).await
    }

    async fn ask_within(
        &self,
        region: &str,
        request: &ConfigurationRequest,
        limit: Duration,
    ) -> Option<ConfigurationResponse> {
        let region = self.regions.get(region)?;
        let count = region.controllers.len();
        let first = region.last_answered.load(Ordering::Relaxed);
        for turn in 0..count {
            let number = (first + turn) % count;
            if let Some(response) = ask(&region.controllers[number], request, limit).await {
                region.last_answered.store(number, Ordering::Relaxed);
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
