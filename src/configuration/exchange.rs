//! Tasks that follow the region's state service, its other controllers, and the other regions.

use super::handle::{ConfigurationHandle, Message};
use super::messages::{ConfigurationRequest, ConfigurationResponse};
use super::records::PREFIX;
use super::regions::{Regions, ask};
use crate::clients::StateStore;
use crate::runtime::metrics::SharedMetrics;
use crate::transport::peer::Peer;
use badgerdrift_fleet_config::{RegionName, Request};
use std::time::Duration;
use tokio::time::sleep;

/// A watch of the state service waits for so many reaction times.
const WATCH_REACTIONS: u32 = 10;

/// Notifies the actor once all other controllers of the region know the shared configuration.
pub(super) async fn watch_capable(handle: ConfigurationHandle, peers: Vec<Peer>, genesis: u64, react: Duration) {
    for peer in peers {
        loop {
            match ask(&peer, &ConfigurationRequest::Capable, react).await {
                Some(ConfigurationResponse::Capable { genesis: theirs }) if theirs == genesis => break,
                Some(ConfigurationResponse::Capable { .. }) => {
                    tracing::error!(
                        peer = peer.name,
                        "the controller begins with other teams or figures than this one"
                    );
                }
                _ => {}
            }
            sleep(react).await;
        }
    }
    // The actor only ends with the node.
    let _ = handle.tx.send(Message::AllCapable).await;
}

/// Follows the region's record: one watch, whatever the number of documents.
pub(super) async fn watch_state(handle: ConfigurationHandle, state: StateStore, react: Duration) {
    let wait_ms = (react * WATCH_REACTIONS).as_millis() as u64;
    let mut after = None;
    loop {
        let Some(revision) = after else {
            // From now on; what was before is read afresh.
            after = state.get(super::records::REGION_KEY).await.ok().map(|(_, revision)| revision);
            if after.is_none() || !handle.refresh().await {
                after = None;
                sleep(react).await;
            }
            continue;
        };
        match state.changes(PREFIX, revision, wait_ms).await {
            Ok(changes) => {
                if !changes.events.is_empty() && !handle.refresh().await {
                    sleep(react / 4).await;
                    continue;
                }
                after = Some(changes.revision);
            }
            Err(_) => {
                after = None;
                sleep(react).await;
            }
        }
    }
}

/// Exchanges versions with another region for ever: digests first, then only what is missing here.
pub(super) async fn exchange(
    handle: ConfigurationHandle,
    regions: Regions,
    region: RegionName,
    react: Duration,
    genesis: u64,
    metrics: SharedMetrics,
) {
    loop {
        metrics.count("configuration_exchanges", &region);
        if let Some(ConfigurationResponse::Digest(digest)) = regions.ask(&region, &ConfigurationRequest::Digest).await {
            let (theirs, same) = (digest.version.unwrap_or(0), digest.genesis == genesis);
            if handle.tx.send(Message::RegionDigest(digest)).await.is_err() {
                return;
            }
            if same {
                catch_up(&handle, &regions, &region, theirs, genesis).await;
            }
        }
        sleep(react).await;
    }
}

/// Learns the versions that another region has and this one has not.
async fn catch_up(handle: &ConfigurationHandle, regions: &Regions, region: &str, theirs: u64, genesis: u64) {
    loop {
        let Some(published) = handle.published() else { return };
        let version = published.state.version + 1;
        if version > theirs {
            return;
        }
        let answer = regions.ask(region, &ConfigurationRequest::Log(version)).await;
        let Some(ConfigurationResponse::Log(Some(entry))) = answer else {
            tracing::debug!(region, version, "a version of the configuration can't be fetched");
            return;
        };
        let request = Request::Learn { version, batch: entry.batch };
        let learned = handle.answer(ConfigurationRequest::Agreement { genesis, request }).await;
        if !matches!(learned, ConfigurationResponse::Agreement(_)) {
            return;
        }
    }
}
