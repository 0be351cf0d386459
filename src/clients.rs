//! Clients of the state service, the cloud and the workers, with timeouts and
//! rate budgets derived from the settings.

use crate::bounds::Bounds;
use crate::clock;
use crate::config::Settings;
use crate::http::{CallError, Client, SMALL_IDLE_POOL};
use crate::model::Flavor;
use crate::net::Net;
use crate::partition::{CommitResult, DirectResult};
use crate::wire::{self, Changes, Grant, Item, Listed, Page, Revision, store};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A token bucket on the steady clock.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    most: f64,
    tokens: f64,
    at_ms: u64,
}

impl TokenBucket {
    /// `rate` tokens a second; bursts of `burst_s` seconds' worth.
    pub fn new(rate: f64, burst_s: f64, now: u64) -> TokenBucket {
        let most = (rate * burst_s).max(1.0);
        TokenBucket { rate, most, tokens: most, at_ms: now }
    }

    /// Whole tokens at hand.
    pub fn available_tokens(&mut self, now: u64) -> usize {
        let passed = now.saturating_sub(self.at_ms) as f64 / 1000.0;
        self.at_ms = now;
        self.tokens = (self.tokens + passed * self.rate).min(self.most);
        self.tokens.max(0.0) as usize
    }

    /// Takes `n` tokens, also if fewer are at hand: the bucket then fills up from below 0.
    pub fn spend(&mut self, n: usize) {
        self.tokens -= n as f64;
    }

    /// Takes one token if there is one; false if there is none.
    pub fn take(&mut self, now: u64) -> bool {
        let ok = self.available_tokens(now) >= 1;
        if ok {
            self.spend(1);
        }
        ok
    }
}

/// Why the state service or the cloud gave no answer to work with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// Not carried out.
    Refused,
    /// Not carried out, as there were too many requests or changes lately.
    Throttled,
    /// Maybe carried out, maybe later.
    Unclear,
    /// What was named is not there (any more).
    Missing,
}

