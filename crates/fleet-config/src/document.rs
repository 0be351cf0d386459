//! The documents: one for each team, and one for the operators' figures.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Name of a region.
pub type RegionName = String;

/// An amount in thousandths, so that sums are exact.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Amount(pub u64);

impl Amount {
    /// More than any machine, team or fleet has.
    pub const UNLIMITED: Amount = Amount(1 << 50);

    /// The sum; what is unlimited stays so.
    #[must_use]
    pub fn plus(self, other: Amount) -> Amount {
        Amount(self.0.saturating_add(other.0)).min(Amount::UNLIMITED)
    }

    /// The difference, or nothing if `other` is larger.
    #[must_use]
    pub fn less(self, other: Amount) -> Amount {
        if self == Amount::UNLIMITED { self } else { Amount(self.0.saturating_sub(other.0)) }
    }
}

/// Amounts of both resources that limits and guarantees are about.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amounts {
    /// CPU cores.
    pub cpus: Amount,
    /// Accelerators.
    pub gpus: Amount,
}

impl Amounts {
    /// No limit on either resource.
    pub const UNLIMITED: Amounts = Amounts { cpus: Amount::UNLIMITED, gpus: Amount::UNLIMITED };

    /// Combines two amounts, resource by resource.
    #[must_use]
    pub fn zip(self, other: Amounts, combine: fn(Amount, Amount) -> Amount) -> Amounts {
        Amounts { cpus: combine(self.cpus, other.cpus), gpus: combine(self.gpus, other.gpus) }
    }

    /// Are both amounts at most those of `other`?
    pub fn within(&self, other: &Amounts) -> bool {
        self.cpus <= other.cpus && self.gpus <= other.gpus
    }

    /// The sum of several amounts.
    pub fn sum(amounts: impl IntoIterator<Item = Amounts>) -> Amounts {
        amounts.into_iter().fold(Amounts::default(), |sum, next| sum.zip(next, Amount::plus))
    }
}

/// A region's part of a team's guarantee and limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// What the region guarantees the team.
    pub guarantee: Amounts,
    /// What the region lets the team use at most.
    pub limit: Amounts,
}

/// What a team is guaranteed and may use over the whole fleet, and how regions divide that.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamDocument {
    /// Name of the team.
    pub name: String,
    /// The team takes no new jobs any more.
    pub removed: bool,
    /// Guaranteed amounts over the whole fleet.
    pub guarantee: Amounts,
    /// Largest amounts in use at a time over the whole fleet.
    pub limit: Amounts,
    /// The regions' parts; a region that is not named has none.
    pub shares: BTreeMap<RegionName, Share>,
}

/// The operators' figures; see the settings of the same names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OperatorDocument {
    /// Width of a bin of soft deadlines, in seconds.
    pub bin_width_s: f64,
    /// Soft deadline of a job that has neither `due_s` nor an objective.
    pub default_deadline_s: f64,
    /// Idle machines are kept for this many of their boot times.
    pub idle_keep: f64,
    /// Scales the spare room kept for arrivals during a boot.
    pub headroom: f64,
}

/// A document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Document {
    /// A team's.
    Team(TeamDocument),
    /// The operators' figures.
    Operator(OperatorDocument),
}

/// What a document is known by.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DocumentName {
    /// The document of the team of that name.
    Team(String),
    /// The operators' figures.
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

/// Why a document is not sound.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentError {
    /// The field at fault.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl Document {
    /// What the document is known by.
    pub fn name(&self) -> DocumentName {
        match self {
            Document::Team(team) => DocumentName::Team(team.name.clone()),
            Document::Operator(_) => DocumentName::Operator,
        }
    }

    /// Checks what the types cannot say.
    ///
    /// # Errors
    ///
    /// The first field that is not valid, with the reason.
    pub fn check(&self, regions: &[RegionName]) -> Result<(), DocumentError> {
        match self {
            Document::Team(team) => team.check(regions),
            Document::Operator(figures) => figures.check(),
        }
    }
}

fn error(field: &str, reason: impl Into<String>) -> Result<(), DocumentError> {
    Err(DocumentError { field: field.into(), reason: reason.into() })
}

impl TeamDocument {
    fn check(&self, regions: &[RegionName]) -> Result<(), DocumentError> {
        if self.name.is_empty() {
            return error("name", "must not be empty");
        }
        if let Some(unknown) = self.shares.keys().find(|region| !regions.contains(region)) {
            return error("shares", format!("no region {unknown}"));
        }
        if !self.guarantee.within(&self.limit) {
            return error("guarantee", "above the limit");
        }
        let limits = Amounts::sum(self.shares.values().map(|share| share.limit));
        if !limits.within(&self.limit) {
            return error("shares", "the regions' limits add up to more than the team's");
        }
        let guarantees = Amounts::sum(self.shares.values().map(|share| share.guarantee));
        if !guarantees.within(&self.guarantee) {
            return error("shares", "the regions' guarantees add up to more than the team's");
        }
        match self.shares.iter().find(|(_, share)| !share.guarantee.within(&share.limit)) {
            Some((region, _)) => error("shares", format!("the guarantee of {region} is above its limit")),
            None => Ok(()),
        }
    }
}

impl OperatorDocument {
    fn check(&self) -> Result<(), DocumentError> {
        let above_zero = [("bin_width_s", self.bin_width_s), ("default_deadline_s", self.default_deadline_s)];
        for (field, value) in above_zero {
            if !value.is_finite() || value <= 0.0 {
                return error(field, "must be above 0");
            }
        }
        for (field, value) in [("idle_keep", self.idle_keep), ("headroom", self.headroom)] {
            if !value.is_finite() || value < 0.0 {
                return error(field, "must be 0 or more");
            }
        }
        Ok(())
    }
}
