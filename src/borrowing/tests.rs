//! Tests of the operators' file of lenders and borrowers.

use super::settings::parse_borrowing;
use crate::settings::{Team, tests::settings};

const FILE: &str = r#"
quiet_s        = 1800
return_after_s = 20

lender "blue" {
  to        = ["red"]
  up_to     = "standard"
  most_gpus = 64
}

borrower "red" {
  from = "urgent"
}
"#;

#[test]
fn an_example_file_and_the_shipped_one_are_accepted() {
    let borrowing = parse_borrowing(FILE, &settings()).unwrap();
    assert_eq!((borrowing.quiet_s, borrowing.return_after_s), (1800.0, 20.0));
    assert_eq!(borrowing.lenders["blue"].to, ["red"]);
    let mut fleet_settings = settings();
    let team = fleet_settings.params.teams[0].clone();
    let named = |name: &str| Team { name: name.into(), gpus: 32.0, ..team.clone() };
    fleet_settings.params.teams = ["roster-desk", "district-liaison", "relief-ops", "infra-crew"].map(named).into();
    let shipped = parse_borrowing(include_str!("../../deploy/borrowing.hcl"), &fleet_settings).unwrap();
    assert!(!shipped.lenders.is_empty());
}

#[test]
fn an_invalid_file_is_refused_with_field_and_reason_in_one_line() {
    for (from, to, expected) in [
        ("lender \"blue\"", "lender \"nobody\"", "lender.nobody: no team nobody"),
        ("borrower \"red\"", "borrower \"nobody\"", "borrower.nobody: no team nobody"),
        ("most_gpus = 64", "most_gpus = -1", "lender.blue.most_gpus: must be at least 0, is -1"),
        ("most_gpus = 64", "most_share = 1.5", "lender.blue.most_share: must be from 0 to 1, is 1.5"),
        ("to        = [\"red\"]", "to = [\"blue\"]", "lender.blue.to: a team does not lend to itself"),
        ("to        = [\"red\"]", "to = []", "lender.blue.to: must name a team"),
        ("to        = [\"red\"]", "to = [\"green\"]", "lender.blue.to: no team green"),
        ("quiet_s        = 1800", "quiet_s = -1", "quiet_s: must be at least 0, is -1"),
        ("quiet_s        = 1800", "quite_s = 1", "quite_s"),
        ("up_to     = \"standard\"", "up_to = \"low\"", "low"),
        ("lender \"blue\" {", "lender \"blue\" {}\nlender \"blue\" {", "lender.blue: there are two of this name"),
    ] {
        assert!(FILE.contains(from), "{from}");
        let refused = parse_borrowing(&FILE.replace(from, to), &settings()).unwrap_err().to_string();
        assert!(refused.contains(expected) && !refused.contains('\n'), "{expected}: {refused}");
    }
}

#[test]
fn a_lent_share_of_a_team_without_guarantee_is_refused() {
    let mut settings = settings();
    let blue = settings.params.teams.iter_mut().find(|team| team.name == "blue").unwrap();
    blue.gpus = 0.0;
    let refused =
        parse_borrowing(&FILE.replace("most_gpus = 64", "most_share = 0.5"), &settings).unwrap_err().to_string();
    assert!(refused.starts_with("lender.blue.most_share: "), "{refused}");
}
