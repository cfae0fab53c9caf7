//! Formatting of UTC timestamps for operators.

const SECONDS_PER_DAY: u64 = 86_400;
/// Days in a 400-year cycle of the Gregorian calendar.
const DAYS_PER_CYCLE: u64 = 146_097;
/// Days from 0000-03-01 to the Unix epoch.
const DAYS_TO_EPOCH: u64 = 719_468;

/// Formats seconds since the Unix epoch as `2026-12-03T21:45:22Z`.
pub(crate) fn format(seconds: u64) -> String {
    let (year, month, day) = date(seconds / SECONDS_PER_DAY);
    let second = seconds % SECONDS_PER_DAY;
    let (hour, minute, second) = (second / 3600, second / 60 % 60, second % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Converts days since the Unix epoch to year, month and day.
///
/// The calculation uses years that start in March, so that a leap day is the last day of its year.
fn date(days: u64) -> (u64, u64, u64) {
    let days = days + DAYS_TO_EPOCH;
    let (cycle, day) = (days / DAYS_PER_CYCLE, days % DAYS_PER_CYCLE);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day_of_year = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day_of_year + 2) / 153;
    let day_of_month = day_of_year - (153 * month + 2) / 5 + 1;
    let civil_month = if month < 10 { month + 3 } else { month - 9 };
    let civil_year = year + 400 * cycle + u64::from(civil_month <= 2);
    (civil_year, civil_month, day_of_month)
}
