//! Records of the shared configuration, as version 0.2.0 wrote them.
//!
//! Two regions of one controller each start, agree on a change and store it. Keys, values and the number that
//! identifies version 0 (`genesis`) must be the same as in 0.2.0.

use badgerdrift::clients::StateStore;
use badgerdrift::configuration::{self, ConfigurationHandle, FleetSettings};
use badgerdrift::runtime::metrics::SharedMetrics;
use badgerdrift::settings::{OperatorSettings, Settings};
use badgerdrift::transport::http;
use badgerdrift::transport::network::Net;
use badgerdrift::transport::peer::{self, PeerRequest, PeerResponse};
use badgerdrift_stand_ins::net::SimulatedNetwork;
use badgerdrift_stand_ins::store::{Store, query};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

const RECORDS: &str = include_str!("../data/v0.2.0/configuration_records.txt");

/// Name of each region and second byte of the addresses of its hosts.
const REGIONS: [(&str, u8); 2] = [("north", 20), ("south", 21)];
const HTTP_PORT: u16 = 80;
const INTERNAL_PORT: u16 = 81;
const REGION_KEY: &str = "config/region";
const FIRST_LOG_KEY: &str = "config/log/000000000001";
const PREFIX: &str = "config/";
const MAX_CONNECTIONS: usize = 500;
const SEED: u64 = 1;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(20);
const MAX_STEPS: usize = 1000;

const SETTINGS: &str = r#"
node = "n0"
site = "a"
serve_on = "0.0.0.0:80"
internal_addr = "0.0.0.0:81"
[endpoints]
cloud = "0.0.0.0:80"
state = "STATE_SERVICE"
[params]
zones = ["a"]
[[params.teams]]
name = "red"
cpus = 2.0
cpus_max = 10.0
[params.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 10.0
gang_peer_s = 4.0
cancel_s = 12.0
[params.state]
rps = 500.0
write_rps = 100.0
value_kb = 32.0
txn_ops = 12
[params.cloud]
rps = 20.0
list_lag_s = 2.0
[params.limits]
max_sockets = 400
"#;

/// Returns the recorded keys and values.
fn recorded() -> Vec<(&'static str, &'static str)> {
    RECORDS.lines().map(|line| line.split_once(' ').unwrap()).collect()
}

fn recorded_value(key: &str) -> Value {
    let (_, text) = recorded().into_iter().find(|(recorded, _)| *recorded == key).unwrap();
    serde_json::from_str(text).unwrap()
}

/// Returns the change that was taken in version 1, as operators send it.
fn recorded_change() -> Value {
    recorded_value(FIRST_LOG_KEY)["batch"]["entries"][0]["Change"].clone()
}

/// Answers a request to the state service, including one that waits for changes.
async fn answer(store: Arc<Mutex<Store>>, request: http::Request) -> http::Response {
    if !request.path.starts_with("/changes") {
        return store.lock().unwrap().handle(&request);
    }
    let parts = query(&request.path);
    loop {
        if let Some(response) = store.lock().unwrap().changes(&parts, false) {
            return response;
        }
        sleep(STEP).await;
    }
}

fn controller_host(network: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, network, 0, 1))
}

fn state_host(network: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, network, 1, 1))
}

/// Returns the fleet settings of this region.
fn fleet_settings(region: &str) -> FleetSettings {
    let address = |network| SocketAddr::new(controller_host(network), INTERNAL_PORT).to_string();
    let regions: BTreeMap<&str, Value> =
        REGIONS.into_iter().map(|(name, network)| (name, json!({"controllers": [address(network)]}))).collect();
    serde_json::from_value(json!({"region": region, "regions": regions})).unwrap()
}

fn start_state_service(simulated_network: &SimulatedNetwork, network: u8, store: Arc<Mutex<Store>>) {
    let net = simulated_network.process(state_host(network)).0;
    tokio::spawn(async move {
        let listener = net.bind(SocketAddr::new(state_host(network), HTTP_PORT)).await.unwrap();
        http::serve(listener, MAX_CONNECTIONS, REQUEST_TIMEOUT, move |request| answer(store.clone(), request)).await;
    });
}

