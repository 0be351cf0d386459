//! Owners of the jobs by term, and the check that no controller acts under a superseded term.

use super::SimulationState;
use super::parameters::secs;
use serde_json::Value;
use tokio::time::Instant;

/// Seconds within which messages sent under a valid term arrive, unless a cut or a hanging machine
/// delays them.
const IN_FLIGHT_S: f64 = 0.1;

/// A term as recorded in the state service.
pub struct Term {
    number: u64,
    owner: String,
    since: Instant,
}

impl SimulationState {
    /// Notes the record of a term that a controller has written.
    pub fn record_term(&mut self, record: &Value) {
        let (Some(number), Some(owner)) = (record["term"].as_u64(), record["holder"].as_str()) else { return };
        if self.terms.last().is_none_or(|last| last.number < number) {
            self.terms.push(Term { number, owner: owner.into(), since: Instant::now() });
        }
    }

    /// Checks a token that a worker sees for the first time: the counter must have issued it.
    pub(super) fn check_token_was_issued(&mut self, worker: &str, token: u64) {
        let last_issued = self.store.value("term")["n"].as_u64().unwrap_or_default();
        if token > last_issued {
            self.fail(format!("token {token} reaches {worker}, but the counter has issued no more than {last_issued}"));
        }
    }

    /// Checks orders that reach a worker: their sender must not have been superseded by another leader.
    pub(super) fn check_term_of_orders(&mut self, worker: &str, message: &Value) {
        let orders = message["orders"].as_array().is_some_and(|orders| !orders.is_empty());
        let (true, true, Some(token)) = (self.check_terms, orders, message["fence"].as_u64()) else { return };
        // A record names the highest token of a leadership, which owns all tokens since the record before it.
        let Some(at) = self.terms.iter().position(|term| term.number >= token) else { return };
        let owner = &self.terms[at].owner;
        let Some(next) = self.terms[at..].iter().find(|term| term.owner != *owner) else { return };
        if next.since + secs(IN_FLIGHT_S) < Instant::now() {
            let ago = next.since.elapsed().as_secs_f64();
            let what = format!("{owner} gives {worker} orders {ago:.3} s after {} took over: {message}", next.owner);
            self.fail(what);
        }
    }
}
