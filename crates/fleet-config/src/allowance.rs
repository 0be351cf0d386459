//! The part of a team's limit that each region may use, also while the limit or its division changes.

use crate::document::{Amount, Amounts, RegionName, TeamDocument};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Last version that each region has confirmed to apply.
pub type Confirmations = BTreeMap<RegionName, u64>;

/// Amounts that a region may let a team use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// Largest amounts in use at a time.
    pub limit: Amounts,
    /// Whether the region has its whole share. `false` while a part of it is still reserved for a region
    /// that has not confirmed the change.
    pub complete: bool,
}

/// Allocation of a region when the team's document last changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousAllocation {
    /// Amounts that the region may let the team use until it has applied the change.
    #[serde(rename = "before")]
    pub until_confirmed: Amounts,
    /// Part of its new share that the region already had.
    #[serde(rename = "kept")]
    pub retained: Amounts,
}

/// Allocations of all regions when the team's document last changed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamAllowance {
    /// Version of the change.
    pub changed_at: u64,
    /// Allocations by region.
    #[serde(rename = "held")]
    pub previous: BTreeMap<RegionName, PreviousAllocation>,
}

/// Present allocation of a region.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct RegionAllocation {
    /// Amounts set aside for the region: at least those that it may let the team use in any version
    /// that its leader may still apply.
    reserved: Amounts,
    /// Amounts that the region may let the team use once it has applied the last change.
    usable: Amounts,
}

impl TeamAllowance {
    /// Creates the allowance of version 0, in which all regions have their shares.
    pub fn initial(team: &TeamDocument) -> TeamAllowance {
        let previous = |region: &RegionName| {
            let share = share_limit(team, region);
            (region.clone(), PreviousAllocation { until_confirmed: share, retained: share })
        };
        TeamAllowance { changed_at: 0, previous: team.shares.keys().map(previous).collect() }
    }

    /// Returns the allowance after the document changes from `team` to `next` in `version`.
    #[must_use]
    pub fn after_change(
        &self,
        team: &TeamDocument,
        next: &TeamDocument,
        confirmations: &Confirmations,
        version: u64,
    ) -> TeamAllowance {
        let allocations = self.allocations(team, confirmations);
        let previous = |(region, allocation): (&RegionName, &RegionAllocation)| {
            let retained = allocation.usable.zip_with(share_limit(next, region), Amount::min);
            (region.clone(), PreviousAllocation { until_confirmed: allocation.reserved, retained })
        };
        TeamAllowance { changed_at: version, previous: allocations.iter().map(previous).collect() }
    }

    /// Computes the allocations of all regions. Until a region has confirmed the change, its earlier
    /// allocation stays reserved. The rest of the limit is granted to regions that lack a part of their
    /// shares, in the order of their names. A grant to a region that has not confirmed is reserved in
    /// addition. Confirmed versions only increase, so a grant is never taken back.
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
        let mut free = team.limit.zip_with(sum, Amount::saturating_sub);
        for (region, allocation) in &mut allocations {
            let missing = share_limit(team, region).zip_with(allocation.usable, Amount::saturating_sub);
            let granted = missing.zip_with(free, Amount::min);
            allocation.reserved = allocation.reserved.zip_with(granted, Amount::sum_with);
            allocation.usable = allocation.usable.zip_with(granted, Amount::sum_with);
            free = free.zip_with(granted, Amount::saturating_sub);
        }
        allocations
    }

    /// Returns the amounts that a region may let the team use; 0 for a region without an allocation.
    pub fn for_region(&self, team: &TeamDocument, confirmations: &Confirmations, region: &str) -> Allowance {
        let allocation = self.allocations(team, confirmations).get(region).copied().unwrap_or_default();
        let complete = share_limit(team, region).is_within(&allocation.usable);
        Allowance { limit: allocation.usable, complete }
    }

    /// Returns whether more is reserved for the region than it may use, until it confirms the change.
    pub fn has_excess_reservation(&self, team: &TeamDocument, confirmations: &Confirmations, region: &str) -> bool {
        let allocation = self.allocations(team, confirmations).get(region).copied().unwrap_or_default();
        allocation.reserved != allocation.usable
    }
}

/// Returns a region's share of the limit; unlimited for a resource that the fleet does not limit.
fn share_limit(team: &TeamDocument, region: &str) -> Amounts {
    let share = team.shares.get(region).map(|share| share.limit).unwrap_or_default();
    let limit_or_share = |fleet: Amount, share: Amount| if fleet == Amount::UNLIMITED { fleet } else { share };
    team.limit.zip_with(share, limit_or_share)
}
