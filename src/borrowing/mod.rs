//! Loans between teams in the controller: the operators' file, and what controllers and operators
//! ask each other about loans. What is decided is in `badgerdrift_borrowing` and `sched`, what
//! meets machines and jobs in `partition`.

mod messages;
mod settings;
#[cfg(test)]
mod tests;

pub use messages::{LoansRequest, LoansResponse};
pub use settings::load_borrowing;
