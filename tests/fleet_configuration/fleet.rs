//! The deployment of these tests: three regions with two controllers and a state service each.

use badgerdrift::configuration::{
    AppliedConfiguration, ConfigurationRequest, ConfigurationResponse, FleetSettings, LogEntry, RegionAddresses,
    RegionCondition, RegionStatus, initial_documents,
};
use badgerdrift::control::node;
use badgerdrift::control::node::Subsystems;
use badgerdrift::runtime::{clock, task};
use badgerdrift::settings::{OperatorSettings, Settings};
use badgerdrift::transport::http::{self, Request, Response};
use badgerdrift::transport::peer::{Peer, PeerRequest, PeerResponse, PeerTimeouts};
use badgerdrift_fleet_config::{
    Amount, Amounts, Change, ChangeId, ChangeOutcome, ConfigState, Document, DocumentName, ReadVersion, Share,
    TeamDocument,
};
use badgerdrift_stand_ins::net::{Cut, SimulatedNetwork};
use badgerdrift_stand_ins::pause::Pause;
use badgerdrift_stand_ins::store::{Store, query};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Number of regions.
pub const REGIONS: usize = 3;
/// Number of controllers in each region.
pub const CONTROLLERS: usize = 2;
/// CPUs that each team may use in each region at first.
pub const FIRST_SHARE: f64 = 10.0;
/// Maximum time, in seconds, until a change is in force in all regions.
pub const IN_FORCE_S: f64 = 5.0;
/// Teams of the settings.
const TEAMS: [&str; 2] = ["red", "blue"];
/// Request timeout of the state services.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Wall clock time at which each scenario starts, in milliseconds since the Unix epoch.
const START_WALL_MS: u64 = 1_800_000_000_000;
/// Amounts of the configuration are in thousandths of a CPU.
const MILLI: f64 = 1000.0;

/// Controllers of several regions, and their state services.
pub struct Fleet {
    network: SimulatedNetwork,
    stores: Vec<Arc<Mutex<Store>>>,
    /// Process number of each controller, `None` for those that do not run.
    processes: Vec<[Option<u64>; CONTROLLERS]>,
    /// Handles by which controllers are paused.
    pauses: Vec<[Arc<Pause>; CONTROLLERS]>,
    /// Operators' connections to each controller.
    operators: Vec<Vec<Peer>>,
    /// Number of changes made so far, from which their identifiers follow.
    changes: u64,
    /// Whether the controllers share a configuration between regions.
    pub shared: bool,
    /// Log entries read so far.
    known: Mutex<KnownHistory>,
}

/// Entries of the regions' logs that were read so far.
struct KnownHistory {
    logs: Vec<Vec<LogEntry>>,
    /// Configuration of each version, indexed by version.
    states: Vec<ConfigState>,
}

impl KnownHistory {
    fn new() -> KnownHistory {
        let names: Vec<String> = (0..REGIONS).map(region_name).collect();
        let documents = initial_documents(&settings(0, 0), &OperatorSettings::default(), &names);
        KnownHistory { logs: vec![Vec::new(); REGIONS], states: vec![ConfigState::initial(names, documents)] }
    }

    /// Adds an entry of a region's log, and asserts that no version is left out and that all regions have the same
    /// entries.
    fn add(&mut self, region: usize, entry: LogEntry) {
        self.logs[region].push(entry.clone());
        let version = self.logs[region].len();
        assert_eq!(entry.version, version as u64, "the log of region {region} skips a version");
        match self.logs.iter().find_map(|log| log.get(version - 1)) {
            Some(known) if *known != entry => panic!(
                "version {version} in region {region} differs from that of another region: {entry:?}, expected {known:?}"
            ),
            _ if version == self.states.len() => {
                let mut state = self.states[version - 1].clone();
                state.apply(&entry.batch);
                self.states.push(state);
            }
            _ => {}
        }
    }
}

/// Address of a host: `kind` is 0 for controllers, 1 for the state service and 2 for the cloud.
fn host(region: usize, kind: u8, number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 20 + region as u8, kind, number as u8 + 1))
}

pub fn region_name(region: usize) -> String {
    format!("region-{region}")
}

fn internal(region: usize, controller: usize) -> SocketAddr {
    SocketAddr::new(host(region, 0, controller), 81)
}

fn fleet_settings(region: usize) -> FleetSettings {
    let addresses =
        |region| RegionAddresses { controllers: (0..CONTROLLERS).map(|number| internal(region, number)).collect() };
    FleetSettings {
        region: region_name(region),
        regions: (0..REGIONS).map(|region| (region_name(region), addresses(region))).collect(),
    }
}

