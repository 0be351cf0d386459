//! Changes while regions are cut off, controllers end or are paused, or state services are unavailable.

use crate::fleet::{CONTROLLERS, FIRST_SHARE, IN_FORCE_S, REGIONS, simulate};
use badgerdrift::configuration::{ConfigurationResponse, RegionCondition, UnavailableReason};
use badgerdrift_fleet_config::ChangeOutcome;
use badgerdrift_stand_ins::net::Cut;

#[test]
fn a_region_that_is_cut_off_keeps_its_share_and_catches_up_in_time() {
    for cut in [Cut::Refuse, Cut::Hold] {
        simulate(11, true, async move |mut fleet| {
            fleet.begin().await;
            fleet.cut_off(2, Some(cut));
            fleet.run(10.0).await;
            // The other two regions are a majority. They must not use the share of region 2.
            let version = fleet.take(0, "red", [15.0, 15.0, 0.0]).await;
            fleet.run(20.0).await;
            assert_eq!(fleet.limit(2, "red"), FIRST_SHARE, "the region that is cut off must keep its last share");
            assert!(fleet.limit(0, "red") + fleet.limit(1, "red") <= 2.0 * FIRST_SHARE);
            assert!(matches!(fleet.condition(0, 2).await, RegionCondition::UnreachableSince { .. }));
            fleet.mend();
            fleet.until("caught up", IN_FORCE_S, || fleet.applied(2).version >= version).await;
            fleet.until("shares moved", 15.0, || fleet.limit(0, "red") == 15.0 && fleet.limit(1, "red") == 15.0).await;
            assert_eq!(fleet.limit(2, "red"), 0.0);
        });
    }
}

#[test]
fn without_a_majority_nothing_is_taken_and_the_outcome_is_reported_as_unclear() {
    simulate(12, true, async |mut fleet| {
        fleet.begin().await;
        (1..REGIONS).for_each(|region| fleet.cut_off(region, Some(Cut::Refuse)));
        fleet.run(5.0).await;
        let change = fleet.team_change(0, "red", [1.0, 1.0, 1.0]);
        let answer = fleet.apply(0, 0, &change).await;
        assert_eq!(answer, Some(ConfigurationResponse::Unavailable(UnavailableReason::Indeterminate)));
        fleet.mend();
        fleet.run(5.0).await;
        let again = fleet.apply(1, 0, &change).await;
        assert!(matches!(again, Some(ConfigurationResponse::Outcome(Some(ChangeOutcome::Taken { .. })))), "{again:?}");
        let taken = fleet.log(0).iter().flat_map(|entry| &entry.recorded).filter(|r| r.change.id == change.id).count();
        assert_eq!(taken, 1);
    });
}

// The controller that proposes a change ends between the phases of the agreement. The change must be taken once,
// and later changes must not be blocked.
#[test]
fn a_change_is_taken_once_and_later_ones_proceed_when_its_proposer_ends() {
    for delay_ms in [5, 15, 25, 40] {
        simulate(13, true, async move |mut fleet| {
            fleet.begin().await;
            let change = fleet.team_change(0, "red", [1.0, 2.0, 3.0]);
            let request =
                tokio::time::timeout(std::time::Duration::from_millis(delay_ms), fleet.apply(0, 0, &change)).await;
            fleet.kill(0, 0);
            drop(request);
            fleet.run(2.0).await;
            let version = fleet.take(1, "blue", [3.0, 2.0, 1.0]).await;
            fleet.start(0, 0);
            fleet.until("in force", 10.0, || (0..REGIONS).all(|region| fleet.applied(region).version >= version)).await;
            // The change is taken once, either now or before.
            let again = fleet.apply(2, 0, &change).await;
            assert!(
                matches!(again, Some(ConfigurationResponse::Outcome(Some(ChangeOutcome::Taken { .. })))),
                "{again:?}"
            );
        });
    }
}

// A new leader that began with an older version would apply limits that other regions have already reused.
#[test]
fn a_new_leader_begins_with_the_version_of_its_predecessor_or_a_later_one() {
    simulate(14, true, async |mut fleet| {
        fleet.begin().await;
        let version = fleet.take(0, "red", [1.0, 1.0, 1.0]).await;
        fleet.until("in force", IN_FORCE_S, || fleet.applied(0).version >= version).await;
        let before = fleet.applied(0);
        let leader = fleet.leader(0).unwrap();
        fleet.kill(0, leader);
        fleet.until("taken over", 30.0, || fleet.applied(0).fencing_token > before.fencing_token).await;
        assert!(fleet.applied(0).version >= before.version);
        assert_eq!(fleet.limit(0, "red"), 1.0);
    });
}

#[test]
fn a_leader_that_was_paused_applies_no_old_version_when_it_resumes() {
    simulate(15, true, async |mut fleet| {
        fleet.begin().await;
        let leader = fleet.leader(0).unwrap();
        fleet.pause(0, leader, true);
        // The other controller takes over and applies what has changed meanwhile.
        let version = fleet.take(1, "red", [0.0, 15.0, 15.0]).await;
        fleet.until("applied by the next leader", 60.0, || fleet.applied(0).version >= version).await;
        fleet.until("shares moved", 20.0, || fleet.limit(1, "red") == 15.0).await;
        let fencing_token = fleet.applied(0).fencing_token;
        fleet.pause(0, leader, false);
        fleet.run(20.0).await;
        assert!(fleet.applied(0).fencing_token >= fencing_token && fleet.applied(0).version >= version);
        assert_eq!(fleet.limit(0, "red"), 0.0);
    });
}

#[test]
fn changes_are_taken_while_the_state_service_of_one_region_is_unavailable() {
    simulate(16, true, async |mut fleet| {
        fleet.begin().await;
        fleet.state_down(2, true);
        let version = fleet.take(0, "red", [5.0, 5.0, 5.0]).await;
        fleet
            .until("in force in two regions", IN_FORCE_S, || {
                (0..2).all(|region| fleet.applied(region).version >= version)
            })
            .await;
        fleet.run(10.0).await;
        fleet.state_down(2, false);
        fleet.until("in force in all regions", IN_FORCE_S + 5.0, || fleet.applied(2).version >= version).await;
    });
}

#[test]
fn a_restart_of_all_controllers_of_all_regions_keeps_the_last_version() {
    simulate(17, true, async |mut fleet| {
        fleet.begin().await;
        let version = fleet.take(0, "red", [3.0, 4.0, 5.0]).await;
        fleet
            .until("in force", IN_FORCE_S, || (0..REGIONS).all(|region| fleet.applied(region).version >= version))
            .await;
        for region in 0..REGIONS {
            (0..CONTROLLERS).for_each(|controller| fleet.kill(region, controller));
        }
        fleet.run(5.0).await;
        for region in 0..REGIONS {
            (0..CONTROLLERS).for_each(|controller| fleet.start(region, controller));
        }
        fleet.run(30.0).await;
        assert_eq!(fleet.limit(1, "red"), 4.0);
        let next = fleet.take(2, "red", [5.0, 4.0, 3.0]).await;
        assert!(next > version);
    });
}
