//! Types shared by the crates `badgerdrift-borrowing` and `badgerdrift-warm-pools`, which do no I/O and
//! read no clock.

mod field_error;
mod moment;

pub use field_error::FieldError;
pub use moment::Moment;
