//! Paces the decoding of large frames.
//!
//! The program's work runs on one thread, and decoding a frame of many short fields takes it for milliseconds. If connections
//! could have one such frame after the other decoded, drains and other connections would wait for seconds.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::connection_limit::RETAINED_BUFFER_BYTES;
use crate::counters;

/// How many bytes of large frames are decoded per second, of all connections together. Reports have some hundred bytes, so
/// no collector of the platform sends large frames.
const LARGE_FRAME_BYTES_PER_SECOND: f64 = (4 << 20) as f64;

/// The time at which the next large frame may be decoded, for all connections.
pub struct DecodeSchedule {
    next_at: Cell<Instant>,
}

impl DecodeSchedule {
    /// Creates a schedule by which a frame may be decoded at once.
    pub fn new() -> DecodeSchedule {
        DecodeSchedule { next_at: Cell::new(Instant::now()) }
    }

    /// Waits until a frame of this length may be decoded. Small frames need not wait; large ones are decoded in the order
    /// in which they were read.
    pub async fn wait_for_turn(&self, length: usize) {
        if length <= RETAINED_BUFFER_BYTES {
            return;
        }
        let now = Instant::now();
        let turn_at = self.next_at.get().max(now);
        let pause = Duration::from_secs_f64(length as f64 / LARGE_FRAME_BYTES_PER_SECOND);
        self.next_at.set(turn_at + pause);
        if turn_at > now {
            counters::LARGE_FRAMES_DELAYED.add(1);
            sleep_until(turn_at).await;
        }
    }
}
