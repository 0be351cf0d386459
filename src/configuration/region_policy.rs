//! Conversion between the settings, the shared configuration and a region's scheduling policy.

use crate::model::Demand;
use crate::scheduling::{Policy, TeamRule};
use crate::settings::{OperatorSettings, Settings};
use badgerdrift_fleet_config::{
    Amount, Amounts, ConfigState, Document, OperatorDocument, RegionName, Share, TeamDocument,
};

/// Units of [`Amount`], which are thousandths, in 1.
const AMOUNT_UNITS: f64 = 1000.0;

/// Returns the documents of version 0: each region has the guarantees and limits of the settings, and the
/// fleet has their sum.
pub fn initial_documents(settings: &Settings, operator: &OperatorSettings, regions: &[RegionName]) -> Vec<Document> {
    let mut documents: Vec<Document> = Vec::new();
    for team in &settings.params.teams {
        let guarantee = Amounts { cpus: to_amount(team.cpus), gpus: to_amount(team.gpus) };
        let limit = Amounts { cpus: to_limit(team.cpus_max), gpus: to_limit(team.gpus_max) };
        let share = Share { guarantee, limit };
        let over_regions = |of_region: Amounts| Amounts::sum(regions.iter().map(|_| of_region));
        documents.push(Document::Team(TeamDocument {
            name: team.name.clone(),
            removed: false,
            guarantee: over_regions(guarantee),
            limit: over_regions(limit),
            shares: regions.iter().map(|region| (region.clone(), share)).collect(),
        }));
    }
    documents.push(Document::Operator(OperatorDocument {
        bin_width_s: operator.bin_width_s,
        default_deadline_s: operator.default_deadline_s,
        idle_keep: operator.idle_keep,
        headroom: operator.headroom,
    }));
    documents
}

/// Returns the policy of a region under the configuration: `policy` with its teams and operator values
/// replaced. Teams that are not in the configuration have no guarantee.
pub fn policy_for_region(policy: &Policy, state: &ConfigState, region: &str) -> Policy {
    let mut policy = policy.clone();
    policy.teams.clear();
    for versioned in state.documents.values() {
        match &versioned.document {
            Document::Team(team) => {
                policy.teams.insert(team.name.clone(), team_rule(team, state, region));
            }
            Document::Operator(operator_document) => {
                policy.bin_width_s = operator_document.bin_width_s;
                policy.default_deadline_s = operator_document.default_deadline_s;
                policy.idle_keep = operator_document.idle_keep;
                policy.headroom = operator_document.headroom;
            }
        }
    }
    policy
}

fn team_rule(team: &TeamDocument, state: &ConfigState, region: &str) -> TeamRule {
    let share = team.shares.get(region).copied().unwrap_or_default();
    let allowance = state.allowance(&team.name, region);
    TeamRule {
        guarantee: to_demand(share.guarantee),
        limit: to_demand(allowance.map(|allowance| allowance.limit).unwrap_or_default()),
        limit_is_final: allowance.is_some_and(|allowance| allowance.complete),
        removed: team.removed,
    }
}

fn to_demand(amounts: Amounts) -> Demand {
    Demand { cpus: to_number(amounts.cpus), gpus: to_number(amounts.gpus), mem: f64::INFINITY }
}

fn to_number(amount: Amount) -> f64 {
    if amount == Amount::UNLIMITED { f64::INFINITY } else { amount.0 as f64 / AMOUNT_UNITS }
}

fn to_amount(value: f64) -> Amount {
    Amount((value * AMOUNT_UNITS).round() as u64)
}

/// Converts a limit of the settings, in which 0 means no limit.
fn to_limit(value: f64) -> Amount {
    if value > 0.0 { to_amount(value) } else { Amount::UNLIMITED }
}
