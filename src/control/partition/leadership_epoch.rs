//! Leadership epoch: the fencing tokens of one leader of the partition, and the numbers it assigns.

use crate::model::FencingToken;
use crate::wire::{self, Condition};

/// Number of low-order bits of a number that are below the fencing token it was assigned under.
const SEQUENCE_BITS: u32 = 32;

/// Identity under which the leader acts.
///
/// Every commit is conditional on the version of the partition's key. That version changes with the
/// leader and with its fencing token, so writes of a superseded leader are not carried out.
#[derive(Debug)]
pub(super) struct LeadershipEpoch {
    /// Current fencing token; `NONE` before the records are read.
    fencing_token: FencingToken,
    /// Fencing token that the leader began with. It may have raised its token since.
    first_token: FencingToken,
    /// Key of the partition in the state service.
    partition_key: String,
    /// Version of the partition's key; 0 before the records are read.
    partition_version: u64,
    /// Instant, in milliseconds of the monotonic clock, at which the leadership started.
    begun_ms: u64,
    /// Number that was assigned last.
    last_number: u64,
}

impl LeadershipEpoch {
    /// Returns the state before the records are read: the leader has no fencing token.
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

    /// Starts the leadership with this fencing token.
    pub(super) fn begin(&mut self, fencing_token: FencingToken, partition_version: u64, now: u64) {
        self.set_fencing_token(fencing_token, partition_version);
        self.first_token = fencing_token;
        self.begun_ms = now;
    }

    /// Sets the fencing token and the current version of the partition's key. With a higher token,
    /// numbers continue from that token; with the same token, the counter is unchanged.
    pub(super) fn set_fencing_token(&mut self, fencing_token: FencingToken, partition_version: u64) {
        if fencing_token > self.fencing_token {
            self.last_number = fencing_token.0 << SEQUENCE_BITS;
        }
        self.fencing_token = fencing_token;
        self.partition_version = partition_version;
    }

    /// Returns the fencing token that accompanies every order; `NONE` before the records are read.
    pub(super) fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// Returns the fencing token that the leader began with.
    pub(super) fn first_token(&self) -> FencingToken {
        self.first_token
    }

    /// Returns the instant, in milliseconds of the monotonic clock, at which the leadership started.
    pub(super) fn begun_ms(&self) -> u64 {
        self.begun_ms
    }

    /// Returns the key of the partition in the state service.
    pub(super) fn partition_key(&self) -> &str {
        &self.partition_key
    }

    /// Returns the version of the partition's key; 0 before the records are read.
    pub(super) fn partition_version(&self) -> u64 {
        self.partition_version
    }

    /// Returns the condition of every commit: the partition's key has not been changed by another leader
    /// or by a new fencing token.
    pub(super) fn condition(&self) -> Condition {
        wire::condition(&self.partition_key, self.partition_version)
    }

    /// Returns the number that the next call of `next_number` will return.
    pub(super) fn peek_next_number(&self) -> u64 {
        self.last_number + 1
    }

    /// Returns whether this leader has assigned the number under its present fencing token.
    pub(super) fn has_assigned(&self, number: u64) -> bool {
        number > self.fencing_token.0 << SEQUENCE_BITS && number <= self.last_number
    }

    /// Returns a number for an attempt, a warm slot, a loan or a commit. Numbers are unique across
    /// leaders: each is above all numbers assigned under lower fencing tokens.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
