//! Label values of metrics that appear only after rare events.

use badgerdrift::api::refusal::RefusalReason;
use badgerdrift_borrowing::{LoanEndCause, LoanState, Refusal};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Labels of refusals, each with the status of the answer.
const REFUSALS: [(&str, u16); 23] = [
    ("end_being_recorded", 503),
    ("owner_unreachable", 503),
    ("job_not_accepted", 503),
    ("machine_types_unknown", 503),
    ("machine_unowned", 503),
    ("machine_unreachable", 503),
    ("no_decision_in_time", 503),
    ("no_such_partition", 503),
    ("not_entitled", 503),
    ("not_owner", 503),
    ("not_ready", 503),
    ("record_unreadable", 503),
    ("state_service_silent", 503),
    ("submission_slow", 429),
    ("configuration_behind", 503),
    ("takeover_under_way", 503),
    ("too_many_reads", 429),
    ("controller_outdated", 503),
    ("predecessor_elsewhere", 503),
    ("predecessor_unclear", 503),
    ("too_many_reports", 503),
    ("too_many_requests", 503),
    ("too_many_submissions", 429),
];

/// Returns the variant of `T` that is serialized under this name.
fn named<T: DeserializeOwned>(name: &str) -> T {
    serde_json::from_value(Value::from(name)).unwrap_or_else(|error| panic!("there is no variant {name}: {error}"))
}

/// Returns the names of all variants of a type, from its error about an unknown name.
fn expected_names<T: DeserializeOwned>() -> Vec<String> {
    let error = serde_json::from_value::<T>(Value::from("no such name")).err().unwrap().to_string();
    let list = error.split("expected one of ").nth(1).unwrap();
    list.split(", ").map(|name| name.trim_matches('`').to_string()).collect()
}

#[test]
fn refusals_keep_their_labels_and_statuses() {
    assert_eq!(expected_names::<RefusalReason>().len(), REFUSALS.len());
    for (label, status) in REFUSALS {
        let reason: RefusalReason = named(label);
        assert_eq!((reason.label().as_str(), reason.status()), (label, status));
    }
}

#[test]
fn refused_loans_keep_their_labels() {
    let labels = [
        "not_a_borrower",
        "not_a_lender",
        "lender_at_floor",
        "lends_its_most",
        "not_recordable",
        "machines_unaccounted",
    ];
    assert_eq!(expected_names::<Refusal>(), labels);
    labels.iter().for_each(|label| assert_eq!(named::<Refusal>(label).label(), *label));
}

#[test]
fn loan_states_and_end_causes_keep_their_labels() {
    let causes = ["returned", "replaced", "lender_over", "within_guarantee", "not_recorded", "not_carried_out"];
    assert_eq!(expected_names::<LoanEndCause>(), causes);
    causes.iter().for_each(|label| assert_eq!(named::<LoanEndCause>(label).label(), *label));
    assert_eq!(expected_names::<LoanState>(), ["proposed", "unsettled", "open", "returning", "ended"]);
    for label in ["proposed", "unsettled", "open", "returning"] {
        assert_eq!(named::<LoanState>(label).label(), label);
    }
}

#[test]
fn warm_slot_states_and_end_causes_keep_their_labels() {
    use badgerdrift_warm_pools::EndCause as Cause;
    use badgerdrift_warm_pools::{Claim, SlotState};
    let causes = [
        (Cause::FewerWanted, "fewer_wanted"),
        (Cause::CostLimit, "cost_limit"),
        (Cause::CapacityNeeded, "room_needed"),
        (Cause::Replaced, "replaced"),
        (Cause::MachineLost, "machine_lost"),
        (Cause::SessionLost, "session_lost"),
        (Cause::NotReported, "not_reported"),
        (Cause::ClaimEnded, "claim_ended"),
    ];
    causes.iter().for_each(|(cause, label)| assert_eq!(cause.label(), *label));
    let claim = Claim { job: "job".into(), task: 1, attempt: 1, team: "red".into() };
    let states = [
        (SlotState::Loading, "loading"),
        (SlotState::Idle, "idle"),
        (SlotState::Claiming(claim.clone()), "claiming"),
        (SlotState::Abandoned, "claiming"),
        (SlotState::Claimed(claim), "claimed"),
    ];
    states.iter().for_each(|(state, label)| assert_eq!(state.label(), *label));
}