impl From<CallError> for RequestError {
    fn from(e: CallError) -> RequestError {
        match e {
            CallError::NotSent => RequestError::Refused,
            CallError::Unclear => RequestError::Unclear,
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

    /// Has it answered lately? Holders ask it five times in the life of a grant.
    pub fn answers(&self, grant_ttl_ms: u64) -> bool {
        let last = self.last_ok_ms();
        last > 0 && clock::now_ms().saturating_sub(last) < grant_ttl_ms / 2
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

    /// Makes the changes in `apply` if all conditions in `guards` hold.
    pub async fn commit(&self, guards: &[Value], apply: &[Value]) -> CommitResult {
        let body = wire::commit_body(guards, apply);
        match self.call("POST", store::COMMIT, Some(&body), self.timeout).await {
            Ok((200, b)) => match serde_json::from_slice::<Revision>(&b) {
                Ok(r) => CommitResult::Done { revision: r.revision },
                Err(_) => CommitResult::Unclear,
            },
            Ok((409, b)) => match serde_json::from_slice::<Revision>(&b) {
                Ok(r) => CommitResult::Conflict { failed: r.failed },
                Err(_) => CommitResult::Unclear,
            },
            Ok((status, b)) => {
                tracing::error!(status, body = %String::from_utf8_lossy(&b), "commit not taken");
                CommitResult::NotTaken
            }
            Err(RequestError::Unclear) => CommitResult::Unclear,
            Err(RequestError::Throttled) => CommitResult::Throttled,
            Err(_) => CommitResult::Refused,
        }
    }

    /// Asks for a grant that lives for so many milliseconds; returns its id.
    pub async fn new_grant(&self, grant_ttl_ms: u64) -> Result<u64, RequestError> {
        let (status, body) =
            self.call("POST", store::GRANTS, Some(&wire::grant_body(grant_ttl_ms)), self.timeout).await?;
        if status != 200 {
            return Err(RequestError::Refused);
        }
        serde_json::from_slice::<Grant>(&body).map(|g| g.id).map_err(|_| RequestError::Unclear)
    }

    /// Lets a grant live for so many milliseconds from now; `Missing` if it has ended.
    pub async fn extend_grant(&self, id: u64, grant_ttl_ms: u64) -> Result<(), RequestError> {
        let body = wire::grant_body(grant_ttl_ms);
        let limit = Duration::from_millis(grant_ttl_ms / 3);
        match self.call("POST", &store::extend(id), Some(&body), limit).await?.0 {
            200 => Ok(()),
            404 => Err(RequestError::Missing),
            _ => Err(RequestError::Refused),
        }
    }

    /// Ends a grant; the keys that are attached to it go with it.
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

/// The cloud.
#[derive(Clone)]
pub struct Cloud {
    http: Client,
    addr: SocketAddr,
    timeout: Duration,
    budget: Arc<std::sync::Mutex<TokenBucket>>,
}

/// What became of a rental request.
#[derive(Debug, Clone, PartialEq)]
pub enum RentResult {
    /// The machines were rented; with their ids.
    Rented(Vec<String>),
    /// The cloud has no such machines now.
    NoCapacity,
    /// The cloud does not accept the request.
    Malformed,
    /// Ask again under the same name.
    Again,
}

impl Cloud {
    /// A client over TCP.
    pub fn new(s: &Settings) -> Cloud {
        Cloud::on(&Net::default(), s)
    }

    /// A client over a given network.
    pub fn on(net: &Net, s: &Settings) -> Cloud {
        Cloud {
            http: Client::on(net, SMALL_IDLE_POOL),
            addr: s.endpoints.cloud,
            timeout: Duration::from_millis(s.lease_ms() / 4),
            budget: Arc::new(std::sync::Mutex::new(TokenBucket::new(s.params.cloud.rps * 0.8, 1.0, clock::now_ms()))),
        }
    }

    async fn call(&self, method: &str, path: &str, body: Option<&[u8]>) -> Result<(u16, Vec<u8>), RequestError> {
        loop {
            if self.budget.lock().is_ok_and(|mut b| b.take(clock::now_ms())) {
                break;
            }
            tokio::time::sleep(self.timeout / 20).await;
        }
        Ok(self.http.call(self.addr, method, path, body, self.timeout).await?)
    }

    /// The machine types, at least one; `None` if there was no usable answer.
    pub async fn flavors(&self) -> Option<Vec<Flavor>> {
        let (status, body) = self.call("GET", "/flavors", None).await.ok()?;
        if status != 200 {
            return None;
        }
        wire::parse_flavors(&body).filter(|f| !f.is_empty())
    }

    /// Rents machines. The name identifies the request, so that it can be repeated.
    pub async fn rent(&self, name: &str, flavor: &str, zone: &str, spot: bool, count: usize) -> RentResult {
        let body = wire::rent_body(name, flavor, zone, spot, count);
        match self.call("POST", "/hosts", Some(&body)).await {
            Ok((200, b)) => wire::parse_rented(&b).map_or(RentResult::Again, RentResult::Rented),
            Ok((400, _)) => RentResult::Malformed,
            Ok((503, b)) if String::from_utf8_lossy(&b).contains("no capacity") => RentResult::NoCapacity,
            _ => RentResult::Again,
        }
    }

    /// True once the cloud has confirmed that the machines are gone.
    pub async fn release(&self, hosts: &[String]) -> bool {
        let body = wire::release_body(hosts);
        matches!(self.call("POST", "/hosts/release", Some(&body)).await, Ok((200, _)))
    }

    /// All machines, page by page; `None` if a page had no usable answer.
    pub async fn list(&self) -> Option<Vec<Listed>> {
        let mut out: Vec<Listed> = Vec::new();
        loop {
            let after = out.last().map_or("", |h| h.id.as_str());
            let (status, body) = self.call("GET", &wire::list_path(after), None).await.ok()?;
            if status != 200 {
                return None;
            }
            let (page, more) = wire::parse_list(&body)?;
            let empty = page.is_empty();
            out.extend(page);
            if !more || empty {
                return Some(out);
            }
        }
    }
}

/// Direct commands to workers.
#[derive(Clone)]
pub struct Worker {
    http: Client,
    /// Bounds the commands under way, and so the sockets that they use.
    under_way: Arc<tokio::sync::Semaphore>,
    kept: usize,
    timeout: Duration,
}

impl Worker {
    /// A client over TCP.
    pub fn new(s: &Settings) -> Worker {
        Worker::on(&Net::default(), s)
    }

    /// A client over a given network.
    pub fn on(net: &Net, s: &Settings) -> Worker {
        let bounds = Bounds::new(s);
        Worker {
            http: Client::on(net, bounds.worker_connections),
            under_way: Arc::new(tokio::sync::Semaphore::new(bounds.direct_commands)),
            kept: bounds.direct_commands / 2,
            // Two questions in vain make a machine lost: both fit into one `react_ms`.
            timeout: Duration::from_millis(s.react_ms() / 2),
        }
    }

    /// Sends a direct command, once fewer than the allowed number are under way.
    pub async fn direct(&self, addr: SocketAddr, body: &[u8]) -> DirectResult {
        let Ok(_place) = self.under_way.acquire().await else { return DirectResult::NotSent };
        match self.http.call(addr, "POST", wire::DO_PATH, Some(body), self.timeout).await {
            Ok((200 | 409, b)) => match serde_json::from_slice(&b) {
                Ok(r) => DirectResult::Answered(Box::new(r)),
                Err(_) => DirectResult::Unclear,
            },
            Ok(_) | Err(CallError::Unclear) => DirectResult::Unclear,
            Err(CallError::NotSent) => DirectResult::NotSent,
        }
    }

    /// How many more commands may be under way, and how many of those are kept
    /// for orders when there is much to ask.
    pub fn places(&self) -> (usize, usize) {
        (self.under_way.available_permits(), self.kept)
    }

    /// Closes the idle connections to a worker that is gone.
    pub fn forget(&self, addr: SocketAddr) {
        self.http.forget(addr);
    }
}

#[cfg(test)]
mod tests;
