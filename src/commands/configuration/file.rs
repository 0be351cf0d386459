//! Files with changes of documents (HCL), and documents printed in the same form.

use crate::commands::errors::{ChangesError, InputError};
use crate::settings::hcl_text;
use badgerdrift_fleet_config::{
    Amount, Amounts, Change, ChangeId, Document, OperatorDocument, ReadVersion, Share, TeamDocument, VersionedDocument,
};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Thousandths in a whole.
const MILLI: f64 = 1000.0;

/// A file with changes.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ChangesFile {
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

    fn check(&self, document: &str, field: &'static str) -> Result<(), ChangesError> {
        let sound = |number: &f64| number.is_finite() && *number >= 0.0 && *number * MILLI < Amount::UNLIMITED.0 as f64;
        match [self.cpus, self.gpus].iter().flatten().all(sound) {
            true => Ok(()),
            false => Err(ChangesError::Amount { document: document.into(), field }),
        }
    }
}

/// Reads and checks a file of changes.
pub(super) fn read_changes(file: &Path) -> Result<ChangesFile, InputError> {
    let text =
        std::fs::read_to_string(file).map_err(|source| InputError::Unreadable { file: file.to_path_buf(), source })?;
    parse_changes(&text).map_err(|source| InputError::File { file: file.to_path_buf(), source })
}

/// The same of the file's text.
pub(super) fn parse_changes(text: &str) -> Result<ChangesFile, ChangesError> {
    let changes: ChangesFile = hcl_text::parse(text, &[])?;
    if changes.team.is_empty() && changes.operator.is_none() {
        return Err(ChangesError::Empty);
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
            return Err(ChangesError::Document { document: document.name(), error });
        }
    }
    Ok(changes)
}

impl ChangesFile {
    /// The documents with the versions that they were made from.
    pub(super) fn documents(&self) -> Vec<(Document, u64)> {
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

    pub(super) fn into_change(self, id: &str) -> Change {
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
pub(super) fn document_text(versioned: &VersionedDocument) -> String {
    let version = versioned.version;
    match &versioned.document {
        Document::Operator(figures) => format!(
            "operator {{\n  version = {version}\n  bin_width_s = {:?}\n  default_deadline_s = {:?}\n  idle_keep = {:?}\n  \
             headroom = {:?}\n}}\n",
            figures.bin_width_s, figures.default_deadline_s, figures.idle_keep, figures.headroom
        ),
        Document::Team(team) => {
            // Writing to a String can't fail.
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
