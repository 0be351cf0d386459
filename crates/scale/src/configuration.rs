//! Changes of the shared configuration, and the times at which leaders apply them.

use crate::names::{region_name, team_name};
use crate::plan::RegionPlan;
use crate::results::ChangeResult;
use badgerdrift::configuration::{ConfigurationRequest, ConfigurationResponse};
use badgerdrift::transport::network::Net;
use badgerdrift::transport::peer::{Peer, PeerRequest, PeerResponse, PeerTimeouts};
use badgerdrift_fleet_config::{
    Amount, Amounts, Change, ChangeId, ChangeOutcome, Document, DocumentName, ReadVersion, Share, TeamDocument,
};
use badgerdrift_stand_ins::ground::SimulationContext;
use badgerdrift_stand_ins::world::secs;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

/// Time limit for the answer to a change.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);
/// Interval at which the version applied by the leader is read.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Range of a region's share after a change, in quarters of its initial share.
const SHARE_QUARTERS: std::ops::RangeInclusive<u64> = 2..=4;
const MILLI: f64 = 1000.0;

/// Changes and applied versions recorded so far.
#[derive(Clone, Default)]
pub struct ConfigurationLog(Arc<Mutex<Entries>>);

#[derive(Default)]
struct Entries {
    changes: Vec<ChangeResult>,
    applied_at_ms: Vec<(u64, u64)>,
}

impl ConfigurationLog {
    /// Takes the changes and, for each version, the time at which the leader applied it.
    pub fn take(&self) -> (Vec<ChangeResult>, Vec<(u64, u64)>) {
        let mut entries = self.0.lock().unwrap();
        (std::mem::take(&mut entries.changes), std::mem::take(&mut entries.applied_at_ms))
    }
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Starts the region's part of the changes and the observation of the versions that its leader applies.
pub fn start(context: &SimulationContext, plan: &RegionPlan) -> ConfigurationLog {
    let log = ConfigurationLog::default();
    if let Some(configuration) = &plan.scenario.configuration {
        tokio::spawn(watch_applied_versions(context.clone(), log.clone()));
        let per_s = plan.part(configuration.changes_per_s);
        if per_s > 0.0 {
            tokio::spawn(make_changes(plan.clone(), per_s, log.clone()));
        }
    }
    log
}

/// Records the time at which the leader first applied each version.
async fn watch_applied_versions(context: SimulationContext, log: ConfigurationLog) {
    let mut noted = 0;
    loop {
        sleep(POLL_INTERVAL).await;
        let version = context.world.lock().unwrap().store.value("config/obeyed")["version"].as_u64().unwrap_or(0);
        let now = now_ms();
        for version in noted + 1..=version {
            log.0.lock().unwrap().applied_at_ms.push((version, now));
        }
        noted = noted.max(version);
    }
}

async fn make_changes(plan: RegionPlan, per_s: f64, log: ConfigurationLog) {
    let mut rng = StdRng::seed_from_u64(plan.seed ^ (plan.region as u64 + 1) << 32);
    let limits = PeerTimeouts::for_leader_lease(ANSWER_LIMIT.as_millis() as u64);
    let controllers: Vec<Peer> = (0..plan.scenario.controllers_per_region)
        .map(|number| {
            let address = plan.networks().controller_internal(number);
            Peer::start_on(Net::default(), address.to_string(), address, limits)
        })
        .collect();
    sleep(secs(plan.scenario.warm_up_s)).await;
    loop {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        sleep(secs(-uniform.ln() / per_s)).await;
        let controller = controllers[rng.random_range(0..controllers.len())].clone();
        let team = team_name(rng.random_range(0..plan.scenario.teams.count));
        let document = team_document(&plan, &team, &mut rng);
        let id = ChangeId(format!("{:016x}", rng.random::<u64>()));
        let log = log.clone();
        tokio::spawn(async move {
            let asked_at_ms = now_ms();
            let version = make_change(&controller, id, &team, document).await;
            log.0.lock().unwrap().changes.push(ChangeResult { asked_at_ms, version });
        });
    }
}

/// Makes one change. Returns the version in which it was accepted; `None` if it was refused or its outcome
/// is unknown.
async fn make_change(controller: &Peer, id: ChangeId, team: &str, document: Document) -> Option<u64> {
    let name = DocumentName::Team(team.into());
    let present = match ask(controller, ConfigurationRequest::Document(name.clone())).await? {
        ConfigurationResponse::Document(present) => present?,
        _ => return None,
    };
    let change = Change {
        id,
        author: "scale run".into(),
        reason: "load".into(),
        at_ms: now_ms(),
        reads: vec![ReadVersion { document: name, version: present.version }],
        writes: vec![document],
    };
    match ask(controller, ConfigurationRequest::Apply(change)).await? {
        ConfigurationResponse::Outcome(Some(ChangeOutcome::Taken { version })) => Some(version),
        _ => None,
    }
}

async fn ask(controller: &Peer, request: ConfigurationRequest) -> Option<ConfigurationResponse> {
    match controller.request(PeerRequest::Configuration(request), ANSWER_LIMIT).await? {
        PeerResponse::Configuration(response) => Some(response),
        _ => None,
    }
}

/// Returns a random division of a team's amounts. No region gets more than its initial share, which is the
/// limit that the simulated services check.
fn team_document(plan: &RegionPlan, team: &str, rng: &mut StdRng) -> Document {
    let teams = &plan.scenario.teams;
    let amounts = |cpus: f64, gpus: f64| {
        let amount = |number: f64| Amount((plan.part(number) * MILLI).round() as u64);
        Amounts { cpus: amount(cpus), gpus: amount(gpus) }
    };
    let guarantee = amounts(teams.guaranteed_cores, teams.guaranteed_cards);
    let whole = amounts(teams.most_cores, teams.most_cards);
    let shares: Vec<Share> = (0..plan.scenario.regions)
        .map(|_| {
            let quarters = rng.random_range(SHARE_QUARTERS);
            let part = |amount: Amount| Amount(amount.0 * quarters / 4);
            Share { guarantee, limit: Amounts { cpus: part(whole.cpus), gpus: part(whole.gpus) } }
        })
        .collect();
    let unlimited = |first: f64, sum: Amount| if first > 0.0 { sum } else { Amount::UNLIMITED };
    let sum = Amounts::sum(shares.iter().map(|share| share.limit));
    Document::Team(TeamDocument {
        name: team.into(),
        removed: false,
        guarantee: Amounts::sum(shares.iter().map(|share| share.guarantee)),
        limit: Amounts { cpus: unlimited(teams.most_cores, sum.cpus), gpus: unlimited(teams.most_cards, sum.gpus) },
        shares: shares.into_iter().enumerate().map(|(region, share)| (region_name(region), share)).collect(),
    })
}
