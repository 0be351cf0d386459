//! The operators' file that switches the shared configuration on (HCL).

use badgerdrift_fleet_config::RegionName;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

/// The fleet as one region's controllers know it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Name of this controller's region.
    pub region: RegionName,
    /// All regions of the fleet, by name, this one included.
    pub regions: BTreeMap<RegionName, RegionAddresses>,
}

/// Where a region's controllers are.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionAddresses {
    /// Internal addresses of its controllers.
    pub controllers: Vec<SocketAddr>,
}

impl FleetSettings {
    /// Names of all regions, in order.
    pub fn names(&self) -> Vec<RegionName> {
        self.regions.keys().cloned().collect()
    }

    fn check(&self) -> Result<(), String> {
        if !self.regions.contains_key(&self.region) {
            return Err(format!("region: {} is not among regions", self.region));
        }
        if let Some((name, _)) = self.regions.iter().find(|(_, region)| region.controllers.is_empty()) {
            return Err(format!("regions.{name}.controllers: must name a controller"));
        }
        Ok(())
    }
}

/// Reads and checks the file; the error is one line naming file and field.
pub fn load_fleet(path: &Path) -> Result<FleetSettings, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: cannot be read: {e}", path.display()))?;
    let one_line = |e: hcl::Error| e.to_string().split_whitespace().collect::<Vec<_>>().join(" ");
    let fleet: FleetSettings = hcl::from_str(&text).map_err(|e| format!("{}: {}", path.display(), one_line(e)))?;
    fleet.check().map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(fleet)
}
