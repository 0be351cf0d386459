//! Loopback addresses of a run. Each region has two networks.

use crate::scenario::Scenario;
use badgerdrift_stand_ins::world::machine_address;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::Range;

/// Port at which controllers serve users and workers, and simulated services serve the controllers.
const SERVICE_PORT: u16 = 8080;
/// Port at which controllers serve each other.
const INTERNAL_PORT: u16 = 8081;
/// First byte of loopback addresses.
const LOOPBACK: u8 = 127;
/// Candidates for the second byte of a region's first network.
const FIRST_NETWORKS: Range<u8> = 16..200;
/// Third byte of the relay addresses that the first region connects to.
const FIRST_RELAYS: u8 = 10;
/// Third byte of the addresses of the relays through which the first controller reaches the others.
const FIRST_PEER_LINKS: u8 = 100;
/// Third byte of the addresses of the relays to the state service.
const STATE_LINKS: u8 = 90;
/// Third byte of the addresses of the relays from users and workers to the controllers.
const DOOR_LINKS: u8 = 91;
/// Number of networks of a region: one of its services and one of its machines.
const NETWORKS_PER_REGION: usize = 2;

/// The networks of one region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionNetworks {
    services: u8,
}

impl RegionNetworks {
    /// Returns the networks that runs may take, each with room for one region. No two overlap.
    pub fn all() -> impl Iterator<Item = RegionNetworks> {
        RegionNetworks::between(FIRST_NETWORKS)
    }

    /// Returns the networks whose second bytes are in a range.
    pub(crate) fn between(second_bytes: Range<u8>) -> impl Iterator<Item = RegionNetworks> {
        second_bytes.step_by(NETWORKS_PER_REGION).map(|services| RegionNetworks { services })
    }

    /// Returns the addresses at which the processes of the region listen from the start, those of its first
    /// machines included.
    pub fn listening_addresses(self, scenario: &Scenario) -> Vec<SocketAddr> {
        let relays = |number| (0..scenario.regions).map(move |from_region| self.relay(from_region, number));
        let of_controller = |number| {
            let served = [self.controller(number), self.controller_internal(number)];
            let called = [self.state_service(number), self.cloud(number)];
            served.into_iter().chain(called).chain(relays(number))
        };
        let machines = scenario.workers / scenario.regions;
        let services = (0..scenario.controllers_per_region).flat_map(of_controller);
        services
            .chain(self.links(scenario))
            .chain((0..machines).map(|number| machine_address(self.machines(), number)))
            .collect()
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

    /// Returns the addresses of the relays within a region, which only soak runs have.
    fn links(self, scenario: &Scenario) -> Vec<SocketAddr> {
        let count = if scenario.soak.is_some() { scenario.controllers_per_region } else { 0 };
        let of_controller = |from| {
            let peers = (0..count).filter(move |to| *to != from).map(move |to| self.peer_link(from, to));
            peers.chain([self.state_link(from), self.door_link(from)])
        };
        (0..count).flat_map(of_controller).collect()
    }

    /// Returns the address of the relay through which a controller reaches another one.
    pub fn peer_link(self, from: usize, to: usize) -> SocketAddr {
        self.address(FIRST_PEER_LINKS + from as u8, to, INTERNAL_PORT)
    }

    /// Returns the address of the relay through which a controller reaches the state service.
    pub fn state_link(self, controller: usize) -> SocketAddr {
        self.address(STATE_LINKS, controller, SERVICE_PORT)
    }

    /// Returns the address of the relay through which users and workers reach a controller.
    pub fn door_link(self, controller: usize) -> SocketAddr {
        self.address(DOOR_LINKS, controller, SERVICE_PORT)
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

impl fmt::Display for RegionNetworks {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{LOOPBACK}.{}.0.0/15", self.services)
    }
}
