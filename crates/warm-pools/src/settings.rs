//! Declarations of models and pools by operators.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Name of a pool.
pub type PoolName = String;
/// Name of a team.
pub type TeamName = String;
/// Stable name of a model. It stays the same when the model's aliases change.
pub type ModelName = String;

/// Model and version that a replica was loaded with. It does not depend on the model's aliases.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelIdentity {
    /// Stable name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: u64,
}

/// All settings of warm pools.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// Longest interval, in seconds, after which the charges of a slot are recorded.
    #[serde(default = "default_bill_every_s")]
    pub bill_every_s: f64,
    /// Maximum time, in seconds, that is charged for a slot without its having been observed.
    #[serde(default = "default_estimate_at_most_s")]
    pub estimate_at_most_s: f64,
    /// Models by stable name.
    #[serde(default, rename = "model")]
    pub models: BTreeMap<ModelName, Model>,
    /// Pools by name.
    #[serde(default, rename = "pool")]
    pub pools: BTreeMap<PoolName, Pool>,
}

fn default_bill_every_s() -> f64 {
    300.0
}

fn default_estimate_at_most_s() -> f64 {
    900.0
}

/// A model and its current version.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Version that the model's names refer to.
    pub version: u64,
    /// Name of the image of this version.
    pub image: String,
    /// Size of the image in gigabytes.
    pub size_gb: f64,
    /// Aliases that jobs may request in place of the image name.
    #[serde(default)]
    pub names: Vec<String>,
}

/// Method by which a replica is kept warm.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldKind {
    /// Capacity is reserved on a machine, which may already have the image. Any worker supports this.
    #[default]
    Image,
    /// The model is loaded by a worker with the model-loading extension.
    Loaded,
}

/// Resources of a machine, or the part of them that one replica uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Amounts {
    /// Number of CPU cores.
    pub cores: f64,
    /// Number of accelerators.
    pub cards: f64,
    /// Memory in gigabytes.
    pub mem_gb: f64,
}

/// A pool of warm replicas of one model.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Stable name of the model that the pool keeps warm.
    pub model: ModelName,
    /// Team that pays for idle replicas.
    pub payer: TeamName,
    /// Method by which replicas are kept warm.
    #[serde(default)]
    pub keep: HoldKind,
    /// Number of replicas wanted outside all windows.
    #[serde(default)]
    pub count: usize,
    /// Number of CPU cores of one replica.
    pub cores: f64,
    /// Number of accelerators of one replica.
    #[serde(default)]
    pub cards: f64,
    /// Memory of one replica in gigabytes.
    pub mem_gb: f64,
    /// Machine types on which replicas may run; empty allows every type.
    #[serde(default)]
    pub machines: Vec<String>,
    /// Zones in which replicas may run; empty allows every zone.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Whether at most half of the replicas, rounded up, may be in one zone.
    #[serde(default)]
    pub spread: bool,
    /// Whether replicas may run on spot machines.
    #[serde(default)]
    pub spot: bool,
    /// Teams whose jobs may claim replicas; empty allows every team.
    #[serde(default)]
    pub claimants: Vec<TeamName>,
    /// Maximum cost per hour of all idle replicas, at the machines' prices; `None` sets no limit.
    #[serde(default)]
    pub idle_cost_per_hour: Option<f64>,
    /// Maximum cost of idle replicas per UTC day; `None` sets no limit.
    #[serde(default)]
    pub idle_budget_per_day: Option<f64>,
    /// Maximum number of replicas that load at the same time.
    #[serde(default = "default_loads_at_a_time")]
    pub loads_at_a_time: usize,
    /// Weekly windows with their own number of replicas, by a name that the operator chooses.
    #[serde(default, rename = "window")]
    pub windows: BTreeMap<String, Window>,
    /// Dates whose number of replicas replaces that of the windows, by date such as `2026-12-25`.
    #[serde(default, rename = "exception")]
    pub exceptions: BTreeMap<String, DateException>,
}

fn default_loads_at_a_time() -> usize {
    4
}

/// A time range on certain days of the week, with its own number of replicas.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// Days of the week: `monday` to `sunday`, `weekdays` or `daily`.
    pub days: Vec<String>,
    /// Local time at which the window begins, such as `07:30`.
    pub from: String,
    /// Local time at which the window ends, later on the same day.
    pub to: String,
    /// Name of the time zone, such as `Pacific/Fiji`.
    pub zone: String,
    /// Number of replicas wanted within the window.
    pub count: usize,
}

/// A date on which one number of replicas replaces all windows.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DateException {
    /// Name of the time zone in which the date begins and ends.
    pub zone: String,
    /// Number of replicas wanted on the whole day.
    pub count: usize,
}

impl Pool {
    /// Returns the resources that one replica uses.
    pub fn amounts(&self) -> Amounts {
        Amounts { cores: self.cores, cards: self.cards, mem_gb: self.mem_gb }
    }

    /// Returns the highest number of replicas that the pool ever wants, over the default, all
    /// windows and all exceptions.
    pub fn max_replicas(&self) -> usize {
        let windows = self.windows.values().map(|window| window.count);
        let exceptions = self.exceptions.values().map(|exception| exception.count);
        windows.chain(exceptions).chain([self.count]).max().unwrap_or(0)
    }

    /// Returns whether jobs of this team may claim a replica.
    pub fn may_be_claimed_by(&self, team: &str) -> bool {
        self.claimants.is_empty() || self.claimants.iter().any(|claimant| claimant == team)
    }
}

impl PoolSettings {
    /// Returns the model and version that a pool currently loads, or `None` if its model is not
    /// declared.
    pub fn identity_of(&self, pool: &Pool) -> Option<ModelIdentity> {
        let model = self.models.get(&pool.model)?;
        Some(ModelIdentity { model: pool.model.clone(), version: model.version })
    }

    /// Returns the model and version that a job requests by this name, which is an alias or the
    /// name of a model's image. Returns `None` if no model has it.
    pub fn resolve_name(&self, image: &str) -> Option<ModelIdentity> {
        let has_name = |model: &Model| model.image == image || model.names.iter().any(|name| name == image);
        let (name, model) = self.models.iter().find(|(_, model)| has_name(model))?;
        Some(ModelIdentity { model: name.clone(), version: model.version })
    }
}
