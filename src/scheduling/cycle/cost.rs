//! What it costs to place a task on a machine.

use super::SchedulingCycle;
use super::request::PlacementRequest;
use crate::model::{Demand, Host, HostIndex};

/// The cost of a start that comes too late, next to which a machine's other
/// drawbacks are small.
pub(super) const LATE_START_COST: f64 = 3.0;
/// The cost of a replica that moves, next to 1 for a task that is stopped.
pub(super) const MIGRATION_COST: f64 = 0.3;
/// The cost of leaving all of one resource without any of another.
const STRANDED_COST: f64 = 4.0;
/// The cost of a spot machine for work that can't be lost once more, or of another for
/// work that can.
const WRONG_MARKET_COST: f64 = 1.0;
/// The cost of each other replica of the job on the machine.
const SHARED_HOST_COST: f64 = 2.0;
/// What room is worth that is held for the job.
const RESERVED_BONUS: f64 = 8.0;
/// What a machine is worth that is in full use, next to an empty one.
const IN_USE_BONUS: f64 = 0.5;

/// How likely a fetch takes longer than `left_s`; it may take a third more or less.
pub(super) fn late_probability(fetch_s: f64, left_s: f64) -> f64 {
    if fetch_s <= 0.0 {
        return 0.0;
    }
    ((fetch_s * 4.0 / 3.0 - left_s) / (fetch_s * 2.0 / 3.0)).clamp(0.0, 1.0)
}

/// How unevenly the resources of `cap` are left in `free`.
fn imbalance(free: &Demand, cap: &Demand) -> f64 {
    let (lo, hi) = free.shares(cap).fold((1.0f64, 0.0f64), |(l, h), s| (l.min(s), h.max(s)));
    hi - lo
}

impl SchedulingCycle<'_> {
    /// Seconds until the job's image would be on the machine.
    pub(super) fn fetch_s(&self, request: &PlacementRequest, host_index: HostIndex) -> f64 {
        let rate = self.cluster.instance_types[self.index.hosts[host_index].instance_type].fetch_gb_per_s;
        self.cluster.host(host_index).map_or(f64::INFINITY, |h| h.fetch_s(&request.image, request.image_gb, rate))
    }

    /// What it costs to place a task of the job on the machine.
    pub(super) fn cost(&self, request: &PlacementRequest, host_index: HostIndex) -> f64 {
        let Some(h) = self.cluster.host(host_index) else { return f64::INFINITY };
        let slot = &self.index.hosts[host_index];
        let cap = &self.cluster.instance_types[slot.instance_type].cap;
        let before = slot.free;
        let mut after = before;
        after.sub(&request.requirements.demand);
        let mut cost = self.delay_cost(request, host_index);
        // Room of one resource that is stranded by lack of another.
        cost += STRANDED_COST * (imbalance(&after, cap) - imbalance(&before, cap));
        // Room that other work can find on this type alone costs little while
        // there is plenty, much when what is expected needs the rest.
        let lost = request.reserve_penalties.iter().filter(|t| t.reserve.loses(slot.instance_type, &before, &after));
        cost += lost.map(|t| t.cost).fold(0.0, f64::max);
        cost += self.market_cost(request, h);
        cost += self.sharing_cost(request, host_index);
        // Room that is held for this very job.
        if request.has_reservation && h.reservations.iter().any(|c| c.job == request.job_index) {
            cost -= RESERVED_BONUS;
        }
        // Fuller machines first, so that others can be returned.
        let used = 1.0 - before.shares(cap).fold(1.0f64, f64::min);
        cost - IN_USE_BONUS * used
    }

    /// What it costs that the image must be fetched first.
    fn delay_cost(&self, request: &PlacementRequest, host_index: HostIndex) -> f64 {
        let fetch = self.fetch_s(request, host_index);
        let mut cost = fetch / request.within_s;
        cost += LATE_START_COST * late_probability(fetch, request.objective_left_s.unwrap_or(request.slack_s.max(0.0)));
        cost + request.guarantee_left_s.map_or(0.0, |left| LATE_START_COST * late_probability(fetch, left))
    }

    /// What it costs that the machine is of the wrong market: cheap ones are for work that
    /// can be lost once and still be in time.
    fn market_cost(&self, request: &PlacementRequest, h: &Host) -> f64 {
        if request.requirements.spot && h.spot == request.no_time_to_restart { WRONG_MARKET_COST } else { 0.0 }
    }

    /// What it costs that other replicas of the job are on the machine.
    fn sharing_cost(&self, request: &PlacementRequest, host_index: HostIndex) -> f64 {
        if !request.is_service {
            return 0.0;
        }
        SHARED_HOST_COST * self.index.hosts_of(request.job_index).filter(|o| *o == host_index).count() as f64
    }

    /// What may be lost to have a replica's image sooner than on this machine:
    /// more, the likelier it is too late here, and for larger replicas.
    pub(super) fn earlier_image_gain(&self, request: &PlacementRequest, host_index: HostIndex) -> Option<f64> {
        let fetch = self.fetch_s(request, host_index);
        let by = |left: Option<f64>| left.map_or(0.0, |left| late_probability(fetch, left));
        let gain =
            LATE_START_COST * by(request.objective_left_s) + LATE_START_COST / 2.0 * by(request.guarantee_left_s);
        (request.is_service && gain >= MIGRATION_COST)
            .then(|| gain.min(LATE_START_COST / 2.0) * request.requirements.demand.gpus.max(1.0))
    }
}
