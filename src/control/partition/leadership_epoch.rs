//! One leader's time in office over the partition: its fencing tokens, and the numbers it gives out.

use crate::model::FencingToken;
use crate::wire::{self, Condition};

/// Bits of a number below the fencing token under which it was given out.
const NUMBER_BITS: u32 = 32;

/// The identity under which the leader acts.
///
/// Every commit is conditional on the version of the partition's key, which changes with the
/// leader and with its fencing token: a write of a leader that was superseded is not carried out.
#[derive(Debug)]
pub(super) struct LeadershipEpoch {
    fencing_token: FencingToken,
    /// The fencing token that the leader began with: it may have raised it since.
    first_token: FencingToken,
    partition_key: String,
    partition_version: u64,
    begun_ms: u64,
    last_number: u64,
}

impl LeadershipEpoch {
    /// The records were not read yet: the leader has no fencing token.
    pub(super) fn new(partition_key: String) -> LeadershipEpoch {
        LeadershipEpoch {
            fencing_token: FencingToken::NONE,
            first_token: FencingToken::NONE,
            partition_key,
            partition_version: 0,
            begun_ms: 0,
            last_number: 0,
        }
    }

    /// The leader begins, with this fencing token.
    pub(super) fn begin(&mut self, fencing_token: FencingToken, partition_version: u64, now: u64) {
        self.set_fencing_token(fencing_token, partition_version);
        self.first_token = fencing_token;
        self.begun_ms = now;
    }

    /// A new fencing token: numbers count on from it. The same one again, with the key's version
    /// as it is now, begins no count anew.
    pub(super) fn set_fencing_token(&mut self, fencing_token: FencingToken, partition_version: u64) {
        if fencing_token > self.fencing_token {
            self.last_number = fencing_token.0 << NUMBER_BITS;
        }
        self.fencing_token = fencing_token;
        self.partition_version = partition_version;
    }

    /// The fencing token that goes with every order; `NONE` before the records were read.
    pub(super) fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// The fencing token that the leader began with.
    pub(super) fn first_token(&self) -> FencingToken {
        self.first_token
    }

    /// When the leader began, by the monotonic clock.
    pub(super) fn begun_ms(&self) -> u64 {
        self.begun_ms
    }

    /// Key of the partition in the state service.
    pub(super) fn partition_key(&self) -> &str {
        &self.partition_key
    }

    /// Version of the partition's key; 0 before the records were read.
    pub(super) fn partition_version(&self) -> u64 {
        self.partition_version
    }

    /// The condition of every commit: no other leader, and no other fencing token, since.
    pub(super) fn condition(&self) -> Condition {
        wire::condition(&self.partition_key, self.partition_version)
    }

    /// The number that `next_number` gives next.
    pub(super) fn upcoming_number(&self) -> u64 {
        self.last_number + 1
    }

    /// A number for an attempt, a warm slot, a loan or a commit. None repeats, under this leader or
    /// another: each is above all that were given out under lower fencing tokens.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
