//! Placement of new slots, and demand for machines for the slots that find no capacity.

use super::reservations::hosts_of;
use super::{PartitionWarmPools, amounts, demand};
use crate::control::partition::Partition;
use crate::model::{Host, HostIndex, Shape, Spec, Urgency};
use crate::scheduling::CapacityIndex;
use badgerdrift_warm_pools::{HoldKind, Pool, SlotPlace, price_of};
use std::cmp::Reverse;
use std::collections::HashMap;

impl Partition {
    /// Begins the wanted slots on machines with free capacity that is reserved for no job. Does nothing while
    /// reservations can't be recorded or machines are unreconciled.
    pub(super) fn place_slots(&mut self, now: u64) {
        if !self.conditions.reservations_recordable || !self.cluster.all_reconciled {
            return;
        }
        let Some(warm_pools) = &self.warm_pools else { return };
        let pools: Vec<(String, Pool)> =
            warm_pools.pools.settings().pools.iter().map(|(name, pool)| (name.clone(), pool.clone())).collect();
        let mut index = CapacityIndex::new(&self.cluster, now);
        for (name, pool) in pools {
            while let Some(host_index) = self.find_host_for_slot(&index, &name, &pool, now) {
                self.begin_slot(host_index, &name, &pool, now);
                index.hosts[host_index].free.sub(&demand(&pool.amounts()));
            }
        }
        self.reserve_warm_capacity();
    }

    /// Begins a slot of a pool on a machine.
    fn begin_slot(&mut self, host_index: HostIndex, name: &str, pool: &Pool, now: u64) {
        let (Some(warm_pools), Some(host)) = (&mut self.warm_pools, self.cluster.hosts[host_index].as_ref()) else {
            return;
        };
        let number = self.epoch.next_number();
        let instance_type = host.instance_type.map(|instance_type| &self.cluster.instance_types[instance_type]);
        let price =
            instance_type.map_or(0, |found| price_of(&pool.amounts(), &amounts(&found.cap), found.price(host.spot)));
        let image =
            warm_pools.pools.settings().models.get(&pool.model).map(|model| model.image.clone()).unwrap_or_default();
        let place = SlotPlace {
            host: host.id.clone(),
            agent_epoch: host.agent_epoch,
            price_per_hour: price,
            has_image: has_image(host, &image),
        };
        let clock_reading = warm_pools.clock_reading(now);
        warm_pools.pools.create_slot(number, name, place, clock_reading);
    }

    /// Returns the machine for the next slot of a pool, or `None` if none is wanted or no machine has capacity
    /// for it.
    fn find_host_for_slot(&self, index: &CapacityIndex, name: &str, pool: &Pool, now: u64) -> Option<HostIndex> {
        let warm_pools = self.warm_pools.as_ref()?;
        if !self.payer_may_hold_another(warm_pools, index, pool) {
            return None;
        }
        let pool_hosts = hosts_of(&self.cluster, warm_pools, name);
        let mut by_zone: HashMap<usize, usize> = HashMap::new();
        pool_hosts.iter().for_each(|host| *by_zone.entry(index.hosts[*host].zone).or_default() += 1);
        let max_in_zone = if pool.spread { pool.max_replicas().div_ceil(2) } else { usize::MAX };
        let image =
            warm_pools.pools.settings().models.get(&pool.model).map(|model| model.image.as_str()).unwrap_or_default();
        let clock_reading = warm_pools.clock_reading(now);
        let suits = |(host_index, host): &(HostIndex, &Host)| {
            let slot = &index.hosts[*host_index];
            slot.usable
                && slot.reservations == 0
                && demand(&pool.amounts()).fits(&slot.free)
                && self.allows(pool, host)
                && by_zone.get(&slot.zone).copied().unwrap_or(0) < max_in_zone
                && warm_pools.pools.startable_count(name, self.replica_price(pool, host), clock_reading) > 0
        };
        let rank = |(host_index, host): &(HostIndex, &Host)| {
            let zone = by_zone.get(&index.hosts[*host_index].zone).copied().unwrap_or(0);
            (Reverse(has_image(host, image)), if pool.spread { zone } else { 0 }, host.attempts.is_empty(), *host_index)
        };
        self.cluster.each_host().filter(suits).min_by_key(rank).map(|(host_index, _)| host_index)
    }

    /// Returns the hourly price of one of the pool's replicas on a machine, or zero if the machine's type is
    /// unknown.
    fn replica_price(&self, pool: &Pool, host: &Host) -> u64 {
        let instance_type = host.instance_type.map(|instance_type| &self.cluster.instance_types[instance_type]);
        instance_type.map_or(0, |found| price_of(&pool.amounts(), &amounts(&found.cap), found.price(host.spot)))
    }

