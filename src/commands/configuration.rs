//! `badgerdrift config`: shows and changes the shared configuration of a fleet through any of its
//! controllers.

use crate::commands::controller_client::connect;
use crate::commands::errors::{CommandError, ExecutionError, InputError};
use crate::configuration::{ConfigurationRequest, ConfigurationResponse, RegionCondition, RegionStatus};
use crate::transport::peer::{Peer, PeerRequest, PeerResponse};
use badgerdrift_fleet_config::{ChangeId, ChangeOutcome, DocumentName, VersionedDocument};
use clap::Subcommand;
use file::{document_text, read_changes};
use rand::RngExt;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Time limit for the response of a controller, which covers its attempts to reach an agreement.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// What is asked of a controller.
#[derive(Subcommand, Debug, Clone)]
pub enum ConfigCommand {
    /// Prints a document, `operator` or `team/NAME`, as `apply` takes it; without a name their list.
    Get {
        /// Name of the document.
        document: Option<String>,
    },
    /// Takes the changes in a file (HCL), all or none.
    Apply {
        /// The file.
        file: PathBuf,
        /// Asks again for a change whose outcome was unclear, under the id that was printed.
        #[arg(long)]
        id: Option<String>,
    },
    /// Prints which documents in a file differ from those in force.
    Diff {
        /// The file.
        file: PathBuf,
    },
    /// Prints what became of a change.
    Outcome {
        /// The id that was printed as it was made.
        id: String,
    },
    /// Prints version and state of each region.
    Status,
}

/// Connection to the controller that carries out the command.
struct Connection {
    peer: Peer,
}

/// Carries out a command through the controller at this internal address and returns its output.
///
/// # Errors
///
/// The input is invalid, or the command was not carried out.
pub async fn run(controller: SocketAddr, command: &ConfigCommand) -> Result<String, CommandError> {
    let connection = Connection { peer: connect(controller) };
    match command {
        ConfigCommand::Get { document: None } => connection.list().await,
        ConfigCommand::Get { document: Some(name) } => connection.get(name).await,
        ConfigCommand::Apply { file, id } => connection.apply(file, id.as_deref()).await,
        ConfigCommand::Diff { file } => connection.diff(file).await,
        ConfigCommand::Outcome { id } => connection.outcome(id).await,
        ConfigCommand::Status => connection.status().await,
    }
}

impl Connection {
    async fn ask(&self, request: ConfigurationRequest) -> Result<ConfigurationResponse, CommandError> {
        match self.peer.request(PeerRequest::Configuration(request), RESPONSE_TIMEOUT).await {
            Some(PeerResponse::Configuration(ConfigurationResponse::Unavailable(reason))) => {
                Err(ExecutionError::Unavailable(reason).into())
            }
            Some(PeerResponse::Configuration(response)) => Ok(response),
            Some(_) => Err(ExecutionError::MissingFeature("has no shared configuration").into()),
            None => Err(ExecutionError::NoAnswer.into()),
        }
    }

    async fn list(&self) -> Result<String, CommandError> {
        let ConfigurationResponse::Documents(documents) = self.ask(ConfigurationRequest::Documents).await? else {
            return Err(ExecutionError::UnexpectedAnswer.into());
        };
        Ok(documents.iter().map(|(name, version)| format!("{name} {version}\n")).collect())
    }

    async fn document(&self, name: DocumentName) -> Result<Option<VersionedDocument>, CommandError> {
        match self.ask(ConfigurationRequest::Document(name)).await? {
            ConfigurationResponse::Document(document) => Ok(document),
            _ => Err(ExecutionError::UnexpectedAnswer.into()),
        }
    }

    async fn get(&self, name: &str) -> Result<String, CommandError> {
        let parsed = match name.strip_prefix("team/") {
            Some(team) => DocumentName::Team(team.into()),
            None if name == "operator" => DocumentName::Operator,
            None => return Err(InputError::InvalidDocumentName(name.into()).into()),
        };
        match self.document(parsed).await? {
            Some(document) => Ok(document_text(&document)),
            None => Err(ExecutionError::NoSuchDocument(name.into()).into()),
        }
    }

    async fn apply(&self, file: &Path, id: Option<&str>) -> Result<String, CommandError> {
        let id = id.map_or_else(new_id, String::from);
        let change = read_changes(file)?.into_change(&id);
        // Printed before the change is sent, so that its outcome can be requested even if no response arrives.
        eprintln!("change {id}");
        match self.ask(ConfigurationRequest::Apply(change)).await? {
            ConfigurationResponse::Outcome(outcome) => outcome_text(&id, outcome),
            _ => Err(ExecutionError::UnexpectedAnswer.into()),
        }
    }

    async fn diff(&self, file: &Path) -> Result<String, CommandError> {
        let changes = read_changes(file)?;
        let mut text = String::new();
        for (document, _) in changes.documents() {
            let name = document.name();
            let line = match self.document(name.clone()).await? {
                None => format!("{name}: new"),
                Some(current) if current.document == document => continue,
                Some(current) => format!("{name}: differs from version {}", current.version),
            };
            // Writing to a String cannot fail.
            let _ = writeln!(text, "{line}");
        }
        Ok(text)
    }

    async fn outcome(&self, id: &str) -> Result<String, CommandError> {
        match self.ask(ConfigurationRequest::Outcome(ChangeId(id.into()))).await? {
            ConfigurationResponse::Outcome(outcome) => outcome_text(id, outcome),
            _ => Err(ExecutionError::UnexpectedAnswer.into()),
        }
    }

    async fn status(&self) -> Result<String, CommandError> {
        match self.ask(ConfigurationRequest::Status).await? {
            ConfigurationResponse::Status(regions) => Ok(regions.iter().map(status_line).collect()),
            _ => Err(ExecutionError::UnexpectedAnswer.into()),
        }
    }
}

fn status_line(status: &RegionStatus) -> String {
    let condition = match status.condition {
        RegionCondition::InForce => "in force".to_string(),
        RegionCondition::Pending => "pending".to_string(),
        RegionCondition::UnreachableSince { seconds: Some(seconds) } => format!("unreachable since {seconds} s"),
        RegionCondition::UnreachableSince { seconds: None } => "never heard".to_string(),
    };
    format!("{} applied {} obeyed {} {condition}\n", status.region, status.version, status.applied_configuration)
}

fn outcome_text(id: &str, outcome: Option<ChangeOutcome>) -> Result<String, CommandError> {
    let refused = match outcome {
        None => ExecutionError::UnknownChange { id: id.into() },
        Some(ChangeOutcome::Taken { version }) => return Ok(format!("taken in version {version}\n")),
        Some(ChangeOutcome::Conflict { document, found }) => ExecutionError::Conflict { document, found },
        Some(ChangeOutcome::NotRead(document)) => ExecutionError::NotRead(document),
        Some(ChangeOutcome::Invalid { document, error }) => ExecutionError::Invalid { document, error },
    };
    Err(refused.into())
}

fn new_id() -> String {
    format!("{:016x}", rand::rng().random::<u64>())
}

mod file;
#[cfg(test)]
mod tests;
