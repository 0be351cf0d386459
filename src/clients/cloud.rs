//! The client of the cloud.

use super::{RequestError, TokenBucket};
use crate::model::InstanceType;
use crate::runtime::clock;
use crate::settings::Settings;
use crate::transport::http::{Client, SMALL_IDLE_POOL};
use crate::transport::network::Net;
use crate::wire::{self, ListedInstance};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Share of the rate that the cloud allows which requests here may take.
const RATE_SHARE: f64 = 0.8;
/// Requests may come in bursts of so many seconds.
const BURST_S: f64 = 1.0;

/// The cloud; cheap to clone. All clones share one rate limit.
#[derive(Clone)]
pub struct Cloud {
    http: Client,
    addr: SocketAddr,
    timeout: Duration,
    rate_limit: Arc<Mutex<TokenBucket>>,
}

/// The outcome of a rental request.
#[derive(Debug, Clone, PartialEq)]
pub enum RentResult {
    /// The machines were rented; with their ids.
    Rented(Vec<String>),
    /// The cloud has no capacity of this kind now.
    NoCapacity,
    /// The cloud does not accept such a request.
    Malformed,
    /// The outcome is indeterminate: repeat the request under the same name.
    Again,
}

impl Cloud {
    /// A client over TCP.
    pub fn new(settings: &Settings) -> Cloud {
        Cloud::on(&Net::default(), settings)
    }

    /// A client over a given network.
    pub fn on(net: &Net, settings: &Settings) -> Cloud {
        let requests_per_s = settings.params.cloud.rps * RATE_SHARE;
        Cloud {
            http: Client::on(net, SMALL_IDLE_POOL),
            addr: settings.endpoints.cloud,
            timeout: Duration::from_millis(settings.lease_ms() / 4),
            rate_limit: Arc::new(Mutex::new(TokenBucket::new(requests_per_s, BURST_S, clock::now_ms()))),
        }
    }

    /// Status and body of the answer. Waits until the rate limit admits the request.
    async fn call(&self, method: &str, path: &str, body: Option<&[u8]>) -> Result<(u16, Vec<u8>), RequestError> {
        loop {
            if self.rate_limit.lock().is_ok_and(|mut bucket| bucket.try_take(clock::now_ms())) {
                break;
            }
            tokio::time::sleep(self.timeout / 20).await;
        }
        Ok(self.http.call(self.addr, method, path, body, self.timeout).await?)
    }

    /// The instance types, at least one; `None` if there was no usable answer.
    pub async fn instance_types(&self) -> Option<Vec<InstanceType>> {
        let (status, body) = self.call("GET", "/flavors", None).await.ok()?;
        if status != 200 {
            return None;
        }
        wire::parse_flavors(&body).filter(|instance_types| !instance_types.is_empty())
    }

    /// Rents machines. The name identifies the request, so that it can be repeated.
    pub async fn rent(&self, name: &str, instance_type: &str, zone: &str, spot: bool, count: usize) -> RentResult {
        let body = wire::rent_body(name, instance_type, zone, spot, count);
        match self.call("POST", "/hosts", Some(&body)).await {
            Ok((200, answer)) => wire::parse_rented(&answer).map_or(RentResult::Again, RentResult::Rented),
            Ok((400, _)) => RentResult::Malformed,
            Ok((503, answer)) if String::from_utf8_lossy(&answer).contains("no capacity") => RentResult::NoCapacity,
            _ => RentResult::Again,
        }
    }

    /// True once the cloud has confirmed that the machines are terminated; otherwise the outcome is
    /// indeterminate.
    pub async fn release(&self, hosts: &[String]) -> bool {
        let body = wire::release_body(hosts);
        matches!(self.call("POST", "/hosts/release", Some(&body)).await, Ok((200, _)))
    }

    /// All machines, page by page; `None` if a page had no usable answer.
    pub async fn list(&self) -> Option<Vec<ListedInstance>> {
        let mut instances: Vec<ListedInstance> = Vec::new();
        loop {
            let after = instances.last().map_or("", |instance| instance.id.as_str());
            let (status, body) = self.call("GET", &wire::list_path(after), None).await.ok()?;
            if status != 200 {
                return None;
            }
            let (page, more) = wire::parse_list(&body)?;
            let empty = page.is_empty();
            instances.extend(page);
            if !more || empty {
                return Some(instances);
            }
        }
    }
}
