//! Which machines tasks may be placed on, now or soon.

use crate::model::{Host, UNREACHABLE_AFTER_MISSES};

/// Is it a new machine that has reported, and may be used once it is registered and has confirmed the
/// leader's fencing token? Its capacity need not be requested again.
pub fn joining(host: &Host) -> bool {
    !host.registered
        && host.addr.is_some()
        && !host.preemption_notice
        && !host.terminating
        && host.transferring_to.is_none()
        && host.unanswered_probes < UNREACHABLE_AFTER_MISSES
}

/// May tasks be placed on the machine now?
///
/// Invariant: only on a machine that is registered, so that a successor knows that it may hold tasks,
/// and whose agent has confirmed this leader's fencing token, so that no delayed order of an earlier
/// leader is still carried out there.
pub fn usable(host: &Host, now: u64) -> bool {
    host.registered
        && !host.has_unknown_tasks
        && !host.preemption_notice
        && !host.terminating
        && !host.draining
        && host.transferring_to.is_none()
        && host.token_confirmed()
        && host.blocked_until_ms <= now
        && !host.faulty()
        && host.addr.is_some()
        && host.unanswered_probes < UNREACHABLE_AFTER_MISSES
}
