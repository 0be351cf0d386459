//! `badgerdrift pools`: shows warm pools and their bills, through any controller.

use crate::commands::controller_client::{ask, json_text, retry_later};
use crate::commands::errors::{CommandError, InputError, NotDone};
use crate::transport::peer::{PeerRequest, PeerResponse};
use crate::warm_pools::{BillRow, WarmPoolsRequest, WarmPoolsResponse};
use badgerdrift_warm_pools::PoolStatus;
use clap::Subcommand;
use std::fmt::Write;
use std::net::SocketAddr;

/// Micro-units in a unit of the currency.
const MICRO: f64 = 1e6;
/// Milliseconds in a second.
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

/// Carries a command out through the controller at this internal address; returns what is to be
/// printed.
///
/// # Errors
///
/// Invalid input, or the controller gave no usable answer.
pub async fn run(controller: SocketAddr, command: &WarmPoolsCommand) -> Result<String, CommandError> {
    let request = request(command)?;
    let PeerResponse::Pools(response) = ask(controller, PeerRequest::Pools(request)).await? else {
        return Err(NotDone::Feature("knows no pools").into());
    };
    match (response, command) {
        (WarmPoolsResponse::Status(pools), WarmPoolsCommand::Status { json: true }) => json_text(&pools),
        (WarmPoolsResponse::Status(pools), _) => Ok(status_table(&pools)),
        (WarmPoolsResponse::Bill(rows), WarmPoolsCommand::Bill { json: true, .. }) => json_text(&rows),
        (WarmPoolsResponse::Bill(rows), _) => Ok(bill_table(&rows)),
        (WarmPoolsResponse::NoPools, _) => Err(NotDone::Feature("has no warm pools").into()),
        (WarmPoolsResponse::RetryLater(after_s), _) => Err(retry_later(after_s)),
    }
}

fn request(command: &WarmPoolsCommand) -> Result<WarmPoolsRequest, CommandError> {
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
    if badgerdrift_warm_pools::is_day(day) { Ok(()) } else { Err(InputError::Day { argument, value: day.into() }) }
}

fn status_table(pools: &[PoolStatus]) -> String {
    // Writing to a String can't fail.
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
            pool.idle_cost_per_hour as f64 / MICRO
        );
    }
    text
}

fn bill_table(rows: &[BillRow]) -> String {
    // Writing to a String can't fail.
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
            total.idle_amount as f64 / MICRO,
            total.claimed_ms as f64 / MS_PER_S,
            total.claimed_amount as f64 / MICRO,
            total.estimated_ms as f64 / MS_PER_S
        );
    }
    text
}

#[cfg(test)]
mod tests;
