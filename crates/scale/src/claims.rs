//! Exclusive claims of runs to the loopback networks of their regions.
//!
//! A claim is a socket with a name in the abstract namespace, which like the loopback addresses belongs to the
//! network namespace and leaves no file. The processes of a region inherit the socket, so that the kernel frees the
//! name when the last of them has ended, however it ended.

use crate::addresses::RegionNetworks;
use crate::scenario::Scenario;
use rustix::io::{FdFlags, fcntl_setfd};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr as TcpAddress, TcpListener};
use std::os::linux::net::SocketAddrExt;
use std::os::unix::net::{SocketAddr, UnixDatagram};

/// Exclusive claim to the networks of one region; given up when this value is dropped and all processes that
/// inherited it have ended.
#[derive(Debug)]
pub struct RegionClaim {
    networks: RegionNetworks,
    socket: UnixDatagram,
}

/// Claims networks for all regions of a scenario. All addresses of the networks are free.
///
/// # Errors
///
/// Too few networks are free. None is claimed then.
pub fn claim_networks(scenario: &Scenario) -> Result<Vec<RegionClaim>, String> {
    claim_among(RegionNetworks::all(), scenario)
}

fn claim_among(
    candidates: impl Iterator<Item = RegionNetworks>,
    scenario: &Scenario,
) -> Result<Vec<RegionClaim>, String> {
    let mut claims = Vec::new();
    let mut obstacle = None;
    for networks in candidates {
        if claims.len() == scenario.regions {
            break;
        }
        match claim_free(networks, scenario) {
            Ok(claim) => claims.push(claim),
            Err(error) => obstacle = Some(error),
        }
    }
    if claims.len() < scenario.regions {
        let (free, obstacle) = (claims.len(), obstacle.unwrap_or_default());
        return Err(format!("{free} of {} loopback networks are free: {obstacle}", scenario.regions));
    }
    Ok(claims)
}

/// Claims one region's networks unless another run has them or one of their addresses is in use.
fn claim_free(networks: RegionNetworks, scenario: &Scenario) -> Result<RegionClaim, String> {
    let claim = RegionClaim::new(networks).map_err(|error| match error.kind() {
        ErrorKind::AddrInUse => format!("{networks} belongs to another run"),
        _ => format!("{networks}: {error}"),
    })?;
    let in_use = |address: &TcpAddress| TcpListener::bind(address).err().map(|error| format!("{address}: {error}"));
    match networks.listening_addresses(scenario).iter().find_map(in_use) {
        Some(error) => Err(error),
        None => Ok(claim),
    }
}

impl RegionClaim {
    fn new(networks: RegionNetworks) -> io::Result<RegionClaim> {
        let name = SocketAddr::from_abstract_name(format!("badgerdrift-scale/{networks}"))?;
        Ok(RegionClaim { networks, socket: UnixDatagram::bind_addr(&name)? })
    }

    /// Returns the claimed networks.
    pub fn networks(&self) -> RegionNetworks {
        self.networks
    }

    /// Calls `spawn`, and lets the process that it starts and all of that process's children inherit the claim.
    pub fn share_with<T>(&self, spawn: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
        fcntl_setfd(&self.socket, FdFlags::empty())?;
        let spawned = spawn();
        fcntl_setfd(&self.socket, FdFlags::CLOEXEC)?;
        spawned
    }
}

#[cfg(test)]
mod tests;
