//! How many replicas a pool wants at a time of day.

use crate::settings::{Pool, Window};
use jiff::civil::{Date, Time, Weekday};
use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan};
use std::collections::BTreeMap;
use std::str::FromStr;

/// A part of a calendar that is at fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CalendarError {
    /// The field within the pool.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

/// A window with its names resolved.
#[derive(Debug, Clone)]
struct OpenHours {
    days: Vec<Weekday>,
    from: Time,
    to: Time,
    zone: TimeZone,
    count: usize,
}

/// A date that is an exception, with the zone that it is of.
#[derive(Debug, Clone)]
struct ExceptionDay {
    date: Date,
    zone: TimeZone,
    count: usize,
}

/// What a pool wants, at any time.
#[derive(Debug, Clone)]
pub struct Schedule {
    base: usize,
    windows: Vec<OpenHours>,
    exceptions: Vec<ExceptionDay>,
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
const WORKING_DAYS: usize = 5;

impl Schedule {
    /// The schedule that a pool declares.
    ///
    /// # Errors
    ///
    /// The first time, date or time zone that is not valid, with its field.
    pub fn new(pool: &Pool) -> Result<Schedule, CalendarError> {
        let windows = pool.windows.iter().map(|(name, window)| open_hours(name, window));
        let exceptions = pool.exceptions.iter().map(|(date, exception)| {
            let field = format!("exception.{date}");
            let day = Date::from_str(date)
                .map_err(|_| error(field.clone(), format!("{date} is no date such as 2026-12-25")))?;
            let zone = time_zone(&exception.zone, &format!("{field}.zone"))?;
            Ok(ExceptionDay { date: day, zone, count: exception.count })
        });
        Ok(Schedule {
            base: pool.count,
            windows: windows.collect::<Result<_, _>>()?,
            exceptions: exceptions.collect::<Result<_, _>>()?,
        })
    }

    /// Replicas wanted at a wall time, in milliseconds since 1970 (UTC).
    pub fn wanted_at(&self, wall_ms: u64) -> usize {
        let Ok(time) = Timestamp::from_millisecond(wall_ms as i64) else { return self.base };
        if let Some(exception) = self.exceptions.iter().find(|day| day.holds(time)) {
            return exception.count;
        }
        self.windows.iter().filter(|hours| hours.hold(time)).map(|hours| hours.count).max().unwrap_or(self.base)
    }

    /// The most replicas wanted from a wall time on until `ahead_ms` later: what is to be warm
    /// then has to be begun with now.
    pub fn wanted_within(&self, wall_ms: u64, ahead_ms: u64) -> usize {
        let end_ms = wall_ms + ahead_ms;
        let begins = self.windows.iter().flat_map(|hours| hours.beginnings(wall_ms, end_ms));
        let ends_of_days = self.exceptions.iter().filter_map(ExceptionDay::end_ms);
        let changes = begins.chain(ends_of_days).filter(|at_ms| (wall_ms..=end_ms).contains(at_ms));
        changes.chain([wall_ms]).map(|at_ms| self.wanted_at(at_ms)).max().unwrap_or(self.base)
    }
}

impl OpenHours {
    /// Is a time within the hours? Their instants are found from local times, so that a local time
    /// that is skipped or comes twice neither ends nor repeats them.
    fn hold(&self, time: Timestamp) -> bool {
        self.instants(time.to_zoned(self.zone.clone()).date()).is_some_and(|(begin, end)| begin <= time && time < end)
    }

    /// When the hours begin and end on a local date, if it is one of their days.
    fn instants(&self, date: Date) -> Option<(Timestamp, Timestamp)> {
        if !self.days.contains(&date.weekday()) {
            return None;
        }
        let instant = |time: Time| Some(date.to_datetime(time).to_zoned(self.zone.clone()).ok()?.timestamp());
        Some((instant(self.from)?, instant(self.to)?))
    }

    /// Wall times between two others at which the hours begin.
    fn beginnings(&self, from_ms: u64, to_ms: u64) -> Vec<u64> {
        let date_of = |ms: u64| Some(Timestamp::from_millisecond(ms as i64).ok()?.to_zoned(self.zone.clone()).date());
        let (Some(first), Some(last)) = (date_of(from_ms), date_of(to_ms)) else { return Vec::new() };
        let dates = first.series(1.day()).take_while(|date| *date <= last);
        dates.filter_map(|date| Some(self.instants(date)?.0.as_millisecond() as u64)).collect()
    }
}

impl ExceptionDay {
    fn holds(&self, time: Timestamp) -> bool {
        time.to_zoned(self.zone.clone()).date() == self.date
    }

    /// The first moment after the day.
    fn end_ms(&self) -> Option<u64> {
        let next = self.date.tomorrow().ok()?.to_zoned(self.zone.clone()).ok()?;
        u64::try_from(next.timestamp().as_millisecond()).ok()
    }
}

fn open_hours(name: &str, window: &Window) -> Result<OpenHours, CalendarError> {
    let field = |part: &str| format!("window.{name}.{part}");
    let time = |part: &str, text: &str| {
        Time::strptime("%H:%M", text).map_err(|_| error(field(part), format!("{text} is no time such as 07:30")))
    };
    let (from, to) = (time("from", &window.from)?, time("to", &window.to)?);
    if to <= from {
        return Err(error(
            field("to"),
            format!("the window ends at {} before it begins at {}", window.to, window.from),
        ));
    }
    let zone = time_zone(&window.zone, &field("zone"))?;
    Ok(OpenHours { days: weekdays(&window.days, &field("days"))?, from, to, zone, count: window.count })
}

fn weekdays(names: &[String], field: &str) -> Result<Vec<Weekday>, CalendarError> {
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
            _ => return Err(error(field.into(), format!("{name} is no day: use monday, weekdays or daily"))),
        }
    }
    if days.is_empty() { Err(error(field.into(), "must name a day".into())) } else { Ok(days) }
}

fn time_zone(name: &str, field: &str) -> Result<TimeZone, CalendarError> {
    TimeZone::get(name).map_err(|_| error(field.into(), format!("there is no time zone {name}")))
}

fn error(field: String, reason: String) -> CalendarError {
    CalendarError { field, reason }
}
