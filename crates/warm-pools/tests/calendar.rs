//! Windows, exceptions, changes of daylight saving time, steps of the wall clock, and validation of
//! settings.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]

mod common;

use badgerdrift_warm_pools::{Schedule, WallClockFilter, Window};
use common::{known_fleet, pool, settings};

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Returns the wall time, in milliseconds, of a timestamp in UTC.
fn utc(text: &str) -> u64 {
    text.parse::<jiff::Timestamp>().unwrap().as_millisecond() as u64
}

fn schedule(days: &str, from: &str, to: &str, zone: &str) -> Schedule {
    let mut settings = settings();
    let window = Window { days: vec![days.into()], from: from.into(), to: to.into(), zone: zone.into(), count: 6 };
    pool(&mut settings).windows.insert("office".into(), window);
    Schedule::new(pool(&mut settings)).unwrap()
}

#[test]
fn window_applies_only_on_its_days_in_its_time_zone() {
    let office = schedule("weekdays", "07:30", "17:00", "Pacific/Fiji");
    // 07:30 on Wednesday in Fiji is 19:30 on Tuesday in UTC.
    assert_eq!(office.wanted_at(utc("2026-12-01T19:29:59Z")), 2);
    assert_eq!(office.wanted_at(utc("2026-12-01T19:30:00Z")), 6);
    assert_eq!(office.wanted_at(utc("2026-12-02T04:59:59Z")), 6);
    assert_eq!(office.wanted_at(utc("2026-12-02T05:00:00Z")), 2);
    // Saturday in Fiji, Friday in UTC.
    assert_eq!(office.wanted_at(utc("2026-12-04T20:00:00Z")), 2);
}

#[test]
fn replicas_of_a_window_are_wanted_ahead_by_the_warm_up_time() {
    let office = schedule("weekdays", "07:30", "17:00", "Pacific/Fiji");
    let opens = utc("2026-12-01T19:30:00Z");
    assert_eq!(office.wanted_within(opens - 11 * MINUTE_MS, 10 * MINUTE_MS), 2);
    assert_eq!(office.wanted_within(opens - 10 * MINUTE_MS, 10 * MINUTE_MS), 6);
}

