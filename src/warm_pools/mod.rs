//! Warm pools in the controller: the operators' file, and what controllers and operators ask each
//! other about pools. What is decided is in `badgerdrift_warm_pools`, what meets machines and jobs
//! in `partition`.

mod bills;
mod machine_types;
mod messages;
mod settings;
#[cfg(test)]
mod tests;

pub use bills::read_bills;
pub use machine_types::check_machine_types;
pub use messages::{BillRow, PoolsRequest, PoolsResponse};
pub use settings::{LEAST_CHANGES, known_fleet, load_pools};
