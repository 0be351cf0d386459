//! The actor: holds this region's record, and is the region's acceptor.

use super::exchange;
use super::handle::{ConfigurationHandle, Message, Published};
use super::messages::{ConfigurationRequest, ConfigurationResponse, RegionDigest, UnavailableReason};
use super::proposals::{Proposals, Proposed};
use super::records::{self, AppliedConfiguration, StoredRecord};
use super::region_policy::settings_documents;
use super::regions::Regions;
use super::settings::FleetSettings;
use crate::clients::{StateStore, TokenBucket};
use crate::runtime::metrics::SharedMetrics;
use crate::runtime::{clock, sync, task};
use crate::settings::{Operator, Settings};
use crate::transport::network::Net;
use crate::transport::peer::{Peer, PeerTimeouts};
use badgerdrift_fleet_config::{ConfigState, Entry, RegionName};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Messages to the actor that wait, at the most.
const MAX_QUEUED: usize = 256;
/// Of the changes that the state service takes in a second, one in so many is for the configuration.
const WRITE_SHARE: f64 = 8.0;
/// Another region counts as reachable for so many exchanges after its last answer.
const CONTACT_EXCHANGES: u64 = 5;

/// The last answer of another region.
pub(super) struct LastContact {
    pub(super) digest: RegionDigest,
    /// When it arrived, on the steady clock.
    pub(super) at_ms: u64,
}

/// The actor of a node's configuration.
pub struct ConfigurationActor {
    pub(super) fleet: FleetSettings,
    pub(super) genesis: u64,
    pub(super) initial: ConfigState,
    pub(super) state: StateStore,
    pub(super) stored: Option<StoredRecord>,
    pub(super) all_capable: bool,
    pub(super) contacts: BTreeMap<RegionName, LastContact>,
    /// How long after its last answer another region counts as reachable.
    pub(super) contact_ttl_ms: u64,
    pub(super) applied_configuration: AppliedConfiguration,
    /// What the leader on this node has recorded, if it is on this node.
    pub(super) recorded_here: AppliedConfiguration,
    /// A confirmation is not asked for again before then.
    pub(super) confirm_after_ms: u64,
    pub(super) writes: TokenBucket,
    pub(super) proposals: mpsc::Sender<Proposed>,
    pub(super) regions: Regions,
    pub(super) published: watch::Sender<Option<Published>>,
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
    let initial = ConfigState::initial(fleet.names(), settings_documents(settings, operator, &fleet.names()));
    let genesis = genesis_of(&initial);
    let (tx, rx) = mpsc::channel(MAX_QUEUED);
    let (published_tx, published) = watch::channel(None);
    let handle = ConfigurationHandle { region: fleet.region.clone(), tx, published };
    let react = Duration::from_millis(settings.react_ms());
    let limits = PeerTimeouts::for_leader_lease(settings.leader_lease_ttl_ms());
    let regions = Regions::start(net, &fleet, limits, react);
    let node = format!("{} {}", fleet.region, settings.node);
    let proposals = Proposals::start(
        node,
        genesis,
        handle.clone(),
        regions.clone(),
        settings.write_limits(),
        react,
        metrics.clone(),
    );
    let now = clock::now_ms();
    let actor = ConfigurationActor {
        fleet,
        genesis,
        initial,
        state: state.clone(),
        stored: None,
        all_capable: peers.is_empty(),
        contacts: BTreeMap::new(),
        contact_ttl_ms: CONTACT_EXCHANGES * settings.react_ms(),
        applied_configuration: AppliedConfiguration::default(),
        recorded_here: AppliedConfiguration::default(),
        confirm_after_ms: 0,
        writes: TokenBucket::new(settings.write_limits().changes_per_s / WRITE_SHARE, WRITE_SHARE, now),
        proposals,
        regions: regions.clone(),
        published: published_tx,
    };
    task::spawn(actor.run(rx));
    task::spawn(exchange::watch_capable(handle.clone(), peers.to_vec(), genesis, react));
    task::spawn(exchange::watch_state(handle.clone(), state, react));
    for region in regions.names() {
        task::spawn(exchange::exchange(handle.clone(), regions.clone(), region, react, genesis, metrics.clone()));
    }
    handle
}

/// A fingerprint of version 0: the same in controllers that begin with the same documents.
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
                        sync::reply(reply, response);
                    }
                }
                Message::Changed(reply) => {
                    let loaded = self.reload().await.is_ok();
                    sync::reply(reply, loaded);
                }
                Message::RegionDigest(digest) => {
                    self.record_contact(digest).await;
                    self.confirm();
                }
                Message::AllCapable => self.all_capable = true,
                Message::AppliedConfiguration(applied_configuration) => self.record_applied(applied_configuration),
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
                ConfigurationResponse::Unavailable(UnavailableReason::SettingsDiffer)
            }
            ConfigurationRequest::Agreement { request, .. } => self.agree(&request).await,
            ConfigurationRequest::Log(version) => match records::log_entry(&self.state, version).await {
                Ok(entry) => ConfigurationResponse::Log(entry),
                Err(_) => ConfigurationResponse::Unavailable(UnavailableReason::StateService),
            },
            ConfigurationRequest::Apply(change) => {
                self.submit_entry(Proposed { entry: Entry::Change(change), reply: Some(reply) });
                return None;
            }
            ConfigurationRequest::Propose(entry) => {
                self.propose(Proposed { entry, reply: Some(reply) });
                return None;
            }
            other => self.answer_query(&other),
        };
        Some((response, reply))
    }
}
