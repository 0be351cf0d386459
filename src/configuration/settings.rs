//! The operators' file that switches the shared configuration on (HCL).

use crate::settings::{Fault, FieldError, SettingsError, hcl_text, load};
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

    fn check(&self) -> Result<(), FieldError> {
        if !self.regions.contains_key(&self.region) {
            let fault = Fault::NotAmong { name: self.region.to_string(), list: "regions" };
            return Err(FieldError::new("region", fault));
        }
        if let Some((name, _)) = self.regions.iter().find(|(_, region)| region.controllers.is_empty()) {
            return Err(FieldError::new(format!("regions.{name}.controllers"), Fault::NamesNone("a controller")));
        }
        Ok(())
    }
}

/// Reads and checks the file; the error is one line naming file and field.
///
/// # Errors
///
/// The file cannot be read, is not valid HCL, or a field is not valid: names file and field in one line.
pub fn load_fleet(path: &Path) -> Result<FleetSettings, SettingsError> {
    load(path, |text| {
        let fleet: FleetSettings = hcl_text::parse(text, &[])?;
        fleet.check()?;
        Ok(fleet)
    })
}
