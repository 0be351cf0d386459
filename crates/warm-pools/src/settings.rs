//! What operators declare: models and pools.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Name of a pool.
pub type PoolName = String;
/// Name of a team.
pub type TeamName = String;
/// Stable name of a model, which never changes while its other names do.
pub type ModelName = String;

/// What a replica was loaded with: it stays the same, whatever names are given later.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelIdentity {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: u64,
}

/// Everything that an operator declares about warm pools.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// A slot's charges are recorded at least this often, in seconds.
    #[serde(default = "default_bill_every_s")]
    pub bill_every_s: f64,
    /// Most seconds of a slot that are charged without having been observed.
    #[serde(default = "default_estimate_at_most_s")]
    pub estimate_at_most_s: f64,
    /// The models, by stable name.
    #[serde(default, rename = "model")]
    pub models: BTreeMap<ModelName, Model>,
    /// The pools.
    #[serde(default, rename = "pool")]
    pub pools: BTreeMap<PoolName, Pool>,
}

fn default_bill_every_s() -> f64 {
    300.0
}

fn default_estimate_at_most_s() -> f64 {
    900.0
}

/// A model in its present version.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version that its names stand for now.
    pub version: u64,
    /// Image of this version.
    pub image: String,
    /// Size of the image in gigabytes.
    pub size_gb: f64,
    /// Names under which jobs ask for it, beside the name of its image.
    #[serde(default)]
    pub names: Vec<String>,
}

/// How a replica is kept warm.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldKind {
    /// Room is held, beside the image where a machine has it. Any worker can do this.
    #[default]
    Image,
    /// The model is loaded, by a worker with the extension for that.
    Loaded,
}

/// What one replica takes of its machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Amounts {
    /// CPU cores.
    pub cores: f64,
    /// Accelerators.
    pub cards: f64,
    /// Gigabytes of memory.
    pub mem_gb: f64,
}

/// A pool of warm replicas of one model.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The model that it keeps warm.
    pub model: ModelName,
    /// The team that pays for idle replicas.
    pub payer: TeamName,
    /// How replicas are kept warm.
    #[serde(default)]
    pub keep: HoldKind,
    /// Replicas outside of all windows.
    #[serde(default)]
    pub count: usize,
    /// CPU cores of a replica.
    pub cores: f64,
    /// Accelerators of a replica.
    #[serde(default)]
    pub cards: f64,
    /// Gigabytes of memory of a replica.
    pub mem_gb: f64,
    /// Allowed machine types; any if there are none.
    #[serde(default)]
    pub machines: Vec<String>,
    /// Allowed zones; any if there are none.
    #[serde(default)]
    pub zones: Vec<String>,
    /// At most half of the replicas, rounded up, are in one zone.
    #[serde(default)]
    pub spread: bool,
    /// Spot machines are allowed.
    #[serde(default)]
    pub spot: bool,
    /// Teams that may claim; all if there are none.
    #[serde(default)]
    pub claimants: Vec<TeamName>,
    /// Most that idle replicas may cost in an hour, at the machines' prices; no ceiling if absent.
    #[serde(default)]
    pub idle_cost_per_hour: Option<f64>,
    /// Most that idle replicas may cost in a day (UTC); no budget if absent.
    #[serde(default)]
    pub idle_budget_per_day: Option<f64>,
    /// Most replicas that are loaded at a time.
    #[serde(default = "default_loads_at_a_time")]
    pub loads_at_a_time: usize,
    /// Times at which more or fewer are wanted, by a name of the operator's.
    #[serde(default, rename = "window")]
    pub windows: BTreeMap<String, Window>,
    /// Dates on which no window counts, by date.
    #[serde(default, rename = "exception")]
    pub exceptions: BTreeMap<String, DateException>,
}

fn default_loads_at_a_time() -> usize {
    4
}

/// Hours of some weekdays.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// `monday` to `sunday`, `weekdays` or `daily`.
    pub days: Vec<String>,
    /// Local time at which it begins, as `07:30`.
    pub from: String,
    /// Local time at which it ends, later on the same day.
    pub to: String,
    /// Name of the time zone, as `Pacific/Fiji`.
    pub zone: String,
    /// Replicas wanted in it.
    pub count: usize,
}

/// A date on which a number of replicas takes the place of all windows.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DateException {
    /// Name of the time zone that the date is of.
    pub zone: String,
    /// Replicas wanted all day.
    pub count: usize,
}

impl Pool {
    /// What one replica takes.
    pub fn amounts(&self) -> Amounts {
        Amounts { cores: self.cores, cards: self.cards, mem_gb: self.mem_gb }
    }

    /// The most replicas that are ever wanted.
    pub fn max_replicas(&self) -> usize {
        let windows = self.windows.values().map(|window| window.count);
        let exceptions = self.exceptions.values().map(|exception| exception.count);
        windows.chain(exceptions).chain([self.count]).max().unwrap_or(0)
    }

    /// May a team claim a replica?
    pub fn may_be_claimed_by(&self, team: &str) -> bool {
        self.claimants.is_empty() || self.claimants.iter().any(|claimant| claimant == team)
    }
}

impl PoolSettings {
    /// What a pool loads now.
    pub fn identity_of(&self, pool: &Pool) -> Option<ModelIdentity> {
        let model = self.models.get(&pool.model)?;
        Some(ModelIdentity { model: pool.model.clone(), version: model.version })
    }

    /// What a job asks for that names this image: an alias, or a model's image itself.
    pub fn resolve(&self, image: &str) -> Option<ModelIdentity> {
        let named = |model: &Model| model.image == image || model.names.iter().any(|name| name == image);
        let (name, model) = self.models.iter().find(|(_, model)| named(model))?;
        Some(ModelIdentity { model: name.clone(), version: model.version })
    }
}
