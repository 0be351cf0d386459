//! Messages between the service and the cloud: instance types, rentals and the list of machines.

use crate::model::{Demand, InstanceType};
use serde::Deserialize;
use serde_json::json;

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

#[derive(Deserialize)]
struct WireInstanceTypes {
    #[serde(rename = "flavors")]
    instance_types: Vec<WireInstanceType>,
}

/// Reads the instance types; `None` if the body is not in the expected form.
pub fn parse_flavors(body: &[u8]) -> Option<Vec<InstanceType>> {
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

/// A machine as the cloud lists it.
#[derive(Debug, Clone, Deserialize, PartialEq)]
pub struct ListedInstance {
    /// Id of the machine.
    pub id: String,
    /// Name of its instance type.
    #[serde(default)]
    #[serde(rename = "flavor")]
    pub instance_type: String,
    /// Its zone.
    #[serde(default, rename = "region")]
    pub zone: String,
    /// True if the cloud may preempt it.
    #[serde(default, rename = "preemptible")]
    pub spot: bool,
    #[serde(default)]
    phase: String,
    /// Seconds since it was rented.
    #[serde(default, rename = "held_s")]
    pub age_s: f64,
}

impl ListedInstance {
    /// True if the machine will not come up.
    pub fn failed(&self) -> bool {
        self.phase == "failed"
    }

    /// True while the machine starts.
    pub fn booting(&self) -> bool {
        self.phase == "starting"
    }
}

#[derive(Deserialize)]
struct ListPage {
    hosts: Vec<ListedInstance>,
    #[serde(default)]
    more: bool,
}

/// Reads a page of the machine list, and whether further pages follow; `None` if the body is not in
/// the expected form.
pub fn parse_list(body: &[u8]) -> Option<(Vec<ListedInstance>, bool)> {
    let page: ListPage = serde_json::from_slice(body).ok()?;
    Some((page.hosts, page.more))
}

/// Path of the page of the machine list after this machine; of the first page if that is empty.
pub fn list_path(after: &str) -> String {
    if after.is_empty() { "/hosts?most=500".into() } else { format!("/hosts?from={after}&most=500") }
}

/// The body of a rental request.
pub fn rent_body(name: &str, instance_type: &str, zone: &str, spot: bool, count: usize) -> Vec<u8> {
    let request =
        json!({"rental": name, "flavor": instance_type, "region": zone, "preemptible": spot, "number": count});
    serde_json::to_vec(&request).unwrap_or_default()
}

/// The body of a request to terminate machines.
pub fn release_body(hosts: &[String]) -> Vec<u8> {
    serde_json::to_vec(&json!({ "hosts": hosts })).unwrap_or_default()
}

#[derive(Deserialize)]
struct Rented {
    hosts: Vec<String>,
}

/// Reads the ids of the machines that were rented; `None` if the body is not in the expected form.
pub fn parse_rented(body: &[u8]) -> Option<Vec<String>> {
    serde_json::from_slice::<Rented>(body).ok().map(|rented| rented.hosts)
}
