//! Leadership epoch: the fencing tokens of one leader of the partition, and the numbers it assigns.

use crate::model::{FencingToken, FencingTokenRange, Host};
use crate::wire::{self, Condition};

/// Number of low-order bits of a number that are below the fencing token it was assigned under.
const SEQUENCE_BITS: u32 = 32;

/// Identity under which the leader acts.
///
/// Every commit is conditional on the version of the partition's key. That version changes with the
/// leader and with its fencing tokens, so writes of a superseded leader are not carried out.
#[derive(Debug)]
pub(super) struct LeadershipEpoch {
    /// Current fencing tokens; `NONE` before the records are read.
    tokens: FencingTokenRange,
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
            tokens: FencingTokenRange::NONE,
            first_token: FencingToken::NONE,
            partition_key,
            partition_version: 0,
            begun_ms: 0,
            last_number: 0,
        }
    }

    /// Starts the leadership with these fencing tokens.
    pub(super) fn begin(&mut self, tokens: FencingTokenRange, partition_version: u64, now: u64) {
        self.set_tokens(tokens, partition_version);
        self.first_token = tokens.first;
        self.begun_ms = now;
    }

    /// Sets the fencing tokens and the current version of the partition's key. With higher tokens, numbers
    /// continue from the first of them; with the same tokens, the counter is unchanged.
    pub(super) fn set_tokens(&mut self, tokens: FencingTokenRange, partition_version: u64) {
        if tokens.first > self.tokens.first {
            self.last_number = tokens.first.0 << SEQUENCE_BITS;
        }
        self.tokens = tokens;
        self.partition_version = partition_version;
    }

    /// Returns the fencing tokens.
    pub(super) fn tokens(&self) -> FencingTokenRange {
        self.tokens
    }

    /// Returns the lowest fencing token, with which orders to a worker begin; `NONE` before the records are read.
    pub(super) fn fencing_token(&self) -> FencingToken {
        self.tokens.first
    }

    /// Returns the highest fencing token that orders may carry.
    pub(super) fn last_token(&self) -> FencingToken {
        self.tokens.last
    }

    /// Returns the fencing token of orders to this host. It is at least the one that the worker has seen, unless the
    /// leader has to take higher tokens first.
    pub(super) fn token_of(&self, host: &Host) -> FencingToken {
        self.tokens.first.max(host.raised_token).max(host.seen_token.min(self.tokens.last))
    }

    /// Returns the token after this one; `None` if the leader has no higher one.
    pub(super) fn token_after(&self, token: FencingToken) -> Option<FencingToken> {
        (token < self.tokens.last).then(|| token.successor())
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

    /// Returns whether this leader has assigned the number under its present fencing tokens.
    pub(super) fn has_assigned(&self, number: u64) -> bool {
        number > self.tokens.first.0 << SEQUENCE_BITS && number <= self.last_number
    }

    /// Returns a number for an attempt, a warm slot, a loan or a commit. Numbers are unique across
    /// leaders: each is above all numbers assigned under lower fencing tokens.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
