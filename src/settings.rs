//! Settings: the platform's TOML file (unknown fields ignored) and the operators' optional HCL file
//! (unknown names refused). Each controller reads them once, as it starts; what regions share and
//! change meanwhile is in `configuration`.

pub mod bounds;

use serde::Deserialize;
use std::net::SocketAddr;

pub use checks::{check_operator, check_settings};
pub use errors::{ContentError, Fault, FieldError, HclError, SettingsError};
pub(crate) use files::load;
pub use files::{load_operator, load_settings};
pub use operator::Operator;
pub use params::{CloudLimits, Limits, NextStateLimits, Objective, Params, StateLimits, Team, Workers};

/// The settings of the platform.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller, unique in the deployment.
    pub node: String,
    /// Zone in which this controller runs; one of `params.zones`.
    pub site: String,
    /// Address at which users and workers are served.
    pub serve_on: SocketAddr,
    /// Address at which the other controllers are served.
    pub internal_addr: SocketAddr,
    /// The other controllers of the deployment; empty if this is the only one.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// Addresses of the services that the controller depends on.
    pub endpoints: Endpoints,
    /// Parameters of the deployment.
    pub params: Params,
}

/// Another controller of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Seed {
    /// Name of the controller.
    pub node: String,
    /// Zone in which it runs.
    pub site: String,
    /// Its internal address.
    pub endpoint: SocketAddr,
}

/// Addresses of the services that a controller depends on.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud's API.
    pub cloud: SocketAddr,
    /// The state service.
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
