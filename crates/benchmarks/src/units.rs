//! Unit conversions for printed figures.

use std::time::Duration;

const MS_PER_SECOND: f64 = 1000.0;

/// Converts a duration to milliseconds.
pub fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * MS_PER_SECOND
}
