//! Types that the pure cores (borrowing, warm pools) share.

mod field_error;
mod moment;

pub use field_error::FieldError;
pub use moment::Moment;
