//! The client of the state store: keys with versions, compare-and-swap commits, leases and watches.

use super::RequestError;
use crate::control::partition::CommitOutcome;
use crate::runtime::clock;
use crate::settings::Settings;
use crate::transport::http::{Client, SMALL_IDLE_POOL};
use crate::transport::network::Net;
use crate::wire::{self, Changes, Condition, Item, Page, Revision, StateLease, Write, store};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Keys on a page of a list, at the most.
const PAGE_SIZE: usize = 500;

/// The state store; cheap to clone. All clones share the time of the last answer.
#[derive(Clone)]
pub struct StateStore {
    http: Client,
    addr: SocketAddr,
    timeout: Duration,
    /// Milliseconds of the steady clock; 0 if there was no answer yet.
    last_answer_ms: Arc<AtomicU64>,
}

impl StateStore {
    /// A client over TCP.
    pub fn new(settings: &Settings) -> StateStore {
        StateStore::on(&Net::default(), settings)
    }

    /// A client over a given network.
    pub fn on(net: &Net, settings: &Settings) -> StateStore {
        StateStore {
            http: Client::on(net, SMALL_IDLE_POOL),
            addr: settings.endpoints.state,
            timeout: Duration::from_millis(settings.react_ms()),
            last_answer_ms: Arc::new(AtomicU64::new(0)),
        }
    }

    /// How long to wait before a request that had no answer is repeated.
    pub fn retry_delay(&self) -> Duration {
        self.timeout / 5
    }

    /// When the store last gave an answer that was not a refusal, in milliseconds of the steady
    /// clock; 0 if it never did.
    pub fn last_answer_ms(&self) -> u64 {
        self.last_answer_ms.load(Ordering::Relaxed)
    }

    /// Whether the store has answered within half the duration of a leader lease, which is in
    /// milliseconds. A leader asks it five times in that duration.
    pub fn is_responsive(&self, leader_lease_ttl_ms: u64) -> bool {
        let last_answer_ms = self.last_answer_ms();
        last_answer_ms > 0 && clock::now_ms().saturating_sub(last_answer_ms) < leader_lease_ttl_ms / 2
    }

