//! `badgerdrift config`: shows and changes the configuration that the regions of a fleet share,
//! through any controller.

use crate::configuration::{ConfigurationRequest, ConfigurationResponse, RegionCondition, RegionStatus, Unavailable};
use crate::net::Net;
use crate::peer::{Peer, PeerLimits, PeerRequest, PeerResponse};
use badgerdrift_fleet_config::{
    Amount, Amounts, Change, ChangeId, ChangeOutcome, Document, DocumentName, OperatorDocument, ReadVersion, Share,
    TeamDocument, VersionedDocument,
};
use clap::Subcommand;
use rand::RngExt;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How long an answer is waited for: as long as a controller may try to reach an agreement.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);
/// Life of a grant from which the limits of the connection follow.
const CONNECTION_GRANT_MS: u64 = 20_000;
/// Thousandths in a whole.
const MILLI: f64 = 1000.0;

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

/// Why a command failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandError {
    /// The input is at fault; nothing was applied.
    BadInput(String),
    /// The change was not taken, or the controller gave no answer.
    NotDone(String),
}

/// The way to the controller.
struct Connection {
    peer: Peer,
}

/// Carries a command out through the controller at this internal address; what is to be printed.
pub async fn run(controller: SocketAddr, command: &ConfigCommand) -> Result<String, CommandError> {
    let limits = PeerLimits::of_grant(CONNECTION_GRANT_MS);
    let connection = Connection { peer: Peer::start_on(Net::default(), controller.to_string(), controller, limits) };
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
        match self.peer.request(PeerRequest::Configuration(request), ANSWER_LIMIT).await {
            Some(PeerResponse::Configuration(ConfigurationResponse::Unavailable(why))) => {
                Err(CommandError::NotDone(reason(why).into()))
            }
            Some(PeerResponse::Configuration(response)) => Ok(response),
            Some(_) => Err(CommandError::NotDone("the controller has no shared configuration".into())),
            None => Err(CommandError::NotDone("the controller does not answer".into())),
        }
    }

    async fn list(&self) -> Result<String, CommandError> {
        let ConfigurationResponse::Documents(documents) = self.ask(ConfigurationRequest::Documents).await? else {
            return Err(unexpected());
        };
        Ok(documents.iter().map(|(name, version)| format!("{name} {version}\n")).collect())
    }

    async fn document(&self, name: DocumentName) -> Result<Option<VersionedDocument>, CommandError> {
        match self.ask(ConfigurationRequest::Document(name)).await? {
            ConfigurationResponse::Document(document) => Ok(document),
            _ => Err(unexpected()),
        }
    }

    async fn get(&self, name: &str) -> Result<String, CommandError> {
        let parsed = match name.strip_prefix("team/") {
            Some(team) => DocumentName::Team(team.into()),
            None if name == "operator" => DocumentName::Operator,
            None => return Err(CommandError::BadInput(format!("{name}: must be `operator` or `team/NAME`"))),
        };
        match self.document(parsed).await? {
            Some(document) => Ok(document_text(&document)),
            None => Err(CommandError::NotDone(format!("{name}: there is no such document"))),
        }
    }

    async fn apply(&self, file: &Path, id: Option<&str>) -> Result<String, CommandError> {
        let id = id.map_or_else(new_id, String::from);
        let change = read_changes(file)?.into_change(&id);
        // Told before it is sent: with it the outcome can be asked for, whatever happens.
        eprintln!("change {id}");
        match self.ask(ConfigurationRequest::Apply(change)).await? {
            ConfigurationResponse::Outcome(outcome) => outcome_text(&id, outcome.as_ref()),
            _ => Err(unexpected()),
        }
    }

    async fn diff(&self, file: &Path) -> Result<String, CommandError> {
        let changes = read_changes(file)?;
        let mut text = String::new();
        for (document, _) in changes.documents() {
            let name = document.name();
            let line = match self.document(name.clone()).await? {
                None => format!("{name}: new"),
                Some(present) if present.document == document => continue,
                Some(present) => format!("{name}: differs from version {}", present.version),
            };
            let _ = writeln!(text, "{line}");
        }
        Ok(text)
    }

    async fn outcome(&self, id: &str) -> Result<String, CommandError> {
        match self.ask(ConfigurationRequest::Outcome(ChangeId(id.into()))).await? {
            ConfigurationResponse::Outcome(outcome) => outcome_text(id, outcome.as_ref()),
            _ => Err(unexpected()),
        }
    }

    async fn status(&self) -> Result<String, CommandError> {
        match self.ask(ConfigurationRequest::Status).await? {
            ConfigurationResponse::Status(regions) => Ok(regions.iter().map(status_line).collect()),
            _ => Err(unexpected()),
        }
    }
}

