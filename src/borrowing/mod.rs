//! Loans between teams in the controller: the operators' file, and requests of controllers and operators
//! about loans. Decisions about loans are made in `badgerdrift_borrowing` and `scheduling`; machines and
//! jobs are handled in `control::partition`.

mod messages;
mod settings;
#[cfg(test)]
mod tests;

pub use messages::{BorrowingRequest, BorrowingResponse};
pub use settings::load_borrowing;
