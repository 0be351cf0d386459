//! The actor: owns this region's record, and is the region's acceptor.

use super::effect::settings_documents;
use super::exchange;
use super::handle::{ConfigurationHandle, Message, Published};
use super::messages::{
    ConfigurationRequest, ConfigurationResponse, Digest, RegionCondition, RegionStatus, Unavailable,
};
use super::proposals::{Proposals, Proposed};
use super::records::{self, AppliedConfiguration, StoredRecord};
use super::regions::Regions;
use super::settings::FleetSettings;
use crate::clients::{StateStore, TokenBucket};
use crate::runtime::metrics::SharedMetrics;
use crate::runtime::{clock, task};
use crate::settings::{Operator, Settings};
use crate::transport::network::Net;
use crate::transport::peer::{Peer, PeerTimeouts};
use badgerdrift_fleet_config::{Acceptor, ConfigState, Confirmation, Entry, RegionName};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot, watch};

/// Messages to the actor that wait, at the most.
const MAX_QUEUED: usize = 256;
/// Of the changes that the state service takes in a second, one in so many is for the configuration.
const WRITE_SHARE: f64 = 8.0;
/// Another region counts as heard for so many exchanges.
const HEARD_EXCHANGES: u64 = 5;

/// What was last heard of another region.
pub(super) struct LastContact {
    pub(super) digest: Digest,
    at_ms: u64,
}

/// The actor of a node's configuration.
pub struct ConfigurationActor {
    pub(super) fleet: FleetSettings,
    pub(super) genesis: u64,
    pub(super) initial: ConfigState,
    pub(super) state: StateStore,
    pub(super) stored: Option<StoredRecord>,
    all_capable: bool,
    pub(super) heard: BTreeMap<RegionName, LastContact>,
    heard_for_ms: u64,
    pub(super) applied_configuration: AppliedConfiguration,
    /// What the leader on this node has recorded, if it is on this node.
    recorded_here: AppliedConfiguration,
    /// A confirmation is not asked for again before then.
    confirm_after_ms: u64,
    pub(super) writes: TokenBucket,
    proposals: mpsc::Sender<Proposed>,
    regions: Regions,
    published: watch::Sender<Option<Published>>,
}

/// Starts a node's configuration with all its tasks.
pub fn start(
    net: &Net,
    settings: &Settings,
    operator: &Operator,
    fleet: FleetSettings,
    state: StateStore,
    peers: &[Peer],
    metrics: SharedMetrics,
) -> ConfigurationHandle {
    let regions = fleet.names();
    let initial = ConfigState::initial(regions, settings_documents(settings, operator, &fleet.names()));
    let genesis = genesis_of(&initial);
    let (tx, rx) = mpsc::channel(MAX_QUEUED);
    let (published_tx, published) = watch::channel(None);
    let handle = ConfigurationHandle { region: fleet.region.clone(), tx, published };
    let react = Duration::from_millis(settings.react_ms());
    let limits = PeerTimeouts::for_leader_lease(settings.leader_lease_ttl_ms());
    let ways = Regions::start(net, &fleet, limits, react);
    let node = format!("{} {}", fleet.region, settings.node);
    let proposals =
        Proposals::start(node, genesis, handle.clone(), ways.clone(), settings.write_limits(), react, metrics.clone());
    let now = clock::now_ms();
    let actor = ConfigurationActor {
        fleet,
        genesis,
        initial,
        state: state.clone(),
        stored: None,
        all_capable: peers.is_empty(),
        heard: BTreeMap::new(),
        heard_for_ms: HEARD_EXCHANGES * settings.react_ms(),
        applied_configuration: AppliedConfiguration::default(),
        recorded_here: AppliedConfiguration::default(),
        confirm_after_ms: 0,
        writes: TokenBucket::new(settings.write_limits().changes_per_s / WRITE_SHARE, WRITE_SHARE, now),
        proposals,
        regions: ways.clone(),
        published: published_tx,
    };
    task::spawn(actor.run(rx));
    task::spawn(exchange::watch_capable(handle.clone(), peers.to_vec(), genesis, react));
    task::spawn(exchange::watch_state(handle.clone(), state, react));
    for region in ways.names() {
        task::spawn(exchange::exchange(handle.clone(), ways.clone(), region, react, genesis, metrics.clone()));
    }
    handle
}

/// A number that tells whether two controllers begin with the same documents.
fn genesis_of(initial: &ConfigState) -> u64 {
    // Fixed keys: the same text leads to the same number in every process.
    let mut hasher = DefaultHasher::new();
    serde_json::to_string(&initial.documents.values().collect::<Vec<_>>()).unwrap_or_default().hash(&mut hasher);
    initial.regions.hash(&mut hasher);
    hasher.finish()
}

