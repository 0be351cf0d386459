//! The configuration that the regions of a fleet share and change while controllers run. Unlike
//! `settings`, which are files that a controller reads once at its start, it consists of versioned
//! documents in the state service of every region. This module connects `badgerdrift_fleet_config`,
//! which implements the agreement and the division of limits, to the state service and to the other
//! controllers.
//!
//! [`ConfigurationActor`] holds this region's record and is its acceptor. One task proposes the
//! entries of operators and of the leader, one watches the region's state service, and one for each
//! other region exchanges versions with it. The module is inactive unless the controller is given a
//! fleet file.

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
pub use handle::{ConfigurationHandle, PublishedConfiguration};
pub use messages::{
    ConfigurationRequest, ConfigurationResponse, RegionCondition, RegionDigest, RegionStatus, UnavailableReason,
};
pub use records::{AppliedConfiguration, LogEntry, applied_configuration_change};
pub use region_policy::{initial_documents, policy_for_region};
pub use settings::{FleetSettings, RegionAddresses, load_fleet};
