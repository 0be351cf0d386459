//! Headroom: capacity that is kept for arrivals during a boot.

use super::ClassFlow;
use crate::model::{ClusterState, Reserve};
use crate::scheduling::Policy;

/// The share of starts that must meet a class's objective, for a class without one.
const DEFAULT_SHARE: f64 = 0.9;

/// The reserves that follow from the arrivals seen.
pub fn reserves(cluster: &ClusterState, policy: &Policy, flows: &[ClassFlow]) -> Vec<Reserve> {
    let reserve = |flow: &ClassFlow| Reserve {
        class: flow.spec.class.clone(),
        instance_types: cluster.instance_types.iter().map(|one| flow.spec.allows_instance_type(one)).collect(),
        demand: flow.spec.demand,
        tasks: headroom_tasks(cluster, policy, flow) as f64,
    };
    flows.iter().map(reserve).collect()
}

/// Tasks of a class for which capacity is kept: arrivals and departures during a boot both vary; as
/// much as the class's objective asks for.
pub(super) fn headroom_tasks(cluster: &ClusterState, policy: &Policy, flow: &ClassFlow) -> usize {
    let allowed = cluster.instance_types.iter().filter(|one| flow.spec.allows_instance_type(one));
    let boot_s = allowed.map(|instance_type| instance_type.boot_s).reduce(f64::min).unwrap_or(0.0);
    let share = policy.start_objectives.get(&flow.spec.class).map_or(DEFAULT_SHARE, |objective| objective.share);
    // Work that may wait needs capacity ahead only as far as a boot is longer.
    let slack_s = flow.spec.due_s.map_or(0.0, |due_s| due_s - flow.spec.expected_s);
    let mean = flow.rate * (boot_s - slack_s).max(0.0);
    let spread = (2.0 * mean * flow.burst).sqrt();
    (policy.headroom * z_score(share) * spread).ceil() as usize
}

/// Standard deviations that leave `1 - share` above them (a plain fit of the normal quantile, good to
/// 0.005 for shares from 0.5 to 0.999).
fn z_score(share: f64) -> f64 {
    let t = (-2.0 * (1.0 - share.clamp(0.5, 0.999)).ln()).sqrt();
    t - (2.30753 + 0.27061 * t) / (1.0 + 0.99229 * t + 0.04481 * t * t)
}
