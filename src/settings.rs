//! Settings: the platform's TOML file, in which unknown fields are ignored, and the operators' optional
//! HCL file, in which unknown names are refused. Each controller reads them once, at its start. Settings
//! that the regions share and change at run time are in `configuration`.

pub mod bounds;

use serde::Deserialize;
use std::net::SocketAddr;

pub use checks::{check_operator, check_settings};
pub use errors::{ContentError, Fault, FieldError, HclError, SettingsError};
pub(crate) use files::load;
pub use files::{load_operator, load_settings};
pub use operator::OperatorSettings;
pub use params::{CloudLimits, Limits, NextStateLimits, Objective, Params, StateLimits, Team, Workers};

/// Settings of the platform.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller, unique in the deployment.
    pub node: String,
    /// Zone in which this controller runs; one of `params.zones`.
    pub site: String,
    /// Address at which this controller serves users and workers.
    pub serve_on: SocketAddr,
    /// Address at which this controller serves the other controllers.
    pub internal_addr: SocketAddr,
    /// Other controllers of the deployment; empty if this is the only one.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// Addresses of the services that the controller depends on.
    pub endpoints: Endpoints,
    /// Parameters of the deployment.
    pub params: Params,
}

/// Name, zone and address of another controller of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Seed {
    /// Name of the controller.
    pub node: String,
    /// Zone in which the controller runs.
    pub site: String,
    /// Internal address of the controller.
    pub endpoint: SocketAddr,
}

/// Addresses of the services that a controller depends on.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// Address of the cloud's API.
    pub cloud: SocketAddr,
    /// Address of the state service.
    pub state: SocketAddr,
}

mod checks;
mod derived;
mod errors;
mod files;
pub mod hcl_text;
mod operator;
mod params;
#[cfg(test)]
pub mod tests;
