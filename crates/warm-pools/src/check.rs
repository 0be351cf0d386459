//! Checks of what an operator declares, against what the platform's settings know.

use crate::calendar::Schedule;
use crate::settings::{Model, Pool, PoolSettings};
use badgerdrift_common::FieldError;
use std::collections::{BTreeMap, BTreeSet};

/// What of the fleet is known before it is up. Machine types are told by the cloud: until then a
/// pool's types can't be checked.
#[derive(Debug, Clone, Default)]
pub struct KnownFleet {
    /// Names of the zones.
    pub zones: BTreeSet<String>,
    /// Names of the machine types; `None` if they are not known yet.
    pub machines: Option<BTreeSet<String>>,
    /// Limits of cores and accelerators by team; infinite where there is none.
    pub team_limits: BTreeMap<String, (f64, f64)>,
}

impl PoolSettings {
    /// Checks what the types can't say.
    ///
    /// # Errors
    ///
    /// The first field that is not valid, with the reason.
    pub fn check(&self, known: &KnownFleet) -> Result<(), FieldError> {
        positive("bill_every_s", self.bill_every_s)?;
        not_negative("estimate_at_most_s", self.estimate_at_most_s)?;
        self.check_models()?;
        for (name, pool) in &self.pools {
            self.check_pool(&format!("pool.{name}"), pool, known)?;
        }
        Ok(())
    }

    fn check_models(&self) -> Result<(), FieldError> {
        let mut names: BTreeMap<&str, &str> = BTreeMap::new();
        for (stable, model) in &self.models {
            let field = format!("model.{stable}");
            not_negative(&format!("{field}.size_gb"), model.size_gb)?;
            if model.image.is_empty() {
                return Err(FieldError::new(&format!("{field}.image"), "must not be empty"));
            }
            for name in own_names(model) {
                if let Some(other) = names.insert(name, stable) {
                    return Err(FieldError::new(
                        &format!("{field}.names"),
                        &format!("{name} is a name of model {other} too"),
                    ));
                }
            }
        }
        Ok(())
    }

    fn check_pool(&self, field: &str, pool: &Pool, known: &KnownFleet) -> Result<(), FieldError> {
        let within = |name: &str| format!("{field}.{name}");
        if !self.models.contains_key(&pool.model) {
            return Err(FieldError::new(&within("model"), &format!("there is no model {}", pool.model)));
        }
        let Some(limit) = known.team_limits.get(&pool.payer) else {
            return Err(FieldError::new(&within("payer"), &format!("there is no team {}", pool.payer)));
        };
        if let Some(team) = pool.claimants.iter().find(|team| !known.team_limits.contains_key(*team)) {
            return Err(FieldError::new(&within("claimants"), &format!("there is no team {team}")));
        }
        if let Some(zone) = pool.zones.iter().find(|zone| !known.zones.contains(*zone)) {
            return Err(FieldError::new(&within("zones"), &format!("there is no zone {zone}")));
        }
        let unknown = |machine: &&String| known.machines.as_ref().is_some_and(|types| !types.contains(*machine));
        if let Some(machine) = pool.machines.iter().find(unknown) {
            return Err(FieldError::new(&within("machines"), &format!("there is no machine type {machine}")));
        }
        positive(&within("cores"), pool.cores)?;
        not_negative(&within("cards"), pool.cards)?;
        positive(&within("mem_gb"), pool.mem_gb)?;
        for (name, amount) in
            [("idle_cost_per_hour", pool.idle_cost_per_hour), ("idle_budget_per_day", pool.idle_budget_per_day)]
        {
            amount.map_or(Ok(()), |amount| not_negative(&within(name), amount))?;
        }
        if pool.loads_at_a_time == 0 {
            return Err(FieldError::new(&within("loads_at_a_time"), "must be at least 1"));
        }
        let most = pool.max_replicas() as f64;
        if most * pool.cores > limit.0 || most * pool.cards > limit.1 {
            let reason = format!("{most} replicas are more than the limit of {}", pool.payer);
            return Err(FieldError::new(&within("count"), &reason));
        }
        Schedule::new(pool).map(|_| ()).map_err(|e| FieldError::new(&within(&e.field), &e.reason))
    }
}

/// The names that stand for a model: those that are declared, and that of its image.
fn own_names(model: &Model) -> BTreeSet<&str> {
    model.names.iter().map(String::as_str).chain([model.image.as_str()]).collect()
}

fn positive(field: &str, amount: f64) -> Result<(), FieldError> {
    if amount.is_finite() && amount > 0.0 {
        Ok(())
    } else {
        Err(FieldError::new(field, &format!("must be above 0, is {amount}")))
    }
}

fn not_negative(field: &str, amount: f64) -> Result<(), FieldError> {
    if amount.is_finite() && amount >= 0.0 {
        Ok(())
    } else {
        Err(FieldError::new(field, &format!("must be 0 or more, is {amount}")))
    }
}
