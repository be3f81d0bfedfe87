//! When to try again, and how often at most.
//!
//! [`Backoff`] draws the delay before the next attempt; [`TokenBucket`] limits the rate of costly operations. Both do no
//! I/O and read no clock: the caller hands in the time, as the duration since a start of its own, and sleeps itself.

#![warn(missing_docs)]

mod backoff;
mod token_bucket;

use std::time::Duration;

/// The longest wait that this package asks for. Whoever waits that long asks again; a time that it is added to stays one that
/// clocks can say.
pub const MAX_WAIT: Duration = Duration::from_secs(30 * 24 * 3600);

pub use backoff::Backoff;
pub use token_bucket::{RefillRate, TokenBucket};