fn settings(region: usize, controller: usize) -> Settings {
    let mut text = format!(
        "node = \"n{controller}\"\nsite = \"a\"\nserve_on = \"{0}:80\"\ninternal_addr = \"{0}:81\"\n",
        host(region, 0, controller)
    );
    for other in (0..CONTROLLERS).filter(|other| *other != controller) {
        text += &format!("[[seeds]]\nnode = \"n{other}\"\nsite = \"a\"\nendpoint = \"{}\"\n", internal(region, other));
    }
    text += &format!("[endpoints]\ncloud = \"{}:80\"\nstate = \"{}:80\"\n", host(region, 2, 0), host(region, 1, 0));
    text += "[params]\nzones = [\"a\"]\n";
    for team in TEAMS {
        text += &format!("[[params.teams]]\nname = \"{team}\"\ncpus = 2.0\ncpus_max = {FIRST_SHARE:?}\n");
    }
    text +=
        "[params.workers]\nreport_s = 1.0\nlease_s = 10.0\ngang_wait_s = 10.0\ngang_peer_s = 4.0\ncancel_s = 12.0\n";
    text += "[params.state]\nrps = 500.0\nwrite_rps = 100.0\nvalue_kb = 32.0\ntxn_ops = 12\n";
    text += "[params.cloud]\nrps = 20.0\nlist_lag_s = 2.0\n[params.limits]\nmax_sockets = 400\n";
    toml::from_str(&text).unwrap()
}

