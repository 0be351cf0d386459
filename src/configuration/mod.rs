//! The configuration that the regions of a fleet share: the thin part around
//! `badgerdrift_fleet_config`, which decides what is agreed on and who may use what.
//!
//! [`ConfigurationActor`] owns this region's record and is its acceptor. A task proposes what
//! operators and the leader ask for, one watches the region's state service, and one exchanges
//! versions with the other regions. All of it is off unless the controller is told of a fleet.

mod actor;
mod effect;
mod exchange;
mod handle;
mod messages;
mod proposals;
mod records;
mod regions;
mod settings;
mod stored;

pub use actor::{ConfigurationActor, start};
pub use effect::{policy_of, settings_documents};
pub use handle::{ConfigurationHandle, Published};
pub use messages::{ConfigurationRequest, ConfigurationResponse, Digest, RegionCondition, RegionStatus, Unavailable};
pub use records::{AppliedConfiguration, LogEntry, applied_configuration_change};
pub use settings::{FleetSettings, RegionAddresses, load_fleet};
