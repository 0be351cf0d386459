//! Loopback addresses of a run. Each region has two networks.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// Port at which controllers serve users and workers, and simulated services serve the controllers.
const SERVICE_PORT: u16 = 8080;
/// Port at which controllers serve each other.
const INTERNAL_PORT: u16 = 8081;
/// First byte of loopback addresses.
const LOOPBACK: u8 = 127;
/// Candidates for the second byte of the first region's network.
const FIRST_NETWORKS: std::ops::Range<u8> = 16..200;
/// Third byte of the relay addresses that the first region connects to.
const FIRST_RELAYS: u8 = 10;
/// Number of networks of a region: one of its services and one of its machines.
const NETWORKS_PER_REGION: u8 = 2;

/// The networks of one region.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct RegionNetworks {
    services: u8,
}

impl RegionNetworks {
    /// Returns networks for `regions` regions whose service ports are free.
    ///
    /// # Errors
    ///
    /// No range of loopback networks is free.
    pub fn find(regions: usize) -> Result<Vec<RegionNetworks>, String> {
        let width = regions as u8 * NETWORKS_PER_REGION;
        let first = FIRST_NETWORKS.step_by(usize::from(width)).find(|first| {
            let networks = RegionNetworks::from(*first, regions);
            networks.iter().all(|network| TcpListener::bind(network.state_service(0)).is_ok())
        });
        let first = first.ok_or("no free addresses on the loopback network")?;
        Ok(RegionNetworks::from(first, regions))
    }

    fn from(first: u8, regions: usize) -> Vec<RegionNetworks> {
        (0..regions as u8).map(|region| RegionNetworks { services: first + region * NETWORKS_PER_REGION }).collect()
    }

    fn address(self, part: u8, number: usize, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(LOOPBACK, self.services, part, number as u8 + 1)), port)
    }

    /// Returns the address at which a controller serves users and workers.
    pub fn controller(self, number: usize) -> SocketAddr {
        self.address(0, number, SERVICE_PORT)
    }

    /// Returns the address at which a controller serves other controllers.
    pub fn controller_internal(self, number: usize) -> SocketAddr {
        self.address(0, number, INTERNAL_PORT)
    }

    /// Returns the address at which a controller reaches the state service.
    pub fn state_service(self, controller: usize) -> SocketAddr {
        self.address(1, controller, SERVICE_PORT)
    }

    /// Returns the address at which a controller reaches the cloud.
    pub fn cloud(self, controller: usize) -> SocketAddr {
        self.address(2, controller, SERVICE_PORT)
    }

    /// Returns the address at which controllers of region `from_region` reach a controller of this region.
    pub fn relay(self, from_region: usize, controller: usize) -> SocketAddr {
        self.address(FIRST_RELAYS + from_region as u8, controller, INTERNAL_PORT)
    }

    /// Returns the first two bytes of the machines' addresses.
    pub fn machines(self) -> [u8; 2] {
        [LOOPBACK, self.services + 1]
    }
}
