//! Checks of settings beyond their types. The first invalid field is reported.

use super::errors::{Fault, FieldError};
use super::{Limits, Objective, OperatorSettings, Settings, StateLimits, Team, Workers};
use std::collections::HashSet;

/// Minimum number of sockets with which a controller works.
const MIN_SOCKETS: usize = 16;
/// Minimum number of changes in one commit: acquiring the leader lease of a partition takes two.
const MIN_TXN_OPS: usize = 2;

/// Checks the platform's settings.
///
/// # Errors
///
/// Returns the first invalid field with the reason.
pub fn check_settings(settings: &Settings) -> Result<(), FieldError> {
    let params = &settings.params;
    check_names(settings)?;
    check_not_negative("params.time_bound_ms", params.time_bound_ms)?;
    check_teams(&params.teams)?;
    check_objectives(&params.objectives)?;
    check_workers(&params.workers)?;
    check_state_limits(&params.state)?;
    check_positive("params.cloud.rps", params.cloud.rps)?;
    check_not_negative("params.cloud.list_lag_s", params.cloud.list_lag_s)?;
    check_limits(&params.limits)
}

/// Checks the operators' settings.
///
/// # Errors
///
/// Returns the first invalid field with the reason.
pub fn check_operator(operator: &OperatorSettings) -> Result<(), FieldError> {
    check_positive("bin_width_s", operator.bin_width_s)?;
    check_positive("default_deadline_s", operator.default_deadline_s)?;
    check_not_negative("idle_keep", operator.idle_keep)?;
    check_not_negative("headroom", operator.headroom)?;
    if operator.partitions == 0 {
        return Err(FieldError::new("partitions", Fault::BelowMinimum(1)));
    }
    Ok(())
}

fn check_positive(field: &str, value: f64) -> Result<(), FieldError> {
    if value.is_finite() && value > 0.0 { Ok(()) } else { Err(FieldError::new(field, Fault::NotPositive(value))) }
}

fn check_not_negative(field: &str, value: f64) -> Result<(), FieldError> {
    if value.is_finite() && value >= 0.0 { Ok(()) } else { Err(FieldError::new(field, Fault::Negative(value))) }
}

/// Checks that the names of the controllers are unique and that the zone of this controller is listed.
fn check_names(settings: &Settings) -> Result<(), FieldError> {
    if settings.node.is_empty() {
        return Err(FieldError::new("node", Fault::Empty));
    }
    let mut nodes: HashSet<&str> = HashSet::from([settings.node.as_str()]);
    if let Some(seed) = settings.seeds.iter().find(|seed| !nodes.insert(&seed.node)) {
        return Err(FieldError::new("seeds.node", Fault::Duplicate(seed.node.clone())));
    }
    let zones = &settings.params.zones;
    if zones.is_empty() {
        return Err(FieldError::new("params.zones", Fault::EmptyList("a zone")));
    }
    if !zones.contains(&settings.site) {
        let fault = Fault::NotInList { name: settings.site.clone(), list: "params.zones" };
        return Err(FieldError::new("site", fault));
    }
    Ok(())
}

fn check_teams(teams: &[Team]) -> Result<(), FieldError> {
    if teams.is_empty() {
        return Err(FieldError::new("params.teams", Fault::EmptyList("a team")));
    }
    let mut names = HashSet::new();
    for team in teams {
        if !names.insert(&team.name) {
            return Err(FieldError::new("params.teams.name", Fault::Duplicate(team.name.clone())));
        }
        for (resource, guarantee, limit) in [("cpus", team.cpus, team.cpus_max), ("gpus", team.gpus, team.gpus_max)] {
            let field = format!("params.teams.{resource} of {}", team.name);
            check_not_negative(&field, guarantee)?;
            check_not_negative(&format!("params.teams.{resource}_max of {}", team.name), limit)?;
            if limit > 0.0 && guarantee > limit {
                return Err(FieldError::new(field, Fault::AboveLimit { limit: format!("{resource}_max") }));
            }
        }
    }
    Ok(())
}

fn check_objectives(objectives: &[Objective]) -> Result<(), FieldError> {
    for objective in objectives {
        for (field, value) in [("within_s", objective.within_s), ("share", objective.share)] {
            if let Some(value) = value {
                check_not_negative(&format!("params.objectives.{field}"), value)?;
            }
        }
    }
    Ok(())
}

fn check_workers(workers: &Workers) -> Result<(), FieldError> {
    check_positive("params.workers.report_s", workers.report_s)?;
    check_positive("params.workers.lease_s", workers.lease_s)?;
    check_positive("params.workers.gang_wait_s", workers.gang_wait_s)?;
    check_positive("params.workers.gang_peer_s", workers.gang_peer_s)?;
    check_positive("params.workers.cancel_s", workers.cancel_s)?;
    if workers.lease_s < 2.0 * workers.report_s {
        return Err(FieldError::new("params.workers.lease_s", Fault::BelowTwice("report_s")));
    }
    Ok(())
}

fn check_state_limits(limits: &StateLimits) -> Result<(), FieldError> {
    let next = limits.next.unwrap_or_default();
    let amounts = [
        ("rps", Some(limits.rps), next.rps),
        ("write_rps", Some(limits.write_rps), next.write_rps),
        ("value_kb", Some(limits.value_kb), next.value_kb),
    ];
    for (field, present, next) in amounts {
        for (table, amount) in [("params.state", present), ("params.state.next", next)] {
            amount.map_or(Ok(()), |amount| check_positive(&format!("{table}.{field}"), amount))?;
        }
    }
    for (table, changes) in [("params.state", Some(limits.txn_ops)), ("params.state.next", next.txn_ops)] {
        if changes.is_some_and(|changes| changes < MIN_TXN_OPS) {
            return Err(FieldError::new(format!("{table}.txn_ops"), Fault::BelowMinimum(MIN_TXN_OPS)));
        }
    }
    Ok(())
}

fn check_limits(limits: &Limits) -> Result<(), FieldError> {
    if limits.max_sockets < MIN_SOCKETS {
        return Err(FieldError::new("params.limits.max_sockets", Fault::BelowMinimum(MIN_SOCKETS)));
    }
    if let Some(memory_mb) = limits.memory_mb {
        check_positive("params.limits.memory_mb", memory_mb)?;
    }
    if let Some(core_share) = limits.core_share {
        check_positive("params.limits.core_share", core_share)?;
    }
    Ok(())
}
