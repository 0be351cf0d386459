//! Control plane: leader election for each partition, the state of a partition, and the routing of
//! requests to its leader.

pub mod membership;
pub mod node;
pub mod partition;
pub mod partition_leader;
pub mod router;
