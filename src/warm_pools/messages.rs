//! Requests about pools, through any controller.

use badgerdrift_warm_pools::{DayTotal, PoolStatus};
use serde::{Deserialize, Serialize};

/// A request about pools.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum WarmPoolsRequest {
    /// The state of each pool.
    Status,
    /// The recorded bills from the first to the last of these days, each as `2026-12-02`.
    Bill {
        /// The first day (UTC).
        from: String,
        /// The last day (UTC).
        to: String,
        /// Of this team alone.
        team: Option<String>,
    },
}

/// What a team pays for the replicas of a pool on a day.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRow {
    /// The day (UTC).
    pub day: String,
    /// The team.
    pub team: String,
    /// The pool.
    pub pool: String,
    /// Durations and amounts.
    #[serde(flatten)]
    pub total: DayTotal,
}

/// The answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum WarmPoolsResponse {
    /// The state of each pool.
    Status(Vec<PoolStatus>),
    /// The recorded bills, by day, team and pool.
    Bill(Vec<BillRow>),
    /// The controller has no pools.
    NoPools,
    /// No answer is possible now; again in so many seconds.
    RetryLater(u64),
}
