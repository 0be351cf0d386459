//! Tests of the files that `apply` reads and of the documents that `get` prints.

use super::file::{document_text, parse_changes};
use badgerdrift_fleet_config::VersionedDocument;

const CHANGES: &str = r#"
author = "ops"
reason = "season"
team "red" {
  version = 3
  guarantee { cpus = 10 }
  limit { cpus = 40.5 }
  share "north" {
    guarantee { cpus = 10 }
    limit { cpus = 20 }
  }
  share "south" {
    limit { cpus = 20.5 }
  }
}
"#;

#[test]
fn a_printed_document_is_read_back_unchanged() {
    let changes = parse_changes(CHANGES).unwrap();
    let (document, version) = changes.documents().remove(0);
    assert_eq!(version, 3);
    let printed =
        document_text(&VersionedDocument { version, document: document.clone(), allowance: Default::default() });
    let reread = parse_changes(&format!("author = \"ops\"\nreason = \"again\"\n{printed}")).unwrap();
    assert_eq!(reread.documents(), vec![(document, 3)]);
}

#[test]
fn an_invalid_file_is_refused_with_document_and_field_in_one_line() {
    let cases = [
        ("version = 3", "", "missing field `version`"),
        ("limit { cpus = 40.5 }", "limit { cpus = 30 }", "team/red.shares: the regions' limits add up"),
        (
            "guarantee { cpus = 10 }\n  limit",
            "guarantee { cpus = -1 }\n  limit",
            "team/red.guarantee: must be 0 or more",
        ),
        ("version = 3", "version = 3\n  speed = 1", "unknown field `speed`"),
    ];
    for (before, after, expected) in cases {
        assert!(CHANGES.contains(before), "{before}");
        let Err(error) = parse_changes(&CHANGES.replacen(before, after, 1)) else {
            panic!("{after:?} is accepted");
        };
        let error = error.to_string();
        assert!(error.contains(expected), "{error}");
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}
