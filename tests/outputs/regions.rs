//! Two regions with one controller and one state service each, on a network in memory.

use badgerdrift::control::node::{self, Subsystems};
use badgerdrift::settings::{OperatorSettings, Settings};
use badgerdrift::transport::http::{self, Client, Request, Response};
use badgerdrift::transport::peer::{Peer, PeerRequest, PeerTimeouts};
use badgerdrift_stand_ins::net::SimulatedNetwork;
use badgerdrift_stand_ins::store::{Store, query};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

/// Maximum number of connections to a stand-in, and its request timeout.
const CONNECTIONS: (usize, Duration) = (100, Duration::from_secs(60));
/// Duration of a leader's lease, in milliseconds, from which the timeouts of a connection follow.
const LEADER_LEASE_MS: u64 = 20_000;
/// Response time of the state service.
const STATE_RESPONSE_TIME: Duration = Duration::from_millis(10);
/// Maximum time to wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

fn address(region: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, region, 0, 1], port))
}

fn state_address(region: u8) -> SocketAddr {
    SocketAddr::from(([10, region, 1, 1], 80))
}

fn settings(region: u8) -> Settings {
    let (serve_on, internal, state) = (address(region, 80), address(region, 81), state_address(region));
    let text = format!(
        r#"
        node = "n0"
        site = "a"
        serve_on = "{serve_on}"
        internal_addr = "{internal}"
        endpoints = {{ cloud = "10.{region}.2.1:80", state = "{state}" }}
        [params]
        zones = ["a"]
        teams = [{{ name = "red", cpus = 2.0, cpus_max = 10.0 }}]
        workers = {{ report_s = 1.0, lease_s = 10.0, gang_wait_s = 10.0, gang_peer_s = 4.0, cancel_s = 12.0 }}
        state = {{ rps = 500.0, write_rps = 100.0, value_kb = 32.0, txn_ops = 12 }}
        cloud = {{ rps = 20.0, list_lag_s = 2.0 }}
        limits = {{ max_sockets = 400 }}
        "#
    );
    toml::from_str(&text).unwrap()
}

fn start_state_service(network: &SimulatedNetwork, region: u8) {
    let (net, store) = (network.process(state_address(region).ip()).0, Arc::<Mutex<Store>>::default());
    let answer = move |request: Request| {
        let store = store.clone();
        async move {
            sleep(STATE_RESPONSE_TIME).await;
            let mut store = store.lock().unwrap();
            match request.path.starts_with("/changes") {
                true => store.changes(&query(&request.path), true).unwrap_or_else(|| Response::error(503, "none")),
                false => store.handle(&request),
            }
        }
    };
    tokio::spawn(async move {
        let listener = net.bind(state_address(region)).await.unwrap();
        http::serve(listener, CONNECTIONS.0, CONNECTIONS.1, answer).await;
    });
}

/// Starts a region, and returns the process number of its controller, by which it can be killed.
fn start_region(network: &SimulatedNetwork, region: u8) -> u64 {
    start_state_service(network, region);
    let regions = json!({
        "north": {"controllers": [address(1, 81)]},
        "south": {"controllers": [address(2, 81)]},
    });
    let name = if region == 1 { "north" } else { "south" };
    let fleet = Some(serde_json::from_value(json!({"region": name, "regions": regions})).unwrap());
    let subsystems = Subsystems { fleet, ..Subsystems::default() };
    let (net, process) = network.process(address(region, 81).ip());
    tokio::spawn(node::run_on(net, settings(region), OperatorSettings::default(), subsystems));
    process
}

/// Request for a change of the operator document, based on this version of it.
fn change(version: u64) -> PeerRequest {
    let values = json!({"bin_width_s": 6.5, "default_deadline_s": 601.5, "idle_keep": 2.5, "headroom": 0.75});
    let change = json!({"id": format!("change-{version}"), "author": "operator", "reason": "season", "at_ms": 0,
        "reads": [{"document": "Operator", "version": version}], "writes": [{"Operator": values}]});
    serde_json::from_value(json!({"Configuration": {"Apply": change}})).unwrap()
}

/// Returns the metrics of a region after three changes: one is taken, one is refused because it is based on a version
/// that never existed, and the outcome of one is unclear because the other region is down.
pub async fn metrics_after_changes() -> String {
    let network = SimulatedNetwork::new(1);
    start_region(&network, 1);
    let south = start_region(&network, 2);
    sleep(Duration::from_secs(30)).await;
    let net = network.process([10, 9, 0, 1].into()).0;
    let limits = PeerTimeouts::for_leader_lease(LEADER_LEASE_MS);
    let peer = Peer::start_on(net.clone(), "north".into(), address(1, 81), limits);
    for version in [0, 77] {
        peer.request(change(version), ANSWER_TIMEOUT).await.expect("an answer");
    }
    network.kill(south);
    // Only the count of the outcome matters, not the answer.
    let _ = peer.request(change(1), ANSWER_TIMEOUT).await;
    sleep(ANSWER_TIMEOUT).await;
    let answer = Client::on(&net, 1).call(address(1, 80), "GET", "/metrics", None, ANSWER_TIMEOUT).await;
    String::from_utf8(answer.unwrap().1.to_vec()).unwrap()
}
