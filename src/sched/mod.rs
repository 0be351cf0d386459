//! Decisions: bins, the pass over them, placement, gangs, preemption and the
//! rental plan. Pure and synchronous: no I/O, no clock.

mod index;
mod pass;
mod plan;
mod policy;
#[cfg(test)]
mod tests;

pub use index::Index;
pub use pass::{Assignment, Eviction, Outcome, pass};
pub use plan::{ClassFlow, Drain, ExpectedWork, PendingMachine, Plan, Rental, Supply, SupplyOf, plan, reserves};
pub use policy::{Policy, TeamRule};

use crate::model::{Flavor, Host, Shape, Spec};

/// Why a submission can never run, if so.
pub fn impossible(spec: &Spec, policy: &Policy, flavors: &[Flavor]) -> Option<String> {
    let Some(team) = policy.teams.get(&spec.team) else {
        return Some(format!("owner: no team {}", spec.team));
    };
    let fits = flavors.iter().any(|f| spec.allows_flavor(f) && f.zones.iter().any(|z| spec.allows_zone(z)));
    if !fits {
        return Some("a task fits no allowed machine type".into());
    }
    let together = if spec.shape == Shape::Batch { 1.0 } else { f64::from(spec.tasks) };
    if !spec.demand.times(together).fits(&team.limit) {
        return Some(format!("the job needs more than the limit of {}", spec.team));
    }
    None
}

/// Is it a new machine that has reported, and may be used once it is registered and has
/// confirmed the owner's token? It is room that needs not be rented again.
pub fn joining(h: &Host) -> bool {
    !h.registered
        && h.addr.is_some()
        && !h.notice
        && !h.releasing
        && h.transferring_to.is_none()
        && h.missed < crate::partition::UNREACHABLE_AFTER_MISSES
}

/// May tasks be placed on the machine now?
pub fn usable(h: &Host, now: u64) -> bool {
    h.registered
        && !h.has_unknown_tasks
        && !h.notice
        && !h.releasing
        && !h.draining
        && h.transferring_to.is_none()
        && h.token_confirmed()
        && h.blocked_until_ms <= now
        && !h.faulty()
        && h.addr.is_some()
        && h.missed < crate::partition::UNREACHABLE_AFTER_MISSES
}
