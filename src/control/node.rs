//! Assembly and start of a controller node.

use crate::api::ended_jobs::EndedJobs;
use crate::api::{Api, RouteHints};
use crate::clients::job_reads::JobReads;
use crate::clients::request_budget::RequestBudget;
use crate::clients::{Cloud, StateStore, Worker};
use crate::configuration::{self, FleetSettings};
use crate::control::membership::{
    self, ElectionActor, FailoverOrder, LeaderLease, LeaderStatus, LeadershipChange, PledgeStatus,
};
use crate::control::partition_leader::{self, PartitionLeader};
use crate::control::router::{PartitionHandle, Router};
use crate::runtime::metrics::SharedMetrics;
use crate::runtime::{clock, task};
use crate::scheduling::Policy;
use crate::settings::bounds::{Bounds, LEADER_QUEUE_CAPACITY};
use crate::settings::{OperatorSettings, Seed, Settings};
use crate::transport::http;
use crate::transport::network::{Listener, Net};
use crate::transport::peer::{self, Peer, PeerTimeouts};
use badgerdrift_borrowing::BorrowingSettings;
use badgerdrift_warm_pools::PoolSettings;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Largest number of changes of leadership that are queued for a partition's actor.
const LEADERSHIP_CHANGE_QUEUE_CAPACITY: usize = 8;
/// Largest number of messages that are queued for an election actor.
const ELECTION_QUEUE_CAPACITY: usize = 256;

/// Optional subsystems of a controller; each is enabled by a file of its own.
#[derive(Debug, Clone, Default)]
pub struct Subsystems {
    /// Settings of the configuration that the regions of a fleet share; `None` outside a fleet.
    pub fleet: Option<FleetSettings>,
    /// Settings of the warm pools; `None` without pools.
    pub warm_pools: Option<PoolSettings>,
    /// Settings of the loans between teams; `None` without borrowing.
    pub borrowing: Option<BorrowingSettings>,
}

/// Runs a controller over the network of the operating system. Returns only on an error.
///
/// # Errors
///
/// Returns an error if a port cannot be opened.
pub async fn run(settings: Settings, operator: OperatorSettings, subsystems: Subsystems) -> std::io::Result<()> {
    run_on(Net::default(), settings, operator, subsystems).await
}

/// Runs a controller over the given network. Returns only on an error.
///
/// # Errors
///
/// Returns an error if a port cannot be opened.
pub async fn run_on(
    net: Net,
    settings: Settings,
    operator: OperatorSettings,
    subsystems: Subsystems,
) -> std::io::Result<()> {
    // The steady clock starts at its first use.
    clock::now_ms();
    let public_listener = net.bind(settings.serve_on).await?;
    let internal_listener = net.bind(settings.internal_addr).await?;
    tracing::info!(node = settings.node, serve_on = %settings.serve_on, "serving");

    let node = Node::new(net, settings, operator);
    let (handles, actors): (Vec<_>, Vec<_>) =
        (0..node.operator.partitions).map(|partition| node.assemble_partition(partition)).unzip();
    let router = node.router(handles, subsystems.fleet, subsystems.warm_pools.is_some());
    let pools = subsystems.warm_pools.map(Arc::new);
    let borrowing = subsystems.borrowing.map(Arc::new);
    node.start_actors(actors, &router, pools, borrowing);
    start_peer_tasks(internal_listener, &router);

    let request_timeout = Duration::from_millis(node.settings.lease_ms() / 2);
    let max_connections = Bounds::new(&node.settings).server_connections;
    let summary_interval = Duration::from_millis(node.settings.lease_ms());
    let api = node.api(router);
    task::spawn(api.answer_metrics.clone().log_summaries(summary_interval));
    let metrics = api.connection_metrics.clone();
    let handler = move |request| api.clone().handle(request);
    http::serve_counted(public_listener, max_connections, request_timeout, metrics, handler).await;
    Ok(())
}

