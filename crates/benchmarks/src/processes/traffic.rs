//! Counts of the bytes that the controllers and the fakes exchange.

use std::cell::Cell;

/// Counts of payload bytes from the controllers' point of view.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bytes {
    /// Bytes received by controllers.
    pub received: u64,
    /// Bytes sent by controllers.
    pub sent: u64,
}

/// A counter of payload bytes.
#[derive(Debug, Default)]
pub struct Traffic(Cell<Bytes>);

impl Traffic {
    /// Counts bytes that a fake sends to a controller.
    pub fn add_received(&self, count: usize) {
        let mut bytes = self.0.get();
        bytes.received += count as u64;
        self.0.set(bytes);
    }

    /// Counts bytes that a controller sent to a fake.
    pub fn add_sent(&self, count: usize) {
        let mut bytes = self.0.get();
        bytes.sent += count as u64;
        self.0.set(bytes);
    }

    /// Returns the current counts.
    pub fn counts(&self) -> Bytes {
        self.0.get()
    }
}
