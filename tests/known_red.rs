//! The check of the list of tests that may fail (`.ci/known-red`), on lists of its own.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]

use std::fs::{self, File};
use std::path::Path;
use std::process::{Command, Stdio};

/// As `cargo test -- --list` prints the tests of several programs.
const TESTS: &str = "a::tests::one: test\na::tests::one_more: test\nb::tests::two: test\nb::tests::twice: test\n\
                     b::tests::speed: benchmark\n\n4 tests, 1 benchmark\nthree: test\nb::tests::twice: test\n\n\
                     2 tests, 0 benchmarks\nsrc/lib.rs - thing (line 3): test\n\n1 test, 0 benchmarks\n";

/// What the check prints on a list (none: there is no such file), or the line it refuses it with.
fn check(case: &str, list: Option<&str>) -> Result<String, String> {
    let dir = std::env::temp_dir().join(format!("badgerdrift-known-red-{}-{case}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let (tests, file) = (dir.join("tests"), dir.join("KNOWN-RED.txt"));
    fs::write(&tests, TESTS).unwrap();
    if let Some(list) = list {
        fs::write(&file, list).unwrap();
    }
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    let out = Command::new(script).arg(&file).stdin(Stdio::from(File::open(&tests).unwrap())).output().unwrap();
    fs::remove_dir_all(dir).unwrap();
    let (said, refused) = (String::from_utf8(out.stdout).unwrap(), String::from_utf8(out.stderr).unwrap());
    match out.status.code() {
        Some(0) => {
            assert_eq!(refused, "", "{case}");
            Ok(said)
        }
        code => {
            assert_eq!((code, said.as_str()), (Some(1), ""), "{case}");
            assert_eq!(refused.matches('\n').count(), 1, "{case}: one line: {refused}");
            Err(refused.trim_end().to_string())
        }
    }
}

#[test]
fn a_good_list_is_printed() {
    let three = "a::tests::one | it's late, by 2 s; see x::y | 13\nb::tests::two | c | 7\nthree | c d | 8\n";
    assert_eq!(check("three", Some(three)).as_deref(), Ok(three));
    assert_eq!(check("unended", Some(three.trim_end())).as_deref(), Ok(three));
    assert_eq!(check("one", Some("three | c | 1\n")).as_deref(), Ok("three | c | 1\n"));
}

#[test]
fn no_list_and_an_empty_one_have_no_entries() {
    assert_eq!(check("none", None).as_deref(), Ok(""));
    assert_eq!(check("empty", Some("")).as_deref(), Ok(""));
}

#[test]
fn a_list_of_more_than_three_is_refused() {
    let four = "a::tests::one | c | 1\nb::tests::two | c | 2\nthree | c | 3\na::tests::one_more | c | 4\n";
    assert_eq!(check("four", Some(four)).unwrap_err(), "KNOWN-RED.txt: more than three lines");
}

#[test]
fn lines_of_another_form_are_refused() {
    for (n, line) in [
        "",
        " ",
        "# three | c | 1",
        "three",
        "three | c",
        "three | 1",
        "three |  | 1",
        "three | \t | 1",
        " | c | 1",
        "three | c | ",
        "three | c | x1",
        "three | c | 1 2",
        "three | c | #1",
        "three | c | -1",
        "three | c | 1 | 2",
        "three|c|1",
        " three | c | 1",
        "three | c | 1\r",
        "src/lib.rs - thing (line 3) | c | 1",
    ]
    .into_iter()
    .enumerate()
    {
        let refused = check(&format!("form-{n}"), Some(&format!("a::tests::one | c | 1\n{line}\n"))).unwrap_err();
        assert_eq!(refused, "KNOWN-RED.txt: line 2 is not 'test | cause | issue number'", "{line:?}");
    }
}

#[test]
fn a_name_must_be_that_of_exactly_one_test() {
    for (case, name, found) in [
        ("unknown", "a::tests::three", 0),
        ("part", "a::tests::on", 0),
        ("module", "a::tests", 0),
        ("pattern", "a::tests::*", 0),
        ("benchmark", "b::tests::speed", 0),
        ("twice", "b::tests::twice", 2),
    ] {
        let refused = check(case, Some(&format!("{name} | c | 1\n"))).unwrap_err();
        assert_eq!(refused, format!("KNOWN-RED.txt: line 1 names {name}, of which there are {found} tests, not one"));
    }
    let again = check("again", Some("three | c | 1\nthree | d | 2\n")).unwrap_err();
    assert_eq!(again, "KNOWN-RED.txt: line 2 names three again");
}
