//! What each region may let a team use, while limits and their division change.

use crate::document::{Amount, Amounts, RegionName, TeamDocument};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The last version that each region has confirmed to apply.
pub type Confirmations = BTreeMap<RegionName, u64>;

/// What a region may let a team use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// The limit that the region has applied.
    pub limit: Amounts,
    /// False while a part of its share is still counted with a region that has not confirmed.
    pub complete: bool,
}

/// What a region had of a team's limit when the team's document last changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousAllocation {
    /// What it might let the team use until it has applied the change.
    #[serde(rename = "before")]
    pub until_confirmed: Amounts,
    /// The part of its new share that it had already.
    #[serde(rename = "kept")]
    pub retained: Amounts,
}

/// What the regions had of a team's limit when its document last changed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamAllowance {
    /// The version of that change.
    pub changed_at: u64,
    /// By region.
    #[serde(rename = "held")]
    pub previous: BTreeMap<RegionName, PreviousAllocation>,
}

/// What a region has of a team's limit now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct RegionAllocation {
    /// What it is counted with: at least what it may let the team use in any version that it
    /// may still apply.
    reserved: Amounts,
    /// What it may let the team use once it has applied the last change.
    usable: Amounts,
}

impl TeamAllowance {
    /// Version 0, in which all regions have their shares.
    pub fn initial(team: &TeamDocument) -> TeamAllowance {
        let previous = |region: &RegionName| {
            let share = share_limit(team, region);
            (region.clone(), PreviousAllocation { until_confirmed: share, retained: share })
        };
        TeamAllowance { changed_at: 0, previous: team.shares.keys().map(previous).collect() }
    }

    /// What the regions have as the document changes from `team` to `next` in a version.
    #[must_use]
    pub fn changed(
        &self,
        team: &TeamDocument,
        next: &TeamDocument,
        confirmations: &Confirmations,
        version: u64,
    ) -> TeamAllowance {
        let allocations = self.allocations(team, confirmations);
        let previous = |(region, allocation): (&RegionName, &RegionAllocation)| {
            let retained = allocation.usable.zip(share_limit(next, region), Amount::min);
            (region.clone(), PreviousAllocation { until_confirmed: allocation.reserved, retained })
        };
        TeamAllowance { changed_at: version, previous: allocations.iter().map(previous).collect() }
    }

    /// A region is counted with what it had before until it has confirmed the change. What that
    /// leaves of the limit is given to regions that lack a part of their shares, in the order of
    /// their names, and counted on top until they have confirmed. As confirmations only become
    /// later, what a region was given stays.
    fn allocations(
        &self,
        team: &TeamDocument,
        confirmations: &Confirmations,
    ) -> BTreeMap<RegionName, RegionAllocation> {
        let mut allocations: BTreeMap<RegionName, RegionAllocation> = BTreeMap::new();
        for region in team.shares.keys().chain(self.previous.keys()) {
            let previous = self.previous.get(region).copied().unwrap_or_default();
            let confirmed = confirmations.get(region).is_some_and(|version| *version >= self.changed_at);
            let reserved = if confirmed { previous.retained } else { previous.until_confirmed };
            allocations.insert(region.clone(), RegionAllocation { reserved, usable: previous.retained });
        }
        let sum = Amounts::sum(allocations.values().map(|allocation| allocation.reserved));
        let mut free = team.limit.zip(sum, Amount::less);
        for (region, allocation) in &mut allocations {
            let missing = share_limit(team, region).zip(allocation.usable, Amount::less);
            let given = missing.zip(free, Amount::min);
            allocation.reserved = allocation.reserved.zip(given, Amount::plus);
            allocation.usable = allocation.usable.zip(given, Amount::plus);
            free = free.zip(given, Amount::less);
        }
        allocations
    }

    /// What a region may let the team use.
    pub fn of(&self, team: &TeamDocument, confirmations: &Confirmations, region: &str) -> Allowance {
        let allocation = self.allocations(team, confirmations).get(region).copied().unwrap_or_default();
        let complete = share_limit(team, region).within(&allocation.usable);
        Allowance { limit: allocation.usable, complete }
    }

    /// Is the region counted with more than it may use, until it confirms the change?
    pub fn waits_for(&self, team: &TeamDocument, confirmations: &Confirmations, region: &str) -> bool {
        let allocation = self.allocations(team, confirmations).get(region).copied().unwrap_or_default();
        allocation.reserved != allocation.usable
    }
}

/// A region's part of the limit. Where the fleet has no limit the region has none.
fn share_limit(team: &TeamDocument, region: &str) -> Amounts {
    let share = team.shares.get(region).map(|share| share.limit).unwrap_or_default();
    let of = |fleet: Amount, share: Amount| if fleet == Amount::UNLIMITED { fleet } else { share };
    team.limit.zip(share, of)
}
