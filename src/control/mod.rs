//! The control plane: who leads each partition, its state, and the way of requests to it.

pub mod membership;
pub mod node;
pub mod partition;
pub mod partition_leader;
pub mod router;
