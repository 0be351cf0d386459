//! Requests that the commands send to a controller, and what they print of its answers, as JSON and as tables.

use crate::fake_controller::FakeController;
use crate::{golden, program};
use serde::Deserialize;
use serde_json::Value;
use std::fmt::Write;

/// Placeholder for the path of the file with changes.
const CHANGES: &str = "CHANGES";

/// A command and the answers that the controller gives it.
#[derive(Deserialize)]
struct Case {
    arguments: Vec<String>,
    answers: Vec<Value>,
}

/// Runs a command, and returns a transcript followed by its requests.
fn run(arguments: &[String], answers: &[Value]) -> String {
    let controller = FakeController::start(answers.to_vec());
    let address = controller.address.to_string();
    let changes = golden::path("settings/changes.hcl").display().to_string();
    let mut all: Vec<&str> = vec![&arguments[0], "--controller", &address];
    all.extend(arguments[1..].iter().map(|argument| if argument == CHANGES { &changes } else { argument.as_str() }));
    let mut text = program::transcript(&all, &[(&address, "ADDRESS"), (&changes, CHANGES)]);
    for mut request in controller.requests() {
        let made_at = request.pointer_mut("/Configuration/Apply/at_ms");
        made_at.into_iter().for_each(|time| *time = Value::from("TIME"));
        let _ = writeln!(text, "[request] {request}");
    }
    text
}

#[test]
fn requests_and_output_of_commands_match_the_golden_file() {
    let cases: Vec<Case> = serde_json::from_str(&golden::read("answers.json")).unwrap();
    let mut text = String::new();
    for Case { arguments, answers } in &cases {
        text += &run(arguments, answers);
        if arguments.iter().any(|argument| argument == "--json") {
            let table: Vec<String> = arguments.iter().filter(|argument| *argument != "--json").cloned().collect();
            text += &run(&table, answers);
        }
        text.push('\n');
    }
    golden::assert_same("commands.txt", &text);
}

#[test]
fn printed_json_equals_the_answer_of_the_controller() {
    let cases: Vec<Case> = serde_json::from_str(&golden::read("answers.json")).unwrap();
    for Case { arguments, answers } in
        cases.iter().filter(|case| case.arguments.iter().any(|argument| argument == "--json"))
    {
        let kinds = ["/Loans/Status", "/Pools/Status", "/Pools/Bill"];
        let Some(answer) = kinds.iter().find_map(|kind| answers[0].pointer(kind)) else { continue };
        let text = run(arguments, answers);
        let printed = text.split("[exit 0]\n").nth(1).and_then(|rest| rest.split("[stderr]").next()).unwrap();
        assert_eq!(&serde_json::from_str::<Value>(printed).unwrap(), answer, "{arguments:?}");
    }
}
