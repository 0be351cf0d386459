//! What the actor keeps while it holds the part.

use crate::clients::Bucket;
use crate::leader::Leader;
use crate::part::Part;
use crate::sched::Coming;

/// One tenancy of the part.
pub(super) struct Tenure {
    pub(super) part: Part,
    pub(super) leader: Leader,
    /// Number of the tenancy: answers to an earlier one are dropped.
    pub(super) n: u64,
    pub(super) grant: u64,
    pub(super) version: u64,
    pub(super) loaded: bool,
    pub(super) writes: Bucket,
    pub(super) raising: bool,
    pub(super) raise_after_ms: u64,
    pub(super) commit_after_ms: u64,
    pub(super) next_pass_ms: u64,
    pub(super) next_urgent_ms: u64,
    pub(super) next_upkeep_ms: u64,
    pub(super) upkeep_ms: u64,
    pub(super) next_plan_ms: u64,
    /// What the leader says is on its way here.
    pub(super) coming: Vec<Coming>,
}
