//! Bin packing: tasks are packed into existing and pending machines, and the rest into new ones.

use super::{Availability, AvailabilityFn};
use crate::model::{ClusterState, Demand, ExpectedDemand, HostIndex, InstanceOffering, Spec};
use crate::scheduling::index::CapacityIndex;
use crate::scheduling::task_requirements::{TaskRequirements, ZoneCounts};
use std::collections::{HashMap, HashSet};

/// Maximum number of machines of an offering that a plan opens. The cloud takes no larger request, and further machines
/// follow with the next plans.
pub const MAX_NEW_MACHINES: usize = 50;

/// A machine, existing or not, that tasks are packed into.
#[derive(Debug)]
pub(super) struct Bin {
    /// Capacity that is left.
    pub(super) free: Demand,
    /// Index of the instance type.
    pub(super) instance_type: usize,
    /// Index of the zone.
    pub(super) zone: usize,
    /// True for a spot machine.
    pub(super) spot: bool,
    /// Index of the machine; `None` if it is pending or would be requested.
    pub(super) host: Option<HostIndex>,
    /// True if the machine has attempts or reservations, is not up yet, or had tasks packed into it.
    pub(super) used: bool,
}

impl Bin {
    /// Returns the instance type, the zone and whether the machine is spot.
    fn offering(&self) -> (usize, usize, bool) {
        (self.instance_type, self.zone, self.spot)
    }
}

/// Packs tasks into bins and opens new bins where needed.
pub(super) struct BinPacker<'a> {
    cluster: &'a ClusterState,
    index: &'a CapacityIndex,
    availability: &'a AvailabilityFn<'a>,
    bins: Vec<Bin>,
    /// Number of bins of existing or pending machines; the bins after them would be requested.
    existing: usize,
    /// Number of new bins by offering: instance type, zone and whether it is spot.
    new_machines: HashMap<(usize, usize, bool), usize>,
}

/// State of the packing of tasks with the same description.
struct Packing<'a> {
    spec: &'a Spec,
    requirements: TaskRequirements,
    avoided_hosts: &'a HashSet<HostIndex>,
    counts: ZoneCounts,
    /// True if only spot machines are tried.
    only_spot: bool,
    /// Positions of bins in the order in which they are tried.
    order: Vec<usize>,
    /// Position in `order` at which the search continues. Bins before it are skipped: if one of these equal
    /// tasks does not fit, none does.
    next: usize,
    /// True while bins are skipped in which the task would strand accelerators.
    spares_accelerators: bool,
}

/// A machine that could be requested, with the values by which it is ranked.
struct Offer {
    /// Price per task on a machine that is filled with such tasks.
    price: f64,
    /// True if the plan opens no more machines of the offering.
    at_limit: bool,
    /// Number of tasks of the packing in the zone of the machine.
    tasks_in_zone: u32,
    bin: Bin,
}

