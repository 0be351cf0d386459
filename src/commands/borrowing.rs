//! `badgerdrift loans`: shows loans between teams through any controller.

use crate::borrowing::{BorrowingRequest, BorrowingResponse};
use crate::commands::controller_client::{ask, json_text, retry_later_error};
use crate::commands::errors::{CommandError, ExecutionError};
use crate::control::partition::LoansStatus;
use crate::transport::peer::{PeerRequest, PeerResponse};
use clap::Subcommand;
use std::fmt::Write;
use std::net::SocketAddr;

/// What is asked about loans.
#[derive(Subcommand, Debug, Clone)]
pub enum BorrowingCommand {
    /// Prints the loans that are not over, and what each team uses, lends and lacks.
    Status {
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
}

/// Carries out a command through the controller at this internal address and returns its output.
///
/// # Errors
///
/// The controller gave no usable response.
pub async fn run(controller: SocketAddr, command: &BorrowingCommand) -> Result<String, CommandError> {
    let BorrowingCommand::Status { json } = command;
    let PeerResponse::Loans(response) = ask(controller, PeerRequest::Loans(BorrowingRequest::Status)).await? else {
        return Err(ExecutionError::MissingFeature("knows no loans").into());
    };
    match response {
        BorrowingResponse::Status(status) if *json => json_text(&status),
        BorrowingResponse::Status(status) => Ok(loans_table(&status)),
        BorrowingResponse::NoBorrowing => Err(ExecutionError::MissingFeature("has no borrowing").into()),
        BorrowingResponse::RetryLater(after_s) => Err(retry_later_error(after_s)),
    }
}

fn loans_table(status: &LoansStatus) -> String {
    // Writing to a String cannot fail.
    let mut text =
        String::from("lender           borrower         job                  state      tasks     gpus    cpus\n");
    for entry in &status.loans {
        let loan = &entry.loan;
        let amounts = loan.amounts();
        let _ = writeln!(
            text,
            "{:16} {:16} {:20} {:10} {:5} {:8.1} {:7.1}",
            entry.lender,
            loan.borrower,
            entry.lending_job,
            loan.state.label(),
            loan.tasks,
            amounts.gpus,
            amounts.cpus
        );
    }
    text += "\nteam             gpus used    floor  shortfall     lent  borrowed\n";
    for team in &status.teams {
        let _ = writeln!(
            text,
            "{:16} {:9.1} {:8.1} {:10.1} {:8.1} {:9.1}",
            team.team, team.in_use.gpus, team.floor.gpus, team.shortfall.gpus, team.lent.gpus, team.borrowed.gpus
        );
    }
    text
}
