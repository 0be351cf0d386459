//! Messages between controllers and the cloud: instance types, rentals and the list of machines.

use crate::model::{Demand, InstanceType};
use serde::Deserialize;
use serde_json::json;

/// An instance type as the cloud lists it.
#[derive(Deserialize)]
struct WireInstanceType {
    sku: String,
    cores: f64,
    #[serde(default)]
    cards: f64,
    mem_gb: f64,
    #[serde(default)]
    cache_gb: f64,
    #[serde(default)]
    fetch_gb_per_s: f64,
    #[serde(default)]
    rate: f64,
    #[serde(default)]
    low_price: f64,
    #[serde(default)]
    startup_s: f64,
    #[serde(default)]
    regions: Vec<String>,
}

/// The cloud's list of instance types.
#[derive(Deserialize)]
struct WireInstanceTypes {
    #[serde(rename = "flavors")]
    instance_types: Vec<WireInstanceType>,
}

/// Parses the list of instance types; `None` if the body is not in the expected form.
pub fn parse_instance_types(body: &[u8]) -> Option<Vec<InstanceType>> {
    let message: WireInstanceTypes = serde_json::from_slice(body).ok()?;
    Some(
        message
            .instance_types
            .into_iter()
            .map(|listed| InstanceType {
                name: listed.sku,
                cap: Demand { cpus: listed.cores, gpus: listed.cards, mem: listed.mem_gb },
                cache_gb: listed.cache_gb,
                fetch_gb_per_s: listed.fetch_gb_per_s,
                price: listed.rate,
                spot_price: listed.low_price,
                boot_s: listed.startup_s,
                zones: listed.regions,
            })
            .collect(),
    )
}

/// A rented machine as the cloud lists it.
#[derive(Debug, Clone, Deserialize, PartialEq)]
pub struct ListedInstance {
    /// Id of the machine.
    pub id: String,
    /// Name of the machine's instance type.
    #[serde(default)]
    #[serde(rename = "flavor")]
    pub instance_type: String,
    /// Zone of the machine.
    #[serde(default, rename = "region")]
    pub zone: String,
    /// Whether the cloud may preempt the machine.
    #[serde(default, rename = "preemptible")]
    pub spot: bool,
    #[serde(default)]
    phase: String,
    /// Number of seconds since the machine was rented.
    #[serde(default, rename = "held_s")]
    pub age_s: f64,
}

impl ListedInstance {
    /// Returns whether the machine has failed to boot.
    pub fn failed(&self) -> bool {
        self.phase == "failed"
    }

    /// Returns whether the machine is still booting.
    pub fn booting(&self) -> bool {
        self.phase == "starting"
    }
}

/// A page of the machine list.
#[derive(Deserialize)]
struct ListPage {
    hosts: Vec<ListedInstance>,
    #[serde(default)]
    more: bool,
}

/// Parses a page of the machine list, and returns its machines and whether further pages follow;
/// `None` if the body is not in the expected form.
pub fn parse_machine_list(body: &[u8]) -> Option<(Vec<ListedInstance>, bool)> {
    let page: ListPage = serde_json::from_slice(body).ok()?;
    Some((page.hosts, page.more))
}

/// Returns the path of the page of the machine list that begins after the machine with the id `after`;
/// of the first page if that is empty.
pub fn machine_list_path(after: &str) -> String {
    if after.is_empty() { "/hosts?most=500".into() } else { format!("/hosts?from={after}&most=500") }
}

/// Returns the body of a request to rent machines.
pub fn rent_body(name: &str, instance_type: &str, zone: &str, spot: bool, count: usize) -> Vec<u8> {
    let request =
        json!({"rental": name, "flavor": instance_type, "region": zone, "preemptible": spot, "number": count});
    serde_json::to_vec(&request).unwrap_or_default()
}

/// Returns the body of a request to terminate machines.
pub fn release_body(hosts: &[String]) -> Vec<u8> {
    serde_json::to_vec(&json!({ "hosts": hosts })).unwrap_or_default()
}

/// The answer to a rental request.
#[derive(Deserialize)]
struct Rented {
    hosts: Vec<String>,
}

/// Parses the ids of the machines that were rented; `None` if the body is not in the expected form.
pub fn parse_rented_machines(body: &[u8]) -> Option<Vec<String>> {
    serde_json::from_slice::<Rented>(body).ok().map(|rented| rented.hosts)
}