#[test]
fn exception_replaces_all_windows_on_its_date() {
    let mut settings = settings();
    let window = Window {
        days: vec!["daily".into()],
        from: "07:30".into(),
        to: "17:00".into(),
        zone: "Pacific/Fiji".into(),
        count: 6,
    };
    pool(&mut settings).windows.insert("office".into(), window);
    let exception = serde_json::from_str(r#"{"zone": "Pacific/Fiji", "count": 1}"#).unwrap();
    pool(&mut settings).exceptions.insert("2026-12-25".into(), exception);
    let schedule = Schedule::new(pool(&mut settings)).unwrap();
    assert_eq!(schedule.wanted_at(utc("2026-12-24T20:00:00Z")), 1, "Christmas in Fiji");
    assert_eq!(schedule.wanted_at(utc("2026-12-25T20:00:00Z")), 6);
    // The default number of the pool applies again from midnight on, and has to be warm by then.
    assert_eq!(schedule.wanted_within(utc("2026-12-25T11:55:00Z"), 10 * MINUTE_MS), 2);
}

// Daylight saving time could cancel or repeat a window. In Berlin the hour from 02:00 to 03:00 is
// skipped on 2026-03-29 and repeated on 2026-10-25.
#[test]
fn skipped_or_repeated_hour_neither_loses_nor_repeats_a_window() {
    let night = schedule("daily", "02:30", "04:00", "Europe/Berlin");
    let open_minutes = |from: &str| {
        let from = utc(from);
        (0..24 * 60).filter(|minute| night.wanted_at(from + minute * MINUTE_MS) == 6).collect::<Vec<u64>>()
    };
    // The window begins at 03:30 local time, as 02:30 is skipped, and ends at 04:00.
    let skipped = open_minutes("2026-03-28T23:00:00Z");
    assert_eq!((skipped.len(), skipped[0]), (30, 150));
    // The window begins at the first 02:30 and ends at 04:00: one hour longer, without a gap.
    let repeated = open_minutes("2026-10-24T22:00:00Z");
    assert_eq!((repeated.len(), repeated[0], repeated[repeated.len() - 1]), (150, 150, 299));
}

#[test]
fn wall_clock_step_is_accepted_only_after_it_has_lasted() {
    let mut filter = WallClockFilter::default();
    let noon = utc("2026-12-02T12:00:00Z");
    assert_eq!(filter.accept_reading(1_000, noon), noon);
    for step in [HOUR_MS as i64, -(HOUR_MS as i64)] {
        let wall = |steady_ms: u64| (noon + steady_ms - 1_000).saturating_add_signed(step);
        // The wall clock is off by one hour for less than ten minutes.
        for minute in 1..10 {
            let steady_ms = 1_000 + minute * MINUTE_MS;
            assert_eq!(filter.accept_reading(steady_ms, wall(steady_ms)), noon + minute * MINUTE_MS);
        }
        let steady_ms = 1_000 + 10 * MINUTE_MS;
        assert_eq!(
            filter.accept_reading(steady_ms, noon + 10 * MINUTE_MS),
            noon + 10 * MINUTE_MS,
            "the step was corrected"
        );
    }
    let late = 1_000 + 20 * MINUTE_MS;
    filter.accept_reading(late, noon + HOUR_MS);
    let later = late + 15 * MINUTE_MS;
    assert_eq!(
        filter.accept_reading(later, noon + HOUR_MS + 15 * MINUTE_MS),
        noon + HOUR_MS + 15 * MINUTE_MS,
        "the step has lasted long enough"
    );
}

#[test]
fn invalid_settings_are_rejected_with_field_and_reason() {
    type Change = fn(&mut badgerdrift_warm_pools::PoolSettings);
    let window = |from: &str, to: &str, zone: &str, day: &str| Window {
        days: vec![day.into()],
        from: from.into(),
        to: to.into(),
        zone: zone.into(),
        count: 1,
    };
    let with_window = |window: Window| {
        let mut settings = settings();
        pool(&mut settings).windows.insert("w".into(), window);
        settings.check(&known_fleet()).unwrap_err().to_string()
    };
    for (window, field) in [
        (window("09:00", "08:00", "Pacific/Fiji", "daily"), "pool.counter.window.w.to: "),
        (window("9 am", "10:00", "Pacific/Fiji", "daily"), "pool.counter.window.w.from: "),
        (window("09:00", "10:00", "Pacific/Nowhere", "daily"), "pool.counter.window.w.zone: "),
        (window("09:00", "10:00", "Pacific/Fiji", "someday"), "pool.counter.window.w.days: "),
    ] {
        let told = with_window(window);
        assert!(told.starts_with(field), "{told}");
    }
    let cases: [(Change, &str); 9] = [
        (|s| pool(s).payer = "nobody".into(), "pool.counter.payer: "),
        (|s| pool(s).claimants = vec!["nobody".into()], "pool.counter.claimants: "),
        (|s| pool(s).zones = vec!["z".into()], "pool.counter.zones: "),
        (|s| pool(s).machines = vec!["g9".into()], "pool.counter.machines: "),
        (|s| pool(s).model = "other".into(), "pool.counter.model: "),
        (|s| pool(s).count = 17, "pool.counter.count: "),
        (|s| pool(s).cores = -1.0, "pool.counter.cores: "),
        (|s| pool(s).idle_cost_per_hour = Some(f64::NAN), "pool.counter.idle_cost_per_hour: "),
        (|s| pool(s).loads_at_a_time = 0, "pool.counter.loads_at_a_time: "),
    ];
    settings().check(&known_fleet()).unwrap();
    for (change, field) in cases {
        let mut settings = settings();
        change(&mut settings);
        let told = settings.check(&known_fleet()).unwrap_err().to_string();
        assert!(told.starts_with(field) && !told.contains('\n'), "{told}");
    }
    assert!(
        serde_json::from_str::<Window>(r#"{"days": ["daily"], "from": "1", "to": "2", "zone": "UTC", "count": -1}"#)
            .is_err()
    );
}