fn unexpected() -> CommandError {
    CommandError::NotDone("the controller gave another answer than expected".into())
}

fn reason(why: Unavailable) -> &'static str {
    match why {
        Unavailable::NotStarted => "the region has not begun to take part, or waits for the others to begin",
        Unavailable::SettingsDiffer => "the regions' settings differ",
        Unavailable::StateService => "the state service does not answer",
        Unavailable::Unclear => {
            "unclear: the change may still be taken; ask for its outcome, or apply it again with --id"
        }
        Unavailable::TooLarge => "the change does not fit into one version: divide it",
        Unavailable::Busy => "the controller can't do more now",
    }
}

fn status_line(status: &RegionStatus) -> String {
    let condition = match status.condition {
        RegionCondition::InForce => "in force".to_string(),
        RegionCondition::Pending => "pending".to_string(),
        RegionCondition::UnreachableSince { seconds: Some(seconds) } => format!("unreachable since {seconds} s"),
        RegionCondition::UnreachableSince { seconds: None } => "never heard".to_string(),
    };
    format!("{} applied {} obeyed {} {condition}\n", status.region, status.version, status.obeyed)
}

fn outcome_text(id: &str, outcome: Option<&ChangeOutcome>) -> Result<String, CommandError> {
    let refused = match outcome {
        None => format!("{id}: not known; it may have been made too long ago, or not be agreed on"),
        Some(ChangeOutcome::Taken { version }) => return Ok(format!("taken in version {version}\n")),
        Some(ChangeOutcome::Conflict { document, found }) => {
            format!("{document}.version: it has changed meanwhile, in version {found}")
        }
        Some(ChangeOutcome::NotRead(document)) => format!("{document}.version: is missing"),
        Some(ChangeOutcome::Invalid { document, error }) => format!("{document}.{}: {}", error.field, error.reason),
    };
    Err(CommandError::NotDone(refused))
}

fn new_id() -> String {
    format!("{:016x}", rand::rng().random::<u64>())
}

// ---- files ----

/// A file with changes.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangesFile {
    author: String,
    reason: String,
    #[serde(default)]
    team: BTreeMap<String, TeamBlock>,
    #[serde(default)]
    operator: Option<OperatorBlock>,
}

