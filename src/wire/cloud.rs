//! Messages between the service and the cloud: machine types, rentals and the list of machines.

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

/// Reads the machine types.
pub fn parse_flavors(body: &[u8]) -> Option<Vec<InstanceType>> {
    let w: WireInstanceTypes = serde_json::from_slice(body).ok()?;
    Some(
        w.instance_types
            .into_iter()
            .map(|f| InstanceType {
                name: f.sku,
                cap: Demand { cpus: f.cores, gpus: f.cards, mem: f.mem_gb },
                cache_gb: f.cache_gb,
                fetch_gb_per_s: f.fetch_gb_per_s,
                price: f.rate,
                spot_price: f.low_price,
                boot_s: f.startup_s,
                zones: f.regions,
            })
            .collect(),
    )
}

/// A machine as the cloud lists it.
#[derive(Debug, Clone, Deserialize, PartialEq)]
pub struct ListedInstance {
    /// Id of the machine.
    pub id: String,
    /// Name of its machine type.
    #[serde(default)]
    #[serde(rename = "flavor")]
    pub instance_type: String,
    /// Where it stands.
    #[serde(default, rename = "region")]
    pub zone: String,
    /// True if the cloud may take it back.
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

/// Reads a page of the machine list; true if there are more.
pub fn parse_list(body: &[u8]) -> Option<(Vec<ListedInstance>, bool)> {
    let p: ListPage = serde_json::from_slice(body).ok()?;
    Some((p.hosts, p.more))
}

/// Path of a page of the machine list.
pub fn list_path(after: &str) -> String {
    if after.is_empty() { "/hosts?most=500".into() } else { format!("/hosts?from={after}&most=500") }
}

/// The body of a rental request.
pub fn rent_body(name: &str, instance_type: &str, zone: &str, spot: bool, count: usize) -> Vec<u8> {
    let v = json!({"rental": name, "flavor": instance_type, "region": zone, "preemptible": spot, "number": count});
    serde_json::to_vec(&v).unwrap_or_default()
}

/// The body of a request to release machines.
pub fn release_body(hosts: &[String]) -> Vec<u8> {
    serde_json::to_vec(&json!({ "hosts": hosts })).unwrap_or_default()
}

#[derive(Deserialize)]
struct Rented {
    hosts: Vec<String>,
}

/// Reads the ids of the machines that were rented.
pub fn parse_rented(body: &[u8]) -> Option<Vec<String>> {
    serde_json::from_slice::<Rented>(body).ok().map(|r| r.hosts)
}
