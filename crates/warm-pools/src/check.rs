//! Validation of the declared models and pools against the settings of the fleet.

use crate::calendar::Schedule;
use crate::settings::{Model, Pool, PoolSettings};
use badgerdrift_common::FieldError;
use std::collections::{BTreeMap, BTreeSet};

/// Parts of the fleet that pools refer to. The cloud lists the machine types, so the types of a
/// pool cannot be checked before that list is read.
#[derive(Debug, Clone, Default)]
pub struct KnownFleet {
    /// Names of the zones.
    pub zones: BTreeSet<String>,
    /// Names of the machine types; `None` while they are not known.
    pub machines: Option<BTreeSet<String>>,
    /// Limits of cores and accelerators by team; infinite for a team without a limit.
    pub team_limits: BTreeMap<String, (f64, f64)>,
}

impl PoolSettings {
    /// Validates the values that deserialisation cannot check.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field with the reason.
    pub fn check(&self, known: &KnownFleet) -> Result<(), FieldError> {
        check_positive("bill_every_s", self.bill_every_s)?;
        check_not_negative("estimate_at_most_s", self.estimate_at_most_s)?;
        self.check_models()?;
        for (name, pool) in &self.pools {
            self.check_pool(&format!("pool.{name}"), pool, known)?;
        }
        Ok(())
    }

    fn check_models(&self) -> Result<(), FieldError> {
        let mut names: BTreeMap<&str, &str> = BTreeMap::new();
        for (model_name, model) in &self.models {
            let field = format!("model.{model_name}");
            check_not_negative(&format!("{field}.size_gb"), model.size_gb)?;
            if model.image.is_empty() {
                return Err(FieldError::new(&format!("{field}.image"), "must not be empty"));
            }
            for name in all_names(model) {
                if let Some(other) = names.insert(name, model_name) {
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
        let field_of = |name: &str| format!("{field}.{name}");
        if !self.models.contains_key(&pool.model) {
            return Err(FieldError::new(&field_of("model"), &format!("there is no model {}", pool.model)));
        }
        let Some(limit) = known.team_limits.get(&pool.payer) else {
            return Err(FieldError::new(&field_of("payer"), &format!("there is no team {}", pool.payer)));
        };
        if let Some(team) = pool.claimants.iter().find(|team| !known.team_limits.contains_key(*team)) {
            return Err(FieldError::new(&field_of("claimants"), &format!("there is no team {team}")));
        }
        if let Some(zone) = pool.zones.iter().find(|zone| !known.zones.contains(*zone)) {
            return Err(FieldError::new(&field_of("zones"), &format!("there is no zone {zone}")));
        }
        let unknown = |machine: &&String| known.machines.as_ref().is_some_and(|types| !types.contains(*machine));
        if let Some(machine) = pool.machines.iter().find(unknown) {
            return Err(FieldError::new(&field_of("machines"), &format!("there is no machine type {machine}")));
        }
        check_positive(&field_of("cores"), pool.cores)?;
        check_not_negative(&field_of("cards"), pool.cards)?;
        check_positive(&field_of("mem_gb"), pool.mem_gb)?;
        for (name, amount) in
            [("idle_cost_per_hour", pool.idle_cost_per_hour), ("idle_budget_per_day", pool.idle_budget_per_day)]
        {
            amount.map_or(Ok(()), |amount| check_not_negative(&field_of(name), amount))?;
        }
        if pool.loads_at_a_time == 0 {
            return Err(FieldError::new(&field_of("loads_at_a_time"), "must be at least 1"));
        }
        let max_replicas = pool.max_replicas() as f64;
        if max_replicas * pool.cores > limit.0 || max_replicas * pool.cards > limit.1 {
            let reason = format!("{max_replicas} replicas are more than the limit of {}", pool.payer);
            return Err(FieldError::new(&field_of("count"), &reason));
        }
        Schedule::new(pool).map(|_| ()).map_err(|e| FieldError::new(&field_of(&e.field), &e.reason))
    }
}

/// Returns all names by which jobs may request the model: its aliases and the name of its image.
fn all_names(model: &Model) -> BTreeSet<&str> {
    model.names.iter().map(String::as_str).chain([model.image.as_str()]).collect()
}

fn check_positive(field: &str, amount: f64) -> Result<(), FieldError> {
    if amount.is_finite() && amount > 0.0 {
        Ok(())
    } else {
        Err(FieldError::new(field, &format!("must be above 0, is {amount}")))
    }
}

fn check_not_negative(field: &str, amount: f64) -> Result<(), FieldError> {
    if amount.is_finite() && amount >= 0.0 {
        Ok(())
    } else {
        Err(FieldError::new(field, &format!("must be 0 or more, is {amount}")))
    }
}
