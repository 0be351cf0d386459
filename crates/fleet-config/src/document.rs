//! The documents: one for each team, and one for the operators' settings.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Name of a region.
pub type RegionName = String;

/// An amount in thousandths of a unit, so that sums are exact.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Amount(pub u64);

impl Amount {
    /// Value for an amount without limit; larger than any machine, team or fleet has.
    pub const UNLIMITED: Amount = Amount(1 << 50);

    /// Returns the sum; unlimited if either amount is.
    #[must_use]
    pub fn sum_with(self, other: Amount) -> Amount {
        Amount(self.0.saturating_add(other.0)).min(Amount::UNLIMITED)
    }

    /// Returns the difference, or 0 if `other` is larger. An unlimited amount stays unlimited.
    #[must_use]
    pub fn saturating_sub(self, other: Amount) -> Amount {
        if self == Amount::UNLIMITED { self } else { Amount(self.0.saturating_sub(other.0)) }
    }
}

/// Amounts of the two resources that limits and guarantees cover.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amounts {
    /// Number of CPU cores.
    pub cpus: Amount,
    /// Number of accelerators.
    pub gpus: Amount,
}

impl Amounts {
    /// Amounts without a limit on either resource.
    pub const UNLIMITED: Amounts = Amounts { cpus: Amount::UNLIMITED, gpus: Amount::UNLIMITED };

    /// Combines these amounts with `other`, resource by resource.
    #[must_use]
    pub fn zip_with(self, other: Amounts, combine: fn(Amount, Amount) -> Amount) -> Amounts {
        Amounts { cpus: combine(self.cpus, other.cpus), gpus: combine(self.gpus, other.gpus) }
    }

    /// Returns whether both amounts are at most those of `other`.
    pub fn is_within(&self, other: &Amounts) -> bool {
        self.cpus <= other.cpus && self.gpus <= other.gpus
    }

    /// Returns the sum of all `amounts`.
    pub fn sum(amounts: impl IntoIterator<Item = Amounts>) -> Amounts {
        amounts.into_iter().fold(Amounts::default(), |sum, next| sum.zip_with(next, Amount::sum_with))
    }
}

/// Part of a team's guarantee and limit that belongs to one region.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Amounts that the region guarantees the team.
    pub guarantee: Amounts,
    /// Largest amounts that the region lets the team use at a time.
    pub limit: Amounts,
}

/// Guarantee and limit of a team over the whole fleet, and their division among the regions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamDocument {
    /// Name of the team.
    pub name: String,
    /// Whether the team is removed: it accepts no new jobs.
    pub removed: bool,
    /// Amounts guaranteed over the whole fleet.
    pub guarantee: Amounts,
    /// Largest amounts in use at a time over the whole fleet.
    pub limit: Amounts,
    /// Shares by region; a region that is not listed has none.
    pub shares: BTreeMap<RegionName, Share>,
}

/// Values that operators set for the whole fleet; see the settings of the same names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OperatorDocument {
    /// Width of a bin of soft deadlines, in seconds.
    pub bin_width_s: f64,
    /// Soft deadline, in seconds, of a job that has neither `due_s` nor an objective.
    pub default_deadline_s: f64,
    /// Time for which an idle machine is kept, as a multiple of its boot time.
    pub idle_keep: f64,
    /// Factor of the spare capacity that is kept for jobs arriving while a machine boots.
    pub headroom: f64,
}

/// A document of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Document {
    /// Document of a team.
    Team(TeamDocument),
    /// Document of the operators' settings.
    Operator(OperatorDocument),
}

/// Name of a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DocumentName {
    /// The document of the team with this name.
    Team(String),
    /// The document of the operators' settings.
    Operator,
}

impl fmt::Display for DocumentName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DocumentName::Team(team) => write!(f, "team/{team}"),
            DocumentName::Operator => write!(f, "operator"),
        }
    }
}

/// An invalid field of a document, with the reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentError {
    /// Name of the field.
    pub field: String,
    /// Reason for which the value is not valid.
    pub reason: String,
}

impl Document {
    /// Returns the name of the document.
    pub fn name(&self) -> DocumentName {
        match self {
            Document::Team(team) => DocumentName::Team(team.name.clone()),
            Document::Operator(_) => DocumentName::Operator,
        }
    }

    /// Checks the constraints that the types do not express.
    ///
    /// # Errors
    ///
    /// Returns the first field that is not valid, with the reason.
    pub fn check(&self, regions: &[RegionName]) -> Result<(), DocumentError> {
        match self {
            Document::Team(team) => team.check(regions),
            Document::Operator(operator) => operator.check(),
        }
    }
}

/// Returns the error for an invalid field.
fn invalid_field(field: &str, reason: impl Into<String>) -> Result<(), DocumentError> {
    Err(DocumentError { field: field.into(), reason: reason.into() })
}

impl TeamDocument {
    fn check(&self, regions: &[RegionName]) -> Result<(), DocumentError> {
        if self.name.is_empty() {
            return invalid_field("name", "must not be empty");
        }
        if let Some(unknown) = self.shares.keys().find(|region| !regions.contains(region)) {
            return invalid_field("shares", format!("no region {unknown}"));
        }
        if !self.guarantee.is_within(&self.limit) {
            return invalid_field("guarantee", "above the limit");
        }
        let limits = Amounts::sum(self.shares.values().map(|share| share.limit));
        if !limits.is_within(&self.limit) {
            return invalid_field("shares", "the regions' limits add up to more than the team's");
        }
        let guarantees = Amounts::sum(self.shares.values().map(|share| share.guarantee));
        if !guarantees.is_within(&self.guarantee) {
            return invalid_field("shares", "the regions' guarantees add up to more than the team's");
        }
        match self.shares.iter().find(|(_, share)| !share.guarantee.is_within(&share.limit)) {
            Some((region, _)) => invalid_field("shares", format!("the guarantee of {region} is above its limit")),
            None => Ok(()),
        }
    }
}

impl OperatorDocument {
    fn check(&self) -> Result<(), DocumentError> {
        let above_zero = [("bin_width_s", self.bin_width_s), ("default_deadline_s", self.default_deadline_s)];
        for (field, value) in above_zero {
            if !value.is_finite() || value <= 0.0 {
                return invalid_field(field, "must be above 0");
            }
        }
        for (field, value) in [("idle_keep", self.idle_keep), ("headroom", self.headroom)] {
            if !value.is_finite() || value < 0.0 {
                return invalid_field(field, "must be 0 or more");
            }
        }
        Ok(())
    }
}
