//! Conversion of the platform's durations: a number of milliseconds, possibly with a fraction.

use std::time::Duration;

use thiserror::Error;

/// Upper bound of a duration in seconds. It keeps sums and multiples of durations within the range of [`Duration`].
const MAX_DURATION_SECONDS: f64 = 1e12;

/// A number of milliseconds that is negative, not a number, or more than 1e12 seconds.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
#[error("{milliseconds} ms is not a span of time")]
pub struct InvalidDuration {
    /// The number that was read.
    pub milliseconds: f64,
}

/// Converts a number of milliseconds to a duration.
pub fn duration_from_millis(milliseconds: f64) -> Result<Duration, InvalidDuration> {
    let seconds = Some(milliseconds / 1000.0).filter(|seconds| *seconds <= MAX_DURATION_SECONDS);
    let duration = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    duration.ok_or(InvalidDuration { milliseconds })
}
