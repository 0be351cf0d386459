//! The actor of a part: owns its state, is spoken to by messages, and carries
//! out what `part` and `leader` decide.

mod actor;
mod answers;
mod cloud_tasks;
mod commits;
mod dispatch;
mod load;
mod messages;
mod rounds;
mod tenure;

pub use actor::Holder;
pub use load::{FLAVORS_KEY, Loaded};
pub use messages::{BeatAnswer, Msg, SessionEvent};
