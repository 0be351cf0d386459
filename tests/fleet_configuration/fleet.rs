//! Three regions with two controllers each.

use badgerdrift::configuration::{
    AppliedConfiguration, ConfigurationRequest, ConfigurationResponse, FleetSettings, LogEntry, RegionAddresses,
    RegionCondition, RegionStatus, settings_documents,
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

pub const REGIONS: usize = 3;
pub const CONTROLLERS: usize = 2;
/// CPUs that each region lets each team use at first.
pub const FIRST_SHARE: f64 = 10.0;
/// A change is in force everywhere within this time.
pub const IN_FORCE_S: f64 = 5.0;
const TEAMS: [&str; 2] = ["red", "blue"];
const PATIENCE: Duration = Duration::from_secs(60);
const MORNING_MS: u64 = 1_800_000_000_000;
const MILLI: f64 = 1000.0;

/// Whole controllers of several regions, and their state services.
pub struct Fleet {
    network: SimulatedNetwork,
    stores: Vec<Arc<Mutex<Store>>>,
    lives: Vec<[Option<u64>; CONTROLLERS]>,
    pauses: Vec<[Arc<Pause>; CONTROLLERS]>,
    operators: Vec<Vec<Peer>>,
    changes: u64,
    pub shared: bool,
    known: Mutex<KnownHistory>,
}

/// What was read of the regions' logs so far.
struct KnownHistory {
    logs: Vec<Vec<LogEntry>>,
    /// The configuration in each version.
    states: Vec<ConfigState>,
}

impl KnownHistory {
    fn new() -> KnownHistory {
        let names: Vec<String> = (0..REGIONS).map(region_name).collect();
        let documents = settings_documents(&settings(0, 0), &OperatorSettings::default(), &names);
        KnownHistory { logs: vec![Vec::new(); REGIONS], states: vec![ConfigState::initial(names, documents)] }
    }

    /// Adds an entry of a region's log; there is one history.
    fn add(&mut self, region: usize, entry: LogEntry) {
        self.logs[region].push(entry.clone());
        let version = self.logs[region].len();
        assert_eq!(entry.version, version as u64, "region {region} has left a version out");
        match self.logs.iter().find_map(|log| log.get(version - 1)) {
            Some(known) if *known != entry => panic!("region {region} has another version {version}"),
            _ if version == self.states.len() => {
                let mut state = self.states[version - 1].clone();
                state.apply(&entry.batch);
                self.states.push(state);
            }
            _ => {}
        }
    }
}

fn host(region: usize, part: u8, number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 20 + region as u8, part, number as u8 + 1))
}

pub fn region_name(region: usize) -> String {
    format!("region-{region}")
}

fn internal(region: usize, controller: usize) -> SocketAddr {
    SocketAddr::new(host(region, 0, controller), 81)
}

