//! Cost of placing a task on a machine.

use super::SchedulingCycle;
use super::request::PlacementRequest;
use crate::model::{Demand, Host, HostIndex};

/// Cost of a start that misses its objective. It outweighs the other drawbacks of a machine.
pub(super) const LATE_START_COST: f64 = 3.0;
/// Cost of migrating a replica, relative to 1 for stopping a task.
pub(super) const MIGRATION_COST: f64 = 0.3;
/// Cost of using up one resource of a machine while none of another is used.
const STRANDED_COST: f64 = 4.0;
/// Cost of a spot machine for work that has no time to restart, and of an on-demand machine for work that
/// has.
const WRONG_MARKET_COST: f64 = 1.0;
/// Cost of each other replica of the same job on the machine.
const SHARED_HOST_COST: f64 = 2.0;
/// Reduction of the cost where capacity is reserved for the job.
const RESERVED_BONUS: f64 = 8.0;
/// Reduction of the cost for a fully used machine, compared with an empty one.
const IN_USE_BONUS: f64 = 0.5;

/// Returns the probability that a fetch takes longer than `left_s`. Its duration is assumed to be uniformly
/// distributed within one third around `fetch_s`.
pub(super) fn late_probability(fetch_s: f64, left_s: f64) -> f64 {
    if fetch_s <= 0.0 {
        return 0.0;
    }
    ((fetch_s * 4.0 / 3.0 - left_s) / (fetch_s * 2.0 / 3.0)).clamp(0.0, 1.0)
}

/// Returns the difference between the largest and the smallest free share of the resources in `cap`.
fn imbalance(free: &Demand, cap: &Demand) -> f64 {
    let (smallest, largest) =
        free.shares(cap).fold((1.0f64, 0.0f64), |(smallest, largest), share| (smallest.min(share), largest.max(share)));
    largest - smallest
}

impl SchedulingCycle<'_> {
    /// Returns the seconds until the job's image is ready on the machine; infinity if the machine is
    /// unknown.
    pub(super) fn fetch_s(&self, request: &PlacementRequest, host_index: HostIndex) -> f64 {
        let rate = self.cluster.instance_types[self.index.hosts[host_index].instance_type].fetch_gb_per_s;
        let fetch_s = |host: &Host| host.fetch_s(&request.image, request.image_gb, rate);
        self.cluster.host(host_index).map_or(f64::INFINITY, fetch_s)
    }

    /// Returns the cost of placing a task of the job on the machine; infinity if the machine is unknown.
    pub(super) fn cost(&self, request: &PlacementRequest, host_index: HostIndex) -> f64 {
        let Some(host) = self.cluster.host(host_index) else { return f64::INFINITY };
        let host_info = &self.index.hosts[host_index];
        let cap = &self.cluster.instance_types[host_info.instance_type].cap;
        let before = host_info.free;
        let mut after = before;
        after.sub(&request.requirements.demand);
        let mut cost = self.delay_cost(request, host_index);
        // A resource is stranded if another one is used up first.
        cost += STRANDED_COST * (imbalance(&after, cap) - imbalance(&before, cap));
        // Capacity of a type that other classes depend on costs little while plentiful, and much once the
        // expected demand needs the rest.
        let taken = request
            .reserve_penalties
            .iter()
            .filter(|penalty| penalty.expected_demand.loses(host_info.instance_type, &before, &after));
        cost += taken.map(|penalty| penalty.cost).fold(0.0, f64::max);
        cost += self.market_cost(request, host);
        cost += self.sharing_cost(request, host_index);
        if request.has_reservation && host.reservations.iter().any(|reservation| reservation.job == request.job_index) {
            cost -= RESERVED_BONUS;
        }
        // Fuller machines are preferred, so that others become empty and can be returned to the cloud.
        let used = 1.0 - before.shares(cap).fold(1.0f64, f64::min);
        cost - IN_USE_BONUS * used
    }

    /// Returns the cost of the delay caused by fetching the image.
    fn delay_cost(&self, request: &PlacementRequest, host_index: HostIndex) -> f64 {
        let fetch_s = self.fetch_s(request, host_index);
        let left_s = request.objective_left_s.unwrap_or(request.slack_s.max(0.0));
        let mut cost = fetch_s / request.start_within_s;
        cost += LATE_START_COST * late_probability(fetch_s, left_s);
        cost + request.guarantee_left_s.map_or(0.0, |left_s| LATE_START_COST * late_probability(fetch_s, left_s))
    }

    /// Returns the cost of a mismatch of the market. Spot machines are meant for work that can be lost once
    /// and still meet its deadline.
    fn market_cost(&self, request: &PlacementRequest, host: &Host) -> f64 {
        if request.requirements.spot && host.spot == request.no_time_to_restart { WRONG_MARKET_COST } else { 0.0 }
    }

    /// Returns the cost of sharing the machine with other replicas of the job.
    fn sharing_cost(&self, request: &PlacementRequest, host_index: HostIndex) -> f64 {
        if !request.is_service {
            return 0.0;
        }
        SHARED_HOST_COST * self.index.hosts_of(request.job_index).filter(|other| *other == host_index).count() as f64
    }

    /// Returns the maximum cost of a preemption that makes a replica's image available sooner than on this
    /// machine. It grows with the probability of a late start here and with the number of accelerators.
    /// `None` if the gain is too small to justify any preemption.
    pub(super) fn earlier_image_gain(&self, request: &PlacementRequest, host_index: HostIndex) -> Option<f64> {
        let fetch_s = self.fetch_s(request, host_index);
        let late = |left_s: Option<f64>| left_s.map_or(0.0, |left_s| late_probability(fetch_s, left_s));
        let gain =
            LATE_START_COST * late(request.objective_left_s) + LATE_START_COST / 2.0 * late(request.guarantee_left_s);
        (request.is_service && gain >= MIGRATION_COST)
            .then(|| gain.min(LATE_START_COST / 2.0) * request.requirements.demand.gpus.max(1.0))
    }
}
