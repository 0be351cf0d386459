//! Changes of the shared configuration without faults.

use crate::fleet::{FIRST_SHARE, Fleet, IN_FORCE_S, REGIONS, simulate};
use badgerdrift::configuration::{ConfigurationRequest, ConfigurationResponse, RegionCondition};
use badgerdrift_fleet_config::{ChangeOutcome, DocumentName};

/// Whether the leaders of all regions apply at least this version.
fn all_regions_apply(fleet: &Fleet, version: u64) -> bool {
    (0..REGIONS).all(|region| fleet.applied(region).version >= version)
}

#[test]
fn a_change_is_in_force_everywhere_within_five_seconds() {
    simulate(1, true, async |mut fleet| {
        fleet.begin().await;
        assert_eq!(fleet.limit(2, "red"), FIRST_SHARE, "version 0 holds the values of the settings");
        let version = fleet.take(0, "red", [4.0, 6.0, 8.0]).await;
        let took = fleet.until("in force", IN_FORCE_S, || all_regions_apply(&fleet, version)).await;
        assert!(took < IN_FORCE_S, "the change was in force after {took} s, expected less than {IN_FORCE_S} s");
        let limits: Vec<f64> = (0..REGIONS).map(|region| fleet.limit(region, "red")).collect();
        assert_eq!(limits, [4.0, 6.0, 8.0]);
        fleet.run(3.0).await;
        for region in 0..REGIONS {
            assert_eq!(fleet.condition(1, region).await, RegionCondition::InForce);
        }
    });
}

// A region that raises its limit before another has lowered its own would let the team exceed the total.
#[test]
fn a_region_gets_what_another_gives_up_only_after_the_other_has_confirmed() {
    simulate(2, true, async |mut fleet| {
        fleet.begin().await;
        fleet.take(1, "red", [2.0, 26.0, 2.0]).await;
        // `until` calls `check_limits` at each step.
        fleet.until("shares moved", 10.0, || fleet.limit(1, "red") == 26.0).await;
        assert_eq!((fleet.limit(0, "red"), fleet.limit(2, "red")), (2.0, 2.0));
    });
}

#[test]
fn of_two_concurrent_changes_of_one_team_one_is_refused_as_a_conflict() {
    simulate(3, true, async |mut fleet| {
        fleet.begin().await;
        let first = fleet.team_change(0, "red", [1.0, 1.0, 1.0]);
        let second = fleet.team_change(1, "red", [2.0, 2.0, 2.0]);
        let answers = tokio::join!(fleet.apply(0, 0, &first), fleet.apply(1, 1, &second));
        let outcomes = [answers.0.unwrap(), answers.1.unwrap()];
        let taken = |answer: &&ConfigurationResponse| {
            matches!(answer, ConfigurationResponse::Outcome(Some(ChangeOutcome::Taken { .. })))
        };
        let conflict = |answer: &&ConfigurationResponse| {
            matches!(answer, ConfigurationResponse::Outcome(Some(ChangeOutcome::Conflict { .. })))
        };
        assert_eq!(outcomes.iter().filter(taken).count(), 1, "{outcomes:?}");
        assert_eq!(outcomes.iter().filter(conflict).count(), 1, "{outcomes:?}");
    });
}

// A client that has received no answer sends the same change again, possibly to another region.
#[test]
fn a_repeated_change_is_applied_once() {
    simulate(4, true, async |mut fleet| {
        fleet.begin().await;
        let change = fleet.team_change(0, "blue", [3.0, 3.0, 3.0]);
        let first = fleet.apply(0, 0, &change).await;
        let again = fleet.apply(2, 1, &change).await;
        assert!(matches!(first, Some(ConfigurationResponse::Outcome(Some(ChangeOutcome::Taken { .. })))), "{first:?}");
        assert_eq!(first, again);
        let versions = fleet.log(0).iter().filter(|entry| !entry.recorded.is_empty()).count();
        assert_eq!(versions, 1);
    });
}

#[test]
fn two_hundred_changes_in_a_second_are_all_answered() {
    simulate(5, true, async |mut fleet| {
        fleet.begin().await;
        let mut changes = Vec::new();
        for number in 0..200 {
            changes.push(fleet.team_change(
                number % REGIONS,
                if number % 2 == 0 { "red" } else { "blue" },
                [1.0; REGIONS],
            ));
        }
        let requests = changes.iter().enumerate().map(|(number, change)| fleet.apply(number % REGIONS, 0, change));
        let mut answered = 0;
        for answer in join_all(requests).await {
            answered += usize::from(answer.is_some());
        }
        assert_eq!(answered, 200);
        fleet.run(5.0).await;
        let taken =
            fleet.state(0).unwrap().history.iter().filter(|r| matches!(r.outcome, ChangeOutcome::Taken { .. })).count();
        assert!(taken >= 2, "{taken} changes were taken, expected at least one of each team");
    });
}

/// Runs all of these futures concurrently, and returns their outputs in order.
async fn join_all<F: Future>(all: impl Iterator<Item = F>) -> Vec<F::Output> {
    let mut all: Vec<_> = all.map(Box::pin).collect();
    let mut done: Vec<Option<F::Output>> = all.iter().map(|_| None).collect();
    std::future::poll_fn(|context| {
        for (future, done) in all.iter_mut().zip(&mut done).filter(|(_, done)| done.is_none()) {
            if let std::task::Poll::Ready(output) = future.as_mut().poll(context) {
                *done = Some(output);
            }
        }
        if done.iter().all(Option::is_some) { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
    done.into_iter().flatten().collect()
}

#[test]
fn a_new_team_is_known_in_all_regions() {
    simulate(6, true, async |mut fleet| {
        fleet.begin().await;
        fleet.take(0, "green", [5.0, 0.0, 5.0]).await;
        fleet.until("green is known", IN_FORCE_S, || fleet.limit(2, "green") == 5.0).await;
        let answer = fleet.ask(2, 1, ConfigurationRequest::Document(DocumentName::Team("green".into()))).await;
        assert!(matches!(answer, Some(ConfigurationResponse::Document(Some(_)))), "{answer:?}");
        assert_eq!(fleet.limit(1, "green"), 0.0);
    });
}

// The shared configuration is off by default. A deployment without it must not write its records.
#[test]
fn without_a_fleet_file_no_configuration_is_stored_and_requests_are_refused() {
    simulate(7, false, async |fleet| {
        fleet.run(20.0).await;
        for region in 0..REGIONS {
            assert_eq!(fleet.keys(region, "config"), Vec::<String>::new());
            assert!(fleet.leader(region).is_some(), "region {region} has no leader");
            assert_eq!(fleet.ask(region, 0, ConfigurationRequest::Status).await, None);
        }
    });
}