/// A team's document, with the version that it was made from; 0 for a new team.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TeamBlock {
    version: u64,
    #[serde(default)]
    removed: bool,
    #[serde(default)]
    guarantee: AmountsBlock,
    #[serde(default)]
    limit: AmountsBlock,
    #[serde(default)]
    share: BTreeMap<String, ShareBlock>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorBlock {
    version: u64,
    bin_width_s: f64,
    default_deadline_s: f64,
    idle_keep: f64,
    headroom: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct ShareBlock {
    #[serde(default)]
    guarantee: AmountsBlock,
    #[serde(default)]
    limit: AmountsBlock,
}

/// Amounts; one that is left out of a team's limit is unlimited, elsewhere it is 0.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
struct AmountsBlock {
    cpus: Option<f64>,
    gpus: Option<f64>,
}

impl AmountsBlock {
    fn or(self, absent: Amount) -> Amounts {
        let amount = |number: Option<f64>| number.map_or(absent, |number| Amount((number * MILLI).round() as u64));
        Amounts { cpus: amount(self.cpus), gpus: amount(self.gpus) }
    }

    fn check(&self, document: &str, field: &str) -> Result<(), CommandError> {
        let sound = |number: &f64| number.is_finite() && *number >= 0.0 && *number * MILLI < Amount::UNLIMITED.0 as f64;
        match [self.cpus, self.gpus].iter().flatten().all(sound) {
            true => Ok(()),
            false => Err(CommandError::BadInput(format!("{document}.{field}: must be 0 or more"))),
        }
    }
}

fn read_changes(file: &Path) -> Result<ChangesFile, CommandError> {
    let at = |error: String| CommandError::BadInput(format!("{}: {error}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|error| at(error.to_string()))?;
    parse_changes(&text).map_err(|error| match error {
        CommandError::BadInput(error) => at(error),
        other => other,
    })
}

fn parse_changes(text: &str) -> Result<ChangesFile, CommandError> {
    let one_line = |error: hcl::Error| error.to_string().split_whitespace().collect::<Vec<_>>().join(" ");
    let changes: ChangesFile = hcl::from_str(text).map_err(|error| CommandError::BadInput(one_line(error)))?;
    if changes.team.is_empty() && changes.operator.is_none() {
        return Err(CommandError::BadInput("team: no document is changed".into()));
    }
    for (name, team) in &changes.team {
        let document = format!("team/{name}");
        team.guarantee.check(&document, "guarantee")?;
        team.limit.check(&document, "limit")?;
        for share in team.share.values() {
            share.guarantee.check(&document, "share.guarantee")?;
            share.limit.check(&document, "share.limit")?;
        }
    }
    for (document, _) in changes.documents() {
        let regions: Vec<String> = changes.team.values().flat_map(|team| team.share.keys().cloned()).collect();
        if let Err(error) = document.check(&regions) {
            let name = document.name();
            return Err(CommandError::BadInput(format!("{name}.{}: {}", error.field, error.reason)));
        }
    }
    Ok(changes)
}

impl ChangesFile {
    /// The documents with the versions that they were made from.
    fn documents(&self) -> Vec<(Document, u64)> {
        let teams = self.team.iter().map(|(name, block)| (team_document(name, block), block.version));
        let operator = self.operator.iter().map(|block| {
            let figures = OperatorDocument {
                bin_width_s: block.bin_width_s,
                default_deadline_s: block.default_deadline_s,
                idle_keep: block.idle_keep,
                headroom: block.headroom,
            };
            (Document::Operator(figures), block.version)
        });
        teams.chain(operator).collect()
    }

    fn into_change(self, id: &str) -> Change {
        let documents = self.documents();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Change {
            id: ChangeId(id.into()),
            author: self.author,
            reason: self.reason,
            at_ms: now.as_millis() as u64,
            reads: documents
                .iter()
                .map(|(document, version)| ReadVersion { document: document.name(), version: *version })
                .collect(),
            writes: documents.into_iter().map(|(document, _)| document).collect(),
        }
    }
}

fn team_document(name: &str, block: &TeamBlock) -> Document {
    let share =
        |block: &ShareBlock| Share { guarantee: block.guarantee.or(Amount(0)), limit: block.limit.or(Amount(0)) };
    Document::Team(TeamDocument {
        name: name.into(),
        removed: block.removed,
        guarantee: block.guarantee.or(Amount(0)),
        limit: block.limit.or(Amount::UNLIMITED),
        shares: block.share.iter().map(|(region, block)| (region.clone(), share(block))).collect(),
    })
}

/// A document as `apply` takes it, without author and reason.
fn document_text(versioned: &VersionedDocument) -> String {
    let version = versioned.version;
    match &versioned.document {
        Document::Operator(figures) => format!(
            "operator {{\n  version = {version}\n  bin_width_s = {:?}\n  default_deadline_s = {:?}\n  idle_keep = {:?}\n  \
             headroom = {:?}\n}}\n",
            figures.bin_width_s, figures.default_deadline_s, figures.idle_keep, figures.headroom
        ),
        Document::Team(team) => {
            let mut text = format!("team {:?} {{\n  version = {version}\n  removed = {}\n", team.name, team.removed);
            let _ = writeln!(text, "  guarantee {{{}}}", amounts_text(team.guarantee));
            let _ = writeln!(text, "  limit {{{}}}", amounts_text(team.limit));
            for (region, share) in &team.shares {
                let _ = writeln!(text, "  share {region:?} {{");
                let _ = writeln!(text, "    guarantee {{{}}}", amounts_text(share.guarantee));
                let _ = writeln!(text, "    limit {{{}}}\n  }}", amounts_text(share.limit));
            }
            text + "}\n"
        }
    }
}

/// Amounts in the lines of a block; what is unlimited is left out.
fn amounts_text(amounts: Amounts) -> String {
    let fields = [("cpus", amounts.cpus), ("gpus", amounts.gpus)];
    let limited = fields.into_iter().filter(|(_, amount)| *amount < Amount::UNLIMITED);
    let lines: String = limited.map(|(name, amount)| format!("\n    {name} = {:?}", amount.0 as f64 / MILLI)).collect();
    if lines.is_empty() { lines } else { lines + "\n  " }
}

#[cfg(test)]
mod tests;
