//! Times as the platform writes them: a number of milliseconds, possibly with a fraction.

use std::time::Duration;

use thiserror::Error;

/// Spans are at most this many seconds, so that sums and multiples of them stay below what a [`Duration`] holds.
const MAX_SPAN_SECONDS: f64 = 1e12;

/// A number of milliseconds that is negative, no number, or of more than 1e12 seconds.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
#[error("{milliseconds} ms is not a span of time")]
pub struct InvalidDuration {
    /// The number as it was read.
    pub milliseconds: f64,
}

/// The duration of so many milliseconds.
pub fn duration_from_millis(milliseconds: f64) -> Result<Duration, InvalidDuration> {
    let seconds = Some(milliseconds / 1000.0).filter(|seconds| *seconds <= MAX_SPAN_SECONDS);
    let span = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    span.ok_or(InvalidDuration { milliseconds })
}
