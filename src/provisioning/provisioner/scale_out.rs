//! Requests for machines and their outcomes.

use super::booting::BootingHost;
use super::{CloudRequest, Provisioner};
use crate::clients::RentResult;
use crate::scheduling::ScaleOut;

/// A request without an outcome is sent so many times.
const MAX_TRIES: u32 = 8;
/// Pauses between tries double up to this multiple of `react_ms`.
const MAX_PAUSE_RATIO: u64 = 16;
/// What came of a request must be listed after this multiple of the list's lag.
const LISTED_LAGS: u64 = 2;
/// The least first pause before a refused offering is requested again, in milliseconds.
const LEAST_BACKOFF_MS: u64 = 1000;
/// The longest such pause, as a multiple of the list's lag.
const MAX_BACKOFF_LAGS: u64 = 8;

/// A request for machines whose outcome is not known.
#[derive(Debug, Clone)]
pub(super) struct PendingScaleOut {
    /// The partition that the machines are for.
    pub(super) partition: u32,
    pub(super) scale_out: ScaleOut,
    tries: u32,
    /// When it was given up without an outcome. Machines may have come of it.
    abandoned_ms: Option<u64>,
}

/// How long an offering that was refused is not requested.
#[derive(Debug, Clone, Copy)]
pub(super) struct Backoff {
    pub(super) until_ms: u64,
    /// The last pause; 0 if it was set by another partition.
    pub(super) pause_ms: u64,
}

impl PendingScaleOut {
    pub(super) fn new(partition: u32, scale_out: ScaleOut) -> PendingScaleOut {
        PendingScaleOut { partition, scale_out, tries: 1, abandoned_ms: None }
    }
}

impl Provisioner {
    /// Takes in the outcome of a request for machines; returns the request if it is to be repeated.
    pub fn scale_out_answered(&mut self, name: &str, result: RentResult, now: u64) -> Option<CloudRequest> {
        let request = self.scale_outs.get(name)?.clone();
        let scale_out = &request.scale_out;
        self.counts.push(("rentals", outcome_label(&result, scale_out).to_string()));
        match result {
            RentResult::Rented(ids) => {
                if ids.len() < scale_out.count {
                    self.back_off(scale_out, now);
                } else {
                    self.refused.remove(&scale_out.offering);
                }
                self.scale_outs.remove(name);
                ids.into_iter().for_each(|id| self.note_booting(id, &request, now));
                None
            }
            RentResult::NoCapacity | RentResult::Malformed => {
                self.back_off(scale_out, now);
                self.scale_outs.remove(name);
                None
            }
            RentResult::Again => self.repeat(name, now),
        }
    }

    fn note_booting(&mut self, id: String, request: &PendingScaleOut, now: u64) {
        let offering = &request.scale_out.offering;
        self.offerings.insert(id.clone(), offering.clone());
        let booting = || BootingHost::requested(request.partition, offering.clone(), now);
        self.booting.entry(id).or_insert_with(booting);
    }

    /// Requests no more machines of an offering for a while: ever longer pauses, up to some lags of the
    /// list.
    fn back_off(&mut self, scale_out: &ScaleOut, now: u64) {
        let lag_ms = self.list_lag_ms.max(LEAST_BACKOFF_MS);
        let next_pause = |backoff: &Backoff| backoff.pause_ms * 2;
        let last = self.refused.get(&scale_out.offering);
        let pause_ms = last.map_or(lag_ms, next_pause).min(lag_ms * MAX_BACKOFF_LAGS);
        self.refused.insert(scale_out.offering.clone(), Backoff { until_ms: now + pause_ms, pause_ms });
    }

    /// The outcome of a request is indeterminate: it is sent again under the same name, which requests
    /// nothing twice. After many tries it is given up, and the offering avoided.
    fn repeat(&mut self, name: &str, now: u64) -> Option<CloudRequest> {
        let request = self.scale_outs.get_mut(name)?;
        let scale_out = request.scale_out.clone();
        if request.tries < MAX_TRIES {
            let pause_ms = self.react_ms * (1 << (request.tries - 1)).min(MAX_PAUSE_RATIO);
            request.tries += 1;
            return Some(CloudRequest::ScaleOut { name: name.to_string(), scale_out, pause_ms });
        }
        let offering = &scale_out.offering;
        tracing::info!(name, zone = offering.zone, spot = offering.spot, "rental without an outcome");
        self.counts.push(("rentals", "abandoned".to_string()));
        request.abandoned_ms = Some(now);
        self.back_off(&scale_out, now);
        None
    }

    /// A list was read: what came of requests that were given up long enough before is in it, and no
    /// longer counts as requested.
    pub(super) fn forget_abandoned(&mut self, now: u64) {
        let listed_after_ms = LISTED_LAGS * self.list_lag_ms;
        let may_be_unlisted = |abandoned_ms: u64| now < abandoned_ms + listed_after_ms;
        self.scale_outs.retain(|_, request| request.abandoned_ms.is_none_or(may_be_unlisted));
    }
}

/// The label by which the answer to a request is counted.
fn outcome_label(result: &RentResult, scale_out: &ScaleOut) -> &'static str {
    match result {
        RentResult::Rented(ids) if ids.len() < scale_out.count => "partly_filled",
        RentResult::Rented(_) => "filled",
        RentResult::NoCapacity => "refused",
        RentResult::Malformed => "malformed",
        RentResult::Again => "unanswered",
    }
}
