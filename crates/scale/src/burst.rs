//! Burst of requests to one model: users submit replicas, requests arrive in a short time, and each is
//! answered by the first replica that can. The pool's bill is compared with the account of the workers.

use crate::names::{leak, team_name};
use crate::plan::RegionPlan;
use crate::results::BurstResult;
use crate::scenario::Burst;
use badgerdrift::transport::network::Net;
use badgerdrift::transport::peer::{Peer, PeerRequest, PeerResponse, PeerTimeouts};
use badgerdrift::warm_pools::{BillRow, WarmPoolsRequest, WarmPoolsResponse};
use badgerdrift_stand_ins::ground::SimulationContext;
use badgerdrift_stand_ins::machines::MODEL_PATH;
use badgerdrift_stand_ins::users;
use badgerdrift_stand_ins::world::{Job, secs};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Number of the burst's image among the simulated images.
const BURST_IMAGE_NUMBER: u32 = 900;
/// First number of the burst's jobs, above those of all other jobs.
const FIRST_JOB: usize = 900_000;
/// Pause before an unanswered request is sent again.
const RETRY: Duration = Duration::from_millis(20);
/// Time limit of one attempt.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(2);
/// Time limit for the answer with the bill.
const BILL_LIMIT: Duration = Duration::from_secs(3);
/// First and last date of the bill, which include every day.
const ALL_DAYS: [&str; 2] = ["0001-01-01", "9999-12-31"];
const MS_PER_S: f64 = 1000.0;

/// A running burst.
pub struct BurstRun {
    context: SimulationContext,
    has_pool: bool,
    requests: usize,
    answered_ms: Arc<Mutex<Vec<u32>>>,
    ready_before: Arc<Mutex<usize>>,
}

/// Starts the burst of a region, if the scenario has one.
pub fn start(context: &SimulationContext, plan: &RegionPlan) -> BurstRun {
    let run = BurstRun {
        context: context.clone(),
        has_pool: plan.scenario.warm_pool.is_some(),
        requests: plan.scenario.burst.as_ref().map_or(0, |burst| burst.requests),
        answered_ms: Arc::default(),
        ready_before: Arc::default(),
    };
    if let Some(burst) = plan.scenario.burst.clone() {
        let (context, answered, ready) = (context.clone(), run.answered_ms.clone(), run.ready_before.clone());
        let (seed, teams) = (plan.seed, plan.scenario.teams.count);
        tokio::spawn(async move {
            sleep(secs(burst.at_s)).await;
            *ready.lock().unwrap() = context.world.lock().unwrap().ready_slots();
            submit_replicas(&context, &burst, teams, seed);
            send_requests(&context, &burst, &answered);
        });
    }
    run
}

/// Submits the replicas as users of all teams in turn, one each.
fn submit_replicas(context: &SimulationContext, burst: &Burst, teams: usize, seed: u64) {
    for number in 0..burst.replicas {
        let mut job = Job::new(&format!("run-{:06}", FIRST_JOB + number), "service", 1);
        job.team = leak(team_name(number % teams));
        job.urgency = "urgent";
        (job.cores, job.cards, job.mem_gb) = (burst.cores, burst.cards, burst.mem_gb);
        job.bundle = BURST_IMAGE_NUMBER;
        let id = job.id.clone();
        context.world.lock().unwrap().jobs.insert(id.clone(), job);
        tokio::spawn(users::user(context.clone(), id, seed.wrapping_add(number as u64)));
    }
}

/// Sends the requests at even intervals, independently of one another.
fn send_requests(context: &SimulationContext, burst: &Burst, answered: &Arc<Mutex<Vec<u32>>>) {
    let begin = Instant::now();
    for number in 0..burst.requests {
        let at = begin + secs(burst.over_s * number as f64 / burst.requests as f64);
        let (context, answered) = (context.clone(), answered.clone());
        tokio::spawn(async move {
            sleep_until(at).await;
            until_answered(&context, number).await;
            answered.lock().unwrap().push(at.elapsed().as_millis() as u32);
        });
    }
}

/// Sends a request to the ready replicas in turn until one answers.
async fn until_answered(context: &SimulationContext, number: usize) {
    let path = format!("{MODEL_PATH}{BURST_IMAGE_NUMBER}");
    loop {
        let replicas = context.world.lock().unwrap().answering(BURST_IMAGE_NUMBER);
        if let Some(replica) = replicas.get(number % replicas.len().max(1)) {
            let answer = context.user.call(*replica, "POST", &path, Some(b"{}"), ATTEMPT_LIMIT).await;
            if matches!(answer, Ok((200, _))) {
                return;
            }
        }
        sleep(RETRY).await;
    }
}

impl BurstRun {
    /// Returns the result until now, with the bill of the first controller that answers.
    pub async fn finish(self, plan: &RegionPlan) -> BurstResult {
        let (account, answered_ms) = {
            let world = self.context.world.lock().unwrap();
            (world.slot_account(), self.answered_ms.lock().unwrap().clone())
        };
        let mut result = BurstResult {
            unanswered: self.requests - answered_ms.len(),
            answered_ms,
            ready_before: *self.ready_before.lock().unwrap(),
            loaded: account.loaded,
            attached: account.attached,
            ..BurstResult::default()
        };
        if !self.has_pool {
            return result;
        }
        result.seen.entry(team_name(0)).or_default().idle_s = account.idle_s;
        for (team, claimed_s) in account.claimed_s {
            result.seen.entry(team.into()).or_default().claimed_s = claimed_s;
        }
        for row in read_bill(plan).await {
            let billed = result.billed.entry(row.team).or_default();
            billed.idle_s += row.total.idle_ms as f64 / MS_PER_S;
            billed.claimed_s += row.total.claimed_ms as f64 / MS_PER_S;
        }
        result
    }
}

async fn read_bill(plan: &RegionPlan) -> Vec<BillRow> {
    let [from, to] = ALL_DAYS.map(String::from);
    let request = PeerRequest::Pools(WarmPoolsRequest::Bill { from, to, team: None });
    for number in 0..plan.scenario.controllers_per_region {
        let limits = PeerTimeouts::for_leader_lease(BILL_LIMIT.as_millis() as u64);
        let address = plan.networks().controller_internal(number);
        let peer = Peer::start_on(Net::default(), address.to_string(), address, limits);
        if let Some(PeerResponse::Pools(WarmPoolsResponse::Bill(rows))) =
            peer.request(request.clone(), BILL_LIMIT).await
        {
            return rows;
        }
    }
    Vec::new()
}