/// Answers requests of the other region.
fn serve_peers(net: Net, network: u8, handle: ConfigurationHandle) {
    tokio::spawn(async move {
        let listener = net.bind(SocketAddr::new(controller_host(network), INTERNAL_PORT)).await.unwrap();
        peer::serve(listener, move |request, _| {
            let handle = handle.clone();
            async move {
                match request {
                    PeerRequest::Configuration(request) => PeerResponse::Configuration(handle.request(request).await),
                    other => panic!("expected a request about the configuration, got {other:?}"),
                }
            }
        })
        .await;
    });
}

/// Starts a region of one controller with this state service.
fn start_region(
    simulated_network: &SimulatedNetwork,
    (region, network): (&str, u8),
    store: &Arc<Mutex<Store>>,
) -> ConfigurationHandle {
    start_state_service(simulated_network, network, store.clone());
    let state_address = SocketAddr::new(state_host(network), HTTP_PORT).to_string();
    let settings: Settings = toml::from_str(&SETTINGS.replace("STATE_SERVICE", &state_address)).unwrap();
    let net = simulated_network.process(controller_host(network)).0;
    let state = StateStore::on(&net, &settings);
    let (operator, fleet) = (OperatorSettings::default(), fleet_settings(region));
    let handle = configuration::start(&net, &settings, &operator, fleet, state, &[], SharedMetrics::default());
    serve_peers(net, network, handle.clone());
    handle
}

/// Starts all regions with these state services, and returns the handle of the first one.
fn start_regions(stores: &[Arc<Mutex<Store>>; REGIONS.len()]) -> ConfigurationHandle {
    let simulated_network = SimulatedNetwork::new(SEED);
    let handles =
        REGIONS.into_iter().zip(stores).map(|(region, store)| start_region(&simulated_network, region, store));
    handles.collect::<Vec<_>>().swap_remove(0)
}

/// Sends a request given in its serialized form, and returns the response in its serialized form.
async fn ask(handle: &ConfigurationHandle, request: Value) -> Value {
    let request = serde_json::from_value(request).unwrap();
    serde_json::to_value(handle.request(request).await).unwrap()
}

/// Waits until the region has this version. Panics after `MAX_STEPS` steps.
async fn until_version(handle: &ConfigurationHandle, version: u64) {
    for _ in 0..MAX_STEPS {
        if ask(handle, json!("Digest")).await["Digest"]["version"] == json!(version) {
            return;
        }
        sleep(STEP).await;
    }
    panic!("version {version} was not reached in {MAX_STEPS} steps");
}

#[tokio::test(start_paused = true)]
async fn a_region_stores_the_same_records_as_0_2_0() {
    let stores: [Arc<Mutex<Store>>; REGIONS.len()] = Default::default();
    let handle = start_regions(&stores);
    until_version(&handle, 0).await;
    let outcome = ask(&handle, json!({"Apply": recorded_change()})).await;
    assert_eq!(outcome, json!({"Outcome": {"Taken": {"version": 1}}}));
    let stored = stores[0].lock().unwrap().under(PREFIX);
    let lines: Vec<String> = stored.iter().map(|(key, value)| format!("{key} {value}")).collect();
    let expected: Vec<&str> = RECORDS.lines().collect();
    assert_eq!(lines, expected);
}

#[tokio::test(start_paused = true)]
async fn a_region_reads_the_records_of_0_2_0() {
    let stores: [Arc<Mutex<Store>>; REGIONS.len()] = Default::default();
    let put = |(key, text): (&str, &str)| json!({"put": key, "data": serde_json::from_str::<Value>(text).unwrap()});
    let apply: Vec<Value> = recorded().into_iter().map(put).collect();
    let body = json!({"guards": [], "apply": apply});
    let commit = http::Request { method: "POST".into(), path: "/commit".into(), body: body.to_string().into_bytes() };
    for store in &stores {
        assert_eq!(store.lock().unwrap().handle(&commit).status, 200);
    }
    let handle = start_regions(&stores);
    until_version(&handle, 1).await;
    let digest = ask(&handle, json!("Digest")).await;
    assert_eq!(digest["Digest"]["genesis"], recorded_value(REGION_KEY)["genesis"]);
    let document = ask(&handle, json!({"Document": "Operator"})).await;
    assert_eq!(document, json!({"Document": recorded_value("config/doc/operator")}));
    let history = ask(&handle, json!("History")).await;
    assert_eq!(history, json!({"History": recorded_value(FIRST_LOG_KEY)["recorded"]}));
}
