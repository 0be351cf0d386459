//! Puts a controller together and runs it.

use crate::api::ended_jobs::EndedJobs;
use crate::api::{Api, RouteHints};
use crate::clients::job_reads::JobReads;
use crate::clients::request_budget::RequestBudget;
use crate::clients::{Cloud, StateStore, Worker};
use crate::configuration::{self, FleetSettings};
use crate::control::membership::{ElectionActor, FailoverOrder, LeaderLease, LeaderStatus, PledgeStatus};
use crate::control::partition_leader::PartitionLeader;
use crate::control::router::{PartitionHandle, Router};
use crate::runtime::metrics::SharedMetrics;
use crate::runtime::{clock, task};
use crate::scheduling::Policy;
use crate::settings::bounds::{Bounds, QUEUED_FOR_LEADER};
use crate::settings::{Operator, Seed, Settings};
use crate::transport::http;
use crate::transport::network::Net;
use crate::transport::peer::{self, Peer, PeerTimeouts};
use badgerdrift_borrowing::BorrowingSettings;
use badgerdrift_warm_pools::PoolSettings;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Parts of a controller that operators switch on with a file each.
#[derive(Debug, Clone, Default)]
pub struct Subsystems {
    /// The configuration that the regions of a fleet share.
    pub fleet: Option<FleetSettings>,
    /// Pools of warm replicas.
    pub warm_pools: Option<PoolSettings>,
    /// Loans between teams.
    pub borrowing: Option<BorrowingSettings>,
}

/// Serves for ever; an error means that a port can't be opened.
pub async fn run(settings: Settings, operator: Operator, subsystems: Subsystems) -> std::io::Result<()> {
    run_on(Net::default(), settings, operator, subsystems).await
}

/// The same over a given network.
pub async fn run_on(net: Net, settings: Settings, operator: Operator, subsystems: Subsystems) -> std::io::Result<()> {
    clock::now_ms();
    let users = net.bind(settings.serve_on).await?;
    let internal = net.bind(settings.internal_addr).await?;
    tracing::info!(node = settings.node, serve_on = %settings.serve_on, "serving");

    let leader_lease_ttl_ms = settings.leader_lease_ttl_ms();
    let state = StateStore::on(&net, &settings);
    let cloud = Cloud::on(&net, &settings);
    let bounds = Bounds::new(&settings);
    let limits = PeerTimeouts::for_leader_lease(leader_lease_ttl_ms);
    let start = |s: &Seed| Peer::start_on(net.clone(), s.node.clone(), s.endpoint, limits);
    let peers: Vec<Peer> = settings.seeds.iter().map(start).collect();

    let led_partitions = Arc::new(AtomicUsize::new(0));
    let metrics = SharedMetrics::default();
    let failover_order = FailoverOrder::new(&settings.node, settings.seeds.iter().map(|s| s.node.as_str()));
    let mut nodes: Vec<&str> = settings.seeds.iter().map(|s| s.node.as_str()).collect();
    nodes.push(&settings.node);
    nodes.sort_unstable();
    let own = nodes.iter().position(|n| *n == settings.node).unwrap_or(0);

    let mut handles = Vec::new();
    let mut members = Vec::new();
    let mut leaders = Vec::new();
    for partition in 0..operator.partitions {
        let (leader_lease, pledge_status) = (LeaderLease::default(), PledgeStatus::default());
        let (leader_status_tx, leader_status) = watch::channel(LeaderStatus::default());
        let (leadership_changes_tx, leadership_changes) = mpsc::channel(8);
        let (members_tx, members_rx) = mpsc::channel(256);
        let (leader_tx, leader_rx) = mpsc::channel(QUEUED_FOR_LEADER);
        let ours = partition as usize % nodes.len() == own;
        let election = ElectionActor {
            partition,
            node: settings.node.clone(),
            leader_lease_ttl_ms,
            lease_ms: settings.lease_ms(),
            state: state.clone(),
            peers: peers.clone(),
            failover_order: failover_order.clone(),
            leader_lease: leader_lease.clone(),
            pledge_status: pledge_status.clone(),
            leader_status: leader_status_tx,
            leadership_changes: leadership_changes_tx,
            led_partitions: led_partitions.clone(),
            metrics: metrics.clone(),
            first_campaign_delay_ms: if operator.partitions > 1 && !ours { leader_lease_ttl_ms / 5 } else { 0 },
        };
        members.push((election, members_tx.clone(), members_rx));
        leaders.push((leadership_changes, leader_rx));
        handles.push(PartitionHandle {
            leader_status,
            leader_lease,
            pledge_status,
            leader: leader_tx,
            election: members_tx,
        });
    }
    let last_pledge_request_ms = Arc::new((0..operator.partitions).map(|_| AtomicU64::new(0)).collect());
    let pools = subsystems.warm_pools.map(Arc::new);
    let borrowing = subsystems.borrowing.map(Arc::new);
    let bills = pools.is_some().then(|| state.clone());
    let configuration = subsystems
        .fleet
        .map(|fleet| configuration::start(&net, &settings, &operator, fleet, state.clone(), &peers, metrics.clone()));
    let router = Router {
        partitions: Arc::new(handles),
        peers: Arc::new(peers),
        leader_lease_ttl_ms,
        configuration,
        bills,
        last_pledge_request_ms,
    };
    for (election, tx, rx) in members {
        task::spawn(election.run(tx, rx));
    }
    for (id, (leadership_changes, rx)) in (0..).zip(leaders) {
        let handle = &router.partitions[id as usize];
        let leader = PartitionLeader {
            id,
            settings: settings.clone(),
            operator: operator.clone(),
            pools: pools.clone(),
            borrowing: borrowing.clone(),
            state: state.clone(),
            cloud: cloud.clone(),
            worker: Worker::on(&net, &settings),
            leader_lease: handle.leader_lease.clone(),
            pledge_status: handle.pledge_status.clone(),
            election: handle.election.clone(),
            router: router.clone(),
            tx: handle.leader.clone(),
            current_epoch: Arc::new(AtomicU64::new(0)),
        };
        task::spawn(leader.run(leadership_changes, rx));
    }

    let for_peers = router.clone();
    task::spawn(peer::serve(internal, move |request, format| {
        let router = for_peers.clone();
        async move { router.answer(request, format).await }
    }));
    for peer in router.peers.iter() {
        task::spawn(router.clone().watch_format(peer.clone()));
    }
    let teams = Arc::new(settings.partitions_of_teams(operator.partitions));
    let policy = Arc::new(Policy::new(&settings, &operator, 0));
    let limits = settings.write_limits();
    let request_budget = RequestBudget::new(settings.params.state.least_rps(), nodes.len());
    let job_reads = JobReads::new(state.clone(), request_budget.clone(), leader_lease_ttl_ms);
    let api = Api {
        state,
        job_reads,
        request_budget,
        ended_jobs: EndedJobs::new(bounds.ended_jobs),
        metrics: Default::default(),
        node_metrics: metrics,
        router,
        teams,
        policy,
        limits,
        route_hints: Arc::new(Mutex::new(RouteHints::new(bounds.route_hints))),
    };
    let patience = Duration::from_millis(settings.lease_ms() / 2);
    http::serve(users, bounds.server_connections, patience, move |req| api.clone().handle(req)).await;
    Ok(())
}
