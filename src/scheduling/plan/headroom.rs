//! Room that is kept for arrivals during a boot.

use super::ClassFlow;
use crate::model::{ClusterState, Reserve};
use crate::scheduling::Policy;

/// The reserves that follow from the arrivals seen.
pub fn reserves(cluster: &ClusterState, policy: &Policy, flows: &[ClassFlow]) -> Vec<Reserve> {
    let reserve = |f: &ClassFlow| Reserve {
        class: f.spec.class.clone(),
        instance_types: cluster.instance_types.iter().map(|l| f.spec.allows_instance_type(l)).collect(),
        demand: f.spec.demand,
        tasks: headroom(cluster, policy, f) as f64,
    };
    flows.iter().map(reserve).collect()
}

/// Tasks of a class for which room is kept: arrivals and departures during a
/// boot both vary; as much as the class's objective asks for.
pub(super) fn headroom(cluster: &ClusterState, policy: &Policy, flow: &ClassFlow) -> usize {
    let allowed = cluster.instance_types.iter().filter(|f| flow.spec.allows_instance_type(f));
    let boot_s = allowed.map(|f| f.boot_s).reduce(f64::min).unwrap_or(0.0);
    let share = policy.waits.get(&flow.spec.class).map_or(0.9, |w| w.1);
    // Work that may wait needs room ahead only as far as a boot is longer.
    let patience_s = flow.spec.due_s.map_or(0.0, |d| d - flow.spec.expected_s);
    let mean = flow.rate * (boot_s - patience_s).max(0.0);
    let spread = (2.0 * mean * flow.burst).sqrt();
    (policy.headroom * z_score(share) * spread).ceil() as usize
}

/// Standard deviations that leave `1 - share` above them (a plain fit of the
/// normal quantile, good to 0.005 for shares from 0.5 to 0.999).
fn z_score(share: f64) -> f64 {
    let t = (-2.0 * (1.0 - share.clamp(0.5, 0.999)).ln()).sqrt();
    t - (2.30753 + 0.27061 * t) / (1.0 + 0.99229 * t + 0.04481 * t * t)
}
