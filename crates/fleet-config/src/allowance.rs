//! What each region may let a team use, while limits and their division change.

use crate::document::{Amount, Amounts, RegionName, TeamDocument};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The last version that each region has confirmed to obey.
pub type Confirmations = BTreeMap<RegionName, u64>;

/// What a region may let a team use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// The limit that the region obeys.
    pub limit: Amounts,
    /// False while a part of its share is still counted with a region that has not confirmed.
    pub complete: bool,
}

/// What a region had of a team's limit when the team's document last changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// What it might let the team use until it obeys the change.
    pub before: Amounts,
    /// The part of its new share that it had already.
    pub kept: Amounts,
}

/// What the regions had of a team's limit when its document last changed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamAllowance {
    /// The version of that change.
    pub changed_at: u64,
    /// By region.
    pub held: BTreeMap<RegionName, Held>,
}

/// What a region has of a team's limit now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct RegionAllowance {
    /// What it is counted with: at least what it may let the team use in any version that it
    /// may still obey.
    counted: Amounts,
    /// What it may let the team use once it obeys the last change.
    entitled: Amounts,
}

impl TeamAllowance {
    /// Version 0, in which all regions have their shares.
    pub fn initial(team: &TeamDocument) -> TeamAllowance {
        let held = |region: &RegionName| {
            let share = share_limit(team, region);
            (region.clone(), Held { before: share, kept: share })
        };
        TeamAllowance { changed_at: 0, held: team.shares.keys().map(held).collect() }
    }

    /// What the regions have as the document changes from `team` to `next` in a version.
    pub fn changed(
        &self,
        team: &TeamDocument,
        next: &TeamDocument,
        confirmations: &Confirmations,
        version: u64,
    ) -> TeamAllowance {
        let standings = self.standings(team, confirmations);
        let held = |(region, standing): (&RegionName, &RegionAllowance)| {
            let kept = standing.entitled.zip(share_limit(next, region), Amount::min);
            (region.clone(), Held { before: standing.counted, kept })
        };
        TeamAllowance { changed_at: version, held: standings.iter().map(held).collect() }
    }

    /// A region is counted with what it had before until it has confirmed the change. What that
    /// leaves of the limit is given to regions that lack a part of their shares, in the order of
    /// their names, and counted on top until they have confirmed. As confirmations only become
    /// later, what a region was given stays.
    fn standings(&self, team: &TeamDocument, confirmations: &Confirmations) -> BTreeMap<RegionName, RegionAllowance> {
        let mut standings: BTreeMap<RegionName, RegionAllowance> = BTreeMap::new();
        for region in team.shares.keys().chain(self.held.keys()) {
            let held = self.held.get(region).copied().unwrap_or_default();
            let confirmed = confirmations.get(region).is_some_and(|version| *version >= self.changed_at);
            let counted = if confirmed { held.kept } else { held.before };
            standings.insert(region.clone(), RegionAllowance { counted, entitled: held.kept });
        }
        let sum = Amounts::sum(standings.values().map(|standing| standing.counted));
        let mut free = team.limit.zip(sum, Amount::less);
        for (region, standing) in &mut standings {
            let missing = share_limit(team, region).zip(standing.entitled, Amount::less);
            let given = missing.zip(free, Amount::min);
            standing.counted = standing.counted.zip(given, Amount::plus);
            standing.entitled = standing.entitled.zip(given, Amount::plus);
            free = free.zip(given, Amount::less);
        }
        standings
    }

    /// What a region may let the team use.
    pub fn of(&self, team: &TeamDocument, confirmations: &Confirmations, region: &str) -> Allowance {
        let standing = self.standings(team, confirmations).get(region).copied().unwrap_or_default();
        let complete = share_limit(team, region).within(&standing.entitled);
        Allowance { limit: standing.entitled, complete }
    }

    /// Is the region counted with more than it may use, until it confirms the change?
    pub fn waits_for(&self, team: &TeamDocument, confirmations: &Confirmations, region: &str) -> bool {
        let standing = self.standings(team, confirmations).get(region).copied().unwrap_or_default();
        standing.counted != standing.entitled
    }
}

/// A region's part of the limit. Where the fleet has no limit the region has none.
fn share_limit(team: &TeamDocument, region: &str) -> Amounts {
    let share = team.shares.get(region).map(|share| share.limit).unwrap_or_default();
    let of = |fleet: Amount, share: Amount| if fleet == Amount::UNLIMITED { fleet } else { share };
    team.limit.zip(share, of)
}
