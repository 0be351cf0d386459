//! Client of the cloud.

use super::{RequestError, TokenBucket};
use crate::model::InstanceType;
use crate::runtime::clock;
use crate::settings::Settings;
use crate::transport::http::{Client, DEFAULT_MAX_IDLE_CONNECTIONS};
use crate::transport::network::Net;
use crate::wire::{self, ListedInstance};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Share of the cloud's rate limit that the requests of this client may use.
const RATE_SHARE: f64 = 0.8;
/// Largest burst, as the number of seconds whose requests may be made at once.
const BURST_S: f64 = 1.0;

/// Client of the cloud; cheap to clone, and all clones share one rate limit.
#[derive(Clone)]
pub struct Cloud {
    http: Client,
    addr: SocketAddr,
    timeout: Duration,
    rate_limit: Arc<Mutex<TokenBucket>>,
}

/// Outcome of a rental request.
#[derive(Debug, Clone, PartialEq)]
pub enum RentResult {
    /// The machines with these ids were rented.
    Rented(Vec<String>),
    /// The cloud has no capacity now for the instance type, zone and kind of rental.
    NoCapacity,
    /// The cloud rejected the request as malformed.
    Malformed,
    /// The outcome is indeterminate. The request has to be repeated under the same name, so that no
    /// second set of machines is rented.
    Indeterminate,
}

impl Cloud {
    /// Returns a client over TCP.
    pub fn new(settings: &Settings) -> Cloud {
        Cloud::on(&Net::default(), settings)
    }

    /// Returns a client over the given network.
    pub fn on(net: &Net, settings: &Settings) -> Cloud {
        let requests_per_s = settings.params.cloud.rps * RATE_SHARE;
        Cloud {
            http: Client::on(net, DEFAULT_MAX_IDLE_CONNECTIONS),
            addr: settings.endpoints.cloud,
            timeout: Duration::from_millis(settings.lease_ms() / 4),
            rate_limit: Arc::new(Mutex::new(TokenBucket::new(requests_per_s, BURST_S, clock::now_ms()))),
        }
    }

    /// Sends a request as soon as the rate limit admits it, and returns the status and the body of the
    /// answer.
    async fn call(&self, method: &str, path: &str, body: Option<&[u8]>) -> Result<(u16, Vec<u8>), RequestError> {
        loop {
            if self.rate_limit.lock().is_ok_and(|mut bucket| bucket.try_take(clock::now_ms())) {
                break;
            }
            tokio::time::sleep(self.timeout / 20).await;
        }
        Ok(self.http.call(self.addr, method, path, body, self.timeout).await?)
    }

    /// Returns the instance types that the cloud offers, at least one; `None` if there was no usable
    /// answer.
    pub async fn instance_types(&self) -> Option<Vec<InstanceType>> {
        let (status, body) = self.call("GET", "/flavors", None).await.ok()?;
        if status != 200 {
            return None;
        }
        wire::parse_instance_types(&body).filter(|instance_types| !instance_types.is_empty())
    }

    /// Rents `count` machines. The name identifies the request, so that a repetition rents no further
    /// machines.
    pub async fn rent(&self, name: &str, instance_type: &str, zone: &str, spot: bool, count: usize) -> RentResult {
        let body = wire::rent_body(name, instance_type, zone, spot, count);
        match self.call("POST", "/hosts", Some(&body)).await {
            Ok((200, answer)) => {
                wire::parse_rented_machines(&answer).map_or(RentResult::Indeterminate, RentResult::Rented)
            }
            Ok((400, _)) => RentResult::Malformed,
            Ok((503, answer)) if String::from_utf8_lossy(&answer).contains("no capacity") => RentResult::NoCapacity,
            _ => RentResult::Indeterminate,
        }
    }

    /// Requests the termination of machines and returns whether the cloud has confirmed it; without a
    /// confirmation the outcome is indeterminate.
    pub async fn terminate(&self, hosts: &[String]) -> bool {
        let body = wire::release_body(hosts);
        matches!(self.call("POST", "/hosts/release", Some(&body)).await, Ok((200, _)))
    }

    /// Returns all rented machines, read page by page; `None` if a page had no usable answer.
    pub async fn list(&self) -> Option<Vec<ListedInstance>> {
        let mut instances: Vec<ListedInstance> = Vec::new();
        loop {
            let after = instances.last().map_or("", |instance| instance.id.as_str());
            let (status, body) = self.call("GET", &wire::machine_list_path(after), None).await.ok()?;
            if status != 200 {
                return None;
            }
            let (page, more) = wire::parse_machine_list(&body)?;
            let page_is_empty = page.is_empty();
            instances.extend(page);
            if !more || page_is_empty {
                return Some(instances);
            }
        }
    }
}
