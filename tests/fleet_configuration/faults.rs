//! Regions that are cut off, controllers that end or hold still, state services that are out.

use crate::fleet::{CONTROLLERS, FIRST_SHARE, IN_FORCE_S, REGIONS, day};
use badgerdrift::configuration::{ConfigurationResponse, RegionCondition, UnavailableReason};
use badgerdrift_fleet_config::ChangeOutcome;
use badgerdrift_stand_ins::net::Cut;

#[test]
fn a_region_that_is_cut_off_keeps_its_division_and_catches_up_in_time() {
    for cut in [Cut::Refuse, Cut::Hold] {
        day(11, true, async move |mut fleet| {
            fleet.begin().await;
            fleet.cut_off(2, Some(cut));
            fleet.run(10.0).await;
            // The other two are a majority. What region 2 holds is not given to others.
            let version = fleet.take(0, "red", [15.0, 15.0, 0.0]).await;
            fleet.run(20.0).await;
            assert_eq!(fleet.limit(2, "red"), FIRST_SHARE, "it keeps its last division");
            assert!(fleet.limit(0, "red") + fleet.limit(1, "red") <= 2.0 * FIRST_SHARE);
            assert!(matches!(fleet.condition(0, 2).await, RegionCondition::UnreachableSince { .. }));
            fleet.mend();
            fleet.until("caught up", IN_FORCE_S, || fleet.obeyed(2).version >= version).await;
            fleet
                .until("division moved", 15.0, || fleet.limit(0, "red") == 15.0 && fleet.limit(1, "red") == 15.0)
                .await;
            assert_eq!(fleet.limit(2, "red"), 0.0);
        });
    }
}

#[test]
fn without_a_majority_nothing_is_taken_and_the_outcome_is_told_as_unclear() {
    day(12, true, async |mut fleet| {
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

#[test]
fn a_proposer_that_ends_half_way_harms_nobody() {
    for delay_ms in [5, 15, 25, 40] {
        day(13, true, async move |mut fleet| {
            fleet.begin().await;
            let change = fleet.team_change(0, "red", [1.0, 2.0, 3.0]);
            let asked =
                tokio::time::timeout(std::time::Duration::from_millis(delay_ms), fleet.apply(0, 0, &change)).await;
            fleet.kill(0, 0);
            drop(asked);
            fleet.run(2.0).await;
            let version = fleet.take(1, "blue", [3.0, 2.0, 1.0]).await;
            fleet.start(0, 0);
            fleet.until("in force", 10.0, || (0..REGIONS).all(|region| fleet.obeyed(region).version >= version)).await;
            // Taken once, now or before.
            let again = fleet.apply(2, 0, &change).await;
            assert!(
                matches!(again, Some(ConfigurationResponse::Outcome(Some(ChangeOutcome::Taken { .. })))),
                "{again:?}"
            );
        });
    }
}

#[test]
fn a_takeover_begins_with_what_the_last_owner_obeyed_or_later() {
    day(14, true, async |mut fleet| {
        fleet.begin().await;
        let version = fleet.take(0, "red", [1.0, 1.0, 1.0]).await;
        fleet.until("in force", IN_FORCE_S, || fleet.obeyed(0).version >= version).await;
        let before = fleet.obeyed(0);
        let owner = fleet.owner(0).unwrap();
        fleet.kill(0, owner);
        fleet.until("taken over", 30.0, || fleet.obeyed(0).fencing_token > before.fencing_token).await;
        assert!(fleet.obeyed(0).version >= before.version);
        assert_eq!(fleet.limit(0, "red"), 1.0);
    });
}

#[test]
fn an_owner_that_held_still_obeys_no_old_version_when_it_wakes() {
    day(15, true, async |mut fleet| {
        fleet.begin().await;
        let owner = fleet.owner(0).unwrap();
        fleet.pause(0, owner, true);
        // The other controller takes over and obeys what has changed meanwhile.
        let version = fleet.take(1, "red", [0.0, 15.0, 15.0]).await;
        fleet.until("obeyed by the next owner", 60.0, || fleet.obeyed(0).version >= version).await;
        fleet.until("division moved", 20.0, || fleet.limit(1, "red") == 15.0).await;
        let fencing_token = fleet.obeyed(0).fencing_token;
        fleet.pause(0, owner, false);
        fleet.run(20.0).await;
        assert!(fleet.obeyed(0).fencing_token >= fencing_token && fleet.obeyed(0).version >= version);
        assert_eq!(fleet.limit(0, "red"), 0.0);
    });
}

#[test]
fn changes_go_on_while_one_state_service_is_out() {
    day(16, true, async |mut fleet| {
        fleet.begin().await;
        fleet.state_down(2, true);
        let version = fleet.take(0, "red", [5.0, 5.0, 5.0]).await;
        fleet
            .until("in force in two", IN_FORCE_S, || (0..2).all(|region| fleet.obeyed(region).version >= version))
            .await;
        fleet.run(10.0).await;
        fleet.state_down(2, false);
        fleet.until("in force in all", IN_FORCE_S + 5.0, || fleet.obeyed(2).version >= version).await;
    });
}

#[test]
fn all_controllers_of_all_regions_restart_and_go_on_with_the_last_version() {
    day(17, true, async |mut fleet| {
        fleet.begin().await;
        let version = fleet.take(0, "red", [3.0, 4.0, 5.0]).await;
        fleet
            .until("in force", IN_FORCE_S, || (0..REGIONS).all(|region| fleet.obeyed(region).version >= version))
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
