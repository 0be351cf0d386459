//! Checks of what the types of settings can't say; the error is one line naming the field.

use super::{Operator, Settings, StateLimits};
use std::collections::HashSet;

fn positive(name: &str, v: f64) -> Result<(), String> {
    if v.is_finite() && v > 0.0 { Ok(()) } else { Err(format!("{name}: must be above 0, is {v}")) }
}

fn not_negative(name: &str, v: f64) -> Result<(), String> {
    if v.is_finite() && v >= 0.0 { Ok(()) } else { Err(format!("{name}: must be 0 or more, is {v}")) }
}

/// Checks what the types cannot say.
pub fn check_settings(s: &Settings) -> Result<(), String> {
    if s.node.is_empty() {
        return Err("node: must not be empty".into());
    }
    let mut names: HashSet<&str> = HashSet::from([s.node.as_str()]);
    for seed in &s.seeds {
        if !names.insert(&seed.node) {
            return Err(format!("seeds.node: {} appears twice", seed.node));
        }
    }
    let p = &s.params;
    if p.zones.is_empty() {
        return Err("params.zones: must name a zone".into());
    }
    if !p.zones.contains(&s.site) {
        return Err(format!("site: {} is not among params.zones", s.site));
    }
    not_negative("params.time_bound_ms", p.time_bound_ms)?;
    if p.teams.is_empty() {
        return Err("params.teams: must name a team".into());
    }
    let mut teams = HashSet::new();
    for t in &p.teams {
        if !teams.insert(&t.name) {
            return Err(format!("params.teams.name: {} appears twice", t.name));
        }
        for (field, v, max) in [("cpus", t.cpus, t.cpus_max), ("gpus", t.gpus, t.gpus_max)] {
            not_negative(&format!("params.teams.{field} of {}", t.name), v)?;
            not_negative(&format!("params.teams.{field}_max of {}", t.name), max)?;
            if max > 0.0 && v > max {
                return Err(format!("params.teams.{field} of {}: above {field}_max", t.name));
            }
        }
    }
    for o in &p.objectives {
        for (field, v) in [("within_s", o.within_s), ("share", o.share)] {
            if let Some(v) = v {
                not_negative(&format!("params.objectives.{field}"), v)?;
            }
        }
    }
    let w = &p.workers;
    positive("params.workers.report_s", w.report_s)?;
    positive("params.workers.lease_s", w.lease_s)?;
    positive("params.workers.gang_wait_s", w.gang_wait_s)?;
    positive("params.workers.gang_peer_s", w.gang_peer_s)?;
    positive("params.workers.cancel_s", w.cancel_s)?;
    if w.lease_s < 2.0 * w.report_s {
        return Err("params.workers.lease_s: must be at least twice report_s".into());
    }
    check_state_limits(&p.state)?;
    positive("params.cloud.rps", p.cloud.rps)?;
    not_negative("params.cloud.list_lag_s", p.cloud.list_lag_s)?;
    if p.limits.max_sockets < 16 {
        return Err("params.limits.max_sockets: must be at least 16".into());
    }
    if let Some(memory_mb) = p.limits.memory_mb {
        positive("params.limits.memory_mb", memory_mb)?;
    }
    if let Some(share) = p.limits.core_share {
        positive("params.limits.core_share", share)?;
    }
    Ok(())
}

/// A partition is taken with so many changes in one commit.
const LEAST_TXN_OPS: usize = 2;

fn check_state_limits(limits: &StateLimits) -> Result<(), String> {
    let next = limits.next.unwrap_or_default();
    let amounts = [
        ("rps", Some(limits.rps), next.rps),
        ("write_rps", Some(limits.write_rps), next.write_rps),
        ("value_kb", Some(limits.value_kb), next.value_kb),
    ];
    for (field, present, next) in amounts {
        for (table, amount) in [("params.state", present), ("params.state.next", next)] {
            amount.map_or(Ok(()), |amount| positive(&format!("{table}.{field}"), amount))?;
        }
    }
    for (table, changes) in [("params.state", Some(limits.txn_ops)), ("params.state.next", next.txn_ops)] {
        if changes.is_some_and(|changes| changes < LEAST_TXN_OPS) {
            return Err(format!("{table}.txn_ops: must be at least {LEAST_TXN_OPS}"));
        }
    }
    Ok(())
}

/// The same of the operators' settings.
pub fn check_operator(o: &Operator) -> Result<(), String> {
    positive("bin_width_s", o.bin_width_s)?;
    positive("default_deadline_s", o.default_deadline_s)?;
    not_negative("idle_keep", o.idle_keep)?;
    not_negative("headroom", o.headroom)?;
    if o.partitions == 0 { Err("partitions: must be at least 1".into()) } else { Ok(()) }
}