    /// Status and body of the answer; an error also for a status by which the store did nothing.
    async fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        timeout: Duration,
    ) -> Result<(u16, Vec<u8>), RequestError> {
        let answer = self.http.call(self.addr, method, path, body, timeout).await?;
        match answer.0 {
            429 => Err(RequestError::Throttled),
            500.. => Err(RequestError::Refused),
            _ => {
                self.last_answer_ms.store(clock::now_ms(), Ordering::Relaxed);
                Ok(answer)
            }
        }
    }

    /// A key, if it exists, and the revision up to which that is known.
    ///
    /// # Errors
    ///
    /// The store refused the request, or gave no answer in time.
    pub async fn get(&self, key: &str) -> Result<(Option<Item>, u64), RequestError> {
        self.get_with_timeout(key, self.timeout).await
    }

    /// Like [`StateStore::get`], with the caller's timeout.
    ///
    /// # Errors
    ///
    /// As for [`StateStore::get`].
    pub async fn get_with_timeout(&self, key: &str, timeout: Duration) -> Result<(Option<Item>, u64), RequestError> {
        let (status, body) = self.call("GET", &store::key(key), None, timeout).await?;
        match status {
            200 => {
                let item: Item = parse(&body)?;
                let version = item.version;
                Ok((Some(item), version))
            }
            404 => {
                let absent: Revision = parse(&body)?;
                Ok((None, absent.revision))
            }
            _ => Err(RequestError::Refused),
        }
    }

    /// All keys with the prefix, read page by page.
    ///
    /// # Errors
    ///
    /// As for [`StateStore::get`]; nothing is returned of the pages that were read.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Item>, RequestError> {
        let mut items: Vec<Item> = Vec::new();
        loop {
            let after = items.last().map_or("", |item| item.key.as_str());
            let path = store::page(prefix, after, PAGE_SIZE);
            let (status, body) = self.call("GET", &path, None, self.timeout * 2).await?;
            if status != 200 {
                return Err(RequestError::Refused);
            }
            let page: Page = parse(&body)?;
            let empty = page.items.is_empty();
            items.extend(page.items);
            if !page.more || empty {
                return Ok(items);
            }
        }
    }

    /// Compare-and-swap: makes all `writes` if all `conditions` hold, and none of them otherwise.
    ///
    /// A commit without a usable answer is indeterminate: it may be applied at once or late,
    /// also after commits that are sent after it.
    pub async fn commit(&self, conditions: &[Condition], writes: &[Write]) -> CommitOutcome {
        let body = wire::commit_body(conditions, writes);
        match self.call("POST", store::COMMIT, Some(&body), self.timeout).await {
            Ok((200, answer)) => parse::<Revision>(&answer)
                .map_or(CommitOutcome::Indeterminate, |committed| CommitOutcome::Done { revision: committed.revision }),
            Ok((409, answer)) => parse::<Revision>(&answer)
                .map_or(CommitOutcome::Indeterminate, |conflict| CommitOutcome::Conflict { failed: conflict.failed }),
            Ok((status, answer)) => {
                tracing::error!(status, body = %String::from_utf8_lossy(&answer), "commit not accepted");
                CommitOutcome::NotTaken
            }
            Err(RequestError::Indeterminate) => CommitOutcome::Indeterminate,
            Err(RequestError::Throttled) => CommitOutcome::Throttled,
            Err(RequestError::Refused | RequestError::NotFound) => CommitOutcome::Refused,
        }
    }

    /// Creates a lease that lives for so many milliseconds; returns its id.
    ///
    /// # Errors
    ///
    /// The store refused the request. After [`RequestError::Indeterminate`] there may be a lease that nobody knows.
    pub async fn create_lease(&self, ttl_ms: u64) -> Result<u64, RequestError> {
        let (status, body) = self.call("POST", store::GRANTS, Some(&wire::grant_body(ttl_ms)), self.timeout).await?;
        if status != 200 {
            return Err(RequestError::Refused);
        }
        // The lease exists, though its id is unknown: it ends by itself.
        parse::<StateLease>(&body).map(|lease| lease.id).map_err(|_| RequestError::Indeterminate)
    }

    /// Renews a lease for so many milliseconds from when the store takes the request;
    /// `NotFound` if the lease has ended.
    ///
    /// # Errors
    ///
    /// [`RequestError::NotFound`] if the lease has ended; otherwise the renewal may or may not have been made.
    pub async fn renew_lease(&self, id: u64, ttl_ms: u64) -> Result<(), RequestError> {
        let timeout = Duration::from_millis(ttl_ms / 3);
        match self.call("POST", &store::extend(id), Some(&wire::grant_body(ttl_ms)), timeout).await?.0 {
            200 => Ok(()),
            404 => Err(RequestError::NotFound),
            _ => Err(RequestError::Refused),
        }
    }

    /// Revokes a lease; the keys that are attached to it are deleted with it.
    ///
    /// # Errors
    ///
    /// The lease may or may not have ended; without a renewal it ends by itself.
    pub async fn revoke_lease(&self, id: u64) -> Result<(), RequestError> {
        self.call("DELETE", &store::grant(id), None, self.timeout).await.map(|_| ())
    }

    /// Changes under the prefix after a revision; waits up to `wait_ms` for the first one.
    /// `NotFound` if the store no longer has the changes since that revision.
    ///
    /// # Errors
    ///
    /// [`RequestError::NotFound`] if the store no longer has the changes since that revision: read the keys again.
    pub async fn changes(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<Changes, RequestError> {
        let timeout = self.timeout + Duration::from_millis(wait_ms);
        let (status, body) = self.call("GET", &store::changes(prefix, after, wait_ms), None, timeout).await?;
        match status {
            200 => parse(&body),
            410 => Err(RequestError::NotFound),
            _ => Err(RequestError::Refused),
        }
    }
}

/// The answer in a body; one that can't be read counts as refused.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, RequestError> {
    serde_json::from_slice(body).map_err(|_| RequestError::Refused)
}
