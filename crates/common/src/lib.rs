//! Types shared by the crates `badgerdrift-borrowing` and `badgerdrift-warm-pools`, which do no I/O and
//! read no clock.

mod clock_reading;
mod field_error;

pub use clock_reading::ClockReading;
pub use field_error::FieldError;
