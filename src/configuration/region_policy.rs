//! What the configuration means for one region's decisions.

use crate::model::Demand;
use crate::scheduling::{Policy, TeamRule};
use crate::settings::{Operator, Settings};
use badgerdrift_fleet_config::{
    Amount, Amounts, ConfigState, Document, OperatorDocument, RegionName, Share, TeamDocument,
};

/// Thousandths in a whole.
const MILLI: f64 = 1000.0;

/// The documents of version 0: each region has the guarantees and limits of the settings, the fleet
/// their sum.
pub fn settings_documents(settings: &Settings, operator: &Operator, regions: &[RegionName]) -> Vec<Document> {
    let mut documents: Vec<Document> = Vec::new();
    for team in &settings.params.teams {
        let guarantee = Amounts { cpus: amount(team.cpus), gpus: amount(team.gpus) };
        let limit = Amounts { cpus: limit_amount(team.cpus_max), gpus: limit_amount(team.gpus_max) };
        let share = Share { guarantee, limit };
        let times = |of_region: Amounts| Amounts::sum(regions.iter().map(|_| of_region));
        documents.push(Document::Team(TeamDocument {
            name: team.name.clone(),
            removed: false,
            guarantee: times(guarantee),
            limit: times(limit),
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

/// The policy of a region under the configuration. Teams that are not known any more have no
/// guarantee.
pub fn policy_of(policy: &Policy, state: &ConfigState, region: &str) -> Policy {
    let mut policy = policy.clone();
    policy.teams.clear();
    for versioned in state.documents.values() {
        match &versioned.document {
            Document::Team(team) => {
                policy.teams.insert(team.name.clone(), team_rule(team, state, region));
            }
            Document::Operator(figures) => {
                policy.bin_width_s = figures.bin_width_s;
                policy.default_deadline_s = figures.default_deadline_s;
                policy.idle_keep = figures.idle_keep;
                policy.headroom = figures.headroom;
            }
        }
    }
    policy
}

fn team_rule(team: &TeamDocument, state: &ConfigState, region: &str) -> TeamRule {
    let share = team.shares.get(region).copied().unwrap_or_default();
    let allowance = state.allowance(&team.name, region);
    TeamRule {
        guarantee: demand(share.guarantee),
        limit: demand(allowance.map(|allowance| allowance.limit).unwrap_or_default()),
        settled: allowance.is_some_and(|allowance| allowance.complete),
        removed: team.removed,
    }
}

fn demand(amounts: Amounts) -> Demand {
    Demand { cpus: number(amounts.cpus), gpus: number(amounts.gpus), mem: f64::INFINITY }
}

fn number(amount: Amount) -> f64 {
    if amount == Amount::UNLIMITED { f64::INFINITY } else { amount.0 as f64 / MILLI }
}

fn amount(number: f64) -> Amount {
    Amount((number * MILLI).round() as u64)
}

/// 0 in the settings means no limit.
fn limit_amount(number: f64) -> Amount {
    if number > 0.0 { amount(number) } else { Amount::UNLIMITED }
}
