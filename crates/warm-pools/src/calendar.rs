//! Schedules of pools: the number of replicas wanted at each time.

use crate::settings::{Pool, Window};
use jiff::civil::{Date, Time, Weekday};
use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan};
use std::collections::BTreeMap;
use std::str::FromStr;

/// Error in a pool's windows or exceptions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CalendarError {
    /// Path of the invalid field within the pool.
    pub field: String,
    /// Reason for which the value is invalid.
    pub reason: String,
}

/// Window with parsed days, times and time zone.
#[derive(Debug, Clone)]
struct ResolvedWindow {
    days: Vec<Weekday>,
    from: Time,
    to: Time,
    zone: TimeZone,
    count: usize,
}

/// Exception with a parsed date and time zone.
#[derive(Debug, Clone)]
struct ResolvedException {
    date: Date,
    zone: TimeZone,
    count: usize,
}

/// Number of replicas that a pool wants, as a function of time.
#[derive(Debug, Clone)]
pub struct Schedule {
    default_count: usize,
    windows: Vec<ResolvedWindow>,
    exceptions: Vec<ResolvedException>,
}

const ALL_DAYS: [Weekday; 7] = [
    Weekday::Monday,
    Weekday::Tuesday,
    Weekday::Wednesday,
    Weekday::Thursday,
    Weekday::Friday,
    Weekday::Saturday,
    Weekday::Sunday,
];
/// Number of days, from Monday on, that `weekdays` stands for.
const WORKING_DAYS: usize = 5;

impl Schedule {
    /// Creates the schedule of a pool.
    ///
    /// # Errors
    ///
    /// Returns the first field whose days, time, date or time zone is invalid.
    pub fn new(pool: &Pool) -> Result<Schedule, CalendarError> {
        let windows = pool.windows.iter().map(|(name, window)| resolve_window(name, window));
        let exceptions = pool.exceptions.iter().map(|(date, exception)| {
            let field = format!("exception.{date}");
            let day = Date::from_str(date)
                .map_err(|_| calendar_error(field.clone(), format!("{date} is no date such as 2026-12-25")))?;
            let zone = parse_time_zone(&exception.zone, &format!("{field}.zone"))?;
            Ok(ResolvedException { date: day, zone, count: exception.count })
        });
        Ok(Schedule {
            default_count: pool.count,
            windows: windows.collect::<Result<_, _>>()?,
            exceptions: exceptions.collect::<Result<_, _>>()?,
        })
    }

    /// Returns the number of replicas wanted at a wall time in milliseconds since 1970 (UTC). An
    /// exception takes precedence over all windows; of windows that overlap, the largest number
    /// applies.
    pub fn wanted_at(&self, wall_ms: u64) -> usize {
        let Ok(time) = Timestamp::from_millisecond(wall_ms as i64) else { return self.default_count };
        if let Some(exception) = self.exceptions.iter().find(|exception| exception.contains(time)) {
            return exception.count;
        }
        self.windows
            .iter()
            .filter(|window| window.contains(time))
            .map(|window| window.count)
            .max()
            .unwrap_or(self.default_count)
    }

    /// Returns the highest number of replicas wanted from a wall time, in milliseconds, until
    /// `ahead_ms` later. Replicas that are to be warm by then have to be started now.
    pub fn wanted_within(&self, wall_ms: u64, ahead_ms: u64) -> usize {
        let end_ms = wall_ms + ahead_ms;
        let window_starts = self.windows.iter().flat_map(|window| window.starts_between(wall_ms, end_ms));
        let exception_ends = self.exceptions.iter().filter_map(ResolvedException::end_ms);
        let changes = window_starts.chain(exception_ends).filter(|at_ms| (wall_ms..=end_ms).contains(at_ms));
        changes.chain([wall_ms]).map(|at_ms| self.wanted_at(at_ms)).max().unwrap_or(self.default_count)
    }
}

