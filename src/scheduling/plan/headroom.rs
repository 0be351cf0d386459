//! Headroom: capacity that is kept free for arrivals while a machine boots.

use super::ClassArrivals;
use crate::model::{ClusterState, ExpectedDemand};
use crate::scheduling::Policy;

/// Share of starts that must be met for a class without a start objective.
const DEFAULT_SHARE: f64 = 0.9;

/// Returns the expected demands, one per class, that follow from the observed arrivals.
pub fn expected_demands(cluster: &ClusterState, policy: &Policy, arrivals: &[ClassArrivals]) -> Vec<ExpectedDemand> {
    let expected_demand = |class_arrivals: &ClassArrivals| ExpectedDemand {
        class: class_arrivals.spec.class.clone(),
        instance_types: cluster
            .instance_types
            .iter()
            .map(|kind| class_arrivals.spec.allows_instance_type(kind))
            .collect(),
        demand: class_arrivals.spec.demand,
        tasks: headroom_tasks(cluster, policy, class_arrivals) as f64,
    };
    arrivals.iter().map(expected_demand).collect()
}

/// Returns the number of tasks of a class for which capacity is kept free. It covers the variation of both
/// arrivals and departures during a boot, as far as the start objective of the class requires.
pub(super) fn headroom_tasks(cluster: &ClusterState, policy: &Policy, class_arrivals: &ClassArrivals) -> usize {
    let allowed = cluster.instance_types.iter().filter(|kind| class_arrivals.spec.allows_instance_type(kind));
    let boot_s = allowed.map(|instance_type| instance_type.boot_s).reduce(f64::min).unwrap_or(0.0);
    let share =
        policy.start_objectives.get(&class_arrivals.spec.class).map_or(DEFAULT_SHARE, |objective| objective.share);
    // Jobs that can wait need capacity in advance only if a boot takes longer than their slack.
    let slack_s = class_arrivals.spec.due_s.map_or(0.0, |due_s| due_s - class_arrivals.spec.expected_s);
    let mean_tasks = class_arrivals.rate * (boot_s - slack_s).max(0.0);
    let deviation = (2.0 * mean_tasks * class_arrivals.mean_burst).sqrt();
    (policy.headroom * z_score(share) * deviation).ceil() as usize
}

/// Returns the quantile of the standard normal distribution at `share`, by a rational approximation with an
/// error below 0.005. Shares are clamped to the range from 0.5 to 0.999.
fn z_score(share: f64) -> f64 {
    let t = (-2.0 * (1.0 - share.clamp(0.5, 0.999)).ln()).sqrt();
    t - (2.30753 + 0.27061 * t) / (1.0 + 0.99229 * t + 0.04481 * t * t)
}