async fn state_service(store: Arc<Mutex<Store>>, request: Request) -> Response {
    sleep(Duration::from_millis(3)).await;
    if !request.path.starts_with("/changes") {
        return store.lock().unwrap().handle(&request);
    }
    let parts = query(&request.path);
    let until = Instant::now() + Duration::from_millis(parts["hold_ms"].parse().unwrap());
    loop {
        if let Some(response) = store.lock().unwrap().changes(&parts, Instant::now() > until) {
            return response;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Runs a scenario of a fleet in simulated time. `shared` says whether the regions share a configuration.
pub fn simulate<F: Future<Output = ()>>(seed: u64, shared: bool, script: impl FnOnce(Fleet) -> F + Send) {
    let run = || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
        runtime.block_on(async { script(Fleet::new(seed, shared)).await });
    };
    if let Err(panic) = std::thread::scope(|scope| scope.spawn(run).join()) {
        std::panic::resume_unwind(panic);
    }
}

impl Fleet {
    fn new(seed: u64, shared: bool) -> Fleet {
        clock::simulate_wall(START_WALL_MS, true);
        let network = SimulatedNetwork::new(seed);
        let stores: Vec<Arc<Mutex<Store>>> = (0..REGIONS).map(|_| Arc::default()).collect();
        let operator_net = network.process(IpAddr::V4(Ipv4Addr::new(10, 9, 0, 1))).0;
        let limits = PeerTimeouts::for_leader_lease(5000);
        let peer =
            |region, number| Peer::start_on(operator_net.clone(), "operator".into(), internal(region, number), limits);
        let mut fleet = Fleet {
            operators: (0..REGIONS)
                .map(|region| (0..CONTROLLERS).map(|number| peer(region, number)).collect())
                .collect(),
            network,
            stores,
            processes: vec![[None; CONTROLLERS]; REGIONS],
            pauses: (0..REGIONS).map(|_| Default::default()).collect(),
            changes: 0,
            shared,
            known: Mutex::new(KnownHistory::new()),
        };
        for region in 0..REGIONS {
            fleet.start_state_service(region);
            (0..CONTROLLERS).for_each(|controller| fleet.start(region, controller));
        }
        fleet
    }

    fn start_state_service(&self, region: usize) {
        let address = host(region, 1, 0);
        let (net, store) = (self.network.process(address).0, self.stores[region].clone());
        tokio::spawn(async move {
            let listener = net.bind(SocketAddr::new(address, 80)).await.unwrap();
            http::serve(listener, 500, REQUEST_TIMEOUT, move |request| state_service(store.clone(), request)).await;
        });
    }

    // ---- actions and faults ----

    /// Starts a controller, unless it runs.
    pub fn start(&mut self, region: usize, controller: usize) {
        if self.processes[region][controller].is_some() {
            return;
        }
        let (net, process) = self.network.process(host(region, 0, controller));
        self.processes[region][controller] = Some(process);
        self.pauses[region][controller] = Arc::default();
        let fleet = self.shared.then(|| fleet_settings(region));
        let subsystems = Subsystems { fleet, ..Subsystems::default() };
        let controller_task = node::run_on(net, settings(region, controller), OperatorSettings::default(), subsystems);
        tokio::spawn(task::run_gated(self.pauses[region][controller].clone(), controller_task));
    }

    /// Ends a controller, if it runs.
    pub fn kill(&mut self, region: usize, controller: usize) {
        if let Some(process) = self.processes[region][controller].take() {
            self.network.kill(process);
            self.pauses[region][controller].set(false);
        }
    }

    pub fn pause(&self, region: usize, controller: usize, paused: bool) {
        self.pauses[region][controller].set(paused);
    }

    pub fn state_down(&self, region: usize, down: bool) {
        self.stores[region].lock().unwrap().set_down(down);
    }

    /// Cuts a region off from all others, or repairs that cut if `cut` is `None`.
    pub fn cut_off(&self, region: usize, cut: Option<Cut>) {
        for other in (0..REGIONS).filter(|other| *other != region) {
            for (from, to) in (0..CONTROLLERS).flat_map(|from| (0..CONTROLLERS).map(move |to| (from, to))) {
                self.network.cut(host(region, 0, from), host(other, 0, to), cut);
            }
        }
    }

    pub fn mend(&self) {
        self.network.mend();
    }

    /// Lets time pass, with [`Fleet::check_limits`] every 100 ms.
    pub async fn run(&self, seconds: f64) {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < end {
            self.check_limits();
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Waits until all regions have stored an initial configuration, and 3 s more.
    pub async fn begin(&self) {
        self.until("all regions begin", 30.0, || (0..REGIONS).all(|region| self.has_begun(region))).await;
        self.run(3.0).await;
    }

    /// Waits until `holds`, with [`Fleet::check_limits`] every 50 ms, and returns the time it took in seconds. Panics
    /// after `limit_s`.
    pub async fn until(&self, what: &str, limit_s: f64, holds: impl Fn() -> bool) -> f64 {
        let began = Instant::now();
        while !holds() {
            assert!(began.elapsed().as_secs_f64() < limit_s, "not reached in {limit_s} s: {what}; {}", self.describe());
            self.check_limits();
            sleep(Duration::from_millis(50)).await;
        }
        began.elapsed().as_secs_f64()
    }

    // ---- requests and observations ----

    /// Sends a request to a controller, as an operator does. Returns `None` if it gives no answer within 20 s or
    /// refuses.
    pub async fn ask(
        &self,
        region: usize,
        controller: usize,
        request: ConfigurationRequest,
    ) -> Option<ConfigurationResponse> {
        let limit = Duration::from_secs(20);
        match self.operators[region][controller].request(PeerRequest::Configuration(request), limit).await? {
            PeerResponse::Configuration(response) => Some(response),
            _ => None,
        }
    }

    /// Builds a change of a team's limit and its shares, based on the version that a region has now.
    pub fn team_change(&mut self, region: usize, team: &str, shares: [f64; REGIONS]) -> Change {
        self.changes += 1;
        let name = DocumentName::Team(team.into());
        let version = self.state(region).map_or(0, |state| state.document_version(&name));
        Change {
            id: ChangeId(format!("change-{}", self.changes)),
            author: "test".into(),
            reason: "test".into(),
            at_ms: 0,
            reads: vec![ReadVersion { document: name, version }],
            writes: vec![team_document(team, shares)],
        }
    }

    pub async fn apply(&self, region: usize, controller: usize, change: &Change) -> Option<ConfigurationResponse> {
        self.ask(region, controller, ConfigurationRequest::Apply(change.clone())).await
    }

    /// Makes a change and returns the version in which it is taken. Panics if it is not taken.
    pub async fn take(&mut self, region: usize, team: &str, shares: [f64; REGIONS]) -> u64 {
        let change = self.team_change(region, team, shares);
        let answer = self.apply(region, 0, &change).await;
        match answer {
            Some(ConfigurationResponse::Outcome(Some(ChangeOutcome::Taken { version }))) => version,
            other => panic!("the change of {team} was not taken: {other:?}; {}", self.describe()),
        }
    }

    pub async fn status(&self, region: usize) -> Vec<RegionStatus> {
        match self.ask(region, 0, ConfigurationRequest::Status).await {
            Some(ConfigurationResponse::Status(status)) => status,
            other => panic!("region {region} answered a status request with {other:?}"),
        }
    }

    /// Condition of a region, as the region `reporter` reports it.
    pub async fn condition(&self, reporter: usize, region: usize) -> RegionCondition {
        self.status(reporter).await[region].condition
    }

    /// Keys and values in a region's state service under a prefix, after the key `after`.
    fn values(&self, region: usize, prefix: &str, after: &str) -> BTreeMap<String, serde_json::Value> {
        let path = format!("/store?under={prefix}&from={after}&most=1000");
        let request = Request { method: "GET".into(), path, body: Vec::new() };
        let response = self.stores[region].lock().unwrap().read(&request);
        let page: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
        let items = page["items"].as_array().unwrap().iter();
        items.map(|item| (item["path"].as_str().unwrap().to_string(), item["data"].clone())).collect()
    }

    fn value(&self, region: usize, key: &str) -> Option<serde_json::Value> {
        Some(self.stores[region].lock().unwrap().value(key)).filter(|value| !value.is_null())
    }

    pub fn keys(&self, region: usize, prefix: &str) -> Vec<String> {
        self.values(region, prefix, "").into_keys().collect()
    }

    /// Log of a region, from version 1 on.
    pub fn log(&self, region: usize) -> Vec<LogEntry> {
        self.read_log(region);
        self.known.lock().unwrap().logs[region].clone()
    }

    /// Reads the new entries of a region's log.
    fn read_log(&self, region: usize) {
        let mut known = self.known.lock().unwrap();
        let last = format!("config/log/{:012}", known.logs[region].len());
        for entry in self.values(region, "config/log/", &last).into_values() {
            known.add(region, serde_json::from_value(entry).unwrap());
        }
    }

    fn has_begun(&self, region: usize) -> bool {
        self.value(region, "config/region").is_some()
    }

    /// Configuration that a region has stored, or `None` if it has none yet.
    pub fn state(&self, region: usize) -> Option<ConfigState> {
        let record = self.value(region, "config/region")?;
        self.read_log(region);
        Some(self.known.lock().unwrap().states[record["acceptor"]["applied"].as_u64().unwrap() as usize].clone())
    }

    /// Configuration that a region's leader applies, as recorded.
    pub fn applied(&self, region: usize) -> AppliedConfiguration {
        let record = self.value(region, "config/obeyed");
        record.map_or_else(AppliedConfiguration::default, |record| serde_json::from_value(record).unwrap())
    }

    /// CPUs that a team may use in a region, in the version that the region's leader has recorded.
    pub fn limit(&self, region: usize, team: &str) -> f64 {
        self.read_log(region);
        let known = self.known.lock().unwrap();
        let state = &known.states[self.applied(region).version as usize];
        state.allowance(team, &region_name(region)).map_or(0.0, |allowance| allowance.limit.cpus.0 as f64 / MILLI)
    }

    /// Asserts that all regions have the same history, and that together they let no team use more than its largest
    /// limit since the oldest version that a region has confirmed.
    pub fn check_limits(&self) {
        if !(0..REGIONS).all(|region| self.has_begun(region)) {
            return;
        }
        (0..REGIONS).for_each(|region| self.read_log(region));
        for team in TEAMS {
            let used: f64 = (0..REGIONS).map(|region| self.limit(region, team)).sum();
            let known = self.known.lock().unwrap();
            let last = known.states.last().unwrap();
            let oldest = *last.confirmations.values().min().unwrap() as usize;
            let most = known.states[oldest..].iter().map(|state| fleet_limit(state, team)).fold(0.0, f64::max);
            assert!(
                used <= most + 1e-6,
                "team {team} may use {used} CPUs in all regions together, expected at most {most}"
            );
        }
    }

    /// Describes the versions of all regions, for a failed test.
    pub fn describe(&self) -> String {
        let region = |region: usize| {
            let versions = (self.log(region).len(), self.applied(region));
            format!("region {region}: {} versions, {:?}", versions.0, versions.1)
        };
        (0..REGIONS).map(region).collect::<Vec<_>>().join("; ")
    }

    /// Number of the controller that leads a region's partition, or `None`.
    pub fn leader(&self, region: usize) -> Option<usize> {
        let record = self.value(region, "part/0")?;
        record["holder"].as_str()?.strip_prefix('n')?.parse().ok()
    }
}

/// Limit of a team in all regions together, in CPUs.
fn fleet_limit(state: &ConfigState, team: &str) -> f64 {
    match state.documents.get(&DocumentName::Team(team.into())).map(|versioned| &versioned.document) {
        Some(Document::Team(team)) => team.limit.cpus.0 as f64 / MILLI,
        _ => 0.0,
    }
}

/// Document of a team with these CPUs for each region.
pub fn team_document(team: &str, shares: [f64; REGIONS]) -> Document {
    let cpus = |cpus: f64| Amounts { cpus: Amount((cpus * MILLI) as u64), gpus: Amount(0) };
    let share = |limit: f64| Share { guarantee: cpus(0.0), limit: cpus(limit) };
    Document::Team(TeamDocument {
        name: team.into(),
        removed: false,
        guarantee: cpus(0.0),
        limit: cpus(shares.iter().sum()),
        shares: shares.iter().enumerate().map(|(region, limit)| (region_name(region), share(*limit))).collect(),
    })
}