impl ResolvedWindow {
    /// Returns whether a time is within the window. The local times are first converted to instants,
    /// so that a local time that is skipped or repeated when the clocks change neither ends nor
    /// repeats the window.
    fn contains(&self, time: Timestamp) -> bool {
        self.bounds_on(time.to_zoned(self.zone.clone()).date()).is_some_and(|(begin, end)| begin <= time && time < end)
    }

    /// Returns the instants at which the window begins and ends on a local date, or `None` if the
    /// window does not apply on that day of the week.
    fn bounds_on(&self, date: Date) -> Option<(Timestamp, Timestamp)> {
        if !self.days.contains(&date.weekday()) {
            return None;
        }
        let instant = |time: Time| Some(date.to_datetime(time).to_zoned(self.zone.clone()).ok()?.timestamp());
        Some((instant(self.from)?, instant(self.to)?))
    }

    /// Returns the start times, in milliseconds, of the window on all local dates from that of
    /// `from_ms` to that of `to_ms`.
    fn starts_between(&self, from_ms: u64, to_ms: u64) -> Vec<u64> {
        let date_of = |ms: u64| Some(Timestamp::from_millisecond(ms as i64).ok()?.to_zoned(self.zone.clone()).date());
        let (Some(first), Some(last)) = (date_of(from_ms), date_of(to_ms)) else { return Vec::new() };
        let dates = first.series(1.day()).take_while(|date| *date <= last);
        dates.filter_map(|date| Some(self.bounds_on(date)?.0.as_millisecond() as u64)).collect()
    }
}

impl ResolvedException {
    /// Returns whether a time is on the date of the exception, in its time zone.
    fn contains(&self, time: Timestamp) -> bool {
        time.to_zoned(self.zone.clone()).date() == self.date
    }

    /// Returns the first instant after the day, in milliseconds since 1970 (UTC).
    fn end_ms(&self) -> Option<u64> {
        let next = self.date.tomorrow().ok()?.to_zoned(self.zone.clone()).ok()?;
        u64::try_from(next.timestamp().as_millisecond()).ok()
    }
}

fn resolve_window(name: &str, window: &Window) -> Result<ResolvedWindow, CalendarError> {
    let field = |part: &str| format!("window.{name}.{part}");
    let time = |part: &str, text: &str| {
        Time::strptime("%H:%M", text)
            .map_err(|_| calendar_error(field(part), format!("{text} is no time such as 07:30")))
    };
    let (from, to) = (time("from", &window.from)?, time("to", &window.to)?);
    if to <= from {
        return Err(calendar_error(
            field("to"),
            format!("the window ends at {} before it begins at {}", window.to, window.from),
        ));
    }
    let zone = parse_time_zone(&window.zone, &field("zone"))?;
    Ok(ResolvedWindow { days: parse_weekdays(&window.days, &field("days"))?, from, to, zone, count: window.count })
}

fn parse_weekdays(names: &[String], field: &str) -> Result<Vec<Weekday>, CalendarError> {
    let by_name: BTreeMap<&str, Weekday> =
        ["monday", "tuesday", "wednesday", "thursday", "friday", "saturday", "sunday"]
            .into_iter()
            .zip(ALL_DAYS)
            .collect();
    let mut days = Vec::new();
    for name in names {
        match (name.as_str(), by_name.get(name.as_str())) {
            ("daily", _) => days.extend(ALL_DAYS),
            ("weekdays", _) => days.extend(&ALL_DAYS[..WORKING_DAYS]),
            (_, Some(day)) => days.push(*day),
            _ => return Err(calendar_error(field.into(), format!("{name} is no day: use monday, weekdays or daily"))),
        }
    }
    if days.is_empty() { Err(calendar_error(field.into(), "must name a day".into())) } else { Ok(days) }
}

fn parse_time_zone(name: &str, field: &str) -> Result<TimeZone, CalendarError> {
    TimeZone::get(name).map_err(|_| calendar_error(field.into(), format!("there is no time zone {name}")))
}

fn calendar_error(field: String, reason: String) -> CalendarError {
    CalendarError { field, reason }
}
