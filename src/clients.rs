//! Clients of the state service, the cloud and the workers, with timeouts and
//! rate budgets derived from the settings.

pub mod job_reads;
pub mod request_budget;
pub mod write_limits;

use crate::control::partition::CommitOutcome;
use crate::runtime::clock;
use crate::settings::Settings;
use crate::transport::http::{CallError, Client, SMALL_IDLE_POOL};
use crate::transport::network::Net;
use crate::wire::{self, Changes, Condition, Item, Page, Revision, StateLease, Write, store};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

pub use cloud::{Cloud, RentResult};
pub use token_bucket::TokenBucket;
pub use worker::Worker;

/// Why the state service or the cloud gave no answer to work with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// Not carried out.
    Refused,
    /// Not carried out, as there were too many requests or changes lately.
    Throttled,
    /// Maybe carried out, maybe later.
    Indeterminate,
    /// What was named is not there (any more).
    Missing,
}

impl From<CallError> for RequestError {
    fn from(e: CallError) -> RequestError {
        match e {
            CallError::NotSent => RequestError::Refused,
            CallError::Indeterminate => RequestError::Indeterminate,
        }
    }
}

/// The state service.
#[derive(Clone)]
pub struct State {
    http: Client,
    addr: SocketAddr,
    timeout: Duration,
    last_ok: Arc<AtomicU64>,
}

impl State {
    /// A client over TCP.
    pub fn new(s: &Settings) -> State {
        State::on(&Net::default(), s)
    }

    /// A client over a given network.
    pub fn on(net: &Net, s: &Settings) -> State {
        State {
            http: Client::on(net, SMALL_IDLE_POOL),
            addr: s.endpoints.state,
            timeout: Duration::from_millis(s.react_ms()),
            last_ok: Arc::new(AtomicU64::new(0)),
        }
    }

    /// How long to wait before asking again what had no answer.
    pub fn pause(&self) -> Duration {
        self.timeout / 5
    }

    /// Steady time of the last answer that was not a refusal; 0 if none.
    pub fn last_ok_ms(&self) -> u64 {
        self.last_ok.load(Ordering::Relaxed)
    }

    async fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        limit: Duration,
    ) -> Result<(u16, Vec<u8>), RequestError> {
        let r = self.http.call(self.addr, method, path, body, limit).await?;
        match r.0 {
            429 => Err(RequestError::Throttled),
            500.. => Err(RequestError::Refused),
            _ => {
                self.last_ok.store(clock::now_ms(), Ordering::Relaxed);
                Ok(r)
            }
        }
    }

    /// Has it answered lately? Holders ask it five times in the life of a lease.
    pub fn answers(&self, leader_lease_ttl_ms: u64) -> bool {
        let last = self.last_ok_ms();
        last > 0 && clock::now_ms().saturating_sub(last) < leader_lease_ttl_ms / 2
    }

    /// A key, if it is there, and the revision up to which that is known.
    pub async fn get(&self, key: &str) -> Result<(Option<Item>, u64), RequestError> {
        self.get_within(key, self.timeout).await
    }

    /// The same, with a time-out of the caller's.
    pub async fn get_within(&self, key: &str, limit: Duration) -> Result<(Option<Item>, u64), RequestError> {
        let (status, body) = self.call("GET", &store::key(key), None, limit).await?;
        match status {
            200 => {
                let item: Item = serde_json::from_slice(&body).map_err(|_| RequestError::Refused)?;
                let v = item.version;
                Ok((Some(item), v))
            }
            404 => {
                let r: Revision = serde_json::from_slice(&body).map_err(|_| RequestError::Refused)?;
                Ok((None, r.revision))
            }
            _ => Err(RequestError::Refused),
        }
    }

    /// All keys with the prefix.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Item>, RequestError> {
        let mut out: Vec<Item> = Vec::new();
        loop {
            let after = out.last().map_or("", |i| i.key.as_str());
            let (status, body) = self.call("GET", &store::page(prefix, after, 500), None, self.timeout * 2).await?;
            if status != 200 {
                return Err(RequestError::Refused);
            }
            let page: Page = serde_json::from_slice(&body).map_err(|_| RequestError::Refused)?;
            let empty = page.items.is_empty();
            out.extend(page.items);
            if !page.more || empty {
                return Ok(out);
            }
        }
    }

    /// Makes all writes if all conditions hold, or none.
    pub async fn commit(&self, conditions: &[Condition], writes: &[Write]) -> CommitOutcome {
        let body = wire::commit_body(conditions, writes);
        match self.call("POST", store::COMMIT, Some(&body), self.timeout).await {
            Ok((200, b)) => match serde_json::from_slice::<Revision>(&b) {
                Ok(r) => CommitOutcome::Done { revision: r.revision },
                Err(_) => CommitOutcome::Indeterminate,
            },
            Ok((409, b)) => match serde_json::from_slice::<Revision>(&b) {
                Ok(r) => CommitOutcome::Conflict { failed: r.failed },
                Err(_) => CommitOutcome::Indeterminate,
            },
            Ok((status, b)) => {
                tracing::error!(status, body = %String::from_utf8_lossy(&b), "commit not taken");
                CommitOutcome::NotTaken
            }
            Err(RequestError::Indeterminate) => CommitOutcome::Indeterminate,
            Err(RequestError::Throttled) => CommitOutcome::Throttled,
            Err(_) => CommitOutcome::Refused,
        }
    }

    /// Asks for a lease that lives for so many milliseconds; returns its id.
    pub async fn new_grant(&self, leader_lease_ttl_ms: u64) -> Result<u64, RequestError> {
        let (status, body) =
            self.call("POST", store::GRANTS, Some(&wire::grant_body(leader_lease_ttl_ms)), self.timeout).await?;
        if status != 200 {
            return Err(RequestError::Refused);
        }
        serde_json::from_slice::<StateLease>(&body).map(|g| g.id).map_err(|_| RequestError::Indeterminate)
    }

    /// Lets a lease live for so many milliseconds from now; `Missing` if it has ended.
    pub async fn extend_grant(&self, id: u64, leader_lease_ttl_ms: u64) -> Result<(), RequestError> {
        let body = wire::grant_body(leader_lease_ttl_ms);
        let limit = Duration::from_millis(leader_lease_ttl_ms / 3);
        match self.call("POST", &store::extend(id), Some(&body), limit).await?.0 {
            200 => Ok(()),
            404 => Err(RequestError::Missing),
            _ => Err(RequestError::Refused),
        }
    }

    /// Ends a lease; the keys that are attached to it go with it.
    pub async fn end_grant(&self, id: u64) -> Result<(), RequestError> {
        self.call("DELETE", &store::grant(id), None, self.timeout).await.map(|_| ())
    }

    /// Changes under the prefix after a revision; `Missing` if that is too old.
    pub async fn changes(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<Changes, RequestError> {
        let limit = self.timeout + Duration::from_millis(wait_ms);
        let (status, body) = self.call("GET", &store::changes(prefix, after, wait_ms), None, limit).await?;
        match status {
            200 => serde_json::from_slice(&body).map_err(|_| RequestError::Refused),
            410 => Err(RequestError::Missing),
            _ => Err(RequestError::Refused),
        }
    }
}

mod cloud;
mod token_bucket;
mod worker;

#[cfg(test)]
mod tests;
