//! Durations as the file writes them: a number directly followed by its unit.

use std::time::Duration;

/// Exclusive upper bound of the number, whatever its unit. All allowed durations have far smaller numbers.
const NUMBER_LIMIT: f64 = 1e9;

/// Parses a text such as `50ms`, `2s`, `5min` or `24h`. Returns `None` if the text has another form.
pub fn parse(text: &str) -> Option<Duration> {
    let unit_start = text.find(|letter: char| letter.is_ascii_alphabetic())?;
    let (number, unit) = text.split_at(unit_start);
    let number: f64 = number.parse().ok().filter(|number| (0.0..NUMBER_LIMIT).contains(number))?;
    let unit_seconds = match unit {
        "ms" => 0.001,
        "s" => 1.0,
        "min" => 60.0,
        "h" => 3600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(number * unit_seconds).ok()
}
