//! Client of the state service: keys with versions, compare-and-swap commits, leases and watches.

use super::RequestError;
use super::state_request_metrics::{StateRequestKind, StateRequestMetrics};
use crate::control::partition::CommitOutcome;
use crate::runtime::clock;
use crate::settings::Settings;
use crate::transport::http::{Client, DEFAULT_MAX_IDLE_CONNECTIONS};
use crate::transport::network::Net;
use crate::wire::{self, Changes, Condition, KeyValue, LeaseReply, Page, RevisionReply, Write, store};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Maximum number of keys on a page of a list.
const PAGE_SIZE: usize = 500;

/// Client of the state service; cheap to clone, and all clones share the instant of the last answer.
#[derive(Clone)]
pub struct StateStore {
    http: Client,
    addr: SocketAddr,
    timeout: Duration,
    /// Instant of the last answer, in milliseconds of the steady clock; 0 if there was none yet.
    last_answer_ms: Arc<AtomicU64>,
    metrics: StateRequestMetrics,
}

impl StateStore {
    /// Returns a client over TCP.
    pub fn new(settings: &Settings) -> StateStore {
        StateStore::on(&Net::default(), settings)
    }

    /// Returns a client over the given network.
    pub fn on(net: &Net, settings: &Settings) -> StateStore {
        StateStore {
            http: Client::on(net, DEFAULT_MAX_IDLE_CONNECTIONS),
            addr: settings.endpoints.state,
            timeout: Duration::from_millis(settings.react_ms()),
            last_answer_ms: Arc::new(AtomicU64::new(0)),
            metrics: StateRequestMetrics::default(),
        }
    }

    /// Returns the time to wait before a request without an answer is repeated.
    pub fn retry_delay(&self) -> Duration {
        self.timeout / 5
    }

    /// Returns the instant, in milliseconds of the steady clock, of the last answer that was not a
    /// refusal; 0 if there was none.
    pub fn last_answer_ms(&self) -> u64 {
        self.last_answer_ms.load(Ordering::Relaxed)
    }

    /// Returns whether the state service has answered within half the duration of a leader lease, which
    /// is given in milliseconds. A leader sends it five requests per lease duration.
    pub fn is_responsive(&self, leader_lease_ttl_ms: u64) -> bool {
        let last_answer_ms = self.last_answer_ms();
        last_answer_ms > 0 && clock::now_ms().saturating_sub(last_answer_ms) < leader_lease_ttl_ms / 2
    }

    /// Returns the counters of the requests so far.
    pub fn metrics(&self) -> &StateRequestMetrics {
        &self.metrics
    }

    /// Sends a request, counts it, and returns the status and the body of the answer.
    ///
    /// # Errors
    ///
    /// The request had no answer, or a status (429, or 500 and above) by which nothing was carried out.
    async fn call(
        &self,
        kind: StateRequestKind,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        timeout: Duration,
    ) -> Result<(u16, Vec<u8>), RequestError> {
        let result = self.call_uncounted(method, path, body, timeout).await;
        self.metrics.count(kind, result.as_ref().err().copied());
        result
    }