    /// Returns whether the pool's settings allow a slot on the machine.
    fn allows(&self, pool: &Pool, host: &Host) -> bool {
        let instance_type = host.instance_type.map(|instance_type| &self.cluster.instance_types[instance_type].name);
        let matches = |names: &[String], name: &String| names.is_empty() || names.contains(name);
        instance_type.is_some_and(|instance_type| matches(&pool.machines, instance_type))
            && matches(&pool.zones, &host.zone)
            && (pool.spot || !host.spot)
            && (pool.keep == HoldKind::Image || host.can_load_models)
    }

    /// Returns whether the payer's tasks and idle replicas stay within its limit with one more replica. Beyond the
    /// payer's guarantee, a replica is allowed only if no jobs are pending, because they would take its capacity
    /// at once.
    fn payer_may_hold_another(&self, warm_pools: &PartitionWarmPools, index: &CapacityIndex, pool: &Pool) -> bool {
        let Some(team) = self.policy.teams.get(&pool.payer) else { return false };
        let mut payer_usage = index.usage.get(&pool.payer).copied().unwrap_or_default();
        let held = warm_pools.pools.slots().filter(|slot| slot.payer == pool.payer && slot.reserves_capacity());
        held.for_each(|slot| payer_usage.add(&demand(&slot.amounts)));
        payer_usage.add(&demand(&pool.amounts()));
        let within = |amount: f64, guaranteed: f64| guaranteed <= 0.0 || amount <= guaranteed;
        let guaranteed = team.guarantees(&demand(&pool.amounts()))
            && within(payer_usage.gpus, team.guarantee.gpus)
            && within(payer_usage.cpus, team.guarantee.cpus);
        payer_usage.fits(&team.limit) && (guaranteed || self.scheduling_triggers.pending_jobs().is_empty())
    }

    /// Returns the replicas that found no machine with free capacity, as specs with numbers of tasks for the plan of
    /// which machines to rent.
    pub fn pool_replicas_without_machine(&self, now: u64) -> Vec<(Spec, usize)> {
        let Some(warm_pools) = &self.warm_pools else { return Vec::new() };
        if !self.conditions.reservations_recordable {
            return Vec::new();
        }
        let clock_reading = warm_pools.clock_reading(now);
        let pools = warm_pools.pools.settings().pools.iter();
        let missing = pools.filter(|(_, pool)| self.may_have_suitable_machines(pool)).map(|(name, pool)| {
            let price = self.lowest_price(pool);
            (name, pool, warm_pools.pools.startable_count(name, price, clock_reading))
        });
        missing.flat_map(|(name, pool, count)| self.replica_specs(warm_pools, name, pool, count)).collect()
    }

    /// Returns whether rented machines may be of use to the pool. For loaded models that requires a worker that is
    /// known to load models, unless no machine is known yet.
    fn may_have_suitable_machines(&self, pool: &Pool) -> bool {
        pool.keep == HoldKind::Image
            || self.cluster.host_index.is_empty()
            || self.cluster.each_host().any(|(_, host)| host.can_load_models)
    }

    /// Returns the lowest hourly price of one of the pool's replicas on any allowed instance type, or zero if
    /// there is none.
    fn lowest_price(&self, pool: &Pool) -> u64 {
        let allowed = self
            .cluster
            .instance_types
            .iter()
            .filter(|candidate| pool.machines.is_empty() || pool.machines.contains(&candidate.name));
        allowed
            .map(|allowed| price_of(&pool.amounts(), &amounts(&allowed.cap), allowed.price(pool.spot)))
            .min()
            .unwrap_or(0)
    }

    /// Returns `count` replicas as specs with numbers of tasks, divided evenly among the pool's zones.
    fn replica_specs(
        &self,
        warm_pools: &PartitionWarmPools,
        name: &str,
        pool: &Pool,
        count: usize,
    ) -> Vec<(Spec, usize)> {
        let Some(model) = warm_pools.pools.settings().models.get(&pool.model) else { return Vec::new() };
        let zones: Vec<Option<String>> =
            if pool.zones.is_empty() { vec![None] } else { pool.zones.iter().cloned().map(Some).collect() };
        let zone_count = zones.len();
        let spec = |zone: Option<String>| Spec {
            id: format!("pool/{name}"),
            class: String::new(),
            team: pool.payer.clone(),
            shape: Shape::Service,
            urgency: Urgency::Low,
            tasks: count as u32,
            demand: demand(&pool.amounts()),
            image: model.image.clone(),
            image_gb: model.size_gb,
            instance_types: (!pool.machines.is_empty()).then(|| pool.machines.clone()),
            zone,
            one_zone: false,
            spread: pool.spread,
            spot: pool.spot,
            expected_s: 0.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            due_s: None,
            dependencies: Default::default(),
        };
        let zone_share = |(position, zone)| (spec(zone), (count + zone_count - 1 - position) / zone_count);
        zones.into_iter().enumerate().map(zone_share).filter(|(_, tasks)| *tasks > 0).collect()
    }
}

/// Returns whether the machine's cache holds the image, ready for use.
fn has_image(host: &Host, image: &str) -> bool {
    host.images.iter().any(|cached| cached.ready && cached.name == image)
}
