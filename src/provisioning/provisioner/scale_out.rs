//! Requests for machines and the processing of their outcomes.

use super::booting::BootingHost;
use super::{CloudRequest, Provisioner};
use crate::clients::RentResult;
use crate::scheduling::ScaleOut;

/// Maximum number of times that a request without a known outcome is sent.
const MAX_TRIES: u32 = 8;
/// Upper bound of the pause between two tries, as a multiple of `react_ms`; pauses double up to it.
const MAX_PAUSE_RATIO: u64 = 16;
/// Multiple of the list's usual lag after which the machines of a request must be listed.
const LISTED_LAGS: u64 = 2;
/// Lower bound, in milliseconds, of the first pause before a refused offering is requested again.
const MIN_BACKOFF_MS: u64 = 1000;
/// Upper bound of the pause before a refused offering is requested again, as a multiple of the list's lag.
const MAX_BACKOFF_LAGS: u64 = 8;

/// A request for machines whose outcome is not known yet.
#[derive(Debug, Clone)]
pub(super) struct PendingScaleOut {
    /// Partition for which the machines are requested.
    pub(super) partition: u32,
    pub(super) scale_out: ScaleOut,
    tries: u32,
    /// Time at which the request was abandoned without a known outcome; `None` if it was not. It may have
    /// started machines nevertheless.
    abandoned_ms: Option<u64>,
}

/// Period during which a refused offering is not requested.
#[derive(Debug, Clone, Copy)]
pub(super) struct Backoff {
    pub(super) until_ms: u64,
    /// Length of the last pause; 0 if the refusal was received from partition 0.
    pub(super) pause_ms: u64,
}

impl PendingScaleOut {
    pub(super) fn new(partition: u32, scale_out: ScaleOut) -> PendingScaleOut {
        PendingScaleOut { partition, scale_out, tries: 1, abandoned_ms: None }
    }
}

impl Provisioner {
    /// Processes the outcome of a request for machines. Returns the request if it is to be repeated; `None` if
    /// not, or if no request with this name is pending.
    pub fn apply_scale_out_result(&mut self, name: &str, result: RentResult, now: u64) -> Option<CloudRequest> {
        let request = self.pending_scale_outs.get(name)?.clone();
        let scale_out = &request.scale_out;
        self.pending_counts.push(("rentals", outcome_label(&result, scale_out).to_string()));
        match result {
            RentResult::Rented(ids) => {
                if ids.len() < scale_out.count {
                    self.back_off(scale_out, now);
                } else {
                    self.refused_offerings.remove(&scale_out.offering);
                }
                self.pending_scale_outs.remove(name);
                ids.into_iter().for_each(|id| self.add_booting_host(id, &request, now));
                None
            }
            RentResult::NoCapacity | RentResult::Malformed => {
                self.back_off(scale_out, now);
                self.pending_scale_outs.remove(name);
                None
            }
            RentResult::Indeterminate => self.retry(name, now),
        }
    }

    fn add_booting_host(&mut self, id: String, request: &PendingScaleOut, now: u64) {
        let offering = &request.scale_out.offering;
        self.offering_by_host.insert(id.clone(), offering.clone());
        let booting = || BootingHost::requested(request.partition, offering.clone(), now);
        self.booting.entry(id).or_insert_with(booting);
    }

    /// Stops requests for an offering for a pause that doubles with each refusal in a row, up to
    /// `MAX_BACKOFF_LAGS` times the list's lag.
    fn back_off(&mut self, scale_out: &ScaleOut, now: u64) {
        let lag_ms = self.list_lag_ms.max(MIN_BACKOFF_MS);
        let next_pause = |backoff: &Backoff| backoff.pause_ms * 2;
        let last = self.refused_offerings.get(&scale_out.offering);
        let pause_ms = last.map_or(lag_ms, next_pause).min(lag_ms * MAX_BACKOFF_LAGS);
        self.refused_offerings.insert(scale_out.offering.clone(), Backoff { until_ms: now + pause_ms, pause_ms });
    }

    /// Repeats a request whose outcome is indeterminate. It is sent under the same name, so that the cloud
    /// does not start its machines twice. After `MAX_TRIES` tries the request is abandoned and the offering is
    /// not requested for a while.
    fn retry(&mut self, name: &str, now: u64) -> Option<CloudRequest> {
        let request = self.pending_scale_outs.get_mut(name)?;
        let scale_out = request.scale_out.clone();
        if request.tries < MAX_TRIES {
            let pause_ms = self.react_ms * (1 << (request.tries - 1)).min(MAX_PAUSE_RATIO);
            request.tries += 1;
            return Some(CloudRequest::ScaleOut { name: name.to_string(), scale_out, pause_ms });
        }
        let offering = &scale_out.offering;
        tracing::info!(
            name,
            zone = offering.zone,
            spot = offering.spot,
            "scale-out request abandoned without a known outcome"
        );
        self.pending_counts.push(("rentals", "abandoned".to_string()));
        request.abandoned_ms = Some(now);
        self.back_off(&scale_out, now);
        None
    }

    /// Removes abandoned requests once a list that was read at `now` certainly shows the machines that they
    /// started. These machines no longer count as requested.
    pub(super) fn remove_listed_abandoned(&mut self, now: u64) {
        let listed_after_ms = LISTED_LAGS * self.list_lag_ms;
        let may_be_unlisted = |abandoned_ms: u64| now < abandoned_ms + listed_after_ms;
        self.pending_scale_outs.retain(|_, request| request.abandoned_ms.is_none_or(may_be_unlisted));
    }
}

/// Returns the metric label of the answer to a request.
fn outcome_label(result: &RentResult, scale_out: &ScaleOut) -> &'static str {
    match result {
        RentResult::Rented(ids) if ids.len() < scale_out.count => "partly_filled",
        RentResult::Rented(_) => "filled",
        RentResult::NoCapacity => "refused",
        RentResult::Malformed => "malformed",
        RentResult::Indeterminate => "unanswered",
    }
}
