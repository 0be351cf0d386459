//! The configuration actor of a node: holds its region's record and acts as the region's Paxos acceptor.

use super::exchange;
use super::handle::{ConfigurationHandle, Message, PublishedConfiguration};
use super::messages::{ConfigurationRequest, ConfigurationResponse, RegionDigest, UnavailableReason};
use super::proposals::{ProposalTask, ProposedEntry};
use super::records::{self, AppliedConfiguration, StoredRecord};
use super::region_policy::initial_documents;
use super::regions::RegionClients;
use super::settings::FleetSettings;
use crate::clients::{StateStore, TokenBucket};
use crate::runtime::metrics::SharedMetrics;
use crate::runtime::{clock, sync, task};
use crate::settings::{OperatorSettings, Settings};
use crate::transport::network::Net;
use crate::transport::peer::{Peer, PeerTimeouts};
use badgerdrift_fleet_config::{ConfigState, Entry, RegionName};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Capacity of the actor's message queue.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Divisor of the state service's write rate: the configuration may use this fraction of it. Also the
/// burst, in seconds of the reduced rate.
const WRITE_RATE_DIVISOR: f64 = 8.0;
/// Number of exchange intervals after its last answer for which another region counts as reachable.
const CONTACT_TTL_EXCHANGES: u64 = 5;

/// The last answer of another region.
pub(super) struct LastContact {
    pub(super) digest: RegionDigest,
    /// Instant, in milliseconds of the steady clock, at which the answer arrived.
    pub(super) answered_at_ms: u64,
}

/// Actor that holds the region's record, answers configuration requests and publishes the configuration.
pub struct ConfigurationActor {
    pub(super) fleet: FleetSettings,
    /// Fingerprint of version 0.
    pub(super) genesis: u64,
    /// Version 0, as the settings define it.
    pub(super) initial: ConfigState,
    pub(super) state: StateStore,
    /// The region's record as last read or written; `None` before the region has one.
    pub(super) stored: Option<StoredRecord>,
    /// Whether all other controllers of the region are known to support the shared configuration.
    pub(super) peers_capable: bool,
    pub(super) contacts: BTreeMap<RegionName, LastContact>,
    /// Duration, in milliseconds after its last answer, for which another region counts as reachable.
    pub(super) contact_ttl_ms: u64,
    /// What the region's leader has applied, as last read from the state service or recorded by this node.
    pub(super) applied_configuration: AppliedConfiguration,
    /// What a leader on this node last recorded; the default value if none has recorded anything.
    pub(super) recorded_by_this_node: AppliedConfiguration,
    /// Instant, in milliseconds of the steady clock, before which no further confirmation is proposed.
    pub(super) next_confirmation_ms: u64,
    /// Limit on the configuration's writes to the state service.
    pub(super) write_limit: TokenBucket,
    pub(super) proposals: mpsc::Sender<ProposedEntry>,
    pub(super) regions: RegionClients,
    pub(super) published: watch::Sender<Option<PublishedConfiguration>>,
}

/// Starts a node's configuration actor and its tasks, and returns a handle of the actor.
pub fn start(
    net: &Net,
    settings: &Settings,
    operator: &OperatorSettings,
    fleet: FleetSettings,
    state: StateStore,
    peers: &[Peer],
    metrics: SharedMetrics,
) -> ConfigurationHandle {
    let initial = ConfigState::initial(fleet.names(), initial_documents(settings, operator, &fleet.names()));
    let genesis = version_0_fingerprint(&initial);
    let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let (published_tx, published) = watch::channel(None);
    let handle = ConfigurationHandle { region: fleet.region.clone(), tx, published };
    let reaction_time = Duration::from_millis(settings.react_ms());
    let timeouts = PeerTimeouts::for_leader_lease(settings.leader_lease_ttl_ms());
    let regions = RegionClients::start(net, &fleet, timeouts, reaction_time);
    let node = format!("{} {}", fleet.region, settings.node);
    let proposals = ProposalTask::start(
        node,
        genesis,
        handle.clone(),
        regions.clone(),
        settings.write_limits(),
        reaction_time,
        metrics.clone(),
    );
    let now = clock::now_ms();
    let actor = ConfigurationActor {
        fleet,
        genesis,
        initial,
        state: state.clone(),
        stored: None,
        peers_capable: peers.is_empty(),
        contacts: BTreeMap::new(),
        contact_ttl_ms: CONTACT_TTL_EXCHANGES * settings.react_ms(),
        applied_configuration: AppliedConfiguration::default(),
        recorded_by_this_node: AppliedConfiguration::default(),
        next_confirmation_ms: 0,
        write_limit: TokenBucket::new(
            settings.write_limits().changes_per_s / WRITE_RATE_DIVISOR,
            WRITE_RATE_DIVISOR,
            now,
        ),
        proposals,
        regions: regions.clone(),
        published: published_tx,
    };
    task::spawn(actor.run(rx));
    task::spawn(exchange::wait_for_capable_peers(handle.clone(), peers.to_vec(), genesis, reaction_time));
    task::spawn(exchange::watch_record(handle.clone(), state, reaction_time));
    for region in regions.names() {
        task::spawn(exchange::exchange_versions(
            handle.clone(),
            regions.clone(),
            region,
            reaction_time,
            genesis,
            metrics.clone(),
        ));
    }
    handle
}

/// Returns a fingerprint of version 0, which is equal in controllers with the same initial documents and
/// regions.
fn version_0_fingerprint(initial: &ConfigState) -> u64 {
    // `DefaultHasher::new` uses fixed keys, so the result is the same in every process.
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
                Message::RecordMayHaveChanged(reply) => {
                    let loaded = self.reload().await.is_ok();
                    sync::reply(reply, loaded);
                }
                Message::RegionDigest(digest) => {
                    self.record_contact(digest).await;
                    self.confirm_applied_version();
                }
                Message::PeersCapable => self.peers_capable = true,
                Message::AppliedConfiguration(applied_configuration) => {
                    self.handle_applied_version(applied_configuration);
                }
            }
            self.publish();
        }
    }

    /// Handles a request and returns the response with its reply channel; `None` if another task replies.
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
            ConfigurationRequest::Agreement { request, .. } => self.handle_agreement_request(&request).await,
            ConfigurationRequest::Log(version) => match records::load_log_entry(&self.state, version).await {
                Ok(entry) => ConfigurationResponse::Log(entry),
                Err(_) => ConfigurationResponse::Unavailable(UnavailableReason::StateService),
            },
            ConfigurationRequest::Apply(change) => {
                self.submit_entry(ProposedEntry { entry: Entry::Change(change), reply: Some(reply) });
                return None;
            }
            ConfigurationRequest::Propose(entry) => {
                self.propose(ProposedEntry { entry, reply: Some(reply) });
                return None;
            }
            other => self.answer_query(&other),
        };
        Some((response, reply))
    }
}
