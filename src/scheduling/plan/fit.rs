//! Fits tasks into room that is there or on its way, and finds what to rent for the rest.

use super::{Bin, Supply, SupplyOf};
use crate::model::{ClusterState, Demand, HostIndex, Spec};
use crate::scheduling::index::{Index, ZoneCounts};
use std::collections::HashSet;

/// Fits `n` tasks like `spec` into the bins; opens new ones where needed.
pub(super) fn fit(
    cluster: &ClusterState,
    index: &Index,
    bins: &mut Vec<Bin>,
    spec: &Spec,
    n: usize,
    avoided_hosts: &HashSet<HostIndex>,
    supply: &SupplyOf,
) {
    let requirements = index.requirements(cluster, spec);
    let mut counts = ZoneCounts::default();
    // Work that may run on cheap machines leaves the others alone while it would be
    // given cheap ones.
    let only_spot = spec.spot && cheapest(cluster, index, spec, &counts, supply).is_some_and(|b| b.spot);
    // Machines in use first, so that idle ones are not called needed.
    let mut order: Vec<usize> = (0..bins.len()).filter(|i| bins[*i].used).collect();
    order.extend((0..bins.len()).filter(|i| !bins[*i].used));
    // Work without accelerators first takes what the work with them leaves
    // over; then machines of its own; last, what can be had.
    let mut without_accelerators = spec.demand.gpus <= 0.0;
    let mut at = 0;
    for _ in 0..n {
        loop {
            // What one task of them does not fit into, none does.
            while order.get(at).is_some_and(|i| {
                let b = &bins[*i];
                let allowed = requirements.allows(b.instance_type, b.zone, b.spot, &counts)
                    && (b.spot || !only_spot)
                    && !b.host.is_some_and(|h| avoided_hosts.contains(&h));
                !allowed
                    || !spec.demand.fits(&b.free)
                    || (without_accelerators && strands_accelerators(cluster, spec, b.instance_type, &b.free))
            }) {
                at += 1;
            }
            if at < order.len() {
                break;
            }
            if let Some(b) = cheapest(cluster, index, spec, &counts, supply) {
                bins.push(b);
                order.push(bins.len() - 1);
                // It is for this work, whatever else it could be used for.
                break;
            }
            if !std::mem::replace(&mut without_accelerators, false) {
                return;
            }
            at = 0;
        }
        let b = &mut bins[order[at]];
        b.free.sub(&spec.demand);
        b.used = true;
        counts.add(b.zone);
    }
}

/// Would a task without accelerators cost work with them a place here?
pub fn strands_accelerators(cluster: &ClusterState, spec: &Spec, instance_type: usize, free: &Demand) -> bool {
    if spec.demand.gpus > 0.0 || cluster.instance_types[instance_type].cap.gpus <= 0.0 {
        return false;
    }
    let mut after = *free;
    after.sub(&spec.demand);
    cluster.reserves.iter().any(|r| r.demand.gpus > 0.0 && r.loses(instance_type, free, &after))
}

/// The machine to rent on which a task like `spec` costs least, counting those that must
/// be rented to have one in time.
pub(super) fn cheapest(
    cluster: &ClusterState,
    index: &Index,
    spec: &Spec,
    counts: &ZoneCounts,
    supply: &SupplyOf,
) -> Option<Bin> {
    let mut best: Option<(f64, u32, Bin)> = None;
    for (i, f) in cluster.instance_types.iter().enumerate().filter(|(_, f)| spec.allows_instance_type(f)) {
        let per = f.cap.slots(&spec.demand).max(1.0);
        for name in f.zones.iter().filter(|z| spec.allows_zone(z)) {
            let Some(zone) = index.zone(name) else { continue };
            let there = counts.of(zone);
            if there >= spec.zone_limit() {
                continue;
            }
            for spot in [false, true] {
                if spot && !spec.spot {
                    continue;
                }
                let Supply::Available { cost_factor } = supply(i, name, spot) else { continue };
                let price = f.price(spot) * cost_factor / per;
                if best.as_ref().is_none_or(|(p, t, _)| (price, there) < (*p, *t)) {
                    let bin = Bin { free: f.cap, instance_type: i, zone, spot, host: None, used: true };
                    best = Some((price, there, bin));
                }
            }
        }
    }
    best.map(|b| b.2)
}
