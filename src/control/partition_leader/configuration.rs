//! Application of the configuration that the regions of a fleet share.

use super::leader::PartitionLeader;
use super::leadership::Leadership;
use super::messages::BackgroundEvent;
use crate::configuration::{
    AppliedConfiguration, PublishedConfiguration, applied_configuration_change, policy_for_region,
};
use crate::control::membership::partition_key;
use crate::control::partition::CommitOutcome;
use crate::model::Demand;
use crate::runtime::task;
use crate::wire;

impl PartitionLeader {
    /// Applies the latest published version of the configuration, and records it as applied.
    pub(super) fn sync_configuration(&self, leadership: &mut Leadership, now: u64) {
        let Some(configuration) = &self.router.configuration else { return };
        let Some(published) = configuration.published() else { return };
        let suspended = !published.may_start_tasks;
        leadership.partition.set_configuration_up_to_date(published.is_up_to_date());
        if leadership.configuration.version != Some(published.state.version)
            || leadership.configuration.suspended != suspended
        {
            self.apply_configuration(leadership, &published, configuration.region());
        }
        self.record_applied_version(leadership, published.state.version, now);
    }

    /// Applies a version of the configuration to the partition's policy. While the region may start no
    /// tasks, all limits of teams are zero.
    fn apply_configuration(&self, leadership: &mut Leadership, published: &PublishedConfiguration, region: &str) {
        let mut policy = policy_for_region(leadership.partition.policy(), &published.state, region);
        let suspended = !published.may_start_tasks;
        if suspended {
            policy.teams.values_mut().for_each(|team| team.limit = Demand::default());
        }
        *leadership.partition.policy_mut() = policy;
        leadership.partition.request_cycle();
        leadership.configuration.version = Some(published.state.version);
        leadership.configuration.suspended = suspended;
        tracing::debug!(version = published.state.version, suspended, "configuration applied");
    }

    /// Records the version that this leader applies, and the version whose limits all teams observe.
    /// The write is conditional on the partition's key, so a later leader reads this version or a
    /// later one.
    fn record_applied_version(&self, leadership: &mut Leadership, version: u64, now: u64) {
        let recorded = leadership.configuration.recorded;
        let already_recorded = recorded.version == version
            && recorded.enforced_version == version
            && recorded.fencing_token == leadership.partition.fencing_token();
        if already_recorded || leadership.configuration.recording || now < leadership.configuration.next_record_ms {
            return;
        }
        let pause_ms =
            if recorded.version == version { self.settings.react_ms() } else { self.settings.react_ms() / 8 };
        leadership.configuration.next_record_ms = now + pause_ms;
        let enforced_version = if !leadership.configuration.suspended && leadership.partition.teams_within_limits(now) {
            version
        } else if recorded.fencing_token == leadership.partition.fencing_token() {
            recorded.enforced_version
        } else {
            0
        };
        let applied_configuration =
            AppliedConfiguration { version, enforced_version, fencing_token: leadership.partition.fencing_token() };
        if applied_configuration == recorded || leadership.write_budget.available_tokens(now) == 0 {
            return;
        }
        leadership.write_budget.spend(1);
        leadership.configuration.recording = true;
        let (state, sender) = (self.state.clone(), self.sender(leadership.epoch));
        let condition = wire::condition(&partition_key(self.id), leadership.key_version);
        task::spawn(async move {
            let result = state.commit(&[condition], &[applied_configuration_change(&applied_configuration)]).await;
            let recorded = matches!(result, CommitOutcome::Done { .. }).then_some(applied_configuration);
            sender.send(BackgroundEvent::ConfigurationRecorded(recorded)).await;
        });
    }

    /// Handles the end of a write of the applied version; `None` if the write failed.
    pub(super) fn configuration_recorded(
        &self,
        leadership: &mut Leadership,
        applied_configuration: Option<AppliedConfiguration>,
    ) {
        leadership.configuration.recording = false;
        if let (Some(applied_configuration), Some(configuration)) = (applied_configuration, &self.router.configuration)
        {
            leadership.configuration.recorded = applied_configuration;
            configuration.applied_configuration(applied_configuration);
        }
    }
}