impl<'a> BinPacker<'a> {
    pub(super) fn new(
        cluster: &'a ClusterState,
        index: &'a CapacityIndex,
        availability: &'a AvailabilityFn<'a>,
        bins: Vec<Bin>,
    ) -> BinPacker<'a> {
        BinPacker { cluster, index, availability, existing: bins.len(), bins, new_machines: HashMap::new() }
    }

    /// Returns the bins of existing or pending machines, and those of machines to be requested.
    pub(super) fn into_bins(mut self) -> (Vec<Bin>, Vec<Bin>) {
        let new = self.bins.split_off(self.existing);
        (self.bins, new)
    }

    /// Packs `tasks` tasks of `spec` and opens new bins where needed. Tasks for which no machine is available
    /// are left out, as are those for which the plan would open more than `MAX_NEW_MACHINES` machines of an offering:
    /// the effort follows the machines that can be requested, not the tasks that wait.
    pub(super) fn pack(&mut self, spec: &Spec, tasks: usize, avoided_hosts: &HashSet<HostIndex>) {
        let mut packing = self.start_packing(spec, avoided_hosts);
        for _ in 0..tasks {
            let Some(position) = self.bin_for_task(&mut packing) else { return };
            let bin = &mut self.bins[position];
            bin.free.sub(&spec.demand);
            bin.used = true;
            packing.counts.add(bin.zone);
        }
    }

    /// Returns the initial state for packing tasks of `spec`.
    fn start_packing<'p>(&self, spec: &'p Spec, avoided_hosts: &'p HashSet<HostIndex>) -> Packing<'p> {
        let counts = ZoneCounts::default();
        // Machines in use first, so that idle ones are not counted as needed.
        let mut order: Vec<usize> = (0..self.bins.len()).filter(|position| self.bins[*position].used).collect();
        order.extend((0..self.bins.len()).filter(|position| !self.bins[*position].used));
        Packing {
            spec,
            requirements: self.index.requirements(self.cluster, spec),
            avoided_hosts,
            // If a spot machine is the cheapest new one, work that may use spot machines takes no other ones.
            only_spot: spec.spot && self.cheapest(spec, &counts).is_some_and(|offer| offer.bin.spot),
            counts,
            order,
            next: 0,
            // Tasks without accelerators first use capacity that tasks with accelerators cannot use, then new
            // machines, and last any other free capacity.
            spares_accelerators: spec.demand.gpus <= 0.0,
        }
    }

    /// Returns the position of the bin for the next task and opens a new bin if needed; `None` if no machine
    /// is available, or none that the plan may still open.
    fn bin_for_task(&mut self, packing: &mut Packing) -> Option<usize> {
        loop {
            while let Some(position) = packing.order.get(packing.next) {
                if self.accepts(packing, &self.bins[*position]) {
                    return Some(*position);
                }
                packing.next += 1;
            }
            if let Some(offer) = self.cheapest(packing.spec, &packing.counts) {
                if offer.at_limit {
                    return None;
                }
                // A machine requested for these tasks is used for them, even if they strand its accelerators.
                *self.new_machines.entry(offer.bin.offering()).or_default() += 1;
                self.bins.push(offer.bin);
                packing.order.push(self.bins.len() - 1);
                return Some(self.bins.len() - 1);
            }
            if !std::mem::replace(&mut packing.spares_accelerators, false) {
                return None;
            }
            packing.next = 0;
        }
    }

    /// Returns whether one more task fits into the bin and is allowed there.
    fn accepts(&self, packing: &Packing, bin: &Bin) -> bool {
        let spec = packing.spec;
        packing.requirements.allows(bin.instance_type, bin.zone, bin.spot, &packing.counts)
            && (bin.spot || !packing.only_spot)
            && !bin.host.is_some_and(|host| packing.avoided_hosts.contains(&host))
            && spec.demand.fits(&bin.free)
            && !(packing.spares_accelerators && strands_accelerators(self.cluster, spec, bin.instance_type, &bin.free))
    }

    /// Returns the offer of the machine on which a task of `spec` is cheapest, with prices multiplied by the cost
    /// factor of the offering. Of equally cheap machines it takes one that the plan may still open, in the zone with
    /// the fewest tasks. `None` if no allowed machine is available.
    fn cheapest(&self, spec: &Spec, counts: &ZoneCounts) -> Option<Offer> {
        let mut cheapest: Option<Offer> = None;
        for (index, instance_type) in self.cluster.instance_types.iter().enumerate() {
            if !spec.allows_instance_type(instance_type) {
                continue;
            }
            for zone_name in instance_type.zones.iter().filter(|zone| spec.allows_zone(zone)) {
                for spot in [false, true] {
                    let offering = InstanceOffering { instance_type: index, zone: zone_name.clone(), spot };
                    let Some(offer) = self.offer(spec, counts, &offering) else { continue };
                    let rank = |offer: &Offer| (offer.price, offer.at_limit, offer.tasks_in_zone);
                    if cheapest.as_ref().is_none_or(|cheapest| rank(&offer) < rank(cheapest)) {
                        cheapest = Some(offer);
                    }
                }
            }
        }
        cheapest
    }

    /// Returns the offer of a machine of this offering for a task of `spec`; `None` if the offering is refused
    /// or the task is not allowed there.
    fn offer(&self, spec: &Spec, counts: &ZoneCounts, offering: &InstanceOffering) -> Option<Offer> {
        let zone = self.index.zone(&offering.zone)?;
        let tasks_in_zone = counts.in_zone(zone);
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
        let at_limit = self.new_machines.get(&bin.offering()).is_some_and(|machines| *machines >= MAX_NEW_MACHINES);
        Some(Offer { price, at_limit, tasks_in_zone, bin })
    }
}

/// Returns whether a task without accelerators would take capacity here that a reserved task with
/// accelerators needs.
pub fn strands_accelerators(cluster: &ClusterState, spec: &Spec, instance_type: usize, free: &Demand) -> bool {
    if spec.demand.gpus > 0.0 || cluster.instance_types[instance_type].cap.gpus <= 0.0 {
        return false;
    }
    let mut after = *free;
    after.sub(&spec.demand);
    let loses_place =
        |expected: &ExpectedDemand| expected.demand.gpus > 0.0 && expected.loses(instance_type, free, &after);
    cluster.expected_demands.iter().any(loses_place)
}