/// Settings and clients that the parts of a controller share.
struct Node {
    net: Net,
    settings: Settings,
    operator: OperatorSettings,
    state: StateStore,
    cloud: Cloud,
    peers: Vec<Peer>,
    failover_order: FailoverOrder,
    metrics: SharedMetrics,
    led_partitions: Arc<AtomicUsize>,
}

/// Actors of a partition before they are started, with the receivers of their messages.
struct PartitionActors {
    election: ElectionActor,
    election_messages: mpsc::Receiver<membership::ElectionMessage>,
    leadership_changes: mpsc::Receiver<LeadershipChange>,
    leader_messages: mpsc::Receiver<partition_leader::PartitionMessage>,
}

impl Node {
    /// Creates the clients of the state service and the cloud, and starts those of the other controllers.
    fn new(net: Net, settings: Settings, operator: OperatorSettings) -> Node {
        let timeouts = PeerTimeouts::for_leader_lease(settings.leader_lease_ttl_ms());
        let start = |seed: &Seed| Peer::start_on(net.clone(), seed.node.clone(), seed.endpoint, timeouts);
        let failover_order = FailoverOrder::new(&settings.node, settings.seeds.iter().map(|seed| seed.node.as_str()));
        Node {
            state: StateStore::on(&net, &settings),
            cloud: Cloud::on(&net, &settings),
            peers: settings.seeds.iter().map(start).collect(),
            failover_order,
            metrics: SharedMetrics::default(),
            led_partitions: Arc::new(AtomicUsize::new(0)),
            net,
            settings,
            operator,
        }
    }

    /// Returns the number of controllers, including this one.
    fn controller_count(&self) -> usize {
        self.settings.seeds.len() + 1
    }

    /// Returns whether this node is the preferred leader of the partition. The partitions are assigned
    /// to the nodes round robin, in the order of the nodes' names.
    fn is_preferred_leader(&self, partition: u32) -> bool {
        let own_index = self.settings.seeds.iter().filter(|seed| seed.node < self.settings.node).count();
        partition as usize % self.controller_count() == own_index
    }

    /// Creates the handle and the actors of a partition.
    fn assemble_partition(&self, partition: u32) -> (PartitionHandle, PartitionActors) {
        let leader_lease_ttl_ms = self.settings.leader_lease_ttl_ms();
        let (leader_lease, pledge_status) = (LeaderLease::default(), PledgeStatus::default());
        let (leader_status_sender, leader_status) = watch::channel(LeaderStatus::default());
        let (leadership_changes_sender, leadership_changes) = mpsc::channel(LEADERSHIP_CHANGE_QUEUE_CAPACITY);
        let (election_sender, election_messages) = mpsc::channel(ELECTION_QUEUE_CAPACITY);
        let (leader_sender, leader_messages) = mpsc::channel(LEADER_QUEUE_CAPACITY);
        let has_other_preferred_leader = self.operator.partitions > 1 && !self.is_preferred_leader(partition);
        let election = ElectionActor {
            partition,
            node: self.settings.node.clone(),
            leader_lease_ttl_ms,
            lease_ms: self.settings.lease_ms(),
            state: self.state.clone(),
            peers: self.peers.clone(),
            failover_order: self.failover_order.clone(),
            leader_lease: leader_lease.clone(),
            pledge_status: pledge_status.clone(),
            leader_status: leader_status_sender,
            leadership_changes: leadership_changes_sender,
            led_partitions: self.led_partitions.clone(),
            metrics: self.metrics.clone(),
            first_campaign_delay_ms: if has_other_preferred_leader { leader_lease_ttl_ms / 5 } else { 0 },
        };
        let handle = PartitionHandle {
            leader_status,
            leader_lease,
            pledge_status,
            leader_mailbox: leader_sender,
            election_mailbox: election_sender,
        };
        (handle, PartitionActors { election, election_messages, leadership_changes, leader_messages })
    }

