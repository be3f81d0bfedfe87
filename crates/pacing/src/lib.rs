//! Backoff and rate limiting for retries and costly operations.
//!
//! [`Backoff`] draws the delay before the next attempt. [`TokenBucket`] limits the rate of costly operations. Neither does
//! I/O or reads a clock: the caller passes the time as the duration since an origin that it chooses, and does the sleeping.

#![warn(missing_docs)]

mod backoff;
mod token_bucket;

use std::time::Duration;

/// The longest wait that this crate returns. A caller that has waited this long asks again. The limit keeps the sum of a
/// time and a wait within the range of clocks.
pub const MAX_WAIT: Duration = Duration::from_secs(30 * 24 * 3600);

pub use backoff::Backoff;
pub use token_bucket::{RefillRate, TokenBucket};
