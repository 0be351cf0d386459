//! Eligibility of machines for placement, now or once they have joined.

use crate::model::{Host, UNREACHABLE_AFTER_UNANSWERED};

/// Returns whether the machine is new and has reported, so that it becomes usable once it is registered and
/// has confirmed the fencing token of the leader. The capacity plan need not request its capacity again.
pub fn is_joining(host: &Host) -> bool {
    !host.registered
        && host.addr.is_some()
        && !host.preemption_notice
        && !host.terminating
        && host.transferring_to.is_none()
        && host.unanswered_commands < UNREACHABLE_AFTER_UNANSWERED
}

/// Returns whether tasks may be placed on the machine at `now`, in milliseconds of the steady clock.
///
/// Invariant: the machine is registered, so that the next leader knows that it may hold tasks, and its
/// agent has confirmed the fencing token of this leader, so that it no longer carries out delayed orders
/// of an earlier leader.
pub fn is_usable(host: &Host, now: u64) -> bool {
    host.registered
        && !host.has_unknown_tasks
        && !host.lost_memory
        && !host.preemption_notice
        && !host.terminating
        && !host.draining
        && host.transferring_to.is_none()
        && host.token_confirmed()
        && host.blocked_until_ms <= now
        && !host.faulty()
        && host.addr.is_some()
        && host.unanswered_commands < UNREACHABLE_AFTER_UNANSWERED
}
