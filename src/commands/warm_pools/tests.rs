use super::*;

fn bill(from: &str, to: &str) -> WarmPoolsCommand {
    WarmPoolsCommand::Bill { from: from.into(), to: to.into(), team: None, json: false }
}

#[test]
fn invalid_days_are_refused_before_a_request_is_sent() {
    assert!(build_request(&bill("2026-12-01", "2026-12-02")).is_ok());
    for (command, field) in [
        (bill("today", "2026-12-02"), "--from: "),
        (bill("2026-12-02", "2026-13-02"), "--to: "),
        (bill("2026-12-02", "2026-12-01"), "--to: "),
    ] {
        let Err(CommandError::InvalidInput(error)) = build_request(&command) else { panic!("{command:?} is accepted") };
        let error = error.to_string();
        assert!(error.starts_with(field), "{error}");
    }
}
