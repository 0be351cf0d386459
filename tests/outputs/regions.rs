//! Two regions with one controller each and a state service each, on a network in memory.

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

/// Most connections to a stand-in, and how long an idle one is kept.
const CONNECTIONS: (usize, Duration) = (100, Duration::from_secs(60));
/// Life of a lease from which the limits of a connection follow.
const GRANT_MS: u64 = 20_000;
/// Time of the state service for an answer.
const STATE_ANSWER: Duration = Duration::from_millis(10);
/// How long an answer is waited for.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

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
            sleep(STATE_ANSWER).await;
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

/// Starts a region; the number by which its controller is killed.
fn start_region(network: &SimulatedNetwork, region: u8) -> u64 {
    start_state_service(network, region);
    let regions = json!({
        "north": {"controllers": [address(1, 81)]},
        "south": {"controllers": [address(2, 81)]},
    });
    let name = if region == 1 { "north" } else { "south" };
    let fleet = Some(serde_json::from_value(json!({"region": name, "regions": regions})).unwrap());
    let subsystems = Subsystems { fleet, ..Subsystems::default() };
    let (net, life) = network.process(address(region, 81).ip());
    tokio::spawn(node::run_on(net, settings(region), OperatorSettings::default(), subsystems));
    life
}

/// A change of the operators' figures made from this version.
fn change(version: u64) -> PeerRequest {
    let figures = json!({"bin_width_s": 6.5, "default_deadline_s": 601.5, "idle_keep": 2.5, "headroom": 0.75});
    let change = json!({"id": format!("change-{version}"), "author": "operator", "reason": "season", "at_ms": 0,
        "reads": [{"document": "Operator", "version": version}], "writes": [{"Operator": figures}]});
    serde_json::from_value(json!({"Configuration": {"Apply": change}})).unwrap()
}

/// The metrics of a region after a change that is taken, one that is refused, made from a version
/// that never was, and one that is unclear, as the other region is gone.
pub async fn metrics_after_changes() -> String {
    let network = SimulatedNetwork::new(1);
    start_region(&network, 1);
    let south = start_region(&network, 2);
    sleep(Duration::from_secs(30)).await;
    let net = network.process([10, 9, 0, 1].into()).0;
    let limits = PeerTimeouts::for_leader_lease(GRANT_MS);
    let peer = Peer::start_on(net.clone(), "north".into(), address(1, 81), limits);
    for version in [0, 77] {
        peer.request(change(version), ANSWER_LIMIT).await.expect("an answer");
    }
    network.kill(south);
    // Whether it is answered does not matter: its outcome is counted.
    let _ = peer.request(change(1), ANSWER_LIMIT).await;
    sleep(ANSWER_LIMIT).await;
    let answer = Client::on(&net, 1).call(address(1, 80), "GET", "/metrics", None, ANSWER_LIMIT).await;
    String::from_utf8(answer.unwrap().1.to_vec()).unwrap()
}
