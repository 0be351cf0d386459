//! The client of the cloud.

use super::{RequestError, TokenBucket};
use crate::model::InstanceType;
use crate::runtime::clock;
use crate::settings::Settings;
use crate::transport::http::{Client, SMALL_IDLE_POOL};
use crate::transport::network::Net;
use crate::wire::{self, ListedInstance};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
    pub async fn instance_types(&self) -> Option<Vec<InstanceType>> {
        let (status, body) = self.call("GET", "/flavors", None).await.ok()?;
        if status != 200 {
            return None;
        }
        wire::parse_flavors(&body).filter(|f| !f.is_empty())
    }

    /// Rents machines. The name identifies the request, so that it can be repeated.
    pub async fn rent(&self, name: &str, instance_type: &str, zone: &str, spot: bool, count: usize) -> RentResult {
        let body = wire::rent_body(name, instance_type, zone, spot, count);
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
    pub async fn list(&self) -> Option<Vec<ListedInstance>> {
        let mut out: Vec<ListedInstance> = Vec::new();
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
