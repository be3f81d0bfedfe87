//! Tracks whether the relay responds and accepts calls, as observed by the calls and the watch stream. While the
//! relay does not respond, only calls without orders (probes) are sent to it, and the watch stream waits for their
//! success. This keeps connection attempts few, because the relay limits the number of connections per controller.
//! While the relay is cut off from the network, it does not see the controller close a connection, so each attempt
//! occupies one of these connections until it times out at the relay.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// The relay sends a keepalive each second. A relay that has missed one is probed before orders are sent to it.
const PROBE_AFTER_SILENCE: Duration = Duration::from_millis(1200);

/// What the dispatcher and the watch stream know about the relay's state. Both are tasks on one thread. Only the
/// dispatcher marks calls as paused and resumed; both tasks mark the relay as heard.
#[derive(Debug)]
pub struct RelayHealth {
    last_heard_at: Cell<Instant>,
    calls_paused_since: Cell<Option<Instant>>,
    calls_resumed: Notify,
    watch_stream_subscribed: Notify,
}

impl Default for RelayHealth {
    fn default() -> RelayHealth {
        RelayHealth {
            last_heard_at: Cell::new(Instant::now()),
            calls_paused_since: Cell::new(None),
            calls_resumed: Notify::new(),
            watch_stream_subscribed: Notify::new(),
        }
    }
}

impl RelayHealth {
    /// Records that the relay has answered a call or sent a line of the watch stream.
    pub fn mark_heard(&self) {
        self.last_heard_at.set(Instant::now());
    }

    /// Returns the time since the relay last answered a call or sent a line.
    pub fn time_since_heard(&self) -> Duration {
        self.last_heard_at.get().elapsed()
    }

    /// Whether the relay has been silent for so long that a call may not reach it.
    pub fn needs_probe(&self) -> bool {
        self.time_since_heard() > PROBE_AFTER_SILENCE
    }

    /// Records that a call failed, or that the relay was silent before one. No orders are sent until a probe is
    /// answered.
    pub fn mark_calls_paused(&self) {
        let since = self.calls_paused_since.get().unwrap_or_else(Instant::now);
        self.calls_paused_since.set(Some(since));
    }

    /// Records that the relay answers calls again. Returns how long calls were paused.
    pub fn mark_calls_resumed(&self) -> Duration {
        self.calls_resumed.notify_waiters();
        self.calls_paused_since.take().map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Waits until calls are resumed, if they are paused.
    pub async fn until_calls_resumed(&self) {
        if self.calls_paused_since.get().is_some() {
            self.calls_resumed.notified().await;
        }
    }

    /// Records that the watch stream is subscribed again, which suggests that calls may succeed again.
    pub fn on_watch_stream_subscribed(&self) {
        self.mark_heard();
        self.watch_stream_subscribed.notify_waiters();
    }

    /// Waits until the watch stream is subscribed the next time.
    pub async fn until_watch_stream_subscribed(&self) {
        self.watch_stream_subscribed.notified().await;
    }
}
