//! Measurements of the actor's own work: how long messages wait for it, which requests nobody waits for any more,
//! and which step kept the thread of the controller for how long.

use super::leader::PartitionLeader;
use super::leadership::Leadership;
use crate::runtime::clock;
use crate::transport::peer::UserCall;

/// Divisor of the duration of a leader lease that gives the time after which a step is logged as long. The lease is
/// renewed five times in its duration, so that a longer step delays a renewal.
const LONG_STEP_DIVISOR: u64 = 4;

/// Step of the actor, as a label of metrics and logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// A batch of messages.
    Messages,
    /// Failure detection.
    FailureDetection,
    /// Scheduling cycle.
    Cycle,
    /// Orders to workers.
    Orders,
    /// Construction of a commit.
    Commit,
    /// Plan of the machines.
    Plan,
}

impl Step {
    fn label(self) -> &'static str {
        match self {
            Step::Messages => "messages",
            Step::FailureDetection => "failure_detection",
            Step::Cycle => "cycle",
            Step::Orders => "orders",
            Step::Commit => "commit",
            Step::Plan => "plan",
        }
    }
}

/// Kind of a request whose sender waits for the reply, as a label of metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestKind {
    Heartbeat,
    Submission,
    Poll,
    Cancellation,
}

impl RequestKind {
    /// Returns the kind of a user's request.
    pub(super) fn of(call: &UserCall) -> RequestKind {
        match call {
            UserCall::Submit(_) => RequestKind::Submission,
            UserCall::Status(_) => RequestKind::Poll,
            UserCall::Cancel(_) => RequestKind::Cancellation,
        }
    }

    fn label(self) -> &'static str {
        match self {
            RequestKind::Heartbeat => "heartbeat",
            RequestKind::Submission => "submission",
            RequestKind::Poll => "poll",
            RequestKind::Cancellation => "cancellation",
        }
    }
}

/// Extremes since the last summary in the log.
#[derive(Debug, Default)]
pub(super) struct Activity {
    next_summary_ms: u64,
    requests: u64,
    abandoned: u64,
    max_wait_ms: u64,
    longest_step: Option<(Step, u64)>,
}

impl Leadership {
    /// Records that a request is handled at `now`; `abandoned` is whether its sender no longer waits for the reply.
    pub(super) fn record_request(&mut self, kind: RequestKind, queued_ms: u64, abandoned: bool, now: u64) {
        let wait_ms = now.saturating_sub(queued_ms);
        self.activity.requests += 1;
        self.activity.max_wait_ms = self.activity.max_wait_ms.max(wait_ms);
        let metrics = self.partition.metrics_mut();
        metrics.observe("request_wait_ms", kind.label(), wait_ms);
        if abandoned {
            metrics.count("requests_abandoned", kind.label());
            self.activity.abandoned += 1;
        }
    }

    /// Records a step that took this many milliseconds. Steps of less than a millisecond are not recorded.
    fn record_step(&mut self, step: Step, elapsed_ms: u64) {
        if elapsed_ms == 0 {
            return;
        }
        self.partition.metrics_mut().observe("step_ms", step.label(), elapsed_ms);
        if self.activity.longest_step.is_none_or(|(_, longest_ms)| elapsed_ms > longest_ms) {
            self.activity.longest_step = Some((step, elapsed_ms));
        }
    }
}

impl PartitionLeader {
    /// Runs a step of the actor and records its duration. A step during which renewals of the leader lease were
    /// delayed is logged.
    pub(super) fn measure<T>(
        &self,
        leadership: &mut Leadership,
        step: Step,
        work: impl FnOnce(&mut Leadership) -> T,
    ) -> T {
        let start_ms = clock::now_ms();
        let result = work(leadership);
        let now = clock::now_ms();
        let elapsed_ms = now.saturating_sub(start_ms);
        leadership.record_step(step, elapsed_ms);
        if elapsed_ms > self.settings.leader_lease_ttl_ms() / LONG_STEP_DIVISOR {
            tracing::info!(
                partition = self.id,
                step = step.label(),
                elapsed_ms,
                lease_left_ms = self.leader_lease.remaining_ms(now),
                "step delayed the controller"
            );
        }
        result
    }

    /// Logs a summary of the leadership once in the duration of a worker's lease.
    pub(super) fn log_summary(&self, leadership: &mut Leadership, now: u64) {
        if now < leadership.activity.next_summary_ms {
            return;
        }
        let next_summary_ms = now + self.settings.lease_ms();
        let activity = std::mem::replace(&mut leadership.activity, Activity { next_summary_ms, ..Activity::default() });
        let orders = leadership.partition.take_order_counts();
        let (longest_step, longest_step_ms) =
            activity.longest_step.map_or(("none", 0), |(step, elapsed_ms)| (step.label(), elapsed_ms));
        tracing::info!(
            partition = self.id,
            fencing_token = %leadership.partition.fencing_token(),
            lease_left_ms = self.leader_lease.remaining_ms(now),
            loaded = leadership.loaded,
            queued = self.own_messages.max_capacity() - self.own_messages.capacity(),
            requests = activity.requests,
            abandoned = activity.abandoned,
            max_wait_ms = activity.max_wait_ms,
            longest_step,
            longest_step_ms,
            reaps = orders.reaps,
            refused_commands = orders.refused_commands,
            reappeared_attempts = orders.reappeared,
            "leader summary"
        );
    }
}
