//! The configuration that the regions of a fleet share and change while controllers run. Unlike
//! `settings`, which are files that each controller reads once as it starts, it consists of
//! versioned documents in the state service of every region. This module connects
//! `badgerdrift_fleet_config`, which decides what is agreed on and who may use what, to the state
//! service and to the other controllers.
//!
//! [`ConfigurationActor`] holds this region's record and is its acceptor. One task proposes what
//! operators and the leader ask for, one watches the region's state service, and one for each
//! other region exchanges versions with it. All of it is off unless the controller is given a fleet
//! file.

mod actor;
mod entries;
mod exchange;
mod handle;
mod messages;
mod proposals;
mod records;
mod region_policy;
mod regions;
mod settings;
mod status;
mod stored;

pub use actor::{ConfigurationActor, start};
pub use handle::{ConfigurationHandle, Published};
pub use messages::{
    ConfigurationRequest, ConfigurationResponse, RegionCondition, RegionDigest, RegionStatus, UnavailableReason,
};
pub use records::{AppliedConfiguration, LogEntry, applied_configuration_change};
pub use region_policy::{policy_of, settings_documents};
pub use settings::{FleetSettings, RegionAddresses, load_fleet};
