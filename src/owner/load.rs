//! Reading the partition's records from the state service.

use super::actor::PartitionOwner;
use super::messages::SessionEvent;
use super::pools::read_pool_records;
use crate::clients::State;
use crate::clock;
use crate::configuration::ConfigurationHandle;
use crate::model::Flavor;
use crate::partition;
use crate::task;
use crate::wire::{self, Item};
use crate::write_limits::json_bytes;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::sleep;

/// Key under which the machine types are kept for a restart in a cloud outage.
pub const FLAVORS_KEY: &str = "flavors";

/// The changes that keep the machine types, in as many values as they need. The first one is
/// where all of them were kept before.
pub(super) fn flavor_changes(flavors: &[Flavor], value_bytes: usize) -> Vec<Value> {
    let mut values: Vec<Vec<&Flavor>> = vec![Vec::new()];
    for flavor in flavors {
        let Some(last) = values.last_mut() else { break };
        last.push(flavor);
        if last.len() > 1 && json_bytes(last) > value_bytes {
            last.pop();
            values.push(vec![flavor]);
        }
    }
    let key = |n: usize| if n == 0 { FLAVORS_KEY.to_string() } else { format!("{FLAVORS_KEY}/{n}") };
    values.iter().enumerate().map(|(n, flavors)| wire::put(&key(n), &json!(flavors), None)).collect()
}

/// The machine types that are kept; one that is there twice counts once.
pub async fn kept_flavors(state: &State) -> Option<Vec<Flavor>> {
    let mut flavors: Vec<Flavor> = Vec::new();
    for item in state.list(FLAVORS_KEY).await.ok()? {
        let more: Vec<Flavor> = serde_json::from_value(item.value).unwrap_or_default();
        for flavor in more {
            if flavors.iter().all(|known| known.name != flavor.name) {
                flavors.push(flavor);
            }
        }
    }
    Some(flavors)
}

/// What the state service holds at the start of a session.
pub struct Loaded {
    pub(super) jobs: Vec<Item>,
    pub(super) hosts: Vec<Item>,
    pub(super) flavors: Vec<Flavor>,
    /// Records of warm pools; none are read without pools.
    pub(super) pool_records: Vec<Item>,
}

impl Loaded {
    /// Reads the records, and the configuration that the last owner obeyed or a later one.
    async fn read(state: &State, configuration: Option<&ConfigurationHandle>, has_pools: bool) -> Option<Loaded> {
        if let Some(configuration) = configuration
            && !configuration.refresh().await
        {
            return None;
        }
        let jobs = state.list("job/").await.ok()?;
        let hosts = state.list("host/").await.ok()?;
        let flavors = kept_flavors(state).await?;
        let pool_records = if has_pools { read_pool_records(state, clock::wall_ms()).await? } else { Vec::new() };
        Some(Loaded { jobs, hosts, flavors, pool_records })
    }
}

impl PartitionOwner {
    /// Reads what the state service holds, until that succeeds or the session is over.
    pub(super) fn load(&self, session: u64) {
        let (state, sender) = (self.state.clone(), self.sender(session));
        let configuration = self.router.configuration.clone();
        let has_pools = self.pools.is_some();
        task::spawn(async move {
            while sender.is_current() {
                if let Some(loaded) = Loaded::read(&state, configuration.as_ref(), has_pools).await {
                    sender.send(SessionEvent::Loaded(loaded)).await;
                    return;
                }
                sleep(state.pause()).await;
            }
        });
    }

    /// Reads records again that a commit found changed.
    pub(super) fn reread(&self, session: u64, keys: Vec<String>) {
        let (state, sender) = (self.state.clone(), self.sender(session));
        task::spawn(async move {
            let mut items = Vec::new();
            for k in keys {
                if let Ok((Some(i), _)) = state.get(&k).await {
                    items.push(i);
                }
            }
            sender.send(SessionEvent::Reread(items)).await;
        });
    }

    /// Reads the record of a machine that may be another partition's now.
    pub(super) fn recheck(&self, session: u64, host: String) {
        let (state, sender) = (self.state.clone(), self.sender(session));
        task::spawn(async move {
            if let Ok((item, _)) = state.get(&partition::host_key(&host)).await {
                let record = item.and_then(|i| serde_json::from_value(i.value).ok());
                sender.send(SessionEvent::Rechecked { host, record }).await;
            }
        });
    }

    /// Reads the jobs that other nodes accept, for as long as the session lasts.
    pub(super) fn watch_inbox(&self, session: u64) {
        let (state, sender) = (self.state.clone(), self.sender(session));
        let prefix = partition::inbox_key(self.id, "");
        let (wait_ms, pause) = (self.settings.lease_ms(), Duration::from_millis(self.settings.react_ms()));
        task::spawn(async move {
            while sender.is_current() {
                let round = async {
                    let (_, revision) = state.get(&prefix).await.ok()?;
                    let items = accepted_jobs(&state, &prefix).await?;
                    let any = !items.is_empty();
                    if !sender.send(SessionEvent::Inbox(items)).await {
                        return None;
                    }
                    // What was read stays listed until it is deleted.
                    if any { None } else { state.changes(&prefix, revision, wait_ms).await.ok() }
                };
                if round.await.is_none() {
                    sleep(pause).await;
                }
            }
        });
    }
}

/// The records of the jobs that are listed under the prefix.
async fn accepted_jobs(state: &State, prefix: &str) -> Option<Vec<Item>> {
    let mut items = Vec::new();
    for i in state.list(prefix).await.ok()? {
        let id = i.key.strip_prefix(prefix)?;
        items.extend(state.get(&partition::job_key(id)).await.ok()?.0);
    }
    Some(items)
}
