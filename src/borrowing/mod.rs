//! Loans between teams in the controller: the operators' file, and the requests of controllers and
//! operators about loans. Decisions about loans are in `badgerdrift_borrowing` and `scheduling`, what
//! concerns machines and jobs is in `control::partition`.

mod messages;
mod settings;
#[cfg(test)]
mod tests;

pub use messages::{BorrowingRequest, BorrowingResponse};
pub use settings::load_borrowing;
