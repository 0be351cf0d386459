//! The operators' fleet file (HCL), which enables the shared configuration.

use crate::settings::{Fault, FieldError, SettingsError, hcl_text, load};
use badgerdrift_fleet_config::RegionName;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

/// Regions of the fleet, as the controllers of one region are configured.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Name of this controller's region.
    pub region: RegionName,
    /// All regions of the fleet by name, including this one.
    pub regions: BTreeMap<RegionName, RegionAddresses>,
}

/// Addresses of a region's controllers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionAddresses {
    /// Internal addresses of the region's controllers.
    pub controllers: Vec<SocketAddr>,
}

impl FleetSettings {
    /// Returns the names of all regions in order.
    pub fn names(&self) -> Vec<RegionName> {
        self.regions.keys().cloned().collect()
    }

    fn check(&self) -> Result<(), FieldError> {
        if !self.regions.contains_key(&self.region) {
            let fault = Fault::NotInList { name: self.region.to_string(), list: "regions" };
            return Err(FieldError::new("region", fault));
        }
        if let Some((name, _)) = self.regions.iter().find(|(_, region)| region.controllers.is_empty()) {
            return Err(FieldError::new(format!("regions.{name}.controllers"), Fault::EmptyList("a controller")));
        }
        Ok(())
    }
}

/// Reads and checks the fleet file.
///
/// # Errors
///
/// The file cannot be read, is not valid HCL, or a field is not valid. The text names file and field in
/// one line.
pub fn load_fleet(path: &Path) -> Result<FleetSettings, SettingsError> {
    load(path, |text| {
        let fleet: FleetSettings = hcl_text::parse(text, &[])?;
        fleet.check()?;
        Ok(fleet)
    })
}
