//! Bin packing: tasks are packed into machines that are there or pending, and into new ones for the
//! rest.

use super::{Availability, AvailabilityOf};
use crate::model::{ClusterState, Demand, HostIndex, InstanceOffering, Reserve, Spec};
use crate::scheduling::index::Index;
use crate::scheduling::task_requirements::{TaskRequirements, ZoneCounts};
use std::collections::HashSet;

/// A machine that tasks are packed into.
#[derive(Debug)]
pub(super) struct Bin {
    pub(super) free: Demand,
    /// Index of its type.
    pub(super) instance_type: usize,
    /// Index of its zone.
    pub(super) zone: usize,
    pub(super) spot: bool,
    /// `None` for a machine that is pending or would be requested.
    pub(super) host: Option<HostIndex>,
    /// It has attempts or reservations, or tasks were packed into it.
    pub(super) used: bool,
}

/// Machines with the tasks that are packed into them.
pub(super) struct BinPacker<'a> {
    cluster: &'a ClusterState,
    index: &'a Index,
    availability: &'a AvailabilityOf<'a>,
    bins: Vec<Bin>,
    /// The bins before this position are there or pending; the others would be requested.
    existing: usize,
}

/// The packing of tasks of one kind.
struct Packing<'a> {
    spec: &'a Spec,
    requirements: TaskRequirements,
    avoided_hosts: &'a HashSet<HostIndex>,
    counts: ZoneCounts,
    only_spot: bool,
    /// Positions of bins in the order in which they are tried.
    order: Vec<usize>,
    /// Where in `order` the search goes on: what one task does not fit into, none does.
    next: usize,
    /// Accelerators are left to work that needs them.
    spares_accelerators: bool,
}

/// A machine that could be requested.
struct Offer {
    /// Price of a task on a machine full of its like.
    price: f64,
    tasks_in_zone: u32,
    bin: Bin,
}

