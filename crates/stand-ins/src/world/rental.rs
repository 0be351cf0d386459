//! Machines of the simulated cloud: rental, loss and listing.

use super::SimulationState;
use super::machine::{Machine, Phase};
use super::parameters::secs;
use rand::RngExt;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use tokio::time::Instant;

/// Number of seconds that exceeds the duration of any simulation.
const NEVER_S: f64 = 1e6;

/// Boot faults of newly rented machines.
#[derive(Debug, Clone, Default)]
pub struct BootFaults {
    /// Share of machines that never come up and are charged until they are released.
    pub never: f64,
    /// Share of machines that boot late.
    pub late: f64,
    /// Boot time of late machines, as a multiple of the nominal one.
    pub late_by: f64,
}

/// Port at which workers take direct commands.
const WORKER_PORT: u16 = 9000;
/// Number of machines whose addresses have the same first three bytes.
const MACHINES_PER_SUBNET: usize = 200;

/// Returns the address of a machine, by its number among all that were ever rented.
///
/// # Panics
///
/// The network has no more addresses.
pub fn machine_address([first, second]: [u8; 2], number: usize) -> SocketAddr {
    let subnet = u8::try_from(number / MACHINES_PER_SUBNET).expect("too many machines were rented for one network");
    let ip = Ipv4Addr::new(first, second, subnet, (number % MACHINES_PER_SUBNET + 1) as u8);
    SocketAddr::new(IpAddr::V4(ip), WORKER_PORT)
}

impl SimulationState {
    /// Returns the instant at which a machine rented now will be up; `None` if never.
    fn boot_end(&mut self, startup_s: f64) -> Option<Instant> {
        let usual = startup_s * self.rng.random_range(0.6..1.5);
        let faults = self.boot_faults.clone();
        // No random number is drawn for a fault of share 0, so that recorded seeds reproduce their runs.
        if faults.never > 0.0 && self.rng.random_bool(faults.never) {
            return None;
        }
        let late = faults.late > 0.0 && self.rng.random_bool(faults.late);
        Some(Instant::now() + secs(if late { startup_s * faults.late_by } else { usual }))
    }

    /// Carries out a rental. Returns the machines of the rental, `None` if there is no capacity, and the
    /// newly rented ones: none if the rental's name was used before.
    pub fn rent(&mut self, body: &Value) -> (Option<Vec<String>>, Vec<String>) {
        let name = body["rental"].as_str().unwrap();
        if let Some(known) = self.rentals.get(name) {
            return (Some(known.clone()), Vec::new());
        }
        let now = Instant::now();
        let (sku, zone) = (body["flavor"].as_str().unwrap(), body["region"].as_str().unwrap());
        let spot = body["preemptible"].as_bool().unwrap();
        let flavor = *self.parameters.flavors.iter().find(|f| f.sku == sku).unwrap();
        let used = |machine: &&Machine| {
            machine.exists() && machine.flavor.sku == sku && machine.zone == zone && machine.spot == spot
        };
        let free = self.parameters.capacity.saturating_sub(self.machines.values().filter(used).count());
        let count = free.min(body["number"].as_u64().unwrap() as usize);
        if count == 0 {
            return (None, Vec::new());
        }
        let mut ids = Vec::new();
        for _ in 0..count {
            let n = self.machines.len();
            let id = format!("host-{n:06}");
            let up = self.boot_end(flavor.startup_s).unwrap_or(now + secs(NEVER_S));
            let machine = Machine {
                id: id.clone(),
                addr: machine_address(self.parameters.machine_network, n),
                flavor,
                zone: zone.into(),
                spot,
                process_id: 0,
                rented: now,
                up,
                gone: None,
                died: None,
                listed: false,
                tenure: 1,
                serial: 0,
                fence: 0,
                lease_from: up,
                copies: BTreeMap::new(),
                slots: BTreeMap::new(),
                deaf: now,
                mute: now,
                hang: now,
                taken: None,
                faulty: self.rng.random_bool(self.faulty),
                changed: false,
                reported_token_at: now,
            };
            let faulty = if machine.faulty { " faulty" } else { "" };
            self.log(format!("rented {id} {sku} {zone} spot={spot}{faulty}"));
            self.machines.insert(id.clone(), machine);
            ids.push(id);
        }
        self.rentals.insert(name.into(), ids.clone());
        (Some(ids.clone()), ids)
    }

    /// Removes a machine with all its tasks and models.
    pub fn remove(&mut self, id: &str, why: &str) {
        let now = Instant::now();
        if self.machines.get(id).is_none_or(|machine| machine.gone.is_some()) {
            return;
        }
        self.remove_all_models(id);
        let machine = self.machines.get_mut(id).unwrap();
        machine.gone = Some(now);
        let on: Vec<_> =
            std::mem::take(&mut machine.copies).into_iter().filter(|c| c.1.phase != Phase::Ended).collect();
        let on: Vec<String> = on.into_iter().map(|(k, c)| format!("{} try {} {}", k.0, k.1, c.phase.name())).collect();
        self.log(format!("{id} {why} with {on:?}"));
    }

    /// Crashes a machine: its tasks and models are lost, and it stays rented.
    pub fn die(&mut self, id: &str) {
        let now = Instant::now();
        if self.machines.get(id).is_none_or(|machine| !machine.alive(now)) {
            return;
        }
        self.remove_all_models(id);
        let machine = self.machines.get_mut(id).unwrap();
        machine.died = Some(now);
        let on: Vec<_> = std::mem::take(&mut machine.copies).into_keys().collect();
        self.log(format!("{id} crashes with {on:?}"));
    }

    /// Returns a page of the list of machines as it was up to twice `list_lag_s` ago.
    pub fn list(&mut self, from: &str, most: usize) -> Value {
        let now = Instant::now();
        let at = now - secs(self.rng.random_range(0.0..2.0 * self.parameters.list_lag_s));
        let mut hosts = Vec::new();
        let mut more = false;
        for machine in self.machines.values_mut().filter(|machine| machine.id.as_str() > from) {
            if machine.gone.is_some_and(|g| g <= at) || (machine.rented > at && !machine.listed) {
                continue;
            }
            if hosts.len() == most {
                more = true;
                break;
            }
            machine.listed = true;
            let phase = match machine.died {
                Some(d) if d + secs(30.0) <= at => "failed",
                _ if machine.up <= at => "running",
                _ => "starting",
            };
            hosts.push(json!({"id": machine.id, "addr": machine.addr, "flavor": machine.flavor.sku, "region": machine.zone,
                "preemptible": machine.spot, "phase": phase, "held_s": at.saturating_duration_since(machine.rented).as_secs_f64()}));
        }
        json!({"hosts": hosts, "more": more})
    }
}