    /// Creates the router to these partitions, and starts the actor of the shared configuration if there
    /// is one.
    fn router(&self, handles: Vec<PartitionHandle>, fleet: Option<FleetSettings>, has_pools: bool) -> Router {
        let last_pledge_request_ms = Arc::new(handles.iter().map(|_| AtomicU64::new(0)).collect());
        let (settings, operator) = (&self.settings, &self.operator);
        let configuration = fleet.map(|fleet| {
            let (state, metrics) = (self.state.clone(), self.metrics.clone());
            configuration::start(&self.net, settings, operator, fleet, state, &self.peers, metrics)
        });
        Router {
            partitions: Arc::new(handles),
            peers: Arc::new(self.peers.clone()),
            leader_lease_ttl_ms: settings.leader_lease_ttl_ms(),
            configuration,
            bill_store: has_pools.then(|| self.state.clone()),
            last_pledge_request_ms,
        }
    }

    /// Starts the actors of all partitions: first the election actors, then the partition actors.
    fn start_actors(
        &self,
        actors: Vec<PartitionActors>,
        router: &Router,
        pools: Option<Arc<PoolSettings>>,
        borrowing: Option<Arc<BorrowingSettings>>,
    ) {
        let mut leaders = Vec::new();
        for (actors, handle) in actors.into_iter().zip(router.partitions.iter()) {
            task::spawn(actors.election.run(handle.election_mailbox.clone(), actors.election_messages));
            leaders.push((actors.leadership_changes, actors.leader_messages, handle));
        }
        for (id, (leadership_changes, messages, handle)) in (0..).zip(leaders) {
            let leader = PartitionLeader {
                id,
                settings: self.settings.clone(),
                operator: self.operator.clone(),
                pools: pools.clone(),
                borrowing: borrowing.clone(),
                state: self.state.clone(),
                cloud: self.cloud.clone(),
                worker: Worker::on(&self.net, &self.settings),
                leader_lease: handle.leader_lease.clone(),
                pledge_status: handle.pledge_status.clone(),
                election: handle.election_mailbox.clone(),
                router: router.clone(),
                own_messages: handle.leader_mailbox.clone(),
                current_epoch: Arc::new(AtomicU64::new(0)),
            };
            task::spawn(leader.run(leadership_changes, messages));
        }
    }

    /// Creates the HTTP interface for users and workers.
    fn api(self, router: Router) -> Api {
        let bounds = Bounds::new(&self.settings);
        let requests_per_s = self.settings.params.state.min_rps();
        let request_budget = RequestBudget::new(requests_per_s, self.controller_count());
        let leader_lease_ttl_ms = self.settings.leader_lease_ttl_ms();
        Api {
            job_reads: JobReads::new(self.state.clone(), request_budget.clone(), leader_lease_ttl_ms),
            request_budget,
            ended_jobs: EndedJobs::new(bounds.ended_jobs),
            answer_metrics: Default::default(),
            connection_metrics: Default::default(),
            node_metrics: self.metrics,
            router,
            partition_by_team: Arc::new(self.settings.partitions_of_teams(self.operator.partitions)),
            policy: Arc::new(Policy::new(&self.settings, &self.operator, 0)),
            limits: self.settings.write_limits(),
            route_hints: Arc::new(Mutex::new(RouteHints::new(bounds.route_hints))),
            state: self.state,
        }
    }
}

/// Starts the server for the other controllers, and the tasks that detect which frame formats they
/// speak.
fn start_peer_tasks(internal_listener: Box<dyn Listener>, router: &Router) {
    let server_router = router.clone();
    task::spawn(peer::serve(internal_listener, move |request, format| {
        let router = server_router.clone();
        async move { router.answer(request, format).await }
    }));
    for peer in router.peers.iter() {
        task::spawn(router.clone().watch_format(peer.clone()));
    }
}