impl<'a> BinPacker<'a> {
    pub(super) fn new(
        cluster: &'a ClusterState,
        index: &'a Index,
        availability: &'a AvailabilityOf<'a>,
        bins: Vec<Bin>,
    ) -> BinPacker<'a> {
        BinPacker { cluster, index, availability, existing: bins.len(), bins }
    }

    /// The machines that are there or pending, and those that would have to be requested.
    pub(super) fn into_bins(mut self) -> (Vec<Bin>, Vec<Bin>) {
        let new = self.bins.split_off(self.existing);
        (self.bins, new)
    }

    /// Packs so many tasks like `spec`; opens new bins where needed. Tasks that can be had nowhere are
    /// left out.
    pub(super) fn pack(&mut self, spec: &Spec, tasks: usize, avoided_hosts: &HashSet<HostIndex>) {
        let mut packing = self.begin(spec, avoided_hosts);
        for _ in 0..tasks {
            let Some(position) = self.bin_for_task(&mut packing) else { return };
            let bin = &mut self.bins[position];
            bin.free.sub(&spec.demand);
            bin.used = true;
            packing.counts.add(bin.zone);
        }
    }

    fn begin<'p>(&self, spec: &'p Spec, avoided_hosts: &'p HashSet<HostIndex>) -> Packing<'p> {
        let counts = ZoneCounts::default();
        // Machines in use first, so that idle ones are not counted as needed.
        let mut order: Vec<usize> = (0..self.bins.len()).filter(|position| self.bins[*position].used).collect();
        order.extend((0..self.bins.len()).filter(|position| !self.bins[*position].used));
        Packing {
            spec,
            requirements: self.index.requirements(self.cluster, spec),
            avoided_hosts,
            // Work that may run on spot machines leaves the others alone while it would be given spot ones.
            only_spot: spec.spot && self.cheapest(spec, &counts).is_some_and(|bin| bin.spot),
            counts,
            order,
            next: 0,
            // Work without accelerators first takes what the work with them leaves over; then machines
            // of its own; last, what can be had.
            spares_accelerators: spec.demand.gpus <= 0.0,
        }
    }

    /// Position of the bin for the next task, which may be a new one; `None` if there is none to be had.
    fn bin_for_task(&mut self, packing: &mut Packing) -> Option<usize> {
        loop {
            while let Some(position) = packing.order.get(packing.next) {
                if self.accepts(packing, &self.bins[*position]) {
                    return Some(*position);
                }
                packing.next += 1;
            }
            if let Some(bin) = self.cheapest(packing.spec, &packing.counts) {
                // It is for this work, whatever else it could be used for.
                self.bins.push(bin);
                packing.order.push(self.bins.len() - 1);
                return Some(self.bins.len() - 1);
            }
            if !std::mem::replace(&mut packing.spares_accelerators, false) {
                return None;
            }
            packing.next = 0;
        }
    }

    /// Does one more task fit into the bin, and may it be there?
    fn accepts(&self, packing: &Packing, bin: &Bin) -> bool {
        let spec = packing.spec;
        packing.requirements.allows(bin.instance_type, bin.zone, bin.spot, &packing.counts)
            && (bin.spot || !packing.only_spot)
            && !bin.host.is_some_and(|host| packing.avoided_hosts.contains(&host))
            && spec.demand.fits(&bin.free)
            && !(packing.spares_accelerators && strands_accelerators(self.cluster, spec, bin.instance_type, &bin.free))
    }

    /// The machine to request on which a task like `spec` costs least, counting those that must be
    /// requested to have one in time; of equally cheap ones one in the zone with the fewest tasks.
    fn cheapest(&self, spec: &Spec, counts: &ZoneCounts) -> Option<Bin> {
        let mut best: Option<Offer> = None;
        for (index, instance_type) in self.cluster.instance_types.iter().enumerate() {
            if !spec.allows_instance_type(instance_type) {
                continue;
            }
            for zone_name in instance_type.zones.iter().filter(|zone| spec.allows_zone(zone)) {
                for spot in [false, true] {
                    let offering = InstanceOffering { instance_type: index, zone: zone_name.clone(), spot };
                    let Some(offer) = self.offer(spec, counts, &offering) else { continue };
                    let rank = |offer: &Offer| (offer.price, offer.tasks_in_zone);
                    if best.as_ref().is_none_or(|best| rank(&offer) < rank(best)) {
                        best = Some(offer);
                    }
                }
            }
        }
        best.map(|best| best.bin)
    }

    /// What a task like `spec` costs on a machine of this offering; `None` if it can't be there.
    fn offer(&self, spec: &Spec, counts: &ZoneCounts, offering: &InstanceOffering) -> Option<Offer> {
        let zone = self.index.zone(&offering.zone)?;
        let tasks_in_zone = counts.of(zone);
        if tasks_in_zone >= spec.zone_limit() || (offering.spot && !spec.spot) {
            return None;
        }
        let Availability::Available { cost_factor } = (self.availability)(offering) else { return None };
        let instance_type = &self.cluster.instance_types[offering.instance_type];
        let tasks_per_machine = instance_type.cap.tasks_that_fit(&spec.demand).max(1.0);
        let price = instance_type.price(offering.spot) * cost_factor / tasks_per_machine;
        let bin = Bin {
            free: instance_type.cap,
            instance_type: offering.instance_type,
            zone,
            spot: offering.spot,
            host: None,
            used: true,
        };
        Some(Offer { price, tasks_in_zone, bin })
    }
}

/// Would a task without accelerators take the place of one with them here?
pub fn strands_accelerators(cluster: &ClusterState, spec: &Spec, instance_type: usize, free: &Demand) -> bool {
    if spec.demand.gpus > 0.0 || cluster.instance_types[instance_type].cap.gpus <= 0.0 {
        return false;
    }
    let mut after = *free;
    after.sub(&spec.demand);
    let loses_place = |reserve: &Reserve| reserve.demand.gpus > 0.0 && reserve.loses(instance_type, free, &after);
    cluster.reserves.iter().any(loses_place)
}
