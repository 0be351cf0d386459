//! Addresses and settings of the simulated deployment.

use super::world::{self, GUEST, TEAMS, ZONES};
use crate::store::Limits;
use badgerdrift::settings::Settings;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Number of controllers.
pub const NODES: usize = 3;

/// Limits of the state service at the start.
pub const PRESENT_LIMITS: Limits = Limits { value_bytes: 8 * 1024, changes: 12, changes_per_s: 100.0 };
/// Limits of the state service after its announced reduction.
pub const NEXT_LIMITS: Limits = Limits { value_bytes: 2 * 1024, changes: 4, changes_per_s: 40.0 };
/// Time in which a request to a simulated HTTP server must arrive; also the delay of answers that are lost.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

fn host(net: u8, n: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, net, n as u8 + 1))
}

/// Returns the address of a controller's host.
pub fn controller(i: usize) -> IpAddr {
    host(0, i)
}
/// Returns the address at which controller `i` reaches the state service. Each controller has its own,
/// so that the service can tell which one sent a request.
pub fn state_of(i: usize) -> IpAddr {
    host(1, i)
}
/// Returns the address at which controller `i` reaches the cloud.
pub fn cloud_of(i: usize) -> IpAddr {
    host(2, i)
}
pub(super) fn users() -> IpAddr {
    host(3, 0)
}

/// Port of the simulated services, and of the controllers' API for users and workers.
pub const PORT: u16 = 80;

/// Returns the addresses at which the simulated controllers serve users and workers.
pub fn doors() -> Arc<[SocketAddr]> {
    (0..NODES).map(door).collect()
}

/// Returns the address at which controller `i` serves users and workers.
pub fn door(i: usize) -> SocketAddr {
    SocketAddr::new(controller(i), PORT)
}

/// Returns the settings of a controller; `guaranteed_cards` replaces the guarantees of the named teams.
pub(super) fn settings(i: usize, guaranteed_cards: &[(&str, f64)]) -> Settings {
    let mut text = format!(
        "node = \"n{i}\"\nsite = \"{}\"\nserve_on = \"{}\"\ninternal_addr = \"{}:81\"\n",
        ZONES[i % ZONES.len()],
        door(i),
        controller(i)
    );
    for j in (0..NODES).filter(|j| *j != i) {
        let site = ZONES[j % ZONES.len()];
        text += &format!("[[seeds]]\nnode = \"n{j}\"\nsite = \"{site}\"\nendpoint = \"{}:81\"\n", controller(j));
    }
    text += &format!("[endpoints]\ncloud = \"{}:80\"\nstate = \"{}:80\"\n", cloud_of(i), state_of(i));
    text += "[params]\nzones = [\"a\", \"b\"]\n";
    for (name, cores, cards) in TEAMS {
        text += &format!("[[params.teams]]\nname = \"{name}\"\ncpus = {0}\ncpus_max = {cores}\n", cores / 2.0);
        text += &format!("gpus = {}\ngpus_max = {cards}\n", cards / 2.0);
    }
    let (name, cores, cards) = GUEST;
    text += &format!("[[params.teams]]\nname = \"{name}\"\ncpus_max = {cores}\ngpus_max = {cards}\n");
    text += &format!(
        "[params.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\ngang_peer_s = {:?}\ncancel_s = {:?}\n",
        world::REPORT_S,
        world::LEASE_S,
        world::GANG_WAIT_S,
        world::GANG_PEER_S,
        world::CANCEL_S
    );
    text += "[params.state]\nrps = 500.0\nwrite_rps = 100.0\nvalue_kb = 8.0\ntxn_ops = 12\n";
    text += "[params.state.next]\nwrite_rps = 40.0\nvalue_kb = 2.0\ntxn_ops = 4\n";
    text += &format!("[params.cloud]\nrps = 20.0\nlist_lag_s = {:?}\n", world::LIST_LAG_S);
    text += "[params.limits]\nmax_sockets = 400\n";
    let mut settings: Settings = toml::from_str(&text).unwrap();
    for (name, cards) in guaranteed_cards {
        let team = settings.params.teams.iter_mut().find(|team| team.name == *name).unwrap();
        (team.cpus, team.gpus) = (0.0, *cards);
    }
    settings
}