    /// Sends a request like [`StateStore::call`], without counting it.
    async fn call_uncounted(
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

    /// Returns the key, or `None` if it does not exist, and the revision up to which that is known.
    ///
    /// # Errors
    ///
    /// The state service refused the request, or gave no answer within the timeout.
    pub async fn get(&self, key: &str) -> Result<(Option<KeyValue>, u64), RequestError> {
        self.get_with_timeout(key, self.timeout).await
    }

    /// Returns the same as [`StateStore::get`], with the given timeout.
    ///
    /// # Errors
    ///
    /// As for [`StateStore::get`].
    pub async fn get_with_timeout(
        &self,
        key: &str,
        timeout: Duration,
    ) -> Result<(Option<KeyValue>, u64), RequestError> {
        let (status, body) = self.call(StateRequestKind::Read, "GET", &store::key(key), None, timeout).await?;
        match status {
            200 => {
                let item: KeyValue = parse(&body)?;
                let version = item.version;
                Ok((Some(item), version))
            }
            404 => {
                let absent: RevisionReply = parse(&body)?;
                Ok((None, absent.revision))
            }
            _ => Err(RequestError::Refused),
        }
    }

    /// Returns all keys with the prefix, read page by page.
    ///
    /// # Errors
    ///
    /// As for [`StateStore::get`], on any page; the pages read before it are discarded.
    pub async fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, RequestError> {
        let mut items: Vec<KeyValue> = Vec::new();
        loop {
            let after = items.last().map_or("", |item| item.key.as_str());
            let path = store::page(prefix, after, PAGE_SIZE);
            let (status, body) = self.call(StateRequestKind::Page, "GET", &path, None, self.timeout * 2).await?;
            if status != 200 {
                return Err(RequestError::Refused);
            }
            let page: Page = parse(&body)?;
            let page_is_empty = page.items.is_empty();
            items.extend(page.items);
            if !page.more || page_is_empty {
                return Ok(items);
            }
        }
    }

    /// Commits all `writes` if all `conditions` hold, and none of them otherwise (compare-and-swap).
    ///
    /// The outcome of a commit without a usable answer is indeterminate: it may be applied at once or
    /// later, even after commits that are sent after it.
    pub async fn commit(&self, conditions: &[Condition], writes: &[Write]) -> CommitOutcome {
        let body = wire::commit_body(conditions, writes);
        match self.call(StateRequestKind::Commit, "POST", store::COMMIT, Some(&body), self.timeout).await {
            Ok((200, answer)) => parse::<RevisionReply>(&answer)
                .map_or(CommitOutcome::Indeterminate, |committed| CommitOutcome::Done { revision: committed.revision }),
            Ok((409, answer)) => parse::<RevisionReply>(&answer)
                .map_or(CommitOutcome::Indeterminate, |conflict| CommitOutcome::Conflict { failed: conflict.failed }),
            Ok((status, answer)) => {
                tracing::error!(status, body = %String::from_utf8_lossy(&answer), "state service rejected the commit");
                CommitOutcome::Rejected
            }
            Err(RequestError::Indeterminate) => CommitOutcome::Indeterminate,
            Err(RequestError::Throttled) => CommitOutcome::Throttled,
            Err(RequestError::Refused | RequestError::NotFound) => CommitOutcome::Refused,
        }
    }

    /// Creates a lease with a duration of `ttl_ms` milliseconds and returns its id.
    ///
    /// # Errors
    ///
    /// The state service refused the request, or the outcome is unknown. After
    /// [`RequestError::Indeterminate`] a lease with an unknown id may exist until it expires.
    pub async fn create_lease(&self, ttl_ms: u64) -> Result<u64, RequestError> {
        let (status, body) = self
            .call(StateRequestKind::Lease, "POST", store::LEASES, Some(&wire::lease_body(ttl_ms)), self.timeout)
            .await?;
        if status != 200 {
            return Err(RequestError::Refused);
        }
        // The lease exists but its id is unknown; it expires without renewals.
        parse::<LeaseReply>(&body).map(|lease| lease.id).map_err(|_| RequestError::Indeterminate)
    }

    /// Renews a lease for `ttl_ms` milliseconds, which begin when the state service handles the request.
    ///
    /// # Errors
    ///
    /// [`RequestError::NotFound`] if the lease has ended. After other errors the renewal may or may not
    /// have been made.
    pub async fn renew_lease(&self, id: u64, ttl_ms: u64) -> Result<(), RequestError> {
        let timeout = Duration::from_millis(ttl_ms / 3);
        match self
            .call(StateRequestKind::Lease, "POST", &store::lease_renewal(id), Some(&wire::lease_body(ttl_ms)), timeout)
            .await?
            .0
        {
            200 => Ok(()),
            404 => Err(RequestError::NotFound),
            _ => Err(RequestError::Refused),
        }
    }

    /// Revokes a lease and thereby deletes the keys that are attached to it.
    ///
    /// # Errors
    ///
    /// The request was refused or had no answer. The lease may or may not have ended; it expires
    /// without renewals.
    pub async fn revoke_lease(&self, id: u64) -> Result<(), RequestError> {
        self.call(StateRequestKind::Lease, "DELETE", &store::lease(id), None, self.timeout).await.map(|_| ())
    }

    /// Returns the changes under the prefix after a revision. If there are none yet, the request waits
    /// for the first one for up to `wait_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// [`RequestError::NotFound`] if the state service no longer has the changes since that revision;
    /// the caller has to read the keys again.
    pub async fn changes(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<Changes, RequestError> {
        let timeout = self.timeout + Duration::from_millis(wait_ms);
        let (status, body) =
            self.call(StateRequestKind::Watch, "GET", &store::changes(prefix, after, wait_ms), None, timeout).await?;
        match status {
            200 => parse(&body),
            410 => Err(RequestError::NotFound),
            _ => Err(RequestError::Refused),
        }
    }
}

/// Parses the body of an answer; a body that can't be parsed counts as a refusal.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, RequestError> {
    serde_json::from_slice(body).map_err(|_| RequestError::Refused)
}