fn fleet_settings(region: usize) -> FleetSettings {
    let addresses = |region| RegionAddresses { controllers: (0..CONTROLLERS).map(|n| internal(region, n)).collect() };
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

/// Runs a scripted day of a fleet in simulated time.
pub fn day<F: Future<Output = ()>>(seed: u64, shared: bool, script: impl FnOnce(Fleet) -> F + Send) {
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
        clock::simulate_wall(MORNING_MS, true);
        let network = SimulatedNetwork::new(seed);
        let stores: Vec<Arc<Mutex<Store>>> = (0..REGIONS).map(|_| Arc::default()).collect();
        let operator_net = network.process(IpAddr::V4(Ipv4Addr::new(10, 9, 0, 1))).0;
        let limits = PeerTimeouts::for_leader_lease(5000);
        let way = |region, n| Peer::start_on(operator_net.clone(), "operator".into(), internal(region, n), limits);
        let mut fleet = Fleet {
            operators: (0..REGIONS).map(|region| (0..CONTROLLERS).map(|n| way(region, n)).collect()).collect(),
            network,
            stores,
            lives: vec![[None; CONTROLLERS]; REGIONS],
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
        let at = host(region, 1, 0);
        let (net, store) = (self.network.process(at).0, self.stores[region].clone());
        tokio::spawn(async move {
            let listener = net.bind(SocketAddr::new(at, 80)).await.unwrap();
            http::serve(listener, 500, PATIENCE, move |request| state_service(store.clone(), request)).await;
        });
    }

    // ---- what can be done ----

    pub fn start(&mut self, region: usize, controller: usize) {
        if self.lives[region][controller].is_some() {
            return;
        }
        let (net, life) = self.network.process(host(region, 0, controller));
        self.lives[region][controller] = Some(life);
        self.pauses[region][controller] = Arc::default();
        let fleet = self.shared.then(|| fleet_settings(region));
        let subsystems = Subsystems { fleet, ..Subsystems::default() };
        let controller_task = node::run_on(net, settings(region, controller), OperatorSettings::default(), subsystems);
        tokio::spawn(task::run_gated(self.pauses[region][controller].clone(), controller_task));
    }

    pub fn kill(&mut self, region: usize, controller: usize) {
        if let Some(life) = self.lives[region][controller].take() {
            self.network.kill(life);
            self.pauses[region][controller].set(false);
        }
    }

    pub fn pause(&self, region: usize, controller: usize, paused: bool) {
        self.pauses[region][controller].set(paused);
    }

    pub fn state_down(&self, region: usize, down: bool) {
        self.stores[region].lock().unwrap().set_down(down);
    }

    /// Cuts a region off from all others, or mends that.
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

    pub async fn run(&self, seconds: f64) {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < end {
            self.check_limits();
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Lets time pass until all regions have begun.
    pub async fn begin(&self) {
        self.until("all regions begin", 30.0, || (0..REGIONS).all(|region| self.has_begun(region))).await;
        self.run(3.0).await;
    }

    pub async fn until(&self, what: &str, most_s: f64, holds: impl Fn() -> bool) -> f64 {
        let began = Instant::now();
        while !holds() {
            assert!(began.elapsed().as_secs_f64() < most_s, "not in {most_s} s: {what}; {}", self.describe());
            self.check_limits();
            sleep(Duration::from_millis(50)).await;
        }
        began.elapsed().as_secs_f64()
    }

    // ---- what can be asked ----

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

    /// A change of a team's limit and division, made from what a region has now.
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

    /// Makes a change that has to be taken; its version.
    pub async fn take(&mut self, region: usize, team: &str, shares: [f64; REGIONS]) -> u64 {
        let change = self.team_change(region, team, shares);
        let answer = self.apply(region, 0, &change).await;
        match answer {
            Some(ConfigurationResponse::Outcome(Some(ChangeOutcome::Taken { version }))) => version,
            other => panic!("{other:?}; {}", self.describe()),
        }
    }

    pub async fn status(&self, region: usize) -> Vec<RegionStatus> {
        match self.ask(region, 0, ConfigurationRequest::Status).await {
            Some(ConfigurationResponse::Status(status)) => status,
            other => panic!("{other:?}"),
        }
    }

    pub async fn condition(&self, at: usize, of: usize) -> RegionCondition {
        self.status(at).await[of].condition
    }

    /// The values that a region's state service keeps under a prefix, after a key.
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

    /// The region's log, from version 1 on.
    pub fn log(&self, region: usize) -> Vec<LogEntry> {
        self.read_log(region);
        self.known.lock().unwrap().logs[region].clone()
    }

    /// Reads what is new in a region's log.
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

    /// The configuration that a region has applied; `None` if it has not begun.
    pub fn state(&self, region: usize) -> Option<ConfigState> {
        let record = self.value(region, "config/region")?;
        self.read_log(region);
        Some(self.known.lock().unwrap().states[record["acceptor"]["applied"].as_u64().unwrap() as usize].clone())
    }

    /// What a region's leader obeys, as recorded.
    pub fn obeyed(&self, region: usize) -> AppliedConfiguration {
        let record = self.value(region, "config/obeyed");
        record.map_or_else(AppliedConfiguration::default, |record| serde_json::from_value(record).unwrap())
    }

    /// CPUs that the leader of a region lets a team use, by the version that it has recorded.
    pub fn limit(&self, region: usize, team: &str) -> f64 {
        self.read_log(region);
        let known = self.known.lock().unwrap();
        let state = &known.states[self.obeyed(region).version as usize];
        state.allowance(team, &region_name(region)).map_or(0.0, |allowance| allowance.limit.cpus.0 as f64 / MILLI)
    }

    /// All regions have one history, and let no team use more than the largest limit since the
    /// oldest version that a region has confirmed.
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
            assert!(used <= most + 1e-6, "{team} may use {used} of {most}");
        }
    }

    pub fn describe(&self) -> String {
        let region = |region: usize| {
            let versions = (self.log(region).len(), self.obeyed(region));
            format!("region {region}: {} versions, {:?}", versions.0, versions.1)
        };
        (0..REGIONS).map(region).collect::<Vec<_>>().join("; ")
    }

    /// The controller that holds a region's jobs.
    pub fn owner(&self, region: usize) -> Option<usize> {
        let record = self.value(region, "part/0")?;
        record["holder"].as_str()?.strip_prefix('n')?.parse().ok()
    }
}

fn fleet_limit(state: &ConfigState, team: &str) -> f64 {
    match state.documents.get(&DocumentName::Team(team.into())).map(|versioned| &versioned.document) {
        Some(Document::Team(team)) => team.limit.cpus.0 as f64 / MILLI,
        _ => 0.0,
    }
}

/// A team's document with these CPUs for each region.
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
