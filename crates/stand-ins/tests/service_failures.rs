//! Failures of the simulated services themselves, which must not look like broken rules.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]

use badgerdrift::transport::http::{Client, Response};
use badgerdrift_stand_ins::SimulationContext;
use badgerdrift_stand_ins::machines;
use badgerdrift_stand_ins::net::SimulatedNetwork;
use badgerdrift_stand_ins::world::SimulationState;
use serde_json::json;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

const SEED: u64 = 1;
/// Time in which a rented machine has booted.
const BOOT: Duration = Duration::from_secs(10);

fn context() -> SimulationContext {
    let network = SimulatedNetwork::new(SEED);
    let user = Client::on(&network.process(IpAddr::V4(Ipv4Addr::LOCALHOST)).0, 1);
    SimulationContext {
        seed: SEED,
        world: Arc::new(Mutex::new(SimulationState::new(SEED, 1))),
        network,
        user,
        doors: Vec::new().into(),
        real_network: None,
    }
}

fn assert_failure_names(context: &SimulationContext, address: &str) {
    let world = context.world.lock().unwrap();
    let failure = world.service_failure.as_deref().unwrap_or_default();
    assert!(failure.contains(address) && failure.contains("address"), "{failure:?}");
    assert_eq!(world.broken, None);
}

// Guards against a service without an address that nobody notices: its task panicked, and nobody awaited it.
#[tokio::test(start_paused = true)]
async fn a_service_whose_address_is_in_use_fails_the_simulation() {
    let context = context();
    let address = "10.9.0.1:80".parse().unwrap();
    let _other = context.network.process(IpAddr::V4(Ipv4Addr::new(10, 9, 0, 1))).0.bind(address).await.unwrap();
    context.serve(address, |_, _| async { Response::error(404, "unused") });
    sleep(BOOT).await;
    assert_failure_names(&context, "10.9.0.1:80");
}

// Guards against a machine that is up in the cloud's list but never reports, since its address was in use.
#[tokio::test(start_paused = true)]
async fn a_machine_whose_address_is_in_use_fails_the_simulation() {
    let context = context();
    let body = json!({"rental": "one", "flavor": "g4", "region": "a", "preemptible": false, "number": 1});
    let ids = context.world.lock().unwrap().rent(&body).1;
    let address = context.world.lock().unwrap().machines[&ids[0]].addr;
    let _other = context.network.process(address.ip()).0.bind(address).await.unwrap();
    machines::boot(&context, ids[0].clone());
    sleep(BOOT).await;
    assert_failure_names(&context, &address.to_string());
}
