//! The cost of placing a task on a machine.

use super::SchedulingCycle;
use super::request::PlacementRequest;
use crate::model::{Demand, Host, HostIndex};

/// The cost of a start that comes too late, next to which a machine's other drawbacks are small.
pub(super) const LATE_START_COST: f64 = 3.0;
/// The cost of a replica that migrates, next to 1 for a task that is stopped.
pub(super) const MIGRATION_COST: f64 = 0.3;
/// The cost of leaving all of one resource without any of another.
const STRANDED_COST: f64 = 4.0;
/// The cost of a spot machine for work that has no time to begin anew, or of another for work that has.
const WRONG_MARKET_COST: f64 = 1.0;
/// The cost of each other replica of the job on the machine.
const SHARED_HOST_COST: f64 = 2.0;
/// What is taken off the cost where capacity is reserved for the job.
const RESERVED_BONUS: f64 = 8.0;
/// What is taken off the cost of a machine in full use, next to an empty one.
const IN_USE_BONUS: f64 = 0.5;

/// How likely a fetch takes longer than `left_s`; it may take a third more or less than `fetch_s`.
pub(super) fn late_probability(fetch_s: f64, left_s: f64) -> f64 {
    if fetch_s <= 0.0 {
        return 0.0;
    }
    ((fetch_s * 4.0 / 3.0 - left_s) / (fetch_s * 2.0 / 3.0)).clamp(0.0, 1.0)
}

/// How unevenly the resources of `cap` are left in `free`.
fn imbalance(free: &Demand, cap: &Demand) -> f64 {
    let (least, most) =
        free.shares(cap).fold((1.0f64, 0.0f64), |(least, most), share| (least.min(share), most.max(share)));
    most - least
}

impl SchedulingCycle<'_> {
    /// Seconds until the job's image would be on the machine.
    pub(super) fn fetch_s(&self, request: &PlacementRequest, host_index: HostIndex) -> f64 {
        let rate = self.cluster.instance_types[self.index.hosts[host_index].instance_type].fetch_gb_per_s;
        let fetch_s = |host: &Host| host.fetch_s(&request.image, request.image_gb, rate);
        self.cluster.host(host_index).map_or(f64::INFINITY, fetch_s)
    }

    /// What it costs to place a task of the job on the machine.
    pub(super) fn cost(&self, request: &PlacementRequest, host_index: HostIndex) -> f64 {
        let Some(host) = self.cluster.host(host_index) else { return f64::INFINITY };
        let host_info = &self.index.hosts[host_index];
        let cap = &self.cluster.instance_types[host_info.instance_type].cap;
        let before = host_info.free;
        let mut after = before;
        after.sub(&request.requirements.demand);
        let mut cost = self.delay_cost(request, host_index);
        // One resource that is stranded by lack of another.
        cost += STRANDED_COST * (imbalance(&after, cap) - imbalance(&before, cap));
        // Capacity that other work has on this type alone costs little while there is plenty, much
        // when what is expected needs the rest.
        let taken = request
            .reserve_penalties
            .iter()
            .filter(|penalty| penalty.reserve.loses(host_info.instance_type, &before, &after));
        cost += taken.map(|penalty| penalty.cost).fold(0.0, f64::max);
        cost += self.market_cost(request, host);
        cost += self.sharing_cost(request, host_index);
        if request.has_reservation && host.reservations.iter().any(|reservation| reservation.job == request.job_index) {
            cost -= RESERVED_BONUS;
        }
        // Fuller machines first, so that others can be returned.
        let used = 1.0 - before.shares(cap).fold(1.0f64, f64::min);
        cost - IN_USE_BONUS * used
    }

    /// What it costs that the image must be fetched first.
    fn delay_cost(&self, request: &PlacementRequest, host_index: HostIndex) -> f64 {
        let fetch_s = self.fetch_s(request, host_index);
        let left_s = request.objective_left_s.unwrap_or(request.slack_s.max(0.0));
        let mut cost = fetch_s / request.within_s;
        cost += LATE_START_COST * late_probability(fetch_s, left_s);
        cost + request.guarantee_left_s.map_or(0.0, |left_s| LATE_START_COST * late_probability(fetch_s, left_s))
    }

    /// What it costs that the machine is of the wrong market: spot machines are for work that can be
    /// lost once and still be in time.
    fn market_cost(&self, request: &PlacementRequest, host: &Host) -> f64 {
        if request.requirements.spot && host.spot == request.no_time_to_restart { WRONG_MARKET_COST } else { 0.0 }
    }

    /// What it costs that other replicas of the job are on the machine.
    fn sharing_cost(&self, request: &PlacementRequest, host_index: HostIndex) -> f64 {
        if !request.is_service {
            return 0.0;
        }
        SHARED_HOST_COST * self.index.hosts_of(request.job_index).filter(|other| *other == host_index).count() as f64
    }

    /// The most that a preemption may cost to have a replica's image sooner than on this machine: more,
    /// the likelier it is too late here, and for larger replicas; `None` if it may cost nothing.
    pub(super) fn earlier_image_gain(&self, request: &PlacementRequest, host_index: HostIndex) -> Option<f64> {
        let fetch_s = self.fetch_s(request, host_index);
        let late = |left_s: Option<f64>| left_s.map_or(0.0, |left_s| late_probability(fetch_s, left_s));
        let gain =
            LATE_START_COST * late(request.objective_left_s) + LATE_START_COST / 2.0 * late(request.guarantee_left_s);
        (request.is_service && gain >= MIGRATION_COST)
            .then(|| gain.min(LATE_START_COST / 2.0) * request.requirements.demand.gpus.max(1.0))
    }
}