impl ConfigurationActor {
    async fn run(mut self, mut rx: mpsc::Receiver<Message>) {
        while let Some(message) = rx.recv().await {
            match message {
                Message::Request(request, reply) => {
                    if let Some((response, reply)) = self.answer(request, reply).await {
                        let _ = reply.send(response);
                    }
                }
                Message::Changed(reply) => {
                    let loaded = self.reload().await.is_ok();
                    let _ = reply.send(loaded);
                }
                Message::LastContact(digest) => {
                    self.hear(digest).await;
                    self.confirm();
                }
                Message::AllCapable => self.all_capable = true,
                Message::AppliedConfiguration(applied_configuration) => self.note_obeyed(applied_configuration),
            }
            self.publish();
        }
    }

    /// The answer to a request, unless another task gives it.
    async fn answer(
        &mut self,
        request: ConfigurationRequest,
        reply: oneshot::Sender<ConfigurationResponse>,
    ) -> Option<(ConfigurationResponse, oneshot::Sender<ConfigurationResponse>)> {
        let response = match request {
            ConfigurationRequest::Capable => ConfigurationResponse::Capable { genesis: self.genesis },
            ConfigurationRequest::Digest => ConfigurationResponse::Digest(self.digest()),
            ConfigurationRequest::Agreement { genesis, .. } if genesis != self.genesis => {
                ConfigurationResponse::Unavailable(Unavailable::SettingsDiffer)
            }
            ConfigurationRequest::Agreement { request, .. } => self.agree(&request).await,
            ConfigurationRequest::Log(version) => match records::log_entry(&self.state, version).await {
                Ok(entry) => ConfigurationResponse::Log(entry),
                Err(_) => ConfigurationResponse::Unavailable(Unavailable::StateService),
            },
            ConfigurationRequest::Apply(change) => {
                self.bring_in(Proposed { entry: Entry::Change(change), reply: Some(reply) });
                return None;
            }
            ConfigurationRequest::Propose(entry) => {
                self.propose(Proposed { entry, reply: Some(reply) });
                return None;
            }
            other => self.tell(&other),
        };
        Some((response, reply))
    }

    /// Has an entry proposed: in the first region, by name, that is heard, so that proposers seldom
    /// get in each other's way. Where that gives no answer it is proposed here: what is in the
    /// log already is not taken twice.
    fn bring_in(&self, proposed: Proposed) {
        let now = clock::now_ms();
        let is_heard = |region: &&RegionName| {
            let heard = self.heard.get(*region);
            **region == self.fleet.region || heard.is_some_and(|heard| now <= heard.at_ms + self.heard_for_ms)
        };
        match self.initial.regions.iter().find(is_heard) {
            Some(region) if *region != self.fleet.region => {
                let (regions, proposals, region) = (self.regions.clone(), self.proposals.clone(), region.clone());
                task::spawn(async move {
                    let request = ConfigurationRequest::Propose(proposed.entry.clone());
                    match regions.ask_at_length(&region, &request).await {
                        Some(response @ ConfigurationResponse::Outcome(_)) => tell(proposed.reply, response),
                        _ => propose(&proposals, proposed),
                    }
                });
            }
            _ => self.propose(proposed),
        }
    }

    /// Proposes an entry here.
    fn propose(&self, proposed: Proposed) {
        if self.may_propose() {
            propose(&self.proposals, proposed);
        } else {
            tell(proposed.reply, ConfigurationResponse::Unavailable(Unavailable::NotStarted));
        }
    }

    /// Answers what only asks.
    fn tell(&self, request: &ConfigurationRequest) -> ConfigurationResponse {
        let Some(StoredRecord { record, .. }) = &self.stored else {
            return ConfigurationResponse::Unavailable(Unavailable::NotStarted);
        };
        let state = &record.state;
        match request {
            ConfigurationRequest::Outcome(id) => ConfigurationResponse::Outcome(state.outcome(id).cloned()),
            ConfigurationRequest::Document(name) => ConfigurationResponse::Document(state.documents.get(name).cloned()),
            ConfigurationRequest::Documents => {
                let names = state.documents.iter().map(|(name, versioned)| (name.clone(), versioned.version));
                ConfigurationResponse::Documents(names.collect())
            }
            ConfigurationRequest::History => ConfigurationResponse::History(state.history.iter().cloned().collect()),
            _ => ConfigurationResponse::Status(self.status(state.version)),
        }
    }

    fn digest(&self) -> Digest {
        let record = self.stored.as_ref().map(|stored| &stored.record);
        Digest {
            region: self.fleet.region.clone(),
            genesis: self.genesis,
            version: record.map(|record| record.acceptor.applied),
            untouched: record.is_none_or(|record| record.acceptor == Acceptor::default()),
            applied_configuration: self.applied_configuration.version,
        }
    }

