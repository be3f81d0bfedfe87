//! The channel to the proxies: unacknowledged messages, the lines that count against the publish rate, and
//! nonces.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::ProxyId;
use crate::orders::Nonce;

/// Nonces are less than this value and then wrap around to 0.
const NONCES: u32 = 1 << 16;

/// Whether one nonce was issued before another. Because nonces wrap around, a nonce that is ahead by more
/// than half of all nonces is an earlier one.
pub(crate) fn nonce_precedes(nonce: Nonce, other: Nonce) -> bool {
    nonce != other && other.wrapping_sub(nonce) % NONCES < NONCES / 2
}

/// One unacknowledged message to a proxy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnacknowledgedMessage {
    pub nonce: Nonce,
    pub proxy: ProxyId,
    /// Protocol lines, including the message overhead.
    pub lines: f64,
    pub sent_at: Duration,
}

/// Unacknowledged messages, oldest first. The sum of their lines is cached, because every rule that orders
/// something reads it for each proxy and table.
#[derive(Debug, Default)]
pub(crate) struct UnacknowledgedMessages {
    messages: VecDeque<UnacknowledgedMessage>,
    lines: f64,
}

impl UnacknowledgedMessages {
    pub fn lines(&self) -> f64 {
        self.lines
    }

    pub fn push(&mut self, message: UnacknowledgedMessage) {
        self.lines += message.lines;
        self.messages.push_back(message);
    }

    /// Removes all messages to a proxy, because its stream broke and they are lost.
    pub fn forget_proxy(&mut self, proxy: ProxyId) {
        self.messages.retain(|message| message.proxy != proxy);
        self.recount();
    }

    /// Removes the message of this nonce to `proxy` and all messages of earlier nonces to any proxy. Messages
    /// leave the channel in order, so everything ordered before an acknowledged nonce has left the channel.
    pub fn acknowledge(&mut self, nonce: Nonce, proxy: ProxyId) {
        self.messages.retain(|message| {
            let is_older = nonce_precedes(message.nonce, nonce);
            let is_acknowledged = message.nonce == nonce && message.proxy == proxy;
            !is_older && !is_acknowledged
        });
        self.recount();
    }

    pub fn drop_older_than(&mut self, start: Duration) {
        let count = self.messages.partition_point(|message| message.sent_at < start);
        if count > 0 {
            self.messages.drain(..count);
            self.recount();
        }
    }

    /// Removes the messages of these nonces to the proxies that `is_reached` rejects.
    pub fn refund(&mut self, nonces: &[Nonce], is_reached: impl Fn(ProxyId) -> bool) {
        self.messages.retain(|message| !nonces.contains(&message.nonce) || is_reached(message.proxy));
        self.recount();
    }

    fn recount(&mut self) {
        self.lines = self.messages.iter().map(|message| message.lines).sum();
    }
}

/// The channel that carries all orders of this controller to its proxies.
#[derive(Debug, Default)]
pub(crate) struct Channel {
    pub unacknowledged: UnacknowledgedMessages,
    /// Lines that still count against the ordinary publish rate, as of `debt_updated_at`.
    pub publish_rate_debt: f64,
    debt_updated_at: Duration,
    pub last_nonce: Nonce,
    pub nonce_issued_at: Option<Duration>,
}

impl Channel {
    /// Reduces the lines that count against the publish rate by `lines_per_second` for the time since the
    /// last call. Lines count for one second at most.
    pub fn recover_publish_rate(&mut self, now: Duration, lines_per_second: f64) {
        let recovered = now.saturating_sub(self.debt_updated_at).as_secs_f64() * lines_per_second;
        self.publish_rate_debt = (self.publish_rate_debt.min(lines_per_second) - recovered).max(0.0);
        self.debt_updated_at = now;
    }

    /// Returns the nonce for orders at the time `now`.
    pub fn nonce_at(&mut self, now: Duration) -> Nonce {
        if self.nonce_issued_at != Some(now) {
            self.nonce_issued_at = Some(now);
            self.last_nonce = (self.last_nonce + 1) % NONCES;
        }
        self.last_nonce
    }

    /// Counts a message that is sent now, also against the ordinary publish rate. Orders that are sent in a
    /// later call than others of their nonce are only added to [`UnacknowledgedMessages`], because they counted
    /// against the rate when they were ordered.
    pub fn record(&mut self, message: UnacknowledgedMessage) {
        self.unacknowledged.push(message);
        self.publish_rate_debt += message.lines;
    }
}
