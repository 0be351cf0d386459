//! Tests of the claims to loopback networks, on networks that no run takes.

use super::*;
use std::collections::HashSet;
use std::time::Duration;

/// Pause before the next attempt to become the only test of claims on the machine.
const RETRY: Duration = Duration::from_millis(5);

/// Holds off the other tests of claims, also those of other processes, until it is dropped.
fn only_test() -> UnixDatagram {
    let name = SocketAddr::from_abstract_name("badgerdrift-scale/tests").unwrap();
    loop {
        match UnixDatagram::bind_addr(&name) {
            Ok(socket) => return socket,
            Err(_) => std::thread::sleep(RETRY),
        }
    }
}

/// Claims networks as a run with this number of regions does, among ten that are kept for tests.
fn claim(regions: usize) -> Result<Vec<RegionClaim>, String> {
    claim_among(RegionNetworks::between(200..220), &scenario(regions))
}

fn scenario(regions: usize) -> Scenario {
    let mut scenario = crate::scenario::parse(include_str!("../../../../deploy/scale/small.hcl")).unwrap();
    scenario.regions = regions;
    scenario
}

// Guards against two runs that find the same networks free before either has bound an address.
#[test]
fn claims_before_anything_is_bound_are_disjoint_for_any_number_of_regions() {
    let _lock = only_test();
    let claims: Vec<Vec<RegionClaim>> = [1, 2, 3, 1, 2].into_iter().map(|regions| claim(regions).unwrap()).collect();
    let taken: Vec<String> = claims.iter().flatten().map(|claim| claim.networks().to_string()).collect();
    assert_eq!(taken.len(), 9);
    assert_eq!(taken.iter().collect::<HashSet<_>>().len(), taken.len(), "{taken:?}");
}

#[test]
fn a_claim_is_exclusive_until_it_is_dropped() {
    let _lock = only_test();
    let held = claim(1).unwrap().remove(0);
    let networks = held.networks();
    assert_eq!(claim_free(networks, &scenario(1)).unwrap_err(), format!("{networks} belongs to another run"));
    drop(held);
    claim_free(networks, &scenario(1)).unwrap();
}

// Guards against a run that takes networks of which only the state service's port was looked at.
#[test]
fn networks_with_any_address_in_use_are_passed_over() {
    let _lock = only_test();
    let networks = claim(1).unwrap()[0].networks();
    let addresses = networks.listening_addresses(&scenario(1));
    assert!(addresses.contains(&networks.relay(0, 2)) && addresses.contains(&networks.controller_internal(1)));
    for address in addresses {
        let _other = TcpListener::bind(address).unwrap();
        let refused = claim_free(networks, &scenario(1)).unwrap_err();
        assert!(refused.starts_with(&format!("{address}: ")), "{refused}");
        assert_ne!(claim(1).unwrap()[0].networks(), networks);
    }
}

#[test]
fn more_regions_than_free_networks_are_refused_in_one_line_and_nothing_is_claimed() {
    let _lock = only_test();
    let held = claim(4).unwrap();
    let refused = claim(7).unwrap_err();
    assert_eq!(refused, "6 of 7 loopback networks are free: 127.206.0.0/15 belongs to another run");
    drop(held);
    assert_eq!(claim(10).unwrap().len(), 10);
}