    /// The versions and conditions of all regions.
    fn status(&self, own: u64) -> Vec<RegionStatus> {
        let latest = self.latest(own);
        let now = clock::now_ms();
        let status = |region: &RegionName| {
            if *region == self.fleet.region {
                return region_status(region, own, self.applied_configuration.version, latest);
            }
            let Some(heard) = self.heard.get(region) else {
                let condition = RegionCondition::UnreachableSince { seconds: None };
                return RegionStatus { region: region.clone(), version: 0, applied_configuration: 0, condition };
            };
            let mut status =
                region_status(region, heard.digest.version.unwrap_or(0), heard.digest.applied_configuration, latest);
            let silent_ms = now.saturating_sub(heard.at_ms);
            if silent_ms > self.heard_for_ms {
                status.condition = RegionCondition::UnreachableSince { seconds: Some(silent_ms / 1000) };
            }
            status
        };
        self.initial.regions.iter().map(status).collect()
    }

    /// The last version that any region is known to have applied.
    pub(super) fn latest(&self, own: u64) -> u64 {
        self.heard.values().filter_map(|heard| heard.digest.version).fold(own, u64::max)
    }

    /// Another region tells what it has applied.
    async fn hear(&mut self, digest: Digest) {
        if digest.genesis != self.genesis {
            tracing::error!(region = digest.region, "the region begins with other teams or figures than this one");
            return;
        }
        self.heard.insert(digest.region.clone(), LastContact { digest, at_ms: clock::now_ms() });
        if self.stored.is_none() && self.all_capable && self.reload().await.is_ok() && self.stored.is_none() {
            self.begin().await;
        }
    }

    /// Before version 1 all regions must have begun: one that has not could not tell whether it
    /// has forgotten a vote.
    fn may_propose(&self) -> bool {
        let Some(stored) = &self.stored else { return false };
        let others_began = self.heard.len() + 1 == self.initial.regions.len()
            && self.heard.values().all(|heard| heard.digest.version.is_some());
        stored.record.acceptor.applied > 0 || others_began
    }

    /// This node's leader has recorded that it obeys a version.
    fn note_obeyed(&mut self, applied_configuration: AppliedConfiguration) {
        self.applied_configuration = applied_configuration;
        self.recorded_here = applied_configuration;
        self.confirm_after_ms = 0;
        self.confirm();
    }

    /// Has what this node's leader has recorded confirmed, where other regions wait for that; again
    /// after a while if it did not come into the log.
    fn confirm(&mut self) {
        let now = clock::now_ms();
        let Some(StoredRecord { record, .. }) = &self.stored else { return };
        let confirmed = record.state.confirmations.get(&self.fleet.region).copied().unwrap_or(0);
        let (version, own) = (self.recorded_here.kept, self.recorded_here == self.applied_configuration);
        if !own || version <= confirmed || now < self.confirm_after_ms || !record.state.waits_for(&self.fleet.region) {
            return;
        }
        self.confirm_after_ms = now + self.heard_for_ms;
        let confirmation = Confirmation { region: self.fleet.region.clone(), version };
        self.bring_in(Proposed { entry: Entry::Confirmation(confirmation), reply: None });
    }

    fn publish(&self) {
        let now = clock::now_ms();
        let heard = self.heard.values().filter(|heard| now <= heard.at_ms + self.heard_for_ms).count();
        let published = self.stored.as_ref().map(|stored| Published {
            state: stored.record.state.clone(),
            may_start_tasks: stored.record.may_start_tasks(),
            latest: self.latest(stored.record.state.version),
            regions_heard: heard + 1,
            applied_configuration: self.applied_configuration.version,
        });
        self.published.send_replace(published);
    }
}

fn tell(reply: Option<oneshot::Sender<ConfigurationResponse>>, response: ConfigurationResponse) {
    if let Some(reply) = reply {
        let _ = reply.send(response);
    }
}

fn propose(proposals: &mpsc::Sender<Proposed>, proposed: Proposed) {
    if let Err(TrySendError::Full(proposed) | TrySendError::Closed(proposed)) = proposals.try_send(proposed) {
        tell(proposed.reply, ConfigurationResponse::Unavailable(Unavailable::Busy));
    }
}

fn region_status(region: &RegionName, version: u64, applied_configuration: u64, latest: u64) -> RegionStatus {
    let condition = if applied_configuration >= latest { RegionCondition::InForce } else { RegionCondition::Pending };
    RegionStatus { region: region.clone(), version, applied_configuration, condition }
}
