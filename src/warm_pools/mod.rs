//! Warm pools in the controller: the operators' file, and requests of controllers and operators about
//! pools. Decisions about slots are made in `badgerdrift_warm_pools`; machines and jobs are handled in
//! `control::partition`.

mod bills;
mod machine_types;
mod messages;
mod settings;
#[cfg(test)]
mod tests;

pub use bills::read_bills;
pub use machine_types::check_machine_types;
pub use messages::{BillRow, WarmPoolsRequest, WarmPoolsResponse};
pub use settings::{LEAST_CHANGES, known_fleet, load_pools};
