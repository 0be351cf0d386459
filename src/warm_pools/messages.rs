//! Requests about warm pools, which any controller answers, and their responses.

use badgerdrift_warm_pools::{DayTotal, PoolStatus};
use serde::{Deserialize, Serialize};

/// Request about warm pools.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum WarmPoolsRequest {
    /// Asks for the state of each pool.
    Status,
    /// Asks for the recorded bills from the first to the last of these days, each in the form `2026-12-02`.
    Bill {
        /// First day (UTC).
        from: String,
        /// Last day (UTC).
        to: String,
        /// Name of the only team whose bills are wanted; `None` for all teams.
        team: Option<String>,
    },
}

/// Amount that a team pays for the replicas of a pool on one day.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRow {
    /// Day (UTC), in the form `2026-12-02`.
    pub day: String,
    /// Name of the team.
    pub team: String,
    /// Name of the pool.
    pub pool: String,
    /// Durations and amounts of the day.
    #[serde(flatten)]
    pub total: DayTotal,
}

/// Response to a [`WarmPoolsRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum WarmPoolsResponse {
    /// The state of each pool.
    Status(Vec<PoolStatus>),
    /// The recorded bills, by day, team and pool.
    Bill(Vec<BillRow>),
    /// The controller has no warm pools.
    NoPools,
    /// The controller cannot answer at present; the request may be repeated after this number of seconds.
    RetryLater(u64),
}
