//! Tasks that watch the region's state service and other controllers, and exchange versions with other
//! regions.

use super::handle::{ConfigurationHandle, Message};
use super::messages::{ConfigurationRequest, ConfigurationResponse};
use super::records::KEY_PREFIX;
use super::regions::{RegionClients, ask};
use crate::clients::StateStore;
use crate::runtime::metrics::SharedMetrics;
use crate::transport::peer::Peer;
use badgerdrift_fleet_config::{RegionName, Request};
use std::time::Duration;
use tokio::time::sleep;

/// Duration of one long poll of the state service, in reaction times.
const WATCH_REACTION_TIMES: u32 = 10;

/// Notifies the actor once all other controllers of the region support the shared configuration and
/// have the same version 0.
pub(super) async fn wait_for_capable_peers(
    handle: ConfigurationHandle,
    peers: Vec<Peer>,
    genesis: u64,
    reaction_time: Duration,
) {
    for peer in peers {
        loop {
            match ask(&peer, &ConfigurationRequest::Capable, reaction_time).await {
                Some(ConfigurationResponse::Capable { genesis: peer_genesis }) if peer_genesis == genesis => break,
                Some(ConfigurationResponse::Capable { .. }) => {
                    tracing::error!(
                        peer = peer.name,
                        "controller has a different initial configuration: its version 0 differs from this node's"
                    );
                }
                _ => {}
            }
            sleep(reaction_time).await;
        }
    }
    // The send fails only when the node stops.
    let _ = handle.tx.send(Message::PeersCapable).await;
}

/// Watches the region's keys in the state service with one long poll, regardless of the number of
/// documents, and makes the actor reload its record on changes.
pub(super) async fn watch_record(handle: ConfigurationHandle, state: StateStore, reaction_time: Duration) {
    let wait_ms = (reaction_time * WATCH_REACTION_TIMES).as_millis() as u64;
    let mut last_revision = None;
    loop {
        let Some(revision) = last_revision else {
            // The watch starts at the current revision; the actor rereads everything before it.
            last_revision = state.get(super::records::REGION_KEY).await.ok().map(|(_, revision)| revision);
            if last_revision.is_none() || !handle.reload_record().await {
                last_revision = None;
                sleep(reaction_time).await;
            }
            continue;
        };
        match state.changes(KEY_PREFIX, revision, wait_ms).await {
            Ok(changes) => {
                if !changes.events.is_empty() && !handle.reload_record().await {
                    sleep(reaction_time / 4).await;
                    continue;
                }
                last_revision = Some(changes.revision);
            }
            Err(_) => {
                last_revision = None;
                sleep(reaction_time).await;
            }
        }
    }
}

/// Exchanges versions with another region until the node stops: requests its digest at each interval,
/// then fetches only the versions that this region lacks.
pub(super) async fn exchange_versions(
    handle: ConfigurationHandle,
    regions: RegionClients,
    region: RegionName,
    reaction_time: Duration,
    genesis: u64,
    metrics: SharedMetrics,
) {
    loop {
        metrics.count("configuration_exchanges", &region);
        if let Some(ConfigurationResponse::Digest(digest)) = regions.ask(&region, &ConfigurationRequest::Digest).await {
            let (their_version, genesis_matches) = (digest.version.unwrap_or(0), digest.genesis == genesis);
            if handle.tx.send(Message::RegionDigest(digest)).await.is_err() {
                return;
            }
            if genesis_matches {
                catch_up(&handle, &regions, &region, their_version, genesis).await;
            }
        }
        sleep(reaction_time).await;
    }
}

/// Fetches and learns the versions up to `their_version` that this region lacks.
async fn catch_up(
    handle: &ConfigurationHandle,
    regions: &RegionClients,
    region: &str,
    their_version: u64,
    genesis: u64,
) {
    loop {
        let Some(published) = handle.published() else { return };
        let version = published.state.version + 1;
        if version > their_version {
            return;
        }
        let answer = regions.ask(region, &ConfigurationRequest::Log(version)).await;
        let Some(ConfigurationResponse::Log(Some(entry))) = answer else {
            tracing::debug!(region, version, "configuration version not fetched from region");
            return;
        };
        let request = Request::Learn { version, batch: entry.batch };
        let response = handle.request(ConfigurationRequest::Agreement { genesis, request }).await;
        if !matches!(response, ConfigurationResponse::Agreement(_)) {
            return;
        }
    }
}
