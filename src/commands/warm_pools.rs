//! `badgerdrift pools`: shows warm pools and their bills through any controller.

use crate::commands::controller_client::{ask, json_text, retry_later_error};
use crate::commands::errors::{CommandError, ExecutionError, InputError};
use crate::transport::peer::{PeerRequest, PeerResponse};
use crate::warm_pools::{BillRow, WarmPoolsRequest, WarmPoolsResponse};
use badgerdrift_warm_pools::PoolStatus;
use clap::Subcommand;
use std::fmt::Write;
use std::net::SocketAddr;

/// Millionths, in which amounts are counted, in one unit of the currency.
const MICRO_PER_UNIT: f64 = 1e6;
const MS_PER_S: f64 = 1000.0;

/// What is asked about pools.
#[derive(Subcommand, Debug, Clone)]
pub enum WarmPoolsCommand {
    /// Prints how each pool is.
    Status {
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints what teams pay, by day (UTC) and pool, as far as it is recorded.
    Bill {
        /// The first day, as 2026-12-02.
        #[arg(long, value_name = "DAY")]
        from: String,
        /// The last day.
        #[arg(long, value_name = "DAY")]
        to: String,
        /// Of this team alone.
        #[arg(long)]
        team: Option<String>,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
}

/// Carries out a command through the controller at this internal address and returns its output.
///
/// # Errors
///
/// The input is invalid, or the controller gave no usable response.
pub async fn run(controller: SocketAddr, command: &WarmPoolsCommand) -> Result<String, CommandError> {
    let request = build_request(command)?;
    let PeerResponse::Pools(response) = ask(controller, PeerRequest::Pools(request)).await? else {
        return Err(ExecutionError::MissingFeature("knows no pools").into());
    };
    match (response, command) {
        (WarmPoolsResponse::Status(pools), WarmPoolsCommand::Status { json: true }) => json_text(&pools),
        (WarmPoolsResponse::Status(pools), _) => Ok(status_table(&pools)),
        (WarmPoolsResponse::Bill(rows), WarmPoolsCommand::Bill { json: true, .. }) => json_text(&rows),
        (WarmPoolsResponse::Bill(rows), _) => Ok(bill_table(&rows)),
        (WarmPoolsResponse::NoPools, _) => Err(ExecutionError::MissingFeature("has no warm pools").into()),
        (WarmPoolsResponse::RetryLater(after_s), _) => Err(retry_later_error(after_s)),
    }
}

/// Returns the request of a command after a check of its days.
fn build_request(command: &WarmPoolsCommand) -> Result<WarmPoolsRequest, CommandError> {
    match command {
        WarmPoolsCommand::Status { .. } => Ok(WarmPoolsRequest::Status),
        WarmPoolsCommand::Bill { from, to, team, .. } => {
            check_day("--from", from)?;
            check_day("--to", to)?;
            if to < from {
                return Err(InputError::DaysReversed { from: from.clone(), to: to.clone() }.into());
            }
            Ok(WarmPoolsRequest::Bill { from: from.clone(), to: to.clone(), team: team.clone() })
        }
    }
}

fn check_day(argument: &'static str, day: &str) -> Result<(), InputError> {
    if badgerdrift_warm_pools::is_day(day) {
        Ok(())
    } else {
        Err(InputError::InvalidDay { argument, value: day.into() })
    }
}

fn status_table(pools: &[PoolStatus]) -> String {
    // Writing to a String cannot fail.
    let mut text =
        String::from("pool                 payer            wanted renting loading  idle claimed draining  idle/h\n");
    for pool in pools {
        let _ = writeln!(
            text,
            "{:20} {:16} {:6} {:7} {:7} {:5} {:7} {:8} {:7.2}",
            pool.pool,
            pool.payer,
            pool.wanted,
            pool.renting,
            pool.loading,
            pool.idle,
            pool.claimed,
            pool.draining,
            pool.idle_cost_per_hour as f64 / MICRO_PER_UNIT
        );
    }
    text
}

fn bill_table(rows: &[BillRow]) -> String {
    // Writing to a String cannot fail.
    let mut text = String::from(
        "day        team             pool                   idle s     idle  claimed s  claimed  estimated s\n",
    );
    for row in rows {
        let total = &row.total;
        let _ = writeln!(
            text,
            "{:10} {:16} {:20} {:8.1} {:8.4} {:10.1} {:8.4} {:12.1}",
            row.day,
            row.team,
            row.pool,
            total.idle_ms as f64 / MS_PER_S,
            total.idle_amount as f64 / MICRO_PER_UNIT,
            total.claimed_ms as f64 / MS_PER_S,
            total.claimed_amount as f64 / MICRO_PER_UNIT,
            total.estimated_ms as f64 / MS_PER_S
        );
    }
    text
}

#[cfg(test)]
mod tests;
