//! Files of document changes (HCL), and the output of documents in the same form.

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

/// Units of [`Amount`], which are thousandths, in 1.
const AMOUNT_UNITS: f64 = 1000.0;

/// Content of a file of changes.
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

/// A team's document with the version from which it was made; 0 for a new team.
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

/// The operators' document with the version from which it was made.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorBlock {
    version: u64,
    bin_width_s: f64,
    default_deadline_s: f64,
    idle_keep: f64,
    headroom: f64,
}

/// A region's share of a team's guarantee and limit.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct ShareBlock {
    #[serde(default)]
    guarantee: AmountsBlock,
    #[serde(default)]
    limit: AmountsBlock,
}

/// Amounts of cores and accelerators. A missing amount is unlimited in a team's limit and 0 elsewhere.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
struct AmountsBlock {
    cpus: Option<f64>,
    gpus: Option<f64>,
}

impl AmountsBlock {
    /// Returns the amounts, with `absent` for missing ones.
    fn with_default(self, absent: Amount) -> Amounts {
        let amount =
            |number: Option<f64>| number.map_or(absent, |number| Amount((number * AMOUNT_UNITS).round() as u64));
        Amounts { cpus: amount(self.cpus), gpus: amount(self.gpus) }
    }

    /// Checks that each amount is finite, not negative and below [`Amount::UNLIMITED`].
    fn check(&self, document: &str, field: &'static str) -> Result<(), ChangesError> {
        let is_valid =
            |number: &f64| number.is_finite() && *number >= 0.0 && *number * AMOUNT_UNITS < Amount::UNLIMITED.0 as f64;
        match [self.cpus, self.gpus].iter().flatten().all(is_valid) {
            true => Ok(()),
            false => Err(ChangesError::InvalidAmount { document: document.into(), field }),
        }
    }
}

/// Reads and checks a file of changes.
pub(super) fn read_changes(file: &Path) -> Result<ChangesFile, InputError> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| InputError::UnreadableFile { file: file.to_path_buf(), source })?;
    parse_changes(&text).map_err(|source| InputError::InvalidFile { file: file.to_path_buf(), source })
}

/// Parses and checks the text of a file of changes.
pub(super) fn parse_changes(text: &str) -> Result<ChangesFile, ChangesError> {
    let changes: ChangesFile = hcl_text::parse(text, &[])?;
    if changes.team.is_empty() && changes.operator.is_none() {
        return Err(ChangesError::NoChanges);
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
            return Err(ChangesError::InvalidDocument { document: document.name(), error });
        }
    }
    Ok(changes)
}

impl ChangesFile {
    /// Returns the changed documents with the versions from which they were made.
    pub(super) fn documents(&self) -> Vec<(Document, u64)> {
        let teams = self.team.iter().map(|(name, block)| (team_document(name, block), block.version));
        let operator = self.operator.iter().map(|block| {
            let operator_document = OperatorDocument {
                bin_width_s: block.bin_width_s,
                default_deadline_s: block.default_deadline_s,
                idle_keep: block.idle_keep,
                headroom: block.headroom,
            };
            (Document::Operator(operator_document), block.version)
        });
        teams.chain(operator).collect()
    }

    /// Returns the change with this identifier, dated with the present time.
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
    let share = |block: &ShareBlock| Share {
        guarantee: block.guarantee.with_default(Amount(0)),
        limit: block.limit.with_default(Amount(0)),
    };
    Document::Team(TeamDocument {
        name: name.into(),
        removed: block.removed,
        guarantee: block.guarantee.with_default(Amount(0)),
        limit: block.limit.with_default(Amount::UNLIMITED),
        shares: block.share.iter().map(|(region, block)| (region.clone(), share(block))).collect(),
    })
}

/// Returns a document in the form that `apply` reads, without author and reason.
pub(super) fn document_text(versioned: &VersionedDocument) -> String {
    let version = versioned.version;
    match &versioned.document {
        Document::Operator(operator_document) => format!(
            "operator {{\n  version = {version}\n  bin_width_s = {:?}\n  default_deadline_s = {:?}\n  idle_keep = {:?}\n  \
             headroom = {:?}\n}}\n",
            operator_document.bin_width_s,
            operator_document.default_deadline_s,
            operator_document.idle_keep,
            operator_document.headroom
        ),
        Document::Team(team) => {
            // Writing to a String cannot fail.
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

/// Returns the lines of a block of amounts; unlimited amounts are left out.
fn amounts_text(amounts: Amounts) -> String {
    let fields = [("cpus", amounts.cpus), ("gpus", amounts.gpus)];
    let limited_fields = fields.into_iter().filter(|(_, amount)| *amount < Amount::UNLIMITED);
    let lines: String =
        limited_fields.map(|(name, amount)| format!("\n    {name} = {:?}", amount.0 as f64 / AMOUNT_UNITS)).collect();
    if lines.is_empty() { lines } else { lines + "\n  " }
}
